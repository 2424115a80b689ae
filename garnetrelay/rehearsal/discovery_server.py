"""The stand-in register and platform: the list and its watch, seconds late or out of order, and notices.

Each relay reaches it at an address of its own, which may move. A change is told to each relay after a delay of its
own; a relay that has had no watch for as long as the settings allow counts as told.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.http import Call, Connection, HttpServer
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.plan import Plan

SECOND = 1_000_000_000
EMPTY_EVERY = 2.0  # seconds between two empty lines of a watch
OLD_STAYS = 1.5  # seconds for which an address that was left keeps its connections
LOOK_EVERY = 0.25
TOLD_AFTER = 6 * SECOND  # a change counts as told so long after the register had it and could be reached


@dataclass(slots=True)
class Entry:
    """An endpoint as the register has it."""

    name: str
    zone: str
    kind: str
    dest: int
    rate: float
    status: str = "Ready"


@dataclass(slots=True)
class Line:
    """Changes that one relay is told together."""

    index: int
    names: list[str]
    status: dict[str, str]
    since: int = 0  # when it could be told


@dataclass(slots=True, eq=False)
class Side:
    """The register as one relay meets it."""

    relay: str
    doors: list[HttpServer] = field(default_factory=list)  # the last is the present one
    watch: Call | None = None
    told: list[Line] = field(default_factory=list)  # what may be told by now
    ready_at: int | None = None
    asked_at: int = 0
    counts_as_told: set[tuple[str, str]] = field(default_factory=set)
    base: int = 0  # taken off the index: an address may count from another version


class Register:
    """Register and platform for all relays of a run. ``on_bounced`` hears of each refusal by a notice."""

    def __init__(
        self,
        plan: Plan,
        observer: Observer,
        address_of: Callable[[str, str], str],
        on_bounced: Callable[[str, int], None],
    ) -> None:
        self.plan = plan
        self.observer = observer
        self.address_of = address_of
        self.on_bounced = on_bounced
        self.random = random.Random(f"{plan.seed}/register")
        self.entries = {
            route.name: Entry(route.name, route.zone, partner.kind, partner.number, partner.listed)
            for partner in plan.partners
            for route in partner.routes
        }
        self.index = 41
        self.sides = {relay: Side(relay) for relay in plan.relays}
        self.down = False
        self.up_at = 0
        self.slower = 0.0  # seconds more until a change is told
        self.notices = "taken"  # refused, lost
        self._ended: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for every relay, and begin to note those that neither watch nor ask."""
        for side in self.sides.values():
            await self._open(side)
        self._hold(self._look())

    async def stop(self) -> None:
        """Stop listening and cut all connections off."""
        for task in self._tasks:
            task.cancel()
        for side in self.sides.values():
            for door in side.doors:
                await door.stop()

    def address(self, relay: str) -> str:
        """Where one relay finds the register, as host:port."""
        return self.sides[relay].doors[-1].address

    def known(self, relay: str) -> dict[str, Any]:
        """The list as a relay may have it at its first start."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [self._entry(relay, entry, entry.status) for entry in self.entries.values()],
        }

    def relay_is(self, relay: str, ready: bool) -> None:
        """A relay has started, or is gone."""
        side = self.sides[relay]
        side.ready_at = self.observer.clock.now() if ready else None
        side.counts_as_told.clear()

    # ---- what changes

    def change(self, *changes: tuple[str, str]) -> None:
        """Endpoints take on other states; each relay is told in its time."""
        self.index += 1
        for name, status in changes:
            self.entries[name].status = status
        for side in self.sides.values():
            late = self.random.uniform(*self.plan.late) / SECOND + self.slower
            line = Line(self.index, [name for name, _ in changes], dict(changes))
            asyncio.get_running_loop().call_later(late, self._tell, side, line)

    def add(self, entry: Entry) -> None:
        """List a new endpoint as ready; the relays hear of it late, as of any change."""
        self.entries[entry.name] = entry
        self.change((entry.name, "Ready"))

    def step_back(self) -> None:
        """The index counts from a lower one: as after a restore from a backup."""
        for side in self.sides.values():
            side.base += 30
            if side.watch is not None:
                self._whole(side)

    def end_watches(self) -> None:
        """Close every watch, as a register that restarts does."""
        for side in self.sides.values():
            if side.watch is not None:
                side.watch.close()

    def go_down(self) -> None:
        """Watches end; calls are reset. Notices are still taken."""
        self.down = True
        self.end_watches()

    def come_up(self) -> None:
        """Answer again; the time is kept, since relays are given some to come back."""
        self.down, self.up_at = False, self.observer.clock.now()

    def take_notices(self, how: str) -> None:
        """From now on they are ``taken``, ``refused`` (503) or ``lost`` (read, and never answered)."""
        at, since = self.observer.did()
        self.notices = how
        for relay in self.sides:
            self.observer.see(ev.PlatformState(at, since, relay, how == "taken"))

    async def move(self, relay: str) -> str:
        """Another address for a relay; the old one takes nothing new, and closes what is open in a while."""
        side = self.sides[relay]
        old = side.doors[-1]
        side.base += 7
        await self._open(side)
        old.stop_listening()
        self._hold(self._leave(old))
        return self.address(relay)

    async def _leave(self, door: HttpServer) -> None:
        await asyncio.sleep(OLD_STAYS)
        await door.stop()

    def _hold(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    # ---- what relays ask

    async def _open(self, side: Side) -> None:
        door = HttpServer(lambda call: self._request(side, call), self.observer.clock)

        def closed(connection: Connection) -> None:
            if side.watch is not None and side.watch.connection is connection:
                side.watch, side.asked_at = None, self.observer.clock.now()

        door.closed = closed  # type: ignore[method-assign]
        await door.start()
        side.doors.append(door)

    def _request(self, side: Side, call: Call) -> None:
        if call.method == "POST" and call.target == "/v1/notices":
            self._notice(side, call)
        elif self.down:
            call.answer(503)
        elif call.method == "GET" and call.target.startswith("/api/targets"):
            self._listing(side, call)
        else:
            call.answer(404)

    def _listing(self, side: Side, call: Call) -> None:
        side.asked_at = self.observer.clock.now()
        _, _, query = call.target.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&"))
        if values.get("follow") != "1":
            call.answer(200, body=self._snapshot(side))
            self._note_told(side, {name: self._told_status(side, name) for name in self.entries})
            return
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        side.watch = call
        since = int(values.get("since", "0")) if values.get("since", "0").isdigit() else 0
        newer = [line for line in side.told if line.index - side.base > since]
        if since == 0 or since > self.index - side.base:
            self._whole(side)
        else:
            for line in newer:
                self._write(side, line)
        self._beat(side, call)

    def _beat(self, side: Side, call: Call) -> None:
        if side.watch is call and not call.connection.lost:
            call.raw(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(EMPTY_EVERY, self._beat, side, call)

    def _tell(self, side: Side, line: Line) -> None:
        line.since = self.observer.clock.now()
        side.told.append(line)
        if side.watch is not None and not self.down:
            self._write(side, line)

    def _write(self, side: Side, line: Line) -> None:
        endpoints = [self._entry(side.relay, self.entries[name], line.status[name]) for name in line.names]
        self._chunk(side, {"index": line.index - side.base, "snapshot": False, "endpoints": endpoints})
        self._note_told(side, line.status)

    def _whole(self, side: Side) -> None:
        self._chunk(side, msgspec.Raw(self._snapshot(side)))
        self._note_told(side, {name: self._told_status(side, name) for name in self.entries})

    def _told_status(self, side: Side, name: str) -> str:
        """Its state as this relay may know it by now; Gone also for what it may not know of yet."""
        status = "Ready" if any(name == route.name for p in self.plan.partners for route in p.routes) else "Gone"
        for line in side.told:
            status = line.status.get(name, status)
        return status

    def _snapshot(self, side: Side) -> bytes:
        told = {name: self._told_status(side, name) for name in self.entries}
        index = max((line.index for line in side.told), default=41) - side.base
        return msgspec.json.encode(
            {
                "index": index,
                "snapshot": True,
                "endpoints": [
                    self._entry(side.relay, self.entries[name], status)
                    for name, status in told.items()
                    if status != "Gone"
                ],
            }
        )

    def _entry(self, relay: str, entry: Entry, status: str) -> dict[str, Any]:
        return {
            "name": entry.name,
            "address": self.address_of(entry.name, relay),
            "zone": entry.zone,
            "type": entry.kind,
            "group": entry.dest,
            "status": status,
            "weight": entry.rate,
            "since_ms": 0,
        }

    def _chunk(self, side: Side, value: Any) -> None:
        assert side.watch is not None
        data = msgspec.json.encode(value) + b"\n"
        side.watch.raw(b"%x\r\n%s\r\n" % (len(data), data))

    def _note_told(self, side: Side, statuses: dict[str, str]) -> None:
        at, since = self.observer.did()
        for name, status in statuses.items():
            self.observer.see(ev.Told(at, since, side.relay, name, status))

    async def _look(self) -> None:
        """Whoever neither watches nor asks for as long as is allowed counts as told of what could be told then; whatever
        became of its calls, of what could be told for ``TOLD_AFTER``."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            for side in self.sides.values():
                if side.watch is None and side.ready_at is not None and not self.down:
                    self._count_as_told(side, side.ready_at)

    def _count_as_told(self, side: Side, ready_at: int) -> None:
        now = self.observer.clock.now()
        reached_at = max(ready_at, self.up_at)
        nothing_holds = now >= max(reached_at, side.asked_at) + self.plan.settings["rules"]["askEvery"]
        for line in side.told:
            if not nothing_holds and now < max(reached_at, line.since) + TOLD_AFTER:
                continue
            for name, status in line.status.items():
                if (name, status) not in side.counts_as_told:
                    side.counts_as_told.add((name, status))
                    self._note_told(side, {name: status})

    # ---- notices

    def _notice(self, side: Side, call: Call) -> None:
        at, since = self.observer.read()
        try:
            notices: list[Notice] = [msgspec.json.decode(line, type=Notice) for line in call.body.splitlines()]
        except msgspec.MsgspecError:
            call.answer(400)
            return
        taken = self.notices == "taken"
        for notice in notices:
            self.observer.see(ev.NoticeCame(at, since, side.relay, notice.ref, notice.result, notice.wait_ms, taken))
        if self.notices == "refused":
            call.answer(503)
        elif taken:
            call.answer(204)
            for notice in notices:
                if notice.result == "bounced" and notice.ref not in self._ended:
                    self.on_bounced(notice.ref, notice.wait_ms)
                self._ended.add(notice.ref)


class Notice(msgspec.Struct):
    """A line that a relay posts."""

    ref: str
    result: str
    wait_ms: int = 0
