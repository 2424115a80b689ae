"""Collects all observed events: passes them to the checker and the tally, and writes them to a recording."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker import Checker, Verdict
from garnetrelay.rehearsal.clock import Clock
from garnetrelay.rehearsal.tally import Tally

MAX_BUFFER_BYTES = 1 << 18


class Observer:
    """Receives events in the order of observation. ``on_verdict`` is called for each verdict as soon as it is reached."""

    def __init__(
        self,
        clock: Clock,
        checker: Checker,
        tally: Tally,
        recording: Path | None = None,
        header: ev.Header | None = None,
        on_verdict: Callable[[Verdict], None] | None = None,
    ) -> None:
        self.clock = clock
        self.checker = checker
        self.tally = tally
        self.on_verdict = on_verdict
        self._reported = 0
        self._encoder = msgspec.json.Encoder()
        self._buffer = bytearray()
        self._file = None if recording is None else recording.open("wb")
        if header is not None:
            self._write(header)

    def record(self, event: ev.Event) -> None:
        """Process one event."""
        self.checker.take(event)
        self.tally.take(event)
        if self._file is not None:
            self._write(event)
        verdicts = self.checker.verdicts
        while self._reported < len(verdicts):
            self._reported += 1
            if self.on_verdict is not None:
                self.on_verdict(verdicts[self._reported - 1])

    def _write(self, value: ev.Event | ev.Header) -> None:
        if self._file is None:
            return
        self._encoder.encode_into(value, self._buffer, len(self._buffer))
        self._buffer += b"\n"
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered events to the recording."""
        if self._file is not None:
            self._file.write(self._buffer)
            self._file.flush()
            self._buffer.clear()

    def close(self) -> None:
        """Write the buffered events and close the recording."""
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    # An action of a simulated peer has one time; data that it reads arrived between two times.

    def action_time(self) -> tuple[int, int]:
        """``at`` and ``since`` of an action of a simulated peer."""
        now = self.clock.now()
        return now, now

    def read_time(self) -> tuple[int, int]:
        """``at`` and ``since`` of data that was read in this iteration of the loop."""
        return self.clock.now(), self.clock.since

    def close_time(self) -> tuple[int, int]:
        """``at`` and ``since`` of the end of a connection that the loop reports in this iteration."""
        return self.clock.now(), self.clock.previous_since
