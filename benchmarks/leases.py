"""Partitions and leases in the driven clock: random schedules of faults; bytes, take-over and moves at the size."""

from __future__ import annotations

import random
import statistics
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.grant_table import GrantTable
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.messages import Answer, Grant, HolderEffect, Refusal, Session
from garnetrelay.fleet.leases.settings import SECOND, Settings
from garnetrelay.fleet.partitions.assignment import Assignment
from garnetrelay.fleet.partitions.hashing import partition_of
from garnetrelay.simulation.lease_faults import FaultRun, Outcome
from garnetrelay.simulation.lease_simulation import LeaseSimulation, Process

WORKERS = 2
ZONES = 6
DESTINATIONS = 260_000
DETECTION = 15 * SECOND  # from a crash to the view without the relay: membership's, assumed here
VIEW_SPREAD = 3 * SECOND  # relays learn of a view within so long


class NoWait(Controller):
    """Planted: grants at once after a start."""

    def __init__(self, *given: object, **named: object) -> None:
        super().__init__(*given, **named)  # type: ignore[arg-type]
        assert self._recovery is not None
        for source in self._recovery.sources.values():
            source.retry_at -= self.settings.lease


class CountsFromTheAnswer(Holder):
    """Planted: counts a vote from when the answer came."""

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        request = self._links[answer.controller].request
        if request is not None:
            request.sent_at = now
        return super().receive(now, answer)


class CountsOldAnswers(Holder):
    """Planted: takes any answer for one to the request under way."""

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        request = self._links[answer.controller].request
        if request is not None:
            answer = msgspec.structs.replace(answer, number=request.message.number)
        return super().receive(now, answer)


class EqualEpochs(GrantTable):
    """Planted: an epoch that another had is granted again."""

    def refusal(self, now: int, grant: Grant, session: Session) -> Refusal | None:
        return super().refusal(now, Grant(grant.partition, grant.epoch + 1), session)


class GrantsEqualEpochs(Controller):
    """Planted: an epoch that another had is granted again."""

    def receive(self, now: int, message: object, source: str = "") -> list:  # type: ignore[type-arg]
        self.grant_table.__class__ = EqualEpochs
        return super().receive(now, message, source)  # type: ignore[arg-type]


class SmallQuorum(Settings):
    """Planted: two of five are enough."""

    @property
    def quorum(self) -> int:
        return 2


class ForgetsLeases(Controller):
    """Planted: another session need not wait."""

    def receive(self, now: int, message: object, source: str = "") -> list:  # type: ignore[type-arg]
        for held in self.grant_table.sessions.values():
            held.lease_until = min(held.lease_until, now + SECOND)
        return super().receive(now, message, source)  # type: ignore[arg-type]


PLANTED: dict[str, dict[str, Any]] = {
    "none": {},
    "no wait after a start": {"controller": NoWait},
    "counted from the answer": {"holder": CountsFromTheAnswer},
    "old answers count": {"holder": CountsOldAnswers},
    "equal epochs": {"controller": GrantsEqualEpochs},
    "two of five are enough": {"settings": SmallQuorum(partitions=16)},
    "leases of a second": {"controller": ForgetsLeases},
}


def _played(job: tuple[int, str]) -> Outcome:
    return FaultRun(job[0], **PLANTED[job[1]]).run()


def faults(seeds: int, planted_seeds: int) -> None:
    """Random schedules: two owners, an epoch that fell, time until all is owned again; the same with planted faults."""
    print(
        f"{'planted':<26}{'schedules':>10}{'broken':>8}{'not owned':>11}{'owned again, median':>21}{'p99':>7}{'most':>7}"
        f"{'changes of owner':>18}"
    )
    with ProcessPoolExecutor(WORKERS) as pool:
        for name in PLANTED:
            jobs = [(seed, name) for seed in range(seeds if name == "none" else planted_seeds)]
            found = list(pool.map(_played, jobs, chunksize=5))
            times = sorted(each.reassigned_after / SECOND for each in found if each.reassigned_after is not None) or [
                float("nan")
            ]
            print(
                f"{name:<26}{len(found):>10}{sum(bool(each.problems) for each in found):>8}"
                f"{sum(each.reassigned_after is None for each in found):>11}{statistics.median(times):>21.1f}"
                f"{times[int(len(times) * 0.99)]:>7.1f}{times[-1]:>7.1f}{sum(each.changes for each in found):>18}",
                flush=True,
            )


