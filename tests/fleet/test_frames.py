"""Which frames a member accepts from its fleet, and which it refuses."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import MAX_INCARNATION, MAX_LIFE, Claim, Status
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.simulation import invalid_frames
from garnetrelay.simulation.fleet_simulation import FleetSimulation, Node

CLAIM = Claim("n1", 3, 77, 3, 0, Status.ALIVE, "10.0.0.1", 7946, 2, zone=6)
NEW_SECRET, OLD_SECRET = b"the secret from now on", b"the secret of before"


def ping(**more: object) -> fr.Ping:
    return fr.Ping(sender=CLAIM, sequence=1, number=2, **more)  # type: ignore[arg-type]


def cause(codec: fr.Codec, data: bytes, exchange: bool = False) -> str:
    with pytest.raises(fr.Refused) as refused:
        codec.decode(data, exchange)
    return refused.value.cause


def test_every_kind_of_frame_round_trips() -> None:
    codec = fr.Codec([NEW_SECRET])
    rest = {
        "sender": CLAIM,
        "sequence": 9,
        "number": 1 << 62,
        "claims": [CLAIM.with_status(Status.FAILED, "n2")],
        "summary": fr.Summary(0xFFFFFFFF, 1000),
        "observations": fr.pack_observations([fr.Observation(1, 20, 3)] * fr.MAX_OBSERVATIONS),
    }
    for frame in (
        fr.Ping(origin="n3", **rest),  # type: ignore[arg-type]
        fr.Ack(heard=-1, **rest),  # type: ignore[arg-type]
        fr.AskFor(target="n2", host="::1", port=1, **rest),  # type: ignore[arg-type]
        fr.Vouch(target="n2", life=MAX_LIFE, process=0, incarnation=MAX_INCARNATION, **rest),  # type: ignore[arg-type]
        fr.Nack(**rest),  # type: ignore[arg-type]
    ):
        assert codec.decode(codec.encode(frame, 2)) == frame
    for frame in (fr.Hello(**rest), fr.Whole(ask=4, **rest)):  # type: ignore[arg-type, assignment]
        assert codec.decode(codec.encode(frame, 2), exchange=True) == frame


def test_fields_that_a_version_lacks_are_left_out() -> None:
    codec = fr.Codec([NEW_SECRET])
    data = codec.encode(ping(summary=fr.Summary(1, 2), observations=bytes(12)), 1)
    assert data[2] == 1 and codec.decode(data) == ping()


class EarlierClaim(msgspec.Struct, array_like=True, frozen=True):
    """As a relay without zones reads and writes it."""

    name: str
    life: int
    process: int
    born: int
    incarnation: int
    status: Status
    host: str
    port: int
    max_version: int
    by: str = ""


@pytest.mark.parametrize("version", fr.VERSIONS)
def test_claims_with_and_without_a_zone_are_compatible(version: int) -> None:
    codec = fr.Codec([NEW_SECRET])
    body = codec.encode(ping(claims=[CLAIM]), version)[fr.HEADER_BYTES :]
    kind, sender, *rest = msgspec.msgpack.decode(body)
    before: EarlierClaim = msgspec.msgpack.decode(msgspec.msgpack.encode(sender), type=EarlierClaim)
    assert sender[-1] == 6 and before == EarlierClaim("n1", 3, 77, 3, 0, Status.ALIVE, "10.0.0.1", 7946, 2)

    old = msgspec.msgpack.decode(msgspec.msgpack.encode(before))
    frame = codec.decode(codec.sign(msgspec.msgpack.encode([kind, old, *rest[:2], [old]]), version))
    unknown = msgspec.structs.replace(CLAIM, zone=0)
    assert frame == fr.Ping(sender=unknown, sequence=1, number=2, claims=[unknown])


@pytest.mark.parametrize("zone", [-1, 256, "one", None])
def test_a_zone_out_of_bounds_is_refused(zone: object) -> None:
    codec = fr.Codec([NEW_SECRET])
    kind, sender, *rest = msgspec.msgpack.decode(codec.encode(ping(), 2)[fr.HEADER_BYTES :])
    assert cause(codec, codec.sign(msgspec.msgpack.encode([kind, [*sender[:-1], zone], *rest]), 2)) == "malformed"


def test_both_secrets_are_accepted_during_a_change_and_the_first_signs() -> None:
    before, during, after = fr.Codec([OLD_SECRET]), fr.Codec([NEW_SECRET, OLD_SECRET]), fr.Codec([NEW_SECRET])
    assert during.decode(before.encode(ping(), 2)) == ping() == after.decode(during.encode(ping(), 2))
    assert cause(before, during.encode(ping(), 2)) == cause(after, before.encode(ping(), 2)) == "secret"


def test_secrets_with_the_same_number_are_both_accepted() -> None:
    """The secret's number in the header is one byte of a hash: two secrets may share it."""
    numbers: dict[int, bytes] = {}
    for count in itertools.count():
        secret = b"a secret, number %d" % count
        same_number = numbers.setdefault(fr.Codec([secret]).good[0][0], secret)
        if same_number is not secret:
            break
    assert fr.Codec([secret, same_number]).decode(fr.Codec([same_number]).encode(ping(), 2)) == ping()


def test_a_claim_takes_no_more_bytes_than_its_size() -> None:
    codec, longest = (
        fr.Codec([NEW_SECRET]),
        Claim(
            "n" * 64,
            MAX_LIFE,
            (1 << 32) - 1,
            MAX_LIFE,
            MAX_INCARNATION,
            Status.SUSPECT,
            "f" * 39,
            65535,
            255,
            "b" * 64,
            255,
        ),
    )
    one, two = (len(codec.encode(ping(claims=[longest] * count), 2)) for count in (1, 2))
    assert two - one <= longest.size()


def test_hostile_frames_change_nothing() -> None:
    recorded: list[bytes] = []

    def record(node: Node, data: bytes) -> None:
        if node.name == "n1" and len(recorded) < 100:
            recorded.append(data)

    world = FleetSimulation(5, Settings(), 1)
    world.on_datagram = record
    for name in world.nodes:
        world.start(name)
    assert world.run(20 * SECOND, world.one_view) and not world.run(world.now + 20 * SECOND)
    members = world.nodes["n1"].members
    assert members is not None and len(recorded) > 30

    def state() -> tuple[object, ...]:
        return list(members.table.claims()), members.local.claim, members.view, members.condition

    before, refused, accepted = state(), set(), set()
    for kind, data in itertools.islice(invalid_frames.generate(random.Random(1), world.codec, recorded), 3000):
        try:
            frame = world.codec.decode(data)
        except fr.Refused:
            refused.add(kind)
        else:
            accepted.add(kind)
            members.receive(world.now, frame, invalid_frames.UNKNOWN_ADDRESS)
        assert state() == before, kind
    assert accepted == {"replayed", "a stranger", "an answer to nothing"} and len(refused) == 12
    assert members.counters.refused.keys() >= {"replayed", "unproven"}


@given(st.lists(st.integers(0, 600), max_size=60))
def test_a_sequence_number_is_accepted_once(numbers: list[int]) -> None:
    window, accepted = fr.Window(), set()
    for number in numbers:
        new = window.accept(number)
        assert not (new and number in accepted)
        assert new or number in accepted or number <= window.highest - fr.Window.WIDTH
        accepted.add(number)
