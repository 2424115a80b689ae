"""The figures of failure detection, and the formulas that follow from them. Times in nanoseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All of a fleet's relays should have the same; only bounds depend on it, no rule does."""

    probe_interval: int = SECOND  # T: a member is probed once in so long
    probe_timeout: int = 300 * MS  # for the direct answer; the rest of the period is for those who ask for us
    indirect_probes: int = 3  # k: members that ask for us
    suspicion_multiplier: float = 4.0  # alpha: least time of a suspicion, in periods by log10 of the members
    max_suspicion_multiplier: float = 6.0  # beta: the longest, in times of the least
    confirmations: int = 3  # K: others' suspicions that bring it down to the least
    retransmit_multiplier: int = 4  # lambda: a claim is told so often by log10 of the members
    max_slowdown: int = 8  # S: how far local health may slow a relay down
    exchange_interval: int = 30 * SECOND
    forget_after: int = 600 * SECOND  # a failed or left member is listed for so long
    max_members: int = 1000
    lifeguard: bool = True  # off: plain SWIM, for comparison
    versions: int = 2  # the highest version of frames that is spoken
    max_observations: int = 48  # of others on an answer
    max_frame_bytes: int = 1200  # bytes of a datagram; 256 on the simulator's wire
    digests: bool = True  # full exchanges tell what is held alike; not on the simulator's wire, where views are presumed

    def __post_init__(self) -> None:
        if self.probe_timeout * 2 > self.probe_interval:
            raise ValueError("the time for a direct answer may be half of the time between two probes at most")

    def log_scale(self, members: int) -> int:
        """ceil(log10(n + 1)): how far words have to go."""
        return max(1, math.ceil(math.log10(members + 1)))

    def min_suspicion_time(self, members: int) -> int:
        """alpha * max(1, log10 n) * T."""
        return int(self.suspicion_multiplier * max(1.0, math.log10(max(1, members))) * self.probe_interval)

    def max_suspicion_time(self, members: int) -> int:
        """beta times the least; without Lifeguard the least itself."""
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
        """Out of doubt no sooner: a word has gone round by then. (repeats * scale + 2) periods, at most ten."""
        return min(10, self.retransmit_multiplier * self.log_scale(members) // 2 + 2) * self.probe_interval

    def exchange_gap(self, members: int) -> int:
        """Between two full exchanges, in the mean. Frames of version 1 don't tell of other views, so that nothing else
        brings words that were lost: there it is a sixth."""
        return self.exchange_interval * self.log_scale(members) // (1 if self.versions > 1 else 6)

    @property
    def contact_interval(self) -> int:
        """Between two tries to reach someone who is held to have failed, or a seed that is not in the view."""
        return 2 * self.probe_interval

    @property
    def recent_failure_window(self) -> int:
        """For so long a failure counts as one of many at once."""
        return 30 * self.probe_interval

    @property
    def alone_timeout(self) -> int:
        """With no answer from anybody for so long, a relay is alone: three probes."""
        return 3 * self.probe_interval

    def max_observation_age(self, members: int) -> int:
        """What the age of the word of a member may reach where links are whole: it is probed by this relay at least once
        in 2n - 1 periods (shuffled rounds: first in one, last in the next), and one answer more may be under way."""
        return (2 * max(1, members - 1)) * self.probe_interval + self.probe_timeout
