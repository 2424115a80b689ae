"""A member on the simulator's wire: its frames go by `post` and come by `mail`, 256 bytes each. No I/O.

A relay's number (`me`) stands for its address. There are no connections there: a full exchange goes in pieces, each a
frame of its own that answers the same question. The folder of a simulated relay does not last, so a new process goes on
behind the life by which the others know it (`members/own.py`).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, Place, Status
from garnetrelay.fleet.members.effects import Effect, Exchange, KeepLife, Note, Tell
from garnetrelay.fleet.members.protocol import Members
from garnetrelay.fleet.members.settings import SECOND, Settings

MOST = 256  # bytes of a note
SECRET = b"all relays of a simulated day"
PORT = 1
# Notes cost: questions every two seconds, and full exchanges only where views are seen to differ.
SETTINGS = Settings(most_frame=MOST, probe_every=2 * SECOND, probe_timeout=200_000_000, exchange_every=3600 * SECOND)
ASKED = 3  # relays that a new one asks for all that they hold
MOST_ASKED = 64  # full exchanges that may still be answered
FIRST = 1 << 40  # timers of a member have numbers from here on: the module's are lower


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


def place(relay: int) -> Place:
    """The address that stands for a relay's number."""
    return Place(f"10.{relay >> 16 & 255}.{relay >> 8 & 255}.{relay & 255}", PORT)


def number(at: Place) -> int:
    """The relay that an address stands for."""
    _, high, middle, low = (int(part) for part in at.host.split("."))
    return high << 16 | middle << 8 | low


class Mail:
    """One relay's part in the fleet of a simulated day."""

    def __init__(self, me: int, relays: int, seed: int, now: int) -> None:
        self.codec = fr.Codec([SECRET])
        draw = random.Random(f"{seed}/fleet")
        others = [relay for relay in range(relays) if relay != me]
        seeds = [place(relay) for relay in draw.sample(others, min(ASKED, len(others)))]
        at = place(me)
        own = Claim(f"r{me}", 1, draw.getrandbits(32), 1, 0, Status.ALIVE, at.host, at.port, SETTINGS.versions)
        self.members = Members(own, SETTINGS, draw, now, seeds)
        self.refused = 0
        self._asked: dict[int, int] = {}  # when a full exchange was asked for, by its number
        self._answered: deque[int] = deque(maxlen=MOST_ASKED)
        self._token = FIRST

    def begin(self, now: int) -> list[Reply]:
        """The first timer."""
        return self._carry_out(now, [])

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
            asked_at = self._asked.get(frame.number)
            if asked_at is None:
                self.refused += 1
                return []
            ours, effects = self.members.hear_whole(now, frame, frame.number, asked_at)
            if not frame.ask or frame.ask in self._answered:
                return self._carry_out(now, effects)
            self._answered.append(frame.ask)  # many pieces ask for ours: it goes back once
            return self._carry_out(now, effects, list(self._pieces(origin, ours)))
        return self._carry_out(now, self.members.receive(now, frame, place(origin)))

    def _decode(self, data: bytes) -> fr.AnyFrame:
        try:
            return self.codec.decode(data)
        except fr.Refused as refused:
            if refused.cause != "malformed":
                raise
        return self.codec.decode(data, exchange=True)

    def _remember(self, asked: int, now: int) -> None:
        """A question that pieces may answer for a while."""
        self._asked[asked] = now
        while len(self._asked) > MOST_ASKED:
            del self._asked[next(iter(self._asked))]

    def _pieces(self, to: int, whole: fr.Whole) -> Iterator[Post]:
        """All that a frame holds, in notes."""
        room = MOST - fr.HEAD - 64 - whole.sender.size()
        claims = list(whole.claims)
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
        self.members.sequence += 1
        return self.members.sequence

    def _carry_out(self, now: int, effects: list[Effect], replies: list[Reply] | None = None) -> list[Reply]:
        made: list[Reply] = list(replies or [])
        waiting = list(effects)
        while waiting:
            match waiting.pop(0):
                case Tell(at, frame, version):
                    made.append(Post(number(at), self.codec.encode(frame, version)))
                case Exchange(at):
                    hello = self.members.hello(now)
                    self._remember(hello.number, now)
                    made.append(Post(number(at), self.codec.encode(hello, 1)))
                case KeepLife(life):  # there is no folder: kept at once
                    waiting += self.members.life_kept(now, life)
                case Note(text, _):
                    made.append(Line(f"fleet: {text}"))
        self._token += 1
        made.append(Wake(max(1, self.members.next_at - now), self._token))
        return made
