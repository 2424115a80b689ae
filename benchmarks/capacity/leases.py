"""Leases on partitions: a controller's processor time and memory for renewals, and bytes on the wire."""

from __future__ import annotations

from typing import Any

import msgspec

from benchmarks.capacity.meter import settled, spent
from benchmarks.capacity.size import CONTROL_NETWORK, RELAY_CORES, SIZE, Mark, Unit
from benchmarks.capacity.subject import Quantity, Row, Subject
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.digest import digest
from garnetrelay.fleet.leases.messages import (
    Acquire,
    Answer,
    ControllerEffect,
    Grant,
    ReadRecords,
    Record,
    Records,
    Renew,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.leases.settings import SECOND, Settings

SETTINGS = Settings()
MOST_WAIT = 10 * SETTINGS.lease
LARGE = (1 << 62) - 1  # the longest encoding of a number drawn at random
EPOCH = 1 << 20
GRANTS = 50  # in one request
ROUNDS = 10  # renewals of each relay that are measured
SECRET = b"a secret of the benchmarks"
VALUES: dict[str, Any] = {
    "session": Session("relay-620", LARGE),
    "number": 1 << 24,  # of requests: a year of them at one in two seconds
    "boot": LARGE,
    "fingerprint": SETTINGS.fingerprint,
    "count": 14,
    "digest": LARGE,
    "controller": 4,
    "accepted": True,
    "matches": True,
    "granted": [],
    "refused": [],
    "grants": [],
}


class Sample(msgspec.Struct):
    """One controller of so many relays, which hold all partitions between them."""

    share: float  # of a core, for renewals each ``renew_every``: datagrams read, decided, answered; no sockets
    memory: float  # bytes
    sent: float  # bytes a second, answers


def ready(number: int = 0) -> Controller:
    """A controller that has read the records of the others, which have none, and waited for its lease."""
    controller = Controller(number, 1, SETTINGS, (), 0, False)
    now = 0
    while not controller.ready:
        now = max(now + 1, controller.next_at)
        if now > MOST_WAIT:
            raise RuntimeError("the controller does not get ready")
        effects = controller.tick(now)
        while effects:
            effect = effects.pop()
            if isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords):
                told = Records(effect.controller, 1, effect.message.number, [], -1)
                effects += controller.receive(now, told)
            elif isinstance(effect, WriteRecords):
                effects += controller.written(now, effect.ticket)
    return controller


def answers(controller: Controller, now: int, effects: list[ControllerEffect]) -> list[Answer]:
    """What it answers, all that it asks for having been written."""
    found: list[Answer] = []
    for effect in effects:
        if isinstance(effect, WriteRecords):
            found += answers(controller, now, controller.written(now, effect.ticket))
        elif isinstance(effect, SendToRelay):
            found.append(effect.message)
    return found


def acquired(controller: Controller, relays: int, now: int) -> list[tuple[Session, list[Grant]]]:
    """All partitions, granted to so many relays in turn."""
    held = []
    for number in range(relays):
        session = Session(f"relay-{number}", LARGE - number)
        grants = [Grant(partition, 1) for partition in range(number, SETTINGS.partitions, relays)]
        for start in range(0, len(grants), GRANTS):
            part = grants[start : start + GRANTS]
            request = Acquire(session, 1 + start // GRANTS, 1, SETTINGS.fingerprint, part)
            (answer,) = answers(controller, now, controller.receive(now, request))
            if answer.granted != part:
                raise RuntimeError(f"granted {len(answer.granted)} of {len(part)}")
        held.append((session, grants))
    return held


def measure(relays: int) -> Sample:
    """So many relays renew what they hold, each in turn; requests are made ahead of what is measured."""
    codec = Codec([SECRET])
    before = settled()
    controller = ready()
    now = MOST_WAIT
    held = acquired(controller, relays, now)
    memory = settled() - before
    requests = [
        codec.encode(Renew(session, 1_000 + turn, 1, SETTINGS.fingerprint, len(grants), digest(grants)))
        for turn in range(ROUNDS)
        for session, grants in held
    ]
    sent: list[int] = []

    def renew() -> None:
        for data in requests:
            message = codec.decode(data)
            assert isinstance(message, Renew)
            (answer,) = answers(controller, now, controller.receive(now, message))
            if not (answer.accepted and answer.matches):
                raise RuntimeError("a renewal was not accepted")
            sent.append(len(codec.encode(answer)))

    seconds = ROUNDS * SETTINGS.renew_every / SECOND
    return Sample(spent(renew) / seconds, memory, sum(sent) / seconds)


def encoded(kind: type[msgspec.Struct], **other: Any) -> int:
    """Bytes of a datagram with such a message, its fields by name."""
    fields = {name: VALUES[name] for name in kind.__struct_fields__ if name not in other}
    message: Any = kind(**fields, **other)
    return len(Codec([SECRET]).encode(message))


def rows() -> list[Row]:
    """A relay that holds its part of the partitions, and a controller of all of them."""
    every_s = SETTINGS.renew_every / SECOND
    held = -(-SETTINGS.partitions // SIZE.relays)
    grants = [Grant(SETTINGS.partitions - 1 - number, EPOCH) for number in range(held)]
    renewal, answer = encoded(Renew), encoded(Answer)
    granting = encoded(Acquire, grants=grants) + encoded(Answer, granted=grants)
    record = len(msgspec.msgpack.encode(Record(SETTINGS.partitions - 1, EPOCH, *VALUES["session"])))
    every = f"{SETTINGS.controllers} controllers, a renewal each {every_s:g} s"
    sent = SETTINGS.controllers * renewal / every_s
    zone = SIZE.zone_relays * held
    return [
        _row("renewals that a relay sends", Unit.BYTES_A_SECOND, sent, every),
        _row("answers that it gets", Unit.BYTES_A_SECOND, SETTINGS.controllers * answer / every_s, every),
        _row("renewals at a controller, a second", Unit.COUNT, SIZE.relays / every_s, every, budget=False),
        _row(
            "both ways at a controller",
            Unit.BYTES_A_SECOND,
            SIZE.relays * (renewal + answer) / every_s,
            every,
            budget=False,
        ),
        _row(
            f"records of {SETTINGS.partitions:,} partitions",
            Unit.BYTES,
            SETTINGS.partitions * record,
            f"{record} B a record",
            budget=False,
        ),
        _row(
            f"a zone lost: partitions of {SIZE.zone_relays} relays granted anew, at all controllers",
            Unit.BYTES,
            SETTINGS.controllers * SIZE.zone_relays * granting,
            f"{zone:,} grants, {held} in a request",
            budget=False,
        ),
    ]


def _row(text: str, unit: Unit, value: float, reason: str, budget: bool = True) -> Row:
    return Row("leases", text, unit, value, Mark.COMPUTED, CONTROL_NETWORK if budget else None, reason=reason)


SUBJECT = Subject(
    name="leases",
    text="A controller of all partitions, no sockets, nothing written: renewals of so many relays",
    of="relays",
    sizes=(10, 62, 200, SIZE.relays),
    quick=(10, 20, 40),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("share", "a controller's processor for renewals", Unit.CORES, SIZE.relays, RELAY_CORES),
        Quantity("memory", "a controller's memory for its records", Unit.BYTES, SIZE.relays),
        Quantity("sent", "answers that a controller sends", Unit.BYTES_A_SECOND, SIZE.relays),
    ),
)
