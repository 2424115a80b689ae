"""The decisions of one controller: it grants partitions to sessions. No I/O, clock or randomness.

Each grant is on record before it is announced. The caller reads its clock *after* a message has arrived, since a lease
that runs from an earlier reading would be too short; the clock must go on while the machine sleeps (CLOCK_BOOTTIME on
Linux). The caller carries out the effects in order, and calls ``written`` or ``not_written`` for each ``WriteRecords``.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from garnetrelay.fleet.leases.grant_table import GrantTable, SessionGrants
from garnetrelay.fleet.leases.messages import (
    MAX_GRANTS,
    MAX_RECORDS,
    MAX_RECORDS_BYTES,
    Acquire,
    Answer,
    ControllerEffect,
    Grant,
    LogLine,
    ReadRecords,
    Record,
    Records,
    Refusal,
    RelayMessage,
    Release,
    Renew,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.leases.recovery import Recovery
from garnetrelay.fleet.leases.settings import Settings

MAX_SESSIONS = 1 << 14


@dataclass(slots=True)
class _PendingWrite:
    """An answer that is withheld until its records are durable."""

    session: Session
    answer: Answer
    records: list[Record]


class Controller:
    """Decides for one controller process.

    ``boot``: the random number of this process. ``records``: the records read from its folder. ``folder_was_empty``:
    the folder had no valid file, not even the empty one that ``initialize`` writes. ``previous_lease``: the lease
    duration (ns) of the previous process, if the folder has it and the settings have changed.
    """

    def __init__(
        self,
        number: int,
        boot: int,
        settings: Settings,
        records: Iterable[Record],
        now: int,
        folder_was_empty: bool,
        previous_lease: int = 0,
    ) -> None:
        self.number = number
        self.boot = boot
        self.settings = settings
        self.event_counts: Counter[str] = Counter()
        own = {record.partition: record for record in records if record.partition < settings.partitions}
        self.grant_table = GrantTable(settings.partitions)
        self.grant_table.load(own.values())
        wait_until = now + max(settings.lease, previous_lease)
        self._recovery: Recovery | None = Recovery(number, boot, settings, wait_until, own)
        self._recovery_ticket: int | None = None
        self._serves_records = not folder_was_empty
        self._pending_writes: dict[int, _PendingWrite] = {}
        self._unwritten_tickets: dict[int, int] = {}  # ticket by partition, for records that are not durable yet
        self._last_ticket = 0
        self._next_cleanup_at = wait_until + settings.lease
        self._mismatched_relays: set[str] = set()  # relays with other settings that have been logged already

    # ---- state

    @property
    def ready(self) -> bool:
        """Whether the controller grants partitions."""
        return self._recovery is None

    @property
    def next_at(self) -> int:
        """When ``tick`` must be called next."""
        recovery = self._recovery
        if recovery is None:
            return self._next_cleanup_at
        if self._recovery_ticket is not None:
            return self._next_cleanup_at
        return recovery.next_at

    # ---- events

    def tick(self, now: int) -> list[ControllerEffect]:
        """Handles what is due at this time."""
        effects: list[ControllerEffect] = []
        if self._recovery is not None and self._recovery_ticket is None:
            effects += self._recovery.tick(now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + self.settings.lease
            self.grant_table.drop_expired_sessions(now - self.settings.lease)
        return effects

    def receive(
        self, now: int, message: RelayMessage | ReadRecords | Records, source: str = ""
    ) -> list[ControllerEffect]:
        """Handles a message that was verified and decoded. ``source`` is its address, for the log."""
        match message:
            case ReadRecords():
                return self._send_records(message)
            case Records():
                return self._receive_records(now, message)
            case _:
                return self._handle_request(now, message, source)

    def written(self, now: int, ticket: int) -> list[ControllerEffect]:
        """Returns the answer that waited for a ``WriteRecords``, or ends the recovery: its records are now durable."""
        if ticket == self._recovery_ticket:
            return self._finish_recovery()
        write = self._pending_writes.pop(ticket, None)
        if write is None:
            return []
        for record in write.records:
            if self._unwritten_tickets.get(record.partition) == ticket:
                del self._unwritten_tickets[record.partition]
        return [SendToRelay(write.session, write.answer)]

    def not_written(self, now: int, ticket: int, reason: str) -> list[ControllerEffect]:
        """Refuses the grants of a failed ``WriteRecords``: they may be on disk or not, so their epochs are used up."""
        self.event_counts["not written"] += 1
        line = LogLine(f"records not written: {reason}", logging.ERROR)
        if ticket == self._recovery_ticket and self._recovery is not None:
            self._recovery_ticket = None
            for source in self._recovery.sources.values():
                source.next_partition, source.number = max(0, source.next_partition), None
                source.retry_at = now + self.settings.max_retry
            return [line]
        write = self._pending_writes.pop(ticket, None)
        if write is None:
            return [line]
        refused = list(write.answer.refused)
        for record in write.records:
            if self._unwritten_tickets.get(record.partition) == ticket:
                del self._unwritten_tickets[record.partition]
                if self.grant_table.record(record.partition) == record:
                    self.grant_table.put(record.partition, record.epoch, None)
            refused.append(Refusal(record.partition, record.epoch, self.settings.max_retry))
        unwritten = {record.partition for record in write.records}
        granted = [grant for grant in write.answer.granted if grant.partition not in unwritten]
        return [line, SendToRelay(write.session, self._answer(write.answer.number, granted=granted, refused=refused))]

    # ---- requests from relays

    def _handle_request(self, now: int, request: RelayMessage, source: str) -> list[ControllerEffect]:
        session = request.session
        known = self.grant_table.sessions.get(session)
        if known is not None and request.number <= known.number:
            self.event_counts["old number"] += 1
            return []
        if request.boot not in (0, self.boot):
            self.event_counts["other boot"] += 1
            return [SendToRelay(session, self._answer(request.number, accepted=False))]
        if not isinstance(request, Release) and request.fingerprint != self.settings.fingerprint:
            return self._refuse_other_settings(request, source)
        if not self.ready or (known is None and len(self.grant_table.sessions) >= MAX_SESSIONS):
            self.event_counts["not ready" if not self.ready else "too many sessions"] += 1
            return [SendToRelay(session, self._answer(request.number, accepted=False))]
        session_grants = self.grant_table.sessions.setdefault(session, SessionGrants())
        session_grants.number = request.number
        match request:
            case Acquire():
                return self._acquire(now, request, session_grants)
            case Renew():
                return [SendToRelay(session, self._renew(now, request, session_grants))]
            case Release():
                return [SendToRelay(session, self._release(request, session_grants))]

    def _refuse_other_settings(self, request: Acquire | Renew, source: str) -> list[ControllerEffect]:
        self.event_counts["other terms"] += 1
        effects: list[ControllerEffect] = [SendToRelay(request.session, self._answer(request.number, accepted=False))]
        relay = request.session.relay
        if relay not in self._mismatched_relays and len(self._mismatched_relays) < MAX_SESSIONS:
            self._mismatched_relays.add(relay)
            text = f"{relay} {source} has other controllers, partitions, lease or rate error in its options: refused"
            effects.append(LogLine(text, logging.ERROR))
        return effects

    def _acquire(self, now: int, request: Acquire, session_grants: SessionGrants) -> list[ControllerEffect]:
        session_grants.lease_until = now + self.settings.lease
        granted: list[Grant] = []
        refused: list[Refusal] = []
        to_write: list[Record] = []
        for grant in request.grants:
            partition = grant.partition
            if partition >= self.settings.partitions:
                continue
            if not self.grant_table.has(grant, request.session):
                refusal = self.grant_table.refusal(now, grant, request.session)
                if refusal is not None:
                    refused.append(refusal)
                    continue
                self.grant_table.put(partition, grant.epoch, request.session)
                to_write.append(self.grant_table.record(partition))
            elif partition in self._unwritten_tickets:
                to_write.append(self.grant_table.record(partition))
            granted.append(grant)
        self.event_counts["granted"] += len(granted)
        self.event_counts["refused"] += len(refused)
        answer = self._answer(request.number, granted=granted, refused=refused)
        if not to_write:
            return [SendToRelay(request.session, answer)]
        self._last_ticket += 1
        self._pending_writes[self._last_ticket] = _PendingWrite(request.session, answer, to_write)
        for record in to_write:
            self._unwritten_tickets[record.partition] = self._last_ticket
        return [WriteRecords(self._last_ticket, to_write)]

    def _renew(self, now: int, request: Renew, session_grants: SessionGrants) -> Answer:
        if (request.count, request.digest) != (len(session_grants.grants), session_grants.digest):
            self.event_counts["mismatch"] += 1
            return self._answer(
                request.number,
                accepted=False,
                matches=False,
                granted=self._grants_on_record(request.number, session_grants),
            )
        self.event_counts["renewed"] += 1
        session_grants.lease_until = now + self.settings.lease
        return self._answer(request.number)

    def _release(self, request: Release, session_grants: SessionGrants) -> Answer:
        # A release is not written to disk: after a restart the old record is valid again, and its epoch stays used.
        grants = request.grants or [Grant(partition, epoch) for partition, epoch in session_grants.grants.items()]
        self.event_counts["released"] += self.grant_table.release(request.session, grants)
        return self._answer(request.number)

    def _grants_on_record(self, number: int, session_grants: SessionGrants) -> list[Grant]:
        """Returns grants on record of a session; if they do not all fit, each request number gets a different part."""
        on_record = sorted(session_grants.grants.items())
        if len(on_record) > MAX_GRANTS:
            first = number * MAX_GRANTS % len(on_record)
            on_record = (on_record[first:] + on_record[:first])[:MAX_GRANTS]
        return [Grant(partition, epoch) for partition, epoch in on_record]

    def _answer(
        self,
        number: int,
        accepted: bool = True,
        matches: bool = True,
        granted: Iterable[Grant] = (),
        refused: Iterable[Refusal] = (),
    ) -> Answer:
        return Answer(self.number, self.boot, number, accepted, matches, list(granted), list(refused))

    # ---- messages from other controllers

    def _send_records(self, request: ReadRecords) -> list[ControllerEffect]:
        if (
            not self._serves_records
            or request.controller == self.number
            or request.controller >= self.settings.controllers
        ):
            return []
        records: list[Record] = []
        size, next_partition = 0, -1
        for record in self.grant_table.known_records(request.first):
            size += record.size()
            if len(records) == MAX_RECORDS or size > MAX_RECORDS_BYTES:
                next_partition = record.partition
                break
            records.append(record)
        return [
            SendToController(request.controller, Records(self.number, self.boot, request.number, records, next_partition))
        ]

    def _receive_records(self, now: int, records: Records) -> list[ControllerEffect]:
        recovery = self._recovery
        if recovery is None or self._recovery_ticket is not None:
            return []
        effects: list[ControllerEffect] = [*recovery.receive(now, records)]
        if not recovery.complete:
            return effects
        changed = recovery.changed()
        if not changed:
            return self._finish_recovery()
        self._last_ticket += 1
        self._recovery_ticket = self._last_ticket
        return [WriteRecords(self._last_ticket, changed)]

    def _finish_recovery(self) -> list[ControllerEffect]:
        recovery = self._recovery
        assert recovery is not None
        self.grant_table = GrantTable(self.settings.partitions)
        self.grant_table.load(recovery.merged.values())
        self._recovery, self._recovery_ticket = None, None
        self._serves_records = True
        text = f"ready: {len(recovery.merged)} partitions on record, {len(recovery.changed())} of them from others"
        return [LogLine(text, logging.INFO)]
