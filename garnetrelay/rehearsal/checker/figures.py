"""The figures that the rules are judged by: the settings' own, and the margins that the protocol allows."""

from __future__ import annotations

from typing import Any

import msgspec

MS = 1_000_000
SECOND = 1_000_000_000
REPEATS = {"retryable": "safe", "dedup": "keyed", "fragile": "unsafe"}


class ClassFigures(msgspec.Struct, frozen=True):
    """One class of message. Times in nanoseconds."""

    repeat: str  # safe, keyed or unsafe
    by_zone: bool  # a repeat is recognised in one building only
    window: int  # for which a key is remembered, from the send of the first attempt that may have run
    in_turn: bool


class Figures(msgspec.Struct, frozen=True):
    """What a run is judged by. Times in nanoseconds."""

    classes: dict[str, ClassFigures]
    answer_slack: int
    drain_grace: int
    fall: int
    fall_multiple: float
    turn_gap: int
    most_tries: int
    disk_bytes: int
    sockets_slack: int = 50 * MS  # each time limit is so much longer on sockets
    wait_pass: int = 100 * MS  # calls that come so soon after a told wait are let through
    restart_grace: int = 3 * SECOND // 2  # from ready on, in which no notice is overdue
    platform_grace: int = 5 * SECOND // 2  # the same once the platform takes notices again: pause and resend
    heard: int = SECOND // 2  # an answer written so long before is surely read, unless its relay was starved


def figures_of(settings: dict[str, Any], disk_bytes: int) -> Figures:
    """From the settings as a relay is told them."""
    rules = settings["rules"]
    return Figures(
        classes={
            c["name"]: ClassFigures(
                repeat=REPEATS[c["idempotency"]],
                by_zone=c.get("keyScope", "all") != "all",
                window=int(c.get("repeatWindow", 0)),
                in_turn=bool(c.get("inTurn", False)),
            )
            for c in settings["classes"]
        },
        answer_slack=int(rules.get("answerSlack", 0)),
        drain_grace=int(rules["drainGrace"]),
        fall=int(rules["fall"]),
        fall_multiple=float(rules["fallMultiple"]),
        turn_gap=int(rules.get("turnGap", 0)),
        most_tries=int(settings["limits"]["mostTries"]),
        disk_bytes=disk_bytes,
    )
