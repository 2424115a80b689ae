"""A line through measured points: its slope, the error of that, where it bends, and its value at another size. No I/O."""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence
from typing import NamedTuple

from benchmarks.capacity.size import Mark

LEAST_RISE = 0.2  # of a value: a smaller rise between two sizes may be noise, and says nothing of a bend
BEND = 1.5  # two neighbouring slopes that differ by this factor
FLAT = 0.5  # points that all lie this near to the line, and no slope that stands out: flat
TINY = 1e-12


class Point(NamedTuple):
    """A value that was measured at a size."""

    size: float
    value: float


class Line(NamedTuple):
    """``value = base + slope * size``, fitted so that relative deviations are least."""

    base: float
    slope: float
    slope_error: float  # one standard error, nan with fewer than three points
    worst: float  # the greatest deviation of a point, as a part of its value

    @property
    def flat(self) -> bool:
        """No slope that stands out of its error: the values don't depend on the size, as far as was measured."""
        return self.worst <= FLAT and abs(self.slope) < 2 * self.slope_error  # false where the error is nan


class Trend(NamedTuple):
    """Points, the line through all of them, and the sizes at which it bends."""

    points: tuple[Point, ...]
    line: Line
    bends: tuple[float, ...]

    @property
    def last(self) -> Line:
        """The line that goes on behind the greatest size: through the points from the last bend on."""
        return fit([point for point in self.points if point.size >= self.bends[-1]]) if self.bends else self.line

    def at(self, size: float) -> tuple[float, Mark]:
        """The value at a size: as measured there, else on the line, behind a bend through the points from there on;
        where the line is flat, the greatest value that was measured."""
        for point in self.points:
            if point.size == size:
                return point.value, Mark.MEASURED
        if self.line.flat:
            return max(point.value for point in self.points), Mark.COMPUTED
        line = self.last
        return max(0.0, line.base + line.slope * size), Mark.COMPUTED


def fit(points: Sequence[Point]) -> Line:
    """Least squares of relative deviations; ValueError with fewer than two sizes."""
    if len({point.size for point in points}) < 2:
        raise ValueError("a line takes two sizes at least")
    weights = [1 / max(abs(point.value), TINY) ** 2 for point in points]
    total = sum(weights)
    mean_size = sum(w * p.size for w, p in zip(weights, points, strict=True)) / total
    mean_value = sum(w * p.value for w, p in zip(weights, points, strict=True)) / total
    spread = sum(w * (p.size - mean_size) ** 2 for w, p in zip(weights, points, strict=True))
    slope = sum(w * (p.size - mean_size) * (p.value - mean_value) for w, p in zip(weights, points, strict=True)) / spread
    base = mean_value - slope * mean_size
    deviations = [(base + slope * p.size - p.value) / max(abs(p.value), TINY) for p in points]
    free = len(points) - 2
    error = math.sqrt(sum(d * d for d in deviations) / free / spread) if free else math.nan
    return Line(base, slope, error, max(map(abs, deviations)))


def bends(points: Sequence[Point]) -> tuple[float, ...]:
    """The sizes at which the slope changes by ``BEND`` and more than noise may make of it."""
    found: list[float] = []
    before: tuple[float, float] | None = None
    for left, right in itertools.pairwise(points):
        least, most = _slopes(left, right)
        if before is not None:
            lowest = min(before[0] * BEND, before[0] / BEND)
            highest = max(before[1] * BEND, before[1] / BEND)
            if least > highest or most < lowest:
                found.append(left.size)
        before = least, most
    return tuple(found)


def _slopes(left: Point, right: Point) -> tuple[float, float]:
    """What the slope between two points may be: of a rise that may be noise only the bounds are known."""
    rise, span = right.value - left.value, right.size - left.size
    noise = LEAST_RISE * max(abs(left.value), abs(right.value))
    return (-noise / span, noise / span) if abs(rise) < noise else (rise / span, rise / span)


def trend(points: Sequence[Point]) -> Trend:
    """Of points in any order."""
    ordered = tuple(sorted(points))
    line = fit(ordered)
    return Trend(ordered, line, () if line.flat else bends(ordered))
