"""Messages that are pending at the Pacer: bytes each, the turn that takes one on, the turn in which all expire alike."""

from __future__ import annotations

import msgspec

from benchmarks.capacity.meter import settled, spent
from benchmarks.capacity.pacer import Driven, entries, entry
from benchmarks.capacity.size import RELAY_MEMORY, SIZE, TURN, Unit
from benchmarks.capacity.subject import Quantity, Subject
from benchmarks.turns import SECOND
from starlingwick import interface as io

BATCH = 500  # messages in one turn
DAY = 86_400 * SECOND
LAST = 1_000  # messages, each in a turn of its own
ROOM = 2  # times as many may be held: what a full hold costs, `turn` measures


class Sample(msgspec.Struct):
    """Bytes of all of them; processor seconds."""

    memory: float
    arrival: float  # of one more message, mean
    longest: float  # of the turns that took on a batch


def arrived(number: int) -> io.Arrived:
    """Names and keys as clients give them; spread over an owner's destinations."""
    return io.Arrived(f"client-7-{number:09d}", 0, 0, number % SIZE.owned, f"key-{number:09d}", DAY)


def measure(messages: int) -> Sample:
    """So many for destinations whose hosts all drain: nothing goes out, all is kept."""
    driven = Driven(held=ROOM * (messages + LAST))
    driven.turn(io.Roster(io.ListScope.WHOLE, entries(SIZE.owned)))
    stopping = [entry(number, io.Availability.STOPPING) for number in range(SIZE.hosts * SIZE.owned)]
    driven.turn(io.Roster(io.ListScope.CHANGES, tuple(stopping)))
    before, longest = settled(), 0.0
    for start in range(0, messages, BATCH):
        batch = [arrived(number) for number in range(start, min(messages, start + BATCH))]
        longest = max(longest, spent(lambda batch=batch: driven.turn(*batch)))  # type: ignore[misc]
    assert driven.pacer.pending_count == messages
    memory = settled() - before

    def more() -> None:
        for number in range(messages, messages + LAST):
            driven.turn(arrived(number))

    return Sample(memory, spent(more) / LAST, longest)


SUBJECT = Subject(
    name="pending",
    text="Messages that wait at the Pacer, over an owner's 420 destinations, none of which takes any",
    of="messages",
    sizes=(1_000, 10_000, 100_000, 1_000_000),
    quick=(1_000, 2_000, 5_000, 10_000),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("memory", "memory, a relay's part of the backlog", Unit.BYTES, SIZE.relay_backlog, RELAY_MEMORY),
        Quantity("arrival", "a turn that takes one more on", Unit.SECONDS, SIZE.relay_backlog, TURN),
        Quantity("longest", "the longest turn that takes 500 on", Unit.SECONDS, SIZE.relay_backlog, TURN),
    ),
)
