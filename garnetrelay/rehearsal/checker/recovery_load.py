"""Rule 4: a partner that is cold after an outage is not overloaded by relays that saw it fail.

Load is counted over a sliding window (``RuleLimits.fall``). The limit is a multiple (``RuleLimits.fall_multiple``) of the
partner's capacity at that moment, plus one standard deviation of a Poisson count of that size, at least two calls,
for random variation. Only calls that certainly arrived within one window are counted together. The rule is broken if
at least two thirds of them came from relays whose current process saw a call or probe to the partner fail or be
refused during the outage.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.limits import SECOND
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds

MIN_INFORMED_SHARE = 2 / 3  # of the calls, from relays that saw the outage
MIN_SLACK_CALLS = 2.0


def capacity(recovery: ev.OutageOver, at: int) -> float:
    """Calls a second that the partner can serve at a given time; capacity grows linearly during the ramp."""
    if recovery.ramp <= 0:
        return recovery.capacity
    warm = min(1.0, max(0.0, (at - recovery.at) / recovery.ramp))
    return recovery.capacity * (recovery.start + (1 - recovery.start) * warm)


def max_calls(recovery: ev.OutageOver, at: int, window: int, multiple: float) -> float:
    """The maximum number of calls in a window that ends at ``at``, including the slack for random variation."""
    budget = multiple * capacity(recovery, at) * window / SECOND
    return budget + max(MIN_SLACK_CALLS, math.sqrt(budget))


@dataclass(slots=True, eq=False)
class Scope:
    """A partner, or a route with limits of its own, during and after an outage."""

    began: ev.OutageBegan
    recovery: ev.OutageOver | None = None
    # By relay and number of its process: the first failure that it saw.
    failures_seen: dict[tuple[str, int], ev.Event] = field(default_factory=dict)
    # Calls and probes of the current window, each with the number of the relay process.
    arrivals: deque[tuple[ev.CallReceived | ev.ProbeReceived, int]] = field(default_factory=deque)


class RecoveryLoadRule:
    """Checks the load on partners that recover from an outage."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.scopes: dict[str, Scope] = {}

    @property
    def handlers(self) -> Handlers:
        """The event types that this rule handles, each with its handler."""
        return {
            ev.OutageBegan: self._outage_began,
            ev.OutageOver: self._outage_over,
            ev.CallReceived: self._arrived,
            ev.ProbeReceived: self._probe_arrived,
            ev.ConnectFailed: self._connect_failed,
            ev.CallAnswered: self._call_answered,
            ev.CallEnded: self._call_ended,
        }

    def _outage_began(self, event: ev.OutageBegan) -> None:
        self.scopes[event.scope] = Scope(event)

    def _outage_over(self, event: ev.OutageOver) -> None:
        if event.scope in self.scopes:
            self.scopes[event.scope].recovery = event

    def _probe_arrived(self, event: ev.ProbeReceived) -> None:
        if event.status != 200:
            self._record_failure(event.relay, event.route, event)
        self._arrived(event)

    def _connect_failed(self, event: ev.ConnectFailed) -> None:
        self._record_failure(event.relay, event.route, event)

    def _call_answered(self, event: ev.CallAnswered) -> None:
        if event.status != 200 and event.call in self.facts.calls:
            arrival = self.facts.calls[event.call].arrival
            self._record_failure(arrival.relay, arrival.route, event)

    def _call_ended(self, event: ev.CallEnded) -> None:
        call = self.facts.calls.get(event.call)
        if call is not None and call.answered is None:
            self._record_failure(call.arrival.relay, call.arrival.route, event)

    def _record_failure(self, relay: str, route: str, event: ev.Event) -> None:
        scope = self.scopes.get(self.facts.scope(route))
        if scope is not None and scope.recovery is None:
            scope.failures_seen.setdefault((relay, self.facts.relay(relay).life), event)

    def _arrived(self, arrival: ev.CallReceived | ev.ProbeReceived) -> None:
        if not self.scopes:
            return
        name = self.facts.scope(arrival.route)
        scope = self.scopes.get(name)
        if scope is None or scope.recovery is None or arrival.since < scope.recovery.at:
            return
        recovery, limits = scope.recovery, self.facts.limits
        if arrival.at > recovery.at + recovery.ramp + limits.fall:
            del self.scopes[name]
            return
        life = self.facts.relay(arrival.relay).life
        scope.arrivals.append((arrival, life))
        while scope.arrivals[0][0].since < arrival.at - limits.fall:
            scope.arrivals.popleft()
        max_count = max_calls(recovery, arrival.at, limits.fall, limits.fall_multiple)
        if len(scope.arrivals) <= max_count:
            return
        informed = [
            (event, key) for event, process in scope.arrivals if (key := (event.relay, process)) in scope.failures_seen
        ]
        if len(informed) < MIN_INFORMED_SHARE * len(scope.arrivals):
            return
        relays = sorted({key[0] for _, key in informed})
        self.verdict_log.report(
            4,
            "pushed-over",
            name,
            ", ".join(relays),
            arrival.at,
            f"{name} recovered at {seconds(recovery.at)} and can serve {capacity(recovery, arrival.at):.1f} calls "
            f"a second; {len(scope.arrivals)} arrived within {seconds(limits.fall)}, {len(informed)} of them from "
            f"{' and '.join(relays)}, which had seen it fail",
            [
                scope.began,
                recovery,
                *(scope.failures_seen[key] for key in dict.fromkeys(key for _, key in informed)),
                *(event for event, _ in scope.arrivals),
            ],
        )
