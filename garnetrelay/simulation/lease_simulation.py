"""Controllers and hollow relays in one driven clock: links that lose, delay, double and cut, processes that are killed
and stopped, clocks that run fast or slow, folders that are lost. Looks on at every step: never two owners, epochs rise.
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

FRAME = 20 + 28  # bytes besides a message: the fleet's head and digest, UDP and IPv4
MILLION = 1_000_000


@dataclass(eq=False)
class Process:
    """A controller or a relay. Its clock runs ``rate`` millionths fast, from an offset of its own."""

    name: str
    number: int  # of a controller, or of a relay
    rate: int = 0
    offset: int = 0
    up: bool = True
    stopped: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)  # while it is stopped
    machine: Any = None
    generation: int = 0
    timer: int = -1  # the moment of its next tick, in the world's clock
    sent: dict[int, int] = field(default_factory=dict)  # bytes by second
    received: dict[int, int] = field(default_factory=dict)

    def clock(self, now: int) -> int:
        """Its reading at a moment of the world's clock."""
        return self.offset + now * (MILLION + self.rate) // MILLION

    def moment(self, reading: int) -> int:
        """When its clock shows a reading."""
        return -(-(reading - self.offset) * MILLION // (MILLION + self.rate))


@dataclass
class Links:
    """What happens to a message."""

    loss: float = 0.0
    doubles: float = 0.0
    delay: int = 2 * MS
    jitter: int = 3 * MS
    late: float = 0.0  # share of messages that take up to ``late_by`` longer
    late_by: int = 20 * SECOND
    cut: set[tuple[str, str]] = field(default_factory=set)  # from, to


class LeaseSimulation:
    """Everything. ``wishes``: partitions by relay; the caller changes them through ``wish``."""

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
        self.owner: dict[int, tuple[int, int, int]] = {}  # by partition: epoch, relay, its process
        self._check_ownership = check_ownership
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()
        for process in (*self.controllers, *self.relays):
            process.offset = self.draw.randrange(1000 * SECOND)

    # ---- time

    def at(self, moment: int, what: Callable[[], None]) -> None:
        """Something happens at a moment."""
        heapq.heappush(self._events, (max(moment, self.now), next(self._count), what))

    def run(self, until: int, done: Callable[[], bool] = lambda: False) -> bool:
        """Lets time pass; whether ``done`` came true."""
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
            if done():
                return True
        self.now = until
        return done()

    # ---- processes

    def start_controller(self, number: int, lost: bool = False, old: dict[int, Record] | None = None) -> None:
        """A new process; ``lost``: its folder is empty, ``old``: a copy of before stands there."""
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
        self._arm(process)

    def start_relay(self, number: int) -> None:
        """A new process, which wishes what it should own."""
        process = self.relays[number]
        process.generation += 1
        process.up, process.stopped, process.waiting, process.timer = True, False, [], -1
        session = Session(process.name, self.draw.randrange(1, 1 << 62))
        process.machine = self.holder(session, self.settings, random.Random(self.draw.getrandbits(64)))
        self.assign(number, self.assigned[number])

    def kill(self, process: Process) -> None:
        """It ends without a word."""
        process.up = False
        process.generation += 1

    def stop(self, process: Process) -> None:
        """SIGSTOP."""
        process.stopped = True

    def go_on(self, process: Process) -> None:
        """SIGCONT: what came meanwhile is heard now."""
        process.stopped = False
        waiting, process.waiting = process.waiting, []
        for what in waiting:
            what()
        self._arm(process)

    def assign(self, number: int, partitions: Collection[int]) -> None:
        """What a relay should own."""
        self.assigned[number] = frozenset(partitions)
        process = self.relays[number]
        if process.up and process.machine is not None:
            self._do(process, lambda: process.machine.set_assigned(process.clock(self.now), self.assigned[number]))

    def _do(self, process: Process, act: Callable[[], list[Any]]) -> None:
        if not process.up:
            return
        if process.stopped:
            process.waiting.append(lambda: self._do(process, act))
            return
        self._carry_out(process, act())
        if self._check_ownership and isinstance(process.machine, Holder):
            self._check(process)
        self._arm(process)

    def _arm(self, process: Process) -> None:
        if not process.up or process.stopped:
            return
        moment = max(process.moment(process.machine.next_at), self.now)
        if process.timer >= self.now and process.timer <= moment and process.timer != -1:
            return
        process.timer = moment
        generation = process.generation

        def tick() -> None:
            if process.generation != generation or process.timer != moment:
                return
            process.timer = -1
            if not process.stopped:
                self._do(process, lambda: process.machine.tick(process.clock(self.now)))

        self.at(moment, tick)

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
                self._do(process, lambda: process.machine.written(process.clock(self.now), ticket))

        self.at(self.now + MS + self.draw.randrange(4 * MS), written)

    def _send(self, sender: Process, receiver: Process, message: Message) -> None:
        size = len(msgspec.msgpack.encode(message)) + FRAME
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
            self.at(self.now + delay, lambda: self._hear(receiver, message, size))

    def _hear(self, receiver: Process, message: Message, size: int) -> None:
        if not receiver.up or receiver.machine is None:
            return
        second = self.now // SECOND
        receiver.received[second] = receiver.received.get(second, 0) + size
        if isinstance(message, Answer):
            self._do(receiver, lambda: receiver.machine.receive(receiver.clock(self.now), message))
        else:
            self._do(receiver, lambda: receiver.machine.receive(receiver.clock(self.now), message, ""))

    # ---- what has to hold

    def owns(self, process: Process, partition: int) -> int:
        """The epoch in which a relay may act for a partition now; 0: it may not. Stopped ones may wake at any time."""
        if not process.up or process.machine is None:
            return 0
        ownership: Ownership | None = process.machine.ownership(partition, process.clock(self.now))
        return ownership.epoch if ownership else 0

    def _check(self, process: Process) -> None:
        for partition, ownership in process.machine.owned(process.clock(self.now)).items():
            epoch, number, generation = self.owner.get(partition, (0, -1, -1))
            if (number, generation) == (process.number, process.generation):
                if ownership.epoch < epoch:
                    self._say(f"partition {partition}: epoch {ownership.epoch} after {epoch} of the same relay")
            else:
                other = self.relays[number]
                if number >= 0 and other.generation == generation and self.owns(other, partition):
                    self._say(f"partition {partition}: {process.name} and {other.name} own it")
                if ownership.epoch <= epoch:
                    self._say(f"partition {partition}: {process.name} in epoch {ownership.epoch}, after {epoch}")
            self.owner[partition] = ownership.epoch, process.number, process.generation

    def _say(self, text: str) -> None:
        if len(self.problems) < 10:
            self.problems.append(f"{self.now / SECOND:.3f} s: {text}")
