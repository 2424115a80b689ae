"""Real relays, each a process as the deployment starts it: environment, state folder, limits, signals, restarts."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import shlex
import signal
import socket
import sys
from pathlib import Path

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal import staff
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.plan import Plan

START_TIME = 30.0  # seconds in which a relay has to answer PING
TERM_TIME = 3.7  # seconds from SIGTERM to SIGKILL
SAMPLE_EVERY = 0.05  # seconds between two looks at a process
BLOCK = 512
PORT_TRIES = 100
START_TRIES = 3  # of a first start, each on another port: somebody may have taken the one before
PING = b"*1\r\n$4\r\nPING\r\n"


class StartError(RuntimeError):
    """A relay did not start; the text has the end of its log."""


class RelayProcess:
    """One relay through its lives."""

    def __init__(self, name: str, plan: Plan, folder: Path, observer: Observer, command: str | None) -> None:
        self.name = name
        self.plan = plan
        self.observer = observer
        self.command = command or shlex.join([sys.executable, "-m", "garnetrelay"])
        self.folder = folder / name
        self.state = self.folder / "state"
        self.state.mkdir(parents=True)
        self.log = self.folder / "log"
        self.port = _free_port()
        self.life = 0
        self.ready = False
        self.process: asyncio.subprocess.Process | None = None
        self.planned = False  # its end is
        self.staff_port = 0
        self.options: Path | None = None  # what its RELAY_OPTIONS names
        self._stopped = 0  # nanoseconds for which it was stopped, in all
        self._stopped_at: int | None = None
        self._waited: dict[int, int] = {}  # for a core, by process
        self._expected: set[int] = set()  # processes whose end is no news: a new one has the relay
        self._watching: asyncio.Task[None] | None = None

    def move(self) -> None:
        """Listen elsewhere from the next start on."""
        self.port = _free_port()

    def configure(self, discovery: str, known: object) -> None:
        """Write the file that RELAY_CONFIG names, in one step."""
        path = self.folder / "config.json"
        new = self.folder / "config.json.new"
        new.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": discovery,
                    "seed": f"{self.plan.seed}-{self.name}-{self.life}",
                    "limits": self.plan.limits,
                    "settings": self.plan.settings,
                    "known": known,
                }
            )
        )
        new.rename(path)

    async def start(self, discovery: str) -> None:
        """Start the process and wait until it answers."""
        self.planned, self.ready, self.life = False, False, self.life + 1
        at, since = self.observer.did()
        self.observer.see(ev.RelayStarted(at, since, self.name, self.life))
        self.staff_port = _free_port() if self.plan.staffed or self.options is not None else 0
        self.process = await self._spawn(discovery, self.staff_port)
        self._watching = asyncio.get_running_loop().create_task(self._watch(self.process))
        async with asyncio.timeout(START_TIME):
            while not await self._answers():
                if self.process.returncode is not None:
                    raise StartError(f"{self.name} ended with status {self.process.returncode}: {self.tail()}")
                await asyncio.sleep(0.02)
        self.ready = True
        at, since = self.observer.read()
        self.observer.see(ev.RelayReady(at, since, self.name, self.life))

    async def _spawn(self, discovery: str, staff_port: int, config: str = "config.json") -> asyncio.subprocess.Process:
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": discovery,
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.folder / config),
        }
        if self.options is not None:
            environment["RELAY_OPTIONS"] = str(self.options)
        if staff_port:
            environment["RELAY_OPS"] = f"127.0.0.1:{staff_port}"
        limit = min(int(self.plan.limits["sockets"]), resource.getrlimit(resource.RLIMIT_NOFILE)[1])
        with self.log.open("ab") as log:
            return await asyncio.create_subprocess_shell(
                f"ulimit -n {limit}; exec {self.command}",
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    # ---- upgrades

    async def upgrade(self, discovery: str, fault: str, after: float) -> None:
        """Start a new process beside the running one, as staff do. ``fault``: it can't read its configuration
        (``config``), or is ``killed`` so many seconds after its start; else it must come to serve."""
        old, watching = self.process, self._watching
        if old is None or not self.ready:
            return
        began = self.observer.clock.now()
        port = _free_port()
        new = await self._spawn(discovery, port, "none.json" if fault == "config" else "config.json")
        if fault == "config":
            async with asyncio.timeout(START_TIME):
                await new.wait()
        elif fault == "killed":
            await asyncio.sleep(after)
            await self._cut_off(new)
        else:
            await self._hears_yes(new, port)
            self._expected.add(old.pid)
            self.process, self.staff_port = new, port
            self._watching = asyncio.get_running_loop().create_task(self._watch(new))
            await self._end_old(old)
            if watching is not None:
                await watching
        at, since = self.observer.read()
        self.observer.see(ev.RelayHandover(at, since, self.name, fault or "well", began))

    async def _hears_yes(self, new: asyncio.subprocess.Process, port: int) -> None:
        async with asyncio.timeout(START_TIME):
            while not await staff.says_yes(port, "HEALTH"):
                if new.returncode is not None:
                    raise StartError(f"{self.name}: the new process ended with status {new.returncode}: {self.tail()}")
                await asyncio.sleep(0.02)

    async def _end_old(self, old: asyncio.subprocess.Process) -> None:
        if old.returncode is None:
            old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_TIME):
                await old.wait()
        except TimeoutError:
            old.kill()
            await old.wait()

    async def _cut_off(self, new: asyncio.subprocess.Process) -> None:
        """Kill the new process, wherever it is. If it had the relay by then, that is the end of a life: the old
        process begins another from the folder. From outside nobody can tell which, so it counts as one."""
        at, since = self.observer.did()
        self.observer.see(ev.RelaySignalled(at, since, self.name, "SIGKILL of the new process"))
        self.life += 1
        self.observer.see(ev.RelayStarted(at, since, self.name, self.life))
        if new.returncode is None:
            new.kill()
        await new.wait()
        async with asyncio.timeout(START_TIME):
            while not (await self._answers() and await staff.says_yes(self.staff_port, "HEALTH")):
                if self.process is None or self.process.returncode is not None:
                    raise StartError(f"{self.name}: the old process did not carry on: {self.tail()}")
                await asyncio.sleep(0.02)
        at, since = self.observer.read()
        self.observer.see(ev.RelayReady(at, since, self.name, self.life))

    async def exclude(self, route: str, out: bool) -> bool:
        """Staff take an endpoint out, or put it back; whether the relay said yes."""
        if not out:
            at, since = self.observer.did()
            self.observer.see(ev.EndpointExclusion(at, since, self.name, route, False))
        said = await staff.says_yes(self.staff_port, f"{'OFFLINE' if out else 'ONLINE'} {route}")
        if said and out:
            at, since = self.observer.read()
            self.observer.see(ev.EndpointExclusion(at, since, self.name, route, True))
        return said

    async def _answers(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(PING)
            return await reader.readline() == b"+PONG\r\n"
        except OSError:
            return False
        finally:
            writer.transport.abort()

    def tail(self) -> str:
        """The end of its log, on one line."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return " / ".join(text.strip().splitlines()[-3:])

    async def end(self, number: signal.Signals) -> None:
        """A planned end: SIGTERM with its time, or SIGKILL at once. Returns when the process is gone."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        self.planned, self.ready = True, False
        self.go_on()
        at, since = self.observer.did()
        self.observer.see(ev.RelaySignalled(at, since, self.name, number.name))
        process.send_signal(number)
        try:
            async with asyncio.timeout(TERM_TIME):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        if self._watching is not None:
            await self._watching

    def hang_up(self) -> None:
        """SIGHUP: it reads its configuration again."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """SIGSTOP: it does not run, and counts as a relay that gets no core."""
        if self.process is not None and self.process.returncode is None and self._stopped_at is None:
            self.process.send_signal(signal.SIGSTOP)
            self._stopped_at = self.observer.clock.now()

    def go_on(self) -> None:
        """SIGCONT."""
        if self._stopped_at is None:
            return
        self._stopped, self._stopped_at = self._stopped_for(), None
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)

    @property
    def stopped(self) -> bool:
        """Whether the process is held by SIGSTOP."""
        return self._stopped_at is not None

    def _stopped_for(self) -> int:
        running = 0 if self._stopped_at is None else self.observer.clock.now() - self._stopped_at
        return self._stopped + running

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Sample how long it waited for a core and what lies in its folder, until it is gone."""
        disk = -1
        while process.returncode is None:
            self._waited[process.pid] = max(self._waited.get(process.pid, 0), _run_delay(process.pid))
            at, _ = self.observer.did()
            # What was read in the round before this one had happened by then.
            since = self.observer.clock.since
            self.observer.see(ev.Starved(at, since, self.name, sum(self._waited.values()) + self._stopped_for()))
            used = _used(self.state)
            if used != disk:
                disk = used
                self.observer.see(ev.DiskUsed(at, since, self.name, used))
            try:
                async with asyncio.timeout(SAMPLE_EVERY):
                    await process.wait()
            except TimeoutError:
                continue
        if process.pid in self._expected:
            self._expected.discard(process.pid)
            return
        at, since = self.observer.read()
        # One that never became ready is a start that failed: whoever started it hears of that.
        planned = self.planned or not self.ready
        self.observer.see(ev.RelayEnded(at, since, self.name, process.returncode or 0, planned))
        self.ready = False

    def kill(self) -> None:
        """Whatever it does: end it now."""
        if self.process is not None and self.process.returncode is None:
            self.planned = True
            self.process.kill()

    async def gone(self) -> None:
        """Once its process has ended and all is told of it."""
        if self._watching is not None:
            await self._watching


def _free_port() -> int:
    """A port below those that the kernel gives to outgoing connections: it must still be free after a restart."""
    try:
        first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError):
        first = 32768
    for _ in range(PORT_TRIES):
        port = random.randrange(max(1024, first - 20_000), first)
        with socket.socket() as free:
            free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                free.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise StartError("no free port for a relay")


def _run_delay(pid: int) -> int:
    """For how long a process was ready and got no core (nanoseconds; Linux: /proc/PID/schedstat, else 0)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0


def _used(folder: Path) -> int:
    """What lies in a folder, in whole blocks."""
    total = 0
    for entry in os.scandir(folder):
        try:
            total += -(-entry.stat().st_size // BLOCK) * BLOCK
        except FileNotFoundError:
            continue
    return total
