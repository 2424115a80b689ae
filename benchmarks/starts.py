"""What a start of the relay costs until it listens, with an empty journal and with the fullest one that it may find.

The process is started as the platform does it: the deploy file's command by ``/bin/sh -c``. Processor time and not time:
many relays start at once on few cores, so what each takes of them is what the last one waits for. Linux only.
"""

from __future__ import annotations

import json
import os
import random
import statistics
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.peers import SETTINGS, memory_mb
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store

ROOT = Path(__file__).parent.parent
NEARLY_FULL = 0.75  # of the disk, for records of what has ended: beyond it the store makes room
ENDED = 3  # messages that ended, for each that stays, where the store cleans up
MOST_BODY = 1000  # bytes
CLASSES = ("safe", "keyed", "unsafe")  # as SETTINGS has them
DESTS = 26
NOBODY = "127.0.0.1:1"  # discovery: refuses connections, and a start waits for none
LISTENS = b"serves on"  # in the log line of a relay that is ready
PICKED_UP = b"picked up "  # in the line that tells of a journal with messages
IMAGE_BEGINS = "transferring control:"  # what the dynamic linker says of each program that it hands over to
JOURNALS = (  # title, whether it is full, cleaned up as it was filled, of classes that keep an order by key
    ("empty", False, False, False),
    ("full, cleaned", True, True, False),
    ("the same, in order", True, True, True),
    ("full, not cleaned", True, False, False),
    ("the same, in order", True, False, True),
)


@dataclass(frozen=True)
class Start:
    """One start, up to its first line of being ready: milliseconds of processor time, threads, megabytes resident."""

    cpu: float
    threads: int
    memory: float
    picked_up: int  # messages that it found in the journal


@dataclass(frozen=True)
class Filled:
    """A journal that was filled: its live messages, the bytes of its files."""

    live: int
    size: int


def deployed(command: str) -> str:
    """One of the deploy file's commands: ``run`` or ``build``."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[command])


def environment(folder: Path, disk_mb: int, in_order: bool) -> dict[str, str]:
    """A configuration in a folder of its own, with classes that keep an order by key or do not."""
    endpoints = [
        {
            "name": f"h{n}",
            "address": f"127.0.0.1:{1 + n}",
            "zone": "north",
            "type": "plain",
            "group": n // 2,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(2 * DESTS)
    ]
    settings = {
        **SETTINGS,
        "classes": [{**klass, "inTurn": in_order} for klass in SETTINGS["classes"]],
        "familyInfo": {"callsOut": 4},
        "limits": {"mostHeld": 100_000, "mostTries": 6, "connectTimeout": 10**9, "connIdle": 10**10},
    }
    configuration: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": NOBODY,
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": disk_mb},
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": settings,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(configuration))
    (folder / "state").mkdir()
    return {
        **os.environ,
        "RELAY_NAME": configuration["name"],
        "RELAY_CONFIG": str(path),
        "RELAY_STATE": str(folder / "state"),
        "RELAY_LISTEN": configuration["listen"],
        "RELAY_DISCOVERY": NOBODY,
    }


def fill(state: Path, disk_bytes: int, seed: int, cleaned: bool) -> Filled:
    """The fullest journal that the settings allow: live messages with their attempts until no other is admitted. Others
    have ended: some between them, where the store cleans up behind each as it does in a relay (``cleaned``), or as many
    ahead of them as nearly fill the disk."""
    draw = random.Random(seed)
    most_body = draw.choice((0, 50, MOST_BODY))
    later = round(time.time() * 1000) + 3_600_000
    store = Store.open(state, disk_bytes)

    def message() -> Entry:
        ref, body = f"{draw.getrandbits(64):016x}", draw.randbytes(draw.randint(0, most_body))
        return Entry(ref, draw.choice(CLASSES), draw.randrange(DESTS), ref, later, body)

    def put(entry: Entry, ended: bool) -> None:
        store.record_accepted(entry)
        for _ in range(draw.randrange(6)):
            store.record_attempt(entry.ref, "north", later)
            store.record_outcome(entry.ref, entry.klass == "safe")
        if ended:
            store.record_end(entry.ref, None)
        store.flush()
        if cleaned:
            store.maintain()

    while not cleaned and store.used < NEARLY_FULL * disk_bytes:
        put(message(), True)
    live = 0
    while store.has_room((entry := message()).ref, entry.key, len(entry.body)):
        put(entry, False)
        live += 1
        for _ in range(ENDED if cleaned else 0):
            put(message(), True)
    store.close()
    return Filled(live, sum(file.stat().st_size for file in state.iterdir()))


def listens(child: subprocess.Popen[bytes]) -> int:
    """Read the log up to the line that says that the relay listens; how many messages it found in the journal."""
    assert child.stderr is not None
    found, told = 0, b""
    while LISTENS not in told:
        line = child.stderr.readline()
        if not line:
            raise RuntimeError(f"the relay ended: {told.decode()}")
        if PICKED_UP in line:
            found = int(line.partition(PICKED_UP)[2].split()[0])
        told = line
    return found


def processor_ms(pid: int) -> float:
    """Of all threads that a process has; those that have ended are not counted."""
    return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir()) / 1e6


def start(command: str, settings: Mapping[str, str]) -> Start:
    """Start a relay, read what it took until it listened, and end it."""
    child = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=settings, stderr=subprocess.PIPE)
    try:
        found = listens(child)
        threads = len(list(Path(f"/proc/{child.pid}/task").iterdir()))
        return Start(processor_ms(child.pid), threads, memory_mb(child.pid), found)
    finally:
        child.kill()
        child.communicate()


def images(command: str, settings: Mapping[str, str], folder: Path) -> list[str]:
    """The programs that the process executes one behind the other, as the dynamic linker (glibc) tells them."""
    said = folder / "linker"
    start(command, {**settings, "LD_DEBUG": "files", "LD_DEBUG_OUTPUT": str(said)})
    lines = [line for file in sorted(folder.glob("linker.*")) for line in file.read_text().splitlines()]
    return [line.partition(IMAGE_BEGINS)[2].strip() for line in lines if IMAGE_BEGINS in line]


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):8.1f}{max(values):8.1f}"


def compare(runs: int, command: str | None, disk_mb: int) -> None:
    """What a start takes until it listens: processor time, threads, memory; with an empty journal and a full one."""
    command = command or deployed("run")
    with tempfile.TemporaryDirectory() as name:
        told = environment(Path(name), disk_mb, False)
        print(f"{command}\nimages: {', '.join(images(command, told, Path(name)))}")
    print(f"{runs} starts each, a new seed for each full journal of {disk_mb} MB")
    print(
        f"{'journal':<20}{'CPU ms: median':>16}{'most':>8}{'threads':>9}{'MB: median':>12}{'most':>8}  messages, MB of it"
    )
    for title, full, cleaned, in_order in JOURNALS:
        starts: list[Start] = []
        filled: list[Filled] = []
        for seed in range(runs):
            with tempfile.TemporaryDirectory() as name:
                told = environment(Path(name), disk_mb, in_order)
                filled.append(
                    fill(Path(told["RELAY_STATE"]), disk_mb * 1_000_000, seed, cleaned) if full else Filled(0, 0)
                )
                starts.append(start(command, told))
        live, size = [one.live for one in filled], [one.size / 1e6 for one in filled]
        print(
            f"{title:<20}{'':>8}{spread([one.cpu for one in starts])}{max(one.threads for one in starts):>9}{'':>4}"
            f"{spread([one.memory for one in starts])}  {min(live)}-{max(live)}, {min(size):.1f}-{max(size):.1f}"
        )
