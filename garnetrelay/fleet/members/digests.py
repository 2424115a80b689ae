"""Digests that tell two relays which claims they share, so that a full exchange carries only the others. No I/O.

Names are hashed into buckets. For each bucket a relay sends the exclusive or of the hashes of its claims; if two
relays send the same value, they hold the same claims in that bucket and nothing of it is transferred. The number of
buckets grows with the members, so that one differing claim costs a bucket of about sixteen at any fleet size
(anti-entropy by checksums: Demers and others, "Epidemic Algorithms for Replicated Database Maintenance", 1987, section
1.3).
"""

from __future__ import annotations

import functools
import hashlib
import struct
from collections.abc import Iterable

import msgspec

from garnetrelay.fleet.members.claims import Claim, Status

NAMES_PER_BUCKET = 16  # approximate
MAX_BUCKETS = 64
DIGEST = struct.Struct(">Q")  # digest of one bucket
MAX_DIGESTS_BYTES = MAX_BUCKETS * DIGEST.size

_encoder = msgspec.msgpack.Encoder()


def buckets_for(names: int) -> int:
    """Returns the number of buckets for a number of names: a power of two."""
    buckets = 1
    while buckets * NAMES_PER_BUCKET < names and buckets < MAX_BUCKETS:
        buckets *= 2
    return buckets


def valid(digests: bytes) -> bool:
    """Whether the length is that of a valid number of buckets; no digests at all are valid."""
    buckets, rest = divmod(len(digests), DIGEST.size)
    return not rest and buckets <= MAX_BUCKETS and buckets & (buckets - 1) == 0


@functools.lru_cache(8192)  # the claims of 1,000 members are hashed in every exchange
def hash_of(claim: Claim) -> int:
    """Hashes to 64 bits everything that two relays have to agree on. The member that declared a life failed is
    excluded: several relays declare it at the same time and each keeps the claim that arrived first. For a suspicion
    it is included, because every relay that suspects counts."""
    by = claim.by if claim.status is Status.SUSPECT else ""
    text = _encoder.encode((*claim.rank, claim.name, claim.host, claim.port, claim.max_version, claim.zone, by))
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


@functools.lru_cache(8192)
def bucket_of(name: str, buckets: int) -> int:
    """Returns the bucket of a name."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % buckets


def digests_of(claims: Iterable[Claim], buckets: int) -> bytes:
    """Returns the digests of the claims, eight bytes per bucket."""
    sums = [0] * buckets
    for claim in claims:
        sums[bucket_of(claim.name, buckets)] ^= hash_of(claim)
    return b"".join(DIGEST.pack(each) for each in sums)


def differing_buckets(ours: bytes, theirs: bytes) -> set[int]:
    """Returns the buckets in which the digests differ; both sides must have the same number of buckets."""
    return {
        bucket
        for bucket, (one, other) in enumerate(zip(DIGEST.iter_unpack(ours), DIGEST.iter_unpack(theirs), strict=True))
        if one != other
    }


def missing(current: Iterable[Claim], received: Iterable[Claim], ours: bytes, theirs: bytes) -> list[Claim]:
    """Returns the claims that the other relay lacks, given the claims and digests that it sent. Without digests it
    runs an earlier version and has sent all its claims."""
    known = {claim.name: hash_of(claim) for claim in received}
    claims = [claim for claim in current if known.get(claim.name) != hash_of(claim)]
    return in_differing_buckets(claims, ours, theirs) if theirs else claims


def in_differing_buckets(current: Iterable[Claim], ours: bytes, theirs: bytes) -> list[Claim]:
    """Returns the claims in the buckets that differ from the other relay's."""
    buckets, others = len(ours) // DIGEST.size, differing_buckets(ours, theirs)
    return [claim for claim in current if bucket_of(claim.name, buckets) in others]
