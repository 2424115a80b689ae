"""A seeded fault schedule: one real relay, discovery behind a faulty proxy, failing hosts, and reloads in a row.

    python -m tests.incidents.play --seeds 0 60 --text .          # this checkout
    python -m tests.incidents.play --seeds 0 60 --text ../older   # another checkout, under the same schedules

Checked against the protocol's rules: no call goes to a draining host after the grace period, counted from when the relay
counts as notified; an accepted message ends exactly once and in time; and no unsafe message takes effect twice.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from garnetrelay.rehearsal.http import Call, HttpServer
from garnetrelay.rehearsal.scripted_peers import Client
from tests.incidents.discovery import Change, Discovery, Outage
from tests.incidents.proxy import Fates
from tests.sockets import FACTS, Field, endpoint

GRACE_S = 1.05  # grace period of a drain, on real sockets
SLACK_S = 0.3  # for this machine: between writing and reading a line, or sending and recording a call
MESSAGE_TIME_LIMIT_S = 4.0
MAX_NOTICE_DELAY_S = 0.3 + SLACK_S  # after a message's deadline
MIN_RUN_S = 24.0
QUIET_END_S = 9.0  # of those, after the last fault of discovery
RESTART_SHARE = 0.3  # of all runs
DRAINS = 3  # hosts that leave in each run
TRAFFIC_INTERVAL_S = 0.03
HOSTS = 5
LAG_INTERVAL_S = 0.02
START_TIMEOUT_S = 30.0
DOWN_TIME_S = 0.6  # between a kill and the next start
RESTART_GRACE_S = 1.5  # after a restart, in which no notice is overdue
CLASSES = ("safe", "keyed", "unsafe")
ANSWER_TIMEOUT_S = 0.4  # for which a client waits for an answer


@dataclass
class Result:
    """The result of one run."""

    seed: int
    drains: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    crashed: bool = False
    accepted: int = 0
    delivered: int = 0
    fates: Counter[str] = field(default_factory=Counter)

    @property
    def broken(self) -> list[str]:
        """All violations."""
        return [*self.drains, *self.lost, *self.twice, *(["the relay ended"] if self.crashed else [])]


class Host(HttpServer):
    """An endpoint that answers normally, answers slowly, does not answer, or refuses calls."""

    def __init__(self, name: str, rng: random.Random) -> None:
        super().__init__(self._request)
        self.name = name
        self.rng = rng
        self.behaviour = "normal"
        self.arrivals: list[tuple[float, str]] = []
        self.ran: Counter[str] = Counter()
        self.delivered: dict[str, float] = {}

    def _request(self, call: Call) -> None:
        ref = call.headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), ref or "a probe"))
        if call.method == "GET":
            call.answer(200 if self.behaviour in ("normal", "slow") else 503)
        elif self.behaviour == "refuses":
            if self.rng.random() < 0.5:
                call.answer(429, "X-Backoff-Ms: 200")
            else:
                call.answer(503)
        elif self.behaviour != "unresponsive":
            delay = self.rng.uniform(0.3, 1.2) if self.behaviour == "slow" else 0.02
            asyncio.get_running_loop().call_later(delay, self._answer, call, ref)

    def _answer(self, call: Call, ref: str) -> None:
        self.ran[ref] += 1
        if not call.connection.lost:
            self.delivered.setdefault(ref, time.monotonic())
            call.answer(200)


@dataclass
class Lag:
    """The longest delay of this process: on a busy machine the timings of a run are not reliable."""

    longest: float = 0.0

    async def measure(self) -> None:
        """Measure until cancelled."""
        while True:
            begun = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.longest = max(self.longest, time.monotonic() - begun - LAG_INTERVAL_S)


class ScheduleRun:
    """The run of one schedule."""

    def __init__(self, seed: int, text: Path, folder: Path) -> None:
        self.rng = random.Random(f"{seed}/schedule")  # drawn in advance, independent of what happens in the run
        self.result = Result(seed)
        self.text = text
        self.folder = folder
        self.field = Field(folder)
        self.hosts = [Host(f"s-{number}", random.Random(f"{seed}/host {number}")) for number in range(HOSTS)]
        self.accepted: dict[str, tuple[str, float]] = {}  # class, and time of sending
        self.child: asyncio.subprocess.Process | None = None
        self.port = self.field.free_port()
        self.config: dict[str, Any] = {}
        self.killed_at: list[float] = []

    async def run(self) -> Result:
        """Run the schedule, and check the rules."""
        for host in self.hosts:
            await host.start()
        endpoints = {host.name: endpoint(host, host.name) for host in self.hosts}  # type: ignore[arg-type]
        network = random.Random(f"{self.result.seed}/network")
        fates = Fates(network, self.rng.choice([0.0, 0.3, 0.7]), 2)
        self.discovery = Discovery(endpoints, network, self.rng.choice([0.02, 0.15, 0.35, 0.6]), fates)
        try:
            await self._start()
            traffic = asyncio.create_task(self._traffic())
            await self._run_faults()
            traffic.cancel()
            await asyncio.sleep(MESSAGE_TIME_LIMIT_S + 1.0)
            self._check_rules()
        finally:
            await self._stop()
        self.result.fates.update(fate.value for fate in fates.drawn)
        return self.result

    async def _start(self) -> None:
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": await self.discovery.open(),
            "seed": str(self.result.seed),
            "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "settings": {**FACTS, "balancers": self.rng.choice([1, 3, 6, 200])},
            "known": {"index": 0, "snapshot": True, "endpoints": list(self.discovery.endpoints.values())},
        }
        self._configure()
        await self._start_process()

    async def _start_process(self) -> None:
        log = (self.folder / "log").open("ab")
        environment = {"RELAY_CONFIG": str(self.folder / "config.json"), "RELAY_STATE": str(self.field.state)}
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "garnetrelay", cwd=self.text, env={**os.environ, **environment}, stderr=log
        )
        log.close()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._serves():
                await asyncio.sleep(0.05)
        self.discovery.starts.append(time.monotonic())

    async def _restart(self) -> None:
        """SIGKILL, and a new process from the folder; its configuration has the list of hosts of the first start."""
        assert self.child is not None
        self.killed_at.append(time.monotonic())
        self.child.kill()
        await self.child.wait()
        await asyncio.sleep(DOWN_TIME_S)
        await self._start_process()

    async def _serves(self) -> bool:
        try:
            client = await Client.connect(self.port)
        except OSError:
            return False
        answer = await client.ask("PING")
        client.writer.close()
        return bool(answer == b"PONG")

    def _configure(self) -> None:
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.rename(self.folder / "config.json")

    async def _stop(self) -> None:
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()
        await self.discovery.stop()
        for host in self.hosts:
            await host.stop()
        for reserved in self.field.reserved_ports:
            reserved.close()

    # ---- clients

    async def _traffic(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(1_000_000):
                group.create_task(self._message(f"{self.result.seed:x}-{number}", CLASSES[number % len(CLASSES)]))
                await asyncio.sleep(TRAFFIC_INTERVAL_S)

    async def _message(self, ref: str, klass: str) -> None:
        options = f"c={klass},d={int(MESSAGE_TIME_LIMIT_S * 1000)},dest=3" + (f",k=key-{ref}" if klass == "keyed" else "")
        sent = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                client = await Client.connect(self.port)
                answer = await client.ask("ENQUEUE", "0000", ref, options, "x")
        except (OSError, TimeoutError):
            return
        client.writer.close()
        if answer == b"OK":
            self.accepted[ref] = klass, sent

    # ---- faults

    async def _run_faults(self) -> None:
        """Outages, unresponsive connections and reloads in a row, a drain near the end of each, and failing hosts."""
        events: list[tuple[float, Any]] = []
        at, leaving = 0.5, self.rng.sample(self.hosts, DRAINS)
        while at < MIN_RUN_S - QUIET_END_S:
            for what in self.rng.sample([self._outage, self._reloads, self._unresponsive], self.rng.randrange(1, 4)):
                events += what(at)
                at = max(moment for moment, _ in events) + self.rng.uniform(0.0, 1.0)
            if leaving:
                host, status = leaving.pop(), self.rng.choice(["Terminating", "Terminating", "Gone"])
                events.append(
                    (
                        max(0.0, at - self.rng.uniform(0.0, 3.0)),
                        lambda host=host, status=status: self.discovery.change(host.name, status),
                    )
                )
            at += self.rng.uniform(0.0, 4.0)
        for _ in range(6):
            events += self._host_faults()
        if self.rng.random() < RESTART_SHARE:
            events.append((self.rng.uniform(3.0, MIN_RUN_S - QUIET_END_S), self._restart))
        begun = time.monotonic()
        for moment, event in sorted(events, key=lambda one: one[0]):
            await asyncio.sleep(max(0.0, begun + moment - time.monotonic()))
            await event() if asyncio.iscoroutinefunction(event) else event()
        await asyncio.sleep(max(0.0, max(begun + MIN_RUN_S, self.discovery.up_at + QUIET_END_S) - time.monotonic()))

    def _outage(self, at: float) -> list[tuple[float, Any]]:
        outage = self.rng.choice([*Outage, Outage.KEEPS])
        load = self.rng.choice([0.0, self.rng.uniform(2.0, 4.0)])
        back = at + self.rng.uniform(1.0, 14.0)
        return [(at, lambda: self.discovery.go_down(outage)), (back, lambda: self.discovery.come_up(load))]

    def _reloads(self, at: float) -> list[tuple[float, Any]]:
        gaps = [self.rng.uniform(0.05, 0.9) for _ in range(self.rng.randrange(1, 6))]
        load = self.rng.choice([0.0, self.rng.uniform(2.0, 4.0)])
        reloads: list[tuple[float, Any]] = [(at + sum(gaps[:number]), self._reload) for number in range(len(gaps))]
        return [(at, lambda: self.discovery.add_load(load)), *reloads]

    def _unresponsive(self, at: float) -> list[tuple[float, Any]]:
        return [(at, self.discovery.stop_responding)]

    def _host_faults(self) -> list[tuple[float, Any]]:
        host, behaviour = self.rng.choice(self.hosts), self.rng.choice(["slow", "unresponsive", "refuses"])
        at = self.rng.uniform(0.5, MIN_RUN_S - 6.0)
        return [
            (at, lambda: setattr(host, "behaviour", behaviour)),
            (at + self.rng.uniform(1.0, 5.0), lambda: setattr(host, "behaviour", "normal")),
        ]

    async def _reload(self) -> None:
        self.config["discovery"] = await self.discovery.open()
        self._configure()
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGHUP)

    # ---- checks of the rules

    def _check_rules(self) -> None:
        result = self.result
        result.crashed = self.child is None or self.child.returncode is not None
        for change in self.discovery.changes:
            result.drains += self._sent_after(change)
        delivered = {ref: at for host in self.hosts for ref, at in host.delivered.items()}
        ran = sum((host.ran for host in self.hosts), Counter[str]())
        result.accepted, result.delivered = len(self.accepted), sum(ref in delivered for ref in self.accepted)
        for ref, (klass, sent) in self.accepted.items():
            ends = [at for at in (delivered.get(ref), self.discovery.notices.get(ref)) if at is not None]
            if not ends or min(ends) > self._due(sent + MESSAGE_TIME_LIMIT_S) + MAX_NOTICE_DELAY_S:
                late = f"{min(ends) - sent - MESSAGE_TIME_LIMIT_S:.2f} s after its deadline" if ends else "never"
                result.lost.append(f"{ref} ({klass}) ended {late}")
            if klass == "unsafe" and ran[ref] > 1:
                result.twice.append(f"{ref} ran {ran[ref]} times")

    def _due(self, at: float) -> float:
        """The time by which a message must have ended; none is overdue during a restart."""
        for killed, ready in zip(self.killed_at, self.discovery.starts[1:], strict=True):
            if killed <= at <= ready + RESTART_GRACE_S:
                return ready + RESTART_GRACE_S
        return at

    def _sent_after(self, change: Change) -> list[str]:
        host = next(host for host in self.hosts if host.name == change.host)
        found = []
        for start, ends in enumerate([*self.killed_at, float("inf")]):
            notified = self.discovery.counts_as_notified(change, start)
            late = [(at, ref) for at, ref in host.arrivals if notified + GRACE_S + SLACK_S < at < ends]
            found += [
                f"{ref} went to {host.name} {at - notified:.2f} s after this relay counts as notified" for at, ref in late
            ]
        return found


async def run_schedule(seed: int, text: Path) -> Result:
    """Run one schedule in its own folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await ScheduleRun(seed, text, Path(folder)).run()


