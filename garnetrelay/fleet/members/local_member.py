"""This relay's own entry in the membership: its life, how it refutes claims, and whether it may act under its name. No
I/O.

Claims about this name are handled by these rules, in this order:

- Suspected in its current life: it refutes the suspicion with a higher incarnation.
- Declared failed or left in its current life, or in a later one that has ended: it continues in the next life once
  that number is stored in its folder (`NEEDS_NEW_LIFE`), and makes no claims until then. So no life that has ended
  comes back.
- Claimed to be in a later life as another process: another process has its name. It becomes inactive, makes no claims
  about itself, and keeps sending contact requests until that life has ended. (A relay whose folder was lost waits in
  this way until its own earlier life has been declared failed.)
"""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from garnetrelay.fleet.members.claims import MAX_INCARNATION, MAX_LIFE, Claim, Status


class SelfClaimResult(Enum):
    """The consequence of a claim about this relay itself."""

    NOTHING = auto()
    REFUTED = auto()  # the new incarnation has to be spread
    OUTDATED_LIFE = auto()  # the claim is about an earlier life: the current one has to be spread
    NEEDS_NEW_LIFE = auto()  # the next life has to be stored
    NAME_TAKEN = auto()  # another process uses the name


class LocalMember:
    """The claim of one process about itself."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.active = True
        self.left = False
        self.wanted_life = 0  # the life to continue in once it is stored; 0: none
        self.name_holder: Claim | None = None  # the other process that uses the name
        self._same_process = True

    def apply_claim(self, claim: Claim) -> SelfClaimResult:
        """Applies another member's claim about this name."""
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
        """Continues in a life that was stored; returns False if it is not the wanted life."""
        if life != self.wanted_life or self.left:
            return False
        born = self.claim.born if self._same_process else life
        self.claim = msgspec.structs.replace(self.claim, life=life, born=born, incarnation=0)
        self.wanted_life, self.name_holder, self.active = 0, None, True
        return True

    def leave(self) -> Claim:
        """Deactivates the member and returns the last claim of this life."""
        self.left, self.active = True, False
        return self.claim.with_status(Status.LEFT, "")

    def _request_life(self, ended: Claim, same: bool) -> SelfClaimResult:
        if self.wanted_life > ended.life or ended.life >= MAX_LIFE:
            return SelfClaimResult.NOTHING
        self._same_process = same and (self._same_process or not self.wanted_life)
        self.wanted_life, self.active, self.name_holder = ended.life + 1, False, None
        return SelfClaimResult.NEEDS_NEW_LIFE
