"""Random fault schedules for lease controllers and relays, generated and run from a seed."""

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
FAULT_PERIOD_NS = 60 * SECOND
DETECTION_DELAY_NS = 3 * SECOND  # until membership removes a killed relay from the view
MAX_CLOCK_RATE_PPM = 10_000  # one hundredth fast or slow


class Outcome(NamedTuple):
    """Result of a run.

    ``reassigned_after``: nanoseconds from the end of the faults until each partition had its assigned owner; None: not in
    time.
    """

    problems: list[str]
    reassigned_after: int | None
    changes: int  # times that a relay gained a partition


class FaultRun:
    """One run of random faults."""

    def __init__(
        self,
        seed: int,
        holder: type[Holder] = Holder,
        controller: type[Controller] = Controller,
        settings: Settings = SETTINGS,
    ) -> None:
        self.simulation = simulation = LeaseSimulation(settings, RELAYS, seed, holder, controller)
        self.draw = random.Random(f"faults/{seed}")
        self.view = set(range(RELAYS))
        self.replaced_at = -(1 << 60)  # time of the last replacement of a folder
        self.copies = [dict(folder) for folder in simulation.folders]
        for process in (*simulation.controllers, *simulation.relays):
            process.rate = self.draw.choice((-MAX_CLOCK_RATE_PPM, 0, MAX_CLOCK_RATE_PPM))
        simulation.links.loss = self.draw.choice((0.0, 0.02, 0.1))
        simulation.links.doubles = self.draw.choice((0.0, 0.05))
        simulation.links.late = self.draw.choice((0.0, 0.02))
        simulation.links.jitter = self.draw.choice((3 * MS, 100 * MS))

    def run(self) -> Outcome:
        """Inject faults for a minute, then repair everything and wait until each partition has its owner."""
        simulation, settings = self.simulation, self.simulation.settings
        for number in range(settings.controllers):
            simulation.start_controller(number)
        simulation.run(settings.lease + 2 * SECOND)
        self.assign()
        for number in range(RELAYS):
            simulation.start_relay(number)
        simulation.run(simulation.now + 5 * SECOND)
        last = simulation.now + FAULT_PERIOD_NS
        for _ in range(self.draw.randrange(4, 16)):
            simulation.at(simulation.now + self.draw.randrange(FAULT_PERIOD_NS), self.inject_fault)
        simulation.run(last)
        self.heal()
        timeout = 3 * settings.lease + 2 * settings.max_retry
        simulation.run(last + timeout, self.all_owned)
        reassigned_after = simulation.now - last if self.all_owned() else None
        return Outcome(
            simulation.problems,
            reassigned_after,
            sum(process.machine.event_counts["gained"] for process in simulation.relays),
        )

    def assign(self) -> None:
        """Assign the partitions to the relays that the view contains."""
        owners = assign([f"r{number}" for number in self.view], self.simulation.settings.partitions)
        for number in range(RELAYS):
            assigned = {partition for partition, name in enumerate(owners) if name == f"r{number}"}
            if self.simulation.assigned[number] != assigned and self.simulation.relays[number].machine is not None:
                self.simulation.at(
                    self.simulation.now + self.draw.randrange(SECOND),
                    lambda number=number: self.simulation.assign(number, self.simulation.assigned[number]),  # type: ignore[misc]
                )
            self.simulation.assigned[number] = frozenset(assigned)

    def all_owned(self) -> bool:
        """Whether each relay owns exactly the partitions assigned to it."""
        simulation = self.simulation
        return all(
            process.machine.owned(process.clock(simulation.now)).keys() == simulation.assigned[process.number]
            for process in simulation.relays
        )

    def inject_fault(self) -> None:
        """Inject one random fault."""
        self.draw.choice(
            (
                self.kill_relay,
                self.stop_process,
                self.stop_process,
                self.cut_links,
                self.cut_links,
                self.restart_controller,
                self.replace_folder,
                self.drop_from_view,
            )
        )()

    def kill_relay(self) -> None:
        """Kill a relay; it starts again at once or later, when the view no longer contains it."""
        number = self.draw.randrange(RELAYS)
        self.simulation.kill(self.simulation.relays[number])
        downtime = self.draw.choice((500 * MS, 20 * SECOND))
        if downtime > DETECTION_DELAY_NS:
            self.simulation.at(self.simulation.now + DETECTION_DELAY_NS, lambda: self.remove(number))
        self.simulation.at(self.simulation.now + downtime, lambda: self.rejoin(number))

    def remove(self, number: int) -> None:
        """Remove a relay from the view, unless it is the last one."""
        if len(self.view) > 1:
            self.view.discard(number)
        self.assign()

    def rejoin(self, number: int) -> None:
        """Return a relay to the view, and start it if it does not run."""
        self.view.add(number)
        if not self.simulation.relays[number].up:
            self.simulation.start_relay(number)
        self.assign()

    def drop_from_view(self) -> None:
        """Remove a running relay from the view for 10 s."""
        number = self.draw.randrange(RELAYS)
        self.remove(number)
        self.simulation.at(self.simulation.now + 10 * SECOND, lambda: self.rejoin(number))

    def stop_process(self) -> None:
        """SIGSTOP a process for less or more than a lease."""
        process = self.draw.choice((*self.simulation.controllers, *self.simulation.relays))
        self.simulation.stop(process)
        time = self.draw.choice((2, 10, 18)) * SECOND
        self.simulation.at(self.simulation.now + time, lambda: self.resume(process))

    def resume(self, process: Process) -> None:
        """SIGCONT a process, unless it ended or was restarted meanwhile."""
        if process.up and process.stopped:
            self.simulation.resume(process)

    def cut_links(self) -> None:
        """Cut some processes off from the others, in one or both directions, for a while."""
        names = [process.name for process in (*self.simulation.controllers, *self.simulation.relays)]
        chosen = set(self.draw.sample(names, self.draw.randrange(1, len(names) // 2 + 1)))
        pairs = {(one, other) for one in chosen for other in names if other not in chosen}
        direction = self.draw.randrange(3)
        cut = set() if direction == 2 else pairs
        if direction != 1:
            cut = cut | {(other, one) for one, other in pairs}
        self.simulation.links.cut |= cut
        self.simulation.at(self.simulation.now + self.draw.choice((1, 8, 25)) * SECOND, self.simulation.links.cut.clear)

    def restart_controller(self) -> None:
        """Restart one controller, or all at once; copy their folders first."""
        numbers = range(len(self.simulation.controllers))
        for number in self.draw.choice((list(numbers), [self.draw.choice(numbers)], [self.draw.choice(numbers)])):
            self.copies[number] = dict(self.simulation.folders[number])
            self.simulation.start_controller(number)

    def replace_folder(self) -> None:
        """Start a controller with an empty or old folder. Only one at a time: all controllers have to be ready."""
        if not all(process.machine.ready for process in self.simulation.controllers):
            return
        number = self.draw.randrange(len(self.simulation.controllers))
        lost = self.draw.random() < 0.5
        self.simulation.start_controller(number, lost, None if lost else self.copies[number])

    def heal(self) -> None:
        """Repair all links, and start or resume all processes."""
        simulation = self.simulation
        simulation.links.cut.clear()
        simulation.links.loss = simulation.links.late = 0.0
        for process in simulation.controllers:
            self.resume(process)
        for process in simulation.relays:
            self.resume(process)
            self.rejoin(process.number)
