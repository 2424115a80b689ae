"""What happens to a fleet in the driven clock, as data: drawn by kind and seed, played, kept where it fails, replayed.

A play looks on at every step: whatever the links do, what is listed under ``Watch`` holds; and once the last fault is
over, all that live have to come to one view within a stated time.
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
    """One thing that happens."""

    at_ms: Annotated[int, Meta(ge=0)]
    step: Step
    who: list[str] = []
    others: list[str] = []  # the far side of a cut
    number: int = 0  # an old life; milliseconds of a pause or a jump


class Schedule(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """A whole play."""

    kind: str
    seed: int
    members: Annotated[int, Meta(ge=2, le=1000)]
    events: list[Event]
    base: LinkConditions = LinkConditions()
    old_frames: list[str] = []  # these speak version 1 only
    old_secret: list[str] = []  # these sign with the secret of before
    seeds: int = 3
    within_ms: int = 120_000  # one view so long after the last event, or the play has failed
    running: list[str] = []  # at the beginning; empty: all


class Outcome(msgspec.Struct, frozen=True):
    """What came of it. Milliseconds after the last event; None: not within the time."""

    one_view_ms: int | None
    all_current_ms: int | None  # until all that live hold no life that is over for one that is there
    failure_verdicts: int
    false_failures: int  # of them, lives whose process was there
    problems: list[str]

    @property
    def failed(self) -> bool:
        """Whether something does not hold."""
        return bool(self.problems) or self.one_view_ms is None


class Watch:
    """What holds at every moment, looked at whenever a relay has done something.

    - a life that a relay holds for over is never again in its view;
    - a relay that is settled has a name, has joined, and holds nobody for suspect;
    - a relay's own word is never older than one that it has given before;
    - a relay that is alone judges nobody.
    """

    def __init__(self, world: FleetSimulation) -> None:
        self.problems: list[str] = []
        self._world = world
        self._over: dict[tuple[str, int], dict[str, Identity]] = {}
        self._own: dict[tuple[str, int], tuple[int, ...]] = {}
        self._alone: dict[tuple[str, int], int] = {}  # judgements when it came to be alone

    def look(self, node: Node) -> None:
        """After an event at a node."""
        members = node.members
        if members is None:
            return
        key = node.name, node.process
        rank = members.local.claim.rank
        if rank < self._own.get(key, ()):
            self._say(node, "its word on itself went back")
        self._own[key] = rank
        over = self._over.setdefault(key, {})
        for name, member in members.table.gone.items():
            if over.get(name, Identity(0, 0)) < member.claim.identity:
                over[name] = member.claim.identity
        if over:
            for name, identity in over.items():
                held = members.table.members.get(name)
                if held is not None and held.claim.identity <= identity:
                    self._say(node, f"{name} life {identity.life} is back in its view")
        if members.condition is Condition.SETTLED and (
            members.local_view.suspects or not members.joined or not members.local.active
        ):
            self._say(node, "it is settled, and has reason to doubt")

        if members.condition is not Condition.ALONE:
            self._alone.pop(key, None)
        elif members.local_view.counters.failed > self._alone.setdefault(key, members.local_view.counters.failed):
            self._say(node, "it is alone, and judges others")

    def _say(self, node: Node, text: str) -> None:
        if len(self.problems) < 20:
            self.problems.append(f"{self._world.now / SECOND:.3f} s {node.name}: {text}")


def run_schedule(
    schedule: Schedule, settings: Settings | None = None, prepare: Callable[[FleetSimulation], None] = lambda world: None
) -> Outcome:
    """The outcome. The first twenty seconds are for coming to one view; ``at_ms`` counts from then."""
    world = FleetSimulation(
        schedule.members,
        settings or Settings(),
        f"{schedule.kind}/{schedule.seed}",
        schedule.base,
        schedule.seeds,
        versions=lambda number: 1 if f"n{number}" in schedule.old_frames else 2,
    )
    for name in schedule.old_secret:
        world.nodes[name].old_secret = True
    watch = Watch(world)
    world.after_effects = watch.look
    prepare(world)
    draw = random.Random(f"{schedule.kind}/{schedule.seed}/starts")
    for name in schedule.running or list(world.nodes):
        world.at(draw.randrange(SECOND), lambda name=name: world.start(name))  # type: ignore[misc]
    start = 20 * SECOND
    for event in schedule.events:
        world.at(start + event.at_ms * MS, lambda event=event: _do(world, event))  # type: ignore[misc]
    last = start + max((event.at_ms for event in schedule.events), default=0) * MS
    world.run(last)
    end = last + schedule.within_ms * MS
    knows: list[int] = []

    def done() -> bool:
        if not knows and all_current(world):
            knows.append(world.now)
        return bool(knows) and world.one_view() and all_current(world)

    settled = world.run(end, done)
    return Outcome(
        (world.now - last) // MS if settled else None,
        (knows[0] - last) // MS if knows else None,
        len(world.failures),
        sum(alive for *_, alive in world.failures),
        watch.problems,
    )


def all_current(world: FleetSimulation) -> bool:
    """Whether nobody that lives holds a life that is over for one that is there."""
    there = {node.name: node.members.local.claim.identity for node in world.live() if node.members is not None}

    def knows(members: Membership) -> bool:
        return all(
            there.get(name) == member.claim.identity and member.claim.status is not Status.SUSPECT
            for name, member in members.table.members.items()
        )

    return all(node.members is not None and knows(node.members) for node in world.live())


def _do(world: FleetSimulation, event: Event) -> None:
    for name in event.who:
        node = world.nodes[name]
        match event.step:
            case "start":
                world.start(name)
            case "start anew":
                world.start(name, lost_folder=True)
            case "start from":
                world.start(name, folder=event.number)
            case "kill":
                world.kill(name)
            case "leave":
                world.leave(name)
            case "stop":
                world.stop(name)
            case "go on":
                world.go_on(name)
            case "starve":
                node.stall = Stall(3 * event.number * MS // 2, event.number * MS)
            case "feed":
                node.stall = None
            case "clock ahead":
                world.clock_ahead(name, event.number * MS)
            case "turn up":
                node.old_secret = False
    if event.step == "cut":
        world.links.set_rule("cut", between(event.who, event.others), LinkConditions(cut=True))
    elif event.step == "cut one way":
        world.links.set_rule("cut", between(event.who, event.others, True), LinkConditions(cut=True))
    elif event.step == "mend":
        world.links.remove_rule("cut")


# ---- kinds


def _names(count: int) -> list[str]:
    return [f"n{number}" for number in range(1, count + 1)]


def _part(draw: random.Random, names: list[str], share: float) -> tuple[list[str], list[str]]:
    some = draw.sample(names, max(1, round(len(names) * share)))
    return sorted(some), [name for name in names if name not in some]


def _seven_in_ten(draw: random.Random, names: list[str]) -> list[Event]:
    """Killed within a second, back with their folders ten seconds later."""
    some, _ = _part(draw, names, 0.7)
    gone = [Event(draw.randrange(1000), "kill", [name]) for name in some]
    return gone + [Event(10_000 + draw.randrange(1000), "start", [name]) for name in some]


def _third_cut(draw: random.Random, names: list[str]) -> list[Event]:
    """A third is cut off for 6 s."""
    some, rest = _part(draw, names, 0.34)
    return [Event(0, "cut", some, rest), Event(6000, "mend")]


def _third_cut_long(draw: random.Random, names: list[str]) -> list[Event]:
    """The same for a minute: each side judges the other."""
    some, rest = _part(draw, names, 0.34)
    return [Event(0, "cut", some, rest), Event(60_000, "mend")]


def _halves(draw: random.Random, names: list[str]) -> list[Event]:
    """Two halves for 40 s, and a kill and a new life in each meanwhile."""
    some, rest = _part(draw, names, 0.5)
    first, second = draw.choice(some), draw.choice(rest)
    return [
        Event(0, "cut", some, rest),
        Event(5000, "kill", [first]),
        Event(7000, "kill", [second]),
        Event(20_000, "start", [first]),
        Event(22_000, "start", [second]),
        Event(40_000, "mend"),
    ]


def _one_way(draw: random.Random, names: list[str]) -> list[Event]:
    """A third is not heard by the others, and hears them, for 20 s."""
    some, rest = _part(draw, names, 0.34)
    return [Event(0, "cut one way", some, rest), Event(20_000, "mend")]


def _pair(draw: random.Random, names: list[str]) -> list[Event]:
    """Two that can't hear each other, while both hear all others: nobody may be judged."""
    one, other = draw.sample(names, 2)
    return [Event(0, "cut", [one], [other]), Event(40_000, "mend")]


