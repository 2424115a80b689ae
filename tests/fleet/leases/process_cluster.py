"""Controllers and relays as processes, through the links stand-in, and an observer who asks every relay what it owns."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from garnetrelay.fleet import clock
from garnetrelay.fleet.controller.records_file import RecordsFile
from garnetrelay.fleet.lease_status import ControllerLine, OwnedLine, SessionLine
from garnetrelay.fleet.leases.settings import MS
from garnetrelay.rehearsal.links.network import Network
from garnetrelay.simulation.links import LinkConditions
from tests.fleet.processes import PATIENCE, SECRET, Fleet, Process, Relay

PARTITIONS = 64
LEASE_MS = 2000
LOOK_EVERY = 0.1  # seconds: the observer looks as often as that, and no verdict follows from how often


class Controller(Process):
    """A controller."""

    def __init__(self, fleet: Cluster, name: str, number: int) -> None:
        super().__init__(fleet, name)
        self.number = number

    async def start(self) -> None:
        self._write_options()
        await self.run("-m", "garnetrelay.cli", "fleet", "controller", str(self.folder / "options.toml"))

    def initialize(self) -> None:
        """As ``--initialize`` does it; a process for it would only take time."""
        RecordsFile(self.folder / "state", self.number, PARTITIONS, LEASE_MS * MS).initialize()

    def lose_folder(self) -> None:
        shutil.rmtree(self.folder / "state")

    def _write_options(self) -> None:
        network = self.fleet.network
        (self.folder / "secret").write_text(SECRET)
        (self.folder / "options.toml").write_text(
            f'number = {self.number}\nlisten = "{network.inner(self.name)}"\n{terms(self.fleet)}'
            'folder = "state"\nsecret_file = "secret"\n'
        )


def terms(fleet: Fleet) -> str:
    """What relays and controllers are told alike."""
    assert isinstance(fleet, Cluster)
    places = [fleet.network.outer(name) for name in fleet.controllers]
    return f"controllers = {json.dumps(places)}\npartitions = {PARTITIONS}\nlease_ms = {LEASE_MS}\n"


class Cluster(Fleet):
    """Controllers c0, c1, ... and relays r1, r2, ..."""

    def __init__(self, folder: Path, controllers: int, relays: int, base: LinkConditions | None = None) -> None:
        super().__init__(folder, relays, base=base)
        names = [f"c{number}" for number in range(controllers)]
        self.network = Network([*names, *self.relays], self.links)
        self.controllers = {name: Controller(self, name, number) for number, name in enumerate(names)}
        self.observer = Observer(self)

    async def __aexit__(self, *_: object) -> None:
        await self.observer.stop()
        for process in self.controllers.values():
            if process.process is not None and process.process.returncode is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                await process.ended()
        await super().__aexit__()

    async def __aenter__(self) -> Cluster:
        await super().__aenter__()
        return self

    async def start_all(self) -> None:
        """The controllers, initialized; then the relays; until all partitions are owned."""
        for controller in self.controllers.values():
            controller.initialize()
        await asyncio.gather(*(controller.start() for controller in self.controllers.values()))
        for relay in self.relays.values():
            relay.options += f"[fleet.leases]\n{terms(self)}"
        await asyncio.gather(*(relay.start() for relay in self.relays.values()))
        await self.until(lambda: all(relay.logged("serves on") for relay in self.relays.values()))
        self.observer.start()
        await self.observer.all_owned()

    async def controllers_seen_by(self, relay: Relay) -> list[ControllerLine]:
        return [msgspec.json.decode(line, type=ControllerLine) for line in await relay.ask("FLEET CONTROLLERS")]


@dataclass(slots=True)
class Sample:
    """A relay's answer that it owns a partition. It owned it at some moment from ``asked`` to ``heard`` (ns)."""

    asked: int
    heard: int
    relay: str
    session: int
    epoch: int
    until: int


@dataclass(slots=True)
class Look:
    """One relay's latest answer."""

    heard: int
    state: SessionLine
    owned: dict[int, OwnedLine]


