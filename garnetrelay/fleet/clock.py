"""The clock that measures lease times."""

from __future__ import annotations

import time

# Prefers a clock that also counts while the machine is suspended, because a lease keeps running for everybody else
# during that time. The event loop's clock does not count suspension, so a timer may fire late: code that acts under a
# lease checks this clock first.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> int:
    """Returns nanoseconds from a monotonic clock; the value has no meaning outside the current boot of this machine."""
    return time.clock_gettime_ns(_CLOCK)
