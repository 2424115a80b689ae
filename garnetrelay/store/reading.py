"""Segment file names, and read-only access to a state folder without its lock, also beside a live relay."""

from __future__ import annotations

from collections.abc import Iterable

from garnetrelay.store import format as fmt
from garnetrelay.store.format import Record
from garnetrelay.store.index import Index, Segment
from garnetrelay.store.storage import Storage

SUFFIX = ".seg"


def segment_name(number: int) -> str:
    """The file name of the segment with this number."""
    return f"{number:016x}{SUFFIX}"


def segment_number(name: str) -> int | None:
    """The number in a segment's file name; None for other files."""
    stem = name.removesuffix(SUFFIX)
    if not name.endswith(SUFFIX) or len(stem) != 16 or not all(c in "0123456789abcdef" for c in stem):
        return None
    return int(stem, 16)


def load(storage: Storage) -> tuple[Index, list[str]]:
    """The index of a folder, and one line for each problem found. Needs no lock and changes nothing."""
    index, problems = Index(), list[str]()
    for name in sorted(storage.names()):
        number = segment_number(name)
        if number is None:
            continue
        try:
            data = storage.read(name)
        except FileNotFoundError:
            continue  # compacted and removed meanwhile
        if fmt.header_number(data) != number:
            problems.append(f"{name}: the header is unreadable")
        segment = index.segments[number] = Segment(number, len(data))
        for found in fmt.scan(data):
            if isinstance(found, tuple):
                problems.append(f"{name}: {found[1] - found[0]} bytes at {found[0]} are unreadable")
                continue
            segment.records += 1
            segment.sealed = found.kind is fmt.Kind.SEAL
            try:
                index.replay(found, number)
            except fmt.FormatError as error:
                problems.append(f"{name}: the record at {found.offset} is invalid: {error}")
    return index, problems


def iter_records(storage: Storage) -> Iterable[tuple[str, Record | tuple[int, int]]]:
    """Yields all records and unreadable ranges of a folder in order, each with the segment's file name."""
    for name in sorted(storage.names()):
        if segment_number(name) is not None:
            for found in fmt.scan(storage.read(name)):
                yield name, found
