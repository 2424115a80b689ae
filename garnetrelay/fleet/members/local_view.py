"""This relay's view of itself and of the others, and how it changes: claims, suspicions, declared failures. No I/O.

Separate from probes and frames, so that every order of claims, losses and restarts can be explored
(`tests/fleet/explore.py`). The caller reports failed probes and the passing of time, and decides whether this relay
may declare others failed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from garnetrelay.fleet.members.claims import Claim, Identity, SocketAddress, Status
from garnetrelay.fleet.members.dissemination import DisseminationQueue
from garnetrelay.fleet.members.effects import Effect, LogLine, StoreLife
from garnetrelay.fleet.members.local_member import LocalMember, SelfClaimResult
from garnetrelay.fleet.members.settings import Settings
from garnetrelay.fleet.members.table import Change, Member, Suspicion, Table, member_hash


@dataclass(slots=True)
class Counters:
    """Event counters."""

    suspected: int = 0  # raised by this relay
    failed: int = 0  # members that it declared failed
    refuted: int = 0  # claims against itself
    no_room: int = 0  # members that did not fit in the table


class LocalView:
    """The current claims of one relay about itself and the other members."""

    def __init__(
        self,
        own: Claim,
        settings: Settings,
        effects: list[Effect],
        on_new_member: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.settings = settings
        self.local = LocalMember(own)
        self.table = Table(settings.max_members)
        self.dissemination = DisseminationQueue()
        self.suspects: dict[str, None] = {}  # by name, the longest suspected first
        self.counters = Counters()
        self.life_end_reported_by: SocketAddress | None = None  # the sender of the claim that ended this life
        self._effects = effects
        self._on_new_member = on_new_member  # called for each new member and each new life of a member

    @property
    def name(self) -> str:
        """This relay's own name."""
        return self.local.claim.name

    @property
    def count(self) -> int:
        """Members in the view, this relay among them."""
        return len(self.table) + 1

    @property
    def view(self) -> int:
        """A 32-bit fingerprint of the members of the view."""
        own = member_hash(self.name, self.local.claim.identity) if self.local.active else 0
        return (self.table.view_hash ^ own) >> 32

    def suspicion_deadline(self, member: Member) -> int:
        """Returns when a suspected member is declared failed."""
        assert member.suspicion is not None
        suspicion = member.suspicion
        return (
            suspicion.started_at
            + suspicion.extended_by
            + self.settings.suspicion_time(suspicion.view_size, len(suspicion.confirmed_by))
        )

    def next_suspicion_deadline(self) -> int | None:
        """Returns when the next suspicion expires; None if there is none, or this relay is not active."""
        if not self.local.active or not self.suspects:
            return None
        return min(self.suspicion_deadline(self.table.members[name]) for name in self.suspects)

    # ---- events

    def apply_claim(self, now: int, claim: Claim, source: SocketAddress | None = None) -> SelfClaimResult:
        """Applies a claim about any member. Returns the consequence if it is about this relay itself."""
        if claim.name == self.name:
            return self._apply_claim_on_self(claim, source)
        before = self.table.get(claim.name)
        current = None if before is None else before.claim
        change = self.table.merge(claim, now)
        if change is Change.FULL:
            self.counters.no_room += 1
        if change in (Change.NOTHING, Change.FULL):
            return SelfClaimResult.NOTHING
        member = self.table.get(claim.name)
        assert member is not None
        if change is Change.CONFIRMATION:
            assert member.suspicion is not None
            if len(member.suspicion.confirmed_by) <= self.settings.confirmations:
                self.dissemination.add(claim)
            return SelfClaimResult.NOTHING
        self.dissemination.add(claim)
        if claim.status is Status.SUSPECT:
            member.suspicion = Suspicion(now, self.count)
            self.suspects[claim.name] = None
        else:
            self.suspects.pop(claim.name, None)
        if change is not Change.UPDATE and not claim.final:
            self._on_new_member(claim.name)
        self._log_change(current, claim, change)
        return SelfClaimResult.NOTHING

    def load(self, now: int, claims: Iterable[Claim]) -> None:
        """Loads the claims of a previous process of this member. Suspicions start again."""
        for claim in claims:
            self.table.merge(claim, now)
        for name, member in self.table.members.items():
            self._on_new_member(name)
            if member.claim.status is Status.SUSPECT:
                member.suspicion = Suspicion(now, self.count)
                self.suspects[name] = None

    def suspect(self, now: int, name: str, identity: Identity, why: str) -> bool:
        """Suspects a member after a failed probe; returns False if the member is no longer in that life."""
        member = self.table.members.get(name)
        if member is None or member.claim.identity != identity or not self.local.active:
            return False
        self.counters.suspected += 1
        if member.suspicion is None:
            self._log(f"suspects {name}: {why}")
        self.apply_claim(now, member.claim.with_status(Status.SUSPECT, self.name))
        return True

    def expire_suspicions(self, now: int, answered_at: int | None) -> None:
        """Declares members failed whose suspicion has expired. ``answered_at`` is when any member last answered this
        relay; None if this relay may not declare failures. Without an answer since the suspicion started, the fault
        may be this relay's own, and the suspicion starts again."""
        if not self.local.active:
            return
        for name in list(self.suspects):
            member = self.table.members[name]
            suspicion, current = member.suspicion, member.claim
            assert suspicion is not None
            if now < self.suspicion_deadline(member):
                continue
            if answered_at is None or answered_at <= suspicion.started_at:
                suspicion.started_at, suspicion.extended_by = now, 0
                continue
            self.counters.failed += 1
            ago = "none" if member.seen_at is None else f"{(now - member.seen_at) / 1e9:.1f} s old"
            also = f", {', '.join(sorted(suspicion.confirmed_by))} too" if suspicion.confirmed_by else ""
            self._log(
                f"judges {name} life {current.life} failed: suspected by {current.by}{also} for "
                f"{(now - suspicion.started_at) / 1e9:.1f} s, last word of it {ago}",
                logging.WARNING,
            )
            self.apply_claim(now, current.with_status(Status.FAILED, self.name))

    def extend_suspicions(self, by: int) -> None:
        """Extends all suspicions by a time in which this relay did not run and could not receive refutations."""
        for name in self.suspects:
            suspicion = self.table.members[name].suspicion
            if suspicion is not None:
                suspicion.extended_by += by

    def life_stored(self, life: int) -> bool:
        """Continues in a life that was stored; returns False if it is not the wanted life."""
        if not self.local.life_stored(life):
            return False
        self.dissemination.add(self.local.claim)
        self._log(f"goes on as {self.local.claim.describe()}", logging.WARNING)
        return True

    # ---- consequences

    def _log(self, text: str, level: int = logging.INFO) -> None:
        self._effects.append(LogLine(text, level))

    def _apply_claim_on_self(self, claim: Claim, source: SocketAddress | None) -> SelfClaimResult:
        result = self.local.apply_claim(claim)
        if result is SelfClaimResult.REFUTED:
            self.counters.refuted += 1
            self.dissemination.add(self.local.claim)
            self._log(f"was {claim.describe()}: refutes this as {self.local.claim.describe()}")
        elif result is SelfClaimResult.OUTDATED_LIFE:
            self.dissemination.add(self.local.claim)
        elif result is SelfClaimResult.NEEDS_NEW_LIFE:
            self.dissemination.remove(claim.name)
            self.life_end_reported_by = source
            self._log(
                f"is {claim.describe()}: goes on in life {self.local.wanted_life} once that is kept", logging.WARNING
            )
            self._effects.append(StoreLife(self.local.wanted_life))
        elif result is SelfClaimResult.NAME_TAKEN:
            self.dissemination.remove(claim.name)
            self._log(
                f"another process at {claim.address} has this name: {claim.describe()}; inactive until that life "
                "has ended",
                logging.ERROR,
            )
        return result

    def _log_change(self, current: Claim | None, claim: Claim, change: Change) -> None:
        if change is Change.UPDATE and current is not None and not claim.final:
            # A change of address or zone is logged whichever claim brings it, because later claims will not differ in
            # it.
            moved = (claim.address, claim.zone) != (current.address, current.zone)
            where = f", now at {claim.address}, zone {claim.zone or 'not known'}" if moved else ""
            if claim.status is Status.SUSPECT and claim.by != self.name:
                self._log(f"{claim.describe()}{where}")
            elif current.status is Status.SUSPECT:
                self._log(f"{claim.describe()}: refuted the suspicion that {current.by} had raised{where}")
            elif moved:
                self._log(f"{claim.describe()}{where}")
        elif claim.final:
            if claim.by != self.name:
                self._log(f"{claim.describe()}", logging.WARNING if claim.status is Status.FAILED else logging.INFO)
        elif change is Change.NEW_LIFE and current is not None:
            same = "the same process is back" if claim.process == current.process else "a new process"
            self._log(f"{claim.describe()}, {same} (was {current.describe()})")
        else:
            self._log(f"{claim.describe()} at {claim.address} is a new member")
