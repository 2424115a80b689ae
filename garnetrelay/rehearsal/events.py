"""The observed events of a run, as typed values: the checker's only input, recorded and read as JSON lines.

Tags and field names are part of the format of recordings.

Times are nanoseconds since the start of the run, by one monotonic clock. An event caused by a relay happened after
``since`` (the event loop of the simulated services had polled then without seeing it) and before ``at`` (when it was
read). An action of a simulated service has the same value in both. A rule counts as broken only if it is broken at
every possible time within that interval: a busy machine widens the interval, which can hide a violation but never
produce a false one.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec


class Observed(msgspec.Struct, frozen=True, gc=False, tag_field="what"):
    """Base of all events: the interval within which the event happened."""

    at: int
    since: int


class Route(msgspec.Struct, frozen=True, gc=False):
    """An endpoint of a partner, with the properties that the checker needs."""

    name: str
    dest: int
    zone: str
    apart: bool  # limits, waits and outages apply to this route alone, not to its partner


class RoutesAnnounced(Observed, frozen=True, gc=False, tag="world"):
    """The existing endpoints; sent at the start of a run and again when endpoints are added."""

    routes: tuple[Route, ...]


class RelayStarted(Observed, frozen=True, gc=False, tag="relay-started"):
    """A relay's process is being started. It shares only the state folder with the previous process.

    ``life`` is the number of the process.
    """

    relay: str
    life: int


class RelayReady(Observed, frozen=True, gc=False, tag="relay-ready"):
    """A relay's process answers PING."""

    relay: str
    life: int


class RelaySignalled(Observed, frozen=True, gc=False, tag="relay-signalled"):
    """A restart of a relay begins with this signal."""

    relay: str
    signal: str


class RelayEnded(Observed, frozen=True, gc=False, tag="relay-ended"):
    """A relay's process has ended. It is ``planned`` if the run had told it to end."""

    relay: str
    status: int
    planned: bool


class RelayHandover(Observed, frozen=True, gc=False, tag="relay-passed"):
    """A handover of a relay to a new process has ended.

    ``how`` is its outcome: ``well`` if the new process reported that it serves. ``began`` is when the handover was
    started. Both processes count as one process of the relay.
    """

    relay: str
    how: str
    began: int


class EndpointExclusion(Observed, frozen=True, gc=False, tag="out-by-hand"):
    """A relay has confirmed that an endpoint is excluded by operators, or operators are including it again.

    An exclusion outlasts restarts.
    """

    relay: str
    route: str
    out: bool


class Starved(Observed, frozen=True, gc=False, tag="starved"):
    """How long a relay was runnable without a CPU core, in total over all its processes (nanoseconds)."""

    relay: str
    waited: int


class DiskUsed(Observed, frozen=True, gc=False, tag="disk-used"):
    """Disk space used by a relay's state folder, in whole blocks (bytes)."""

    relay: str
    bytes: int


class MessageSubmitted(Observed, frozen=True, gc=False, tag="handed-in"):
    """A client has submitted a message to a relay.

    Messages with the same ``lineage`` stand for one effect: each later one follows a refusal, which states that
    submitting it again is safe. ``patience`` is the time limit of the message (nanoseconds).
    """

    relay: str
    ref: str
    lineage: str
    klass: str
    dest: int
    key: str
    patience: int


class Answered(Observed, frozen=True, gc=False, tag="answered"):
    """A relay has answered a submitted message: ``ok``, ``busy`` or ``error``."""

    relay: str
    ref: str
    answer: str
    wait_ms: int = 0


class Unanswered(Observed, frozen=True, gc=False, tag="unanswered"):
    """A client stopped waiting for an answer.

    ``why`` is ``late`` (time-out), ``refused`` (no connection), ``closed`` (the relay closed the connection; the
    client sends the message once more) or ``closed-twice``.
    """

    relay: str
    ref: str
    why: str


class CallReceived(Observed, frozen=True, gc=False, tag="call-came"):
    """An endpoint has received a complete call, whose first byte arrived after ``first``."""

    call: int
    relay: str
    route: str
    ref: str
    first: int


class CallAnswered(Observed, frozen=True, gc=False, tag="call-answered"):
    """An endpoint answers a call.

    ``readable`` is false if the answer is malformed on purpose or the connection was cut off during it. ``wait`` is
    the wait that the answer tells the relay (nanoseconds).
    """

    call: int
    status: int
    wait: int = 0
    readable: bool = True


class AnswerRepeated(Observed, frozen=True, gc=False, tag="answer-repeated"):
    """An endpoint writes a second copy of the answer to a call (0: to a probe), on the same connection."""

    call: int
    relay: str
    route: str


