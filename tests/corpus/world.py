"""A simulation that drives a Pacer in virtual time, and recordings of their exchanges, tick by tick.

    python -m tests.corpus.world FOLDER

writes one recording for each scenario, using the module that is on the path, and ``worth.json``: the share of the
requested worth that the module delivered in each scenario, the large ones included. The recordings prove that a
later version of the module decides the same: ``tests/test_corpus.py`` passes the events of each tick to the present
module and compares its actions with the recorded ones. All random numbers come from the scenario's seed.
"""

from __future__ import annotations

import dataclasses
import enum
import gzip
import heapq
import json
import random
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from starlingwick import interface as io
from starlingwick.control import Pacer

S = 1_000_000_000
MS = 1_000_000
START = 1000 * S
TICK = 5 * MS


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of a recording. Rates are messages a second; the troubles are shares of the destinations."""

    name: str
    seed: int
    seconds: float = 12.0
    dests: int = 12
    rate: float = 60.0
    slots: int = 16
    most_held: int = 150
    limited: float = 0.7
    shut: float = 0.0
    hang: float = 0.0
    errors: float = 0.0
    resets: float = 0.0
    drains: bool = False
    recovered: int = 0
    stops: bool = False
    in_turn: bool = False
    apart: float = 0.3
    per_call: int = 1
    tenants: bool = False
    by_half: bool = False
    retry_after: bool = False
    probes: bool = True
    clumps: float = 0.1


SCENARIOS = [
    Scenario("calm", 1),
    Scenario("overload", 2, rate=220, slots=10, most_held=80),
    Scenario("overload-told", 3, rate=200, slots=12, most_held=60, retry_after=True, by_half=True),
    Scenario("shut", 4, shut=0.4, rate=90),
    Scenario("hang", 5, hang=0.4, rate=90),
    Scenario("errors", 6, errors=0.5, rate=90),
    Scenario("resets", 7, resets=0.5, rate=90),
    Scenario("drains", 8, drains=True, rate=80),
    Scenario("restart", 9, recovered=60, shut=0.2, rate=60),
    Scenario("stopping", 10, stops=True, hang=0.2, rate=80),
    Scenario("in-turn", 11, in_turn=True, errors=0.2, rate=80),
    Scenario("in-turn-overload", 12, in_turn=True, hang=0.3, rate=160, slots=8, most_held=70),
    Scenario("several-a-call", 13, per_call=4, rate=200, slots=8, shut=0.2),
    Scenario("tenants", 14, tenants=True, rate=160, slots=8, most_held=60),
    Scenario("no-probes", 15, probes=False, errors=0.4, hang=0.2, rate=90),
    Scenario("clumps", 16, clumps=0.5, rate=120, slots=12, most_held=100),
    Scenario("few-slots", 17, slots=2, rate=30, dests=5, shut=0.2, most_held=40),
    Scenario("one-dest", 18, dests=1, rate=40, limited=1.0, most_held=60, slots=12),
    Scenario("all-troubles", 19, shut=0.2, hang=0.2, errors=0.2, resets=0.2, drains=True, recovered=30, rate=110),
    Scenario("all-troubles-apart", 20, apart=1.0, shut=0.3, hang=0.3, errors=0.2, rate=120, most_held=90),
    Scenario("wide", 21, dests=50, rate=150, slots=24, most_held=200, shut=0.2, hang=0.1),
    Scenario("stopping-in-turn", 22, stops=True, in_turn=True, shut=0.2, rate=80, recovered=20),
]
LARGE = [
    Scenario("large-overload", 31, seconds=8, rate=1500, slots=64, most_held=3000, dests=40, limited=0.3),
    Scenario("large-shut", 32, seconds=10, rate=800, slots=128, most_held=3000, dests=6, shut=0.6),
    Scenario("large-burst", 33, seconds=8, rate=600, slots=128, most_held=2500, dests=3, limited=0.0, clumps=3),
    Scenario("large-by-half", 34, seconds=8, rate=1200, slots=64, most_held=2000, dests=20, by_half=True),
    Scenario("large-in-turn", 35, seconds=8, rate=600, slots=64, most_held=1500, dests=10, in_turn=True),
    Scenario("large-wide", 36, seconds=6, rate=1500, slots=96, most_held=3000, dests=400, shut=0.2),
    Scenario(
        "large-troubles",
        37,
        seconds=8,
        rate=900,
        slots=96,
        most_held=2500,
        dests=30,
        shut=0.2,
        hang=0.2,
        errors=0.2,
        resets=0.1,
    ),
]


def settings(s: Scenario) -> io.Settings:
    def klass(repeat: io.Repeat, aim: float, deadline: float, worth: float, late: float) -> io.MessageClass:
        return io.MessageClass(round(aim * S), round(deadline * S), worth, late, repeat, io.Scope.ZONE, 6 * S, s.in_turn)

    return io.Settings(
        relays=2,
        slots=s.slots,
        tick=TICK,
        zone=0,
        discovery=io.Discovery.AUTOMATIC,
        listed_rates=True,
        decay=io.Decay.BY_HALF if s.by_half else io.Decay.EVEN,
        classes=(
            klass(io.Repeat.KEYED, 2.5, 12, 1, 0.3),
            klass(io.Repeat.SAFE, 1, 8, 2, 0.1),
            klass(io.Repeat.UNSAFE, 2, 12, 5, 0.5),
        ),
        kinds=(io.Kind(False, s.per_call), io.Kind(True, s.per_call)),
        tenant_rates=(20.0, 500.0) if s.tenants else (),
        over_share_worth=0.1,
        zone_fees=(0.0, 0.03),
        refused_price=0.0,
        prices={},
        rules=io.Rules(
            answer_slack=250 * MS,
            ask_every=10 * S,
            drain_grace=S,
            fall=3 * S,
            fall_multiple=2.0,
            ramp_time=10 * S,
            start_capacity=0.2,
            turn_gap=S if s.in_turn else 0,
        ),
        limits=io.Limits(
            cancel=True,
            probes=s.probes,
            peers=False,
            second_copies=False,
            retry_after=s.retry_after,
            most_held=s.most_held,
            most_tries=6,
            max_retry_after=2 * S,
            connect_timeout=S,
            conn_idle=10 * S,
        ),
    )


@dataclasses.dataclass
class Endpoint:
    """The actual behaviour of an endpoint, which the Pacer cannot see."""

    entry: io.HostEntry
    pace: float  # seconds a call
    limit: float  # calls a second; 0: none
    trouble: str = ""
    begins: int = 0
    ends: int = 0
    allowance: float = 2.0
    counted_at: int = START


class Simulation:
    """Clients, endpoints and discovery of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.queue: list[tuple[int, int, io.Event]] = []
        self.count = 0
        self.made = 0
        self.attempts: dict[str, int] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.weights: list[float] = []
        self._draw_endpoints()
        self._draw_traffic()

    def at(self, when: int, event: io.Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, event))

    def _draw_endpoints(self) -> None:
        s, draw = self.scenario, self.random
        for dest in range(s.dests):
            kind = 1 if draw.random() < s.apart else 0
            limit = draw.uniform(3, 2.5 * s.rate / s.dests + 4) if draw.random() < s.limited else 0.0
            trouble = draw.choices(
                ["shut", "hang", "errors", "resets", ""],
                [s.shut, s.hang, s.errors, s.resets, max(0.0, 1 - s.shut - s.hang - s.errors - s.resets)],
            )[0]
            begins = START + round(draw.uniform(0.1, 0.5) * s.seconds * S)
            self.weights.append(1 / (dest + 1))
            for n in range(draw.choice([1, 2, 2, 3])):
                entry = io.HostEntry(f"h{dest}.{n}", n % 2, kind, dest, io.Availability.RUNNING, limit)
                self.endpoints[entry.host] = Endpoint(
                    entry, draw.uniform(0.05, 0.4), limit, trouble, begins, begins + round(draw.uniform(2, 7) * S)
                )
        self.at(START, io.Roster(io.ListScope.WHOLE, tuple(v.entry for v in self.endpoints.values())))
        if s.drains:
            for name in draw.sample(sorted(self.endpoints), max(2, len(self.endpoints) // 4)):
                self._draw_drain(self.endpoints[name])
        if s.stops:
            when = START + round(0.7 * s.seconds * S)
            self.at(when, io.Stopping(when + 3 * S))

    def _draw_drain(self, endpoint: Endpoint) -> None:
        when = START + round(self.random.uniform(0.1, 0.8) * self.scenario.seconds * S)
        old = endpoint.entry
        stopping = dataclasses.replace(old, availability=io.Availability.STOPPING)
        deleted = dataclasses.replace(old, availability=io.Availability.DELETED)
        new = dataclasses.replace(old, host=old.host + "n")
        self.at(when, io.Roster(io.ListScope.CHANGES, (stopping,)))
        self.at(when + 2 * S, io.Roster(io.ListScope.CHANGES, (new,)))
        self.at(when + 4 * S, io.Roster(io.ListScope.CHANGES, (deleted,)))
        self.endpoints[new.host] = dataclasses.replace(endpoint, entry=new)

    def _name(self) -> str:
        self.made += 1
        return f"m{10**7 - self.made}"  # descending, since names break ties in the recordings

    def _draw_traffic(self) -> None:
        s, draw = self.scenario, self.random
        for _ in range(s.recovered):
            dest = draw.choices(range(s.dests), self.weights)[0]
            ran = draw.choice([None, round(draw.uniform(0, 8) * S)])
            name = self._name()
            attempts = draw.randrange(0, 5) if ran is None else draw.randrange(1, 7)
            self.attempts[name] = attempts - 1
            self.at(
                START,
                io.Recovered(
                    name,
                    draw.randrange(3),
                    dest,
                    f"k{draw.randrange(20)}",
                    round(draw.uniform(-1, 8) * S),
                    attempts,
                    ran,
                    draw.randrange(2),
                ),
            )
        drawn: list[tuple[int, int, int, str, int]] = []
        when = 0.0
        while when < s.seconds:
            when += draw.expovariate(s.rate)
            many = draw.randrange(4, 30) if draw.random() < s.clumps / 10 else 1
            dest = draw.choices(range(s.dests), self.weights)[0]
            for _ in range(many):
                klass = draw.choices(range(3), [67, 17, 16])[0]
                patience = (12, 8, 12)[klass] * S - round(draw.uniform(0, 0.02) * S)
                at = START + round((when + draw.uniform(0, 0.2) * (many > 1)) * S)
                drawn.append((at, klass, dest, f"k{draw.randrange(20)}", patience))
        for at, klass, dest, key, patience in sorted(drawn):
            self.at(
                at,
                io.Arrived(self._name(), draw.randrange(2), klass, dest, key, patience, storable=draw.random() > 0.002),
            )

    # ---- the Pacer's actions and their outcomes

    def carry_out(self, now: int, actions: list[io.Action]) -> None:
        calls: dict[str, list[io.Send]] = {}
        for action in actions:
            match action:
                case io.Send():
                    self.attempts[action.call] = self.attempts.get(action.call, -1) + 1
                    calls.setdefault(action.host, []).append(action)
                case io.Probe(host, stop_at):
                    status, took, _ = self._answer(now, self.endpoints[host], stop_at)
                    self.at(now + took, io.Probed(host, status, took, None))
                case io.Wake(after, token):
                    self.at(now + after, io.Alarm(token))
        for host, sends in calls.items():
            size = self.scenario.per_call
            for first in range(0, len(sends), size):
                self._call(now, self.endpoints[host], sends[first : first + size])

    def _call(self, now: int, endpoint: Endpoint, sends: list[io.Send]) -> None:
        status, took, wait = self._answer(now, endpoint, min(send.stop_at for send in sends))
        report = None
        if endpoint.limit and self.random.random() < 0.7:
            report = io.Report(max(0.0, endpoint.allowance / (2 * endpoint.limit)), endpoint.limit)
        for send in sends:
            self.at(
                now + took,
                io.Verdict(
                    send.call,
                    self.attempts[send.call],
                    send.host,
                    status,
                    took,
                    status is io.Status.OK,
                    wait,
                    False,
                    report if status in (io.Status.OK, io.Status.FULL) else None,
                ),
            )

    def _answer(self, now: int, endpoint: Endpoint, stop_at: int) -> tuple[io.Status, int, int]:
        """Outcome, nanoseconds until it arrives, requested wait."""
        draw = self.random
        took = round(draw.lognormvariate(0, 0.4) * endpoint.pace * S)
        active_trouble = endpoint.trouble if endpoint.begins <= now < endpoint.ends else ""
        match active_trouble:
            case "shut":
                return io.Status.FULL, 20 * MS, endpoint.ends - now if draw.random() < 0.4 else 0
            case "hang":
                return io.Status.TIMEOUT, max(1, stop_at - now), 0
            case "errors" if draw.random() < 0.8:
                return draw.choice([io.Status.ERROR, io.Status.SPOILT, io.Status.CONNECT_FAILED]), took, 0
            case "resets" if draw.random() < 0.7:
                return io.Status.RESET, took, 0
        if draw.random() < 0.005:
            return draw.choice([io.Status.MOOT, io.Status.ABANDONED]), MS, 0
        if endpoint.limit:
            gained = (now - endpoint.counted_at) * endpoint.limit / S
            endpoint.allowance = min(2 * endpoint.limit, endpoint.allowance + gained)
            endpoint.counted_at = now
            endpoint.allowance -= 1
            if endpoint.allowance < 0:
                endpoint.allowance = max(endpoint.allowance, -2.0)
                wait_requested = draw.random() < 0.5
                return io.Status.FULL, 20 * MS, round(draw.uniform(0.2, 0.9) * S) if wait_requested else 0
        if now + took > stop_at:
            return io.Status.TIMEOUT, max(1, stop_at - now), 0
        return io.Status.OK, took, 0

    def batches(self) -> Iterator[tuple[int, list[io.Event]]]:
        """All events within a tick make one batch. ``carry_out`` has to be called between two batches."""
        last = START + round((self.scenario.seconds + 14) * S)
        while self.queue and self.queue[0][0] < last:
            now = -(-self.queue[0][0] // TICK) * TICK
            events = []
            while self.queue and self.queue[0][0] <= now:
                events.append(heapq.heappop(self.queue)[2])
            yield now, events


# ---- recordings


def encode(value: Any) -> Any:
    """Events and actions as JSON: a list that starts with the type's name, an enumeration as its name."""
    if isinstance(value, enum.Enum):
        return f"{type(value).__name__}.{value.name}"
    if dataclasses.is_dataclass(value):
        fields = [encode(getattr(value, f.name)) for f in dataclasses.fields(value)]
        return [type(value).__name__, *fields]
    if isinstance(value, tuple):
        return ["tuple", *map(encode, value)]
    return value


def decode(value: Any) -> Any:
    if isinstance(value, list):
        fields = [decode(part) for part in value[1:]]
        return tuple(fields) if value[0] == "tuple" else getattr(io, value[0])(*fields)
    if isinstance(value, str) and value.partition(".")[0] in ("Status", "Availability", "ListScope"):
        kind, _, name = value.partition(".")
        return getattr(io, kind)[name]
    return value


def record(scenario: Scenario, path: Path) -> int:
    """Run a scenario and record each tick: time, events, actions. Returns the number of ticks."""
    simulation, pacer, ticks = Simulation(scenario), Pacer(settings(scenario), scenario.seed), 0
    with gzip.GzipFile(path, "wb", mtime=0) as file:
        for now, events in simulation.batches():
            actions = pacer.handle(now, events)
            simulation.carry_out(now, actions)
            line = [now, list(map(encode, events)), list(map(encode, actions))]
            file.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")
            ticks += 1
    return ticks


def worth_delivered(scenario: Scenario) -> float:
    """The share of the requested worth that the module delivers: in full within the aim, less after it."""
    simulation, known = Simulation(scenario), settings(scenario)
    pacer = Pacer(known, scenario.seed)
    requested = delivered = 0.0
    accepted: dict[str, tuple[io.MessageClass, int]] = {}
    for now, events in simulation.batches():
        for event in events:
            match event:
                case io.Arrived():
                    klass = known.classes[event.klass]
                    accepted[event.call] = klass, now + event.patience
                    requested += klass.worth
                case io.Verdict(status=io.Status.OK) if event.call in accepted:
                    klass, deadline = accepted.pop(event.call)
                    late = (now - deadline + klass.deadline - klass.aim) / (klass.deadline - klass.aim)
                    delivered += klass.worth * (1 - (1 - klass.late_worth) * min(max(0.0, late), 1.0))
        simulation.carry_out(now, pacer.handle(now, events))
    return delivered / requested


def main() -> None:
    folder = Path(sys.argv[1])
    for scenario in SCENARIOS:
        print(scenario.name, record(scenario, folder / f"{scenario.name}.jsonl.gz"), "ticks")
    worth = {scenario.name: round(worth_delivered(scenario), 4) for scenario in SCENARIOS + LARGE}
    (folder / "worth.json").write_text(json.dumps(worth, indent=1) + "\n")


if __name__ == "__main__":
    main()
