"""What a restart found taken on and never tried, and what became of it. No I/O and no clock: it is told.

Clients trust that a message is tried once it is taken on, across restarts too. Which of them were given up with no call,
and whether there was time left, has to show in the log: a relay that gave them up would look like one that served.
"""

from __future__ import annotations


class RecoveryStats:
    """Messages with no attempt on record at the start, until each is tried or ended."""

    __slots__ = ("_left", "found", "tried", "late", "early")

    def __init__(self) -> None:
        self._left: set[str] = set()
        self.found = 0
        self.tried = 0
        self.late = 0  # ended with no call when their time was up
        self.early = 0  # ended with no call before that

    @property
    def left(self) -> int:
        """How many are neither tried nor ended."""
        return len(self._left)

    def find(self, ref: str) -> None:
        """A message was picked up that has no attempt on record."""
        self.found += 1
        self._left.add(ref)

    def on_try(self, ref: str) -> bool:
        """A call with it is on record; whether that settles the last of them."""
        if ref not in self._left:
            return False
        self._left.discard(ref)
        self.tried += 1
        return not self._left

    def on_end(self, ref: str, time_is_up: bool) -> bool:
        """It has ended; whether that settles the last of them."""
        if ref not in self._left:
            return False
        self._left.discard(ref)
        if time_is_up:
            self.late += 1
        else:
            self.early += 1
        return not self._left

    def __str__(self) -> str:
        return (
            f"{self.found} found untried: {self.tried} tried, with no call {self.late} ended at their time and "
            f"{self.early} before, {len(self._left)} left"
        )
