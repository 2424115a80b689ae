"""Runs real relays as processes that communicate through the simulated links. Tests wait for what the relays log."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from garnetrelay.fleet.status import Line, State
from garnetrelay.rehearsal.links.network import Network
from garnetrelay.simulation.links import LinkConditions, Links
from tests.sockets import FACTS

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 30.0  # only a failing test waits this long
SECRET = "a secret of the tests\n"


class Process:
    """One process and its log lines."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.folder = fleet.folder / name
        (self.folder / "state").mkdir(parents=True)
        self.lines: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.secrets = SECRET

    async def run(self, *command: str, **environment: str) -> None:
        """Starts the process and reads its log."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **environment},
        )
        self.reading = asyncio.get_running_loop().create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.lines.append(line.decode().rstrip())
            async with self.fleet.new_line:
                self.fleet.new_line.notify_all()

    def logged(self, text: str, since: int = 0) -> bool:
        return any(text in line for line in self.lines[since:])

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_for_exit(self) -> int:
        assert self.process is not None and self.reading is not None
        async with asyncio.timeout(TIMEOUT_S):
            await self.reading
            return await self.process.wait()


class Relay(Process):
    """A relay process."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        super().__init__(fleet, name)
        self.off = False
        self.options = "probe_every_ms = 100\nprobe_timeout_ms = 40\n"

    async def start(self) -> None:
        network = self.fleet.network
        (self.folder / "secret").write_text(self.secrets)
        (self.folder / "options.toml").write_text(
            f'[fleet]\nlisten = "{network.inner(self.name)}"\nadvertise = "{network.outer(self.name)}"\n'
            f'seeds = {json.dumps([network.outer(seed) for seed in self.fleet.seeds])}\nsecret_file = "secret"\n'
            f"{self.options}"
        )
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{network.inner(self.name).rpartition(':')[0]}:0",
                    "discovery": "127.0.0.1:9",
                    "seed": self.name,
                    "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                    "settings": FACTS,
                    "known": {"index": 1, "snapshot": True, "endpoints": []},
                }
            )
        )
        self.operators_address = f"{network.inner(self.name).rpartition(':')[0]}:{network.port + 1}"
        await self.run(
            "-m",
            "garnetrelay",
            RELAY_CONFIG=str(self.folder / "config.json"),
            RELAY_OPS=self.operators_address,
            RELAY_STATE=str(self.folder / "state"),
            RELAY_OPTIONS="" if self.off else str(self.folder / "options.toml"),
        )

    async def upgrade(self) -> None:
        """Starts a new process that takes over from the running one."""
        old, reading, lines = self.process, self.reading, len(self.lines)
        assert old is not None and reading is not None
        await self.start()
        await self.fleet.until(lambda: self.logged("serves on", lines))
        old.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_S):
            await reading
            await old.wait()

    async def ask(self, line: str) -> list[str]:
        """Returns the answer to an operator command."""
        host, _, port = self.operators_address.rpartition(":")
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(line.encode() + b"\n")
            answer = (await reader.read()).decode()
            writer.close()
        assert answer.startswith("+OK"), answer
        return answer.splitlines()[1:-1]

    async def members(self) -> tuple[State, dict[str, Line]]:
        first, *rest = await self.ask("FLEET MEMBERS")
        lines: list[Line] = [msgspec.json.decode(line, type=Line) for line in rest]
        return msgspec.json.decode(first, type=State), {line.name: line for line in lines}


class Fleet:
    """The relay processes and the network between them."""

    def __init__(self, folder: Path, count: int, seeds: int = 2, base: LinkConditions | None = None) -> None:
        self.folder = folder
        names = [f"r{number}" for number in range(1, count + 1)]
        self.links = Links(base or LinkConditions(), 1)
        self.network = Network(names, self.links)
        self.seeds = names[:seeds]
        self.new_line = asyncio.Condition()
        self.relays = {name: Relay(self, name) for name in names}

    async def __aenter__(self) -> Fleet:
        await self.network.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for relay in self.relays.values():
            if relay.process is not None and relay.process.returncode is None:
                relay.process.send_signal(signal.SIGCONT)
                relay.process.kill()
                await relay.wait_for_exit()
        self.network.stop()

    async def start(self, *names: str) -> None:
        """Starts the relays and waits until each has settled on one view with all running relays."""
        for name in names or self.relays:
            await self.relays[name].start()
        await self.until(
            lambda: all(relay.logged("fleet: joining ->") for relay in self.relays.values() if relay.process is not None)
        )

    async def wait_for_one_view(self) -> None:
        """Waits until all relays are settled on one view that contains all of them; checks again after each log line."""
        async with asyncio.timeout(TIMEOUT_S), self.new_line:
            while True:
                states = [(await relay.members())[0] for relay in self.relays.values()]
                if len({state.view for state in states}) == 1 and {
                    (state.members, state.condition) for state in states
                } == {(len(states), "settled")}:
                    return
                await self.new_line.wait()

    async def wait_for_alive(self, relay: Relay, name: str) -> None:
        """Waits until a relay sees another one as alive; checks again after each log line."""
        async with asyncio.timeout(TIMEOUT_S), self.new_line:
            while (await relay.members())[1][name].status != "alive":
                await self.new_line.wait()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition on the logged lines holds."""
        async with asyncio.timeout(TIMEOUT_S), self.new_line:
            await self.new_line.wait_for(condition)
