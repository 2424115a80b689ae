"""Decides about compaction: when it is wanted, which segment is next, and how much of it in one step. No I/O.

What is live in the segment with the least of it is written anew at the log's end, then the segment goes. With live data
at most half of the disk, some segment is at least half dead: cleaning always frees more than it writes.
"""

from __future__ import annotations

from collections.abc import Iterable

from garnetrelay.store.index import Segment

PARTS = 16  # segments that a full disk has
LEAST, MOST = 4096, 1 << 20  # bytes of a segment: what one step takes away at its end grows with it
TIDY_FROM = 256 * 1024  # below this, dead records are not worth the work
OVER_LIVE = 1.5  # used over live data that is let be
STEP = 16 * 1024  # bytes written in one step, or twice what came since the last
STEP_MESSAGES = 50  # and messages looked at
HELD_BACK = 3  # segments that are kept free for cleaning


class Sizes:
    """What follows from the disk that a store may use (bytes)."""

    __slots__ = ("most", "segment", "pressing", "floor")

    def __init__(self, most: int) -> None:
        self.most = most  # of all files
        self.segment = min(MOST, max(LEAST, most // PARTS))  # from which size on the next segment is begun
        # Used from which on cleaning comes before new records.
        self.pressing = max(most // 2, most - HELD_BACK * self.segment)
        self.floor = min(TIDY_FROM, most // 4)  # used below which nothing is cleaned

    def admits(self, reserved: int, more: int) -> bool:
        """Whether a message that may come to take so much fits beside what is reserved. Half stays free: then some
        segment is at least half dead whenever the disk is full. One message is an eighth at most."""
        return 2 * (reserved + more) <= self.most and 8 * more <= max(self.most, 8 * LEAST)


def wanted(sizes: Sizes, used: int, live: int) -> bool:
    """Whether there is enough to gain."""
    return used > sizes.floor and used > OVER_LIVE * live + sizes.segment


def next_victim(segments: Iterable[Segment], active: int) -> int | None:
    """The sealed segment with the least live data for its size, if cleaning it frees anything worth while."""
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
    """How much a step may write, so that cleaning keeps ahead of what comes."""
    return max(STEP, 2 * appended)
