"""Bad clients: what can't be read, at full speed. Each is owed an error or a close within some seconds."""

from __future__ import annotations

import asyncio
import random

OWED = 3.0  # seconds for an error or a close
BLOCK = b"x" * 65536


def nonsense(draw: random.Random) -> bytes:
    """Something that no relay can take on."""
    return draw.choice(
        [
            b"\x00\xff" * 500,
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            b"*5\r\n$7\r\nENQUEUE\r\n$-5\r\n",
            b"*5\r\n$7\r\nENQUEUE\r\n$99999999999\r\n",
            b"*-7\r\n",
            b"*100000000\r\n",
            b"*1\r\n$4\r\nNOPE\r\n",
            b"*5\r\n$7\r\nENQUEUE\r\n$4\r\n0000\r\n$2\r\nid\r\n$13\r\nc=none,d=1000\r\n$1\r\nx\r\n",
            b"*5\r\n$7\r\nENQUEUE\r\n$4\r\n0000\r\n$0\r\n\r\n$29\r\nc=match-state,d=nought,dest=1\r\n$1\r\nx\r\n",
            b"*5\r\n$7\r\nENQUEUE\r\n$4\r\n0000\r\n$3\r\na b\r\n$28\r\nc=match-state,d=1000,dest=1\r\n$1\r\nx\r\n",
            b"*1\r\n$60000000\r\n" + BLOCK * 4,
            b"*2\r\n$4\r\nPI",
            b"",
        ]
    )


class MisbehavingClients:
    """So many bad clients at once, each coming again as soon as it is turned away, until a time."""

    def __init__(self, port: int, count: int, seed: str) -> None:
        self.port = port
        self.count = count
        self.random = random.Random(seed)
        self.tried = 0
        self.left_waiting = 0  # with neither error nor close

    async def run(self, seconds: float) -> None:
        """Open and misuse connections for so many seconds, ``count`` at a time."""
        ends = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(self.count):
                group.create_task(self._one(ends))

    async def _one(self, ends: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < ends:
            try:
                async with asyncio.timeout(OWED):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            self.tried += 1
            try:
                writer.write(nonsense(self.random))
                async with asyncio.timeout(OWED):
                    await reader.read(100)  # an error, or nothing: a close
            except TimeoutError:
                self.left_waiting += 1
            except OSError:
                pass  # a reset is a close too
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.02)
