"""Scenarios: TOML files, typed and checked before anything starts. A mistake is told with its file and line, and what
was expected there."""

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

TROUBLES = ("shut", "hang", "silent", "fail", "reset", "spoil", "slow", "down")
What = Literal[
    "shut",
    "hang",
    "silent",
    "fail",
    "reset",
    "spoil",
    "slow",
    "down",  # partners
    "burst",
    "hot",  # traffic
    "restart",
    "kill",
    "reload",
    "upgrade",  # relays
    "by-hand",  # staff take endpoints out, which are restarted, and put them back
    "register-down",
    "register-slow",
    "watches-end",
    "index-back",  # the register
    "notices-refused",
    "notices-lost",  # the platform
    "drain",
    "replace",
    "reports-absurd",  # endpoints
    "bad-clients",
]


class Spec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The base: a name that is not known is a mistake."""


class Load(Spec, frozen=True):
    """First tries of all clients together."""

    rate: Positive = 74.0  # a second
    of_full: Positive = 0.75  # share of full load, the yardstick of the partners' limits
    shape: Literal["steady", "ramp", "wave"] = "steady"
    clumps: Share = 0.1  # share of the messages that comes in clumps for one partner


class Clients(Spec, frozen=True):
    """Our own programs, and the front before the relays."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2  # after refusals
    again_ms: Range = (390, 1200)  # before a retry, where no time is told
    patience_ms: Positive = 400  # for an answer to a hand-in
    notice_s: Range = (1.1, 3.6)  # until the front has noticed a dead relay
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
    window_ms: Amount = 0  # for which a keyed one is remembered
    by_building: bool = True  # a repeat is recognised in one building only
    in_turn: bool = False
    keys: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # distinct keys; 0: each message has its own


class Kind(Spec, frozen=True):
    """A kind of partner: ranges that the seed draws from."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,40}$")]
    count: Annotated[int, Meta(ge=1, le=10_000)]
    routes: tuple[Count, Count] = (1, 3)
    apart: bool = False
    limit: Literal["none", "rate", "window"] = "rate"
    headroom: Range = (1.2, 2.0)  # the limit, in times its calls at full load
    spare: Range = (1.2, 1.6)  # the capacity, in times the limit
    least_rate: Positive = 3.0  # calls a second
    tells_wait: Range = (0.1, 0.8)  # share of the refusals
    refused_count: bool = False
    slow_cv: Share = 0.5  # how much the partners differ in the time that they take
    depth_s: Amount = 0.6  # the queue, in seconds of its capacity
    connections: Amount = 0  # times the calls that an endpoint serves at once; 0: any number
    weight: Positive = 1.0  # how much of the traffic they draw


class Register(Spec, frozen=True):
    """The partner register."""

    late_s: Range = (1.8, 4.6)  # until a change is told


class Limits(Spec, frozen=True):
    """What a relay may use."""

    sockets: Annotated[int, Meta(ge=64, le=65536)] = 1024
    disk_mb: Positive = 3.0
    memory_mb: Positive = 192.0
    slots_room: Positive = 2.2  # slots, in times what full load keeps busy
    hold_s: Positive = 8.0  # messages held, in seconds of full load


class StepSpec(Spec, frozen=True):
    """Something that happens."""

    at: Amount  # seconds from the start
    what: What
    seconds: Amount = 0.0  # for which it lasts
    partners: Literal["largest", "smallest", "any", "all"] = "any"
    count: Count = 1  # of partners, endpoints or bad clients
    share: Share = 1.0  # of the calls, or of the traffic
    factor: Positive = 2.0  # of the traffic, or of the time that calls take
    cold: bool = True  # a partner comes back cold
    start: Annotated[float, Meta(gt=0, le=1)] = 0.25  # share of its capacity that a cold one starts with
    relays: Literal["one", "rolling", "all"] = "one"
    every_s: Positive = 3.0  # between two of a rolling restart
    down_s: Amount = 0.6  # from SIGKILL, or its end, to the next start
    rounds: Count = 1  # of upgrades in a row, each ``every_s`` after the one before
    fails: Share = 0.0  # share of the upgrades whose new process can't start, or is killed on its way


class Rules(Spec, frozen=True):
    """The figures of the rules, as the relays are told them."""

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
    """A scenario as its file has it."""

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
                raise ValueError(f"a name stands twice among {', '.join(names)}")
        for klass in self.classes:
            if klass.repeat == "keyed" and not klass.window_ms:
                raise ValueError(f"class {klass.name} is keyed and has no window_ms")
            if klass.deadline_ms < klass.aim_ms:
                raise ValueError(f"class {klass.name}: deadline_ms lies under aim_ms")


class ScenarioError(ValueError):
    """A scenario that can't be played; the text names file, line and what was expected."""


def names() -> list[str]:
    """The scenarios that come with the kit."""
    folder = resources.files("garnetrelay.rehearsal") / "scenarios"
    return sorted(entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """A scenario of the kit by its name, or of a file by its path (anything with a dot or a slash)."""
    if "/" in name or "." in name:
        return read(Path(name).name, _text(Path(name)))
    if name not in names():
        raise ScenarioError(f"no scenario '{name}'; there are: {', '.join(names())}")
    file = resources.files("garnetrelay.rehearsal") / "scenarios" / f"{name}.toml"
    return read(f"{name}.toml", file.read_text())


def _text(path: Path) -> str:
    try:
        if path.stat().st_size > 1 << 20:
            raise ScenarioError(f"{path}: over 1 MB is no scenario")
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {getattr(error, 'strerror', None) or 'not text'}") from None


def read(name: str, text: str) -> Scenario:
    """A scenario from a file's text; ScenarioError in one line if it can't be played."""
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
        place = [key or int(index) for key, index in steps]
        if unknown:
            place.append(unknown.group(1))
        where = ".".join(str(step) for step in place if isinstance(step, str)) or "the file"
        raise ScenarioError(f"{name}:{_line(text, place)}: {where}: {what}") from None


def _line(text: str, place: list[str | int]) -> int:
    """The line of a value in a TOML file, or of the nearest table above it; for the forms that people write."""
    best = 1
    wanted = [step for step in place if isinstance(step, str)]
    index = next((step for step in place if isinstance(step, int)), None)
    for number, table, count, key in _keys(text):
        if table and wanted[:1] != [table]:
            continue
        if table and index is not None and count != index:
            continue
        if key is None:
            best = number
        elif (table and [key] == wanted[1:2]) or (not table and [key] == wanted[:1]):
            return number
    return best


def _keys(text: str) -> Iterator[tuple[int, str, int, str | None]]:
    """Line, table, its count among those of that name, and key (None: the table's own head)."""
    table, counts = "", dict[str, int]()
    for number, line in enumerate(text.splitlines(), start=1):
        if head := re.match(r"\s*\[\[?\s*([\w-]+)", line):
            table = head.group(1)
            counts[table] = counts.get(table, -1) + 1
            yield number, table, counts[table], None
        elif key := re.match(r"\s*([\w-]+)\s*=", line):
            yield number, table, counts.get(table, 0), key.group(1)
