"""The run's clock, and a loop that knows when it last looked at its sockets."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import deque
from collections.abc import Callable
from typing import Any

ROUNDS = 6  # of the loop, from a connection that waits to be accepted to the first read on it, and one to spare


class Clock:
    """Nanoseconds since the run began. ``since``: what is read in this round of the loop was not there then.
    ``earlier``: the same for a connection's end, which the loop tells a round after it has read it."""

    __slots__ = ("began", "since", "earlier", "rounds", "looks", "_looked")

    def __init__(self) -> None:
        self.began = time.monotonic_ns()
        self.since = 0
        self.earlier = 0
        self.rounds = 0
        self.looks: deque[int] = deque([0], maxlen=ROUNDS)  # of the last rounds
        self._looked = 0

    def now(self) -> int:
        """Nanoseconds of the monotonic clock since the run began."""
        return time.monotonic_ns() - self.began

    def loop_time(self, at: int) -> float:
        """A time of the run by the loop's clock, in seconds."""
        return (at + self.began) / 1e9

    def looked(self) -> None:
        """The loop has just looked at its sockets: what is there now is read in this round."""
        self.earlier, self.since, self._looked = self.since, self._looked, self.now()
        self.rounds += 1
        self.looks.append(self._looked)


class WatchedSelector(selectors.DefaultSelector):
    """Tells a clock of each look at the sockets."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """As the base class; the clock hears that the sockets were looked at."""
        found = super().select(timeout)
        self._clock.looked()
        return found


def run_watched(clock: Clock, main: Callable[[], Any]) -> Any:
    """Run a coroutine on a loop that keeps the clock informed."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(WatchedSelector(clock))) as runner:
        return runner.run(main())
