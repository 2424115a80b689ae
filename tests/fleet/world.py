"""Many Pacers on one driven clock, to test the collective behaviour of a fleet that no single Pacer sees.

A small simulation of its own: destinations have a limit that all relays share and that refused calls use up too;
answers report the remaining share with a delay. Every random value comes from the seed. Nothing sleeps.
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
class SharedDestination:
    """A destination shared by all relays: it allows a number of calls per second, counted in spans or, with ``span``
    0, as a plain rate that accumulates unused calls; refused calls are counted like others."""

    number: int
    limit: float
    span: int = S
    refresh: int = 300 * MS  # maximum age of the reports in its answers
    latency: int = 150 * MS
    wait: int = 0  # backoff sent with its refusals
    # From, until (since the start), and the share of the limit that remains.
    lowered: tuple[int, int, float] = (0, 0, 1.0)
    down: tuple[int, int] = (0, 0)  # connections are refused: from, until (since the start)
    kept: float = 1.0  # for a plain rate: unused calls that accumulate, in seconds of the rate
    counts: Counter[int] = field(default_factory=Counter)  # calls by span, including refused ones
    remaining_calls: float = math.nan  # for a plain rate: remaining calls; refused ones may make it negative
    remaining_at: int = 0
    last_report: io.Report = field(default_factory=lambda: io.Report(1.0, 0.0))
    reported_at: int = -S
    responses: list[tuple[int, io.Status]] = field(default_factory=list)  # time and status of each call

    def limit_at(self, at: int) -> float:
        since, until, share = self.lowered
        return self.limit * (share if since <= at < until else 1.0)

    def call(self, at: int) -> tuple[io.Status, io.Report | None]:
        if self.down[0] <= at < self.down[1]:
            self.responses.append((at, io.Status.CONNECT_FAILED))
            return io.Status.CONNECT_FAILED, None
        remaining, capacity = self.consume(at)
        if at >= self.reported_at + self.refresh:
            self.last_report, self.reported_at = io.Report(max(0.0, remaining / capacity), self.limit_at(at)), at
        status = io.Status.OK if remaining >= 1 else io.Status.FULL
        self.responses.append((at, status))
        return status, self.last_report

    def consume(self, at: int) -> tuple[float, float]:
        """Counts one call against the limit; returns how many calls remained before it, and the maximum."""
        limit = self.limit_at(at)
        if self.span:
            used = self.counts[at // self.span]
            self.counts[at // self.span] += 1
            return limit * self.span / S - used, limit * self.span / S
        capacity = limit * self.kept
        known = capacity if math.isnan(self.remaining_calls) else self.remaining_calls
        remaining = min(capacity, known + limit * (at - self.remaining_at) / S)
        self.remaining_calls, self.remaining_at = max(-capacity, remaining - 1), at
        return remaining, capacity

    def share(self, status: io.Status, since: int = 0, until: int = 1 << 62) -> float:
        """Returns the share of the calls in a period that were answered with a status."""
        calls = [s for at, s in self.responses if since <= at < until]
        return sum(s is status for s in calls) / max(1, len(calls))


@dataclass
class DiscoveryService:
    """Discovery as one service for all relays. It processes calls in order, including calls that have already timed
    out."""

    call_time: int  # processing time of a call
    timeout: int = 2 * S  # timeout after which a call has failed
    max_queueing_time: int = 3 * S  # calls that would wait longer than this are rejected
    free_at: int = 0
    asked: list[int] = field(default_factory=list)

    def ask(self, at: int) -> tuple[int, bool]:
        """Returns when a call ends, and whether it was answered."""
        self.asked.append(at)
        done = max(at, self.free_at) + self.call_time
        if done - at > self.max_queueing_time:
            return at + MS, False
        self.free_at = done
        return (done, True) if done - at <= self.timeout else (at + self.timeout, False)


class Fleet:
    """Relays that know only the number of relays, and the messages that arrive at them."""

    def __init__(
        self,
        shared: list[SharedDestination],
        relays: int,
        rate: float,
        seed: int = 1,
        register: DiscoveryService | None = None,
        shares: list[float] | None = None,
        **changes: Any,
    ) -> None:
        self.random = random.Random(seed)
        self.shares = shares  # share of the messages by relay; None: all equal
        self.register = register
        self.listed: dict[int, int] = {}  # when each relay first received the list from discovery
        self.shared = {one.number: one for one in shared}
        self.rate = rate  # messages per second over all relays, distributed over the destinations by their limits
        if register is not None:
            changes["discovery"] = io.Discovery.SUBSCRIBE
        changes = {"relays": relays, "slots": 6, "listed_rates": True, "refused_price": 0.1, **changes}
        self.settings = settings(**changes)
        self.pacers = [Pacer(self.settings, seed * 1000 + n) for n in range(relays)]
        self.queue: list[tuple[int, int, int, Callable[[], io.Event]]] = []
        self.order = itertools.count()
        self.attempts: Counter[str] = Counter()
        self.arrived: dict[str, int] = {}
        self.arrivals: list[tuple[int, int]] = []  # when each message arrived since the start, and at which relay
        self.times: list[int] = []  # from arrival to delivery of each delivered message
        self.actions: list[tuple[int, int, io.Action]] = []  # time, relay and action
        self.roster = roster = io.Roster(
            io.ListScope.CACHED, tuple(entry(f"h{one.number}", one.number, rate=one.limit) for one in shared)
        )
        for n in range(relays):
            self.at(START + self.random.randrange(TICK), n, lambda: roster)

    def at(self, when: int, relay: int, event: Callable[[], io.Event]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), relay, event))

    def run(self, seconds: float) -> None:
        """Messages arrive for this many seconds; then the simulation runs on until nothing is due for a while."""
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
            self.arrivals.append((when - START, relay))
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
                ok = status is io.Status.OK
                cost = round((shared.latency if ok else 30 * MS) * self.random.uniform(0.7, 1.3))
                if ok:
                    self.times.append(now + cost - self.arrived[call])
                wait = shared.wait if status is io.Status.FULL else 0
                self.at(now + cost, relay, lambda: io.Verdict(call, number, host, status, cost, ok, wait, False, report))
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
