"""Configuration files of relays over so many destinations, and relays as processes that start from them."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.capacity.meter import most_resident
from benchmarks.capacity.size import SIZE
from benchmarks.peers import SETTINGS, cpu_ns

SERVES = b" serves on "  # the relay's own log line once clients may come
START_TIME = 300.0  # seconds
ROOM_MB = 4_000  # memory and disk: what is measured is what a relay takes, not what it is allowed
LONG = 86_400 * 10**9  # a deadline behind the end of every measurement, nanoseconds
SPARE_HELD = 1_000


def listing(destinations: int, status: str) -> dict[str, Any]:
    """A whole list as discovery sends it."""
    return {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": f"s-{number:06d}",
                "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
                "zone": "north",
                "type": "plain",
                "group": number // SIZE.hosts,
                "status": status,
                "weight": 50.0,
                "since_ms": 0,
            }
            for number in range(SIZE.hosts * destinations)
        ],
    }


def configuration(folder: Path, destinations: int, held: int = 0, status: str = "Ready") -> dict[str, str]:
    """Writes a relay's configuration; the environment that points to it. ``held``: messages that the relay will find in
    its state folder; ``status``: of all hosts."""
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    settings["balancers"] = SIZE.relays
    for klass in settings["classes"]:
        klass["deadline"] = LONG
    settings["familyInfo"] = {"callsOut": 64}
    settings["limits"] = {
        "mostHeld": held + SPARE_HELD,
        "mostTries": 6,
        "connectTimeout": 10**9,
        "connIdle": 10**10,
        "probes": False,
        "cancel": False,
    }
    path, state = folder / "config.json", folder / "state"
    state.mkdir(exist_ok=True)
    path.write_text(
        json.dumps(
            {
                "name": "measured",
                "seed": "1",
                "limits": {"memory_mb": ROOM_MB, "sockets": 1024, "disk_mb": ROOM_MB},
                "known": listing(destinations, status),
                "settings": settings,
            }
        )
    )
    return {
        "RELAY_CONFIG": str(path),
        "RELAY_STATE": str(state),
        "RELAY_LISTEN": "127.0.0.1:0",
        "RELAY_DISCOVERY": "127.0.0.1:9",  # nobody: the list of the file stays in force
    }


class Started(NamedTuple):
    """A relay that says that it serves: its processor seconds until then, and the most memory."""

    cpu: float
    memory: float


class Relay:
    """A relay as a process of its own."""

    def __init__(self, environment: dict[str, str]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "garnetrelay"],
            env={**os.environ, **environment},
            stderr=subprocess.PIPE,
        )

    def started(self) -> Started:
        """Waits until it serves; RuntimeError where it ends before that."""
        assert self.process.stderr is not None
        said = b""
        for line in self.process.stderr:
            said = line
            if SERVES in line:
                return Started(self.cpu(), self.memory())
        raise RuntimeError(said.decode(errors="replace").strip() or "the relay ended")

    def cpu(self) -> float:
        """Processor seconds so far."""
        return cpu_ns(self.process.pid) / 1e9

    def memory(self) -> float:
        """The most resident memory so far, bytes."""
        return most_resident(self.process.pid)

    def end(self) -> None:
        """SIGKILL."""
        self.process.kill()
        self.process.communicate()
