"""The Pacer over destinations: what it keeps of each, its longest turn, a whole list, one changed entry."""

from __future__ import annotations

import dataclasses

import msgspec

from benchmarks.capacity.meter import settled, spent
from benchmarks.capacity.size import CONTROL_MEMORY, SIZE, TURN, Unit
from benchmarks.capacity.subject import Quantity, Subject
from benchmarks.turns import SECOND, settings
from starlingwick import interface as io
from starlingwick.control import Pacer

RATE = 10_000.0  # calls a second that a destination lists, the most that counts: a relay's part is never reached here
STEP = SECOND // 10  # between two turns: longer than the spacing of a relay's part
LIVES = 2_000  # messages that come, go out and are answered, to find the longest ordinary turn
CHANGES = 100
STRIDE = 7_919  # a prime: destinations in an order that is not that of the list


class Sample(msgspec.Struct):
    """Of one Pacer: bytes, processor seconds."""

    memory: float
    whole_list: float  # the first one
    same_list: float  # once more, nothing changed: a watch that was opened anew
    one_entry: float  # mean
    longest: float  # of the turns of ordinary messages


def entry(number: int, availability: io.Availability = io.Availability.RUNNING) -> io.HostEntry:
    """The line of a host; the hosts of a destination stand beside each other."""
    return io.HostEntry(f"h{number}", number % 2, 0, number // SIZE.hosts, availability, RATE)


def entries(destinations: int) -> tuple[io.HostEntry, ...]:
    """A list of so many destinations."""
    return tuple(entry(number) for number in range(SIZE.hosts * destinations))


class Driven:
    """A Pacer of one relay among many, and the time that it is told."""

    def __init__(self, held: int = 1_000_000) -> None:
        self.pacer = Pacer(dataclasses.replace(settings(64, held), relays=SIZE.relays), 1)
        self.now = SECOND

    def turn(self, *events: io.Event) -> list[io.Action]:
        """Some events, a step after the last ones."""
        self.now += STEP
        return self.pacer.handle(self.now, events)


def life(driven: Driven, number: int, dest: int) -> float:
    """A message comes and is answered; the processor seconds of the longer turn."""
    actions: list[io.Action] = []
    arrived = io.Arrived(f"m{number}", 0, 1, dest, None, 8 * SECOND)
    longest = spent(lambda: actions.extend(driven.turn(arrived)))
    for action in actions:
        if isinstance(action, io.Send):
            answer = io.Verdict(action.call, 0, action.host, io.Status.OK, 20_000_000, True, 0, False, None)
            longest = max(longest, spent(lambda answer=answer: driven.turn(answer)))  # type: ignore[misc]
    return longest


def measure(destinations: int) -> Sample:
    """One Pacer with so many destinations."""
    listed = entries(destinations)
    driven = Driven()
    before = settled()
    whole = spent(lambda: driven.turn(io.Roster(io.ListScope.WHOLE, listed)))
    memory = settled() - before
    same = spent(lambda: driven.turn(io.Roster(io.ListScope.WHOLE, listed)))

    def change() -> None:
        for number in range(CHANGES):
            state = io.Availability.STOPPING if number % 2 == 0 else io.Availability.RUNNING
            driven.turn(io.Roster(io.ListScope.CHANGES, (entry(0, state),)))

    one = spent(change) / CHANGES
    longest = max(life(driven, number, number * STRIDE % destinations) for number in range(LIVES))
    return Sample(memory, whole, same, one, longest)


SUBJECT = Subject(
    name="pacer",
    text="The Pacer, each destination with two hosts, one relay among 620",
    of="destinations",
    sizes=(SIZE.owned, 1_000, 10_000, 50_000, SIZE.destinations),
    quick=(SIZE.owned, 1_000, 4_000, 10_000),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("memory", "memory, all destinations at every relay", Unit.BYTES, SIZE.destinations, CONTROL_MEMORY),
        Quantity("memory", "memory, an owner's destinations", Unit.BYTES, SIZE.owned, CONTROL_MEMORY),
        Quantity("whole_list", "a whole list in one turn, all", Unit.SECONDS, SIZE.destinations, TURN),
        Quantity("whole_list", "a whole list in one turn, an owner's", Unit.SECONDS, SIZE.owned, TURN),
        Quantity("same_list", "the same list again, all", Unit.SECONDS, SIZE.destinations, TURN),
        Quantity("one_entry", "one changed entry, all", Unit.SECONDS, SIZE.destinations, TURN),
        Quantity("longest", "the longest of 4,000 ordinary turns, all", Unit.SECONDS, SIZE.destinations, TURN),
        Quantity("longest", "the longest of 4,000 ordinary turns, an owner's", Unit.SECONDS, SIZE.owned, TURN),
    ),
)
