"""The socket of leases, at a relay as at a controller: signed datagrams, bounded, each refusal counted."""

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

MAX_DATAGRAMS_PER_WAKEUP = 64  # datagrams read in a round of the loop
MAX_DATAGRAMS_PER_SECOND = 10_000  # taken: 1,000 relays that ask five times for all that they hold, and some
RECEIVE_BUFFER_BYTES = 1 << 20  # bytes of the kernel's: 1,000 relays that ask at once

Hears = Callable[[Message, SocketAddress], None]


class Datagrams:
    """Messages in and out of one process."""

    def __init__(self, codec: Codec, hears: Hears) -> None:
        self.codec = codec
        self.refused: Counter[str] = Counter()
        self.bytes_in = self.bytes_out = self.sent = self.received = 0
        self._hears = hears
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._second = 0
        self._taken = 0

    def start(self, listen: SocketAddress) -> SocketAddress:
        """Take the address; the one that came of it. OSError where that can't be."""
        found = socket.socket(socket.AF_INET6 if ":" in listen.host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            found.bind(listen)
        except OSError:
            found.close()
            raise
        found.setblocking(False)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket = found
        self._loop.add_reader(found, self._readable)
        return SocketAddress(*found.getsockname()[:2])

    def close(self) -> None:
        """Let go of the address, at once."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, place: SocketAddress, message: Message) -> None:
        """One that can't go now is lost, as others are on their way."""
        if self._socket is None:
            return
        data = self.codec.encode(message)
        try:
            self._socket.sendto(data, place)
        except OSError as error:
            self.refused["not sent"] += 1
            log.debug("leases: to %s: %s", place, error)
            return
        self.sent += 1
        self.bytes_out += len(data)

    def _readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an earlier one did not arrive: that is told here
                log.debug("leases: %s", error)
                continue
            self._take(data, SocketAddress(*source[:2]))

    def _take(self, data: bytes, source: SocketAddress) -> None:
        self.received += 1
        self.bytes_in += len(data)
        if self._over_the_rate():
            self.refused["rate"] += 1
            return
        try:
            message = self.codec.decode(data)
        except FrameRefusedError as refused:
            self.refused[refused.cause] += 1
            return
        self._hears(message, source)

    def _over_the_rate(self) -> bool:
        second = int(self._loop.time())
        if second != self._second:
            self._second, self._taken = second, 0
        self._taken += 1
        return self._taken > MAX_DATAGRAMS_PER_SECOND
