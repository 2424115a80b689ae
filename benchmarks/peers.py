"""What a measured relay talks to, in this process: a sink for calls, a platform, clients in closed loops."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import hiredis

START_TIME = 30.0  # seconds
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "discovery": "subscribe",
    "azs": ["north"],
    "kinds": ["plain"],
    "classes": [
        {"name": "safe", "aim": 10**9, "deadline": 8 * 10**9, "idempotency": "retryable"},
        {
            "name": "keyed",
            "aim": 2 * 10**9,
            "deadline": 12 * 10**9,
            "idempotency": "dedup",
            "keyScope": "zone",
            "repeatWindow": 12 * 10**9,
        },
        {"name": "unsafe", "aim": 2 * 10**9, "deadline": 12 * 10**9, "idempotency": "fragile"},
    ],
    "rules": {
        "fall": 3 * 10**9,
        "fallMultiple": 2.0,
        "rampTime": 10**10,
        "startCapacity": 0.2,
        "drainGrace": 10**9,
        "askEvery": 10**10,
        "answerSlack": 250_000_000,
    },
}


@dataclass(frozen=True)
class Cost:
    """What was measured of one program: microseconds of CPU a message, messages a second, megabytes."""

    cpu: float
    rate: float
    memory: float


def cpu_ns(pid: int) -> int:
    """CPU time that a process has used (Linux: /proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


def memory_mb(pid: int) -> float:
    """Resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Sink(asyncio.Protocol):
    """Answers each call at once, and says whose message it was. Calls come one at a time on a connection."""

    def __init__(self, delivered: Callable[[bytes], None]) -> None:
        self.delivered = delivered
        self.data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: answers may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer a whole request with 200, and say which message has come."""
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or len(body) < int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]):
            return
        self.data = b""
        assert self.transport is not None
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.delivered(head.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0])


class Platform(asyncio.Protocol):
    """Discovery's watch, on which nothing changes, and notices, all acknowledged."""

    def __init__(self, listing: bytes) -> None:
        self.listing = listing
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: the list and answers may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer a watch with the whole list, which then stays open, and a notice with 204."""
        assert self.transport is not None
        if data.startswith(b"GET "):
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(self.listing), self.listing)
            )
            self._go_on()
        elif data.startswith(b"POST "):
            self.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    def _go_on(self) -> None:
        """An empty line every second: the watch is alive."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(1.0, self._go_on)


class Client(asyncio.Protocol):
    """A client that has one message out at a time: the next follows when one is taken on and delivered."""

    def __init__(self, number: int, next_message: Callable[[int], bytes | None], done: Callable[[], None]) -> None:
        self.number = number
        self.next_message = next_message
        self.done = done
        self.reader = hiredis.Reader()
        self.open = 0  # of "taken on" and "delivered", how many are still to come
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: the first message goes out."""
        self.transport = cast(asyncio.Transport, transport)
        self._go_on()

    def data_received(self, data: bytes) -> None:
        """Count each answer as one of a message's two steps; RuntimeError for any but OK."""
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            if answer != "OK" and answer != b"OK":
                raise RuntimeError(f"the relay answered {answer!r}")
            self.step()

    def step(self) -> None:
        """One of two: the answer, and the delivery. Behind both the next message goes out."""
        self.open -= 1
        if not self.open:
            self._go_on()

    def _go_on(self) -> None:
        command = self.next_message(self.number)
        if command is None:
            self.done()
        elif self.transport is not None:
            self.open = 2
            self.transport.write(command)


class Load:
    """So many messages by so many clients, and the time that they took."""

    def __init__(self, clients: int, dests: int, body: int) -> None:
        self.clients = [Client(n, self._next, self._done) for n in range(clients)]
        self.dests = dests
        self.body = bytes(body)
        self.left = self.made = 0
        self.running = 0
        self.finished = asyncio.Event()

    def delivered(self, ref: bytes) -> None:
        """A message has come out at the other side: its client's next step."""
        self.clients[int(ref.partition(b"-")[0])].step()

    def _next(self, number: int) -> bytes | None:
        if not self.left:
            return None
        self.left -= 1
        self.made += 1
        klass = ("safe", "keyed", "keyed", "unsafe")[self.made % 4]
        words: Any = (
            "ENQUEUE",
            "0" * 16,
            f"{number}-{self.made:015d}",
            f"c={klass},d=7000,dest={self.made % self.dests},k={self.made:016x}",
            self.body,
        )
        return bytes(hiredis.pack_command(words))

    def _done(self) -> None:
        self.running -= 1
        if not self.running:
            self.finished.set()

    async def run(self, port: int, messages: int) -> float:
        """Seconds that they took."""
        self.left, self.running = messages, len(self.clients)
        self.finished.clear()
        began = time.perf_counter()
        for client in self.clients:
            if client.transport is None:
                await asyncio.get_running_loop().create_connection(functools.partial(_the, client), "127.0.0.1", port)
            else:
                client._go_on()
        await self.finished.wait()
        return time.perf_counter() - began


def _the(client: Client) -> Client:
    return client


async def measure(program: list[str], messages: int, clients: int, dests: int, body: int) -> Cost:
    """Start a program (PORT and SINK in its words are filled in), warm it up, and measure it."""
    loop = asyncio.get_running_loop()
    load = Load(clients, dests, body)
    sink = await loop.create_server(lambda: Sink(load.delivered), "127.0.0.1", 0)
    sink_port = sink.sockets[0].getsockname()[1]
    endpoints = [
        {
            "name": f"h{n}",
            "address": f"127.0.0.1:{sink_port}",
            "zone": "north",
            "type": "plain",
            "group": n % dests,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(2 * dests)
    ]
    listing = json.dumps({"index": 2, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"
    platform = await loop.create_server(lambda: Platform(listing), "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        settings = {
            **SETTINGS,
            "familyInfo": {"callsOut": 128},
            "limits": {"mostHeld": 100_000, "mostTries": 6, "connectTimeout": 10**9, "connIdle": 10**10, "probes": True},
        }
        Path(folder, "config.json").write_text(
            json.dumps(
                {
                    "seed": "1",
                    "limits": {"memory_mb": 512, "sockets": 8192, "disk_mb": 64},
                    "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
                    "settings": settings,
                }
            )
        )
        environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_STATE": folder,
            "RELAY_LOG_LEVEL": "WARNING",
            "RELAY_CONFIG": str(Path(folder, "config.json")),
            "RELAY_LISTEN": f"127.0.0.1:{port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{platform.sockets[0].getsockname()[1]}",
        }
        words = [word.format(PORT=port, SINK=sink_port) for word in program]
        child = subprocess.Popen([sys.executable, "-m", *words], env=environment)
        try:
            await until_it_answers(port)
            await load.run(port, max(1000, messages // 5))
            began = cpu_ns(child.pid)
            took = await load.run(port, messages)
            return Cost((cpu_ns(child.pid) - began) / messages / 1000, messages / took, memory_mb(child.pid))
        finally:
            child.kill()
            child.wait()
            sink.close()
            platform.close()


def free_port() -> int:
    """A port of this machine that nothing listens on just now."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


async def until_it_answers(port: int) -> None:
    """Wait until a program answers PING; it says nothing of itself when it is ready."""
    end = time.monotonic() + START_TIME
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            assert await reader.readline() == b"+PONG\r\n"
            writer.close()
            return
        except ConnectionRefusedError:
            if time.monotonic() > end:
                raise
            await asyncio.sleep(0.05)
