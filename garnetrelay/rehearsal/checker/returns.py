"""Rule 4: a partner that comes back cold from an outage is not pushed over by relays that saw it fail.

Load is counted over the stated time: more than the stated multiple of what the partner can take at that moment is
too much, with a slack for chance of one standard deviation of a Poisson count of that size, two calls at least.
Only calls that surely came within one span of that length count together. The rule is broken if two thirds of them
came from relays that, in that same life, saw a call or a probe there fail or be refused during the outage.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.figures import SECOND
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds

BLAME = 2 / 3
LEAST_SLACK = 2.0  # calls


def capacity(over: ev.OutageOver, at: int) -> float:
    """Calls a second that it can take at a moment, warming evenly."""
    if over.ramp <= 0:
        return over.capacity
    warm = min(1.0, max(0.0, (at - over.at) / over.ramp))
    return over.capacity * (over.start + (1 - over.start) * warm)


def most_calls(over: ev.OutageOver, at: int, fall: int, multiple: float) -> float:
    """How many calls within one span that ends then it stands, chance allowed for."""
    budget = multiple * capacity(over, at) * fall / SECOND
    return budget + max(LEAST_SLACK, math.sqrt(budget))


@dataclass(slots=True, eq=False)
class Scope:
    """A partner, or a route that is apart, in and after an outage."""

    began: ev.OutageBegan
    over: ev.OutageOver | None = None
    saw: dict[tuple[str, int], ev.Event] = field(default_factory=dict)  # by relay and life: a failure it saw
    came: deque[tuple[ev.CallCame | ev.ProbeCame, int]] = field(default_factory=deque)


class Returns:
    """Judges the load on partners that have come back."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.scopes: dict[str, Scope] = {}

    @property
    def handlers(self) -> Handlers:
        """The events that this rule hears of, each with what takes it in."""
        return {
            ev.OutageBegan: self._began,
            ev.OutageOver: self._over,
            ev.CallCame: self._came,
            ev.ProbeCame: self._probed,
            ev.ConnectFailed: self._turned_away,
            ev.CallAnswered: self._answered,
            ev.CallEnded: self._ended,
        }

    def _began(self, event: ev.OutageBegan) -> None:
        self.scopes[event.scope] = Scope(event)

    def _over(self, event: ev.OutageOver) -> None:
        if event.scope in self.scopes:
            self.scopes[event.scope].over = event

    def _probed(self, event: ev.ProbeCame) -> None:
        if event.status != 200:
            self._failed(event.relay, event.route, event)
        self._came(event)

    def _turned_away(self, event: ev.ConnectFailed) -> None:
        self._failed(event.relay, event.route, event)

    def _answered(self, event: ev.CallAnswered) -> None:
        if event.status != 200 and event.call in self.facts.calls:
            came = self.facts.calls[event.call].came
            self._failed(came.relay, came.route, event)

    def _ended(self, event: ev.CallEnded) -> None:
        call = self.facts.calls.get(event.call)
        if call is not None and call.answered is None:
            self._failed(call.came.relay, call.came.route, event)

    def _failed(self, relay: str, route: str, event: ev.Event) -> None:
        scope = self.scopes.get(self.facts.scope(route))
        if scope is not None and scope.over is None:
            scope.saw.setdefault((relay, self.facts.relay(relay).life), event)

    def _came(self, came: ev.CallCame | ev.ProbeCame) -> None:
        if not self.scopes:
            return
        name = self.facts.scope(came.route)
        scope = self.scopes.get(name)
        if scope is None or scope.over is None or came.since < scope.over.at:
            return
        over, figures = scope.over, self.facts.figures
        if came.at > over.at + over.ramp + figures.fall:
            del self.scopes[name]
            return
        life = self.facts.relay(came.relay).life
        scope.came.append((came, life))
        while scope.came[0][0].since < came.at - figures.fall:
            scope.came.popleft()
        most = most_calls(over, came.at, figures.fall, figures.fall_multiple)
        if len(scope.came) <= most:
            return
        knew = [(event, key) for event, n in scope.came if (key := (event.relay, n)) in scope.saw]
        if len(knew) < BLAME * len(scope.came):
            return
        relays = sorted({key[0] for _, key in knew})
        self.verdict_log.broken(
            4,
            "pushed-over",
            name,
            ", ".join(relays),
            came.at,
            f"{name} came back at {seconds(over.at)} and takes {capacity(over, came.at):.1f} calls a second; "
            f"{len(scope.came)} came within {seconds(figures.fall)}, {len(knew)} of them from "
            f"{' and '.join(relays)}, which had seen it fail",
            [
                scope.began,
                over,
                *(scope.saw[key] for key in dict.fromkeys(key for _, key in knew)),
                *(event for event, _ in scope.came),
            ],
        )