def _flapping(draw: random.Random, names: list[str]) -> list[Event]:
    """The links of a few go and come, 500 ms each, for 20 s."""
    some, rest = _part(draw, names, 0.2)
    return [
        event
        for begins in range(0, 20_000, 1000)
        for event in (Event(begins, "cut", some, rest), Event(begins + 500, "mend"))
    ]


def _stopped(draw: random.Random, names: list[str]) -> list[Event]:
    """Stopped for 5 s."""
    some, _ = _part(draw, names, 0.2)
    return [Event(0, "stop", some), Event(5000, "go on", some)]


def _starved(draw: random.Random, names: list[str]) -> list[Event]:
    """A tenth runs for a third of the time, in pieces of a second, for 30 s."""
    some, _ = _part(draw, names, 0.1)
    return [Event(0, "starve", some, number=2000), Event(30_000, "feed", some)]


def _alone(draw: random.Random, names: list[str]) -> list[Event]:
    """One hears nobody for a minute: it may not judge all others."""
    one = draw.choice(names)
    return [Event(0, "cut", [one], [name for name in names if name != one]), Event(60_000, "mend")]


def _lost_folder(draw: random.Random, names: list[str]) -> list[Event]:
    """Killed twice, so that the others know a later life; then it comes without its folder."""
    one = draw.choice(names)
    return [
        Event(0, "kill", [one]),
        Event(500, "start", [one]),
        Event(5000, "kill", [one]),
        Event(5500, "start anew", [one]),
    ]


