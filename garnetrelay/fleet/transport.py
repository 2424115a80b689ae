"""The fleet's sockets: UDP datagrams and TCP connections for full exchanges, on one address.

Bounded: the datagrams read per loop iteration and per second, the concurrent exchanges in each direction, and the
bytes and duration of one exchange. Anything beyond a bound is dropped and counted, since the protocol has to tolerate
lost frames anyway.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import SocketAddress

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_TICK = 64  # datagrams read in one iteration of the event loop
MAX_DATAGRAMS_PER_S = 4000  # enough for 1,000 members that all probe at the same time
MAX_INBOUND_EXCHANGES = 8  # concurrent exchanges started by other members
MAX_OUTBOUND_EXCHANGES = 2  # concurrent exchanges started by this relay
EXCHANGE_TIMEOUT_S = 3.0  # for one whole exchange
RECEIVE_BUFFER_BYTES = 1 << 18  # kernel buffer; holds the datagrams that arrive while the process is stopped for a while
LENGTH = struct.Struct(">I")
BIND_TRIES = 40  # the previous process may have released the address only just before
BIND_RETRY_S = 0.05

FrameHandler = Callable[[fr.AnyFrame, SocketAddress], None]
DatagramHandler = Callable[[bytes, SocketAddress], None]


class Transport:
    """Sends and receives the frames of one process."""

    def __init__(self, codec: fr.Codec, on_frame: FrameHandler) -> None:
        self.codec = codec
        self.refused: Counter[str] = Counter()
        self.bytes_in = self.bytes_out = self.frames_out = 0
        self.protocols: dict[bytes, DatagramHandler] = {}  # by the first two bytes; they count their own traffic
        self._on_frame = on_frame
        self._loop = asyncio.get_running_loop()
        self._datagrams: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._host = ""
        self._inbound = 0
        self._outbound = 0
        self._second = 0
        self._received = 0

    async def start(self, listen: SocketAddress, answer: Callable[[Stream], Awaitable[None]]) -> SocketAddress:
        """Binds the address and returns the one actually bound. ``answer`` is called for each exchange that another
        member starts."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stream = Stream(self, reader, writer)
            if self._inbound >= MAX_INBOUND_EXCHANGES:
                self.refused["exchanges"] += 1
                stream.close()
                return
            self._inbound += 1
            try:
                async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                    await answer(stream)
            except (OSError, TimeoutError, EOFError, ValueError) as error:
                log.debug("fleet: an exchange started by another member was aborted: %s", error)
            finally:
                self._inbound -= 1
                stream.close()

        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        for tries_left in reversed(range(BIND_TRIES)):
            listener = socket.socket(family, socket.SOCK_STREAM)
            datagrams = socket.socket(family, socket.SOCK_DGRAM)
            try:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(listen)
                found = SocketAddress(*listener.getsockname()[:2])
                datagrams.bind(found)
            except OSError:
                listener.close()
                datagrams.close()
                if not tries_left:
                    raise
                await asyncio.sleep(BIND_RETRY_S)
                continue
            break
        datagrams.setblocking(False)
        datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._datagrams, self._host = datagrams, found.host
        self._loop.add_reader(datagrams, self._readable)
        self._server = await asyncio.start_server(
            serve, sock=listener, limit=fr.MAX_EXCHANGE_BYTES + LENGTH.size, backlog=64
        )
        return found

    def close(self) -> None:
        """Closes the sockets, which frees the address immediately."""
        if self._datagrams is not None:
            self._loop.remove_reader(self._datagrams)
            self._datagrams.close()
            self._datagrams = None
        if self._server is not None:
            self._server.close()
            self._server = None

    def send(self, address: SocketAddress, frame: fr.Frame, version: int) -> None:
        """Sends a frame as a datagram. One that cannot be sent now is dropped, like a datagram lost on the network."""
        data = self.codec.encode(frame, version)
        if self.send_bytes(address, data):
            self.frames_out += 1
            self.bytes_out += len(data)

    def send_bytes(self, address: SocketAddress, data: bytes) -> bool:
        """Sends a datagram of any protocol; returns whether it was sent."""
        if self._datagrams is None:
            return False
        try:
            self._datagrams.sendto(data, address)
        except OSError as error:
            self.refused["not sent"] += 1
            log.debug("fleet: cannot send a datagram to %s: %s", address, error)
            return False
        return True

    def _readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TICK):
            if self._datagrams is None:
                return
            try:
                data, source = self._datagrams.recvfrom(fr.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # the error of an earlier datagram that did not arrive is reported here
                log.debug("fleet: receive error: %s", error)
                continue
            self._dispatch(data, SocketAddress(*source[:2]))

    def _dispatch(self, data: bytes, source: SocketAddress) -> None:
        handler = self.protocols.get(data[:2])
        if handler is None:
            self.bytes_in += len(data)
        if self._over_the_rate():
            self.refused["rate"] += 1
            return
        if handler is not None:
            handler(data, source)
            return
        try:
            frame = self.codec.decode(data)
        except fr.Refused as refused:
            self.refused[refused.cause] += 1
            return
        self._on_frame(frame, source)

    def _over_the_rate(self) -> bool:
        second = int(self._loop.time())
        if second != self._second:
            self._second, self._received = second, 0
        self._received += 1
        return self._received > MAX_DATAGRAMS_PER_S

    async def connect(self, address: SocketAddress) -> Stream | None:
        """Opens a connection for an exchange; returns None if the maximum number is open already."""
        if self._outbound >= MAX_OUTBOUND_EXCHANGES or self._server is None:
            return None
        self._outbound += 1
        try:
            reader, writer = await asyncio.open_connection(
                address.host, address.port, local_addr=(self._host, 0), limit=fr.MAX_EXCHANGE_BYTES + LENGTH.size
            )
        except BaseException:
            self._outbound -= 1
            raise
        return Stream(self, reader, writer)

    def release(self) -> None:
        """Releases the slot of an exchange that this relay started."""
        self._outbound -= 1


class Stream:
    """One connection of an exchange: each frame is preceded by its length (4 bytes, big-endian)."""

    def __init__(self, transport: Transport, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._transport = transport
        self._reader = reader
        self._writer = writer

    async def send(self, frame: fr.Frame, version: int) -> None:
        """Writes a frame and waits while the send buffer is full. Raises OSError if the connection is lost."""
        data = self._transport.codec.encode(frame, version)
        self._writer.write(LENGTH.pack(len(data)) + data)
        self._transport.bytes_out += len(data) + LENGTH.size
        await self._writer.drain()

    async def receive(self) -> fr.AnyFrame:
        """Returns the next frame. Raises EOFError or ValueError if no usable frame arrives."""
        (length,) = LENGTH.unpack(await self._reader.readexactly(LENGTH.size))
        if length > fr.MAX_EXCHANGE_BYTES:
            self._transport.refused["long"] += 1
            raise ValueError(f"frame of {length} bytes is too long")
        data = await self._reader.readexactly(length)
        self._transport.bytes_in += length + LENGTH.size
        try:
            return self._transport.codec.decode(data, exchange=True)
        except fr.Refused as refused:
            self._transport.refused[refused.cause] += 1
            raise

    def close(self) -> None:
        """Closes the connection after the data already written has been sent."""
        self._writer.close()
