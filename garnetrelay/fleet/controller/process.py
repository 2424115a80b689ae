"""The process of one controller: carries out what ``leases/controller.py`` decides.

It provides the socket, the file of records and the clock, and ends on a signal or on an error that it can't recover from.
"""

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
from garnetrelay.fleet.lease_datagrams import DatagramEndpoint
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

MAX_SOURCE_ADDRESSES = 4096  # kept for answers: far more than the relays that send requests during one write


class ControllerProcess:
    """The process of a controller, from start to end."""

    def __init__(self, config: ControllerConfig) -> None:
        self.config = config
        self.records = RecordsFile(config.folder, config.number, config.settings.partitions, config.settings.lease)
        self.datagrams = DatagramEndpoint(Codec(config.secrets()), self._on_message)
        self.metrics = ControllerMetrics()
        self.controller: Controller | None = None
        self._loop = asyncio.get_running_loop()
        self._finished = asyncio.Event()
        self._fatal_error: Exception | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._source_addresses: dict[Session, SocketAddress] = {}  # by age of the latest request, the newest last
        self._pending_writes: list[WriteRecords] = []  # that wait for the write in progress
        self._write_task: asyncio.Task[None] | None = None
        self._thread = ThreadPoolExecutor(1, "records")
        self._operator_listener: OperatorListener | None = None

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT; raises RecordsError or OSError if the controller can't start or continue."""
        stored_records = self.records.open()
        try:
            await self._start(stored_records)
            await self._finished.wait()
        finally:
            await self._end()
        if self._fatal_error is not None:
            raise self._fatal_error

    async def _start(self, stored_records: list[Record] | None) -> None:
        config = self.config
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._finished.set)
        self._loop.add_signal_handler(signal.SIGHUP, self.read_secrets)
        address = self.datagrams.start(config.listen)
        if config.operators is not None:
            self._operator_listener = OperatorListener(OperatorCommands(self))
            await self._operator_listener.start(config.operators)
        if self.records.truncated_bytes:
            log.warning("controller: a torn write of %d bytes was cut", self.records.truncated_bytes)
        self.controller = Controller(
            config.number,
            secrets.randbits(62),
            config.settings,
            stored_records or [],
            clock.now(),
            stored_records is None,
            self.records.previous_lease,
        )
        log.info("controller %d of %d hears at %s", config.number, len(config.addresses), address)
        self._tick()

    async def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.datagrams.close()
        if self._operator_listener is not None:
            self._operator_listener.close()
        if self._write_task is not None:
            await asyncio.wait([self._write_task])  # the write in progress must end before the folder is released
        self._thread.shutdown()
        self.records.close()
        log.info("controller %d ended", self.config.number)

    def read_secrets(self) -> None:
        """Handles SIGHUP: reads the secrets again; keeps the old ones if the file can't be used."""
        try:
            self.datagrams.codec = Codec(self.config.secrets())
        except ValueError as error:
            log.error("controller: can't read the secrets again, keeping the old ones: %s", error)
        else:
            log.info("controller: %d secrets read", len(self.datagrams.codec.good))

    # ---- events

    def _on_message(self, message: Message, source: SocketAddress) -> None:
        if self.controller is None:
            return
        if isinstance(message, Answer):  # from another controller, to a relay that used this address earlier
            self.datagrams.refused["misdirected"] += 1
            return
        self.metrics.count_message(message)
        if isinstance(message, Acquire | Renew | Release):
            self._remember_source(message.session, source)
        self._carry_out(self.controller.receive(clock.now(), message, str(source)))

    def _remember_source(self, session: Session, source: SocketAddress) -> None:
        self._source_addresses.pop(session, None)
        self._source_addresses[session] = source
        if len(self._source_addresses) > MAX_SOURCE_ADDRESSES:
            del self._source_addresses[next(iter(self._source_addresses))]

    def _tick(self) -> None:
        if self.controller is not None:
            self._carry_out(self.controller.tick(clock.now()))

    def _carry_out(self, effects: list[ControllerEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToController(number, message):
                    self.datagrams.send(self.config.addresses[number], message)
                case SendToRelay(session, answer):
                    self.metrics.count_answer(answer)
                    if (address := self._source_addresses.get(session)) is not None:
                        self.datagrams.send(address, answer)
                case WriteRecords():
                    self._pending_writes.append(effect)
                case LogLine(text, level):
                    log.log(level, "controller: %s", text)
        self._start_write()
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self.controller is None or self._finished.is_set():
            return
        due_at = self.controller.next_at
        if due_at is not None:
            self._timer = self._loop.call_later(max(0, due_at - clock.now()) / 1e9, self._tick)

    # ---- writing records

    def _start_write(self) -> None:
        """Starts a write of all records that wait, unless a write is in progress."""
        if self._pending_writes and self._write_task is None and not self._finished.is_set():
            writes, self._pending_writes = self._pending_writes, []
            self._write_task = self._loop.create_task(self._write(writes))

    async def _write(self, writes: list[WriteRecords]) -> None:
        records = [record for write in writes for record in write.records]
        started_at = clock.now()
        failure: OSError | None = None
        try:
            await self._loop.run_in_executor(self._thread, self.records.append, records)
        except OSError as error:
            failure = error
        except Exception as error:  # RecordsStateUnknownError or a bug: either way the state of the file is unknown
            self._fatal_error = error
            self._finished.set()
            return
        self.metrics.count_write(len(records), clock.now() - started_at, failure is None)
        self._write_task = None
        for write in writes:
            self._report_write(write.ticket, failure)

    def _report_write(self, ticket: int, failure: OSError | None) -> None:
        if self.controller is None:
            return
        if failure is None:
            self._carry_out(self.controller.written(clock.now(), ticket))
        else:
            self._carry_out(self.controller.not_written(clock.now(), ticket, failure.strerror or str(failure)))


class OperatorCommands:
    """Carries out operator commands for a controller, with the interface that a relay offers."""

    def __init__(self, process: ControllerProcess) -> None:
        self._process = process

    def health(self) -> None:
        """Raises CallRefusedError unless the controller grants partitions."""
        controller = self._process.controller
        if controller is None or not controller.ready:
            raise CommandRefusedError("it does not grant yet")

    def metrics(self) -> str:
        """Returns the controller's metrics, one line each."""
        return metrics_text(
            self._process.metrics, self._process.controller, self._process.datagrams, self._process.records
        )

    def fleet(self, words: list[str]) -> str:
        """Always refused: a controller has no view of the members."""
        raise CommandRefusedError("this is a controller: ask a relay")

    def exclude(self, host: str, out: bool) -> None:
        """Always refused: a controller calls no hosts."""
        raise CommandRefusedError("this is a controller: it calls no hosts")
