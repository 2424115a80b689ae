"""Where all that is observed comes together: the checker hears it at once, and a recording keeps it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker import Checker, Verdict
from garnetrelay.rehearsal.clock import Clock
from garnetrelay.rehearsal.tally import Tally

BUFFER = 1 << 18


class Observer:
    """Takes events in the order in which they are observed. ``on_verdict`` hears of each verdict as it falls."""

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
        self._told = 0
        self._encoder = msgspec.json.Encoder()
        self._buffer = bytearray()
        self._file = None if recording is None else recording.open("wb")
        if header is not None:
            self._record(header)

    def see(self, event: ev.Event) -> None:
        """One more event."""
        self.checker.take(event)
        self.tally.take(event)
        if self._file is not None:
            self._record(event)
        verdicts = self.checker.verdicts
        while self._told < len(verdicts):
            self._told += 1
            if self.on_verdict is not None:
                self.on_verdict(verdicts[self._told - 1])

    def _record(self, value: ev.Event | ev.Header) -> None:
        if self._file is None:
            return
        self._encoder.encode_into(value, self._buffer, len(self._buffer))
        self._buffer += b"\n"
        if len(self._buffer) > BUFFER:
            self.flush()

    def flush(self) -> None:
        """Write what is buffered."""
        if self._file is not None:
            self._file.write(self._buffer)
            self._file.flush()
            self._buffer.clear()

    def close(self) -> None:
        """Write what is left and close the record of the run."""
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    # Often used: what a stand-in does itself happens at one time; what it reads, between two.

    def did(self) -> tuple[int, int]:
        """``at`` and ``since`` of what a stand-in does now."""
        now = self.clock.now()
        return now, now

    def read(self) -> tuple[int, int]:
        """``at`` and ``since`` of what was read in this round of the loop."""
        return self.clock.now(), self.clock.since

    def ended(self) -> tuple[int, int]:
        """``at`` and ``since`` of a connection's end that the loop tells in this round."""
        return self.clock.now(), self.clock.earlier
