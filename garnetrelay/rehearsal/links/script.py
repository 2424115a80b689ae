"""The `[fleet]` table of a scenario: relays that know each other, by the links stand-in, and what befalls them. No I/O.

The same scenario, seed and number of relays give the same moves.
"""

from __future__ import annotations

import random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from garnetrelay.simulation.links import LinkConditions

SECOND = 1_000_000_000
Share = Annotated[float, Meta(ge=0, le=1)]
Amount = Annotated[float, Meta(ge=0, le=3600)]
What = Literal[
    "cut",
    "cut-one-way",
    "flap",  # links between some and the rest; one way: from the some
    "stop",
    "starve",  # SIGSTOP and SIGCONT, once or in pulses
    "kill",
    "lose-life",
    "old-life",  # SIGKILL; back with its folder, without its life number, with the first one
    "kill-seeds",
    "leave",  # all seeds; SIGTERM
]
ENDLESS = ("kill", "lose-life", "old-life", "kill-seeds", "leave")  # their length is what they are away for


class FleetStep(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Something that befalls some relays."""

    at: Amount  # seconds from the start
    what: What
    seconds: Amount = 5.0  # for which it lasts, or the relays are away
    share: Share = 0.0  # of the relays; at least one
    within_s: Amount = 0.0  # over which the relays' own beginnings are spread
    pulse_ms: Annotated[int, Meta(ge=10, le=60_000)] = 500  # of a flap or of starving: so long bad, so long good


class FleetSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How the relays know each other."""

    probe_every_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1000
    probe_timeout_ms: Annotated[int, Meta(ge=5, le=30_000)] = 300
    seeds: Annotated[int, Meta(ge=1, le=16)] = 3
    old_frames: Share = 0.0  # of the relays: these speak version 1
    old_secret: Share = 0.0  # of the relays: these sign with the secret of before
    gather_s: Annotated[float, Meta(gt=0, le=600)] = 120.0  # for coming to one view, ahead of the schedule
    links: LinkConditions = LinkConditions()
    steps: tuple[FleetStep, ...] = ()


class Move(msgspec.Struct, frozen=True):
    """A step as it is played. Nanoseconds from the schedule's start."""

    number: int  # of its step
    at: int
    ends: int
    what: What
    relays: tuple[str, ...]
    pulse: int = 0


def moves(spec: FleetSpec, seed: int, relays: tuple[str, ...], stretch: float = 1.0) -> tuple[Move, ...]:
    """All moves in the order of their beginnings."""
    draw = random.Random(f"{seed}/fleet")
    made: list[Move] = []
    for number, step in enumerate(spec.steps):
        at, length = int(step.at * stretch * SECOND), int(step.seconds * SECOND)
        some = tuple(sorted(draw.sample(relays, max(1, round(step.share * len(relays)))), key=relays.index))
        if step.what == "kill-seeds":
            some = relays[: spec.seeds]
        if step.what in ENDLESS:
            for name in some:
                shift = int(draw.uniform(0, step.within_s) * SECOND)
                made.append(Move(number, at + shift, at + shift + length, step.what, (name,)))
        else:
            made.append(Move(number, at, at + length, step.what, some, step.pulse_ms * 1_000_000))
    return tuple(sorted(made, key=lambda move: move.at))


def old_ones(share: float, relays: tuple[str, ...]) -> frozenset[str]:
    """Every so many-eth: the first is never among them, so that a fleet has both kinds."""
    return frozenset(
        name for place, name in enumerate(relays) if place and int(place * share) != int((place - 1) * share)
    )
