"""Group syncs outside the event loop; waiting callbacks are called once their records are on disk.

Used only if records must survive a power loss. One sync runs at a time, in its own thread; callbacks that are added
meanwhile wait for the next one.
"""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor

from garnetrelay.store.segment_log import Sync
from garnetrelay.store.store import Store

log = logging.getLogger(__name__)


class SyncWorker:
    """Runs a store's syncs."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1, "sync")
        self.running: asyncio.Future[None] | None = None
        self.closed = False
        store.wake_sync = self.wake

    def wake(self) -> None:
        """Starts a sync if a callback waits and none is running."""
        if self.running is None and not self.closed:
            sync = self.store.begin_sync()
            if sync is not None:
                self.running = self.loop.run_in_executor(self.thread, sync.run)
                self.running.add_done_callback(lambda done: self._ended(sync, done))

    def _ended(self, sync: Sync, done: asyncio.Future[None]) -> None:
        self.running = None
        error = None if done.cancelled() else done.exception()
        if error is not None and not isinstance(error, OSError):
            log.error("journal: sync failed", exc_info=error)
            error = OSError(str(error))
        self.store.end_sync(sync, error)
        self.wake()

    def close(self) -> None:
        """Waits for the running sync; closing the store syncs the rest."""
        self.closed = True
        self.store.wake_sync = None
        self.thread.shutdown(wait=True)
