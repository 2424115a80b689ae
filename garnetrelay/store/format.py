"""The binary format of segments and records. No I/O.

A segment is a header of 24 bytes (magic, version, number, checksum), then records, and a seal at its end. A record is a
mark, its kind, the payload's length, a CRC-32 of the payload seeded with kind and length, and the payload. Integers are
big-endian.

    TAKEN    a message was accepted                    STATE    a message's full state; supersedes earlier records
    TRY      an attempt's first byte may be sent       OUTCOME  an attempt ended; whether it may have run
    ENDED    the message ended, its notice is pending  GONE     nothing is pending; earlier records are void
    SEAL     the segment is complete; its record count
    NOTE     no content: written to test whether the folder accepts writes; or a subkind, and its content: how long a key
             rests, or how long the ref of a message that ended is known. Programs ignore the content of subkinds that
             they do not know.

A TRY may have eight more bytes after its last field: the epoch in which the relay owned the destination. Programs that
know this format version but not epochs ignore them.
"""

from __future__ import annotations

import struct
import sys
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

VERSION = 1
MAGIC = b"GRELAYSG"
HEADER = struct.Struct(">8sIQI")
RECORD = struct.Struct(">BBII")
MARK = 0xA7
MAX_PAYLOAD_BYTES = 1 << 20

_ENTRY = struct.Struct(">QIBBH")  # deadline, destination, lengths of ref, class and key
_STATE = struct.Struct(">HBQQBBBI")  # attempts, flags, trying_at, ran_at, lengths of two zones, result, wait
_TRY = struct.Struct(">BQB")
EPOCH = struct.Struct(">Q")
_OUTCOME = struct.Struct(">BB")
_ENDED = struct.Struct(">BBI")
_COUNT = struct.Struct(">I")
_KEY_REST = struct.Struct(">BQ16s")  # subkind, end, boot
_ENDED_REF = struct.Struct(">BQB")  # subkind, until when, whether it failed
SUBKIND_KEY_REST, SUBKIND_ENDED_REF = 1, 2
NO_KEY = 0xFFFF
FLAG_TRYING, FLAG_RAN, FLAG_UNCERTAIN = 1, 2, 4
RESULTS = ("", "dead", "bounced")


class Kind(IntEnum):
    """Kinds of records, by their number in the file. ``garnetrelay journal show`` prints the names."""

    TAKEN = 1
    STATE = 2
    TRY = 3
    OUTCOME = 4
    ENDED = 5
    GONE = 6
    SEAL = 7
    NOTE = 8


class FormatError(ValueError):
    """The bytes are not a valid record of this version."""


class LaterVersionError(ValueError):
    """The segment has a format version later than this program's."""


class Entry(msgspec.Struct, eq=False, gc=False):
    """A message as it is on disk. Times are wall clock, in milliseconds.

    The garbage collector does not track entries (``gc=False``): they form no reference cycles, and there may be a
    hundred thousand of them. ``legacy.py`` creates entries from JSON keys, so the fields' names must stay.
    """

    ref: str
    klass: str
    dest: int
    key: str | None
    deadline: int
    body: bytes
    attempts: int = 0
    trying_at: int | None = None  # start of an attempt without an outcome; it may have run
    trying_zone: str = ""
    ran_at: int | None = None  # start of the first attempt that may have run
    ran_zone: str = ""
    ended: str | None = None  # the result, while its notice is not acknowledged
    wait_ms: int = 0
    uncertain: bool = False  # a record written after it was accepted is damaged: an attempt may be missing
    # The location of its records, maintained by ``Index``.
    base: int = 0  # the segment with its current base record (TAKEN or STATE)
    spread: dict[int, int] = msgspec.field(default_factory=dict)  # bytes of its live records, by segment
    stale: tuple[int, ...] = ()  # segments with a superseded base record

    def __eq__(self, other: object) -> bool:
        """Compares the stored fields, not the location of the records."""
        return isinstance(other, Entry) and _stored_fields(self) == _stored_fields(other)


class KeyRest(NamedTuple):
    """Until when no message of a key may be sent."""

    key: str
    until: int  # monotonic clock of that boot of the machine, nanoseconds
    boot: bytes  # ID of the boot, 16 bytes


class EndedRef(NamedTuple):
    """The ref of a message that ran and ended, and until when its client may submit it again."""

    ref: str
    until: int  # wall clock, milliseconds
    failed: bool  # the platform was notified that it failed; else it was delivered


class Record(msgspec.Struct, gc=False):
    """A record that was read. ``offset`` and ``size`` locate it in the segment, in bytes."""

    kind: Kind
    payload: bytes
    offset: int
    size: int


def _stored_fields(entry: Entry) -> tuple[Any, ...]:
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
    """Encodes a segment's header, with the header's own checksum."""
    head = HEADER.pack(MAGIC, VERSION, number, 0)[:-4]
    return head + zlib.crc32(head).to_bytes(4, "big")


