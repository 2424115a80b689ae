"""A fleet member on the simulator's wire: it sends frames with `post` and receives them with `mail`, 256 bytes each.
No I/O.

A relay's number (`me`) stands for its address, and the settings give the number of relays: all start with the same
view, in which every relay is a member (`initial_claims`), so no discovery is needed. That the others are up still has
to be observed. There are no connections: a full exchange is sent in pieces, each a frame of its own that answers the
same request and contains only claims that differ from the initial ones. Both sides start with the same initial claims,
so the join of their claims is the same as if all were sent.

The folder of a simulated relay is not persistent. A process that starts within the suspicion time after the previous
one is the same member: its sequence numbers continue by the simulated clock, which is the same for all relays, and no
relay has to be notified. A process that starts later learns that its life has ended, and continues in the next one. So
the life number does not show here whether a process has lost the promises of its predecessor: a relay that grants
leases has to wait for them to expire after its start.
"""

from __future__ import annotations

import dataclasses
import random
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import Effect, LogLine, SendFrame, StartExchange, StoreLife
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings

MAX_NOTE_BYTES = 256
SECRET = b"all relays of a simulated day"
PORT = 1
# Notes cost points: few observations per note, and full exchanges only if views are known to differ.
SETTINGS = Settings(
    max_frame_bytes=MAX_NOTE_BYTES,
    max_observations=4,
    probe_interval=2 * SECOND,
    probe_timeout=200_000_000,
    exchange_interval=3600 * SECOND,
    digests=False,
)
MIN_TRIES_PER_S = 0.2  # first tries per relay: some 200 relays at limits of a few calls
MAX_COST_SHARE = 0.01  # share of a day's result that notes may cost at that number of tries
TYPICAL_NOTE_BYTES = 128
SEQUENCE_STEP_NS = 1000  # simulated time per sequence number: no relay sends faster
MAX_OPEN_EXCHANGES = 64  # full exchanges that may still be answered, and that were answered last
FIRST_TIMER_TOKEN = 1 << 40  # the decision module's timers have lower numbers


class Post(NamedTuple):
    """A note to another relay."""

    to: int
    data: bytes


class Wake(NamedTuple):
    """A timer that expires after a delay, with its number."""

    after: int
    token: int


class Line(NamedTuple):
    """A line for the log."""

    text: str


Reply = Post | Wake | Line


def address_of(relay: int) -> SocketAddress:
    """Returns the address that represents a relay's number."""
    return SocketAddress(f"10.{relay >> 16 & 255}.{relay >> 8 & 255}.{relay & 255}", PORT)


def relay_at(address: SocketAddress) -> int:
    """Returns the relay number that an address represents."""
    _, high, middle, low = (int(part) for part in address.host.split("."))
    return high << 16 | middle << 8 | low


def initial_claims(relays: int) -> dict[str, Claim]:
    """Returns the claims that every relay starts with, by name."""
    return {
        f"r{relay}": Claim(f"r{relay}", 1, 0, 1, 0, Status.ALIVE, *address_of(relay), SETTINGS.versions)
        for relay in range(relays)
    }


def settings_at(price: float) -> Settings:
    """Derives the probe interval from the cost of notes (``price``: points for 256 bytes per first try): one request
    and its answer per interval may cost ``MAX_COST_SHARE`` of the result."""
    every = 2 * TYPICAL_NOTE_BYTES / MAX_NOTE_BYTES * price / (MAX_COST_SHARE * MIN_TRIES_PER_S)
    return dataclasses.replace(SETTINGS, probe_interval=max(SETTINGS.probe_interval, int(every * SECOND)))


