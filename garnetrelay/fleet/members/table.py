"""The other members as one relay knows them: the current claim, the suspicion, and the latest observation of each. No
I/O.

`Table.merge` is a join: whatever the order and number of times in which claims arrive, the same claims leave the same
result (`claims.py` defines the order). The size is bounded: a maximum of members, as many departed ones, and four
times as many names whose last life is remembered so that it cannot come back.
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
    """The state of the link to a member that answers others but not this relay."""

    WHOLE = "whole"
    INBOUND_CUT = "it hears this relay and is not heard"  # the link from the member to this relay is cut
    OUTBOUND_CUT = "it does not hear this relay"  # the link to the member is cut, and possibly the reverse one
    INDIRECT_ONLY = "it answers others only"


@dataclass(slots=True)
class Suspicion:
    """A member will be declared failed unless it refutes the suspicion in time."""

    started_at: int
    view_size: int  # when the suspicion started: a view that shrinks later does not shorten the deadline
    confirmed_by: set[str] = field(default_factory=set)  # other relays that suspect it independently
    extended_by: int = 0  # time during which this relay itself was paused; it does not count


@dataclass(slots=True)
class Member:
    """Another relay in its current life."""

    claim: Claim
    changed_at: int
    short_hash: int = 0  # first 48 bits of ``member_hash``; identifies the member in observations
    suspicion: Suspicion | None = None
    seen_at: int | None = None  # the member was up at this time or later
    seen_view: int = -1  # its view at that time
    frame_received_at: int | None = None  # when a frame from it last arrived, over any link
    answered_directly: bool = False  # it has answered this relay itself in this life
    window: Window = field(default_factory=Window)
    link_state: LinkState = LinkState.WHOLE
    link_state_since: int = 0
    reached_through: str = ""  # the member that confirmed it last


class Change(Enum):
    """The effect of merging a claim."""

    NOTHING = auto()
    CONFIRMATION = auto()  # a known suspicion, raised by another relay as well
    NEW_MEMBER = auto()  # a name that was not in the table
    NEW_LIFE = auto()  # another life of a known name
    UPDATE = auto()  # another claim about the same life
    FULL = auto()  # no room for another member


@functools.lru_cache(4096)  # computed with every frame, for the relay itself
def member_hash(name: str, identity: Identity) -> int:
    """Returns 64 bits that identify a member in its current life."""
    text = f"{name} {identity.life} {identity.process}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


class Table:
    """All other members: current and departed."""

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.members: dict[str, Member] = {}
        self.gone: dict[str, Member] = {}  # failed or left, the longest departed first
        # The rank of the last claim about each forgotten name.
        self.last_ranks: dict[str, tuple[int, int, int, int, int]] = {}
        self.view_hash = 0  # exclusive or over the current members, without this relay itself
        self._by_short_hash: dict[int, str] = {}  # empty name if two members share the 48 bits

    def __iter__(self) -> Iterator[Member]:
        yield from self.members.values()
        yield from self.gone.values()

    def __len__(self) -> int:
        return len(self.members)

    def get(self, name: str) -> Member | None:
        """Returns a member, or a departed one that is not forgotten yet."""
        return self.members.get(name) or self.gone.get(name)

    def by_short_hash(self, short_hash: int) -> Member | None:
        """Returns the member that an observation is about; None if it is unknown or ambiguous."""
        return self.members.get(self._by_short_hash.get(short_hash, ""))

    def merge(self, claim: Claim, now: int) -> Change:
        """Keeps the greater of the current claim and the given one."""
        member = self.get(claim.name)
        if member is None:
            if claim.rank <= self.last_ranks.get(claim.name, (0,)):
                return Change.NOTHING
            if not claim.final and len(self.members) >= self.max_members:
                return Change.FULL
            self.last_ranks.pop(claim.name, None)
            self._add(Member(claim, now))
            return Change.NEW_MEMBER
        current = member.claim
        if claim == current:  # the most frequent case
            return Change.NOTHING
        if claim.rank < current.rank:
            return Change.NOTHING
        if claim.rank == current.rank:
            # The addresses may differ although the process number does not: the same one has to win on all relays. A
            # relay of an earlier version drops the zone when it passes a claim on: the claim that has the zone wins.
            if (claim.host, claim.port, claim.max_version, claim.zone) > (
                current.host,
                current.port,
                current.max_version,
                current.zone,
            ):
                member.claim = claim
            if (
                claim.status is Status.SUSPECT
                and member.suspicion is not None
                and claim.by not in member.suspicion.confirmed_by
                and claim.by != current.by
            ):
                member.suspicion.confirmed_by.add(claim.by)
                return Change.CONFIRMATION
            return Change.NOTHING
        if current.final and not claim.final and len(self.members) >= self.max_members:
            return Change.FULL
        self._remove(member)
        if claim.identity != current.identity:
            self._add(Member(claim, now))
            return Change.NEW_LIFE
        member.claim, member.changed_at, member.suspicion = claim, now, None
        self._add(member)
        return Change.UPDATE

    def forget(self, before: int) -> None:
        """Forgets members that departed before a time, and the longest departed ones if there are too many."""
        while self.gone:
            member = next(iter(self.gone.values()))
            if member.changed_at >= before and len(self.gone) <= self.max_members:
                break
            del self.gone[member.claim.name]
            self.last_ranks[member.claim.name] = member.claim.rank
            if len(self.last_ranks) > 4 * self.max_members:
                del self.last_ranks[next(iter(self.last_ranks))]

    def claims(self) -> Iterable[Claim]:
        """Returns all current claims."""
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
