"""What a subject of the measurement is: sizes, one run at one size, and the figures that are read off its runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from benchmarks.capacity.size import Budget, Mark, Unit
from benchmarks.capacity.slopes import Trend


class Quantity(NamedTuple):
    """One figure of a subject's samples."""

    field: str  # of the sample
    text: str
    unit: Unit
    at: float  # the size at which it is wanted
    budget: Budget | None = None


class Subject(NamedTuple):
    """Measured at several sizes, each in a process of its own."""

    name: str
    text: str
    of: str  # what the sizes count
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    sample: type[msgspec.Struct]
    measure: Callable[[int], Any]  # gives a sample
    quantities: tuple[Quantity, ...]


class Row(NamedTuple):
    """A line of the table. A row that is only computed has no trend."""

    subject: str
    text: str
    unit: Unit
    value: float  # at the size
    mark: Mark
    budget: Budget | None = None
    trend: Trend | None = None
    of: str = ""
    at: float | None = None  # the size that ``value`` belongs to
    reason: str = ""  # how it was computed

    def over(self) -> float | None:
        """How many times the budget it is; None without one."""
        return None if self.budget is None else self.value / self.budget.most


class Results:
    """All trends of one run, by subject and field."""

    def __init__(self) -> None:
        self._trends: dict[tuple[str, str], Trend] = {}

    def put(self, subject: str, field: str, trend: Trend) -> None:
        """Keep what was measured."""
        self._trends[subject, field] = trend

    def get(self, subject: str, field: str) -> Trend | None:
        """None where that subject was not run."""
        return self._trends.get((subject, field))
