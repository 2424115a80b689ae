"""Simulated clients and the front before the relays: messages are handed in as planned, and retried after refusals."""

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

RETRY_DELAY_S = (0.36, 1.9)  # range of the delay before a message of a failed relay is handed in at another one
FRONT_LAG_S = 0.3  # a relay that received SIGTERM still gets new connections for this time


@dataclass(slots=True, eq=False)
class ClientMessage:
    """A message of a client, with its lineage of hand-ins."""

    lineage: str
    klass: str
    repeat: str
    dest: int
    key: str
    ends_at: int  # time of the run, in nanoseconds
    retries: int
    ref: str = ""
    resent: bool = False  # sent once more, since its connection was closed, perhaps before the relay read it


class ClientConnection(asyncio.Protocol):
    """A client's connection; it has one request at a time."""

    def __init__(self, pool: ClientPool, relay: str) -> None:
        self.pool = pool
        self.relay = relay
        self.reader = hiredis.Reader()
        self.request: ClientMessage | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop once the connection is open."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, message: ClientMessage, command: bytes) -> None:
        """Write the command that hands a message in, and start the answer time-out."""
        assert self.transport is not None
        self.request = message
        self.timer = asyncio.get_running_loop().call_later(self.pool.answer_timeout_s, self._answer_timed_out)
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        """Pass the received answer to the pool, with the message that it belongs to."""
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            message, self.request = self.request, None
            if self.timer is not None:
                self.timer.cancel()
            if message is None:
                self.drop()
                return
            self.pool.release(self)
            self.pool.answered(self, message, answer)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection to the pool, with the message that was waiting for an answer."""
        self.pool.remove(self)
        message, self.request = self.request, None
        if self.timer is not None:
            self.timer.cancel()
        if message is not None:
            self.pool.closed(self, message)

    def _answer_timed_out(self) -> None:
        message, self.request = self.request, None
        self.drop()
        if message is not None:
            self.pool.unanswered(self.relay, message, "late")

    def drop(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class Front:
    """Distributes hand-ins to relays; it detects a killed relay late."""

    def __init__(self, relays: tuple[str, ...], clients: Clients, seed: int) -> None:
        self.relays = relays
        self.clients = clients
        self.random = random.Random(f"{seed}/front")
        self.excluded: set[str] = set()
        self._next = 0

    def choose(self) -> str:
        """The relay for the next hand-in."""
        live = [relay for relay in self.relays if relay not in self.excluded] or list(self.relays)
        self._next += 1
        return live[self._next % len(live)]

    def relay_killed(self, relay: str) -> None:
        """A relay was killed: it gets no more hand-ins after the front's detection time."""
        asyncio.get_running_loop().call_later(self.random.uniform(*self.clients.notice_s), self.excluded.add, relay)

    def relay_terminating(self, relay: str) -> None:
        """A relay received SIGTERM: it gets no more hand-ins after ``FRONT_LAG_S``."""
        asyncio.get_running_loop().call_later(FRONT_LAG_S, self.excluded.add, relay)

    def relay_ready(self, relay: str) -> None:
        """A relay is ready: it gets hand-ins from now on."""
        self.excluded.discard(relay)


