"""A proxy on loopback between a relay and a simulated peer: it forwards, delays, refuses or cuts off each connection, or
does not respond on it."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum

READ_BYTES = 65536


class Fate(Enum):
    """How one connection is treated."""

    PASSES = "passes"
    LATE = "late"
    REFUSED = "refused"
    UNRESPONSIVE = "unresponsive"
    CUT = "cut"


BAD = (Fate.REFUSED, Fate.UNRESPONSIVE, Fate.CUT)
FAULTY = (Fate.LATE, *BAD)


@dataclass
class Fates:
    """Draws fates by a seed, with a limit on bad ones in a row, so that a retry can get through in time."""

    rng: random.Random
    share: float  # of connections with a fault
    max_in_a_row: int
    bad: tuple[Fate, ...] = BAD  # which fates count towards the limit
    drawn: list[Fate] = field(default_factory=list)

    def draw(self) -> Fate:
        """The fate of the next connection."""
        fate = Fate.PASSES
        if self.rng.random() < self.share:
            fate = self.rng.choice(FAULTY)
        latest = self.drawn[-self.max_in_a_row :]
        if len(latest) == self.max_in_a_row and all(one in self.bad for one in latest):
            fate = Fate.PASSES
        self.drawn.append(fate)
        return fate


class FaultyProxy:
    """Listens in front of one address. The method of a connection's first request selects the source of its fate."""

    def __init__(self, target: str, watches: Fates, notices: Fates, rng: random.Random) -> None:
        self.host, _, port = target.partition(":")
        self.port = int(port)
        self.fates = {b"GET": watches, b"POST": notices}
        self.rng = rng
        self.address = ""
        self.forwarding_ports: set[int] = set()  # ports to the target whose answers reach the relay
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._muted: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()

    def stop_responding(self) -> None:
        """Forward nothing more on the open connections, without closing them."""
        self._muted |= self._open
        self.forwarding_ports.clear()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            first = await reader.read(READ_BYTES)
            fates = self.fates.get(first.partition(b" ")[0])
            fate = Fate.PASSES if fates is None else fates.draw()
            if fate is Fate.UNRESPONSIVE:
                while await reader.read(READ_BYTES):
                    pass
            elif fate is not Fate.REFUSED and first:
                await self._forward(fate, first, reader, writer)
        except OSError:
            pass
        finally:
            self._open.discard(writer)
            self._muted.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, fate: Fate, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        delay = self.rng.uniform(0.2, 1.0) if fate is Fate.LATE else self.rng.uniform(0.0, 0.03)
        await asyncio.sleep(delay)
        target_reader, target_writer = await asyncio.open_connection(self.host, self.port)
        port = int(target_writer.get_extra_info("sockname")[1])
        if fate is not Fate.CUT and writer not in self._muted:
            self.forwarding_ports.add(port)
        target_writer.write(first)
        remaining = self.rng.randrange(1, 400) if fate is Fate.CUT else 1 << 60
        directions = [
            asyncio.create_task(self._to_target(reader, target_writer)),
            asyncio.create_task(self._to_relay(target_reader, writer, remaining)),
        ]
        try:
            # The end of one side closes the other at once.
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.forwarding_ports.discard(port)
            for direction in directions:
                direction.cancel()
            target_writer.transport.abort()

    async def _to_target(self, reader: asyncio.StreamReader, target_writer: asyncio.StreamWriter) -> None:
        while piece := await reader.read(READ_BYTES):
            target_writer.write(piece)

    async def _to_relay(self, target_reader: asyncio.StreamReader, writer: asyncio.StreamWriter, remaining: int) -> None:
        while remaining > 0 and (piece := await target_reader.read(READ_BYTES)):
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))
            if writer not in self._muted:
                writer.write(piece[:remaining])
                remaining -= len(piece)
