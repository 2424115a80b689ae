"""Rule 2: no effect happens twice, and no message is refused as safe to submit again if it may have run."""

from __future__ import annotations

import functools

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Call, Facts, Message
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds


class EffectRule:
    """Checks each attempt against the earlier ones, by what the relay could know at that time."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log

    @property
    def handlers(self) -> Handlers:
        """The event types that this rule handles, each with its handler."""
        return {
            ev.CallReceived: self._call_arrived,
            ev.NoticeReceived: self._refused,
            ev.Answered: self._refused,
            ev.Effect: self._effect,
        }

    def _call_arrived(self, event: ev.CallReceived) -> None:
        message = self.facts.messages.get(event.ref)
        if message is None:
            return
        same_lineage = self.facts.lineages[message.submission.lineage]
        if len(same_lineage) == 1 and len(message.calls) == 1 and not message.refused:
            return  # the first attempt: there is no earlier one to compare it with
        # The end of an earlier attempt may still be unread in this iteration of the event loop.
        self.verdict_log.defer(event.at, functools.partial(self._check_call, self.facts.calls[event.call]))

    def _refused(self, event: ev.NoticeReceived | ev.Answered) -> None:
        message = self.facts.messages.get(event.ref)
        refusal = event.result == "bounced" if isinstance(event, ev.NoticeReceived) else event.answer != "ok"
        if message is not None and refusal:
            self.verdict_log.defer(event.at, functools.partial(self._check_refusal, message, event))

    def _check_call(self, call: Call) -> None:
        arrival = call.arrival
        message = self.facts.messages.get(arrival.ref)
        if message is None:
            return
        earlier = [
            other
            for submitted in self.facts.lineages[message.submission.lineage]
            for other in submitted.calls
            if other.arrival.call < arrival.call
        ]
        for other in earlier:
            if other.ended_since is None or other.ended_since > arrival.at:
                self._report(
                    "two-at-once",
                    f"{arrival.ref} arrived at {arrival.route} while an attempt at {other.arrival.route} was in flight",
                    [*other.evidence(), arrival],
                    arrival,
                )
        if len(message.calls) > self.facts.limits.most_tries and message.calls[-1] is call:
            self._report(
                "too-many",
                f"{arrival.ref} was sent {len(message.calls)} times, more than the limit of "
                f"{self.facts.limits.most_tries} attempts",
                [arrival],
                arrival,
            )
        if message.refused:
            self._report(
                "refused-yet-sent",
                f"{arrival.ref} was refused, but sent to {arrival.route}",
                [message.submission, *_answer_evidence(message), arrival],
                arrival,
            )
        may_have_run = [other for other in earlier if not other.never_ran]
        if not may_have_run:
            return
        first, klass = may_have_run[0], message.klass
        evidence = [*first.evidence(), arrival]
        if klass.repeat == "unsafe":
            self._report(
                "sent-again",
                f"unsafe {arrival.ref} arrived at {arrival.route}, but the attempt that arrived at "
                f"{first.arrival.route} at {seconds(first.arrival.at)} may have run",
                evidence,
                arrival,
            )
        elif klass.repeat == "keyed":
            if klass.by_zone and first.zone != call.zone:
                self._report(
                    "other-building",
                    f"keyed {arrival.ref} arrived at {arrival.route} in {call.zone}, but the "
                    f"attempt that arrived at {first.arrival.route} in {first.zone} may have run",
                    evidence,
                    arrival,
                )
            elapsed = arrival.since - first.arrival.at
            if elapsed > klass.window + self.facts.limits.sockets_slack:
                self._report(
                    "after-window",
                    f"keyed {arrival.ref} arrived at {arrival.route} {seconds(elapsed)} after an "
                    f"attempt that may have run; the key is remembered {seconds(klass.window)}",
                    evidence,
                    arrival,
                )

    def _check_refusal(self, message: Message, refusal: ev.NoticeReceived | ev.Answered) -> None:
        if message.klass.repeat == "safe" or message.klass.repeat == "keyed" and not message.klass.by_zone:
            return
        if message.answer is None and isinstance(refusal, ev.NoticeReceived):
            return  # the client had disconnected without an answer, so it does not act on the notice
        for call in message.calls:
            if call.arrival.since < refusal.at and not call.never_ran:
                self._report(
                    "refused-may-have-run",
                    f"{refusal.ref} was refused, which states that submitting it again is "
                    f"safe, but the attempt at {call.arrival.route} may have run",
                    [*call.evidence(), refusal],
                    refusal,
                )
                return

    def _effect(self, effect: ev.Effect) -> None:
        """Check the effects that the partners counted, independently of the observed attempts."""
        message = self.facts.messages.get(effect.ref)
        if message is None or message.klass.repeat == "safe":
            return
        earlier_effects = [
            call.effect
            for submitted in self.facts.lineages[message.submission.lineage]
            for call in submitted.calls
            if call.effect is not None and call.effect is not effect
        ]
        if earlier_effects:
            self._report(
                "effect-twice",
                f"{message.klass.repeat} {effect.ref} took effect at "
                f"{seconds(earlier_effects[0].at)} and at {seconds(effect.at)}",
                [*earlier_effects, effect],
                self.facts.calls[effect.call].arrival,
            )

    def _report(
        self, fault: str, text: str, evidence: list[ev.Event], event: ev.CallReceived | ev.NoticeReceived | ev.Answered
    ) -> None:
        self.verdict_log.report(2, fault, event.ref, event.relay, event.at, text, evidence)


def _answer_evidence(message: Message) -> list[ev.Event]:
    return [] if message.answer is None else [message.answer]