def partitions(relays: int, sizes: list[int], goings: int = 20) -> None:
    """Numbers of partitions: processor time of a change, loads, and what moves against the least possible."""
    print(f"{relays} relays, {goings} that go and come back one by one, then a zone of {len(range(0, relays, ZONES))}")
    print(
        f"{'partitions':>10}{'start ms':>10}{'goes ms':>9}{'comes ms':>10}{'most/mean':>11}{'moved':>8}{'least':>7}"
        f"{'zone moved':>12}{'least':>7}{'destinations most/mean':>24}"
    )
    names = [f"relay-{number}" for number in range(relays)]
    for size in sizes:
        began = time.process_time()
        assignment = Assignment(size)
        whole = assignment.update(names)
        start = time.process_time() - began
        goes = comes = 0.0
        moved = least = 0
        for name in names[:goings]:
            began = time.process_time()
            after = assignment.update([other for other in names if other != name])
            goes += time.process_time() - began
            moved += sum(one != other for one, other in zip(whole, after, strict=True))
            least += whole.count(name)
            began = time.process_time()
            assignment.update(names)
            comes += time.process_time() - began
        zone = set(names[::ZONES])
        after = assignment.update([name for name in names if name not in zone])
        zone_moved = sum(one != other for one, other in zip(whole, after, strict=True))
        loads = Counter(whole)
        destinations = Counter(whole[partition_of(number, size)] for number in range(DESTINATIONS))
        print(
            f"{size:>10}{start * 1e3:>10.0f}{goes / goings * 1e3:>9.1f}{comes / goings * 1e3:>10.1f}"
            f"{max(loads.values()) / (size / relays):>11.2f}{moved / goings:>8.1f}{least / goings:>7.1f}"
            f"{zone_moved:>12}{sum(name in zone for name in whole):>7}"
            f"{max(destinations.values()) / (DESTINATIONS / relays):>24.2f}"
        )


