"""One controller: grants partitions to sessions, each grant on record before it is said. No I/O, clock or randomness.

The caller reads its clock *after* a message came (a lease that runs from an earlier reading is too short), one that goes
on while the machine sleeps (CLOCK_BOOTTIME on Linux). It carries out the effects in order, and answers each
``WriteRecords`` with ``written`` or ``not_written``.
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
class _Write:
    """Grants that wait for the disk."""

    session: Session
    answer: Answer
    records: list[Record]


class Controller:
    """The decisions of one controller process.

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
        wait = now + max(settings.lease, previous_lease)
        self._recovery: Recovery | None = Recovery(number, boot, settings, wait, own)
        self._recovery_ticket: int | None = None
        self._tells_records = not folder_was_empty
        self._writes: dict[int, _Write] = {}
        self._unwritten: dict[int, int] = {}  # ticket by partition: what is on record here and not yet durable
        self._ticket = 0
        self._forget_at = wait + settings.lease
        self._foreign: set[str] = set()  # relays with other terms, for one line each

    # ---- what others may ask

    @property
    def ready(self) -> bool:
        """Whether it grants."""
        return self._recovery is None

    @property
    def next_at(self) -> int:
        """When ``tick`` is to be called."""
        recovery = self._recovery
        if recovery is None:
            return self._forget_at
        if self._recovery_ticket is not None:
            return self._forget_at
        return recovery.next_at

    # ---- what happens

    def tick(self, now: int) -> list[ControllerEffect]:
        """Time has passed."""
        effects: list[ControllerEffect] = []
        if self._recovery is not None and self._recovery_ticket is None:
            effects += self._recovery.tick(now)
        if now >= self._forget_at:
            self._forget_at = now + self.settings.lease
            self.grant_table.forget(now - self.settings.lease)
        return effects

    def receive(
        self, now: int, message: RelayMessage | ReadRecords | Records, source: str = ""
    ) -> list[ControllerEffect]:
        """A message has come; its signature and form were good. ``source``: its address, for the log."""
        match message:
            case ReadRecords():
                return self._tell_records(message)
            case Records():
                return self._hear_records(now, message)
            case _:
                return self._request(now, message, source)

    def written(self, now: int, ticket: int) -> list[ControllerEffect]:
        """The records of a ``WriteRecords`` are durable."""
        if ticket == self._recovery_ticket:
            return self._recovered()
        write = self._writes.pop(ticket, None)
        if write is None:
            return []
        for record in write.records:
            if self._unwritten.get(record.partition) == ticket:
                del self._unwritten[record.partition]
        return [SendToRelay(write.session, write.answer)]

    def not_written(self, now: int, ticket: int, reason: str) -> list[ControllerEffect]:
        """They are not, or not for sure: nothing of them is said, and their epochs are used up."""
        self.event_counts["not written"] += 1
        line = LogLine(f"records not written: {reason}", logging.ERROR)
        if ticket == self._recovery_ticket and self._recovery is not None:
            self._recovery_ticket = None
            for reading in self._recovery.sources.values():
                reading.following, reading.number = max(0, reading.following), None
                reading.retry_at = now + self.settings.max_retry
            return [line]
        write = self._writes.pop(ticket, None)
        if write is None:
            return [line]
        refused = list(write.answer.refused)
        for record in write.records:
            if self._unwritten.get(record.partition) == ticket:
                del self._unwritten[record.partition]
                if self.grant_table.record(record.partition) == record:
                    self.grant_table.put(record.partition, record.epoch, None)
            refused.append(Refusal(record.partition, record.epoch, self.settings.max_retry))
        lost = {record.partition for record in write.records}
        granted = [grant for grant in write.answer.granted if grant.partition not in lost]
        return [line, SendToRelay(write.session, self._answer(write.answer.number, granted=granted, refused=refused))]

    # ---- requests of relays

    def _request(self, now: int, request: RelayMessage, source: str) -> list[ControllerEffect]:
        session = request.session
        known = self.grant_table.sessions.get(session)
        if known is not None and request.number <= known.number:
            self.event_counts["old number"] += 1
            return []
        if request.boot not in (0, self.boot):
            self.event_counts["other boot"] += 1
            return [SendToRelay(session, self._answer(request.number, accepted=False))]
        if not isinstance(request, Release) and request.fingerprint != self.settings.fingerprint:
            return self._other_terms(request, source)
        if not self.ready or (known is None and len(self.grant_table.sessions) >= MAX_SESSIONS):
            self.event_counts["not ready" if not self.ready else "too many sessions"] += 1
            return [SendToRelay(session, self._answer(request.number, accepted=False))]
        held = self.grant_table.sessions.setdefault(session, SessionGrants())
        held.number = request.number
        match request:
            case Acquire():
                return self._acquire(now, request, held)
            case Renew():
                return [SendToRelay(session, self._renew(now, request, held))]
            case Release():
                return [SendToRelay(session, self._release(request, held))]

    def _other_terms(self, request: Acquire | Renew, source: str) -> list[ControllerEffect]:
        self.event_counts["other terms"] += 1
        effects: list[ControllerEffect] = [SendToRelay(request.session, self._answer(request.number, accepted=False))]
        relay = request.session.relay
        if relay not in self._foreign and len(self._foreign) < MAX_SESSIONS:
            self._foreign.add(relay)
            text = f"{relay} {source} has other controllers, partitions, lease or rate error in its options: refused"
            effects.append(LogLine(text, logging.ERROR))
        return effects

    def _acquire(self, now: int, request: Acquire, held: SessionGrants) -> list[ControllerEffect]:
        held.lease_until = now + self.settings.lease
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
            elif partition in self._unwritten:
                to_write.append(self.grant_table.record(partition))
            granted.append(grant)
        self.event_counts["granted"] += len(granted)
        self.event_counts["refused"] += len(refused)
        answer = self._answer(request.number, granted=granted, refused=refused)
        if not to_write:
            return [SendToRelay(request.session, answer)]
        self._ticket += 1
        self._writes[self._ticket] = _Write(request.session, answer, to_write)
        for record in to_write:
            self._unwritten[record.partition] = self._ticket
        return [WriteRecords(self._ticket, to_write)]

    def _renew(self, now: int, request: Renew, held: SessionGrants) -> Answer:
        if (request.count, request.digest) != (len(held.grants), held.digest):
            self.event_counts["mismatch"] += 1
            return self._answer(request.number, accepted=False, matches=False, granted=self._some(request.number, held))
        self.event_counts["renewed"] += 1
        held.lease_until = now + self.settings.lease
        return self._answer(request.number)

    def _release(self, request: Release, held: SessionGrants) -> Answer:
        # Not written: after a restart the record stands again, and its epoch is used up either way.
        grants = request.grants or [Grant(partition, epoch) for partition, epoch in held.grants.items()]
        self.event_counts["released"] += self.grant_table.release(request.session, grants)
        return self._answer(request.number)

    def _some(self, number: int, held: SessionGrants) -> list[Grant]:
        """What is on record of a session; where it does not fit, others with each request."""
        on_record = sorted(held.grants.items())
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

    # ---- other controllers

    def _tell_records(self, request: ReadRecords) -> list[ControllerEffect]:
        if (
            not self._tells_records
            or request.controller == self.number
            or request.controller >= self.settings.controllers
        ):
            return []
        records: list[Record] = []
        size, following = 0, -1
        for record in self.grant_table.known(request.first):
            size += record.size()
            if len(records) == MAX_RECORDS or size > MAX_RECORDS_BYTES:
                following = record.partition
                break
            records.append(record)
        return [SendToController(request.controller, Records(self.number, self.boot, request.number, records, following))]

    def _hear_records(self, now: int, records: Records) -> list[ControllerEffect]:
        recovery = self._recovery
        if recovery is None or self._recovery_ticket is not None:
            return []
        effects: list[ControllerEffect] = [*recovery.receive(now, records)]
        if not recovery.complete:
            return effects
        changed = recovery.changed()
        if not changed:
            return self._recovered()
        self._ticket += 1
        self._recovery_ticket = self._ticket
        return [WriteRecords(self._ticket, changed)]

    def _recovered(self) -> list[ControllerEffect]:
        recovery = self._recovery
        assert recovery is not None
        self.grant_table = GrantTable(self.settings.partitions)
        self.grant_table.load(recovery.found.values())
        self._recovery, self._recovery_ticket = None, None
        self._tells_records = True
        text = f"ready: {len(recovery.found)} partitions on record, {len(recovery.changed())} of them from others"
        return [LogLine(text, logging.INFO)]
