"""Scenarios: typed TOML files that are validated before a run. Errors name the file, the line and the expected value."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from garnetrelay.rehearsal.links.script import FleetSpec

MOST_RELAYS = 200
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Range = tuple[Amount, Amount]

PARTNER_FAULTS = ("shut", "hang", "silent", "fail", "reset", "spoil", "repeat", "slow", "down")
What = Literal[
    "shut",
    "hang",
    "silent",
    "fail",
    "reset",
    "spoil",
    "repeat",
    "slow",
    "down",  # partners
    "burst",
    "hot",  # traffic
    "restart",
    "kill",
    "reload",
    "upgrade",  # relays
    "by-hand",  # operators exclude endpoints, which are restarted, and include them again
    "register-down",
    "register-slow",
    "watches-end",
    "index-back",  # discovery
    "notices-refused",
    "notices-lost",  # the platform
    "drain",
    "replace",
    "reports-absurd",  # endpoints
    "bad-clients",
]


class Spec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base class: an unknown field is an error."""


class Load(Spec, frozen=True):
    """First hand-ins of all clients together."""

    rate: Positive = 74.0  # per second
    of_full: Positive = 0.75  # share of full load, on which the limits of the partners are based
    shape: Literal["steady", "ramp", "wave"] = "steady"
    clumps: Share = 0.1  # share of the messages that arrives in clumps for one partner


class Clients(Spec, frozen=True):
    """The clients, and the front before the relays."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2  # after refusals
    again_ms: Range = (390, 1200)  # before a retry, if the refusal states no wait
    patience_ms: Positive = 400  # time-out for the answer to a hand-in
    notice_s: Range = (1.1, 3.6)  # until the front detects a killed relay
    body: Annotated[int, Meta(ge=1, le=60_000)] = 200  # bytes


class Class(Spec, frozen=True):
    """A class of message."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,40}$")]
    share: Positive
    repeat: Literal["safe", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    worth: Amount = 1.0
    late_worth: Share = 0.3
    service_ms: Range = (140, 250)
    window_ms: Amount = 0  # for which the key of a keyed message is remembered
    by_building: bool = True  # a repeat is recognised only in the building of the first attempt
    in_turn: bool = False
    keys: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # distinct keys; 0: each message has its own


class Kind(Spec, frozen=True):
    """A kind of partner: ranges from which values are drawn."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,40}$")]
    count: Annotated[int, Meta(ge=1, le=10_000)]
    routes: tuple[Count, Count] = (1, 3)
    apart: bool = False
    limit: Literal["none", "rate", "window"] = "rate"
    headroom: Range = (1.2, 2.0)  # limit, as a multiple of the calls at full load
    spare: Range = (1.2, 1.6)  # capacity, as a multiple of the limit
    least_rate: Positive = 3.0  # calls per second
    tells_wait: Range = (0.1, 0.8)  # share of the refusals that state a wait
    refused_count: bool = False
    slow_cv: Share = 0.5  # how much the mean service times of the partners vary
    depth_s: Amount = 0.6  # length of the queue, in seconds of capacity
    connections: Amount = 0  # limit, as a multiple of the slots of an endpoint; 0: none
    weight: Positive = 1.0  # relative share of the traffic


class Register(Spec, frozen=True):
    """Discovery, which lists the partners."""

    late_s: Range = (1.8, 4.6)  # until a change is published


class Limits(Spec, frozen=True):
    """The resource limits of a relay."""

    sockets: Annotated[int, Meta(ge=64, le=65536)] = 1024
    disk_mb: Positive = 3.0
    memory_mb: Positive = 192.0
    slots_room: Positive = 2.2  # slots, as a multiple of those that full load keeps busy
    hold_s: Positive = 8.0  # pending messages, in seconds of full load


class StepSpec(Spec, frozen=True):
    """A step of a scenario."""

    at: Amount  # seconds from the start
    what: What
    seconds: Amount = 0.0  # duration
    partners: Literal["largest", "smallest", "any", "all"] = "any"
    count: Count = 1  # of partners, endpoints or misbehaving clients
    share: Share = 1.0  # of the calls, or of the traffic
    factor: Positive = 2.0  # multiplies the traffic, or the service time
    late_ms: Range = (0, 15)  # from an answer to its second copy, drawn for each
    refused: Share = 0.0  # of the calls, by a partner that writes answers twice: 503 after the usual time, without effect
    cold: bool = True  # a partner recovers cold
    start: Annotated[float, Meta(gt=0, le=1)] = 0.25  # share of the capacity that a cold partner starts with
    relays: Literal["one", "rolling", "all"] = "one"
    every_s: Positive = 3.0  # between two relays of a rolling restart
    down_s: Amount = 0.6  # from SIGKILL, or the end of the process, to the next start
    rounds: Count = 1  # of consecutive upgrades, ``every_s`` apart
    fails: Share = 0.0  # share of the upgrades whose new process can't start, or is killed during the handover


class Rules(Spec, frozen=True):
    """The parameters of the rules, as the relays are configured with them."""

    answer_slack_ms: Amount = 250
    drain_grace_ms: Amount = 1000
    fall_ms: Positive = 3000
    fall_multiple: Positive = 2.0
    ramp_ms: Positive = 10_000
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 0.18
    turn_gap_ms: Amount = 0
    ask_every_ms: Positive = 6000
    most_tries: Count = 6


DEFAULT_CLASSES = (
    Class("clip-release", 0.67, "keyed", 2500, 12000, 1, 0.3, (140, 250), 6000),
    Class("match-state", 0.17, "safe", 1000, 6000, 2, 0.1, (85, 150)),
    Class("licence-fee", 0.16, "unsafe", 2000, 12000, 5, 0.5, (140, 250)),
)
DEFAULT_KINDS = (
    Kind("tv-channels", 2, (1, 4), True, "rate", (1.2, 2), (1.2, 1.5), 3, (0.5, 0.8), weight=3),
    Kind("news-portals", 4, (1, 3), True, "none", (1.2, 2), (1.2, 1.6), 3, (0.1, 0.5), weight=1.2),
    Kind("local-clubs", 4, (1, 3), False, "window", (1.2, 1.8), (1.2, 1.6), 3, (0.0, 0.6), connections=3.5, weight=0.7),
)


class Scenario(Spec, frozen=True):
    """A scenario, with the fields of its file."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,60}$")]
    text: str
    seconds: Annotated[float, Meta(gt=0, le=86400)] = 30.0
    relays: Annotated[int, Meta(ge=1, le=MOST_RELAYS)] = 2
    buildings: tuple[str, ...] = ("media-block", "archive-block")
    load: Load = Load()
    clients: Clients = Clients()
    register: Register = Register()
    limits: Limits = Limits()
    rules: Rules = Rules()
    classes: tuple[Class, ...] = DEFAULT_CLASSES
    kinds: tuple[Kind, ...] = DEFAULT_KINDS
    steps: tuple[StepSpec, ...] = ()
    fleet: FleetSpec | None = None

    def __post_init__(self) -> None:
        if not self.buildings or not self.classes or not self.kinds:
            raise ValueError("buildings, classes and kinds must not be empty")
        for named in (self.classes, self.kinds):
            names = [each.name for each in named]
            if len(set(names)) < len(names):
                raise ValueError(f"duplicate name among {', '.join(names)}")
        for klass in self.classes:
            if klass.repeat == "keyed" and not klass.window_ms:
                raise ValueError(f"class {klass.name} is keyed and has no window_ms")
            if klass.deadline_ms < klass.aim_ms:
                raise ValueError(f"class {klass.name}: deadline_ms is less than aim_ms")


