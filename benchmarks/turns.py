"""What a turn of the Pacer costs alone: over messages held, over destinations, and when many wake at once."""

from __future__ import annotations

import time
from collections.abc import Callable

from starlingwick import interface as io
from starlingwick.control import Pacer

SECOND = 1_000_000_000
SHUT_FOR = 25 * SECOND


def settings(slots: int, held: int) -> io.Settings:
    """Settings for one relay with so many slots, which may hold so many messages."""

    def klass(repeat: io.Repeat, aim: int, deadline: int, worth: float, late: float) -> io.MessageClass:
        return io.MessageClass(aim * SECOND, deadline * SECOND, worth, late, repeat, io.Scope.ZONE, 12 * SECOND, False)

    return io.Settings(
        relays=1,
        slots=slots,
        tick=0,
        zone=0,
        discovery=io.Discovery.AUTOMATIC,
        listed_rates=True,
        decay=io.Decay.EVEN,
        classes=(
            klass(io.Repeat.KEYED, 2, 28, 1, 0.3),
            klass(io.Repeat.SAFE, 1, 8, 2, 0.1),
            klass(io.Repeat.UNSAFE, 2, 28, 5, 0.5),
        ),
        kinds=(io.Kind(False, 1),),
        tenant_rates=(),
        over_share_worth=1.0,
        zone_fees=(),
        refused_price=0.0,
        prices={},
        rules=io.Rules(250_000_000, 10 * SECOND, SECOND, 3 * SECOND, 2.0, 10 * SECOND, 0.2, 0),
        limits=io.Limits(True, True, False, False, False, held, 6, 0, SECOND, 10 * SECOND),
    )


class Bed:
    """A Pacer with destinations of two hosts each, the time it is told, and the time that it takes."""

    def __init__(self, dests: int, slots: int = 64, held: int = 1_000_000) -> None:
        self.pacer = Pacer(settings(slots, held), 1)
        self.now = SECOND
        self.count = 0
        self.attempts: dict[str, int] = {}
        entries = tuple(io.HostEntry(f"h{n}", n % 2, 0, n // 2, io.Availability.RUNNING, 500.0) for n in range(2 * dests))
        self.turn(io.Roster(io.ListScope.WHOLE, entries))

    def turn(self, *events: io.Event) -> list[io.Action]:
        """Hand events to the Pacer, 0.1 ms behind the last; what it does."""
        self.now += 100_000
        actions = self.pacer.handle(self.now, events)
        for action in actions:
            if isinstance(action, io.Send):
                self.attempts[action.call] = self.attempts.get(action.call, -1) + 1
        return actions

    def message(self, dest: int, klass: int = 0) -> io.Arrived:
        """A new message's arrival."""
        self.count += 1
        return io.Arrived(f"m{self.count}", 0, klass, dest, f"k{self.count}", 27 * SECOND)

    def answer(self, send: io.Send, status: io.Status = io.Status.OK, wait: int = 0) -> io.Verdict:
        """An answer to a call, after 20 ms; ``wait`` in nanoseconds."""
        return io.Verdict(
            send.call, self.attempts[send.call], send.host, status, 20_000_000, status is io.Status.OK, wait, False, None
        )

    def shut(self, dest: int, wait: int = SHUT_FOR) -> None:
        """Its next call is told to wait: what comes for it waits."""
        for send in sends(self.turn(self.message(dest, 2))):
            self.turn(self.answer(send, io.Status.FULL, wait))

    def hold(self, dest: int, many: int) -> None:
        """Hand in so many messages, 500 a turn."""
        for start in range(0, many, 500):
            self.turn(*[self.message(dest, 2 * (n % 2)) for n in range(min(500, many - start))])


def sends(actions: list[io.Action]) -> list[io.Send]:
    """The calls among what the Pacer does."""
    return [action for action in actions if isinstance(action, io.Send)]


def microseconds(step: Callable[[int], object], times: int) -> float:
    """Of CPU for one step, the best of five runs: what else the machine does only adds."""
    best = float("inf")
    for _ in range(5):
        began = time.thread_time_ns()
        for n in range(times):
            step(n)
        best = min(best, (time.thread_time_ns() - began) / times / 1000)
    return best


def life(bed: Bed, dests: range) -> Callable[[int], object]:
    """Two turns: a message comes and goes out, and is answered."""

    def step(n: int) -> None:
        for send in sends(bed.turn(bed.message(dests[n % len(dests)], 1))):
            bed.turn(bed.answer(send))

    return step


def over_held(many: int) -> float:
    """Microseconds of a message's two turns while so many wait for one shut destination."""
    bed = Bed(26)
    bed.shut(0)
    bed.hold(0, many)
    assert bed.pacer.pending_count >= many
    return microseconds(life(bed, range(1, 26)), 400)


def over_open(many: int) -> float:
    """The same while so many wait for one destination that takes what it can: slots are short."""
    bed = Bed(26, slots=32)
    out = sends(bed.turn(*[bed.message(0) for _ in range(100)]))
    bed.hold(0, many)

    def step(n: int) -> None:
        out.extend(sends(bed.turn(bed.answer(out.pop(0)), bed.message(0))))

    return microseconds(step, 400)


def over_dests(many: int) -> float:
    """The same over so many destinations, a tenth of them shut with a message waiting."""
    bed = Bed(many)
    for dest in range(many // 10):
        bed.shut(dest)
        bed.turn(bed.message(dest))
    return microseconds(life(bed, range(many // 10, many)), 400)


def over_full(many: int) -> float:
    """A turn that takes one on where the hold is full, so that another has to go."""
    bed = Bed(26, held=many)
    for dest in range(26):
        bed.shut(dest)
        bed.hold(dest, many // 26 + 1)

    def step(n: int) -> None:
        bed.turn(bed.message(n % 26))

    return microseconds(step, 400)


def burst(many: int) -> float:
    """Milliseconds of the longest turn when a destination opens for which so many wait."""
    bed = Bed(26, slots=256)
    bed.shut(0, 2 * SECOND)
    bed.hold(0, many)
    bed.now += SECOND
    longest, out = 0.0, list[io.Send]()
    for _ in range(300):
        bed.now += SECOND // 100
        began = time.thread_time_ns()
        out = sends(bed.turn(*[bed.answer(send) for send in out]))
        longest = max(longest, (time.thread_time_ns() - began) / 1e6)
    return longest


def together(many: int) -> float:
    """Milliseconds of the turn in which so many deadlines have passed at once, the process having slept."""
    bed = Bed(26)
    bed.shut(0)
    bed.hold(0, many)
    bed.now += 30 * SECOND
    began = time.thread_time_ns()
    ends = bed.turn()
    took = (time.thread_time_ns() - began) / 1e6
    assert len([a for a in ends if isinstance(a, io.Refuse | io.Fail)]) >= many
    return took
