"""Room on the disk: what counts in old segments is written anew behind, in small steps between turns, then they go.

The second layer of a store (see segment_log.py). Owned here: the segment that is being cleaned, messages whose
doubt no record says yet, and the way back from a failed write. ``compaction_policy.py`` decides when and which. Guards
against a full disk: records of new messages leave some segments free for it.
"""

from __future__ import annotations

import logging

from garnetrelay.store import compaction_policy
from garnetrelay.store import format as fmt
from garnetrelay.store.reading import segment_name
from garnetrelay.store.segment_log import SegmentLog
from garnetrelay.store.storage import Storage, blocks

log = logging.getLogger(__name__)


class CompactedLog(SegmentLog):
    """A log that stays small: ``maintain`` is its step between turns, ``needs_maintenance`` whether another is wanted."""

    def __init__(self, storage: Storage, disk_bytes: int, machine: bool) -> None:
        super().__init__(storage, disk_bytes, machine)
        self._victim: int | None = None
        self._doubted: dict[str, None] = {}  # uncertain messages whose records do not say so yet
        self._tainted: set[int] = set()  # segments with damage: they stay for as long as there are such messages
        self._first = 0  # the first segment of this life

    def _note(self, data: bytes, ref: str) -> int:
        """Keep a record until the next flush, in the segment that has room for it; its size."""
        if self.write_failed:
            self._touched.append(ref)
            return len(data)
        active = self._active
        if active.size + len(self._pending) + len(data) > self.sizes.segment and active.records:
            self._rotate()
            # A segment is held back for its own growth, and one for cleaning.
            if self.used + self.sizes.segment > self.sizes.most - self.sizes.segment:
                self._make_room()
        self._pending += data
        self._touched.append(ref)
        self._active.records += 1
        return len(data)

    def maintain(self) -> None:
        """A small step, between turns: what could not be written first, then compaction."""
        if self.write_failed:
            self._revive()
            return
        appended, self._appended = self._appended, 0
        if self._doubted:
            self._say_doubts(compaction_policy.STEP_MESSAGES)
        if self._victim is None:
            if not compaction_policy.wanted(self.sizes, self.used, self.index.live):
                return
            self._victim = self._next_victim()
        if self._victim is not None:
            self._clean(self._victim, compaction_policy.step_bytes(appended), compaction_policy.STEP_MESSAGES)

    @property
    def needs_maintenance(self) -> bool:
        """Whether ``maintain`` has more to do."""
        return self.write_failed or self._victim is not None or bool(self._doubted)

    def _next_victim(self) -> int | None:
        kept = self._tainted if self._doubted else set()
        return compaction_policy.next_victim(
            (segment for number, segment in self.index.segments.items() if number not in kept), self._active.number
        )

    def _say_doubts(self, most: int) -> None:
        """Damage makes messages uncertain that have no record in the damaged segment. Once it is gone nothing would
        say so any more: write them anew first."""
        while self._doubted and most > 0 and not self.write_failed:
            if self.used + self.sizes.segment > self.sizes.pressing:
                return  # cleaning comes first; it writes them anew too
            ref = next(iter(self._doubted))
            del self._doubted[ref]
            entry = self.entries.get(ref)
            if entry is not None and entry.uncertain and entry.base < self._first:
                self._copy_entry(ref)
                most -= 1

    def _make_room(self) -> None:
        """The disk is nearly full: clean until there is room again. Bounded, as what is live is at most half."""
        for _ in range(2 * compaction_policy.PARTS):
            if self.write_failed or self.used + self.sizes.segment < self.sizes.pressing:
                return
            victim = self._victim
            if victim is None:
                victim = self._next_victim()
            if victim is None:
                return
            self._clean(victim, self.sizes.most, len(self.index.entries) + len(self.index.tombs) + 1)

    def _clean(self, number: int, most_bytes: int, most_messages: int) -> None:
        """Write anew what counts in a segment, as far as the step goes; with the last of it the file goes."""
        segment = self.index.segments[number]
        written = 0
        while segment.entries or segment.tombs:
            if self.write_failed:
                self._victim = None
                return
            if written >= most_bytes or most_messages <= 0:
                self._victim = number
                return
            most_messages -= 1
            if segment.entries:
                written += self._copy_entry(next(iter(segment.entries)))
            else:
                written += self._copy_tomb(next(iter(segment.tombs)))
        self._victim = None
        # The old file may go only once what was copied out of it is on record.
        self.when_recorded(lambda recorded: self._remove(number) if recorded else None)

    def _copy_entry(self, ref: str) -> int:
        entry = self.entries[ref]
        size = self._copy(fmt.state(entry), ref)
        self.index.base(entry, self._active.number, size)
        return size

    def _copy_tomb(self, ref: str) -> int:
        size = self._copy(fmt.gone(ref), ref)
        self.index.gone(ref, self._active.number, size)
        return size

    def _copy(self, data: bytes, ref: str) -> int:
        """As a note, but from the segments that are kept free for it."""
        active = self._active
        if active.size + len(self._pending) + len(data) > self.sizes.segment and active.records:
            self._rotate()
        self._pending += data
        self._touched.append(ref)
        self._active.records += 1
        return len(data)

    def _remove(self, number: int) -> None:
        segment = self.index.segments.get(number)
        if segment is None or not segment.size or segment.entries or segment.tombs:
            return  # gone already, or something came to count in it again
        try:
            self.storage.remove(segment_name(number))
        except OSError as error:
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)
            return
        self._used -= blocks(segment.size)
        segment.size = 0
        if self.machine:
            # Until that outlasts the machine's power, the file may come back: so long its dead stay buried.
            self._unlinked.append(number)
        else:
            self.index.removed(number)

    # ---- behind a failed write

    def _mended(self) -> bool:
        """Cut off what a failed write may have left. Behind a failed sync nothing is mended: who knows what is there."""
        if self._distrusted or self._handle is None:
            return False
        try:
            self.storage.truncate(self._handle, self._active.size)
        except OSError:
            return False
        self._spoilt = False
        return True

    def _revive(self) -> None:
        """Something could not be put on record: try again with the messages that it was about, whole."""
        self._give_up_pending()
        self.write_failed = False
        if (self._handle is None or self._spoilt and not self._mended()) and not self._begin():
            self.write_failed = True
            return
        pieces: list[tuple[str, bytes]] = []
        for ref in self.failed:
            entry = self.entries.get(ref)
            pieces.append((ref, fmt.gone(ref) if entry is None else fmt.state(entry)))
        if not self._append(b"".join(data for _, data in pieces) or fmt.NOTE):
            return
        number = self._active.number
        for ref, data in pieces:
            self._active.records += 1
            entry = self.entries.get(ref)
            if entry is not None:
                self.index.base(entry, number, len(data))
            else:
                # Which segments have a base of it is not known any more: any of them may.
                self.index.gone(ref, number, len(data))
                self.index.bury(ref, number, len(data), {other for other in self.index.segments if other != number})
        if self.machine:
            self._unsynced |= self.failed
        self.failed.clear()
        self._said = False
        log.warning("journal: the folder takes records again")
