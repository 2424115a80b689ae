"""Calls and probes to hosts over HTTP/1.1, and the connections they travel on.

A connection carries one call at a time and is used again while it is surely good. An exchange that is
written in full and then breaks is a reset; before that it never ran. An answer that can't be read is spoilt,
whatever it seems to say, but for a first line with 200. Nothing is ever sent again from here.

Calls that begin in one turn are gathered: their attempts go on record by one write, and only then does the
first byte of any of them go out.
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
IDLE_SHARE = 0.8  # of the host's own idle limit: a call written just as it closes would end as a reset
OUR_OWN = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # errors of a connect that no host has made
ANSWER_REST_TIMEOUT_S = 0.5  # seconds for what is left of an answer once it has begun

Prepare = Callable[[Address], bytes | None]


def always() -> bool:
    return True


class Exchange:
    """One call or probe: ``prepare`` gives its request at the last instant, or None to abandon it. Where some time
    may pass between that and its first byte, ``final_check`` looks once more."""

    __slots__ = (
        "host",
        "stop_at",
        "prepare",
        "final_check",
        "_done",
        "ended",
        "connection",
        "opening",
        "timer",
        "ref",
        "at_first_byte",
    )

    def __init__(
        self,
        host: str,
        stop_at: int,
        prepare: Prepare,
        done: Callable[[Outcome], None],
        final_check: Callable[[], bool] = always,
        ref: str | None = None,
    ) -> None:
        self.ref = ref  # of the message that it calls with; None: a probe
        self.final_check = final_check
        self.at_first_byte: Callable[[], None] | None = None  # called just before it
        self.host = host
        self.stop_at = stop_at
        self.prepare = prepare
        self._done = done
        self.ended = False
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Outcome) -> None:
        """Report the outcome, once."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self._done(outcome)

    def abandon(self) -> None:
        """Its connection has not come up, and is not wanted any more: it never ran, and says nothing of its host."""
        if self.opening is not None:
            self.opening.cancel()
        self.end(Outcome(io.Status.ABANDONED))

    def start_timer(self) -> None:
        """See that it ends in its time. An answer that lies there by then is read first."""
        self.timer = asyncio.get_running_loop().call_at(self.stop_at / SECOND, after_socket_poll, self._time_is_up)

    def _time_is_up(self) -> None:
        """Unless it has passed to another process since its timer came: that has cancelled the timer."""
        if self.timer is not None and not self.timer.cancelled():
            self.give_up(io.Status.TIMEOUT)

    def give_up(self, status: io.Status) -> None:
        """Stop waiting: the connection closes with it. What was not written in full never ran."""
        if self.ended:
            return
        connection = self.connection
        if connection is None:
            if self.opening is not None:
                self.opening.cancel()
            self.end(Outcome(io.Status.CONNECT_FAILED))
            return
        # Once written in full it may have run, also if the answer has begun and says that it did not.
        outcome = Outcome(status if connection.written_in_full() else io.Status.CONNECT_FAILED)
        connection.abort()
        if outcome.status is io.Status.TIMEOUT:
            # A machine that vanished keeps its connections open and silent, and resets them once it is back:
            # an unsafe message written to one of them would die of that.
            connection.pool.close_idle(self.host)
        self.end(outcome)


