"""Rule 2: no effect happens twice, and no refusal says that coming again is harmless where it may not be."""

from __future__ import annotations

import functools

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Call, Facts, Message
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds


class Effects:
    """Judges attempts against those before them, by what their relay could know."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log

    @property
    def handlers(self) -> Handlers:
        """The events that this rule hears of, each with what takes it in."""
        return {
            ev.CallCame: self._came,
            ev.NoticeCame: self._refused,
            ev.Answered: self._refused,
            ev.Effect: self._effect,
        }

    def _came(self, event: ev.CallCame) -> None:
        message = self.facts.messages.get(event.ref)
        if message is None:
            return
        others = self.facts.lineages[message.handed.lineage]
        if len(others) == 1 and len(message.calls) == 1 and not message.refused:
            return  # the first of all: there is nothing to hold it against
        # What ended an earlier attempt may lie unread in this very round.
        self.verdict_log.later(event.at, functools.partial(self._judge_call, self.facts.calls[event.call]))

    def _refused(self, event: ev.NoticeCame | ev.Answered) -> None:
        message = self.facts.messages.get(event.ref)
        told = event.result == "bounced" if isinstance(event, ev.NoticeCame) else event.answer != "ok"
        if message is not None and told:
            self.verdict_log.later(event.at, functools.partial(self._judge_refusal, message, event))

    def _judge_call(self, call: Call) -> None:
        came = call.came
        message = self.facts.messages.get(came.ref)
        if message is None:
            return
        earlier = [
            other
            for hand_in in self.facts.lineages[message.handed.lineage]
            for other in hand_in.calls
            if other.came.call < came.call
        ]
        for other in earlier:
            if other.over_since is None or other.over_since > came.at:
                self._broken(
                    "two-at-once",
                    f"{came.ref} came to {came.route} while an attempt at " f"{other.came.route} was out",
                    [*other.proof(), came],
                    came,
                )
        if len(message.calls) > self.facts.figures.most_tries and message.calls[-1] is call:
            self._broken(
                "too-many",
                f"{came.ref} was sent {len(message.calls)} times, " f"{self.facts.figures.most_tries} are allowed",
                [came],
                came,
            )
        if message.refused:
            self._broken(
                "refused-yet-sent",
                f"{came.ref} was refused, and sent to {came.route}",
                [message.handed, *_answer(message), came],
                came,
            )
        may_have_run = [other for other in earlier if not other.never_ran]
        if not may_have_run:
            return
        first, klass = may_have_run[0], message.klass
        proof = [*first.proof(), came]
        if klass.repeat == "unsafe":
            self._broken(
                "sent-again",
                f"unsafe {came.ref} came to {came.route}, and the attempt that came to "
                f"{first.came.route} at {seconds(first.came.at)} may have run",
                proof,
                came,
            )
        elif klass.repeat == "keyed":
            if klass.by_zone and first.zone != call.zone:
                self._broken(
                    "other-building",
                    f"keyed {came.ref} came to {came.route} in {call.zone}, and the "
                    f"attempt that came to {first.came.route} in {first.zone} may have run",
                    proof,
                    came,
                )
            elapsed = came.since - first.came.at
            if elapsed > klass.window + self.facts.figures.sockets_slack:
                self._broken(
                    "after-window",
                    f"keyed {came.ref} came to {came.route} {seconds(elapsed)} after an "
                    f"attempt that may have run; the key is remembered {seconds(klass.window)}",
                    proof,
                    came,
                )

    def _judge_refusal(self, message: Message, told: ev.NoticeCame | ev.Answered) -> None:
        if message.klass.repeat == "safe" or message.klass.repeat == "keyed" and not message.klass.by_zone:
            return
        if message.answer is None and isinstance(told, ev.NoticeCame):
            return  # its client had gone: what is told of it counts for nothing
        for call in message.calls:
            if call.came.since < told.at and not call.never_ran:
                self._broken(
                    "refused-may-have-run",
                    f"{told.ref} was refused, which says that coming again is "
                    f"harmless; the attempt at {call.came.route} may have run",
                    [*call.proof(), told],
                    told,
                )
                return

    def _effect(self, effect: ev.Effect) -> None:
        """The partners' own count, whatever the attempts looked like."""
        message = self.facts.messages.get(effect.ref)
        if message is None or message.klass.repeat == "safe":
            return
        before = [
            call.effect
            for hand_in in self.facts.lineages[message.handed.lineage]
            for call in hand_in.calls
            if call.effect is not None and call.effect is not effect
        ]
        if before:
            self._broken(
                "effect-twice",
                f"{message.klass.repeat} {effect.ref} took effect at "
                f"{seconds(before[0].at)} and at {seconds(effect.at)}",
                [*before, effect],
                self.facts.calls[effect.call].came,
            )

    def _broken(
        self, fault: str, text: str, proof: list[ev.Event], at: ev.CallCame | ev.NoticeCame | ev.Answered
    ) -> None:
        self.verdict_log.broken(2, fault, at.ref, at.relay, at.at, text, proof)


def _answer(message: Message) -> list[ev.Event]:
    return [] if message.answer is None else [message.answer]
