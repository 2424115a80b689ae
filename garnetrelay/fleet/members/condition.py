"""What this relay's picture of the fleet may be used for. No I/O.

Into doubt at once, out of it only after a stated time in which nothing spoke for it. The later parts of the program
(limits, verdicts, versions) ask `RELIES`, never the single facts.
"""

from __future__ import annotations

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
class Relies:
    """What may be relied on. Where one is False, the relay acts as if it were alone in that respect."""

    count: bool  # the number of members: parts may be cut by it
    grow: bool  # its own part of what is shared may grow
    evidence: bool  # what others saw may hold this relay back (it may never do more)
    speak: bool  # its own word counts with others: it may judge them, lend to them, try for them
    text: str


RELIES: dict[Condition, Relies] = {
    Condition.SETTLED: Relies(True, True, True, True, "all of it: numbers, growth, what others saw, its own judgements"),
    Condition.UNSETTLED: Relies(True, False, True, True, "numbers as an upper bound of its part; nothing grows"),
    Condition.CUT_OFF: Relies(False, False, True, True, "no numbers, nothing grows; what others saw holds back"),
    Condition.ALONE: Relies(False, False, False, False, "nothing but what is kept for each relay alone"),
    Condition.JOINING: Relies(
        False, False, True, False, "nothing but what is kept for each relay alone; what others saw " "holds back"
    ),
}


@dataclass(frozen=True, slots=True)
class Facts:
    """What the condition follows from."""

    joined: bool
    named: bool  # its name is its own, in a life that is kept
    others: int  # in the view, without this relay
    answered_ago: int | None  # since anybody answered, nanoseconds; None: nobody ever
    alone_after: int
    suspects: int
    failed_lately: int
    changed: bool  # the view changed since the last look
    agreeing: int  # of those whose view is known: how many hold this one
    differing: int
    slow: int  # local health


def judge(facts: Facts) -> tuple[Condition, str]:
    """The condition that the facts speak for, and the fact in words."""
    if not facts.named:
        return Condition.JOINING, "its name is in doubt"
    if not facts.joined:
        return Condition.JOINING, "no full exchange yet"
    if facts.others == 0:
        return Condition.ALONE, "nobody else is in its view"
    if facts.answered_ago is None or facts.answered_ago > facts.alone_after:
        return Condition.ALONE, "nobody answers"
    if facts.failed_lately >= max(2, (facts.others + 1 + facts.failed_lately) // 5):
        return Condition.CUT_OFF, f"{facts.failed_lately} failed lately, {facts.others} others are left"
    if facts.suspects:
        return Condition.UNSETTLED, f"{facts.suspects} suspected"
    if facts.changed:
        return Condition.UNSETTLED, "the view changed"
    if facts.differing > 0:
        return Condition.UNSETTLED, f"{facts.differing} hold another view"
    if facts.slow:
        return Condition.UNSETTLED, f"this relay is slow ({facts.slow})"
    return Condition.SETTLED, f"{facts.agreeing} of {facts.others} are known to hold this view"


class Doubt:
    """The condition over time."""

    def __init__(self, now: int) -> None:
        self.condition = Condition.JOINING
        self.since = now
        self.why = "it has just started"
        self._better: Condition | None = None  # the worst that was seen since it looked better
        self._better_since = now

    def look(self, now: int, facts: Facts, calm: int) -> bool:
        """Take the facts of a moment; whether the condition changed. ``calm``: how long doubt has to be away."""
        seen, why = judge(facts)
        if seen > self.condition:
            self._enter(now, seen, why)
            return True
        if seen == self.condition:
            self._better, self.why = None, why
            return False
        if self._better is None or seen > self._better:
            if self._better is None:
                self._better_since = now
            self._better = seen
        if now - self._better_since < calm:
            return False
        self._enter(now, self._better, why)
        return True

    def out_at(self, calm: int) -> int | None:
        """When it may step out of doubt, if nothing comes in between."""
        return None if self._better is None else self._better_since + calm

    def _enter(self, now: int, condition: Condition, why: str) -> None:
        self.condition, self.since, self.why, self._better = condition, now, why, None
