"""The durable record of what this relay has taken on: a log in segments, compacted in small steps while it serves.

Files are named by their number, ``0000000000000001.seg`` and so on; the one with the highest is written to, and their
records in the order of the numbers are the whole truth: any set of files that a stop can leave means one thing. The
records of a turn go out in one write (``flush``); what depends on a record (an answer to a client, an attempt's first
byte, a notice) waits until it is on record. A segment goes once all that counts in it has been written anew behind it.

A write or sync that fails costs no message that is held: what it was to put on record is written anew, whole, as soon
as the folder takes something again; until then newcomers are refused.
"""

from __future__ import annotations

import gc
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from garnetrelay.store import cleaning, legacy
from garnetrelay.store import format as fmt
from garnetrelay.store.ahead import Ahead, catch_up
from garnetrelay.store.format import Entry, LaterVersionError, Record
from garnetrelay.store.index import TRIES, Index, Segment, begin, settle
from garnetrelay.store.storage import Folder, Storage, blocks

log = logging.getLogger(__name__)

SUFFIX = ".seg"
BEGUN = 4 * 512  # of the disk, for blocks begun
RESERVE = 16 * 512  # the same with all that the folder holds besides: the lock, the hosts out by hand, old and new
LEAST_DISK = 40_000

OnRecord = Callable[[bool], None]


class StoreError(Exception):
    """A folder that this program can't work with; it has been left as it was."""


def name_of(number: int) -> str:
    """The file of the segment with this number."""
    return f"{number:016x}{SUFFIX}"


def number_in(name: str) -> int | None:
    """The number in a segment's name; None for other files."""
    stem = name.removesuffix(SUFFIX)
    if not name.endswith(SUFFIX) or len(stem) != 16 or not all(c in "0123456789abcdef" for c in stem):
        return None
    return int(stem, 16)


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


