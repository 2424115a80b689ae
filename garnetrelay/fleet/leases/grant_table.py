"""The grants that a controller has on record, and the rule by which it grants a partition. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from garnetrelay.fleet.leases.digest import grant_hash
from garnetrelay.fleet.leases.messages import MAX_EPOCH_STEP, Grant, Record, Refusal, Session


@dataclass(slots=True)
class SessionGrants:
    """The grants and the lease of one session at one controller."""

    number: int = 0  # of the latest request that was processed
    lease_until: int = 0
    grants: dict[int, int] = field(default_factory=dict)  # epoch by partition
    digest: int = 0  # of the grants


class GrantTable:
    """The highest epoch of each partition, and the session that holds it."""

    def __init__(self, partitions: int) -> None:
        self.partitions = partitions
        self.epochs = [0] * partitions
        self.holders: list[Session | None] = [None] * partitions
        self.sessions: dict[Session, SessionGrants] = {}

    def load(self, records: Iterable[Record]) -> None:
        """Loads records; their leases count as expired. Records of partitions out of range are ignored."""
        for record in records:
            if record.partition < self.partitions:
                holder = Session(record.relay, record.session) if record.relay else None
                self.put(record.partition, record.epoch, holder)

    def put(self, partition: int, epoch: int, holder: Session | None) -> None:
        """Replaces the record of a partition."""
        previous = self.holders[partition]
        if previous is not None:
            session_grants = self.sessions[previous]
            session_grants.digest ^= grant_hash(partition, session_grants.grants.pop(partition))
        self.epochs[partition], self.holders[partition] = epoch, holder
        if holder is not None:
            session_grants = self.sessions.setdefault(holder, SessionGrants())
            session_grants.grants[partition] = epoch
            session_grants.digest ^= grant_hash(partition, epoch)

    def record(self, partition: int) -> Record:
        """Returns the record of a partition as it is sent and stored."""
        holder = self.holders[partition]
        if holder is None:
            return Record(partition, self.epochs[partition], "", 0)
        return Record(partition, self.epochs[partition], holder.relay, holder.number)

    def known_records(self, first: int = 0) -> Iterator[Record]:
        """Returns the records of all partitions from ``first`` on that have ever been granted."""
        return (self.record(partition) for partition in range(first, self.partitions) if self.epochs[partition])

    def remaining_lease(self, now: int, partition: int, session: Session) -> int:
        """Returns for how long another session's lease on a partition still lasts; 0 if there is none."""
        holder = self.holders[partition]
        if holder is None or holder == session:
            return 0
        return max(0, self.sessions[holder].lease_until - now)

    def has(self, grant: Grant, session: Session) -> bool:
        """Whether exactly this grant is on record."""
        return self.holders[grant.partition] == session and self.epochs[grant.partition] == grant.epoch

    def refusal(self, now: int, grant: Grant, session: Session) -> Refusal | None:
        """Returns why a grant that is not on record can't be given now; None if it can."""
        epoch = self.epochs[grant.partition]
        wait = self.remaining_lease(now, grant.partition, session)
        if wait or not epoch < grant.epoch <= epoch + MAX_EPOCH_STEP:
            return Refusal(grant.partition, epoch, wait)
        return None

    def release(self, session: Session, grants: Iterable[Grant]) -> int:
        """Releases those of the grants that are on record; returns how many were."""
        count = 0
        for grant in grants:
            if grant.partition < self.partitions and self.has(grant, session):
                self.put(grant.partition, grant.epoch, None)
                count += 1
        return count

    def drop_expired_sessions(self, before: int) -> None:
        """Removes sessions without grants whose lease ended before the given time."""
        expired = [
            session
            for session, session_grants in self.sessions.items()
            if not session_grants.grants and session_grants.lease_until < before
        ]
        for session in expired:
            del self.sessions[session]
