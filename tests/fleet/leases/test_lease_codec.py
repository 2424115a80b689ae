"""Which datagrams are accepted as lease messages, and which are refused."""

from __future__ import annotations

import random
import struct
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from garnetrelay.fleet.leases import codec as lease_codec
from garnetrelay.fleet.leases.codec import MAX_DATAGRAM_BYTES, VERSION, Codec
from garnetrelay.fleet.leases.messages import (
    MAX_EPOCH,
    MAX_GRANTS,
    MAX_RECORDS,
    MAX_RECORDS_BYTES,
    Acquire,
    Answer,
    Grant,
    Message,
    ReadRecords,
    Record,
    Records,
    Refusal,
    Release,
    Renew,
    Session,
)
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import MAX_NAME_BYTES
from garnetrelay.fleet.partitions.hashing import MAX_PARTITIONS
from garnetrelay.fleet.signing import HEADER_BYTES, FrameRefusedError

SECRET, OTHER = b"the secret of the tests", b"a secret of somebody else"
SESSION = Session("relay-7", (1 << 62) - 1)
GRANTS = [Grant(partition, 3) for partition in range(MAX_GRANTS)]
REFUSALS = [Refusal(partition, 3, 10**9) for partition in range(10)]
RECORDS = [Record(partition, 3, "r7", 5) for partition in range(10)]
MESSAGES: list[Message] = [
    Acquire(SESSION, 1, 2, 7, GRANTS),
    Renew(SESSION, 1, 2, 7, MAX_PARTITIONS, (1 << 64) - 1),
    Release(SESSION, 1, 2, []),
    Answer(4, 2, 1, True, False, GRANTS[:20], REFUSALS),
    ReadRecords(0, 2, 1, MAX_PARTITIONS - 1),
    Records(8, 2, 1, RECORDS, -1),
]


def cause(codec: Codec, data: bytes) -> str:
    with pytest.raises(FrameRefusedError) as refused:
        codec.decode(data)
    return refused.value.cause


@pytest.mark.parametrize("message", MESSAGES)
def test_every_message_survives_a_round_trip(message: Message) -> None:
    codec = Codec([SECRET])
    data = codec.encode(message)
    assert codec.decode(data) == message and len(data) <= MAX_DATAGRAM_BYTES


def test_both_secrets_are_valid_during_a_change_and_the_first_signs() -> None:
    before, during, after = Codec([OTHER]), Codec([SECRET, OTHER]), Codec([SECRET])
    message = MESSAGES[1]
    assert during.decode(before.encode(message)) == message == after.decode(during.encode(message))
    assert cause(before, during.encode(message)) == cause(after, before.encode(message)) == "secret"


def test_a_datagram_signed_for_members_is_no_lease_message() -> None:
    """The secret is the same and the magic is replaced, but the context is part of the signed data."""
    codec, members = Codec([SECRET]), fr.Codec([SECRET])
    body = msgspec.msgpack.encode(MESSAGES[1])
    assert cause(codec, members.sign(body, VERSION)) == "foreign"
    assert cause(codec, b"GL" + members.sign(body, VERSION)[2:]) == "secret"


LONGEST = Session("n" * MAX_NAME_BYTES, (1 << 62) - 1)
MAX_NUMBER = (1 << 62) - 1
MAX_SIZE_GRANTS = [Grant(MAX_PARTITIONS - 1, MAX_EPOCH)] * MAX_GRANTS
MAX_SIZE_REFUSALS = [Refusal(MAX_PARTITIONS - 1, MAX_EPOCH, (1 << 50) - 1)] * MAX_GRANTS
SHORT_RECORD, LONG_RECORD = (
    Record(MAX_PARTITIONS - 1, MAX_EPOCH, "n" * size, MAX_NUMBER) for size in (1, MAX_NAME_BYTES)
)


