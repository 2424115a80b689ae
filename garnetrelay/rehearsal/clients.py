"""Stand-in clients and the front before the relays: messages handed in by the plan, again after refusals."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import hiredis

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.plan import MS, SECOND, Plan
from garnetrelay.rehearsal.scenario import Clients, Scenario

AFTER_DEATH = (0.36, 1.9)  # seconds until what a dead relay had comes to another
FRONT_LAG = 0.3  # seconds for which new connections still come to a relay that was told to end


@dataclass(slots=True, eq=False)
class Try:
    """A message in a client's hands: one lineage of hand-ins."""

    lineage: str
    klass: str
    repeat: str
    dest: int
    key: str
    ends_at: int  # nanoseconds of the run
    retries: int
    ref: str = ""
    again: bool = False  # sent once more, as its connection was closed before it was read


class Link(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self, crowd: Crowd, relay: str) -> None:
        self.crowd = crowd
        self.relay = relay
        self.reader = hiredis.Reader()
        self.open: Try | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: commands may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, message: Try, command: bytes) -> None:
        """Write the command that hands a message in; its answer is due within the crowd's patience."""
        assert self.transport is not None
        self.open = message
        self.timer = asyncio.get_running_loop().call_later(self.crowd.patience, self._late)
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        """Give the answer that has come to the crowd, as that of the message that waits for it."""
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            message, self.open = self.open, None
            if self.timer is not None:
                self.timer.cancel()
            if message is None:
                self.drop()
                return
            self.crowd.rest(self)
            self.crowd.answered(self, message, answer)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the crowd that the connection is gone, and what became of a message that waited on it."""
        self.crowd.gone(self)
        message, self.open = self.open, None
        if self.timer is not None:
            self.timer.cancel()
        if message is not None:
            self.crowd.closed(self, message)

    def _late(self) -> None:
        message, self.open = self.open, None
        self.drop()
        if message is not None:
            self.crowd.unanswered(self.relay, message, "late")

    def drop(self) -> None:
        """Cut the connection off."""
        if self.transport is not None:
            self.transport.abort()


class Front:
    """Deals hand-ins out to relays; a dead one is noticed late."""

    def __init__(self, relays: tuple[str, ...], clients: Clients, seed: int) -> None:
        self.relays = relays
        self.clients = clients
        self.random = random.Random(f"{seed}/front")
        self.out: set[str] = set()
        self._next = 0

    def choose(self) -> str:
        """The relay for the next hand-in."""
        live = [relay for relay in self.relays if relay not in self.out] or list(self.relays)
        self._next += 1
        return live[self._next % len(live)]

    def died(self, relay: str) -> None:
        """A relay was killed: it gets no hand-ins any more once that is noticed."""
        asyncio.get_running_loop().call_later(self.random.uniform(*self.clients.notice_s), self.out.add, relay)

    def ends(self, relay: str) -> None:
        """A relay was told to end: it gets no hand-ins any more after ``FRONT_LAG`` seconds."""
        asyncio.get_running_loop().call_later(FRONT_LAG, self.out.add, relay)

    def ready(self, relay: str) -> None:
        """A relay serves: it gets hand-ins from now on."""
        self.out.discard(relay)


class Crowd:
    """All clients of a run. ``port_of`` tells where a relay listens."""

    def __init__(self, plan: Plan, scenario: Scenario, observer: Observer, port_of: Callable[[str], int]) -> None:
        self.plan = plan
        self.scenario = scenario
        self.observer = observer
        self.port_of = port_of
        self.patience = scenario.clients.patience_ms / 1000
        self.front = Front(plan.relays, scenario.clients, plan.seed)
        self.random = random.Random(f"{plan.seed}/clients")
        self.idle: dict[str, list[Link]] = {relay: [] for relay in plan.relays}
        self.links: set[Link] = set()
        self.open: dict[str, Try] = {}  # by ref: taken on and not over, as far as clients know
        self.pending = 0  # hand-ins that are on their way, or will come again
        self.done = asyncio.Event()  # the plan's last message has been handed in
        self.began = 0
        self._numbers = 0
        self._next = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._body = b"x" * scenario.clients.body

    # ---- the plan

    def start(self, began: int) -> None:
        """Hand in what the plan has; it began at that time of the run."""
        self.began = began
        self._play()

    def _play(self) -> None:
        now, arrivals = self.observer.clock.now(), self.plan.arrivals
        while self._next < len(arrivals) and self.began + arrivals[self._next].at <= now:
            arrival = arrivals[self._next]
            klass = self.scenario.classes[arrival.klass]
            lineage = f"L{self._next}.0"
            key = arrival.key or f"key-{self.plan.seed}-{self._next}"
            self._next += 1
            self.hand_in(
                Try(
                    lineage,
                    klass.name,
                    klass.repeat,
                    arrival.dest,
                    key,
                    now + int(klass.deadline_ms * MS),
                    self.scenario.clients.retries,
                )
            )
        if self._next < len(arrivals):
            asyncio.get_running_loop().call_at(
                self.observer.clock.loop_time(self.began + arrivals[self._next].at), self._play
            )
        else:
            self.done.set()

    # ---- handing in

    def hand_in(self, message: Try) -> None:
        """Hand a message in at the relay that the front deals it to."""
        self._numbers += 1
        message.ref, message.again = f"{self.plan.seed % 0xffff:04x}{self._numbers:012x}", False
        self._send(message, self.front.choose())

    def _send(self, message: Try, relay: str) -> None:
        idle = self.idle[relay]
        while idle:
            link = idle.pop()
            if link.transport is not None and not link.transport.is_closing():
                self._write(link, message)
                return
        self.pending += 1
        task = asyncio.get_running_loop().create_task(self._connect(message, relay))
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self.pending -= 1
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    async def _connect(self, message: Try, relay: str) -> None:
        try:
            async with asyncio.timeout(self.patience):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self, relay), "127.0.0.1", self.port_of(relay)
                )
        except (OSError, TimeoutError):
            # It has not got the message: coming again cannot do it twice, unless it was sent before.
            if message.again:
                self.unanswered(relay, message, "late")
            else:
                self._come_again(message, self.random.uniform(*AFTER_DEATH))
            return
        self.links.add(link)
        self._write(link, message)

    def _write(self, link: Link, message: Try) -> None:
        at, since = self.observer.did()
        left = (message.ends_at - at) // MS
        if left <= 0:
            self.rest(link)
            return
        body = b"%s|%s|%s" % (message.lineage.encode(), message.klass.encode(), self._body)
        words: Any = (
            "ENQUEUE",
            "0000",
            message.ref,
            f"c={message.klass},d={left},dest={message.dest},k={message.key}",
            body,
        )
        if not message.again:
            self.observer.see(
                ev.MessageSubmitted(
                    at,
                    since,
                    link.relay,
                    message.ref,
                    message.lineage,
                    message.klass,
                    message.dest,
                    message.key,
                    left * MS,
                )
            )
        link.send(message, hiredis.pack_command(words))

    # ---- answers

    def answered(self, link: Link, message: Try, answer: Any) -> None:
        """A relay has answered ``+OK`` (bytes) or with an error; a busy one is asked again later."""
        at, since = self.observer.read()
        if not isinstance(answer, hiredis.ReplyError):
            self.observer.see(ev.Answered(at, since, link.relay, message.ref, "ok"))
            self.open[message.ref] = message
            return
        kind, _, rest = str(answer).partition(" ")
        wait = int(rest) if kind == "BUSY" and rest.isdigit() else 0
        self.observer.see(ev.Answered(at, since, link.relay, message.ref, "busy" if kind == "BUSY" else "error", wait))
        if kind == "BUSY":
            self.refused(message, wait)

    def bounced(self, ref: str, wait_ms: int) -> None:
        """The platform tells a client that its message was refused after all."""
        message = self.open.pop(ref, None)
        if message is not None:
            self.refused(message, wait_ms)

    def refused(self, message: Try, wait_ms: int) -> None:
        """Hand a message in once more after the wait that was named (milliseconds), while it has retries left."""
        if message.retries > 0:
            message.retries -= 1
            low, high = self.scenario.clients.again_ms
            self._come_again(message, max(wait_ms, self.random.uniform(low, high)) / 1000)

    def closed(self, link: Link, message: Try) -> None:
        """The relay ended the connection under a request: perhaps before it had read it."""
        at, since = self.observer.ended()
        if message.again:
            self.observer.see(ev.Unanswered(at, since, link.relay, message.ref, "closed-twice"))
            self._lost(message)
        else:
            self.observer.see(ev.Unanswered(at, since, link.relay, message.ref, "closed"))
            message.again = True
            self._send(message, link.relay)

    def unanswered(self, relay: str, message: Try, why: str) -> None:
        """No answer came (``why``, as the event writes it): what may be repeated is handed in again as another effect."""
        at, since = self.observer.read()
        self.observer.see(ev.Unanswered(at, since, relay, message.ref, why))
        self._lost(message)

    def _lost(self, message: Try) -> None:
        """Its relay may have taken it on, and may not: only what may be repeated comes again, as another effect."""
        if message.repeat != "unsafe" and message.retries > 0:
            message.retries -= 1
            root, _, count = message.lineage.partition(".")
            message.lineage = f"{root}.{int(count) + 1}"
            self._come_again(message, self.random.uniform(*AFTER_DEATH))

    def _come_again(self, message: Try, after: float) -> None:
        if self.observer.clock.now() + after * SECOND >= message.ends_at:
            return
        self.pending += 1
        asyncio.get_running_loop().call_later(after, self._again, message)

    def _again(self, message: Try) -> None:
        self.pending -= 1
        self.hand_in(message)

    # ---- connections

    def rest(self, link: Link) -> None:
        """Keep a connection for the next hand-in."""
        self.idle[link.relay].append(link)

    def gone(self, link: Link) -> None:
        """Forget a connection that has ended."""
        self.links.discard(link)
        if link in self.idle[link.relay]:
            self.idle[link.relay].remove(link)

    def stop(self) -> None:
        """Begin nothing any more and cut all connections off."""
        for task in self._tasks:
            task.cancel()
        for link in list(self.links):
            link.drop()
