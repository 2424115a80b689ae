"""Lag of the event loop: how long a batch of events takes, and so how long later events wait.

No I/O and no clock: the caller passes the times, in nanoseconds of one clock. A long batch counts at once and then
decays with a half-life of a quarter of a second; a suspension of the whole process counts as one second at most.
"""

from __future__ import annotations

HALF_LIFE_NS = 250_000_000
MAX_LAG_NS = 1_000_000_000
STEP_NS = 10_000_000  # the reported value is rounded down to whole steps: smaller changes are not reported


class LoopLag:
    """The lag of a loop, from the durations of its batches and the delays of its timers."""

    __slots__ = ("value", "_exact", "_updated_at", "_batch_start", "_last_reported")

    def __init__(self) -> None:
        self.value = 0  # nanoseconds, in whole steps
        self._exact = 0.0
        self._updated_at = 0  # time of ``_exact``
        self._batch_start = 0
        self._last_reported = 0

    def on_batch_start(self, now: int) -> None:
        """The first event of the next tick's batch has been read."""
        self._batch_start = now

    def on_batch_end(self, now: int) -> None:
        """The tick has ended, with everything that it sent."""
        if self._batch_start:
            self._add_sample(now - self._batch_start, now)

    def on_late_timer(self, due: int, now: int) -> None:
        """A timer ran after its due time."""
        self._add_sample(now - due, now)

    def _add_sample(self, sample: int, now: int) -> None:
        if sample < STEP_NS and self._exact < STEP_NS:  # the usual case
            self.value = 0
            return
        decayed = self._exact * 0.5 ** ((now - self._updated_at) / HALF_LIFE_NS)
        self._exact = max(float(min(max(0, sample), MAX_LAG_NS)), decayed)
        self._updated_at = now
        self.value = int(self._exact) // STEP_NS * STEP_NS

    def changed(self, now: int) -> bool:
        """Whether the lag differs from the value at the previous call."""
        self._add_sample(0, now)
        reported, self._last_reported = self._last_reported, self.value
        return reported != self.value
