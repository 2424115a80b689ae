"""Controllers and relays as processes with simulated links, and an observer that asks every relay what it owns."""

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
from tests.fleet.processes import SECRET, TIMEOUT_S, Fleet, Process, Relay

PARTITIONS = 64
LEASE_MS = 2000
POLL_INTERVAL_S = 0.1  # of the observer; its findings do not depend on it


class Controller(Process):
    """A controller process."""

    def __init__(self, fleet: Cluster, name: str, number: int) -> None:
        super().__init__(fleet, name)
        self.number = number

    async def start(self) -> None:
        self._write_options()
        await self.run("-m", "garnetrelay.cli", "fleet", "controller", str(self.folder / "options.toml"))

    def initialize(self) -> None:
        """Does what ``--initialize`` does, without the time that a process would take."""
        RecordsFile(self.folder / "state", self.number, PARTITIONS, LEASE_MS * MS).initialize()

    def lose_folder(self) -> None:
        shutil.rmtree(self.folder / "state")

    def _write_options(self) -> None:
        network = self.fleet.network
        (self.folder / "secret").write_text(SECRET)
        (self.folder / "options.toml").write_text(
            f'number = {self.number}\nlisten = "{network.inner(self.name)}"\n{shared_options(self.fleet)}'
            'folder = "state"\nsecret_file = "secret"\n'
        )


def shared_options(fleet: Fleet) -> str:
    """Returns the options on which relays and controllers must agree."""
    assert isinstance(fleet, Cluster)
    addresses = [fleet.network.outer(name) for name in fleet.controllers]
    return f"controllers = {json.dumps(addresses)}\npartitions = {PARTITIONS}\nlease_ms = {LEASE_MS}\n"


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
                await process.wait_for_exit()
        await super().__aexit__()

    async def __aenter__(self) -> Cluster:
        await super().__aenter__()
        return self

    async def start_all(self) -> None:
        """Initializes and starts the controllers, then the relays, and waits until all partitions are owned."""
        for controller in self.controllers.values():
            controller.initialize()
        await asyncio.gather(*(controller.start() for controller in self.controllers.values()))
        for relay in self.relays.values():
            relay.options += f"[fleet.leases]\n{shared_options(self)}"
        await asyncio.gather(*(relay.start() for relay in self.relays.values()))
        await self.until(lambda: all(relay.logged("serves on") for relay in self.relays.values()))
        self.observer.start()
        await self.observer.all_owned()

    async def controllers_seen_by(self, relay: Relay) -> list[ControllerLine]:
        return [msgspec.json.decode(line, type=ControllerLine) for line in await relay.ask("FLEET CONTROLLERS")]


@dataclass(slots=True)
class Sample:
    """A relay's report that it owns a partition. It owned it at some time from ``asked_at`` to ``received_at`` (ns)."""

    asked_at: int
    received_at: int
    relay: str
    session: int
    epoch: int
    until: int


@dataclass(slots=True)
class Report:
    """A relay's latest report."""

    received_at: int
    state: SessionLine
    owned: dict[int, OwnedLine]


@dataclass(slots=True)
class Observer:
    """Polls all relays and compares their reports, using the clock that all processes share."""

    cluster: Cluster
    highest: dict[int, Sample] = field(default_factory=dict)  # by partition: the sample with the highest epoch
    frozen: dict[int, int] = field(default_factory=dict)  # sessions that can't have released anything, and since when
    latest: dict[str, Report] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    samples: int = 0
    _task: asyncio.Task[None] | None = None
    _reported: asyncio.Condition = field(default_factory=asyncio.Condition)

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
            if not self._task.cancelled() and (error := self._task.exception()) is not None:
                raise error

    def freeze(self, relay: Relay) -> None:
        """Notes that a relay is stopped or killed from now on: it releases nothing, so its leases must expire."""
        report = self.latest.get(relay.name)
        if report is not None:
            self.frozen[report.state.session] = clock.now()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition on the latest reports is true; fails on a violation."""
        async with asyncio.timeout(TIMEOUT_S), self._reported:
            await self._reported.wait_for(lambda: self.violations or condition())
        assert not self.violations, self.violations

    async def all_owned(self, *relays: str, since: int = 0) -> None:
        """Waits until reports since then show all partitions as owned, by the given relays if there are any."""
        names = relays or tuple(self.cluster.relays)

        def condition() -> bool:
            reports = [self.latest.get(name) for name in names]
            if any(report is None or report.received_at < since for report in reports):
                return False
            return {partition for report in reports if report is not None for partition in report.owned} == set(
                range(PARTITIONS)
            )

        await self.wait_for(condition)

    async def cut_off(self, relay: Relay, since: int) -> None:
        """Waits until a report since then shows that a relay reaches no controller and owns nothing."""

        def condition() -> bool:
            report = self.latest.get(relay.name)
            return report is not None and report.received_at > since and not report.owned and not report.state.reached

        await self.wait_for(condition)

    async def none_owned(self) -> None:
        """Waits until no relay owns anything."""
        now = clock.now()
        await self.wait_for(
            lambda: (
                {name for name, report in self.latest.items() if report.received_at > now} >= self.cluster.relays.keys()
                and not any(report.owned for report in self.latest.values())
            )
        )

    async def _run(self) -> None:
        while True:
            for relay in self.cluster.relays.values():
                await self._poll(relay)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, relay: Relay) -> None:
        asked_at = clock.now()
        try:
            async with asyncio.timeout(1):
                first, *rest = await relay.ask("FLEET OWNERS")
        except (OSError, TimeoutError, AssertionError):
            return  # the relay is stopped, has ended, or is not ready
        received_at = clock.now()
        state: SessionLine = msgspec.json.decode(first, type=SessionLine)
        lines: list[OwnedLine] = [msgspec.json.decode(line, type=OwnedLine) for line in rest]
        owned = {line.partition: line for line in lines}
        self.latest[relay.name] = Report(received_at, state, owned)
        for line in owned.values():
            sample = Sample(asked_at, received_at, relay.name, state.session, line.epoch, line.until)
            self._compare(line.partition, sample)
        async with self._reported:
            self._reported.notify_all()

    def _compare(self, partition: int, sample: Sample) -> None:
        self.samples += 1
        previous = self.highest.get(partition)
        if previous is None:
            self.highest[partition] = sample
            return
        if previous.session == sample.session:
            if sample.epoch >= previous.epoch:
                self.highest[partition] = sample
            elif previous.received_at < sample.asked_at:
                self.violations.append(f"partition {partition}: the epoch decreased: {previous} then {sample}")
            return
        if previous.received_at < sample.asked_at and sample.epoch <= previous.epoch:
            self.violations.append(f"partition {partition}: the epoch did not increase: {previous} then {sample}")
        if previous.session in self.frozen and sample.received_at < previous.until:
            self.violations.append(f"partition {partition}: two owners: {previous} has not expired, and {sample}")
        if sample.epoch > previous.epoch:
            self.highest[partition] = sample
