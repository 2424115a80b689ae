"""Which partition a destination belongs to: a hash that is the same in every process, version and machine.

XXH3 (64 bits, Yann Collet) of the destination's number in 8 bytes, little end first, modulo the number of partitions. The
number of partitions is a power of two, so each has the same share of the hashes.
"""

from __future__ import annotations

import xxhash

MAX_PARTITIONS = 1 << 16  # messages of leases can carry no higher numbers
DESTINATION_BYTES = 8


def partition_of(destination: int, partitions: int) -> int:
    """The partition of a destination (0 to 2**64 - 1), from 0 to ``partitions - 1``.

    Raises OverflowError for a number outside of 64 bits.
    """
    return xxhash.xxh3_64_intdigest(destination.to_bytes(DESTINATION_BYTES, "little")) % partitions


def check_partitions(partitions: int) -> None:
    """Raises ValueError unless it is a power of two that messages can carry."""
    if not 1 <= partitions <= MAX_PARTITIONS or partitions & (partitions - 1):
        raise ValueError(f"partitions: {partitions} is not a power of two from 1 to {MAX_PARTITIONS}")
