"""What a relay holds of each other one: the word that holds, its suspicion, how old the word of it is. No I/O.

`Table.merge` is a join: whatever the order in which claims come, and however often, the same claims leave the same words
(`claims.py` has the order). Bounded: so many members, as many gone ones, and four times as many names whose last life is
kept so that it can't come back.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from garnetrelay.fleet.members.claims import Claim, Identity, Status
from garnetrelay.fleet.members.frames import Window


class LinkState(Enum):
    """What is known of the link to a member that does not answer this relay itself, and does answer others."""

    WHOLE = "whole"
    INBOUND_CUT = "it hears this relay and is not heard"  # the link from it to here is cut
    OUTBOUND_CUT = "it does not hear this relay"  # the link from here to it is cut, and perhaps the other
    INDIRECT_ONLY = "it answers others only"


@dataclass(slots=True)
class Suspicion:
    """A member is held to have failed, unless it speaks up in time."""

    started_at: int
    view_size: int  # in the view at that moment: a view that shrinks meanwhile does not shorten it
    confirmed_by: set[str] = field(default_factory=set)  # who else says so, independently
    extended_by: int = 0  # this relay slept meanwhile: that time does not count


@dataclass(slots=True)
class Member:
    """One other relay, in the life that holds."""

    claim: Claim
    changed_at: int
    short_hash: int = 0  # 48 bits of its name and life, by which ages are told
    suspicion: Suspicion | None = None
    seen_at: int | None = None  # it was there at this moment or later
    seen_view: int = -1  # its view then
    frame_received_at: int | None = None  # a frame of it came, by whatever link, at this moment
    answered_directly: bool = False  # it has answered this relay in this life
    window: Window = field(default_factory=Window)
    link_state: LinkState = LinkState.WHOLE
    link_state_since: int = 0
    reached_through: str = ""  # who vouched last


class Change(Enum):
    """What a claim did."""

    NOTHING = auto()
    CONFIRMATION = auto()  # the same suspicion, from another relay
    NEW_MEMBER = auto()  # a name that was not held
    NEW_LIFE = auto()  # another life of a name
    UPDATE = auto()  # another word on the same life
    FULL = auto()  # there is no room for one more member


@functools.lru_cache(4096)  # asked for with every frame, of the relay itself
def member_hash(name: str, identity: Identity) -> int:
    """64 bits that stand for a member in its life."""
    text = f"{name} {identity.life} {identity.process}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


class Table:
    """All others, in and gone."""

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.members: dict[str, Member] = {}
        self.gone: dict[str, Member] = {}  # failed or left, the longest gone first
        self.last_ranks: dict[str, tuple[int, int, int, int, int]] = {}  # rank of the last word on forgotten names
        self.view_hash = 0  # of who is in, without this relay itself
        self._by_short_hash: dict[int, str] = {}  # 48 bits; empty where two share them

    def __iter__(self) -> Iterator[Member]:
        yield from self.members.values()
        yield from self.gone.values()

    def __len__(self) -> int:
        return len(self.members)

    def get(self, name: str) -> Member | None:
        """A member, or one that has gone and is not forgotten yet."""
        return self.members.get(name) or self.gone.get(name)

    def by_short_hash(self, short_hash: int) -> Member | None:
        """The member that a word is about; None where it is not known, or not for sure."""
        return self.members.get(self._by_short_hash.get(short_hash, ""))

    def merge(self, claim: Claim, now: int) -> Change:
        """Hold the greater of what is held and a claim."""
        member = self.get(claim.name)
        if member is None:
            if claim.rank <= self.last_ranks.get(claim.name, (0,)):
                return Change.NOTHING
            if not claim.final and len(self.members) >= self.max_members:
                return Change.FULL
            self.last_ranks.pop(claim.name, None)
            self._add(Member(claim, now))
            return Change.NEW_MEMBER
        held = member.claim
        if claim == held:  # most of what comes
            return Change.NOTHING
        if claim.rank < held.rank:
            return Change.NOTHING
        if claim.rank == held.rank:
            # Addresses may differ where the process number does not: one of them holds everywhere. A zone is lost where
            # a relay of before passes a claim on: the one that knows it holds.
            if (claim.host, claim.port, claim.speaks, claim.zone) > (held.host, held.port, held.speaks, held.zone):
                member.claim = claim
            if (
                claim.status is Status.SUSPECT
                and member.suspicion is not None
                and claim.by not in member.suspicion.confirmed_by
                and claim.by != held.by
            ):
                member.suspicion.confirmed_by.add(claim.by)
                return Change.CONFIRMATION
            return Change.NOTHING
        if held.final and not claim.final and len(self.members) >= self.max_members:
            return Change.FULL
        self._remove(member)
        if claim.identity != held.identity:
            self._add(Member(claim, now))
            return Change.NEW_LIFE
        member.claim, member.changed_at, member.suspicion = claim, now, None
        self._add(member)
        return Change.UPDATE

    def forget(self, before: int) -> None:
        """Let go of those that went before a moment, and of the longest gone where there are too many."""
        while self.gone:
            member = next(iter(self.gone.values()))
            if member.changed_at >= before and len(self.gone) <= self.max_members:
                break
            del self.gone[member.claim.name]
            self.last_ranks[member.claim.name] = member.claim.rank
            if len(self.last_ranks) > 4 * self.max_members:
                del self.last_ranks[next(iter(self.last_ranks))]

    def claims(self) -> Iterable[Claim]:
        """All words that hold."""
        return [member.claim for member in self]

    def _add(self, member: Member) -> None:
        claim = member.claim
        if claim.final:
            member.suspicion = None
            self.gone[claim.name] = member
            return
        self.members[claim.name] = member
        hash_ = member_hash(claim.name, claim.identity)
        self.view_hash ^= hash_
        short_hash = member.short_hash = hash_ >> 16
        self._by_short_hash[short_hash] = "" if short_hash in self._by_short_hash else claim.name

    def _remove(self, member: Member) -> None:
        name = member.claim.name
        if self.gone.pop(name, None) is not None:
            return
        del self.members[name]
        hash_ = member_hash(name, member.claim.identity)
        self.view_hash ^= hash_
        self._by_short_hash.pop(hash_ >> 16, None)
