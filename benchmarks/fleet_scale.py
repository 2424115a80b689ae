"""Hollow relays in the driven clock: what a fleet of hundreds sends and takes, in peace and on bad days."""

from __future__ import annotations

import gc
import math
import random
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import msgspec

from garnetrelay.fleet.members.claims import Claim, Status
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.simulation.fleet_simulation import FleetSimulation
from garnetrelay.simulation.links import LinkConditions, between
from garnetrelay.simulation.meter import Kind, Meter, Span

ZONES = 6
REGIONS = 2
PATIENCE = 900  # seconds of simulated time for one view
LOOK = SECOND  # how often it is looked whether something holds


class Row(NamedTuple):
    """One step of a run."""

    members: int
    step: str
    took: float | None  # seconds until what is waited for; nan: not within ``PATIENCE``
    span: Span
    judged: int  # lives that were judged while they were there; across a cut that is right
    processor: float  # microseconds a member a second, the driven world's own part too


class Run:
    """One fleet, step by step; rows as they come."""

    def __init__(self, members: int, seed: int, say: Callable[[Row], None], settings: Settings | None = None) -> None:
        self.members = members
        self.world = FleetSimulation(
            members,
            settings or Settings(),
            f"scale/{seed}",
            LinkConditions(loss=0.01, jitter_ms=20),
            zones=lambda number: 1 + number % ZONES,
        )
        self.meter = Meter(self.world)
        self._draw = random.Random(f"scale/{seed}/starts")
        self._say = say

    def begin(self) -> None:
        """All begin within a second; until one view."""
        for name in self.world.nodes:
            self.world.at(self._draw.randrange(SECOND), lambda name=name: self.world.start(name))  # type: ignore[misc]
        self._step("all begin", self.world.one_view)

    def peace(self, seconds: int) -> None:
        """Until all words on those that began have been told; then nothing happens but 1 % loss."""
        self._step("words told", self._quiet)
        self._step(f"peace, {seconds} s", None, seconds)

    def zone_lost(self) -> None:
        """A zone is killed at once, until all others hold just each other; then it comes back."""
        zone = [name for name in self.world.nodes if 1 + int(name[1:]) % ZONES == 1]
        for name in zone:
            self.world.kill(name)
        self._step("a zone lost", self.world.one_view)
        self._step("a minute more", None, 60)
        for name in zone:
            self.world.at(
                self.world.now + self._draw.randrange(SECOND),
                lambda name=name: self.world.start(name),  # type: ignore[misc]
            )
        self.world.run(self.world.now + SECOND)
        self._step("it is back", self.world.one_view)

    def regions_cut(self, seconds: int) -> None:
        """Two regions lose each other, and have each other back; until one view."""
        names = list(self.world.nodes)
        self.world.links.set_rule("cut", between(names[::REGIONS], names[1::REGIONS]), LinkConditions(cut=True))
        self._step(f"regions cut, {seconds} s", None, seconds)
        self.world.links.remove_rule("cut")
        self._step("links whole", self.world.one_view)
        self._step("words told", self._quiet)

    def _quiet(self) -> bool:
        return not any(
            node.members is not None and len(node.members.local_view.dissemination) for node in self.world.live()
        )

    def _step(self, step: str, done: Callable[[], bool] | None, seconds: int = PATIENCE) -> None:
        world = self.world
        began, failures, used = world.now, len(world.failures), time.process_time()
        look_at = world.now + LOOK

        def looked() -> bool:
            nonlocal look_at
            if done is None or world.now < look_at:
                return False
            look_at = world.now + LOOK
            return done()

        held = world.run(began + seconds * SECOND, looked)
        span = (world.now - began) / SECOND
        took = None if done is None else span if held else math.nan
        lives = {(whom, identity) for _, _, whom, identity, there in world.failures[failures:] if there}
        cost = (time.process_time() - used) / self.members / max(span, 1e-9) * 1e6
        self._say(Row(self.members, step, took, self.meter.span(began, world.now), len(lives), cost))


def show(row: Row) -> None:
    kinds = "".join(f"{row.span.by_kind[kind]:>8.0f}" for kind in Kind)
    took = "" if row.took is None else f"{row.took:.1f}"
    print(
        f"{row.members:>8}  {row.step:<20}{took:>8}{row.span.mean:>8.0f}{row.span.peak:>9.0f}{row.span.peak_member:>9}"
        f"{kinds}{row.span.frames:>8.2f}{row.judged:>7}{row.processor:>9.0f}",
        flush=True,
    )


def memory(members: int) -> float:
    """Bytes that one member's decisions hold, all others known (tracemalloc)."""
    claims = [
        Claim(f"n{n}", 1, n, 1, 0, Status.ALIVE, f"10.0.{n >> 8}.{n & 255}", 7946, 2, zone=1 + n % ZONES)
        for n in range(1, members + 1)
    ]
    data = msgspec.msgpack.encode(claims)
    tracemalloc.start()
    decoded: list[Claim] = msgspec.msgpack.decode(data, type=list[Claim])
    held = Membership(decoded[0], Settings(), random.Random(1), 0)
    held.resume_from(0, decoded[1:])
    del decoded
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _run(job: tuple[int, int, int, int, tuple[str, ...]]) -> None:
    members, seed, peace, cut, steps = job
    gc.disable()  # millions of objects, none of them in circles
    run = Run(members, seed, show)
    run.begin()
    if peace:
        run.peace(peace)
    if "zone" in steps:
        run.zone_lost()
    if "regions" in steps:
        run.regions_cut(cut)


def scale(sizes: list[int], seed: int, peace: int, cut: int, steps: list[str], workers: int) -> None:
    """Bytes a member a second by kind, in peace and on bad days; processor, memory, time to one view."""
    for members in sizes:
        print(f"{members} members: {memory(members) / 1e6:.2f} MB each")
    print(
        f"{'members':>8}  {'step':<20}{'took s':>8}{'bytes/s':>8}{'worst s':>9}{'a member':>9}"
        + "".join(f"{name:>8}" for name in ("probes", "asking", "claims", "ages", "exchan."))
        + f"{'frames':>8}{'judged':>7}{'CPU us':>9}",
        flush=True,
    )
    jobs = [(members, seed, peace, cut, tuple(steps)) for members in sizes]
    with ProcessPoolExecutor(workers) as pool:
        list(pool.map(_run, jobs))
