"""The hosts that staff took out by hand, kept in the state folder until they are put back.

One small file, replaced whole: a first line with its version and checksum, then a JSON list of names. One that can't be
read, or of a later version, is said in the log and left out of account; it is replaced by the next call.
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
MOST_BYTES = 2048  # four blocks: the journal leaves room for as many old and new
VERSION = 1


def encode(names: list[str]) -> bytes:
    """A file's content."""
    body = msgspec.json.encode(names)
    return b"garnetrelay excluded %d %08x\n" % (VERSION, zlib.crc32(body)) + body


def decode(data: bytes) -> list[str]:
    """The names; ValueError with the reason where it can't be read."""
    head, _, body = data.partition(b"\n")
    words = head.split()
    if len(words) != 4 or words[:2] != [b"garnetrelay", b"excluded"]:
        raise ValueError("not a file of hosts out by hand")
    if words[2] != b"%d" % VERSION:
        raise ValueError(f"of version {words[2][:10]!r}, not {VERSION}")
    if words[3] != b"%08x" % zlib.crc32(body):
        raise ValueError("damaged")
    return msgspec.json.decode(body, type=list[str])


class Exclusions:
    """The names, in the order in which they were taken out."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._folder = Folder(folder)
        self._sync = sync
        self.names: dict[str, None] = {}

    def read(self) -> None:
        """Take up what an earlier life kept."""
        if FILE not in self._folder.names():
            return
        try:
            self.names = dict.fromkeys(decode(self._folder.read(FILE)))
        except (OSError, ValueError) as error:
            log.error("the hosts out by hand can't be read, none is: %s", error)
            return
        if self.names:
            log.info("out by hand: %s", ", ".join(self.names))

    def put(self, host: str, out: bool) -> bool:
        """Keep a change; whether it was one. CommandRefusedError where it can't be kept: then nothing has changed."""
        if (host in self.names) == out:
            return False
        names = [*self.names, host] if out else [name for name in self.names if name != host]
        data = encode(names)
        if len(data) > MOST_BYTES:
            raise CommandRefusedError(f"{len(self.names)} hosts are out by hand, and no more can be kept")
        try:
            self._folder.replace(FILE, data, self._sync)
        except OSError as error:
            raise CommandRefusedError(f"it can't be kept: {error.strerror}") from None
        self.names = dict.fromkeys(names)
        return True
