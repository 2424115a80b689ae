"""Calls and probes to hosts over HTTP/1.1: which connection carries which, and how many are open.

Calls that begin in one batch are gathered: one write records all their attempts, and only then is the first byte of
any of them sent.
"""

from __future__ import annotations

import asyncio
import errno
import functools
import logging
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.delivery.http.connection import Connection, Exchange
from starlingwick import interface as io

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
IDLE_SHARE = 0.8  # of the host's own idle limit: a call written just as the host closes would end as a reset
SETTLE_S = 0.05  # a connection rests for so long behind each answer, and a call waits at most so long for one that rests
MAX_SETTLE_S = 0.25  # the rest at a host that was seen to send second copies late
SETTLE_FACTOR = 2  # times the longest delay of a second copy
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # connect errors not caused by the host


@dataclass(slots=True, frozen=True)
class Reservation:
    """An exchange that waits until a connection is settled."""

    exchange: Exchange
    timer: asyncio.TimerHandle


PreparedCall = tuple[Connection, Exchange, bytes]  # a call whose attempt is being recorded, and its request


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
        self._starts: dict[str, int] = {}  # when a host last started, Unix time in milliseconds
        self.open: set[Connection] = set()
        self.idle: dict[str, deque[Connection]] = {}
        self.idle_by_age: dict[Connection, None] = {}  # all idle connections, the longest idle first
        self.opening: set[asyncio.Task[None]] = set()
        self.calls_written = 0  # since the start of the process
        self._settle_s: dict[str, float] = {}  # of hosts that were seen to send second copies late
        self._reserved: dict[Connection, Reservation] = {}  # connections that are not settled
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

    def set_start(self, host: str, start_ms: int) -> None:
        """Set when a host last started (Unix time, milliseconds). The process at the other end of connections from before
        that is gone: they are closed, and calls out on them may have run."""
        self._starts[host] = start_ms
        for connection in [one for one in self.open if one.host == host and one.connected_ms < start_ms]:
            log.debug("a connection to %s closes: it has started anew", host)
            if connection.exchange is None:
                connection.abort()
            else:
                connection.exchange.give_up(io.Status.CANCELLED)

    def _leads_to(self, connection: Connection) -> bool:
        """Whether a connection leads to the process that is listed under the host's name."""
        host = connection.host
        return self.addresses.get(host) == connection.address and connection.connected_ms >= self._starts.get(host, 0)

    def remove(self, host: str) -> None:
        self.addresses.pop(host, None)
        self._starts.pop(host, None)
        self._settle_s.pop(host, None)
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
        exchange.start_timer()
        self._assign_connection(exchange)

    def _assign_connection(self, exchange: Exchange) -> None:
        connection = self._take_idle(exchange.host)
        if connection is None:
            self._open_connection(exchange)
            return
        wait_s = connection.settled_at - time.monotonic()
        if wait_s <= 0:
            self._prepare_and_start(connection, exchange)
        else:
            timer = asyncio.get_running_loop().call_later(wait_s, self._on_settled, connection)
            self._reserved[connection] = Reservation(exchange, timer)

    def _take_idle(self, host: str) -> Connection | None:
        """Take an idle connection that is usable: of those that are settled the most recently used, so that the others
        reach the idle limit, else the one that is settled first. Not one that takes longer than to open another."""
        while idle := self.idle.get(host):
            now = time.monotonic()
            settled = (connection for connection in reversed(idle) if connection.settled_at <= now)
            connection = next(settled, None) or min(idle, key=lambda unsettled: unsettled.settled_at)
            if connection.settled_at > now + SETTLE_S:
                return None
            self._remove_idle(connection)
            if connection.usable:
                return connection
            connection.abort()
        return None

    def settle_time(self, host: str) -> float:
        """Seconds from an answer until the next request on its connection."""
        return self._settle_s.get(host, SETTLE_S)

    def on_unexpected_bytes(self, host: str, age_s: float) -> None:
        """Let the connections to a host rest for longer if its second copies come late. What comes later than any rest
        is of another kind, as the last words of a server that closes an idle connection."""
        if age_s <= MAX_SETTLE_S:
            self._settle_s[host] = min(MAX_SETTLE_S, max(self.settle_time(host), SETTLE_FACTOR * age_s))

    def _on_settled(self, connection: Connection) -> None:
        """Start the exchange that a connection was reserved for; if it is not usable, ``untrack`` assigns another."""
        if not connection.usable:
            connection.abort()
            return
        exchange = self._reserved.pop(connection).exchange
        if exchange.ended:
            self.keep_or_close(connection)
        else:
            self._prepare_and_start(connection, exchange)

    def _open_connection(self, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
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
        self,
        sock: socket.socket,
        host: str,
        address: Address,
        used: bool,
        exchange: Exchange | None,
        connected_ms: int = 0,
    ) -> None:
        """Take over a connection from another process, idle or with a call in flight. ``connected_ms``: when it was
        established; 0: unknown, it counts as established now."""
        loop = asyncio.get_running_loop()
        connection = Connection(self, host, address)
        connection.used, connection.exchange = used, exchange
        if exchange is not None:
            exchange.connection = connection
            exchange.start_timer()
        await loop.create_connection(lambda: connection, sock=sock)
        connection.connected_ms = connected_ms or connection.connected_ms
        if exchange is None:
            connection.answered_at = time.monotonic()  # when its last answer came is not handed over
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
        # The host may have moved or started anew during the connect: who is at the other end is unknown.
        request = exchange.prepare(connection.address) if self._leads_to(connection) else None
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
            or not self._leads_to(connection)
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
            self._remove_idle(connection)
        reservation = self._reserved.pop(connection, None)
        if reservation is not None:
            reservation.timer.cancel()
            if not reservation.exchange.ended:
                self._assign_connection(reservation.exchange)

    def _remove_idle(self, connection: Connection) -> None:
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
        for reservation in self._reserved.values():
            reservation.timer.cancel()
        self._reserved.clear()
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
