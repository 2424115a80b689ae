"""What a stand-in partner does with a call: limits, slots, a queue, troubles, a cold return. No I/O, no clock.

A call that comes is refused, started or queued; the answer to one that was started is due at a stated time. Load on
a partner that has come back cold is counted as the rules have it, and too much of it pushes the partner over.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from garnetrelay.rehearsal.plan import PartnerPlan, RoutePlan

MS = 1_000_000
SECOND = 1_000_000_000
CUT_ANSWERS = (  # spoilt in ways of their own; the call has run all the same
    b"\x00\x17garbage\r\n\r\n",
    b"HTTP/1.1 500 Spoilt\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 503 Spoilt\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 2000,
    b"HTTP/1.1 429 Spoilt\r\nX-Backoff-Ms: 400\r\nno head ends like this",
)


@dataclass(slots=True, frozen=True)
class Reply:
    """How a call is answered: by a status, spoilt bytes, a break, or (``silent``) never. ``runs``: it takes effect."""

    status: int = 200
    wait_ms: int = 0
    runs: bool = False
    spoilt: bytes = b""
    breaks: bool = False
    silent: bool = False
    tells_load: bool = True


@dataclass(slots=True)
class Trouble:
    """What is wrong with a scope just now."""

    how: str  # shut, hang, fail, reset, spoil, slow, down, silent
    until: int
    share: float = 1.0  # of the calls
    factor: float = 1.0  # of the service time


@dataclass(slots=True)
class Limit:
    """So many calls a second: as a rate with a small burst, or as a count in each span."""

    kind: str  # none, rate or window
    rate: float
    span: int = 2 * SECOND
    refused_count: bool = False
    level: float = 0.0
    at: int = 0
    used: int = 0
    opened: int = 0

    @property
    def burst(self) -> float:
        """How many calls may come at once after a quiet time."""
        return max(2.0, self.rate / 2)

    def take(self, now: int) -> int | None:
        """None: let in. Otherwise after how many nanoseconds there is room again."""
        if self.kind == "none":
            return None
        if self.kind == "rate":
            self.level = max(0.0, self.level - (now - self.at) / SECOND * self.rate)
            self.at = now
            if self.level + 1 <= self.burst:
                self.level += 1
                return None
            if self.refused_count:
                self.level = min(self.level + 0.25, self.burst + 1)
            return max(MS, math.ceil((self.level + 1 - self.burst) / self.rate * SECOND))
        if now >= self.opened + self.span:
            self.opened += (now - self.opened) // self.span * self.span
            self.used = 0
        most = max(1, int(self.rate * self.span / SECOND))
        if self.used < most:
            self.used += 1
            return None
        return self.opened + self.span - now

    def left(self, now: int) -> float:
        """The share of it that is left."""
        if self.kind == "rate":
            return max(0.0, 1 - max(0.0, self.level - (now - self.at) / SECOND * self.rate) / self.burst)
        if self.kind == "window":
            fresh = now >= self.opened + self.span
            return 1.0 if fresh else max(0.0, 1 - self.used / max(1, int(self.rate * self.span / SECOND)))
        return 1.0


@dataclass(slots=True)
class Scope:
    """What a limit, a trouble and a return count for: a partner, or one of its routes."""

    name: str
    capacity: float  # calls a second when warm
    limit: Limit
    trouble: Trouble | None = None
    back_at: int | None = None
    start: float = 1.0
    ramp: int = 0
    came: deque[int] = field(default_factory=deque)  # since its return
    fallen: bool = False
    report: tuple[float, float] = (1.0, 0.0)
    report_at: int = -SECOND

    def warmth(self, now: int) -> float:
        """The share of its capacity that it has."""
        if self.back_at is None:
            return 1.0
        done = (now - self.back_at) / self.ramp if self.ramp else 1.0
        return min(1.0, self.start + (1 - self.start) * max(0.0, done))

    def weigh(self, now: int, fall: int, multiple: float) -> bool:
        """Count what came; whether that pushes it over just now."""
        if self.back_at is None or self.fallen or now > self.back_at + self.ramp + fall:
            return False
        self.came.append(now)
        while self.came[0] <= now - fall:
            self.came.popleft()
        budget = multiple * self.capacity * self.warmth(now) * fall / SECOND
        self.fallen = len(self.came) > budget + max(2.0, math.sqrt(budget))
        return self.fallen


@dataclass(slots=True)
class Route:
    """An endpoint: slots, and a queue before them."""

    plan: RoutePlan
    scope: Scope
    slots: int
    depth: int
    busy: int = 0
    queue: deque[int] = field(default_factory=deque)  # calls
    started: set[int] = field(default_factory=set)
    draining: bool = False


@dataclass(slots=True, frozen=True)
class Due:
    """A call has been started: its answer is due at a time."""

    call: int
    at: int
    reply: Reply


class Partner:
    """One partner system behind its endpoints."""

    def __init__(self, plan: PartnerPlan, seed: int, fall: int, multiple: float) -> None:
        self.plan = plan
        self.fall = fall
        self.multiple = multiple
        self.random = random.Random(f"{seed}/partner/{plan.number}")
        self.scopes: dict[str, Scope] = {}
        self.routes: dict[str, Route] = {}
        for route in plan.routes:
            self.add(route)

    def add(self, plan: RoutePlan) -> Route:
        """One more endpoint."""
        own = self.plan
        name = plan.name if own.apart else f"partner-{own.number}"
        if name not in self.scopes:
            share = 1 / own.route_count if own.apart else 1.0
            self.scopes[name] = Scope(
                name, own.capacity * share, Limit(own.limit, own.limit_rate * share, own.span, own.refused_count)
            )
        route = self.routes[plan.name] = Route(plan, self.scopes[name], own.slots, own.depth)
        return route

    # ---- calls

    def arrive(self, now: int, name: str, call: int) -> Reply | Due | None:
        """A call has come whole. None: it waits in the queue."""
        route = self.routes[name]
        scope = route.scope
        scope.weigh(now, self.fall, self.multiple)
        if scope.fallen or route.draining:
            return Reply(503)
        refused = self._troubled(now, scope)
        if refused is not None:
            return refused
        wait = scope.limit.take(now)
        if wait is not None:
            return self._refusal(wait)
        if route.busy < route.slots:
            return self._start(now, route, call)
        if len(route.queue) < route.depth:
            route.queue.append(call)
            return None
        return Reply(503)

    def finish(self, now: int, name: str, call: int) -> list[Due]:
        """A call that was started is over; those that go on in its place."""
        route = self.routes[name]
        if call in route.started:
            route.started.discard(call)
            route.busy -= 1
        started = []
        while route.busy < route.slots and route.queue:
            started.append(self._start(now, route, route.queue.popleft()))
        return started

    def gone(self, name: str, call: int) -> bool:
        """Its connection ended: one in the queue is dropped (True), one that was started runs on."""
        route = self.routes[name]
        if call not in route.queue:
            return False
        route.queue.remove(call)
        return True

    def probe(self, now: int, name: str) -> int:
        """The status that answers a probe; 0: none."""
        route = self.routes[name]
        route.scope.weigh(now, self.fall, self.multiple)
        trouble = route.scope.trouble
        if route.scope.fallen or route.draining:
            return 503
        if trouble is None or trouble.how in ("slow", "spoil", "reset"):
            return 200
        return 0 if trouble.how in ("hang", "silent") else 503

    def _troubled(self, now: int, scope: Scope) -> Reply | None:
        trouble = scope.trouble
        if trouble is None or trouble.how in ("slow", "silent", "down") or self.random.random() >= trouble.share:
            return None
        runs = self.random.random() < 0.5
        match trouble.how:
            case "shut":
                return self._refusal(max(MS, trouble.until - now))
            case "hang":
                return Reply(silent=True, runs=runs)
            case "fail":
                return Reply(500, runs=runs)
            case "reset":
                return Reply(breaks=True, runs=runs)
            case _:
                return Reply(0, runs=True, spoilt=self.random.choice(CUT_ANSWERS))

    def _refusal(self, wait: int) -> Reply:
        told = self.random.random() < self.plan.tells_wait
        return Reply(429, wait_ms=math.ceil(wait / MS)) if told else Reply(503)

    def _start(self, now: int, route: Route, call: int) -> Due:
        route.busy += 1
        route.started.add(call)
        trouble = route.scope.trouble
        factor = trouble.factor if trouble is not None and trouble.how == "slow" else 1.0
        mean = self.plan.service * factor / route.scope.warmth(now)
        took = mean * self.random.lognormvariate(-(self.plan.spread**2) / 2, self.plan.spread)
        return Due(call, now + int(took), Reply(200, runs=True))

    # ---- what becomes of it

    def strike(self, now: int, scope: str, trouble: Trouble) -> None:
        """A trouble begins."""
        self.scopes[scope].trouble = trouble

    def heal(self, now: int, scope: str, cold: float | None, ramp: int) -> None:
        """It is over; with ``cold`` the scope comes back with that share of its capacity."""
        found = self.scopes[scope]
        found.trouble = None
        found.fallen = False
        found.came.clear()
        if cold is not None:
            found.back_at, found.start, found.ramp = now, cold, ramp

    def load(self, now: int, name: str) -> tuple[float, float] | None:
        """What its answers report: the share of the limit that is left, and the limit; None without a limit."""
        scope = self.routes[name].scope
        if scope.limit.kind == "none":
            return None
        if now >= scope.report_at + self.plan.report_every:
            noise = self.random.uniform(0.9, 1.1)
            scope.report, scope.report_at = (scope.limit.left(now) * noise, scope.limit.rate * noise), now
        return scope.report
