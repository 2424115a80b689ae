"""Plays a plan: starts the stand-ins and the relays, carries out each step in its time, and waits for the ends."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import threading
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker import Checker, Verdict, figures_of
from garnetrelay.rehearsal.clients import Crowd
from garnetrelay.rehearsal.clock import Clock, run_watched
from garnetrelay.rehearsal.discovery_server import Entry, Register
from garnetrelay.rehearsal.links.script import Move
from garnetrelay.rehearsal.links.stage import LOOK_EVERY, Met, Stage
from garnetrelay.rehearsal.misbehaving_clients import MisbehavingClients
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.partners.endpoints import Partners
from garnetrelay.rehearsal.plan import SECOND, Plan, Step
from garnetrelay.rehearsal.relays import START_TRIES, RelayProcess, StartError
from garnetrelay.rehearsal.scenario import TROUBLES, Scenario
from garnetrelay.rehearsal.tally import Tally

QUIET = 0.5  # seconds with nothing held before a run is over
GONE_AFTER = 6.0  # seconds from a drain to the endpoint's end, unless the step says otherwise
STAFF_TRIES = 20
LAST_LOOK = 0.2  # seconds for what is still on its way once all is over


@dataclass(slots=True)
class Outcome:
    """What came of a run."""

    plan: Plan
    verdicts: list[Verdict]
    tally: Tally
    misbehaving: list[MisbehavingClients]
    ended_at: int
    fleet: list[Met] = field(default_factory=list)  # what befell relays that know each other, and how long they took

    @property
    def kept(self) -> bool:
        """Whether every rule was kept."""
        return not self.verdicts


class Conductor:
    """One run. ``command`` starts a relay in place of the installed daemon; ``folder`` keeps logs and states."""

    def __init__(
        self,
        scenario: Scenario,
        plan: Plan,
        clock: Clock,
        folder: Path,
        command: str | None = None,
        recording: Path | None = None,
        on_verdict: Callable[[Verdict], None] | None = None,
    ) -> None:
        self.scenario = scenario
        self.plan = plan
        figures = figures_of(plan.settings, int(plan.limits["disk_mb"] * 1_000_000))
        self.checker = Checker(figures)
        self.tally = Tally(plan)
        header = ev.Header(ev.VERSION, msgspec.Raw(msgspec.json.encode(figures)), plan.scenario, plan.seed)
        self.observer = Observer(clock, self.checker, self.tally, recording, header, on_verdict)
        self.clock = clock
        self.relays = {name: RelayProcess(name, plan, folder, self.observer, command) for name in plan.relays}
        self.crowd = Crowd(plan, scenario, self.observer, lambda relay: self.relays[relay].port)
        self.partners = Partners(plan, self.observer, self._delivered)
        self.register = Register(plan, self.observer, self.partners.address, self.crowd.bounced)
        self.misbehaving: list[MisbehavingClients] = []
        self._upgrading = {name: asyncio.Lock() for name in plan.relays}
        self._tasks: set[asyncio.Task[None]] = set()
        self._looking: set[asyncio.Task[None]] = set()
        self._error: BaseException | None = None
        self.stage: Stage | None = None
        if scenario.fleet is not None:
            self.stage = Stage(
                scenario.fleet,
                plan.relays,
                plan.seed,
                plan.length / SECOND / scenario.seconds,
                [step.at for step in plan.steps if step.spec.what == "upgrade"],
            )
        self.began = 0  # when the plan began, by the run's clock

    async def play(self) -> Outcome:
        """The whole run; raises what went wrong with the kit itself, or a StartError."""
        try:
            await self.partners.start()
            await self.register.start()
            if self.stage is not None:
                await self.stage.network.start()
                for relay in self.relays.values():
                    relay.options = self.stage.options(relay.name, relay.folder)
            starts = self.clock.now()
            await asyncio.gather(*(self._first_start(relay) for relay in self.relays.values()))
            if self.stage is not None:
                await self._gather(self.stage)
                self.stage.gathered = round((self.clock.now() - starts) / SECOND, 2)
            self.began = self.clock.now()  # whatever the start took, the schedule is the same from here
            self.crowd.start(self.began)
            loop = asyncio.get_running_loop()
            for step in self.plan.steps:
                loop.call_at(self._loop_time(step.at), self._begin, step)
            if self.stage is not None:
                for move in self.stage.moves:
                    loop.call_at(self._loop_time(move.at), self._move, self.stage, move)
                looking = loop.create_task(self._look(self.stage))
                self._looking.add(looking)
                looking.add_done_callback(self._looked)
            await self._ends()
            at, since = self.observer.did()
            self.observer.see(ev.RunEnded(at, since))
            return Outcome(
                self.plan,
                self.checker.verdicts,
                self.tally,
                self.misbehaving,
                at,
                [] if self.stage is None else self.stage.met(),
            )
        finally:
            for task in (*self._tasks, *self._looking):
                task.cancel()
            self.crowd.stop()
            for relay in self.relays.values():
                relay.kill()
            await asyncio.gather(*(relay.gone() for relay in self.relays.values()))
            if self.stage is not None:
                self.stage.network.stop()
            await self.register.stop()
            await self.partners.stop()
            self.observer.close()
            if self._error is not None:
                raise self._error

    def _loop_time(self, at: int) -> float:
        """A time of the plan by the loop's clock."""
        return self.clock.loop_time(self.began + at)

    def _delivered(self, ref: str) -> None:
        self.crowd.open.pop(ref, None)

    async def _first_start(self, relay: RelayProcess) -> None:
        for left in reversed(range(START_TRIES)):
            relay.configure(self.register.address(relay.name), self.register.known(relay.name))
            try:
                await self._start(relay)
                return
            except StartError as error:
                if not left or "in use" not in str(error):
                    raise
                relay.move()

    async def _start(self, relay: RelayProcess) -> None:
        await relay.start(self.register.address(relay.name))
        self.register.relay_is(relay.name, ready=True)
        self.crowd.front.ready(relay.name)

    async def _ends(self) -> None:
        """Until all that was handed in is over, or the last message's time has long passed."""
        await self.crowd.done.wait()
        longest = max(c["deadline"] for c in self.plan.settings["classes"]) / SECOND
        loop = asyncio.get_running_loop()
        until = loop.time() + longest + 3.0
        quiet_from = loop.time()
        while loop.time() < until:
            if self._error is not None:
                raise self._error
            busy = self.crowd.pending or self.tally.held or any(not relay.ready for relay in self.relays.values())
            if busy or self.clock.now() < self.began + self.plan.length or any(not task.done() for task in self._tasks):
                quiet_from = loop.time()
            elif loop.time() - quiet_from > QUIET:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(LAST_LOOK)

    # ---- steps

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and self._error is None:
            self._error = task.exception()
            self.crowd.done.set()

    def _begin(self, step: Step) -> None:
        spec = step.spec
        where = ", ".join([*step.routes, *(f"partner {number}" for number in step.partners), step.relay])
        at, since = self.observer.did()
        self.observer.see(ev.Step(at, since, " ".join([spec.what, where.strip(", ")]).strip(), step.partners))
        if spec.what in TROUBLES:
            for number in step.partners:
                self.partners.inject_fault(number, spec.what, self.began + step.ends, spec.share, spec.factor)
            self._then(step, self._heal, step)
        elif spec.what in ("restart", "kill"):
            self._spawn(self._restart(step))
        elif spec.what == "upgrade":
            self._spawn(self._upgrade(step))
        elif spec.what == "by-hand":
            self._spawn(self._by_hand(step))
        elif spec.what == "reload":
            self._spawn(self._reload())
        elif spec.what == "register-down":
            self.register.go_down()
            self._then(step, self.register.come_up)
        elif spec.what == "register-slow":
            self.register.slower = spec.factor
            self._then(step, setattr, self.register, "slower", 0.0)
        elif spec.what == "watches-end":
            self.register.end_watches()
        elif spec.what == "index-back":
            self.register.step_back()
        elif spec.what in ("notices-refused", "notices-lost"):
            self.register.take_notices(spec.what.removeprefix("notices-"))
            self._then(step, self.register.take_notices, "taken")
        elif spec.what in ("drain", "replace"):
            self._spawn(self._drain(step))
        elif spec.what == "reports-absurd":
            self.partners.invalid_load_reports.update(step.partners)
            self._then(step, self.partners.invalid_load_reports.difference_update, step.partners)
        elif spec.what == "bad-clients":
            for relay in self.relays.values():
                # The seed keeps its word: earlier runs can be played again.
                clients = MisbehavingClients(relay.port, spec.count, f"{self.plan.seed}/rude/{relay.name}")
                self.misbehaving.append(clients)
                self._spawn(clients.run((step.ends - step.at) / SECOND))

    def _then(self, step: Step, what: Callable[..., Any], *arguments: Any) -> None:
        """At the step's end."""
        asyncio.get_running_loop().call_at(self._loop_time(max(step.ends, step.at)), lambda: what(*arguments))

    def _heal(self, step: Step) -> None:
        ramp = self.plan.settings["rules"]["rampTime"]
        for number in step.partners:
            self.partners.clear_fault(number, step.spec.start if step.spec.cold else None, ramp if step.spec.cold else 0)

    # ---- relays that know each other

    async def _gather(self, stage: Stage) -> None:
        """Until all hold one view."""
        try:
            async with asyncio.timeout(stage.spec.gather_s):
                while not ((look := await stage.look(self.clock.now, self._staff())) and look.views == 1):
                    await asyncio.sleep(LOOK_EVERY)
        except TimeoutError:
            raise StartError(f"no one view within {stage.spec.gather_s:g} s") from None
        stage.looks.clear()
        stage.first_lives({name: relay.state for name, relay in self.relays.items()})

    def _staff(self) -> dict[str, int]:
        return {name: relay.staff_port for name, relay in self.relays.items() if relay.ready and not relay.stopped}

    async def _look(self, stage: Stage) -> None:
        while True:
            await stage.look(lambda: self.clock.now() - self.began, self._staff())
            await asyncio.sleep(LOOK_EVERY)

    def _looked(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None and self._error is None:
            self._error = task.exception()
            self.crowd.done.set()

    def _move(self, stage: Stage, move: Move) -> None:
        at, since = self.observer.did()
        named = move.relays[0] if len(move.relays) == 1 else f"{len(move.relays)} relays"
        self.observer.see(ev.Step(at, since, f"fleet: {move.what}, {named}", ()))
        if move.what in ("cut", "cut-one-way"):
            stage.cut(move)
            asyncio.get_running_loop().call_at(self._loop_time(move.ends), stage.mend, move)
        elif move.what == "flap":
            self._spawn(self._pulses(move, lambda: stage.cut(move), lambda: stage.mend(move)))
        elif move.what in ("stop", "starve"):
            relays = [self.relays[name] for name in move.relays]

            def stop() -> None:
                for relay in relays:
                    if relay.ready:
                        relay.stop()

            def go_on() -> None:
                for relay in relays:
                    relay.go_on()

            self._spawn(self._pulses(move, stop, go_on))
        else:
            self._spawn(self._away(stage, move))

    async def _pulses(self, move: Move, begin: Callable[[], object], end: Callable[[], object]) -> None:
        """Bad for a pulse, good for a pulse, and so on; a stop is one pulse as long as the move."""
        pulse = (move.ends - move.at if move.what == "stop" else move.pulse) / SECOND
        until = self._loop_time(move.ends)
        loop = asyncio.get_running_loop()
        try:
            while loop.time() < until:
                begin()
                await asyncio.sleep(min(pulse, until - loop.time()))
                end()
                await asyncio.sleep(pulse)
        finally:
            end()

    async def _away(self, stage: Stage, move: Move) -> None:
        """A relay ends, and is back later: with its folder, but for its life number where the move says so."""
        relay = self.relays[move.relays[0]]
        await self._down(
            relay,
            move.what != "leave",
            (move.ends - move.at) / SECOND,
            lambda: stage.change_life(relay.name, relay.state, move.what),
        )

    async def _restart(self, step: Step) -> None:
        named = [step.relay] if step.relay else list(self.relays)
        await asyncio.gather(*(self._restart_one(self.relays[name], step) for name in named))

    async def _restart_one(self, relay: RelayProcess, step: Step) -> None:
        await self._down(relay, step.spec.what == "kill", step.spec.down_s)

    async def _down(
        self, relay: RelayProcess, kill: bool, seconds: float, change: Callable[[], None] = lambda: None
    ) -> None:
        """A relay ends and starts again. ``change``: what happens to its folder meanwhile."""
        if not relay.ready:
            return
        self.register.relay_is(relay.name, ready=False)
        if kill:
            self.crowd.front.died(relay.name)
            await relay.end(signal.SIGKILL)
        else:
            self.crowd.front.ends(relay.name)
            await relay.end(signal.SIGTERM)
        change()
        await asyncio.sleep(seconds)
        await self._start(relay)

    async def _upgrade(self, step: Step) -> None:
        relay = self.relays[step.relay]
        async with self._upgrading[step.relay]:  # one that takes its time puts the next one off
            await relay.upgrade(self.register.address(relay.name), step.fault, step.after / SECOND)

    async def _by_hand(self, step: Step) -> None:
        """Every relay is told that an endpoint is out; it is restarted, and comes back cold; then it is put back."""
        route, number = step.routes[0], step.partners[0]
        relays = [relay for relay in self.relays.values() if relay.ready]
        for relay in relays:
            for left in reversed(range(STAFF_TRIES)):  # the process that was called may be ending: the new one is there
                if await relay.exclude(route, True):
                    break
                if not left:
                    raise StartError(f"{relay.name}: no yes to OFFLINE {route}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(self.plan.settings["rules"]["drainGrace"] / SECOND + 0.5)
        self.partners.take_down_route(number, route)
        await asyncio.sleep(step.spec.seconds)
        self.partners.clear_route_fault(number, route, step.spec.start, self.plan.settings["rules"]["rampTime"])
        for relay in relays:
            while not (relay.ready and await relay.exclude(route, False)):
                await asyncio.sleep(0.1)

    async def _reload(self) -> None:
        """Each relay's register moves; its configuration says so, and SIGHUP tells it to look."""
        for relay in self.relays.values():
            if relay.ready:
                address = await self.register.move(relay.name)
                relay.configure(address, self.register.known(relay.name))
                relay.hang_up()

    async def _drain(self, step: Step) -> None:
        """An endpoint drains and goes; a replacement comes first, where the step says so."""
        route = step.routes[0]
        if self.register.entries[route].status != "Ready":
            return
        if step.spec.what == "replace":
            new = await self.partners.replace(route)
            old = self.register.entries[route]
            self.register.add(Entry(new.name, new.zone, old.kind, old.dest, old.rate))
        self.register.change((route, "Terminating"))
        await asyncio.sleep(step.spec.seconds or GONE_AFTER)
        self.register.change((route, "Gone"))
        await asyncio.sleep(self.plan.late[1] / SECOND + 2)
        self.partners.close(route)


def play(
    scenario: Scenario,
    plan: Plan,
    folder: Path | None = None,
    command: str | None = None,
    recording: Path | None = None,
    on_verdict: Callable[[Verdict], None] | None = None,
    beside: Callable[[Conductor], Coroutine[Any, Any, None]] | None = None,
) -> Outcome:
    """Play a plan on a loop of its own. ``beside`` runs along with it: the live view."""
    clock = Clock()

    async def main(where: Path) -> Outcome:
        conductor = Conductor(scenario, plan, clock, where, command, recording, on_verdict)
        task = asyncio.current_task()
        if task is not None and threading.current_thread() is threading.main_thread():
            # Told to end, the kit must not leave its relays behind.
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        view = None if beside is None else asyncio.get_running_loop().create_task(beside(conductor))
        try:
            return await conductor.play()
        finally:
            if view is not None:
                view.cancel()
                await asyncio.gather(view, return_exceptions=True)

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return run_watched(clock, lambda: main(folder))  # type: ignore[no-any-return]
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as made:
        return run_watched(clock, lambda: main(Path(made)))  # type: ignore[no-any-return]
