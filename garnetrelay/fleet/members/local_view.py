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
from garnetrelay.fleet.members.local_member import Answer, LocalMember
from garnetrelay.fleet.members.settings import Settings
from garnetrelay.fleet.members.table import Change, Member, Suspicion, Table, mark


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
        self, own: Claim, settings: Settings, effects: list[Effect], enters: Callable[[str], None] = lambda name: None
    ) -> None:
        self.settings = settings
        self.local = LocalMember(own)
        self.table = Table(settings.max_members)
        self.dissemination = DisseminationQueue()
        self.suspects: dict[str, None] = {}  # names, the longest suspected first
        self.counters = Counters()
        self.told_by: SocketAddress | None = None  # who said that this life has ended
        self._effects = effects
        self._enters = enters  # a member that was not in, or is in another life

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
        own = mark(self.name, self.local.claim.identity) if self.local.active else 0
        return (self.table.print ^ own) >> 32

    def suspicion_ends(self, member: Member) -> int:
        """When a suspected member is held to have failed."""
        assert member.suspicion is not None
        suspicion = member.suspicion
        return suspicion.began + suspicion.stretched + self.settings.suspicion_time(suspicion.members, len(suspicion.by))

    def next_judgement(self) -> int | None:
        """When the next suspicion ends; None where there is none, or this relay has no word."""
        if not self.local.active or not self.suspects:
            return None
        return min(self.suspicion_ends(self.table.members[name]) for name in self.suspects)

    # ---- what happens

    def hear(self, now: int, claim: Claim, source: SocketAddress | None = None) -> Answer:
        """A word on anybody; on this relay itself, what follows."""
        if claim.name == self.name:
            return self._hear_of_self(claim, source)
        before = self.table.get(claim.name)
        held = None if before is None else before.claim
        change = self.table.take(claim, now)
        if change is Change.FULL:
            self.counters.no_room += 1
        if change in (Change.NOTHING, Change.FULL):
            return Answer.NOTHING
        member = self.table.get(claim.name)
        assert member is not None
        if change is Change.AGAIN:
            assert member.suspicion is not None
            if len(member.suspicion.by) <= self.settings.confirmations:
                self.dissemination.tell(claim)
            return Answer.NOTHING
        self.dissemination.tell(claim)
        if claim.status is Status.SUSPECT:
            member.suspicion = Suspicion(now, self.count)
            self.suspects[claim.name] = None
        else:
            self.suspects.pop(claim.name, None)
        if change is not Change.OBSERVATION and not claim.final:
            self._enters(claim.name)
        self._note_change(held, claim, change)
        return Answer.NOTHING

    def take_over(self, now: int, claims: Iterable[Claim]) -> None:
        """What another process of this very member held. Suspicions begin anew."""
        for claim in claims:
            self.table.take(claim, now)
        for name, member in self.table.members.items():
            self._enters(name)
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
            self._note(f"suspects {name}: {why}")
        self.hear(now, member.claim.judged(Status.SUSPECT, self.name))
        return True

    def judge(self, now: int, answered_at: int | None) -> None:
        """Suspicions whose time is over. ``answered_at``: when this relay last had an answer from anybody; None where its
        word counts for nothing. Where none has come since the suspicion began, the fault may be its own, and the
        suspicion begins anew."""
        if not self.local.active:
            return
        for name in list(self.suspects):
            member = self.table.members[name]
            suspicion, held = member.suspicion, member.claim
            assert suspicion is not None
            if now < self.suspicion_ends(member):
                continue
            if answered_at is None or answered_at <= suspicion.began:
                suspicion.began, suspicion.stretched = now, 0
                continue
            self.counters.failed += 1
            ago = "none" if member.word_at is None else f"{(now - member.word_at) / 1e9:.1f} s old"
            also = f", {', '.join(sorted(suspicion.by))} too" if suspicion.by else ""
            self._note(
                f"judges {name} life {held.life} failed: suspected by {held.by}{also} for "
                f"{(now - suspicion.began) / 1e9:.1f} s, last word of it {ago}",
                logging.WARNING,
            )
            self.hear(now, held.judged(Status.FAILED, self.name))

    def stretch(self, by: int) -> None:
        """This relay did not run for so long: that time was nobody's to speak up in."""
        for name in self.suspects:
            suspicion = self.table.members[name].suspicion
            if suspicion is not None:
                suspicion.stretched += by

    def kept(self, life: int) -> bool:
        """The folder has the life that was wanted: whether this relay goes on in it."""
        if not self.local.kept(life):
            return False
        self.dissemination.tell(self.local.claim)
        self._note(f"goes on as {self.local.claim.said()}", logging.WARNING)
        return True

    # ---- what follows

    def _note(self, text: str, level: int = logging.INFO) -> None:
        self._effects.append(LogLine(text, level))

    def _hear_of_self(self, claim: Claim, source: SocketAddress | None) -> Answer:
        answer = self.local.hear(claim)
        if answer is Answer.REFUTED:
            self.counters.refuted += 1
            self.dissemination.tell(self.local.claim)
            self._note(f"was {claim.said()}: speaks up as {self.local.claim.said()}")
        elif answer is Answer.OLD:
            self.dissemination.tell(self.local.claim)
        elif answer is Answer.WANTED:
            self.dissemination.drop(claim.name)
            self.told_by = source
            self._note(f"is {claim.said()}: goes on in life {self.local.wanted} once that is kept", logging.WARNING)
            self._effects.append(StoreLife(self.local.wanted))
        elif answer is Answer.ASIDE:
            self.dissemination.drop(claim.name)
            self._note(
                f"another process at {claim.address} has this name: {claim.said()}; standing aside until that life "
                "has ended",
                logging.ERROR,
            )
        return answer

    def _note_change(self, held: Claim | None, claim: Claim, change: Change) -> None:
        if change is Change.OBSERVATION and held is not None and not claim.final:
            # Whatever word brings a change of address or zone, it is told: no other word will differ in it.
            moved = (claim.address, claim.zone) != (held.address, held.zone)
            where = f", now at {claim.address}, zone {claim.zone or 'not known'}" if moved else ""
            if claim.status is Status.SUSPECT and claim.by != self.name:
                self._note(f"{claim.said()}{where}")
            elif held.status is Status.SUSPECT:
                self._note(f"{claim.said()}: it has spoken up, {held.by} had suspected it{where}")
            elif moved:
                self._note(f"{claim.said()}{where}")
        elif claim.final:
            if claim.by != self.name:
                self._note(f"{claim.said()}", logging.WARNING if claim.status is Status.FAILED else logging.INFO)
        elif change is Change.LIFE and held is not None:
            same = "the same process is back" if claim.process == held.process else "a new process"
            self._note(f"{claim.said()}, {same} (was {held.said()})")
        else:
            self._note(f"{claim.said()} at {claim.address} is new here")
