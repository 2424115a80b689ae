"""Messages in the journal: bytes on disk and in memory, and a start that reads them; the store alone."""

from __future__ import annotations

import os
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from benchmarks.capacity.meter import settled, spent
from benchmarks.capacity.size import READY, RELAY_DISK, RELAY_MEMORY, SIZE, Unit
from benchmarks.capacity.subject import Quantity, Subject
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store

BODY = 1_000  # bytes, as the benchmark of the store has it; nobody told how long events are
DISK = 4_000_000_000
BATCH = 50  # messages between two flushes
KEPT_UNTIL = 4_000_000_000_000  # wall clock, milliseconds: behind the end of every measurement


class Sample(msgspec.Struct):
    """Of all messages: bytes on disk and resident; processor seconds."""

    disk: float
    memory: float
    start: float
    write: float  # of one message, mean


def entry(number: int, body: bytes, dests: int) -> Entry:
    """A message that nobody has tried yet."""
    return Entry(f"client-7-{number:09d}", "keyed", number % dests, f"key-{number:09d}", KEPT_UNTIL, body)


def write(folder: Path, messages: int, dests: int) -> float:
    """A journal with so many messages, written by a process of its own, whose memory goes with it; processor seconds
    that it took."""
    with ProcessPoolExecutor(1) as pool:
        return pool.submit(_write, folder, messages, dests).result()


def _write(folder: Path, messages: int, dests: int) -> float:
    store = Store.open(folder, DISK)

    def note() -> None:
        for number in range(messages):
            store.record_accepted(entry(number, os.urandom(BODY), dests))
            if number % BATCH == BATCH - 1:
                store.flush()
                store.maintain()
        store.flush()

    seconds = spent(note)
    store.close()
    return seconds


def measure(messages: int) -> Sample:
    """Write so many, then start from them."""
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        seconds = write(folder, messages, SIZE.owned)
        used = sum(path.stat().st_size for path in folder.iterdir())
        before = settled()
        opened: list[Store] = []
        start = spent(lambda: opened.append(Store.open(folder, DISK)))
        memory = settled() - before
        assert len(opened[0].entries) == messages
        opened[0].close()
    return Sample(used, memory, start, seconds / messages)


SUBJECT = Subject(
    name="journal",
    text=f"The journal alone, messages with bodies of {BODY:,} bytes",
    of="messages",
    sizes=(1_000, 10_000, 100_000, 1_000_000),
    quick=(1_000, 2_000, 5_000, 10_000),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("disk", "disk, a relay's part of the backlog", Unit.BYTES, SIZE.relay_backlog, RELAY_DISK),
        Quantity("memory", "memory, the same, bodies included", Unit.BYTES, SIZE.relay_backlog, RELAY_MEMORY),
        Quantity("start", "reading it at a start", Unit.SECONDS, SIZE.relay_backlog, READY),
        Quantity("write", "noting one message", Unit.SECONDS, SIZE.relay_backlog),
    ),
)
