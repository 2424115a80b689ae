"""Settings, events and actions of a :class:`~starlingwick.control.Pacer`.

Times are integer nanoseconds. Nothing here decides anything. Events and actions must not be changed once they
are created; they are not frozen, since creating them would then take three times as long.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Repeat(Enum):
    """Whether a message may be attempted again after an attempt that may have run."""

    SAFE = "retryable"
    KEYED = "dedup"
    UNSAFE = "fragile"


class Scope(Enum):
    """Which hosts of a destination recognise a repeated key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Decay(Enum):
    """How the worth of a message falls after its aim."""

    EVEN = "even"
    BY_HALF = "by_half"


class Discovery(Enum):
    """How the relay learns of changes to the host list."""

    AUTOMATIC = "automatic"
    SUBSCRIBE = "subscribe"


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 10
    ERROR = 20
    SPOILT = 25  # the answer cannot be parsed: the call ran, its effect is unknown
    FULL = 30
    CROWDED = 35  # refused on a new connection without a limit report: connection table full
    TIMEOUT = 40
    CONNECT_FAILED = 50
    RESET = 60
    CANCELLED = 70
    MOOT = 80
    ABANDONED = 90  # stopped before its first byte: it did not run


class Availability(Enum):
    """State of a host according to the list."""

    RUNNING = "Running"
    STOPPING = "Stopping"
    DELETED = "Deleted"


class ListScope(Enum):
    """What a roster event contains."""

    CHANGES = "D"
    WHOLE = "F"
    CACHED = "C"
    FAILED = "X"


class Obstacle(Enum):
    """Why a call does not begin, as found by the final check before its first byte."""

    OVER = "the message has ended or its deadline has passed"
    NO_REPEAT = "an earlier attempt may have run, and the message may not be repeated"
    UNKNOWN = "the host or the attempt is no longer known"
    DRAINS = "the host drains, was removed, or is excluded by an operator"
    TOLD_TO_WAIT = "the wait requested by the destination has not ended"


