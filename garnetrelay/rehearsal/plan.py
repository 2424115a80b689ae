"""The schedule of a run: actual partners, hand-ins and steps, drawn from a scenario and a seed. No I/O.

The same scenario, seed and length give the same plan on any machine; ``digest`` identifies it.
"""

from __future__ import annotations

import bisect
import hashlib
import itertools
import math
import random
from typing import Any

import msgspec

from garnetrelay.rehearsal.scenario import PARTNER_FAULTS, Class, Kind, Scenario, StepSpec

MS = 1_000_000
SECOND = 1_000_000_000
MAX_KILL_DELAY_S = 0.6  # from the start of a new process that an upgrade step kills
MIN_SLOTS = 2
MIN_PENDING_MESSAGES = 12
IDEMPOTENCY_NAMES = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


class RoutePlan(msgspec.Struct, frozen=True):
    """An endpoint."""

    name: str
    zone: str


class PartnerPlan(msgspec.Struct, frozen=True):
    """The actual properties of a partner. Times in nanoseconds; rates in calls per second, summed over its endpoints."""

    number: int
    kind: str
    apart: bool
    routes: tuple[RoutePlan, ...]
    weight: float  # share of the traffic
    full: float  # calls per second at full load
    capacity: float
    service: int  # mean service time
    spread: float  # sigma of the lognormal distribution of the service time
    slots: int  # per endpoint
    depth: int  # queue capacity per endpoint
    limit: str
    limit_rate: float
    listed: float  # the agreed rate of each scope, as discovery lists it
    span: int
    tells_wait: float
    refused_count: bool
    connections: int  # limit per endpoint; 0: none
    report_every: int

    @property
    def route_count(self) -> int:
        """How many endpoints the partner has."""
        return len(self.routes)

    @property
    def scopes(self) -> tuple[str, ...]:
        """The scopes of its rate limits: each route, or the partner as a whole."""
        if self.apart:
            return tuple(route.name for route in self.routes)
        return (f"partner-{self.number}",)


class Arrival(msgspec.Struct, frozen=True, gc=False):
    """A message of a client: time, class, partner and key (empty: a unique key)."""

    at: int
    klass: int
    dest: int
    key: str


class Step(msgspec.Struct, frozen=True):
    """A scheduled step; ``ends`` is 0 if it has no duration."""

    at: int
    ends: int
    spec: StepSpec
    partners: tuple[int, ...] = ()
    routes: tuple[str, ...] = ()
    relay: str = ""
    fault: str = ""  # of an upgrade: the fault of the new process
    after: int = 0  # of an upgrade: nanoseconds from the start of the new process until it is killed