@dataclass(slots=True)
class Observer:
    """Asks all relays in turn, over and over, and holds their answers against each other by the clock that all share."""

    cluster: Cluster
    highest: dict[int, Sample] = field(default_factory=dict)  # by partition: the one of the highest epoch
    frozen: dict[int, int] = field(default_factory=dict)  # sessions that can't have released, and since when
    latest: dict[str, Look] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    samples: int = 0
    _task: asyncio.Task[None] | None = None
    _news: asyncio.Condition = field(default_factory=asyncio.Condition)

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
            if not self._task.cancelled() and (error := self._task.exception()) is not None:
                raise error

    def freeze(self, relay: Relay) -> None:
        """The relay is stopped or killed from here on: it has released nothing, and its leases have to run out."""
        look = self.latest.get(relay.name)
        if look is not None:
            self.frozen[look.state.session] = clock.now()

    async def wait_for(self, holds: Callable[[], bool]) -> None:
        """Until something holds of the latest answers."""
        async with asyncio.timeout(PATIENCE), self._news:
            await self._news.wait_for(lambda: self.faults or holds())
        assert not self.faults, self.faults

    async def all_owned(self, *relays: str, since: int = 0) -> None:
        """Until each partition is owned, by answers from then on; by these relays, where some are named."""
        names = relays or tuple(self.cluster.relays)

        def holds() -> bool:
            looks = [self.latest.get(name) for name in names]
            if any(look is None or look.heard < since for look in looks):
                return False
            return {partition for look in looks if look is not None for partition in look.owned} == set(range(PARTITIONS))

        await self.wait_for(holds)

    async def cut_off(self, relay: Relay, since: int) -> None:
        """Until one relay reaches no controller and owns nothing, by an answer from then on."""

        def holds() -> bool:
            look = self.latest.get(relay.name)
            return look is not None and look.heard > since and not look.owned and not look.state.reached

        await self.wait_for(holds)

    async def none_owned(self) -> None:
        """Until nobody owns anything."""
        now = clock.now()
        await self.wait_for(
            lambda: (
                {name for name, look in self.latest.items() if look.heard > now} >= self.cluster.relays.keys()
                and not any(look.owned for look in self.latest.values())
            )
        )

    async def _run(self) -> None:
        while True:
            for relay in self.cluster.relays.values():
                await self._look(relay)
            await asyncio.sleep(LOOK_EVERY)

    async def _look(self, relay: Relay) -> None:
        asked = clock.now()
        try:
            async with asyncio.timeout(1):
                first, *rest = await relay.ask("FLEET OWNERS")
        except (OSError, TimeoutError, AssertionError):
            return  # it is stopped, ended, or not ready
        heard = clock.now()
        state: SessionLine = msgspec.json.decode(first, type=SessionLine)
        lines: list[OwnedLine] = [msgspec.json.decode(line, type=OwnedLine) for line in rest]
        owned = {line.partition: line for line in lines}
        self.latest[relay.name] = Look(heard, state, owned)
        for line in owned.values():
            sample = Sample(asked, heard, relay.name, state.session, line.epoch, line.until)
            self._compare(line.partition, sample)
        async with self._news:
            self._news.notify_all()

    def _compare(self, partition: int, sample: Sample) -> None:
        self.samples += 1
        before = self.highest.get(partition)
        if before is None:
            self.highest[partition] = sample
            return
        if before.session == sample.session:
            if sample.epoch >= before.epoch:
                self.highest[partition] = sample
            elif before.heard < sample.asked:
                self.faults.append(f"partition {partition}: an epoch fell: {before} then {sample}")
            return
        if before.heard < sample.asked and sample.epoch <= before.epoch:
            self.faults.append(f"partition {partition}: the epoch did not rise: {before} then {sample}")
        if before.session in self.frozen and sample.heard < before.until:
            self.faults.append(f"partition {partition}: two owners: {before} is not over, and {sample}")
        if sample.epoch > before.epoch:
            self.highest[partition] = sample
