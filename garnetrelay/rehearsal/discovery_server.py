"""Simulated discovery and platform: serves the list of hosts and its watch, delayed or out of order, and takes notices.

Each relay has a separate address for it, which may change. A change is published to each relay after a separate random
delay. A relay without a watch is assumed to know a published change after the longest time that the settings allow.
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
KEEPALIVE_INTERVAL_S = 2.0  # between two empty lines of a watch
OLD_ADDRESS_GRACE_S = 1.5  # an address that was replaced keeps its connections for this time
CHECK_INTERVAL_S = 0.25
ASSUMED_KNOWN_AFTER_NS = 6 * SECOND  # after a change was published and the server was reachable


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint in the list of hosts."""

    name: str
    zone: str
    kind: str
    dest: int
    rate: float
    status: str = "Ready"


@dataclass(slots=True)
class ChangeBatch:
    """Changes that are published to one relay together."""

    index: int
    names: list[str]
    status: dict[str, str]
    published_at: int = 0  # time of publication


@dataclass(slots=True, eq=False)
class RelayFeed:
    """The state of the discovery server towards one relay."""

    relay: str
    listeners: list[HttpServer] = field(default_factory=list)  # the last is the current one
    watch: Call | None = None
    published: list[ChangeBatch] = field(default_factory=list)  # the changes that are published by now
    ready_at: int | None = None
    last_request_at: int = 0
    assumed_known: set[tuple[str, str]] = field(default_factory=set)
    index_offset: int = 0  # subtracted from the index: an address may count from another version


