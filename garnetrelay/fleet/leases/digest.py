"""The digest by which a relay and a controller compare a session's grants: XOR of a 64-bit hash of each.

XOR, so that one grant more or less costs one hash; the count goes beside it. A difference is overlooked once in 2**64.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

_PAIR = struct.Struct("<IQ")


def grant_hash(partition: int, epoch: int) -> int:
    """XXH3 of a partition (4 bytes) and its epoch (8 bytes), little end first."""
    return xxhash.xxh3_64_intdigest(_PAIR.pack(partition, epoch))


def digest(grants: Iterable[tuple[int, int]]) -> int:
    """Of (partition, epoch) pairs, each at most once; 0 for none."""
    value = 0
    for partition, epoch in grants:
        value ^= grant_hash(partition, epoch)
    return value
