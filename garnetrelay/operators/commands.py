"""Operators' commands and their answers. No I/O: a line in, lines out.

A connection carries one command. An invalid one is always answered, with the reason.
"""

from __future__ import annotations

import re
from typing import Protocol

MAX_LINE_BYTES = 512  # the longest command is a keyword and a host's name of 200 bytes
NAME = re.compile("[!-~]{1,200}")
DESTINATION = re.compile("[0-9]{1,18}")


class CommandRefusedError(Exception):
    """The command is answered with ``-ERR`` and this text."""


class CommandHandler(Protocol):
    """Carries out the commands. Each method may raise CommandRefusedError."""

    def health(self) -> None:
        """Returns if this process can serve."""
        ...

    def metrics(self) -> str:
        """All metrics, a line each."""
        ...

    def fleet(self, arguments: list[str]) -> str:
        """Carries out ``FLEET`` with its arguments; the answer's lines."""
        ...

    def exclude(self, host: str, out: bool) -> None:
        """Excludes a host, or includes it again; returns once the change is stored and in force."""
        ...


def answer(handler: CommandHandler, line: bytes) -> bytes:
    """The answer to a command line."""
    try:
        return _answer(handler, line)
    except CommandRefusedError as refused:
        return b"-ERR " + " ".join(str(refused).split()).encode("ascii", "replace")[:200] + b"\n"


def _answer(handler: CommandHandler, line: bytes) -> bytes:
    words = line.decode("ascii", "replace").split()
    match words:
        case ["HEALTH"]:
            handler.health()
            return b"+OK\n"
        case ["DUMP"]:
            return b"+OK\n" + handler.metrics().encode("ascii") + b".\n"
        case [("OFFLINE" | "ONLINE") as word, name] if NAME.fullmatch(name):
            handler.exclude(name, word == "OFFLINE")
            return b"+OK\n"
        case ["OFFLINE" | "ONLINE" as word, *_]:
            raise CommandRefusedError(f"{word} takes the name of one host")
        case ["FLEET", *rest] if _is_fleet_command(rest):
            return b"+OK\n" + handler.fleet(rest).encode("ascii", "replace") + b".\n"
        case ["FLEET", *_]:
            raise CommandRefusedError(
                "FLEET takes MEMBERS, EXPLAIN NAME, LEAVE, OWNERS, OWNERS DESTINATION or CONTROLLERS"
            )
        case []:
            raise CommandRefusedError("an empty line")
    raise CommandRefusedError(f"unknown call '{words[0][:40]}'; there are HEALTH, DUMP, OFFLINE ID, ONLINE ID, FLEET")


def _is_fleet_command(arguments: list[str]) -> bool:
    match arguments:
        case ["MEMBERS"] | ["LEAVE"] | ["OWNERS"] | ["CONTROLLERS"]:
            return True
        case ["EXPLAIN", name]:
            return NAME.fullmatch(name) is not None
        case ["OWNERS", destination]:
            return DESTINATION.fullmatch(destination) is not None
    return False