class Fleet:
    """Hollow relays at the size, whose wishes follow a view given from outside."""

    def __init__(self, settings: Settings, relays: int) -> None:
        self.world = LeaseSimulation(settings, relays, "size", check_ownership=False)
        self.assignment = Assignment(settings.partitions)
        self.draw = random.Random(1)
        self.there = set(range(relays))
        for number in range(settings.controllers):
            self.world.start_controller(number)
        self.world.run(settings.lease + 5 * SECOND)
        self.view(self.there, 0)
        for number in range(relays):
            self.world.at(
                self.world.now + self.draw.randrange(10 * SECOND),
                lambda number=number: self.world.start_relay(number),  # type: ignore[misc]
            )
        self.world.run(self.world.now + 40 * SECOND)

    def view(self, there: set[int], spread: int, of: set[int] | None = None) -> int:
        """Those that are there, as all of ``of`` learn within ``spread``; how many partitions move."""
        world, before = self.world, self.assignment.owners
        self.there = set(there)
        after = self.assignment.update([f"r{number}" for number in there])
        wishes: dict[str, set[int]] = {}
        for partition, name in enumerate(after):
            wishes.setdefault(name, set()).add(partition)
        for number in of if of is not None else there:
            mine = wishes.get(f"r{number}", set())
            if mine != world.assigned[number]:
                world.at(
                    world.now + (self.draw.randrange(spread) if spread else 0),
                    lambda number=number, mine=mine: world.assign(number, mine),  # type: ignore[misc]
                )
        return sum(one != other for one, other in zip(before, after, strict=True))

    def owned_by(self, process: Process) -> set[int]:
        """What it may act for now."""
        if not process.up:
            return set()
        return set(process.machine.owned(process.clock(self.world.now)))

    def owners(self) -> Counter[int]:
        """Owners by partition."""
        return Counter(partition for process in self.world.relays for partition in self.owned_by(process))

    def without(self, partitions: set[int], since: int, most: int) -> list[float]:
        """Seconds from a moment until each partition is owned."""
        left, found = set(partitions), []
        end = self.world.now + most
        while left and self.world.now < end:
            self.world.run(self.world.now + SECOND // 5)
            owned = self.owners()
            for partition in [partition for partition in left if owned[partition]]:
                left.discard(partition)
                found.append((self.world.now - since) / SECOND)
        return sorted(found + [float("inf")] * len(left))

    def traffic(self, first: int, last: int) -> str:
        """Bytes a relay a second, sent and received: mean, and in the worst second over all and of one relay."""
        relays = [process for process in self.world.relays if process.up]
        both = [
            [process.sent.get(second, 0) + process.received.get(second, 0) for second in range(first, last)]
            for process in relays
        ]
        sent = sum(process.sent.get(second, 0) for process in relays for second in range(first, last))
        seconds, count = last - first, len(relays)
        total = [sum(each[second] for each in both) / count for second in range(seconds)]
        return (
            f"sent {sent / count / seconds:.0f}, sent and received {statistics.mean(total):.0f}; worst second "
            f"{max(total):.0f} in the mean of all, {max(max(each) for each in both)} of one relay"
        )


def size(relays: int, partitions: int, lease: int, renew: int) -> None:
    """The fleet at its size: peace, a crash, a zone, regions cut for five minutes."""
    settings = Settings(partitions=partitions, lease=lease * SECOND, renew_every=renew * SECOND)
    began = time.process_time()
    fleet = Fleet(settings, relays)
    world = fleet.world
    print(f"{relays} relays, {partitions} partitions, lease {lease} s, renewed every {renew} s, holder's time "
          f"{settings.holder_lease / SECOND:.2f} s")  # fmt: skip
    print(f"owned: {len(fleet.owners())}; at most {max(fleet.owners().values())} owner of one")
    loads = [len(fleet.owned_by(process)) for process in world.relays]
    print(f"load: most {max(loads)}, least {min(loads)}, mean {statistics.mean(loads):.1f}, "
          f"most / mean {max(loads) / statistics.mean(loads):.2f}")  # fmt: skip
    first = world.now // SECOND
    world.run(world.now + 40 * SECOND)
    print(f"peace, bytes a relay a second: {fleet.traffic(first, first + 40)}")
    gaps: list[float] = []
    moved = least = 0
    for number in range(5):
        victim = world.relays[number]
        lost = fleet.owned_by(victim)
        at = world.now
        world.kill(victim)
        world.run(at + DETECTION)
        moved += fleet.view(fleet.there - {number}, VIEW_SPREAD)
        least += len(lost)
        gaps += fleet.without(lost, at, 60 * SECOND)
    gaps.sort()
    print(f"5 crashes: without an owner median {statistics.median(gaps):.1f} s, p99 {gaps[int(len(gaps) * 0.99)]:.1f}, "
          f"most {gaps[-1]:.1f}; moved {moved}, least {least}")  # fmt: skip
    zone = {number for number in fleet.there if number % ZONES == 0}
    lost = {partition for number in zone for partition in fleet.owned_by(world.relays[number])}
    at = world.now
    for number in zone:
        world.kill(world.relays[number])
    world.kill(world.controllers[0])
    world.run(at + DETECTION)
    moved = fleet.view(fleet.there - zone, VIEW_SPREAD)
    gaps = fleet.without(lost, at, 90 * SECOND)
    print(f"zone of {len(zone)} and a controller gone: without an owner median {statistics.median(gaps):.1f} s, "
          f"p99 {gaps[int(len(gaps) * 0.99)]:.1f}, most {gaps[-1]:.1f}; moved {moved}, least {len(lost)}; bytes: "
          f"{fleet.traffic(at // SECOND, world.now // SECOND + 1)}")  # fmt: skip
    print(f"{time.process_time() - began:.0f} s of processor", flush=True)
    _regions(fleet)
    print(f"{time.process_time() - began:.0f} s of processor")


def _regions(fleet: Fleet) -> None:
    """Odd zones and two controllers (of those that run, the last two) on one side, for five minutes."""
    world = fleet.world
    minority = {number for number in fleet.there if number % ZONES % 2}
    majority = fleet.there - minority
    far = {f"r{number}" for number in minority} | {world.controllers[-1].name}
    names = [process.name for process in (*world.controllers, *world.relays)]
    near = [name for name in names if name not in far]
    world.links.cut = {(one, other) for one in far for other in near} | {(other, one) for one in far for other in near}
    at, everybody = world.now, set(fleet.there)
    lost = {partition for number in minority for partition in fleet.owned_by(world.relays[number])}
    world.run(at + DETECTION)
    both = fleet.assignment.owners
    fleet.view(majority, VIEW_SPREAD)
    own = Assignment(world.settings.partitions).update([f"r{number}" for number in minority])
    for number in minority:
        mine = {partition for partition, name in enumerate(own) if name == f"r{number}"}
        world.at(
            world.now + fleet.draw.randrange(VIEW_SPREAD),
            lambda number=number, mine=mine: world.assign(number, mine),  # type: ignore[misc]
        )
    gaps = fleet.without(lost, at, 90 * SECOND)
    world.run(at + 300 * SECOND)
    print(f"regions cut, {len(minority)} relays and one controller apart: their {len(lost)} partitions without an owner "
          f"median {statistics.median(gaps):.1f} s, p99 {gaps[int(len(gaps) * 0.99)]:.1f}, most {gaps[-1]:.1f}; bytes: "
          f"{fleet.traffic(at // SECOND, at // SECOND + 300)}")  # fmt: skip
    owners = fleet.owners()
    print(f"  at its end {len(owners)} owned, most owners of one {max(owners.values())}")
    healed = world.now
    world.links.cut = set()
    world.run(healed + DETECTION)
    fleet.view(everybody, VIEW_SPREAD)
    world.run(healed + DETECTION + 40 * SECOND)
    owners = fleet.owners()
    same = fleet.assignment.owners == both
    print(f"  40 s after the view is one again: {len(owners)} owned, most owners of one {max(owners.values())}, owners "
          f"as before: {same}; bytes: {fleet.traffic(healed // SECOND, world.now // SECOND)}")  # fmt: skip
