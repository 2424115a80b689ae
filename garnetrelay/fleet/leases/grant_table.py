"""What a controller knows of partitions and sessions, and the rule by which it grants. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from garnetrelay.fleet.leases.digest import grant_hash
from garnetrelay.fleet.leases.messages import MAX_EPOCH_STEP, Grant, Record, Refusal, Session


@dataclass(slots=True)
class SessionGrants:
    """One session at one controller."""

    number: int = 0  # the highest of its requests that was taken
    lease_until: int = 0
    grants: dict[int, int] = field(default_factory=dict)  # epoch by partition
    digest: int = 0  # of the grants


class GrantTable:
    """The highest epoch of each partition, and the session that has it."""

    def __init__(self, partitions: int) -> None:
        self.partitions = partitions
        self.epochs = [0] * partitions
        self.holders: list[Session | None] = [None] * partitions
        self.sessions: dict[Session, SessionGrants] = {}

    def load(self, records: Iterable[Record]) -> None:
        """Takes over records, with leases that have run out. Partitions out of range are left out."""
        for record in records:
            if record.partition < self.partitions:
                holder = Session(record.relay, record.session) if record.relay else None
                self.put(record.partition, record.epoch, holder)

    def put(self, partition: int, epoch: int, holder: Session | None) -> None:
        """Replaces the record of a partition."""
        before = self.holders[partition]
        if before is not None:
            held = self.sessions[before]
            held.digest ^= grant_hash(partition, held.grants.pop(partition))
        self.epochs[partition], self.holders[partition] = epoch, holder
        if holder is not None:
            held = self.sessions.setdefault(holder, SessionGrants())
            held.grants[partition] = epoch
            held.digest ^= grant_hash(partition, epoch)

    def record(self, partition: int) -> Record:
        """As it goes into messages and folders."""
        holder = self.holders[partition]
        if holder is None:
            return Record(partition, self.epochs[partition], "", 0)
        return Record(partition, self.epochs[partition], holder.relay, holder.number)

    def known(self, first: int = 0) -> Iterator[Record]:
        """The records of all partitions that were ever granted, from one on."""
        return (self.record(partition) for partition in range(first, self.partitions) if self.epochs[partition])

    def wait(self, now: int, partition: int, session: Session) -> int:
        """How long another session's lease keeps a partition."""
        holder = self.holders[partition]
        if holder is None or holder == session:
            return 0
        return max(0, self.sessions[holder].lease_until - now)

    def has(self, grant: Grant, session: Session) -> bool:
        """Whether this very grant is on record."""
        return self.holders[grant.partition] == session and self.epochs[grant.partition] == grant.epoch

    def refusal(self, now: int, grant: Grant, session: Session) -> Refusal | None:
        """Why a grant that is not on record can't be given now; None: it can."""
        epoch = self.epochs[grant.partition]
        wait = self.wait(now, grant.partition, session)
        if wait or not epoch < grant.epoch <= epoch + MAX_EPOCH_STEP:
            return Refusal(grant.partition, epoch, wait)
        return None

    def release(self, session: Session, grants: Iterable[Grant]) -> int:
        """Frees these where they are on record; how many were."""
        count = 0
        for grant in grants:
            if grant.partition < self.partitions and self.has(grant, session):
                self.put(grant.partition, grant.epoch, None)
                count += 1
        return count

    def forget(self, before: int) -> None:
        """Drops sessions that hold nothing and whose lease ran out before a moment."""
        gone = [session for session, held in self.sessions.items() if not held.grants and held.lease_until < before]
        for session in gone:
            del self.sessions[session]
