"""A relay's metrics in the text format of Prometheus. No I/O.

Counters (``counters.py``) count events as they happen, from the start of the process. Gauges are read from the relay when
the metrics are fetched, so they are always current.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from garnetrelay.counters import Counters


@dataclass(frozen=True, slots=True)
class Gauges:
    """Metrics without a class label. A field's name after ``relay_`` is the metric's name. Counts since process start."""

    attempts: int  # messages written completely to hosts
    in_flight: int  # accepted and not ended
    hosts_known: int
    hosts_excluded: int  # of the known hosts, those that get no regular messages
    reloads_ok: int
    reloads_failed: int
    discovery_calls: int
    discovery_failures: int  # failed calls and broken watches, as the retry schedule counts them
    list_version: int  # of the list in force, as numbered by discovery at its current address
    list_watched: int  # 1: a watch at that address reports changes; 0: the list may be outdated


def escape_label(label: str) -> str:
    """Escapes a label's value for the text format."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def render(counts: Counters, gauges: Gauges) -> str:
    """All metrics, a line each."""
    lines = [
        f'relay_{name}{{class="{escape_label(klass)}"}} {count}'
        for name, by_class in (("served", counts.served), ("refused", counts.refused), ("failed", counts.failed))
        for klass, count in by_class.items()
    ]
    lines += [f"relay_{name} {value}" for name, value in dataclasses.asdict(gauges).items()]
    return "\n".join(lines) + "\n"