class DiscoveryServer:
    """Discovery and platform for all relays of a run. ``on_bounced`` is called for each notice of a refusal."""

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
            route.name: ListedEndpoint(route.name, route.zone, partner.kind, partner.number, partner.listed)
            for partner in plan.partners
            for route in partner.routes
        }
        self.index = 41
        self.feeds = {relay: RelayFeed(relay) for relay in plan.relays}
        self.down = False
        self.reachable_since = 0
        self.extra_delay_s = 0.0  # additional delay of each change
        self.notice_mode = "taken"  # or refused, lost
        self._ended_refs: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for every relay, and start to check for relays without a watch."""
        for feed in self.feeds.values():
            await self._open(feed)
        self._start_task(self._check_unwatched())

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        for task in self._tasks:
            task.cancel()
        for feed in self.feeds.values():
            for listener in feed.listeners:
                await listener.stop()

    def address(self, relay: str) -> str:
        """The discovery address of a relay, as host:port."""
        return self.feeds[relay].listeners[-1].address

    def initial_list(self, relay: str) -> dict[str, Any]:
        """The list of hosts that a relay is configured with at its first start."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [self._to_json(relay, entry, entry.status) for entry in self.entries.values()],
        }

    def set_relay_ready(self, relay: str, ready: bool) -> None:
        """Store that a relay has started or ended."""
        feed = self.feeds[relay]
        feed.ready_at = self.observer.clock.now() if ready else None
        feed.assumed_known.clear()

    # ---- changes

    def change_status(self, *changes: tuple[str, str]) -> None:
        """Change the status of endpoints; each relay receives the change after a separate delay."""
        self.index += 1
        for name, status in changes:
            self.entries[name].status = status
        for feed in self.feeds.values():
            delay_s = self.random.uniform(*self.plan.late) / SECOND + self.extra_delay_s
            batch = ChangeBatch(self.index, [name for name, _ in changes], dict(changes))
            asyncio.get_running_loop().call_later(delay_s, self._publish, feed, batch)

    def add_endpoint(self, entry: ListedEndpoint) -> None:
        """List a new endpoint as ready; the relays receive it late, like any change."""
        self.entries[entry.name] = entry
        self.change_status((entry.name, "Ready"))

    def lower_index(self) -> None:
        """Lower the index, as after a restore from a backup."""
        for feed in self.feeds.values():
            feed.index_offset += 30
            if feed.watch is not None:
                self._write_snapshot(feed)

    def close_watches(self) -> None:
        """Close every watch, as a restart of the server does."""
        for feed in self.feeds.values():
            if feed.watch is not None:
                feed.watch.close()

    def stop_serving(self) -> None:
        """End all watches and answer requests for the list with 503. Notices are still taken."""
        self.down = True
        self.close_watches()

    def resume_serving(self) -> None:
        """Serve the list again. The time is stored, since relays need some time to reconnect."""
        self.down, self.reachable_since = False, self.observer.clock.now()

    def set_notice_mode(self, mode: str) -> None:
        """From now on notices are ``taken``, ``refused`` (503) or ``lost`` (read, and never answered)."""
        at, since = self.observer.action_time()
        self.notice_mode = mode
        for relay in self.feeds:
            self.observer.record(ev.PlatformState(at, since, relay, mode == "taken"))

    async def move_address(self, relay: str) -> str:
        """Give a relay a new address. The old one accepts no more connections, and closes the open ones later."""
        feed = self.feeds[relay]
        old = feed.listeners[-1]
        feed.index_offset += 7
        await self._open(feed)
        old.stop_listening()
        self._start_task(self._close_later(old))
        return self.address(relay)

    async def _close_later(self, listener: HttpServer) -> None:
        await asyncio.sleep(OLD_ADDRESS_GRACE_S)
        await listener.stop()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    # ---- requests of relays

    async def _open(self, feed: RelayFeed) -> None:
        listener = HttpServer(lambda call: self._request(feed, call), self.observer.clock)

        def closed(connection: Connection) -> None:
            if feed.watch is not None and feed.watch.connection is connection:
                feed.watch, feed.last_request_at = None, self.observer.clock.now()

        listener.closed = closed  # type: ignore[method-assign]
        await listener.start()
        feed.listeners.append(listener)

    def _request(self, feed: RelayFeed, call: Call) -> None:
        if call.method == "POST" and call.target == "/v1/notices":
            self._receive_notices(feed, call)
        elif self.down:
            call.answer(503)
        elif call.method == "GET" and call.target.startswith("/api/targets"):
            self._serve_list(feed, call)
        else:
            call.answer(404)

    def _serve_list(self, feed: RelayFeed, call: Call) -> None:
        feed.last_request_at = self.observer.clock.now()
        _, _, query = call.target.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&"))
        if values.get("follow") != "1":
            call.answer(200, body=self._encode_snapshot(feed))
            self._record_told(feed, {name: self._published_status(feed, name) for name in self.entries})
            return
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        feed.watch = call
        since = int(values.get("since", "0")) if values.get("since", "0").isdigit() else 0
        newer = [batch for batch in feed.published if batch.index - feed.index_offset > since]
        if since == 0 or since > self.index - feed.index_offset:
            self._write_snapshot(feed)
        else:
            for batch in newer:
                self._write_changes(feed, batch)
        self._keep_alive(feed, call)

    def _keep_alive(self, feed: RelayFeed, call: Call) -> None:
        if feed.watch is call and not call.connection.lost:
            call.raw(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL_S, self._keep_alive, feed, call)

    def _publish(self, feed: RelayFeed, batch: ChangeBatch) -> None:
        batch.published_at = self.observer.clock.now()
        feed.published.append(batch)
        if feed.watch is not None and not self.down:
            self._write_changes(feed, batch)

    def _write_changes(self, feed: RelayFeed, batch: ChangeBatch) -> None:
        endpoints = [self._to_json(feed.relay, self.entries[name], batch.status[name]) for name in batch.names]
        self._write_chunk(feed, {"index": batch.index - feed.index_offset, "snapshot": False, "endpoints": endpoints})
        self._record_told(feed, batch.status)

    def _write_snapshot(self, feed: RelayFeed) -> None:
        self._write_chunk(feed, msgspec.Raw(self._encode_snapshot(feed)))
        self._record_told(feed, {name: self._published_status(feed, name) for name in self.entries})

    def _published_status(self, feed: RelayFeed, name: str) -> str:
        """The published status of an endpoint. An endpoint that is not published yet is Gone."""
        status = "Ready" if any(name == route.name for p in self.plan.partners for route in p.routes) else "Gone"
        for batch in feed.published:
            status = batch.status.get(name, status)
        return status

    def _encode_snapshot(self, feed: RelayFeed) -> bytes:
        published = {name: self._published_status(feed, name) for name in self.entries}
        index = max((batch.index for batch in feed.published), default=41) - feed.index_offset
        return msgspec.json.encode(
            {
                "index": index,
                "snapshot": True,
                "endpoints": [
                    self._to_json(feed.relay, self.entries[name], status)
                    for name, status in published.items()
                    if status != "Gone"
                ],
            }
        )

    def _to_json(self, relay: str, entry: ListedEndpoint, status: str) -> dict[str, Any]:
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

    def _write_chunk(self, feed: RelayFeed, value: Any) -> None:
        assert feed.watch is not None
        data = msgspec.json.encode(value) + b"\n"
        feed.watch.raw(b"%x\r\n%s\r\n" % (len(data), data))

    def _record_told(self, feed: RelayFeed, statuses: dict[str, str]) -> None:
        at, since = self.observer.action_time()
        for name, status in statuses.items():
            self.observer.record(ev.StatusNotified(at, since, feed.relay, name, status))

    async def _check_unwatched(self) -> None:
        """Assume that relays without a watch know published changes.

        A relay that has sent no request for ``askEvery`` is assumed to know all of them. Any other relay is assumed to
        know those that were published ``ASSUMED_KNOWN_AFTER_NS`` ago, whatever the result of its requests was.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for feed in self.feeds.values():
                if feed.watch is None and feed.ready_at is not None and not self.down:
                    self._assume_known(feed, feed.ready_at)

    def _assume_known(self, feed: RelayFeed, ready_at: int) -> None:
        now = self.observer.clock.now()
        reachable_since = max(ready_at, self.reachable_since)
        request_overdue = now >= max(reachable_since, feed.last_request_at) + self.plan.settings["rules"]["askEvery"]
        for batch in feed.published:
            if not request_overdue and now < max(reachable_since, batch.published_at) + ASSUMED_KNOWN_AFTER_NS:
                continue
            for name, status in batch.status.items():
                if (name, status) not in feed.assumed_known:
                    feed.assumed_known.add((name, status))
                    self._record_told(feed, {name: status})

    # ---- notices

    def _receive_notices(self, feed: RelayFeed, call: Call) -> None:
        at, since = self.observer.read_time()
        try:
            notices: list[Notice] = [msgspec.json.decode(line, type=Notice) for line in call.body.splitlines()]
        except msgspec.MsgspecError:
            call.answer(400)
            return
        taken = self.notice_mode == "taken"
        for notice in notices:
            self.observer.record(
                ev.NoticeReceived(at, since, feed.relay, notice.ref, notice.result, notice.wait_ms, taken)
            )
        if self.notice_mode == "refused":
            call.answer(503)
        elif taken:
            call.answer(204)
            for notice in notices:
                if notice.result == "bounced" and notice.ref not in self._ended_refs:
                    self.on_bounced(notice.ref, notice.wait_ms)
                self._ended_refs.add(notice.ref)


class Notice(msgspec.Struct):
    """A notice: one line of a request that a relay posts."""

    ref: str
    result: str
    wait_ms: int = 0
