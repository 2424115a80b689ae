"""Fault schedules for a simulated fleet, as data: generated from a kind and a seed, run, stored on failure, run again.

Each run checks the invariants of ``InvariantChecker`` after every step, whatever the links do. After the last fault, all
running members have to reach one view within a stated time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from garnetrelay.fleet.members.claims import Identity, Status
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import MS, SECOND, Settings
from garnetrelay.fleet.members.view_state import Condition
from garnetrelay.simulation.fleet_simulation import FleetSimulation, Node, Stall
from garnetrelay.simulation.links import LinkConditions, between

Step = Literal[
    "start",
    "start anew",
    "start from",
    "kill",
    "leave",
    "stop",
    "go on",
    "starve",
    "feed",
    "cut",
    "cut one way",
    "mend",
    "clock ahead",
    "turn up",
]


class Event(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """One step at one time."""

    at_ms: Annotated[int, Meta(ge=0)]
    step: Step
    who: list[str] = []
    others: list[str] = []  # the other side of a cut
    number: int = 0  # the life to start from; milliseconds of a stall or a clock jump


class Schedule(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """A complete run: members, link conditions and events."""

    kind: str
    seed: int
    members: Annotated[int, Meta(ge=2, le=1000)]
    events: list[Event]
    base: LinkConditions = LinkConditions()
    old_frames: list[str] = []  # members that use version 1 of the frames only
    old_secret: list[str] = []  # members that sign with the previous secret
    seeds: int = 3
    within_ms: int = 120_000  # after the last event: the run fails without one view by then
    running: list[str] = []  # members that start at the beginning; empty: all


class Outcome(msgspec.Struct, frozen=True):
    """Result of a run. Times in milliseconds after the last event; None: not within ``within_ms``."""

    one_view_ms: int | None
    all_current_ms: int | None  # until no running member holds an outdated identity of another
    failure_verdicts: int
    false_failures: int  # of these, those whose process was running
    problems: list[str]

    @property
    def failed(self) -> bool:
        """Whether an invariant was violated or one view was not reached in time."""
        return bool(self.problems) or self.one_view_ms is None


class InvariantChecker:
    """Checks these invariants after every action of a relay.

    - a life that a relay has recorded as ended does not return to its view;
    - a relay whose condition is SETTLED owns its name, has joined, and has no suspects;
    - a relay's claim on itself never falls behind an earlier one;
    - a relay whose condition is ALONE declares no member failed.
    """

    def __init__(self, simulation: FleetSimulation) -> None:
        self.problems: list[str] = []
        self._simulation = simulation
        self._ended: dict[tuple[str, int], dict[str, Identity]] = {}
        self._own_ranks: dict[tuple[str, int], tuple[int, ...]] = {}
        self._failed_when_alone: dict[tuple[str, int], int] = {}  # count of failed members when the relay became ALONE

    def check(self, node: Node) -> None:
        """Check a node after it has acted."""
        members = node.members
        if members is None:
            return
        key = node.name, node.process
        rank = members.local.claim.rank
        if rank < self._own_ranks.get(key, ()):
            self._report(node, "its claim on itself fell behind an earlier one")
        self._own_ranks[key] = rank
        ended = self._ended.setdefault(key, {})
        for name, member in members.table.gone.items():
            if ended.get(name, Identity(0, 0)) < member.claim.identity:
                ended[name] = member.claim.identity
        if ended:
            for name, identity in ended.items():
                held = members.table.members.get(name)
                if held is not None and held.claim.identity <= identity:
                    self._report(node, f"{name} life {identity.life} is back in its view")
        if members.condition is Condition.SETTLED and (
            members.local_view.suspects or not members.joined or not members.local.active
        ):
            self._report(node, "it is SETTLED, but has suspects, has not joined or does not own its name")

        if members.condition is not Condition.ALONE:
            self._failed_when_alone.pop(key, None)
        elif members.local_view.counters.failed > self._failed_when_alone.setdefault(
            key, members.local_view.counters.failed
        ):
            self._report(node, "it is ALONE and declares others failed")

    def _report(self, node: Node, text: str) -> None:
        if len(self.problems) < 20:
            self.problems.append(f"{self._simulation.now / SECOND:.3f} s {node.name}: {text}")


def run_schedule(
    schedule: Schedule,
    settings: Settings | None = None,
    prepare: Callable[[FleetSimulation], None] = lambda simulation: None,
) -> Outcome:
    """Run a schedule. The fleet has twenty seconds to reach one view; ``at_ms`` counts from then."""
    simulation = FleetSimulation(
        schedule.members,
        settings or Settings(),
        f"{schedule.kind}/{schedule.seed}",
        schedule.base,
        schedule.seeds,
        versions=lambda number: 1 if f"n{number}" in schedule.old_frames else 2,
    )
    for name in schedule.old_secret:
        simulation.nodes[name].old_secret = True
    checker = InvariantChecker(simulation)
    simulation.after_effects = checker.check
    prepare(simulation)
    draw = random.Random(f"{schedule.kind}/{schedule.seed}/starts")
    for name in schedule.running or list(simulation.nodes):
        simulation.at(draw.randrange(SECOND), lambda name=name: simulation.start(name))  # type: ignore[misc]
    start = 20 * SECOND
    for event in schedule.events:
        simulation.at(start + event.at_ms * MS, lambda event=event: _execute(simulation, event))  # type: ignore[misc]
    last = start + max((event.at_ms for event in schedule.events), default=0) * MS
    simulation.run(last)
    end = last + schedule.within_ms * MS
    current_at: list[int] = []

    def done() -> bool:
        if not current_at and all_current(simulation):
            current_at.append(simulation.now)
        return bool(current_at) and simulation.one_view() and all_current(simulation)

    converged = simulation.run(end, done)
    return Outcome(
        (simulation.now - last) // MS if converged else None,
        (current_at[0] - last) // MS if current_at else None,
        len(simulation.failures),
        sum(running for *_, running in simulation.failures),
        checker.problems,
    )


def all_current(simulation: FleetSimulation) -> bool:
    """Whether no running member holds an outdated identity of another, or a suspect."""
    running = {node.name: node.members.local.claim.identity for node in simulation.live() if node.members is not None}

    def is_current(members: Membership) -> bool:
        return all(
            running.get(name) == member.claim.identity and member.claim.status is not Status.SUSPECT
            for name, member in members.table.members.items()
        )

    return all(node.members is not None and is_current(node.members) for node in simulation.live())


def _execute(simulation: FleetSimulation, event: Event) -> None:
    for name in event.who:
        node = simulation.nodes[name]
        match event.step:
            case "start":
                simulation.start(name)
            case "start anew":
                simulation.start(name, lost_folder=True)
            case "start from":
                simulation.start(name, folder=event.number)
            case "kill":
                simulation.kill(name)
            case "leave":
                simulation.leave(name)
            case "stop":
                simulation.stop(name)
            case "go on":
                simulation.resume(name)
            case "starve":
                node.stall = Stall(3 * event.number * MS // 2, event.number * MS)
            case "feed":
                node.stall = None
            case "clock ahead":
                simulation.clock_ahead(name, event.number * MS)
            case "turn up":
                node.old_secret = False
    if event.step == "cut":
        simulation.links.set_rule("cut", between(event.who, event.others), LinkConditions(cut=True))
    elif event.step == "cut one way":
        simulation.links.set_rule("cut", between(event.who, event.others, True), LinkConditions(cut=True))
    elif event.step == "mend":
        simulation.links.remove_rule("cut")


# ---- kinds


def _names(count: int) -> list[str]:
    return [f"n{number}" for number in range(1, count + 1)]


def _split(draw: random.Random, names: list[str], share: float) -> tuple[list[str], list[str]]:
    chosen = draw.sample(names, max(1, round(len(names) * share)))
    return sorted(chosen), [name for name in names if name not in chosen]


def _most_killed(draw: random.Random, names: list[str]) -> list[Event]:
    """Seven in ten are killed within a second and start with their folders ten seconds later."""
    chosen, _ = _split(draw, names, 0.7)
    kills = [Event(draw.randrange(1000), "kill", [name]) for name in chosen]
    return kills + [Event(10_000 + draw.randrange(1000), "start", [name]) for name in chosen]


def _third_cut(draw: random.Random, names: list[str]) -> list[Event]:
    """A third is cut off from the others for 6 s."""
    chosen, rest = _split(draw, names, 0.34)
    return [Event(0, "cut", chosen, rest), Event(6000, "mend")]


def _third_cut_long(draw: random.Random, names: list[str]) -> list[Event]:
    """A third is cut off for a minute, so that each side declares the other failed."""
    chosen, rest = _split(draw, names, 0.34)
    return [Event(0, "cut", chosen, rest), Event(60_000, "mend")]


def _halves(draw: random.Random, names: list[str]) -> list[Event]:
    """Two halves are cut off from each other for 40 s; in each, one member is killed and restarted meanwhile."""
    chosen, rest = _split(draw, names, 0.5)
    first, second = draw.choice(chosen), draw.choice(rest)
    return [
        Event(0, "cut", chosen, rest),
        Event(5000, "kill", [first]),
        Event(7000, "kill", [second]),
        Event(20_000, "start", [first]),
        Event(22_000, "start", [second]),
        Event(40_000, "mend"),
    ]


def _one_way(draw: random.Random, names: list[str]) -> list[Event]:
    """For 20 s the others receive nothing from a third, which still receives from them."""
    chosen, rest = _split(draw, names, 0.34)
    return [Event(0, "cut one way", chosen, rest), Event(20_000, "mend")]


def _pair_cut(draw: random.Random, names: list[str]) -> list[Event]:
    """Two are cut off from each other, but not from the rest: no member may be declared failed."""
    one, other = draw.sample(names, 2)
    return [Event(0, "cut", [one], [other]), Event(40_000, "mend")]


def _flapping(draw: random.Random, names: list[str]) -> list[Event]:
    """The links of a fifth go down and up every 500 ms, for 20 s."""
    chosen, rest = _split(draw, names, 0.2)
    return [
        event
        for start_ms in range(0, 20_000, 1000)
        for event in (Event(start_ms, "cut", chosen, rest), Event(start_ms + 500, "mend"))
    ]


def _stopped(draw: random.Random, names: list[str]) -> list[Event]:
    """A fifth is stopped (SIGSTOP) for 5 s."""
    chosen, _ = _split(draw, names, 0.2)
    return [Event(0, "stop", chosen), Event(5000, "go on", chosen)]


def _stalled(draw: random.Random, names: list[str]) -> list[Event]:
    """For 30 s a tenth runs only one second in three."""
    chosen, _ = _split(draw, names, 0.1)
    return [Event(0, "starve", chosen, number=2000), Event(30_000, "feed", chosen)]


def _one_isolated(draw: random.Random, names: list[str]) -> list[Event]:
    """One member is cut off from all others for a minute: it may not declare them failed."""
    one = draw.choice(names)
    return [Event(0, "cut", [one], [name for name in names if name != one]), Event(60_000, "mend")]


def _lost_folder(draw: random.Random, names: list[str]) -> list[Event]:
    """One member is killed twice, so that the others know a later life; then it starts without its folder."""
    one = draw.choice(names)
    return [
        Event(0, "kill", [one]),
        Event(500, "start", [one]),
        Event(5000, "kill", [one]),
        Event(5500, "start anew", [one]),
    ]


def _old_folder(draw: random.Random, names: list[str]) -> list[Event]:
    """One member starts from a copy of its folder that is older than its last lives."""
    one = draw.choice(names)
    return [
        Event(0, "kill", [one]),
        Event(500, "start", [one]),
        Event(4000, "kill", [one]),
        Event(4500, "start", [one]),
        Event(9000, "kill", [one]),
        Event(9500, "start from", [one], number=1),
    ]


def _clock_jump(draw: random.Random, names: list[str]) -> list[Event]:
    """The clocks of a fifth jump ahead by half a minute."""
    chosen, _ = _split(draw, names, 0.2)
    return [Event(draw.randrange(1000), "clock ahead", [name], number=30_000) for name in chosen]


def _leaving(draw: random.Random, names: list[str]) -> list[Event]:
    """A third leaves (SIGTERM) and starts again."""
    chosen, _ = _split(draw, names, 0.34)
    return [Event(draw.randrange(1000), "leave", [name]) for name in chosen] + [
        Event(5000 + draw.randrange(1000), "start", [name]) for name in chosen
    ]


def _seeds_killed(draw: random.Random, names: list[str]) -> list[Event]:
    """All seeds are killed; another member restarts and rejoins by the addresses stored in its folder."""
    one = draw.choice(names[3:] or names[1:])
    return [Event(0, "kill", names[:3]), Event(20_000, "kill", [one]), Event(21_000, "start", [one])]


def _new_secret(draw: random.Random, names: list[str]) -> list[Event]:
    """Half sign with the previous secret and switch to the new one at random times; one member restarts meanwhile."""
    one = draw.choice(names)
    return [Event(0, "kill", [one]), Event(2000, "start", [one])] + [
        Event(draw.randrange(20_000), "turn up", [name]) for name in names[::2]
    ]


KINDS: dict[str, Callable[[random.Random, list[str]], list[Event]]] = {
    "seven in ten killed": _most_killed,
    "a third cut for 6 s": _third_cut,
    "a third cut for a minute": _third_cut_long,
    "halves": _halves,
    "one way": _one_way,
    "a pair apart": _pair_cut,
    "flapping": _flapping,
    "stopped for 5 s": _stopped,
    "starved": _stalled,
    "one alone": _one_isolated,
    "lost folder": _lost_folder,
    "old folder": _old_folder,
    "clock ahead": _clock_jump,
    "leaving": _leaving,
    "seeds die": _seeds_killed,
    "new secret": _new_secret,
}


def generate_schedule(kind: str, seed: int, members: int, base: LinkConditions | None = None) -> Schedule:
    """A schedule of a kind. With odd seeds, half of the relays use the previous version of the frames."""
    draw, names = random.Random(f"{kind}/{seed}/{members}"), _names(members)
    events = sorted(KINDS[kind](draw, names), key=lambda event: event.at_ms)
    if base is None:
        base = LinkConditions(
            loss=draw.choice((0.0, 0.02, 0.05)),
            burst=draw.choice((1.0, 3.0)),
            delay_ms=draw.choice((0.0, 20.0)),
            jitter_ms=draw.choice((2.0, 60.0)),
            doubles=draw.choice((0.0, 0.02)),
            damage=draw.choice((0.0, 0.002)),
        )
    return Schedule(
        kind,
        seed,
        members,
        events,
        base,
        old_frames=names[1::2] if seed % 2 else [],
        old_secret=names[::2] if kind == "new secret" else [],
    )
