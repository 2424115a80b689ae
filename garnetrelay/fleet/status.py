"""What staff are told of the fleet: lines, and figures in the text form of Prometheus. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import msgspec

from garnetrelay.fleet.members.claims import Status
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.table import Member, Path
from garnetrelay.fleet.members.view_state import RELIES
from garnetrelay.operators.metrics import escape_label


class Line(msgspec.Struct, frozen=True):
    """A member as this relay holds it. Times in seconds, None where there is none."""

    name: str
    life: int
    born: int  # the life in which its process began
    status: str
    place: str
    word_age: float | None  # it was there so long ago at most
    view: str  # "same", "other" or "unknown"
    path: str
    by: str
    since: float  # this status
    zone: int = 0  # 0: not known


class State(msgspec.Struct, frozen=True):
    """This relay itself."""

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
    word_bound: float  # what that age may reach where links are whole
    slow: int
    zone: int = 0  # 0: not known


def state(members: Membership, now: int) -> State:
    """What this relay's picture is worth."""
    same, other = members.sharing()
    ages = [members.age(name, now) for name in members.table.members]
    oldest = None if not ages or None in ages else max(age for age in ages if age is not None) / 1e9
    own = members.local.claim
    return State(
        own.name,
        own.life,
        members.condition.name.lower(),
        members.doubt.why,
        round((now - members.doubt.since) / 1e9, 3),
        RELIES[members.condition].text,
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
    """All others, by name; those that have gone behind."""
    for member in sorted(members.table, key=lambda member: (member.claim.final, member.claim.name)):
        yield line(members, member, now)


def line(members: Membership, member: Member, now: int) -> Line:
    """What is said of one member: ages in seconds, and whether it holds the view of ``members``."""
    claim = member.claim
    fresh = member.word_at is not None and member.word_at >= members.view_changed_at and member.word_view >= 0
    return Line(
        claim.name,
        claim.life,
        claim.born,
        claim.status.name.lower(),
        str(claim.address),
        None if member.word_at is None else round((now - member.word_at) / 1e9, 3),
        "unknown" if not fresh else "same" if member.word_view == members.view else "other",
        "" if member.path is Path.WHOLE else member.path.value,
        claim.by,
        round((now - member.changed_at) / 1e9, 3),
        claim.zone,
    )


def explain(members: Membership, name: str, now: int) -> list[str] | None:
    """Why a member is held for what it is, in sentences; None where the name is not known."""
    if name == members.local.claim.name:
        return _explain_self(members, now)
    member = members.table.get(name)
    if member is None:
        return None
    claim, told = member.claim, line(members, member, now)
    said = [f"{claim.said()}, for {told.since:.1f} s; at {claim.address}, reads frames up to version {claim.speaks}"]
    if claim.born < claim.life:
        said.append(f"its process began in life {claim.born}, and went on in this one after others held it for failed")
    if claim.status is Status.SUSPECT and member.suspicion is not None:
        left = (members.local_view.suspicion_ends(member) - now) / 1e9
        also = ", ".join(sorted(member.suspicion.by)) or "nobody else"
        said.append(f"suspected by {claim.by}, also by {also}; failed in {left:.1f} s unless it speaks up")
    if claim.status is Status.FAILED:
        said.append(f"judged by {claim.by}; this life does not come back, the relay may in its next")
    if told.word_age is None:
        said.append("no word of it in this life")
    else:
        said.append(
            f"it was there {told.word_age:.1f} s ago or later"
            + ("" if member.first_hand else ", by what others said: it has never answered this relay itself")
        )
    if not claim.final:
        said.append(
            {
                "same": "it held this relay's view then",
                "other": "it held another view then",
                "unknown": "whether it holds this relay's view is not known yet",
            }[told.view]
        )
    if member.path is not Path.WHOLE:
        said.append(
            f"{member.path.value}, for {(now - member.path_since) / 1e9:.1f} s; {member.path_by} reaches it: "
            "a link is at fault, not the relay"
        )
    return said


def _explain_self(members: Membership, now: int) -> list[str]:
    own, told = members.local, state(members, now)
    said = [
        f"this relay: {own.claim.said()}, {told.condition} for {told.since:.1f} s: {told.why}",
        f"to be relied on: {told.relies}",
        f"{told.members} in its view {told.view}: {told.same} others are known to hold it, {told.other} another one",
    ]
    if own.aside is not None:
        said.append(f"it stands aside for {own.aside.said()} at {own.aside.address}, a process of the same name")
    if own.wanted:
        said.append(f"it goes on in life {own.wanted} once that number is in its folder")
    if own.left:
        said.append("it has left the fleet and acts alone")
    if members.slow:
        said.append(f"it has been slow: its probes and judgements take {members.slow + 1} times as long")
    return said


def metrics(members: Membership, refused: Counter[str], frames_out: int, bytes_in: int, bytes_out: int, now: int) -> str:
    """The fleet's part of the figures, a line each."""
    told, count = state(members, now), Counter(member.claim.status.name.lower() for member in members.table)
    rows: list[tuple[str, float]] = [
        ("members", told.members),
        ("condition", float(members.condition)),
        ("life", told.life),
        ("views_same", told.same),
        ("views_other", told.other),
        ("slow", told.slow),
        ("suspicions", members.local_view.counters.suspected),
        ("judged_failed", members.local_view.counters.failed),
        ("refuted", members.local_view.counters.refuted),
        ("slept", members.counters.slept),
        ("frames_out", frames_out),
        ("bytes_in", bytes_in),
        ("bytes_out", bytes_out),
    ]
    if told.oldest_word is not None:
        rows.append(("oldest_word_seconds", told.oldest_word))
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
