"""Calls and probes to hosts over HTTP/1.1, and the connections that carry them.

A connection carries one call at a time and is reused only while it is known to be good. If a connection breaks after
a request was written in full, the outcome is a reset; before that, the call never ran. A malformed answer is reported
as such whatever its status, except for a status line with 200. This module never resends a request.

Calls that begin in one batch are gathered: one write records all their attempts, and only then is the first byte of
any of them sent.
"""

from __future__ import annotations

import asyncio
import dataclasses
import errno
import functools
import logging
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import cast

from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.answers import AnswerReader, Outcome
from garnetrelay.socket_poll import after_socket_poll
from starlingwick import interface as io

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
IDLE_SHARE = 0.8  # of the host's own idle limit: a call written just as the host closes would end as a reset
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # connect errors not caused by the host
ANSWER_REST_TIMEOUT_S = 0.5  # for the remainder of an answer once it has begun

Prepare = Callable[[Address], bytes | None]


def always_true() -> bool:
    return True


class Exchange:
    """One call or probe. ``prepare`` builds the request once a connection is ready, or returns None to abandon the
    exchange. ``final_check`` runs just before the first byte, since recording the attempt may take time in between."""

    __slots__ = (
        "host",
        "stop_at",
        "prepare",
        "final_check",
        "_on_outcome",
        "ended",
        "connection",
        "opening",
        "timer",
        "ref",
        "before_first_byte",
    )

    def __init__(
        self,
        host: str,
        stop_at: int,
        prepare: Prepare,
        on_outcome: Callable[[Outcome], None],
        final_check: Callable[[], bool] = always_true,
        ref: str | None = None,
    ) -> None:
        self.ref = ref  # of the message that is sent; None: a probe
        self.final_check = final_check
        self.before_first_byte: Callable[[], None] | None = None  # called just before the first byte is written
        self.host = host
        self.stop_at = stop_at
        self.prepare = prepare
        self._on_outcome = on_outcome
        self.ended = False
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Outcome) -> None:
        """Report the outcome; only the first call has an effect."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self._on_outcome(outcome)

    def abandon(self) -> None:
        """Cancel an exchange whose connection is not established: it never ran, and says nothing about the host."""
        if self.opening is not None:
            self.opening.cancel()
        self.end(Outcome(io.Status.ABANDONED))

    def start_timer(self) -> None:
        """End the exchange at ``stop_at``. An answer that the kernel has received by then is read first."""
        self.timer = asyncio.get_running_loop().call_at(self.stop_at / SECOND, after_socket_poll, self._on_deadline)

    def _on_deadline(self) -> None:
        """Does nothing if a handover has cancelled the timer since it fired: another process has the exchange."""
        if self.timer is not None and not self.timer.cancelled():
            self.give_up(io.Status.TIMEOUT)

    def give_up(self, status: io.Status) -> None:
        """End the exchange with a status and close its connection. A request not written in full never ran."""
        if self.ended:
            return
        connection = self.connection
        if connection is None:
            if self.opening is not None:
                self.opening.cancel()
            self.end(Outcome(io.Status.CONNECT_FAILED))
            return
        # Once written in full the call may have run, even if a partial answer says that it did not.
        outcome = Outcome(status if connection.written_in_full() else io.Status.CONNECT_FAILED)
        connection.abort()
        if outcome.status is io.Status.TIMEOUT:
            # Connections to a machine that vanished stay open without traffic and are reset once it is back:
            # an unsafe message written to one of them would end as dead.
            connection.pool.close_idle(self.host)
        self.end(outcome)


class Connection(asyncio.Protocol):
    """One connection to a host: carries an exchange, is idle, or is closed."""

    __slots__ = ("pool", "host", "address", "reader", "exchange", "at_eof", "idle_since", "transport", "timer", "used")

    def __init__(self, pool: Hosts, host: str, address: Address) -> None:
        self.pool = pool
        self.host = host
        self.address = address
        self.reader = AnswerReader()
        self.exchange: Exchange | None = None
        self.used = False  # at least one call on it has been answered
        self.at_eof = False  # the host sends nothing more
        self.idle_since = 0.0
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pool.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.untrack(self)
        self._stop_timer()
        if self.exchange is not None:
            self.at_eof = True
            self._finish(self._partial_outcome(), keep=False)
        self.reader.close()

    def eof_received(self) -> bool:
        # An answer without a length ends with the connection.
        self.at_eof = True
        if self.exchange is not None:
            self.reader.end()
            self._process_answer()
            if self.exchange is not None:
                self._finish(self._partial_outcome(), keep=False)
        return False

    @property
    def usable(self) -> bool:
        """Whether the connection is idle and the kernel has received nothing on it, in particular no EOF. The socket
        itself is polled, since the event loop may not have delivered an EOF yet; a call written after it would end as a
        reset."""
        if self.transport is None or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    @property
    def can_hand_over(self) -> bool:
        """Whether another process can take over: the request is written in full, and no byte of an answer was read."""
        return (
            self.written_in_full()
            and not self.at_eof
            and not self.reader.received
            and self.transport is not None
            and not self.transport.is_closing()
        )

    @property
    def descriptor(self) -> int:
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def close_after_handover(self) -> None:
        """Close this process's copy of a connection that another process has taken over, without reporting an outcome."""
        exchange = self.exchange
        self.abort()
        if exchange is not None and exchange.timer is not None:
            exchange.timer.cancel()

    def written_in_full(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() == 0

    def start(self, exchange: Exchange, request: bytes) -> None:
        """Write the request."""
        self._stop_timer()
        self.exchange, exchange.connection = exchange, self
        self.reader.begin()
        assert self.transport is not None
        self.transport.write(request)
        if exchange.ref is not None:  # counted now: hosts read at full speed, so any remainder is written a moment later
            self.pool.calls_written += 1

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.abort()  # no request is open: these bytes could be taken for the next answer
            return
        self.reader.feed(data)
        self._process_answer()

    def _process_answer(self) -> None:
        """Act on what has been parsed of the answer so far."""
        reader = self.reader
        if reader.complete:
            self._finish(self._classified(reader.outcome or self._partial_outcome()), reader.keep and not self.at_eof)
            return
        if reader.delivered and self.exchange is not None:
            # The status line is enough. The connection stays busy until the rest of the answer has been read.
            self.exchange.end(reader.outcome or Outcome(io.Status.OK, finished=True))
        if reader.broken:
            self._finish(self._partial_outcome(), keep=False)
        elif not reader.in_progress:
            self._stop_timer()
        elif self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(ANSWER_REST_TIMEOUT_S, self._on_answer_overdue)

    def _classified(self, outcome: Outcome) -> Outcome:
        """Recognises a host with too many connections, which refuses a new connection before it checks limits. Only the
        first answer on a connection can mean that."""
        first, self.used = not self.used, True
        if first and outcome.status is io.Status.FULL and not outcome.wait and outcome.report is None:
            return dataclasses.replace(outcome, status=io.Status.CROWDED)
        return outcome

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _partial_outcome(self) -> Outcome:
        """The outcome of an answer that is not read to its end. Only a 200 counts, and whether bytes came."""
        if self.reader.delivered:
            return self.reader.outcome or Outcome(io.Status.OK, finished=True)
        # If no byte was received, or EOF cut the answer short, it is the connection that failed.
        return Outcome(io.Status.RESET if self.at_eof or not self.reader.received else io.Status.SPOILT)

    def _on_answer_overdue(self) -> None:
        self._finish(self._partial_outcome(), keep=False)

    def _finish(self, outcome: Outcome, keep: bool) -> None:
        exchange, self.exchange = self.exchange, None
        self._stop_timer()
        if keep:
            self.pool.keep_or_close(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.end(outcome)

    def abort(self) -> None:
        """Close at once; the host sees this as an abandoned call."""
        self.pool.untrack(self)
        self._stop_timer()
        self.exchange = None
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()


class Hosts:
    """The connections to all hosts, and the exchanges on them. ``when_recorded`` calls back once the journal's
    records are written, with whether that succeeded: at once, or later if ``delayed``."""

    def __init__(
        self,
        settings: io.Settings,
        remaining_capacity: Callable[[], int],
        free_descriptor: Callable[[], bool],
        when_recorded: Callable[[Callable[[bool], None]], None],
        delayed: bool = False,
    ) -> None:
        self.connect_time = settings.limits.connect_timeout / SECOND or 1.0
        self.idle_time = IDLE_SHARE * settings.limits.conn_idle / SECOND
        self.remaining_capacity = remaining_capacity  # how many more connections may be opened
        self.free_descriptor = free_descriptor  # closes an idle client connection; False: there is none to close
        self.when_recorded = when_recorded
        self.delayed = delayed
        self.addresses: dict[str, Address] = {}
        self.open: set[Connection] = set()
        self.idle: dict[str, deque[Connection]] = {}
        self.idle_by_age: dict[Connection, None] = {}  # all idle connections, the longest idle first
        self.opening: set[asyncio.Task[None]] = set()
        self.calls_written = 0  # since the start of the process
        self._gathered: list[PreparedCall] | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def count(self) -> int:
        """Connections that are open or being opened."""
        return len(self.open) + len(self.opening)

    def set_address(self, host: str, address: Address, draining: bool) -> None:
        """Set a host's address. Idle connections to another address of it, or to a draining host, are closed."""
        if draining or self.addresses.get(host, address) != address:
            log.debug("idle connections to %s close: %s", host, "it is draining" if draining else "its address changed")
            self.close_idle(host)
        self.addresses[host] = address

    def remove(self, host: str) -> None:
        self.addresses.pop(host, None)
        self.close_idle(host)

    def gather(self) -> None:
        """Collect the calls that begin from now on instead of starting them."""
        self._gathered = []

    def gathered(self) -> list[PreparedCall]:
        """Stop collecting and return the calls collected since ``gather``, to be passed to ``release``."""
        gathered, self._gathered = self._gathered or [], None
        return gathered

    def release(self, gathered: list[PreparedCall], recorded: bool) -> None:
        """Start gathered calls if their attempts are recorded, else abandon all of them."""
        for connection, exchange, request in gathered:
            self._start(connection, exchange, request, recorded)

    def begin(self, exchange: Exchange) -> None:
        """Start a call or a probe, on an idle connection if there is a usable one."""
        loop = asyncio.get_running_loop()
        exchange.start_timer()
        idle = self.idle.get(exchange.host)
        while idle:
            connection = idle.pop()  # the most recently used, so that the others reach the idle limit
            self.idle_by_age.pop(connection, None)
            if connection.usable:
                self._prepare_and_start(connection, exchange)
                return
            connection.abort()
        address = self.addresses.get(exchange.host)
        if address is None:
            loop.call_soon(exchange.end, Outcome(io.Status.ABANDONED))
            return
        # Closing an idle client's connection costs nothing; an idle connection to a host saves a call its handshake.
        if self.remaining_capacity() <= 0 and not self.free_descriptor() and not self.close_longest_idle():
            loop.call_soon(exchange.end, Outcome(io.Status.ABANDONED))
            return
        exchange.opening = task = loop.create_task(self._connect(exchange, address))
        self.opening.add(task)
        task.add_done_callback(self._on_connect_done)

    def connections_to_hand_over(self) -> list[Connection]:
        """The idle connections that are usable."""
        return [connection for connection in self.idle_by_age if connection.usable]

    async def adopt(
        self, sock: socket.socket, host: str, address: Address, used: bool, exchange: Exchange | None
    ) -> None:
        """Take over a connection from another process, idle or with a call in flight."""
        loop = asyncio.get_running_loop()
        connection = Connection(self, host, address)
        connection.used, connection.exchange = used, exchange
        if exchange is not None:
            exchange.connection = connection
            exchange.start_timer()
        await loop.create_connection(lambda: connection, sock=sock)
        if exchange is None:
            self.keep_or_close(connection)

    async def _connect(self, exchange: Exchange, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_time):
                _, connection = await loop.create_connection(
                    lambda: Connection(self, exchange.host, address), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            # If this process lacks descriptors or memory, the call never ran, and that says nothing about the host.
            local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            exchange.end(Outcome(io.Status.ABANDONED if local else io.Status.CONNECT_FAILED))
            return
        if exchange.ended:
            self.keep_or_close(connection)
        else:
            self._prepare_and_start(connection, exchange)

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        self.opening.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("opening a connection failed", exc_info=error)

    def _prepare_and_start(self, connection: Connection, exchange: Exchange) -> None:
        # The host's address may have changed during the connect: who listens at the old one now is unknown.
        moved = self.addresses.get(exchange.host) != connection.address
        request = None if moved else exchange.prepare(connection.address)
        if request is None:
            self.keep_or_close(connection)
            exchange.end(Outcome(io.Status.ABANDONED))
        elif self._gathered is not None:
            self._gathered.append((connection, exchange, request))
        else:
            self.when_recorded(functools.partial(self._start, connection, exchange, request))

    def _start(self, connection: Connection, exchange: Exchange, request: bytes, recorded: bool) -> None:
        if recorded and not exchange.ended and self._may_start(connection, exchange):
            if exchange.before_first_byte is not None:
                exchange.before_first_byte()
            connection.start(exchange, request)
        else:
            self.keep_or_close(connection)
            exchange.end(Outcome(io.Status.ABANDONED))

    def _may_start(self, connection: Connection, exchange: Exchange) -> bool:
        """Final check of what may have changed while the attempt was recorded, since a write may take long."""
        return exchange.final_check() and (not self.delayed or connection.usable)

    def keep_or_close(self, connection: Connection) -> None:
        """Keep a connection for the next call if it can be reused, else close it."""
        if (
            connection.transport is None
            or connection.transport.is_closing()
            or self.addresses.get(connection.host) != connection.address
            or self.idle_time <= 0
        ):
            connection.abort()
            return
        connection.idle_since = time.monotonic()
        self.idle.setdefault(connection.host, deque()).append(connection)
        self.idle_by_age[connection] = None
        if self._expiry_timer is None:
            self._expiry_timer = asyncio.get_running_loop().call_later(self.idle_time, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections that have reached the idle limit; one timer serves all of them."""
        self._expiry_timer = None
        now = time.monotonic()
        while self.idle_by_age:
            remaining_s = next(iter(self.idle_by_age)).idle_since + self.idle_time - now
            if remaining_s > 0:
                self._expiry_timer = asyncio.get_running_loop().call_later(remaining_s, self._close_expired)
                return
            next(iter(self.idle_by_age)).abort()

    def untrack(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection in self.idle_by_age:
            del self.idle_by_age[connection]
            idle = self.idle[connection.host]
            idle.remove(connection)
            if not idle:
                del self.idle[connection.host]

    def close_idle(self, host: str) -> None:
        for connection in list(self.idle.get(host, ())):
            connection.abort()

    def close(self) -> None:
        """Close all connections; calls in flight on them get no outcome."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        for task in self.opening:
            task.cancel()
        for connection in list(self.open):
            connection.abort()

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        oldest = next(iter(self.idle_by_age), None)
        if oldest is not None:
            oldest.abort()
        return oldest is not None


PreparedCall = tuple[Connection, Exchange, bytes]  # a call whose attempt is being recorded, and its request


def call_request(address: Address, ref: str, key: str | None, body: bytes, stop_at: int) -> bytes:
    """The HTTP request of a message's call. ``ref`` and ``key`` contain no spaces and no control characters: the
    front checks that before it accepts a message."""
    remaining_ms = max(1, (stop_at - time.monotonic_ns()) // 1_000_000)
    keyed = "" if key is None else f"Idempotency-Key: {key}\r\n"
    head = (
        f"POST /hook HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {ref}\r\n{keyed}"
        f"X-Timeout-Ms: {remaining_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def probe_request(address: Address, with_report: bool) -> bytes:
    path = "/-/load" if with_report else "/-/healthy"
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode("ascii")
