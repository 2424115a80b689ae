"""Rule 1: what a relay has taken on gets exactly one final answer, in time; and rule 0: it runs, within limits."""

from __future__ import annotations

import functools

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Call, Facts, Message
from garnetrelay.rehearsal.checker.figures import SECOND
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds

BEFORE = 2 * SECOND  # starvation counts from so long before a deadline: what it delayed then comes late now
AGAIN = SECOND // 4  # a judgement that must wait for a relay's return looks again after this


class Ends:
    """Judges how messages end."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.finishing = False

    @property
    def handlers(self) -> Handlers:
        """The events that this rule hears of, each with what takes it in."""
        return {
            ev.Answered: self._answered,
            ev.NoticeCame: self._notice,
            ev.CallCame: self._call,
            ev.Unanswered: self._hung_up,
            ev.RelayEnded: self._relay_ended,
            ev.DiskUsed: self._disk_used,
        }

    def _answered(self, event: ev.Answered) -> None:
        message = self.facts.messages.get(event.ref)
        if message is not None and event.answer == "ok":
            self.verdict_log.later(self.due(message), functools.partial(self._judge_end, message))

    def _relay_ended(self, event: ev.RelayEnded) -> None:
        if not event.planned:
            self.verdict_log.broken(
                0,
                "crashed",
                event.relay,
                event.relay,
                event.at,
                f"{event.relay} ended by itself with status {event.status}",
                [event],
            )

    def _disk_used(self, event: ev.DiskUsed) -> None:
        most = self.facts.figures.disk_bytes
        if event.bytes > most:
            self.verdict_log.broken(
                0,
                "disk",
                event.relay,
                event.relay,
                event.at,
                f"{event.relay} keeps {event.bytes} bytes in its folder; {most} are allowed",
                [event],
            )

    def due(self, message: Message) -> int:
        """When its end is overdue, but for starvation and restarts."""
        figures = self.facts.figures
        return message.handed.at + message.handed.patience + figures.answer_slack + figures.sockets_slack

    def _excused_until(self, message: Message, due: int, by: int) -> int | None:
        """A later time at which its end is overdue, where a restart, the platform or the want of a core until
        ``by`` was in the way; None: not known yet."""
        relay = self.facts.relay(message.handed.relay)
        figures = self.facts.figures
        if relay.signalled is not None and relay.signalled.at <= due:
            return None  # down, or on its way there
        if relay.refusing_since is not None and relay.refusing_since <= due:
            return None
        latest = due
        if relay.life != message.life or relay.ready_at > message.handed.at:
            latest = max(latest, relay.ready_at + figures.restart_grace)
        if relay.taking_since > message.handed.at:
            latest = max(latest, relay.taking_since + figures.platform_grace)
        return latest + relay.starved(min(due, latest) - BEFORE, by)

    def _judge_end(self, message: Message) -> None:
        """Was it over by its due time?"""
        if message.machine_lost or message.delivered is not None:
            return
        due = self.due(message)
        first = min(message.notices, key=lambda n: n.since, default=None)
        if first is not None and first.since <= due:
            return
        excused = self._excused_until(message, due, self.facts.now if first is None else first.since)
        if first is None:
            if self.finishing:
                if excused is None or excused > self.facts.now:
                    return  # the run ended before it could be told
            elif excused is None or self.facts.now <= excused + AGAIN:
                again = self.facts.now + AGAIN if excused is None else max(self.facts.now, excused) + AGAIN
                self.verdict_log.later(again, functools.partial(self._judge_end, message))
                return
            proof: list[ev.Event] = [message.handed, *_answer(message)]
            for call in message.calls:
                proof.extend(call.proof())
            self.verdict_log.broken(
                1,
                "lost",
                message.handed.ref,
                message.handed.relay,
                due,
                f"{message.handed.relay} took {message.handed.ref} on, and it was neither delivered nor ended by a "
                f"notice by {seconds(due)}",
                proof,
            )
        elif excused is not None and first.since > excused:
            self.verdict_log.broken(
                1,
                "late",
                message.handed.ref,
                message.handed.relay,
                first.at,
                f"the end of {message.handed.ref} was due from {message.handed.relay} by {seconds(due)} and came "
                f"at {seconds(first.since)} at the earliest",
                [message.handed, *_answer(message), first],
            )

    def _notice(self, notice: ev.NoticeCame) -> None:
        message = self.facts.messages.get(notice.ref)
        if message is None:
            return
        others = [other for other in message.notices if other.result != notice.result]
        if others:
            self.verdict_log.broken(
                1,
                "two-answers",
                notice.ref,
                notice.relay,
                notice.at,
                f"{notice.ref} ended as {others[0].result} and then as {notice.result}",
                [message.handed, others[0], notice],
            )
        call = message.delivered
        if call is not None and call.answered is not None and self._surely_read(call, notice.since):
            self.verdict_log.broken(
                1,
                "two-answers",
                notice.ref,
                notice.relay,
                notice.at,
                f"{notice.ref} was delivered at {seconds(call.answered.at)} and ended as {notice.result} all the "
                f"same",
                [message.handed, *call.proof(), notice],
            )

    def _surely_read(self, call: Call, by: int) -> bool:
        """Whether its relay must have read its answer by then, in the life that sent it."""
        relay = self.facts.relay(call.came.relay)
        if call.answered is None or not call.answered.readable or relay.life != call.life:
            return False
        if relay.signalled is not None:
            return False
        latest = call.answered.at + self.facts.figures.heard
        latest += relay.starved(call.answered.at - SECOND, self.facts.now)
        return by > latest and (call.ended is None or call.ended.since > latest)

    def _call(self, came: ev.CallCame) -> None:
        message = self.facts.messages.get(came.ref)
        if message is None:
            self.verdict_log.broken(
                1,
                "unknown",
                came.ref,
                came.relay,
                came.at,
                f"{came.relay} sent {came.ref} to {came.route}; no client handed that in",
                [came],
            )
            return
        ended = [notice for notice in message.notices if notice.at < came.first]
        if ended:
            self.verdict_log.broken(
                1,
                "sent-after-end",
                came.ref,
                came.relay,
                came.at,
                f"{came.ref} ended as {ended[0].result} at {seconds(ended[0].at)} and was sent to {came.route} "
                f"after that",
                [message.handed, ended[0], came],
            )
        for call in message.calls:
            if call.came is not came and call.delivered and self._surely_read(call, came.since):
                self.verdict_log.broken(
                    1,
                    "sent-after-end",
                    came.ref,
                    came.relay,
                    came.at,
                    f"{came.ref} was delivered and sent to {came.route} again",
                    [*call.proof(), came],
                )

    def _hung_up(self, event: ev.Unanswered) -> None:
        message, relay = self.facts.messages.get(event.ref), self.facts.relay(event.relay)
        if message is None or event.why != "closed-twice":
            return
        if relay.signalled is None and relay.life == message.life:
            self.verdict_log.broken(
                1,
                "hung-up",
                event.ref,
                event.relay,
                event.at,
                f"{event.relay} ended the connection of {event.ref} twice with no answer",
                [message.handed, event],
            )


def _answer(message: Message) -> list[ev.Event]:
    return [] if message.answer is None else [message.answer]
