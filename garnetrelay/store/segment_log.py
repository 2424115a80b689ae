"""The files of the log: the active segment, the sealed segments before it, and syncs to the disk.

This is the lowest of the four layers of a store: ``SegmentLog`` (here), ``CompactedLog`` (compaction.py),
``RecoveredLog`` (recovery.py) and ``Store`` (store.py). Each extends the one before it and uses nothing of the later
ones. A store is used by one thread.

This layer owns the bytes of each segment, the buffered records, and the refs whose records must be written again after a
failed write or sync (``unrecorded``). It guards against partial records, against disk usage that is not counted, and
against retrying a failed sync, which may succeed although the data was lost.
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
from garnetrelay.store.storage import Storage, round_to_blocks

log = logging.getLogger(__name__)

PARTIAL_BLOCK_BYTES = 4 * 512  # of the disk, for partly filled blocks
# The same, and all other files of the folder: the lock, and the old and the new file of hosts excluded by operators.
RESERVED_BYTES = 16 * 512
MIN_DISK_BYTES = 40_000

RecordedCallback = Callable[[bool], None]


class StoreError(Exception):
    """This program cannot use the folder; it has not been changed."""


@dataclass(slots=True)
class Sync:
    """One sync. ``run`` blocks and may run in another thread; the fields belong to the store."""

    storage: Storage
    handles: list[int]
    retired: list[int]
    waiting: list[RecordedCallback]
    unsynced: set[str]
    unlinked: list[int]

    def run(self) -> None:
        """Syncs the files and the folder; OSError if that fails."""
        for handle in self.handles:
            self.storage.sync(handle)
        self.storage.sync_names()


class SegmentLog:
    """Segments and the records buffered for them. Sizes are in bytes; ``disk_bytes`` is the folder's limit."""

    def __init__(self, storage: Storage, disk_bytes: int, machine_durable: bool) -> None:
        self.storage = storage
        self.machine_durable = machine_durable  # recorded: survives a power loss, not only the end of this process
        self.wake_sync: Callable[[], None] | None = None  # notifies the sync worker of a waiting callback
        if disk_bytes < MIN_DISK_BYTES:
            raise StoreError(f"the journal needs {MIN_DISK_BYTES / 1e6:g} MB of disk, its limit is {disk_bytes / 1e6:g}")
        self.sizes = compaction_policy.Sizes(disk_bytes - RESERVED_BYTES)
        self.index = Index()
        self.write_failed = False  # a write or sync failed, or the disk limit is reached; until a retry succeeds
        self.unrecorded: set[str] = set()  # refs whose records are missing from the files
        self._pending = bytearray()
        self._pending_refs: list[str] = []  # of the buffered records
        self._handle: int | None = None
        self._active = Segment(0)
        self._used = 0  # bytes of all segments, in whole blocks
        self._appended = 0  # bytes since the last step of compaction
        self._sync_failed = False  # a sync of the active segment failed: it is not written to any more
        self._waiting: list[RecordedCallback] = []  # callbacks for the next sync
        self._unsynced: set[str] = set()  # refs with records that no sync has covered
        self._retired: list[int] = []  # handles of sealed segments that no sync has covered
        self._unlinked: list[int] = []  # segments whose removal no sync has covered
        self._last_number = 0  # the highest segment number used or tried
        self._failure_logged = False  # one log line for each period of failing writes
        self._torn_tail = False  # the active segment may end in a partial record: nothing may follow that

    @property
    def entries(self) -> dict[str, Entry]:
        """The live messages."""
        return self.index.entries

    @property
    def keeps_failed_records(self) -> bool:
        """Whether the files may hold records that were reported as not recorded: a next process would apply them."""
        return self._torn_tail

    @property
    def used(self) -> int:
        """Disk usage of all segments in bytes, in whole blocks, including the buffered records."""
        if not self._pending:
            return self._used
        return self._used - round_to_blocks(self._active.size) + round_to_blocks(self._active.size + len(self._pending))

    def flush_and_sync(self) -> bool:
        """Writes all buffered records, and syncs them if ``machine_durable``; False if anything remains unrecorded."""
        if self.flush():
            self._sync_all()
        return not self.write_failed and not self.unrecorded

    def _finish(self) -> None:
        if self.flush() and self._handle is not None:
            self._append(fmt.encode_seal(self._active.records))  # then missing bytes mean damage, not a torn tail
            self._sync_all()
        for handle in (*self._retired, *(() if self._handle is None else (self._handle,))):
            self._close(handle)
        self._retired, self._handle = [], None

    # ---- writing

    def flush(self) -> bool:
        """Writes all buffered records; whether that succeeded.

        After a failure the messages' full states are written again once the folder accepts writes; until then the caller
        must not send attempts or answer clients that depend on these records.
        """
        if self.write_failed:
            self._mark_pending_unrecorded()
            return False
        if not self._pending:
            return True
        data, self._pending = bytes(self._pending), bytearray()
        refs, self._pending_refs = self._pending_refs, []
        if self._append(data):
            if self.machine_durable:
                self._unsynced.update(refs)
            return True
        self.unrecorded.update(refs)
        return False

    def when_recorded(self, callback: RecordedCallback) -> None:
        """Flushes, and calls back with whether all is recorded: now, or after the next sync if ``machine_durable``."""
        recorded = self.flush()
        if not recorded or not self.machine_durable:
            callback(recorded)
            return
        self._waiting.append(callback)
        if self.wake_sync is not None:
            self.wake_sync()

    def _mark_pending_unrecorded(self) -> None:
        self._pending.clear()
        self.unrecorded.update(self._pending_refs)
        self._pending_refs = []

    def _append(self, data: bytes) -> bool:
        """Writes to the active segment; False if there is no room or the write fails."""
        active = self._active
        if self._handle is None or self._is_full(data):
            self._fail("disk limit reached" if self._handle is not None else "no segment could be created")
            return False
        try:
            self.storage.append(self._handle, data)
        except OSError as error:
            self._fail(error.strerror or type(error).__name__)
            try:
                self.storage.truncate(self._handle, active.size)  # a partial record would hide later ones
            except OSError:
                self._torn_tail = True
            return False
        self._used += round_to_blocks(active.size + len(data)) - round_to_blocks(active.size)
        active.size += len(data)
        self._appended += len(data)
        return True

    def _is_full(self, data: bytes) -> bool:
        """Whether the disk limit leaves no room for these bytes."""
        return self.used + len(data) > self.sizes.max_bytes + PARTIAL_BLOCK_BYTES

    def _fail(self, why: str) -> None:
        self.write_failed = True
        if not self._failure_logged:
            self._failure_logged = True
            log.error("journal: cannot write: %s; what is held goes on, newcomers are refused", why)

    def _rotate(self) -> bool:
        """Seals the active segment and begins the next."""
        if self._pending and not self.flush():
            return False
        if not self.write_failed and self._handle is not None and not self._append(fmt.encode_seal(self._active.records)):
            return False
        return self._begin_segment()

    def _begin_segment(self) -> bool:
        """Creates the next segment and makes it the active one."""
        number = self._last_number = max(self._last_number, self._active.number) + 1
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
            self._discard_new_file(handle, number)
            return False
        if self._handle is not None:
            self._active.sealed = True
            if self.machine_durable:
                self._retired.append(self._handle)
            else:
                self._close(self._handle)
        self._handle, self._torn_tail, self._sync_failed = handle, False, False
        self._active = self.index.segments[number] = Segment(number, len(head))
        self._used += round_to_blocks(len(head))
        return True

    def _discard_new_file(self, handle: int, number: int) -> None:
        """Removes a new segment file whose header could not be written."""
        self._close(handle)
        try:
            self.storage.remove(segment_name(number))
        except OSError as error:
            # It remains without a complete header; the next start removes it.
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)

    def _close(self, handle: int) -> None:
        try:
            self.storage.close(handle)
        except OSError as error:
            log.error("journal: a segment cannot be closed: %s", error.strerror)

    # ---- syncs, only if ``machine_durable``

    def begin_sync(self) -> Sync | None:
        """Collects what the next sync covers; None if no callback waits. ``end_sync`` must follow before another."""
        if not self._waiting:
            return None
        handles = [*self._retired, *([] if self._handle is None else [self._handle])]
        sync = Sync(self.storage, handles, self._retired, self._waiting, self._unsynced, self._unlinked)
        self._retired, self._waiting, self._unsynced, self._unlinked = [], [], set(), []
        return sync

    def end_sync(self, sync: Sync, error: OSError | None) -> None:
        """Completes a sync: what it covered is recorded.

        After a failure the data that it covered may be lost, even if a later sync of the same file succeeds. The messages
        are then written again to another segment.
        """
        for handle in sync.retired:
            self._close(handle)
        if error is None:
            for number in sync.unlinked:
                self.index.remove_segment(number)
            for callback in sync.waiting:
                callback(True)
            return
        self._fail(error.strerror or type(error).__name__)
        self._torn_tail = self._sync_failed = True
        self._mark_pending_unrecorded()
        self.unrecorded |= sync.unsynced | self._unsynced
        self._unsynced = set()
        self._unlinked += sync.unlinked
        waiting, self._waiting = [*sync.waiting, *self._waiting], []
        for callback in waiting:
            callback(False)

    def _sync_all(self) -> None:
        """Syncs all that was written, blocking, if ``machine_durable``."""
        if not self.machine_durable:
            return
        self._waiting.append(lambda recorded: None)
        sync = self.begin_sync()
        assert sync is not None
        error: OSError | None = None
        try:
            sync.run()
        except OSError as caught:
            error = caught
        self.end_sync(sync, error)