async def run_schedules(seeds: Iterable[int], text: Path, concurrency: int) -> list[Result]:
    """Run many schedules, a limited number at a time; prints a line for each as it ends."""
    slots, results = asyncio.Semaphore(concurrency), list[Result]()
    lag = Lag()
    measuring = asyncio.create_task(lag.measure())

    async def one(seed: int) -> None:
        async with slots:
            result = await run_schedule(seed, text)
        results.append(result)
        print(
            f"seed {seed}: accepted {result.accepted}, delivered {result.delivered}, after drains {len(result.drains)}, "
            f"lost {len(result.lost)}, twice {len(result.twice)}; {dict(result.fates)}; {(result.broken or ['ok'])[0]}",
            flush=True,
        )

    async with asyncio.TaskGroup() as group:
        for seed in seeds:
            group.create_task(one(seed))
    measuring.cancel()
    print(
        f"longest delay of this process: {lag.longest:.2f} s; results above that depend on shorter times are not reliable"
    )
    return results


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", nargs=2, type=int, default=(0, 20), metavar=("FIRST", "END"))
    parser.add_argument("--text", type=Path, default=Path("."))
    parser.add_argument("--beside", type=int, default=6)
    options = parser.parse_args()
    results = asyncio.run(run_schedules(range(*options.seeds), options.text, options.beside))
    for name in ("drains", "lost", "twice", "crashed"):
        broken = [result for result in results if getattr(result, name)]
        cases = sum(len(getattr(result, name)) if name != "crashed" else 1 for result in broken)
        print(f"{name}: {len(broken)} of {len(results)} schedules, {cases} cases")


if __name__ == "__main__":
    main()
