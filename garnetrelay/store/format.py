"""Segments and records as bytes. No I/O.

A segment: a header of 24 bytes (magic, version, number, checksum), then records, at its end a seal. A record: a mark,
its kind, the payload's length, a CRC-32 of the payload that begins from kind and length, and the payload. Numbers are
big-endian.

    TAKEN   a message as it was taken on           STATE    a message's whole state: supersedes all before it
    TRY     an attempt's first byte may go out     OUTCOME  an attempt ended: whether it may have run
    ENDED   over, with a result that is to be told GONE     nothing more is owed: what stands before it is void
    SEAL    the segment is whole: how many records it has
    NOTE    says nothing: written to see whether the folder takes something

A TRY may have eight bytes behind its last field: the epoch in which the relay owned the destination. Earlier programs
of this version pass them over.
"""

from __future__ import annotations

import struct
import sys
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any

import msgspec

VERSION = 1
MAGIC = b"GRELAYSG"
HEADER = struct.Struct(">8sIQI")
RECORD = struct.Struct(">BBII")
MARK = 0xA7
MOST_PAYLOAD = 1 << 20

_ENTRY = struct.Struct(">QIBBH")  # deadline, destination, lengths of ref, class and key
_STATE = struct.Struct(">HBQQBBBI")  # attempts, flags, trying_at, ran_at, lengths of two zones, result, wait
_TRY = struct.Struct(">BQB")
EPOCH = struct.Struct(">Q")
_OUTCOME = struct.Struct(">BB")
_ENDED = struct.Struct(">BBI")
_COUNT = struct.Struct(">I")
NO_KEY = 0xFFFF
TRYING, RAN, UNCERTAIN = 1, 2, 4
RESULTS = ("", "dead", "bounced")


class Kind(IntEnum):
    """What a record says."""

    TAKEN = 1
    STATE = 2
    TRY = 3
    OUTCOME = 4
    ENDED = 5
    GONE = 6
    SEAL = 7
    NOTE = 8


class FormatError(ValueError):
    """Bytes that are no record of this version."""


class LaterVersionError(ValueError):
    """A segment of a version that this program does not know."""


class Entry(msgspec.Struct, eq=False, gc=False):
    """A message as the disk knows it. Times are wall clock, in milliseconds. It holds nothing that could hold it: no
    collection has to look at a hundred thousand of them."""

    ref: str
    klass: str
    dest: int
    key: str | None
    deadline: int
    body: bytes
    attempts: int = 0
    trying_at: int | None = None  # an attempt without an outcome: it may have run
    trying_zone: str = ""
    ran_at: int | None = None  # the first attempt known to have perhaps run
    ran_zone: str = ""
    ended: str | None = None  # a result whose notice is not acknowledged yet
    wait_ms: int = 0
    uncertain: bool = False  # a record was damaged since it was taken: an attempt may be missing
    # Where its records lie: the index keeps these.
    base: int = 0
    spread: dict[int, int] = msgspec.field(default_factory=dict)  # bytes of its records, by segment
    stale: tuple[int, ...] = ()  # segments with an older base

    def __eq__(self, other: object) -> bool:
        """Alike in what the disk knows, wherever that stands."""
        return isinstance(other, Entry) and _known(self) == _known(other)


class Record(msgspec.Struct, gc=False):
    """A record that was read. ``at`` and ``size`` are its place in the segment."""

    kind: Kind
    payload: bytes
    at: int
    size: int


def _known(entry: Entry) -> tuple[Any, ...]:
    return (
        entry.ref,
        entry.klass,
        entry.dest,
        entry.key,
        entry.deadline,
        entry.body,
        entry.attempts,
        entry.trying_at,
        entry.trying_zone,
        entry.ran_at,
        entry.ran_zone,
        entry.ended,
        entry.wait_ms,
        entry.uncertain,
    )


# ---- writing


def header(number: int) -> bytes:
    """A segment's first bytes, with its own checksum."""
    head = HEADER.pack(MAGIC, VERSION, number, 0)[:-4]
    return head + zlib.crc32(head).to_bytes(4, "big")


