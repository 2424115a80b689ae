"""The parameters of failure detection, and the formulas derived from them. Times are in nanoseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All relays of a fleet should have the same settings; only time and size bounds depend on that, correctness does
    not."""

    probe_interval: int = SECOND  # T: one member is probed per period
    probe_timeout: int = 300 * MS  # for the direct answer; the rest of the period is for indirect probes
    indirect_probes: int = 3  # k: members that probe on this relay's behalf
    suspicion_multiplier: float = 4.0  # alpha: minimum suspicion time, in periods times log10 of the members
    max_suspicion_multiplier: float = 6.0  # beta: maximum suspicion time, as a multiple of the minimum
    confirmations: int = 3  # K: confirmations by other members that reduce the time to the minimum
    retransmit_multiplier: int = 4  # lambda: transmissions of a claim, times log10 of the members
    max_slowdown: int = 8  # S: upper bound of the local health multiplier
    exchange_interval: int = 30 * SECOND
    forget_after: int = 600 * SECOND  # how long a failed or left member stays listed
    max_members: int = 1000
    lifeguard: bool = True  # False: plain SWIM, for comparison
    versions: int = 2  # the highest frame version that is used
    max_observations: int = 48  # observations of others in an answer
    max_frame_bytes: int = 1200  # of a datagram; 256 on the simulator's wire
    digests: bool = True  # in full exchanges; off on the simulator's wire, where all relays start with the same claims

    def __post_init__(self) -> None:
        if self.probe_timeout * 2 > self.probe_interval:
            raise ValueError("probe_timeout must not exceed half of probe_interval")

    def log_scale(self, members: int) -> int:
        """ceil(log10(n + 1)): the growth of dissemination time with the number of members."""
        return max(1, math.ceil(math.log10(members + 1)))

    def min_suspicion_time(self, members: int) -> int:
        """alpha * max(1, log10 n) * T."""
        return int(self.suspicion_multiplier * max(1.0, math.log10(max(1, members))) * self.probe_interval)

    def max_suspicion_time(self, members: int) -> int:
        """beta times the minimum; without Lifeguard the minimum itself."""
        return int(self.min_suspicion_time(members) * (self.max_suspicion_multiplier if self.lifeguard else 1))

    def suspicion_time(self, members: int, confirmed: int) -> int:
        """Lifeguard, section IV-B: max - (max - min) * log(C + 1) / log(K + 1), at least min."""
        least, longest = self.min_suspicion_time(members), self.max_suspicion_time(members)
        possible = min(self.confirmations, max(0, members - 2))
        if possible == 0:
            return least
        share = math.log(min(confirmed, possible) + 1) / math.log(possible + 1)
        return max(least, int(longest - (longest - least) * share))

    def settle_time(self, members: int) -> int:
        """How long better facts have to last before the condition improves: the time in which a claim has reached
        every member. retransmit_multiplier * log_scale / 2 + 2 periods, at most ten."""
        return min(10, self.retransmit_multiplier * self.log_scale(members) // 2 + 2) * self.probe_interval

    def exchange_gap(self, members: int) -> int:
        """Mean time between two full exchanges. Version 1 frames do not report that views differ, so full exchanges
        are the only way to recover lost claims: there the interval is a sixth."""
        return self.exchange_interval * self.log_scale(members) // (1 if self.versions > 1 else 6)

    @property
    def contact_interval(self) -> int:
        """Time between two attempts to contact a member declared failed, or a seed that is not in the view."""
        return 2 * self.probe_interval

    @property
    def recent_failure_window(self) -> int:
        """How long a failure counts as part of a simultaneous failure of many members."""
        return 30 * self.probe_interval

    @property
    def alone_timeout(self) -> int:
        """A relay without any answer for this long is alone: three probes."""
        return 3 * self.probe_interval

    def max_observation_age(self, members: int) -> int:
        """Upper bound of the age of an observation while all links work: this relay probes each member at least once
        in 2n - 1 periods (shuffled rounds: first in one round, last in the next), and one more answer may be under
        way."""
        return (2 * max(1, members - 1)) * self.probe_interval + self.probe_timeout
