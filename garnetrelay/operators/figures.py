"""Figures of a relay in the text form of Prometheus. No I/O.

What happens is counted where it happens (``counters.py``), from the start of the process; the rest is asked of the relay
when the figures are fetched, so that they are never old.
"""

from __future__ import annotations

from garnetrelay.counters import Counters


def escaped(label: str) -> str:
    """A label's value as the text form writes it."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def text(counts: Counters, attempts: int, in_flight: int, known: int, excluded: int) -> str:
    """All figures, a line each: messages, calls written whole to hosts, messages held, hosts."""
    lines = [
        f'relay_{name}{{class="{escaped(klass)}"}} {count}'
        for name, by_class in (("served", counts.served), ("refused", counts.refused), ("failed", counts.failed))
        for klass, count in by_class.items()
    ]
    for name, value in (
        ("attempts", attempts),
        ("in_flight", in_flight),
        ("hosts_known", known),
        ("hosts_excluded", excluded),
        ("reloads_ok", counts.reloads_ok),
        ("reloads_failed", counts.reloads_failed),
    ):
        lines.append(f"relay_{name} {value}")
    return "\n".join(lines) + "\n"
