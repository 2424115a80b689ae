"""What a starting controller does before it grants anything: it waits one lease, then reads others' records.

The wait comes first. A vote of an earlier process of this controller counts for one lease at most, and until then a relay
may still complete a majority with it; what others had on record before that moment does not show such an owner. What
they have on record after it does: any ``sources`` others meet the rest of every majority.

A record is taken over with its holder only where all that know the highest epoch name the same one. Otherwise the epoch
is used up and nobody holds it: the next grant is higher.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetrelay.fleet.leases.messages import ReadRecords, Record, Records, SendToController
from garnetrelay.fleet.leases.settings import Settings

NUMBERS = 1 << 62


@dataclass(slots=True)
class Source:
    """Reading from one other controller."""

    following: int = 0  # -1: all read
    number: int | None = None  # of the read that is under way
    retry_at: int = 0


@dataclass(slots=True)
class Recovery:
    """One recovery. ``own``: the folder's records, by partition."""

    controller: int
    boot: int
    settings: Settings
    wait_until: int
    own: dict[int, Record]
    found: dict[int, Record] = field(default_factory=dict)
    sources: dict[int, Source] = field(default_factory=dict)
    reads: int = 0

    def __post_init__(self) -> None:
        self.found = dict(self.own)
        self.sources = {
            number: Source(retry_at=self.wait_until)
            for number in range(self.settings.controllers)
            if number != self.controller
        }

    @property
    def complete(self) -> bool:
        """Whether enough others were read to the end."""
        return sum(source.following < 0 for source in self.sources.values()) >= self.settings.min_recovery_sources

    @property
    def next_at(self) -> int:
        """When a read is to be sent, for the first time or again."""
        return min(source.retry_at for source in self.sources.values() if source.following >= 0)

    def tick(self, now: int) -> list[SendToController]:
        """Reads that are due."""
        due = [number for number, source in self.sources.items() if source.following >= 0 and now >= source.retry_at]
        return [self._read(now, number) for number in due]

    def _read(self, now: int, number: int) -> SendToController:
        source = self.sources[number]
        self.reads += 1
        source.number = (self.boot + self.reads) % NUMBERS  # differs from those of earlier processes: boots are random
        source.retry_at = now + self.settings.answer_timeout
        return SendToController(number, ReadRecords(self.controller, self.boot, source.number, source.following))

    def receive(self, now: int, records: Records) -> list[SendToController]:
        """A part of another's records; the next read. What was not asked changes nothing."""
        source = self.sources.get(records.controller)
        if source is None or source.number is None or source.number != records.number:
            return []
        if 0 <= records.following <= source.following:
            return []
        source.number, source.following = None, records.following
        for record in records.records:
            self._merge(record)
        return [] if records.following < 0 or self.complete else [self._read(now, records.controller)]

    def _merge(self, record: Record) -> None:
        if record.partition >= self.settings.partitions:
            return
        held = self.found.get(record.partition)
        if held is None or held.epoch < record.epoch:
            self.found[record.partition] = record
        elif held.epoch == record.epoch and (held.relay, held.session) != (record.relay, record.session):
            self.found[record.partition] = Record(record.partition, record.epoch, "", 0)

    def changed(self) -> list[Record]:
        """What the folder does not have yet."""
        return [record for partition, record in self.found.items() if self.own.get(partition) != record]
