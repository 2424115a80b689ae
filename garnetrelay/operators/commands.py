"""The words that staff call with, and their answers. No I/O: a line in, lines out.

A connection carries one line. What can't be understood is answered with the reason, never with silence.
"""

from __future__ import annotations

import re
from typing import Protocol

MOST_LINE = 512  # bytes: the longest call is a word and a host's name
NAME = re.compile("[!-~]{1,200}")
DESTINATION = re.compile("[0-9]{1,18}")


class CommandRefusedError(Exception):
    """A call that is answered with ``-ERR`` and this text."""


class CommandHandler(Protocol):
    """What a relay does for staff. Each may raise CommandRefusedError."""

    def health(self) -> None:
        """Returns if this process can serve."""
        ...

    def metrics(self) -> str:
        """The figures, a line each."""
        ...

    def fleet(self, words: list[str]) -> str:
        """What is said of the fleet, lines: of all, of one, or that this relay has left."""
        ...

    def exclude(self, host: str, out: bool) -> None:
        """Take a host out, or put it back; returns once that is kept and in force."""
        ...


def answer(service: CommandHandler, line: bytes) -> bytes:
    """What a call is answered with."""
    try:
        return _answer(service, line)
    except CommandRefusedError as refused:
        return b"-ERR " + " ".join(str(refused).split()).encode("ascii", "replace")[:200] + b"\n"


def _answer(service: CommandHandler, line: bytes) -> bytes:
    words = line.decode("ascii", "replace").split()
    match words:
        case ["HEALTH"]:
            service.health()
            return b"+OK\n"
        case ["DUMP"]:
            return b"+OK\n" + service.metrics().encode("ascii") + b".\n"
        case [("OFFLINE" | "ONLINE") as word, name] if NAME.fullmatch(name):
            service.exclude(name, word == "OFFLINE")
            return b"+OK\n"
        case ["OFFLINE" | "ONLINE" as word, *_]:
            raise CommandRefusedError(f"{word} takes the name of one host")
        case ["FLEET", *rest] if _fleet_call(rest):
            return b"+OK\n" + service.fleet(rest).encode("ascii", "replace") + b".\n"
        case ["FLEET", *_]:
            raise CommandRefusedError(
                "FLEET takes MEMBERS, EXPLAIN NAME, LEAVE, OWNERS, OWNERS DESTINATION or CONTROLLERS"
            )
        case []:
            raise CommandRefusedError("an empty line")
    raise CommandRefusedError(f"unknown call '{words[0][:40]}'; there are HEALTH, DUMP, OFFLINE ID, ONLINE ID, FLEET")


def _fleet_call(words: list[str]) -> bool:
    match words:
        case ["MEMBERS"] | ["LEAVE"] | ["OWNERS"] | ["CONTROLLERS"]:
            return True
        case ["EXPLAIN", name]:
            return NAME.fullmatch(name) is not None
        case ["OWNERS", destination]:
            return DESTINATION.fullmatch(destination) is not None
    return False