class CallEnded(Observed, frozen=True, gc=False, tag="call-ended"):
    """The connection of a call was ended by the ``relay`` or the ``partner``, before the answer or soon after it."""

    call: int
    by: str


class Effect(Observed, frozen=True, gc=False, tag="effect"):
    """A call took effect at a partner. A repeat that the partner recognises has no effect."""

    call: int
    ref: str
    zone: str


class ProbeReceived(Observed, frozen=True, gc=False, tag="probe-came"):
    """An endpoint has received a probe, and answered it with ``status`` at once or not at all (0)."""

    relay: str
    route: str
    status: int
    first: int


class ConnectFailed(Observed, frozen=True, gc=False, tag="connect-failed"):
    """An endpoint that is down refused a connection from a relay."""

    relay: str
    route: str


class NoticeReceived(Observed, frozen=True, gc=False, tag="notice-came"):
    """The platform has read a notice. The relay repeats a notice that is not ``acknowledged``."""

    relay: str
    ref: str
    result: str
    wait_ms: int
    acknowledged: bool


class PlatformState(Observed, frozen=True, gc=False, tag="platform-state"):
    """Whether the platform accepts notices from a relay."""

    relay: str
    takes: bool


class StatusNotified(Observed, frozen=True, gc=False, tag="told"):
    """The register has sent an endpoint's state to a relay, or the relay counts as notified of it."""

    relay: str
    route: str
    status: str


class OutageBegan(Observed, frozen=True, gc=False, tag="outage-began"):
    """An outage of a partner, or of a single route, has begun. ``scope`` as in :func:`scope_of`."""

    scope: str
    how: str


class OutageOver(Observed, frozen=True, gc=False, tag="outage-over"):
    """An outage is over, and the partner is cold.

    It starts with the share ``start`` of ``capacity`` (calls a second when warm) and reaches all of it after ``ramp``
    (nanoseconds).
    """

    scope: str
    capacity: float
    start: float
    ramp: int


class FellOver(Observed, frozen=True, gc=False, tag="fell-over"):
    """The simulated partner fell over under load, whichever relays caused it."""

    scope: str


class Step(Observed, frozen=True, gc=False, tag="step"):
    """A step of the scenario; used only by the report."""

    text: str
    partners: tuple[int, ...] = ()


class RunEnded(Observed, frozen=True, gc=False, tag="run-ended"):
    """The run has ended; no event follows."""


Event = (
    RoutesAnnounced
    | RelayStarted
    | RelayReady
    | RelaySignalled
    | RelayEnded
    | RelayHandover
    | EndpointExclusion
    | Starved
    | DiskUsed
    | MessageSubmitted
    | Answered
    | Unanswered
    | CallReceived
    | CallAnswered
    | AnswerRepeated
    | CallEnded
    | Effect
    | ProbeReceived
    | ConnectFailed
    | NoticeReceived
    | PlatformState
    | StatusNotified
    | OutageBegan
    | OutageOver
    | FellOver
    | Step
    | RunEnded
)


def scope_of(route: Route) -> str:
    """The scope that limits, waits and outages apply to: the route alone, or its whole partner."""
    return route.name if route.apart else f"partner-{route.dest}"


VERSION = 1


class Header(msgspec.Struct, frozen=True, tag_field="what", tag="recording"):
    """The first line of a recording: its version, and the limits that its events are checked against."""

    version: int
    figures: msgspec.Raw
    scenario: str = ""
    seed: int = 0


class RecordingError(ValueError):
    """A recording cannot be read; the message names the file and line."""


MAX_LINE_BYTES = 1 << 20


def read_recording(path: Path) -> tuple[Header, Iterator[Event]]:
    """Read a recording's header, and iterate over its events; RecordingError if a line cannot be decoded.

    An incomplete last line, left by a crash, is ignored.
    """
    file = path.open("rb")
    first = file.readline(MAX_LINE_BYTES)
    try:
        header: Header = msgspec.json.decode(first, type=Header)
    except msgspec.MsgspecError as error:
        file.close()
        raise RecordingError(f"{path}:1: not a recording: {error}") from None
    if header.version != VERSION:
        file.close()
        raise RecordingError(f"{path}:1: version {header.version}; this program reads version {VERSION}")

    def events() -> Iterator[Event]:
        decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
        with file:
            for number, line in enumerate(iter(lambda: file.readline(MAX_LINE_BYTES), b""), start=2):
                if not line.endswith(b"\n"):
                    return
                try:
                    yield decoder.decode(line)
                except msgspec.MsgspecError as error:
                    raise RecordingError(f"{path}:{number}: {error}") from None

    return header, events()