class SimulatorMember:
    """One relay's membership in a simulated fleet."""

    def __init__(self, me: int, relays: int, seed: int, now: int, price: float = 0.0) -> None:
        self.codec = fr.Codec([SECRET])
        self.initial_claims = initial_claims(relays)
        others = dict(self.initial_claims)
        own = others.pop(f"r{me}")
        self.members = Membership(
            own, settings_at(price), random.Random(f"{seed}/fleet"), now, sequence=now // SEQUENCE_STEP_NS
        )
        self._first = self.members.start_with(now, list(others.values()))
        self.refused = 0
        self._exchanges_asked: dict[int, int] = {}  # when each full exchange was requested, by its number
        self._exchanges_answered: deque[int] = deque(maxlen=MAX_OPEN_EXCHANGES)
        self._token = FIRST_TIMER_TOKEN

    def begin(self, now: int) -> list[Reply]:
        """Starts the member; returns its first timer."""
        return self._carry_out(now, self._first)

    def alarm(self, now: int, token: int) -> list[Reply]:
        """Handles a timer of this member; only the newest counts."""
        return self._carry_out(now, self.members.tick(now)) if token == self._token else []

    def receive(self, now: int, origin: int, data: bytes) -> list[Reply]:
        """Handles a note; one that cannot be used changes nothing."""
        try:
            frame = self._decode(data)
        except fr.Refused:
            self.refused += 1
            return []
        if isinstance(frame, fr.Hello):
            whole = self.members.answer_hello(now, frame)
            self._remember(whole.ask, now)
            return self._carry_out(now, [], list(self._pieces(origin, whole)))
        if isinstance(frame, fr.Whole):
            asked_at = self._exchanges_asked.get(frame.number)
            if asked_at is None:
                self.refused += 1
                return []
            ours, effects = self.members.receive_whole(now, frame, frame.number, asked_at)
            if not frame.ask or frame.ask in self._exchanges_answered:
                return self._carry_out(now, effects)
            self._exchanges_answered.append(frame.ask)  # several pieces request this relay's claims: they are sent once
            return self._carry_out(now, effects, list(self._pieces(origin, ours)))
        return self._carry_out(now, self.members.receive(now, frame, address_of(origin)))

    def _decode(self, data: bytes) -> fr.AnyFrame:
        try:
            return self.codec.decode(data)
        except fr.Refused as refused:
            if refused.cause != "malformed":
                raise
        return self.codec.decode(data, exchange=True)

    def _remember(self, number: int, now: int) -> None:
        """Remembers a request that pieces may answer for a while."""
        self._exchanges_asked[number] = now
        while len(self._exchanges_asked) > MAX_OPEN_EXCHANGES:
            del self._exchanges_asked[next(iter(self._exchanges_asked))]

    def _pieces(self, to: int, whole: fr.Whole) -> Iterator[Post]:
        """Yields the claims of a frame that differ from the initial ones, in notes."""
        free_bytes = MAX_NOTE_BYTES - fr.HEADER_BYTES - 64 - whole.sender.size()
        claims = [claim for claim in whole.claims if claim != self.initial_claims.get(claim.name)]
        while True:
            piece: list[Claim] = []
            remaining_bytes = free_bytes
            while claims and claims[-1].size() <= remaining_bytes:
                remaining_bytes -= claims[-1].size()
                piece.append(claims.pop())
            part = msgspec.structs.replace(whole, claims=piece, sequence=self._sequence())
            yield Post(to, self.codec.encode(part, 2))
            if not claims or not piece:
                return

    def _sequence(self) -> int:
        return self.members.outgoing.next_sequence()

    def _carry_out(self, now: int, effects: list[Effect], replies: list[Reply] | None = None) -> list[Reply]:
        all_replies: list[Reply] = list(replies or [])
        waiting = list(effects)
        while waiting:
            match waiting.pop(0):
                case SendFrame(address, frame, version):
                    all_replies.append(Post(relay_at(address), self.codec.encode(frame, version)))
                case StartExchange(address):
                    hello = self.members.hello(now)
                    self._remember(hello.number, now)
                    all_replies.append(Post(relay_at(address), self.codec.encode(hello, 1)))
                case StoreLife(life):  # there is no folder: counts as stored at once
                    waiting += self.members.life_stored(now, life)
                case LogLine(text, _):
                    all_replies.append(Line(f"fleet: {text}"))
        self._token += 1
        all_replies.append(Wake(max(1, self.members.next_at - now), self._token))
        return all_replies
