"""What members send each other: typed, versioned, bounded, and signed with a secret that the fleet shares. No I/O.

    bytes 0-1 "GF", 2 version, 3 number of the secret, 4-19 keyed digest (HMAC-SHA256, RFC 2104, its first 16 bytes, over
    version and body), then the body: a MessagePack array that begins with the frame's kind.

Version 1 has claims alone; version 2 adds what a view is worth (`summary`, `words`). A member says in its claim which it
reads; a pair speaks the lower of the two, and strangers speak version 1. What is wrong with a frame is told by one of the
causes below; nothing of such a frame is used.
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
MAX_DATAGRAM_BYTES = 1200  # bytes, head and all: fits an IPv6 packet of the least MTU (RFC 8200, section 5)
MAX_EXCHANGE_BYTES = 1 << 20  # bytes of a frame over TCP: 2,000 members of the longest names, and more
MAX_CLAIMS = 4096
MAX_OBSERVATIONS = 48
OBSERVATION = struct.Struct(">IHHI")
AGE_STEP_MS = 20  # milliseconds
MAX_OBSERVATION_AGE_MS = 0xFFFF * AGE_STEP_MS  # milliseconds; what is older is not told
MAX_AGE_MS = 1 << 31  # milliseconds

Number = Annotated[int, Meta(ge=0, le=1 << 62)]
Age = Annotated[int, Meta(ge=-1, le=MAX_AGE_MS)]
Digests = Annotated[bytes, Meta(max_length=digests.MAX_DIGESTS_BYTES)]


class Observation(NamedTuple):
    """That a member was there: 48 bits of its name and life hashed, the age at most (milliseconds), 32 bits of its view
    then."""

    short_hash: int
    age: int
    view: int


def pack_observations(observations: Iterable[Observation]) -> bytes:
    """12 bytes each: 6 of the member, 2 of the age in steps of 20 ms (rounded up), 4 of the view."""
    pack = OBSERVATION.pack
    return b"".join(
        [
            pack(short_hash >> 16, short_hash & 0xFFFF, -(-age // AGE_STEP_MS), view)
            for short_hash, age, view in observations
        ]
    )


def unpack_observations(data: bytes) -> list[Observation]:
    """What ``pack_words`` made."""
    return [
        Observation(high << 16 | low, age * AGE_STEP_MS, view) for high, low, age, view in OBSERVATION.iter_unpack(data)
    ]


class Summary(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The sender's view in short: a fingerprint of who is in it, and how many they are."""

    view: Annotated[int, Meta(ge=0, lt=1 << 32)]
    members: Annotated[int, Meta(ge=0, le=1 << 16)]


class Frame(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What each frame has: who sends it, in an order of its own, and what it has to tell of others."""

    sender: Claim
    sequence: Number  # of the sender's process: counts up with each frame
    number: Number  # of the question that is asked or answered
    claims: Annotated[list[Claim], Meta(max_length=MAX_CLAIMS)] = []
    summary: Summary | None = None
    observations: Annotated[bytes, Meta(max_length=MAX_OBSERVATIONS * OBSERVATION.size)] = b""


class Ping(Frame, tag=1, frozen=True, kw_only=True):
    """Are you there?"""

    origin: NameOrNone = ""  # whoever wants to know, where the sender asks for another


class Ack(Frame, tag=2, frozen=True, kw_only=True):
    """I am. ``heard``: how long ago (ms) the origin was last heard without a go-between; -1: never."""

    heard: Age = -1


class AskFor(Frame, tag=3, frozen=True, kw_only=True):
    """Ask that member for me: I get no answer."""

    target: Name
    host: Host
    port: Port


class Vouch(Frame, tag=4, frozen=True, kw_only=True):
    """It answered me, in this life. ``heard`` as it said."""

    target: Name
    life: Life
    process: Process
    incarnation: Incarnation
    heard: Age = -1


class Nack(Frame, tag=5, frozen=True, kw_only=True):
    """I have asked, and nothing has come: the fault is not that I don't hear you."""


class Hello(Frame, tag=6, frozen=True, kw_only=True):
    """Begins a full exchange. ``digests`` of what the sender holds; relays of before leave them out and skip them."""

    digests: Digests = b""


class Whole(Frame, tag=7, frozen=True, kw_only=True):
    """All that the sender holds, where the other side has told ``digests``: of the buckets that differ. ``number`` is the
    other side's, ``ask`` its own, for the answer."""

    ask: Number
    digests: Digests = b""  # in as many buckets as the other side's


AnyFrame = Ping | Ack | AskFor | Vouch | Nack | Hello | Whole
EXCHANGE = (Hello, Whole)


Refused = signing.FrameRefusedError

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyFrame)


class Codec(signing.Signing):
    """Frames to bytes and back. The first secret signs; both are good."""

    def __init__(self, secrets: list[bytes]) -> None:
        super().__init__(MAGIC, VERSIONS, secrets)

    def encode(self, frame: Frame, version: int) -> bytes:
        """A frame as it goes out; what the version does not have is left out."""
        if version == 1 and (frame.summary is not None or frame.observations):
            frame = msgspec.structs.replace(frame, summary=None, observations=b"")
        return self.sign(_encoder.encode(frame), version)

    def decode(self, data: bytes, exchange: bool = False) -> AnyFrame:
        """The frame; Refused with a cause. ``exchange``: it came over TCP."""
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
    """Which of a sender's numbers have been seen: a frame is taken once, late ones within 256 (as RFC 4303, 3.4.3)."""

    __slots__ = ("highest", "seen")
    WIDTH = 256

    def __init__(self, highest: int = -1) -> None:
        self.highest = highest
        self.seen = 1 if highest >= 0 else 0

    def accept(self, number: int) -> bool:
        """Whether it is new; it counts as seen from now on."""
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
