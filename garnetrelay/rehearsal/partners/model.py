"""Model of a simulated partner: rate limits, slots, queues, injected faults and cold recovery. No I/O, no clock.

A call is refused, started or queued on arrival; a started call is answered at a scheduled time. After a cold recovery,
calls are counted as the rules of the settings define, and a partner that receives too many falls over.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from garnetrelay.rehearsal.plan import PartnerPlan, RoutePlan

MS = 1_000_000
SECOND = 1_000_000_000
MALFORMED_ANSWERS = (  # the call has taken effect even though its answer cannot be parsed
    b"\x00\x17garbage\r\n\r\n",
    b"HTTP/1.1 500 Spoilt\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 503 Spoilt\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 2000,
    b"HTTP/1.1 429 Spoilt\r\nX-Backoff-Ms: 400\r\nno head ends like this",
)


DEGRADING_FAULTS = frozenset({"reset", "repeat", "slow", "spoil"})  # the partner goes on serving: no outage


@dataclass(slots=True, frozen=True)
class Reply:
    """How a call is answered: with a status, with malformed bytes, by a connection reset, or (``no_answer``) not at all.

    ``runs``: the call takes effect.
    """

    status: int = 200
    wait_ms: int = 0
    runs: bool = False
    malformed: bytes = b""
    resets: bool = False
    no_answer: bool = False
    reports_load: bool = True


@dataclass(slots=True, frozen=True)
class InjectedFault:
    """The fault that is injected into a scope."""

    kind: str  # shut, hang, fail, reset, spoil, repeat, slow, down, silent
    until: int
    share: float = 1.0  # of the calls that are affected
    factor: float = 1.0  # multiplies the service time
    late_ms: tuple[float, float] = (0.0, 0.0)  # range, from an answer to its second copy
    refused: float = 0.0  # share of the calls that end with 503 after the usual time, where answers are written twice


@dataclass(slots=True)
class Limit:
    """A limit of calls per second: a rate with a small burst, or a count per window."""

    kind: str  # none, rate or window
    rate: float
    window: int = 2 * SECOND
    refused_count: bool = False
    level: float = 0.0
    updated_at: int = 0
    used: int = 0
    window_start: int = 0

    @property
    def burst(self) -> float:
        """How many calls are accepted at once after an idle period."""
        return max(2.0, self.rate / 2)

    def take(self, now: int) -> int | None:
        """Count a call. Returns None if it is accepted, else the nanoseconds until the limit accepts one again."""
        if self.kind == "none":
            return None
        if self.kind == "rate":
            self.level = max(0.0, self.level - (now - self.updated_at) / SECOND * self.rate)
            self.updated_at = now
            if self.level + 1 <= self.burst:
                self.level += 1
                return None
            if self.refused_count:
                self.level = min(self.level + 0.25, self.burst + 1)
            return max(MS, math.ceil((self.level + 1 - self.burst) / self.rate * SECOND))
        if now >= self.window_start + self.window:
            self.window_start += (now - self.window_start) // self.window * self.window
            self.used = 0
        max_calls = max(1, int(self.rate * self.window / SECOND))
        if self.used < max_calls:
            self.used += 1
            return None
        return self.window_start + self.window - now

    def remaining(self, now: int) -> float:
        """The remaining share of the limit."""
        if self.kind == "rate":
            return max(0.0, 1 - max(0.0, self.level - (now - self.updated_at) / SECOND * self.rate) / self.burst)
        if self.kind == "window":
            fresh = now >= self.window_start + self.window
            return 1.0 if fresh else max(0.0, 1 - self.used / max(1, int(self.rate * self.window / SECOND)))
        return 1.0


@dataclass(slots=True)
class Scope:
    """The unit that a limit, a fault and a recovery apply to: a partner, or one of its routes."""

    name: str
    capacity: float  # calls a second when warm
    limit: Limit
    fault: InjectedFault | None = None
    recovered_at: int | None = None
    start_share: float = 1.0
    ramp: int = 0
    arrivals: deque[int] = field(default_factory=deque)  # times of the calls and probes since the recovery
    fallen: bool = False
    report: tuple[float, float] = (1.0, 0.0)
    report_at: int = -SECOND

    def capacity_share(self, now: int) -> float:
        """The share of its capacity that is available."""
        if self.recovered_at is None:
            return 1.0
        done = (now - self.recovered_at) / self.ramp if self.ramp else 1.0
        return min(1.0, self.start_share + (1 - self.start_share) * max(0.0, done))

    def count_arrival(self, now: int, fall_window: int, fall_multiple: float) -> bool:
        """Count a call or probe. Returns whether it makes the scope fall over."""
        if self.recovered_at is None or self.fallen or now > self.recovered_at + self.ramp + fall_window:
            return False
        self.arrivals.append(now)
        while self.arrivals[0] <= now - fall_window:
            self.arrivals.popleft()
        budget = fall_multiple * self.capacity * self.capacity_share(now) * fall_window / SECOND
        self.fallen = len(self.arrivals) > budget + max(2.0, math.sqrt(budget))
        return self.fallen


@dataclass(slots=True)
class Route:
    """An endpoint: its slots and the queue of calls that wait for one."""

    plan: RoutePlan
    scope: Scope
    slots: int
    queue_size: int
    busy: int = 0
    queue: deque[int] = field(default_factory=deque)  # numbers of calls
    started: set[int] = field(default_factory=set)
    draining: bool = False


@dataclass(slots=True, frozen=True)
class ScheduledReply:
    """The reply to a started call, and the time at which it is due."""

    call: int
    at: int
    reply: Reply


class Partner:
    """One partner system and its endpoints."""

    def __init__(self, plan: PartnerPlan, seed: int, fall_window: int, fall_multiple: float) -> None:
        self.plan = plan
        self.fall_window = fall_window
        self.fall_multiple = fall_multiple
        self.random = random.Random(f"{seed}/partner/{plan.number}")
        self.scopes: dict[str, Scope] = {}
        self.routes: dict[str, Route] = {}
        for route in plan.routes:
            self.add(route)

    def add(self, plan: RoutePlan) -> Route:
        """Add an endpoint."""
        partner = self.plan
        name = plan.name if partner.apart else f"partner-{partner.number}"
        if name not in self.scopes:
            share = 1 / partner.route_count if partner.apart else 1.0
            self.scopes[name] = Scope(
                name,
                partner.capacity * share,
                Limit(partner.limit, partner.limit_rate * share, partner.span, partner.refused_count),
            )
        route = self.routes[plan.name] = Route(plan, self.scopes[name], partner.slots, partner.depth)
        return route

    # ---- calls

    def arrive(self, now: int, name: str, call: int) -> Reply | ScheduledReply | None:
        """Handle a call that was received completely. Returns None if it is queued."""
        route = self.routes[name]
        scope = route.scope
        scope.count_arrival(now, self.fall_window, self.fall_multiple)
        if scope.fallen or route.draining:
            return Reply(503)
        refused = self._faulty_reply(now, scope)
        if refused is not None:
            return refused
        wait = scope.limit.take(now)
        if wait is not None:
            return self._refusal(wait)
        if route.busy < route.slots:
            return self._start(now, route, call)
        if len(route.queue) < route.queue_size:
            route.queue.append(call)
            return None
        return Reply(503)

    def finish(self, now: int, name: str, call: int) -> list[ScheduledReply]:
        """End a started call. Returns the queued calls that are started in the freed slots."""
        route = self.routes[name]
        if call in route.started:
            route.started.discard(call)
            route.busy -= 1
        started = []
        while route.busy < route.slots and route.queue:
            started.append(self._start(now, route, route.queue.popleft()))
        return started

    def connection_closed(self, name: str, call: int) -> bool:
        """Handle the end of a call's connection. A queued call is dropped (returns True), a started one continues."""
        route = self.routes[name]
        if call not in route.queue:
            return False
        route.queue.remove(call)
        return True

    def probe(self, now: int, name: str) -> int:
        """The status that answers a probe; 0 if the probe stays unanswered."""
        route = self.routes[name]
        route.scope.count_arrival(now, self.fall_window, self.fall_multiple)
        fault = route.scope.fault
        if route.scope.fallen or route.draining:
            return 503
        if fault is None or fault.kind in DEGRADING_FAULTS:
            return 200
        return 0 if fault.kind in ("hang", "silent") else 503

    def second_copy_delay(self, name: str) -> float | None:
        """The seconds from an answer of a route to its second copy; None if the answer is written once."""
        fault = self.routes[name].scope.fault
        if fault is None or fault.kind != "repeat" or self.random.random() >= fault.share:
            return None
        return self.random.uniform(*fault.late_ms) / 1000

    def _faulty_reply(self, now: int, scope: Scope) -> Reply | None:
        fault = scope.fault
        if fault is None or fault.kind in ("repeat", "slow", "silent", "down") or self.random.random() >= fault.share:
            return None
        runs = self.random.random() < 0.5
        match fault.kind:
            case "shut":
                return self._refusal(max(MS, fault.until - now))
            case "hang":
                return Reply(no_answer=True, runs=runs)
            case "fail":
                return Reply(500, runs=runs)
            case "reset":
                return Reply(resets=True, runs=runs)
            case _:
                return Reply(0, runs=True, malformed=self.random.choice(MALFORMED_ANSWERS))

    def _refusal(self, wait: int) -> Reply:
        states_wait = self.random.random() < self.plan.tells_wait
        return Reply(429, wait_ms=math.ceil(wait / MS)) if states_wait else Reply(503)

    def _start(self, now: int, route: Route, call: int) -> ScheduledReply:
        route.busy += 1
        route.started.add(call)
        fault = route.scope.fault
        factor = fault.factor if fault is not None and fault.kind == "slow" else 1.0
        mean = self.plan.service * factor / route.scope.capacity_share(now)
        duration = mean * self.random.lognormvariate(-(self.plan.spread**2) / 2, self.plan.spread)
        refused = fault is not None and fault.refused and self.random.random() < fault.refused
        return ScheduledReply(call, now + int(duration), Reply(503) if refused else Reply(200, runs=True))

    # ---- faults and load reports

    def inject_fault(self, now: int, scope: str, fault: InjectedFault) -> None:
        """Begin a fault."""
        self.scopes[scope].fault = fault

    def clear_fault(self, now: int, scope: str, cold: float | None, ramp: int) -> None:
        """End the fault. With ``cold``, the scope recovers with that share of its capacity."""
        recovering = self.scopes[scope]
        recovering.fault = None
        recovering.fallen = False
        recovering.arrivals.clear()
        if cold is not None:
            recovering.recovered_at, recovering.start_share, recovering.ramp = now, cold, ramp

    def load(self, now: int, name: str) -> tuple[float, float] | None:
        """The load report of an answer: remaining share of the limit, and the limit; None without a limit."""
        scope = self.routes[name].scope
        if scope.limit.kind == "none":
            return None
        if now >= scope.report_at + self.plan.report_every:
            noise = self.random.uniform(0.9, 1.1)
            scope.report, scope.report_at = (scope.limit.remaining(now) * noise, scope.limit.rate * noise), now
        return scope.report
