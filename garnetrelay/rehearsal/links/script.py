"""The `[fleet]` table of a scenario: a fleet of relays on a simulated network, and its fault steps. No I/O.

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
    "flap",  # links between the selected relays and the others; one way: from the selected relays
    "stop",
    "starve",  # SIGSTOP and SIGCONT, once or in pulses
    "kill",
    "lose-life",
    "old-life",  # SIGKILL; returns with its folder: whole, without its life number, or with the first one
    "kill-seeds",
    "leave",  # SIGKILL of all seeds, or SIGTERM
]
AWAY_STEPS = ("kill", "lose-life", "old-life", "kill-seeds", "leave")  # their length is the time without the relay


class FleetStep(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault or departure of some relays."""

    at: Amount  # seconds from the start
    what: What
    seconds: Amount = 5.0  # duration, or the time until the relays return
    share: Share = 0.0  # of the relays; at least one
    within_s: Amount = 0.0  # time over which the starts for the single relays are spread
    pulse_ms: Annotated[int, Meta(ge=10, le=60_000)] = 500  # of a flap or of starving: length of each phase


class FleetSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The configuration of the fleet and its network."""

    probe_every_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1000
    probe_timeout_ms: Annotated[int, Meta(ge=5, le=30_000)] = 300
    seeds: Annotated[int, Meta(ge=1, le=16)] = 3
    old_frames: Share = 0.0  # of the relays: these speak version 1
    old_secret: Share = 0.0  # of the relays: these sign with the previous secret
    gather_s: Annotated[float, Meta(gt=0, le=600)] = 120.0  # time limit for one common view before the schedule starts
    links: LinkConditions = LinkConditions()
    steps: tuple[FleetStep, ...] = ()


class Move(msgspec.Struct, frozen=True):
    """A scheduled step. Times in nanoseconds from the start of the schedule."""

    number: int  # index of its step
    at: int
    ends: int
    what: What
    relays: tuple[str, ...]
    pulse: int = 0


def moves(spec: FleetSpec, seed: int, relays: tuple[str, ...], stretch: float = 1.0) -> tuple[Move, ...]:
    """All moves, ordered by their start."""
    draw = random.Random(f"{seed}/fleet")
    scheduled: list[Move] = []
    for number, step in enumerate(spec.steps):
        at, length = int(step.at * stretch * SECOND), int(step.seconds * SECOND)
        selected = tuple(sorted(draw.sample(relays, max(1, round(step.share * len(relays)))), key=relays.index))
        if step.what == "kill-seeds":
            selected = relays[: spec.seeds]
        if step.what in AWAY_STEPS:
            for name in selected:
                delay = int(draw.uniform(0, step.within_s) * SECOND)
                scheduled.append(Move(number, at + delay, at + delay + length, step.what, (name,)))
        else:
            scheduled.append(Move(number, at, at + length, step.what, selected, step.pulse_ms * 1_000_000))
    return tuple(sorted(scheduled, key=lambda move: move.at))


def select_share(share: float, relays: tuple[str, ...]) -> frozenset[str]:
    """An evenly spread share of the relays. The first is never included, so that a fleet has both kinds."""
    return frozenset(
        name for index, name in enumerate(relays) if index and int(index * share) != int((index - 1) * share)
    )
