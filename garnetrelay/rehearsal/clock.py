"""The clock of a run, and an event loop that records when it polls its sockets."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import deque
from collections.abc import Callable
from typing import Any

ACCEPT_ITERATIONS = 6  # of the loop, from a connection in the backlog to the first read on it, and one to spare


class Clock:
    """Nanoseconds since the start of the run.

    ``since``: time at which data that is read in this iteration of the loop had not arrived yet. ``previous_since``: the
    same for the end of a connection, which the loop reports one iteration after it was read.
    """

    __slots__ = ("began", "since", "previous_since", "iterations", "poll_times", "_polled_at")

    def __init__(self) -> None:
        self.began = time.monotonic_ns()
        self.since = 0
        self.previous_since = 0
        self.iterations = 0
        self.poll_times: deque[int] = deque([0], maxlen=ACCEPT_ITERATIONS)  # times of the last polls
        self._polled_at = 0

    def now(self) -> int:
        """Nanoseconds of the monotonic clock since the start of the run."""
        return time.monotonic_ns() - self.began

    def loop_time(self, at: int) -> float:
        """Convert a time of the run to the loop's clock, in seconds."""
        return (at + self.began) / 1e9

    def record_poll(self) -> None:
        """Record a poll of the sockets: data that has arrived by now is read in this iteration."""
        self.previous_since, self.since, self._polled_at = self.since, self._polled_at, self.now()
        self.iterations += 1
        self.poll_times.append(self._polled_at)


class TimedSelector(selectors.DefaultSelector):
    """A selector that reports each poll to a clock."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Select as the base class does, and report the poll to the clock."""
        ready = super().select(timeout)
        self._clock.record_poll()
        return ready


def run_timed(clock: Clock, main: Callable[[], Any]) -> Any:
    """Run a coroutine on a loop that reports its polls to the clock."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(TimedSelector(clock))) as runner:
        return runner.run(main())
