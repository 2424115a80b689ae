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

MAX_PENDING_REQUESTS = 512  # open at once
MAX_PENDING_TO_UNKNOWN = 128  # of them to those whose life is not known


class Purpose(Enum):
    """Why a question was asked."""

    PROBE = auto()
    INDIRECT_PROBE = auto()
    UNKNOWN_MEMBER = auto()
    CONTACT = auto()


@dataclass(slots=True)
class PendingRequest:
    """One that waits for its answer."""

    purpose: Purpose
    sent_at: int
    expires_at: int
    target: str = ""
    identity: Identity = Identity(0, 0)
    requester: SocketAddress | None = None  # who wants to know
    requester_number: int = 0
    requester_version: int = 1
    nack_at: int | None = None  # the origin hears by then that nothing has come


class PendingRequests:
    """All that are open."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._open: dict[int, PendingRequest] = {}
        self._to_unknown: dict[SocketAddress, int] = {}

    def add(self, request: PendingRequest) -> int | None:
        """A number to ask by; None where too many are open."""
        if len(self._open) >= MAX_PENDING_REQUESTS:
            return None
        number = self._draw.getrandbits(62)
        self._open[number] = request
        return number

    def add_for_unknown(self, request: PendingRequest, address: SocketAddress) -> int | None:
        """The same of someone whose life is not known: one at a time to a place."""
        if address in self._to_unknown or len(self._to_unknown) >= MAX_PENDING_TO_UNKNOWN:
            return None
        number = self.add(request)
        if number is not None:
            self._to_unknown[address] = number
        return number

    def match_answer(self, frame: fr.AnyFrame, source: SocketAddress) -> PendingRequest | None:
        """The question that a frame answers, if it was asked of that sender."""
        request = self._open.get(frame.number)
        if request is None:
            return None
        if isinstance(frame, fr.Ack):
            if request.target and request.target != frame.sender.name:
                return None
            self.close(frame.number)
            if self._to_unknown.get(source) == frame.number:
                del self._to_unknown[source]
            return request
        # Several ask for this relay: the question stays open until its probe ends.
        return request if isinstance(frame, fr.Vouch | fr.Nack) and request.purpose is Purpose.PROBE else None

    def close(self, number: int) -> None:
        """Forget a question: an answer to it counts for nothing from now on."""
        self._open.pop(number, None)

    def expire(self, now: int) -> Iterator[PendingRequest]:
        """Those whose origin is to hear now that nothing has come; those whose time is over go."""
        expired = []
        for number, request in self._open.items():
            if request.nack_at is not None and now >= request.nack_at:
                request.nack_at = None
                yield request
            if now >= request.expires_at:
                expired.append(number)
        for number in expired:
            del self._open[number]
        if expired and self._to_unknown:
            self._to_unknown = {address: number for address, number in self._to_unknown.items() if number in self._open}

    def next_nack_at(self) -> int | None:
        """When somebody is to hear that nothing has come."""
        return min((request.nack_at for request in self._open.values() if request.nack_at is not None), default=None)
