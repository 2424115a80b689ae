"""Calls and probes to hosts over HTTP/1.1, and the connections they travel on.

A connection carries one call at a time and is used again while it is surely good. An exchange that is
written in full and then breaks is a reset; before that it never ran. An answer that can't be read is spoilt,
whatever it seems to say, but for a first line with 200. Nothing is ever sent again from here.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
import select
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import h11

from garnetrelay.config import Address
from starlingwick import interface as io

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
IDLE_SHARE = 0.8  # of the host's own idle limit: a call written just as it closes would end as a reset
MOST_HEAD = 16 * 1024
MOST_ANSWER = 64 * 1024  # beyond this an answer is not worth reading for its connection's sake
DRAIN_TIME = 0.5  # seconds for what is left of an answer once it has begun
DELIVERED = re.compile(  # a whole first line with 200, behind any number of 1xx answers
    rb"(?:HTTP/1\.[01] 1\d\d[^\n]*+\n(?:[^\r\n][^\n]*+\n)*+\r?\n)*+HTTP/1\.[01] 200(?: [^\n]*)?\r?\n")


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an exchange ended."""

    status: io.Status
    wait: int = 0
    no_slot: bool = False
    finished: bool = False
    report: io.Report | None = None


@dataclass(frozen=True, slots=True)
class Ask:
    """One request in HTTP's terms."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""


class Exchange:
    """One call or probe: ``prepare`` gives its request at the last instant, or None to abandon it."""

    def __init__(self, host: str, stop_at: int, prepare: Callable[[], Ask | None],
                 done: Callable[[Outcome], None]) -> None:
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


def parse_report(text: str) -> io.Report | None:
    """The report in a load header or a probe's body; None where there is none or it can't be read."""
    values: dict[str, float] = {}
    for part in text.strip().split(","):
        name, _, value = part.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            return None
    left, limit = values.get("x0"), values.get("x1")
    if left is None and limit is None or not all(math.isfinite(v) and v >= 0 for v in values.values()):
        return None
    return io.Report(left=left or 0.0, limit=limit or 0.0)


def read_outcome(status: int, headers: list[tuple[bytes, bytes]]) -> Outcome:
    """What an answer's first line and headers say of a call."""
    values = {name.lower(): value.decode("latin-1").strip() for name, value in headers}
    report = parse_report(values[b"x-server-load"]) if b"x-server-load" in values else None
    match status:
        case 200:
            return Outcome(io.Status.OK, finished=True, report=report)
        case 429:
            told = values.get(b"x-backoff-ms", "")
            wait = int(told) * 1_000_000 if told.isascii() and told.isdigit() and len(told) < 10 else 0
            return Outcome(io.Status.FULL, wait=wait, report=report)
        case 503 if values.get(b"x-egress-full") == "1":
            return Outcome(io.Status.MOOT, no_slot=True, report=report)
        case 503:
            return Outcome(io.Status.FULL, report=report)
        case 504:
            return Outcome(io.Status.MOOT, report=report)
        case 410:
            return Outcome(io.Status.MOOT, finished=True, report=report)
    return Outcome(io.Status.ERROR, report=report)  # 500, and whatever else: it may have run


