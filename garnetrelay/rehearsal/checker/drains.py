"""Rule 3: a relay that was notified that an endpoint drains or is gone sends nothing new there after the grace."""

from __future__ import annotations

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds


class DrainRule:
    """Checks calls and probes against the states that the relay's current process was notified of."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.unavailable: dict[
            tuple[str, str], ev.StatusNotified
        ] = {}  # by relay and route: endpoints that accept nothing new
        self.excluded: dict[
            tuple[str, str], ev.EndpointExclusion
        ] = {}  # excluded by operators, whatever the register reports

    @property
    def handlers(self) -> Handlers:
        """The event types that this rule handles, each with its handler."""
        return {
            ev.StatusNotified: self._status_notified,
            ev.EndpointExclusion: self._exclusion_changed,
            ev.RelayEnded: self._relay_ended,
            ev.CallReceived: self._sent,
            ev.ProbeReceived: self._sent,
            ev.ConnectFailed: self._sent,
        }

    def _status_notified(self, event: ev.StatusNotified) -> None:
        if event.status == "Ready":
            self.unavailable.pop((event.relay, event.route), None)
        else:  # the grace runs from the first notification
            self.unavailable.setdefault((event.relay, event.route), event)

    def _exclusion_changed(self, event: ev.EndpointExclusion) -> None:
        if event.out:
            self.excluded.setdefault((event.relay, event.route), event)
        else:
            self.excluded.pop((event.relay, event.route), None)

    def _relay_ended(self, event: ev.RelayEnded) -> None:
        for key in [key for key in self.unavailable if key[0] == event.relay]:
            del self.unavailable[key]

    def _sent(self, arrival: ev.CallReceived | ev.ProbeReceived | ev.ConnectFailed) -> None:
        for notification in (
            self.unavailable.get((arrival.relay, arrival.route)),
            self.excluded.get((arrival.relay, arrival.route)),
        ):
            if notification is not None:
                self._check(notification, arrival)

    def _check(
        self,
        notification: ev.StatusNotified | ev.EndpointExclusion,
        arrival: ev.CallReceived | ev.ProbeReceived | ev.ConnectFailed,
    ) -> None:
        first = arrival.since if isinstance(arrival, ev.ConnectFailed) else arrival.first
        subject = arrival.ref if isinstance(arrival, ev.CallReceived) else arrival.route
        limits = self.facts.limits
        grace_end = notification.at + limits.drain_grace + limits.sockets_slack
        grace_end += self.facts.relay(arrival.relay).starvation_ns(notification.at, arrival.at)
        if first > grace_end:
            state = notification.status if isinstance(notification, ev.StatusNotified) else "excluded by operators"
            action = (
                f"sent {subject}"
                if isinstance(arrival, ev.CallReceived)
                else ("sent a probe" if isinstance(arrival, ev.ProbeReceived) else "opened a connection")
            )
            self.verdict_log.report(
                3,
                "sent-to-draining",
                subject,
                arrival.relay,
                arrival.at,
                f"{arrival.relay} was notified at {seconds(notification.at)} that {arrival.route} is {state}, "
                f"but {action} there at {seconds(first)} at the earliest",
                [notification, arrival],
            )
