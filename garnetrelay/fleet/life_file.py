"""The life number in the state folder: the only file that a fleet member stores.

The file is small and replaced as a whole: a first line with version and checksum, then JSON. It is written before the
first frame of a life is sent, so that no life is used twice from one folder. A file that cannot be read counts as
missing: the other members know the last life of this name, and the relay continues with the next one
(`members/local_member.py`).
"""

from __future__ import annotations

import logging
import zlib
from pathlib import Path

import msgspec

from garnetrelay.fleet.members.claims import Life, SocketAddress
from garnetrelay.store.storage import Folder

log = logging.getLogger(__name__)

FILE = "fleet"
VERSION = 1
MAX_ADDRESSES = 16
MAX_FILE_BYTES = 2048  # four disk blocks; old and new copy together take FLEET_STATE_BYTES of ``config/deployment.py``


class StoredLife(msgspec.Struct, frozen=True):
    """What is stored across processes: the relay's life, and the addresses of some other members. The field names are
    part of the file's JSON."""

    life: Life
    places: list[tuple[str, int]] = []


def encode(stored: StoredLife) -> bytes:
    """Serializes the stored life to the content of the file."""
    body = msgspec.json.encode(stored)
    return b"garnetrelay fleet %d %08x\n" % (VERSION, zlib.crc32(body)) + body


def decode(data: bytes) -> StoredLife:
    """Parses the content of a file. Raises ValueError with the reason if it cannot be read."""
    header, _, body = data.partition(b"\n")
    fields = header.split()
    if len(fields) != 4 or fields[:2] != [b"garnetrelay", b"fleet"]:
        raise ValueError("not a life file of a fleet member")
    if fields[2] != b"%d" % VERSION:
        raise ValueError(f"version {fields[2][:10]!r} instead of {VERSION}")
    if fields[3] != b"%08x" % zlib.crc32(body):
        raise ValueError("checksum does not match")
    return msgspec.json.decode(body, type=StoredLife)


class LifeFile:
    """Reads and replaces the life file of one state folder."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._folder = Folder(folder)
        self._sync = sync

    def read(self) -> StoredLife | None:
        """Returns what an earlier process stored; None if there is no file or it cannot be read."""
        if FILE not in self._folder.names():
            return None
        try:
            return decode(self._folder.read(FILE))
        except (OSError, ValueError) as error:
            log.error("fleet: the life number can't be read, the others will tell it: %s", error)
            return None

    def store(self, life: int, addresses: list[SocketAddress]) -> None:
        """Stores a life and up to ``MAX_ADDRESSES`` addresses. Raises OSError if the file cannot be written."""
        stored = StoredLife(life, [(address.host, address.port) for address in addresses[:MAX_ADDRESSES]])
        self._folder.replace(FILE, encode(stored), self._sync)
