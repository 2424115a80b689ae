"""Syncs in groups, off the loop: what waits for one is answered when it is on disk.

Only where the machine's power counts. One sync runs at a time, in a thread of its own; all that has come to wait
meanwhile is the next one's.
"""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor

from garnetrelay.store.segment_log import Sync
from garnetrelay.store.store import Store

log = logging.getLogger(__name__)


class SyncWorker:
    """Carries out a store's syncs."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1, "sync")
        self.running: asyncio.Future[None] | None = None
        self.closed = False
        store.wake = self.wake

    def wake(self) -> None:
        """Something waits."""
        if self.running is None and not self.closed:
            sync = self.store.begin_sync()
            if sync is not None:
                self.running = self.loop.run_in_executor(self.thread, sync.run)
                self.running.add_done_callback(lambda done: self._ended(sync, done))

    def _ended(self, sync: Sync, done: asyncio.Future[None]) -> None:
        self.running = None
        error = None if done.cancelled() else done.exception()
        if error is not None and not isinstance(error, OSError):
            log.error("a sync failed", exc_info=error)
            error = OSError(str(error))
        self.store.end_sync(sync, error)
        self.wake()

    def close(self) -> None:
        """Let the one that runs come to its end; the store's own close covers the rest."""
        self.closed = True
        self.store.wake = None
        self.thread.shutdown(wait=True)
