"""Relays' decisions, links and faults over one clock that jumps from event to event. Seeded: it replays to the frame.

A node is a name with a folder (its life number) and at most one process. A process may be killed, stopped and let go on,
starved (whatever comes to it is seen later), or leave. Full exchanges stand for a TCP connection: three passes over the
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

SECRET, OLD_SECRET = b"laboratory's secret", b"laboratory's secret of before"
LEAST_PASS = 0.0002  # seconds over a link that has no delay of its own
LENGTH = 4  # bytes ahead of a frame over a connection
PORT = 7946


@dataclass(slots=True)
class Stall:
    """What comes to a process is seen later: for ``pause`` of each ``every`` nanoseconds it does not run."""

    every: int
    pause: int


@dataclass(slots=True)
class Node:
    """A name, its folder and its process."""

    name: str
    address: SocketAddress
    life: int = 0  # in the folder
    process: int = 0
    members: Membership | None = None
    started_at: int = 0
    stopped: bool = False
    stall: Stall | None = None
    waiting: list[Callable[[], None]] = field(default_factory=list)  # came while it was stopped
    woken_for: int = -1
    sent_frames: int = 0
    sent_bytes: int = 0
    ahead: int = 0  # its clock, of the world's (nanoseconds)
    old_secret: bool = False  # it signs with the secret of before


@dataclass(frozen=True, slots=True)
class Seen:
    """Something that the experiments look at: who noted what, when."""

    at: int
    who: str
    text: str


class FleetSimulation:
    """The fleet. Times in nanoseconds from its beginning."""

    def __init__(
        self,
        count: int,
        settings: Settings,
        seed: object,
        base: LinkConditions | None = None,
        seeds: int = 3,
        versions: Callable[[int], int] = lambda number: 2,
        zones: Callable[[int], int] = lambda number: UNKNOWN_ZONE,
        keep_notes: bool = False,
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
        self.notes: list[Seen] = []
        self.keep_notes = keep_notes
        self.failures: list[tuple[int, str, str, Identity, bool]] = []  # at, by, whom, its life, whether it was there
        self.refused: Counter[str] = Counter()
        self.after_effects: Callable[[Node], None] | None = None
        self.on_datagram: Callable[[Node, bytes], None] | None = None  # a datagram reached a process
        self.sent: Callable[[Node, fr.Frame, int], None] | None = None  # a frame of so many bytes goes out
        self._seed = seed
        self._draw = random.Random(f"{seed}/world")
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()

    # ---- the clock

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Let something happen."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._count), what))

    def run(self, until: int, done: Callable[[], bool] | None = None) -> bool:
        """Go on until a moment, or until something holds (looked at every tenth of a period); whether it does."""
        look_at = self.now
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self._queue)
            what()
            if done is not None and self.now >= look_at:
                if done():
                    return True
                look_at = self.now + self.settings.probe_interval // 10
        self.now = until
        return done is not None and done()

    # ---- processes

    def start(self, name: str, lost_folder: bool = False, folder: int | None = None, called: str = "") -> None:
        """A new process of a name. ``lost_folder``: it finds nothing; ``folder``: an old copy of its life number;
        ``called``: it takes the name of another."""
        node = self.nodes[name]
        node.ahead = 0
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
        node.started_at, node.stopped, node.waiting, node.woken_for = self.now, False, [], -1
        self._wake(node)

    def kill(self, name: str) -> None:
        """SIGKILL."""
        node = self.nodes[name]
        node.members, node.waiting, node.stopped = None, [], False

    def leave(self, name: str) -> None:
        """SIGTERM."""
        node = self.nodes[name]
        if node.members is not None:
            self._carry_out(node, node.members.leave(self.now + node.ahead))
        self.kill(name)

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.nodes[name].stopped = True

    def resume(self, name: str) -> None:
        """SIGCONT: what has come meanwhile is read at once."""
        node = self.nodes[name]
        node.stopped = False
        waiting, node.waiting = node.waiting, []
        for what in waiting:
            what()
        node.woken_for = -1
        self._wake(node)

    def clock_ahead(self, name: str, by: int) -> None:
        """Its clock jumps."""
        node = self.nodes[name]
        node.ahead += by
        node.woken_for = -1
        self._wake(node)

    def live(self) -> list[Node]:
        """Nodes whose process runs."""
        return [node for node in self.nodes.values() if node.members is not None]

    def one_view(self) -> bool:
        """Whether all that live hold one view, with just them in it."""
        live = self.live()
        views = {node.members.view for node in live if node.members is not None}
        return len(views) == 1 and all(
            node.members is not None and node.members.count == len(live) and node.members.local.active for node in live
        )

    # ---- what happens to a process

    def _runs(self, node: Node, process: int, what: Callable[[], None]) -> None:
        """Now, or once it runs again; never in another process."""
        if node.members is None or node.process != process:
            return
        if node.stopped:
            node.waiting.append(what)
            return
        if node.stall is not None:
            gone = self.now % node.stall.every
            if gone < node.stall.pause:
                self.at(self.now + node.stall.pause - gone, lambda: self._runs(node, process, what))
                return
        what()

    def _wake(self, node: Node) -> None:
        members = node.members
        if members is None or node.woken_for == members.next_at:
            return
        due, process = members.next_at, node.process
        node.woken_for = due

        def tick() -> None:
            if node.members is None or node.process != process or node.woken_for != due:
                return

            def ticks() -> None:
                if node.members is not None and node.woken_for == due:
                    node.woken_for = -1
                    self._carry_out(node, node.members.tick(self.now + node.ahead))

            self._runs(node, process, ticks)

        self.at(due - node.ahead, tick)

    def _carry_out(self, node: Node, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendFrame(place, frame, version):
                    self._send(node, place, frame, version)
                case StartExchange(place):
                    self._exchange(node, place)
                case StoreLife(life):
                    self.at(self.now + MS, functools.partial(self._keep, node, node.process, life))
                case LogLine(text, _):
                    self._note(node, text)
        if self.after_effects is not None:
            self.after_effects(node)
        self._wake(node)

    def _note(self, node: Node, text: str) -> None:
        if text.startswith("judges "):
            whom = self.nodes[text.split()[1]]
            held = None if node.members is None else node.members.table.get(whom.name)
            if held is not None:
                there = whom.members is not None and whom.members.local.claim.identity == held.claim.identity
                self.failures.append((self.now, node.name, whom.name, held.claim.identity, there))
        if self.keep_notes:
            self.notes.append(Seen(self.now, node.name, text))

    def _keep(self, node: Node, process: int, life: int) -> None:
        if node.members is None or node.process != process:
            return
        node.life = max(node.life, life)
        self._carry_out(node, node.members.life_stored(self.now + node.ahead, life))

    def _send(self, node: Node, place: SocketAddress, frame: fr.Frame, version: int) -> None:
        data = (self.old_codec if node.old_secret else self.codec).encode(frame, version)
        if len(data) > self.settings.max_frame_bytes:
            raise AssertionError(f"a frame of {len(data)} bytes")
        node.sent_frames += 1
        self._count_bytes(node, frame, len(data))
        other = self.by_address.get(place)
        if other is None:
            return
        for delay, arrived in self.links.transmit(node.name, other.name, data):
            at = self.now + int((delay + LEAST_PASS) * SECOND)
            self.at(at, lambda arrived=arrived: self._arrive(other, arrived, node.address))  # type: ignore[misc]

    def _arrive(self, node: Node, data: bytes, source: SocketAddress) -> None:
        def hears() -> None:
            assert node.members is not None
            if self.on_datagram is not None:
                self.on_datagram(node, data)
            try:
                frame = self.codec.decode(data)
            except fr.Refused as refused:
                self.refused[refused.cause] += 1
                return
            self._carry_out(node, node.members.receive(self.now + node.ahead, frame, source))

        self._runs(node, node.process, hears)

    def _pass(self, first: Node, second: Node) -> int | None:
        """How long a piece of a connection takes from one to the other (nanoseconds); None where it is cut."""
        if not self.links.connects(first.name, second.name):
            return None
        fate = self.links.conditions(first.name, second.name)
        delay = (fate.delay_ms + fate.jitter_ms * self._draw.random()) / 1000 + LEAST_PASS
        while fate.loss and self._draw.random() < fate.loss:
            delay += 0.2  # TCP's least time until it sends again (RFC 6298 has 1 s, systems use 0.2)
            if delay > 5:
                return None
        return int(delay * SECOND)

    def _exchange(self, node: Node, place: SocketAddress) -> None:
        """Hello, Whole, Whole."""
        other = self.by_address.get(place)
        if other is None or other is node or node.members is None:
            return
        process, began = node.process, self.now + node.ahead
        hello = node.members.hello(began)
        self._count_piece(node, hello)

        def then(first: Node, second: Node, its: int, what: Callable[[], None]) -> None:
            took = self._pass(first, second)
            if took is not None:
                self.at(self.now + took, lambda: self._runs(second, its, what))

        def answer() -> None:
            assert other.members is not None
            asked_at, its = self.now + other.ahead, other.process
            whole = other.members.answer_hello(asked_at, hello)
            self._count_piece(other, whole)

            def hear() -> None:
                assert node.members is not None
                ours, effects = node.members.receive_whole(self.now + node.ahead, whole, hello.number, began)
                self._count_piece(node, ours)

                def hear_ours() -> None:
                    assert other.members is not None
                    _, effects = other.members.receive_whole(self.now + other.ahead, ours, whole.ask, asked_at)
                    self._carry_out(other, effects)

                then(node, other, its, hear_ours)
                self._carry_out(node, effects)

            then(other, node, process, hear)

        if other.members is not None:
            then(node, other, other.process, answer)

    def _count_piece(self, node: Node, frame: fr.Frame) -> None:
        """A frame over a connection goes behind its length."""
        self._count_bytes(node, frame, len(self.codec.encode(frame, 2)) + LENGTH)

    def _count_bytes(self, node: Node, frame: fr.Frame, size: int) -> None:
        node.sent_bytes += size
        if self.sent is not None:
            self.sent(node, frame, size)
