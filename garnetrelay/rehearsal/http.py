"""A small HTTP/1.1 server on loopback for the rehearsal, the tests and the benchmarks.

Each complete request is passed to a handler, which may write any answer, well formed or not. ``httptools`` parses the
requests; a request that can't be parsed ends its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from garnetrelay.rehearsal.clock import ACCEPT_ITERATIONS, Clock

MAX_BODY_BYTES = 1 << 20
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_heads = {status: f"HTTP/1.1 {status} {reason}\r\n".encode() for status, reason in REASONS.items()}


class Call:
    """A request that was received completely, and its connection."""

    __slots__ = ("connection", "method", "target", "headers", "body", "first", "came", "number")

    def __init__(
        self, connection: Connection, method: str, target: str, headers: dict[str, str], body: bytes, first: int
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers  # names in lower case
        self.body = body
        self.first = first  # its first byte arrived after this time of the run
        self.came = 0  # when it was complete; set by the handler, like the number
        self.number = 0

    def answer(self, status: int, *headers: str, body: bytes = b"") -> None:
        """Write a complete answer; headers as ``Name: value``."""
        self.raw(self.encode_answer(status, *headers, body=body))

    @staticmethod
    def encode_answer(status: int, *headers: str, body: bytes = b"") -> bytes:
        """The bytes of a complete answer; headers as ``Name: value``."""
        head = _heads.get(status) or b"HTTP/1.1 %d Whatever\r\n" % status
        header_lines = "".join(f"{header}\r\n" for header in headers).encode("latin-1")
        length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
        return head + length + header_lines + b"\r\n" + body

    def raw(self, data: bytes) -> None:
        """Write any bytes instead of an answer."""
        if self.connection.transport is not None:
            self.connection.transport.write(data)

    def break_off(self) -> None:
        """Reset the connection."""
        self.connection.broken_off = True
        if self.connection.transport is not None:
            self.connection.transport.abort()

    def close(self) -> None:
        """Close the connection once all data is written."""
        self.connection.broken_off = True
        if self.connection.transport is not None:
            self.connection.transport.close()


class Connection(asyncio.Protocol):
    """A connection of a client to the server."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = None
        self.port = 0
        self.accepted_since = self.accepted_iteration = 0
        self.last: Call | None = None
        self.broken_off = False  # by this side
        self.turned_away = False  # the handler has too many connections
        self.lost = False
        self._first: int | None = None
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop for a new connection."""
        self.transport = cast(asyncio.Transport, transport)
        # Its first data may have arrived before it was accepted, some iterations of the loop ago.
        self.accepted_since, self.accepted_iteration = self.server.clock.poll_times[0], self.server.clock.iterations
        self.port = int(transport.get_extra_info("peername")[1])
        self.parser = httptools.HttpRequestParser(self)
        self.server.connections.add(self)
        self.server.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the loop at the end of the connection, whichever side ended it."""
        self.lost = True
        self.parser = None
        self.server.connections.discard(self)
        self.server.closed(self)

    def not_before(self, since: int) -> int:
        """The earliest time at which data that is read now may have arrived."""
        return (
            since
            if self.server.clock.iterations - self.accepted_iteration > ACCEPT_ITERATIONS
            else min(since, self.accepted_since)
        )

    def data_received(self, data: bytes) -> None:
        """Feed the parser; data that is not HTTP ends the connection."""
        if self.parser is None or self.broken_off:
            return
        if self._first is None:
            self._first = self.not_before(self.server.clock.since)
            if not self.server.first_bytes(self):
                return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken_off = True
            if self.transport is not None:
                self.transport.abort()

    # ---- the parser calls these

    def on_url(self, url: bytes) -> None:
        """Called by the parser: a part of the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser: one header; a later one of the same name wins."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Called by the parser: a part of the body. Raises ValueError, which ends parsing, above ``MAX_BODY_BYTES``."""
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            raise ValueError("body too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser: the request is complete and is passed to the server."""
        assert self.parser is not None
        first = self.server.clock.since if self._first is None else self._first
        call = Call(
            self,
            self.parser.get_method().decode(),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            first,
        )
        self._first, self._target, self._headers, self._body, self._size = None, b"", {}, [], 0
        self.last = call
        self.server.request(call)


class HttpServer:
    """Listens on a loopback port that the kernel picks, and passes requests to ``handler``.

    Subclasses may override ``opened``, ``closed`` and ``first_bytes``.
    """

    def __init__(self, handler: Callable[[Call], None], clock: Clock | None = None) -> None:
        self.handler = handler
        self.clock = clock or Clock()
        self.connections: set[Connection] = set()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0, backlog: int = 512) -> None:
        """Listen, and set ``address`` as host:port. OSError if that fails."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), host, port, backlog=backlog
        )
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def request(self, call: Call) -> None:
        """Called for each complete request."""
        self.handler(call)

    def opened(self, connection: Connection) -> None:
        """Called for each new connection."""

    def closed(self, connection: Connection) -> None:
        """Called when a connection has ended."""

    def first_bytes(self, connection: Connection) -> bool:
        """Called when a request begins. Returns whether to read it."""
        return True
