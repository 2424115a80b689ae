"""Rule 3: once a relay is told that an endpoint drains or is gone, it sends nothing new there after the grace."""

from __future__ import annotations

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.verdicts import Handlers, VerdictLog, seconds


class Drains:
    """Judges calls and probes against what their relay has been told in its present life."""

    def __init__(self, facts: Facts, verdict_log: VerdictLog) -> None:
        self.facts = facts
        self.verdict_log = verdict_log
        self.told: dict[tuple[str, str], ev.Told] = {}  # by relay and route: those that take nothing new
        self.by_hand: dict[tuple[str, str], ev.OutByHand] = {}  # the same, whatever the register says

    @property
    def handlers(self) -> Handlers:
        """The events that this rule hears of, each with what takes it in."""
        return {
            ev.Told: self._told,
            ev.OutByHand: self._by_hand,
            ev.RelayEnded: self._ended,
            ev.CallCame: self._sent,
            ev.ProbeCame: self._sent,
            ev.ConnectFailed: self._sent,
        }

    def _told(self, event: ev.Told) -> None:
        if event.status == "Ready":
            self.told.pop((event.relay, event.route), None)
        else:  # what it has been told first counts
            self.told.setdefault((event.relay, event.route), event)

    def _by_hand(self, event: ev.OutByHand) -> None:
        if event.out:
            self.by_hand.setdefault((event.relay, event.route), event)
        else:
            self.by_hand.pop((event.relay, event.route), None)

    def _ended(self, event: ev.RelayEnded) -> None:
        for key in [key for key in self.told if key[0] == event.relay]:
            del self.told[key]

    def _sent(self, came: ev.CallCame | ev.ProbeCame | ev.ConnectFailed) -> None:
        for told in (self.told.get((came.relay, came.route)), self.by_hand.get((came.relay, came.route))):
            if told is not None:
                self._judge(told, came)

    def _judge(self, told: ev.Told | ev.OutByHand, came: ev.CallCame | ev.ProbeCame | ev.ConnectFailed) -> None:
        first = came.since if isinstance(came, ev.ConnectFailed) else came.first
        subject = came.ref if isinstance(came, ev.CallCame) else came.route
        figures = self.facts.figures
        end = told.at + figures.drain_grace + figures.sockets_slack
        end += self.facts.relay(came.relay).starved(told.at, came.at)
        if first > end:
            state = told.status if isinstance(told, ev.Told) else "out by hand"
            what = (
                f"sent {subject}"
                if isinstance(came, ev.CallCame)
                else ("sent a probe" if isinstance(came, ev.ProbeCame) else "opened a connection")
            )
            self.verdict_log.broken(
                3,
                "sent-to-draining",
                subject,
                came.relay,
                came.at,
                f"{came.relay} was told at {seconds(told.at)} that {came.route} is {state}, and {what} there "
                f"at {seconds(first)} at the earliest",
                [told, came],
            )
