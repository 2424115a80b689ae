"""Questions that wait for their answers. No I/O.

That a member is there now follows only from an answer to a question of this relay's own, by its number: such a number is
drawn, used once, and forgotten after its time.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Identity, SocketAddress

MOST_QUESTIONS = 512  # open at once
MOST_STRANGERS = 128  # of them to those whose life is not known


class Why(Enum):
    """Why a question was asked."""

    PROBE = auto()
    FOR_OTHER = auto()
    STRANGER = auto()
    KNOCK = auto()


@dataclass(slots=True)
class Question:
    """One that waits for its answer."""

    why: Why
    at: int
    until: int
    name: str = ""
    identity: Identity = Identity(0, 0)
    origin: SocketAddress | None = None  # who wants to know
    origin_number: int = 0
    origin_version: int = 1
    nack_at: int | None = None  # the origin hears by then that nothing has come


class Questions:
    """All that are open."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._open: dict[int, Question] = {}
        self._strangers: dict[SocketAddress, int] = {}

    def ask(self, question: Question) -> int | None:
        """A number to ask by; None where too many are open."""
        if len(self._open) >= MOST_QUESTIONS:
            return None
        number = self._draw.getrandbits(62)
        self._open[number] = question
        return number

    def ask_stranger(self, question: Question, place: SocketAddress) -> int | None:
        """The same of someone whose life is not known: one at a time to a place."""
        if place in self._strangers or len(self._strangers) >= MOST_STRANGERS:
            return None
        number = self.ask(question)
        if number is not None:
            self._strangers[place] = number
        return number

    def answered(self, frame: fr.AnyFrame, source: SocketAddress) -> Question | None:
        """The question that a frame answers, if it was asked of that sender."""
        question = self._open.get(frame.number)
        if question is None:
            return None
        if isinstance(frame, fr.Ack):
            if question.name and question.name != frame.sender.name:
                return None
            self.close(frame.number)
            if self._strangers.get(source) == frame.number:
                del self._strangers[source]
            return question
        # Several ask for this relay: the question stays open until its probe ends.
        return question if isinstance(frame, fr.Vouch | fr.Nack) and question.why is Why.PROBE else None

    def close(self, number: int) -> None:
        """Forget a question: an answer to it counts for nothing from now on."""
        self._open.pop(number, None)

    def unanswered(self, now: int) -> Iterator[Question]:
        """Those whose origin is to hear now that nothing has come; those whose time is over go."""
        over = []
        for number, question in self._open.items():
            if question.nack_at is not None and now >= question.nack_at:
                question.nack_at = None
                yield question
            if now >= question.until:
                over.append(number)
        for number in over:
            del self._open[number]
        if over and self._strangers:
            self._strangers = {place: number for place, number in self._strangers.items() if number in self._open}

    def next_at(self) -> int | None:
        """When somebody is to hear that nothing has come."""
        return min((question.nack_at for question in self._open.values() if question.nack_at is not None), default=None)
