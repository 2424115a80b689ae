"""The clock by which leases are reckoned."""

from __future__ import annotations

import time

# Where the system has it, a clock that also counts while the machine is suspended: for everybody else a lease runs on
# then. The event loop's clock does not, so a timer may come late; whoever acts under a lease asks this clock first.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> int:
    """Nanoseconds; never goes back, and has no meaning outside this machine's current boot."""
    return time.clock_gettime_ns(_CLOCK)
