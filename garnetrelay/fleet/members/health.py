"""Lifeguard's local health (section IV-A): how much a relay slows down its own probes and failure declarations. No
I/O."""

from __future__ import annotations

from garnetrelay.fleet.members.settings import Settings


class LocalHealth:
    """``slow`` is 0 in good health and at most S of the settings; timeouts are multiplied by ``slow`` + 1. Without
    Lifeguard it stays 0."""

    def __init__(self, settings: Settings) -> None:
        self.slow = 0
        self._settings = settings

    def change(self, by: int) -> None:
        """Raises it after events that this relay itself may have caused, lowers it after an answer in time."""
        if self._settings.lifeguard:
            self.slow = min(self._settings.max_slowdown, max(0, self.slow + by))
