"""The listening socket for clients: accepts connections in small batches, and closes without losing a queued one.

A client regards its connection as established once the kernel has queued it. Closing the socket would reset the queued
connections and lose their requests, so the listener ends only once its queue is empty, or passes to another process.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import Callable
from typing import Any

ACCEPT_BATCH = 4  # connections accepted per tick of the loop: each already takes a descriptor
QUEUE_LENGTH = 512  # it may be longer than one accept batch
ACCEPT_TICKS = 3  # ticks from accept to connection_made: a task's first step, then the callbacks that it schedules
EMPTY_QUEUE_CHECKS, EMPTY_QUEUE_CHECK_GAP_S = 5, 0.01  # checks of the listen queue before the listener closes


class Listener:
    """``make_connection`` returns the protocol of an accepted connection; ``on_closed`` is called when it has closed."""

    def __init__(self, make_connection: Callable[[], asyncio.BaseProtocol], on_closed: Callable[[], None]) -> None:
        self.make_connection = make_connection
        self.on_closed = on_closed
        self.ended = False  # nothing more is accepted, also from the queue
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task[Any]] = set()

    async def open(self, host: str, port: int, shared: bool) -> None:
        """Listen on an address. ``shared``: another process may listen on the same one. OSError if that fails."""
        self._server = await asyncio.get_running_loop().create_server(
            self.make_connection, host, port, backlog=ACCEPT_BATCH, reuse_port=shared or None
        )
        self._extend_queue()

    async def open_existing(self, listening: socket.socket) -> None:
        """Listen on a socket that already does."""
        self._server = await asyncio.get_running_loop().create_server(
            self.make_connection, sock=listening, backlog=ACCEPT_BATCH
        )
        self._extend_queue()

    def _extend_queue(self) -> None:
        with self.listening_socket.dup() as listening:
            listening.listen(QUEUE_LENGTH)

    @property
    def listening(self) -> bool:
        """Whether it is open."""
        return self._server is not None and bool(self._server.sockets)

    @property
    def listening_socket(self) -> socket.socket:
        """The listening socket; only while it is open."""
        assert self._server is not None
        return self._server.sockets[0]

    @property
    def address(self) -> tuple[str, int]:
        """The bound address."""
        host, port = self.listening_socket.getsockname()[:2]
        return str(host), int(port)

    async def detach(self) -> socket.socket:
        """Accept no more connections. Returns a copy of the listening socket, whose queue keeps filling; the connections
        accepted so far have been made."""
        assert self._server is not None
        listening = socket.socket(fileno=os.dup(self.listening_socket.fileno()))
        self.stop_accepting()
        for _ in range(ACCEPT_TICKS):
            await asyncio.sleep(0)
        self._server.close()
        return listening

    def stop_accepting(self) -> None:
        """Stop accepting, but leave the asyncio server open: asyncio makes the transport of an accepted socket in a
        later tick, and cannot once its server is closed. Nothing would then answer or close that connection."""
        asyncio.get_running_loop().remove_reader(self.listening_socket.fileno())

    def end(self) -> None:
        """Close without accepting what is queued."""
        self.ended = True
        if self.listening:
            self.stop_accepting()
            self.close_after_ticks(ACCEPT_TICKS)

    def close_when_queue_empty(self, checks: int = EMPTY_QUEUE_CHECKS) -> None:
        """Close once the queue is empty. ``checks``: how many more checks must find it empty, since a client may know of
        its connection before the queue shows it."""
        if not self.listening:
            return
        poll = select.poll()
        poll.register(self.listening_socket.fileno(), select.POLLIN)
        checks = EMPTY_QUEUE_CHECKS if poll.poll(0) else checks - 1
        if checks:
            asyncio.get_running_loop().call_later(EMPTY_QUEUE_CHECK_GAP_S, self.close_when_queue_empty, checks)
            return
        self.stop_accepting()
        self.close_after_ticks(ACCEPT_TICKS)

    def close_after_ticks(self, ticks: int) -> None:
        """Close this many ticks after the last accepted connection."""
        if self._server is None or not self.listening:
            return
        if self._accept_queued():
            ticks = ACCEPT_TICKS
        if ticks:
            asyncio.get_running_loop().call_soon(self.close_after_ticks, ticks - 1)
            return
        self._server.close()
        self.on_closed()

    def _accept_queued(self) -> bool:
        """Accept a batch from the queue; False if it was empty."""
        if self.ended:
            return False
        loop = asyncio.get_running_loop()
        listening = socket.socket(fileno=self.listening_socket.fileno())  # not a duplicate: descriptors may be exhausted
        accepted = False
        try:
            listening.setblocking(False)
            for _ in range(ACCEPT_BATCH):
                connection, _ = listening.accept()
                accepted = True
                task = loop.create_task(loop.connect_accepted_socket(self.make_connection, connection))
                self._accepting.add(task)
                task.add_done_callback(self._accepting.discard)
        except OSError:
            pass  # the queue is empty
        finally:
            listening.detach()
        return accepted