class Connection(asyncio.Protocol):
    """One connection to a host: carries an exchange, stands idle, or is gone."""

    def __init__(self, pool: Hosts, host: str, address: Address) -> None:
        self.pool = pool
        self.host = host
        self.address = address
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        self.exchange: Exchange | None = None
        self.outcome: Outcome | None = None  # of the answer whose body is still coming
        self.head = b""  # as far as it has come
        self.received = 0
        self.at_end = False  # the host sends nothing more
        self.body = b""
        self.idle_from = 0.0
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.pool.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.forget(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.exchange is not None:
            self.at_end = True
            self._finish(self._unread(), keep=False)

    def eof_received(self) -> bool:
        # An answer without a length ends with its connection.
        self.at_end = True
        self.data_received(b"")
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

    def written_in_full(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() == 0

    def start(self, exchange: Exchange, ask: Ask) -> None:
        """Write the request."""
        self._stop_timer()
        self.exchange, exchange.connection = exchange, self
        self.outcome, self.head, self.received, self.body = None, b"", 0, b""
        headers = [("Host", str(self.address)), *ask.headers]
        data = self.http.send(h11.Request(method=ask.method, target=ask.target, headers=headers)) or b""
        if ask.body:
            data += self.http.send(h11.Data(data=ask.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.abort()  # nothing was asked: whatever this is, the next answer could not be told from it
            return
        self.received += len(data)
        if self.outcome is None:
            self.head = (self.head + data)[:MOST_HEAD]
        broken = False
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            log.debug("host %s: answer can't be read: %s", self.host, error)
            broken = True
        if self.exchange is None:
            return
        if self.outcome is None and DELIVERED.match(self.head):
            self._settle(Outcome(io.Status.OK, finished=True))  # true, whatever becomes of the rest
        if broken or self.received > MOST_ANSWER + MOST_HEAD:
            self._finish(self._unread(), keep=False)
        elif self.outcome is None and not self.http.trailing_data[0]:
            self.head = b""  # 1xx answers, whole: the answer itself may take its time
            self._stop_timer()
        elif self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(DRAIN_TIME, self._overdue)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _settle(self, outcome: Outcome) -> None:
        """The first line is enough. The connection stays busy until the rest has come."""
        self.outcome = outcome
        if self.exchange is not None:
            self.exchange.end(outcome)

    def _unread(self) -> Outcome:
        """What an answer tells that will not be read to its end: that it came, and a 200."""
        if self.outcome is not None and self.outcome.status is io.Status.OK:
            return self.outcome
        # Without a byte, or cut short by the connection's end, it is the connection that failed.
        return Outcome(io.Status.RESET if self.at_end or not self.received else io.Status.SPOILT)

    def _overdue(self) -> None:
        self._finish(self._unread(), keep=False)

    def _read_events(self) -> None:
        while self.exchange is not None:
            event = self.http.next_event()
            match event:
                case h11.Response():
                    self.outcome = read_outcome(event.status_code, list(event.headers))
                    if self.outcome.status is io.Status.OK:
                        self._settle(self.outcome)
                case h11.Data():
                    self.body += bytes(event.data)
                case h11.EndOfMessage():
                    self._answer_complete()
                case h11.InformationalResponse():
                    pass
                case h11.ConnectionClosed():
                    self._finish(self._unread(), keep=False)
                case _:
                    return  # more has to come

    def _answer_complete(self) -> None:
        keep = (self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
                and not self.http.trailing_data[0])
        if keep:
            self.http.start_next_cycle()
        outcome = self.outcome or Outcome(io.Status.RESET)
        if outcome.report is None and self.body and len(self.body) < 200:
            outcome = Outcome(outcome.status, outcome.wait, outcome.no_slot, outcome.finished,
                              parse_report(self.body.decode("latin-1")))
        self._finish(outcome, keep)

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
        self.exchange = None
        if self.transport is not None:
            self.transport.abort()


class Hosts:
    """The connections to all hosts, and the exchanges on them."""

    def __init__(self, settings: io.Settings, room: Callable[[], int], more_room: Callable[[], bool]) -> None:
        self.connect_time = settings.limits.connect_timeout / SECOND or 1.0
        self.idle_time = IDLE_SHARE * settings.limits.conn_idle / SECOND
        self.room = room  # how many more connections there may be
        self.more_room = more_room  # frees a descriptor elsewhere, where one can be had
        self.addresses: dict[str, Address] = {}
        self.open: set[Connection] = set()
        self.idle: dict[str, deque[Connection]] = {}
        self.opening: set[asyncio.Task[None]] = set()

    @property
    def count(self) -> int:
        """Connections that there are, or will be in a moment."""
        return len(self.open) + len(self.opening)

    def place(self, host: str, address: Address, draining: bool) -> None:
        """Where a host listens now; connections to elsewhere, or to one that drains, are not kept."""
        if draining or self.addresses.get(host, address) != address:
            self.close_idle(host)
        self.addresses[host] = address

    def remove(self, host: str) -> None:
        self.addresses.pop(host, None)
        self.close_idle(host)

    def begin(self, exchange: Exchange) -> None:
        """Start a call or a probe, on an idle connection where there is a good one."""
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_at(exchange.stop_at / SECOND, exchange.give_up, io.Status.TIMEOUT)
        idle = self.idle.get(exchange.host)
        while idle:
            connection = idle.pop()  # the latest used: the others may age and go
            if connection.usable:
                self._go(connection, exchange)
                return
            connection.abort()
        address = self.addresses.get(exchange.host)
        if address is None:
            loop.call_soon(exchange.end, Outcome(io.Status.ABANDONED))
            return
        # An idle client costs nothing to close; an idle connection to a host saves a call its handshake.
        if self.room() <= 0 and not self.more_room() and not self.close_longest_idle():
            loop.call_soon(exchange.end, Outcome(io.Status.ABANDONED))
            return
        exchange.opening = task = loop.create_task(self._connect(exchange, address))
        self.opening.add(task)
        task.add_done_callback(self._opened)

    async def _connect(self, exchange: Exchange, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_time):
                _, connection = await loop.create_connection(
                    lambda: Connection(self, exchange.host, address), address.host, address.port)
        except (OSError, TimeoutError):
            exchange.end(Outcome(io.Status.CONNECT_FAILED))
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
        ask = exchange.prepare()
        if ask is None:
            self.rest(connection)
            exchange.end(Outcome(io.Status.ABANDONED))
            return
        connection.start(exchange, ask)

    def rest(self, connection: Connection) -> None:
        """Keep a connection for the next call, or not."""
        if (connection.transport is None or connection.transport.is_closing()
                or self.addresses.get(connection.host) != connection.address or self.idle_time <= 0):
            connection.abort()
            return
        connection.idle_from = time.monotonic()
        self.idle.setdefault(connection.host, deque()).append(connection)
        connection.timer = asyncio.get_running_loop().call_later(self.idle_time, connection.abort)

    def forget(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection.timer is not None:
            connection.timer.cancel()
        idle = self.idle.get(connection.host)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle(self, host: str) -> None:
        for connection in self.idle.pop(host, ()):
            connection.abort()

    def close(self) -> None:
        """Drop every connection; what was out on them has no outcome."""
        for task in self.opening:
            task.cancel()
        for connection in list(self.open):
            connection.abort()

    def close_longest_idle(self) -> bool:
        """Make room for another connection, if one is idle."""
        firsts = [idle[0] for idle in self.idle.values() if idle]
        oldest = min(firsts, key=lambda connection: connection.idle_from, default=None)
        if oldest is not None:
            oldest.abort()
        return oldest is not None


def call(ref: str, key: str | None, body: bytes, stop_at: int) -> Ask:
    """A message's call, as the protocol words it."""
    left = max(1, (stop_at - time.monotonic_ns()) // 1_000_000)
    headers = [("X-Request-ID", ref), ("X-Timeout-Ms", str(left)), ("Content-Length", str(len(body)))]
    if key is not None:
        headers.insert(1, ("Idempotency-Key", key))
    return Ask("POST", "/hook", headers, body)


def probe(with_report: bool) -> Ask:
    return Ask("GET", "/-/load" if with_report else "/-/healthy", [])
