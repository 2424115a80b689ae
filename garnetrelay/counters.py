"""Counters of ended messages, by class and kind of end, since the start of the process. No I/O."""

from __future__ import annotations

from collections.abc import Sequence


class Counters:
    """Messages by class and kind of end, and reloads of the configuration."""

    __slots__ = ("served", "refused", "failed", "reloads_ok", "reloads_failed")

    def __init__(self, classes: Sequence[str]) -> None:
        self.served = dict.fromkeys(classes, 0)
        self.refused = dict.fromkeys(classes, 0)
        self.failed = dict.fromkeys(classes, 0)
        self.reloads_ok = 0
        self.reloads_failed = 0
