"""Requests that wait for an answer. No I/O.

That a member is up now follows only from an answer to one of this relay's own requests, matched by its number. Each
number is random, used once, and forgotten when the request expires.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Identity, SocketAddress

MAX_PENDING_REQUESTS = 512  # concurrent
MAX_PENDING_TO_UNKNOWN = 128  # of these, to members whose life is not known


class Purpose(Enum):
    """Why a request was sent."""

    PROBE = auto()
    INDIRECT_PROBE = auto()
    UNKNOWN_MEMBER = auto()
    CONTACT = auto()


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for an answer."""

    purpose: Purpose
    sent_at: int
    expires_at: int
    target: str = ""
    identity: Identity = Identity(0, 0)
    requester: SocketAddress | None = None  # the member that asked for an indirect probe
    requester_number: int = 0
    requester_version: int = 1
    nack_at: int | None = None  # when to send the requester a Nack


class PendingRequests:
    """All pending requests."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._open: dict[int, PendingRequest] = {}
        self._to_unknown: dict[SocketAddress, int] = {}

    def add(self, request: PendingRequest) -> int | None:
        """Registers a request and returns its number; None if too many are pending."""
        if len(self._open) >= MAX_PENDING_REQUESTS:
            return None
        number = self._rng.getrandbits(62)
        self._open[number] = request
        return number

    def add_for_unknown(self, request: PendingRequest, address: SocketAddress) -> int | None:
        """Registers a request to a member whose life is not known: at most one per address."""
        if address in self._to_unknown or len(self._to_unknown) >= MAX_PENDING_TO_UNKNOWN:
            return None
        number = self.add(request)
        if number is not None:
            self._to_unknown[address] = number
        return number

    def match_answer(self, frame: fr.AnyFrame, source: SocketAddress) -> PendingRequest | None:
        """Returns the request that a frame answers, if it was sent to the frame's sender."""
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
        # Several members probe on this relay's behalf: the request stays open until its probe ends.
        return request if isinstance(frame, fr.Vouch | fr.Nack) and request.purpose is Purpose.PROBE else None

    def close(self, number: int) -> None:
        """Closes a request: later answers to it are ignored."""
        self._open.pop(number, None)

    def expire(self, now: int) -> Iterator[PendingRequest]:
        """Yields the requests whose requester is now due a Nack; drops the expired ones."""
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
        """Returns when the next Nack is due."""
        return min((request.nack_at for request in self._open.values() if request.nack_at is not None), default=None)
