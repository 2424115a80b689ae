"""A whole relay that starts with messages in its journal: until it serves, and what it keeps of each."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.capacity.files import Relay, configuration
from benchmarks.capacity.journal import write
from benchmarks.capacity.size import READY, RELAY_MEMORY, SIZE, Unit
from benchmarks.capacity.subject import Quantity, Subject

LOOK = 0.5  # seconds between two looks at a relay that takes messages up
IDLE = 0.02  # of the time between two looks, in processor time: less, and it has nothing left to do
IDLE_LOOKS = 3


class Sample(msgspec.Struct):
    """Of the process: processor seconds and bytes at most."""

    ready: float  # until it serves
    all_up: float  # until the Pacer has all messages
    memory: float


def taken_up(relay: Relay) -> float:
    """Waits until the relay is idle; its processor seconds then."""
    before, idle = relay.cpu(), 0
    while idle < IDLE_LOOKS:
        time.sleep(LOOK)
        now = relay.cpu()
        idle = idle + 1 if now - before < IDLE * LOOK else 0
        before = now
    return before


def measure(messages: int) -> Sample:
    """All hosts drain, so that nothing is sent and every message stays."""
    with tempfile.TemporaryDirectory() as made:
        environment = configuration(Path(made), SIZE.owned, messages, "Terminating")
        write(Path(environment["RELAY_STATE"]), messages, SIZE.owned)
        relay = Relay(environment)
        try:
            started = relay.started()
            all_up = taken_up(relay)
            memory = relay.memory()
        finally:
            relay.end()
    return Sample(started.cpu, all_up, memory)


SUBJECT = Subject(
    name="backlog",
    text="A whole relay, 420 destinations that take nothing, messages of 1,000 bytes in its journal at its start",
    of="messages",
    sizes=(1_000, 10_000, 100_000, 400_000),
    quick=(1_000, 2_000, 5_000, 10_000),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("ready", "processor time until it serves", Unit.SECONDS, SIZE.relay_backlog, READY),
        Quantity("all_up", "processor time until all are taken up", Unit.SECONDS, SIZE.relay_backlog),
        Quantity("memory", "memory at most", Unit.BYTES, SIZE.relay_backlog, RELAY_MEMORY),
    ),
)
