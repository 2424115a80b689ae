"""Messages that a restart found accepted but never attempted, and how they ended. No I/O and no clock.

Clients rely on an accepted message being attempted, also across restarts. The log has to show how many were given up
without a call and whether they had time left: otherwise a relay that gives them up looks like one that delivers them.
"""

from __future__ import annotations


class RecoveryStats:
    """Messages with no attempt on record at the start, until each is attempted or ended."""

    __slots__ = ("_remaining", "found", "tried", "late", "early")

    def __init__(self) -> None:
        self._remaining: set[str] = set()
        self.found = 0
        self.tried = 0
        self.late = 0  # ended without a call at their deadline
        self.early = 0  # ended without a call before it

    @property
    def remaining(self) -> int:
        """How many are neither attempted nor ended."""
        return len(self._remaining)

    def on_found(self, ref: str) -> None:
        """A message without a recorded attempt was restored."""
        self.found += 1
        self._remaining.add(ref)

    def on_attempt(self, ref: str) -> bool:
        """An attempt was recorded; returns whether none of the messages remains."""
        if ref not in self._remaining:
            return False
        self._remaining.discard(ref)
        self.tried += 1
        return not self._remaining

    def on_end(self, ref: str, deadline_passed: bool) -> bool:
        """The message has ended; returns whether none of the messages remains."""
        if ref not in self._remaining:
            return False
        self._remaining.discard(ref)
        if deadline_passed:
            self.late += 1
        else:
            self.early += 1
        return not self._remaining

    def __str__(self) -> str:
        return (
            f"{self.found} found untried: {self.tried} tried, with no call {self.late} ended at their time and "
            f"{self.early} before, {len(self._remaining)} left"
        )
