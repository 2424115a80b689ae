"""What this relay's picture of the fleet may be used for. No I/O.

Into doubt at once, out of it only after a stated time in which nothing spoke for it. The later parts of the program
(limits, verdicts, versions) ask `RELIES`, never the single facts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import IntEnum


class Condition(IntEnum):
    """From the surest to the least sure."""

    SETTLED = 0  # all that it hears hold one view, and nobody is in doubt
    UNSETTLED = 1  # somebody is suspected, has just come or gone, or holds another view
    CUT_OFF = 2  # many failed at once: they are down, or this relay and some others are apart from them
    ALONE = 3  # nobody answers
    JOINING = 4  # it has not yet heard what the others know, or its name is in doubt


@dataclass(frozen=True, slots=True)
class Reliance:
    """What may be relied on. Where one is False, the relay acts as if it were alone in that respect."""

    count: bool  # the number of members: parts may be cut by it
    grow: bool  # its own part of what is shared may grow
    evidence: bool  # what others saw may hold this relay back (it may never do more)
    speak: bool  # its own word counts with others: it may judge them, lend to them, try for them
    text: str


RELIES: dict[Condition, Reliance] = {
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
    """What the condition follows from."""

    joined: bool
    active: bool  # its name is its own, in a life that is kept
    others: int  # in the view, without this relay
    answered_ago: int | None  # since anybody answered, nanoseconds; None: nobody ever
    alone_timeout: int
    suspects: int
    recently_failed: int
    changed: bool  # the view changed since the last look
    agreeing: int  # of those whose view is known: how many hold this one
    differing: int
    slow: int  # local health


def judge(facts: Facts) -> tuple[Condition, str]:
    """The condition that the facts speak for, and the fact in words."""
    if not facts.active:
        return Condition.JOINING, "its name is in doubt"
    if not facts.joined:
        return Condition.JOINING, "no full exchange yet"
    if facts.others == 0:
        return Condition.ALONE, "nobody else is in its view"
    if facts.answered_ago is None or facts.answered_ago > facts.alone_timeout:
        return Condition.ALONE, "nobody answers"
    if facts.recently_failed >= max(2, (facts.others + 1 + facts.recently_failed) // 5):
        return Condition.CUT_OFF, f"{facts.recently_failed} failed lately, {facts.others} others are left"
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
    """The condition over time: the worst that was seen within ``calm``, the last look ahead of that time included."""

    def __init__(self, now: int) -> None:
        self.condition = Condition.JOINING
        self.since = now
        self.why = "it has just started"
        # The conditions seen that nothing worse came behind, worst first, so at most as many as there are. Each stands
        # with the moment from which on nothing worse was seen: there the one before it ended.
        self._seen: deque[tuple[int, Condition]] = deque([(now, Condition.JOINING)])

    def update(self, now: int, facts: Facts, settle_time: int) -> bool:
        """Take the facts of a moment; whether the condition changed. ``calm``: how long doubt has to be away."""
        seen, why = judge(facts)
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
        """When it may step out of doubt, if nothing comes in between."""
        return None if len(self._seen) < 2 else self._seen[1][0] + settle_time
