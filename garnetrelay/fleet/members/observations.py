"""How old the word of each member is at most, and who holds which view. No I/O.

A member that answers was there when it was asked, or later. Whoever answers tells besides how old its own words of others
are; they were written after the question was asked, so to the asker they are no older than that age plus the time
since it asked. No clocks are compared; ages are stretched by what a clock may run fast (``DRIFT``).
"""

from __future__ import annotations

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.probe_order import Rounds
from garnetrelay.fleet.members.settings import MS
from garnetrelay.fleet.members.table import Member, Table

WEIGHED = 3  # times as many words are weighed as are told: of those the least old
DRIFT = 0.01  # how much faster another machine's clock may run


def told(table: Table, rounds: Rounds, now: int, room: int) -> bytes:
    """Words for an answer with so much room (bytes)."""
    most = min(fr.MAX_OBSERVATIONS, max(0, room) // fr.OBSERVATION.size)
    found: list[tuple[int, str, Member]] = []
    for name in rounds.told_next(WEIGHED * most):
        member = table.members.get(name)
        if member is not None and member.word_at is not None and member.word_view >= 0:
            found.append((member.word_at, name, member))
    found.sort(reverse=True)  # no two are of one name
    return fr.pack_observations(
        fr.Observation(member.mark, age, member.word_view)
        for at, _, member in found[:most]
        if (age := (now - at) // MS + 1) < fr.MAX_OBSERVATION_AGE_MS
    )


def hear(table: Table, words: bytes, asked_at: int) -> None:
    """Words that came in an answer to a question that was asked at a moment."""
    for word in fr.unpack_observations(words):
        member = table.by_mark(word.whom)
        if member is None:
            continue
        at = asked_at - int(word.age * MS * (1 + DRIFT)) - MS
        if member.word_at is None or at > member.word_at:
            member.word_at, member.word_view = at, word.view


def sharing(table: Table, view: int, changed_at: int) -> tuple[int, int]:
    """How many members are known to hold a view, and how many to hold another, by words no older than the view."""
    same = other = 0
    for member in table.members.values():
        if member.word_at is not None and member.word_at >= changed_at and member.word_view >= 0:
            if member.word_view == view:
                same += 1
            else:
                other += 1
    return same, other
