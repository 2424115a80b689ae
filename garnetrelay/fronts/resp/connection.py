"""One client's connection: splits what it sends into commands, and answers in order. The relay decides on requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from garnetrelay.fronts.resp.command_queue import CommandQueue
from garnetrelay.fronts.resp.commands import CommandReader, ProtocolError
from garnetrelay.fronts.resp.request_memory import RequestMemory
from garnetrelay.fronts.resp.requests import RejectedError, Request, parse_enqueue
from garnetrelay.fronts.resp.tcp_state import TcpState, read_tcp_state

log = logging.getLogger(__name__)

MAX_OPEN_REQUESTS = 64  # unanswered commands per connection: usual clients have one
COMMAND_TIMEOUT_S = 2.0  # for a connection's first command, or for any command to be completed once it has begun
LINGER_S = 1.0  # time without a received byte in which a rejected client may still read the reason
MAX_LINGER_S = 5.0  # for a rejected client that goes on sending
LAST_ANSWER_READ_S = 0.25  # time for a client to read its last answer: it waits at most 0.4 s for one
MAX_READ_BYTES = 256 * 1024  # in one read
MIN_READ_BYTES = 4 * 1024  # the same where so many connections wait for their turn that what they hold adds up
ACKNOWLEDGE_CHECK_S = 0.005  # between two checks whether a client that has ended its sending still reads
ACKNOWLEDGE_TIMEOUT_S = 0.4  # a client waits no longer for its answer
MAX_UNREAD_ANSWER_BYTES = 16 * 1024  # of a client that does not read its answers: no further command is handled


class Reply:
    """One answer in a connection's queue, which is written in the order of the requests."""

    __slots__ = ("_connection", "request_bytes", "data")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.request_bytes = 0  # of the request, while it is counted as not answered
        self.data: bytes | None = None

    @property
    def client_connected(self) -> bool:
        """Whether the client can still receive the answer."""
        return not self._connection.lost

    def ok(self) -> None:
        self._set(b"+OK\r\n")

    def busy(self, wait_ms: int) -> None:
        self._set(b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n")

    def error(self, text: str) -> None:
        self._set(b"-ERR %s\r\n" % " ".join(text.split()).encode("ascii", "replace")[:200])

    def pong(self, payload: bytes | None) -> None:
        self._set(b"+PONG\r\n" if payload is None else b"$%d\r\n%s\r\n" % (len(payload), payload))

    def _set(self, data: bytes) -> None:
        self.data = data
        if self.request_bytes:
            self._connection.server.memory.answered(self.request_bytes)
            self.request_bytes = 0
        self._connection.send_ready()


Handler = Callable[[Request, Reply], None]


def end_sending(transport: asyncio.Transport) -> None:
    """Half-close a connection. Its client may have closed the other side in this moment: the kernel then answers what was
    just written with a reset, and refuses to end the sending."""
    with contextlib.suppress(OSError):
        transport.write_eof()


class ConnectionOwner(Protocol):
    """What a connection needs of the server that it belongs to."""

    handler: Handler
    memory: RequestMemory[Connection]
    connections: set[Connection]
    idle: dict[Connection, None]  # without an open request, the longest idle first
    without_command: dict[Connection, None]  # the same, before their first command
    lingering: dict[Connection, None]  # rejected clients that may still read why, oldest first
    draining: bool
    ended: bool  # nothing more is read
    now: Callable[[], float]
    command_queue: CommandQueue
    read_buffer: memoryview  # shared by all connections

    @property
    def connection_counts(self) -> str:
        """How many connections are in which state, for the log."""
        ...

    def admit(self) -> bool | None:
        """Whether one more connection may be opened. None: there is no descriptor even for sending a rejection."""
        ...

    def limit_request_memory(self) -> None:
        """Reject clients whose commands are incomplete until the requests in memory fit."""
        ...

    def mark_busy(self, connection: Connection) -> None:
        """Exclude a connection from those that may be closed in favour of another."""
        ...

    def untrack(self, connection: Connection) -> None:
        """A connection is closed."""
        ...

    def log_client_error(self, text: str) -> None:
        """Log a client's error, at a limited rate."""
        ...


class Connection(asyncio.BufferedProtocol):
    """One client's connection. One command is handled as it is read, more than one in turns with other clients'."""

    def __init__(self, server: ConnectionOwner, inherited: tuple[bytes, bool] | None = None) -> None:
        self.server = server
        self.inherited = inherited  # from another process: bytes of an incomplete command, value of has_sent_command
        self.has_sent_command = inherited is not None and inherited[1]
        self.reader = CommandReader()
        self.replies: deque[Reply] = deque()
        self.lost = False
        self.closing = False
        self.rejected = False  # closing because of an error, which is written behind the answers that are still open
        self.at_eof = False  # the client sends nothing more
        self.received_at = 0.0  # when the last bytes were read
        self.handled_after_end = 0  # commands handled since the client was seen to have ended its sending
        self.acknowledge_timer: asyncio.TimerHandle | None = None
        self.answers_unread = False  # the client does not read its answers
        self.last_active_at = 0.0  # when the last byte was received, or the last request answered
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_ANSWER_BYTES)
        self.last_active_at = self.server.now()
        if self.inherited is not None:
            self._resume(*self.inherited)
            return
        admitted = self.server.admit()
        self.server.connections.add(self)
        if self.server.ended:  # accepted just before the server ended
            self.end()
            return
        if admitted is None:
            self.transport.abort()
        elif not admitted:
            # BUSY, not an error: after an error the client treats the request that it is sending as failed for good.
            self._reject(lambda reply: reply.busy(0), f"too many connections: {self.server.connection_counts}")
        else:
            self.server.without_command[self] = None
            self._start_command_timer()

    def _resume(self, raw: bytes, has_sent_command: bool) -> None:
        """Continue where the previous process stopped; the connection was admitted there."""
        self.server.connections.add(self)
        (self.server.idle if has_sent_command else self.server.without_command)[self] = None
        if raw or not has_sent_command:
            self._start_command_timer()
        if raw:
            self.receive(raw)

    @property
    def raw(self) -> bytearray:
        """The bytes behind the last command: of an incomplete one, or not handled as the client reads no answers."""
        return self.reader.unread

    @property
    def can_hand_over(self) -> bool:
        """Whether another process can take over: no answer is outstanding or still being written."""
        return (
            not self.closing
            and not self.replies
            and self.transport is not None
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    @property
    def descriptor(self) -> int:
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def close_after_handover(self) -> None:
        """Close this process's copy of a connection that another process has taken over, without writing to it."""
        self.closing = True
        self._drop_unhandled()
        self._stop_timer()
        self.server.untrack(self)
        if self.transport is not None:
            self.transport.abort()

    def refuse_unhandled(self) -> None:
        """Refuse the commands that were read and not handled, and close once the answers are written. For a connection
        that nobody takes over as this process ends or hands over the relay."""
        self.closing = True
        self.server.command_queue.discard(self)
        with contextlib.suppress(ProtocolError):
            while self.reader.next_command() is not None:
                reply = Reply(self)
                self.replies.append(reply)
                reply.busy(0)
        self._drop_unhandled()
        if self.transport is not None:
            self._close(self.transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self._drop_unhandled()
        self._stop_timer()
        self.server.untrack(self)

    def eof_received(self) -> bool:
        """The client sends nothing more but may still read: outstanding answers are written before the close."""
        self.at_eof = True
        self._stop_timer()
        if self.replies:
            return True
        if self.transport is not None:
            self._close(self.transport)
        return False

    def _start_command_timer(self) -> None:
        """Limit the time until a command is complete. It counts from the beginning, so that a connection that sends
        nothing, half a command or a byte now and then is closed."""
        self.timer = asyncio.get_running_loop().call_later(COMMAND_TIMEOUT_S, self._on_command_overdue)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_command_overdue(self) -> None:
        self.timer = None
        if self.replies:  # a request is open; reading is paused while the client reads its answers too slowly
            self._start_command_timer()
        else:
            self.fail("no whole command in time")

    # Neither read nor handle commands while the client does not read its answers, which would fill the memory.
    def pause_writing(self) -> None:
        self.answers_unread = True
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.answers_unread = False
        if self.transport is not None and not self.closing and not self.server.ended:
            self._wait_for_turn()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read the next bytes: a buffer that all connections share."""
        if self.closing or len(self.server.command_queue) * MAX_READ_BYTES < self.server.memory.limit:
            return self.server.read_buffer
        return self.server.read_buffer[: max(MIN_READ_BYTES, self.reader.missing_bytes)]

    def buffer_updated(self, nbytes: int) -> None:
        self.receive(self.server.read_buffer[:nbytes])

    def receive(self, data: bytes | memoryview) -> None:
        """Take received bytes, and handle the first command that is complete."""
        self.last_active_at = self.received_at = self.server.now()
        if self.closing:
            return  # rejected: anything it still sends is read and discarded
        self.reader.feed(data)
        if self.handle_one():
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        """Handle what else was received in turn with other clients, and read nothing more until then."""
        if not self.raw:
            self._on_all_handled()
        elif self.transport is not None:
            self.server.memory.set_incomplete(self, 0)
            self.transport.pause_reading()
            self.server.command_queue.add(self)

    def handle_one(self) -> bool:
        """Handle the next command; False if none is complete, or none may be handled now."""
        if self.closing or self.lost or self.answers_unread or self.acknowledge_timer is not None:
            return False
        state = None if self.reader.missing_bytes else self._tcp_state()
        if state is not None and not self._is_heard(state):
            return False
        try:
            words = self.reader.next_command()
        except ProtocolError as error:
            self.fail(f"Protocol error: {error}")  # the framing is lost: nothing after it can be parsed
            return False
        if words is None or state is None:
            self._on_all_handled()
            return False
        self.handled_after_end += state.ended
        self._handle_command(words, max(state.idle_ms, round((self.server.now() - self.received_at) * 1000)))
        return True

    def _on_all_handled(self) -> None:
        """No complete command is left: read on."""
        if self.closing:
            return
        self.server.memory.set_incomplete(self, len(self.raw))
        if self.raw and self.timer is None:
            self._start_command_timer()
        self._resume_reading()
        self.server.limit_request_memory()
        if self.server.draining and not self.closing:
            self.close_between_requests()

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.answers_unread and not self.server.ended:
            self.transport.resume_reading()

    def _drop_unhandled(self) -> None:
        """Forget what was received and not handled: its client has left, or another process handles it."""
        self.server.command_queue.discard(self)
        self.reader.clear()
        if self.acknowledge_timer is not None:
            self.acknowledge_timer.cancel()
            self.acknowledge_timer = None

    # ---- clients that have left

    def _tcp_state(self) -> TcpState | None:
        """What the kernel knows of the connection; None if it is closed here."""
        if self.transport is None or self.transport.is_closing():
            return None
        return read_tcp_state(self.transport.get_extra_info("socket"))

    def _is_heard(self, state: TcpState) -> bool:
        """Whether the client may still hear the answer to its next command: what a client that has left sent is dropped.

        A client that has only ended its sending looks like one that has closed its socket until an answer is written:
        only the former acknowledges it. So behind its end one command is handled, then twice as many each time that all
        answers are acknowledged.
        """
        if state.reset:
            self._drop_unhandled()
            if self.transport is not None:
                self.transport.abort()
            return False
        if not state.ended or self.handled_after_end & (self.handled_after_end + 1):
            return True  # not ended, or in the middle of a series: 1, 2, 4, 8, ...
        assert self.transport is not None
        if not self.handled_after_end or not (
            self.replies or state.unacknowledged or self.transport.get_write_buffer_size()
        ):
            return True
        self._check_later(self.server.now() + ACKNOWLEDGE_TIMEOUT_S)
        return False

    def _check_later(self, end: float) -> None:
        if self.transport is not None:
            self.transport.pause_reading()
        self.acknowledge_timer = asyncio.get_running_loop().call_later(
            ACKNOWLEDGE_CHECK_S, self._on_acknowledge_check, end
        )

    def _on_acknowledge_check(self, end: float) -> None:
        self.acknowledge_timer = None
        state = self._tcp_state()
        if state is None:
            return
        if state.reset or self.server.now() >= end:
            self._drop_unhandled()
            if self.transport is not None:
                self.transport.abort()
        elif self.replies or state.unacknowledged:
            self._check_later(end)
        else:
            self._wait_for_turn()

    def _handle_command(self, words: list[bytes], waited_ms: int) -> None:
        """Handle a command that has waited for so long since it was received, which counts towards its deadline."""
        self._stop_timer()
        self.has_sent_command = True
        self.server.mark_busy(self)
        reply = Reply(self)
        self.replies.append(reply)
        name = words[0].upper()
        try:
            if name == b"ENQUEUE":
                request = parse_enqueue(words)
                request.patience_ms -= waited_ms
                if len(self.replies) > MAX_OPEN_REQUESTS or not self.server.memory.admit(len(request.body)):
                    reply.busy(0)
                else:
                    reply.request_bytes = len(request.body)
                    self.server.handler(request, reply)
            elif name == b"PING" and len(words) <= 2:
                reply.pong(words[1] if len(words) == 2 else None)
            else:
                raise RejectedError(f"unknown command '{words[0][:40].decode('ascii', 'replace')}'")
        except RejectedError as error:
            self.server.log_client_error(f"client request not understood: {error}")
            reply.error(str(error))

    def send_ready(self) -> None:
        """Write the answers that are ready, in the order of their requests."""
        ready = []
        while self.replies and self.replies[0].data is not None:
            ready.append(self.replies.popleft().data or b"")
        if ready and self.transport is not None and not self.lost:
            self.transport.write(b"".join(ready))
        if not self.replies and not self.lost:
            self._on_all_answered()

    def _on_all_answered(self) -> None:
        """No answer is outstanding: the connection is idle, or closes if that only waited for the answers."""
        if self.rejected:
            self._linger()
        if self.closing:
            return
        self.last_active_at = self.server.now()
        self.server.idle.pop(self, None)  # re-inserted at the end: idle for the shortest time
        self.server.idle[self] = None
        if self.server.ended:
            self.end()
        elif self.at_eof and self.transport is not None:
            self._close(self.transport)
        elif self.server.draining:
            self.close_between_requests()

    def fail(self, text: str) -> None:
        """Send an error and close, as nothing further on the connection can be parsed."""
        self._reject(lambda reply: reply.error(text), text)

    def make_room(self) -> None:
        """Give up an incomplete command for lack of memory; the client may submit its request again."""
        self._reject(lambda reply: reply.busy(0), f"too many bytes of incomplete requests: {len(self.raw)} of this one")

    def _reject(self, answer: Callable[[Reply], None], why: str) -> None:
        """Answer, and close once the client can have read that. Earlier requests are answered first: a connection that
        is half-closed before could not be written to any more."""
        if not self.closing:
            self.server.log_client_error(f"client connection closed: {why}")
            self.closing = self.rejected = True
            self._drop_unhandled()
            self._resume_reading()
            self.server.memory.set_incomplete(self, 0)
            self._stop_timer()
            self.server.mark_busy(self)
            reply = Reply(self)
            self.replies.append(reply)
            answer(reply)

    def _linger(self) -> None:
        """Half-close the connection. Closing it with unread bytes would send a reset, and the client would lose the
        error just written. The transport itself waits for data that is not written yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self.at_eof:
            self._close(transport)
            return
        self.server.lingering[self] = None
        end_sending(transport)
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self._on_linger_end, self.server.now())

    def _on_linger_end(self, since: float) -> None:
        """Wait longer while the client keeps sending, since it may read the error only once it has sent everything."""
        self.timer = None
        now = self.server.now()
        if now < min(self.last_active_at + LINGER_S, since + MAX_LINGER_S):
            self.timer = asyncio.get_running_loop().call_later(LINGER_S, self._on_linger_end, since)
        elif self.transport is not None:
            self.transport.abort()

    @property
    def between_requests(self) -> bool:
        """Whether a close loses nothing: no answer is outstanding, and no part of a request was received or is unread."""
        transport = self.transport
        if self.closing or self.replies or self.raw or transport is None or transport.is_closing():
            return False
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def close_between_requests(self) -> None:
        """Close unless that could lose a message; unread requests are answered first. While draining, the connection is
        only half-closed until the client has read its answer: a request sent at the same moment would turn a full close
        into a reset, and the client would lose the answer. That request stays unread, and the client submits it on
        another connection; if it were read and not answered, it would be lost."""
        if self.between_requests and self.transport is not None:
            if self.server.draining:
                self._half_close(self.transport)
            else:
                self._close(self.transport)

    def abort_if_idle(self) -> bool:
        """Free the descriptor at once unless that could lose a message. A client that has not read its answers by now
        has also abandoned the requests after them, so neither is waited for."""
        transport = self.transport
        if transport is None or not (transport.get_write_buffer_size() or self.between_requests):
            return False
        self.closing = True
        transport.abort()
        return True

    def _close(self, transport: asyncio.Transport) -> None:
        """Close once the answers are written. A client that does not read them keeps its descriptor no longer than a
        rejected one."""
        self.closing = True
        self._stop_timer()
        self.server.mark_busy(self)
        transport.close()
        if transport.get_write_buffer_size():
            self.timer = asyncio.get_running_loop().call_later(LINGER_S, transport.abort)

    def _half_close(self, transport: asyncio.Transport) -> None:
        self.closing = True
        self._stop_timer()
        self.server.mark_busy(self)
        transport.pause_reading()
        end_sending(transport)
        self.timer = asyncio.get_running_loop().call_later(LAST_ANSWER_READ_S, transport.abort)

    def end(self) -> None:
        """Stop reading; half-close once every request that was read is answered, even if others are unread."""
        if self.closing or self.lost or self.transport is None:
            return
        self.transport.pause_reading()
        if self.acknowledge_timer is not None:
            self.refuse_unhandled()
        elif not self.replies:
            self._half_close(self.transport)
