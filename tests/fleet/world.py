"""Many Pacers over one driven clock: what a fleet does together that none of them sees.

A small world of its own: destinations with a limit that all relays share, and that refused calls use up too;
what is left of it comes with answers, as it was a moment ago. Every draw comes from the seed. Nothing sleeps.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.helpers import MS, SAFE, S, entry, settings

START = 1000 * S
TICK = 5 * MS


@dataclass
class Shared:
    """A destination as all relays meet it: so many calls a second, counted in spans, or as a plain rate (``span`` 0)
    with so many calls kept for later; refused calls owe as much as others."""

    number: int
    limit: float
    span: int = S
    refresh: int = 300 * MS  # how old what it tells may be
    latency: int = 150 * MS
    wait: int = 0  # that its refusals tell
    lowered: tuple[int, int, float] = (0, 0, 1.0)  # from, until (since the start), to that share of its limit
    down: tuple[int, int] = (0, 0)  # connections are refused from, until
    kept: float = 1.0  # of a plain rate, in seconds of it
    counts: Counter[int] = field(default_factory=Counter)  # calls, refused ones too, by span
    allowed: float = math.nan  # calls that a plain rate has left; refused ones may make it a debt
    allowed_at: int = 0
    told: io.Report = field(default_factory=lambda: io.Report(1.0, 0.0))
    told_at: int = -S
    got: list[tuple[int, io.Status]] = field(default_factory=list)  # when, and how it was answered

    def limit_at(self, at: int) -> float:
        since, until, share = self.lowered
        return self.limit * (share if since <= at < until else 1.0)

    def call(self, at: int) -> tuple[io.Status, io.Report | None]:
        if self.down[0] <= at < self.down[1]:
            self.got.append((at, io.Status.CONNECT_FAILED))
            return io.Status.CONNECT_FAILED, None
        left, whole = self.spend(at)
        if at >= self.told_at + self.refresh:
            self.told, self.told_at = io.Report(max(0.0, left / whole), self.limit_at(at)), at
        status = io.Status.OK if left >= 1 else io.Status.FULL
        self.got.append((at, status))
        return status, self.told

    def spend(self, at: int) -> tuple[float, float]:
        """One call of the limit: how many were left ahead of it, and how many there are at most."""
        limit = self.limit_at(at)
        if self.span:
            used = self.counts[at // self.span]
            self.counts[at // self.span] += 1
            return limit * self.span / S - used, limit * self.span / S
        whole = limit * self.kept
        known = whole if math.isnan(self.allowed) else self.allowed
        left = min(whole, known + limit * (at - self.allowed_at) / S)
        self.allowed, self.allowed_at = max(-whole, left - 1), at
        return left, whole

    def share(self, status: io.Status, since: int = 0, until: int = 1 << 62) -> float:
        """How many of the calls in that time were answered so."""
        calls = [s for at, s in self.got if since <= at < until]
        return sum(s is status for s in calls) / max(1, len(calls))


@dataclass
class Register:
    """Discovery as one service for all relays, which works through calls in turn, also those that ran out of time."""

    each: int  # its time for a call
    patience: int = 2 * S  # after which a call has failed
    overbooked: int = 3 * S  # more to wait than that, and a call is turned away
    free_at: int = 0
    asked: list[int] = field(default_factory=list)

    def ask(self, at: int) -> tuple[int, bool]:
        """When a call is over, and whether it was answered."""
        self.asked.append(at)
        done = max(at, self.free_at) + self.each
        if done - at > self.overbooked:
            return at + MS, False
        self.free_at = done
        return (done, True) if done - at <= self.patience else (at + self.patience, False)


class Fleet:
    """Relays that know of each other only their number, and the messages that come to them."""

    def __init__(
        self,
        shared: list[Shared],
        relays: int,
        rate: float,
        seed: int = 1,
        register: Register | None = None,
        shares: list[float] | None = None,
        **changes: Any,
    ) -> None:
        self.random = random.Random(seed)
        self.shares = shares  # of the messages, by relay; None: all alike
        self.register = register
        self.listed: dict[int, int] = {}  # when each relay first had the list from the register
        self.shared = {one.number: one for one in shared}
        self.rate = rate  # messages a second, over all relays and destinations by their limits
        if register is not None:
            changes["discovery"] = io.Discovery.SUBSCRIBE
        changes = {"relays": relays, "slots": 6, "listed_rates": True, "refused_price": 0.1, **changes}
        self.settings = settings(**changes)
        self.pacers = [Pacer(self.settings, seed * 1000 + n) for n in range(relays)]
        self.queue: list[tuple[int, int, int, Callable[[], io.Event]]] = []
        self.order = itertools.count()
        self.attempts: Counter[str] = Counter()
        self.arrived: dict[str, int] = {}
        self.came: list[tuple[int, int]] = []  # when each message came since the start, and to which relay
        self.times: list[int] = []  # of messages that were delivered, from their arrival
        self.actions: list[tuple[int, int, io.Action]] = []  # when, which relay, what
        self.roster = roster = io.Roster(
            io.ListScope.CACHED, tuple(entry(f"h{one.number}", one.number, rate=one.limit) for one in shared)
        )
        for n in range(relays):
            self.at(START + self.random.randrange(TICK), n, lambda: roster)

    def at(self, when: int, relay: int, event: Callable[[], io.Event]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), relay, event))

    def run(self, seconds: float) -> None:
        """Messages come for so long; then the fleet works on until nothing is due within a while."""
        end = START + round(seconds * S)
        numbers = list(self.shared)
        weights = [self.shared[number].limit for number in numbers]
        when = START
        for n in range(round(self.rate * seconds)):
            when = START + round(seconds * S * n / (self.rate * seconds))
            dest = self.random.choices(numbers, weights)[0]
            self.arrived[f"m{n}"] = when
            relay = (
                self.random.choices(range(len(self.pacers)), self.shares)[0]
                if self.shares
                else self.random.randrange(len(self.pacers))
            )
            self.came.append((when - START, relay))
            self.at(
                when,
                relay,
                lambda n=n, dest=dest: io.Arrived(f"m{n}", 0, SAFE, dest, None, 20 * S),  # type: ignore[misc]
            )
        while self.queue and self.queue[0][0] < end + 5 * S:
            now, _, relay, event = heapq.heappop(self.queue)
            for action in self.pacers[relay].handle(now, [event()]):
                self.actions.append((now - START, relay, action))
                self.carry_out(now, relay, action)

    def carry_out(self, now: int, relay: int, action: io.Action) -> None:
        match action:
            case io.Send(call, host, _):
                number = self.attempts[call]
                self.attempts[call] += 1
                shared = self.shared[int(host[1:])]
                status, report = shared.call(now - START)
                good = status is io.Status.OK
                cost = round((shared.latency if good else 30 * MS) * self.random.uniform(0.7, 1.3))
                if good:
                    self.times.append(now + cost - self.arrived[call])
                wait = shared.wait if status is io.Status.FULL else 0
                self.at(
                    now + cost, relay, lambda: io.Verdict(call, number, host, status, cost, good, wait, False, report)
                )
            case io.Probe(host, _):
                status, report = self.shared[int(host[1:])].call(now - START)
                self.at(now + 30 * MS, relay, lambda: io.Probed(host, status, 30 * MS, report))
            case io.Subscribe() if self.register is not None:
                over, answered = self.register.ask(now)
                if answered:
                    self.listed.setdefault(relay, over - START)
                scope = io.ListScope.WHOLE if answered else io.ListScope.FAILED
                self.at(over, relay, lambda: io.Roster(scope, self.roster.entries if answered else ()))
            case io.Wake(after, token):
                self.at(now + after, relay, lambda: io.Alarm(token))
