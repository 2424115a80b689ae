"""Discrete-event simulation of a fleet's members, links and faults on one clock. The same seed gives the same frames.

A node is a name with a folder (its life number) and at most one process. A process may be killed, stopped and resumed,
stalled (what reaches it is handled later), or leave. A full exchange models a TCP connection: three transfers over the
links, which lost frames delay and a cut ends.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import UNKNOWN_ZONE, Claim, Identity, SocketAddress, Status
from garnetrelay.fleet.members.effects import Effect, LogLine, SendFrame, StartExchange, StoreLife
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import MS, SECOND, Settings
from garnetrelay.simulation.links import LinkConditions, Links

SECRET, OLD_SECRET = b"current simulation secret", b"previous simulation secret"
MIN_DELAY_S = 0.0002  # added to the delay of a link
LENGTH_FIELD_BYTES = 4  # the length field before a frame on a connection
PORT = 7946


@dataclass(slots=True)
class Stall:
    """Recurring stalls: of every ``period`` nanoseconds the process does not run for the first ``length``."""

    period: int
    length: int


@dataclass(slots=True)
class Node:
    """A name, the life number in its folder, and its process."""

    name: str
    address: SocketAddress
    life: int = 0  # stored in the folder
    process: int = 0
    members: Membership | None = None
    started_at: int = 0
    stopped: bool = False
    stall: Stall | None = None
    waiting: list[Callable[[], None]] = field(default_factory=list)  # calls that arrived while the process was stopped
    tick_due: int = -1
    sent_frames: int = 0
    sent_bytes: int = 0
    clock_lead: int = 0  # nanoseconds by which its clock leads the simulation's
    old_secret: bool = False  # signs with the previous secret


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A log line of a node."""

    at: int
    who: str
    text: str


