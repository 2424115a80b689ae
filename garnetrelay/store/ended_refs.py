"""The refs of messages that ran and ended, for as long as their clients may still submit them again. No I/O and no clock.

A client that has had no answer may submit a message again under its ref until the message's time is up. By then nothing
else in the journal may know of the message, and taken for a new one it would run twice.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable

import msgspec

from garnetrelay.store.format import EndedRef

MS_PER_SECOND = 1000
BYTES_PER_REF = 300  # of memory, besides the ref's own: in the dictionaries and sets that hold it


class RecordedEnd(msgspec.Struct, gc=False):
    """How a message ended, and the segment with the record of that."""

    until: int  # wall clock, milliseconds
    failed: bool
    segment: int


class EndedRefs:
    """The refs by their end, and by the second from which they need not be known any more."""

    def __init__(self) -> None:
        self._ends: dict[str, RecordedEnd] = {}
        self._by_second: dict[int, list[str]] = {}
        self._earliest = sys.maxsize  # the first of these seconds
        self.memory_bytes = 0  # an estimate

    def __len__(self) -> int:
        return len(self._ends)

    def get(self, ref: str) -> RecordedEnd | None:
        """How a message ended; None if it is not known."""
        return self._ends.get(ref)

    def set(self, ended: EndedRef, segment: int) -> None:
        """Add a ref, or the new place of its record."""
        known = self._ends.get(ended.ref)
        if known is not None and known.until == ended.until:
            known.segment, known.failed = segment, ended.failed
            return
        self.remove(ended.ref)
        self._ends[ended.ref] = RecordedEnd(ended.until, ended.failed, segment)
        self.memory_bytes += BYTES_PER_REF + len(ended.ref)
        second = ended.until // MS_PER_SECOND + 1
        self._by_second.setdefault(second, []).append(ended.ref)
        self._earliest = min(self._earliest, second)

    def record(self, ref: str) -> EndedRef:
        """The record of a ref that is known."""
        known = self._ends[ref]
        return EndedRef(ref, known.until, known.failed)

    def move(self, refs: Iterable[str], segment: int) -> None:
        """The records of these refs were copied to a segment."""
        for ref in refs:
            self._ends[ref].segment = segment

    def remove(self, ref: str) -> RecordedEnd | None:
        """Forget a ref; returns what was known of it."""
        known = self._ends.pop(ref, None)
        if known is not None:
            self.memory_bytes -= BYTES_PER_REF + len(ref)
        return known

    def expired(self, now_ms: int) -> list[str]:
        """The refs that need not be known any more, each at most once."""
        if now_ms // MS_PER_SECOND < self._earliest:
            return []
        found = []
        for second in sorted(self._by_second):
            if second > now_ms // MS_PER_SECOND:
                break
            for ref in self._by_second.pop(second):
                known = self._ends.get(ref)
                if known is not None and known.until // MS_PER_SECOND < second:
                    found.append(ref)
        self._earliest = min(self._by_second, default=sys.maxsize)
        return found
