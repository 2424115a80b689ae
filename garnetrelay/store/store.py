"""The journal of accepted messages: a segmented log that is compacted in small steps while the relay serves.

Files are named by their number in hex, ``0000000000000001.seg`` and so on; the one with the highest number is active.
The records in the order of the numbers are the complete state: any set of files that a stop can leave has exactly one
meaning. The records of a batch are written at once (``flush``); what depends on a record (an answer to a client, an
attempt's first byte, a notice) waits until the record is written. A segment is removed once its live records have been
copied to later segments.

A failed write or sync loses no pending message: the full states of the messages concerned are written again as soon as
the folder accepts writes; until then new requests are refused.

This module is the relay's interface: what happens to a message. Below it are recovery.py (the start), compaction.py
(disk space) and segment_log.py (files, writes, syncs); format.py and index.py define records and their meaning, without
I/O.
"""

from __future__ import annotations

from pathlib import Path

from garnetrelay.store import format as fmt
from garnetrelay.store.ended_refs import RecordedEnd
from garnetrelay.store.format import EndedRef, Entry, KeyRest
from garnetrelay.store.index import DEFAULT_MAX_ATTEMPTS, apply_attempt, apply_outcome
from garnetrelay.store.preload import Preloaded
from garnetrelay.store.recovery import RecoveredLog
from garnetrelay.store.segment_log import StoreError as StoreError  # raised by a start
from garnetrelay.store.storage import Folder, Storage

RESUBMISSION_MS = 400  # beyond a message's time: for so long a client waits for its answer
DEFAULT_MAX_ENDED_BYTES = 6 << 20
MAX_ENDED_DISK_DIVISOR = 4  # the refs of ended messages take at most this part of the disk
MEAN_ENDED_RECORD_BYTES = fmt.ended_ref_size("0" * 16)