class Connection(asyncio.Protocol):
    """One connection to a host: carries an exchange, stands idle, or is gone."""

    __slots__ = ("pool", "host", "address", "reader", "exchange", "at_end", "idle_from", "transport", "timer", "used")

    def __init__(self, pool: Hosts, host: str, address: Address) -> None:
        self.pool = pool
        self.host = host
        self.address = address
        self.reader = AnswerReader()
        self.exchange: Exchange | None = None
        self.used = False  # it has carried a call to its end
        self.at_end = False  # the host sends nothing more
        self.idle_from = 0.0
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pool.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.forget(self)
        self._stop_timer()
        if self.exchange is not None:
            self.at_end = True
            self._finish(self._unread(), keep=False)
        self.reader.close()

    def eof_received(self) -> bool:
        # An answer without a length ends with its connection.
        self.at_end = True
        if self.exchange is not None:
            self.reader.end()
            self._look()
            if self.exchange is not None:
                self._finish(self._unread(), keep=False)
        return False

    @property
    def usable(self) -> bool:
        """Idle, and nothing (an end, above all) has come on it since: a look at the socket itself, as what
        lies there may not have reached us yet, and a call written behind it would end as a reset."""
        if self.transport is None or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    @property
    def can_hand_over(self) -> bool:
        """Whether another process can read on from here: all is written, and nothing of an answer has come."""
        return (
            self.written_in_full()
            and not self.at_end
            and not self.reader.received
            and self.transport is not None
            and not self.transport.is_closing()
        )

    @property
    def descriptor(self) -> int:
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def close_after_handover(self) -> None:
        """Another process has the connection: close it here without a word, also to whoever waits for an answer."""
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
        if exchange.ref is not None:  # hosts read at full speed: what is not written at once is a moment later
            self.pool.calls_written += 1

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.abort()  # nothing was asked: whatever this is, the next answer could not be told from it
            return
        self.reader.feed(data)
        self._look()

    def _look(self) -> None:
        """Act on what the reader has made of the answer so far."""
        reader = self.reader
        if reader.complete:
            self._finish(self._judged(reader.outcome or self._unread()), reader.keep and not self.at_end)
            return
        if reader.delivered and self.exchange is not None:
            # The first line is enough. The connection stays busy until the rest has come.
            self.exchange.end(reader.outcome or Outcome(io.Status.OK, finished=True))
        if reader.broken:
            self._finish(self._unread(), keep=False)
        elif not reader.pending:
            self._stop_timer()
        elif self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(ANSWER_REST_TIMEOUT_S, self._overdue)

    def _judged(self, outcome: Outcome) -> Outcome:
        """A host with too many connections turns a new one away, before it looks at limits: no answer on one
        that it holds says so."""
        first, self.used = not self.used, True
        if first and outcome.status is io.Status.FULL and not outcome.wait and outcome.report is None:
            return dataclasses.replace(outcome, status=io.Status.CROWDED)
        return outcome

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _unread(self) -> Outcome:
        """What an answer tells that will not be read to its end: that it came, and a 200."""
        if self.reader.delivered:
            return self.reader.outcome or Outcome(io.Status.OK, finished=True)
        # Without a byte, or cut short by the connection's end, it is the connection that failed.
        return Outcome(io.Status.RESET if self.at_end or not self.reader.received else io.Status.SPOILT)

    def _overdue(self) -> None:
        self._finish(self._unread(), keep=False)

    def _finish(self, outcome: Outcome, keep: bool) -> None:
        exchange, self.exchange = self.exchange, None
        self._stop_timer()
        if keep:
            self.pool.rest(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.end(outcome)

    def abort(self) -> None:
        """Close at once: the host takes this for a call given up."""
        self.pool.forget(self)
        self._stop_timer()
        self.exchange = None
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()


class Hosts:
    """The connections to all hosts, and the exchanges on them. ``on_record`` puts down what the journal was told,
    and calls back with whether it is there: at once, or later (``delayed``)."""

    def __init__(
        self,
        settings: io.Settings,
        remaining_capacity: Callable[[], int],
        free_descriptor: Callable[[], bool],
        on_record: Callable[[Callable[[bool], None]], None],
        delayed: bool = False,
    ) -> None:
        self.connect_time = settings.limits.connect_timeout / SECOND or 1.0
        self.idle_time = IDLE_SHARE * settings.limits.conn_idle / SECOND
        self.remaining_capacity = remaining_capacity  # how many more connections there may be
        self.free_descriptor = free_descriptor  # frees a descriptor elsewhere, where one can be had
        self.on_record = on_record
        self.delayed = delayed
        self.addresses: dict[str, Address] = {}
        self.open: set[Connection] = set()
        self.idle: dict[str, deque[Connection]] = {}
        self.resting: dict[Connection, None] = {}  # all that are idle, longest first
        self.opening: set[asyncio.Task[None]] = set()
        self.calls_written = 0  # since the start of the process
        self._gathered: list[PreparedCall] | None = None
        self._retiring: asyncio.TimerHandle | None = None

    @property
    def count(self) -> int:
        """Connections that there are, or will be in a moment."""
        return len(self.open) + len(self.opening)

    def set_address(self, host: str, address: Address, draining: bool) -> None:
        """Where a host listens now; connections to elsewhere, or to one that drains, are not kept."""
        if draining or self.addresses.get(host, address) != address:
            log.debug("idle connections to %s close: %s", host, "it drains" if draining else "it moved")
            self.close_idle(host)
        self.addresses[host] = address

    def remove(self, host: str) -> None:
        self.addresses.pop(host, None)
        self.close_idle(host)

    def gather(self) -> None:
        """Hold back the calls that begin from now on, until ``release``."""
        self._gathered = []

    def gathered(self) -> list[PreparedCall]:
        """What was held back since ``gather``; it waits for ``release``."""
        gathered, self._gathered = self._gathered or [], None
        return gathered

    def release(self, gathered: list[PreparedCall], recorded: bool) -> None:
        """Start gathered calls, now that their attempts are on record; without that none of them runs."""
        for connection, exchange, request in gathered:
            self._start(connection, exchange, request, recorded)

    def begin(self, exchange: Exchange) -> None:
        """Start a call or a probe, on an idle connection where there is a good one."""
        loop = asyncio.get_running_loop()
        exchange.start_timer()
        idle = self.idle.get(exchange.host)
        while idle:
            connection = idle.pop()  # the latest used: the others may age and go
            self.resting.pop(connection, None)
            if connection.usable:
                self._go(connection, exchange)
                return
            connection.abort()
        address = self.addresses.get(exchange.host)
        if address is None:
            loop.call_soon(exchange.end, Outcome(io.Status.ABANDONED))
            return
        # An idle client costs nothing to close; an idle connection to a host saves a call its handshake.
        if self.remaining_capacity() <= 0 and not self.free_descriptor() and not self.close_longest_idle():
            loop.call_soon(exchange.end, Outcome(io.Status.ABANDONED))
            return
        exchange.opening = task = loop.create_task(self._connect(exchange, address))
        self.opening.add(task)
        task.add_done_callback(self._opened)

    def connections_to_hand_over(self) -> list[Connection]:
        """Idle connections that are good."""
        return [connection for connection in self.resting if connection.usable]

    async def adopt(
        self, found: socket.socket, host: str, address: Address, used: bool, exchange: Exchange | None
    ) -> None:
        """A connection that passed from another process, idle or with a call out."""
        loop = asyncio.get_running_loop()
        connection = Connection(self, host, address)
        connection.used, connection.exchange = used, exchange
        if exchange is not None:
            exchange.connection = connection
            exchange.start_timer()
        await loop.create_connection(lambda: connection, sock=found)
        if exchange is None:
            self.rest(connection)

    async def _connect(self, exchange: Exchange, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_time):
                _, connection = await loop.create_connection(
                    lambda: Connection(self, exchange.host, address), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            # For want of a descriptor or memory of our own it never ran, and says nothing of its host.
            ours = isinstance(error, OSError) and error.errno in OUR_OWN
            exchange.end(Outcome(io.Status.ABANDONED if ours else io.Status.CONNECT_FAILED))
            return
        if exchange.ended:
            self.rest(connection)
        else:
            self._go(connection, exchange)

    def _opened(self, task: asyncio.Task[None]) -> None:
        self.opening.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("opening a connection failed", exc_info=error)

    def _go(self, connection: Connection, exchange: Exchange) -> None:
        # A host may have moved while its connection came up: who listens at the old address now is unknown.
        moved = self.addresses.get(exchange.host) != connection.address
        request = None if moved else exchange.prepare(connection.address)
        if request is None:
            self.rest(connection)
            exchange.end(Outcome(io.Status.ABANDONED))
        elif self._gathered is not None:
            self._gathered.append((connection, exchange, request))
        else:
            self.on_record(functools.partial(self._start, connection, exchange, request))

    def _start(self, connection: Connection, exchange: Exchange, request: bytes, recorded: bool) -> None:
        if recorded and not exchange.ended and self._still_good(connection, exchange):
            if exchange.at_first_byte is not None:
                exchange.at_first_byte()
            connection.start(exchange, request)
        else:
            self.rest(connection)
            exchange.end(Outcome(io.Status.ABANDONED))

    def _still_good(self, connection: Connection, exchange: Exchange) -> bool:
        """A last look at what may have changed while the record was under way: also a write may take its time."""
        return exchange.final_check() and (not self.delayed or connection.usable)

    def rest(self, connection: Connection) -> None:
        """Keep a connection for the next call, or not."""
        if (
            connection.transport is None
            or connection.transport.is_closing()
            or self.addresses.get(connection.host) != connection.address
            or self.idle_time <= 0
        ):
            connection.abort()
            return
        connection.idle_from = time.monotonic()
        self.idle.setdefault(connection.host, deque()).append(connection)
        self.resting[connection] = None
        if self._retiring is None:
            self._retiring = asyncio.get_running_loop().call_later(self.idle_time, self._retire)

    def _retire(self) -> None:
        """Close what has been idle for too long; one timer serves all connections."""
        self._retiring = None
        now = time.monotonic()
        while self.resting:
            left = next(iter(self.resting)).idle_from + self.idle_time - now
            if left > 0:
                self._retiring = asyncio.get_running_loop().call_later(left, self._retire)
                return
            next(iter(self.resting)).abort()

    def forget(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection in self.resting:
            del self.resting[connection]
            idle = self.idle[connection.host]
            idle.remove(connection)
            if not idle:
                del self.idle[connection.host]

    def close_idle(self, host: str) -> None:
        for connection in list(self.idle.get(host, ())):
            connection.abort()

    def close(self) -> None:
        """Drop every connection; what was out on them has no outcome."""
        if self._retiring is not None:
            self._retiring.cancel()
        for task in self.opening:
            task.cancel()
        for connection in list(self.open):
            connection.abort()

    def close_longest_idle(self) -> bool:
        """Make room for another connection, if one is idle."""
        oldest = next(iter(self.resting), None)
        if oldest is not None:
            oldest.abort()
        return oldest is not None


PreparedCall = tuple[Connection, Exchange, bytes]  # a call that may start, and its request


def call_request(address: Address, ref: str, key: str | None, body: bytes, stop_at: int) -> bytes:
    """A message's call, as the protocol words it. What goes into the headers holds no space and no control
    character: the front sees to that."""
    left = max(1, (stop_at - time.monotonic_ns()) // 1_000_000)
    keyed = "" if key is None else f"Idempotency-Key: {key}\r\n"
    head = (
        f"POST /hook HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {ref}\r\n{keyed}"
        f"X-Timeout-Ms: {left}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def probe_request(address: Address, with_report: bool) -> bytes:
    path = "/-/load" if with_report else "/-/healthy"
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode("ascii")