class Store:
    """Appends records, keeps the live entries, and makes room. One thread uses it."""

    def __init__(
        self,
        storage: Storage,
        disk_bytes: int,
        machine: bool = False,
        ahead: Ahead | None = None,
        tries: int = TRIES,
        epochs: bool = False,
    ) -> None:
        self.storage = storage
        self.machine = machine  # on record is what outlasts the machine's power, not only this process
        self.wake: Callable[[], None] | None = None  # tells whoever syncs that something waits for it
        if disk_bytes < LEAST_DISK:
            raise StoreError(f"the journal needs {LEAST_DISK / 1e6:g} MB of disk, and may have {disk_bytes / 1e6:g}")
        self.sizes = cleaning.Sizes(disk_bytes - RESERVE)
        self.index = Index()
        self.broken = False  # nothing can be put on record just now
        self.failed: set[str] = set()  # messages whose records are not what stands in the files
        self._pending = bytearray()
        self._touched: list[str] = []  # messages of the records that are pending
        self._handle: int | None = None
        self._active = Segment(0)
        self._used = 0  # bytes of all segments, in whole blocks
        self._appended = 0  # since the last step of cleaning
        self._victim: int | None = None
        self._distrusted = False  # a sync of it failed: it is left
        self._waiting: list[OnRecord] = []  # for the next sync
        self._unsynced: set[str] = set()  # messages with records that no sync has covered
        self._retired: list[int] = []  # handles of sealed segments that no sync has covered
        self._unlinked: list[int] = []  # segments whose removal no sync has covered
        self._doubted: dict[str, None] = {}  # uncertain messages whose records do not say so yet
        self._tainted: set[int] = set()  # segments with damage: they stay for as long as there are such messages
        self._first = 0  # the first segment of this life
        self._last = 0  # the highest number that was ever tried
        self._said = False  # that it is broken
        self._spoilt = False  # the active segment may end in half a record: nothing goes behind that
        self._load(ahead)
        self.index.allow(tries, epochs)

    @classmethod
    def open(
        cls,
        folder: Path,
        disk_bytes: int,
        machine: bool = False,
        claim: int | None = None,
        ahead: Ahead | None = None,
        tries: int = TRIES,
        epochs: bool = False,
    ) -> Store:
        """The store of a folder, claimed for this process unless a claim was handed to it. ``ahead``: what was read
        of it before; ``tries``: attempts that a message may have; ``epochs``: each may have an epoch on record."""
        door = Folder(folder)
        if claim is None:
            door.claim()
        else:
            door.adopt(claim)
        try:
            return cls(door, disk_bytes, machine, ahead, tries, epochs)
        except BaseException:
            door.release()
            raise

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

    def settle(self) -> bool:
        """Put on record all that was noted, on disk too where that counts; whether that came about."""
        if self.flush():
            self._sync_all()
        return not self.broken and not self.failed

    def hand_over(self) -> int:
        """Settled before, it writes nothing any more: the claim on the folder, for another process."""
        self._end()
        assert isinstance(self.storage, Folder)
        return self.storage.surrender()

    def close(self) -> None:
        """Put on record what is pending, and let the folder go."""
        self._end()
        if isinstance(self.storage, Folder):
            self.storage.release()

    def _end(self) -> None:
        if self.flush() and self._handle is not None:
            self._append(fmt.seal(self._active.records))  # what is missing behind it is missing, not torn
            self._sync_all()
        for handle in (*self._retired, *(() if self._handle is None else (self._handle,))):
            self._close(handle)
        self._retired, self._handle = [], None

    # ---- what happens to a message

    def has_room(self, ref: str, key: str | None, body_length: int) -> bool:
        """Whether one more message fits, with all that may be written of it."""
        wanted = self.index.reserve(ref, key, body_length)
        return not self.broken and self.sizes.admits(self.index.reserved, wanted)

    def taken(self, entry: Entry) -> None:
        """Note a message; it must not be taken on before a ``flush`` has put it on record."""
        fresh = not (entry.attempts or entry.ended or entry.uncertain)
        size = self._note(fmt.taken(entry) if fresh else fmt.state(entry), entry.ref)
        self.index.base(entry, self._active.number, size)

    def trying(self, ref: str, zone: str, now_ms: int, epoch: int | None = None) -> bool:
        """Note an attempt; its first byte must not go out before it is on record. False: the message is not known.
        ``epoch``: in which this relay owns the message's destination."""
        entry = self.entries.get(ref)
        if entry is None:
            return False
        size = self._note(fmt.trying(ref, zone, now_ms, epoch), ref)
        begin(entry, now_ms, zone)
        self.index.more(entry, self._active.number, size)
        return True

    def outcome(self, ref: str, may_have_run: bool) -> None:
        """Note that the last attempt has ended, and whether its effect may have happened."""
        entry = self.entries.get(ref)
        if entry is not None:
            size = self._note(fmt.outcome(ref, may_have_run), ref)
            settle(entry, may_have_run)
            self.index.more(entry, self._active.number, size)

    def ended(self, ref: str, result: str | None, wait_ms: int = 0) -> None:
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

    def told(self, ref: str) -> None:
        """Its notice was acknowledged: nothing more is owed."""
        if ref in self.entries:
            self._gone(ref)

    def _gone(self, ref: str) -> None:
        size = self._note(fmt.gone(ref), ref)
        self.index.gone(ref, self._active.number, size)

    # ---- writing

    def _note(self, data: bytes, ref: str) -> int:
        """Keep a record until the next flush, in the segment that has room for it; its size."""
        if self.broken:
            self._touched.append(ref)
            return len(data)
        active = self._active
        if active.size + len(self._pending) + len(data) > self.sizes.segment and active.records:
            self._rotate()
            # A segment is held back for its own growth, and one for cleaning.
            if self.used + self.sizes.segment > self.sizes.most - self.sizes.segment:
                self._make_room()
        self._pending += data
        self._touched.append(ref)
        self._active.records += 1
        return len(data)

    def flush(self) -> bool:
        """Write what was noted; whether it is all on record. What could not be written is written anew, by message,
        once the folder takes something again: no attempt goes out on it, and no client is told of it."""
        if self.broken:
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

    def on_record(self, callback: OnRecord) -> None:
        """Flush, and call back with whether it is all on record: at once, or when the next sync has covered it."""
        recorded = self.flush()
        if not recorded or not self.machine:
            callback(recorded)
            return
        self._waiting.append(callback)
        if self.wake is not None:
            self.wake()

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
        self.broken = True
        if not self._said:
            self._said = True
            log.error("journal: cannot write: %s; what is held goes on, newcomers are refused", why)

    def _rotate(self) -> bool:
        """Seal the active segment and begin the next."""
        if self._pending and not self.flush():
            return False
        if not self.broken and self._handle is not None and not self._append(fmt.seal(self._active.records)):
            return False
        return self._begin()

    def _begin(self) -> bool:
        """A new segment, for all that comes from now on."""
        number = self._last = max(self._last, self._active.number) + 1
        try:
            handle = self.storage.create(name_of(number))
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
            self.storage.remove(name_of(number))
        except OSError as error:
            # It stays, without a whole header: a start takes it away.
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)

    def _close(self, handle: int) -> None:
        try:
            self.storage.close(handle)
        except OSError as error:
            log.error("journal: closing a segment: %s", error.strerror)

    # ---- compaction

    def tend(self) -> None:
        """A small step, between turns: what could not be written first, then compaction."""
        if self.broken:
            self._revive()
            return
        appended, self._appended = self._appended, 0
        if self._doubted:
            self._say_doubts(cleaning.STEP_MESSAGES)
        if self._victim is None:
            if not cleaning.wanted(self.sizes, self.used, self.index.live):
                return
            self._victim = self._next_victim()
        if self._victim is not None:
            self._clean(self._victim, cleaning.step_bytes(appended), cleaning.STEP_MESSAGES)

    @property
    def busy(self) -> bool:
        """Whether ``tend`` has more to do."""
        return self.broken or self._victim is not None or bool(self._doubted)

    def _next_victim(self) -> int | None:
        kept = self._tainted if self._doubted else set()
        return cleaning.next_victim(
            (segment for number, segment in self.index.segments.items() if number not in kept), self._active.number
        )

    def _say_doubts(self, most: int) -> None:
        """Damage makes messages uncertain that have no record in the damaged segment. Once it is gone nothing would
        say so any more: write them anew first."""
        while self._doubted and most > 0 and not self.broken:
            if self.used + self.sizes.segment > self.sizes.pressing:
                return  # cleaning comes first; it writes them anew too
            ref = next(iter(self._doubted))
            del self._doubted[ref]
            entry = self.entries.get(ref)
            if entry is not None and entry.uncertain and entry.base < self._first:
                self._copy_entry(ref)
                most -= 1

    def _make_room(self) -> None:
        """The disk is nearly full: clean until there is room again. Bounded, as what is live is at most half."""
        for _ in range(2 * cleaning.PARTS):
            if self.broken or self.used + self.sizes.segment < self.sizes.pressing:
                return
            victim = self._victim
            if victim is None:
                victim = self._next_victim()
            if victim is None:
                return
            self._clean(victim, self.sizes.most, len(self.index.entries) + len(self.index.tombs) + 1)

    def _clean(self, number: int, most_bytes: int, most_messages: int) -> None:
        """Write anew what counts in a segment, as far as the step goes; with the last of it the file goes."""
        segment = self.index.segments[number]
        written = 0
        while segment.entries or segment.tombs:
            if self.broken:
                self._victim = None
                return
            if written >= most_bytes or most_messages <= 0:
                self._victim = number
                return
            most_messages -= 1
            if segment.entries:
                written += self._copy_entry(next(iter(segment.entries)))
            else:
                written += self._copy_tomb(next(iter(segment.tombs)))
        self._victim = None
        # The old file may go only once what was copied out of it is on record.
        self.on_record(lambda recorded: self._remove(number) if recorded else None)

    def _copy_entry(self, ref: str) -> int:
        entry = self.entries[ref]
        size = self._copy(fmt.state(entry), ref)
        self.index.base(entry, self._active.number, size)
        return size

    def _copy_tomb(self, ref: str) -> int:
        size = self._copy(fmt.gone(ref), ref)
        self.index.gone(ref, self._active.number, size)
        return size

    def _copy(self, data: bytes, ref: str) -> int:
        """As a note, but from the segments that are kept free for it."""
        active = self._active
        if active.size + len(self._pending) + len(data) > self.sizes.segment and active.records:
            self._rotate()
        self._pending += data
        self._touched.append(ref)
        self._active.records += 1
        return len(data)

    def _remove(self, number: int) -> None:
        segment = self.index.segments.get(number)
        if segment is None or not segment.size or segment.entries or segment.tombs:
            return  # gone already, or something came to count in it again
        try:
            self.storage.remove(name_of(number))
        except OSError as error:
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)
            return
        self._used -= blocks(segment.size)
        segment.size = 0
        if self.machine:
            # Until that outlasts the machine's power, the file may come back: so long its dead stay buried.
            self._unlinked.append(number)
        else:
            self.index.removed(number)

    def _mended(self) -> bool:
        """Cut off what a failed write may have left. Behind a failed sync nothing is mended: who knows what is there."""
        if self._distrusted or self._handle is None:
            return False
        try:
            self.storage.truncate(self._handle, self._active.size)
        except OSError:
            return False
        self._spoilt = False
        return True

    def _revive(self) -> None:
        """Something could not be put on record: try again with the messages that it was about, whole."""
        self._give_up_pending()
        self.broken = False
        if (self._handle is None or self._spoilt and not self._mended()) and not self._begin():
            self.broken = True
            return
        pieces: list[tuple[str, bytes]] = []
        for ref in self.failed:
            entry = self.entries.get(ref)
            pieces.append((ref, fmt.gone(ref) if entry is None else fmt.state(entry)))
        if not self._append(b"".join(data for _, data in pieces) or fmt.NOTE):
            return
        number = self._active.number
        for ref, data in pieces:
            self._active.records += 1
            entry = self.entries.get(ref)
            if entry is not None:
                self.index.base(entry, number, len(data))
            else:
                # Which segments have a base of it is not known any more: any of them may.
                self.index.gone(ref, number, len(data))
                self.index.bury(ref, number, len(data), {other for other in self.index.segments if other != number})
        if self.machine:
            self._unsynced |= self.failed
        self.failed.clear()
        self._said = False
        log.warning("journal: the folder takes records again")

    # ---- the start

    def _load(self, ahead: Ahead | None) -> None:
        # All that a load makes stays: to look for what may go would take as long as the reading.
        collecting = gc.isenabled()
        gc.disable()
        try:
            self._read_folder(ahead or Ahead())
        finally:
            if collecting:
                gc.enable()

    def _read_folder(self, ahead: Ahead) -> None:
        """Read the folder, and begin a segment of this life's own. Nothing is changed before all can be read."""
        self.index = ahead.index
        try:
            names = self.storage.names()
            numbers = sorted(number for name in names if (number := number_in(name)) is not None)
            read = {number: self.storage.read(name_of(number)) for number in numbers}
            old = self.storage.read(legacy.NAME) if legacy.NAME in names else None
        except OSError as error:
            raise StoreError(f"the journal can't be read: {error.strerror}") from None
        try:
            whole = {number: fmt.number_of(data) == number for number, data in read.items()}
        except LaterVersionError as error:
            raise StoreError(f"the journal was written by a later version: {error}") from None
        catch_up(ahead, numbers)
        newest = numbers[-1] if numbers else 0
        torn: tuple[int, int, int] | None = None
        for number in numbers:
            found = self._replay(number, read.pop(number), whole[number], number == newest, ahead.read.get(number))
            if found is not None:
                torn = (number, *found)
        # Where no segment can be begun, what is noted counts in the newest until it can be put on record.
        self._active = self.index.segments.setdefault(newest, Segment(newest))
        self._last = newest
        if torn is not None:
            self._seal_torn(*torn)
        self._first = newest + 1
        self._doubted = {ref: None for ref, entry in self.entries.items() if entry.uncertain}
        self._begin()
        if old is not None or legacy.SPARE in names:
            self._take_over(old)

    def _replay(
        self, number: int, data: bytes, whole: bool, newest: bool, start: int | None = None
    ) -> tuple[int, int] | None:
        """Take in a segment, or what it has from a place on. The newest may end in what a stop cut off: where, and how
        many records come before."""
        if start is None:
            self.index.segments[number] = Segment(number)
        segment = self.index.segments[number]
        segment.size = len(data)
        self._used += blocks(len(data))
        if not whole:
            if len(data) <= fmt.HEADER.size:  # it was being begun: nothing can have been in it
                self._discard(number)
                return None
            log.warning("journal: segment %d has no header that can be read", number)
            self._damaged(number)
        gap: tuple[int, int] | None = None
        for found in fmt.scan(data, fmt.HEADER.size if start is None else start):
            if isinstance(found, tuple):
                gap = found
                if found[1] < len(data) or not newest:
                    self._passed_over(number, found)
                continue
            segment.records += 1
            self._take(found, number)
            segment.sealed = found.kind is fmt.Kind.SEAL
        if not newest:
            if not segment.sealed and whole and (gap is None or gap[1] < len(data)):
                self._passed_over(number, (len(data), len(data)))
            return None
        if segment.sealed:
            return None
        end = gap[0] if gap is not None and gap[1] == len(data) else len(data)
        if end < len(data):
            log.warning("journal: torn tail of %d bytes cut", len(data) - end)
        return end, segment.records

    def _discard(self, number: int) -> None:
        self._used -= blocks(self.index.segments[number].size)
        self.index.removed(number)
        try:
            self.storage.remove(name_of(number))
        except OSError as error:
            log.error("journal: segment %d cannot be removed: %s", number, error.strerror)

    def _take(self, record: Record, number: int) -> None:
        try:
            self.index.replay(record, number)
        except fmt.FormatError as error:
            log.error("journal: a record of segment %d at %d can't be understood: %s", number, record.at, error)
            self._damaged(number)

    def _passed_over(self, number: int, gap: tuple[int, int]) -> None:
        log.warning("journal: %d damaged bytes passed over in segment %d at %d", gap[1] - gap[0], number, gap[0])
        self._damaged(number)

    def _damaged(self, number: int) -> None:
        self._tainted.add(number)
        self.index.damaged()

    def _seal_torn(self, number: int, end: int, records: int) -> None:
        """Cut what a stop left half written, and seal the rest: from now on it may not end in anything else."""
        segment = self.index.segments[number]
        tail = fmt.seal(records)
        try:
            self.storage.cut(name_of(number), end, tail)
        except OSError as error:
            log.error("journal: segment %d cannot be sealed: %s", number, error.strerror)
            return
        self._used += blocks(end + len(tail)) - blocks(segment.size)
        segment.size, segment.sealed = end + len(tail), True

    def _take_over(self, old: bytes | None) -> None:
        """The one file of earlier versions: its messages are written anew here, then it goes. A take-over that was
        cut off is simply done again: its file still has all."""
        entries, damaged = legacy.read(old) if old is not None else ({}, 0)
        if damaged:
            log.warning("journal: %d damaged bytes passed over in the file of an earlier version", damaged)
        for entry in entries.values():
            size = self._copy(fmt.state(entry), entry.ref)
            self.index.base(entry, self._active.number, size)
        if not self.flush():
            raise StoreError("the journal of an earlier version cannot be taken over: no room in the folder")
        self._sync_all()
        if self.broken:
            raise StoreError("the journal of an earlier version cannot be taken over: it can't be synced")
        for name in (legacy.SPARE, legacy.NAME):
            if name in self.storage.names():
                self.storage.remove(name)
        if old is not None:
            log.info("journal: %d messages taken over from an earlier version's file", len(entries))


def load(storage: Storage) -> tuple[Index, list[str]]:
    """What a folder holds, read without a claim and without a change: also a live relay's. What was wrong, in words."""
    index, said = Index(), list[str]()
    for name in sorted(storage.names()):
        number = number_in(name)
        if number is None:
            continue
        try:
            data = storage.read(name)
        except FileNotFoundError:
            continue  # compacted away meanwhile
        if fmt.number_of(data) != number:
            said.append(f"{name}: no header that can be read")
        segment = index.segments[number] = Segment(number, len(data))
        for found in fmt.scan(data):
            if isinstance(found, tuple):
                said.append(f"{name}: {found[1] - found[0]} bytes at {found[0]} can't be read")
                continue
            segment.records += 1
            segment.sealed = found.kind is fmt.Kind.SEAL
            try:
                index.replay(found, number)
            except fmt.FormatError as error:
                said.append(f"{name}: the record at {found.at} can't be understood: {error}")
    return index, said


def seen(storage: Storage) -> Iterable[tuple[str, Record | tuple[int, int]]]:
    """Every record of a folder in its order, with the segment's name."""
    for name in sorted(storage.names()):
        if number_in(name) is not None:
            for found in fmt.scan(storage.read(name)):
                yield name, found
