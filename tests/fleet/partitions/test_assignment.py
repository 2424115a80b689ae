"""Mapping of destinations to partitions, and assignment of partitions to relays."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from garnetrelay.fleet.partitions.assignment import NO_OWNER, Assignment, assign, load_limit
from garnetrelay.fleet.partitions.hashing import check_partitions, partition_of

PARTITIONS = 2048
MEMBERS = {f"relay-{number}": number % 6 for number in range(120)}


def _moved(before: tuple[str, ...], after: tuple[str, ...]) -> int:
    return sum(one != other for one, other in zip(before, after, strict=True))


def test_the_hash_is_the_same_in_every_process_and_version() -> None:
    assert [partition_of(number, 8192) for number in (0, 1, 259_999, 2**64 - 1)] == [3289, 6446, 7414, 1043]


def test_destinations_are_spread_evenly() -> None:
    counts = Counter(partition_of(number, 64) for number in range(64_000))
    assert len(counts) == 64
    assert min(counts.values()) > 850
    assert max(counts.values()) < 1150


@pytest.mark.parametrize("number", [0, -8, 3, 1 << 17])
def test_the_number_of_partitions_is_a_power_of_two_within_bounds(number: int) -> None:
    with pytest.raises(ValueError, match="power of two"):
        check_partitions(number)


def test_owners_depend_on_the_set_of_members_only() -> None:
    names = list(MEMBERS)
    expected = assign(names, PARTITIONS)
    random.Random(1).shuffle(names)
    assert assign(names, PARTITIONS) == expected
    assert set(expected) == set(MEMBERS)


def test_without_members_there_are_no_owners() -> None:
    assert set(assign([], 16)) == {NO_OWNER}


@pytest.mark.parametrize("count", [1, 2, 3, 7, 40, 120])
def test_no_load_is_above_the_limit(count: int) -> None:
    loads = Counter(assign(list(MEMBERS)[:count], PARTITIONS))
    assert max(loads.values()) <= load_limit(count, PARTITIONS)
    assert sum(loads.values()) == PARTITIONS


def test_an_update_equals_a_new_assignment() -> None:
    rng, assignment, members = random.Random(2), Assignment(512), set(list(MEMBERS)[:40])
    for _ in range(120):
        if rng.random() < 0.5 and len(members) > 2:
            members -= set(rng.sample(sorted(members), rng.choice((1, 1, 2))))
        else:
            members.add(rng.choice(list(MEMBERS)))
        assert assignment.update(members) == assign(members, 512)


def test_one_relay_that_leaves_moves_few_partitions_of_others() -> None:
    before = assign(MEMBERS, PARTITIONS)
    minimum = moved = 0
    for name in list(MEMBERS)[:20]:
        after = assign(MEMBERS.keys() - {name}, PARTITIONS)
        minimum += before.count(name)
        moved += _moved(before, after)
    assert minimum <= moved < 2 * minimum


def test_a_zone_that_leaves_moves_few_partitions_of_others() -> None:
    before = assign(MEMBERS, PARTITIONS)
    after = assign([name for name, zone in MEMBERS.items() if zone], PARTITIONS)
    minimum = sum(MEMBERS[name] == 0 for name in before)
    assert minimum <= _moved(before, after) < 1.3 * minimum
    received = Counter(MEMBERS[new] for old, new in zip(before, after, strict=True) if not MEMBERS[old])
    assert min(received.values()) > minimum / 5 / 2  # every other zone gets a share


def test_relays_with_short_names_get_their_share() -> None:
    loads = Counter(assign([f"r{number}" for number in range(120)], PARTITIONS))
    assert len(loads) == 120
    assert min(loads.values()) > PARTITIONS / 120 / 4
