"""Clients that send malformed requests at full speed. The relay must answer with an error or close in time."""

from __future__ import annotations

import asyncio
import random

RESPONSE_TIMEOUT_S = 3.0  # for an error or a close
PAYLOAD = b"x" * 65536


def malformed_input(draw: random.Random) -> bytes:
    """Input that no relay can accept."""
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
            b"*1\r\n$60000000\r\n" + PAYLOAD * 4,
            b"*2\r\n$4\r\nPI",
            b"",
        ]
    )


class MisbehavingClients:
    """A number of concurrent misbehaving clients; each connects again after its connection ends_at."""

    def __init__(self, port: int, count: int, seed: str) -> None:
        self.port = port
        self.count = count
        self.random = random.Random(seed)
        self.attempts = 0
        self.unanswered = 0  # connections that got neither an error nor a close

    async def run(self, seconds: float) -> None:
        """Send malformed input for a number of seconds, on ``count`` connections at a time."""
        ends_at = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(self.count):
                group.create_task(self._run_client(ends_at))

    async def _run_client(self, ends_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            self.attempts += 1
            try:
                writer.write(malformed_input(self.random))
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await reader.read(100)  # an error, or no data: a close
            except TimeoutError:
                self.unanswered += 1
            except OSError:
                pass  # a reset counts as a close
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.02)
