"""Compaction policy: when compaction is due, which segment is next, and how much of it one step copies. No I/O.

The live records of the segment with the smallest live share are copied to the end of the log, then the segment is
removed. With live data at most half of the disk, some segment is at least half dead: compaction always frees more than
it writes.
"""

from __future__ import annotations

from collections.abc import Iterable

from garnetrelay.store.index import Segment

SEGMENTS_PER_DISK = 16
# Bounds of a segment. The last step of a compaction removes a whole file: the larger it is, the longer that step takes.
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 4096, 1 << 20
MIN_COMPACTION_BYTES = 256 * 1024  # with less used space, removing dead records is not worth the work
MAX_USED_TO_LIVE = 1.5  # ratio of used to live bytes up to which compaction is not due
MIN_STEP_BYTES = 16 * 1024  # a step writes this much, or twice the bytes appended since the previous step
MAX_STEP_MESSAGES = 50  # messages copied in one step
RESERVED_SEGMENTS = 3  # kept free for compaction


class Sizes:
    """Limits in bytes that follow from the disk space that a store may use."""

    __slots__ = ("max_bytes", "segment_bytes", "pressure_bytes", "compaction_floor_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes  # of all files together
        # At this size the next segment is begun.
        self.segment_bytes = min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, max_bytes // SEGMENTS_PER_DISK))
        # From this much used space on, compaction has priority over new records.
        self.pressure_bytes = max(max_bytes // 2, max_bytes - RESERVED_SEGMENTS * self.segment_bytes)
        self.compaction_floor_bytes = min(MIN_COMPACTION_BYTES, max_bytes // 4)  # no compaction below

    def admits(self, reserved: int, additional: int) -> bool:
        """Whether a message that may need up to ``additional`` bytes fits beside the bytes reserved already.

        Reservations take at most half of the disk: then some segment is at least half dead whenever the disk is full.
        One message may take at most an eighth.
        """
        return 2 * (reserved + additional) <= self.max_bytes and 8 * additional <= max(
            self.max_bytes, 8 * MIN_SEGMENT_BYTES
        )


def compaction_due(sizes: Sizes, used: int, live: int) -> bool:
    """Whether there is enough dead data for compaction to be worth the work."""
    return used > sizes.compaction_floor_bytes and used > MAX_USED_TO_LIVE * live + sizes.segment_bytes


def next_victim(segments: Iterable[Segment], active: int) -> int | None:
    """The sealed segment with the smallest live share; None if more than 90 percent of that one is live."""
    best: Segment | None = None
    for segment in segments:
        if segment.number == active or not segment.size:
            continue
        if best is None or segment.live * best.size < best.live * segment.size:
            best = segment
    if best is None or best.live > 0.9 * best.size:
        return None
    return best.number


def step_bytes(appended: int) -> int:
    """How many bytes a step may write: twice what was appended, so that compaction keeps up with new records."""
    return max(MIN_STEP_BYTES, 2 * appended)
