"""Discovery and platform for fault schedules: one service that handles calls one by one, at any number of addresses."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

from garnetrelay.rehearsal.http import Call, HttpServer
from tests.incidents.proxy import FAULTY, Fates, FaultyProxy

MAX_WAIT_S = 2.0  # for which a call may wait
HEARTBEAT_S = 2.0  # between two empty lines of a watch
PROXY_DELAY_S = 0.1  # after which the proxy has forwarded what was written
NOTIFIED_AFTER_S = 6.0  # the relay counts as notified of a change that discovery has had, and was reachable, for so long


class Outage(Enum):
    """How calls end during an outage of discovery."""

    REFUSES = "refuses"  # 503 at once
    KEEPS = "keeps"  # 503 after the full waiting time
    UNRESPONSIVE = "unresponsive"
    RESETS = "resets"


@dataclass(frozen=True)
class Change:
    """A change of a host's status."""

    index: int
    at: float
    host: str
    status: str


class DiscoveryServer(HttpServer):
    """Discovery at one address, behind its proxy. Each address counts its versions from a different number."""

    def __init__(self, service: Discovery, base: int) -> None:
        super().__init__(self._request)
        self.service = service
        self.base = base
        self.proxy: FaultyProxy | None = None

    def _request(self, call: Call) -> None:
        if call.method == "POST":
            self.service.take_notices(call)
        else:
            self.service.ask(self, call)

    def reaches(self, call: Call) -> bool:
        """Whether an answer to the call reaches the relay."""
        return self.proxy is None or call.connection.port in self.proxy.forwarding_ports


class Discovery:
    """The list of hosts with its changes, and a log of the versions written to the relay."""

    def __init__(self, endpoints: dict[str, dict[str, Any]], rng: random.Random, each: float, fates: Fates) -> None:
        self.endpoints = endpoints
        self.rng = rng
        self.each = each  # seconds that a call takes
        self.fates = fates
        # 300 ms are too short for two connections in a row that are late or fail.
        self.notice_fates = Fates(rng, fates.share, 1, FAULTY)
        self.index = 41
        self.changes: list[Change] = []
        self.notices: dict[str, float] = {}  # arrival of the first notice, by message
        self.written: list[tuple[float, int]] = []  # time of writing, and version
        self.starts: list[float] = []  # times at which the relay was ready
        self.outage: Outage | None = None
        self.up_at = 0.0
        self.servers: list[DiscoveryServer] = []
        self._watches: dict[Call, DiscoveryServer] = {}
        self._free_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> str:
        """Open another address."""
        server = DiscoveryServer(self, base=self.rng.randrange(0, 40))
        await server.start()
        server.proxy = FaultyProxy(server.address, self.fates, self.notice_fates, self.rng)
        await server.proxy.start()
        self.servers.append(server)
        return server.proxy.address

    async def stop(self) -> None:
        """Close all addresses."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            if server.proxy is not None:
                server.proxy.stop()
            await server.stop()

    # ---- events of the schedule

    def change(self, host: str, status: str) -> None:
        """A host drains, leaves the list or returns."""
        self.index += 1
        self.endpoints[host]["status"] = status
        self.changes.append(Change(self.index, time.monotonic(), host, status))
        if self.outage is None:
            for call, server in list(self._watches.items()):
                self._write(server, call, False, self.changes[-1:])

    def go_down(self, outage: Outage) -> None:
        """Begin an outage: watches end, and calls fail."""
        self.outage = outage
        for call in self._watches:
            call.break_off()
        self._watches.clear()

    def come_up(self, load: float) -> None:
        """End an outage: calls are answered again, after those of other relays."""
        self.outage, self.up_at = None, time.monotonic()
        self.add_load(load)

    def add_load(self, seconds: float) -> None:
        """Calls of other relays occupy the service for this time, before any new call."""
        self._free_at = max(self._free_at, time.monotonic() + seconds)

    def stop_responding(self) -> None:
        """Open connections become unresponsive without being closed."""
        for server in self.servers:
            if server.proxy is not None:
                server.proxy.stop_responding()
        self._watches.clear()

    def counts_as_notified(self, change: Change, start: int) -> float:
        """The time at which a process of the relay counts as notified of a change."""
        started = self.starts[start]
        written = [at for at, index in self.written if index >= change.index and at >= started]
        return min([max(change.at, self.up_at, started) + NOTIFIED_AFTER_S, *written])

    # ---- requests of the relay

    def take_notices(self, call: Call) -> None:
        """Answer notices at once, also during an outage."""
        for line in call.body.splitlines():
            self.notices.setdefault(json.loads(line)["ref"], time.monotonic())
        call.answer(204)

    def ask(self, server: DiscoveryServer, call: Call) -> None:
        """Queue a call, or let it fail."""
        task = asyncio.create_task(self._answer(server, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, server: DiscoveryServer, call: Call) -> None:
        now = time.monotonic()
        wait = max(0.0, self._free_at - now) + self.each
        if self.outage is None and wait <= MAX_WAIT_S:
            self._free_at = now + wait  # also if nobody waits for the answer any more
            await asyncio.sleep(wait)
        if self.outage in (Outage.KEEPS, Outage.UNRESPONSIVE):
            await asyncio.sleep(MAX_WAIT_S if self.outage is Outage.KEEPS else 3600)
        if self.outage is Outage.RESETS:
            call.break_off()
        elif self.outage is not None or wait > MAX_WAIT_S:
            call.answer(503)
        else:
            self._list(server, call)

    def _list(self, server: DiscoveryServer, call: Call) -> None:
        since = int(call.target.rpartition("since=")[2])
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches[call] = server
        whole = since == 0 or since > self.index - server.base
        self._write(server, call, whole, [one for one in self.changes if one.index - server.base > since])
        self._heartbeat(call)

    def _heartbeat(self, call: Call) -> None:
        if call in self._watches and not call.connection.lost:
            call.raw(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat, call)

    def _write(self, server: DiscoveryServer, call: Call, whole: bool, changes: list[Change]) -> None:
        latest = {one.host: one.status for one in changes}
        entries = [dict(one) for one in self.endpoints.values() if one["status"] != "Gone"]
        if not whole:
            entries = [{**self.endpoints[host], "status": status} for host, status in latest.items()]
        line = json.dumps({"index": self.index - server.base, "snapshot": whole, "endpoints": entries}).encode() + b"\n"
        call.raw(b"%x\r\n%s\r\n" % (len(line), line))
        asyncio.get_running_loop().call_later(PROXY_DELAY_S, self._written, server, call, time.monotonic(), self.index)

    def _written(self, server: DiscoveryServer, call: Call, at: float, index: int) -> None:
        """Log a version with the time of its writing, unless its connection became unresponsive meanwhile."""
        if server.reaches(call):
            self.written.append((at, index))
