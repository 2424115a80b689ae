"""Assigns each partition to a relay by consistent hashing with bounded loads, as a pure function of the members.

Each relay has ``POINTS_PER_RELAY`` points on a ring of 64 bits, and each partition has one. A partition prefers relays in
the order in which their points follow its own on the ring. A relay prefers partitions by the shortness of that distance,
and takes at most ``load_limit`` of them (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
2018). Since both sides rank by the same distances, there is exactly one stable matching (Gale and Shapley, 1962),
whatever the order of computation: relays with the same view agree, and the matching for a changed set of members can be
computed from the previous one.

Zones are not considered: an assignment that is even over relays is even over zones. When relays leave, their partitions
move, and also a few others: a relay at its limit passes its most distant partition on, and a higher limit lets some
partitions return. No function of the members alone can bound loads without moving others (``docs/design/046-leases.md``
has the numbers).
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Collection
from fractions import Fraction

import xxhash

POINTS_PER_RELAY = 64  # a relay's share of the ring varies by 1 / sqrt(64), less than the partitions' own spread
MAX_LOAD_RATIO = Fraction(11, 10)  # of the mean load; the limit is rounded up
RING_SIZE = 1 << 64
PARTITION_SEED = 1  # keeps the partitions' points distinct from the relays'
MAX_INCREMENTAL_CHANGES = 8  # up to this many changed relays, points are inserted and deleted one by one
NO_OWNER = ""


def load_limit(members: int, partitions: int) -> int:
    """Returns how many partitions one relay should own at most: 1.1 times the mean, rounded up."""
    return -(-partitions * MAX_LOAD_RATIO.numerator // (members * MAX_LOAD_RATIO.denominator))


def assign(members: Collection[str], partitions: int) -> tuple[str, ...]:
    """Returns the owner of each partition; ``NO_OWNER`` for all of them if there are no members."""
    return Assignment(partitions).update(members)


class Assignment:
    """The owners of all partitions, recomputed as members join and leave.

    ``update`` returns what ``assign`` would, but reuses the previous ring. If relays only leave and the load limit stays
    the same, it recomputes the partitions of those relays only.
    """

    def __init__(self, partitions: int) -> None:
        self._partition_points = [
            xxhash.xxh3_64_intdigest(number.to_bytes(4, "little"), PARTITION_SEED) for number in range(partitions)
        ]
        self._members: frozenset[str] = frozenset()
        self._ring: list[tuple[int, str]] = []  # (point, relay), sorted
        self._ring_points: list[int] = []  # the points of the ring without the relays
        self._assigned: dict[str, list[tuple[int, int]]] = {}  # heaps of (-distance, -partition): the most distant first
        self._owners = [NO_OWNER] * partitions
        self._limit = 0

    @property
    def owners(self) -> tuple[str, ...]:
        """The result of the last update."""
        return tuple(self._owners)

    def update(self, members: Collection[str]) -> tuple[str, ...]:
        """Returns the owner of each partition among these members."""
        current = frozenset(members)
        joined, left = current - self._members, self._members - current
        if not joined and not left:
            return self.owners
        self._members = current
        self._update_ring(joined, left)
        limit = load_limit(len(current), len(self._partition_points)) if current else 0
        if joined or not current or limit != self._limit:
            self._limit = limit
            self._assign_all()
        else:
            self._reassign(left)
        return self.owners

    def _update_ring(self, joined: frozenset[str], left: frozenset[str]) -> None:
        added = [(point, name) for name in joined for point in _relay_points(name)]
        if len(joined) + len(left) <= MAX_INCREMENTAL_CHANGES:
            for name in left:
                for point in _relay_points(name):
                    at = bisect_left(self._ring, (point, name))
                    del self._ring[at], self._ring_points[at]
            for point, name in added:
                insort(self._ring, (point, name))
                insort(self._ring_points, point)
            return
        self._ring = sorted([point for point in self._ring if point[1] not in left] + added)
        self._ring_points = [point for point, _ in self._ring]

    def _assign_all(self) -> None:
        self._assigned = {name: [] for name in self._members}
        if not self._members:
            self._owners = [NO_OWNER] * len(self._partition_points)
            return
        self._propose(range(len(self._partition_points)))

    def _reassign(self, left: frozenset[str]) -> None:
        """Reassigns the partitions of relays that left.

        A remaining relay loses a partition only to a nearer one, so the current assignment is a valid starting point.
        """
        self._propose([-partition for name in sorted(left) for _, partition in self._assigned.pop(name)])

    def _propose(self, pending: Collection[int]) -> None:
        """Runs deferred acceptance: each partition proposes to relays in its order of preference.

        A partition that is rejected or displaced goes on to the next relay.
        """
        ring, ring_points, partition_points = self._ring, self._ring_points, self._partition_points
        assigned, owners, limit = self._assigned, self._owners, self._limit
        for first in pending:
            partition, position = first, bisect_left(ring_points, partition_points[first])
            while True:
                if position == len(ring):
                    position = 0
                name = ring[position][1]
                accepted = assigned[name]
                rank = (-((ring_points[position] - partition_points[partition]) % RING_SIZE), -partition)
                position += 1
                if len(accepted) < limit:
                    heapq.heappush(accepted, rank)
                    owners[partition] = name
                    break
                if rank > accepted[0]:
                    distance, displaced = heapq.heapreplace(accepted, rank)
                    owners[partition] = name
                    partition = -displaced
                    position = bisect_left(ring_points, (partition_points[partition] - distance) % RING_SIZE) + 1


def _relay_points(name: str) -> list[int]:
    # The number is part of the hashed data: with the number as the seed, names of two or three bytes have equal points.
    return [xxhash.xxh3_64_intdigest(f"{number}/{name}".encode()) for number in range(POINTS_PER_RELAY)]
