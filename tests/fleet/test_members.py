"""Claims about members, the view's condition, and single events."""

from __future__ import annotations

import dataclasses
import random

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from garnetrelay.fleet.members.claims import Claim, Status
from garnetrelay.fleet.members.dissemination import DisseminationQueue
from garnetrelay.fleet.members.effects import SendFrame
from garnetrelay.fleet.members.frames import Ping
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.fleet.members.table import Table
from garnetrelay.fleet.members.view_state import RELIANCE, Condition, ConditionTracker, Facts, evaluate

claims = st.builds(
    Claim,
    st.sampled_from(["a", "b"]),
    st.integers(1, 3),
    st.integers(0, 2),
    st.just(1),
    st.integers(0, 2),
    st.sampled_from(Status),
    st.just("10.0.0.1"),
    st.integers(1, 2),
    st.just(2),
    st.sampled_from(["", "x", "y"]),
    st.integers(0, 2),
)


@given(st.lists(claims, max_size=12), st.randoms())
def test_the_same_claims_leave_the_same_view_in_any_order(claims_in_order: list[Claim], draw: object) -> None:
    one, other = Table(10), Table(10)
    for claim in claims_in_order:
        one.merge(claim, 0)
    shuffled = claims_in_order + claims_in_order[:3]
    draw.shuffle(shuffled)  # type: ignore[attr-defined]
    for claim in shuffled:
        other.merge(claim, 0)
    assert one.view_hash == other.view_hash
    assert {(member.claim.name, member.claim.rank, member.claim.zone) for member in one} == {
        (member.claim.name, member.claim.rank, member.claim.zone) for member in other
    }


@given(st.lists(claims, max_size=20), st.integers(1, 3))
def test_a_table_stays_within_its_bounds_and_remembers_ended_lives(
    claims_in_order: list[Claim], max_members: int
) -> None:
    table = Table(max_members)
    ended_lives: dict[str, tuple[int, int]] = {}
    for moment, claim in enumerate(claims_in_order):
        table.merge(claim, moment)
        table.forget(moment - 2)
        if claim.final:
            ended_lives[claim.name] = max(ended_lives.get(claim.name, (0, 0)), claim.identity)
        assert len(table.members) <= max_members and len(table.gone) <= max_members
        for name, ended_identity in ended_lives.items():
            assert name not in table.members or table.members[name].claim.identity > ended_identity


facts = st.builds(
    Facts,
    joined=st.booleans(),
    active=st.booleans(),
    others=st.integers(0, 5),
    answered_ago=st.one_of(st.none(), st.integers(0, 5)),
    alone_timeout=st.just(3),
    suspects=st.integers(0, 1),
    recently_failed=st.integers(0, 3),
    changed=st.booleans(),
    agreeing=st.integers(0, 5),
    differing=st.integers(0, 1),
    slow=st.integers(0, 1),
)


SETTLED = Facts(
    joined=True,
    active=True,
    others=2,
    answered_ago=0,
    alone_timeout=3,
    suspects=0,
    recently_failed=0,
    changed=False,
    agreeing=2,
    differing=0,
    slow=0,
)
ALONE = dataclasses.replace(SETTLED, answered_ago=None)
JOINING = dataclasses.replace(SETTLED, joined=False)


@given(st.lists(st.tuples(st.integers(0, 4), facts), max_size=40))
@example([(0, JOINING), (0, ALONE), (0, SETTLED), (2, SETTLED), (3, SETTLED)])
@example([(0, ALONE), (1, SETTLED), (4, SETTLED), (1, SETTLED)])
def test_the_condition_worsens_at_once_and_improves_after_the_settle_time(updates: list[tuple[int, Facts]]) -> None:
    tracker, now, seen = ConditionTracker(0), 0, [(0, Condition.JOINING)]
    for gap, fact in updates:
        now += gap
        expected = evaluate(fact)[0]
        seen.append((now, expected))
        tracker.update(now, fact, 5)
        assert tracker.condition >= expected
        # The present condition was justified at some moment of the last five.
        recent = [condition for at, condition in seen if at > now - 5] + [
            [condition for at, condition in seen if at <= now - 5][-1:] or [Condition.JOINING]
        ][0]
        assert tracker.condition <= max(recent)


def test_a_worse_condition_allows_less() -> None:
    assert all(
        RELIANCE[Condition.SETTLED].__getattribute__(field) for field in ("count", "grow", "evidence", "authoritative")
    )
    assert not any(RELIANCE[condition].grow for condition in Condition if condition is not Condition.SETTLED)
    assert not RELIANCE[Condition.ALONE].authoritative and not RELIANCE[Condition.JOINING].authoritative


def test_a_suspicion_lasts_as_the_paper_says() -> None:
    settings = Settings()
    least, longest = 4 * SECOND, 24 * SECOND
    assert [settings.suspicion_time(10, confirmed) for confirmed in (0, 3, 9)] == [longest, least, least]
    assert least < settings.suspicion_time(10, 2) < settings.suspicion_time(10, 1) < longest
    assert settings.suspicion_time(2, 0) == least  # nobody else could confirm it
    assert Settings(lifeguard=False).suspicion_time(10, 0) == least


def test_a_claim_is_sent_a_limited_number_of_times_and_a_newer_one_starts_again() -> None:
    dissemination, first = DisseminationQueue(), Claim("a", 1, 1, 1, 0, Status.ALIVE, "10.0.0.1", 1, 2)
    dissemination.add(first)
    assert [dissemination.take(1000, 3) for _ in range(2)] == [[first], [first]]
    second = first.with_status(Status.SUSPECT, "b")
    dissemination.add(second)
    assert [dissemination.take(1000, 3) for _ in range(4)] == [[second], [second], [second], []] and len(
        dissemination
    ) == 0


def test_a_suspected_member_is_contacted_by_all_that_know_of_the_suspicion() -> None:
    settings = Settings()
    others = [Claim(f"m{number}", 1, 1, 1, 0, Status.ALIVE, f"10.0.0.{number}", 1, 2) for number in range(2, 60)]
    suspect = others[7].with_status(Status.SUSPECT, "m5")
    members = Membership(msgspec.structs.replace(others[0], name="own", host="10.0.1.1"), settings, random.Random(1), 0)
    members.resume_from(0, [suspect, *(claim for claim in others if claim.name != suspect.name)])
    sent: list[SendFrame] = []
    while members.next_at <= settings.contact_interval + settings.probe_interval:
        sent += [effect for effect in members.tick(members.next_at) if isinstance(effect, SendFrame)]
    pings = [effect.frame for effect in sent if effect.address == suspect.address and isinstance(effect.frame, Ping)]
    assert pings and all(suspect in frame.claims and frame.number for frame in pings)
