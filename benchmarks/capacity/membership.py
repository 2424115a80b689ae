"""Membership in the driven clock: bytes a member a second, processor, memory, the age of words."""

from __future__ import annotations

import random
import statistics

import msgspec

from benchmarks import fleet_scale
from benchmarks.capacity.size import CONTROL_CORES, CONTROL_MEMORY, IN_FORCE, MEMBERSHIP_NETWORK, SIZE, Unit
from benchmarks.capacity.subject import Quantity, Subject
from garnetrelay.fleet.members.settings import SECOND

SEED = 1
GATHERED = 600 * SECOND  # simulated: one view within that
QUIET = 40  # simulated seconds behind one view, in which the words of the beginning are told. Until there are none at all
# would be no bound: in a large fleet whose links lose 1 % somebody is always suspected by somebody
SPAN = 20  # simulated seconds of peace that are measured


class Sample(msgspec.Struct):
    """Of one member. ``share`` has the driven world's own processor time in it."""

    sent: float  # bytes a second, mean
    worst: float  # the same in the worst second
    frames: float  # a second
    share: float  # of a core
    memory: float  # bytes of its decisions
    age: float  # of a word of another, mean, seconds
    one_view: float  # simulated seconds from the beginning of all until one view


def measure(members: int) -> Sample:
    """A fleet whose members begin together, links that lose 1 %; then peace."""
    rows: list[fleet_scale.Row] = []
    run, draw = fleet_scale.Run(members, SEED, rows.append), random.Random(SEED)
    world = run.world
    for name in world.nodes:
        world.at(draw.randrange(SECOND), lambda name=name: world.start(name))  # type: ignore[misc]
    world.run(SECOND)
    if not world.run(GATHERED, world.one_view):
        raise RuntimeError(f"{members} members: not one view")
    one_view = world.now / SECOND
    run.peace(QUIET)
    run.peace(SPAN)
    peace, now = rows[-1], world.now
    ages = [
        age / SECOND
        for node in world.live()
        if node.members is not None
        for name in node.members.table.members
        if (age := node.members.age(name, now)) is not None
    ]
    return Sample(
        peace.span.mean,
        peace.span.peak,
        peace.span.frames,
        peace.processor / 1e6,
        fleet_scale.memory(members),
        statistics.mean(ages),
        one_view,
    )


SUBJECT = Subject(
    name="membership",
    text="Membership, all members in one driven clock, probes every second",
    of="members",
    sizes=(10, 40, 200, 310, SIZE.relays),
    quick=(10, 20, 40),
    sample=Sample,
    measure=measure,
    quantities=(
        Quantity("sent", "bytes that a relay sends for it, mean", Unit.BYTES_A_SECOND, SIZE.relays, MEMBERSHIP_NETWORK),
        Quantity("worst", "the same, worst second of peace", Unit.BYTES_A_SECOND, SIZE.relays, MEMBERSHIP_NETWORK),
        Quantity("frames", "datagrams that a relay sends for it, a second", Unit.COUNT, SIZE.relays),
        Quantity("share", "processor, the driven world included", Unit.CORES, SIZE.relays, CONTROL_CORES),
        Quantity("memory", "memory of its decisions", Unit.BYTES, SIZE.relays, CONTROL_MEMORY),
        Quantity("age", "age of a word of another, mean", Unit.SECONDS, SIZE.relays, IN_FORCE),
        Quantity("one_view", "one view after all begin at once", Unit.SECONDS, SIZE.relays),
    ),
)
