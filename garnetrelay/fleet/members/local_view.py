"""What a relay holds of itself and of the others, and how that changes: words heard, suspicions, judgements. No I/O.

Apart from probes and frames, so that every order of words, losses and restarts can be explored
(`tests/fleet/explore.py`). Whoever drives it says when a probe came to nothing, when time has passed, and whether
this relay may judge.
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
    """What has happened."""

    suspected: int = 0  # by this relay
    failed: int = 0  # judged by it
    refuted: int = 0  # words against itself
    no_room: int = 0  # members that were not taken


class LocalView:
    """The words that hold, at one relay."""

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
        self.suspects: dict[str, None] = {}  # names, the longest suspected first
        self.counters = Counters()
        self.life_end_reported_by: SocketAddress | None = None  # who said that this life has ended
        self._effects = effects
        self._on_new_member = on_new_member  # a member that was not in, or is in another life

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
        """32 bits that stand for who is in the view."""
        own = member_hash(self.name, self.local.claim.identity) if self.local.active else 0
        return (self.table.view_hash ^ own) >> 32

    def suspicion_deadline(self, member: Member) -> int:
        """When a suspected member is held to have failed."""
        assert member.suspicion is not None
        suspicion = member.suspicion
        return (
            suspicion.started_at
            + suspicion.extended_by
            + self.settings.suspicion_time(suspicion.view_size, len(suspicion.confirmed_by))
        )

    def next_suspicion_deadline(self) -> int | None:
        """When the next suspicion ends; None where there is none, or this relay has no word."""
        if not self.local.active or not self.suspects:
            return None
        return min(self.suspicion_deadline(self.table.members[name]) for name in self.suspects)

    # ---- what happens

    def apply_claim(self, now: int, claim: Claim, source: SocketAddress | None = None) -> SelfClaimResult:
        """A word on anybody; on this relay itself, what follows."""
        if claim.name == self.name:
            return self._apply_claim_on_self(claim, source)
        before = self.table.get(claim.name)
        held = None if before is None else before.claim
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
        self._log_change(held, claim, change)
        return SelfClaimResult.NOTHING

    def load(self, now: int, claims: Iterable[Claim]) -> None:
        """What another process of this very member held. Suspicions begin anew."""
        for claim in claims:
            self.table.merge(claim, now)
        for name, member in self.table.members.items():
            self._on_new_member(name)
            if member.claim.status is Status.SUSPECT:
                member.suspicion = Suspicion(now, self.count)
                self.suspects[name] = None

    def suspect(self, now: int, name: str, identity: Identity, why: str) -> bool:
        """A probe of a member came to nothing; whether it is still in that life."""
        member = self.table.members.get(name)
        if member is None or member.claim.identity != identity or not self.local.active:
            return False
        self.counters.suspected += 1
        if member.suspicion is None:
            self._log(f"suspects {name}: {why}")
        self.apply_claim(now, member.claim.judged(Status.SUSPECT, self.name))
        return True

    def expire_suspicions(self, now: int, answered_at: int | None) -> None:
        """Suspicions whose time is over. ``answered_at``: when this relay last had an answer from anybody; None where its
        word counts for nothing. Where none has come since the suspicion began, the fault may be its own, and the
        suspicion begins anew."""
        if not self.local.active:
            return
        for name in list(self.suspects):
            member = self.table.members[name]
            suspicion, held = member.suspicion, member.claim
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
                f"judges {name} life {held.life} failed: suspected by {held.by}{also} for "
                f"{(now - suspicion.started_at) / 1e9:.1f} s, last word of it {ago}",
                logging.WARNING,
            )
            self.apply_claim(now, held.judged(Status.FAILED, self.name))

    def extend_suspicions(self, by: int) -> None:
        """This relay did not run for so long: that time was nobody's to speak up in."""
        for name in self.suspects:
            suspicion = self.table.members[name].suspicion
            if suspicion is not None:
                suspicion.extended_by += by

    def life_stored(self, life: int) -> bool:
        """The folder has the life that was wanted: whether this relay goes on in it."""
        if not self.local.life_stored(life):
            return False
        self.dissemination.add(self.local.claim)
        self._log(f"goes on as {self.local.claim.said()}", logging.WARNING)
        return True

    # ---- what follows

    def _log(self, text: str, level: int = logging.INFO) -> None:
        self._effects.append(LogLine(text, level))

    def _apply_claim_on_self(self, claim: Claim, source: SocketAddress | None) -> SelfClaimResult:
        answer = self.local.apply_claim(claim)
        if answer is SelfClaimResult.REFUTED:
            self.counters.refuted += 1
            self.dissemination.add(self.local.claim)
            self._log(f"was {claim.said()}: speaks up as {self.local.claim.said()}")
        elif answer is SelfClaimResult.OUTDATED_LIFE:
            self.dissemination.add(self.local.claim)
        elif answer is SelfClaimResult.NEEDS_NEW_LIFE:
            self.dissemination.remove(claim.name)
            self.life_end_reported_by = source
            self._log(f"is {claim.said()}: goes on in life {self.local.wanted_life} once that is kept", logging.WARNING)
            self._effects.append(StoreLife(self.local.wanted_life))
        elif answer is SelfClaimResult.NAME_TAKEN:
            self.dissemination.remove(claim.name)
            self._log(
                f"another process at {claim.address} has this name: {claim.said()}; standing aside until that life "
                "has ended",
                logging.ERROR,
            )
        return answer

    def _log_change(self, held: Claim | None, claim: Claim, change: Change) -> None:
        if change is Change.UPDATE and held is not None and not claim.final:
            # Whatever word brings a change of address or zone, it is told: no other word will differ in it.
            moved = (claim.address, claim.zone) != (held.address, held.zone)
            where = f", now at {claim.address}, zone {claim.zone or 'not known'}" if moved else ""
            if claim.status is Status.SUSPECT and claim.by != self.name:
                self._log(f"{claim.said()}{where}")
            elif held.status is Status.SUSPECT:
                self._log(f"{claim.said()}: it has spoken up, {held.by} had suspected it{where}")
            elif moved:
                self._log(f"{claim.said()}{where}")
        elif claim.final:
            if claim.by != self.name:
                self._log(f"{claim.said()}", logging.WARNING if claim.status is Status.FAILED else logging.INFO)
        elif change is Change.NEW_LIFE and held is not None:
            same = "the same process is back" if claim.process == held.process else "a new process"
            self._log(f"{claim.said()}, {same} (was {held.said()})")
        else:
            self._log(f"{claim.said()} at {claim.address} is new here")
