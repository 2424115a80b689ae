"""Statistics of a run, computed from its events only: service, counts per second, calls per partner. No I/O."""

from __future__ import annotations

import bisect
from array import array
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.plan import Plan

SECOND = 1_000_000_000


@dataclass(slots=True)
class Second:
    """The counts of one second of the run."""

    handed_in: int = 0
    delivered: int = 0
    refused: int = 0  # by relays
    ended: Counter[str] = field(default_factory=Counter)  # notices by result
    calls: Counter[str] = field(default_factory=Counter)  # by scope
    turned_away: Counter[str] = field(default_factory=Counter)  # calls that never ran (429 or 503), by scope
    waits: int = 0
    pending: int = 0  # accepted messages that had not ended at the end of the second


@dataclass(slots=True)
class Served:
    """A message of a client, however many times it was handed in."""

    klass: int
    at: int
    worth: float = 0.0


class Tally:
    """Counts events as they are observed."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.seconds: list[Second] = []
        self.counts: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.restarts: list[ev.RelaySignalled] = []
        self.steps: list[ev.Step] = []
        self.fallen_over: list[ev.FellOver] = []
        self.outages: list[tuple[ev.OutageBegan, ev.OutageOver | None]] = []
        self.served: dict[str, Served] = {}
        self.pending: set[str] = set()
        self.max_pending = 0
        self.starved: dict[str, int] = {}
        self.disk: dict[str, int] = {}
        self.upgrades: list[ev.RelayHandover] = []
        self.answers: dict[str, array[int]] = {}  # by relay: time of a hand-in and duration until its answer, in pairs
        self._unanswered_since: dict[str, int] = {}  # hand-ins without an answer yet
        self._routes: dict[str, ev.Route] = {}
        self._refs: dict[str, str] = {}
        self._calls: dict[int, ev.CallReceived] = {}
        self._handlers = self._handler_table()
        self._classes = {c["name"]: n for n, c in enumerate(plan.settings["classes"])}

    def second(self, at: int) -> Second:
        """The counts of the second that a time (nanoseconds) falls into; missing seconds before it are added."""
        index = max(0, at // SECOND)
        while len(self.seconds) <= index:
            self.seconds.append(Second(pending=len(self.pending)))
        return self.seconds[index]

    def take(self, event: ev.Event) -> None:
        """Count an event."""
        handler = self._handlers.get(type(event))
        if handler is not None:
            now = self.second(event.at)
            handler(event, now)
            now.pending = len(self.pending)

    def _handler_table(self) -> dict[type[ev.Observed], Callable[[Any, Second], None]]:
        return {
            ev.MessageSubmitted: self._handed_in,
            ev.Answered: self._hand_in_answered,
            ev.Unanswered: self._unanswered,
            ev.CallReceived: self._call_arrived,
            ev.CallAnswered: self._call_answered,
            ev.CallEnded: self._call_ended,
            ev.Effect: lambda event, now: self.counts.update(("effects",)),
            ev.ProbeReceived: lambda event, now: self.counts.update(("probes",)),
            ev.NoticeReceived: self._notice,
            ev.RelayHandover: lambda event, now: self.upgrades.append(event),
            ev.RelaySignalled: lambda event, now: self.restarts.append(event),
            ev.Step: lambda event, now: self.steps.append(event),
            ev.FellOver: lambda event, now: self.fallen_over.append(event),
            ev.OutageBegan: lambda event, now: self.outages.append((event, None)),
            ev.OutageOver: self._outage_over,
            ev.Starved: lambda event, now: self.starved.update({event.relay: event.waited}),
            ev.DiskUsed: self._disk_used,
            ev.RoutesAnnounced: lambda event, now: self._routes.update({route.name: route for route in event.routes}),
        }

    def _handed_in(self, event: ev.MessageSubmitted, now: Second) -> None:
        now.handed_in += 1
        self.counts["handed in"] += 1
        self._unanswered_since[event.ref] = event.at
        root = event.lineage.partition(".")[0]
        self._refs[event.ref] = root
        if root not in self.served:
            self.served[root] = Served(self._classes[event.klass], event.at)

    def _hand_in_answered(self, event: ev.Answered, now: Second) -> None:
        asked = self._unanswered_since.pop(event.ref, None)
        if asked is not None:
            self.answers.setdefault(event.relay, array("q")).extend((asked, event.at - asked))
        if event.answer != "ok":
            now.refused += 1
            self.counts[f"answered {event.answer}"] += 1
            self._refs.pop(event.ref, None)
            return
        self.counts["taken on"] += 1
        if event.ref in self._refs:
            self.pending.add(event.ref)
        self.max_pending = max(self.max_pending, len(self.pending))

    def _unanswered(self, event: ev.Unanswered, now: Second) -> None:
        self.counts[f"unanswered, {event.why}"] += 1
        if event.why != "closed":
            self._unanswered_since.pop(event.ref, None)

    def _call_arrived(self, event: ev.CallReceived, now: Second) -> None:
        route = self._routes.get(event.route)
        now.calls[event.route if route is None else ev.scope_of(route)] += 1
        self.counts["calls"] += 1
        self._calls[event.call] = event

    def _call_ended(self, event: ev.CallEnded, now: Second) -> None:
        if self._calls.pop(event.call, None) is not None:
            self.counts[f"calls without an answer, ended by the {event.by}"] += 1

    def _notice(self, event: ev.NoticeReceived, now: Second) -> None:
        if event.acknowledged:
            now.ended[event.result] += 1
            self.counts[f"notices, {event.result}"] += 1
        self._message_ended(event.ref)

    def _outage_over(self, event: ev.OutageOver, now: Second) -> None:
        self.outages = [
            (began, event if over is None and began.scope == event.scope else over) for began, over in self.outages
        ]

    def _disk_used(self, event: ev.DiskUsed, now: Second) -> None:
        self.disk[event.relay] = max(self.disk.get(event.relay, 0), event.bytes)

    def _call_answered(self, event: ev.CallAnswered, now: Second) -> None:
        came = self._calls.pop(event.call, None)
        if came is None:
            return
        self.statuses[event.status] += 1
        route = self._routes.get(came.route)
        if event.status in (429, 503):
            now.turned_away[came.route if route is None else ev.scope_of(route)] += 1
        if event.wait:
            now.waits += 1
        if event.status != 200:
            return
        now.delivered += 1
        root = self._refs.get(came.ref)
        served = self.served.get(root) if root is not None else None
        if served is not None:
            served.worth = max(served.worth, self._worth(served, event.at))
        self._message_ended(came.ref)

    def _message_ended(self, ref: str) -> None:
        self.pending.discard(ref)
        self._refs.pop(ref, None)

    def _worth(self, served: Served, at: int) -> float:
        """1 within the aim, then falling linearly to the late worth at the deadline; 0 after it."""
        klass = self.plan.settings["classes"][served.klass]
        late = (at - served.at - klass["aim"]) / max(1, klass["deadline"] - klass["aim"])
        if late >= 1:
            return 0.0
        return float(1 - max(0.0, late) * (1 - klass["lateWorth"]))

    def service(self) -> dict[str, float]:
        """Delivered worth divided by requested worth, in total and by class."""
        asked: Counter[str] = Counter()
        got: Counter[str] = Counter()
        for served in self.served.values():
            klass = self.plan.settings["classes"][served.klass]
            for name in ("all", klass["name"]):
                asked[name] += klass["worth"]
                got[name] += klass["worth"] * served.worth
        return {name: got[name] / asked[name] for name in asked if asked[name]}

    def answer_times(self) -> dict[str, dict[str, float]]:
        """Answer times of clients in milliseconds: during an upgrade of the relay, and otherwise."""
        found: dict[str, list[int]] = {"during upgrades": [], "otherwise": []}
        for relay, pairs in self.answers.items():
            spans = sorted((passed.began, passed.at) for passed in self.upgrades if passed.relay == relay)
            for asked, took in zip(pairs[::2], pairs[1::2], strict=True):
                index = bisect.bisect(spans, (asked + took, 1 << 62)) - 1
                within = any(asked <= end for _, end in spans[max(0, index - 1) : index + 1])
                found["during upgrades" if within else "otherwise"].append(took)
        return {name: _percentiles(times) for name, times in found.items() if times}

    def summary(self) -> dict[str, Any]:
        """The statistics as plain values, for the JSON report."""
        return {
            "service": {name: round(value, 4) for name, value in self.service().items()},
            "counts": dict(sorted(self.counts.items())),
            "answers": {str(status): count for status, count in sorted(self.statuses.items())},
            "most held": self.max_pending,
            "answer times, ms": self.answer_times(),
            "upgrades": dict(Counter(passed.how for passed in self.upgrades)),
            "partners pushed over": [event.scope for event in self.fallen_over],
            "starved seconds": {relay: round(waited / 1e9, 3) for relay, waited in sorted(self.starved.items())},
            "disk bytes at most": dict(sorted(self.disk.items())),
        }


def _percentiles(times: list[int]) -> dict[str, float]:
    times.sort()
    picked = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    found = {name: round(times[min(len(times) - 1, int(share * len(times)))] / 1e6, 2) for name, share in picked.items()}
    return {"count": len(times), **found}
