"""Limits the memory of clients' requests that are incomplete or not answered yet, over all connections. No I/O.

One request is limited by its size and each connection has one incomplete request at most, but thousands of connections
are more than a relay's memory. Whole requests are limited too, as all that are read in one iteration of the loop wait for
the tick that answers them.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class RequestMemory(Generic[ConnectionT]):
    """Counts bytes of requests. ``limit``: bytes of all of them together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.unanswered = 0  # bytes of complete requests that wait for their answer
        self._incomplete: dict[ConnectionT, int] = {}  # bytes by connection, the one that began longest ago first
        self._incomplete_total = 0

    def set_incomplete(self, connection: ConnectionT, size: int) -> None:
        """A connection has received so many bytes of a command that is not complete; 0: it has none."""
        previous = self._incomplete.get(connection, 0)
        self._incomplete_total += size - previous
        if size:
            self._incomplete[connection] = size
        elif previous:
            del self._incomplete[connection]

    def admit(self, size: int) -> bool:
        """Count a complete request until ``answered``; False, and it is not counted, if there is no room for it.
        Incomplete ones make room: see ``largest_incomplete``."""
        if self.unanswered + size > self.limit:
            return False
        self.unanswered += size
        return True

    def answered(self, size: int) -> None:
        """A request that was admitted has its answer."""
        self.unanswered -= size

    def largest_incomplete(self) -> ConnectionT | None:
        """The connection to reject next; None while all requests fit. The largest command frees most, so that a client
        that writes an ordinary message slowly is not affected; of equal ones it is the one that began first."""
        if not self._incomplete or self.unanswered + self._incomplete_total <= self.limit:
            return None
        return max(self._incomplete, key=self._incomplete.__getitem__)
