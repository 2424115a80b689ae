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


class SelfClaimResult(Enum):
    """What follows from a word on oneself."""

    NOTHING = auto()
    REFUTED = auto()  # the new incarnation is to be told
    OUTDATED_LIFE = auto()  # an earlier life of the name: the present one is to be told
    NEEDS_NEW_LIFE = auto()  # the next life is to be kept
    NAME_TAKEN = auto()  # another process has the name


class LocalMember:
    """One process's word on itself."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.active = True
        self.left = False
        self.wanted_life = 0  # a life that is to be kept
        self.name_holder: Claim | None = None  # who has the name
        self._same_process = True

    def apply_claim(self, claim: Claim) -> SelfClaimResult:
        """A word of another on this name."""
        own = self.claim
        if self.left:
            return SelfClaimResult.NOTHING
        if claim.identity == own.identity:
            if claim.final or claim.incarnation >= MAX_INCARNATION:
                return self._request_life(claim, True)
            if claim.incarnation > own.incarnation or (
                claim.status is Status.SUSPECT and claim.incarnation == own.incarnation
            ):
                self.claim = msgspec.structs.replace(own, incarnation=claim.incarnation + 1)
                return SelfClaimResult.REFUTED
            return SelfClaimResult.NOTHING
        if claim.identity < own.identity:
            return SelfClaimResult.NOTHING if claim.final else SelfClaimResult.OUTDATED_LIFE
        if claim.final:
            return self._request_life(claim, False)
        if self.wanted_life > claim.life:
            return SelfClaimResult.NOTHING
        is_new = self.name_holder is None or self.name_holder.identity != claim.identity
        self.name_holder, self.active = claim, False
        return SelfClaimResult.NAME_TAKEN if is_new else SelfClaimResult.NOTHING

    def life_stored(self, life: int) -> bool:
        """The folder has the life that was wanted: whether this relay goes on in it."""
        if life != self.wanted_life or self.left:
            return False
        born = self.claim.born if self._same_process else life
        self.claim = msgspec.structs.replace(self.claim, life=life, born=born, incarnation=0)
        self.wanted_life, self.name_holder, self.active = 0, None, True
        return True

    def leave(self) -> Claim:
        """The last word of this life."""
        self.left, self.active = True, False
        return self.claim.judged(Status.LEFT, "")

    def _request_life(self, ended: Claim, same: bool) -> SelfClaimResult:
        if self.wanted_life > ended.life or ended.life >= MAX_LIFE:
            return SelfClaimResult.NOTHING
        self._same_process = same and (self._same_process or not self.wanted_life)
        self.wanted_life, self.active, self.name_holder = ended.life + 1, False, None
        return SelfClaimResult.NEEDS_NEW_LIFE
