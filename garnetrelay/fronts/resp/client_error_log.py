"""Logs clients' errors at a limited rate: a client that sends malformed data at full speed must not flood the log."""

from __future__ import annotations

import logging
from collections import deque

MAX_CLIENT_LOGS_PER_S = 10


class ClientErrorLog:
    """Log lines about what clients send."""

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._times: deque[float] = deque(maxlen=MAX_CLIENT_LOGS_PER_S)
        self._suppressed = 0

    def add(self, now: float, text: str) -> None:
        """Log a line, or count it if there were too many within the last second. ``now``: seconds of any clock."""
        if len(self._times) == MAX_CLIENT_LOGS_PER_S and self._times[0] > now - 1:
            self._suppressed += 1
            return
        if self._suppressed:
            text += f" ({self._suppressed} more like this not logged)"
            self._suppressed = 0
        self._times.append(now)
        # A client's line break must not begin a line of the log.
        self._log.info("%s", "".join(character if character.isprintable() else "?" for character in text))