class ClientPool:
    """All clients of a run. ``port_of`` returns the port of a relay."""

    def __init__(self, plan: Plan, scenario: Scenario, observer: Observer, port_of: Callable[[str], int]) -> None:
        self.plan = plan
        self.scenario = scenario
        self.observer = observer
        self.port_of = port_of
        self.answer_timeout_s = scenario.clients.patience_ms / 1000
        self.front = Front(plan.relays, scenario.clients, plan.seed)
        self.random = random.Random(f"{plan.seed}/clients")
        self.idle: dict[str, list[ClientConnection]] = {relay: [] for relay in plan.relays}
        self.connections: set[ClientConnection] = set()
        self.accepted: dict[str, ClientMessage] = {}  # by ref: accepted and not ended, as far as clients know
        self.pending = 0  # hand-ins that wait for a connection or for their retry
        self.all_handed_in = asyncio.Event()  # the plan's last message has been handed in
        self.began = 0
        self._ref_count = 0
        self._next = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._body = b"x" * scenario.clients.body

    # ---- planned messages

    def start(self, began: int) -> None:
        """Start to hand in the planned messages; ``began`` is the time of the run at which the plan starts."""
        self.began = began
        self._hand_in_due()

    def _hand_in_due(self) -> None:
        now, arrivals = self.observer.clock.now(), self.plan.arrivals
        while self._next < len(arrivals) and self.began + arrivals[self._next].at <= now:
            arrival = arrivals[self._next]
            klass = self.scenario.classes[arrival.klass]
            lineage = f"L{self._next}.0"
            key = arrival.key or f"key-{self.plan.seed}-{self._next}"
            self._next += 1
            self.hand_in(
                ClientMessage(
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
                self.observer.clock.loop_time(self.began + arrivals[self._next].at), self._hand_in_due
            )
        else:
            self.all_handed_in.set()

    # ---- handing in

    def hand_in(self, message: ClientMessage) -> None:
        """Hand a message in at the relay that the front chooses."""
        self._ref_count += 1
        message.ref, message.resent = f"{self.plan.seed % 0xffff:04x}{self._ref_count:012x}", False
        self._send(message, self.front.choose())

    def _send(self, message: ClientMessage, relay: str) -> None:
        idle = self.idle[relay]
        while idle:
            connection = idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._write(connection, message)
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

    async def _connect(self, message: ClientMessage, relay: str) -> None:
        try:
            async with asyncio.timeout(self.answer_timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self, relay), "127.0.0.1", self.port_of(relay)
                )
        except (OSError, TimeoutError):
            # The relay did not get the message: a retry cannot duplicate it, unless it was sent before.
            if message.resent:
                self.unanswered(relay, message, "late")
            else:
                self._schedule_retry(message, self.random.uniform(*RETRY_DELAY_S))
            return
        self.connections.add(connection)
        self._write(connection, message)

    def _write(self, connection: ClientConnection, message: ClientMessage) -> None:
        at, since = self.observer.action_time()
        remaining_ms = (message.ends_at - at) // MS
        if remaining_ms <= 0:
            self.release(connection)
            return
        body = b"%s|%s|%s" % (message.lineage.encode(), message.klass.encode(), self._body)
        arguments: Any = (
            "ENQUEUE",
            "0000",
            message.ref,
            f"c={message.klass},d={remaining_ms},dest={message.dest},k={message.key}",
            body,
        )
        if not message.resent:
            self.observer.record(
                ev.MessageSubmitted(
                    at,
                    since,
                    connection.relay,
                    message.ref,
                    message.lineage,
                    message.klass,
                    message.dest,
                    message.key,
                    remaining_ms * MS,
                )
            )
        connection.send(message, hiredis.pack_command(arguments))

    # ---- answers

    def answered(self, connection: ClientConnection, message: ClientMessage, answer: Any) -> None:
        """Handle an answer: ``+OK`` (bytes) or an error. A message refused with BUSY is retried later."""
        at, since = self.observer.read_time()
        if not isinstance(answer, hiredis.ReplyError):
            self.observer.record(ev.Answered(at, since, connection.relay, message.ref, "ok"))
            self.accepted[message.ref] = message
            return
        kind, _, rest = str(answer).partition(" ")
        wait = int(rest) if kind == "BUSY" and rest.isdigit() else 0
        self.observer.record(
            ev.Answered(at, since, connection.relay, message.ref, "busy" if kind == "BUSY" else "error", wait)
        )
        if kind == "BUSY":
            self.refused(message, wait)

    def bounced(self, ref: str, wait_ms: int) -> None:
        """Handle a notice that an accepted message was refused."""
        message = self.accepted.pop(ref, None)
        if message is not None:
            self.refused(message, wait_ms)

    def refused(self, message: ClientMessage, wait_ms: int) -> None:
        """Retry a message after the stated wait (milliseconds), if it has retries left."""
        if message.retries > 0:
            message.retries -= 1
            low, high = self.scenario.clients.again_ms
            self._schedule_retry(message, max(wait_ms, self.random.uniform(low, high)) / 1000)

    def closed(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Handle a connection that the relay closed during a request, perhaps before it had read the request."""
        at, since = self.observer.close_time()
        if message.resent:
            self.observer.record(ev.Unanswered(at, since, connection.relay, message.ref, "closed-twice"))
            self._retry_uncertain(message)
        else:
            self.observer.record(ev.Unanswered(at, since, connection.relay, message.ref, "closed"))
            message.resent = True
            self._send(message, connection.relay)

    def unanswered(self, relay: str, message: ClientMessage, why: str) -> None:
        """Handle a missing answer (``why`` as in the event). If the message may be repeated, retry it as a new effect."""
        at, since = self.observer.read_time()
        self.observer.record(ev.Unanswered(at, since, relay, message.ref, why))
        self._retry_uncertain(message)

    def _retry_uncertain(self, message: ClientMessage) -> None:
        """Retry a message that the relay may have accepted: only if it may be repeated, and as another effect."""
        if message.repeat != "unsafe" and message.retries > 0:
            message.retries -= 1
            root, _, count = message.lineage.partition(".")
            message.lineage = f"{root}.{int(count) + 1}"
            self._schedule_retry(message, self.random.uniform(*RETRY_DELAY_S))

    def _schedule_retry(self, message: ClientMessage, delay_s: float) -> None:
        if self.observer.clock.now() + delay_s * SECOND >= message.ends_at:
            return
        self.pending += 1
        asyncio.get_running_loop().call_later(delay_s, self._retry, message)

    def _retry(self, message: ClientMessage) -> None:
        self.pending -= 1
        self.hand_in(message)

    # ---- connections

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool for the next hand-in."""
        self.idle[connection.relay].append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        if connection in self.idle[connection.relay]:
            self.idle[connection.relay].remove(connection)

    def stop(self) -> None:
        """Cancel all tasks and abort all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.drop()
