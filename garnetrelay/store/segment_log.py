"""The files of the log: the segment that is written to, the sealed ones before it, and syncs to the disk.

The lowest of the four layers of a store: ``SegmentLog`` (here), ``CompactedLog`` (compaction.py), ``RecoveredLog``
(recovery.py), ``Store`` (store.py). Each is built on the one before, uses nothing of those behind it, and one
thread uses all.

Owned here: which bytes stand in which segment, what is pending, and what a write or sync that failed leaves to be
written anew (``failed``). Guards against half records, against blocks that are not counted, and against a sync
that is repeated as if the first had not failed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from garnetrelay.store import compaction_policy
from garnetrelay.store import format as fmt
from garnetrelay.store.format import Entry
from garnetrelay.store.index import Index, Segment
from garnetrelay.store.reading import segment_name
from garnetrelay.store.storage import Storage, blocks

log = logging.getLogger(__name__)

BEGUN = 4 * 512  # of the disk, for blocks begun
RESERVE = 16 * 512  # the same with all that the folder holds besides: the lock, the hosts out by hand, old and new
LEAST_DISK = 40_000

OnRecord = Callable[[bool], None]


class StoreError(Exception):
    """A folder that this program can't work with; it has been left as it was."""


@dataclass(slots=True)
class Sync:
    """One sync: ``run`` blocks, and may run in another thread; the rest is the store's."""

    storage: Storage
    handles: list[int]
    retired: list[int]
    waiting: list[OnRecord]
    unsynced: set[str]
    unlinked: list[int]

    def run(self) -> None:
        """OSError where it fails."""
        for handle in self.handles:
            self.storage.sync(handle)
        self.storage.sync_names()


