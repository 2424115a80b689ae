"""The names of segments, and a folder read without a claim and without a change: also a live relay's."""

from __future__ import annotations

from collections.abc import Iterable

from garnetrelay.store import format as fmt
from garnetrelay.store.format import Record
from garnetrelay.store.index import Index, Segment
from garnetrelay.store.storage import Storage

SUFFIX = ".seg"


def segment_name(number: int) -> str:
    """The file of the segment with this number."""
    return f"{number:016x}{SUFFIX}"


def segment_number(name: str) -> int | None:
    """The number in a segment's name; None for other files."""
    stem = name.removesuffix(SUFFIX)
    if not name.endswith(SUFFIX) or len(stem) != 16 or not all(c in "0123456789abcdef" for c in stem):
        return None
    return int(stem, 16)


def load(storage: Storage) -> tuple[Index, list[str]]:
    """What a folder holds, read without a claim and without a change: also a live relay's. What was wrong, in words."""
    index, said = Index(), list[str]()
    for name in sorted(storage.names()):
        number = segment_number(name)
        if number is None:
            continue
        try:
            data = storage.read(name)
        except FileNotFoundError:
            continue  # compacted away meanwhile
        if fmt.header_number(data) != number:
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


def iter_records(storage: Storage) -> Iterable[tuple[str, Record | tuple[int, int]]]:
    """Every record of a folder in its order, with the segment's name."""
    for name in sorted(storage.names()):
        if segment_number(name) is not None:
            for found in fmt.scan(storage.read(name)):
                yield name, found
