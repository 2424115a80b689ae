"""Discrete-event simulation of lease controllers and of relays reduced to their lease holders, on one clock.

Links lose, delay, duplicate and block messages; processes are killed and stopped; clocks run fast or slow; folders are
lost. After every step of a relay it checks that no partition has two owners and that its epochs rise.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

import msgspec

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.holder import Holder, Ownership
from garnetrelay.fleet.leases.messages import (
    Answer,
    Message,
    Record,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.leases.settings import MS, SECOND, Settings

FRAME_OVERHEAD_BYTES = 20 + 28  # the fleet's frame header and digest; UDP and IPv4 headers
MILLION = 1_000_000


@dataclass(eq=False)
class Process:
    """A controller or a relay. Its clock starts at ``offset`` ns and runs ``rate`` millionths fast."""

    name: str
    number: int  # index among the controllers, or among the relays
    rate: int = 0
    offset: int = 0
    up: bool = True
    stopped: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)  # calls that arrived while it was stopped
    machine: Any = None
    generation: int = 0
    timer: int = -1  # time of its next tick on the simulation's clock; -1: none
    sent: dict[int, int] = field(default_factory=dict)  # bytes by second of the simulation's clock
    received: dict[int, int] = field(default_factory=dict)

    def clock(self, now: int) -> int:
        """The process's clock reading at a time of the simulation's clock."""
        return self.offset + now * (MILLION + self.rate) // MILLION

    def time_of(self, reading: int) -> int:
        """The simulation time at which the process's clock shows a reading."""
        return -(-(reading - self.offset) * MILLION // (MILLION + self.rate))


@dataclass
class Links:
    """Conditions of all links. Times in nanoseconds."""

    loss: float = 0.0
    doubles: float = 0.0
    delay: int = 2 * MS
    jitter: int = 3 * MS
    late: float = 0.0  # share of messages delayed by up to ``late_by`` more
    late_by: int = 20 * SECOND
    cut: set[tuple[str, str]] = field(default_factory=set)  # blocked directions: sender, receiver


class LeaseSimulation:
    """Controllers, relays, links and folders. ``assigned``: partitions by relay, changed by ``assign``."""

    def __init__(
        self,
        settings: Settings,
        relays: int,
        seed: object,
        holder: type[Holder] = Holder,
        controller: type[Controller] = Controller,
        check_ownership: bool = True,
    ) -> None:
        self.settings = settings
        self.draw = random.Random(f"leases/{seed}")
        self.now = 0
        self.links = Links()
        self.holder, self.controller = holder, controller
        self.controllers = [Process(f"c{number}", number) for number in range(settings.controllers)]
        self.relays = [Process(f"r{number}", number) for number in range(relays)]
        self.folders: list[dict[int, Record]] = [{} for _ in self.controllers]
        self.assigned: list[frozenset[int]] = [frozenset()] * relays
        self.problems: list[str] = []
        self.last_owners: dict[int, tuple[int, int, int]] = {}  # by partition: epoch, relay, generation of its process
        self._check_ownership = check_ownership
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()
        for process in (*self.controllers, *self.relays):
            process.offset = self.draw.randrange(1000 * SECOND)

    # ---- clock

    def at(self, time: int, callback: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self._events, (max(time, self.now), next(self._count), callback))

    def run(self, until: int, done: Callable[[], bool] = lambda: False) -> bool:
        """Run until a time, or until ``done`` is true; return whether it is."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
            if done():
                return True
        self.now = until
        return done()

    # ---- processes

    def start_controller(self, number: int, lost: bool = False, old: dict[int, Record] | None = None) -> None:
        """Start a new process. ``lost``: its folder is empty; ``old``: an older copy replaces the folder."""
        process = self.controllers[number]
        if lost:
            self.folders[number] = {}
        if old is not None:
            self.folders[number] = dict(old)
        process.generation += 1
        process.up, process.stopped, process.waiting, process.timer = True, False, [], -1
        boot = self.draw.randrange(1, 1 << 62)
        now = process.clock(self.now)
        process.machine = self.controller(
            number, boot, self.settings, list(self.folders[number].values()), now, folder_was_empty=lost
        )
        self._schedule_tick(process)

    def start_relay(self, number: int) -> None:
        """Start a new process with the partitions assigned to the relay."""
        process = self.relays[number]
        process.generation += 1
        process.up, process.stopped, process.waiting, process.timer = True, False, [], -1
        session = Session(process.name, self.draw.randrange(1, 1 << 62))
        process.machine = self.holder(session, self.settings, random.Random(self.draw.getrandbits(64)))
        self.assign(number, self.assigned[number])

    def kill(self, process: Process) -> None:
        """SIGKILL the process: it sends nothing more."""
        process.up = False
        process.generation += 1

    def stop(self, process: Process) -> None:
        """SIGSTOP the process."""
        process.stopped = True

    def resume(self, process: Process) -> None:
        """SIGCONT the process: what arrived meanwhile is handled now."""
        process.stopped = False
        waiting, process.waiting = process.waiting, []
        for callback in waiting:
            callback()
        self._schedule_tick(process)

    def assign(self, number: int, partitions: Collection[int]) -> None:
        """Set the partitions that a relay should own."""
        self.assigned[number] = frozenset(partitions)
        process = self.relays[number]
        if process.up and process.machine is not None:
            self._execute(process, lambda: process.machine.set_assigned(process.clock(self.now), self.assigned[number]))

    def _execute(self, process: Process, act: Callable[[], list[Any]]) -> None:
        if not process.up:
            return
        if process.stopped:
            process.waiting.append(lambda: self._execute(process, act))
            return
        self._carry_out(process, act())
        if self._check_ownership and isinstance(process.machine, Holder):
            self._check(process)
        self._schedule_tick(process)

    def _schedule_tick(self, process: Process) -> None:
        if not process.up or process.stopped:
            return
        time = max(process.time_of(process.machine.next_at), self.now)
        if process.timer >= self.now and process.timer <= time and process.timer != -1:
            return
        process.timer = time
        generation = process.generation

        def tick() -> None:
            if process.generation != generation or process.timer != time:
                return
            process.timer = -1
            if not process.stopped:
                self._execute(process, lambda: process.machine.tick(process.clock(self.now)))

        self.at(time, tick)

    # ---- messages

    def _carry_out(self, process: Process, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case SendToController(number, message):
                    self._send(process, self.controllers[number], message)
                case SendToRelay(session, answer):
                    self._send(process, self.relays[int(session.relay[1:])], answer)
                case WriteRecords(ticket, records):
                    self._write(process, ticket, records)

    def _write(self, process: Process, ticket: int, records: list[Record]) -> None:
        generation = process.generation

        def written() -> None:
            if process.generation == generation:
                self.folders[process.number].update({record.partition: record for record in records})
                self._execute(process, lambda: process.machine.written(process.clock(self.now), ticket))

        self.at(self.now + MS + self.draw.randrange(4 * MS), written)

    def _send(self, sender: Process, receiver: Process, message: Message) -> None:
        size = len(msgspec.msgpack.encode(message)) + FRAME_OVERHEAD_BYTES
        second = self.now // SECOND
        sender.sent[second] = sender.sent.get(second, 0) + size
        links, draw = self.links, self.draw
        if (sender.name, receiver.name) in links.cut:
            return
        for _ in range(2 if draw.random() < links.doubles else 1):
            if draw.random() < links.loss:
                continue
            delay = links.delay + draw.randrange(links.jitter + 1)
            if draw.random() < links.late:
                delay += draw.randrange(links.late_by)
            self.at(self.now + delay, lambda: self._deliver(receiver, message, size))

    def _deliver(self, receiver: Process, message: Message, size: int) -> None:
        if not receiver.up or receiver.machine is None:
            return
        second = self.now // SECOND
        receiver.received[second] = receiver.received.get(second, 0) + size
        if isinstance(message, Answer):
            self._execute(receiver, lambda: receiver.machine.receive(receiver.clock(self.now), message))
        else:
            self._execute(receiver, lambda: receiver.machine.receive(receiver.clock(self.now), message, ""))

    # ---- invariants

    def owns(self, process: Process, partition: int) -> int:
        """The epoch in which a relay may act for a partition; 0: it may not. Stopped relays count: they may resume."""
        if not process.up or process.machine is None:
            return 0
        ownership: Ownership | None = process.machine.ownership(partition, process.clock(self.now))
        return ownership.epoch if ownership else 0

    def _check(self, process: Process) -> None:
        for partition, ownership in process.machine.owned(process.clock(self.now)).items():
            epoch, number, generation = self.last_owners.get(partition, (0, -1, -1))
            if (number, generation) == (process.number, process.generation):
                if ownership.epoch < epoch:
                    self._report(f"partition {partition}: epoch {ownership.epoch} after {epoch} in the same process")
            else:
                other = self.relays[number]
                if number >= 0 and other.generation == generation and self.owns(other, partition):
                    self._report(f"partition {partition}: owned by both {process.name} and {other.name}")
                if ownership.epoch <= epoch:
                    self._report(f"partition {partition}: {process.name} has epoch {ownership.epoch}, not above {epoch}")
            self.last_owners[partition] = ownership.epoch, process.number, process.generation

    def _report(self, text: str) -> None:
        if len(self.problems) < 10:
            self.problems.append(f"{self.now / SECOND:.3f} s: {text}")