def pack(kind: Kind, payload: bytes) -> bytes:
    """A record."""
    length = len(payload)
    return RECORD.pack(MARK, kind, length, zlib.crc32(payload, kind << 24 ^ length)) + payload


def taken(entry: Entry) -> bytes:
    """A message is taken on, with all that is needed to deliver it."""
    return pack(Kind.TAKEN, _entry(entry))


def state(entry: Entry) -> bytes:
    """Its whole state. A result that the format has no number for does not occur."""
    trying, ran = entry.trying_zone.encode(), entry.ran_zone.encode()
    flags = TRYING * (entry.trying_at is not None) + RAN * (entry.ran_at is not None) + UNCERTAIN * entry.uncertain
    more = _STATE.pack(
        min(entry.attempts, 0xFFFF),
        flags,
        entry.trying_at or 0,
        entry.ran_at or 0,
        len(trying),
        len(ran),
        RESULTS.index(entry.ended or ""),
        min(entry.wait_ms, 0xFFFFFFFF),
    )
    return pack(Kind.STATE, more + trying + ran + _entry(entry))


def trying(ref: str, zone: str, at: int, epoch: int | None = None) -> bytes:
    """An attempt begins at a time (wall clock, milliseconds) at a host of this zone."""
    name, where = ref.encode(), zone.encode()
    stamp = b"" if epoch is None else EPOCH.pack(epoch)
    return pack(Kind.TRY, _TRY.pack(len(name), at, len(where)) + name + where + stamp)


def outcome(ref: str, ran: bool) -> bytes:
    """The last attempt has an outcome; ``ran``: its effect may have happened."""
    name = ref.encode()
    return pack(Kind.OUTCOME, _OUTCOME.pack(len(name), ran) + name)


def ended(ref: str, result: str, wait_ms: int) -> bytes:
    """The message is over and a notice has to tell it: one of ``RESULTS``, with a wait (milliseconds)."""
    name = ref.encode()
    return pack(Kind.ENDED, _ENDED.pack(len(name), RESULTS.index(result), min(wait_ms, 0xFFFFFFFF)) + name)


def gone(ref: str) -> bytes:
    """Nothing of the message is owed any more."""
    return pack(Kind.GONE, ref.encode())


def seal(count: int) -> bytes:
    """The end of a segment, with the count of records before it."""
    return pack(Kind.SEAL, _COUNT.pack(count))


SEAL_SIZE = len(seal(0))
NOTE = pack(Kind.NOTE, b"")


def _entry(entry: Entry) -> bytes:
    ref, klass = entry.ref.encode(), entry.klass.encode()
    key = b"" if entry.key is None else entry.key.encode()
    return (
        _ENTRY.pack(entry.deadline, entry.dest, len(ref), len(klass), NO_KEY if entry.key is None else len(key))
        + ref
        + klass
        + key
        + entry.body
    )


# ---- reading


def header_number(data: bytes) -> int | None:
    """A segment's own number; None where its header can't be read. LaterVersionError for one of a later format."""
    if len(data) < HEADER.size:
        return None
    magic, version, number, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or zlib.crc32(data[: HEADER.size - 4]) != checksum:
        return None
    if version > VERSION:
        raise LaterVersionError(f"segment {number} has format {version}, and this program knows {VERSION}")
    return int(number)


_KINDS = (Kind.NOTE, *Kind)  # by number; none has 0
_RECORD_SIZE = RECORD.size
_unpack_record = RECORD.unpack_from


def record_at(data: bytes, at: int) -> Record | None:
    """The record that begins there, if one does."""
    start = at + _RECORD_SIZE
    if start > len(data) or data[at] != MARK:
        return None
    _, kind, length, checksum = _unpack_record(data, at)
    end = start + length
    if length > MOST_PAYLOAD or end > len(data) or not 0 < kind < len(_KINDS):
        return None
    payload = data[start:end]
    if zlib.crc32(payload, kind << 24 ^ length) != checksum:
        return None
    return Record(_KINDS[kind], payload, at, end - at)


