"""The start: what a folder holds is read whole, judged, and taken up; then this life begins a segment of its own.

The third layer of a store (see segment_log.py). Guards against a torn end (cut and sealed), against damage in
between (passed over and held against what it may have named), against a later version's files (left as they are),
and takes an earlier version's single file over.
"""

from __future__ import annotations

import gc
import logging

from garnetrelay.store import format as fmt
from garnetrelay.store import legacy
from garnetrelay.store.compaction import CompactedLog
from garnetrelay.store.format import LaterVersionError, Record
from garnetrelay.store.index import Segment
from garnetrelay.store.preload import Preloaded, drop_removed_segments
from garnetrelay.store.reading import segment_name, segment_number
from garnetrelay.store.segment_log import StoreError
from garnetrelay.store.storage import blocks

log = logging.getLogger(__name__)


class RecoveredLog(CompactedLog):
    """A log that goes on from what earlier lives left. StoreError where that can't be read: nothing is changed then."""

    def _load(self, preloaded: Preloaded | None) -> None:
        # All that a load makes stays: to look for what may go would take as long as the reading.
        collecting = gc.isenabled()
        gc.disable()
        try:
            self._read_folder(preloaded or Preloaded())
        finally:
            if collecting:
                gc.enable()

    def _read_folder(self, preloaded: Preloaded) -> None:
        """Read the folder, and begin a segment of this life's own. Nothing is changed before all can be read."""
        self.index = preloaded.index
        try:
            names = self.storage.names()
            numbers = sorted(number for name in names if (number := segment_number(name)) is not None)
            read = {number: self.storage.read(segment_name(number)) for number in numbers}
            old = self.storage.read(legacy.NAME) if legacy.NAME in names else None
        except OSError as error:
            raise StoreError(f"the journal can't be read: {error.strerror}") from None
        try:
            whole = {number: fmt.header_number(data) == number for number, data in read.items()}
        except LaterVersionError as error:
            raise StoreError(f"the journal was written by a later version: {error}") from None
        drop_removed_segments(preloaded, numbers)
        newest = numbers[-1] if numbers else 0
        torn: tuple[int, int, int] | None = None
        for number in numbers:
            found = self._replay(number, read.pop(number), whole[number], number == newest, preloaded.read.get(number))
            if found is not None:
                torn = (number, *found)
        # Where no segment can be begun, what is noted counts in the newest until it can be put on record.
        self._active = self.index.segments.setdefault(newest, Segment(newest))
        self._last = newest
        if torn is not None:
            self._seal_torn(*torn)
        self._first = newest + 1
        self._doubted = {ref: None for ref, entry in self.entries.items() if entry.uncertain}
        self._begin()
        if old is not None or legacy.SPARE in names:
            self._take_over(old)

    def _replay(
        self, number: int, data: bytes, whole: bool, newest: bool, start: int | None = None
    ) -> tuple[int, int] | None:
        """Take in a segment, or what it has from a place on. The newest may end in what a stop cut off: where, and how
        many records come before."""
        if start is None:
            self.index.segments[number] = Segment(number)
        segment = self.index.segments[number]
        segment.size = len(data)
        self._used += blocks(len(data))
        if not whole:
            if len(data) <= fmt.HEADER.size:  # it was being begun: nothing can have been in it
                self._discard(number)
                return None
            log.warning("journal: segment %d has no header that can be read", number)
            self._damaged(number)
        gap: tuple[int, int] | None = None
        for found in fmt.scan(data, fmt.HEADER.size if start is None else start):
            if isinstance(found, tuple):
                gap = found
                if found[1] < len(data) or not newest:
                    self._passed_over(number, found)
                continue
            segment.records += 1
            self._take(found, number)
            segment.sealed = found.kind is fmt.Kind.SEAL
        if not newest:
            if not segment.sealed and whole and (gap is None or gap[1] < len(data)):
                self._passed_over(number, (len(data), len(data)))
            return None
        if segment.sealed:
            return None
        end = gap[0] if gap is not None and gap[1] == len(data) else len(data)
        if end < len(data):
            log.warning("journal: torn tail of %d bytes cut", len(data) - end)
        return end, segment.records

    def _discard(self, number: int) -> None:
        self._used -= blocks(self.index.segments[number].size)
        self.index.removed(number)
        try:
            self.storage.remove(segment_name(number))
        except OSError as error:
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)

    def _take(self, record: Record, number: int) -> None:
        try:
            self.index.replay(record, number)
        except fmt.FormatError as error:
            log.error("journal: a record of segment %d at %d can't be understood: %s", number, record.at, error)
            self._damaged(number)

    def _passed_over(self, number: int, gap: tuple[int, int]) -> None:
        log.warning("journal: %d damaged bytes passed over in segment %d at %d", gap[1] - gap[0], number, gap[0])
        self._damaged(number)

    def _damaged(self, number: int) -> None:
        self._tainted.add(number)
        self.index.damaged()

    def _seal_torn(self, number: int, end: int, records: int) -> None:
        """Cut what a stop left half written, and seal the rest: from now on it may not end in anything else."""
        segment = self.index.segments[number]
        tail = fmt.seal(records)
        try:
            self.storage.cut(segment_name(number), end, tail)
        except OSError as error:
            log.error("journal: segment %d cannot be sealed: %s", number, error.strerror)
            return
        self._used += blocks(end + len(tail)) - blocks(segment.size)
        segment.size, segment.sealed = end + len(tail), True

    def _take_over(self, old: bytes | None) -> None:
        """The one file of earlier versions: its messages are written anew here, then it goes. A take-over that was
        cut off is simply done again: its file still has all."""
        entries, damaged = legacy.read(old) if old is not None else ({}, 0)
        if damaged:
            log.warning("journal: %d damaged bytes passed over in the file of an earlier version", damaged)
        for entry in entries.values():
            size = self._copy(fmt.state(entry), entry.ref)
            self.index.base(entry, self._active.number, size)
        if not self.flush():
            raise StoreError("the journal of an earlier version cannot be taken over: no room in the folder")
        self._sync_all()
        if self.write_failed:
            raise StoreError("the journal of an earlier version cannot be taken over: it can't be synced")
        for name in (legacy.SPARE, legacy.NAME):
            if name in self.storage.names():
                self.storage.remove(name)
        if old is not None:
            log.info("journal: %d messages taken over from an earlier version's file", len(entries))
