"""Simulated network between real relays, for UDP and TCP.

Each relay listens on its inner address and advertises an outer address, at which this network listens:

    a (127.N.2.1) -> outer address of b (127.N.1.2), here -> [rules of the link a -> b] -> inner address of b (127.N.2.2)

The sender is identified by the inner address that it sends from; b receives from a's outer address. The rules of links
are in `simulation/links.py`; this module has the sockets.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Sequence

from garnetrelay.simulation.links import Links

MAX_NETWORK_ATTEMPTS = 50
CHUNK_BYTES = 65536
MAX_DATAGRAM_BYTES = 65536
TCP_RETRANSMIT_S = 0.2  # delay of a lost chunk of a connection
MAX_DATAGRAMS_IN_FLIGHT = 20_000


class Network:
    """Outer and inner addresses of named relays, and the traffic between them."""

    def __init__(self, names: Sequence[str], links: Links) -> None:
        self.links = links
        self.names = list(names)
        self.counters: Counter[str] = Counter()
        self.port = 0
        self._octet = 0
        self._sockets: dict[str, socket.socket] = {}
        self._servers: list[asyncio.Server] = []
        self._by_inner: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._streams: dict[asyncio.StreamWriter, tuple[str, str]] = {}
        self._in_flight = 0

    def outer(self, name: str) -> str:
        """The address at which the other relays reach a relay."""
        return f"{self._host(1, name)}:{self.port}"

    def inner(self, name: str) -> str:
        """The address at which a relay listens."""
        return f"{self._host(2, name)}:{self.port}"

    def _host(self, third: int, name: str) -> str:
        index = self.names.index(name) + 1
        return f"127.{self._octet}.{third + 10 * (index >> 8)}.{index & 255}"

    async def start(self) -> None:
        """Bind to an unused loopback network; OSError if none is free."""
        for remaining in reversed(range(MAX_NETWORK_ATTEMPTS)):
            self._octet, self.port = random.randint(16, 250), random.randint(20_000, 30_000)
            try:
                await self._bind()
            except OSError:
                self.stop()
                if not remaining:
                    raise
            else:
                return

    async def _bind(self) -> None:
        loop = asyncio.get_running_loop()
        self._by_inner = {self._host(2, name): name for name in self.names}
        for name in self.names:
            udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sockets[name] = udp_socket
            udp_socket.setblocking(False)
            udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            udp_socket.bind((self._host(1, name), self.port))
            loop.add_reader(udp_socket, self._readable, name, udp_socket)
            self._servers.append(
                await asyncio.start_server(
                    lambda reader, writer, name=name: self._accepted(name, reader, writer),  # type: ignore[misc]
                    self._host(1, name),
                    self.port,
                )
            )

    def stop(self) -> None:
        """Close the sockets; traffic in flight is lost."""
        loop = asyncio.get_running_loop()
        for udp_socket in self._sockets.values():
            loop.remove_reader(udp_socket)
            udp_socket.close()
        self._sockets.clear()
        for server in self._servers:
            server.close()
        self._servers.clear()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._streams):
            writer.transport.abort()

    def changed(self) -> None:
        """Apply changed rules: abort the connections over links that are cut now."""
        for writer, (first, second) in list(self._streams.items()):
            if not self.links.connects(first, second):
                writer.transport.abort()

    # ---- datagrams

    def _readable(self, receiver: str, udp_socket: socket.socket) -> None:
        for _ in range(64):
            try:
                data, source = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            sender = self._by_inner.get(source[0])
            if sender is None:
                self.counters["unknown senders"] += 1
                continue
            self.counters["datagrams"] += 1
            copies = self.links.transmit(sender, receiver, data)
            self.counters["lost"] += not copies
            for delay, arrived in copies:
                if self._in_flight >= MAX_DATAGRAMS_IN_FLIGHT:
                    self.counters["over in-flight limit"] += 1
                    continue
                self._in_flight += 1
                asyncio.get_running_loop().call_later(delay, self._deliver, sender, receiver, arrived)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        self._in_flight -= 1
        udp_socket = self._sockets.get(sender)
        if udp_socket is None:
            return
        try:
            udp_socket.sendto(data, (self._host(2, receiver), self.port))
        except OSError:  # no listener: the datagram is lost, as on a real network
            self.counters["no listener"] += 1

    # ---- connections

    async def _accepted(self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sender = self._by_inner.get(writer.get_extra_info("peername")[0])
        if sender is None or not self.links.connects(sender, receiver):
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host(2, receiver), self.port, local_addr=(self._host(1, sender), 0)
            )
        except OSError:
            writer.transport.abort()
            return
        self.counters["connections"] += 1
        for stream in (writer, far_writer):
            self._streams[stream] = (sender, receiver)
        for coroutine in (
            self._pipe(sender, receiver, reader, far_writer),
            self._pipe(receiver, sender, far_reader, writer),
        ):
            task = asyncio.get_running_loop().create_task(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pipe(self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward chunks in one direction and in order, each with its delay. A loss adds a delay; a cut ends the pipe."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                copies = self.links.transmit(sender, receiver, chunk)
                while not copies:
                    if not self.links.connects(sender, receiver):
                        return
                    await asyncio.sleep(TCP_RETRANSMIT_S)
                    copies = self.links.transmit(sender, receiver, chunk)
                await asyncio.sleep(copies[0][0])
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            self._streams.pop(writer, None)