def pack(kind: Kind, payload: bytes) -> bytes:
    """Encodes a record."""
    length = len(payload)
    return RECORD.pack(MARK, kind, length, zlib.crc32(payload, kind << 24 ^ length)) + payload


def encode_taken(entry: Entry) -> bytes:
    """Encodes a TAKEN record: all that is needed to deliver the message."""
    return pack(Kind.TAKEN, _encode_entry(entry))


def encode_state(entry: Entry) -> bytes:
    """Encodes a STATE record. ``entry.ended`` must be one of ``RESULTS`` or None."""
    trying_zone, ran_zone = entry.trying_zone.encode(), entry.ran_zone.encode()
    flags = (
        FLAG_TRYING * (entry.trying_at is not None)
        + FLAG_RAN * (entry.ran_at is not None)
        + FLAG_UNCERTAIN * entry.uncertain
    )
    head = _STATE.pack(
        min(entry.attempts, 0xFFFF),
        flags,
        entry.trying_at or 0,
        entry.ran_at or 0,
        len(trying_zone),
        len(ran_zone),
        RESULTS.index(entry.ended or ""),
        min(entry.wait_ms, 0xFFFFFFFF),
    )
    return pack(Kind.STATE, head + trying_zone + ran_zone + _encode_entry(entry))


def encode_try(ref: str, zone: str, at: int, epoch: int | None = None) -> bytes:
    """Encodes a TRY record: an attempt that starts at ``at`` (wall clock, milliseconds) at a host in ``zone``."""
    raw_ref, raw_zone = ref.encode(), zone.encode()
    raw_epoch = b"" if epoch is None else EPOCH.pack(epoch)
    return pack(Kind.TRY, _TRY.pack(len(raw_ref), at, len(raw_zone)) + raw_ref + raw_zone + raw_epoch)


def encode_outcome(ref: str, ran: bool) -> bytes:
    """Encodes an OUTCOME record of the latest attempt. ``ran``: its effect may have taken place."""
    raw_ref = ref.encode()
    return pack(Kind.OUTCOME, _OUTCOME.pack(len(raw_ref), ran) + raw_ref)


def encode_ended(ref: str, result: str, wait_ms: int) -> bytes:
    """Encodes an ENDED record: a result of ``RESULTS`` that a notice has to report, and a wait in milliseconds."""
    raw_ref = ref.encode()
    return pack(Kind.ENDED, _ENDED.pack(len(raw_ref), RESULTS.index(result), min(wait_ms, 0xFFFFFFFF)) + raw_ref)


def encode_gone(ref: str) -> bytes:
    """Encodes a GONE record: neither delivery nor a notice is pending for the message."""
    return pack(Kind.GONE, ref.encode())


def encode_seal(count: int) -> bytes:
    """Encodes a SEAL record: the end of a segment, with the number of records before it."""
    return pack(Kind.SEAL, _COUNT.pack(count))


def encode_key_rest(rest: KeyRest) -> bytes:
    """Encodes a NOTE record with the rest of a key."""
    return pack(Kind.NOTE, _KEY_REST.pack(SUBKIND_KEY_REST, rest.until, rest.boot) + rest.key.encode())


def encode_ended_ref(ended: EndedRef) -> bytes:
    """Encodes a NOTE record with the ref of a message that ended."""
    return pack(Kind.NOTE, _ENDED_REF.pack(SUBKIND_ENDED_REF, ended.until, ended.failed) + ended.ref.encode())


def ended_ref_size(ref: str) -> int:
    """The size of that record in bytes."""
    return RECORD.size + _ENDED_REF.size + len(ref.encode())


SEAL_SIZE = len(encode_seal(0))
NOTE_RECORD = pack(Kind.NOTE, b"")


def _encode_entry(entry: Entry) -> bytes:
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
    """The segment number in a header; None if the header is invalid. LaterVersionError for a later format version."""
    if len(data) < HEADER.size:
        return None
    magic, version, number, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or zlib.crc32(data[: HEADER.size - 4]) != checksum:
        return None
    if version > VERSION:
        raise LaterVersionError(f"segment {number} has format {version}, and this program knows {VERSION}")
    return int(number)


_KINDS = (Kind.NOTE, *Kind)  # indexed by kind number; 0 is not used
_RECORD_SIZE = RECORD.size
_unpack_record = RECORD.unpack_from


def record_at(data: bytes, at: int) -> Record | None:
    """The record at the offset ``at``; None if there is no valid one."""
    start = at + _RECORD_SIZE
    if start > len(data) or data[at] != MARK:
        return None
    _, kind, length, checksum = _unpack_record(data, at)
    end = start + length
    if length > MAX_PAYLOAD_BYTES or end > len(data) or not 0 < kind < len(_KINDS):
        return None
    payload = data[start:end]
    if zlib.crc32(payload, kind << 24 ^ length) != checksum:
        return None
    return Record(_KINDS[kind], payload, at, end - at)


