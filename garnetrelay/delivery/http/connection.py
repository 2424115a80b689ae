"""One connection to a host, and the exchanges that it carries: one call or probe at a time.

A connection is reused only while it is known to be good. Answers carry nothing that tells which request they belong to:
a second copy of an answer that comes behind the next request is taken for the answer to that request. So a connection
rests for a while behind each answer, and what comes meanwhile shows that it must not be reused.

If a connection breaks after a request was written in full, the outcome is a reset; before that, the call never ran. A
malformed answer is reported as such whatever its status, except for a status line with 200. This module never resends a
request.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import select
import time
from collections.abc import Callable
from typing import Protocol, cast

from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.answers import AnswerReader, Outcome
from garnetrelay.socket_poll import after_socket_poll
from starlingwick import interface as io

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
NS_PER_MS = 1_000_000
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
            if self.opening is None:  # it waits for a connection that is open
                self.abandon()
                return
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


class ConnectionPool(Protocol):
    """What a connection needs of the pool that it belongs to."""

    open: set[Connection]
    calls_written: int  # since the start of the process

    def keep_or_close(self, connection: Connection) -> None:
        """Keep a connection for the next call if it can be reused, else close it."""
        ...

    def untrack(self, connection: Connection) -> None:
        """A connection is closed."""
        ...

    def settle_time(self, host: str) -> float:
        """Seconds from an answer until the next request on its connection."""
        ...

    def on_unexpected_bytes(self, host: str, age_s: float) -> None:
        """A host has sent bytes on an idle connection, so many seconds after the last answer on it."""
        ...

    def close_idle(self, host: str) -> None:
        """Close the idle connections to a host."""
        ...


class Connection(asyncio.Protocol):
    """One connection to a host: carries an exchange, is idle, or is closed."""

    __slots__ = (
        "pool",
        "host",
        "address",
        "reader",
        "exchange",
        "at_eof",
        "idle_since",
        "answered_at",
        "transport",
        "timer",
        "used",
        "connected_ms",
    )

    def __init__(self, pool: ConnectionPool, host: str, address: Address) -> None:
        self.pool = pool
        self.host = host
        self.address = address
        self.reader = AnswerReader()
        self.exchange: Exchange | None = None
        self.used = False  # at least one call on it has been answered
        self.at_eof = False  # the host sends nothing more
        self.connected_ms = 0  # when it was established, Unix time in milliseconds
        self.idle_since = 0.0
        self.answered_at = -math.inf  # when the last answer was complete, by the monotonic clock like ``idle_since``
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connected_ms = time.time_ns() // NS_PER_MS
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
    def settled_at(self) -> float:
        """When another request may be written: a second copy of the last answer would have come by then."""
        return self.answered_at + self.pool.settle_time(self.host)

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
            age_s = time.monotonic() - self.answered_at
            log.info("%s sent bytes without a request, %.1f ms after its last answer: closed", self.host, age_s * 1000)
            self.pool.on_unexpected_bytes(self.host, age_s)
            self.abort()  # these bytes could be taken for the next answer
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
        self.answered_at = time.monotonic()
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
