"""Notices of ends that wait for a record, and until when they wait. No I/O and no clock: the caller passes the time.

A client that is told of a refusal may submit its message again, to another relay. If this process is killed before the
end is on record, the next one finds the message pending and delivers it as well. So the notice waits for the record, but
not beyond the message's deadline: from then on no process attempts the message, and the notice is due.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple


class EndNotice(NamedTuple):
    """The end of a message that the platform has to be notified of."""

    ref: str
    result: str
    wait_ms: int
    deadline: int  # of the message, by the monotonic clock, nanoseconds


class HeldNotices:
    """Notices of ends that are not on record yet."""

    def __init__(self) -> None:
        self._notices: dict[str, EndNotice] = {}  # by ref

    def __len__(self) -> int:
        return len(self._notices)

    def hold(self, notice: EndNotice) -> None:
        """Adds a notice."""
        self._notices[notice.ref] = notice

    def take_recorded(self, unrecorded: Container[str]) -> list[EndNotice]:
        """Removes and returns the notices of ends that are on record. ``unrecorded``: the refs without a record."""
        return self._take([notice for notice in self._notices.values() if notice.ref not in unrecorded])

    def take_due(self, now: int) -> list[EndNotice]:
        """Removes and returns the notices of messages whose deadline has passed."""
        return self._take([notice for notice in self._notices.values() if notice.deadline <= now])

    def next_deadline(self) -> int | None:
        """The earliest deadline of a message whose notice waits; None if none does."""
        return min((notice.deadline for notice in self._notices.values()), default=None)

    def _take(self, notices: list[EndNotice]) -> list[EndNotice]:
        for notice in notices:
            del self._notices[notice.ref]
        return notices