def scan(data: bytes, at: int = HEADER.size) -> Iterator[Record | tuple[int, int]]:
    """Yields a segment's records from the offset ``at`` on, and for each unreadable range its start and end offsets.

    An unreadable range at the end of the segment is yielded too.
    """
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
    """Decodes the message of a TAKEN or STATE record; FormatError if the payload is invalid."""
    payload = record.payload
    try:
        if record.kind is Kind.TAKEN:
            return _decode_entry(payload)
        attempts, flags, trying_at, ran_at, trying_size, ran_size, result, wait = _STATE.unpack_from(payload)
        at = _STATE.size
        entry = _decode_entry(payload[at + trying_size + ran_size :])
        entry.attempts = attempts
        entry.trying_at = trying_at if flags & FLAG_TRYING else None
        entry.trying_zone = payload[at : at + trying_size].decode()
        entry.ran_at = ran_at if flags & FLAG_RAN else None
        entry.ran_zone = payload[at + trying_size : at + trying_size + ran_size].decode()
        entry.ended = RESULTS[result] or None
        entry.wait_ms = wait
        entry.uncertain = bool(flags & FLAG_UNCERTAIN)
        return entry
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        raise FormatError(str(error)) from None


def _decode_entry(payload: bytes) -> Entry:
    deadline, dest, ref_size, klass_size, key_size = _ENTRY.unpack_from(payload)
    at = _ENTRY.size
    ref = payload[at : at + ref_size].decode()
    at += ref_size
    klass = sys.intern(payload[at : at + klass_size].decode())  # few distinct names, one in every message
    at += klass_size
    key = None
    if key_size != NO_KEY:
        key = payload[at : at + key_size].decode()
        at += key_size
    return Entry(ref, klass, dest, key, deadline, payload[at:])


def read_try(record: Record) -> tuple[str, int, str]:
    """Decodes ref, time and zone of a TRY record; FormatError if the payload is invalid."""
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
    """Decodes the epoch of a TRY record; None if the record has none. FormatError if the payload is invalid."""
    try:
        size, _, zone_size = _TRY.unpack_from(record.payload)
        raw_epoch = record.payload[_TRY.size + size + zone_size :]
        return int(EPOCH.unpack(raw_epoch)[0]) if raw_epoch else None
    except struct.error as error:
        raise FormatError(str(error)) from None


def read_outcome(record: Record) -> tuple[str, bool]:
    """Decodes an OUTCOME record: the ref, and whether the attempt may have run; FormatError if it is invalid."""
    try:
        size, ran = _OUTCOME.unpack_from(record.payload)
        return record.payload[_OUTCOME.size : _OUTCOME.size + size].decode(), bool(ran)
    except (struct.error, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from None


def read_ended(record: Record) -> tuple[str, str, int]:
    """Decodes an ENDED record: ref, result and wait in milliseconds; FormatError if it is invalid."""
    try:
        size, result, wait = _ENDED.unpack_from(record.payload)
        return record.payload[_ENDED.size : _ENDED.size + size].decode(), RESULTS[result], wait
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        raise FormatError(str(error)) from None


def read_gone(record: Record) -> str:
    """Decodes the ref of a GONE record; FormatError if it is invalid."""
    try:
        return record.payload.decode()
    except UnicodeDecodeError as error:
        raise FormatError(str(error)) from None


def read_seal(record: Record) -> int:
    """Decodes the record count of a SEAL record; FormatError if it is invalid."""
    try:
        return int(_COUNT.unpack(record.payload)[0])
    except struct.error as error:
        raise FormatError(str(error)) from None


def read_key_rest(record: Record) -> KeyRest | None:
    """Decodes a NOTE record; None if it has no content or is of another subkind. FormatError if it is invalid."""
    payload = record.payload
    if not payload or payload[0] != SUBKIND_KEY_REST:
        return None
    try:
        _, until, boot = _KEY_REST.unpack_from(payload)
        return KeyRest(payload[_KEY_REST.size :].decode(), until, boot)
    except (struct.error, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from None


def read_ended_ref(record: Record) -> EndedRef | None:
    """Decodes a NOTE record; None if it has no content or is of another subkind. FormatError if it is invalid."""
    payload = record.payload
    if not payload or payload[0] != SUBKIND_ENDED_REF:
        return None
    try:
        _, until, failed = _ENDED_REF.unpack_from(payload)
        return EndedRef(payload[_ENDED_REF.size :].decode(), until, bool(failed))
    except (struct.error, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from None


def ref_of(record: Record) -> str:
    """The ref of the message that a record belongs to; empty for SEAL and NOTE."""
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
