"""The limits that the rules check against: values from the settings, and the tolerances of the protocol."""

from __future__ import annotations

from typing import Any

import msgspec

MS = 1_000_000
SECOND = 1_000_000_000
REPEAT_BY_IDEMPOTENCY = {"retryable": "safe", "dedup": "keyed", "fragile": "unsafe"}


class ClassLimits(msgspec.Struct, frozen=True):
    """The settings of one class of message. Times in nanoseconds."""

    repeat: str  # safe, keyed or unsafe
    by_zone: bool  # a repeat is recognised only within the same zone
    window: int  # how long a key is remembered, from the sending of the first attempt that may have run
    in_turn: bool


class RuleLimits(msgspec.Struct, frozen=True):
    """The limits that a run is checked against. Times in nanoseconds; the field names are stored in recordings."""

    classes: dict[str, ClassLimits]
    answer_slack: int
    drain_grace: int
    fall: int
    fall_multiple: float
    turn_gap: int
    most_tries: int
    disk_bytes: int
    sockets_slack: int = 50 * MS  # added to each time limit, for the delay of sockets
    wait_pass: int = 100 * MS  # calls that arrive this soon after the answer with the wait are allowed
    restart_grace: int = 3 * SECOND // 2  # after a relay is ready; no notice is overdue during it
    platform_grace: int = 5 * SECOND // 2  # the same after the platform accepts notices again: backoff and resend
    heard: int = SECOND // 2  # after this time a written answer has been read, unless the relay was starved


def limits_from_settings(settings: dict[str, Any], disk_bytes: int) -> RuleLimits:
    """Build the limits from the settings that a relay receives."""
    rules = settings["rules"]
    return RuleLimits(
        classes={
            c["name"]: ClassLimits(
                repeat=REPEAT_BY_IDEMPOTENCY[c["idempotency"]],
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
