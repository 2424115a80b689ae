"""One controller as a process: carries out what ``controller.py`` decides. Its socket, its file, its clock, its end."""

from __future__ import annotations

import asyncio
import logging
import secrets
import signal
from concurrent.futures import ThreadPoolExecutor

from garnetrelay.config.controller import Controller as ControllerConfig
from garnetrelay.fleet import clock
from garnetrelay.fleet.controller.metrics import ControllerMetrics, metrics_text
from garnetrelay.fleet.controller.records_file import RecordsFile
from garnetrelay.fleet.lease_datagrams import Datagrams
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.messages import (
    Acquire,
    Answer,
    ControllerEffect,
    LogLine,
    Message,
    Record,
    Release,
    Renew,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.operators.commands import CommandRefusedError
from garnetrelay.operators.listener import OperatorListener

log = logging.getLogger(__name__)

MAX_SESSIONS = 4096  # addresses kept for answers: far more than relays ask within the time of one write


class ControllerProcess:
    """A controller, from its start to its end."""

    def __init__(self, config: ControllerConfig) -> None:
        self.config = config
        self.records = RecordsFile(config.folder, config.number, config.settings.partitions, config.settings.lease)
        self.datagrams = Datagrams(Codec(config.secrets()), self._heard)
        self.metrics = ControllerMetrics()
        self.controller: Controller | None = None
        self._loop = asyncio.get_running_loop()
        self._finished = asyncio.Event()
        self._broken: Exception | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._sources: dict[Session, SocketAddress] = {}  # the latest last
        self._writes: list[WriteRecords] = []  # that wait for the one that runs
        self._writing: asyncio.Task[None] | None = None
        self._thread = ThreadPoolExecutor(1, "records")
        self._front: OperatorListener | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT. RecordsError or OSError where it can't start or go on."""
        found = self.records.open()
        try:
            await self._start(found)
            await self._finished.wait()
        finally:
            await self._end()
        if self._broken is not None:
            raise self._broken

    async def _start(self, found: list[Record] | None) -> None:
        config = self.config
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._finished.set)
        self._loop.add_signal_handler(signal.SIGHUP, self.read_secrets)
        place = self.datagrams.start(config.listen)
        if config.operators is not None:
            self._front = OperatorListener(OperatorCommands(self))
            await self._front.start(config.operators)
        if self.records.truncated_bytes:
            log.warning("controller: a torn write of %d bytes was cut", self.records.truncated_bytes)
        self.controller = Controller(
            config.number,
            secrets.randbits(62),
            config.settings,
            found or [],
            clock.now(),
            found is None,
            self.records.previous_lease,
        )
        log.info("controller %d of %d hears at %s", config.number, len(config.addresses), place)
        self._tick()

    async def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.datagrams.close()
        if self._front is not None:
            self._front.close()
        if self._writing is not None:
            await asyncio.wait([self._writing])  # what runs ends first: the folder is let go of behind it
        self._thread.shutdown()
        self.records.close()
        log.info("controller %d ended", self.config.number)

    def read_secrets(self) -> None:
        """SIGHUP: the secrets as their file has them now; one that can't be used changes nothing."""
        try:
            self.datagrams.codec = Codec(self.config.secrets())
        except ValueError as error:
            log.error("controller: the old secrets stay: %s", error)
        else:
            log.info("controller: %d secrets read", len(self.datagrams.codec.good))

    # ---- what happens

    def _heard(self, message: Message, source: SocketAddress) -> None:
        if self.controller is None:
            return
        if isinstance(message, Answer):  # from another controller, to a relay that had this address before
            self.datagrams.refused["misdirected"] += 1
            return
        self.metrics.heard(message)
        if isinstance(message, Acquire | Renew | Release):
            self._remember(message.session, source)
        self._carry_out(self.controller.receive(clock.now(), message, str(source)))

    def _remember(self, session: Session, source: SocketAddress) -> None:
        self._sources.pop(session, None)
        self._sources[session] = source
        if len(self._sources) > MAX_SESSIONS:
            del self._sources[next(iter(self._sources))]

    def _tick(self) -> None:
        if self.controller is not None:
            self._carry_out(self.controller.tick(clock.now()))

    def _carry_out(self, effects: list[ControllerEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToController(number, message):
                    self.datagrams.send(self.config.addresses[number], message)
                case SendToRelay(session, answer):
                    self.metrics.answered(answer)
                    if (place := self._sources.get(session)) is not None:
                        self.datagrams.send(place, answer)
                case WriteRecords():
                    self._writes.append(effect)
                case LogLine(text, level):
                    log.log(level, "controller: %s", text)
        self._begin_write()
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self.controller is None or self._finished.is_set():
            return
        due = self.controller.next_at
        if due is not None:
            self._timer = self._loop.call_later(max(0, due - clock.now()) / 1e9, self._tick)

    # ---- its records

    def _begin_write(self) -> None:
        """One write runs at a time; all that has come to wait meanwhile is the next one's."""
        if self._writes and self._writing is None and not self._finished.is_set():
            writes, self._writes = self._writes, []
            self._writing = self._loop.create_task(self._write(writes))

    async def _write(self, writes: list[WriteRecords]) -> None:
        records = [record for write in writes for record in write.records]
        began = clock.now()
        failure: OSError | None = None
        try:
            await self._loop.run_in_executor(self._thread, self.records.append, records)
        except OSError as error:
            failure = error
        except (
            Exception
        ) as broken:  # RecordsStateUnknownError, or a fault of ours: either way nothing is sure of the file
            self._broken = broken
            self._finished.set()
            return
        self.metrics.wrote(len(records), clock.now() - began, failure is None)
        self._writing = None
        for write in writes:
            self._tell(write.ticket, failure)

    def _tell(self, ticket: int, failure: OSError | None) -> None:
        if self.controller is None:
            return
        if failure is None:
            self._carry_out(self.controller.written(clock.now(), ticket))
        else:
            self._carry_out(self.controller.not_written(clock.now(), ticket, failure.strerror or str(failure)))


class OperatorCommands:
    """The operator commands that a controller answers, with the interface that relays use."""

    def __init__(self, process: ControllerProcess) -> None:
        self._process = process

    def health(self) -> None:
        """Returns where it grants."""
        controller = self._process.controller
        if controller is None or not controller.ready:
            raise CommandRefusedError("it does not grant yet")

    def metrics(self) -> str:
        """Its figures, a line each."""
        return metrics_text(
            self._process.metrics, self._process.controller, self._process.datagrams, self._process.records
        )

    def fleet(self, words: list[str]) -> str:
        """Nothing: it has no view of the members."""
        raise CommandRefusedError("this is a controller: ask a relay")

    def exclude(self, host: str, out: bool) -> None:
        """Nothing: it calls no hosts."""
        raise CommandRefusedError("this is a controller: it calls no hosts")
