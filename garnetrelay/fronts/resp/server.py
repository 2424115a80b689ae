"""The RESP2 server that clients talk to: reads commands, answers each in its turn, decides nothing."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import hiredis

from garnetrelay.fronts.resp.requests import MOST_BODY, RejectedError, parse_enqueue
from garnetrelay.fronts.resp.requests import Request as Request

log = logging.getLogger(__name__)

MOST_COMMAND = MOST_BODY + 16 * 1024  # a command with all its framing
MOST_OPEN = 64  # commands of one connection without an answer: usual clients have one
COMMAND_TIMEOUT_S = 2.0  # seconds for a connection's first command, or for any to come whole once it has begun
MIN_IDLE_S = 2.0  # seconds without an open request after which a connection may make room for another
MIN_IDLE_WITHOUT_COMMAND_S = (
    0.1  # the same for one that has never asked: usual clients ask as soon as they have connected
)
LINGER_S = 1.0  # seconds without a byte in which a client that is shut out may still read why
LONGEST_LINGER = 5.0  # for one that goes on sending what nobody reads
ACCEPTED_AT_ONCE = 4  # connections taken up in a round of the loop: each is a descriptor already
MOST_TOLD = 16  # connections kept beyond the room there is, until they have read that there is none
LAST_READ = 0.25  # seconds in which a client reads its last answer: it waits 0.4 for one at most
QUIET_LOOKS, QUIET_PAUSE = 5, 0.01  # at a queue of connections, seconds apart, ahead of its end
ROUNDS = 3  # of the loop, from taking a connection up until it is made: a task's first step, then what that calls soon
LAST_DATA = struct.Struct("=52xI")  # of TCP_INFO: milliseconds since the kernel took in the last data
COMPLAINTS = 10  # log lines a second about what clients send
SLICE = 16 * 1024  # bytes parsed at a time: what one command leaves unread stays small


class Reply:
    """The place of one answer in a connection's order."""

    __slots__ = ("_connection", "data")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.data: bytes | None = None

    @property
    def client_connected(self) -> bool:
        """Whether its client is still there to hear it."""
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
        self._connection.send_ready()


Handler = Callable[[Request, Reply], None]


class Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: Server, passed: tuple[bytes, bool] | None = None) -> None:
        self.server = server
        self.passed = passed  # from another process: what had come of a command, and whether it has ever asked
        self.has_sent_command = passed is not None and passed[1]
        self.reader = hiredis.Reader(protocolError=RejectedError, replyError=RejectedError)
        self.raw = bytearray()  # of a command that has not come whole
        self.replies: deque[Reply] = deque()
        self.lost = False
        self.closing = False
        self.at_end = False  # the client sends nothing more
        self.heard_at = 0.0  # when the last byte came, or the last request was answered
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.heard_at = self.server.now()
        if self.passed is not None:
            self._go_on(*self.passed)
            return
        admitted = self.server.admit()
        self.server.connections.add(self)
        if self.server.ended:  # it was taken up just as the end came
            self.end()
            return
        if admitted is None:
            self.transport.abort()
        elif not admitted:
            # Not an error: the request that is on its way has failed for good behind one.
            self._shut(lambda reply: reply.busy(0), f"too many connections: {self.server.counts}")
        else:
            self.server.without_command[self] = None
            self._expect_command()

    def _go_on(self, raw: bytes, asked: bool) -> None:
        """Where the other process left it: it was admitted there."""
        self.server.connections.add(self)
        (self.server.idle if asked else self.server.without_command)[self] = None
        if raw or not asked:
            self._expect_command()
        if raw:
            self.data_received(raw)

    @property
    def can_hand_over(self) -> bool:
        """Whether another process can read on from here: no answer is owed or on its way."""
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
        """Another process has the connection: close it here without a word."""
        self.closing = True
        self._stop_timer()
        self.server.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self._stop_timer()
        self.server.forget(self)

    def eof_received(self) -> bool:
        """The client sends nothing more. It may read on: what is owed to it is written before we close too."""
        self.at_end = True
        self._stop_timer()
        if self.replies and not self.closing:
            return True
        if self.transport is not None:
            self._close(self.transport)
        return False

    def _expect_command(self) -> None:
        """A connection that says nothing, half of a command, or a byte now and then, is not kept: the time
        runs from its beginning."""
        self.timer = asyncio.get_running_loop().call_later(COMMAND_TIMEOUT_S, self._overdue)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _overdue(self) -> None:
        self.timer = None
        if self.replies:  # it reads its answers so slowly that we do not read it: a request is open
            self._expect_command()
        else:
            self.fail("no whole command in time")

    # A client that reads nothing must not fill our memory with answers: stop reading its commands.
    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.closing and not self.server.ended:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self.heard_at = self.server.now()
        for start in range(0, len(data), SLICE):
            if self.closing:
                return  # shut out: what it still sends is read and thrown away
            self._take(data[start : start + SLICE])
        if self.server.draining and not self.closing:
            self.close_between_requests()

    def _take(self, piece: bytes) -> None:
        if not self.raw and (piece[:1] != b"*" or len(piece) > 2 and piece[2:3] not in b"\r0123456789"):
            self.fail("a command is an array of bulk strings")
            return
        self.raw += piece
        try:
            self.reader.feed(piece)
            while (words := self.reader.gets()) is not False:
                self._command(words)
                if self.closing:
                    return
        except (RejectedError, hiredis.HiredisError, MemoryError) as error:
            self.fail(f"Protocol error: {error}")  # framing is lost: nothing behind it can be read
            return
        if len(self.raw) > MOST_COMMAND:
            self.fail("command too long")
        elif self.raw and self.timer is None:
            self._expect_command()

    def _command(self, words: Any) -> None:
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            raise RejectedError("a command is an array of bulk strings")
        # The parser takes any two bytes for a line's end. Behind a wrong length the message would be taken on
        # with half of its body, so what came must be just what these words are written as.
        written = hiredis.pack_command(tuple(words))
        if not self.raw.startswith(written):
            raise RejectedError("a length is wrong")
        del self.raw[: len(written)]
        self._stop_timer()
        self.has_sent_command = True
        self.server.busy(self)
        reply = Reply(self)
        self.replies.append(reply)
        name = words[0].upper()
        try:
            if name == b"ENQUEUE":
                request = parse_enqueue(words)
                request.patience_ms -= self._unread_ms()
                if len(self.replies) > MOST_OPEN:
                    reply.busy(0)
                else:
                    self.server.handler(request, reply)
            elif name == b"PING" and len(words) <= 2:
                reply.pong(words[1] if len(words) == 2 else None)
            else:
                raise RejectedError(f"unknown command '{words[0][:40].decode('ascii', 'replace')}'")
        except RejectedError as error:
            self.server.complain(f"client request not understood: {error}")
            reply.error(str(error))

    def _unread_ms(self) -> int:
        """How long the command has lain in the kernel: its time has run meanwhile. On a spent core, or behind
        others that wait to be accepted, that is more than there is room for behind the deadline."""
        if self.transport is None:
            return 0
        info = self.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA.size)
        return int(LAST_DATA.unpack(info)[0])

    def send_ready(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        ready = []
        while self.replies and self.replies[0].data is not None:
            ready.append(self.replies.popleft().data or b"")
        if ready and self.transport is not None and not self.lost:
            self.transport.write(b"".join(ready))
        if not self.replies and not self.closing and not self.lost:
            self.heard_at = self.server.now()
            self.server.idle.pop(self, None)  # to the end: it has been idle for the shortest time
            self.server.idle[self] = None
        if self.server.ended:
            self.end()
        elif self.at_end and not self.replies and not self.closing and self.transport is not None:
            self._close(self.transport)
        elif self.server.draining and not self.closing:
            self.close_between_requests()

    def fail(self, text: str) -> None:
        """An error, and a close: for what can't be read any further."""
        self._shut(lambda reply: reply.error(text), text)

    def _shut(self, answer: Callable[[Reply], None], why: str) -> None:
        if not self.closing:
            self.server.complain(f"client connection closed: {why}")
            self.closing = True
            self.raw.clear()
            self._stop_timer()
            self.server.busy(self)
            self.server.lingering[self] = None
            reply = Reply(self)
            self.replies.append(reply)
            answer(reply)
            self._linger()

    def _linger(self) -> None:
        """End our side only. A close with its bytes unread would be a reset, and that takes back the error
        that we have just written. The transport itself waits for what is not written yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self._lingered, self.server.now())

    def _lingered(self, since: float) -> None:
        """One that is still sending at full speed reads the error only once it has sent all."""
        self.timer = None
        now = self.server.now()
        if now < min(self.heard_at + LINGER_S, since + LONGEST_LINGER):
            self.timer = asyncio.get_running_loop().call_later(LINGER_S, self._lingered, since)
        elif self.transport is not None:
            self.transport.abort()

    @property
    def between_requests(self) -> bool:
        """No answer is owed, and no request has come, in part or unread: a close loses nothing."""
        transport = self.transport
        if self.closing or self.replies or self.raw or transport is None or transport.is_closing():
            return False
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def close_between_requests(self) -> None:
        """Close unless a message would be lost by it. What is unread is answered first. A draining relay's close comes
        right behind an answer, perhaps: a request that crosses it would make a reset of it, which takes back the answer.
        So only our side ends, until the client has read that. What crossed stays unread, and the client hands it in on
        another connection: one that was read and not answered would be lost."""
        if self.between_requests and self.transport is not None:
            if self.server.draining:
                self._end_our_side(self.transport)
            else:
                self._close(self.transport)

    def make_room(self) -> bool:
        """Give up the descriptor at once, unless a message would be lost by it. A client that has not read its answers
        by now has given up what it sends behind them, too: neither is waited for."""
        transport = self.transport
        if transport is None or not (transport.get_write_buffer_size() or self.between_requests):
            return False
        self.closing = True
        transport.abort()
        return True

    def _close(self, transport: asyncio.Transport) -> None:
        """Close, once what was answered is written: a client that reads nothing keeps its descriptor for no longer
        than one that is shut out."""
        self.closing = True
        self._stop_timer()
        self.server.busy(self)
        transport.close()
        if transport.get_write_buffer_size():
            self.timer = asyncio.get_running_loop().call_later(LINGER_S, transport.abort)

    def _end_our_side(self, transport: asyncio.Transport) -> None:
        self.closing = True
        self._stop_timer()
        self.server.busy(self)
        transport.pause_reading()
        if transport.can_write_eof():
            transport.write_eof()
        self.timer = asyncio.get_running_loop().call_later(LAST_READ, transport.abort)

    def end(self) -> None:
        """Read nothing more; once all is answered that was read, end our side, whatever lies unread."""
        if self.closing or self.lost or self.transport is None:
            return
        self.transport.pause_reading()
        if not self.replies:
            self._end_our_side(self.transport)


class Server:
    """Listens for clients and bounds their connections: ``remaining_capacity`` says how many more there may be now, and
    ``free_descriptor`` frees a descriptor elsewhere, where one can be had."""

    def __init__(
        self, handler: Handler, remaining_capacity: Callable[[], int], free_descriptor: Callable[[], bool]
    ) -> None:
        self.handler = handler
        self.remaining_capacity = remaining_capacity
        self.free_descriptor = free_descriptor
        self.connections: set[Connection] = set()
        self.idle: dict[Connection, None] = {}  # without an open request, longest first
        self.without_command: dict[Connection, None] = {}  # the same, of those that have never asked
        self.lingering: dict[Connection, None] = {}  # told that they are shut out, longest first
        self.draining = False
        self.ended = False  # nothing more is read
        self.on_closed: Callable[[], None] | None = None  # hears of a connection's end, and of the listener's
        self.now: Callable[[], float] = asyncio.get_running_loop().time
        self._complaints: deque[float] = deque(maxlen=COMPLAINTS)
        self._unsaid = 0
        self._server: asyncio.Server | None = None
        self._taking_up: set[asyncio.Task[Any]] = set()

    async def start(self, host: str, port: int, shared: bool = False) -> tuple[str, int]:
        """Listen; the address that came of it. ``shared``: another process may listen there too."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=ACCEPTED_AT_ONCE, reuse_port=shared or None
        )
        return self._listening()

    async def listen(self, found: socket.socket) -> tuple[str, int]:
        """The same on a listener that is there."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), sock=found, backlog=ACCEPTED_AT_ONCE
        )
        return self._listening()

    async def stop_listening(self) -> socket.socket:
        """Take up no more connections; the listener, on which they go on coming. Those taken up are ``connections``."""
        assert self._server is not None
        found = socket.socket(fileno=os.dup(self._server.sockets[0].fileno()))
        self._take_up_no_more()
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
        self._server.close()
        return found

    def _take_up_no_more(self) -> None:
        """asyncio makes a connection of what was taken up in a later round, and can't once its server is closed: nobody
        would answer it, nor close it."""
        assert self._server is not None
        asyncio.get_running_loop().remove_reader(self._server.sockets[0].fileno())

    def connections_to_hand_over(self) -> list[Connection]:
        """Connections that can pass to another process. Others close once what is owed there is written."""
        for connection in list(self.connections):
            if not connection.can_hand_over:
                connection.close_between_requests()
        return [connection for connection in self.connections if connection.can_hand_over]

    async def adopt(self, found: socket.socket, raw: bytes, asked: bool) -> None:
        """A connection that passed from another process."""
        await asyncio.get_running_loop().connect_accepted_socket(lambda: Connection(self, (raw, asked)), found)

    def _listening(self) -> tuple[str, int]:
        assert self._server is not None
        with self._server.sockets[0].dup() as listening:
            listening.listen(512)  # more may wait than are taken up at once
        name = self._server.sockets[0].getsockname()
        if self.draining:  # it was told to before there was a listener
            self._stop_once_empty(QUIET_LOOKS)
        return str(name[0]), int(name[1])

    def drain(self) -> None:
        """Take no new connection, and close the open ones as soon as each is between requests."""
        self.draining = True
        self._stop_once_empty(QUIET_LOOKS)
        for connection in list(self.connections):
            connection.close_between_requests()

    def end(self) -> None:
        """The process ends in a moment: read nothing more, take no connection, and let what is answered be read."""
        self.ended = True
        if self.listening:
            self._take_up_no_more()
            self._close_in(ROUNDS)
        for connection in list(self.connections):
            connection.end()

    def _stop_once_empty(self, looks: int) -> None:
        """Those that wait in the listener's queue would be reset with it, and what they ask with them. ``looks``: so many
        more have to find none, as a client may know of its connection before the queue does."""
        if self._server is None or not self._server.sockets:
            return
        poll = select.poll()
        poll.register(self._server.sockets[0].fileno(), select.POLLIN)
        looks = QUIET_LOOKS if poll.poll(0) else looks - 1
        if looks:
            asyncio.get_running_loop().call_later(QUIET_PAUSE, self._stop_once_empty, looks)
            return
        self._take_up_no_more()
        self._close_in(ROUNDS)

    def _close_in(self, rounds: int) -> None:
        """Close the listener so many rounds behind the last that came."""
        if self._server is None or not self._server.sockets:
            return
        loop = asyncio.get_running_loop()
        listening = socket.socket(fileno=self._server.sockets[0].fileno())  # no copy: descriptors may be short
        try:
            listening.setblocking(False)
            for _ in range(0 if self.ended else ACCEPTED_AT_ONCE):
                found, _ = listening.accept()
                task = loop.create_task(loop.connect_accepted_socket(lambda: Connection(self), found))
                self._taking_up.add(task)
                task.add_done_callback(self._taking_up.discard)
                rounds = ROUNDS
        except OSError:
            pass  # none waits
        finally:
            listening.detach()
        if rounds:
            loop.call_soon(self._close_in, rounds - 1)
            return
        self._server.close()
        if self.on_closed is not None:
            self.on_closed()

    @property
    def listening(self) -> bool:
        return self._server is not None and bool(self._server.sockets)

    def admit(self) -> bool | None:
        """Whether there is room for one more connection. None: not even to tell it that there is none."""
        if self.remaining_capacity() > 0 or self.close_longest_idle() or self.free_descriptor():
            return True
        return False if self.remaining_capacity() > -MOST_TOLD else None

    @property
    def rejected_count(self) -> int:
        """Connections beyond the room: they hold the descriptors that are kept for them, and take nobody's part."""
        return min(len(self.lingering), MOST_TOLD)

    def close_longest_idle(self) -> bool:
        """Make room: by one that is shut out and has been told, by one that never asked, or by one that has
        had no request open for long. Its client opens another when it needs one."""
        for connection in self.lingering:
            if connection.transport is not None and self.now() >= connection.heard_at + LINGER_S / 4:
                connection.transport.abort()
                self.forget(connection)
                return True
        for waiting, time in ((self.without_command, MIN_IDLE_WITHOUT_COMMAND_S), (self.idle, MIN_IDLE_S)):
            for connection in waiting:
                if self.now() < connection.heard_at + time:
                    break
                if connection.make_room():
                    self.connections.discard(connection)
                    return True
        return False

    @property
    def counts(self) -> str:
        """Who holds the descriptors, for the log."""
        return (
            f"{len(self.connections)}, of them {len(self.idle)} idle, {len(self.without_command)} have never "
            f"asked, {len(self.lingering)} are shut out"
        )

    def busy(self, connection: Connection) -> None:
        """It does not make room for another."""
        self.idle.pop(connection, None)
        self.without_command.pop(connection, None)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.busy(connection)
        self.lingering.pop(connection, None)
        if self.on_closed is not None:
            self.on_closed()

    def complain(self, text: str) -> None:
        """Log what a client did, but not each time: one that sends nonsense at full speed fills no log."""
        now = self.now()
        if len(self._complaints) == COMPLAINTS and self._complaints[0] > now - 1:
            self._unsaid += 1
            return
        if self._unsaid:
            text += f" ({self._unsaid} more like this unsaid)"
            self._unsaid = 0
        self._complaints.append(now)
        log.info("%s", text)