@pytest.mark.parametrize(
    "message",
    [
        Acquire(LONGEST, MAX_NUMBER, MAX_NUMBER, (1 << 32) - 1, MAX_SIZE_GRANTS),
        Release(LONGEST, MAX_NUMBER, MAX_NUMBER, MAX_SIZE_GRANTS),
        Renew(LONGEST, MAX_NUMBER, MAX_NUMBER, (1 << 32) - 1, MAX_PARTITIONS, (1 << 64) - 1),
        Answer(8, MAX_NUMBER, MAX_NUMBER, True, True, MAX_SIZE_GRANTS, []),
        Answer(8, MAX_NUMBER, MAX_NUMBER, True, True, [], MAX_SIZE_REFUSALS),
        Answer(8, MAX_NUMBER, MAX_NUMBER, True, True, MAX_SIZE_GRANTS[:24], MAX_SIZE_REFUSALS[:24]),
        Records(
            8, MAX_NUMBER, MAX_NUMBER, [SHORT_RECORD] * min(MAX_RECORDS, MAX_RECORDS_BYTES // SHORT_RECORD.size()), 65535
        ),
        Records(8, MAX_NUMBER, MAX_NUMBER, [LONG_RECORD] * (MAX_RECORDS_BYTES // LONG_RECORD.size()), 65535),
    ],
)
def test_the_longest_messages_fit_a_datagram(message: Message) -> None:
    codec = Codec([SECRET])
    assert codec.decode(codec.encode(message)) == message


def test_a_message_that_is_too_long_is_not_sent() -> None:
    with pytest.raises(ValueError, match="Records takes"):
        Codec([SECRET]).encode(Records(8, MAX_NUMBER, MAX_NUMBER, [LONG_RECORD] * MAX_RECORDS, -1))


def hostile(rng: random.Random, codec: Codec, valid: list[bytes]) -> Iterator[tuple[str, bytes]]:
    """Returns invalid datagrams, each with the kind of its defect."""

    def out_of_bounds() -> bytes:
        """Returns a valid message with one field replaced by a value out of bounds."""
        fields: list[Any] = msgspec.msgpack.decode(rng.choice(valid)[HEADER_BYTES:])
        position = rng.randrange(len(fields))
        fields[position] = rng.choice([-1, 1 << 64 - 1, "x" * 70, [[1, 2]] * (MAX_GRANTS + 1), None, 1.5, {}])
        return codec.sign(msgspec.msgpack.encode(fields), VERSION)

    def damaged() -> bytes:
        data = bytearray(rng.choice(valid))
        data[rng.randrange(len(data))] ^= rng.randint(1, 255)
        return bytes(data)

    for _ in range(300):
        data = rng.choice(valid)
        yield "damaged", damaged()
        yield "cut short", data[: rng.randrange(len(data))]
        yield "longer", data + rng.randbytes(rng.randint(1, 9))
        yield "noise", rng.randbytes(rng.randrange(1300))
        yield "another secret", Codec([OTHER]).sign(data[HEADER_BYTES:], VERSION)
        yield "a later version", codec.sign(data[HEADER_BYTES:], rng.randint(2, 255))
        yield "noise, signed", codec.sign(rng.randbytes(rng.randint(1, 1100)), VERSION)
        yield "nested, signed", codec.sign(b"\x91" * 1100, VERSION)
        yield "a huge count, signed", codec.sign(b"\xdd" + struct.pack(">I", rng.randrange(1 << 31, 1 << 32)), VERSION)
        yield "out of bounds, signed", out_of_bounds()


def test_hostile_datagrams_are_refused() -> None:
    codec = Codec([SECRET])
    valid = [codec.encode(message) for message in MESSAGES]
    causes: dict[str, set[str]] = {}
    for kind, data in hostile(random.Random(1), codec, valid):
        try:
            message = codec.decode(data)
        except FrameRefusedError as refused:
            causes.setdefault(kind, set()).add(refused.cause)
        else:  # a field may be replaced by another valid value
            assert kind == "out of bounds, signed" and codec.encode(message)
    assert causes["another secret"] == {"secret"} and causes["a later version"] == {"version"}
    assert causes["nested, signed"] == causes["noise, signed"] == causes["a huge count, signed"] == {"malformed"}
    assert causes["out of bounds, signed"] == {"malformed"}
    assert set().union(*causes.values()) == {"secret", "version", "malformed", "long", "foreign"}


def test_the_size_limit_is_that_of_a_datagram() -> None:
    codec = Codec([SECRET])
    assert cause(codec, codec.sign(bytes(MAX_DATAGRAM_BYTES), VERSION)) == "long"
    assert lease_codec.MAGIC != fr.MAGIC
