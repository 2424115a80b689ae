"""The links stand-in: real relays speak through it, by UDP and TCP.

Each relay listens on an inner address of its own and tells the others an outer one, which is this network's:

    a (127.N.2.1) -> outer address of b (127.N.1.2), here -> [what becomes of a -> b] -> inner address of b (127.N.2.2)

Who sends is known by the inner address that it sends from; b hears a from a's outer address. What becomes of a piece is
decided by `simulation/links.py`; this file has the sockets.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Sequence

from garnetrelay.simulation.links import Links

NETWORK_TRIES = 50
PIECE = 65536
MOST_PIECE = 65536
TCP_AGAIN = 0.2  # seconds that a lost piece of a connection costs
MOST_ON_THE_WAY = 20_000


class Network:
    """Outer and inner addresses of named relays, and what happens between them."""

    def __init__(self, names: Sequence[str], links: Links) -> None:
        self.links = links
        self.names = list(names)
        self.figures: Counter[str] = Counter()
        self.port = 0
        self._octet = 0
        self._sockets: dict[str, socket.socket] = {}
        self._servers: list[asyncio.Server] = []
        self._by_inner: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._streams: dict[asyncio.StreamWriter, tuple[str, str]] = {}
        self._on_the_way = 0

    def outer(self, name: str) -> str:
        """Where the others reach a relay."""
        return f"{self._host(1, name)}:{self.port}"

    def inner(self, name: str) -> str:
        """Where it listens."""
        return f"{self._host(2, name)}:{self.port}"

    def _host(self, third: int, name: str) -> str:
        place = self.names.index(name) + 1
        return f"127.{self._octet}.{third + 10 * (place >> 8)}.{place & 255}"

    async def start(self) -> None:
        """Take a network that nobody uses; OSError where none is free."""
        for left in reversed(range(NETWORK_TRIES)):
            self._octet, self.port = random.randint(16, 250), random.randint(20_000, 30_000)
            try:
                await self._take()
            except OSError:
                self.stop()
                if not left:
                    raise
            else:
                return

    async def _take(self) -> None:
        loop = asyncio.get_running_loop()
        self._by_inner = {self._host(2, name): name for name in self.names}
        for name in self.names:
            found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sockets[name] = found
            found.setblocking(False)
            found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            found.bind((self._host(1, name), self.port))
            loop.add_reader(found, self._readable, name, found)
            self._servers.append(
                await asyncio.start_server(
                    lambda reader, writer, name=name: self._accepted(name, reader, writer),  # type: ignore[misc]
                    self._host(1, name),
                    self.port,
                )
            )

    def stop(self) -> None:
        """Close the sockets; what is on its way is lost."""
        loop = asyncio.get_running_loop()
        for found in self._sockets.values():
            loop.remove_reader(found)
            found.close()
        self._sockets.clear()
        for server in self._servers:
            server.close()
        self._servers.clear()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._streams):
            writer.transport.abort()

    def changed(self) -> None:
        """Rules have changed: connections over a link that is cut now break off."""
        for writer, (first, second) in list(self._streams.items()):
            if not self.links.connects(first, second):
                writer.transport.abort()

    # ---- datagrams

    def _readable(self, receiver: str, found: socket.socket) -> None:
        for _ in range(64):
            try:
                data, source = found.recvfrom(MOST_PIECE)
            except OSError:
                return
            sender = self._by_inner.get(source[0])
            if sender is None:
                self.figures["strangers"] += 1
                continue
            self.figures["datagrams"] += 1
            copies = self.links.transmit(sender, receiver, data)
            self.figures["lost"] += not copies
            for delay, arrived in copies:
                if self._on_the_way >= MOST_ON_THE_WAY:
                    self.figures["too many"] += 1
                    continue
                self._on_the_way += 1
                asyncio.get_running_loop().call_later(delay, self._deliver, sender, receiver, arrived)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        self._on_the_way -= 1
        found = self._sockets.get(sender)
        if found is None:
            return
        try:
            found.sendto(data, (self._host(2, receiver), self.port))
        except OSError:  # nobody listens there: as on any network
            self.figures["nobody there"] += 1

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
        self.figures["connections"] += 1
        for each in (writer, far_writer):
            self._streams[each] = (sender, receiver)
        for work in (self._pipe(sender, receiver, reader, far_writer), self._pipe(receiver, sender, far_reader, writer)):
            task = asyncio.get_running_loop().create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pipe(self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pieces one way, in their order, each with its delay; a lost one comes later, a cut ends it."""
        try:
            while piece := await reader.read(PIECE):
                copies = self.links.transmit(sender, receiver, piece)
                while not copies:
                    if not self.links.connects(sender, receiver):
                        return
                    await asyncio.sleep(TCP_AGAIN)
                    copies = self.links.transmit(sender, receiver, piece)
                await asyncio.sleep(copies[0][0])
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            self._streams.pop(writer, None)
