"""What a message's times on record mean to a later life. No I/O and no clock: it is told the time.

The journal has wall clock, as nothing else outlives a process; a wall clock may be set. Set forward it closes windows for
repeats early, which costs a call. Set back it would hold them open, and a message that may have run would take effect
twice: where a time on record lies ahead of the clock, the clock was set back since, and no window is sure.
"""

from __future__ import annotations

from collections.abc import Iterable

from garnetrelay.store.format import Entry

MS = 1_000_000
UNKNOWN = 365 * 86400 * 1_000_000_000  # nanoseconds: longer ago than any window is long


def newest_time(entries: Iterable[Entry]) -> int:
    """When the latest attempt on record was begun (wall clock, milliseconds); 0 where there is none."""
    return max((max(entry.trying_at or 0, entry.ran_at or 0) for entry in entries), default=0)


def ran_ago(entry: Entry, now: int, sure: bool) -> int | None:
    """How long ago its first attempt that may have run was sent (nanoseconds, at ``now`` by the wall clock), None if none
    may have. Not ``sure``: the clock was set back."""
    if entry.uncertain:  # an attempt may be missing: no window and no building is sure
        return UNKNOWN
    if entry.ran_at is None:
        return None
    ago = now - entry.ran_at * MS
    return ago if sure and ago >= 0 else UNKNOWN
