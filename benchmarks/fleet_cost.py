"""What knowing each other costs one real relay, and how so many members that begin at once come to one view: sockets on
loopback, one relay as a process of its own, the others in a few processes together."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec

from benchmarks.peers import SETTINGS, cpu_ns
from garnetrelay.config.fleet import Fleet as FleetConfig
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.members.settings import Settings
from garnetrelay.fleet.service import Fleet
from garnetrelay.fleet.status import State
from garnetrelay.rehearsal import staff

HELPERS = 6  # processes that hold the other members
SEEDS = 3
END = "end"
PREPARED = 3.0  # seconds for the helpers to come up
GATHERED = 180.0  # seconds in which all have to hold one view
NETWORK_TRIES = 20


class Crowd(NamedTuple):
    """Some of the members, for one helper."""

    places: list[SocketAddress]
    seeds: tuple[SocketAddress, ...]
    folder: Path
    begin: float  # by the machine's clock, as all of them begin together; a file `end` ends it
    size: int


class Gathered(NamedTuple):
    """Of one helper's members: when all of them held one view of all (seconds from the beginning), and that view."""

    after: float
    view: int


def network(count: int) -> list[SocketAddress]:
    """Addresses on loopback that nobody uses."""
    for _ in range(NETWORK_TRIES):
        octet, port = random.randint(16, 250), random.randint(20_000, 30_000)
        made = [SocketAddress(f"127.{octet}.{number >> 7}.{1 + (number & 127)}", port) for number in range(count)]
        try:
            for each in made:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                    free.bind(each)
        except OSError:
            continue
        return made
    raise OSError("no free network on loopback")


def gather(crowd: Crowd) -> Gathered:
    """Hold some members, from the beginning to the end."""
    return asyncio.run(_gather(crowd))


async def _gather(crowd: Crowd) -> Gathered:
    fleets: list[Fleet] = []
    for place in crowd.places:
        state = crowd.folder / place.host
        state.mkdir()
        fleets.append(
            Fleet(
                FleetConfig(place, None, crowd.seeds, crowd.folder / "secret", Settings()), f"n{place.host}", state, False
            )
        )
    await asyncio.sleep(crowd.begin - time.monotonic())
    await asyncio.gather(*(fleet.start() for fleet in fleets))
    after, view = math.nan, 0
    try:
        while not (crowd.folder / END).exists():
            views = {fleet.members.view for fleet in fleets if fleet.members is not None}
            if (
                math.isnan(after)
                and len(views) == 1
                and all(fleet.members is not None and fleet.members.count == crowd.size for fleet in fleets)
            ):
                after, view = time.monotonic() - crowd.begin, views.pop()
            await asyncio.sleep(0.1)
    finally:
        for fleet in fleets:
            fleet.close()
    return Gathered(after, view)


def memory_mb(pid: int) -> float:
    """Memory that is a process's own, and its part of what it shares (Linux: /proc/PID/smaps_rollup, Pss)."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("Pss:")) / 1000


def relay(
    folder: Path, place: SocketAddress, seeds: tuple[SocketAddress, ...], on: bool
) -> tuple[subprocess.Popen[bytes], int]:
    """A relay with nothing to do, and the port where staff call it."""
    folder.mkdir()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = int(free.getsockname()[1])
    (folder / "options.toml").write_text(
        f'[fleet]\nlisten = "{place}"\nseeds = {json.dumps([str(seed) for seed in seeds])}\n'
        'secret_file = "../secret"\n'
        if on
        else ""
    )
    limits = {"mostHeld": 1000, "mostTries": 6, "connectTimeout": 10**9, "connIdle": 10**10, "probes": True}
    (folder / "config.json").write_text(
        json.dumps(
            {
                "seed": "1",
                "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                "known": {"index": 1, "snapshot": True, "endpoints": []},
                "settings": {**SETTINGS, "familyInfo": {"callsOut": 128}, "limits": limits},
            }
        )
    )
    environment = {
        **os.environ,
        "RELAY_NAME": "measured",
        "RELAY_STATE": str(folder),
        "RELAY_LOG_LEVEL": "WARNING",
        "RELAY_CONFIG": str(folder / "config.json"),
        "RELAY_LISTEN": "127.0.0.1:0",
        "RELAY_DISCOVERY": "127.0.0.1:9",
        "RELAY_OPS": f"127.0.0.1:{port}",
        "RELAY_OPTIONS": str(folder / "options.toml"),
    }
    return subprocess.Popen([sys.executable, "-m", "garnetrelay"], env=environment, stderr=subprocess.DEVNULL), port


async def _state(port: int) -> State | None:
    try:
        told = await staff.lines(port, "FLEET MEMBERS")
    except OSError:
        return None
    return msgspec.json.decode(told[0], type=State) if told else None


def cost(size: int, seconds: int) -> None:
    """What one real relay pays for its part in a fleet whose members all begin at once; the same relay without."""
    print(f"{size} members begin at once: one relay, {size - 1} in {HELPERS} processes; then {seconds} s of peace")
    places = network(size)
    seeds, mine = tuple(places[:SEEDS]), places[-1]
    with tempfile.TemporaryDirectory() as made, ProcessPoolExecutor(HELPERS) as pool:
        folder = Path(made)
        (folder / "secret").write_text("a secret of the benchmarks\n")
        begin = time.monotonic() + PREPARED
        crowds = [
            pool.submit(gather, Crowd(places[:-1][number::HELPERS], seeds, folder, begin, size))
            for number in range(HELPERS)
        ]
        time.sleep(PREPARED)
        on, port = relay(folder / "on", mine, seeds, True)
        off, _ = relay(folder / "off", mine, seeds, False)
        try:
            while True:
                state = asyncio.run(_state(port))
                if state is not None and state.members == size and state.condition == "settled":
                    break
                if time.monotonic() > begin + GATHERED:
                    raise RuntimeError(f"not settled after {GATHERED:g} s: {state}")
                time.sleep(0.5)
            settled = time.monotonic() - begin
            before = [cpu_ns(child.pid) for child in (on, off)]
            time.sleep(seconds)
            used = [(cpu_ns(child.pid) - was) / seconds / 1e9 for child, was in zip((on, off), before, strict=True)]
            held = [memory_mb(child.pid) for child in (on, off)]
        finally:
            (folder / END).touch()
            for child in (on, off):
                child.kill()
                child.wait()
        told = [crowd.result() for crowd in crowds]
    views = {gathered.view for gathered in told}
    print(
        f"all hold one view {max(gathered.after for gathered in told):.1f} s after the beginning"
        f"{'' if len(views) == 1 else ', BUT NOT THE SAME'}; the relay is settled after {settled:.1f} s"
    )
    print(f"{'the relay':<12}{'% of a core':>13}{'MB':>8}")
    for name, part, memory in zip(("in a fleet", "alone"), used, held, strict=True):
        print(f"{name:<12}{100 * part:>13.2f}{memory:>8.2f}")
    print(f"{'its part':<12}{100 * (used[0] - used[1]):>13.2f}{held[0] - held[1]:>8.2f}")
