"""Lifeguard's local health (section IV-A): how far a relay slows down its own probes and judgements. No I/O."""

from __future__ import annotations

from garnetrelay.fleet.members.settings import Settings


class LocalHealth:
    """``slow``: 0 in good health, at most S of the settings; times are ``slow`` + 1 times as long. Without Lifeguard it
    stays 0."""

    def __init__(self, settings: Settings) -> None:
        self.slow = 0
        self._settings = settings

    def change(self, by: int) -> None:
        """Up by what may be this relay's own fault, down by an answer in time."""
        if self._settings.lifeguard:
            self.slow = min(self._settings.max_slowdown, max(0, self.slow + by))
