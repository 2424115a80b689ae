"""How far this relay may rely on its view of the fleet. No I/O.

The condition gets worse at once and better only after a settle time without contrary evidence. Other parts of the
program (limits, verdicts, versions) use `RELIANCE`, never the individual facts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import IntEnum


class Condition(IntEnum):
    """From the most to the least reliable."""

    SETTLED = 0  # all members that it hears from hold the same view, and no member is suspected
    UNSETTLED = 1  # a member is suspected, has just joined or departed, or holds another view
    CUT_OFF = 2  # many failed at once: either they are down, or this relay and some others are partitioned from them
    ALONE = 3  # no member answers
    JOINING = 4  # it has not received the others' state yet, or is not active under its name


@dataclass(frozen=True, slots=True)
class Reliance:
    """What the view may be used for. Where a field is False, the relay acts as if it were alone in that respect."""

    count: bool  # the number of members: shares of a limit may be computed from it
    grow: bool  # its own share of a limit may grow
    evidence: bool  # observations of others may restrict this relay (never allow it more)
    authoritative: bool  # its own claims count: it may declare others failed, lend to them, try on their behalf
    text: str  # shown to operators


RELIANCE: dict[Condition, Reliance] = {
    Condition.SETTLED: Reliance(
        True, True, True, True, "all of it: numbers, growth, what others saw, its own judgements"
    ),
    Condition.UNSETTLED: Reliance(True, False, True, True, "numbers as an upper bound of its part; nothing grows"),
    Condition.CUT_OFF: Reliance(False, False, True, True, "no numbers, nothing grows; what others saw holds back"),
    Condition.ALONE: Reliance(False, False, False, False, "nothing but what is kept for each relay alone"),
    Condition.JOINING: Reliance(
        False, False, True, False, "nothing but what is kept for each relay alone; what others saw " "holds back"
    ),
}


@dataclass(frozen=True, slots=True)
class Facts:
    """The inputs that determine the condition."""

    joined: bool
    active: bool  # it acts under its own name, in a life that is stored
    others: int  # members in the view, without this relay
    answered_ago: int | None  # nanoseconds since any member answered; None: none ever has
    alone_timeout: int
    suspects: int
    recently_failed: int
    changed: bool  # the view changed since the last update
    agreeing: int  # members known to hold the same view
    differing: int
    slow: int  # local health multiplier


def evaluate(facts: Facts) -> tuple[Condition, str]:
    """Returns the condition that follows from the facts, and the reason in words."""
    if not facts.active:
        return Condition.JOINING, "it is not active under its name"
    if not facts.joined:
        return Condition.JOINING, "no full exchange yet"
    if facts.others == 0:
        return Condition.ALONE, "no other member is in its view"
    if facts.answered_ago is None or facts.answered_ago > facts.alone_timeout:
        return Condition.ALONE, "no member answers"
    if facts.recently_failed >= max(2, (facts.others + 1 + facts.recently_failed) // 5):
        return Condition.CUT_OFF, f"{facts.recently_failed} failed recently, {facts.others} others remain"
    if facts.suspects:
        return Condition.UNSETTLED, f"{facts.suspects} suspected"
    if facts.changed:
        return Condition.UNSETTLED, "the view changed"
    if facts.differing > 0:
        return Condition.UNSETTLED, f"{facts.differing} hold another view"
    if facts.slow:
        return Condition.UNSETTLED, f"this relay is slow ({facts.slow})"
    return Condition.SETTLED, f"{facts.agreeing} of {facts.others} are known to hold this view"


class ConditionTracker:
    """The condition over time: the worst that was seen within ``settle_time``, including the last update before that
    period."""

    def __init__(self, now: int) -> None:
        self.condition = Condition.JOINING
        self.since = now
        self.why = "it has just started"
        # The conditions seen that were not followed by a worse one, worst first, so there are at most as many as
        # conditions. Each is stored with the time since which nothing worse was seen, which is when the entry before it
        # ended.
        self._seen: deque[tuple[int, Condition]] = deque([(now, Condition.JOINING)])

    def update(self, now: int, facts: Facts, settle_time: int) -> bool:
        """Applies the facts of a moment; returns whether the condition changed. ``settle_time`` is how long better
        facts have to last before the condition improves."""
        seen, why = evaluate(facts)
        better_since = now
        while self._seen and self._seen[-1][1] < seen:
            better_since, _ = self._seen.pop()
        if not self._seen or self._seen[-1][1] != seen:
            self._seen.append((better_since, seen))
        while len(self._seen) > 1 and self._seen[1][0] <= now - settle_time:
            self._seen.popleft()
        worst = self._seen[0][1]
        if seen == self.condition:
            self.why = why
        if worst == self.condition:
            return False
        self.condition, self.since, self.why = worst, now, why
        return True

    def improves_at(self, settle_time: int) -> int | None:
        """Returns when the condition may improve if nothing changes until then."""
        return None if len(self._seen) < 2 else self._seen[1][0] + settle_time
