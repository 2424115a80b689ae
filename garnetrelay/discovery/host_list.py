"""The list of hosts in discovery's form: versions taken apart, read and described. No I/O.

Source: the protocol page, "Discovery". A version is a JSON object, on a line of its own or indented over several.
"""

from __future__ import annotations

import contextlib
import dataclasses
import re
from dataclasses import dataclass
from typing import Any

from garnetrelay.config.deployment import Address, Config
from starlingwick import interface as io

MAX_VERSION_BYTES = 4 << 20  # bytes of one version of the list
MOST_NAMED = 8  # hosts in a log line
IN_QUOTES = re.compile(rb'"(?:[^"\\]|\\.)*"')

AVAILABILITY_BY_STATUS = {
    "Ready": io.Availability.RUNNING,
    "Terminating": io.Availability.STOPPING,
    "Gone": io.Availability.DELETED,
}


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One version of the list, or the changes since the one before, in the Pacer's terms."""

    index: int
    whole: bool
    entries: tuple[io.HostEntry, ...]
    addresses: dict[str, Address]
    current: bool = True  # of a watch at discovery's present address, not one that is about to be left

    def of_address_left(self) -> ListUpdate:
        """The same from a watch at an address that discovery has moved away from."""
        return dataclasses.replace(self, current=False)


class ListReader:
    """Turns discovery's form into the Pacer's."""

    def __init__(self, config: Config) -> None:
        self.zones = {name: number for number, name in enumerate(config.zone_names)}
        self.kinds = {name: number for number, name in enumerate(config.kind_names)}

    def read(self, raw: Any) -> ListUpdate:
        """ValueError if it can't be read: then nothing of it is taken over."""
        try:
            entries, addresses = [], {}
            for line in raw["endpoints"]:
                entry = self._entry(line)
                entries.append(entry)
                if entry.availability is not io.Availability.DELETED:
                    addresses[entry.host] = Address.parse(line["address"])
            return ListUpdate(int(raw["index"]), bool(raw["snapshot"]), tuple(entries), addresses)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None

    def salvage(self, raw: Any, index: int) -> ListUpdate:
        """What can be read of a version that can't be read whole, as changes that leave the version at ``index``: a drain
        among them is not lost for a neighbour's sake."""
        lines = raw.get("endpoints") if isinstance(raw, dict) else None
        entries: list[io.HostEntry] = []
        addresses: dict[str, Address] = {}
        for line in lines if isinstance(lines, list) else ():
            with contextlib.suppress(ValueError):
                news = self.read({"index": index, "snapshot": False, "endpoints": [line]})
                entries += news.entries
                addresses |= news.addresses
        return ListUpdate(index, False, tuple(entries), addresses)

    def _entry(self, line: dict[str, Any]) -> io.HostEntry:
        if line["status"] not in AVAILABILITY_BY_STATUS:
            raise ValueError(f"unknown status {line['status']!r}")
        return io.HostEntry(
            host=str(line["name"]),
            zone=self.zones[line["zone"]] if self.zones else 0,
            kind=self.kinds[line["type"]] if self.kinds else 0,
            dest=int(line["group"]),
            availability=AVAILABILITY_BY_STATUS[line["status"]],
            rate=float(line.get("weight", 1.0)),
        )


def described(news: ListUpdate) -> str:
    """A version in one line: what it holds, and which hosts get nothing new from it on."""
    leaving = [entry.host for entry in news.entries if entry.availability is not io.Availability.RUNNING]
    named = ", ".join(leaving[:MOST_NAMED]) + (", ..." if len(leaving) > MOST_NAMED else "")
    what = "whole list" if news.whole else "changes"
    return f"{what}, version {news.index}: {len(news.entries)} hosts, draining or gone: {named or 'none'}"


class UnreadableListError(ValueError):
    """What came of the list can't be read."""


class ObjectSplitter:
    """Takes a watch's bytes apart into objects, each on a line of its own or indented over several. No I/O.

    JSON has no line's end inside a string, so a line's quotes and brackets tell whether an object goes on behind it."""

    def __init__(self) -> None:
        self._begun = b""  # of a line
        self._object: list[bytes] = []  # whole lines of an object that goes on
        self._size = 0  # bytes of those
        self._depth = 0

    @property
    def unfinished(self) -> bool:
        """Whether a line or an object has begun and its end is still to come."""
        return bool(self._begun or self._object)

    def feed(self, data: bytes) -> list[bytes | None]:
        """The objects that have come whole, None for each empty line; UnreadableListError if one has no end."""
        *lines, self._begun = (self._begun + data).split(b"\n")
        found: list[bytes | None] = []
        for line in lines:
            bare = line.strip()
            if not self._object and not bare:
                found.append(None)
            elif bare:
                self._take(line, found)
        if self._size + len(self._begun) > MAX_VERSION_BYTES:
            raise UnreadableListError("a line without end")
        return found

    def _take(self, line: bytes, found: list[bytes | None]) -> None:
        marks = IN_QUOTES.sub(b"", line)
        depth = sum(marks.count(mark) for mark in b"{[") - sum(marks.count(mark) for mark in b"}]")
        if self._object and depth == 0 and b'"endpoints"' in line:  # a version by itself: the one begun has no end
            found.append(b"".join(self._object))
            self._object, self._size, self._depth = [], 0, 0
        self._depth += depth
        if self._depth > 0:
            self._object.append(line)
            self._size += len(line)
        else:
            found.append(b"".join((*self._object, line)))
            self._object, self._size, self._depth = [], 0, 0
