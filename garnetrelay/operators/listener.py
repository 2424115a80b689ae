"""The listener that staff call: one line a connection, one answer, however busy the relay is.

Callers that say nothing hold a place for a bounded time, and give it up to the next as soon as places are short.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from garnetrelay.config.deployment import Address
from garnetrelay.operators.commands import MOST_LINE, CommandHandler, answer

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 6
TAKEN_UP_AT_ONCE = 1  # in a round of the loop: each is a descriptor for three rounds before it is looked at
LINE_TIME = 3.0  # seconds for the whole line
ANSWER_TIME = 2.0  # seconds for a connection to read its answer


class OperatorConnection(asyncio.Protocol):
    """One connection."""

    def __init__(self, listener: OperatorListener) -> None:
        self.listener = listener
        self.line = bytearray()
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place among the callers; the whole line is due within ``LINE_TIME``."""
        self.transport = cast(asyncio.Transport, transport)
        self.listener.add(self)
        self.timer = asyncio.get_running_loop().call_later(LINE_TIME, self.end, b"-ERR no whole line in time\n")

    def data_received(self, data: bytes) -> None:
        """Gather the line, at most ``MOST_LINE`` bytes, and answer once it is whole."""
        if self.answered:
            return
        self.line += data[: MOST_LINE + 1 - len(self.line)]
        line, newline, _ = self.line.partition(b"\n")
        if newline:
            self.end(answer(self.listener.service, bytes(line)))
        elif len(self.line) > MOST_LINE:
            self.end(b"-ERR the line is too long\n")

    def eof_received(self) -> bool:
        """Answer a last line that came without its newline, and keep our side open to write it."""
        if not self.answered:  # a last line may come without its end
            self.end(answer(self.listener.service, bytes(self.line)))
        return True

    def end(self, data: bytes) -> None:
        """Answer, and close once that is written; a connection that does not read it is cut off."""
        self.answered = True
        self._stop_timer()
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        self.transport.close()
        self.timer = asyncio.get_running_loop().call_later(ANSWER_TIME, self.transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        """Give up the place."""
        self._stop_timer()
        self.listener.connections.pop(self, None)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class OperatorListener:
    """Listens where staff call."""

    def __init__(self, service: CommandHandler) -> None:
        self.service = service
        self.connections: dict[OperatorConnection, None] = {}  # longest first
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> int:
        """Listen; the port that came of it. OSError where that can't be."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: OperatorConnection(self), address.host, address.port, backlog=TAKEN_UP_AT_ONCE, reuse_port=True
        )
        with self._server.sockets[0].dup() as listening:
            listening.listen(16)  # more may wait than are taken up at once
        return int(self._server.sockets[0].getsockname()[1])

    def add(self, connection: OperatorConnection) -> None:
        """A connection has come: the one that has been silent for the longest gives way where places are short."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            oldest.end(b"-ERR too many callers\n")
            del self.connections[oldest]

    def close(self) -> None:
        """Stop listening and cut off whoever still waits for an answer."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
