"""Whose turn it is: SWIM's shuffled rounds, and whose word is told next. No I/O.

Each member is probed once in a round, and a newcomer enters the present round at a place that is drawn: between two
probes of a member by this relay there are at most 2n - 1 others.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Collection, Iterable


class ProbeOrder:
    """The order in which members are probed, and that in which their words are told."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._remaining: list[str] = []  # the rest of this round, the next one last
        self._report_order: deque[str] = deque()

    def __len__(self) -> int:
        return len(self._report_order)

    def add(self, name: str) -> None:
        """A newcomer."""
        self._remaining.insert(self._draw.randint(0, len(self._remaining)), name)
        self._report_order.append(name)

    def put_back(self, name: str) -> None:
        """Its probe came to nothing by this relay's own fault."""
        self._remaining.append(name)

    def next_target(self, members: Collection[str]) -> str | None:
        """The next of the round; a new round is shuffled."""
        for _ in range(2):
            while self._remaining:
                name = self._remaining.pop()
                if name in members:
                    return name
            self._remaining = list(members)
            self._draw.shuffle(self._remaining)
            self._report_order = deque(self._draw.sample(self._remaining, len(self._remaining)))
        return None

    def next_to_report(self, limit: int) -> list[str]:
        """Whose words are weighed for the next frame."""
        found = list(itertools.islice(self._report_order, limit))
        self._report_order.rotate(-len(found))
        return found

    def sample(self, names: Iterable[str], limit: int) -> list[str]:
        """Some of them."""
        found = list(names)
        return self._draw.sample(found, min(limit, len(found)))
