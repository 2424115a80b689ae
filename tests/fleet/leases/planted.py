"""Faults planted in controllers and relays, each with bounds within which the exploration has to find it.

Without its fault, the same bounds have to be explored to the end with every property holding.
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
from tests.fleet.leases.asked import DRIFT, SETTINGS, Asked, Bounds, Kinds


class NoWait(Controller):
    """Reads others and grants at once after a start."""

    def __init__(self, number: int, boot: int, settings: Settings, records: Any, now: int, empty: bool) -> None:
        super().__init__(number, boot, settings, records, now - settings.lease, empty)


class SaidFirst(Controller):
    """Says a grant before it is durable."""

    def receive(self, now: int, message: Any, source: str = "") -> list[ControllerEffect]:
        effects = super().receive(now, message, source)
        for effect in effects:
            if isinstance(effect, WriteRecords) and effect.ticket in self._writes:
                write = self._writes[effect.ticket]
                return [SendToRelay(write.session, write.answer), *effects]
        return effects


class KeepsUnwritten(Controller):
    """Takes what was not written for being on record."""

    def not_written(self, now: int, ticket: int, reason: str) -> list[ControllerEffect]:
        kept = [(record, self.grant_table.holders[record.partition]) for record in self._writes[ticket].records]
        effects = super().not_written(now, ticket, reason)
        for record, holder in kept:
            self.grant_table.put(record.partition, record.epoch, holder)
        return effects


class _EqualGrantTable(GrantTable):
    def refusal(self, now: int, grant: Grant, session: Session) -> Any:
        return super().refusal(now, Grant(grant.partition, grant.epoch + 1), session)


class EqualEpoch(Controller):
    """Grants an epoch that another had."""

    def receive(self, now: int, message: Any, source: str = "") -> list[ControllerEffect]:
        self.grant_table.__class__ = _EqualGrantTable
        return super().receive(now, message, source)


class TrustsItsFolder(Controller):
    """Reads nobody after a start."""

    def tick(self, now: int) -> list[ControllerEffect]:
        if self._recovery is not None and self.boot > 1000 and now >= self._recovery.wait_until:
            return self._recovered()
        return super().tick(now)


class ReadsFirst(Controller):
    """Reads others at once after a start, and grants when it has waited: the protocol's first form."""

    def __init__(self, number: int, boot: int, settings: Settings, records: Any, now: int, empty: bool) -> None:
        super().__init__(number, boot, settings, records, now - settings.lease, empty)
        self.grants_from = now + settings.lease

    def _request(self, now: int, request: RelayMessage, source: str) -> list[ControllerEffect]:
        if self.boot > 1000 and now < self.grants_from:
            return [SendToRelay(request.session, self._answer(request.number, accepted=False))]
        return super()._request(now, request, source)


@dataclasses.dataclass(slots=True)
class _TakesTheFirst(Recovery):
    def _merge(self, record: Record) -> None:
        held = self.found.get(record.partition)
        if held is None or held.epoch != record.epoch:
            Recovery._merge(self, record)


class BelievesTheFirst(Controller):
    """Takes over a holder though another controller names another one in the same epoch."""

    def __init__(self, number: int, boot: int, settings: Settings, records: Any, now: int, empty: bool) -> None:
        super().__init__(number, boot, settings, records, now, empty)
        assert self._recovery is not None
        self._recovery = _TakesTheFirst(number, boot, settings, self._recovery.wait_until, self._recovery.own)


class CountsFromTheAnswer(Asked):
    """Counts a vote from when the answer came."""

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        request = self._links[answer.controller].request
        if request is not None:
            request.sent_at = now
        return super().receive(now, answer)


class CountsOldAnswers(Asked):
    """Takes an answer to a request that was given up for one to the request under way."""

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        request = self._links[answer.controller].request
        if request is not None:
            answer = msgspec.structs.replace(answer, number=request.message.number)
        return super().receive(now, answer)


class SmallQuorum(Settings):
    """One controller of three is enough."""

    @property
    def quorum(self) -> int:
        return 1

    @property
    def min_recovery_sources(self) -> int:
        return 2


class Planted(NamedTuple):
    """A fault, and where it is looked for."""

    name: str
    kinds: Kinds
    bounds: Bounds
    plain: Kinds = Kinds()  # without the fault


_SMALL = SmallQuorum(**{field.name: getattr(SETTINGS, field.name) for field in dataclasses.fields(SETTINGS)})

PLANTED = (
    Planted("quorum one too small", Kinds(settings=_SMALL), Bounds(time=0, requests=2)),
    Planted("said before it is durable", Kinds(SaidFirst), Bounds(time=0, requests=2)),
    Planted("what was not written is kept", Kinds(KeepsUnwritten), Bounds(time=0, requests=2, failed_writes=1)),
    Planted("an equal epoch for another", Kinds(EqualEpoch), Bounds(time=2, requests=4)),
    Planted("no wait after a start", Kinds(NoWait), Bounds(time=1, requests=4, restarts=1)),
    Planted("recovery trusts its own folder", Kinds(TrustsItsFolder), Bounds(time=2, requests=4, lost_folders=1)),
    Planted("others are read before the wait", Kinds(ReadsFirst), Bounds(time=2, requests=4, lost_folders=1)),
    Planted("a holder taken over that others deny", Kinds(BelievesTheFirst), Bounds(time=2, requests=4, lost_folders=1)),
    Planted("counted from the answer", Kinds(holder=CountsFromTheAnswer), Bounds(time=2, requests=4, late=1)),
    Planted("no margin for a slow clock", Kinds(), Bounds(time=3, requests=4, behind=1), Kinds(settings=DRIFT)),
    Planted(
        "an answer to an old request counts",
        Kinds(holder=CountsOldAnswers, numbers=False),
        Bounds(time=2, requests=5, late=2),
    ),
)

# What no fault above needs: nothing is planted, and all has to hold.
ALL_HOLDS = (
    ("messages late twice", Kinds(), Bounds(time=1, requests=4, late=2)),
    (
        "doubles, relays that start again, full disks",
        Kinds(),
        Bounds(1, 3, late=1, doubles=1, relay_restarts=1, failed_writes=1),
    ),
    ("an old folder", Kinds(), Bounds(time=2, requests=4, old_folders=1)),
    ("a clock that is ahead", Kinds(settings=DRIFT), Bounds(time=4, requests=4, ahead=1)),
)
