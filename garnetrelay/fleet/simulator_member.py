"""A member on the simulator's wire: its frames go by `post` and come by `mail`, 256 bytes each. No I/O.

A relay's number (`me`) stands for its address, and the settings say how many there are: all begin with the same view,
in which each is there (`presumed`), so nobody has to ask for it. That they are there still has to be heard from them.
There are no connections: a full exchange goes in pieces, each a frame of its own that answers the same question, and
holds only what is other than presumed. Both sides presume the same: the join of their words is what it would be with all.

The folder of a simulated relay does not last. A process that follows another within the time of a suspicion is the same
member: its frames' numbers go on by the day's clock, which is one for all, and nobody has to be told. One that comes
later hears that its life has ended, and goes on in the next. So a life does not say here whether a process has forgotten
what it promised: whoever lends has to wait out its leases after its start.
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

MAX_NOTE_BYTES = 256  # bytes of a note
SECRET = b"all relays of a simulated day"
PORT = 1
# Notes cost: few words on them, and full exchanges only where views are seen to differ.
SETTINGS = Settings(
    max_frame_bytes=MAX_NOTE_BYTES,
    max_observations=4,
    probe_interval=2 * SECOND,
    probe_timeout=200_000_000,
    exchange_interval=3600 * SECOND,
    digests=False,
)
MIN_TRIES_PER_S = 0.2  # first tries of a relay a second: some 200 relays at limits of a few calls
MAX_COST_SHARE = 0.01  # of a day's result, that notes may cost at most at so many tries
TYPICAL_NOTE_BYTES = 128  # bytes
SEQUENCE_STEP_NS = 1000  # nanoseconds of the day for one number of a frame: no relay sends more
MAX_OPEN_EXCHANGES = 64  # full exchanges that may still be answered
FIRST_TIMER_TOKEN = 1 << 40  # timers of a member have numbers from here on: the module's are lower


class Post(NamedTuple):
    """A note to a relay."""

    to: int
    data: bytes


class Wake(NamedTuple):
    """A timer: so long from now, with this number."""

    after: int
    token: int


class Line(NamedTuple):
    """For the log."""

    text: str


Reply = Post | Wake | Line


def address_of(relay: int) -> SocketAddress:
    """The address that stands for a relay's number."""
    return SocketAddress(f"10.{relay >> 16 & 255}.{relay >> 8 & 255}.{relay & 255}", PORT)


def relay_at(at: SocketAddress) -> int:
    """The relay that an address stands for."""
    _, high, middle, low = (int(part) for part in at.host.split("."))
    return high << 16 | middle << 8 | low


def initial_claims(relays: int) -> dict[str, Claim]:
    """What every relay holds at its beginning, by name."""
    return {
        f"r{relay}": Claim(f"r{relay}", 1, 0, 1, 0, Status.ALIVE, *address_of(relay), SETTINGS.versions)
        for relay in range(relays)
    }


def settings_at(price: float) -> Settings:
    """The time between two probes follows from what notes cost (``price``: points for 256 bytes a first try): a question
    and its answer in each may take ``WORTH`` off the result."""
    every = 2 * TYPICAL_NOTE_BYTES / MAX_NOTE_BYTES * price / (MAX_COST_SHARE * MIN_TRIES_PER_S)
    return dataclasses.replace(SETTINGS, probe_interval=max(SETTINGS.probe_interval, int(every * SECOND)))


class SimulatorMember:
    """One relay's part in the fleet of a simulated day."""

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
        self._exchanges_asked: dict[int, int] = {}  # when a full exchange was asked for, by its number
        self._exchanges_answered: deque[int] = deque(maxlen=MAX_OPEN_EXCHANGES)
        self._token = FIRST_TIMER_TOKEN

    def begin(self, now: int) -> list[Reply]:
        """The first timer."""
        return self._carry_out(now, self._first)

    def alarm(self, now: int, token: int) -> list[Reply]:
        """A timer of its own has come; only the newest counts."""
        return self._carry_out(now, self.members.tick(now)) if token == self._token else []

    def mail(self, now: int, origin: int, data: bytes) -> list[Reply]:
        """A note has come. One that can't be used changes nothing."""
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
            self._exchanges_answered.append(frame.ask)  # many pieces ask for ours: it goes back once
            return self._carry_out(now, effects, list(self._pieces(origin, ours)))
        return self._carry_out(now, self.members.receive(now, frame, address_of(origin)))

    def _decode(self, data: bytes) -> fr.AnyFrame:
        try:
            return self.codec.decode(data)
        except fr.Refused as refused:
            if refused.cause != "malformed":
                raise
        return self.codec.decode(data, exchange=True)

    def _remember(self, asked: int, now: int) -> None:
        """A question that pieces may answer for a while."""
        self._exchanges_asked[asked] = now
        while len(self._exchanges_asked) > MAX_OPEN_EXCHANGES:
            del self._exchanges_asked[next(iter(self._exchanges_asked))]

    def _pieces(self, to: int, whole: fr.Whole) -> Iterator[Post]:
        """What a frame holds beyond what is presumed, in notes."""
        room = MAX_NOTE_BYTES - fr.HEADER_BYTES - 64 - whole.sender.size()
        claims = [claim for claim in whole.claims if claim != self.initial_claims.get(claim.name)]
        while True:
            piece: list[Claim] = []
            left = room
            while claims and claims[-1].size() <= left:
                left -= claims[-1].size()
                piece.append(claims.pop())
            part = msgspec.structs.replace(whole, claims=piece, sequence=self._sequence())
            yield Post(to, self.codec.encode(part, 2))
            if not claims or not piece:
                return

    def _sequence(self) -> int:
        return self.members.outgoing.next_sequence()

    def _carry_out(self, now: int, effects: list[Effect], replies: list[Reply] | None = None) -> list[Reply]:
        made: list[Reply] = list(replies or [])
        waiting = list(effects)
        while waiting:
            match waiting.pop(0):
                case SendFrame(at, frame, version):
                    made.append(Post(relay_at(at), self.codec.encode(frame, version)))
                case StartExchange(at):
                    hello = self.members.hello(now)
                    self._remember(hello.number, now)
                    made.append(Post(relay_at(at), self.codec.encode(hello, 1)))
                case StoreLife(life):  # there is no folder: kept at once
                    waiting += self.members.life_stored(now, life)
                case LogLine(text, _):
                    made.append(Line(f"fleet: {text}"))
        self._token += 1
        made.append(Wake(max(1, self.members.next_at - now), self._token))
        return made
