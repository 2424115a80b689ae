"""What becomes of messages that a restart finds taken on and untried: how many are still tried, and why others are not.

One Pacer in a driven clock, destinations that take a plain rate, and newcomers at four fifths of it. The hold is three
quarters full at the start, with what is left of each message's time drawn evenly. No sockets: what is measured is a
decision, and the same seed gives the same table.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from starlingwick import interface as io
from starlingwick.control import Pacer

SECOND = 1_000_000_000
STEP = SECOND // 100
DESTS = 6
CASES = ("all well", "one destination down", "waits of 3 s told", "the list 3 s late")


@dataclass(frozen=True)
class Customer:
    """Settings of one deployment; ``pace`` is what one relay may send to a destination, calls a second."""

    name: str
    relays: int
    slots: int
    held: int
    tries: int
    pace: float
    classes: tuple[tuple[io.Repeat, float, float, float, float], ...]  # aim, deadline (s), worth, late worth

    def settings(self) -> io.Settings:
        """The Pacer's settings for this customer."""
        return io.Settings(
            relays=self.relays,
            slots=self.slots,
            tick=0,
            zone=0,
            discovery=io.Discovery.AUTOMATIC,
            listed_rates=True,
            decay=io.Decay.EVEN,
            classes=tuple(
                io.MessageClass(
                    int(aim * SECOND), int(deadline * SECOND), worth, late, repeat, io.Scope.ALL, 5 * SECOND, False
                )
                for repeat, aim, deadline, worth, late in self.classes
            ),
            kinds=(io.Kind(False, 1),),
            tenant_rates=(),
            over_share_worth=1.0,
            zone_fees=(),
            refused_price=0.0,
            prices={},
            rules=io.Rules(0, 10 * SECOND, SECOND, 3 * SECOND, 2.0, 10 * SECOND, 0.2, 0),
            limits=io.Limits(True, True, False, False, False, self.held, self.tries, 0, SECOND, 10 * SECOND),
        )


CUSTOMERS = (
    Customer(
        "60 relays, 12 s",
        60,
        5,
        77,
        6,
        0.8,
        ((io.Repeat.KEYED, 2.5, 12, 1, 0.3), (io.Repeat.SAFE, 1, 8, 2, 0.1), (io.Repeat.UNSAFE, 2, 12, 5, 0.5)),
    ),
    Customer(
        "3 relays, 3 to 20 s",
        3,
        12,
        60,
        3,
        1.5,
        ((io.Repeat.SAFE, 0.7, 3, 3, 0.0), (io.Repeat.UNSAFE, 1.5, 9, 6, 0.3), (io.Repeat.KEYED, 4, 20, 0.5, 0.6)),
    ),
    Customer(
        "8 relays, unsafe 6 s", 8, 8, 100, 4, 1.2, ((io.Repeat.UNSAFE, 1.2, 6, 4, 0.2), (io.Repeat.KEYED, 3, 40, 2, 0.5))
    ),
)


@dataclass
class Result:
    """Of what was found untried: ``late`` and ``early`` ended with no call, at their time and before it."""

    found: int = 0
    tried: int = 0
    late: int = 0
    early: int = 0


class Before(Pacer):
    """As it decided before such messages were owed a try."""

    def owes_try(self, r: io.Recovered) -> bool:
        """Nothing is owed a try, as before the mend."""
        return False


