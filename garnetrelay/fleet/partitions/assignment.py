"""Which relay should own each partition: consistent hashing with bounded loads, as a pure function of who is there.

Each relay has ``POINTS`` points on a ring of 64 bits, each partition has one. A partition prefers relays in the order in
which its way round the ring meets their points; a relay prefers partitions by the shortness of that way and takes at most
``load_limit`` of them (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018). Both sides go
by the same distances, so there is exactly one stable matching (Gale and Shapley, 1962), whatever the order in which it is
worked out: relays with the same view agree, and a change can be worked out from the last result.

Zones take no part: what is even over relays is even over zones. When relays go, their partitions move; besides, a few
of others move, since a relay at its limit hands its farthest partition on, and a limit that rises lets some return. No
function of the members alone can bound loads and move nothing else (``docs/design/046-leases.md`` has the figures).
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Collection
from fractions import Fraction

import xxhash

POINTS = 64  # of a relay: its share of the ring varies by 1 / sqrt(64); the partitions' own spread is larger
LOAD_BOUND = Fraction(11, 10)  # of the mean, rounded up
RING = 1 << 64
PARTITION_SEED = 1  # so that no partition's point is a relay's
FEW = 8  # relays whose points are put in or taken out one by one
NO_OWNER = ""


def load_limit(members: int, partitions: int) -> int:
    """The most partitions that one of so many relays should own: 1.1 times the mean, rounded up."""
    return -(-partitions * LOAD_BOUND.numerator // (members * LOAD_BOUND.denominator))


def assign(members: Collection[str], partitions: int) -> tuple[str, ...]:
    """The owner of each partition; ``NO_OWNER`` for all where there are no members."""
    return Assignment(partitions).change(members)


class Assignment:
    """Owners by partition, worked out anew as members come and go.

    ``change`` gives what ``assign`` would give, from the ring of the last time; relays that go while the limit stays cost
    their own partitions only.
    """

    def __init__(self, partitions: int) -> None:
        self._points = [
            xxhash.xxh3_64_intdigest(number.to_bytes(4, "little"), PARTITION_SEED) for number in range(partitions)
        ]
        self._members: frozenset[str] = frozenset()
        self._ring: list[tuple[int, str]] = []  # sorted
        self._places: list[int] = []  # the points alone
        self._held: dict[str, list[tuple[int, int]]] = {}  # heaps of (-distance, -partition): the farthest first
        self._owners = [NO_OWNER] * partitions
        self._limit = 0

    @property
    def owners(self) -> tuple[str, ...]:
        """The result of the last change."""
        return tuple(self._owners)

    def change(self, members: Collection[str]) -> tuple[str, ...]:
        """The owner of each partition among these."""
        wanted = frozenset(members)
        come, gone = wanted - self._members, self._members - wanted
        if not come and not gone:
            return self.owners
        self._members = wanted
        self._change_ring(come, gone)
        limit = load_limit(len(wanted), len(self._points)) if wanted else 0
        if come or not wanted or limit != self._limit:
            self._limit = limit
            self._place_all()
        else:
            self._place_those_of(gone)
        return self.owners

    def _change_ring(self, come: frozenset[str], gone: frozenset[str]) -> None:
        added = [(point, name) for name in come for point in _points_of(name)]
        if len(come) + len(gone) <= FEW:
            for name in gone:
                for point in _points_of(name):
                    at = bisect_left(self._ring, (point, name))
                    del self._ring[at], self._places[at]
            for point, name in added:
                insort(self._ring, (point, name))
                insort(self._places, point)
            return
        self._ring = sorted([point for point in self._ring if point[1] not in gone] + added)
        self._places = [point for point, _ in self._ring]

    def _place_all(self) -> None:
        self._held = {name: [] for name in self._members}
        if not self._members:
            self._owners = [NO_OWNER] * len(self._points)
            return
        self._propose(range(len(self._points)))

    def _place_those_of(self, gone: frozenset[str]) -> None:
        """Relays that stay lose nothing but what a nearer partition takes from them, so the others' places stand."""
        self._propose([-partition for name in sorted(gone) for _, partition in self._held.pop(name)])

    def _propose(self, waiting: Collection[int]) -> None:
        """Partitions ask relays in their order; who is turned away or put out goes on asking (deferred acceptance)."""
        ring, places, points = self._ring, self._places, self._points
        held, owners, limit = self._held, self._owners, self._limit
        for first in waiting:
            partition, position = first, bisect_left(places, points[first])
            while True:
                if position == len(ring):
                    position = 0
                name = ring[position][1]
                mine = held[name]
                rank = (-((places[position] - points[partition]) % RING), -partition)
                position += 1
                if len(mine) < limit:
                    heapq.heappush(mine, rank)
                    owners[partition] = name
                    break
                if rank > mine[0]:
                    distance, put_out = heapq.heapreplace(mine, rank)
                    owners[partition] = name
                    partition = -put_out
                    position = bisect_left(places, (points[partition] - distance) % RING) + 1


def _points_of(name: str) -> list[int]:
    # The number stands in the data: names of two or three bytes under many seeds have points in common.
    return [xxhash.xxh3_64_intdigest(f"{number}/{name}".encode()) for number in range(POINTS)]
