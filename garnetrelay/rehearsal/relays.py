"""Real relay processes, started as the deployment does: environment, state folder, limits, signals, restarts."""

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

START_TIMEOUT_S = 30.0  # until a relay answers PING
TERM_TIMEOUT_S = 3.7  # from SIGTERM to SIGKILL
SAMPLE_INTERVAL_S = 0.05  # between two samples of a process
BLOCK_BYTES = 512
MAX_PORT_ATTEMPTS = 100
MAX_START_ATTEMPTS = 3  # of a first start, each on another port: another program may have taken the previous one
PING = b"*1\r\n$4\r\nPING\r\n"


class StartError(RuntimeError):
    """A relay did not start; the message has the end of its log."""


class RelayProcess:
    """One relay, with all processes that run it one after another."""

    def __init__(self, name: str, plan: Plan, folder: Path, observer: Observer, command: str | None) -> None:
        self.name = name
        self.plan = plan
        self.observer = observer
        self.command = command or shlex.join([sys.executable, "-m", "garnetrelay"])
        self.folder = folder / name
        self.state_folder = self.folder / "state"
        self.state_folder.mkdir(parents=True)
        self.log = self.folder / "log"
        self.port = _free_port()
        self.life = 0
        self.ready = False
        self.process: asyncio.subprocess.Process | None = None
        self.planned = False  # the end of the process is planned
        self.operator_port = 0
        self.options: Path | None = None  # the file that RELAY_OPTIONS names
        self._paused_ns = 0  # total time for which it was paused
        self._paused_at: int | None = None
        self._core_waits: dict[int, int] = {}  # nanoseconds for which a process waited for a core, by process id
        self._replaced: set[int] = set()  # ids of processes that a new one has replaced
        self._watching: asyncio.Task[None] | None = None

    def change_port(self) -> None:
        """Use another port from the next start on."""
        self.port = _free_port()

    def configure(self, discovery: str, known: object) -> None:
        """Replace the file that RELAY_CONFIG names atomically."""
        path = self.folder / "config.json"
        temporary = self.folder / "config.json.new"
        temporary.write_text(
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
        temporary.rename(path)

    async def start(self, discovery: str) -> None:
        """Start the process and wait until it answers PING."""
        self.planned, self.ready, self.life = False, False, self.life + 1
        at, since = self.observer.action_time()
        self.observer.record(ev.RelayStarted(at, since, self.name, self.life))
        self.operator_port = _free_port() if self.plan.uses_operator_commands or self.options is not None else 0
        self.process = await self._spawn(discovery, self.operator_port)
        self._watching = asyncio.get_running_loop().create_task(self._watch(self.process))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._answers_ping():
                if self.process.returncode is not None:
                    raise StartError(f"{self.name} ended with status {self.process.returncode}: {self.log_tail()}")
                await asyncio.sleep(0.02)
        self.ready = True
        at, since = self.observer.read_time()
        self.observer.record(ev.RelayReady(at, since, self.name, self.life))

    async def _spawn(self, discovery: str, operator_port: int, config: str = "config.json") -> asyncio.subprocess.Process:
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": discovery,
            "RELAY_STATE": str(self.state_folder),
            "RELAY_CONFIG": str(self.folder / config),
        }
        if self.options is not None:
            environment["RELAY_OPTIONS"] = str(self.options)
        if operator_port:
            environment["RELAY_OPS"] = f"127.0.0.1:{operator_port}"
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
        """Start a new process beside the running one, as operators do.

        ``fault``: the new process can't read its configuration (``config``), or is ``killed`` ``after`` seconds from its
        start. Without a fault it must take over.
        """
        old, watching = self.process, self._watching
        if old is None or not self.ready:
            return
        began = self.observer.clock.now()
        port = _free_port()
        new = await self._spawn(discovery, port, "none.json" if fault == "config" else "config.json")
        if fault == "config":
            async with asyncio.timeout(START_TIMEOUT_S):
                await new.wait()
        elif fault == "killed":
            await asyncio.sleep(after)
            await self._kill_new(new)
        else:
            await self._wait_healthy(new, port)
            self._replaced.add(old.pid)
            self.process, self.operator_port = new, port
            self._watching = asyncio.get_running_loop().create_task(self._watch(new))
            await self._end_old(old)
            if watching is not None:
                await watching
        at, since = self.observer.read_time()
        self.observer.record(ev.RelayHandover(at, since, self.name, fault or "well", began))

    async def _wait_healthy(self, new: asyncio.subprocess.Process, port: int) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await staff.says_yes(port, "HEALTH"):
                if new.returncode is not None:
                    raise StartError(
                        f"{self.name}: the new process ended with status {new.returncode}: {self.log_tail()}"
                    )
                await asyncio.sleep(0.02)

    async def _end_old(self, old: asyncio.subprocess.Process) -> None:
        if old.returncode is None:
            old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await old.wait()
        except TimeoutError:
            old.kill()
            await old.wait()

    async def _kill_new(self, new: asyncio.subprocess.Process) -> None:
        """Kill the new process at any point of the handover.

        If it had already taken over, the old process restarts from the state folder, which is a new life. This cannot
        be observed from outside, so it always counts as a new life.
        """
        at, since = self.observer.action_time()
        self.observer.record(ev.RelaySignalled(at, since, self.name, "SIGKILL of the new process"))
        self.life += 1
        self.observer.record(ev.RelayStarted(at, since, self.name, self.life))
        if new.returncode is None:
            new.kill()
        await new.wait()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (await self._answers_ping() and await staff.says_yes(self.operator_port, "HEALTH")):
                if self.process is None or self.process.returncode is not None:
                    raise StartError(f"{self.name}: the old process did not continue: {self.log_tail()}")
                await asyncio.sleep(0.02)
        at, since = self.observer.read_time()
        self.observer.record(ev.RelayReady(at, since, self.name, self.life))

    async def exclude(self, route: str, out: bool) -> bool:
        """Exclude an endpoint by an operator command, or include it again. Returns whether the relay confirmed."""
        if not out:
            at, since = self.observer.action_time()
            self.observer.record(ev.EndpointExclusion(at, since, self.name, route, False))
        confirmed = await staff.says_yes(self.operator_port, f"{'OFFLINE' if out else 'ONLINE'} {route}")
        if confirmed and out:
            at, since = self.observer.read_time()
            self.observer.record(ev.EndpointExclusion(at, since, self.name, route, True))
        return confirmed

    async def _answers_ping(self) -> bool:
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

    def log_tail(self) -> str:
        """The last lines of its log, on one line."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return " / ".join(text.strip().splitlines()[-3:])

    async def end(self, signal_number: signal.Signals) -> None:
        """End the process as planned: SIGTERM, with SIGKILL after a time-out, or SIGKILL at once. Waits for its end."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        self.planned, self.ready = True, False
        self.resume()
        at, since = self.observer.action_time()
        self.observer.record(ev.RelaySignalled(at, since, self.name, signal_number.name))
        process.send_signal(signal_number)
        try:
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        if self._watching is not None:
            await self._watching

    def reload(self) -> None:
        """Send SIGHUP: the relay reads its configuration again."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Send SIGSTOP. The time until ``resume`` counts as time without a core."""
        if self.process is not None and self.process.returncode is None and self._paused_at is None:
            self.process.send_signal(signal.SIGSTOP)
            self._paused_at = self.observer.clock.now()

    def resume(self) -> None:
        """Send SIGCONT."""
        if self._paused_at is None:
            return
        self._paused_ns, self._paused_at = self._total_paused(), None
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)

    @property
    def paused(self) -> bool:
        """Whether the process is stopped by SIGSTOP."""
        return self._paused_at is not None

    def _total_paused(self) -> int:
        running = 0 if self._paused_at is None else self.observer.clock.now() - self._paused_at
        return self._paused_ns + running

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Sample the time it waited for a core and the size of its state folder, until it ends."""
        disk = -1
        while process.returncode is None:
            self._core_waits[process.pid] = max(self._core_waits.get(process.pid, 0), _core_wait(process.pid))
            at, _ = self.observer.action_time()
            # What was read in the previous iteration of the loop had happened by then.
            since = self.observer.clock.since
            self.observer.record(ev.Starved(at, since, self.name, sum(self._core_waits.values()) + self._total_paused()))
            used = _disk_usage(self.state_folder)
            if used != disk:
                disk = used
                self.observer.record(ev.DiskUsed(at, since, self.name, used))
            try:
                async with asyncio.timeout(SAMPLE_INTERVAL_S):
                    await process.wait()
            except TimeoutError:
                continue
        if process.pid in self._replaced:
            self._replaced.discard(process.pid)
            return
        at, since = self.observer.read_time()
        # A process that never became ready is a failed start, which is reported to the caller of ``start``.
        planned = self.planned or not self.ready
        self.observer.record(ev.RelayEnded(at, since, self.name, process.returncode or 0, planned))
        self.ready = False

    def kill(self) -> None:
        """Kill the process, whatever its state is."""
        if self.process is not None and self.process.returncode is None:
            self.planned = True
            self.process.kill()

    async def wait_ended(self) -> None:
        """Wait until its process has ended and its events are recorded."""
        if self._watching is not None:
            await self._watching


def _free_port() -> int:
    """A port below the range for outgoing connections, so that it is still free after a restart."""
    try:
        first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError):
        first = 32768
    for _ in range(MAX_PORT_ATTEMPTS):
        port = random.randrange(max(1024, first - 20_000), first)
        with socket.socket() as free:
            free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                free.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise StartError("no free port for a relay")


def _core_wait(pid: int) -> int:
    """For how long a process was runnable without a core (nanoseconds; from /proc/PID/schedstat on Linux, else 0)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0


def _disk_usage(folder: Path) -> int:
    """The size of the files in a folder, in whole blocks (bytes)."""
    total = 0
    for entry in os.scandir(folder):
        try:
            total += -(-entry.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES
        except FileNotFoundError:
            continue
    return total
