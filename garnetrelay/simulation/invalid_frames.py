"""Frames that a member has to refuse or to take for nothing: damaged, foreign, replayed, from strangers, out of bounds.

What is signed by the fleet's own secret and says something new of a member is believed: whoever has the secret is in the
fleet. So nothing here is of that kind.
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
    """Without end: what is wrong, and the bytes. ``heard``: frames that the member has taken already."""
    thief = fr.Codec([b"a secret of somebody else"])
    cut = [fr.Codec([codec.signing]).decode(data) for data in heard]
    stranger = Claim("nobody-knows-me", 1, 7, 1, 0, Status.ALIVE, *UNKNOWN_ADDRESS, 2)

    def good() -> bytes:
        return draw.choice(heard)

    def fields(frame: fr.AnyFrame) -> list[Any]:
        found: list[Any] = msgspec.msgpack.decode(msgspec.msgpack.encode(frame))
        return found

    def beyond() -> bytes:
        """A number or a text that is out of bounds, in an otherwise good frame."""
        whole = fields(draw.choice(cut))
        sender = whole[1]
        what = draw.randrange(13)
        if what == 0:
            sender[1] = MAX_LIFE + 1
        elif what == 1:
            sender[4] = MAX_INCARNATION + 1
        elif what == 2:
            sender[1] = -1
        elif what == 3:
            sender[0] = "n" * 65
        elif what == 4:
            sender[0] = "a name\nof two lines"
        elif what == 5:
            sender[6] = "not.an.address/"
        elif what == 6:
            sender[7] = 70_000
        elif what == 7:
            whole[4] = [sender] * (fr.MAX_CLAIMS + 1)
            whole[4] = whole[4][:1] if draw.random() < 0.5 else "claims"
            whole[2] = -5
        elif what == 8:
            whole[0] = 99
        elif what == 9:
            sender[3] = sender[1] + 1  # born after its life
        elif what == 10:
            sender[5] = int(draw.choice((Status.FAILED, Status.LEFT, Status.SUSPECT)))  # of itself
        elif what == 11:
            whole[6] = b"12345"  # words of no whole number
        else:
            sender[10] = MAX_ZONE + 1
        return codec.sign(msgspec.msgpack.encode(whole), 2)

    def shortened() -> bytes:
        """Its end is missing."""
        data = good()
        return data[: draw.randrange(len(data))]

    def damaged() -> bytes:
        """A byte is another."""
        data = bytearray(good())
        data[draw.randrange(len(data))] ^= draw.randint(1, 255)
        return bytes(data)

    def names() -> bytes:
        """A thousand names: longer than a datagram may be."""
        claims = [msgspec.structs.replace(stranger, name=f"name-{number}") for number in range(1000)]
        return codec.encode(fr.Ping(sender=stranger, sequence=1, number=1, claims=claims), 2)

    many = names()
    kinds: tuple[tuple[str, Callable[[], bytes]], ...] = (
        ("cut short", shortened),
        ("damaged", damaged),
        ("noise", lambda: draw.randbytes(draw.randrange(1, 200))),
        ("noise behind a head", lambda: fr.MAGIC + bytes([2]) + draw.randbytes(draw.randrange(1, 200))),
        ("another secret", lambda: thief.encode(draw.choice(cut), 2)),
        ("a later version", lambda: fr.MAGIC + bytes([draw.randint(3, 255)]) + good()[3:]),
        ("replayed", good),
        ("noise, signed", lambda: codec.sign(draw.randbytes(draw.randrange(1, 200)), 2)),
        ("nested, signed", lambda: codec.sign(b"\x91" * draw.randrange(1, 1000), 2)),
        ("huge counts, signed", lambda: codec.sign(b"\xdd" + struct.pack(">I", draw.randrange(1 << 20, 1 << 32)), 2)),
        ("out of bounds, signed", beyond),
        ("an exchange's frame", lambda: codec.encode(fr.Hello(sender=stranger, sequence=1, number=1), 2)),
        ("a thousand names", lambda: many),
        (
            "a stranger",
            lambda: codec.encode(
                fr.Ping(sender=stranger, sequence=draw.randrange(1 << 40), number=draw.randrange(1 << 40)), 2
            ),
        ),
        (
            "an answer to nothing",
            lambda: codec.encode(
                fr.Ack(sender=stranger, sequence=draw.randrange(1 << 40), number=draw.randrange(1 << 40)), 2
            ),
        ),
    )
    while True:
        for name, make in kinds:
            yield name, make()
