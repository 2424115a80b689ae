"""Figures of a relay in the text form of Prometheus. No I/O.

What happens is counted where it happens (``counters.py``), from the start of the process; the rest is asked of the relay
when the figures are fetched, so that they are never old.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from garnetrelay.counters import Counters


@dataclass(frozen=True, slots=True)
class Gauges:
    """Figures that go by no class, under their names behind ``relay_``. Counts are since the process's start."""

    attempts: int  # messages written whole to hosts
    in_flight: int  # taken on and not ended
    hosts_known: int
    hosts_excluded: int  # of those, the ones that get no ordinary work
    reloads_ok: int
    reloads_failed: int
    discovery_calls: int
    discovery_failures: int  # calls that failed and watches that broke, as the schedule of calls counts them
    list_version: int  # in force, as discovery's present address counts
    list_watched: int  # 1: a watch at that address tells changes; 0: the list may be old


def escaped(label: str) -> str:
    """A label's value as the text form writes it."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def text(counts: Counters, gauges: Gauges) -> str:
    """All figures, a line each."""
    lines = [
        f'relay_{name}{{class="{escaped(klass)}"}} {count}'
        for name, by_class in (("served", counts.served), ("refused", counts.refused), ("failed", counts.failed))
        for klass, count in by_class.items()
    ]
    lines += [f"relay_{name} {value}" for name, value in dataclasses.asdict(gauges).items()]
    return "\n".join(lines) + "\n"
