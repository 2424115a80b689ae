"""Faults injected into controllers and relays, each with bounds within which the exploration must find it.

Without the fault, every property must hold when the same bounds are explored completely.
"""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

import msgspec

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.grant_table import GrantTable
from garnetrelay.fleet.leases.messages import (
    Answer,
    ControllerEffect,
    Grant,
    HolderEffect,
    Record,
    RelayMessage,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.leases.recovery import Recovery
from garnetrelay.fleet.leases.settings import Settings
from tests.fleet.leases.scripted_relay import DRIFT, SETTINGS, Bounds, ScriptedHolder, Variant


class NoWait(Controller):
    """After a start, reads others' records and grants without a wait."""

    def __init__(self, number: int, boot: int, settings: Settings, records: Any, now: int, empty: bool) -> None:
        super().__init__(number, boot, settings, records, now - settings.lease, empty)


class AnswersFirst(Controller):
    """Answers with a grant before it is durable."""

    def receive(self, now: int, message: Any, source: str = "") -> list[ControllerEffect]:
        effects = super().receive(now, message, source)
        for effect in effects:
            if isinstance(effect, WriteRecords) and effect.ticket in self._pending_writes:
                write = self._pending_writes[effect.ticket]
                return [SendToRelay(write.session, write.answer), *effects]
        return effects


class KeepsUnwritten(Controller):
    """Treats records as valid although their write failed."""

    def not_written(self, now: int, ticket: int, reason: str) -> list[ControllerEffect]:
        kept = [(record, self.grant_table.holders[record.partition]) for record in self._pending_writes[ticket].records]
        effects = super().not_written(now, ticket, reason)
        for record, holder in kept:
            self.grant_table.put(record.partition, record.epoch, holder)
        return effects


class _EqualGrantTable(GrantTable):
    def refusal(self, now: int, grant: Grant, session: Session) -> Any:
        return super().refusal(now, Grant(grant.partition, grant.epoch + 1), session)


class EqualEpoch(Controller):
    """Grants an epoch that another session already had."""

    def receive(self, now: int, message: Any, source: str = "") -> list[ControllerEffect]:
        self.grant_table.__class__ = _EqualGrantTable
        return super().receive(now, message, source)


class TrustsItsFolder(Controller):
    """After a start, reads no records of others."""

    def tick(self, now: int) -> list[ControllerEffect]:
        if self._recovery is not None and self.boot > 1000 and now >= self._recovery.wait_until:
            return self._finish_recovery()
        return super().tick(now)


class ReadsFirst(Controller):
    """After a start, reads others' records at once and grants after the wait: an earlier form of the protocol."""

    def __init__(self, number: int, boot: int, settings: Settings, records: Any, now: int, empty: bool) -> None:
        super().__init__(number, boot, settings, records, now - settings.lease, empty)
        self.grants_from = now + settings.lease

    def _handle_request(self, now: int, request: RelayMessage, source: str) -> list[ControllerEffect]:
        if self.boot > 1000 and now < self.grants_from:
            return [SendToRelay(request.session, self._answer(request.number, accepted=False))]
        return super()._handle_request(now, request, source)


@dataclasses.dataclass(slots=True)
class _KeepsTheFirst(Recovery):
    def _merge(self, record: Record) -> None:
        known = self.merged.get(record.partition)
        if known is None or known.epoch != record.epoch:
            Recovery._merge(self, record)


class BelievesTheFirst(Controller):
    """Adopts a holder although another controller names a different one for the same epoch."""

    def __init__(self, number: int, boot: int, settings: Settings, records: Any, now: int, empty: bool) -> None:
        super().__init__(number, boot, settings, records, now, empty)
        assert self._recovery is not None
        self._recovery = _KeepsTheFirst(number, boot, settings, self._recovery.wait_until, self._recovery.own)


class CountsFromTheAnswer(ScriptedHolder):
    """Counts a vote from when the answer arrived."""

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        request = self._links[answer.controller].request
        if request is not None:
            request.sent_at = now
        return super().receive(now, answer)


class CountsOldAnswers(ScriptedHolder):
    """Accepts the answer to an abandoned request as one to the request in progress."""

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        request = self._links[answer.controller].request
        if request is not None:
            answer = msgspec.structs.replace(answer, number=request.message.number)
        return super().receive(now, answer)


class SmallQuorum(Settings):
    """Needs one controller of three only."""

    @property
    def quorum(self) -> int:
        return 1

    @property
    def min_recovery_sources(self) -> int:
        return 2


class InjectedFault(NamedTuple):
    """A fault, and the bounds within which it must be found."""

    name: str
    variant: Variant
    bounds: Bounds
    without_fault: Variant = Variant()


_SMALL = SmallQuorum(**{field.name: getattr(SETTINGS, field.name) for field in dataclasses.fields(SETTINGS)})

INJECTED_FAULTS = (
    InjectedFault("quorum one too small", Variant(settings=_SMALL), Bounds(time=0, requests=2)),
    InjectedFault("answered before it is durable", Variant(AnswersFirst), Bounds(time=0, requests=2)),
    InjectedFault("a failed write is kept", Variant(KeepsUnwritten), Bounds(time=0, requests=2, failed_writes=1)),
    InjectedFault("an equal epoch for another session", Variant(EqualEpoch), Bounds(time=2, requests=4)),
    InjectedFault("no wait after a start", Variant(NoWait), Bounds(time=1, requests=4, restarts=1)),
    InjectedFault("recovery trusts its own folder", Variant(TrustsItsFolder), Bounds(time=2, requests=4, lost_folders=1)),
    InjectedFault("records are read before the wait", Variant(ReadsFirst), Bounds(time=2, requests=4, lost_folders=1)),
    InjectedFault(
        "a holder adopted that others deny", Variant(BelievesTheFirst), Bounds(time=2, requests=4, lost_folders=1)
    ),
    InjectedFault("counted from the answer", Variant(holder=CountsFromTheAnswer), Bounds(time=2, requests=4, late=1)),
    InjectedFault("no margin for a slow clock", Variant(), Bounds(time=3, requests=4, behind=1), Variant(settings=DRIFT)),
    InjectedFault(
        "an answer to an old request counts",
        Variant(holder=CountsOldAnswers, drop_old_numbers=False),
        Bounds(time=2, requests=5, late=2),
    ),
)

# Cases that no fault above covers: no fault is injected, and every property must hold.
ALL_HOLDS = (
    ("messages late twice", Variant(), Bounds(time=1, requests=4, late=2)),
    (
        "duplicates, relay restarts, full disks",
        Variant(),
        Bounds(1, 3, late=1, duplicates=1, relay_restarts=1, failed_writes=1),
    ),
    ("an old folder", Variant(), Bounds(time=2, requests=4, old_folders=1)),
    ("a clock that is ahead", Variant(settings=DRIFT), Bounds(time=4, requests=4, ahead=1)),
)
