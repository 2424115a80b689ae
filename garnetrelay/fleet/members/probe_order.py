"""Whose turn it is: SWIM's shuffled rounds, and whose word is told next. No I/O.

Each member is probed once in a round, and a newcomer enters the present round at a place that is drawn: between two
probes of a member by this relay there are at most 2n - 1 others.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Collection, Iterable


class Rounds:
    """The order in which members are probed, and that in which their words are told."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._order: list[str] = []  # the rest of this round, the next one last
        self._telling: deque[str] = deque()

    def __len__(self) -> int:
        return len(self._telling)

    def enter(self, name: str) -> None:
        """A newcomer."""
        self._order.insert(self._draw.randint(0, len(self._order)), name)
        self._telling.append(name)

    def again(self, name: str) -> None:
        """Its probe came to nothing by this relay's own fault."""
        self._order.append(name)

    def choose(self, members: Collection[str]) -> str | None:
        """The next of the round; a new round is shuffled."""
        for _ in range(2):
            while self._order:
                name = self._order.pop()
                if name in members:
                    return name
            self._order = list(members)
            self._draw.shuffle(self._order)
            self._telling = deque(self._draw.sample(self._order, len(self._order)))
        return None

    def told_next(self, most: int) -> list[str]:
        """Whose words are weighed for the next frame."""
        found = list(itertools.islice(self._telling, most))
        self._telling.rotate(-len(found))
        return found

    def sample(self, names: Iterable[str], most: int) -> list[str]:
        """Some of them."""
        found = list(names)
        return self._draw.sample(found, min(most, len(found)))
