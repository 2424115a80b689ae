"""The rule checker: reads typed observed events during the run and produces verdicts. No I/O, no clock.

It shares no code with the decision module, because its purpose is to find faults in that module.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker.drains import DrainRule
from garnetrelay.rehearsal.checker.effects import EffectRule
from garnetrelay.rehearsal.checker.facts import Facts
from garnetrelay.rehearsal.checker.final_answers import FinalAnswerRule
from garnetrelay.rehearsal.checker.limits import RuleLimits, limits_from_settings
from garnetrelay.rehearsal.checker.order import KeyOrderRule
from garnetrelay.rehearsal.checker.recovery_load import RecoveryLoadRule
from garnetrelay.rehearsal.checker.verdicts import RULES, Verdict, VerdictLog
from garnetrelay.rehearsal.checker.waits import WaitRule

__all__ = ["RULES", "Checker", "RuleLimits", "Verdict", "limits_from_settings"]


class Checker:
    """Processes events in the order in which they were observed, and adds rule violations to ``verdicts``."""

    def __init__(self, limits: RuleLimits) -> None:
        self.facts = Facts(limits)
        self.verdict_log = VerdictLog()
        self.final_answers = FinalAnswerRule(self.facts, self.verdict_log)
        self._fact_handlers = self.facts.handlers
        self._rule_handlers: dict[type[ev.Observed], list[Callable[[Any], None]]] = {}
        for rule in (
            self.final_answers,
            EffectRule(self.facts, self.verdict_log),
            DrainRule(self.facts, self.verdict_log),
            RecoveryLoadRule(self.facts, self.verdict_log),
            KeyOrderRule(self.facts, self.verdict_log),
            WaitRule(self.facts, self.verdict_log),
        ):
            for event_type, handler in rule.handlers.items():
                self._rule_handlers.setdefault(event_type, []).append(handler)

    @property
    def verdicts(self) -> list[Verdict]:
        """All rule violations so far, in the order in which they were found."""
        return self.verdict_log.verdicts

    def take(self, event: ev.Event) -> None:
        """Process the next event; events must be passed in chronological order."""
        if event.at > self.facts.now:
            self.facts.now = event.at
        fact_handler = self._fact_handlers.get(type(event))
        if fact_handler is not None:
            fact_handler(event)
        self.verdict_log.run_due(event.since)
        for handler in self._rule_handlers.get(type(event), ()):
            handler(event)
        if isinstance(event, ev.RunEnded):
            self.final_answers.run_ended = True
            self.verdict_log.finish()
