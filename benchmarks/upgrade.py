"""What clients notice of an upgrade, over what is held: the longest silence on a kept connection, new connections that
were refused, and what both processes together take."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import socket
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis

from benchmarks.peers import SETTINGS, memory_mb
from garnetrelay.rehearsal import staff
from garnetrelay.rehearsal.scripted_peers import Client, ScriptedHost, ScriptedPlatform

START_TIME = 120.0  # seconds
PIPED = 50  # hand-ins on their way on a connection
FILLERS = 8
DEADLINE = 900  # seconds: nothing ends meanwhile


@dataclass
class Seen:
    """One upgrade: milliseconds, counts, megabytes."""

    held: int
    ready: float = 0.0  # from the new process's start until it says yes
    silence: float = 0.0  # the longest that a PING took
    usual: float = 0.0  # the same before
    connected: int = 0
    refused: int = 0
    before_mb: float = 0.0
    both_mb: float = 0.0
    descriptors: int = 0  # of both, at most
    descriptors_before: int = 0


def _free() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


def _descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


class Relay:
    """The relay under measurement: its files, and its processes."""

    def __init__(self, folder: Path, host: ScriptedHost, platform: ScriptedPlatform, held: int) -> None:
        settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        for klass in settings["classes"]:
            klass["deadline"] = DEADLINE * 10**9
        settings["limits"] = {
            "mostHeld": 2 * held + 1000,
            "mostTries": 6,
            "connectTimeout": 10**9,
            "connIdle": 10**10,
            "probes": False,
            "cancel": False,
        }
        settings["familyInfo"] = {"callsOut": 8}
        self.port = _free()
        self.state = folder / "state"
        self.state.mkdir()
        self.config = folder / "config.json"
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": platform.address,
                    "seed": "5",
                    "limits": {"memory_mb": 4000, "sockets": 1024, "disk_mb": 2000},
                    "settings": settings,
                    "known": {
                        "index": 1,
                        "snapshot": True,
                        "endpoints": [
                            {
                                "name": "s-1",
                                "address": host.address,
                                "zone": "north",
                                "type": "plain",
                                "group": 3,
                                "status": "Ready",
                                "weight": 50.0,
                                "since_ms": 0,
                            }
                        ],
                    },
                }
            )
        )

    async def start(self, log: Path) -> tuple[asyncio.subprocess.Process, float]:
        """A process, once it says that it serves; how long that took (seconds)."""
        port, began = _free(), time.monotonic()
        with log.open("ab") as output:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnetrelay",
                stderr=output,
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(self.config),
                    "RELAY_STATE": str(self.state),
                    "RELAY_OPS": f"127.0.0.1:{port}",
                },
            )
        async with asyncio.timeout(START_TIME):
            while not await staff.says_yes(port, "HEALTH"):
                assert child.returncode is None, log.read_text()
                await asyncio.sleep(0.005)
        return child, time.monotonic() - began


async def _fill(port: int, count: int, prefix: str) -> None:
    """Hand in messages that stay held."""
    client = await Client.connect(port)
    for start in range(0, count, PIPED):
        batch = range(start, min(count, start + PIPED))
        client.writer.write(
            b"".join(
                hiredis.pack_command(
                    (  # type: ignore[arg-type]
                        "ENQUEUE",
                        "0",
                        f"{prefix}-{n}",
                        f"c=safe,d={(DEADLINE - 10) * 1000},dest=3",
                        b"x" * 400,
                    )
                )
                for n in batch
            )
        )
        for _ in batch:
            assert await client.read() == b"OK"
    client.writer.close()


async def _ping(port: int, times: list[float]) -> None:
    client = await Client.connect(port)
    while True:
        began = time.monotonic()
        assert await client.ask("PING") == b"PONG"
        times.append(time.monotonic() - began)
        await asyncio.sleep(0.001)


async def _connect(port: int, seen: Seen) -> None:
    while True:
        try:
            client = await Client.connect(port)
            seen.connected += 1
            client.writer.close()
        except OSError:
            seen.refused += 1
        await asyncio.sleep(0.005)


async def _sample(pids: list[int], seen: Seen) -> None:
    while True:
        with contextlib.suppress(OSError):
            seen.both_mb = max(seen.both_mb, sum(memory_mb(pid) for pid in pids))
        seen.descriptors = max(seen.descriptors, sum(_descriptors(pid) for pid in pids))
        await asyncio.sleep(0.002)


async def measured(held: int) -> Seen:
    """One upgrade with so many messages held."""
    seen = Seen(held)
    host, platform = ScriptedHost(), ScriptedPlatform()
    await host.start()
    await platform.start()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        relay = Relay(folder, host, platform, held)
        old, _ = await relay.start(folder / "log")
        await asyncio.gather(*(_fill(relay.port, held // FILLERS, f"m{n}") for n in range(FILLERS)))
        times: list[float] = []
        beside = [asyncio.create_task(_ping(relay.port, times)), asyncio.create_task(_connect(relay.port, seen))]
        await asyncio.sleep(1.0)
        seen.usual, seen.before_mb, seen.descriptors_before = 1000 * max(times), memory_mb(old.pid), _descriptors(old.pid)
        times.clear()
        pids = [old.pid]
        beside.append(asyncio.create_task(_sample(pids, seen)))
        starting = asyncio.create_task(relay.start(folder / "log"))
        children = Path(f"/proc/{os.getpid()}/task/{os.getpid()}/children")
        while len(found := [int(pid) for pid in children.read_text().split()]) < 2 and not starting.done():
            await asyncio.sleep(0.001)
        pids[:] = found
        new, took = await starting
        seen.ready = 1000 * took
        await asyncio.sleep(1.0)
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        seen.silence = 1000 * max(times)
        for child in (old, new):
            if child.returncode is None:
                child.kill()
            await child.wait()
    await host.stop()
    await platform.stop()
    return seen


def compare(sizes: list[int]) -> None:
    """What clients notice of an upgrade, over what is held."""
    print(
        f"{'held':>8}{'ready ms':>10}{'PING, longest ms':>18}{'before ms':>11}{'connected':>11}{'refused':>9}"
        f"{'MB before':>11}{'MB, both':>10}{'descriptors':>13}{'of both':>9}"
    )
    for size in sizes:
        seen = asyncio.run(measured(size))
        print(
            f"{size:>8}{seen.ready:>10.0f}{seen.silence:>18.1f}{seen.usual:>11.1f}{seen.connected:>11}"
            f"{seen.refused:>9}{seen.before_mb:>11.1f}{seen.both_mb:>10.1f}{seen.descriptors_before:>13}"
            f"{seen.descriptors:>9}",
            flush=True,
        )
