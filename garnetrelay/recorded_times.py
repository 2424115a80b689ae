"""What recorded times of a message mean after a restart. No I/O and no clock: the caller passes the time.

The journal stores wall clock times, since no other clock outlives a process, and a wall clock may be set. A clock set
forward closes repeat windows early, which costs a call. A clock set back would keep them open, and a message that may
have run could take effect twice. So where a recorded time is ahead of the clock, the clock was set back since, and no
window is trusted.
"""

from __future__ import annotations

from collections.abc import Iterable

from garnetrelay.store.format import Entry

MS = 1_000_000
UNKNOWN_AGE_NS = 365 * 86400 * 1_000_000_000  # longer than any repeat window


def newest_attempt_ms(entries: Iterable[Entry]) -> int:
    """Start of the latest recorded attempt (wall clock, milliseconds); 0 if there is none."""
    return max((max(entry.trying_at or 0, entry.ran_at or 0) for entry in entries), default=0)


def ran_ago(entry: Entry, now: int, clock_trusted: bool) -> int | None:
    """How long ago the first attempt that may have run was sent (nanoseconds, at ``now`` by the wall clock); None if no
    attempt may have run. Without ``clock_trusted`` the clock was set back."""
    if entry.uncertain:  # an attempt may be missing from the journal: neither its window nor its zone is known
        return UNKNOWN_AGE_NS
    if entry.ran_at is None:
        return None
    ago = now - entry.ran_at * MS
    return ago if clock_trusted and ago >= 0 else UNKNOWN_AGE_NS
