"""Compaction: the live records of old segments are copied to the end of the log in small steps, then their files removed.

The second layer of a store (see segment_log.py). It owns the segment that is being compacted, the uncertain messages
whose records do not say so yet, and the recovery from a failed write. ``compaction_policy.py`` decides when to compact
and which segment. It guards against a full disk: records of new messages leave some segments free for compaction.
"""

from __future__ import annotations

import logging

from garnetrelay.store import compaction_policy
from garnetrelay.store import format as fmt
from garnetrelay.store.index import Segment
from garnetrelay.store.reading import segment_name
from garnetrelay.store.segment_log import SegmentLog
from garnetrelay.store.storage import Storage, round_to_blocks

log = logging.getLogger(__name__)

MAX_REFS_PER_COPY = 50  # refs of ended messages: less than the smallest segment


class CompactedLog(SegmentLog):
    """A compacted log: ``maintain`` does one step of work, ``needs_maintenance`` says whether more is left."""

    def __init__(self, storage: Storage, disk_bytes: int, machine_durable: bool) -> None:
        super().__init__(storage, disk_bytes, machine_durable)
        self._victim: int | None = None
        self._unrecorded_uncertain: dict[str, None] = {}  # refs of uncertain messages whose records do not say so
        self._damaged_segments: set[int] = set()  # kept while there are such messages
        self._first_own_segment = 0  # the first segment that this process began

    def _buffer_record(self, data: bytes, ref: str | None) -> int:
        """Buffers a record for the next flush, and begins a new segment where the active one is full; its size.

        ``ref``: None for a record that belongs to no message; the retry of a failed write knows such records itself.
        """
        if self.write_failed:
            if ref is not None:
                self._pending_refs.append(ref)
            return len(data)
        active = self._active
        if active.size + len(self._pending) + len(data) > self.sizes.segment_bytes and active.records:
            self._rotate()
            # One segment is reserved for the growth of the active one, and one for compaction.
            if self.used + self.sizes.segment_bytes > self.sizes.max_bytes - self.sizes.segment_bytes:
                self._make_room()
        return self._buffer(data, ref)

    def _buffer(self, data: bytes, ref: str | None) -> int:
        self._pending += data
        if ref is not None:
            self._pending_refs.append(ref)
        self._active.records += 1
        return len(data)

    def maintain(self) -> None:
        """Does one small step: retries failed writes if there are any, else compacts."""
        if self.write_failed:
            self._retry_failed()
            return
        appended, self._appended = self._appended, 0
        if self._unrecorded_uncertain:
            self._record_uncertain(compaction_policy.MAX_STEP_MESSAGES)
        if self._victim is None:
            if not compaction_policy.compaction_due(self.sizes, self.used, self.index.live):
                return
            self._victim = self._next_victim()
        if self._victim is not None:
            self._compact_segment(
                self._victim, compaction_policy.step_bytes(appended), compaction_policy.MAX_STEP_MESSAGES
            )

    @property
    def needs_maintenance(self) -> bool:
        """Whether ``maintain`` has more work."""
        return self.write_failed or self._victim is not None or bool(self._unrecorded_uncertain)

    def _next_victim(self) -> int | None:
        kept = self._damaged_segments if self._unrecorded_uncertain else set()
        return compaction_policy.next_victim(
            (
                segment
                for number, segment in self.index.segments.items()
                if number not in kept and not self._has_only_record(segment)
            ),
            self._active.number,
        )

    def _has_only_record(self, segment: Segment) -> bool:
        """Whether a record that compaction has copied from the segment is missing from the files: its copy failed."""
        return not self.unrecorded.isdisjoint(segment.stale)

    def _record_uncertain(self, max_messages: int) -> None:
        """Writes the states of uncertain messages.

        Damage also makes messages uncertain that have no record in the damaged segment. Their new records say so once
        that segment is removed.
        """
        while self._unrecorded_uncertain and max_messages > 0 and not self.write_failed:
            if self.used + self.sizes.segment_bytes > self.sizes.pressure_bytes:
                return  # compaction has priority, and copies them too
            ref = next(iter(self._unrecorded_uncertain))
            del self._unrecorded_uncertain[ref]
            entry = self.entries.get(ref)
            if entry is not None and entry.uncertain and entry.base < self._first_own_segment:
                self._copy_entry(ref)
                max_messages -= 1

    def _make_room(self) -> None:
        """Compacts until the disk is not nearly full any more. Bounded, since at most half of the disk is live."""
        for _ in range(2 * compaction_policy.SEGMENTS_PER_DISK):
            if self.write_failed or self.used + self.sizes.segment_bytes < self.sizes.pressure_bytes:
                return
            victim = self._victim
            if victim is None:
                victim = self._next_victim()
            if victim is None:
                return
            self._compact_segment(victim, self.sizes.max_bytes, self.index.needed_records + 1)

    def _compact_segment(self, number: int, max_bytes: int, max_messages: int) -> None:
        """Copies live records out of a segment, up to the step's limits; after the last one the file is removed."""
        segment = self.index.segments[number]
        written = 0
        while segment.needed:
            if self.write_failed:
                self._victim = None
                return
            if written >= max_bytes or max_messages <= 0:
                self._victim = number
                return
            if not (segment.entries or segment.tombstones or segment.rests):
                written += self._copy_ended(segment, max_messages)
                max_messages -= MAX_REFS_PER_COPY
                continue
            max_messages -= 1
            if segment.entries:
                written += self._copy_entry(next(iter(segment.entries)))
            elif segment.tombstones:
                written += self._copy_tombstone(next(iter(segment.tombstones)))
            else:
                written += self._copy_rest(next(iter(segment.rests)))
        self._victim = None
        # The old file may be removed only once the copies are recorded.
        self.when_recorded(lambda recorded: self._remove_segment(number) if recorded else None)

    def _copy_entry(self, ref: str) -> int:
        entry = self.entries[ref]
        size = self._buffer_copy(fmt.encode_state(entry), ref)
        self.index.set_base(entry, self._active.number, size)
        return size

    def _copy_tombstone(self, ref: str) -> int:
        size = self._buffer_copy(fmt.encode_gone(ref), ref)
        self.index.set_gone(ref, self._active.number, size)
        return size

    def _copy_rest(self, key: str) -> int:
        rest = self.index.rests[key].rest
        size = self._buffer_copy(fmt.encode_key_rest(rest), None)
        self.index.set_rest(rest, self._active.number, size)
        return size

    def _copy_ended(self, segment: Segment, max_refs: int) -> int:
        """Copies refs of ended messages, some at once: there are as many as messages in the last half minute."""
        refs = [segment.ended.popitem()[0] for _ in range(min(max_refs, MAX_REFS_PER_COPY, len(segment.ended)))]
        segment.stale.update(refs)  # it has the only records until the copies are written
        size = self._buffer_copy(b"".join(fmt.encode_ended_ref(self.index.ended.record(ref)) for ref in refs), None)
        self._pending_refs += refs
        self._active.records += len(refs) - 1
        self.index.move_ended(refs, segment, self._active.number, size)
        return size

    def _buffer_copy(self, data: bytes, ref: str | None) -> int:
        """Buffers a record like ``_buffer_record``, but may use the segments reserved for compaction."""
        active = self._active
        if active.size + len(self._pending) + len(data) > self.sizes.segment_bytes and active.records:
            self._rotate()
        return self._buffer(data, ref)

    def _remove_segment(self, number: int) -> None:
        segment = self.index.segments.get(number)
        if segment is None or not segment.size or segment.needed:
            return  # removed already, or some of its records are needed again
        if self._has_only_record(segment):
            return
        try:
            self.storage.remove(segment_name(number))
        except OSError as error:
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)
            return
        self._used -= round_to_blocks(segment.size)
        segment.size = 0
        if self.machine_durable:
            # Until a sync covers the removal, the file may reappear after a power loss: tombstones for it must stay.
            self._unlinked.append(number)
        else:
            self.index.remove_segment(number)

    # ---- after a failed write

    def _truncate_torn_tail(self) -> bool:
        """Truncates what a failed write may have left; False after a failed sync: the file's content is unknown then."""
        if self._sync_failed or self._handle is None:
            return False
        try:
            self.storage.truncate(self._handle, self._active.size)
        except OSError:
            return False
        self._torn_tail = False
        return True

    def _retry_failed(self) -> None:
        """Retries after a failed write or sync: writes all rests of keys, and the full states of all messages with
        unrecorded changes.

        The smallest come first, and what was written stays recorded if a later write fails: an end is small, and its
        notice waits for it. A full folder is compacted before and meanwhile.
        """
        self._mark_pending_unrecorded()
        if self._accepts_records() and self._make_room_for_retry() and self._rewrite_messages():
            self._failure_logged = False
            log.warning("journal: the folder takes records again")

    def _accepts_records(self) -> bool:
        """Whether the folder accepts a record, or would if it were not full. Otherwise compaction would fail as well."""
        self.write_failed = False
        if (self._handle is None or self._torn_tail and not self._truncate_torn_tail()) and not self._begin_segment():
            self.write_failed = True
            return False
        return self._append(fmt.NOTE_RECORD) or self._is_full(fmt.NOTE_RECORD)

    def _make_room_for_retry(self) -> bool:
        """Compacts a full folder. The rests come first, since compaction may remove their earlier records; in a folder
        too full for them they come behind it."""
        rests_recorded = self._rewrite_rests()
        if self._torn_tail:
            return False
        self.write_failed = False
        self._make_room()
        return rests_recorded or self._rewrite_rests()

    def _rewrite_messages(self) -> bool:
        """Writes the states of all messages with unrecorded changes; whether that succeeded."""
        for ref in sorted(self.unrecorded, key=self._state_size):
            if self.write_failed:
                return False
            self.unrecorded.discard(ref)
            self._rewrite(ref)
            if len(self._pending) >= compaction_policy.MIN_STEP_BYTES:
                self.flush()
        return self.flush()

    def _rewrite_rests(self) -> bool:
        """Writes all rests of keys; whether that succeeded."""
        for key in list(self.index.rests):
            self._copy_rest(key)
        return self.flush()

    def _state_size(self, ref: str) -> int:
        entry = self.entries.get(ref)
        return 0 if entry is None else len(entry.body)

    def _rewrite(self, ref: str) -> None:
        """Buffers a message's full state, or that it is gone, with its ref if that must be known."""
        entry = self.entries.get(ref)
        if entry is not None:
            size = self._buffer_record(fmt.encode_state(entry), ref)
            self.index.set_base(entry, self._active.number, size)
            return
        if self.index.ended.get(ref) is not None:
            ended = self.index.ended.record(ref)
            self._buffer_record(fmt.encode_ended_ref(ended), ref)
            self.index.set_ended(ended, self._active.number)
        size = self._buffer_record(fmt.encode_gone(ref), ref)
        number = self._active.number
        # Which segments have a base record of it is not known any more: any of them may.
        self.index.set_gone(ref, number, size)
        self.index.add_tombstone(ref, number, size, {other for other in self.index.segments if other != number})
