"""A relay and its peers on loopback sockets: scripted hosts and a scripted platform, controlled by the test."""

from __future__ import annotations

import asyncio
import copy
import json
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from garnetrelay.config.deployment import Config, load
from garnetrelay.rehearsal import scripted_peers
from garnetrelay.rehearsal.scripted_peers import PATIENCE, ScriptedHost, ScriptedPlatform
from garnetrelay.relay import Relay

FACTS: dict[str, Any] = {
    "azs": ["north", "south"],
    "balancers": 1,
    "kinds": ["plain"],
    "discovery": "subscribe",
    "classes": [
        {"name": "safe", "aim": 10**9, "deadline": 8 * 10**9, "idempotency": "retryable"},
        {
            "name": "keyed",
            "aim": 10**9,
            "deadline": 8 * 10**9,
            "idempotency": "dedup",
            "keyScope": "zone",
            "repeatWindow": 6 * 10**9,
        },
        {"name": "unsafe", "aim": 10**9, "deadline": 8 * 10**9, "idempotency": "fragile"},
    ],
    "familyInfo": {"callsOut": 8},
    "loadReport": {"via": "inline"},
    "rules": {
        "fall": 3 * 10**9,
        "fallMultiple": 2.0,
        "rampTime": 10**10,
        "startCapacity": 0.2,
        "drainGrace": 10**9,
        "askEvery": 10**10,
    },
    "limits": {
        "mostHeld": 100,
        "mostTries": 6,
        "connectTimeout": 10**9,
        "connIdle": 10**10,
        "probes": True,
        "cancel": True,
    },
}


def endpoint(host: ScriptedHost, name: str = "s-1", status: str = "Ready") -> dict[str, Any]:
    return {
        "name": name,
        "address": host.address,
        "zone": "north",
        "type": "plain",
        "group": 3,
        "status": status,
        "weight": 50.0,
        "since_ms": 0,
    }


def host_list_json(index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> str:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": list(endpoints)})


class Client(scripted_peers.Client):
    """A client that submits messages of the classes in ``FACTS``."""

    async def enqueue_unread(self, ref: str, d: int) -> None:
        """Submit a message, and wait only until the data has been sent, not for the answer."""
        self.write("ENQUEUE", "0000", ref, f"c=safe,d={d},k=key-{ref},dest=3", "x")
        await self.writer.drain()

    async def enqueue(self, ref: str, klass: str = "safe", d: int = 8000, body: bytes = b"x", dest: int = 3) -> Any:
        return await self.ask("ENQUEUE", "0000", ref, f"c={klass},d={d},k=key-{ref},dest={dest}", body)


class Field:
    """A relay, its scripted hosts and its scripted platform."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        self.host = ScriptedHost()
        self.platform = ScriptedPlatform()
        self.facts = copy.deepcopy(FACTS)
        self.limits: dict[str, float] = {"memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.endpoints: list[dict[str, Any]] = []
        self.relays: list[Relay] = []
        self.port = 0
        self.options = ""
        self.operators = False
        self.reserved_ports: list[socket.socket] = []

    def free_port(self) -> int:
        """A port for a relay's process, reserved until this field stops. A socket bound with SO_REUSEPORT keeps the
        kernel from assigning the port to others while no process listens on it, and the relay can still bind it."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        reserved.bind(("127.0.0.1", 0))
        self.reserved_ports.append(reserved)
        return int(reserved.getsockname()[1])

    async def prepare(self) -> None:
        await self.host.start()
        await self.platform.start()
        self.endpoints = [endpoint(self.host)]

    def environment(self, port: int = 0) -> dict[str, str]:
        path = self.folder / "config.json"
        written = path.with_suffix(".new")
        written.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": self.platform.address,
                    "seed": "5",
                    "limits": self.limits,
                    "settings": self.facts,
                    "known": {"index": 41, "snapshot": True, "endpoints": self.endpoints},
                }
            )
        )
        written.rename(path)  # a process that starts meanwhile reads the old file or the new one, never half of one
        return {
            "RELAY_CONFIG": str(path),
            "RELAY_STATE": str(self.state),
            "RELAY_OPTIONS": self.options,
            "RELAY_OPS": "127.0.0.1:0" if self.operators else "",
        }

    def config(self) -> Config:
        return load(self.environment())

    async def start(self) -> Client:
        """Start a relay in this process, and connect a client to it."""
        relay = Relay(self.config())
        self.relays.append(relay)
        _, self.port = await relay.start()
        return await Client.connect(self.port)

    async def stop(self) -> None:
        for relay in self.relays:
            relay.server.drain()
            relay.close()
        await self.host.stop()
        await self.platform.stop()
        for reserved in self.reserved_ports:
            reserved.close()

    async def warm(self, client: Client) -> None:
        """Deliver two messages: after the first call alone, the Pacer closes the host's connection again. The next call
        may be written at once."""
        relay = self.relays[0]
        for n in range(2):
            await client.enqueue(f"warm{n}")
            (await self.host.next_call()).answer(200)
            await until(lambda: not relay.pending)
        await until(lambda: all(time.monotonic() >= connection.settled_at for connection in relay.hosts.open))


async def until(condition: Callable[[], bool]) -> None:
    """Let the loop run until a condition holds that no queue signals."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0)
