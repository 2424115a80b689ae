"""Verdicts, and the log that collects them and runs deferred checks."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import msgspec

from garnetrelay.rehearsal import events as ev

RULES = {
    0: "the relay runs, within its limits",
    1: "exactly one final answer in time, nothing lost",
    2: "no effect twice",
    3: "drains are kept",
    4: "no returning partner is pushed over",
    5: "order where a class asks for it",
    6: "waits are heeded",
}


class Verdict(msgspec.Struct, frozen=True):
    """A rule violation: the rule, the fault, the subject, the responsible relay, the time and the events as evidence."""

    rule: int
    fault: str  # short, stable and machine-readable
    subject: str  # a message's ref, or a scope: a partner or a route
    relay: str
    at: int  # nanoseconds since the run began
    text: str
    proof: tuple[ev.Event, ...]


Handlers = dict[type[ev.Observed], Callable[[Any], None]]  # event type to handler


class VerdictLog:
    """Collects verdicts, and defers checks until every event up to a given time must have been read.

    An event whose ``since`` is after that time was read in a later iteration of the event loop than any event
    that happened before it.
    """

    def __init__(self) -> None:
        self.verdicts: list[Verdict] = []
        self._reported: set[tuple[int, str, str]] = set()
        self._deferred: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def defer(self, until: int, check: Callable[[], None]) -> None:
        """Run a check once every event up to ``until`` has been read."""
        heapq.heappush(self._deferred, (until, next(self._sequence), check))

    def run_due(self, since: int) -> None:
        """Run the deferred checks that are due: every event before ``since`` has been read."""
        while self._deferred and self._deferred[0][0] < since:
            heapq.heappop(self._deferred)[2]()

    def finish(self) -> None:
        """Run all remaining deferred checks in order: the run has ended."""
        for _, _, check in sorted(self._deferred, key=lambda entry: entry[:2]):
            check()
        self._deferred.clear()

    def report(self, rule: int, fault: str, subject: str, relay: str, at: int, text: str, proof: list[ev.Event]) -> None:
        """Record a violation; the same fault of the same subject is recorded once."""
        if (rule, fault, subject) not in self._reported:
            self._reported.add((rule, fault, subject))
            self.verdicts.append(Verdict(rule, fault, subject, relay, at, text, tuple(proof)))


def seconds(nanoseconds: int) -> str:
    """A time in nanoseconds, formatted in seconds for the text of a verdict."""
    return f"{nanoseconds / 1e9:.3f} s"
