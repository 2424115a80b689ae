"""The shutdown of a relay after SIGTERM: its schedule, and the conditions under which the process may end.

It prevents three faults: a request that is read and never answered, an answer that is lost because its record is still
being written, and an end while messages or notices are pending and time is left for them.
"""

from __future__ import annotations

import asyncio
import logging
import time
from abc import ABC, abstractmethod
from collections.abc import Sized
from typing import TYPE_CHECKING

from garnetrelay.ends.notifier import EndNotifier
from garnetrelay.fronts.resp.server import Server
from garnetrelay.pending import PendingMessage
from garnetrelay.platform.notices import Notices
from starlingwick import interface as io

if TYPE_CHECKING:
    from garnetrelay.handover.receiver import PredecessorLink

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
STOP_TIMEOUT_NS = 3 * SECOND  # from SIGTERM to the end of the process: SIGKILL comes no sooner than after 3.7 s
DRAIN_DELAY_S = 0.6  # after SIGTERM: new connections arrive for up to 0.4 s
LAST_TICK_MARGIN_NS = SECOND // 4  # before the end: nothing is read after it, so clients have time to read their answers
RECORD_GRACE_NS = SECOND // 2  # beyond STOP_TIMEOUT_NS, for records that answers depend on: still before SIGKILL


class Shutdown(ABC):
    """The part of a relay that ends it. ``Relay`` sets the attributes and implements the abstract methods."""

    server: Server
    notices: Notices
    ends: EndNotifier
    predecessor: PredecessorLink | None  # the previous process, while it may still forward operator commands
    pending: dict[str, PendingMessage]  # by ref
    recovering: Sized  # read from the journal, not yet restored
    new_requests: Sized  # whose clients wait to be told whether they are accepted
    inbox: list[io.Event]
    tick_scheduled: bool
    unrecorded_ticks: int  # ticks whose records are still being written
    closed: bool  # the relay was handed over to a new process
    stopping: bool
    stop_deadline_passed: bool
    finished: asyncio.Event  # set: this process may end

    @abstractmethod
    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick."""

    @abstractmethod
    def tick(self) -> None:
        """Let the Pacer decide on all queued events."""

    def stop(self) -> None:
        """Handle SIGTERM: keep serving while new connections arrive, then let calls end, then end the process."""
        if self.closed:  # the relay was handed over to a new process
            self.finished.set()
        if self.stopping or self.closed:
            return
        self.stopping = True
        if self.predecessor is not None:
            self.predecessor.bye()
        log.info("stopping: %d messages held", len(self.pending))
        at = time.monotonic_ns() + STOP_TIMEOUT_NS
        self.post(io.Stopping(at))
        loop = asyncio.get_running_loop()
        loop.call_later(DRAIN_DELAY_S, self._drain)
        loop.call_at((at - LAST_TICK_MARGIN_NS) / SECOND, self._last_tick)
        loop.call_at(at / SECOND, self._on_stop_deadline)

    def _last_tick(self) -> None:
        """Answer what has been read, and read nothing more: a request that is read and not answered is lost, while the
        client submits one that was left unread again."""
        if not self.closed:
            self.server.end()
            self.tick()

    def _on_stop_deadline(self) -> None:
        """End the process once all that clients were told is on record."""
        self.stop_deadline_passed = True
        if self.unrecorded_ticks and not self.closed:
            asyncio.get_running_loop().call_later(RECORD_GRACE_NS / SECOND, self.finished.set)
        else:
            self.finished.set()

    def _drain(self) -> None:
        self.server.drain()
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        """Let the process end if no message, notice, record or request is outstanding and none can still arrive on an
        open connection."""
        if self.server.draining and not (
            self.pending
            or self.recovering
            or self.notices.queue
            or self.ends.waiting
            or self.unrecorded_ticks
            or self.tick_scheduled
            or self.inbox
            or self.new_requests
            or self.server.connections
            or self.server.listener.listening
        ):
            self.finished.set()
