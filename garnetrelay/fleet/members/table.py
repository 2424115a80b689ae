"""What a relay holds of each other one: the word that holds, its suspicion, how old the word of it is. No I/O.

`Table.take` is a join: whatever the order in which claims come, and however often, the same claims leave the same words
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


class Path(Enum):
    """What is known of the link to a member that does not answer this relay itself, and does answer others."""

    WHOLE = "whole"
    DEAF = "it hears this relay and is not heard"  # the link from it to here is cut
    UNHEARD = "it does not hear this relay"  # the link from here to it is cut, and perhaps the other
    CUT = "it answers others only"


@dataclass(slots=True)
class Suspicion:
    """A member is held to have failed, unless it speaks up in time."""

    began: int
    members: int  # in the view at that moment: a view that shrinks meanwhile does not shorten it
    by: set[str] = field(default_factory=set)  # who else says so, independently
    stretched: int = 0  # this relay slept meanwhile: that time does not count


@dataclass(slots=True)
class Member:
    """One other relay, in the life that holds."""

    claim: Claim
    changed_at: int
    mark: int = 0  # 48 bits of its name and life, by which ages are told
    suspicion: Suspicion | None = None
    word_at: int | None = None  # it was there at this moment or later
    word_view: int = -1  # its view then
    heard_at: int | None = None  # a frame of it came, by whatever link, at this moment
    first_hand: bool = False  # it has answered this relay in this life
    window: Window = field(default_factory=Window)
    path: Path = Path.WHOLE
    path_since: int = 0
    path_by: str = ""  # who vouched last


class Change(Enum):
    """What a claim did."""

    NOTHING = auto()
    AGAIN = auto()  # the same suspicion, from another relay
    NEW = auto()  # a name that was not held
    LIFE = auto()  # another life of a name
    OBSERVATION = auto()  # another word on the same life
    FULL = auto()  # there is no room for one more member


@functools.lru_cache(4096)  # asked for with every frame, of the relay itself
def mark(name: str, identity: Identity) -> int:
    """64 bits that stand for a member in its life."""
    text = f"{name} {identity.life} {identity.process}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


class Table:
    """All others, in and gone."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.members: dict[str, Member] = {}
        self.gone: dict[str, Member] = {}  # failed or left, the longest gone first
        self.last: dict[str, tuple[int, int, int, int, int]] = {}  # rank of the last word on forgotten names
        self.print = 0  # of who is in, without this relay itself
        self._by_mark: dict[int, str] = {}  # 48 bits; empty where two share them

    def __iter__(self) -> Iterator[Member]:
        yield from self.members.values()
        yield from self.gone.values()

    def __len__(self) -> int:
        return len(self.members)

    def get(self, name: str) -> Member | None:
        """A member, or one that has gone and is not forgotten yet."""
        return self.members.get(name) or self.gone.get(name)

    def by_mark(self, whom: int) -> Member | None:
        """The member that a word is about; None where it is not known, or not for sure."""
        return self.members.get(self._by_mark.get(whom, ""))

    def take(self, claim: Claim, now: int) -> Change:
        """Hold the greater of what is held and a claim."""
        member = self.get(claim.name)
        if member is None:
            if claim.rank <= self.last.get(claim.name, (0,)):
                return Change.NOTHING
            if not claim.final and len(self.members) >= self.most:
                return Change.FULL
            self.last.pop(claim.name, None)
            self._enter(Member(claim, now))
            return Change.NEW
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
                and claim.by not in member.suspicion.by
                and claim.by != held.by
            ):
                member.suspicion.by.add(claim.by)
                return Change.AGAIN
            return Change.NOTHING
        if held.final and not claim.final and len(self.members) >= self.most:
            return Change.FULL
        self._leave(member)
        if claim.identity != held.identity:
            self._enter(Member(claim, now))
            return Change.LIFE
        member.claim, member.changed_at, member.suspicion = claim, now, None
        self._enter(member)
        return Change.OBSERVATION

    def forget(self, before: int) -> None:
        """Let go of those that went before a moment, and of the longest gone where there are too many."""
        while self.gone:
            member = next(iter(self.gone.values()))
            if member.changed_at >= before and len(self.gone) <= self.most:
                break
            del self.gone[member.claim.name]
            self.last[member.claim.name] = member.claim.rank
            if len(self.last) > 4 * self.most:
                del self.last[next(iter(self.last))]

    def claims(self) -> Iterable[Claim]:
        """All words that hold."""
        return [member.claim for member in self]

    def _enter(self, member: Member) -> None:
        claim = member.claim
        if claim.final:
            member.suspicion = None
            self.gone[claim.name] = member
            return
        self.members[claim.name] = member
        print_ = mark(claim.name, claim.identity)
        self.print ^= print_
        short = member.mark = print_ >> 16
        self._by_mark[short] = "" if short in self._by_mark else claim.name

    def _leave(self, member: Member) -> None:
        name = member.claim.name
        if self.gone.pop(name, None) is not None:
            return
        del self.members[name]
        print_ = mark(name, member.claim.identity)
        self.print ^= print_
        self._by_mark.pop(print_ >> 16, None)
