"""The index of the journal: entries, where their records are, and how much of each segment is live. No I/O.

A message has one current base record (TAKEN or STATE) and later records that apply to it, possibly in other segments.
Earlier base records are stale. A GONE record is a tombstone: it is needed as long as any other segment has a base record
of its message, since without it that base record would restore the message at the next start.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from garnetrelay.store import format as fmt
from garnetrelay.store.ended_refs import EndedRefs
from garnetrelay.store.format import EndedRef, Entry, KeyRest, Kind, Record

DEFAULT_MAX_ATTEMPTS = 6  # attempts of a message, unless the settings say otherwise
# Bytes of a message's records that depend neither on its ref, key and body nor on its attempts: record heads and times.
FIXED_RECORD_BYTES = 416
ATTEMPT_RECORD_BYTES = 64  # the same for one attempt and its outcome, with the zone's name


def reserved_bytes(
    ref: str,
    key: str | None,
    body_length: int,
    max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    attempt_bytes: int = ATTEMPT_RECORD_BYTES,
) -> int:
    """Upper bound in bytes of all records of a message: its base, all attempts with their outcomes, its end, and its ref
    after that."""
    return (
        body_length
        + (2 * max_attempts + 3) * len(ref)
        + 2 * len(key or "")
        + FIXED_RECORD_BYTES
        + max_attempts * attempt_bytes
        + fmt.ended_ref_size(ref)
    )


@dataclass(slots=True)
class Segment:
    """One segment file."""

    number: int
    size: int = 0
    live: int = 0  # bytes of its records that are needed
    records: int = 0
    sealed: bool = False
    entries: dict[str, None] = field(default_factory=dict)  # messages with needed records here
    tombstones: dict[str, int] = field(default_factory=dict)  # needed GONE records, with their size in bytes
    stale: set[str] = field(default_factory=set)  # messages with a stale base record here
    rests: dict[str, int] = field(default_factory=dict)  # keys whose rest is recorded here, with its size in bytes
    ended: dict[str, None] = field(default_factory=dict)  # refs of ended messages that are recorded here

    @property
    def needed(self) -> bool:
        """Whether any of its records is needed."""
        return bool(self.entries or self.tombstones or self.rests or self.ended)


@dataclass(slots=True)
class Tombstone:
    """A GONE record that is needed."""

    segment: int | None  # None: its segment was removed, and its copy is not read yet
    bases: set[int]  # other segments with a base record of its message


class RecordedRest(NamedTuple):
    """The latest recorded rest of a key, and its segment."""

    rest: KeyRest
    segment: int


class Index:
    """All entries and segments. ``reserved``: upper bound in bytes of all records of the live messages, of rests, and of
    the refs of ended messages."""

    def __init__(self) -> None:
        self.max_attempts = DEFAULT_MAX_ATTEMPTS  # of a message
        self.attempt_bytes = ATTEMPT_RECORD_BYTES
        self.entries: dict[str, Entry] = {}
        self.segments: dict[int, Segment] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self.rests: dict[str, RecordedRest] = {}  # by key
        self.ended = EndedRefs()
        self.reserved = 0
        self.live = 0  # bytes of all records that are needed

    def set_attempt_limits(self, max_attempts: int, epochs: bool = False) -> None:
        """Sets how many attempts a message may have, and whether each records an epoch; applies to all entries."""
        self.max_attempts = max_attempts
        self.attempt_bytes = ATTEMPT_RECORD_BYTES + fmt.EPOCH.size * epochs
        self.reserved = sum(self.reserved_bytes(e.ref, e.key, len(e.body)) for e in self.entries.values())
        self.reserved += sum(sum(segment.rests.values()) for segment in self.segments.values())
        self.reserved += sum(fmt.ended_ref_size(ref) for segment in self.segments.values() for ref in segment.ended)

    def reserved_bytes(self, ref: str, key: str | None, body_length: int) -> int:
        """Upper bound in bytes of all records of a message."""
        return reserved_bytes(ref, key, body_length, self.max_attempts, self.attempt_bytes)

    @property
    def needed_records(self) -> int:
        """How many copies a compaction of all segments would write."""
        return len(self.entries) + len(self.tombstones) + len(self.rests) + len(self.ended)

    # ---- records that were written or read

    def set_base(self, entry: Entry, number: int, size: int) -> None:
        """Adds a base record in a segment; the message's earlier records are not needed any more."""
        old, tombstone = self.entries.get(entry.ref), self.tombstones.get(entry.ref)
        if old is not None or tombstone is not None:
            self._supersede(entry, old, tombstone, number)
        entry.base, entry.spread = number, {}
        self.entries[entry.ref] = entry
        self.reserved += self.reserved_bytes(entry.ref, entry.key, len(entry.body))
        self.add_record(entry, number, size)

    def _supersede(self, entry: Entry, old: Entry | None, tombstone: Tombstone | None, number: int) -> None:
        stale: set[int] = set()
        if old is not None:
            self.reserved -= self.reserved_bytes(old.ref, old.key, len(old.body))
            self._subtract_records(old)
            stale = {*old.stale, old.base}
        if tombstone is not None:
            stale |= tombstone.bases
            self._drop_tombstone(entry.ref, tombstone)
        stale.discard(number)
        entry.stale = tuple(other for other in stale if other in self.segments)
        for other in entry.stale:
            self.segments[other].stale.add(entry.ref)

    def add_record(self, entry: Entry, number: int, size: int) -> None:
        """Adds a record of a message after its base record."""
        entry.spread[number] = entry.spread.get(number, 0) + size
        segment = self.segments[number]
        segment.live += size
        self.live += size
        segment.entries[entry.ref] = None

    def set_gone(self, ref: str, number: int, size: int) -> None:
        """Adds a GONE record: removes the entry, and keeps a tombstone where one is needed."""
        entry = self.entries.pop(ref, None)
        if entry is not None and entry.base == number and not entry.stale and ref not in self.tombstones:
            # Its only base record is in the same segment and is removed with it: no tombstone is needed.
            self.reserved -= self.reserved_bytes(ref, entry.key, len(entry.body))
            self._subtract_records(entry)
            return
        bases: set[int] = set()
        if entry is not None:
            self.reserved -= self.reserved_bytes(entry.ref, entry.key, len(entry.body))
            self._subtract_records(entry)
            bases = {*entry.stale, entry.base}
        tombstone = self.tombstones.get(ref)
        if tombstone is not None:
            bases |= tombstone.bases
            self._drop_tombstone(ref, tombstone)
        self.add_tombstone(ref, number, size, bases)

    def add_tombstone(self, ref: str, number: int, size: int, bases: set[int]) -> None:
        """Keeps a GONE record as long as other segments have base records of its message."""
        tombstone = self.tombstones.get(ref)
        if tombstone is not None:
            self._drop_tombstone(ref, tombstone)
        # A base record in the same segment is removed together with the GONE record.
        bases = {other for other in bases if other in self.segments and other != number}
        if not bases:
            return
        self.tombstones[ref] = Tombstone(number, bases)
        segment = self.segments[number]
        segment.tombstones[ref] = size
        segment.live += size
        self.live += size
        for other in bases:
            self.segments[other].stale.add(ref)

    def drop_body(self, entry: Entry) -> None:
        """Frees the body of a message that has ended: only its notice is pending. The bytes that its base record has
        of the body are not live any more: compaction copies the record without them."""
        size = len(entry.body)
        self.reserved -= size
        entry.spread[entry.base] -= size
        self.segments[entry.base].live -= size
        self.live -= size
        entry.body = b""

    def set_rest(self, rest: KeyRest, number: int, size: int) -> None:
        """Adds the record of a key's rest; earlier ones of the key are not needed any more."""
        self.drop_rest(rest.key)
        self.rests[rest.key] = RecordedRest(rest, number)
        segment = self.segments[number]
        segment.rests[rest.key] = size
        segment.live += size
        self.live += size
        self.reserved += size

    def drop_rest(self, key: str) -> None:
        """Removes a key's rest, if there is one: it is over."""
        recorded = self.rests.pop(key, None)
        segment = None if recorded is None else self.segments.get(recorded.segment)
        if segment is not None:
            size = segment.rests.pop(key)
            segment.live -= size
            self.live -= size
            self.reserved -= size

    def set_ended(self, ended: EndedRef, number: int) -> None:
        """Adds the record of an ended message's ref; earlier ones of the ref are not needed any more."""
        self._subtract_ended(ended.ref)
        self.ended.set(ended, number)
        self._add_ended(self.segments[number], ended.ref, fmt.ended_ref_size(ended.ref))

    def move_ended(self, refs: list[str], old: Segment, number: int, size: int) -> None:
        """Moves refs of ended messages, which were taken out of a segment, to the segment with their copies."""
        self.ended.move(refs, number)
        segment = self.segments[number]
        segment.ended.update(dict.fromkeys(refs))
        segment.live += size
        old.live -= size

    def drop_ended(self, ref: str) -> None:
        """Forgets the ref of an ended message."""
        self._subtract_ended(ref)
        self.ended.remove(ref)

    def _add_ended(self, segment: Segment, ref: str, size: int) -> None:
        segment.ended[ref] = None
        segment.live += size
        self.live += size
        self.reserved += size

    def _subtract_ended(self, ref: str) -> None:
        known = self.ended.get(ref)
        segment = None if known is None else self.segments.get(known.segment)
        if segment is not None and ref in segment.ended:
            size = fmt.ended_ref_size(ref)
            del segment.ended[ref]
            segment.live -= size
            self.live -= size
            self.reserved -= size

    def remove_segment(self, number: int) -> None:
        """Removes a segment whose file was removed; none of its records was needed."""
        segment = self.segments.pop(number)
        for ref in segment.stale:
            tombstone = self.tombstones.get(ref)
            if tombstone is not None:
                tombstone.bases.discard(number)
                if not tombstone.bases:
                    self._drop_tombstone(ref, tombstone)
            elif (entry := self.entries.get(ref)) is not None:
                entry.stale = tuple(other for other in entry.stale if other != number)

    def forget_segment(self, number: int) -> None:
        """Removes a preloaded segment that was compacted after it was read.

        Messages with their base record there, and tombstones there, were copied to later segments or are not needed any
        more. Other segments may still have stale base records of these messages: they are kept in mind for the copies.
        """
        segment = self.segments[number]
        for ref in list(segment.entries):
            entry = self.entries[ref]
            if entry.base == number:
                del self.entries[ref]
                self.reserved -= self.reserved_bytes(ref, entry.key, len(entry.body))
                self._subtract_records(entry)
                if entry.stale:
                    self.tombstones[ref] = Tombstone(None, set(entry.stale))
            else:
                size = entry.spread.pop(number)
                segment.live -= size
                self.live -= size
                del segment.entries[ref]
        for ref, size in segment.tombstones.items():
            self.tombstones[ref].segment = None
            segment.live -= size
            self.live -= size
        for key in list(segment.rests):
            self.drop_rest(key)
        for ref in list(segment.ended):
            self.drop_ended(ref)
        self.remove_segment(number)

    def _subtract_records(self, entry: Entry) -> None:
        for number, size in entry.spread.items():
            segment = self.segments.get(number)
            if segment is not None:
                segment.live -= size
                self.live -= size
                segment.entries.pop(entry.ref, None)
        entry.spread = {}

    def _drop_tombstone(self, ref: str, tombstone: Tombstone) -> None:
        del self.tombstones[ref]
        segment = None if tombstone.segment is None else self.segments.get(tombstone.segment)
        if segment is not None:
            size = segment.tombstones.pop(ref, 0)
            segment.live -= size
            self.live -= size

    # ---- replay

    def replay(self, record: Record, number: int) -> None:
        """Applies a record that was read; FormatError if its payload is invalid."""
        match record.kind:
            case Kind.TAKEN | Kind.STATE:
                self.set_base(fmt.read_entry(record), number, record.size)
            case Kind.TRY:
                ref, at, zone = fmt.read_try(record)
                if (entry := self.entries.get(ref)) is not None:
                    apply_attempt(entry, at, zone)
                    self.add_record(entry, number, record.size)
            case Kind.OUTCOME:
                ref, ran = fmt.read_outcome(record)
                if (entry := self.entries.get(ref)) is not None:
                    apply_outcome(entry, ran)
                    self.add_record(entry, number, record.size)
            case Kind.ENDED:
                ref, result, wait = fmt.read_ended(record)
                if (entry := self.entries.get(ref)) is not None:
                    entry.ended, entry.wait_ms = result, wait
                    self.drop_body(entry)
                    self.add_record(entry, number, record.size)
            case Kind.GONE:
                self.set_gone(fmt.read_gone(record), number, record.size)
            case Kind.NOTE:
                if (rest := fmt.read_key_rest(record)) is not None:
                    self.set_rest(rest, number, record.size)
                elif (ended := fmt.read_ended_ref(record)) is not None:
                    self.set_ended(ended, number)
            case Kind.SEAL:
                pass

    def mark_all_uncertain(self) -> None:
        """Marks all entries uncertain: after unreadable bytes a record of an attempt may be missing for any of them."""
        for entry in self.entries.values():
            entry.uncertain = True


def apply_attempt(entry: Entry, at: int, zone: str) -> None:
    """Applies the start of an attempt.

    An earlier attempt without an outcome, as a kill leaves one, may have run. That is kept in ``ran_at``, since the new
    attempt's outcome will clear ``trying_at``.
    """
    if entry.trying_at is not None and entry.ran_at is None:
        entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
    entry.attempts += 1
    entry.trying_at, entry.trying_zone = at, zone


def apply_outcome(entry: Entry, ran: bool) -> None:
    """Applies the outcome of the latest attempt."""
    if ran and entry.ran_at is None:
        entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
        if entry.ran_at is None:  # the attempt's TRY record is missing
            entry.uncertain = True
    entry.trying_at = None
