"""The durable record of what this relay has taken on: a log in segments, compacted in small steps while it serves.

Files are named by their number, ``0000000000000001.seg`` and so on; the one with the highest is written to, and
their records in the order of the numbers are the whole truth: any set of files that a stop can leave means one
thing. The records of a turn go out in one write (``flush``); what depends on a record (an answer to a client, an
attempt's first byte, a notice) waits until it is on record. A segment goes once all that counts in it has been
written anew behind it.

A write or sync that fails costs no message that is held: what it was to put on record is written anew, whole, as
soon as the folder takes something again; until then newcomers are refused.

This module is what the relay sees: what happens to a message. Below it stand recovery.py (the start),
compaction.py (room) and segment_log.py (files, writes, syncs); format.py and index.py say what a record means,
without I/O.
"""

from __future__ import annotations

from pathlib import Path

from garnetrelay.store import format as fmt
from garnetrelay.store.format import Entry
from garnetrelay.store.index import TRIES, begin, settle
from garnetrelay.store.preload import Preloaded
from garnetrelay.store.recovery import RecoveredLog
from garnetrelay.store.segment_log import StoreError as StoreError  # the one that a start has to expect
from garnetrelay.store.storage import Folder, Storage


class Store(RecoveredLog):
    """Appends records, keeps the live entries, and makes room. One thread uses it."""

    def __init__(
        self,
        storage: Storage,
        disk_bytes: int,
        machine: bool = False,
        preloaded: Preloaded | None = None,
        tries: int = TRIES,
        epochs: bool = False,
    ) -> None:
        super().__init__(storage, disk_bytes, machine)
        self._load(preloaded)
        self.index.allow(tries, epochs)

    @classmethod
    def open(
        cls,
        folder: Path,
        disk_bytes: int,
        machine: bool = False,
        lock: int | None = None,
        preloaded: Preloaded | None = None,
        tries: int = TRIES,
        epochs: bool = False,
    ) -> Store:
        """The store of a folder, claimed for this process unless a claim was handed to it. ``preloaded``: what was read
        of it before; ``tries``: attempts that a message may have; ``epochs``: each may have an epoch on record."""
        door = Folder(folder)
        if lock is None:
            door.lock()
        else:
            door.adopt_lock(lock)
        try:
            return cls(door, disk_bytes, machine, preloaded, tries, epochs)
        except BaseException:
            door.unlock()
            raise

    def hand_over(self) -> int:
        """Settled before, it writes nothing any more: the claim on the folder, for another process."""
        self._end()
        assert isinstance(self.storage, Folder)
        return self.storage.detach_lock()

    def close(self) -> None:
        """Put on record what is pending, and let the folder go."""
        self._end()
        if isinstance(self.storage, Folder):
            self.storage.unlock()

    # ---- what happens to a message

    def has_room(self, ref: str, key: str | None, body_length: int) -> bool:
        """Whether one more message fits, with all that may be written of it."""
        wanted = self.index.reserve(ref, key, body_length)
        return not self.write_failed and self.sizes.admits(self.index.reserved, wanted)

    def record_accepted(self, entry: Entry) -> None:
        """Note a message; it must not be taken on before a ``flush`` has put it on record."""
        fresh = not (entry.attempts or entry.ended or entry.uncertain)
        size = self._note(fmt.taken(entry) if fresh else fmt.state(entry), entry.ref)
        self.index.base(entry, self._active.number, size)

    def record_attempt(self, ref: str, zone: str, now_ms: int, epoch: int | None = None) -> bool:
        """Note an attempt; its first byte must not go out before it is on record. False: the message is not known.
        ``epoch``: in which this relay owns the message's destination."""
        entry = self.entries.get(ref)
        if entry is None:
            return False
        size = self._note(fmt.trying(ref, zone, now_ms, epoch), ref)
        begin(entry, now_ms, zone)
        self.index.more(entry, self._active.number, size)
        return True

    def record_outcome(self, ref: str, may_have_run: bool) -> None:
        """Note that the last attempt has ended, and whether its effect may have happened."""
        entry = self.entries.get(ref)
        if entry is not None:
            size = self._note(fmt.outcome(ref, may_have_run), ref)
            settle(entry, may_have_run)
            self.index.more(entry, self._active.number, size)

    def record_end(self, ref: str, result: str | None, wait_ms: int = 0) -> None:
        """Over: with the result that a notice has to tell, or without one where nothing more is owed."""
        entry = self.entries.get(ref)
        if entry is None:
            return
        if result is None:
            self._gone(ref)
            return
        size = self._note(fmt.ended(ref, result, wait_ms), ref)
        entry.ended, entry.wait_ms = result, wait_ms
        self.index.empty_body(entry)
        self.index.more(entry, self._active.number, size)

    def record_notice_acknowledged(self, ref: str) -> None:
        """Its notice was acknowledged: nothing more is owed."""
        if ref in self.entries:
            self._gone(ref)

    def _gone(self, ref: str) -> None:
        size = self._note(fmt.gone(ref), ref)
        self.index.gone(ref, self._active.number, size)