class FleetSimulation:
    """A fleet of nodes and their links. Times are nanoseconds from the beginning of the simulation."""

    def __init__(
        self,
        count: int,
        settings: Settings,
        seed: object,
        base: LinkConditions | None = None,
        seeds: int = 3,
        versions: Callable[[int], int] = lambda number: 2,
        zones: Callable[[int], int] = lambda number: UNKNOWN_ZONE,
        keep_log: bool = False,
    ) -> None:
        self.settings = settings
        self.now = 0
        self.links = Links(base or LinkConditions(), seed)
        self.codec, self.old_codec = fr.Codec([SECRET, OLD_SECRET]), fr.Codec([OLD_SECRET, SECRET])
        self.nodes = {
            f"n{number}": Node(f"n{number}", SocketAddress(f"10.0.{number >> 8}.{number & 255}", PORT))
            for number in range(1, count + 1)
        }
        self.by_address = {node.address: node for node in self.nodes.values()}
        self.seeds = [node.address for node in itertools.islice(self.nodes.values(), seeds)]
        self.versions = versions
        self.zones = zones
        self.log: list[LogEntry] = []
        self.keep_log = keep_log
        self.failures: list[tuple[int, str, str, Identity, bool]] = []  # time, observer, member, identity, whether it ran
        self.refused: Counter[str] = Counter()
        self.after_effects: Callable[[Node], None] | None = None
        self.on_datagram: Callable[[Node, bytes], None] | None = None  # called with each datagram that reaches a process
        self.sent: Callable[[Node, fr.Frame, int], None] | None = None  # called with each frame sent and its size
        self._seed = seed
        self._draw = random.Random(f"{seed}/world")
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()

    # ---- clock

    def at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._count), callback))

    def run(self, until: int, done: Callable[[], bool] | None = None) -> bool:
        """Run until a time, or until ``done`` is true (checked every tenth of a probe interval); return whether it is."""
        check_at = self.now
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
            if done is not None and self.now >= check_at:
                if done():
                    return True
                check_at = self.now + self.settings.probe_interval // 10
        self.now = until
        return done is not None and done()

    # ---- processes

    def start(self, name: str, lost_folder: bool = False, folder: int | None = None, called: str = "") -> None:
        """Start a new process. ``lost_folder``: its folder is empty; ``folder``: the life number in an old copy of it;
        ``called``: it uses the name of another node."""
        node = self.nodes[name]
        node.clock_lead = 0
        node.life = (0 if lost_folder else node.life if folder is None else folder) + 1
        node.process = self._draw.getrandbits(32)
        settings = dataclasses.replace(self.settings, versions=self.versions(int(name[1:])))
        claim = Claim(
            called or name,
            node.life,
            node.process,
            node.life,
            0,
            Status.ALIVE,
            node.address.host,
            node.address.port,
            settings.versions,
            zone=self.zones(int(name[1:])),
        )
        draw = random.Random(f"{self._seed}/{name}/{node.process}")
        node.members = Membership(claim, settings, draw, self.now, self.seeds)
        node.started_at, node.stopped, node.waiting, node.tick_due = self.now, False, [], -1
        self._schedule_tick(node)

    def kill(self, name: str) -> None:
        """SIGKILL the process."""
        node = self.nodes[name]
        node.members, node.waiting, node.stopped = None, [], False

    def leave(self, name: str) -> None:
        """SIGTERM: the process announces that it leaves, and ends."""
        node = self.nodes[name]
        if node.members is not None:
            self._carry_out(node, node.members.leave(self.now + node.clock_lead))
        self.kill(name)

    def stop(self, name: str) -> None:
        """SIGSTOP the process."""
        self.nodes[name].stopped = True

    def resume(self, name: str) -> None:
        """SIGCONT the process: what arrived meanwhile is handled at once."""
        node = self.nodes[name]
        node.stopped = False
        waiting, node.waiting = node.waiting, []
        for callback in waiting:
            callback()
        node.tick_due = -1
        self._schedule_tick(node)

    def clock_ahead(self, name: str, nanoseconds: int) -> None:
        """Move the node's clock ahead."""
        node = self.nodes[name]
        node.clock_lead += nanoseconds
        node.tick_due = -1
        self._schedule_tick(node)

    def live(self) -> list[Node]:
        """Nodes with a process, stopped ones included."""
        return [node for node in self.nodes.values() if node.members is not None]

    def one_view(self) -> bool:
        """Whether all live nodes hold one view that contains exactly these nodes."""
        live = self.live()
        views = {node.members.view for node in live if node.members is not None}
        return len(views) == 1 and all(
            node.members is not None and node.members.count == len(live) and node.members.local.active for node in live
        )

    # ---- events of a process

    def _when_running(self, node: Node, process: int, callback: Callable[[], None]) -> None:
        """Call ``callback`` now, or once the process runs again; not if another process has replaced it."""
        if node.members is None or node.process != process:
            return
        if node.stopped:
            node.waiting.append(callback)
            return
        if node.stall is not None:
            elapsed = self.now % node.stall.period
            if elapsed < node.stall.length:
                self.at(self.now + node.stall.length - elapsed, lambda: self._when_running(node, process, callback))
                return
        callback()

    def _schedule_tick(self, node: Node) -> None:
        members = node.members
        if members is None or node.tick_due == members.next_at:
            return
        due, process = members.next_at, node.process
        node.tick_due = due

        def tick() -> None:
            if node.members is None or node.process != process or node.tick_due != due:
                return

            def run_tick() -> None:
                if node.members is not None and node.tick_due == due:
                    node.tick_due = -1
                    self._carry_out(node, node.members.tick(self.now + node.clock_lead))

            self._when_running(node, process, run_tick)

        self.at(due - node.clock_lead, tick)

    def _carry_out(self, node: Node, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendFrame(address, frame, version):
                    self._send(node, address, frame, version)
                case StartExchange(address):
                    self._full_exchange(node, address)
                case StoreLife(life):
                    self.at(self.now + MS, functools.partial(self._store_life, node, node.process, life))
                case LogLine(text, _):
                    self._log_line(node, text)
        if self.after_effects is not None:
            self.after_effects(node)
        self._schedule_tick(node)

    def _log_line(self, node: Node, text: str) -> None:
        if text.startswith("judges "):
            subject = self.nodes[text.split()[1]]
            held = None if node.members is None else node.members.table.get(subject.name)
            if held is not None:
                running = subject.members is not None and subject.members.local.claim.identity == held.claim.identity
                self.failures.append((self.now, node.name, subject.name, held.claim.identity, running))
        if self.keep_log:
            self.log.append(LogEntry(self.now, node.name, text))

    def _store_life(self, node: Node, process: int, life: int) -> None:
        if node.members is None or node.process != process:
            return
        node.life = max(node.life, life)
        self._carry_out(node, node.members.life_stored(self.now + node.clock_lead, life))

    def _send(self, node: Node, address: SocketAddress, frame: fr.Frame, version: int) -> None:
        data = (self.old_codec if node.old_secret else self.codec).encode(frame, version)
        if len(data) > self.settings.max_frame_bytes:
            raise AssertionError(f"frame of {len(data)} bytes exceeds the maximum")
        node.sent_frames += 1
        self._count_bytes(node, frame, len(data))
        other = self.by_address.get(address)
        if other is None:
            return
        for delay, arrived in self.links.transmit(node.name, other.name, data):
            at = self.now + int((delay + MIN_DELAY_S) * SECOND)
            self.at(at, lambda arrived=arrived: self._deliver(other, arrived, node.address))  # type: ignore[misc]

    def _deliver(self, node: Node, data: bytes, source: SocketAddress) -> None:
        def receive() -> None:
            assert node.members is not None
            if self.on_datagram is not None:
                self.on_datagram(node, data)
            try:
                frame = self.codec.decode(data)
            except fr.Refused as refused:
                self.refused[refused.cause] += 1
                return
            self._carry_out(node, node.members.receive(self.now + node.clock_lead, frame, source))

        self._when_running(node, node.process, receive)

    def _transfer_time(self, first: Node, second: Node) -> int | None:
        """Nanoseconds that a frame takes over a connection; None where the connection is cut or times out."""
        if not self.links.connects(first.name, second.name):
            return None
        conditions = self.links.conditions(first.name, second.name)
        delay = (conditions.delay_ms + conditions.jitter_ms * self._draw.random()) / 1000 + MIN_DELAY_S
        while conditions.loss and self._draw.random() < conditions.loss:
            delay += 0.2  # TCP's minimum retransmission timeout (RFC 6298: 1 s; systems use 0.2 s)
            if delay > 5:
                return None
        return int(delay * SECOND)

    def _full_exchange(self, node: Node, address: SocketAddress) -> None:
        """A full exchange: Hello, the answer's Whole, and the caller's Whole."""
        other = self.by_address.get(address)
        if other is None or other is node or node.members is None:
            return
        process, began = node.process, self.now + node.clock_lead
        hello = node.members.hello(began)
        self._count_connection_frame(node, hello)

        def transfer(first: Node, second: Node, receiver: int, callback: Callable[[], None]) -> None:
            duration = self._transfer_time(first, second)
            if duration is not None:
                self.at(self.now + duration, lambda: self._when_running(second, receiver, callback))

        def answer() -> None:
            assert other.members is not None
            asked_at, answering = self.now + other.clock_lead, other.process
            whole = other.members.answer_hello(asked_at, hello)
            self._count_connection_frame(other, whole)

            def receive_answer() -> None:
                assert node.members is not None
                ours, effects = node.members.receive_whole(self.now + node.clock_lead, whole, hello.number, began)
                self._count_connection_frame(node, ours)

                def receive_ours() -> None:
                    assert other.members is not None
                    _, effects = other.members.receive_whole(self.now + other.clock_lead, ours, whole.ask, asked_at)
                    self._carry_out(other, effects)

                transfer(node, other, answering, receive_ours)
                self._carry_out(node, effects)

            transfer(other, node, process, receive_answer)

        if other.members is not None:
            transfer(node, other, other.process, answer)

    def _count_connection_frame(self, node: Node, frame: fr.Frame) -> None:
        """Count a frame on a connection, with its length field."""
        self._count_bytes(node, frame, len(self.codec.encode(frame, 2)) + LENGTH_FIELD_BYTES)

    def _count_bytes(self, node: Node, frame: fr.Frame, size: int) -> None:
        node.sent_bytes += size
        if self.sent is not None:
            self.sent(node, frame, size)
