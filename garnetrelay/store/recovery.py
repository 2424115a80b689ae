"""Recovery at the start: reads the folder, checks it and rebuilds the index; then begins a new segment.

The third layer of a store (see segment_log.py). It handles a torn tail (truncated and sealed), damage elsewhere (skipped;
the messages that it may concern become uncertain) and files of a later version (refused and left unchanged), and imports
the single file of an earlier version.
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
from garnetrelay.store.storage import round_to_blocks

log = logging.getLogger(__name__)


class RecoveredLog(CompactedLog):
    """A log that continues from the files of earlier processes; StoreError, with nothing changed, if that fails."""

    def _load(self, preloaded: Preloaded | None) -> None:
        # All objects that a load creates stay alive: garbage collections would take as long as the reading.
        collecting = gc.isenabled()
        gc.disable()
        try:
            self._read_folder(preloaded or Preloaded())
        finally:
            if collecting:
                gc.enable()

    def _read_folder(self, preloaded: Preloaded) -> None:
        """Reads the folder and begins a new segment. Nothing is changed before all files could be read."""
        self.index = preloaded.index
        try:
            names = self.storage.names()
            numbers = sorted(number for name in names if (number := segment_number(name)) is not None)
            contents = {number: self.storage.read(segment_name(number)) for number in numbers}
            legacy_data = self.storage.read(legacy.NAME) if legacy.NAME in names else None
        except OSError as error:
            raise StoreError(f"the journal can't be read: {error.strerror}") from None
        try:
            valid_headers = {number: fmt.header_number(data) == number for number, data in contents.items()}
        except LaterVersionError as error:
            raise StoreError(f"the journal was written by a later version: {error}") from None
        drop_removed_segments(preloaded, numbers)
        newest = numbers[-1] if numbers else 0
        torn: tuple[int, int, int] | None = None
        for number in numbers:
            found = self._replay_segment(
                number, contents.pop(number), valid_headers[number], number == newest, preloaded.offsets.get(number)
            )
            if found is not None:
                torn = (number, *found)
        # If no segment can be created, buffered records count in the newest one until they can be written.
        self._active = self.index.segments.setdefault(newest, Segment(newest))
        self._last_number = newest
        if torn is not None:
            self._seal_torn(*torn)
        self._first_own_segment = newest + 1
        self._unrecorded_uncertain = {ref: None for ref, entry in self.entries.items() if entry.uncertain}
        self._begin_segment()
        if legacy_data is not None or legacy.SPARE in names:
            self._import_legacy(legacy_data)

    def _replay_segment(
        self, number: int, data: bytes, valid_header: bool, newest: bool, start: int | None = None
    ) -> tuple[int, int] | None:
        """Replays a segment, from the offset ``start`` on if given.

        If the newest segment is not sealed, returns the offset of its end, without a torn tail, and its record count.
        """
        if start is None:
            self.index.segments[number] = Segment(number)
        segment = self.index.segments[number]
        segment.size = len(data)
        self._used += round_to_blocks(len(data))
        if not valid_header:
            if len(data) <= fmt.HEADER.size:  # its header was being written: it has no records
                self._discard_segment(number)
                return None
            log.warning("journal: the header of segment %d is unreadable", number)
            self._mark_damaged(number)
        gap: tuple[int, int] | None = None
        for found in fmt.scan(data, fmt.HEADER.size if start is None else start):
            if isinstance(found, tuple):
                gap = found
                if found[1] < len(data) or not newest:
                    self._skip_damage(number, found)
                continue
            segment.records += 1
            self._replay_record(found, number)
            segment.sealed = found.kind is fmt.Kind.SEAL
        if not newest:
            if not segment.sealed and valid_header and (gap is None or gap[1] < len(data)):
                self._skip_damage(number, (len(data), len(data)))
            return None
        if segment.sealed:
            return None
        end = gap[0] if gap is not None and gap[1] == len(data) else len(data)
        if end < len(data):
            log.warning("journal: torn tail of %d bytes cut", len(data) - end)
        return end, segment.records

    def _discard_segment(self, number: int) -> None:
        self._used -= round_to_blocks(self.index.segments[number].size)
        self.index.remove_segment(number)
        try:
            self.storage.remove(segment_name(number))
        except OSError as error:
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)

    def _replay_record(self, record: Record, number: int) -> None:
        try:
            self.index.replay(record, number)
        except fmt.FormatError as error:
            log.error("journal: segment %d: the record at %d is invalid: %s", number, record.offset, error)
            self._mark_damaged(number)

    def _skip_damage(self, number: int, gap: tuple[int, int]) -> None:
        log.warning("journal: %d damaged bytes passed over in segment %d at %d", gap[1] - gap[0], number, gap[0])
        self._mark_damaged(number)

    def _mark_damaged(self, number: int) -> None:
        self._damaged_segments.add(number)
        self.index.mark_all_uncertain()

    def _seal_torn(self, number: int, end: int, records: int) -> None:
        """Truncates a torn tail and seals the segment: from now on, a missing seal means damage."""
        segment = self.index.segments[number]
        tail = fmt.encode_seal(records)
        try:
            self.storage.cut(segment_name(number), end, tail)
        except OSError as error:
            log.error("journal: segment %d cannot be sealed: %s", number, error.strerror)
            return
        self._used += round_to_blocks(end + len(tail)) - round_to_blocks(segment.size)
        segment.size, segment.sealed = end + len(tail), True

    def _import_legacy(self, data: bytes | None) -> None:
        """Imports the single file of earlier versions and removes it.

        An interrupted import is repeated at the next start: the file is removed only after its messages are recorded.
        """
        entries, damaged = legacy.read(data) if data is not None else ({}, 0)
        if damaged:
            log.warning("journal: %d damaged bytes skipped in the file of an earlier version", damaged)
        for entry in entries.values():
            size = self._buffer_copy(fmt.encode_state(entry), entry.ref)
            self.index.set_base(entry, self._active.number, size)
        if not self.flush():
            raise StoreError("the journal of an earlier version cannot be imported: no space in the folder")
        self._sync_all()
        if self.write_failed:
            raise StoreError("the journal of an earlier version cannot be imported: sync failed")
        for name in (legacy.SPARE, legacy.NAME):
            if name in self.storage.names():
                self.storage.remove(name)
        if data is not None:
            log.info("journal: %d messages taken over from an earlier version's file", len(entries))
