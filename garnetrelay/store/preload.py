"""Reads a live folder ahead of the claim on it, so that a start that takes it over has to read only what came since.

Whatever the process that works on the folder does meanwhile, the files that are there when the claim is taken are the
truth: segments that grew are read from where this reading ended, new ones whole, and what stood in segments that are
gone was written anew behind it, or is over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from garnetrelay.store import format as fmt
from garnetrelay.store.index import Index, Segment
from garnetrelay.store.storage import Storage


@dataclass(slots=True)
class Preloaded:
    """What has been read: the index of it, and up to where in each segment (bytes)."""

    index: Index = field(default_factory=Index)
    read: dict[int, int] = field(default_factory=dict)


def preload_folder(storage: Storage, segment_number: Callable[[str], int | None]) -> Preloaded | None:
    """None where there is anything that only a start can judge: damage, a later version, a failing folder."""
    found = Preloaded()
    try:
        names = {number: name for name in storage.names() if (number := segment_number(name)) is not None}
        for number in sorted(names):
            try:
                data = storage.read(names[number])
            except FileNotFoundError:
                continue  # cleaned meanwhile
            if fmt.header_number(data) != number:
                if number == max(names):
                    break  # it is being begun
                return None
            if not _take(found, number, data, number == max(names)):
                return None
    except (OSError, fmt.LaterVersionError, fmt.FormatError):
        return None
    return found


def _take(found: Preloaded, number: int, data: bytes, newest: bool) -> bool:
    """One segment, up to its end or to where it is being written; whether it could be read so."""
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
        end = record.at + record.size
    found.read[number] = segment.size = end
    return True


def drop_removed_segments(preloaded: Preloaded, numbers: list[int]) -> None:
    """Leave out of account what is not there any more. ``numbers`` are the segments that are."""
    for number in sorted(preloaded.read.keys() - set(numbers)):
        preloaded.index.vanished(number)
        del preloaded.read[number]
