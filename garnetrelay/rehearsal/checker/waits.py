"""Rule 6: a relay that was told to wait sends nothing to that partner or route until the wait has ended."""

from __future__ import annotations

import functools
from collections import deque
from dataclasses import dataclass

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds


@dataclass(slots=True, eq=False)
class Wait:
    """A wait that one process of a relay was told in the answer to a call."""

    answer: ev.CallAnswered
    arrival: ev.CallReceived
    life: int  # number of the relay process that sent the call
    void: bool = False  # its connection ended so early that the relay may not have read it


class WaitRule:
    """Checks calls and probes against the waits that their relay was told."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.waits: dict[tuple[str, str], deque[Wait]] = {}  # by relay and scope
        self.by_call: dict[int, Wait] = {}

    @property
    def handlers(self) -> Handlers:
        """The event types that this rule handles, each with its handler."""
        return {
            ev.CallAnswered: self._call_answered,
            ev.CallEnded: self._call_ended,
            ev.CallReceived: self._sent,
            ev.ProbeReceived: self._sent,
        }

    def _call_answered(self, event: ev.CallAnswered) -> None:
        call = self.facts.calls.get(event.call)
        if event.wait > 0 and event.readable and call is not None:
            wait = Wait(event, call.arrival, call.life)
            scope = self.facts.scope(call.arrival.route)
            self.waits.setdefault((call.arrival.relay, scope), deque()).append(wait)
            self.by_call[event.call] = wait

    def _call_ended(self, event: ev.CallEnded) -> None:
        """Void the wait if the connection ended before the relay must have read the answer."""
        wait = self.by_call.pop(event.call, None)
        if wait is not None:
            relay = self.facts.relay(wait.arrival.relay)
            certainly_read_at = wait.answer.at + self.facts.limits.wait_pass
            wait.void = event.since <= certainly_read_at + relay.starvation_ns(wait.answer.at, event.at)

    def _sent(self, arrival: ev.CallReceived | ev.ProbeReceived) -> None:
        if not self.waits:
            return
        waits = self.waits.get((arrival.relay, self.facts.scope(arrival.route)))
        if not waits:
            return
        relay = self.facts.relay(arrival.relay)
        while waits and waits[0].answer.at + waits[0].answer.wait < arrival.since and waits[0].life <= relay.life:
            self.by_call.pop(waits.popleft().answer.call, None)
        for wait in waits:
            answer, tolerance_end = wait.answer, wait.answer.at + self.facts.limits.wait_pass
            if wait.life != relay.life or arrival.at >= answer.at + answer.wait:
                continue  # the wait has ended, or does not apply to a restarted relay
            if arrival.first > tolerance_end + relay.starvation_ns(answer.at, arrival.at):
                self.verdict_log.defer(arrival.at, functools.partial(self._check, wait, arrival))

    def _check(self, wait: Wait, arrival: ev.CallReceived | ev.ProbeReceived) -> None:
        if wait.void:
            return
        answer = wait.answer
        subject = arrival.ref if isinstance(arrival, ev.CallReceived) else arrival.route
        self.verdict_log.report(
            6,
            "sent-in-wait",
            subject,
            arrival.relay,
            arrival.at,
            f"{arrival.relay} was told at {seconds(answer.at)} by {wait.arrival.route} to wait {seconds(answer.wait)}, "
            f"but sent {subject} to {arrival.route} {seconds(arrival.first - answer.at)} later",
            [wait.arrival, answer, arrival],
        )