class ScenarioError(ValueError):
    """An invalid scenario; the message names file, line and expected value."""


def names() -> list[str]:
    """The names of the bundled scenarios."""
    folder = resources.files("garnetrelay.rehearsal") / "scenarios"
    return sorted(entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """Load a bundled scenario by its name, or a file by its path (any name with a dot or a slash)."""
    if "/" in name or "." in name:
        return read(Path(name).name, _text(Path(name)))
    if name not in names():
        raise ScenarioError(f"no scenario '{name}'; there are: {', '.join(names())}")
    file = resources.files("garnetrelay.rehearsal") / "scenarios" / f"{name}.toml"
    return read(f"{name}.toml", file.read_text())


def _text(path: Path) -> str:
    try:
        if path.stat().st_size > 1 << 20:
            raise ScenarioError(f"{path}: larger than 1 MB")
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {getattr(error, 'strerror', None) or 'not text'}") from None


def read(name: str, text: str) -> Scenario:
    """Parse the text of a scenario file. Raises ScenarioError with one line of text if it is invalid."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = re.search(r"line (\d+)", str(error))
        raise ScenarioError(f"{name}:{line.group(1) if line else 1}: not TOML: {error}") from None
    try:
        return msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `")
        unknown = re.search(r"unknown field `(\w+)`", what)
        steps = re.findall(r"\.(\w+)|\[(\d+)\]", path.rstrip("`"))
        location = [key or int(index) for key, index in steps]
        if unknown:
            location.append(unknown.group(1))
        where = ".".join(str(step) for step in location if isinstance(step, str)) or "the file"
        raise ScenarioError(f"{name}:{_line(text, location)}: {where}: {what}") from None


def _line(text: str, location: list[str | int]) -> int:
    """The line of a value in a TOML file, or of the nearest table above it. Covers the common forms of TOML only."""
    nearest = 1
    wanted = [step for step in location if isinstance(step, str)]
    index = next((step for step in location if isinstance(step, int)), None)
    for number, table, count, key in _keys(text):
        if table and wanted[:1] != [table]:
            continue
        if table and index is not None and count != index:
            continue
        if key is None:
            nearest = number
        elif (table and [key] == wanted[1:2]) or (not table and [key] == wanted[:1]):
            return number
    return nearest


def _keys(text: str) -> Iterator[tuple[int, str, int, str | None]]:
    """Line, table, index of the table among those of its name, and key (None for the header of the table)."""
    table, counts = "", dict[str, int]()
    for number, line in enumerate(text.splitlines(), start=1):
        if head := re.match(r"\s*\[\[?\s*([\w-]+)", line):
            table = head.group(1)
            counts[table] = counts.get(table, -1) + 1
            yield number, table, counts[table], None
        elif key := re.match(r"\s*([\w-]+)\s*=", line):
            yield number, table, counts.get(table, 0), key.group(1)
