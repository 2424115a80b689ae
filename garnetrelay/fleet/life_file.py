"""The life number in the state folder: the only file of a fleet's member.

One small file, replaced whole: a first line with version and checksum, then JSON. It is written before the first frame of
a life, so that no life is used twice from one folder. One that can't be read counts as none: the others know the last
life of this name, and the relay goes on behind it (`members/local_member.py`).
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
MAX_FILE_BYTES = 2048  # of four blocks; old and new take FLEET_FILE of ``config/deployment.py``


class StoredLife(msgspec.Struct, frozen=True):
    """What outlasts a process: its life, and where some others heard."""

    life: Life
    places: list[tuple[str, int]] = []


def encode(kept: StoredLife) -> bytes:
    """A file's content."""
    body = msgspec.json.encode(kept)
    return b"garnetrelay fleet %d %08x\n" % (VERSION, zlib.crc32(body)) + body


def decode(data: bytes) -> StoredLife:
    """What it keeps; ValueError with the reason where it can't be read."""
    head, _, body = data.partition(b"\n")
    words = head.split()
    if len(words) != 4 or words[:2] != [b"garnetrelay", b"fleet"]:
        raise ValueError("not a file of a fleet's member")
    if words[2] != b"%d" % VERSION:
        raise ValueError(f"of version {words[2][:10]!r}, not {VERSION}")
    if words[3] != b"%08x" % zlib.crc32(body):
        raise ValueError("damaged")
    return msgspec.json.decode(body, type=StoredLife)


class LifeFile:
    """The file."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._folder = Folder(folder)
        self._sync = sync

    def read(self) -> StoredLife | None:
        """What an earlier life kept; None where there is nothing that can be read."""
        if FILE not in self._folder.names():
            return None
        try:
            return decode(self._folder.read(FILE))
        except (OSError, ValueError) as error:
            log.error("fleet: the life number can't be read, the others will tell it: %s", error)
            return None

    def store(self, life: int, places: list[SocketAddress]) -> None:
        """Put a life on record; OSError where it can't be."""
        kept = StoredLife(life, [(place.host, place.port) for place in places[:MAX_ADDRESSES]])
        self._folder.replace(FILE, encode(kept), self._sync)
