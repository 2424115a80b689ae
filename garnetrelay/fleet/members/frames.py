"""The frames that members send each other: typed, versioned, bounded, and signed with a secret that the fleet shares.
No I/O.

    bytes 0-1 "GF", 2 version, 3 number of the secret, 4-19 keyed digest (HMAC-SHA256, RFC 2104, its first 16 bytes, over
    version and body), then the body: a MessagePack array that begins with the frame's kind.

Version 1 carries claims only; version 2 adds the state of the sender's view (`summary`, `observations`). A member
states in its claim which version it reads; a pair uses the lower of the two, and members that do not know each other
use version 1. A frame that is not valid is refused with one of the causes below, and nothing of it is used.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from garnetrelay.fleet import signing
from garnetrelay.fleet.members import digests
from garnetrelay.fleet.members.claims import Claim, Host, Incarnation, Life, Name, NameOrNone, Port, Process

MAGIC = b"GF"
VERSIONS = (1, 2)
HEADER_BYTES = signing.HEADER_BYTES
MAX_DATAGRAM_BYTES = 1200  # including the header: fits an IPv6 packet of the minimum MTU (RFC 8200, section 5)
MAX_EXCHANGE_BYTES = 1 << 20  # of a frame over TCP: more than 2,000 members with the longest names need
MAX_CLAIMS = 4096
MAX_OBSERVATIONS = 48
OBSERVATION = struct.Struct(">IHHI")
AGE_STEP_MS = 20
MAX_OBSERVATION_AGE_MS = 0xFFFF * AGE_STEP_MS  # older observations are not sent
MAX_AGE_MS = 1 << 31

Number = Annotated[int, Meta(ge=0, le=1 << 62)]
Age = Annotated[int, Meta(ge=-1, le=MAX_AGE_MS)]
Digests = Annotated[bytes, Meta(max_length=digests.MAX_DIGESTS_BYTES)]


class Observation(NamedTuple):
    """An observation that a member was up: 48 bits of the hash of its name and life, the maximum age in milliseconds,
    and the first 32 bits of its view at that time."""

    short_hash: int
    age: int
    view: int


def pack_observations(observations: Iterable[Observation]) -> bytes:
    """Encodes observations in 12 bytes each: 6 for the member, 2 for the age in steps of 20 ms (rounded up), 4 for the
    view."""
    pack = OBSERVATION.pack
    return b"".join(
        [
            pack(short_hash >> 16, short_hash & 0xFFFF, -(-age // AGE_STEP_MS), view)
            for short_hash, age, view in observations
        ]
    )


def unpack_observations(data: bytes) -> list[Observation]:
    """Decodes the output of ``pack_observations``."""
    return [
        Observation(high << 16 | low, age * AGE_STEP_MS, view) for high, low, age, view in OBSERVATION.iter_unpack(data)
    ]


class Summary(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A summary of the sender's view: a fingerprint of its members, and their number."""

    view: Annotated[int, Meta(ge=0, lt=1 << 32)]
    members: Annotated[int, Meta(ge=0, le=1 << 16)]


class Frame(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The fields that every frame has: the sender, its sequence number, and claims about other members."""

    sender: Claim
    sequence: Number  # of the sender's process: increases with each frame
    number: Number  # number of the request that is sent or answered
    claims: Annotated[list[Claim], Meta(max_length=MAX_CLAIMS)] = []
    summary: Summary | None = None
    observations: Annotated[bytes, Meta(max_length=MAX_OBSERVATIONS * OBSERVATION.size)] = b""


class Ping(Frame, tag=1, frozen=True, kw_only=True):
    """Asks whether the receiver is up."""

    origin: NameOrNone = ""  # the member on whose behalf the sender asks, if any


class Ack(Frame, tag=2, frozen=True, kw_only=True):
    """Answers a Ping. ``heard`` is how long ago (ms) a frame last arrived directly from the origin; -1: never."""

    heard: Age = -1


class AskFor(Frame, tag=3, frozen=True, kw_only=True):
    """Asks the receiver for an indirect probe of a member that does not answer the sender."""

    target: Name
    host: Host
    port: Port


class Vouch(Frame, tag=4, frozen=True, kw_only=True):
    """Confirms that the target of an AskFor answered in this life. ``heard`` is copied from its Ack."""

    target: Name
    life: Life
    process: Process
    incarnation: Incarnation
    heard: Age = -1


class Nack(Frame, tag=5, frozen=True, kw_only=True):
    """Reports that an indirect probe was not answered in time. It also shows the member that asked that the sender
    receives its frames."""


class Hello(Frame, tag=6, frozen=True, kw_only=True):
    """Starts a full exchange. ``digests`` cover the sender's claims; earlier versions omit them and skip them when
    reading."""

    digests: Digests = b""


class Whole(Frame, tag=7, frozen=True, kw_only=True):
    """The claims of the sender; if the other side has sent ``digests``, only those in buckets that differ. ``number``
    is the other side's request number, ``ask`` the sender's own for the answer."""

    ask: Number
    digests: Digests = b""  # with the same number of buckets as the other side's


AnyFrame = Ping | Ack | AskFor | Vouch | Nack | Hello | Whole
EXCHANGE = (Hello, Whole)


Refused = signing.FrameRefusedError

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyFrame)


class Codec(signing.Signing):
    """Encodes and decodes frames. The first secret signs; all are accepted."""

    def __init__(self, secrets: list[bytes]) -> None:
        super().__init__(MAGIC, VERSIONS, secrets)

    def encode(self, frame: Frame, version: int) -> bytes:
        """Encodes a frame; fields that the version does not have are left out."""
        if version == 1 and (frame.summary is not None or frame.observations):
            frame = msgspec.structs.replace(frame, summary=None, observations=b"")
        return self.sign(_encoder.encode(frame), version)

    def decode(self, data: bytes, exchange: bool = False) -> AnyFrame:
        """Decodes a frame. Raises Refused with the cause. ``exchange`` is True if it arrived over TCP."""
        version, body = self.open(data, MAX_EXCHANGE_BYTES if exchange else MAX_DATAGRAM_BYTES)
        try:
            frame: AnyFrame = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise Refused("malformed") from None
        if version == 1 and (frame.summary is not None or frame.observations) or isinstance(frame, EXCHANGE) != exchange:
            raise Refused("malformed")
        if frame.sender.status or len(frame.observations) % OBSERVATION.size:
            raise Refused("malformed")
        if isinstance(frame, EXCHANGE) and not digests.valid(frame.digests):
            raise Refused("malformed")
        if any(claim.born > claim.life for claim in (frame.sender, *frame.claims)):
            raise Refused("malformed")
        return frame


class Window:
    """Anti-replay window over a sender's sequence numbers: each frame is accepted once, late ones within 256 (as RFC
    4303, 3.4.3)."""

    __slots__ = ("highest", "seen")
    WIDTH = 256

    def __init__(self, highest: int = -1) -> None:
        self.highest = highest
        self.seen = 1 if highest >= 0 else 0

    def accept(self, number: int) -> bool:
        """Returns whether the number is new, and marks it as seen."""
        ahead = number - self.highest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & ((1 << self.WIDTH) - 1) if ahead < self.WIDTH else 1
            self.highest = number
            return True
        bit = 1 << -ahead if -ahead < self.WIDTH else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True
