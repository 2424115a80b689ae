"""How old the word of each member is at most, and who holds which view. No I/O.

A member that answers was there when it was asked, or later. Whoever answers tells besides how old its own words of others
are; they were written after the question was asked, so to the asker they are no older than that age plus the time
since it asked. No clocks are compared; ages are stretched by what a clock may run fast (``DRIFT``).
"""

from __future__ import annotations

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.probe_order import ProbeOrder
from garnetrelay.fleet.members.settings import MS
from garnetrelay.fleet.members.table import Member, Table

CANDIDATES_PER_OBSERVATION = 3  # times as many words are weighed as are told: of those the least old
MAX_CLOCK_DRIFT = 0.01  # how much faster another machine's clock may run


def select(table: Table, probe_order: ProbeOrder, now: int, free_bytes: int) -> bytes:
    """Words for an answer with so much room (bytes)."""
    limit = min(fr.MAX_OBSERVATIONS, max(0, free_bytes) // fr.OBSERVATION.size)
    found: list[tuple[int, str, Member]] = []
    for name in probe_order.next_to_report(CANDIDATES_PER_OBSERVATION * limit):
        member = table.members.get(name)
        if member is not None and member.seen_at is not None and member.seen_view >= 0:
            found.append((member.seen_at, name, member))
    found.sort(reverse=True)  # no two are of one name
    return fr.pack_observations(
        fr.Observation(member.short_hash, age, member.seen_view)
        for at, _, member in found[:limit]
        if (age := (now - at) // MS + 1) < fr.MAX_OBSERVATION_AGE_MS
    )


def apply(table: Table, data: bytes, asked_at: int) -> None:
    """Words that came in an answer to a question that was asked at a moment."""
    for observation in fr.unpack_observations(data):
        member = table.by_short_hash(observation.short_hash)
        if member is None:
            continue
        at = asked_at - int(observation.age * MS * (1 + MAX_CLOCK_DRIFT)) - MS
        if member.seen_at is None or at > member.seen_at:
            member.seen_at, member.seen_view = at, observation.view


def count_views(table: Table, view: int, changed_at: int) -> tuple[int, int]:
    """How many members are known to hold a view, and how many to hold another, by words no older than the view."""
    same = other = 0
    for member in table.members.values():
        if member.seen_at is not None and member.seen_at >= changed_at and member.seen_view >= 0:
            if member.seen_view == view:
                same += 1
            else:
                other += 1
    return same, other
