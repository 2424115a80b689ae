"""Real controllers over loopback under a fleet of hollow relays: each one's leases alone, a holder and a socket, here.

Controllers run as `garnetrelay fleet controller`. They stand on a loopback address of their own and hear before the first
hollow relay takes its port: hundreds of ports that the kernel picks would take one of theirs sooner or later.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import sys
from collections.abc import Collection, Coroutine
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, Self

from benchmarks.peers import cpu_ns, memory_mb
from garnetrelay.config import controller as controller_options
from garnetrelay.config import leases as lease_options
from garnetrelay.config.controller import Controller as ControllerConfig
from garnetrelay.fleet import clock
from garnetrelay.fleet.controller.records_file import RecordsFile
from garnetrelay.fleet.lease_datagrams import DatagramEndpoint
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.messages import Answer, HolderEffect, LogLine, Message, SendToController, Session
from garnetrelay.fleet.leases.settings import Settings
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.partitions.assignment import Assignment

ROOT = Path(__file__).parents[1]
SECRET = b"a secret of the benchmarks"
LOOPBACK = "127.0.0.1"
HEARS = "hears at"  # what a controller logs once it has its address
READY = "ready: "  # and once it grants
ENDED_WITHIN = 10.0  # seconds after SIGTERM; SIGKILL comes then
ANSWERED_WITHIN = 5.0  # seconds for a controller to say its figures
TOLD_LINES = 5  # of a controller that failed
LEAST_DELAY = 0.001  # seconds until a timer


class FailedError(Exception):
    """A controller ended, or something did not come in time; says which, and the controllers' own last lines."""


class Terms(NamedTuple):
    """What a run is made of."""

    relays: int
    controllers: int
    partitions: int
    lease_ms: int
    patience: float  # seconds, for each thing that is waited for


class Owner(NamedTuple):
    """A relay that may act for a partition, and in which epoch."""

    relay: str
    epoch: int


class Traffic(NamedTuple):
    """Datagrams, and their bytes without headers."""

    datagrams: int
    size: int

    def since(self, before: Traffic) -> Traffic:
        """What came after an earlier count."""
        return Traffic(self.datagrams - before.datagrams, self.size - before.size)


class Usage(NamedTuple):
    """One controller's counts since its start; times in seconds."""

    processor: float
    traffic: Traffic  # both ways
    syncs: int
    sync_time: float
    longest_sync: float
    records: int  # written


