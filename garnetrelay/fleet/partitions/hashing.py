"""Maps destinations to partitions by a hash that is the same in every process, version and machine.

The partition is XXH3 (64 bits, Yann Collet) of the destination's number in 8 bytes, little-endian, modulo the number of
partitions. The number of partitions is a power of two, so that each partition gets an equal share of the hash range.
"""

from __future__ import annotations

import xxhash

MAX_PARTITIONS = 1 << 16  # lease messages carry no higher partition numbers
DESTINATION_BYTES = 8


def partition_of(destination: int, partitions: int) -> int:
    """Returns the partition of a destination (0 to 2**64 - 1), from 0 to ``partitions - 1``.

    Raises OverflowError for a destination that does not fit into 64 bits.
    """
    return xxhash.xxh3_64_intdigest(destination.to_bytes(DESTINATION_BYTES, "little")) % partitions


def check_partitions(partitions: int) -> None:
    """Raises ValueError unless the number of partitions is a power of two from 1 to ``MAX_PARTITIONS``."""
    if not 1 <= partitions <= MAX_PARTITIONS or partitions & (partitions - 1):
        raise ValueError(f"partitions: {partitions} is not a power of two from 1 to {MAX_PARTITIONS}")
