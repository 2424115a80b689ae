"""Recovery of a starting controller: before it grants anything, it waits one lease and then reads others' records.

The wait comes first. A vote of an earlier process of this controller counts for at most one lease, and until then a relay
may still complete a majority with it. Records that other controllers held before that time may not show such an owner;
those that they hold after it do, since any ``min_recovery_sources`` others overlap with the rest of every majority.

The holder in a record is adopted only if all controllers that know the highest epoch name the same one. Otherwise the
epoch counts as used and nobody holds the partition, so that the next grant has a higher epoch.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetrelay.fleet.leases.messages import ReadRecords, Record, Records, SendToController
from garnetrelay.fleet.leases.settings import Settings

REQUEST_NUMBERS = 1 << 62  # the range of ``Number62``


@dataclass(slots=True)
class Source:
    """The progress of reading the records of one other controller."""

    next_partition: int = 0  # from where to read on; -1: all records are read
    number: int | None = None  # of the read in progress
    retry_at: int = 0


@dataclass(slots=True)
class Recovery:
    """One recovery. ``own``: the records of this controller's folder, ``merged``: the result; both by partition."""

    controller: int
    boot: int
    settings: Settings
    wait_until: int
    own: dict[int, Record]
    merged: dict[int, Record] = field(default_factory=dict)
    sources: dict[int, Source] = field(default_factory=dict)
    read_count: int = 0

    def __post_init__(self) -> None:
        self.merged = dict(self.own)
        self.sources = {
            number: Source(retry_at=self.wait_until)
            for number in range(self.settings.controllers)
            if number != self.controller
        }

    @property
    def complete(self) -> bool:
        """Whether the records of enough other controllers have been read completely."""
        return sum(source.next_partition < 0 for source in self.sources.values()) >= self.settings.min_recovery_sources

    @property
    def next_at(self) -> int:
        """When the next read is to be sent, for the first time or again."""
        return min(source.retry_at for source in self.sources.values() if source.next_partition >= 0)

    def tick(self, now: int) -> list[SendToController]:
        """Returns the reads that are due."""
        due = [number for number, source in self.sources.items() if source.next_partition >= 0 and now >= source.retry_at]
        return [self._read(now, number) for number in due]

    def _read(self, now: int, number: int) -> SendToController:
        source = self.sources[number]
        self.read_count += 1
        source.number = (
            self.boot + self.read_count
        ) % REQUEST_NUMBERS  # distinct from those of earlier processes, since boot is random
        source.retry_at = now + self.settings.answer_timeout
        return SendToController(number, ReadRecords(self.controller, self.boot, source.number, source.next_partition))

    def receive(self, now: int, records: Records) -> list[SendToController]:
        """Handles a part of another controller's records and returns the next read. Unrequested parts are ignored."""
        source = self.sources.get(records.controller)
        if source is None or source.number is None or source.number != records.number:
            return []
        if 0 <= records.next_partition <= source.next_partition:
            return []
        source.number, source.next_partition = None, records.next_partition
        for record in records.records:
            self._merge(record)
        return [] if records.next_partition < 0 or self.complete else [self._read(now, records.controller)]

    def _merge(self, record: Record) -> None:
        if record.partition >= self.settings.partitions:
            return
        known = self.merged.get(record.partition)
        if known is None or known.epoch < record.epoch:
            self.merged[record.partition] = record
        elif known.epoch == record.epoch and (known.relay, known.session) != (record.relay, record.session):
            self.merged[record.partition] = Record(record.partition, record.epoch, "", 0)

    def changed(self) -> list[Record]:
        """Returns the merged records that are not in the folder yet."""
        return [record for partition, record in self.merged.items() if self.own.get(partition) != record]
