"""Prints the table: figures with their units, slopes, bends, budgets and verdicts."""

from __future__ import annotations

import math
from collections.abc import Iterable

from benchmarks.capacity.size import Unit
from benchmarks.capacity.subject import Row

SCALES: dict[Unit, tuple[tuple[float, str], ...]] = {
    Unit.BYTES: ((1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")),
    Unit.BYTES_A_SECOND: ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "KB/s"), (1.0, "B/s")),
    Unit.SECONDS: ((3600.0, "h"), (1.0, "s"), (1e-3, "ms"), (1e-6, "us"), (1e-9, "ns")),
    Unit.CORES: ((0.01, "% of a core"),),
    Unit.COUNT: ((1.0, ""),),
}
NO_BUDGET = "none told"


def quantity(value: float, unit: Unit) -> str:
    """Three digits and a unit of a fitting scale."""
    scale, name = next((one for one in SCALES[unit] if abs(value) >= one[0]), SCALES[unit][-1])
    number = value / scale
    if 0 < abs(number) < 0.1:
        return f"{number:.2g} {name}".strip()
    digits = 0 if abs(number) >= 100 or unit is Unit.COUNT and number == round(number) else 1 if abs(number) >= 10 else 2
    return f"{number:,.{digits}f} {name}".strip()


def sizes(row: Row) -> str:
    """The sizes that were measured."""
    if row.trend is None:
        return "-"
    return " ".join(f"{point.size:,.0f}" for point in row.trend.points)


def slope(row: Row) -> str:
    """The slope with its standard error, and the worst point."""
    if row.trend is None:
        return row.reason or "-"
    line = row.trend.line
    if line.flat:
        return f"flat, worst point {line.worst:.0%}"
    error = "" if math.isnan(line.slope_error) or not line.slope else f" +-{abs(line.slope_error / line.slope):.0%}"
    behind = f"; {quantity(row.trend.last.slope, row.unit)} behind the bend" if row.trend.bends else ""
    return f"{quantity(line.slope, row.unit)}{error}, worst point {line.worst:.0%}{behind}"


def bends(row: Row) -> str:
    """Where the line bends."""
    if row.trend is None:
        return "-"
    return "at " + ", ".join(f"{size:,.0f}" for size in row.trend.bends) if row.trend.bends else "no"


def verdict(row: Row) -> str:
    """Whether the budget holds, and by how much not."""
    over = row.over()
    if over is None:
        return "-"
    return f"holds, {over:.1%} of it" if over <= 1 else f"NO, {over:.1f} times it"


def budget(row: Row) -> str:
    """The budget and who set it."""
    if row.budget is None:
        return NO_BUDGET
    return f"{quantity(row.budget.most, row.unit)} ({row.budget.name}, {row.budget.mark.value})"


HEADS = ("subject", "figure", "sizes", "slope for each one more", "bends", "at", "figure", "mark", "budget", "verdict")


def cells(row: Row) -> tuple[str, ...]:
    """A row as text."""
    at = "" if row.at is None else f"{row.at:,.0f}"
    value = quantity(row.value, row.unit)
    return (
        row.subject,
        row.text,
        sizes(row),
        slope(row),
        bends(row),
        at,
        value,
        row.mark.value,
        budget(row),
        verdict(row),
    )


def show(rows: Iterable[Row]) -> str:
    """The table in Markdown, so that the page is this output."""
    lines = [HEADS, tuple("---" for _ in HEADS), *map(cells, rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