def scan(data: bytes, at: int = HEADER.size) -> Iterator[Record | tuple[int, int]]:
    """A segment's records, or those from a place on, and between them what can't be read: from where to where. What
    can't be read at its end comes last, as any other."""
    while at < len(data):
        record = record_at(data, at)
        if record is not None:
            yield record
            at += record.size
            continue
        following = at + 1
        while (following := data.find(MARK, following)) >= 0 and record_at(data, following) is None:
            following += 1
        end = len(data) if following < 0 else following
        yield at, end
        at = end


def read_entry(record: Record) -> Entry:
    """The message of a TAKEN or STATE record; FormatError where it can't be read."""
    payload = record.payload
    try:
        if record.kind is Kind.TAKEN:
            return _read_entry(payload)
        attempts, flags, trying_at, ran_at, trying_size, ran_size, result, wait = _STATE.unpack_from(payload)
        at = _STATE.size
        entry = _read_entry(payload[at + trying_size + ran_size :])
        entry.attempts = attempts
        entry.trying_at = trying_at if flags & TRYING else None
        entry.trying_zone = payload[at : at + trying_size].decode()
        entry.ran_at = ran_at if flags & RAN else None
        entry.ran_zone = payload[at + trying_size : at + trying_size + ran_size].decode()
        entry.ended = RESULTS[result] or None
        entry.wait_ms = wait
        entry.uncertain = bool(flags & UNCERTAIN)
        return entry
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        raise FormatError(str(error)) from None


def _read_entry(payload: bytes) -> Entry:
    deadline, dest, ref_size, klass_size, key_size = _ENTRY.unpack_from(payload)
    at = _ENTRY.size
    ref = payload[at : at + ref_size].decode()
    at += ref_size
    klass = sys.intern(payload[at : at + klass_size].decode())  # a few names, in every message
    at += klass_size
    key = None
    if key_size != NO_KEY:
        key = payload[at : at + key_size].decode()
        at += key_size
    return Entry(ref, klass, dest, key, deadline, payload[at:])


def read_try(record: Record) -> tuple[str, int, str]:
    """Ref, time and zone of an attempt."""
    try:
        size, at, zone_size = _TRY.unpack_from(record.payload)
        start = _TRY.size
        return (
            record.payload[start : start + size].decode(),
            at,
            record.payload[start + size : start + size + zone_size].decode(),
        )
    except (struct.error, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from None


def read_epoch(record: Record) -> int | None:
    """The epoch of an attempt; None where none is on record."""
    try:
        size, _, zone_size = _TRY.unpack_from(record.payload)
        stamp = record.payload[_TRY.size + size + zone_size :]
        return int(EPOCH.unpack(stamp)[0]) if stamp else None
    except struct.error as error:
        raise FormatError(str(error)) from None


def read_outcome(record: Record) -> tuple[str, bool]:
    """The ref, and whether the attempt may have run; FormatError where it can't be read."""
    try:
        size, ran = _OUTCOME.unpack_from(record.payload)
        return record.payload[_OUTCOME.size : _OUTCOME.size + size].decode(), bool(ran)
    except (struct.error, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from None


def read_ended(record: Record) -> tuple[str, str, int]:
    """The ref, the result and the wait in milliseconds; FormatError where it can't be read."""
    try:
        size, result, wait = _ENDED.unpack_from(record.payload)
        return record.payload[_ENDED.size : _ENDED.size + size].decode(), RESULTS[result], wait
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        raise FormatError(str(error)) from None


def read_gone(record: Record) -> str:
    """The ref; FormatError where it can't be read."""
    try:
        return record.payload.decode()
    except UnicodeDecodeError as error:
        raise FormatError(str(error)) from None


def read_seal(record: Record) -> int:
    """The count of records before it; FormatError where it can't be read."""
    try:
        return int(_COUNT.unpack(record.payload)[0])
    except struct.error as error:
        raise FormatError(str(error)) from None


def ref_of(record: Record) -> str:
    """Whose record it is; empty for one that is of no message."""
    match record.kind:
        case Kind.TAKEN | Kind.STATE:
            return read_entry(record).ref
        case Kind.TRY:
            return read_try(record)[0]
        case Kind.OUTCOME:
            return read_outcome(record)[0]
        case Kind.ENDED:
            return read_ended(record)[0]
        case Kind.GONE:
            return read_gone(record)
        case _:
            return ""
