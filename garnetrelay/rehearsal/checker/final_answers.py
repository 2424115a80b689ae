"""Rule 1: each accepted message gets exactly one final answer in time. Rule 0: the relay runs, within its limits."""

from __future__ import annotations

import functools

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Call, Facts, Message
from garnetrelay.rehearsal.checker.limits import SECOND
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds

STARVATION_LOOKBACK_NS = 2 * SECOND  # starvation this long before a deadline can still delay the final answer
RECHECK_INTERVAL_NS = SECOND // 4  # while the due time is unknown or not yet reached


class FinalAnswerRule:
    """Checks how messages end, and that relays neither crash nor exceed their disk limit."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.run_ended = False

    @property
    def handlers(self) -> Handlers:
        """The event types that this rule handles, each with its handler."""
        return {
            ev.Answered: self._answered,
            ev.NoticeReceived: self._notice,
            ev.CallReceived: self._call_arrived,
            ev.Unanswered: self._connection_closed,
            ev.RelayEnded: self._relay_ended,
            ev.DiskUsed: self._disk_used,
        }

    def _answered(self, event: ev.Answered) -> None:
        message = self.facts.messages.get(event.ref)
        if message is not None and event.answer == "ok":
            self.verdict_log.defer(self.due_at(message), functools.partial(self._check_end, message))

    def _relay_ended(self, event: ev.RelayEnded) -> None:
        if not event.planned:
            self.verdict_log.report(
                0,
                "crashed",
                event.relay,
                event.relay,
                event.at,
                f"{event.relay} terminated unexpectedly with status {event.status}",
                [event],
            )

    def _disk_used(self, event: ev.DiskUsed) -> None:
        max_bytes = self.facts.limits.disk_bytes
        if event.bytes > max_bytes:
            self.verdict_log.report(
                0,
                "disk",
                event.relay,
                event.relay,
                event.at,
                f"{event.relay} uses {event.bytes} bytes in its state folder; the limit is {max_bytes} bytes",
                [event],
            )

    def due_at(self, message: Message) -> int:
        """The time by which a message must end, not counting starvation and restarts."""
        limits = self.facts.limits
        return message.submission.at + message.submission.patience + limits.answer_slack + limits.sockets_slack

    def _extended_due(self, message: Message, due: int, by: int) -> int | None:
        """The due time, extended for a restart, for refused notices and for starvation up to ``by``.

        None if it is not known yet.
        """
        relay = self.facts.relay(message.submission.relay)
        limits = self.facts.limits
        if relay.signalled is not None and relay.signalled.at <= due:
            return None  # the relay is down or shutting down
        if relay.refusing_notices_since is not None and relay.refusing_notices_since <= due:
            return None
        latest = due
        if relay.life != message.life or relay.ready_at > message.submission.at:
            latest = max(latest, relay.ready_at + limits.restart_grace)
        if relay.accepting_notices_since > message.submission.at:
            latest = max(latest, relay.accepting_notices_since + limits.platform_grace)
        return latest + relay.starvation_ns(min(due, latest) - STARVATION_LOOKBACK_NS, by)

    def _check_end(self, message: Message) -> None:
        """Check whether the message ended by its due time."""
        if message.machine_lost or message.delivered is not None:
            return
        due = self.due_at(message)
        first_notice = min(message.notices, key=lambda n: n.since, default=None)
        if first_notice is not None and first_notice.since <= due:
            return
        extended_due = self._extended_due(message, due, self.facts.now if first_notice is None else first_notice.since)
        if first_notice is None:
            if self.run_ended:
                if extended_due is None or extended_due > self.facts.now:
                    return  # the run ended before the final answer was due
            elif extended_due is None or self.facts.now <= extended_due + RECHECK_INTERVAL_NS:
                recheck_at = (
                    self.facts.now + RECHECK_INTERVAL_NS
                    if extended_due is None
                    else max(self.facts.now, extended_due) + RECHECK_INTERVAL_NS
                )
                self.verdict_log.defer(recheck_at, functools.partial(self._check_end, message))
                return
            evidence: list[ev.Event] = [message.submission, *_answer_evidence(message)]
            for call in message.calls:
                evidence.extend(call.evidence())
            self.verdict_log.report(
                1,
                "lost",
                message.submission.ref,
                message.submission.relay,
                due,
                f"{message.submission.relay} accepted {message.submission.ref}, which was neither "
                f"delivered nor ended by a notice by {seconds(due)}",
                evidence,
            )
        elif extended_due is not None and first_notice.since > extended_due:
            self.verdict_log.report(
                1,
                "late",
                message.submission.ref,
                message.submission.relay,
                first_notice.at,
                f"the final answer to {message.submission.ref} was due from {message.submission.relay} by {seconds(due)} "
                f"and arrived at {seconds(first_notice.since)} at the earliest",
                [message.submission, *_answer_evidence(message), first_notice],
            )

    def _notice(self, notice: ev.NoticeReceived) -> None:
        message = self.facts.messages.get(notice.ref)
        if message is None:
            return
        conflicting = [other for other in message.notices if other.result != notice.result]
        if conflicting:
            self.verdict_log.report(
                1,
                "two-answers",
                notice.ref,
                notice.relay,
                notice.at,
                f"{notice.ref} was reported as {conflicting[0].result} and then as {notice.result}",
                [message.submission, conflicting[0], notice],
            )
        call = message.delivered
        if call is not None and call.answered is not None and self._certainly_read(call, notice.since):
            self.verdict_log.report(
                1,
                "two-answers",
                notice.ref,
                notice.relay,
                notice.at,
                f"{notice.ref} was delivered at {seconds(call.answered.at)}, but {notice.result} was reported afterwards",
                [message.submission, *call.evidence(), notice],
            )

    def _certainly_read(self, call: Call, by: int) -> bool:
        """Whether the relay process that sent the call must have read its answer by then."""
        relay = self.facts.relay(call.arrival.relay)
        if call.answered is None or not call.answered.readable or relay.life != call.life:
            return False
        if relay.signalled is not None:
            return False
        latest = call.answered.at + self.facts.limits.heard
        latest += relay.starvation_ns(call.answered.at - SECOND, self.facts.now)
        return by > latest and (call.ended is None or call.ended.since > latest)

    def _call_arrived(self, arrival: ev.CallReceived) -> None:
        message = self.facts.messages.get(arrival.ref)
        if message is None:
            self.verdict_log.report(
                1,
                "unknown",
                arrival.ref,
                arrival.relay,
                arrival.at,
                f"{arrival.relay} sent {arrival.ref} to {arrival.route}, but no client submitted it",
                [arrival],
            )
            return
        ended = [notice for notice in message.notices if notice.at < arrival.first]
        if ended:
            self.verdict_log.report(
                1,
                "sent-after-end",
                arrival.ref,
                arrival.relay,
                arrival.at,
                f"{arrival.ref} was reported as {ended[0].result} at {seconds(ended[0].at)} and sent to {arrival.route} "
                f"after that",
                [message.submission, ended[0], arrival],
            )
        for call in message.calls:
            if call.arrival is not arrival and call.delivered and self._certainly_read(call, arrival.since):
                self.verdict_log.report(
                    1,
                    "sent-after-end",
                    arrival.ref,
                    arrival.relay,
                    arrival.at,
                    f"{arrival.ref} was delivered and then sent to {arrival.route} again",
                    [*call.evidence(), arrival],
                )

    def _connection_closed(self, event: ev.Unanswered) -> None:
        message, relay = self.facts.messages.get(event.ref), self.facts.relay(event.relay)
        if message is None or event.why != "closed-twice":
            return
        if relay.signalled is None and relay.life == message.life:
            self.verdict_log.report(
                1,
                "hung-up",
                event.ref,
                event.relay,
                event.at,
                f"{event.relay} closed the connection of {event.ref} twice without an answer",
                [message.submission, event],
            )


def _answer_evidence(message: Message) -> list[ev.Event]:
    return [] if message.answer is None else [message.answer]
