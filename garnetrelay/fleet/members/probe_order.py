"""Order in which members are probed (SWIM's shuffled rounds), and in which observations of them are reported.

Each member is probed once per round, and a new member enters the current round at a random position: there are at most
2n - 1 other probes between two probes of a member by this relay.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Collection, Iterable


class ProbeOrder:
    """The order in which members are probed, and the order in which they are reported to others."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining: list[str] = []  # the rest of this round, the next target last
        self._report_order: deque[str] = deque()

    def __len__(self) -> int:
        return len(self._report_order)

    def add(self, name: str) -> None:
        """Adds a new member."""
        self._remaining.insert(self._rng.randint(0, len(self._remaining)), name)
        self._report_order.append(name)

    def put_back(self, name: str) -> None:
        """Makes a member the next target again, because its probe failed through this relay's own fault."""
        self._remaining.append(name)

    def next_target(self, members: Collection[str]) -> str | None:
        """Returns the next member of the round; starts a newly shuffled round when the current one is exhausted."""
        for _ in range(2):
            while self._remaining:
                name = self._remaining.pop()
                if name in members:
                    return name
            self._remaining = list(members)
            self._rng.shuffle(self._remaining)
            self._report_order = deque(self._rng.sample(self._remaining, len(self._remaining)))
        return None

    def next_to_report(self, limit: int) -> list[str]:
        """Returns the members whose observations are considered for the next frame."""
        found = list(itertools.islice(self._report_order, limit))
        self._report_order.rotate(-len(found))
        return found

    def sample(self, names: Iterable[str], limit: int) -> list[str]:
        """Returns a random sample of the names."""
        found = list(names)
        return self._rng.sample(found, min(limit, len(found)))
