"""The rule checker: a typed stream of observed events in, verdicts out, while the run goes on. No I/O, no clock.

It shares no code with the decision module, whose mistakes it is there to find.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.drains import Drains
from garnetrelay.rehearsal.checker.effects import Effects
from garnetrelay.rehearsal.checker.ends import Ends
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.figures import Figures, figures_of
from garnetrelay.rehearsal.checker.order import Order
from garnetrelay.rehearsal.checker.returns import Returns
from garnetrelay.rehearsal.checker.verdicts import RULES, Verdict, VerdictLog
from garnetrelay.rehearsal.checker.waits import Waits

__all__ = ["RULES", "Checker", "Figures", "Verdict", "figures_of"]


class Checker:
    """Takes events in the order in which they were observed; ``verdicts`` grows as rules break."""

    def __init__(self, figures: Figures) -> None:
        self.facts = Facts(figures)
        self.verdict_log = VerdictLog()
        self.ends = Ends(self.facts, self.verdict_log)
        self._noters = self.facts.handlers
        self._takers: dict[type[ev.Observed], list[Callable[[Any], None]]] = {}
        for room in (
            self.ends,
            Effects(self.facts, self.verdict_log),
            Drains(self.facts, self.verdict_log),
            Returns(self.facts, self.verdict_log),
            Order(self.facts, self.verdict_log),
            Waits(self.facts, self.verdict_log),
        ):
            for kind, taker in room.handlers.items():
                self._takers.setdefault(kind, []).append(taker)

    @property
    def verdicts(self) -> list[Verdict]:
        """Every broken rule so far, in the order in which it was found."""
        return self.verdict_log.verdicts

    def take(self, event: ev.Event) -> None:
        """One more event; those that came before it in time must have been given before."""
        if event.at > self.facts.now:
            self.facts.now = event.at
        noter = self._noters.get(type(event))
        if noter is not None:
            noter(event)
        self.verdict_log.read_up_to(event.since)
        for taker in self._takers.get(type(event), ()):
            taker(event)
        if isinstance(event, ev.RunEnded):
            self.ends.finishing = True
            self.verdict_log.finish()