class Store(RecoveredLog):
    """Appends records, maintains the live entries, and compacts the log. Used by one thread."""

    def __init__(
        self,
        storage: Storage,
        disk_bytes: int,
        machine_durable: bool = False,
        preloaded: Preloaded | None = None,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        epochs: bool = False,
        max_ended_bytes: int = DEFAULT_MAX_ENDED_BYTES,
    ) -> None:
        super().__init__(storage, disk_bytes, machine_durable)
        self._max_ended_bytes = max_ended_bytes
        self._load(preloaded)
        self.index.set_attempt_limits(max_attempts, epochs)

    @classmethod
    def open(
        cls,
        folder: Path,
        disk_bytes: int,
        machine_durable: bool = False,
        lock: int | None = None,
        preloaded: Preloaded | None = None,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        epochs: bool = False,
        max_ended_bytes: int = DEFAULT_MAX_ENDED_BYTES,
    ) -> Store:
        """Opens the store of a folder.

        ``lock``: the descriptor of the folder's lock from the previous process; without it the folder is locked here.
        ``preloaded``: the result of ``preload_folder``. ``max_attempts``: attempts that a message may have. ``epochs``:
        whether attempts record an epoch. ``max_ended_bytes``: memory for the refs of messages that have ended.
        """
        opened = Folder(folder)
        if lock is None:
            opened.lock()
        else:
            opened.adopt_lock(lock)
        try:
            return cls(opened, disk_bytes, machine_durable, preloaded, max_attempts, epochs, max_ended_bytes)
        except BaseException:
            opened.unlock()
            raise

    def hand_over(self) -> int:
        """Stops writing, after ``flush_and_sync``, and returns the descriptor of the folder's lock for a new process."""
        self._finish()
        assert isinstance(self.storage, Folder)
        return self.storage.detach_lock()

    def close(self) -> None:
        """Writes all buffered records, and unlocks the folder."""
        self._finish()
        if isinstance(self.storage, Folder):
            self.storage.unlock()

    # ---- what happens to a message

    def has_room(self, ref: str, key: str | None, body_length: int) -> bool:
        """Whether the disk has room for one more message and all its later records."""
        needed = self.index.reserved_bytes(ref, key, body_length)
        return not self.write_failed and self.sizes.admits(self.index.reserved, needed)

    def record_accepted(self, entry: Entry) -> None:
        """Records a message; it must not be acknowledged to its client before ``when_recorded`` reports success."""
        is_new = not (entry.attempts or entry.ended or entry.uncertain)
        size = self._buffer_record(fmt.encode_taken(entry) if is_new else fmt.encode_state(entry), entry.ref)
        self.index.set_base(entry, self._active.number, size)

    def record_attempt(self, ref: str, zone: str, now_ms: int, epoch: int | None = None) -> bool:
        """Records the start of an attempt; its first byte must not be sent before ``when_recorded`` reports success.

        ``epoch``: the epoch in which this relay owns the message's destination. False if the message is unknown.
        """
        entry = self.entries.get(ref)
        if entry is None:
            return False
        size = self._buffer_record(fmt.encode_try(ref, zone, now_ms, epoch), ref)
        apply_attempt(entry, now_ms, zone)
        self.index.add_record(entry, self._active.number, size)
        return True

    def record_outcome(self, ref: str, may_have_run: bool) -> None:
        """Records that the latest attempt has ended, and whether its effect may have taken place."""
        entry = self.entries.get(ref)
        if entry is not None:
            size = self._buffer_record(fmt.encode_outcome(ref, may_have_run), ref)
            apply_outcome(entry, may_have_run)
            self.index.add_record(entry, self._active.number, size)

    def record_end(self, ref: str, result: str | None, wait_ms: int = 0) -> None:
        """Records a message's end: with the result that a notice has to report, or None if no notice is due."""
        entry = self.entries.get(ref)
        if entry is None:
            return
        if result is None:
            self._record_gone(ref)
            return
        size = self._buffer_record(fmt.encode_ended(ref, result, wait_ms), ref)
        entry.ended, entry.wait_ms = result, wait_ms
        self.index.drop_body(entry)
        self.index.add_record(entry, self._active.number, size)

    def record_delivered(self, ref: str, may_forget: bool) -> None:
        """Records that a message was delivered and nothing is pending any more. Its ref stays known until its client
        can't submit it any more; ``may_forget``: not if that takes too much memory, as it may be delivered twice."""
        entry = self.entries.get(ref)
        if entry is None:
            return
        if not may_forget or self.has_room_for_refs:
            self._record_ended_ref(entry, failed=False)
        self._record_gone(ref)

    def record_notice_acknowledged(self, ref: str) -> None:
        """Records that the notice of a message's end was acknowledged: nothing is pending any more. The ref of one that
        failed and may have run stays known; one that never ran may be submitted again."""
        entry = self.entries.get(ref)
        if entry is None:
            return
        may_have_run = entry.uncertain or entry.trying_at is not None or entry.ran_at is not None
        if entry.ended == "dead" and may_have_run:
            self._record_ended_ref(entry, failed=True)
        self._record_gone(ref)

    # ---- refs of messages that have ended

    @property
    def has_room_for_refs(self) -> bool:
        """Whether the refs of more ended messages may be kept in memory and on disk."""
        return (
            self.index.ended.memory_bytes < self._max_ended_bytes
            and len(self.index.ended) * MEAN_ENDED_RECORD_BYTES < self.sizes.max_bytes // MAX_ENDED_DISK_DIVISOR
        )

    def end_of(self, ref: str, now_ms: int) -> RecordedEnd | None:
        """How a message ended whose client may still submit it again; None if no such message is known."""
        known = self.index.ended.get(ref)
        return known if known is not None and now_ms <= known.until else None

    def forget_ended(self, now_ms: int) -> None:
        """Forgets the refs that no client can submit any more."""
        for ref in self.index.ended.expired(now_ms):
            self.index.drop_ended(ref)

    def _record_ended_ref(self, entry: Entry, failed: bool) -> None:
        """Records a ref ahead of the record that its message is gone: a stop in between forgets neither."""
        ended = EndedRef(entry.ref, entry.deadline + RESUBMISSION_MS, failed)
        self._buffer_record(fmt.encode_ended_ref(ended), entry.ref)
        self.index.set_ended(ended, self._active.number)

    # ---- what happens to a key

    @property
    def key_rests(self) -> list[KeyRest]:
        """The recorded rests of keys; some may be over."""
        return [recorded.rest for recorded in self.index.rests.values()]

    def record_key_rest(self, rest: KeyRest, now: int) -> None:
        """Records until when a key rests. ``now``: the time by the same clock; rests that are over are dropped."""
        self._drop_finished_rests(rest.boot, now)
        size = self._buffer_record(fmt.encode_key_rest(rest), None)
        self.index.set_rest(rest, self._active.number, size)

    def drop_key_rest(self, key: str) -> None:
        """Drops the rest of a key that is over."""
        self.index.drop_rest(key)

    def _drop_finished_rests(self, boot: bytes, now: int) -> None:
        """Drops the rests that are over. The earliest recorded come first, and end first."""
        while self.index.rests:
            rest = next(iter(self.index.rests.values())).rest
            if rest.boot == boot and rest.until > now:
                return
            self.index.drop_rest(rest.key)

    def _record_gone(self, ref: str) -> None:
        size = self._buffer_record(fmt.encode_gone(ref), ref)
        self.index.set_gone(ref, self._active.number, size)
