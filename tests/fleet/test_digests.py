"""Full exchanges that carry only the differing claims: both sides end with the join, also with relays of earlier
versions."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.fleet.members import digests
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, Status
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import Settings
from tests.fleet.test_frames import cause

CODEC = fr.Codec([b"a secret of the tests"])
STATUSES = (Status.ALIVE, Status.SUSPECT, Status.FAILED)


def claim(name: str, incarnation: int = 0, status: Status = Status.ALIVE, by: str = "", zone: int = 0) -> Claim:
    return Claim(name, 1, 1, 1, incarnation, status, "10.0.0.1", 1, 2, by, zone)


def relay(name: str, others: list[Claim], settings: Settings | None = None) -> Membership:
    members = Membership(claim(name), settings or Settings(), random.Random(name), 0)
    members.resume_from(0, others)
    return members


def claims_of(members: Membership) -> dict[str, tuple[object, ...]]:
    return {each.name: (each.rank, each.zone) for each in [members.local.claim, *members.table.claims()]}


class EarlierHello(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """As a relay without digests reads and writes it."""

    sender: Claim
    sequence: int
    number: int
    claims: list[Claim] = []
    summary: fr.Summary | None = None
    observations: bytes = b""


class EarlierWhole(msgspec.Struct, array_like=True, tag=7, frozen=True):
    sender: Claim
    sequence: int
    number: int
    claims: list[Claim]
    summary: fr.Summary | None
    observations: bytes
    ask: int


def transfer(frame: fr.Frame, earlier: type[msgspec.Struct] | None = None) -> fr.AnyFrame:
    """Encodes and decodes a frame, optionally as a relay of an earlier version reads and writes it in between."""
    data = CODEC.encode(frame, 1 if isinstance(frame, fr.Hello) else 2)
    if earlier is not None:
        data = CODEC.sign(msgspec.msgpack.encode(msgspec.msgpack.decode(data[fr.HEADER_BYTES :], type=earlier)), data[2])
    return CODEC.decode(data, exchange=True)


def exchange(
    one: Membership, other: Membership, one_is_earlier: bool = False, other_is_earlier: bool = False
) -> tuple[int, int]:
    """Runs an exchange (Hello, Whole, Whole); returns how many claims each side sent."""
    hello = transfer(one.hello(1), EarlierHello if one_is_earlier or other_is_earlier else None)
    assert isinstance(hello, fr.Hello)
    answer = transfer(other.answer_hello(1, hello), EarlierWhole if one_is_earlier or other_is_earlier else None)
    assert isinstance(answer, fr.Whole)
    ours, _ = one.receive_whole(2, answer, hello.number, 1)
    last = transfer(ours)
    assert isinstance(last, fr.Whole)
    other.receive_whole(3, last, answer.ask, 1)
    return len(answer.claims), len(ours.claims)


claims = st.builds(
    claim,
    st.sampled_from("abcdef"),
    st.integers(0, 2),
    st.sampled_from(STATUSES),
    st.sampled_from("xy"),
    st.integers(0, 1),
)


@given(st.lists(claims, max_size=12), st.lists(claims, max_size=12), st.booleans())
def test_both_hold_the_join_after_one_exchange(ours: list[Claim], theirs: list[Claim], old: bool) -> None:
    one, other = relay("one", ours), relay("other", theirs)
    both = relay("one", [*ours, *theirs, claim("other")])
    exchange(one, other, other_is_earlier=old)
    assert claims_of(one) == claims_of(both) == claims_of(other)


def test_equal_relays_send_no_claims_and_one_difference_costs_a_bucket() -> None:
    names = [claim(f"n{number}", zone=number % 7) for number in range(620)]
    one, other = relay("one", [*names, claim("other")]), relay("other", [*names, claim("one")])
    assert exchange(one, other) == (0, 0)
    with_status = names[77].with_status(Status.FAILED, "n1")
    one.local_view.apply_claim(4, with_status)
    answer, back = exchange(one, other)
    # of about sixteen names; claims that the answering side has sent are not returned
    assert 1 <= answer <= 3 * digests.NAMES_PER_BUCKET and back == 1
    assert other.table.gone["n77"].claim == with_status


def test_earlier_versions_send_everything_and_receive_what_they_lack() -> None:
    names = [claim(f"n{number}") for number in range(100)]
    one, other = relay("one", names), relay("other", names[:90])
    assert exchange(one, other, other_is_earlier=True) == (90, 10)
    assert claims_of(one) == claims_of(other)


def test_every_suspecting_member_is_exchanged() -> None:
    suspect = claim("n1", status=Status.SUSPECT, by="a")
    one, other = relay("one", [suspect]), relay("other", [suspect.with_status(Status.SUSPECT, "b")])
    exchange(one, other)
    for members in (one, other):
        suspicion = members.table.members["n1"].suspicion
        assert suspicion is not None and {*suspicion.confirmed_by, members.table.members["n1"].claim.by} == {"a", "b"}


@given(claims, claims)
def test_a_hash_covers_everything_that_has_to_be_equal(one: Claim, other: Claim) -> None:
    def alike(each: Claim) -> tuple[object, ...]:
        return each.name, each.rank, each.zone, each.by if each.status is Status.SUSPECT else ""

    assert (digests.hash_of(one) == digests.hash_of(other)) == (alike(one) == alike(other))


def test_buckets_grow_with_the_names_and_are_bounded() -> None:
    assert [digests.buckets_for(names) for names in (1, 16, 17, 310, 620, 1000, 10_000)] == [1, 1, 2, 32, 64, 64, 64]
    names = [f"n{number}" for number in range(620)]
    sizes = [sum(digests.bucket_of(name, 64) == bucket for name in names) for bucket in range(64)]
    assert max(sizes) < 3 * digests.NAMES_PER_BUCKET


@pytest.mark.parametrize("size", [1, 7, 24, 8 * 65, 8 * 128])
def test_digests_of_an_invalid_length_are_refused(size: int) -> None:
    frame = fr.Hello(sender=claim("one"), sequence=1, number=1, digests=bytes(size))
    assert cause(CODEC, CODEC.encode(frame, 1), exchange=True) == "malformed"
