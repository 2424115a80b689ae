"""A random schedule of faults for controllers and hollow relays, drawn and played by its seed."""

from __future__ import annotations

import random
from typing import NamedTuple

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.settings import MS, SECOND, Settings
from garnetrelay.fleet.partitions.assignment import assign
from garnetrelay.simulation.lease_simulation import LeaseSimulation, Process

SETTINGS = Settings(partitions=16)
RELAYS = 6
FAULTS_LAST = 60 * SECOND
DETECTED_AFTER = 3 * SECOND  # membership's part: a view without a relay that is gone
MOST_RATE = 10_000  # millionths: one hundredth fast or slow


class Outcome(NamedTuple):
    """What came of it. ``reassigned_after``: ns from the last fault until all had their owner; None: not in time."""

    problems: list[str]
    reassigned_after: int | None
    changes: int  # of owners


class FaultRun:
    """One schedule."""

    def __init__(
        self,
        seed: int,
        holder: type[Holder] = Holder,
        controller: type[Controller] = Controller,
        settings: Settings = SETTINGS,
    ) -> None:
        self.world = world = LeaseSimulation(settings, RELAYS, seed, holder, controller)
        self.draw = random.Random(f"faults/{seed}")
        self.there = set(range(RELAYS))
        self.replaced_at = -(1 << 60)  # one folder at a time is lost or old: when the last one was
        self.copies = [dict(folder) for folder in world.folders]
        for process in (*world.controllers, *world.relays):
            process.rate = self.draw.choice((-MOST_RATE, 0, MOST_RATE))
        world.links.loss = self.draw.choice((0.0, 0.02, 0.1))
        world.links.doubles = self.draw.choice((0.0, 0.05))
        world.links.late = self.draw.choice((0.0, 0.02))
        world.links.jitter = self.draw.choice((3 * MS, 100 * MS))

    def run(self) -> Outcome:
        """Faults for a minute, then all links and processes are whole again."""
        world, settings = self.world, self.world.settings
        for number in range(settings.controllers):
            world.start_controller(number)
        world.run(settings.lease + 2 * SECOND)
        self.assign()
        for number in range(RELAYS):
            world.start_relay(number)
        world.run(world.now + 5 * SECOND)
        last = world.now + FAULTS_LAST
        for _ in range(self.draw.randrange(4, 16)):
            world.at(world.now + self.draw.randrange(FAULTS_LAST), self.fault)
        world.run(last)
        self.mend()
        within = 3 * settings.lease + 2 * settings.max_retry
        world.run(last + within, self.all_owned)
        owned = world.now - last if self.all_owned() else None
        return Outcome(world.problems, owned, sum(process.machine.event_counts["gained"] for process in world.relays))

    def assign(self) -> None:
        """The view's wishes, of those that it holds for there."""
        owners = assign([f"r{number}" for number in self.there], self.world.settings.partitions)
        for number in range(RELAYS):
            mine = {partition for partition, name in enumerate(owners) if name == f"r{number}"}
            if self.world.assigned[number] != mine and self.world.relays[number].machine is not None:
                self.world.at(
                    self.world.now + self.draw.randrange(SECOND),
                    lambda number=number: self.world.assign(number, self.world.assigned[number]),  # type: ignore[misc]
                )
            self.world.assigned[number] = frozenset(mine)

    def all_owned(self) -> bool:
        """Whether each partition has its owner."""
        world = self.world
        return all(
            process.machine.owned(process.clock(world.now)).keys() == world.assigned[process.number]
            for process in world.relays
        )

    def fault(self) -> None:
        """One of them."""
        self.draw.choice(
            (
                self.kill_relay,
                self.stop,
                self.stop,
                self.cut,
                self.cut,
                self.restart_controller,
                self.replace_folder,
                self.view,
            )
        )()

    def kill_relay(self) -> None:
        """It is gone for a while, or starts again at once."""
        number = self.draw.randrange(RELAYS)
        self.world.kill(self.world.relays[number])
        back = self.draw.choice((500 * MS, 20 * SECOND))
        if back > DETECTED_AFTER:
            self.world.at(self.world.now + DETECTED_AFTER, lambda: self.leave(number))
        self.world.at(self.world.now + back, lambda: self.come_back(number))

    def leave(self, number: int) -> None:
        """The view has lost it."""
        if len(self.there) > 1:
            self.there.discard(number)
        self.assign()

    def come_back(self, number: int) -> None:
        """It is there again."""
        self.there.add(number)
        if not self.world.relays[number].up:
            self.world.start_relay(number)
        self.assign()

    def view(self) -> None:
        """The view loses one that is there, and finds it again."""
        number = self.draw.randrange(RELAYS)
        self.leave(number)
        self.world.at(self.world.now + 10 * SECOND, lambda: self.come_back(number))

    def stop(self) -> None:
        """SIGSTOP of any process, for less or more than a lease."""
        process = self.draw.choice((*self.world.controllers, *self.world.relays))
        self.world.stop(process)
        time = self.draw.choice((2, 10, 18)) * SECOND
        self.world.at(self.world.now + time, lambda: self.go_on(process))

    def go_on(self, process: Process) -> None:
        """SIGCONT, unless it ended meanwhile."""
        if process.up and process.stopped:
            self.world.go_on(process)

    def cut(self) -> None:
        """Some processes apart from the others, both ways or one, for a while."""
        names = [process.name for process in (*self.world.controllers, *self.world.relays)]
        some = set(self.draw.sample(names, self.draw.randrange(1, len(names) // 2 + 1)))
        pairs = {(one, other) for one in some for other in names if other not in some}
        way = self.draw.randrange(3)
        cut = set() if way == 2 else pairs
        if way != 1:
            cut = cut | {(other, one) for one, other in pairs}
        self.world.links.cut |= cut
        self.world.at(self.world.now + self.draw.choice((1, 8, 25)) * SECOND, self.world.links.cut.clear)

    def restart_controller(self) -> None:
        """One, or all at once."""
        numbers = range(len(self.world.controllers))
        for number in self.draw.choice((list(numbers), [self.draw.choice(numbers)], [self.draw.choice(numbers)])):
            self.copies[number] = dict(self.world.folders[number])
            self.world.start_controller(number)

    def replace_folder(self) -> None:
        """A controller starts with an empty folder or an old copy, where the last such one is ready again."""
        if not all(process.machine.ready for process in self.world.controllers):
            return
        number = self.draw.randrange(len(self.world.controllers))
        lost = self.draw.random() < 0.5
        self.world.start_controller(number, lost, None if lost else self.copies[number])

    def mend(self) -> None:
        """All is whole again."""
        world = self.world
        world.links.cut.clear()
        world.links.loss = world.links.late = 0.0
        for process in world.controllers:
            self.go_on(process)
        for process in world.relays:
            self.go_on(process)
            self.come_back(process.number)
