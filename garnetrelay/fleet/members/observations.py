"""How long ago each member was last known to be up, and which view each member holds. No I/O.

A member that answers was up when the request was sent, or later. An answer also carries the ages of the answering
member's own observations of others. Those ages were computed after the request was sent, so for the requester no
observation is older than its age plus the time since the request. No clocks are compared; ages are stretched by the
amount that another clock may run fast (``MAX_CLOCK_DRIFT``).
"""

from __future__ import annotations

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.probe_order import ProbeOrder
from garnetrelay.fleet.members.settings import MS
from garnetrelay.fleet.members.table import Member, Table

CANDIDATES_PER_OBSERVATION = 3  # members considered for each observation sent; the most recent are chosen
MAX_CLOCK_DRIFT = 0.01  # how much faster another machine's clock may run


def select(table: Table, probe_order: ProbeOrder, now: int, free_bytes: int) -> bytes:
    """Returns packed observations for an answer, at most ``free_bytes`` in total."""
    limit = min(fr.MAX_OBSERVATIONS, max(0, free_bytes) // fr.OBSERVATION.size)
    found: list[tuple[int, str, Member]] = []
    for name in probe_order.next_to_report(CANDIDATES_PER_OBSERVATION * limit):
        member = table.members.get(name)
        if member is not None and member.seen_at is not None and member.seen_view >= 0:
            found.append((member.seen_at, name, member))
    found.sort(reverse=True)  # names are unique, so members are never compared
    return fr.pack_observations(
        fr.Observation(member.short_hash, age, member.seen_view)
        for at, _, member in found[:limit]
        if (age := (now - at) // MS + 1) < fr.MAX_OBSERVATION_AGE_MS
    )


def apply(table: Table, data: bytes, asked_at: int) -> None:
    """Merges the observations of an answer to a request that was sent at ``asked_at``."""
    for observation in fr.unpack_observations(data):
        member = table.by_short_hash(observation.short_hash)
        if member is None:
            continue
        at = asked_at - int(observation.age * MS * (1 + MAX_CLOCK_DRIFT)) - MS
        if member.seen_at is None or at > member.seen_at:
            member.seen_at, member.seen_view = at, observation.view


def count_views(table: Table, view: int, changed_at: int) -> tuple[int, int]:
    """Returns how many members are known to hold this view and how many another one, by observations made since the
    view changed."""
    same = other = 0
    for member in table.members.values():
        if member.seen_at is not None and member.seen_at >= changed_at and member.seen_view >= 0:
            if member.seen_view == view:
                same += 1
            else:
                other += 1
    return same, other
