"""Generates frames that a member has to refuse or ignore: damaged, foreign, replayed, from non-members, out of bounds.

A valid frame that is signed with the fleet's secret and has news of a member is trusted, because whoever has the secret
belongs to the fleet. Such frames are not generated here.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import MAX_INCARNATION, MAX_LIFE, MAX_ZONE, Claim, SocketAddress, Status

UNKNOWN_ADDRESS = SocketAddress("10.9.9.9", 9)


def generate(draw: random.Random, codec: fr.Codec, heard: list[bytes]) -> Iterator[tuple[str, bytes]]:
    """Yield endlessly the kind of fault and the frame. ``heard``: frames that the member has already accepted."""
    foreign_codec = fr.Codec([b"a secret of somebody else"])
    decoded = [fr.Codec([codec.signing]).decode(data) for data in heard]
    non_member = Claim("nobody-knows-me", 1, 7, 1, 0, Status.ALIVE, *UNKNOWN_ADDRESS, 2)

    def valid() -> bytes:
        return draw.choice(heard)

    def fields(frame: fr.AnyFrame) -> list[Any]:
        values: list[Any] = msgspec.msgpack.decode(msgspec.msgpack.encode(frame))
        return values

    def out_of_bounds() -> bytes:
        """A number or a text out of bounds in an otherwise valid frame."""
        frame_fields = fields(draw.choice(decoded))
        sender = frame_fields[1]
        case = draw.randrange(13)
        if case == 0:
            sender[1] = MAX_LIFE + 1
        elif case == 1:
            sender[4] = MAX_INCARNATION + 1
        elif case == 2:
            sender[1] = -1
        elif case == 3:
            sender[0] = "n" * 65
        elif case == 4:
            sender[0] = "a name\nof two lines"
        elif case == 5:
            sender[6] = "not.an.address/"
        elif case == 6:
            sender[7] = 70_000
        elif case == 7:
            frame_fields[4] = [sender] * (fr.MAX_CLAIMS + 1)
            frame_fields[4] = frame_fields[4][:1] if draw.random() < 0.5 else "claims"
            frame_fields[2] = -5
        elif case == 8:
            frame_fields[0] = 99
        elif case == 9:
            sender[3] = sender[1] + 1  # the life of the process start is above the current life
        elif case == 10:
            sender[5] = int(draw.choice((Status.FAILED, Status.LEFT, Status.SUSPECT)))  # a claim on the sender itself
        elif case == 11:
            frame_fields[6] = b"12345"  # observations whose length is not a multiple of one entry
        else:
            sender[10] = MAX_ZONE + 1
        return codec.sign(msgspec.msgpack.encode(frame_fields), 2)

    def truncated() -> bytes:
        """A valid frame without its end."""
        data = valid()
        return data[: draw.randrange(len(data))]

    def damaged() -> bytes:
        """A valid frame with one byte changed."""
        data = bytearray(valid())
        data[draw.randrange(len(data))] ^= draw.randint(1, 255)
        return bytes(data)

    def too_many_claims() -> bytes:
        """Claims on a thousand names: longer than a datagram may be."""
        claims = [msgspec.structs.replace(non_member, name=f"name-{number}") for number in range(1000)]
        return codec.encode(fr.Ping(sender=non_member, sequence=1, number=1, claims=claims), 2)

    oversized = too_many_claims()
    kinds: tuple[tuple[str, Callable[[], bytes]], ...] = (
        ("cut short", truncated),
        ("damaged", damaged),
        ("noise", lambda: draw.randbytes(draw.randrange(1, 200))),
        ("noise behind a head", lambda: fr.MAGIC + bytes([2]) + draw.randbytes(draw.randrange(1, 200))),
        ("another secret", lambda: foreign_codec.encode(draw.choice(decoded), 2)),
        ("a later version", lambda: fr.MAGIC + bytes([draw.randint(3, 255)]) + valid()[3:]),
        ("replayed", valid),
        ("noise, signed", lambda: codec.sign(draw.randbytes(draw.randrange(1, 200)), 2)),
        ("nested, signed", lambda: codec.sign(b"\x91" * draw.randrange(1, 1000), 2)),
        ("huge counts, signed", lambda: codec.sign(b"\xdd" + struct.pack(">I", draw.randrange(1 << 20, 1 << 32)), 2)),
        ("out of bounds, signed", out_of_bounds),
        ("an exchange's frame", lambda: codec.encode(fr.Hello(sender=non_member, sequence=1, number=1), 2)),
        ("a thousand names", lambda: oversized),
        (
            "a stranger",
            lambda: codec.encode(
                fr.Ping(sender=non_member, sequence=draw.randrange(1 << 40), number=draw.randrange(1 << 40)), 2
            ),
        ),
        (
            "an answer to nothing",
            lambda: codec.encode(
                fr.Ack(sender=non_member, sequence=draw.randrange(1 << 40), number=draw.randrange(1 << 40)), 2
            ),
        ),
    )
    while True:
        for name, make in kinds:
            yield name, make()
