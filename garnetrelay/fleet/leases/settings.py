"""The figures of leases, and what follows from them. Times in nanoseconds."""

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
PROTOCOL = 1  # in the terms: raised when rules change on which safety rests


@dataclass(frozen=True, slots=True)
class Settings:
    """Relays and controllers of one fleet must agree on ``terms``; the other figures are each process's own."""

    controllers: int = 5
    partitions: int = 8192
    lease: int = 15 * SECOND  # by the controller's clock, from the receipt of a request
    rate_error: Fraction = Fraction(2, 100)  # of each clock, fast or slow, at most
    renew_every: int = 4 * SECOND
    write_margin: int = 200 * MS  # an owner stops so long before its end: from the look to the first byte
    answer_timeout: int = SECOND
    request_gap: int = 50 * MS  # between two requests to one controller, at least
    first_retry: int = 500 * MS  # doubles up to ``max_retry``; each with a random part
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
        if self.renew_every + self.answer_timeout + self.write_margin > self.holder_time:
            raise ValueError(
                f"lease: {self.lease} ns is too short to renew every {self.renew_every} ns with a timeout and the margin"
            )

    @property
    def quorum(self) -> int:
        """Controllers that have to grant."""
        return self.controllers // 2 + 1

    @property
    def min_recovery_sources(self) -> int:
        """Other controllers whose records a starting one reads: any such set meets the rest of every quorum."""
        return self.controllers - self.quorum + 1

    @property
    def holder_time(self) -> int:
        """For so long from its sending, by the relay's clock, a request that was accepted counts.

        A lease lasts ``lease / (1 + error)`` at least where the controller's clock is fast, and the relay's time lasts
        ``holder_time / (1 - error)`` at most where its clock is slow.
        """
        return int(self.lease * (1 - self.rate_error) / (1 + self.rate_error))

    @property
    def fingerprint(self) -> int:
        """32 bits that stand for what all must agree on: controllers, partitions, lease, rate error."""
        text = f"{PROTOCOL} {self.controllers} {self.partitions} {self.lease} {self.rate_error}"
        return zlib.crc32(text.encode())
