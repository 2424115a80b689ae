"""The UDP endpoint of a controller: sends and receives signed lease datagrams, limits their rate and counts refusals."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable

from garnetrelay.fleet.leases.codec import MAX_DATAGRAM_BYTES, Codec
from garnetrelay.fleet.leases.messages import Message
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.signing import FrameRefusedError

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_WAKEUP = 64  # read each time the socket becomes readable
MAX_DATAGRAMS_PER_SECOND = 10_000  # covers 1,000 relays that request all their partitions five times, with a margin
RECEIVE_BUFFER_BYTES = 1 << 20  # of the kernel's socket buffer: covers 1,000 relays that send at once

MessageHandler = Callable[[Message, SocketAddress], None]


class DatagramEndpoint:
    """Sends and receives the lease messages of one process."""

    def __init__(self, codec: Codec, on_message: MessageHandler) -> None:
        self.codec = codec
        self.refused: Counter[str] = Counter()
        self.bytes_in = self.bytes_out = self.sent = self.received = 0
        self._on_message = on_message
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._rate_second = 0
        self._received_in_second = 0

    def start(self, listen: SocketAddress) -> SocketAddress:
        """Binds the socket and returns its address; raises OSError if the address can't be bound."""
        new_socket = socket.socket(socket.AF_INET6 if ":" in listen.host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            new_socket.bind(listen)
        except OSError:
            new_socket.close()
            raise
        new_socket.setblocking(False)
        new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket = new_socket
        self._loop.add_reader(new_socket, self._on_readable)
        return SocketAddress(*new_socket.getsockname()[:2])

    def close(self) -> None:
        """Closes the socket; its address is free at once."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, address: SocketAddress, message: Message) -> None:
        """Sends a message. One that can't be sent now is lost, like any datagram that is lost in the network."""
        if self._socket is None:
            return
        data = self.codec.encode(message)
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.refused["not sent"] += 1
            log.debug("leases: to %s: %s", address, error)
            return
        self.sent += 1
        self.bytes_out += len(data)

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an ICMP error for a datagram that was sent earlier is reported here
                log.debug("leases: %s", error)
                continue
            self._process(data, SocketAddress(*source[:2]))

    def _process(self, data: bytes, source: SocketAddress) -> None:
        self.received += 1
        self.bytes_in += len(data)
        if self._rate_exceeded():
            self.refused["rate"] += 1
            return
        try:
            message = self.codec.decode(data)
        except FrameRefusedError as refused:
            self.refused[refused.cause] += 1
            return
        self._on_message(message, source)

    def _rate_exceeded(self) -> bool:
        second = int(self._loop.time())
        if second != self._rate_second:
            self._rate_second, self._received_in_second = second, 0
        self._received_in_second += 1
        return self._received_in_second > MAX_DATAGRAMS_PER_SECOND
