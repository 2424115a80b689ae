"""The settings of leases and the values derived from them. All times are in nanoseconds."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from fractions import Fraction

from garnetrelay.fleet.leases.messages import MAX_CONTROLLERS
from garnetrelay.fleet.partitions.hashing import check_partitions

MS = 1_000_000
SECOND = 1_000_000_000
MIN_CONTROLLERS = 3
MAX_RATE_ERROR = Fraction(1, 2)
PROTOCOL = 1  # part of the fingerprint: raised when a rule on which safety depends changes


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    The relays and controllers of a fleet must agree on those that ``fingerprint`` covers; the others may differ.
    """

    controllers: int = 5
    partitions: int = 8192
    lease: int = 15 * SECOND  # by the controller's clock, from when it receives a request
    rate_error: Fraction = Fraction(2, 100)  # how much any clock may run fast or slow at most
    renew_every: int = 4 * SECOND
    # An owner stops this long before its lease ends, to cover the time from the check to the first byte.
    write_margin: int = 200 * MS
    answer_timeout: int = SECOND
    request_gap: int = 50 * MS  # minimum between two requests to one controller
    first_retry: int = 500 * MS  # doubles up to ``max_retry``, with jitter
    max_retry: int = 8 * SECOND

    def __post_init__(self) -> None:
        check_partitions(self.partitions)
        if not MIN_CONTROLLERS <= self.controllers <= MAX_CONTROLLERS or self.controllers % 2 == 0:
            raise ValueError(f"controllers: {self.controllers} is not 3, 5, 7 or 9")
        if not 0 <= self.rate_error <= MAX_RATE_ERROR:
            raise ValueError(f"rate error: {self.rate_error} is not from 0 to {MAX_RATE_ERROR}")
        times = (self.lease, self.renew_every, self.answer_timeout, self.first_retry, self.max_retry)
        if min(times) <= 0 or min(self.write_margin, self.request_gap) < 0:
            raise ValueError("lease times are above 0")
        if self.first_retry > self.max_retry:
            raise ValueError("first_retry is above max_retry")
        if self.renew_every + self.answer_timeout + self.write_margin > self.holder_lease:
            raise ValueError(
                f"lease: {self.lease} ns is too short to renew every {self.renew_every} ns with a timeout and the margin"
            )

    @property
    def quorum(self) -> int:
        """Number of controllers that must grant a partition."""
        return self.controllers // 2 + 1

    @property
    def min_recovery_sources(self) -> int:
        """Number of other controllers whose records a starting one must read.

        Any set of this size overlaps with every quorum, even with the starting controller taken out of the quorum.
        """
        return self.controllers - self.quorum + 1

    @property
    def holder_lease(self) -> int:
        """How long an accepted request counts, by the relay's clock, from when the relay sent it.

        A lease lasts at least ``lease / (1 + error)`` if the controller's clock is fast, and the relay's part of it lasts
        at most ``holder_lease / (1 - error)`` if the relay's clock is slow.
        """
        return int(self.lease * (1 - self.rate_error) / (1 + self.rate_error))

    @property
    def fingerprint(self) -> int:
        """CRC-32 of the settings that all processes must agree on: controllers, partitions, lease, rate error."""
        text = f"{PROTOCOL} {self.controllers} {self.partitions} {self.lease} {self.rate_error}"
        return zlib.crc32(text.encode())
