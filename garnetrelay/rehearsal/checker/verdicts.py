"""What is still to be judged, and what has been found."""

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
    """A broken rule: which, how, what broke it, whose doing it was, when, and the events that prove it."""

    rule: int
    fault: str  # short and stable, for machines
    subject: str  # a message's ref, or a scope: a partner or a route
    relay: str
    at: int  # nanoseconds since the run began
    text: str
    proof: tuple[ev.Event, ...]


Handlers = dict[type[ev.Observed], Callable[[Any], None]]  # what takes in which event


class VerdictLog:
    """Judgements that wait until all that happened by a time must have been read. An event whose ``since`` lies
    behind that time was read in a later round of the loop than anything that came before it."""

    def __init__(self) -> None:
        self.verdicts: list[Verdict] = []
        self._seen: set[tuple[int, str, str]] = set()
        self._waiting: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def later(self, ripe: int, judge: Callable[[], None]) -> None:
        """Judge once all that happened by ``ripe`` has been read."""
        heapq.heappush(self._waiting, (ripe, next(self._numbers), judge))

    def read_up_to(self, since: int) -> None:
        """All that happened by then has been read."""
        while self._waiting and self._waiting[0][0] < since:
            heapq.heappop(self._waiting)[2]()

    def finish(self) -> None:
        """Nothing more will come: judge what is left, each as it stands."""
        for _, _, judge in sorted(self._waiting, key=lambda entry: entry[:2]):
            judge()
        self._waiting.clear()

    def broken(self, rule: int, fault: str, subject: str, relay: str, at: int, text: str, proof: list[ev.Event]) -> None:
        """A rule is broken; the same of the same subject is told once."""
        if (rule, fault, subject) not in self._seen:
            self._seen.add((rule, fault, subject))
            self.verdicts.append(Verdict(rule, fault, subject, relay, at, text, tuple(proof)))


def seconds(nanoseconds: int) -> str:
    """A time in nanoseconds as the verdicts write it, in seconds."""
    return f"{nanoseconds / 1e9:.3f} s"
