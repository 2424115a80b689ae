"""What a relay does under clients that overload it or leave: peak memory, answers to sound clients, calls for each id.

One relay with eight hosts that answer 200 at once, and four sound clients, each a message every 20 ms; the overloading
clients run in a process of their own (``hostile_clients.py``).
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.hostile_clients import enqueue
from benchmarks.peers import SETTINGS, Platform, Sink, free_port, until_it_answers

HOSTS = 8
SOUND_CLIENTS = 4
SOUND_GAP_S = 0.02
CLIENT_WAIT_S = 0.4  # for which a client waits for its answer
ANSWER_TIMEOUT_S = 5.0
SETTLE_S = 1.0  # from the last client until the figures are read
PAYMENTS = 300  # that a client writes before it leaves
REPEATED = 40  # of them, handed in again
ROOT = Path(__file__).parents[1]


@dataclass
class Measured:
    """What one run showed: answers to sound clients in seconds, megabytes, calls by id."""

    answers: list[float] = field(default_factory=list)
    peak_mb: float = 0.0
    log_kb: float = 0.0
    crashed: bool = False
    calls: Counter[bytes] = field(default_factory=Counter)

    def __str__(self) -> str:
        late = sum(answer > CLIENT_WAIT_S for answer in self.answers)
        return (
            f"{len(self.answers):>7}{late:>7}{statistics.median(self.answers) * 1000:>9.1f}"
            f"{max(self.answers) * 1000:>9.1f}{self.peak_mb:>8.1f}{self.log_kb:>9.0f}"
            + ("  CRASHED" if self.crashed else "")
        )


class Stage:
    """A relay and its peers; ``tree``: the checkout that the relay runs from."""

    def __init__(self, tree: Path, memory_mb: int) -> None:
        self.tree, self.memory_mb = tree, memory_mb
        self.port = free_port()
        self.measured = Measured()
        self.child: subprocess.Popen[bytes] | None = None
        self.folder = tempfile.TemporaryDirectory()
        self.environment: dict[str, str] = {}

    async def __aenter__(self) -> Stage:
        loop = asyncio.get_running_loop()

        def delivered(ref: bytes) -> None:
            self.measured.calls[ref] += 1

        sink = await loop.create_server(lambda: Sink(delivered), "127.0.0.1", 0)
        address = f"127.0.0.1:{sink.sockets[0].getsockname()[1]}"
        endpoints = [
            {
                "name": f"h{n}",
                "address": address,
                "zone": "north",
                "type": "plain",
                "group": n,
                "status": "Ready",
                "weight": 1.0,
                "since_ms": 0,
            }
            for n in range(HOSTS)
        ]
        listing = json.dumps({"index": 2, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"
        platform = await loop.create_server(lambda: Platform(listing), "127.0.0.1", 0)
        limits = {"mostHeld": 2000, "mostTries": 6, "connectTimeout": 10**9, "connIdle": 10**10, "probes": True}
        configuration = {
            "seed": "1",
            "limits": {"memory_mb": self.memory_mb, "sockets": 2048, "disk_mb": 3},
            "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
            "settings": {**SETTINGS, "familyInfo": {"callsOut": 64}, "limits": limits},
        }
        folder = Path(self.folder.name)
        (folder / "config.json").write_text(json.dumps(configuration))
        (folder / "state").mkdir()
        self.environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_STATE": str(folder / "state"),
            "RELAY_CONFIG": str(folder / "config.json"),
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{platform.sockets[0].getsockname()[1]}",
        }
        await self.start()
        return self

    async def start(self) -> None:
        """Start the relay."""
        with (Path(self.folder.name) / "log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "garnetrelay"], cwd=self.tree, env=self.environment, stderr=log
            )
        await until_it_answers(self.port)

    async def __aexit__(self, *error: object) -> None:
        assert self.child is not None
        self.measured.crashed = self.child.poll() is not None
        if not self.measured.crashed:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
            self.measured.peak_mb = int(status.partition("VmHWM:")[2].split()[0]) / 1000
        self.measured.log_kb = (Path(self.folder.name) / "log").stat().st_size / 1000
        self.child.kill()
        self.child.wait()
        self.folder.cleanup()

    async def sound_client(self, number: int, end: float) -> None:
        """A message every ``SOUND_GAP_S``; each answer's time is kept."""
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        sent = 0
        while loop.time() < end:
            began = loop.time()
            writer.write(enqueue(b"s%d-%d" % (number, sent), b"c=safe,d=8000,dest=%d" % (sent % HOSTS)))
            sent += 1
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await reader.readline()
            except (TimeoutError, OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.measured.answers.append(loop.time() - began)
            await asyncio.sleep(max(0.0, SOUND_GAP_S - (loop.time() - began)))


@contextmanager
def hostile(kind: str, port: int, seconds: float, connections: int) -> Iterator[None]:
    """Overloading clients in a process of their own."""
    words = [sys.executable, "-m", "benchmarks.hostile_clients", kind, str(port), str(seconds), str(connections)]
    child = subprocess.Popen(words, cwd=ROOT)
    try:
        yield
    finally:
        child.kill()
        child.wait()


async def overloaded(tree: Path, kind: str, connections: int, seconds: float, memory_mb: int) -> Measured:
    """Sound clients beside overloading ones of one kind."""
    async with Stage(tree, memory_mb) as stage:
        end = asyncio.get_running_loop().time() + seconds
        with hostile(kind, stage.port, seconds, connections):
            async with asyncio.TaskGroup() as group:
                for number in range(SOUND_CLIENTS):
                    group.create_task(stage.sound_client(number, end))
            await asyncio.sleep(SETTLE_S)
    return stage.measured


def leave(port: int, prefix: bytes, reset: bool, count: int = PAYMENTS) -> None:
    """A client that writes payments and closes at once, without reading."""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.sendall(
            b"".join(enqueue(prefix + b"-%d" % n, b"c=unsafe,d=8000,dest=%d" % (n % HOSTS)) for n in range(count))
        )


async def repeat(port: int, prefix: bytes, count: int = REPEATED) -> Counter[bytes]:
    """Hand in the first of these payments again, one after the other; the answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answers: Counter[bytes] = Counter()
    for n in range(count):
        writer.write(enqueue(prefix + b"-%d" % n, b"c=unsafe,d=8000,dest=%d" % (n % HOSTS)))
        answers[(await reader.readline()).split(b" ")[0].strip()] += 1
    writer.close()
    return answers


async def left(tree: Path, rounds: int, reset: bool, gap_s: float, kill: bool) -> tuple[Measured, Counter[bytes]]:
    """Clients that leave with requests unread, and hand some of them in again; ``kill``: behind a kill of the relay."""
    answers: Counter[bytes] = Counter()
    async with Stage(tree, 192) as stage:
        for number in range(rounds):
            prefix = b"p%d" % number
            await asyncio.to_thread(leave, stage.port, prefix, reset)
            await asyncio.sleep(gap_s)
            if kill:
                assert stage.child is not None
                stage.child.kill()
                stage.child.wait()
                await stage.start()
            answers += await repeat(stage.port, prefix)
        await asyncio.sleep(SETTLE_S)
    return stage.measured, answers


OVERLOADS = (
    ("half-body", 800, 96),
    ("half-body", 800, 32),
    ("fields", 800, 96),
    ("fields", 800, 32),
    ("words", 800, 32),
    ("ping", 1, 192),
    ("ping", 4, 192),
    ("unknown", 1, 192),
    ("unknown", 4, 192),
    ("classes", 4, 192),
    ("destinations", 4, 192),
    ("ids", 1, 192),
    ("ids", 4, 192),
    ("keys", 4, 192),
    ("same", 4, 192),
    ("log", 4, 192),
    ("millisecond", 4, 192),
)


def compare(tree: Path, seconds: float, only: list[str]) -> None:
    """Sound clients beside overloading ones, then clients that leave and come again."""
    print(
        f"{'kind':<14}{'conns':>6}{'limit':>6}{'answers':>8}{'late':>7}{'median':>9}{'most ms':>9}{'MB':>8}{'log KB':>9}"
    )
    for kind, connections, memory_mb in OVERLOADS:
        if not only or kind in only:
            measured = asyncio.run(overloaded(tree, kind, connections, seconds, memory_mb))
            print(f"{kind:<14}{connections:>6}{memory_mb:>6}{measured}", flush=True)
    if only and "left" not in only:
        return
    print("clients that leave: payments called more than once, called at all, answers to the repeats")
    for reset, gap_s, kill in (
        (False, 0.05, False),
        (True, 0.05, False),
        (False, 0.0, False),
        (True, 0.0, False),
        (False, 0.05, True),
    ):
        rounds = 5 if kill else 40
        measured, answers = asyncio.run(left(tree, rounds, reset, gap_s, kill))
        twice = sum(calls > 1 for calls in measured.calls.values())
        print(
            f"{'reset' if reset else 'FIN':<6}{gap_s * 1000:>5.0f} ms{' kill' if kill else '':<6}{rounds:>4} rounds "
            f"{twice:>6}{len(measured.calls):>7}  {dict(answers)}",
            flush=True,
        )


if __name__ == "__main__":
    compare(Path(sys.argv[1]), float(sys.argv[2]), sys.argv[3:])
