"""Fleet status for operators: status lines, and metrics in the Prometheus text format. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import msgspec

from garnetrelay.fleet.members.claims import Status
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.table import LinkState, Member
from garnetrelay.fleet.members.view_state import RELIANCE
from garnetrelay.operators.metrics import escape_label


class Line(msgspec.Struct, frozen=True):
    """Another member as this relay sees it. Times are in seconds; None if not known. The field names are part of the
    JSON output."""

    name: str
    life: int
    born: int  # the life in which its process started
    status: str
    place: str
    word_age: float | None  # it was up at most this long ago
    view: str  # "same", "other" or "unknown"
    path: str
    by: str
    since: float  # time in this status
    zone: int = 0  # 0: not known


class State(msgspec.Struct, frozen=True):
    """The state of this relay itself. The field names are part of the JSON output."""

    name: str
    life: int
    condition: str
    why: str
    since: float
    relies: str
    members: int
    view: str
    same: int
    other: int
    oldest_word: float | None
    word_bound: float  # upper bound of that age while all links work
    slow: int
    zone: int = 0  # 0: not known


def state(members: Membership, now: int) -> State:
    """Returns the state of this relay and its view."""
    same, other = members.count_views()
    ages = [members.age(name, now) for name in members.table.members]
    oldest = None if not ages or None in ages else max(age for age in ages if age is not None) / 1e9
    own = members.local.claim
    return State(
        own.name,
        own.life,
        members.condition.name.lower(),
        members.condition_tracker.why,
        round((now - members.condition_tracker.since) / 1e9, 3),
        RELIANCE[members.condition].text,
        members.count,
        f"{members.view:08x}",
        same,
        other,
        None if oldest is None else round(oldest, 3),
        members.settings.max_observation_age(members.count) / 1e9,
        members.slow,
        own.zone,
    )


def lines(members: Membership, now: int) -> Iterator[Line]:
    """Yields the status of all other members by name, departed ones last."""
    for member in sorted(members.table, key=lambda member: (member.claim.final, member.claim.name)):
        yield line(members, member, now)


def line(members: Membership, member: Member, now: int) -> Line:
    """Returns the status of one member; ages are in seconds."""
    claim = member.claim
    fresh = member.seen_at is not None and member.seen_at >= members.view_changed_at and member.seen_view >= 0
    return Line(
        claim.name,
        claim.life,
        claim.born,
        claim.status.name.lower(),
        str(claim.address),
        None if member.seen_at is None else round((now - member.seen_at) / 1e9, 3),
        "unknown" if not fresh else "same" if member.seen_view == members.view else "other",
        "" if member.link_state is LinkState.WHOLE else member.link_state.value,
        claim.by,
        round((now - member.changed_at) / 1e9, 3),
        claim.zone,
    )


def explain(members: Membership, name: str, now: int) -> list[str] | None:
    """Explains a member's status in sentences; None if the name is not known."""
    if name == members.local.claim.name:
        return _explain_self(members, now)
    member = members.table.get(name)
    if member is None:
        return None
    claim, status = member.claim, line(members, member, now)
    sentences = [
        f"{claim.describe()}, for {status.since:.1f} s; at {claim.address}, "
        f"reads frames up to version {claim.max_version}"
    ]
    if claim.born < claim.life:
        sentences.append(
            f"its process started in life {claim.born} and continued in this one after it was declared failed"
        )
    if claim.status is Status.SUSPECT and member.suspicion is not None:
        remaining = (members.local_view.suspicion_deadline(member) - now) / 1e9
        also = ", ".join(sorted(member.suspicion.confirmed_by)) or "nobody else"
        sentences.append(
            f"suspected by {claim.by}, also by {also}; failed in {remaining:.1f} s unless it refutes the suspicion"
        )
    if claim.status is Status.FAILED:
        sentences.append(f"declared failed by {claim.by}; this life does not come back, the relay may return in its next")
    if status.word_age is None:
        sentences.append("it has not been observed in this life")
    else:
        sentences.append(
            f"it was up {status.word_age:.1f} s ago or later"
            + (
                ""
                if member.answered_directly
                else ", according to other members: it has never answered this relay itself"
            )
        )
    if not claim.final:
        sentences.append(
            {
                "same": "it had the same view as this relay then",
                "other": "it had another view then",
                "unknown": "whether it has the same view as this relay is not known yet",
            }[status.view]
        )
    if member.link_state is not LinkState.WHOLE:
        sentences.append(
            f"{member.link_state.value}, for {(now - member.link_state_since) / 1e9:.1f} s; "
            f"{member.reached_through} reaches it: a link is at fault, not the relay"
        )
    return sentences


def _explain_self(members: Membership, now: int) -> list[str]:
    own, own_state = members.local, state(members, now)
    sentences = [
        f"this relay: {own.claim.describe()}, {own_state.condition} for {own_state.since:.1f} s: {own_state.why}",
        f"usable: {own_state.relies}",
        f"{own_state.members} in its view {own_state.view}: {own_state.same} others are known to have the same view, "
        f"{own_state.other} another one",
    ]
    if own.name_holder is not None:
        sentences.append(
            f"inactive because of {own.name_holder.describe()} at {own.name_holder.address}, a process of the same name"
        )
    if own.wanted_life:
        sentences.append(f"it continues in life {own.wanted_life} once that number is stored in its folder")
    if own.left:
        sentences.append("it has left the fleet and acts alone")
    if members.slow:
        sentences.append(f"it has been slow: its probes and failure declarations take {members.slow + 1} times as long")
    return sentences


def metrics(members: Membership, refused: Counter[str], frames_out: int, bytes_in: int, bytes_out: int, now: int) -> str:
    """Returns the fleet's part of the metrics, one per line."""
    own_state, count = state(members, now), Counter(member.claim.status.name.lower() for member in members.table)
    rows: list[tuple[str, float]] = [
        ("members", own_state.members),
        ("condition", float(members.condition)),
        ("life", own_state.life),
        ("views_same", own_state.same),
        ("views_other", own_state.other),
        ("slow", own_state.slow),
        ("suspicions", members.local_view.counters.suspected),
        ("judged_failed", members.local_view.counters.failed),
        ("refuted", members.local_view.counters.refuted),
        ("slept", members.counters.pauses),
        ("frames_out", frames_out),
        ("bytes_in", bytes_in),
        ("bytes_out", bytes_out),
    ]
    if own_state.oldest_word is not None:
        rows.append(("oldest_word_seconds", own_state.oldest_word))
    rows += [(f'others{{status="{status}"}}', count[status]) for status in ("alive", "suspect", "failed", "left")]
    rows += [
        (f'frames_in{{kind="{escape_label(kind.lower())}"}}', number)
        for kind, number in sorted(members.counters.frames.items())
    ]
    rows += [
        (f'frames_refused{{cause="{escape_label(cause)}"}}', number)
        for cause, number in sorted((members.counters.refused + refused).items())
    ]
    if members.local_view.counters.no_room:
        rows.append(("no_room", members.local_view.counters.no_room))
    return "".join(f"relay_fleet_{name} {value:g}\n" for name, value in rows)
