"""The RESP2 server for clients: its listener, its connections and the limits on all of them together."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from garnetrelay.fronts.resp.client_error_log import ClientErrorLog
from garnetrelay.fronts.resp.command_queue import CommandQueue
from garnetrelay.fronts.resp.connection import LINGER_S, MAX_READ_BYTES, Connection, Handler
from garnetrelay.fronts.resp.listener import Listener
from garnetrelay.fronts.resp.request_memory import RequestMemory

log = logging.getLogger(__name__)

MIN_IDLE_S = 2.0  # a connection without an open request for this long may be closed in favour of a new one
MIN_IDLE_WITHOUT_COMMAND_S = 0.1  # the same before the first command: usual clients send one as soon as they connect
MAX_REJECTED_CONNECTIONS = 16  # connections over the limit that stay open until the client has read the rejection


class Server:
    """Listens for clients and limits their connections and memory. ``remaining_capacity`` returns how many more may be
    opened; ``free_descriptor`` closes an idle connection to a host and returns False if there is none to close.
    ``request_bytes``: limit of the requests that are incomplete or not answered, over all connections."""

    def __init__(
        self,
        handler: Handler,
        remaining_capacity: Callable[[], int],
        free_descriptor: Callable[[], bool],
        request_bytes: int,
    ) -> None:
        self.handler = handler
        self.remaining_capacity = remaining_capacity
        self.free_descriptor = free_descriptor
        self.memory: RequestMemory[Connection] = RequestMemory(request_bytes)
        self.connections: set[Connection] = set()
        self.idle: dict[Connection, None] = {}  # without an open request, the longest idle first
        self.without_command: dict[Connection, None] = {}  # the same, before their first command
        self.lingering: dict[Connection, None] = {}  # rejected clients that may still read why, oldest first
        self.draining = False
        self.ended = False  # the server reads nothing more
        self.on_closed: Callable[[], None] | None = None  # called when a connection or the listener has closed
        self.now: Callable[[], float] = asyncio.get_running_loop().time
        self.command_queue = CommandQueue(asyncio.get_running_loop().call_soon)
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._client_errors = ClientErrorLog(log)
        self.listener = Listener(lambda: Connection(self), self._report_closed)

    async def start(self, host: str, port: int, shared: bool = False) -> tuple[str, int]:
        """Start listening; returns the bound address. ``shared``: another process may listen on the same address."""
        await self.listener.open(host, port, shared)
        return self._on_listening()

    async def listen(self, listening: socket.socket) -> tuple[str, int]:
        """The same on an existing listening socket."""
        await self.listener.open_existing(listening)
        return self._on_listening()

    def _on_listening(self) -> tuple[str, int]:
        if self.draining:  # drain() was called before there was a listener
            self.listener.close_when_queue_empty()
        return self.listener.address

    def connections_to_hand_over(self) -> list[Connection]:
        """The connections that can be handed over to another process. The others close once their answers are written."""
        for connection in list(self.connections):
            if not connection.can_hand_over:
                connection.close_between_requests()
        return [connection for connection in self.connections if connection.can_hand_over]

    def close_after_handover(self) -> None:
        """Close the connections that were not handed over; what was not handled of them is refused."""
        for connection in list(self.connections):
            if not connection.closing:
                connection.refuse_unhandled()

    async def adopt(self, sock: socket.socket, raw: bytes, has_sent_command: bool) -> None:
        """Take over a connection from another process."""
        await asyncio.get_running_loop().connect_accepted_socket(lambda: Connection(self, (raw, has_sent_command)), sock)

    def drain(self) -> None:
        """Stop accepting once the listen queue is empty; close each open connection as soon as it is between requests."""
        self.draining = True
        self.listener.close_when_queue_empty()
        for connection in list(self.connections):
            connection.close_between_requests()

    def end(self) -> None:
        """Called just before the process ends: stop reading and accepting, and let clients read their answers."""
        self.command_queue.run_all()
        self.ended = True
        self.listener.end()
        for connection in list(self.connections):
            connection.end()

    def _report_closed(self) -> None:
        """A connection or the listener has closed."""
        if self.on_closed is not None:
            self.on_closed()

    def admit(self) -> bool | None:
        """Whether one more connection may be opened. None: there is no descriptor even for sending a rejection."""
        if self.remaining_capacity() > 0 or self.close_longest_idle() or self.free_descriptor():
            return True
        return False if self.remaining_capacity() > -MAX_REJECTED_CONNECTIONS else None

    @property
    def rejected_count(self) -> int:
        """Connections over the limit: they use descriptors reserved for them, not the share of clients or hosts."""
        return min(len(self.lingering), MAX_REJECTED_CONNECTIONS)

    def close_longest_idle(self) -> bool:
        """Free a descriptor by closing a rejected connection whose client has had time to read the rejection, one without
        a first command, or one without an open request for long; its client opens another when it needs one."""
        for connection in self.lingering:
            if connection.transport is not None and self.now() >= connection.last_active_at + LINGER_S / 4:
                connection.transport.abort()
                self.untrack(connection)
                return True
        for connections, min_idle_s in ((self.without_command, MIN_IDLE_WITHOUT_COMMAND_S), (self.idle, MIN_IDLE_S)):
            for connection in connections:
                if self.now() < connection.last_active_at + min_idle_s:
                    break
                if connection.abort_if_idle():
                    self.connections.discard(connection)
                    return True
        return False

    def limit_request_memory(self) -> None:
        """Reject clients whose commands are incomplete until the requests in memory fit."""
        while (connection := self.memory.largest_incomplete()) is not None:
            connection.make_room()

    @property
    def connection_counts(self) -> str:
        """How many connections are in which state, for the log."""
        return (
            f"{len(self.connections)}, of them {len(self.idle)} idle, {len(self.without_command)} without "
            f"a command yet, {len(self.lingering)} rejected"
        )

    def mark_busy(self, connection: Connection) -> None:
        """Exclude a connection from those that may be closed in favour of another."""
        self.idle.pop(connection, None)
        self.without_command.pop(connection, None)

    def untrack(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.memory.set_incomplete(connection, 0)
        self.mark_busy(connection)
        self.lingering.pop(connection, None)
        self._report_closed()

    def log_client_error(self, text: str) -> None:
        """Log a client's error, at a limited rate."""
        self._client_errors.add(self.now(), text)
