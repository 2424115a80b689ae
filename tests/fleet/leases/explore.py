"""Explores every order of requests, answers, clock steps, writes and restarts of three controllers and two relays.

The relays compete for one partition. The exploration is complete within the bounds given.

``Controller`` and ``Holder`` run unchanged but for one thing: which request a relay sends next, when it stops waiting
for an answer and when it starts a new round is not its own decision; every possibility is tried. A request and its answer
arrive in the step in which the request was sent, or, as often as the bounds allow, in any later step or never, and
perhaps twice. A write is durable at once or fails: a crash before it equals a lost request, a crash after it a lost
answer. Time is counted in steps. A lease is 2 steps; where clocks differ it is 4 and a relay counts on 2 of them, since
one clock may be a step ahead and another a step behind.

To reduce the number of states, the first of the controllers to which nothing has happened yet stands for all of them, and
the first relay for both until one starts. All times that can no longer matter are equal.

    python -m tests.fleet.leases.explore            # each injected fault with its shortest trace, and the other cases
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
from tests.fleet.leases.scripted_relay import (
    BOOT_STEP,
    NO_RECORD,
    RANDOM,
    RELAYS,
    Bounds,
    ScriptedHolder,
    Variant,
    age_controller,
    age_relay,
    freeze,
)


class State(NamedTuple):
    """One state. Controllers, relays and messages are given by their indices in ``Explorer``."""

    time: int
    skews: tuple[int, ...]  # of the clocks of controllers and relays
    controllers: tuple[int, ...]
    folders: tuple[tuple[Record, ...], ...]  # all contents so far, the latest last
    relays: tuple[int, ...]
    # Whether sent in an earlier step, the receiver (controllers first, then relays), and the message:
    in_flight: tuple[tuple[bool, int, int], ...]
    last_owner: tuple[int, Session | None]  # the highest epoch of an owner so far, and the owner
    bounds: Bounds  # what remains of them


class PropertyViolatedError(Exception):
    """A property is violated."""


class Explorer:
    """One exploration of all orders.

    Controllers or relays in the same state share an index, and each transition of a component is computed once.
    """

    def __init__(self, bounds: Bounds, variant: Variant = Variant()) -> None:  # noqa: B008
        self.variant = variant
        self.components: list[Controller | ScriptedHolder] = []
        self.messages: list[Message | list[Record]] = []
        self._indices: dict[Any, int] = {}
        self._message_indices: dict[bytes, int] = {}
        self._transitions: dict[Any, tuple[int, tuple[Any, ...]]] = {}
        self._owned_epochs: dict[tuple[int, int], int] = {}
        self._request_options: dict[int, tuple[tuple[int, str], ...]] = {}
        self.states = self.steps = 0
        self.first = State(
            0,
            (0,) * 5,
            tuple(self.index_of(self._ready_controller(number)) for number in range(3)),
            ((NO_RECORD,),) * 3,
            tuple(self.index_of(self._relay(name, 1)) for name in RELAYS),
            (),
            (0, None),
            bounds,
        )

    def run(self) -> tuple[str, list[str]] | None:
        """Searches breadth first; returns the first violation with its shortest trace, or None if all properties hold."""
        came_from: dict[State, tuple[State, str] | None] = {self.first: None}
        queue = deque([self.first])
        while queue:
            state = queue.popleft()
            self.states += 1
            text = ""
            try:
                for text, move in self.moves(state):
                    self.steps += 1
                    after = self.check_state(move())
                    if after not in came_from:
                        came_from[after] = (state, text)
                        queue.append(after)
            except PropertyViolatedError as violation:
                trace, back = [text], came_from[state]
                while back is not None:
                    trace.insert(0, back[1])
                    back = came_from[back[0]]
                return str(violation), trace
        return None

    # ---- components

    def _ready_controller(self, number: int) -> Controller:
        """Returns a controller with an initialized folder whose wait is over."""
        controller = self.variant.controller(
            number, BOOT_STEP, self.variant.settings, [], -self.variant.settings.lease, False
        )
        for effect in controller.tick(0):
            assert isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords)
            controller.receive(0, Records(effect.controller, 1, effect.message.number, [], -1))
        assert controller.ready
        return controller

    def _relay(self, name: str, process: int) -> ScriptedHolder:
        return self.variant.holder(Session(name, process), self.variant.settings, RANDOM)

    def index_of(self, component: Controller | ScriptedHolder) -> int:
        """Returns the index of a component; components in the same state share one."""
        key = type(component), getattr(component, "session", None), freeze(component)
        number = self._indices.get(key)
        if number is None:
            number = self._indices[key] = len(self.components)
            self.components.append(component)
        return number

    def message_index(self, message: Any) -> int:
        """Returns the index of a message or of a list of records."""
        key = msgspec.json.encode((type(message).__name__, message))
        number = self._message_indices.get(key)
        if number is None:
            number = self._message_indices[key] = len(self.messages)
            self.messages.append(message)
        return number

    def apply(self, before: int, what: tuple[Any, ...], change: Callable[[Any], Any]) -> tuple[int, tuple[Any, ...]]:
        """Applies a change to a component and returns its new index and the effects."""
        key = before, *what
        transition = self._transitions.get(key)
        if transition is None:
            old = self.components[before]
            component = copy.deepcopy(old, {id(each): each for each in (self.variant.settings, RANDOM, old.event_counts)})
            effects = change(component) or ()
            transition = self._transitions[key] = self.index_of(component), tuple(effects)
        return transition

    # ---- transitions

    def moves(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        """Returns a description of each possible next state, and a function that computes it."""
        remaining = state.bounds
        for position, (old, to, message) in enumerate(state.in_flight):
            if old:
                others = (*state.in_flight[:position], *state.in_flight[position + 1 :])
                yield from self.arrivals(state, to, message, others)
        for number in range(len(RELAYS)):
            yield from self.relay_moves(state, number)
        for number in range(3):
            yield from self.controller_moves(state, number)
        if remaining.time:
            yield "a step passes", lambda: self.advance_time(state, None, 1)
            for clock in range(5):
                if remaining.ahead:
                    yield f"two steps by {_clock(clock)}'s clock", partial(self.advance_time, state, clock, 2)
                if remaining.behind:
                    yield f"a step, none by {_clock(clock)}'s clock", partial(self.advance_time, state, clock, 0)

    def arrivals(
        self, state: State, to: int, message: int, others: tuple[tuple[bool, int, int], ...]
    ) -> Iterator[tuple[str, Callable[[], State]]]:
        """Returns the ways in which a message of an earlier step may arrive."""
        remaining, name = state.bounds, self.describe(message, to)
        is_request = to < 3 and not isinstance(self.messages[message], ReadRecords | Records)
        for hops, text in ((0, ", its answer is in flight"), (1, "")) if is_request and remaining.late else ((1, ""),):
            yield (
                f"arrives: {name}{text}",
                partial(self.deliver, state._replace(in_flight=others), to, message, hops),
            )
            if remaining.duplicates:
                spent = state._replace(bounds=remaining._replace(duplicates=remaining.duplicates - 1))
                yield (
                    f"arrives, and will arrive again: {name}{text}",
                    partial(self.deliver, spent, to, message, hops),
                )

    def relay_moves(self, state: State, number: int) -> Iterator[tuple[str, Callable[[], State]]]:
        """Returns the possible actions of a relay."""
        remaining, name = state.bounds, RELAYS[number]
        relay = self.components[state.relays[number]]
        assert isinstance(relay, ScriptedHolder)
        if remaining.requests:
            spent = state._replace(bounds=remaining._replace(requests=remaining.requests - 1))
            options = self._request_options.get(state.relays[number])
            if options is None:
                options = tuple((to, kind) for to in range(3) for kind in relay.request_kinds(to))
                self._request_options[state.relays[number]] = options
            untouched = self.untouched_controllers(state)
            for to, kind in options:
                if to not in untouched[1:]:
                    yield from self.requests(spent, number, to, kind)
            if remaining.rounds and (number == 0 or self.components[state.relays[0]].epoch):  # type: ignore[union-attr]
                new_round = spent._replace(bounds=spent.bounds._replace(rounds=remaining.rounds - 1))
                for to in range(3):
                    if to not in untouched[1:]:
                        for kind in ("starts a round at", "starts a round, one higher, at")[: 1 + (number > 0)]:
                            yield from self.requests(new_round, number, to, kind)
        if remaining.relay_restarts:
            process = relay.session.number + 1
            yield (
                f"{name} restarts",
                lambda: state._replace(
                    relays=_with(state.relays, number, self.index_of(self._relay(name, process))),
                    bounds=remaining._replace(relay_restarts=remaining.relay_restarts - 1),
                ),
            )

    def controller_moves(self, state: State, number: int) -> Iterator[tuple[str, Callable[[], State]]]:
        """Returns the possible restarts of a controller."""
        remaining, folder = state.bounds, state.folders[number]
        if number in self.untouched_controllers(state)[1:]:
            return
        if remaining.restarts:
            yield f"C{number} restarts", lambda: self.start_controller(state, number, folder, folder[-1], "restarts")
        if remaining.old_folders:
            for old in folder[:-1]:
                yield (
                    f"C{number} restarts with an old folder: epoch {old.epoch}",
                    partial(self.start_controller, state, number, folder, old, "old_folders"),
                )
        if remaining.lost_folders:
            yield (
                f"C{number} restarts without its folder",
                lambda: self.start_controller(state, number, (), None, "lost_folders"),
            )

    def untouched_controllers(self, state: State) -> list[int]:
        """Returns the controllers to which nothing has happened yet."""
        addressed = {to for _, to, _ in state.in_flight}
        return [
            number
            for number in range(3)
            if state.controllers[number] == self.first.controllers[number]
            and not state.skews[number]
            and number not in addressed
        ]

    def requests(self, state: State, number: int, to: int, kind: str) -> Iterator[tuple[str, Callable[[], State]]]:
        """Returns the outcomes of a request within the step: how far it gets, and whether its write fails."""
        remaining, text = state.bounds, f"{RELAYS[number]} {kind} C{to}"
        yield text, lambda: self.relay_requests(state, number, to, kind, 2)
        if remaining.late:
            late = state._replace(bounds=remaining._replace(late=remaining.late - 1))
            yield f"{text}, which does not receive it yet", lambda: self.relay_requests(late, number, to, kind, 0)
            yield f"{text}, its answer is in flight", lambda: self.relay_requests(late, number, to, kind, 1)
        if remaining.failed_writes:
            disk_full = state._replace(bounds=remaining._replace(failed_writes=remaining.failed_writes - 1))
            yield f"{text}, whose disk is full", lambda: self.relay_requests(disk_full, number, to, kind, 2, True)

    def relay_requests(self, state: State, number: int, to: int, kind: str, hops: int, disk_full: bool = False) -> State:
        """Sends a request. ``hops``: 0: it is in flight, 1: it is received, 2: its answer is received too."""

        def request(relay: ScriptedHolder, now: int) -> list[SendToController]:
            return [SendToController(to, relay.request(now, to, kind))]  # type: ignore[arg-type]

        return self.relay_step(state, number, (kind, to), request, hops, disk_full)

    def relay_step(
        self,
        state: State,
        number: int,
        what: tuple[Any, ...],
        change: Callable[[ScriptedHolder, int], Any],
        hops: int = 0,
        disk_full: bool = False,
    ) -> State:
        """Applies a change to a relay and carries out its effects."""
        now = state.time + state.skews[3 + number]
        after, effects = self.apply(state.relays[number], (*what, now), lambda component: change(component, now))
        state = state._replace(relays=_with(state.relays, number, after))
        return self.carry_out(state, effects, -1, hops, disk_full)

    def controller_step(
        self,
        state: State,
        number: int,
        what: tuple[Any, ...],
        change: Callable[[Controller, int], Any],
        hops: int = 0,
        disk_full: bool = False,
    ) -> State:
        """Applies a change to a controller and carries out its effects."""
        now = state.time + state.skews[number]
        after, effects = self.apply(state.controllers[number], (*what, now), lambda component: change(component, now))
        state = state._replace(controllers=_with(state.controllers, number, after))
        return self.carry_out(state, effects, number, hops, disk_full)

    def deliver(self, state: State, to: int, message: int, hops: int, disk_full: bool = False) -> State:
        """Delivers a message to the current process of its receiver; with hops left, also the messages that it causes."""
        content: Any = self.messages[message]
        what = "receives", message
        if to < 3:
            return self.controller_step(
                state, to, what, lambda component, now: component.receive(now, content), hops, disk_full
            )
        number, process = (to - 3) % len(RELAYS), (to - 3) // len(RELAYS)
        relay = self.components[state.relays[number]]
        assert isinstance(relay, ScriptedHolder)
        if relay.session.number != process:
            return state
        return self.relay_step(state, number, what, lambda component, now: component.receive(now, content))

    def write(self, state: State, number: int, write: WriteRecords, hops: int, disk_full: bool) -> State:
        """Writes records, or fails to."""
        ticket = write.ticket
        if disk_full:
            return self.controller_step(
                state,
                number,
                ("not written", ticket),
                lambda component, now: component.not_written(now, ticket, "full"),
                hops,
            )
        for record in write.records:
            state = state._replace(folders=_with(state.folders, number, _latest(state.folders[number], record)))
        return self.controller_step(
            state, number, ("written", ticket), lambda component, now: component.written(now, ticket), hops
        )

    def start_controller(
        self, state: State, number: int, folder: tuple[Record, ...], found: Record | None, bound: str
    ) -> State:
        """Starts a new process of a controller."""
        old = self.components[state.controllers[number]]
        assert isinstance(old, Controller)
        now = state.time + state.skews[number]
        boot = (old.boot // BOOT_STEP + 1) * BOOT_STEP
        records = [found] if found is not None and found.epoch else []
        controller = self.variant.controller(number, boot, self.variant.settings, records, now, found is None)
        state = state._replace(
            controllers=_with(state.controllers, number, self.index_of(controller)),
            folders=_with(state.folders, number, _latest(folder, found or NO_RECORD)),
            bounds=state.bounds._replace(**{bound: getattr(state.bounds, bound) - 1}),
        )
        return self.controller_step(state, number, ("tick",), lambda component, now: component.tick(now))

    def advance_time(self, state: State, clock: int | None, steps: int) -> State:
        """Advances the time by a step; one clock may make two steps or none."""
        remaining, skews = state.bounds, state.skews
        if clock is not None:
            skews = _with(skews, clock, skews[clock] + steps - 1)
            remaining = remaining._replace(ahead=remaining.ahead - (steps == 2), behind=remaining.behind - (steps == 0))
        state = state._replace(time=state.time + 1, skews=skews, bounds=remaining._replace(time=remaining.time - 1))
        state = state._replace(in_flight=tuple(sorted((True, to, message) for _, to, message in state.in_flight)))
        for number in range(3):
            controller = self.components[state.controllers[number]]
            if not controller.ready:  # type: ignore[union-attr]
                state = self.controller_step(state, number, ("tick",), lambda component, now: component.tick(now))
            state = self.controller_step(state, number, ("age",), age_controller)
        for number in range(len(RELAYS)):
            state = self.relay_step(state, number, ("age",), age_relay)
        return state

    def carry_out(self, state: State, effects: tuple[Any, ...], controller: int, hops: int, disk_full: bool) -> State:
        """Carries out effects: sends messages, which arrive at once if there are hops left, and writes records."""
        for effect in effects:
            match effect:
                case SendToController(to, message):
                    if isinstance(message, ReadRecords) and self._read_in_flight(state, to, message):
                        continue  # only one is in flight at a time: the other is lost
                    state = self.send(state, to, message, hops, disk_full, isinstance(message, ReadRecords | Records))
                case SendToRelay(session, answer):
                    self.check_answer(state, controller, session, answer)
                    to = 3 + RELAYS.index(session.relay) + len(RELAYS) * session.number
                    state = self.send(state, to, answer, hops, False, False)
                case WriteRecords():
                    state = self.write(state, controller, effect, hops, disk_full)
        return state

    def send(self, state: State, to: int, message: Message, hops: int, disk_full: bool, any_step: bool) -> State:
        """Sends a message: delivers it if there are hops left, otherwise puts it in flight."""
        number = self.message_index(message)
        if hops:
            return self.deliver(state, to, number, hops - 1, disk_full)
        return state._replace(in_flight=_put(state.in_flight, (any_step, to, number)))

    def can_matter(self, state: State, to: int, message: int) -> bool:
        """Whether a message can still change anything. Numbers only rise, so an answer to an older one never counts."""
        content = self.messages[message]
        if isinstance(content, Answer):
            relay = self.components[state.relays[(to - 3) % len(RELAYS)]]
            assert isinstance(relay, ScriptedHolder)
            request = relay._links[content.controller].request
            same = relay.session.number == (to - 3) // len(RELAYS)
            return same and request is not None and request.message.number == content.number
        if isinstance(content, Records):
            recovery = self.components[state.controllers[to]]._recovery  # type: ignore[union-attr]
            return recovery is not None and recovery.sources[content.controller].number == content.number
        return True

    def _read_in_flight(self, state: State, to: int, message: ReadRecords) -> bool:
        return any(
            receiver == to and isinstance(content := self.messages[number], ReadRecords) and content.boot == message.boot
            for _, receiver, number in state.in_flight
        )

    def describe(self, message: int, to: int) -> str:
        """Returns the description of a message for the trace."""
        content = self.messages[message]
        receiver = f"C{to}" if to < 3 else RELAYS[(to - 3) % len(RELAYS)]
        match content:
            case Answer():
                what = f"C{content.controller}'s answer {content.number}"
                what += "" if content.accepted else " (not accepted)"
                what += " (granted)" if content.granted else " (refused)" if content.refused else ""
            case ReadRecords() | Records():
                what = f"C{content.controller}'s {type(content).__name__}"
            case Renew() | Release():
                what = f"{content.session.relay}'s {type(content).__name__} {content.number}"
            case _:
                what = f"{content.session.relay}'s Acquire {content.number}, epoch {content.grants[0].epoch}"  # type: ignore[union-attr]
        return f"{what} at {receiver}"

    # ---- properties

    def check_answer(self, state: State, controller: int, session: Session, answer: Answer) -> None:
        """Checks that a grant in an answer is on record."""
        for grant in answer.granted if answer.accepted else []:
            record = state.folders[controller][-1]
            same = record.epoch == grant.epoch and (record.relay, record.session) == session
            if not same and record.epoch <= grant.epoch:
                raise PropertyViolatedError(f"C{controller} answers with a grant that is not on record")

    def check_state(self, state: State) -> State:
        """Checks that there is at most one owner, with a higher epoch than all earlier owners."""
        owners = []
        for number, relay in enumerate(state.relays):
            epoch = self.owned_epoch(relay, state.time + state.skews[3 + number])
            if epoch:
                owners.append((epoch, self.components[relay].session))  # type: ignore[union-attr]
        if len(owners) > 1:
            raise PropertyViolatedError("two relays own the partition at the same time")
        for epoch, session in owners:
            highest, last = state.last_owner
            if epoch < highest or (epoch == highest and session != last):
                raise PropertyViolatedError(
                    f"the partition is owned in epoch {epoch}, after another owner in epoch {highest}"
                )
            state = state._replace(last_owner=(epoch, session))
        if self.variant.drop_old_numbers and state.in_flight:
            state = state._replace(
                in_flight=tuple(each for each in state.in_flight if self.can_matter(state, each[1], each[2]))
            )
        return state

    def owned_epoch(self, relay: int, now: int) -> int:
        """Returns the epoch in which a relay owns the partition; 0 if it does not own it."""
        key = relay, now
        epoch = self._owned_epochs.get(key)
        if epoch is None:
            holder = self.components[relay]
            assert isinstance(holder, ScriptedHolder)
            ownership = holder.ownership(0, now)
            epoch = self._owned_epochs[key] = ownership.epoch if ownership else 0
        return epoch


def _with(values: tuple[Any, ...], position: int, value: Any) -> tuple[Any, ...]:
    return (*values[:position], value, *values[position + 1 :])


def _put(values: tuple[Any, ...], value: Any) -> tuple[Any, ...]:
    return tuple(sorted((*values, value)))


def _latest(folder: tuple[Record, ...], record: Record) -> tuple[Record, ...]:
    """Returns the history of a folder with this record as the latest; each record occurs once."""
    return (*(each for each in folder if each != record), record)


def _clock(number: int) -> str:
    return f"C{number}" if number < 3 else RELAYS[number - 3]


def explore(names: list[str]) -> bool:
    """Prints a table of the results; returns whether each fault was found and nothing else."""
    from tests.fleet.leases.injected_faults import ALL_HOLDS, INJECTED_FAULTS

    passed = True
    print(f"{'injected fault':<40}{'states':>9}{'steps':>9}{'seconds':>9}  found")
    for fault in INJECTED_FAULTS:
        if names and fault.name not in names:
            continue
        for variant, expected in ((fault.variant, True), (fault.without_fault, False)):
            started_at, explorer = time.perf_counter(), Explorer(fault.bounds, variant)
            violation = explorer.run()
            passed &= (violation is not None) == expected
            name = fault.name if expected else "  without the fault"
            spent = time.perf_counter() - started_at
            text = violation[0] if violation else "all properties hold"
            print(f"{name:<40}{explorer.states:>9}{explorer.steps:>9}{spent:>9.1f}  {text}", flush=True)
            for number, step in enumerate(violation[1] if violation else (), 1):
                print(f"    {number}. {step}")
    for name, variant, bounds in ALL_HOLDS:
        if names and name not in names:
            continue
        started_at, explorer = time.perf_counter(), Explorer(bounds, variant)
        violation = explorer.run()
        passed &= violation is None
        spent, text = time.perf_counter() - started_at, "all properties hold" if violation is None else str(violation)
        print(f"{name:<40}{explorer.states:>9}{explorer.steps:>9}{spent:>9.1f}  {text}", flush=True)
    return passed


if __name__ == "__main__":
    from tests.fleet.leases import explore as module  # the same module object that the tests import

    sys.exit(0 if module.explore(sys.argv[1:]) else 1)
