"""What all relays together send to a destination that comes back cold, and how soon each of them finds it back.

Pacers over one driven clock (``tests.fleet.world``) that know of each other only their number. A cold destination falls
when more than N + 2 x root of N + 2 calls come within the rules' time, N being what the settings allow it then.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from dataclasses import dataclass

from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.fleet.world import START, Fleet, SharedDestination
from tests.helpers import MS, S, settings

DOWN_AT = 20 * S  # since the start: by then rates have settled
LAST = 45 * S  # behind the return: beyond it a relay has not found it back


class Untold(SharedDestination):
    """A destination that tells nothing of its limit."""

    def call(self, at: int) -> tuple[io.Status, io.Report | None]:
        return super().call(at)[0], None


@dataclass(frozen=True)
class Case:
    """One evening: a destination that takes ``capacity`` calls a second when warm fails for ``lasts`` seconds."""

    name: str
    relays: int = 30
    capacity: float = 2.0
    load: float = 0.9  # of the capacity
    lasts: int = 10
    told: bool = False  # weights and reports tell the limit
    uneven: bool = False  # a third of the relays get nine tenths of the messages
    restarted: float = 0.0  # share of the relays, halfway through the outage


CASES = (
    Case("even"),
    Case("capacity 1", capacity=1.0),
    Case("capacity 5", capacity=5.0),
    Case("capacity 1, load 3", capacity=1.0, load=3.0),
    Case("load 1.5", load=1.5),
    Case("18 s", lasts=18),
    Case("uneven", uneven=True),
    Case("restarted", restarted=0.7),
    Case("uneven, restarted, 1.5", uneven=True, restarted=0.7, load=1.5),
    Case("told", told=True),
    Case("told, load 1.5", told=True, load=1.5),
    Case("told, 18 s", told=True, lasts=18),
    Case("200 relays, told, 5", relays=200, capacity=5.0, told=True),
    Case("200 relays, 5", relays=200, capacity=5.0),
    Case("200, 5, load 1.5, 18 s", relays=200, capacity=5.0, load=1.5, lasts=18),
    Case("3 relays", relays=3),
    Case("capacity 60", capacity=60.0),
    Case("told, capacity 20", capacity=20.0, told=True),
)


@dataclass
class Evening:
    """What came of one."""

    most: float  # calls of all within the rules' time, as a share of what the destination bears, at the most
    most_informed: float  # the same of the calls of relays that had been told of the outage
    back: list[float]  # seconds from the return to the first call of each relay that had been told of the outage
    never: int  # relays that got a message behind the return, and found it back by no call
    delivered: float


def restart(fleet: Fleet, relay: int, when: int) -> None:
    """A process that knows nothing but the list takes the place of another."""

    def begin() -> io.Event:
        fleet.pacers[relay] = Pacer(fleet.settings, 77_000 + relay)
        fleet.at(when, relay, lambda: fleet.roster)
        return io.Alarm(-1)

    fleet.at(when, relay, begin)


def play(case: Case, seed: int) -> Evening:
    kind = SharedDestination if case.told else Untold
    up = DOWN_AT + case.lasts * S
    shared = kind(1, case.capacity, 0, kept=0.4 if case.capacity > 2.5 else 1.0, latency=150 * MS, down=(DOWN_AT, up))
    shares = [27.0 if case.uneven and n < case.relays // 3 else 1.5 for n in range(case.relays)]
    rules = {"fall": 3 * S}
    fleet = Fleet(
        [shared], case.relays, case.load * case.capacity, seed, listed_rates=case.told, rules=rules, shares=shares
    )
    for relay in range(round(case.restarted * case.relays)):
        restart(fleet, relay, START + DOWN_AT + case.lasts * S // 2)
    fleet.run((up + LAST) / S)
    return judge(case, fleet, shared, up)


def judge(case: Case, fleet: Fleet, shared: SharedDestination, up: int) -> Evening:
    rules = settings().rules
    informed: dict[int, int] = {}  # by relay: when it was first told of the outage
    calls = [(at, relay) for at, relay, action in fleet.actions if isinstance(action, io.Send | io.Probe)]
    for at, relay in calls:
        if DOWN_AT <= at < up:
            informed.setdefault(relay, at)
    most = most_informed = 0.0
    window: deque[tuple[int, int]] = deque()
    for at, relay in calls:
        if not up <= at < up + rules.ramp_time:
            continue
        window.append((at, relay))
        while window[0][0] <= at - 3 * S:
            window.popleft()
        bears = allowed(case.capacity, at - up, rules)
        most = max(most, len(window) / bears)
        most_informed = max(most_informed, sum(one in informed for _, one in window) / bears)
    first: dict[int, float] = {}
    for at, relay in calls:
        if at >= up:
            first.setdefault(relay, (at - up) / S)
    wanting = {relay for at, relay in fleet.arrivals if up - 5 * S <= at < up + LAST - 10 * S}
    found = [first[relay] for relay in informed if relay in first]
    never = sum(relay in wanting and relay not in first for relay in informed)
    return Evening(most, most_informed, found, never, len(fleet.times) / len(fleet.arrived))


def allowed(capacity: float, since: int, rules: io.Rules) -> float:
    """Calls that a destination bears in the rules' time up to so long behind its return."""
    share = rules.start_capacity + (1 - rules.start_capacity) * min(1.0, max(0, since - 3 * S // 2) / rules.ramp_time)
    calls = rules.fall_multiple * capacity * share * 3
    return calls + 2 * math.sqrt(calls) + 2


def compare(seeds: int) -> None:
    """Calls at a destination that is cold against what it bears, and how soon relays find it back."""
    print(f"{seeds} seeds; most calls in 3 s, over what is borne: by seed, in the mean and at most")
    print(
        "case                       all: mean  most  over    informed: most   back, s: median  9 in 10  never   delivered"
    )
    for case in CASES:
        evenings = [play(case, seed) for seed in range(seeds)]
        most = [one.most for one in evenings]
        back = sorted(one for evening in evenings for one in evening.back) or [math.nan]
        never = sum(one.never for one in evenings)
        print(
            f"{case.name:26}     {statistics.mean(most):6.2f} {max(most):5.2f} {sum(one > 1 for one in most):5}"
            f"            {max(one.most_informed for one in evenings):5.2f}"
            f"           {statistics.median(back):6.1f}   {back[len(back) * 9 // 10]:6.1f}"
            f"  {100 * never / (never + len(back)):4.0f} %"
            f"   {statistics.mean(one.delivered for one in evenings):7.3f}"
        )
