"""The digest by which a relay and a controller compare a session's grants: the XOR of a 64-bit hash of each grant.

With XOR, adding or removing a grant costs one hash. The number of grants is sent with the digest. A difference goes
undetected with a probability of 1 in 2**64.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

_PAIR = struct.Struct("<IQ")


def grant_hash(partition: int, epoch: int) -> int:
    """Returns the XXH3 hash of a partition (4 bytes) and its epoch (8 bytes), both little-endian."""
    return xxhash.xxh3_64_intdigest(_PAIR.pack(partition, epoch))


def digest(grants: Iterable[tuple[int, int]]) -> int:
    """Returns the digest of (partition, epoch) pairs without duplicates; 0 if there are none."""
    value = 0
    for partition, epoch in grants:
        value ^= grant_hash(partition, epoch)
    return value
