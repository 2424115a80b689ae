"""Which words two relays hold alike, told in few bytes, so that a full exchange carries only the others. No I/O.

Names are dealt into buckets by a hash. Of each bucket a relay tells the exclusive or of the hashes of its words; where
two relays tell the same, they hold the same words in it, and nothing of it is sent. With more members there are
more buckets, so that one word that differs costs a bucket of some sixteen, at any size (anti-entropy by checksums: Demers
and others, "Epidemic Algorithms for Replicated Database Maintenance", 1987, section 1.3).
"""

from __future__ import annotations

import functools
import hashlib
import struct
from collections.abc import Iterable

import msgspec

from garnetrelay.fleet.members.claims import Claim, Status

NAMES_PER_BUCKET = 16  # names in one, about
MAX_BUCKETS = 64
DIGEST = struct.Struct(">Q")  # of a bucket
MAX_DIGESTS_BYTES = MAX_BUCKETS * DIGEST.size

_encoder = msgspec.msgpack.Encoder()


def buckets_for(names: int) -> int:
    """How many buckets for so many names: a power of two."""
    buckets = 1
    while buckets * NAMES_PER_BUCKET < names and buckets < MAX_BUCKETS:
        buckets *= 2
    return buckets


def valid(digests: bytes) -> bool:
    """Whether they are of a number of buckets that there may be; none is one."""
    buckets, rest = divmod(len(digests), DIGEST.size)
    return not rest and buckets <= MAX_BUCKETS and buckets & (buckets - 1) == 0


@functools.lru_cache(8192)  # the words of 1,000 members are asked for with every exchange
def hash_of(claim: Claim) -> int:
    """64 bits of all that two relays have to hold alike. Who judged a life is not of that: relays judge at the same
    time, and the first word that comes holds; of a suspicion it is, since each that suspects counts."""
    by = claim.by if claim.status is Status.SUSPECT else ""
    text = _encoder.encode((*claim.rank, claim.name, claim.host, claim.port, claim.speaks, claim.zone, by))
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


@functools.lru_cache(8192)
def bucket_of(name: str, buckets: int) -> int:
    """The bucket of a name."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % buckets


def digests_of(claims: Iterable[Claim], buckets: int) -> bytes:
    """Eight bytes for each bucket."""
    sums = [0] * buckets
    for claim in claims:
        sums[bucket_of(claim.name, buckets)] ^= hash_of(claim)
    return b"".join(DIGEST.pack(each) for each in sums)


def differing_buckets(ours: bytes, theirs: bytes) -> set[int]:
    """The buckets in which two relays hold other words; both are of as many buckets."""
    return {
        bucket
        for bucket, (one, other) in enumerate(zip(DIGEST.iter_unpack(ours), DIGEST.iter_unpack(theirs), strict=True))
        if one != other
    }


def missing(held: Iterable[Claim], told: Iterable[Claim], ours: bytes, theirs: bytes) -> list[Claim]:
    """Of the words that are held those that another needs: it has told its own, and its digests, or none where it is a
    relay of before, which tells all that it holds."""
    known = {claim.name: hash_of(claim) for claim in told}
    claims = [claim for claim in held if known.get(claim.name) != hash_of(claim)]
    return in_differing_buckets(claims, ours, theirs) if theirs else claims


def in_differing_buckets(held: Iterable[Claim], ours: bytes, theirs: bytes) -> list[Claim]:
    """The words of the buckets in which the other holds others."""
    buckets, others = len(ours) // DIGEST.size, differing_buckets(ours, theirs)
    return [claim for claim in held if bucket_of(claim.name, buckets) in others]
