"""What the stand-ins observe, as typed values: the checker's only source, recorded and read again as JSON lines.

Times are nanoseconds since the run began, by one monotonic clock. What comes in from a relay has happened some
time after ``since`` (the stand-ins' loop had looked then, and it was not there) and before ``at`` (it was read);
what a stand-in does itself has both alike. A rule is broken only if it is broken wherever between the two the
thing happened: a busy machine widens the interval, and so can hide a break but never invent one.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec


class Observed(msgspec.Struct, frozen=True, gc=False, tag_field="what"):
    """The base: when it happened."""

    at: int
    since: int


class Route(msgspec.Struct, frozen=True, gc=False):
    """An endpoint of a partner, as the checker has to know it."""

    name: str
    dest: int
    zone: str
    apart: bool  # a route of its own: limits, waits and outages count for it alone


class World(Observed, frozen=True, gc=False, tag="world"):
    """The endpoints there are, told at the start and again when some are added."""

    routes: tuple[Route, ...]


class RelayStarted(Observed, frozen=True, gc=False, tag="relay-started"):
    """A relay's process is being started: a life of its own, which knows nothing of the one before but its folder."""

    relay: str
    life: int


class RelayReady(Observed, frozen=True, gc=False, tag="relay-ready"):
    """A relay's process answers PING."""

    relay: str
    life: int


class RelaySignalled(Observed, frozen=True, gc=False, tag="relay-signalled"):
    """A restart begins with this signal."""

    relay: str
    signal: str


class RelayEnded(Observed, frozen=True, gc=False, tag="relay-ended"):
    """A relay's process is gone. Unplanned: nobody had told it to end."""

    relay: str
    status: int
    planned: bool


class RelayPassed(Observed, frozen=True, gc=False, tag="relay-passed"):
    """A relay has passed to a new process beside the old one, or was to: ``how`` it ended, ``well`` where the new one
    said that it serves; ``began`` is when that was started. Both processes are one relay, and one life of it."""

    relay: str
    how: str
    began: int


class OutByHand(Observed, frozen=True, gc=False, tag="out-by-hand"):
    """Staff have a relay's word that an endpoint is out, or are putting it back. No restart ends that."""

    relay: str
    route: str
    out: bool


class Starved(Observed, frozen=True, gc=False, tag="starved"):
    """How long a relay's process was ready to run and got no core, in all its lives together (nanoseconds)."""

    relay: str
    waited: int


class DiskUsed(Observed, frozen=True, gc=False, tag="disk-used"):
    """What lies in a relay's state folder, in whole blocks (bytes)."""

    relay: str
    bytes: int


class HandedIn(Observed, frozen=True, gc=False, tag="handed-in"):
    """A client has written a request to a relay. Hand-ins of one ``lineage`` stand for one effect: the later
    ones follow a refusal, which says that coming again is harmless."""

    relay: str
    ref: str
    lineage: str
    klass: str
    dest: int
    key: str
    patience: int


class Answered(Observed, frozen=True, gc=False, tag="answered"):
    """A relay has answered a hand-in: ``ok``, ``busy`` or ``error``."""

    relay: str
    ref: str
    answer: str
    wait_ms: int = 0


class Unanswered(Observed, frozen=True, gc=False, tag="unanswered"):
    """A client stopped waiting for an answer: ``late``, ``refused`` (no connection), ``closed`` (the relay ended
    the connection; the client sends once more) or ``closed-twice``."""

    relay: str
    ref: str
    why: str


class CallCame(Observed, frozen=True, gc=False, tag="call-came"):
    """A call has come whole at an endpoint; its first byte came after ``first``."""

    call: int
    relay: str
    route: str
    ref: str
    first: int


class CallAnswered(Observed, frozen=True, gc=False, tag="call-answered"):
    """An endpoint answers a call. Not ``readable``: spoilt on purpose, or cut off with it. ``wait`` as told."""

    call: int
    status: int
    wait: int = 0
    readable: bool = True


