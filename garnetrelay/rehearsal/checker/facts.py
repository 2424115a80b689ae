"""What is known so far, from the events alone: relays, routes, messages and their calls. It judges nothing."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.figures import SECOND, ClassFigures, Figures
from garnetrelay.rehearsal.checker.verdicts import Handlers

REFUSALS = frozenset((429, 503, 504, 410))  # answers that say: it never ran
KEPT = 90 * SECOND  # messages that ended so long ago are forgotten
SAMPLES = 6000  # of a relay's starvation: five minutes of them


@dataclass(slots=True, eq=False)
class RelayFacts:
    """A relay through its lives."""

    name: str
    life: int = 0
    ready_at: int = -1  # of the present life; -1: not ready
    signalled: ev.RelaySignalled | None = None  # not ready again since
    samples: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    refusing_since: int | None = None  # the platform takes none of its notices
    taking_since: int = -1  # the platform takes them again
    disk_reported: bool = False

    def starved(self, start: int, end: int) -> int:
        """For how long of that time at most it got no core (nanoseconds)."""
        if not self.samples:
            return 0
        low = high = None
        for at, waited in reversed(self.samples):
            if at >= end:
                high = (at, waited)
            if at <= start:
                low = (at, waited)
                break
        low = low or self.samples[0]
        if high is None:  # no sample so late yet
            last = self.samples[-1]
            return max(0, last[1] - low[1])
        return max(0, high[1] - low[1])


@dataclass(slots=True, eq=False)
class Call:
    """One attempt, as its endpoint saw it."""

    came: ev.CallCame
    life: int
    zone: str
    answered: ev.CallAnswered | None = None
    ended: ev.CallEnded | None = None
    effect: ev.Effect | None = None

    @property
    def over_since(self) -> int | None:
        """Since when at the earliest it is no longer out, by its answer or its connection's end."""
        times = [event.since for event in (self.answered, self.ended) if event is not None]
        return min(times, default=None)

    @property
    def never_ran(self) -> bool:
        """Its relay can know that it never ran."""
        return self.answered is not None and self.answered.readable and self.answered.status in REFUSALS

    @property
    def delivered(self) -> bool:
        """A first line with 200 was written."""
        return self.answered is not None and self.answered.status == 200

    def proof(self) -> list[ev.Event]:
        """The events that tell its story."""
        return [event for event in (self.came, self.answered, self.ended) if event is not None]


@dataclass(slots=True, eq=False)
class Message:
    """One hand-in."""

    handed: ev.HandedIn
    klass: ClassFigures
    life: int
    order: int  # among all hand-ins
    answer: ev.Answered | None = None
    unanswered: ev.Unanswered | None = None
    calls: list[Call] = field(default_factory=list)
    notices: list[ev.NoticeCame] = field(default_factory=list)
    machine_lost: bool = False

    @property
    def taken(self) -> bool:
        """Whether the relay has promised to deliver it (``+OK``)."""
        return self.answer is not None and self.answer.answer == "ok"

    @property
    def refused(self) -> bool:
        """Whether the relay has answered that it will not."""
        return self.answer is not None and self.answer.answer != "ok"

    @property
    def delivered(self) -> Call | None:
        """The call that delivered it; None while there is none."""
        return next((call for call in self.calls if call.delivered), None)

    @property
    def over(self) -> bool:
        """Whether its client knows how it ended, or its partner has it."""
        return bool(self.notices) or self.refused or self.delivered is not None


@dataclass(slots=True, eq=False)
class Facts:
    """All that the events have told."""

    figures: Figures
    now: int = 0
    relays: dict[str, RelayFacts] = field(default_factory=dict)
    routes: dict[str, ev.Route] = field(default_factory=dict)
    messages: dict[str, Message] = field(default_factory=dict)
    lineages: dict[str, list[Message]] = field(default_factory=dict)
    calls: dict[int, Call] = field(default_factory=dict)
    count: int = 0
    _age: deque[tuple[int, str]] = field(default_factory=deque)

    def relay(self, name: str) -> RelayFacts:
        """What is known of a relay, from its first mention on."""
        found = self.relays.get(name)
        if found is None:
            found = self.relays[name] = RelayFacts(name)
        return found

    def scope(self, route: str) -> str:
        """The name under which a route's calls are paced; the route's own where none was told."""
        found = self.routes.get(route)
        return route if found is None else ev.scope_of(found)

    @property
    def handlers(self) -> Handlers:
        """The events that the facts are made of, each with what takes it in."""
        return {
            ev.World: self._world,
            ev.Starved: self._starved,
            ev.RelayStarted: self._started,
            ev.RelayReady: self._ready,
            ev.RelaySignalled: self._signalled,
            ev.PlatformState: self._platform,
            ev.HandedIn: self._handed_in,
            ev.Answered: self._answered,
            ev.Unanswered: self._unanswered,
            ev.CallCame: self._came,
            ev.CallAnswered: self._call_answered,
            ev.CallEnded: self._call_ended,
            ev.Effect: self._effect,
            ev.NoticeCame: self._notice,
        }

    def _world(self, event: ev.World) -> None:
        self.routes.update({route.name: route for route in event.routes})

    def _starved(self, event: ev.Starved) -> None:
        self.relay(event.relay).samples.append((event.at, event.waited))
        self._forget()

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
            relay.refusing_since, relay.taking_since = None, event.at
        else:
            relay.refusing_since = event.at

    def _answered(self, event: ev.Answered) -> None:
        if (message := self.messages.get(event.ref)) is not None:
            message.answer = event

    def _unanswered(self, event: ev.Unanswered) -> None:
        if (message := self.messages.get(event.ref)) is not None and event.why != "closed":
            message.unanswered = event

    def _came(self, event: ev.CallCame) -> None:
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

    def _notice(self, event: ev.NoticeCame) -> None:
        if (message := self.messages.get(event.ref)) is not None:
            message.notices.append(event)

    def _handed_in(self, event: ev.HandedIn) -> None:
        self.count += 1
        message = Message(event, self.figures.classes[event.klass], self.relay(event.relay).life, self.count)
        self.messages[event.ref] = message
        self.lineages.setdefault(event.lineage, []).append(message)
        self._age.append((event.at + event.patience + KEPT, event.ref))

    def _forget(self) -> None:
        while self._age and self._age[0][0] < self.now:
            message = self.messages.pop(self._age.popleft()[1])
            for call in message.calls:
                self.calls.pop(call.came.call, None)
            others = self.lineages[message.handed.lineage]
            others.remove(message)
            if not others:
                del self.lineages[message.handed.lineage]
