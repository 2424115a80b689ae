"""Adapter for the simulator's wire: reads batches, passes events to each instance's Pacer, writes replies.

It decides nothing. A malformed line ends the process with an error message on standard error.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TextIO

from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.settings import SettingsError, parse_settings

if TYPE_CHECKING:
    from garnetrelay.fleet.simulator_member import SimulatorMember

MS = 1_000_000
FIRST_FLEET_TIMER = 1 << 40  # timers with this number or a higher one belong to the fleet, not to the Pacer


class WireError(Exception):
    """A line that the wire protocol does not allow."""


def _fields(rest: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for item in rest.split(" ") if rest else []:
        name, eq, value = item.partition("=")
        if not eq or not name:
            raise WireError(f"'{item}' is not name=value")
        fields[name] = value
    return fields


def _required(fields: dict[str, str], name: str) -> str:
    if name not in fields:
        raise WireError(f"field '{name}' is missing")
    return fields[name]


def _int(fields: dict[str, str], name: str, default: int | None = None) -> int:
    if default is not None and name not in fields:
        return default
    text = _required(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field '{name}': '{text}' is not a whole number") from None


def _enum(kind: Any, name: str, value: Any) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"field '{name}': unknown value '{value}'") from None


def _bool(fields: dict[str, str], name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(f"field '{name}': '{value}' is not 1 or 0")
    return value == "1"


def _settings(text: str) -> io.Settings:
    try:
        return parse_settings(json.loads(text))
    except SettingsError as error:
        raise WireError(f"facts: {error}") from None
    except ValueError as error:
        raise WireError(f"facts: not JSON: {error}") from None


def _report(fields: dict[str, str]) -> io.Report | None:
    text = fields.get("metrics", "-")
    if text in ("", "-"):
        return None
    values: dict[str, float] = {}
    for item in text.split(","):
        name, colon, value = item.partition(":")
        try:
            values[name] = float(value) if colon else float("")
        except ValueError:
            raise WireError(f"field 'metrics': '{item}' is not name:value") from None
    if "x0" not in values and "x1" not in values:
        return None
    return io.Report(left=values.get("x0", 0.0), limit=values.get("x1", 0.0))


def _entry(fields: dict[str, str]) -> io.HostEntry:
    try:
        rate = float(fields.get("heft", "1"))
    except ValueError:
        raise WireError(f"field 'heft': '{fields['heft']}' is not a number") from None
    return io.HostEntry(
        host=_required(fields, "host"),
        zone=_int(fields, "locality", 0),
        kind=_int(fields, "classOfHost", 0),
        dest=_int(fields, "belongsTo"),
        availability=_enum(io.Availability, "availability", _required(fields, "availability")),
        rate=rate,
    )


def _arrived(f: dict[str, str]) -> io.Event:
    return io.Arrived(
        call=_required(f, "call"),
        tenant=_int(f, "project", 0),
        klass=_int(f, "priority", 0),
        dest=_int(f, "dest"),
        key=f.get("subject"),
        patience=_int(f, "patienceLeft"),
    )


def _verdict(f: dict[str, str]) -> io.Event:
    status = _enum(io.Status, "status", _int(f, "status"))
    remark = _int(f, "remarkMs", 0)
    return io.Verdict(
        call=_required(f, "call"),
        attempt=_int(f, "roundNo", 0),
        host=_required(f, "host"),
        status=status,
        cost=_int(f, "costTime", 0),
        finished=_bool(f, "finished"),
        wait=remark * MS if status is io.Status.FULL else 0,
        no_slot=status is io.Status.MOOT and remark == 1,
        report=_report(f),
    )


def _probed(f: dict[str, str]) -> io.Event:
    return io.Probed(
        host=_required(f, "host"),
        status=_enum(io.Status, "status", _int(f, "status")),
        cost=_int(f, "costTime", 0),
        report=_report(f),
    )


EVENTS: dict[str, Callable[[dict[str, str]], io.Event]] = {
    "new_request": _arrived,
    "withdrawn": lambda f: io.Withdrawn(_required(f, "call")),
    "verdict": _verdict,
    "probed": _probed,
    "alarm": lambda f: io.Alarm(_int(f, "ctx", 0)),
}


def format_action(action: io.Action) -> str:
    """The reply line for an action."""
    match action:
        case io.Send(call, host, stop_at):
            return f"pass_on call={call} host={host} stopAt={stop_at}"
        case io.Refuse(call, hold_off):
            return f"reject call={call} holdOff={hold_off}" if hold_off else f"reject call={call}"
        case io.Fail(call):
            return f"finish_error call={call}"
        case io.Cancel(call, attempt):
            return f"stop_attempt call={call} roundNo={attempt}"
        case io.Probe(host, _):
            return f"health_check host={host}"
        case io.Close(host):
            return f"close host={host}"
        case io.Wake(after, token):
            return f"defer wait={after} ctx={token}"
        case io.Subscribe():
            return "keep_informed on=1"
        case io.Log(text):
            return f"emit message={' '.join(text.split())}"


class WireHost:
    """Runs several instances, each with a Pacer of its own; they share no state."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.line_no = 0
        self.pacers: dict[int, Pacer] = {}
        self.catalogs: dict[int, tuple[io.HostEntry, ...]] = {}
        self.fleet_members: dict[int, SimulatorMember] = {}  # if the settings allow messages between relays
        self.fleet_lines: dict[int, list[str]] = {}  # reply lines of the fleet members in this batch

    def _line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        self.line_no += 1
        return line.rstrip("\r\n")

    def run(self) -> int:
        """Answer batches until the input ends. Returns the exit status."""
        line: str | None = ""
        try:
            while (line := self._line()) is not None:
                if not line:
                    continue
                name, _, rest = line.partition(" ")
                if name != "sync":
                    raise WireError("a batch must begin with 'sync'")
                self._batch(_int(_fields(rest), "atTime"))
        except WireError as error:
            print(f"line {self.line_no}: {error}", file=sys.stderr)
            return 1
        return 0

    def _batch(self, now: int) -> None:
        pending: dict[int, list[io.Event]] = {}
        self.fleet_lines.clear()
        instance: int | None = None
        while True:
            line = self._line()
            if line is None:
                raise WireError("the input ended within a batch")
            if line == "eob":
                break
            name, _, rest = line.partition(" ")
            if name == "instance":
                instance = _int(_fields(rest), "relay")
            elif name == "catalog":
                self._catalog(_fields(rest))
            elif instance is None:
                raise WireError(f"'{name}' before any 'instance'")
            elif name == "up":
                head, mark, facts = rest.partition("facts=")
                if not mark:
                    raise WireError("field 'facts' is missing")
                seed = _int(_fields(head.strip()), "rngSeed")
                self.pacers[instance] = Pacer(_settings(facts), seed)
                pending[instance] = []
                self._join(instance, facts, seed, now)
            elif name == "halt":
                self.pacers.pop(instance, None)
                self.fleet_members.pop(instance, None)
                self.fleet_lines.pop(instance, None)
                pending.pop(instance, None)
            elif name == "roster_change":
                self._add(pending, instance, self._roster(_fields(rest)))
            elif name == "mail":
                self._mail(instance, _fields(rest), now)
            elif name == "alarm" and (token := _int(_fields(rest), "ctx", 0)) >= FIRST_FLEET_TIMER:
                if instance in self.fleet_members:
                    self._add_fleet_replies(instance, self.fleet_members[instance].alarm(now, token))
            elif name in EVENTS:
                self._add(pending, instance, EVENTS[name](_fields(rest)))
            elif name == "started":
                _fields(rest)  # streams are not used
            else:
                raise WireError(f"unknown event '{name}'")
        self._reply(now, pending)

    def _join(self, instance: int, facts: str, seed: int, now: int) -> None:
        """Create the instance's fleet member if relays may exchange messages."""
        self.fleet_members.pop(instance, None)
        pacer = self.pacers[instance]
        if not pacer.settings.limits.peers or pacer.settings.relays < 2:
            return
        from garnetrelay.fleet.simulator_member import SimulatorMember  # loaded only if used

        decoded = json.loads(facts)
        me, price = decoded.get("me"), decoded.get("prices", {}).get("peer", 0)
        if not isinstance(me, int) or not 0 <= me < pacer.settings.relays:
            raise WireError(f"facts: me: '{me}' is not a relay's number")
        if not isinstance(price, int | float) or not 0 <= price <= 1000:
            raise WireError(f"facts: prices.peer: '{price}' is not a valid price")
        self.fleet_members[instance] = SimulatorMember(me, pacer.settings.relays, seed, now, price)
        self._add_fleet_replies(instance, self.fleet_members[instance].begin(now))

    def _mail(self, instance: int, fields: dict[str, str], now: int) -> None:
        origin = _int(fields, "originPeer")
        try:
            data = bytes.fromhex(_required(fields, "data"))
        except ValueError:
            raise WireError("field 'data' is not hex") from None
        if instance in self.fleet_members:
            self._add_fleet_replies(instance, self.fleet_members[instance].mail(now, origin, data))

    def _add_fleet_replies(self, instance: int, replies: list[Any]) -> None:
        from garnetrelay.fleet.simulator_member import Line, Post

        lines = self.fleet_lines.setdefault(instance, [])
        for reply in replies:
            if isinstance(reply, Post):
                lines.append(f"post neighbourId={reply.to} data={reply.data.hex()}")
            elif isinstance(reply, Line):
                lines.append(f"emit message={' '.join(reply.text.split())}")
            else:
                lines.append(f"defer wait={reply.after} ctx={reply.token}")

    def _add(self, pending: dict[int, list[io.Event]], instance: int, event: io.Event) -> None:
        if instance not in self.pacers:
            raise WireError(f"event for instance {instance}, which has not started")
        pending.setdefault(instance, []).append(event)

    def _catalog(self, fields: dict[str, str]) -> None:
        number, count = _int(fields, "buffer"), _int(fields, "entries")
        entries = []
        for _ in range(count):
            name, _, rest = (self._line() or "").partition(" ")
            if name != "m":
                raise WireError("a catalog entry must begin with 'm'")
            entries.append(_entry(_fields(rest)))
        self.catalogs[number] = tuple(entries)

    def _roster(self, fields: dict[str, str]) -> io.Roster:
        scope = _enum(io.ListScope, "scope", _required(fields, "scope"))
        if scope is io.ListScope.FAILED:
            return io.Roster(scope, ())
        number = _int(fields, "buffer")
        if number not in self.catalogs:
            raise WireError(f"field 'buffer': no catalog {number}")
        return io.Roster(scope, self.catalogs[number])

    def _reply(self, now: int, pending: dict[int, list[io.Event]]) -> None:
        out: list[str] = []
        for instance in {**pending, **self.fleet_lines}:
            try:
                actions = self.pacers[instance].handle(now, pending[instance]) if instance in pending else []
            except Exception as error:  # the run must end with this message, not go on without an instance
                message = " ".join(f"{type(error).__name__}: {error}".split())
                out += [f"at relay={instance}", f"fatal message={message}"]
                continue
            fleet_lines = self.fleet_lines.get(instance, [])
            if actions or fleet_lines:
                out.append(f"at relay={instance}")
                out.extend(format_action(action) for action in actions)
                out.extend(fleet_lines)
        out.append("done\n")
        self.sink.write("\n".join(out))
        self.sink.flush()


def main() -> int:
    """Serve standard input and output."""
    return WireHost(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