def _require(ok: bool, field: str, what: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {what}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of messages."""

    aim: int
    deadline: int
    worth: float
    late_worth: float
    repeat: Repeat
    key_scope: Scope
    repeat_window: int
    in_turn: bool

    def __post_init__(self) -> None:
        _require(self.aim > 0, "classes[].aim", "must be above 0")
        _require(self.deadline >= self.aim, "classes[].deadline", "must not be less than the aim")
        _require(self.worth >= 0, "classes[].worth", "must not be negative")
        _require(0 <= self.late_worth <= 1, "classes[].late_worth", "must be between 0 and 1")
        _require(self.repeat_window >= 0, "classes[].repeat_window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of destination."""

    apart: bool
    per_call: int

    def __post_init__(self) -> None:
        _require(self.per_call >= 1, "kinds[].per_call", "must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the rules."""

    answer_slack: int
    ask_every: int
    drain_grace: int
    fall: int
    fall_multiple: float
    ramp_time: int
    start_capacity: float
    turn_gap: int

    def __post_init__(self) -> None:
        for field in ("answer_slack", "ask_every", "drain_grace", "ramp_time", "turn_gap"):
            _require(getattr(self, field) >= 0, f"rules.{field}", "must not be negative")
        _require(self.fall > 0, "rules.fall", "must be above 0")
        _require(self.fall_multiple > 0, "rules.fall_multiple", "must be above 0")
        _require(0 < self.start_capacity <= 1, "rules.start_capacity", "must be above 0 and at most 1")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    cancel: bool
    probes: bool
    peers: bool
    second_copies: bool
    retry_after: bool
    most_held: int
    most_tries: int
    max_retry_after: int
    connect_timeout: int
    conn_idle: int

    def __post_init__(self) -> None:
        _require(self.most_held >= 1, "limits.most_held", "must be at least 1")
        _require(self.most_tries >= 1, "limits.most_tries", "must be at least 1")


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that an instance receives at its start."""

    relays: int
    slots: int
    tick: int
    zone: int
    discovery: Discovery
    listed_rates: bool
    decay: Decay
    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...]
    tenant_rates: tuple[float, ...]
    over_share_worth: float
    zone_fees: tuple[float, ...]
    refused_price: float
    prices: dict[str, float]
    rules: Rules
    limits: Limits

    def __post_init__(self) -> None:
        _require(self.relays >= 1, "relays", "must be at least 1")
        _require(self.slots >= 1, "slots", "must be at least 1")
        _require(self.tick >= 0, "tick", "must not be negative")
        _require(bool(self.classes), "classes", "must not be empty")
        _require(0 <= self.over_share_worth <= 1, "over_share_worth", "must be between 0 and 1")
        _require(all(r >= 0 for r in self.tenant_rates), "tenant_rates", "must not be negative")


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of the host list."""

    host: str
    zone: int
    kind: int
    dest: int
    availability: Availability
    rate: float


@dataclass(slots=True)
class Report:
    """A destination's report on its limit: the share that is left, and calls a second (0: no limit)."""

    left: float
    limit: float


@dataclass(slots=True)
class Roster:
    """A change of the host list, or the whole list."""

    scope: ListScope
    entries: tuple[HostEntry, ...]
    current: bool = True  # from a watch at discovery's present address, not one about to be closed


@dataclass(slots=True)
class WatchMissing:
    """No watch is open at discovery's present address: it has moved, or the relay starts and lists are
    pushed."""


@dataclass(slots=True)
class Arrived:
    """A new message."""

    call: str
    tenant: int
    klass: int
    dest: int
    key: str | None
    patience: int
    storable: bool = True  # whether the journal has room for it


@dataclass(slots=True)
class Recovered:
    """A message that an earlier process of this relay accepted and did not end.

    ``ran_ago`` is the time since its first attempt that may have run was sent, None if there is none;
    ``ran_zone`` is that attempt's zone. ``host`` is set if an attempt has been in flight since ``sent_at``:
    it was handed over between processes with its connection, and its verdict is still to come.
    """

    call: str
    klass: int
    dest: int
    key: str | None
    patience: int  # negative: its deadline passed while the relay was down
    attempts: int
    ran_ago: int | None
    ran_zone: int
    host: str | None = None
    sent_at: int = 0


@dataclass(slots=True)
class Stopping:
    """The process will end at ``at``; attempts in flight by then are cut off."""

    at: int


@dataclass(slots=True)
class Withdrawn:
    """The client no longer wants this message."""

    call: str


@dataclass(slots=True)
class Verdict:
    """The outcome of one attempt. ``wait`` is the wait that the destination requested, 0 if none."""

    call: str
    attempt: int
    host: str
    status: Status
    cost: int
    finished: bool
    wait: int
    no_slot: bool
    report: Report | None


@dataclass(slots=True)
class Probed:
    """The outcome of a probe."""

    host: str
    status: Status
    cost: int
    report: Report | None


@dataclass(slots=True)
class Alarm:
    """A timer fired."""

    token: int


@dataclass(slots=True)
class Lagging:
    """The current duration of one cycle of the event loop: timers fire late by up to this time."""

    lag: int


@dataclass(slots=True)
class Excluded:
    """An operator excluded a host or ended its exclusion. It drains meanwhile, whatever its listed state."""

    host: str
    out: bool


ListEvent = Roster | WatchMissing | Excluded
MessageEvent = Arrived | Recovered | Withdrawn | Verdict
Event = ListEvent | MessageEvent | Stopping | Probed | Alarm | Lagging


@dataclass(slots=True)
class Send:
    """Call a host with a message. Sends to one host in one batch of actions share calls as far as its kind
    allows."""

    call: str
    host: str
    stop_at: int


@dataclass(slots=True)
class Refuse:
    """End a message undelivered; the client may try again."""

    call: str
    hold_off: int


@dataclass(slots=True)
class Fail:
    """End a message without any statement about its effect."""

    call: str


@dataclass(slots=True)
class Cancel:
    """Give up one attempt."""

    call: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Check the health of a host."""

    host: str
    stop_at: int


@dataclass(slots=True)
class Close:
    """Close idle connections to a host."""

    host: str


@dataclass(slots=True)
class Wake:
    """Request an alarm after this time."""

    after: int
    token: int


@dataclass(slots=True)
class Subscribe:
    """Request list changes from discovery from now on."""


@dataclass(slots=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | Close | Wake | Subscribe | Log
