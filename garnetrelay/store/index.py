"""What the store holds and where its records lie: what is live in each segment, and what may go. No I/O.

A message has one base (TAKEN or STATE) that counts, and behind it records that belong to it, perhaps in other segments.
Older bases are stale: a GONE record is needed for as long as any other segment still has a base of its message, or that
base would bring the message back.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetrelay.store import format as fmt
from garnetrelay.store.format import Entry, Kind, Record

TRIES = 6  # of a message, where nobody says how many there may be
FIXED = 416  # of all its records, what depends neither on the message nor on its attempts: frames and times
EACH = 64  # the same for an attempt and its outcome, with the name of a building


def reserve(ref: str, key: str | None, body_length: int, tries: int = TRIES, each: int = EACH) -> int:
    """What a message may come to take in all (bytes): its base, so many attempts, their outcomes, its end."""
    return body_length + (2 * tries + 3) * len(ref) + 2 * len(key or "") + FIXED + tries * each


@dataclass(slots=True)
class Segment:
    """One file of the store."""

    number: int
    size: int = 0
    live: int = 0  # bytes of its records that are still needed
    records: int = 0
    sealed: bool = False
    entries: dict[str, None] = field(default_factory=dict)  # messages with needed records here
    tombs: dict[str, int] = field(default_factory=dict)  # needed GONE records, with their size
    stale: set[str] = field(default_factory=set)  # messages with a base here that counts no more


@dataclass(slots=True)
class Tomb:
    """A GONE record that is needed."""

    segment: int
    bases: set[int]  # other segments with a base of its message


class Index:
    """All entries and segments. ``reserved`` counts what live messages may come to take."""

    def __init__(self) -> None:
        self.tries = TRIES  # attempts that the settings allow a message
        self.each = EACH
        self.entries: dict[str, Entry] = {}
        self.segments: dict[int, Segment] = {}
        self.tombs: dict[str, Tomb] = {}
        self.reserved = 0
        self.live = 0  # bytes of all records that are still needed

    def allow(self, tries: int, epochs: bool = False) -> None:
        """From now on a message may have so many attempts, with an epoch each or without: those that are there too."""
        self.tries = tries
        self.each = EACH + fmt.EPOCH.size * epochs
        self.reserved = sum(self.reserve(e.ref, e.key, len(e.body)) for e in self.entries.values())

    def reserve(self, ref: str, key: str | None, body_length: int) -> int:
        """What a message may come to take in all (bytes)."""
        return reserve(ref, key, body_length, self.tries, self.each)

    # ---- records that have been written, or were read

    def base(self, entry: Entry, number: int, size: int) -> None:
        """A record with the whole of a message stands in a segment: all before it counts no more."""
        old, tomb = self.entries.get(entry.ref), self.tombs.get(entry.ref)
        if old is not None or tomb is not None:
            self._supersede(entry, old, tomb, number)
        entry.base, entry.spread = number, {}
        self.entries[entry.ref] = entry
        self.reserved += self.reserve(entry.ref, entry.key, len(entry.body))
        self.more(entry, number, size)

    def _supersede(self, entry: Entry, old: Entry | None, tomb: Tomb | None, number: int) -> None:
        stale: set[int] = set()
        if old is not None:
            self.reserved -= self.reserve(old.ref, old.key, len(old.body))
            self._unplace(old)
            stale = {*old.stale, old.base}
        if tomb is not None:
            stale |= tomb.bases
            self._drop_tomb(entry.ref, tomb)
        stale.discard(number)
        entry.stale = tuple(other for other in stale if other in self.segments)
        for other in entry.stale:
            self.segments[other].stale.add(entry.ref)

    def more(self, entry: Entry, number: int, size: int) -> None:
        """A further record of a message stands in a segment."""
        entry.spread[number] = entry.spread.get(number, 0) + size
        segment = self.segments[number]
        segment.live += size
        self.live += size
        segment.entries[entry.ref] = None

    def gone(self, ref: str, number: int, size: int) -> None:
        """A GONE record stands in a segment."""
        entry = self.entries.pop(ref, None)
        if entry is not None and entry.base == number and not entry.stale and ref not in self.tombs:
            # Its one base goes with this very segment: nothing can bring it back.
            self.reserved -= self.reserve(ref, entry.key, len(entry.body))
            self._unplace(entry)
            return
        bases: set[int] = set()
        if entry is not None:
            self.reserved -= self.reserve(entry.ref, entry.key, len(entry.body))
            self._unplace(entry)
            bases = {*entry.stale, entry.base}
        tomb = self.tombs.get(ref)
        if tomb is not None:
            bases |= tomb.bases
            self._drop_tomb(ref, tomb)
        self.bury(ref, number, size, bases)

    def bury(self, ref: str, number: int, size: int, bases: set[int]) -> None:
        """Keep a GONE record for as long as there are bases elsewhere."""
        tomb = self.tombs.get(ref)
        if tomb is not None:
            self._drop_tomb(ref, tomb)
        # A base in its own segment goes with it.
        bases = {other for other in bases if other in self.segments and other != number}
        if not bases:
            return
        self.tombs[ref] = Tomb(number, bases)
        segment = self.segments[number]
        segment.tombs[ref] = size
        segment.live += size
        self.live += size
        for other in bases:
            self.segments[other].stale.add(ref)

    def empty_body(self, entry: Entry) -> None:
        """It has ended and only has to be told: its body is not needed any more."""
        self.reserved -= len(entry.body)
        entry.body = b""

    def removed(self, number: int) -> None:
        """A segment's file is gone; nothing in it was needed."""
        segment = self.segments.pop(number)
        for ref in segment.stale:
            tomb = self.tombs.get(ref)
            if tomb is not None:
                tomb.bases.discard(number)
                if not tomb.bases:
                    self._drop_tomb(ref, tomb)
            elif (entry := self.entries.get(ref)) is not None:
                entry.stale = tuple(other for other in entry.stale if other != number)

    def vanished(self, number: int) -> None:
        """A segment that was read is gone: it was cleaned meanwhile. What had its base there was written anew behind
        it or is over, and so are the ends that were kept there."""
        segment = self.segments[number]
        for ref in list(segment.entries):
            entry = self.entries[ref]
            if entry.base == number:
                del self.entries[ref]
                self.reserved -= self.reserve(ref, entry.key, len(entry.body))
                self._unplace(entry)
        for ref in list(segment.tombs):
            self._drop_tomb(ref, self.tombs[ref])
        self.removed(number)

    def _unplace(self, entry: Entry) -> None:
        for number, size in entry.spread.items():
            segment = self.segments.get(number)
            if segment is not None:
                segment.live -= size
                self.live -= size
                segment.entries.pop(entry.ref, None)
        entry.spread = {}

    def _drop_tomb(self, ref: str, tomb: Tomb) -> None:
        del self.tombs[ref]
        segment = self.segments.get(tomb.segment)
        if segment is not None:
            size = segment.tombs.pop(ref, 0)
            segment.live -= size
            self.live -= size

    # ---- what a record means

    def replay(self, record: Record, number: int) -> None:
        """Take in a record that was read; FormatError where it can't be understood."""
        match record.kind:
            case Kind.TAKEN | Kind.STATE:
                self.base(fmt.read_entry(record), number, record.size)
            case Kind.TRY:
                ref, at, zone = fmt.read_try(record)
                if (entry := self.entries.get(ref)) is not None:
                    begin(entry, at, zone)
                    self.more(entry, number, record.size)
            case Kind.OUTCOME:
                ref, ran = fmt.read_outcome(record)
                if (entry := self.entries.get(ref)) is not None:
                    settle(entry, ran)
                    self.more(entry, number, record.size)
            case Kind.ENDED:
                ref, result, wait = fmt.read_ended(record)
                if (entry := self.entries.get(ref)) is not None:
                    entry.ended, entry.wait_ms = result, wait
                    self.empty_body(entry)
                    self.more(entry, number, record.size)
            case Kind.GONE:
                self.gone(fmt.read_gone(record), number, record.size)
            case Kind.SEAL | Kind.NOTE:
                pass

    def damaged(self) -> None:
        """Something can't be read: of all messages known so far an attempt may be missing."""
        for entry in self.entries.values():
            entry.uncertain = True


def begin(entry: Entry, at: int, zone: str) -> None:
    """An attempt is about to go out. One before it without an outcome (a kill came between) may have run: behind the
    new one's outcome nothing else would say so."""
    if entry.trying_at is not None and entry.ran_at is None:
        entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
    entry.attempts += 1
    entry.trying_at, entry.trying_zone = at, zone


def settle(entry: Entry, ran: bool) -> None:
    """The attempt has an outcome."""
    if ran and entry.ran_at is None:
        entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
        if entry.ran_at is None:  # the attempt's own record is missing
            entry.uncertain = True
    entry.trying_at = None