class SegmentLog:
    """Segments and what is pending for them. Sizes are bytes; ``disk_bytes`` is all that the folder may take."""

    def __init__(self, storage: Storage, disk_bytes: int, machine: bool) -> None:
        self.storage = storage
        self.machine = machine  # on record is what outlasts the machine's power, not only this process
        self.wake: Callable[[], None] | None = None  # tells whoever syncs that something waits for it
        if disk_bytes < LEAST_DISK:
            raise StoreError(f"the journal needs {LEAST_DISK / 1e6:g} MB of disk, and may have {disk_bytes / 1e6:g}")
        self.sizes = compaction_policy.Sizes(disk_bytes - RESERVE)
        self.index = Index()
        self.write_failed = False  # nothing can be put on record just now
        self.failed: set[str] = set()  # messages whose records are not what stands in the files
        self._pending = bytearray()
        self._touched: list[str] = []  # messages of the records that are pending
        self._handle: int | None = None
        self._active = Segment(0)
        self._used = 0  # bytes of all segments, in whole blocks
        self._appended = 0  # since the last step of cleaning
        self._distrusted = False  # a sync of it failed: it is left
        self._waiting: list[OnRecord] = []  # for the next sync
        self._unsynced: set[str] = set()  # messages with records that no sync has covered
        self._retired: list[int] = []  # handles of sealed segments that no sync has covered
        self._unlinked: list[int] = []  # segments whose removal no sync has covered
        self._last = 0  # the highest number that was ever tried
        self._said = False  # that it is broken
        self._spoilt = False  # the active segment may end in half a record: nothing goes behind that

    @property
    def entries(self) -> dict[str, Entry]:
        """The live messages."""
        return self.index.entries

    @property
    def used(self) -> int:
        """Bytes of all files, in whole blocks, with what is pending."""
        if not self._pending:
            return self._used
        return self._used - blocks(self._active.size) + blocks(self._active.size + len(self._pending))

    def flush_and_sync(self) -> bool:
        """Put on record all that was noted, on disk too where that counts; whether that came about."""
        if self.flush():
            self._sync_all()
        return not self.write_failed and not self.failed

    def _end(self) -> None:
        if self.flush() and self._handle is not None:
            self._append(fmt.seal(self._active.records))  # what is missing behind it is missing, not torn
            self._sync_all()
        for handle in (*self._retired, *(() if self._handle is None else (self._handle,))):
            self._close(handle)
        self._retired, self._handle = [], None

    # ---- writing

    def flush(self) -> bool:
        """Write what was noted; whether it is all on record. What could not be written is written anew, by message,
        once the folder takes something again: no attempt goes out on it, and no client is told of it."""
        if self.write_failed:
            self._give_up_pending()
            return False
        if not self._pending:
            return True
        data, self._pending = bytes(self._pending), bytearray()
        touched, self._touched = self._touched, []
        if self._append(data):
            if self.machine:
                self._unsynced.update(touched)
            return True
        self.failed.update(touched)
        return False

    def when_recorded(self, callback: OnRecord) -> None:
        """Flush, and call back with whether it is all on record: at once, or when the next sync has covered it."""
        recorded = self.flush()
        if not recorded or not self.machine:
            callback(recorded)
            return
        self._waiting.append(callback)
        if self.wake is not None:
            self.wake()

    def _give_up_pending(self) -> None:
        self._pending.clear()
        self.failed.update(self._touched)
        self._touched = []

    def _append(self, data: bytes) -> bool:
        """Write to the active segment, or say that it can't be done."""
        active = self._active
        if self._handle is None or self.used + len(data) > self.sizes.most + BEGUN:
            self._fail("no room" if self._handle is not None else "no segment")
            return False
        try:
            self.storage.append(self._handle, data)
        except OSError as error:
            self._fail(error.strerror or type(error).__name__)
            try:
                self.storage.truncate(self._handle, active.size)  # half a record would hide those behind it
            except OSError:
                self._spoilt = True
            return False
        self._used += blocks(active.size + len(data)) - blocks(active.size)
        active.size += len(data)
        self._appended += len(data)
        return True

    def _fail(self, why: str) -> None:
        self.write_failed = True
        if not self._said:
            self._said = True
            log.error("journal: cannot write: %s; what is held goes on, newcomers are refused", why)

    def _rotate(self) -> bool:
        """Seal the active segment and begin the next."""
        if self._pending and not self.flush():
            return False
        if not self.write_failed and self._handle is not None and not self._append(fmt.seal(self._active.records)):
            return False
        return self._begin()

    def _begin(self) -> bool:
        """A new segment, for all that comes from now on."""
        number = self._last = max(self._last, self._active.number) + 1
        try:
            handle = self.storage.create(segment_name(number))
        except OSError as error:
            self._fail(error.strerror or type(error).__name__)
            return False
        head = fmt.header(number)
        try:
            self.storage.append(handle, head)
        except OSError as error:
            self._fail(error.strerror or type(error).__name__)
            self._drop_file(handle, number)
            return False
        if self._handle is not None:
            self._active.sealed = True
            if self.machine:
                self._retired.append(self._handle)
            else:
                self._close(self._handle)
        self._handle, self._spoilt, self._distrusted = handle, False, False
        self._active = self.index.segments[number] = Segment(number, len(head))
        self._used += blocks(len(head))
        return True

    def _drop_file(self, handle: int, number: int) -> None:
        """Take back a file that could not be begun."""
        self._close(handle)
        try:
            self.storage.remove(segment_name(number))
        except OSError as error:
            # It stays, without a whole header: a start takes it away.
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)

    def _close(self, handle: int) -> None:
        try:
            self.storage.close(handle)
        except OSError as error:
            log.error("journal: closing a segment: %s", error.strerror)

    # ---- syncs, where the machine's power counts

    def begin_sync(self) -> Sync | None:
        """What the next sync has to cover; None if nothing waits for one. One at a time: ``end_sync`` ends it."""
        if not self._waiting:
            return None
        handles = [*self._retired, *([] if self._handle is None else [self._handle])]
        sync = Sync(self.storage, handles, self._retired, self._waiting, self._unsynced, self._unlinked)
        self._retired, self._waiting, self._unsynced, self._unlinked = [], [], set(), []
        return sync

    def end_sync(self, sync: Sync, error: OSError | None) -> None:
        """What it covered is on record; or, after a failure, nothing of it can be relied on: it is written anew in
        another segment, never synced again as if nothing had happened."""
        for handle in sync.retired:
            self._close(handle)
        if error is None:
            for number in sync.unlinked:
                self.index.removed(number)
            for callback in sync.waiting:
                callback(True)
            return
        self._fail(error.strerror or type(error).__name__)
        self._spoilt = self._distrusted = True
        self._give_up_pending()
        self.failed |= sync.unsynced | self._unsynced
        self._unsynced = set()
        self._unlinked += sync.unlinked
        waiting, self._waiting = [*sync.waiting, *self._waiting], []
        for callback in waiting:
            callback(False)

    def _sync_all(self) -> None:
        """Where the machine's power counts: all that was written must outlast it now."""
        if not self.machine:
            return
        self._waiting.append(lambda recorded: None)
        sync = self.begin_sync()
        assert sync is not None
        error: OSError | None = None
        try:
            sync.run()
        except OSError as failed:
            error = failed
        self.end_sync(sync, error)
