"""Full exchanges that carry only what two relays hold unlike: the join is the same, also beside relays of before."""

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


def held(members: Membership) -> dict[str, tuple[object, ...]]:
    return {each.name: (each.rank, each.zone) for each in [members.local.claim, *members.table.claims()]}


class HelloOfBefore(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """As a relay of before digests reads and writes it."""

    sender: Claim
    sequence: int
    number: int
    claims: list[Claim] = []
    summary: fr.Summary | None = None
    words: bytes = b""


class WholeOfBefore(msgspec.Struct, array_like=True, tag=7, frozen=True):
    sender: Claim
    sequence: int
    number: int
    claims: list[Claim]
    summary: fr.Summary | None
    words: bytes
    ask: int


def over(frame: fr.Frame, before: type[msgspec.Struct] | None = None) -> fr.AnyFrame:
    """Over a connection; read and written again on the way as a relay of before does it."""
    data = CODEC.encode(frame, 1 if isinstance(frame, fr.Hello) else 2)
    if before is not None:
        data = CODEC.sign(msgspec.msgpack.encode(msgspec.msgpack.decode(data[fr.HEADER_BYTES :], type=before)), data[2])
    return CODEC.decode(data, exchange=True)


def exchange(one: Membership, other: Membership, old_one: bool = False, old_other: bool = False) -> tuple[int, int]:
    """Hello, Whole, Whole; how many claims each side sent."""
    hello = over(one.hello(1), HelloOfBefore if old_one or old_other else None)
    assert isinstance(hello, fr.Hello)
    told = over(other.answer_hello(1, hello), WholeOfBefore if old_one or old_other else None)
    assert isinstance(told, fr.Whole)
    ours, _ = one.receive_whole(2, told, hello.number, 1)
    answer = over(ours)
    assert isinstance(answer, fr.Whole)
    other.receive_whole(3, answer, told.ask, 1)
    return len(told.claims), len(ours.claims)


words = st.builds(
    claim,
    st.sampled_from("abcdef"),
    st.integers(0, 2),
    st.sampled_from(STATUSES),
    st.sampled_from("xy"),
    st.integers(0, 1),
)


@given(st.lists(words, max_size=12), st.lists(words, max_size=12), st.booleans())
def test_both_hold_the_join_after_one_exchange(ours: list[Claim], theirs: list[Claim], old: bool) -> None:
    one, other = relay("one", ours), relay("other", theirs)
    both = relay("one", [*ours, *theirs, claim("other")])
    exchange(one, other, old_other=old)
    assert held(one) == held(both) == held(other)


def test_who_hold_the_same_send_no_claims_and_one_difference_costs_a_bucket() -> None:
    names = [claim(f"n{number}", zone=number % 7) for number in range(620)]
    one, other = relay("one", [*names, claim("other")]), relay("other", [*names, claim("one")])
    assert exchange(one, other) == (0, 0)
    with_status = names[77].with_status(Status.FAILED, "n1")
    one.local_view.apply_claim(4, with_status)
    told, back = exchange(one, other)
    # Of some sixteen names; what the answering side has told is not told back.
    assert 1 <= told <= 3 * digests.NAMES_PER_BUCKET and back == 1
    assert other.table.gone["n77"].claim == with_status


def test_relays_of_before_tell_all_and_are_told_what_they_lack() -> None:
    names = [claim(f"n{number}") for number in range(100)]
    one, other = relay("one", names), relay("other", names[:90])
    assert exchange(one, other, old_other=True) == (90, 10)
    assert held(one) == held(other)


def test_each_that_suspects_is_told() -> None:
    suspect = claim("n1", status=Status.SUSPECT, by="a")
    one, other = relay("one", [suspect]), relay("other", [suspect.with_status(Status.SUSPECT, "b")])
    exchange(one, other)
    for members in (one, other):
        suspicion = members.table.members["n1"].suspicion
        assert suspicion is not None and {*suspicion.confirmed_by, members.table.members["n1"].claim.by} == {"a", "b"}


@given(words, words)
def test_a_hash_is_of_all_that_has_to_be_alike(one: Claim, other: Claim) -> None:
    def alike(each: Claim) -> tuple[object, ...]:
        return each.name, each.rank, each.zone, each.by if each.status is Status.SUSPECT else ""

    assert (digests.hash_of(one) == digests.hash_of(other)) == (alike(one) == alike(other))


def test_buckets_grow_with_the_names_and_are_bounded() -> None:
    assert [digests.buckets_for(names) for names in (1, 16, 17, 310, 620, 1000, 10_000)] == [1, 1, 2, 32, 64, 64, 64]
    names = [f"n{number}" for number in range(620)]
    sizes = [sum(digests.bucket_of(name, 64) == bucket for name in names) for bucket in range(64)]
    assert max(sizes) < 3 * digests.NAMES_PER_BUCKET


@pytest.mark.parametrize("size", [1, 7, 24, 8 * 65, 8 * 128])
def test_digests_of_no_such_number_are_refused(size: int) -> None:
    frame = fr.Hello(sender=claim("one"), sequence=1, number=1, digests=bytes(size))
    assert cause(CODEC, CODEC.encode(frame, 1), exchange=True) == "malformed"
