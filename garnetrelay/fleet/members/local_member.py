"""A relay's word on itself: its life, what it answers to those who doubt it, and whether its name is its own. No I/O.

Rules, in the order in which they are looked at:

- said to be suspected in its present life: it speaks up with a higher incarnation;
- said to have failed or left in its present life, or in a later one that has ended: it goes on in the next life, once
  that number is kept in its folder (`Wanted`), and says nothing until then. So no life that has ended comes back;
- said to live in a later life as another process: somebody has its name. It stands aside, says nothing for itself,
  and asks on until that life has ended. (A relay whose folder was lost waits in this way until its own earlier life
  has failed.)
"""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from garnetrelay.fleet.members.claims import MAX_INCARNATION, MAX_LIFE, Claim, Status


class Answer(Enum):
    """What follows from a word on oneself."""

    NOTHING = auto()
    REFUTED = auto()  # the new incarnation is to be told
    OLD = auto()  # an earlier life of the name: the present one is to be told
    WANTED = auto()  # the next life is to be kept
    ASIDE = auto()  # another process has the name


class LocalMember:
    """One process's word on itself."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.active = True
        self.left = False
        self.wanted = 0  # a life that is to be kept
        self.aside: Claim | None = None  # who has the name
        self._same_process = True

    def hear(self, claim: Claim) -> Answer:
        """A word of another on this name."""
        own = self.claim
        if self.left:
            return Answer.NOTHING
        if claim.identity == own.identity:
            if claim.final or claim.incarnation >= MAX_INCARNATION:
                return self._want(claim, True)
            if claim.incarnation > own.incarnation or (
                claim.status is Status.SUSPECT and claim.incarnation == own.incarnation
            ):
                self.claim = msgspec.structs.replace(own, incarnation=claim.incarnation + 1)
                return Answer.REFUTED
            return Answer.NOTHING
        if claim.identity < own.identity:
            return Answer.NOTHING if claim.final else Answer.OLD
        if claim.final:
            return self._want(claim, False)
        if self.wanted > claim.life:
            return Answer.NOTHING
        news = self.aside is None or self.aside.identity != claim.identity
        self.aside, self.active = claim, False
        return Answer.ASIDE if news else Answer.NOTHING

    def kept(self, life: int) -> bool:
        """The folder has the life that was wanted: whether this relay goes on in it."""
        if life != self.wanted or self.left:
            return False
        born = self.claim.born if self._same_process else life
        self.claim = msgspec.structs.replace(self.claim, life=life, born=born, incarnation=0)
        self.wanted, self.aside, self.active = 0, None, True
        return True

    def leave(self) -> Claim:
        """The last word of this life."""
        self.left, self.active = True, False
        return self.claim.judged(Status.LEFT, "")

    def _want(self, ended: Claim, same: bool) -> Answer:
        if self.wanted > ended.life or ended.life >= MAX_LIFE:
            return Answer.NOTHING
        self._same_process = same and (self._same_process or not self.wanted)
        self.wanted, self.active, self.aside = ended.life + 1, False, None
        return Answer.WANTED
