"""Every order in which requests, answers, clock steps, writes and restarts can meet at three controllers and two relays
that want one partition, to the end of the bounds below.

What runs is `Controller` and `Holder`, but for one thing: which request a relay sends next, when it gives up waiting for
an answer and when it begins a new round is any that could be, and not its own choice. A request and its answer arrive in
the step in which the request was sent, or, as often as the bounds allow, in any later one or never, perhaps twice. What
is written is durable at once, or not at all: a crash before is a request that was lost, one behind it an answer that was
lost. Time is counted in steps: a lease is 2; where clocks differ it is 4 and a relay counts on 2 of them, since one clock
may be a step ahead and another a step behind. Controllers that nothing has happened to are alike, so the first of them
stands for all; so are the relays until the first begins. Moments that are past for good are one.

    python -m tests.fleet.leases.explore            # each planted fault with its shortest trace, and all orders
"""

from __future__ import annotations

import copy
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

import msgspec

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.messages import (
    Answer,
    Message,
    ReadRecords,
    Record,
    Records,
    Release,
    Renew,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from tests.fleet.leases.asked import (
    BOOTS,
    DRAW,
    RELAYS,
    UNHEARD,
    Asked,
    Bounds,
    Kinds,
    age_controller,
    age_relay,
    freeze,
)


class World(NamedTuple):
    """One state. Controllers, relays and messages are numbers among those that were met."""

    time: int
    skews: tuple[int, ...]  # of the clocks of controllers and relays
    controllers: tuple[int, ...]
    folders: tuple[tuple[Record, ...], ...]  # what stood there, the latest last
    relays: tuple[int, ...]
    # Whether of an earlier step, to whom (relays stand behind controllers), and what:
    flying: tuple[tuple[bool, int, int], ...]
    past: tuple[int, Session | None]  # the highest epoch of an owner, and who it was
    bounds: Bounds  # what is left of them


class BrokenError(Exception):
    """A property does not hold."""


class Explorer:
    """One run over all orders.

    Controllers and relays that are alike are one, and what becomes of one is worked out once.
    """

    def __init__(self, bounds: Bounds, kinds: Kinds = Kinds()) -> None:  # noqa: B008
        self.kinds = kinds
        self.met: list[Controller | Asked] = []
        self.messages: list[Message | list[Record]] = []
        self._numbers: dict[Any, int] = {}
        self._message_numbers: dict[bytes, int] = {}
        self._made: dict[Any, tuple[int, tuple[Any, ...]]] = {}
        self._owns: dict[tuple[int, int], int] = {}
        self._could: dict[int, tuple[tuple[int, str], ...]] = {}
        self.states = self.steps = 0
        self.first = World(
            0,
            (0,) * 5,
            tuple(self.number(self._ready(number)) for number in range(3)),
            ((UNHEARD,),) * 3,
            tuple(self.number(self._relay(name, 1)) for name in RELAYS),
            (),
            (0, None),
            bounds,
        )

    def run(self) -> tuple[str, list[str]] | None:
        """Breadth first: the first property that breaks, with its shortest trace; None where all hold."""
        came: dict[World, tuple[World, str] | None] = {self.first: None}
        waiting = deque([self.first])
        while waiting:
            world = waiting.popleft()
            self.states += 1
            text = ""
            try:
                for text, move in self.moves(world):
                    self.steps += 1
                    after = self.judged(move())
                    if after not in came:
                        came[after] = (world, text)
                        waiting.append(after)
            except BrokenError as broken:
                trace, back = [text], came[world]
                while back is not None:
                    trace.insert(0, back[1])
                    back = came[back[0]]
                return str(broken), trace
        return None

    # ---- components

    def _ready(self, number: int) -> Controller:
        """A controller with an initialized folder whose wait is over."""
        controller = self.kinds.controller(number, BOOTS, self.kinds.settings, [], -self.kinds.settings.lease, False)
        for effect in controller.tick(0):
            assert isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords)
            controller.receive(0, Records(effect.controller, 1, effect.message.number, [], -1))
        assert controller.ready
        return controller

    def _relay(self, name: str, process: int) -> Asked:
        return self.kinds.holder(Session(name, process), self.kinds.settings, DRAW)

    def number(self, component: Controller | Asked) -> int:
        """Its number: the same for all that are alike."""
        key = type(component), getattr(component, "session", None), freeze(component)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self.met)
            self.met.append(component)
        return number

    def message(self, message: Any) -> int:
        """The number of a message, or of records."""
        key = msgspec.json.encode((type(message).__name__, message))
        number = self._message_numbers.get(key)
        if number is None:
            number = self._message_numbers[key] = len(self.messages)
            self.messages.append(message)
        return number

    def after(self, before: int, what: tuple[Any, ...], change: Callable[[Any], Any]) -> tuple[int, tuple[Any, ...]]:
        """What becomes of a component, and the effects."""
        key = before, *what
        made = self._made.get(key)
        if made is None:
            old = self.met[before]
            component = copy.deepcopy(old, {id(each): each for each in (self.kinds.settings, DRAW, old.event_counts)})
            effects = change(component) or ()
            made = self._made[key] = self.number(component), tuple(effects)
        return made

    # ---- what may happen

    def moves(self, world: World) -> Iterator[tuple[str, Callable[[], World]]]:
        """Every next state."""
        left = world.bounds
        for place, (old, to, message) in enumerate(world.flying):
            if old:
                rest = (*world.flying[:place], *world.flying[place + 1 :])
                yield from self.arrivals(world, to, message, rest)
        for number in range(len(RELAYS)):
            yield from self.relay_moves(world, number)
        for number in range(3):
            yield from self.controller_moves(world, number)
        if left.time:
            yield "a step passes", lambda: self.passes(world, None, 1)
            for clock in range(5):
                if left.ahead:
                    yield f"two steps by {_clock(clock)}'s clock", partial(self.passes, world, clock, 2)
                if left.behind:
                    yield f"a step, none by {_clock(clock)}'s clock", partial(self.passes, world, clock, 0)

    def arrivals(
        self, world: World, to: int, message: int, rest: tuple[tuple[bool, int, int], ...]
    ) -> Iterator[tuple[str, Callable[[], World]]]:
        """How a message of an earlier step may arrive."""
        left, name = world.bounds, self.name(message, to)
        is_request = to < 3 and not isinstance(self.messages[message], ReadRecords | Records)
        for hops, text in ((0, ", its answer is on its way"), (1, "")) if is_request and left.late else ((1, ""),):
            yield (
                f"arrives: {name}{text}",
                partial(self.arrives, world._replace(flying=rest), to, message, hops),
            )
            if left.doubles:
                spent = world._replace(bounds=left._replace(doubles=left.doubles - 1))
                yield (
                    f"arrives, and will again: {name}{text}",
                    partial(self.arrives, spent, to, message, hops),
                )

    def relay_moves(self, world: World, number: int) -> Iterator[tuple[str, Callable[[], World]]]:
        """What a relay may do."""
        left, name = world.bounds, RELAYS[number]
        relay = self.met[world.relays[number]]
        assert isinstance(relay, Asked)
        if left.requests:
            spent = world._replace(bounds=left._replace(requests=left.requests - 1))
            could = self._could.get(world.relays[number])
            if could is None:
                could = tuple((to, kind) for to in range(3) for kind in relay.kinds(to))
                self._could[world.relays[number]] = could
            fresh = self.fresh(world)
            for to, kind in could:
                if to not in fresh[1:]:
                    yield from self.requests(spent, number, to, kind)
            if left.rounds and (number == 0 or self.met[world.relays[0]].epoch):  # type: ignore[union-attr]
                anew = spent._replace(bounds=spent.bounds._replace(rounds=left.rounds - 1))
                for to in range(3):
                    if to not in fresh[1:]:
                        for kind in ("begins a round at", "begins a round, one higher, at")[: 1 + (number > 0)]:
                            yield from self.requests(anew, number, to, kind)
        if left.relay_restarts:
            process = relay.session.number + 1
            yield (
                f"{name} starts again",
                lambda: world._replace(
                    relays=_with(world.relays, number, self.number(self._relay(name, process))),
                    bounds=left._replace(relay_restarts=left.relay_restarts - 1),
                ),
            )

    def controller_moves(self, world: World, number: int) -> Iterator[tuple[str, Callable[[], World]]]:
        """Restarts."""
        left, folder = world.bounds, world.folders[number]
        if number in self.fresh(world)[1:]:
            return
        if left.restarts:
            yield f"C{number} starts again", lambda: self.starts(world, number, folder, folder[-1], "restarts")
        if left.old_folders:
            for old in folder[:-1]:
                yield (
                    f"C{number} starts again with an old folder: epoch {old.epoch}",
                    partial(self.starts, world, number, folder, old, "old_folders"),
                )
        if left.lost_folders:
            yield (
                f"C{number} starts again without its folder",
                lambda: self.starts(world, number, (), None, "lost_folders"),
            )

    def fresh(self, world: World) -> list[int]:
        """Controllers that nothing has happened to."""
        asked = {to for _, to, _ in world.flying}
        return [
            number
            for number in range(3)
            if world.controllers[number] == self.first.controllers[number]
            and not world.skews[number]
            and number not in asked
        ]

    def requests(self, world: World, number: int, to: int, kind: str) -> Iterator[tuple[str, Callable[[], World]]]:
        """A request, and how far it comes within the step."""
        left, text = world.bounds, f"{RELAYS[number]} {kind} C{to}"
        yield text, lambda: self.relay_asks(world, number, to, kind, 2)
        if left.late:
            late = world._replace(bounds=left._replace(late=left.late - 1))
            yield f"{text}, which does not hear it yet", lambda: self.relay_asks(late, number, to, kind, 0)
            yield f"{text}, its answer is on its way", lambda: self.relay_asks(late, number, to, kind, 1)
        if left.failed_writes:
            full = world._replace(bounds=left._replace(failed_writes=left.failed_writes - 1))
            yield f"{text}, whose disk is full", lambda: self.relay_asks(full, number, to, kind, 2, True)

    def relay_asks(self, world: World, number: int, to: int, kind: str, hops: int, full: bool = False) -> World:
        """A request; ``hops``: 0: it is on its way, 1: it is heard, 2: and answered."""

        def ask(made: Asked, now: int) -> list[SendToController]:
            return [SendToController(to, made.ask(now, to, kind))]  # type: ignore[arg-type]

        return self.relay_does(world, number, (kind, to), ask, hops, full)

    def relay_does(
        self,
        world: World,
        number: int,
        what: tuple[Any, ...],
        change: Callable[[Asked, int], Any],
        hops: int = 0,
        full: bool = False,
    ) -> World:
        """An act of a relay."""
        now = world.time + world.skews[3 + number]
        after, effects = self.after(world.relays[number], (*what, now), lambda made: change(made, now))
        world = world._replace(relays=_with(world.relays, number, after))
        return self.carried_out(world, effects, -1, hops, full)

    def controller_does(
        self,
        world: World,
        number: int,
        what: tuple[Any, ...],
        change: Callable[[Controller, int], Any],
        hops: int = 0,
        full: bool = False,
    ) -> World:
        """Something that happens at a controller."""
        now = world.time + world.skews[number]
        after, effects = self.after(world.controllers[number], (*what, now), lambda made: change(made, now))
        world = world._replace(controllers=_with(world.controllers, number, after))
        return self.carried_out(world, effects, number, hops, full)

    def arrives(self, world: World, to: int, message: int, hops: int, full: bool = False) -> World:
        """A message reaches whoever is there now; with a hop left, what it causes arrives too."""
        said: Any = self.messages[message]
        what = "hears", message
        if to < 3:
            return self.controller_does(world, to, what, lambda made, now: made.receive(now, said), hops, full)
        number, process = (to - 3) % len(RELAYS), (to - 3) // len(RELAYS)
        relay = self.met[world.relays[number]]
        assert isinstance(relay, Asked)
        if relay.session.number != process:
            return world
        return self.relay_does(world, number, what, lambda made, now: made.receive(now, said))

    def writes(self, world: World, number: int, write: WriteRecords, hops: int, full: bool) -> World:
        """Records become durable, or don't."""
        ticket = write.ticket
        if full:
            return self.controller_does(
                world, number, ("not written", ticket), lambda made, now: made.not_written(now, ticket, "full"), hops
            )
        for record in write.records:
            world = world._replace(folders=_with(world.folders, number, _latest(world.folders[number], record)))
        return self.controller_does(world, number, ("written", ticket), lambda made, now: made.written(now, ticket), hops)

    def starts(self, world: World, number: int, folder: tuple[Record, ...], found: Record | None, bound: str) -> World:
        """A new process of a controller."""
        old = self.met[world.controllers[number]]
        assert isinstance(old, Controller)
        now = world.time + world.skews[number]
        boot = (old.boot // BOOTS + 1) * BOOTS
        records = [found] if found is not None and found.epoch else []
        made = self.kinds.controller(number, boot, self.kinds.settings, records, now, found is None)
        world = world._replace(
            controllers=_with(world.controllers, number, self.number(made)),
            folders=_with(world.folders, number, _latest(folder, found or UNHEARD)),
            bounds=world.bounds._replace(**{bound: getattr(world.bounds, bound) - 1}),
        )
        return self.controller_does(world, number, ("tick",), lambda made, now: made.tick(now))

    def passes(self, world: World, clock: int | None, steps: int) -> World:
        """Time passes; one clock may make more steps or none."""
        left, skews = world.bounds, world.skews
        if clock is not None:
            skews = _with(skews, clock, skews[clock] + steps - 1)
            left = left._replace(ahead=left.ahead - (steps == 2), behind=left.behind - (steps == 0))
        world = world._replace(time=world.time + 1, skews=skews, bounds=left._replace(time=left.time - 1))
        world = world._replace(flying=tuple(sorted((True, to, message) for _, to, message in world.flying)))
        for number in range(3):
            controller = self.met[world.controllers[number]]
            if not controller.ready:  # type: ignore[union-attr]
                world = self.controller_does(world, number, ("tick",), lambda made, now: made.tick(now))
            world = self.controller_does(world, number, ("ages",), age_controller)
        for number in range(len(RELAYS)):
            world = self.relay_does(world, number, ("ages",), age_relay)
        return world

    def carried_out(self, world: World, effects: tuple[Any, ...], controller: int, hops: int, full: bool) -> World:
        """Effects become messages, on their way or with a hop left arriving at once, and records."""
        for effect in effects:
            match effect:
                case SendToController(to, message):
                    if isinstance(message, ReadRecords) and self._reads(world, to, message):
                        continue  # one at a time is on its way: the other is lost
                    world = self.sent(world, to, message, hops, full, isinstance(message, ReadRecords | Records))
                case SendToRelay(session, answer):
                    self.said(world, controller, session, answer)
                    to = 3 + RELAYS.index(session.relay) + len(RELAYS) * session.number
                    world = self.sent(world, to, answer, hops, False, False)
                case WriteRecords():
                    world = self.writes(world, controller, effect, hops, full)
        return world

    def sent(self, world: World, to: int, message: Message, hops: int, full: bool, any_time: bool) -> World:
        """A message of a relay or a controller."""
        number = self.message(message)
        if hops:
            return self.arrives(world, to, number, hops - 1, full)
        return world._replace(flying=_put(world.flying, (any_time, to, number)))

    def alive(self, world: World, to: int, message: int) -> bool:
        """Whether a message can still change anything. Numbers rise, so one that was passed never counts again."""
        said = self.messages[message]
        if isinstance(said, Answer):
            relay = self.met[world.relays[(to - 3) % len(RELAYS)]]
            assert isinstance(relay, Asked)
            request = relay._links[said.controller].request
            same = relay.session.number == (to - 3) // len(RELAYS)
            return same and request is not None and request.message.number == said.number
        if isinstance(said, Records):
            recovery = self.met[world.controllers[to]]._recovery  # type: ignore[union-attr]
            return recovery is not None and recovery.sources[said.controller].number == said.number
        return True

    def _reads(self, world: World, to: int, message: ReadRecords) -> bool:
        return any(
            receiver == to and isinstance(said := self.messages[number], ReadRecords) and said.boot == message.boot
            for _, receiver, number in world.flying
        )

    def name(self, message: int, to: int) -> str:
        """Of a message, for the trace."""
        said = self.messages[message]
        receiver = f"C{to}" if to < 3 else RELAYS[(to - 3) % len(RELAYS)]
        match said:
            case Answer():
                what = f"C{said.controller}'s answer {said.number}"
                what += "" if said.accepted else " (not accepted)"
                what += " (granted)" if said.granted else " (refused)" if said.refused else ""
            case ReadRecords() | Records():
                what = f"C{said.controller}'s {type(said).__name__}"
            case Renew() | Release():
                what = f"{said.session.relay}'s {type(said).__name__} {said.number}"
            case _:
                what = f"{said.session.relay}'s Acquire {said.number}, epoch {said.grants[0].epoch}"  # type: ignore[union-attr]
        return f"{what} at {receiver}"

    # ---- what has to hold

    def said(self, world: World, controller: int, session: Session, answer: Answer) -> None:
        """A grant that is said is on record."""
        for grant in answer.granted if answer.accepted else []:
            record = world.folders[controller][-1]
            same = record.epoch == grant.epoch and (record.relay, record.session) == session
            if not same and record.epoch <= grant.epoch:
                raise BrokenError(f"C{controller} says a grant that is not on record")

    def judged(self, world: World) -> World:
        """Never two owners; an owner's epoch is higher than that of each owner before."""
        owners = []
        for number, relay in enumerate(world.relays):
            epoch = self.owns(relay, world.time + world.skews[3 + number])
            if epoch:
                owners.append((epoch, self.met[relay].session))  # type: ignore[union-attr]
        if len(owners) > 1:
            raise BrokenError("two relays own it at one time")
        for epoch, session in owners:
            highest, who = world.past
            if epoch < highest or (epoch == highest and session != who):
                raise BrokenError(f"it is owned in epoch {epoch}, and was by another in epoch {highest}")
            world = world._replace(past=(epoch, session))
        if self.kinds.numbers and world.flying:
            world = world._replace(flying=tuple(each for each in world.flying if self.alive(world, each[1], each[2])))
        return world

    def owns(self, relay: int, now: int) -> int:
        """The epoch in which a relay owns the partition; 0: it does not."""
        key = relay, now
        epoch = self._owns.get(key)
        if epoch is None:
            holder = self.met[relay]
            assert isinstance(holder, Asked)
            ownership = holder.ownership(0, now)
            epoch = self._owns[key] = ownership.epoch if ownership else 0
        return epoch


def _with(values: tuple[Any, ...], place: int, value: Any) -> tuple[Any, ...]:
    return (*values[:place], value, *values[place + 1 :])


def _put(values: tuple[Any, ...], value: Any) -> tuple[Any, ...]:
    return tuple(sorted((*values, value)))


def _latest(folder: tuple[Record, ...], record: Record) -> tuple[Record, ...]:
    """The folder's history with a record as its latest; each stands there once."""
    return (*(each for each in folder if each != record), record)


def _clock(number: int) -> str:
    return f"C{number}" if number < 3 else RELAYS[number - 3]


def explore(names: list[str]) -> bool:
    """Prints the table; whether each fault was found and nothing else."""
    from tests.fleet.leases.planted import ALL_HOLDS, PLANTED

    good = True
    print(f"{'planted fault':<40}{'states':>9}{'steps':>9}{'seconds':>9}  found")
    for planted in PLANTED:
        if names and planted.name not in names:
            continue
        for kinds, expected in ((planted.kinds, True), (planted.plain, False)):
            began, explorer = time.perf_counter(), Explorer(planted.bounds, kinds)
            broken = explorer.run()
            good &= (broken is not None) == expected
            name = planted.name if expected else "  without it, to the end"
            spent = time.perf_counter() - began
            text = broken[0] if broken else "all properties hold"
            print(f"{name:<40}{explorer.states:>9}{explorer.steps:>9}{spent:>9.1f}  {text}", flush=True)
            for number, step in enumerate(broken[1] if broken else (), 1):
                print(f"    {number}. {step}")
    for name, kinds, bounds in ALL_HOLDS:
        if names and name not in names:
            continue
        began, explorer = time.perf_counter(), Explorer(bounds, kinds)
        broken = explorer.run()
        good &= broken is None
        spent, text = time.perf_counter() - began, "all properties hold" if broken is None else str(broken)
        print(f"{name:<40}{explorer.states:>9}{explorer.steps:>9}{spent:>9.1f}  {text}", flush=True)
    return good


if __name__ == "__main__":
    from tests.fleet.leases import explore as module  # as the planted faults import it

    sys.exit(0 if module.explore(sys.argv[1:]) else 1)