class CallEnded(Observed, frozen=True, gc=False, tag="call-ended"):
    """The connection of a call ended, before its answer or soon after it: by the ``relay`` or the ``partner``."""

    call: int
    by: str


class Effect(Observed, frozen=True, gc=False, tag="effect"):
    """A call took effect at a partner; a repeat that the partner recognised is none."""

    call: int
    ref: str
    zone: str


class ProbeCame(Observed, frozen=True, gc=False, tag="probe-came"):
    """A probe has come; it was answered with ``status`` at once, or stays without an answer (0)."""

    relay: str
    route: str
    status: int
    first: int


class ConnectFailed(Observed, frozen=True, gc=False, tag="connect-failed"):
    """An endpoint that is down turned a relay's connection away."""

    relay: str
    route: str


class NoticeCame(Observed, frozen=True, gc=False, tag="notice-came"):
    """The platform has read a notice. Not ``acknowledged``: it will come again."""

    relay: str
    ref: str
    result: str
    wait_ms: int
    acknowledged: bool


class PlatformState(Observed, frozen=True, gc=False, tag="platform-state"):
    """Whether the platform takes notices of a relay."""

    relay: str
    takes: bool


class Told(Observed, frozen=True, gc=False, tag="told"):
    """The register has written an endpoint's state to a relay, or the relay counts as told of it."""

    relay: str
    route: str
    status: str


class OutageBegan(Observed, frozen=True, gc=False, tag="outage-began"):
    """A partner (or a route of its own) works no more. ``scope`` as in :func:`scope_of`."""

    scope: str
    how: str


class OutageOver(Observed, frozen=True, gc=False, tag="outage-over"):
    """It is back, cold: of ``capacity`` (calls a second when warm) it has the share ``start``, and all of it
    after ``ramp``."""

    scope: str
    capacity: float
    start: float
    ramp: int


class FellOver(Observed, frozen=True, gc=False, tag="fell-over"):
    """The stand-in partner was pushed over, whoever did it."""

    scope: str


class Step(Observed, frozen=True, gc=False, tag="step"):
    """A step of the scenario, for the report's eyes."""

    text: str
    partners: tuple[int, ...] = ()


class RunEnded(Observed, frozen=True, gc=False, tag="run-ended"):
    """Nothing more will be observed."""


Event = (
    World
    | RelayStarted
    | RelayReady
    | RelaySignalled
    | RelayEnded
    | RelayPassed
    | OutByHand
    | Starved
    | DiskUsed
    | HandedIn
    | Answered
    | Unanswered
    | CallCame
    | CallAnswered
    | CallEnded
    | Effect
    | ProbeCame
    | ConnectFailed
    | NoticeCame
    | PlatformState
    | Told
    | OutageBegan
    | OutageOver
    | FellOver
    | Step
    | RunEnded
)


def scope_of(route: Route) -> str:
    """What limits, waits and outages count for: the route, or its partner as one."""
    return route.name if route.apart else f"partner-{route.dest}"


VERSION = 1


class Header(msgspec.Struct, frozen=True, tag_field="what", tag="recording"):
    """The first line of a recording: its version, and the figures that its events are judged by."""

    version: int
    figures: msgspec.Raw
    scenario: str = ""
    seed: int = 0


class RecordingError(ValueError):
    """A recording that can't be read; the text names file and line."""


MOST_LINE = 1 << 20


def read_recording(path: Path) -> tuple[Header, Iterator[Event]]:
    """A recording's header and its events, one at a time; RecordingError where it can't be read. A last line that
    a crash cut off is left out."""
    file = path.open("rb")
    first = file.readline(MOST_LINE)
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
            for number, line in enumerate(iter(lambda: file.readline(MOST_LINE), b""), start=2):
                if not line.endswith(b"\n"):
                    return
                try:
                    yield decoder.decode(line)
                except msgspec.MsgspecError as error:
                    raise RecordingError(f"{path}:{number}: {error}") from None

    return header, events()
