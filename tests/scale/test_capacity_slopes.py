"""Line fits through measured points: slope, error, bends, values at other sizes."""

from __future__ import annotations

import math

import pytest

from benchmarks.capacity.size import Mark
from benchmarks.capacity.slopes import Point, bends, fit, trend

SIZES = (10.0, 100.0, 1_000.0, 10_000.0)


def straight(base: float, slope: float) -> list[Point]:
    return [Point(size, base + slope * size) for size in SIZES]


def test_a_straight_line_is_found_without_error_or_bend() -> None:
    line = trend(straight(5.0, 2.0))
    assert line.line.slope == pytest.approx(2.0)
    assert line.line.base == pytest.approx(5.0)
    assert line.line.slope_error == pytest.approx(0.0, abs=1e-9)
    assert line.bends == ()
    value, mark = line.at(260_000)
    assert value == pytest.approx(520_005.0)
    assert mark is Mark.COMPUTED


def test_a_measured_size_returns_the_measured_value() -> None:
    points = straight(5.0, 2.0)
    points[-1] = Point(10_000, 21_000.0)
    assert trend(points).at(10_000) == (21_000.0, Mark.MEASURED)


def test_a_bend_is_located_and_larger_sizes_use_only_the_points_behind_it() -> None:
    points = [Point(10, 10.0), Point(100, 100.0), Point(1_000, 1_000.0), Point(2_000, 11_000.0), Point(3_000, 21_000.0)]
    line = trend(points)
    assert line.bends == (1_000,)
    assert line.at(10_000)[0] == pytest.approx(91_000.0)
    assert line.line.worst > 0.1  # the line through all points does not fit


def test_a_line_that_levels_off_has_a_bend() -> None:
    assert bends([Point(10, 10.0), Point(100, 100.0), Point(1_000, 105.0)]) == (100,)


def test_noise_is_not_a_bend() -> None:
    noisy = [Point(p.size, p.value * (1.1 if n % 2 else 0.9)) for n, p in enumerate(straight(0.0, 2.0))]
    line = trend(noisy)
    assert line.bends == ()
    assert 0 < line.line.slope_error < 0.3
    assert line.line.worst == pytest.approx(0.1, abs=0.05)


def test_a_value_independent_of_the_size_is_flat_and_not_negative() -> None:
    line = trend([Point(10, 5.0), Point(100, 5.3), Point(1_000, 4.9), Point(10_000, 5.1)])
    assert line.line.flat
    assert line.at(260_000) == (5.3, Mark.COMPUTED)


def test_a_value_that_rises_only_at_the_end_is_not_flat() -> None:
    line = trend([Point(10, 1.0), Point(100, 1.0), Point(1_000, 1.0), Point(10_000, 10.0), Point(20_000, 20.0)])
    assert not line.line.flat
    assert line.at(100_000)[0] > 90


def test_two_sizes_give_a_slope_without_an_error() -> None:
    line = fit([Point(10, 10.0), Point(100, 100.0)])
    assert line.slope == pytest.approx(1.0)
    assert math.isnan(line.slope_error)
    assert not line.flat


def test_one_size_is_an_error() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit([Point(10, 1.0), Point(10, 1.1)])


def test_small_rises_are_noise_and_not_a_bend() -> None:
    assert bends([Point(26, 0.31), Point(260, 0.33), Point(2_600, 0.32), Point(26_000, 0.36)]) == ()
