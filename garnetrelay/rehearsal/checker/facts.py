"""The state of relays, routes, messages and calls, derived from the observed events. It applies no rules."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.limits import SECOND, ClassLimits, RuleLimits
from garnetrelay.rehearsal.checker.verdicts import Handlers

REFUSAL_STATUSES = frozenset((429, 503, 504, 410))  # these answers state that the call had no effect
RETENTION_NS = 90 * SECOND  # messages are removed this long after their deadline
MAX_STARVATION_SAMPLES = 6000  # per relay: five minutes of samples


@dataclass(slots=True, eq=False)
class RelayFacts:
    """The state of a relay across restarts of its process."""

    name: str
    life: int = 0  # number of the current process
    ready_at: int = -1  # when the current process became ready; -1: not ready
    signalled: ev.RelaySignalled | None = None  # the last restart signal, until the relay is ready again
    starvation_samples: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=MAX_STARVATION_SAMPLES))
    refusing_notices_since: int | None = None  # the platform refuses its notices since then
    accepting_notices_since: int = -1  # the platform accepts them again since then
    disk_reported: bool = False

    def starvation_ns(self, start: int, end: int) -> int:
        """An upper bound on how long the process waited for a CPU core within that interval."""
        if not self.starvation_samples:
            return 0
        before = after = None
        for at, waited in reversed(self.starvation_samples):
            if at >= end:
                after = (at, waited)
            if at <= start:
                before = (at, waited)
                break
        before = before or self.starvation_samples[0]
        if after is None:  # no sample at or after the end of the interval yet
            latest = self.starvation_samples[-1]
            return max(0, latest[1] - before[1])
        return max(0, after[1] - before[1])


@dataclass(slots=True, eq=False)
class Call:
    """One attempt, as observed by its endpoint."""

    arrival: ev.CallReceived
    life: int  # number of the relay process that sent it
    zone: str
    answered: ev.CallAnswered | None = None
    ended: ev.CallEnded | None = None
    effect: ev.Effect | None = None

    @property
    def ended_since(self) -> int | None:
        """The earliest time at which the attempt may have ended, by its answer or the end of its connection."""
        times = [event.since for event in (self.answered, self.ended) if event is not None]
        return min(times, default=None)

    @property
    def never_ran(self) -> bool:
        """Whether its relay received proof that the call had no effect."""
        return self.answered is not None and self.answered.readable and self.answered.status in REFUSAL_STATUSES

    @property
    def delivered(self) -> bool:
        """Whether a status line with 200 was written."""
        return self.answered is not None and self.answered.status == 200

    def evidence(self) -> list[ev.Event]:
        """The observed events of this attempt, as evidence for a verdict."""
        return [event for event in (self.arrival, self.answered, self.ended) if event is not None]


@dataclass(slots=True, eq=False)
class Message:
    """One message submitted by a client."""

    submission: ev.MessageSubmitted
    klass: ClassLimits
    life: int  # number of the relay process that it was submitted to
    sequence: int  # position among all submitted messages
    answer: ev.Answered | None = None
    unanswered: ev.Unanswered | None = None
    calls: list[Call] = field(default_factory=list)
    notices: list[ev.NoticeReceived] = field(default_factory=list)
    machine_lost: bool = False

    @property
    def accepted(self) -> bool:
        """Whether the relay has accepted it (``+OK``)."""
        return self.answer is not None and self.answer.answer == "ok"

    @property
    def refused(self) -> bool:
        """Whether the relay has answered that it does not accept it."""
        return self.answer is not None and self.answer.answer != "ok"

    @property
    def delivered(self) -> Call | None:
        """The call that delivered it, or None."""
        return next((call for call in self.calls if call.delivered), None)

    @property
    def ended(self) -> bool:
        """Whether it was refused, delivered or ended by a notice."""
        return bool(self.notices) or self.refused or self.delivered is not None


@dataclass(slots=True, eq=False)
class Facts:
    """The state derived from all events so far."""

    limits: RuleLimits
    now: int = 0
    relays: dict[str, RelayFacts] = field(default_factory=dict)
    routes: dict[str, ev.Route] = field(default_factory=dict)
    messages: dict[str, Message] = field(default_factory=dict)
    lineages: dict[str, list[Message]] = field(default_factory=dict)
    calls: dict[int, Call] = field(default_factory=dict)
    message_count: int = 0
    _expiries: deque[tuple[int, str]] = field(default_factory=deque)

    def relay(self, name: str) -> RelayFacts:
        """The state of a relay; created when the relay is first mentioned."""
        found = self.relays.get(name)
        if found is None:
            found = self.relays[name] = RelayFacts(name)
        return found

    def scope(self, route: str) -> str:
        """The name of the scope that a route belongs to; the route's own name if the route is unknown."""
        found = self.routes.get(route)
        return route if found is None else ev.scope_of(found)

    @property
    def handlers(self) -> Handlers:
        """The event types that change the state, each with its handler."""
        return {
            ev.RoutesAnnounced: self._routes_announced,
            ev.Starved: self._starved,
            ev.RelayStarted: self._started,
            ev.RelayReady: self._ready,
            ev.RelaySignalled: self._signalled,
            ev.PlatformState: self._platform,
            ev.MessageSubmitted: self._submitted,
            ev.Answered: self._answered,
            ev.Unanswered: self._unanswered,
            ev.CallReceived: self._call_arrived,
            ev.CallAnswered: self._call_answered,
            ev.CallEnded: self._call_ended,
            ev.Effect: self._effect,
            ev.NoticeReceived: self._notice,
        }

    def _routes_announced(self, event: ev.RoutesAnnounced) -> None:
        self.routes.update({route.name: route for route in event.routes})

    def _starved(self, event: ev.Starved) -> None:
        self.relay(event.relay).starvation_samples.append((event.at, event.waited))
        self._remove_expired()

    def _started(self, event: ev.RelayStarted) -> None:
        relay = self.relay(event.relay)
        relay.life, relay.ready_at = event.life, -1

    def _ready(self, event: ev.RelayReady) -> None:
        relay = self.relay(event.relay)
        relay.ready_at, relay.signalled = event.at, None

    def _signalled(self, event: ev.RelaySignalled) -> None:
        self.relay(event.relay).signalled = event

    def _platform(self, event: ev.PlatformState) -> None:
        relay = self.relay(event.relay)
        if event.takes:
            relay.refusing_notices_since, relay.accepting_notices_since = None, event.at
        else:
            relay.refusing_notices_since = event.at

    def _answered(self, event: ev.Answered) -> None:
        if (message := self.messages.get(event.ref)) is not None:
            message.answer = event

    def _unanswered(self, event: ev.Unanswered) -> None:
        if (message := self.messages.get(event.ref)) is not None and event.why != "closed":
            message.unanswered = event

    def _call_arrived(self, event: ev.CallReceived) -> None:
        route = self.routes.get(event.route)
        call = Call(event, self.relay(event.relay).life, "" if route is None else route.zone)
        self.calls[event.call] = call
        if (message := self.messages.get(event.ref)) is not None:
            message.calls.append(call)

    def _call_answered(self, event: ev.CallAnswered) -> None:
        if (found := self.calls.get(event.call)) is not None:
            found.answered = event

    def _call_ended(self, event: ev.CallEnded) -> None:
        if (found := self.calls.get(event.call)) is not None and found.ended is None:
            found.ended = event

    def _effect(self, event: ev.Effect) -> None:
        if (found := self.calls.get(event.call)) is not None:
            found.effect = event

    def _notice(self, event: ev.NoticeReceived) -> None:
        if (message := self.messages.get(event.ref)) is not None:
            message.notices.append(event)

    def _submitted(self, event: ev.MessageSubmitted) -> None:
        self.message_count += 1
        message = Message(event, self.limits.classes[event.klass], self.relay(event.relay).life, self.message_count)
        self.messages[event.ref] = message
        self.lineages.setdefault(event.lineage, []).append(message)
        self._expiries.append((event.at + event.patience + RETENTION_NS, event.ref))

    def _remove_expired(self) -> None:
        while self._expiries and self._expiries[0][0] < self.now:
            message = self.messages.pop(self._expiries.popleft()[1])
            for call in message.calls:
                self.calls.pop(call.arrival.call, None)
            same_lineage = self.lineages[message.submission.lineage]
            same_lineage.remove(message)
            if not same_lineage:
                del self.lineages[message.submission.lineage]