def _old_folder(draw: random.Random, names: list[str]) -> list[Event]:
    """Restored from a copy of before its last lives."""
    one = draw.choice(names)
    return [
        Event(0, "kill", [one]),
        Event(500, "start", [one]),
        Event(4000, "kill", [one]),
        Event(4500, "start", [one]),
        Event(9000, "kill", [one]),
        Event(9500, "start from", [one], number=1),
    ]


def _clock(draw: random.Random, names: list[str]) -> list[Event]:
    """Clocks of a few jump ahead by half a minute."""
    some, _ = _part(draw, names, 0.2)
    return [Event(draw.randrange(1000), "clock ahead", [name], number=30_000) for name in some]


def _leaving(draw: random.Random, names: list[str]) -> list[Event]:
    """A third leaves, and comes back."""
    some, _ = _part(draw, names, 0.34)
    return [Event(draw.randrange(1000), "leave", [name]) for name in some] + [
        Event(5000 + draw.randrange(1000), "start", [name]) for name in some
    ]


def _seeds_die(draw: random.Random, names: list[str]) -> list[Event]:
    """All seeds are killed; another comes back by the places that its folder keeps."""
    one = draw.choice(names[3:] or names[1:])
    return [Event(0, "kill", names[:3]), Event(20_000, "kill", [one]), Event(21_000, "start", [one])]


def _new_secret(draw: random.Random, names: list[str]) -> list[Event]:
    """Half sign with the secret of before; they turn to the new one at moments of their own, one is killed meanwhile."""
    one = draw.choice(names)
    return [Event(0, "kill", [one]), Event(2000, "start", [one])] + [
        Event(draw.randrange(20_000), "turn up", [name]) for name in names[::2]
    ]


KINDS: dict[str, Callable[[random.Random, list[str]], list[Event]]] = {
    "seven in ten killed": _seven_in_ten,
    "a third cut for 6 s": _third_cut,
    "a third cut for a minute": _third_cut_long,
    "halves": _halves,
    "one way": _one_way,
    "a pair apart": _pair,
    "flapping": _flapping,
    "stopped for 5 s": _stopped,
    "starved": _starved,
    "one alone": _alone,
    "lost folder": _lost_folder,
    "old folder": _old_folder,
    "clock ahead": _clock,
    "leaving": _leaving,
    "seeds die": _seeds_die,
    "new secret": _new_secret,
}


def generate_schedule(kind: str, seed: int, members: int, base: LinkConditions | None = None) -> Schedule:
    """A schedule of a kind. Half of the seeds have half of the relays on the frames of before."""
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