class Plan(msgspec.Struct, frozen=True):
    """The complete schedule of a run."""

    scenario: str
    seed: int
    length: int
    relays: tuple[str, ...]
    settings: dict[str, Any]
    limits: dict[str, float]
    partners: tuple[PartnerPlan, ...]
    arrivals: tuple[Arrival, ...]
    steps: tuple[Step, ...]
    late: tuple[int, int]

    @property
    def uses_operator_commands(self) -> bool:
        """Whether steps send operator commands to the relays."""
        return any(step.spec.what in ("upgrade", "by-hand") for step in self.steps)

    def digest(self) -> str:
        """A hash of the plan: equal digests mean the same schedule."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()[:16]


def make(scenario: Scenario, seed: int, relays: int | None = None, seconds: float | None = None) -> Plan:
    """Draw the schedule of a scenario.

    ``relays`` and ``seconds`` override the scenario's values. In a run of another length, the times of the steps are
    scaled in proportion; their durations are scaled only if the run is shorter.
    """
    count, length = relays or scenario.relays, seconds or scenario.seconds
    partners = _partners(scenario, random.Random(f"{seed}/partners"))
    stretch = length / scenario.seconds
    steps = _steps(scenario, partners, count, stretch, random.Random(f"{seed}/steps"))
    arrivals = _arrivals(scenario, partners, steps, int(length * SECOND), random.Random(f"{seed}/arrivals"))
    settings, limits = _relay_config(scenario, partners, count)
    late = (int(scenario.register.late_s[0] * SECOND), int(scenario.register.late_s[1] * SECOND))
    return Plan(
        scenario.name,
        seed,
        int(length * SECOND),
        tuple(f"relay{n + 1}" for n in range(count)),
        settings,
        limits,
        partners,
        arrivals,
        steps,
        late,
    )


def _partners(scenario: Scenario, draw: random.Random) -> tuple[PartnerPlan, ...]:
    kinds = [kind for kind in scenario.kinds for _ in range(kind.count)]
    weights = [kind.weight * draw.uniform(0.5, 1.0) / (1 + place * 0.1) for place, kind in enumerate(kinds)]
    total = sum(weights)
    services = [_service(scenario.classes, kind, draw) for kind in kinds]
    result = []
    for number, (kind, weight, service) in enumerate(zip(kinds, weights, services, strict=True), start=1):
        share = weight / total
        full = scenario.load.rate / scenario.load.of_full * share
        routes = draw.randint(*kind.routes)
        # Smaller partners have fewer endpoints, so that each endpoint still gets some calls.
        routes = max(1, min(routes, int(full / kind.least_rate) + 1))
        limit_rate = max(full * draw.uniform(*kind.headroom), kind.least_rate * (routes if kind.apart else 1))
        capacity = limit_rate * draw.uniform(*kind.spare)
        slots = max(MIN_SLOTS, math.ceil(capacity / routes * service / SECOND))
        capacity = slots * routes * SECOND / service  # the capacity of the rounded number of slots
        first = draw.randrange(len(scenario.buildings))
        result.append(
            PartnerPlan(
                number=number,
                kind=kind.name,
                apart=kind.apart,
                routes=tuple(
                    RoutePlan(
                        f"{kind.name}-{number}-{place + 1}", scenario.buildings[(first + place) % len(scenario.buildings)]
                    )
                    for place in range(routes)
                ),
                weight=share,
                full=full,
                capacity=capacity,
                service=service,
                spread=0.4,
                slots=slots,
                depth=max(2, math.ceil(kind.depth_s * capacity / routes)),
                limit=kind.limit,
                limit_rate=limit_rate,
                listed=limit_rate / (routes if kind.apart else 1),
                span=2 * SECOND,
                tells_wait=draw.uniform(*kind.tells_wait),
                refused_count=kind.refused_count,
                connections=max(6, math.ceil(kind.connections * slots)) if kind.connections else 0,
                report_every=int(draw.uniform(0.16, 0.72) * SECOND),
            )
        )
    return tuple(result)


def _service(classes: tuple[Class, ...], kind: Kind, draw: random.Random) -> int:
    total = sum(klass.share for klass in classes)
    mean = sum(klass.share * draw.uniform(*klass.service_ms) for klass in classes) / total
    return int(mean * MS * draw.lognormvariate(0, kind.slow_cv / 2))


def _steps(
    scenario: Scenario, partners: tuple[PartnerPlan, ...], relays: int, stretch: float, draw: random.Random
) -> tuple[Step, ...]:
    result: list[Step] = []
    by_size = sorted(partners, key=lambda partner: -partner.full)
    for spec in scenario.steps:
        at = int(spec.at * stretch * SECOND)
        ends = at + int(spec.seconds * min(1.0, stretch) * SECOND) if spec.seconds else 0
        chosen: tuple[int, ...] = ()
        if spec.what in (*PARTNER_FAULTS, "hot", "reports-absurd"):
            selectable = {"largest": by_size[: spec.count], "smallest": by_size[-spec.count :], "all": by_size}.get(
                spec.partners
            )
            picked = selectable if selectable is not None else draw.sample(by_size, min(spec.count, len(by_size)))
            chosen = tuple(partner.number for partner in picked)
        if spec.what in ("drain", "replace", "by-hand"):
            candidates = [partner for partner in partners if partner.route_count > 1] or list(partners)
            if spec.what == "by-hand":  # only endpoints that are separate scopes, with their own limits and outages
                candidates = [partner for partner in partners if partner.apart]
            drawn = draw.sample(candidates, min(spec.count, len(candidates)))
            for partner in drawn:
                result.append(Step(at, ends, spec, (partner.number,), (draw.choice(partner.routes).name,)))
        elif spec.what in ("restart", "kill"):
            order = [f"relay{n + 1}" for n in range(relays)]
            first = draw.randrange(relays)
            order = order[first:] + order[:first]
            if spec.relays == "one":
                order = order[:1]
            for place, name in enumerate(order):
                delay = int(spec.every_s * place * SECOND) if spec.relays == "rolling" else 0
                result.append(Step(at + delay, 0, spec, relay=name))
        elif spec.what == "upgrade":
            for upgrade_round in range(spec.rounds):
                for place in range(relays if spec.relays != "one" else 1):
                    delay = int(
                        spec.every_s * (upgrade_round + (place / relays if spec.relays == "rolling" else 0)) * SECOND
                    )
                    fault = draw.choice(("config", "killed", "killed")) if draw.random() < spec.fails else ""
                    result.append(
                        Step(
                            at + delay,
                            0,
                            spec,
                            relay=f"relay{place + 1}",
                            fault=fault,
                            after=int(draw.uniform(0, MAX_KILL_DELAY_S) * SECOND),
                        )
                    )
        else:
            result.append(Step(at, ends, spec, chosen))
    return tuple(sorted(result, key=lambda step: step.at))


def _arrivals(
    scenario: Scenario, partners: tuple[PartnerPlan, ...], steps: tuple[Step, ...], length: int, draw: random.Random
) -> tuple[Arrival, ...]:
    """Draw arrivals by thinning: at the highest rate, keeping the share that the rate at that time requires."""
    load = scenario.load
    bursts = [step for step in steps if step.spec.what == "burst"]
    hot_steps = [step for step in steps if step.spec.what == "hot"]

    def rate(at: int) -> float:
        done = at / length
        base = {"steady": 1.0, "ramp": 0.6 + 0.8 * done, "wave": 1 + 0.3 * math.sin(4 * math.pi * done)}[load.shape]
        for step in bursts:
            if step.at <= at < step.ends:
                base *= step.spec.factor
        return load.rate * base

    highest = load.rate * 1.4 * math.prod(max(1.0, step.spec.factor) for step in bursts)
    clumps = load.clumps
    cumulative = list(itertools.accumulate(partner.weight for partner in partners))
    shares = list(itertools.accumulate(klass.share for klass in scenario.classes))
    result: list[Arrival] = []

    def message(at: int, dest: int) -> None:
        klass = bisect.bisect(shares, draw.random() * shares[-1])
        spec = scenario.classes[min(klass, len(shares) - 1)]
        key = f"{spec.name}-{draw.randrange(spec.keys)}" if spec.keys else ""
        result.append(Arrival(at, min(klass, len(shares) - 1), dest, key))

    at = 0.0
    mean_clump = sum(partner.full * partner.weight for partner in partners) * 2.3
    while True:
        at += draw.expovariate(highest) * SECOND
        if at >= length:
            break
        if draw.random() >= rate(int(at)) / highest:
            continue
        hot = next((step for step in hot_steps if step.at <= at < step.ends and draw.random() < step.spec.share), None)
        if hot is not None:
            dest = draw.choice(hot.partners)
        else:
            index = bisect.bisect(cumulative, draw.random() * cumulative[-1])
            dest = partners[min(index, len(partners) - 1)].number
        if draw.random() < clumps / max(1.0, mean_clump):
            partner = partners[dest - 1]
            for _ in range(max(1, int(partner.full * draw.uniform(1.3, 3.4)))):
                late = int(at + draw.uniform(0, 0.3) * SECOND)
                if late < length:
                    message(late, dest)
        else:
            message(int(at), dest)
    return tuple(sorted(result, key=lambda arrival: arrival.at))


def _relay_config(
    scenario: Scenario, partners: tuple[PartnerPlan, ...], relays: int
) -> tuple[dict[str, Any], dict[str, float]]:
    """The settings and limits of a relay, in the format of its configuration."""
    rules, limits = scenario.rules, scenario.limits
    busy = sum(partner.full * partner.service / SECOND for partner in partners) / relays
    full = sum(partner.full for partner in partners) / relays
    kinds = [kind.name for kind in scenario.kinds]
    settings: dict[str, Any] = {
        "azs": list(scenario.buildings),
        "balancers": relays,
        "kinds": kinds,
        "discovery": "subscribe",
        "weightSource": "nominal",
        "overShareWorth": 1.0,
        "tenants": [],
        "classes": [
            {
                "name": klass.name,
                "aim": int(klass.aim_ms * MS),
                "deadline": int(klass.deadline_ms * MS),
                "worth": klass.worth,
                "lateWorth": klass.late_worth,
                "idempotency": IDEMPOTENCY_NAMES[klass.repeat],
                "keyScope": "zone" if klass.by_building else "all",
                "repeatWindow": int(klass.window_ms * MS),
                "inTurn": klass.in_turn,
            }
            for klass in scenario.classes
        ],
        "familyInfo": {
            "callsOut": max(MIN_SLOTS, math.ceil(limits.slots_room * busy)),
            "decay": "even",
            "kindApart": [kind.apart for kind in scenario.kinds],
            "perCall": [1] * len(kinds),
        },
        "loadReport": {"via": "inline", "fields": ["x0", "x1"]},
        "rules": {
            "answerSlack": int(rules.answer_slack_ms * MS),
            "drainGrace": int(rules.drain_grace_ms * MS),
            "fall": int(rules.fall_ms * MS),
            "fallMultiple": rules.fall_multiple,
            "rampTime": int(rules.ramp_ms * MS),
            "startCapacity": rules.start_capacity,
            "turnGap": int(rules.turn_gap_ms * MS),
            "askEvery": int(rules.ask_every_ms * MS),
        },
        "limits": {
            "cancel": True,
            "probes": True,
            "mostHeld": max(MIN_PENDING_MESSAGES, math.ceil(limits.hold_s * full)),
            "mostTries": rules.most_tries,
            "connectTimeout": SECOND,
            "connIdle": 10 * SECOND,
            "maxRetryAfter": 2 * SECOND,
        },
    }
    return settings, {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets, "disk_mb": limits.disk_mb}
