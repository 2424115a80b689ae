"""The hosts that operators have excluded, stored in the state folder until they are included again.

They are stored in one small file that is replaced atomically: a first line with version and checksum, then a JSON list
of names. A file that is unreadable or of a later version is logged and ignored; the next change replaces it.
"""

from __future__ import annotations

import logging
import zlib
from pathlib import Path

import msgspec

from garnetrelay.operators.commands import CommandRefusedError
from garnetrelay.store.storage import Folder

log = logging.getLogger(__name__)

FILE = "excluded"
MAX_FILE_BYTES = 2048  # four blocks; the journal reserves space for the old and the new file
VERSION = 1


def encode(names: list[str]) -> bytes:
    """Encodes the file's content."""
    body = msgspec.json.encode(names)
    return b"garnetrelay excluded %d %08x\n" % (VERSION, zlib.crc32(body)) + body


def decode(data: bytes) -> list[str]:
    """Decodes the names; ValueError with the reason if the content is invalid."""
    head, _, body = data.partition(b"\n")
    words = head.split()
    if len(words) != 4 or words[:2] != [b"garnetrelay", b"excluded"]:
        raise ValueError("not a file of excluded hosts")
    if words[2] != b"%d" % VERSION:
        raise ValueError(f"of version {words[2][:10]!r}, not {VERSION}")
    if words[3] != b"%08x" % zlib.crc32(body):
        raise ValueError("damaged")
    return msgspec.json.decode(body, type=list[str])


class Exclusions:
    """The names of the excluded hosts, in the order in which they were excluded."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._folder = Folder(folder)
        self._sync = sync
        self.names: dict[str, None] = {}

    def read(self) -> None:
        """Reads the names that an earlier process stored."""
        if FILE not in self._folder.names():
            return
        try:
            self.names = dict.fromkeys(decode(self._folder.read(FILE)))
        except (OSError, ValueError) as error:
            log.error("the hosts out by hand can't be read, none is: %s", error)
            return
        if self.names:
            log.info("out by hand: %s", ", ".join(self.names))

    def set_excluded(self, host: str, excluded: bool) -> bool:
        """Stores a change; False if there was none. CommandRefusedError, with nothing changed, if it can't be stored."""
        if (host in self.names) == excluded:
            return False
        names = [*self.names, host] if excluded else [name for name in self.names if name != host]
        data = encode(names)
        if len(data) > MAX_FILE_BYTES:
            raise CommandRefusedError(f"{len(self.names)} hosts are out by hand, and no more can be kept")
        try:
            self._folder.replace(FILE, data, self._sync)
        except OSError as error:
            raise CommandRefusedError(f"it can't be kept: {error.strerror}") from None
        self.names = dict.fromkeys(names)
        return True
