"""The RESP2 server that clients talk to: reads commands, answers each in its turn, decides nothing."""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import hiredis

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024
MOST_COMMAND = MOST_BODY + 16 * 1024  # a command with all its framing
LINGER = 1.0  # seconds in which a client that is shut out may still read why
SLICE = 16 * 1024  # bytes parsed at a time: what one command leaves unread stays small


class Rejected(ValueError):
    """A request that cannot be understood; the text goes to the client."""


@dataclass(frozen=True, slots=True)
class Request:
    """A message that a client hands in."""

    ref: str
    klass: str
    dest: int
    key: str | None
    patience_ms: int
    body: bytes


class Reply:
    """The place of one answer in a connection's order."""

    __slots__ = ("_connection", "data")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.data: bytes | None = None

    @property
    def wanted(self) -> bool:
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


def parse_enqueue(words: list[bytes]) -> Request:
    """A request from the words of its command."""
    if len(words) != 5:
        raise Rejected("wrong number of arguments for 'ENQUEUE'")
    values: dict[str, str] = {}
    for part in _text(words[3], 1024, "list").split(","):
        name, equals, value = part.partition("=")
        if not equals:
            raise Rejected(f"'{part[:40]}' is not name=value")
        values[name] = value
    if len(words[4]) > MOST_BODY:
        raise Rejected("body over 64 KiB")
    for name in ("c", "d", "dest"):
        if name not in values:
            raise Rejected(f"'{name}' is missing")
    patience = _whole_number(values["d"], "d")
    if not patience:
        raise Rejected("'d' must be above 0")
    key = values.get("k")
    return Request(
        ref=_header_word(_text(words[2], 200, "id"), "id"),
        klass=values["c"],
        dest=_whole_number(values["dest"], "dest"),
        key=None if key is None else _header_word(key, "k"),
        patience_ms=patience,
        body=words[4],
    )


def _text(word: bytes, most: int, what: str) -> str:
    if not word.isascii() or len(word) > most:
        raise Rejected(f"unreadable {what}")
    return word.decode("ascii")


def _header_word(text: str, what: str) -> str:
    # It goes into an HTTP header unchanged: a space or a control character there would be another header.
    if not text or any(not "!" <= c <= "~" for c in text):
        raise Rejected(f"unreadable {what}")
    return text


def _whole_number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise Rejected(f"'{what}' is no whole number in range")
    return int(text)


class Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.reader = hiredis.Reader(protocolError=Rejected, replyError=Rejected)
        self.partial = 0  # bytes of a command that has not come whole
        self.replies: deque[Reply] = deque()
        self.lost = False
        self.closing = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if len(self.server.connections) >= self.server.most:
            self.fail("too many connections")
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self.server.connections.discard(self)

    # A client that reads nothing must not fill our memory with answers: stop reading its commands.
    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.closing:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        for start in range(0, len(data), SLICE):
            if self.closing:
                return  # shut out: what it still sends is read and thrown away
            self._take(data[start:start + SLICE])
        if self.server.draining and not self.closing:
            self.close_between_requests()

    def _take(self, piece: bytes) -> None:
        if not self.partial and (piece[:1] != b"*" or len(piece) > 2 and piece[2:3] not in b"\r0123456789"):
            self.fail("a command is an array of bulk strings")
            return
        self.partial += len(piece)
        try:
            self.reader.feed(piece)
            while (words := self.reader.gets()) is not False:
                self.partial = len(piece) if self.reader.has_data() else 0
                self._command(words)
        except (Rejected, hiredis.HiredisError, MemoryError) as error:
            self.fail(f"Protocol error: {error}")  # framing is lost: nothing behind it can be read
            return
        if self.partial > MOST_COMMAND:
            self.fail("command too long")

    def _command(self, words: Any) -> None:
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            raise Rejected("a command is an array of bulk strings")
        reply = Reply(self)
        self.replies.append(reply)
        name = words[0].upper()
        try:
            if name == b"ENQUEUE":
                self.server.handler(parse_enqueue(words), reply)
            elif name == b"PING" and len(words) <= 2:
                reply.pong(words[1] if len(words) == 2 else None)
            else:
                raise Rejected(f"unknown command '{words[0][:40].decode('ascii', 'replace')}'")
        except Rejected as error:
            log.info("client request not understood: %s", error)
            reply.error(str(error))

    def send_ready(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        ready = []
        while self.replies and self.replies[0].data is not None:
            ready.append(self.replies.popleft().data or b"")
        if ready and self.transport is not None and not self.lost:
            self.transport.write(b"".join(ready))
        if self.server.draining and not self.closing:
            self.close_between_requests()

    def fail(self, text: str) -> None:
        """An error, and a close: for what can't be read any further."""
        if not self.closing:
            log.info("client connection closed: %s", text)
            self.closing = True
            self.partial = 0
            reply = Reply(self)
            self.replies.append(reply)
            reply.error(text)
            self._linger()

    def _linger(self) -> None:
        """End our side only. A close with its bytes unread would be a reset, and that takes back the error
        that we have just written. The transport itself waits for what is not written yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER, transport.abort)

    def close_between_requests(self) -> None:
        """Close unless an answer is owed or a request has come, in part or unread: closing then would lose
        a message. What is unread is answered first, and the close comes right behind the answer."""
        transport = self.transport
        if self.closing or self.replies or self.partial or transport is None or transport.is_closing():
            return
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not poll.poll(0):
            self.closing = True
            transport.close()


class Server:
    """Listens for clients and bounds their connections."""

    def __init__(self, handler: Handler, most: int) -> None:
        self.handler = handler
        self.most = most
        self.connections: set[Connection] = set()
        self.draining = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen; the address that came of it."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), host, port, backlog=512)
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def drain(self) -> None:
        """Take no new connection, and close the open ones as soon as each is between requests."""
        self.draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_between_requests()
