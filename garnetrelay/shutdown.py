"""The end of a relay that was told to stop: what comes in which second, and when it may go.

Owned here: the times from SIGTERM on. Guards against a request that is read and left without an answer, against an answer
whose record is still on its way, and against an end while anything is held or owed that has time left.
"""

from __future__ import annotations

import asyncio
import logging
import time
from abc import ABC, abstractmethod
from collections.abc import Sized
from typing import TYPE_CHECKING

from garnetrelay.fronts.resp.server import Server
from garnetrelay.pending import PendingMessage
from garnetrelay.platform.notices import Notices
from starlingwick import interface as io

if TYPE_CHECKING:
    from garnetrelay.handover.receiver import PredecessorLink

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
STOP_TIMEOUT_NS = 3 * SECOND  # from SIGTERM to our end: SIGKILL comes no sooner than after 3.7 s
DRAIN_AFTER = 0.6  # seconds after SIGTERM: new connections come for up to 0.4 s
LAST_TURN = SECOND // 4  # before our end: nothing is read from then on, and clients read what they are answered
LAST_RECORD = SECOND // 2  # behind STOP_TIMEOUT_NS, for records that answers wait for: still ahead of SIGKILL


class Shutdown(ABC):
    """The part of a relay that ends it. ``Relay`` owns what is declared here, and says what is abstract."""

    server: Server
    notices: Notices
    predecessor: PredecessorLink | None  # the process before, while it has something to say
    pending: dict[str, PendingMessage]  # by ref
    recovering: Sized  # picked up, and not yet with the Pacer
    new_requests: Sized  # whose clients wait to hear whether they are taken on
    inbox: list[io.Event]
    tick_scheduled: bool
    unrecorded_ticks: int  # turns whose records are on their way to the disk
    closed: bool  # the relay has passed to a new process
    stopping: bool
    time_is_up: bool
    finished: asyncio.Event  # set: this process may end

    @abstractmethod
    def post(self, event: io.Event) -> None:
        """Let the next turn take up an event."""

    @abstractmethod
    def tick(self) -> None:
        """Decide on all that has come."""

    def stop(self) -> None:
        """SIGTERM: serve on while new connections come, then end calls, then ourselves."""
        if self.closed:  # the relay has passed to a new process
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
        loop.call_later(DRAIN_AFTER, self._drain)
        loop.call_at((at - LAST_TURN) / SECOND, self._last_tick)
        loop.call_at(at / SECOND, self._time_is_up)

    def _last_tick(self) -> None:
        """What has been read is answered, and nothing more is read: a request that we read and leave without an answer
        is lost, one that lies unread its client hands in again."""
        if not self.closed:
            self.server.end()
            self.tick()

    def _time_is_up(self) -> None:
        """The end, once all that was promised is on record."""
        self.time_is_up = True
        if self.unrecorded_ticks and not self.closed:
            asyncio.get_running_loop().call_later(LAST_RECORD / SECOND, self.finished.set)
        else:
            self.finished.set()

    def _drain(self) -> None:
        self.server.drain()
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        """The end, unless anything is held, owed, on its way, or may yet come on a connection that is open."""
        if self.server.draining and not (
            self.pending
            or self.recovering
            or self.notices.queue
            or self.unrecorded_ticks
            or self.tick_scheduled
            or self.inbox
            or self.new_requests
            or self.server.connections
            or self.server.listening
        ):
            self.finished.set()
