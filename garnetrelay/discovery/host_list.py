"""The list of hosts in discovery's format: splits the byte stream into versions, parses and describes them. No I/O.

Source: the protocol page, "Discovery". A version is a JSON object, on one line or indented over several.
"""

from __future__ import annotations

import contextlib
import dataclasses
import re
from dataclasses import dataclass, field
from typing import Any

from garnetrelay.config.deployment import Address, Config
from starlingwick import interface as io

MAX_VERSION_BYTES = 4 << 20  # of one version of the list
MAX_VERSION_VALUES = 400_000  # JSON values in a version: each takes far more memory than its bytes
MAX_START_MS = 1 << 62
MAX_LOGGED_HOSTS = 8  # in one log line
QUOTED_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

AVAILABILITY_BY_STATUS = {
    "Ready": io.Availability.RUNNING,
    "Terminating": io.Availability.STOPPING,
    "Gone": io.Availability.DELETED,
}


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One version of the list, or the changes since the previous version, in the Pacer's types."""

    index: int
    whole: bool
    entries: tuple[io.HostEntry, ...]
    addresses: dict[str, Address]
    current: bool = True  # False: from a watch at an address that discovery has moved away from
    starts: dict[str, int] = field(default_factory=dict)  # when hosts last started, Unix time in ms; 0: long ago

    def from_previous_address(self) -> ListUpdate:
        """A copy marked as coming from an address that discovery has moved away from."""
        return dataclasses.replace(self, current=False)


class ListReader:
    """Converts versions from discovery's format to the Pacer's types."""

    def __init__(self, config: Config) -> None:
        self.zones = {name: number for number, name in enumerate(config.zone_names)}
        self.kinds = {name: number for number, name in enumerate(config.kind_names)}

    def read(self, raw: Any) -> ListUpdate:
        """Parse a version. Raises ValueError if any part of it is malformed."""
        try:
            entries, addresses, starts = [], {}, {}
            for line in raw["endpoints"]:
                entry = self._entry(line)
                entries.append(entry)
                if entry.availability is not io.Availability.DELETED:
                    addresses[entry.host] = Address.parse(line["address"])
                    starts[entry.host] = _start_ms(line.get("since_ms"))
            return ListUpdate(int(raw["index"]), bool(raw["snapshot"]), tuple(entries), addresses, starts=starts)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None

    def read_valid_entries(self, raw: Any, index: int) -> ListUpdate:
        """The valid entries of a partly malformed version, as changes that leave the version at ``index``. A drain among
        them is not lost because another entry is malformed."""
        lines = raw.get("endpoints") if isinstance(raw, dict) else None
        entries: list[io.HostEntry] = []
        addresses: dict[str, Address] = {}
        starts: dict[str, int] = {}
        for line in lines if isinstance(lines, list) else ():
            with contextlib.suppress(ValueError):
                update = self.read({"index": index, "snapshot": False, "endpoints": [line]})
                entries += update.entries
                addresses |= update.addresses
                starts |= update.starts
        return ListUpdate(index, False, tuple(entries), addresses, starts=starts)

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


def _start_ms(value: object) -> int:
    """When a host last started; 0 if that is not told in a readable form."""
    return int(value) if isinstance(value, int | float) and 0 < value < MAX_START_MS else 0


def describe(update: ListUpdate) -> str:
    """One log line about a version: its size, and which hosts receive no new messages from now on."""
    leaving = [entry.host for entry in update.entries if entry.availability is not io.Availability.RUNNING]
    named = ", ".join(leaving[:MAX_LOGGED_HOSTS]) + (", ..." if len(leaving) > MAX_LOGGED_HOSTS else "")
    what = "whole list" if update.whole else "changes"
    return f"{what}, version {update.index}: {len(update.entries)} hosts, draining or gone: {named or 'none'}"


def check_size(version: bytes) -> None:
    """Refuse a version that would take too much memory once it is parsed: UnreadableListError."""
    if version.count(b",") + version.count(b"[") + version.count(b"{") > MAX_VERSION_VALUES:
        raise UnreadableListError("an object has too many values")


class UnreadableListError(ValueError):
    """Malformed data in the stream of versions."""


class ObjectSplitter:
    """Splits a watch's bytes into JSON objects, each on one line or indented over several. No I/O.

    JSON strings contain no line breaks, so quotes and brackets tell whether an object continues after a line."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._object = bytearray()  # the complete lines of an unfinished object
        self._depth = 0

    @property
    def unfinished(self) -> bool:
        """Whether a line or an object has begun and is not complete."""
        return bool(self._partial_line or self._object)

    def feed(self, data: bytes) -> list[bytes | None]:
        """The objects completed by ``data``, None for each empty line. UnreadableListError: an object is too long."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        found: list[bytes | None] = []
        for line in lines:
            content = line.strip()
            if not self._object and not content:
                found.append(None)
            elif content:
                self._add_line(line, found)
        if len(self._object) + len(self._partial_line) > MAX_VERSION_BYTES:
            raise UnreadableListError("an object exceeds the size limit")
        return found

    def _add_line(self, line: bytes, found: list[bytes | None]) -> None:
        unquoted = QUOTED_STRING.sub(b"", line)
        depth = sum(unquoted.count(bracket) for bracket in b"{[") - sum(unquoted.count(bracket) for bracket in b"}]")
        if self._object and depth == 0 and b'"endpoints"' in line:  # a complete version: the unfinished one never ends
            found.append(bytes(self._object))
            self._object, self._depth = bytearray(), 0
        self._depth += depth
        self._object += line
        if self._depth <= 0:
            found.append(bytes(self._object))
            self._object, self._depth = bytearray(), 0
