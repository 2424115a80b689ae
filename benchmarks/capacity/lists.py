"""The list of hosts and the configuration file that has one: reading, checking, and a relay's start from it."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import msgspec

from benchmarks.capacity.files import Relay, configuration, listing
from benchmarks.capacity.meter import spent
from benchmarks.capacity.size import CONTROL_MEMORY, READY, SIZE, Budget, Mark, Unit
from benchmarks.capacity.subject import Quantity, Subject
from garnetrelay.config.deployment import load
from garnetrelay.discovery.host_list import MAX_VERSION_BYTES, ListReader, ObjectSplitter, UnreadableListError

CHUNK = 65_536  # bytes that a watch reads at once
WATCH_LINE = Budget("bytes of one version on a watch", float(MAX_VERSION_BYTES), Mark.COMPUTED)


class Sample(msgspec.Struct):
    """Bytes, processor seconds; ``refused`` is 1.0 where a watch refuses the list as too long."""

    file: float
    read: float  # the file read and checked, its list included
    version: float  # the list as one version on a watch
    refused: float
    ready: float  # a relay's process, from nothing to its word that it serves
    memory: float  # the most that this took


def refuses(line: bytes) -> bool:
    """Whether a watch takes a version of the list for a line without end."""
    lines = ObjectSplitter()
    try:
        for start in range(0, len(line), CHUNK):
            lines.feed(line[start : start + CHUNK])
    except UnreadableListError:
        return True
    return False


def measure(destinations: int) -> Sample:
    """A file with so many destinations, and a relay that starts from it."""
    with tempfile.TemporaryDirectory() as made:
        environment = configuration(Path(made), destinations)
        size = Path(environment["RELAY_CONFIG"]).stat().st_size

        def read() -> None:
            config = load({"RELAY_NAME": "measured", **environment})
            ListReader(config).read(config.known_hosts)

        seconds = spent(read)
        version = json.dumps(listing(destinations, "Ready")).encode() + b"\n"
        relay = Relay(environment)
        try:
            started = relay.started()
        finally:
            relay.end()
    return Sample(size, seconds, len(version), float(refuses(version)), started.cpu, started.memory)


SUBJECT = Subject(
    name="lists",
    text="The list in a relay's configuration file: read, checked, a relay's start from it",
    of="destinations",
    sizes=(26, 260, 2_600, 26_000, SIZE.destinations),
    quick=(26, 260, 1_000, 2_600),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("file", "configuration file", Unit.BYTES, SIZE.destinations),
        Quantity("read", "read and checked", Unit.SECONDS, SIZE.destinations, READY),
        Quantity("version", "one whole list on a watch", Unit.BYTES, SIZE.destinations, WATCH_LINE),
        Quantity("ready", "a relay's start, processor time until it serves", Unit.SECONDS, SIZE.destinations, READY),
        Quantity("memory", "a relay's start, memory at most", Unit.BYTES, SIZE.destinations, CONTROL_MEMORY),
        Quantity("ready", "a start with an owner's part", Unit.SECONDS, SIZE.owned, READY),
        Quantity("memory", "a start with an owner's part", Unit.BYTES, SIZE.owned, CONTROL_MEMORY),
    ),
)
