"""Reads a state folder before its lock is taken, so that an upgrade reads only what was added since.

The process that holds the lock may write meanwhile. The files that exist once the lock is taken are authoritative:
segments that grew are read from the offset where preloading ended, new segments are read whole, and the live records of
segments that are gone were copied to later segments before the removal.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from garnetrelay.store import format as fmt
from garnetrelay.store.index import Index, Segment
from garnetrelay.store.storage import Storage


@dataclass(slots=True)
class Preloaded:
    """The index of the records that were read, and the offset in bytes up to which each segment was read."""

    index: Index = field(default_factory=Index)
    offsets: dict[int, int] = field(default_factory=dict)


def preload_folder(storage: Storage, segment_number: Callable[[str], int | None]) -> Preloaded | None:
    """Reads all segments; None where only a start can decide what to do: damage, a later version, a failing folder."""
    found = Preloaded()
    try:
        names = {number: name for name in storage.names() if (number := segment_number(name)) is not None}
        for number in sorted(names):
            try:
                data = storage.read(names[number])
            except FileNotFoundError:
                continue  # compacted and removed meanwhile
            if fmt.header_number(data) != number:
                if number == max(names):
                    break  # its header is being written
                return None
            if not _read_segment(found, number, data, number == max(names)):
                return None
    except (OSError, fmt.LaterVersionError, fmt.FormatError):
        return None
    return found


def _read_segment(found: Preloaded, number: int, data: bytes, newest: bool) -> bool:
    """Reads a segment to its end, or up to the record being written; False if anything before that is damaged."""
    segment = found.index.segments[number] = Segment(number)
    end = fmt.HEADER.size
    for record in fmt.scan(data):
        if isinstance(record, tuple):
            if not newest or record[1] < len(data):
                return False
            break
        segment.records += 1
        segment.sealed = record.kind is fmt.Kind.SEAL
        found.index.replay(record, number)
        end = record.offset + record.size
    found.offsets[number] = segment.size = end
    return True


def drop_removed_segments(preloaded: Preloaded, numbers: list[int]) -> None:
    """Forgets the preloaded segments that no longer exist. ``numbers``: the segments that do."""
    for number in sorted(preloaded.offsets.keys() - set(numbers)):
        preloaded.index.forget_segment(number)
        del preloaded.offsets[number]