def play(customer: Customer, case: str, seed: int, made: type[Pacer]) -> Result:
    """One restart, until all that it found is settled."""
    draw, settings = random.Random(seed), customer.settings()
    pacer, result = made(settings, seed), Result()
    now, count = 1000 * SECOND, 0
    hosts = tuple(
        io.HostEntry(f"h{n}", 0, 0, n, io.Availability.RUNNING, customer.pace * customer.relays) for n in range(DESTS)
    )
    free_at = [0] * DESTS
    coming: list[tuple[int, int, io.Event]] = []
    untried: dict[str, int] = {}
    attempts: dict[str, int] = {}
    events: list[io.Event] = [] if case == CASES[3] else [io.Roster(io.ListScope.WHOLE, hosts)]
    for n in range(customer.held * 3 // 4):
        klass = draw.randrange(len(settings.classes))
        left = round(draw.uniform(0.3, 1.0) * settings.classes[klass].deadline)
        untried[f"old{n}"] = now + left
        events.append(io.Recovered(f"old{n}", klass, draw.randrange(DESTS), f"k{n}", left, 0, None, 0))
    result.found = len(untried)
    begun, ready = now, now
    next_new = now + round(draw.expovariate(0.8 * customer.pace * DESTS) * SECOND)
    while untried:
        now += STEP
        if case == CASES[3] and now >= begun + 3 * SECOND and now < begun + 3 * SECOND + STEP:
            events.append(io.Roster(io.ListScope.WHOLE, hosts))
        while next_new <= now:
            count += 1
            klass = draw.randrange(len(settings.classes))
            events.append(
                io.Arrived(f"new{count}", 0, klass, draw.randrange(DESTS), None, settings.classes[klass].deadline)
            )
            next_new += round(draw.expovariate(0.8 * customer.pace * DESTS) * SECOND)
        while coming and coming[0][0] <= now:
            events.append(heapq.heappop(coming)[2])
        for action in pacer.handle(now, events):
            match action:
                case io.Send(call, host, _):
                    number = attempts[call] = attempts.get(call, -1) + 1
                    result.tried += untried.pop(call, None) is not None
                    at, verdict = answer(case, call, number, host, now, free_at, customer.pace, draw)
                    ready += 1
                    heapq.heappush(coming, (at, ready, verdict))
                case io.Refuse(call, _) | io.Fail(call) if call in untried:
                    in_time = now < untried.pop(call) - SECOND // 10
                    result.early += in_time
                    result.late += not in_time
        events = []
    return result


def answer(
    case: str, call: str, number: int, host: str, now: int, free_at: list[int], pace: float, draw: random.Random
) -> tuple[int, io.Event]:
    """When a call's outcome comes, and what it is."""
    dest = int(host[1:])
    took = round(draw.uniform(0.1, 0.4) * SECOND)
    status, wait = io.Status.OK, 0
    if case == CASES[1] and dest == 0:
        status = io.Status.CONNECT_FAILED
    elif free_at[dest] > now + SECOND:  # a second's calls may catch up
        status, took, wait = io.Status.FULL, SECOND // 20, 3 * SECOND if case == CASES[2] else 0
    else:
        free_at[dest] = max(now, free_at[dest]) + round(SECOND / pace)
    return now + took, io.Verdict(call, number, host, status, took, status is io.Status.OK, wait, False, None)


def compare(seeds: int) -> None:
    """What a restart finds untried: the share tried, and given up with no call at its time and before, as it was before
    such messages were owed a try and as it is."""
    print(f"three quarters of the hold, {DESTS} destinations, newcomers at 0.8 of what they take, {seeds} seeds")
    print("customer               case                    found   before: tried  late early   now: tried  late early")
    for customer in CUSTOMERS:
        for case in CASES:
            was, now = (total(customer, case, seeds, owed) for owed in (False, True))
            shares = [f"{100 * part / one.found:5.1f}" for one in (was, now) for part in (one.tried, one.late, one.early)]
            before, after = " ".join(shares[:3]), " ".join(shares[3:])
            print(f"{customer.name:22} {case:22} {now.found:6}          {before}        {after}")


def total(customer: Customer, case: str, seeds: int, owed: bool) -> Result:
    """All seeds of one case, added up; ``owed``: by the Pacer as it is, else as it was."""
    whole = Result()
    for seed in range(seeds):
        one = play(customer, case, seed, Pacer if owed else Before)
        whole.found += one.found
        whole.tried += one.tried
        whole.late += one.late
        whole.early += one.early
    return whole
