"""Rule 6: a relay that was told to wait sends nothing to that partner, or route, until the wait is over."""

from __future__ import annotations

import functools
from collections import deque
from dataclasses import dataclass

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds


@dataclass(slots=True, eq=False)
class Wait:
    """A wait that was told to one life of a relay."""

    answered: ev.CallAnswered
    came: ev.CallCame
    life: int
    void: bool = False  # its connection ended so soon that it was perhaps not read


class Waits:
    """Judges calls and probes against the waits that their relay was told."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.waits: dict[tuple[str, str], deque[Wait]] = {}  # by relay and scope
        self.by_call: dict[int, Wait] = {}

    @property
    def handlers(self) -> Handlers:
        """The events that this rule hears of, each with what takes it in."""
        return {
            ev.CallAnswered: self._answered,
            ev.CallEnded: self._ended,
            ev.CallCame: self._sent,
            ev.ProbeCame: self._sent,
        }

    def _answered(self, event: ev.CallAnswered) -> None:
        call = self.facts.calls.get(event.call)
        if event.wait > 0 and event.readable and call is not None:
            wait = Wait(event, call.came, call.life)
            scope = self.facts.scope(call.came.route)
            self.waits.setdefault((call.came.relay, scope), deque()).append(wait)
            self.by_call[event.call] = wait

    def _ended(self, event: ev.CallEnded) -> None:
        """Broken off by either side before it was surely read: who was told nothing need not wait."""
        wait = self.by_call.pop(event.call, None)
        if wait is not None:
            relay = self.facts.relay(wait.came.relay)
            surely = wait.answered.at + self.facts.figures.wait_pass
            wait.void = event.since <= surely + relay.starved(wait.answered.at, event.at)

    def _sent(self, came: ev.CallCame | ev.ProbeCame) -> None:
        if not self.waits:
            return
        waits = self.waits.get((came.relay, self.facts.scope(came.route)))
        if not waits:
            return
        relay = self.facts.relay(came.relay)
        while waits and waits[0].answered.at + waits[0].answered.wait < came.since and waits[0].life <= relay.life:
            self.by_call.pop(waits.popleft().answered.call, None)
        for wait in waits:
            told, pass_until = wait.answered, wait.answered.at + self.facts.figures.wait_pass
            if wait.life != relay.life or came.at >= told.at + told.wait:
                continue  # a restart ends it
            if came.first > pass_until + relay.starved(told.at, came.at):
                self.verdict_log.later(came.at, functools.partial(self._judge, wait, came))

    def _judge(self, wait: Wait, came: ev.CallCame | ev.ProbeCame) -> None:
        if wait.void:
            return
        told = wait.answered
        subject = came.ref if isinstance(came, ev.CallCame) else came.route
        self.verdict_log.broken(
            6,
            "sent-in-wait",
            subject,
            came.relay,
            came.at,
            f"{came.relay} was told at {seconds(told.at)} by {wait.came.route} to wait {seconds(told.wait)}, and "
            f"sent {subject} to {came.route} {seconds(came.first - told.at)} after that",
            [wait.came, told, came],
        )