class ControllerProcess:
    """One controller: its options, its process, and what it said on standard error."""

    def __init__(self, options: Path, config: ControllerConfig, patience: float) -> None:
        self.config = config
        self.lines: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self._options = options
        self._patience = patience
        self._reading: asyncio.Task[None] | None = None
        self._silent = False  # standard error has ended, and with it the process
        self._news = asyncio.Condition()

    async def start(self) -> None:
        """From an empty file of records, as ``--initialize`` writes it, until it hears."""
        config = self.config
        RecordsFile(config.folder, config.number, config.settings.partitions, config.settings.lease).initialize()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetrelay.cli",
            "fleet",
            "controller",
            str(self._options),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read(self.process))
        await self.logged(HEARS)

    async def logged(self, text: str) -> None:
        """Wait until it has said this; FailedError where it ends before, or takes too long."""
        try:
            async with asyncio.timeout(self._patience), self._news:
                await self._news.wait_for(lambda: self._silent or self._said(text))
        except TimeoutError:
            raise FailedError(f"did not say '{text}' within {self._patience:g} s: {self.last_words()}") from None
        if not self._said(text):
            raise FailedError(f"ended before it said '{text}': {self.last_words()}")

    def last_words(self) -> str:
        """Its number, whether it runs, and its last lines."""
        state = "ended" if self._silent else "runs"
        return f"controller {self.config.number} {state}; " + " / ".join(self.lines[-TOLD_LINES:])

    async def stop(self) -> None:
        """End it and wait for that."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.terminate()
        try:
            async with asyncio.timeout(ENDED_WITHIN):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self._reading is not None:
            await self._reading

    def processor(self) -> float:
        """Seconds of processor time since its start; FailedError where it has ended."""
        return cpu_ns(self._running().pid) / 1e9

    def memory(self) -> float:
        """Resident, MB."""
        return memory_mb(self._running().pid)

    async def usage(self) -> Usage:
        """Its processor time, and the figures that it tells staff."""
        processor = self.processor()
        found = await self._figures()
        return Usage(
            processor,
            Traffic(
                int(found["datagrams_in"] + found["datagrams_out"]),
                int(found["bytes_in"] + found["bytes_out"]),
            ),
            int(found["writes"]),
            found["write_seconds"],
            found["longest_write_seconds"],
            int(found["records_written"]),
        )

    def _running(self) -> asyncio.subprocess.Process:
        if self.process is None or self._silent or self.process.returncode is not None:
            raise FailedError(self.last_words())
        return self.process

    async def _figures(self) -> dict[str, float]:
        assert self.config.operators is not None
        host, port = self.config.operators.host, self.config.operators.port
        writer = None
        try:
            async with asyncio.timeout(ANSWERED_WITHIN):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"DUMP\n")
                lines = (await reader.read()).decode().splitlines()
        except (OSError, TimeoutError) as error:
            raise FailedError(f"no figures ({type(error).__name__}): {self.last_words()}") from None
        finally:
            if writer is not None:
                writer.transport.abort()
        pairs = (line.removeprefix("controller_").rpartition(" ") for line in lines[1:-1])
        return {name: float(value) for name, _, value in pairs}

    def _said(self, text: str) -> bool:
        return any(text in line for line in self.lines)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.lines.append(line.decode(errors="replace").rstrip())
            await self._tell()
        self._silent = True
        await self._tell()

    async def _tell(self) -> None:
        async with self._news:
            self._news.notify_all()


class HollowRelay:
    """A relay's leases alone: no members, no clients, no calls."""

    def __init__(self, name: str, places: tuple[SocketAddress, ...], settings: Settings, fleet: HollowFleet) -> None:
        self.name = name
        draw = random.Random(name)
        self.holder = Holder(Session(name, draw.getrandbits(62)), settings, draw)
        self._places = places
        self._fleet = fleet
        self._datagrams = DatagramEndpoint(Codec([SECRET]), self._hear)
        self._datagrams.start(SocketAddress(LOOPBACK, 0))
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._killed = False

    @property
    def traffic(self) -> Traffic:
        """Both ways, since its start."""
        found = self._datagrams
        return Traffic(found.sent + found.received, found.bytes_out + found.bytes_in)

    def wish(self, partitions: frozenset[int]) -> None:
        """It should own these from now on."""
        if self._killed:
            return
        self._carry_out(self.holder.set_assigned(clock.now(), partitions))

    def kill(self) -> None:
        """End without a word, as a crash does."""
        self._killed = True
        if self._timer is not None:
            self._timer.cancel()
        self._datagrams.close()

    def owned(self) -> dict[int, int]:
        """What it may act for now, and in which epochs."""
        return {partition: found.epoch for partition, found in self.holder.owned(clock.now()).items()}

    def _hear(self, message: Message, source: SocketAddress) -> None:
        if isinstance(message, Answer):
            self._carry_out(self.holder.receive(clock.now(), message))

    def _tick(self) -> None:
        self._carry_out(self.holder.tick(clock.now()))

    def _carry_out(self, effects: list[HolderEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToController(number, message):
                    self._datagrams.send(self._places[number], message)
                case LogLine():  # what it owns has changed, or is wished for
                    self._fleet.changed(self)
        if self._timer is not None:
            self._timer.cancel()
        if not self._killed:
            delay = (self.holder.next_at - clock.now()) / 1e9
            self._timer = self._loop.call_later(max(LEAST_DELAY, delay), self._tick)


class HollowFleet:
    """Hollow relays, whose wishes follow a view given from outside."""

    def __init__(self, terms: Terms, places: tuple[SocketAddress, ...], settings: Settings) -> None:
        self.terms = terms
        self._assignment = Assignment(terms.partitions)
        self._should: dict[str, frozenset[int]] = {}  # by the latest view, also before a relay has learned of it
        self._lacking: set[str] = set()  # relays that don't own all that they should
        self._whole = asyncio.Event()
        self._seen: dict[int, list[Owner]] = {}
        self.relays: dict[str, HollowRelay] = {}
        try:
            for number in range(terms.relays):
                name = f"relay-{number}"
                self.relays[name] = HollowRelay(name, places, settings, self)
        except BaseException:
            self.close()
            raise

    def changed(self, relay: HollowRelay) -> None:
        """What a relay owns, or should, has changed."""
        if relay.owned().keys() >= self._should.get(relay.name, frozenset()):
            self._lacking.discard(relay.name)
        else:
            self._lacking.add(relay.name)
        self._look()

    def view(self, spread: float) -> None:
        """All that are there learn of each other, within so many seconds."""
        should: dict[str, set[int]] = {name: set() for name in self.relays}
        for partition, name in enumerate(self._assignment.update(frozenset(self.relays))):
            should[name].add(partition)
        self._should = {name: frozenset(partitions) for name, partitions in should.items()}
        self._lacking = {name for name, relay in self.relays.items() if not relay.owned().keys() >= self._should[name]}
        self._look()
        draw = random.Random(self.terms.relays)
        loop = asyncio.get_running_loop()
        for name, relay in self.relays.items():
            loop.call_later(draw.uniform(0, spread), relay.wish, self._should[name])

    async def all_owned(self) -> dict[int, list[Owner]]:
        """The owners at the moment when each relay owns all that it should by the latest view; TimeoutError after the
        patience."""
        async with asyncio.timeout(self.terms.patience):
            await self._whole.wait()
        return self._seen

    def owners(self) -> dict[int, list[Owner]]:
        """All owners of each partition that has some: there must not be two."""
        found: dict[int, list[Owner]] = {}
        for name, relay in self.relays.items():
            for partition, epoch in relay.owned().items():
                found.setdefault(partition, []).append(Owner(name, epoch))
        return found

    def kill(self, names: Collection[str]) -> None:
        """End these without a word; nobody else knows yet."""
        for name in names:
            self.relays.pop(name).kill()
            self._lacking.discard(name)

    def traffic(self) -> Traffic:
        """Of all that are there, both ways."""
        found = [relay.traffic for relay in self.relays.values()]
        return Traffic(sum(each.datagrams for each in found), sum(each.size for each in found))

    def close(self) -> None:
        """End all of them."""
        self.kill(list(self.relays))

    def _look(self) -> None:
        self._whole.clear()
        if not self._lacking:
            self._seen = self.owners()
            if len(self._seen) == self.terms.partitions:  # none has run out that its relay has not yet told
                self._whole.set()


class Cluster:
    """Controllers as processes, and the hollow relays; all of them end with the block that it is used in."""

    def __init__(self, folder: Path, terms: Terms) -> None:
        self.terms = terms
        self.controllers = _controllers(folder, terms)
        self.fleet: HollowFleet | None = None

    async def __aenter__(self) -> Self:
        try:
            await _all_or_first_error([controller.start() for controller in self.controllers])
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._stop()

    async def ready(self) -> None:
        """Wait until all controllers grant: a lease after their start."""
        await _all_or_first_error([controller.logged(READY) for controller in self.controllers])

    def gather(self) -> HollowFleet:
        """The relays, which don't yet know of each other; their settings are what a real one has by default."""
        places = self.controllers[0].config.addresses
        told = {
            "controllers": [str(place) for place in places],
            "partitions": self.terms.partitions,
            "lease_ms": self.terms.lease_ms,
        }
        self.fleet = HollowFleet(self.terms, places, lease_options.check(told).settings)
        return self.fleet

    async def all_owned(self) -> dict[int, list[Owner]]:
        """The owners once all partitions are owned by those that should; FailedError with what the controllers said."""
        assert self.fleet is not None
        try:
            return await self.fleet.all_owned()
        except TimeoutError:
            words = "\n".join(controller.last_words() for controller in self.controllers)
            raise FailedError(
                f"{len(self.fleet.owners())} of {self.terms.partitions} owned after {self.terms.patience:g} s\n{words}"
            ) from None

    async def usage(self) -> list[Usage]:
        """Of each controller."""
        return [await controller.usage() for controller in self.controllers]

    async def _stop(self) -> None:
        if self.fleet is not None:
            self.fleet.close()
        await asyncio.gather(*(controller.stop() for controller in self.controllers))


async def _all_or_first_error(waits: list[Coroutine[object, object, None]]) -> None:
    """All of these, to their ends; then the first error."""
    for error in await asyncio.gather(*waits, return_exceptions=True):
        if error is not None:
            raise error


def _controllers(folder: Path, terms: Terms) -> list[ControllerProcess]:
    """Their options, written and read back; each has a folder of its own."""
    host = f"127.{random.randint(16, 250)}.{random.randint(0, 255)}.{random.randint(1, 254)}"
    places = _free(host, terms.controllers, socket.SOCK_DGRAM)
    staff = _free(host, terms.controllers, socket.SOCK_STREAM)
    (folder / "secret").write_bytes(SECRET)
    found = []
    for number, (place, operators) in enumerate(zip(places, staff, strict=True)):
        options = folder / f"controller-{number}.toml"
        options.write_text(
            f'number = {number}\nlisten = "{place}"\noperators = "{operators}"\n'
            f"controllers = {json.dumps([str(each) for each in places])}\n"
            f'folder = "controller-{number}"\nsecret_file = "secret"\n'
            f"partitions = {terms.partitions}\nlease_ms = {terms.lease_ms}\n"
        )
        found.append(ControllerProcess(options, controller_options.read(options), terms.patience))
    return found


def _free(host: str, count: int, kind: socket.SocketKind) -> list[SocketAddress]:
    """Ports that the kernel picks, all different."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [SocketAddress(*each.getsockname()) for each in sockets]
    finally:
        for each in sockets:
            each.close()
