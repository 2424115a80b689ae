"""The listener for operators' commands: one command and one answer on each connection, however busy the relay is.

A connection without a command stays open for a bounded time; beyond the maximum number the oldest one is closed.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from garnetrelay.config.deployment import Address
from garnetrelay.operators.commands import MAX_LINE_BYTES, CommandHandler, answer

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 6
# In an iteration of the event loop: a connection uses a descriptor for three iterations before this module is called.
ACCEPTS_PER_ITERATION = 1
LINE_TIMEOUT_S = 3.0  # for the complete line
ANSWER_READ_TIMEOUT_S = 2.0


class OperatorConnection(asyncio.Protocol):
    """One connection to the listener."""

    def __init__(self, listener: OperatorListener) -> None:
        self.listener = listener
        self.line = bytearray()
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; the complete line must arrive within ``LINE_TIMEOUT_S``."""
        self.transport = cast(asyncio.Transport, transport)
        self.listener.add(self)
        self.timer = asyncio.get_running_loop().call_later(LINE_TIMEOUT_S, self.end, b"-ERR no whole line in time\n")

    def data_received(self, data: bytes) -> None:
        """Buffers the line, at most ``MAX_LINE_BYTES``, and answers once it is complete."""
        if self.answered:
            return
        self.line += data[: MAX_LINE_BYTES + 1 - len(self.line)]
        line, newline, _ = self.line.partition(b"\n")
        if newline:
            self.end(answer(self.listener.handler, bytes(line)))
        elif len(self.line) > MAX_LINE_BYTES:
            self.end(b"-ERR the line is too long\n")

    def eof_received(self) -> bool:
        """Answers a line without a newline, and keeps this side open to write the answer."""
        if not self.answered:  # the client may end its line by closing its side
            self.end(answer(self.listener.handler, bytes(self.line)))
        return True

    def end(self, data: bytes) -> None:
        """Answers, and closes once the answer is written; aborts if it is not read in time."""
        self.answered = True
        self._stop_timer()
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        self.transport.close()
        self.timer = asyncio.get_running_loop().call_later(ANSWER_READ_TIMEOUT_S, self.transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the connection from the listener."""
        self._stop_timer()
        self.listener.connections.pop(self, None)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class OperatorListener:
    """Listens for operators' connections."""

    def __init__(self, handler: CommandHandler) -> None:
        self.handler = handler
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> int:
        """Listens; the port, also if the address has port 0. OSError if listening fails."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: OperatorConnection(self), address.host, address.port, backlog=ACCEPTS_PER_ITERATION, reuse_port=True
        )
        with self._server.sockets[0].dup() as listening:
            listening.listen(16)  # the kernel's queue may be longer than ACCEPTS_PER_ITERATION
        return int(self._server.sockets[0].getsockname()[1])

    def add(self, connection: OperatorConnection) -> None:
        """Adds a connection; beyond ``MAX_CONNECTIONS`` the oldest one is closed."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            oldest.end(b"-ERR too many callers\n")
            del self.connections[oldest]

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
