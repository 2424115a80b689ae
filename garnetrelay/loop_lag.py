"""How long a round of the loop takes: what comes due meanwhile waits so long for its turn.

No I/O and no clock: it is told the times, in nanoseconds of one clock. A long round counts at once and is
forgotten by half in a quarter of a second; a pause of the whole process counts as a second at most.
"""

from __future__ import annotations

HALF_TIME = 250_000_000
MOST = 1_000_000_000
STEP = 10_000_000  # what is told is rounded to whole steps: news of less is none


class LoopLag:
    """The lag of a loop, from the rounds that it has made."""

    __slots__ = ("value", "_exact", "_at", "_begun", "_told")

    def __init__(self) -> None:
        self.value = 0  # in whole steps
        self._exact = 0.0
        self._at = 0  # when that was
        self._begun = 0
        self._told = 0

    def round_begins(self, now: int) -> None:
        """Something has come that the round's turn will take up."""
        self._begun = now

    def round_ends(self, now: int) -> None:
        """The turn is over, with all that it let out."""
        if self._begun:
            self._take(now - self._begun, now)

    def was_late(self, due: int, now: int) -> None:
        """A timer came up after its time."""
        self._take(now - due, now)

    def _take(self, sample: int, now: int) -> None:
        if sample < STEP and self._exact < STEP:  # as usual
            self.value = 0
            return
        left = self._exact * 0.5 ** ((now - self._at) / HALF_TIME)
        self._exact = max(float(min(max(0, sample), MOST)), left)
        self._at = now
        self.value = int(self._exact) // STEP * STEP

    def news(self, now: int) -> bool:
        """Whether the lag is another by now than at the last call."""
        self._take(0, now)
        told, self._told = self._told, self.value
        return told != self.value
