"""Runs a plan: starts the simulated peers and the relays, executes each step on schedule, and waits for the end."""

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
from garnetrelay.rehearsal.checker import Checker, Verdict, limits_from_settings
from garnetrelay.rehearsal.clients import ClientPool
from garnetrelay.rehearsal.clock import Clock, run_timed
from garnetrelay.rehearsal.discovery_server import DiscoveryServer, ListedEndpoint
from garnetrelay.rehearsal.links.script import Move
from garnetrelay.rehearsal.links.stage import VIEW_SAMPLE_INTERVAL_S, FleetRun, FleetStepResult
from garnetrelay.rehearsal.misbehaving_clients import MisbehavingClients
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.partners.endpoints import Partners
from garnetrelay.rehearsal.partners.model import InjectedFault
from garnetrelay.rehearsal.plan import SECOND, Plan, Step
from garnetrelay.rehearsal.relays import MAX_START_ATTEMPTS, RelayProcess, StartError
from garnetrelay.rehearsal.scenario import PARTNER_FAULTS, Scenario
from garnetrelay.rehearsal.tally import Tally

IDLE_BEFORE_END_S = 0.5  # a run ends after this time without pending messages
REMOVAL_DELAY_S = 6.0  # from the drain of an endpoint to its removal, unless the step sets another
MAX_COMMAND_ATTEMPTS = 20
FINAL_EVENTS_WAIT_S = 0.2  # for events that are still in transit at the end of a run


@dataclass(slots=True)
class Outcome:
    """The result of a run."""

    plan: Plan
    verdicts: list[Verdict]
    tally: Tally
    misbehaving: list[MisbehavingClients]
    ended_at: int
    fleet: list[FleetStepResult] = field(default_factory=list)  # how relays of a fleet reacted to its steps

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not self.verdicts


class Conductor:
    """One run. ``command`` starts a relay instead of the installed daemon; ``folder`` has the logs and state folders."""

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
        figures = limits_from_settings(plan.settings, int(plan.limits["disk_mb"] * 1_000_000))
        self.checker = Checker(figures)
        self.tally = Tally(plan)
        header = ev.Header(ev.VERSION, msgspec.Raw(msgspec.json.encode(figures)), plan.scenario, plan.seed)
        self.observer = Observer(clock, self.checker, self.tally, recording, header, on_verdict)
        self.clock = clock
        self.relays = {name: RelayProcess(name, plan, folder, self.observer, command) for name in plan.relays}
        self.clients = ClientPool(plan, scenario, self.observer, lambda relay: self.relays[relay].port)
        self.partners = Partners(plan, self.observer, self._delivered)
        self.discovery = DiscoveryServer(plan, self.observer, self.partners.address, self.clients.bounced)
        self.misbehaving: list[MisbehavingClients] = []
        self._upgrading = {name: asyncio.Lock() for name in plan.relays}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sampling: set[asyncio.Task[None]] = set()
        self._error: BaseException | None = None
        self.fleet: FleetRun | None = None
        if scenario.fleet is not None:
            self.fleet = FleetRun(
                scenario.fleet,
                plan.relays,
                plan.seed,
                plan.length / SECOND / scenario.seconds,
                [step.at for step in plan.steps if step.spec.what == "upgrade"],
            )
        self.began = 0  # time of the run at which the plan started

    async def play(self) -> Outcome:
        """Execute the run. Raises a StartError, or any error of the rehearsal itself."""
        try:
            await self.partners.start()
            await self.discovery.start()
            if self.fleet is not None:
                await self.fleet.network.start()
                for relay in self.relays.values():
                    relay.options = self.fleet.write_options(relay.name, relay.folder)
            starting_at = self.clock.now()
            await asyncio.gather(*(self._first_start(relay) for relay in self.relays.values()))
            if self.fleet is not None:
                await self._wait_for_one_view(self.fleet)
                self.fleet.gathered = round((self.clock.now() - starting_at) / SECOND, 2)
            self.began = self.clock.now()  # the schedule does not depend on how long the start took
            self.clients.start(self.began)
            loop = asyncio.get_running_loop()
            for step in self.plan.steps:
                loop.call_at(self._loop_time(step.at), self._begin, step)
            if self.fleet is not None:
                for move in self.fleet.moves:
                    loop.call_at(self._loop_time(move.at), self._begin_move, self.fleet, move)
                sampling = loop.create_task(self._sample_views(self.fleet))
                self._sampling.add(sampling)
                sampling.add_done_callback(self._sampling_ended)
            await self._wait_for_end()
            at, since = self.observer.action_time()
            self.observer.record(ev.RunEnded(at, since))
            return Outcome(
                self.plan,
                self.checker.verdicts,
                self.tally,
                self.misbehaving,
                at,
                [] if self.fleet is None else self.fleet.step_results(),
            )
        finally:
            for task in (*self._tasks, *self._sampling):
                task.cancel()
            self.clients.stop()
            for relay in self.relays.values():
                relay.kill()
            await asyncio.gather(*(relay.wait_ended() for relay in self.relays.values()))
            if self.fleet is not None:
                self.fleet.network.stop()
            await self.discovery.stop()
            await self.partners.stop()
            self.observer.close()
            if self._error is not None:
                raise self._error

    def _loop_time(self, at: int) -> float:
        """Convert a time of the plan to the loop's clock."""
        return self.clock.loop_time(self.began + at)

    def _delivered(self, ref: str) -> None:
        self.clients.accepted.pop(ref, None)

    async def _first_start(self, relay: RelayProcess) -> None:
        for remaining in reversed(range(MAX_START_ATTEMPTS)):
            relay.configure(self.discovery.address(relay.name), self.discovery.initial_list(relay.name))
            try:
                await self._start(relay)
                return
            except StartError as error:
                if not remaining or "in use" not in str(error):
                    raise
                relay.change_port()

    async def _start(self, relay: RelayProcess) -> None:
        await relay.start(self.discovery.address(relay.name))
        self.discovery.set_relay_ready(relay.name, ready=True)
        self.clients.front.relay_ready(relay.name)

    async def _wait_for_end(self) -> None:
        """Wait until no message is pending, or until the longest deadline has passed after the last hand-in."""
        await self.clients.all_handed_in.wait()
        longest = max(c["deadline"] for c in self.plan.settings["classes"]) / SECOND
        loop = asyncio.get_running_loop()
        until = loop.time() + longest + 3.0
        idle_since = loop.time()
        while loop.time() < until:
            if self._error is not None:
                raise self._error
            busy = self.clients.pending or self.tally.pending or any(not relay.ready for relay in self.relays.values())
            if busy or self.clock.now() < self.began + self.plan.length or any(not task.done() for task in self._tasks):
                idle_since = loop.time()
            elif loop.time() - idle_since > IDLE_BEFORE_END_S:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(FINAL_EVENTS_WAIT_S)

    # ---- steps

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and self._error is None:
            self._error = task.exception()
            self.clients.all_handed_in.set()

    def _begin(self, step: Step) -> None:
        spec = step.spec
        targets = ", ".join([*step.routes, *(f"partner {number}" for number in step.partners), step.relay])
        at, since = self.observer.action_time()
        self.observer.record(ev.Step(at, since, " ".join([spec.what, targets.strip(", ")]).strip(), step.partners))
        if spec.what in PARTNER_FAULTS:
            until = self.began + step.ends
            fault = InjectedFault(spec.what, until, spec.share, spec.factor, spec.late_ms, spec.refused)
            for number in step.partners:
                self.partners.inject_fault(number, fault)
            self._at_end(step, self._clear_faults, step)
        elif spec.what in ("restart", "kill"):
            self._start_task(self._restart(step))
        elif spec.what == "upgrade":
            self._start_task(self._upgrade(step))
        elif spec.what == "by-hand":
            self._start_task(self._by_hand(step))
        elif spec.what == "reload":
            self._start_task(self._reload())
        elif spec.what == "register-down":
            self.discovery.stop_serving()
            self._at_end(step, self.discovery.resume_serving)
        elif spec.what == "register-slow":
            self.discovery.extra_delay_s = spec.factor
            self._at_end(step, setattr, self.discovery, "extra_delay_s", 0.0)
        elif spec.what == "watches-end":
            self.discovery.close_watches()
        elif spec.what == "index-back":
            self.discovery.lower_index()
        elif spec.what in ("notices-refused", "notices-lost"):
            self.discovery.set_notice_mode(spec.what.removeprefix("notices-"))
            self._at_end(step, self.discovery.set_notice_mode, "taken")
        elif spec.what in ("drain", "replace"):
            self._start_task(self._drain(step))
        elif spec.what == "reports-absurd":
            self.partners.invalid_load_reports.update(step.partners)
            self._at_end(step, self.partners.invalid_load_reports.difference_update, step.partners)
        elif spec.what == "bad-clients":
            for relay in self.relays.values():
                # The text of this random seed is kept, so that earlier runs can be repeated.
                misbehaving = MisbehavingClients(relay.port, spec.count, f"{self.plan.seed}/rude/{relay.name}")
                self.misbehaving.append(misbehaving)
                self._start_task(misbehaving.run((step.ends - step.at) / SECOND))

    def _at_end(self, step: Step, function: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call for the end of a step."""
        asyncio.get_running_loop().call_at(self._loop_time(max(step.ends, step.at)), lambda: function(*arguments))

    def _clear_faults(self, step: Step) -> None:
        ramp = self.plan.settings["rules"]["rampTime"]
        for number in step.partners:
            self.partners.clear_fault(number, step.spec.start if step.spec.cold else None, ramp if step.spec.cold else 0)

    # ---- fleet of relays

    async def _wait_for_one_view(self, fleet: FleetRun) -> None:
        """Wait until all relays have the same view."""
        try:
            async with asyncio.timeout(fleet.spec.gather_s):
                while not (
                    (sample := await fleet.sample_views(self.clock.now, self._operator_ports())) and sample.views == 1
                ):
                    await asyncio.sleep(VIEW_SAMPLE_INTERVAL_S)
        except TimeoutError:
            raise StartError(f"the relays did not agree on one view within {fleet.spec.gather_s:g} s") from None
        fleet.samples.clear()
        fleet.store_life_numbers({name: relay.state_folder for name, relay in self.relays.items()})

    def _operator_ports(self) -> dict[str, int]:
        return {name: relay.operator_port for name, relay in self.relays.items() if relay.ready and not relay.paused}

    async def _sample_views(self, fleet: FleetRun) -> None:
        while True:
            await fleet.sample_views(lambda: self.clock.now() - self.began, self._operator_ports())
            await asyncio.sleep(VIEW_SAMPLE_INTERVAL_S)

    def _sampling_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None and self._error is None:
            self._error = task.exception()
            self.clients.all_handed_in.set()

    def _begin_move(self, fleet: FleetRun, move: Move) -> None:
        at, since = self.observer.action_time()
        names = move.relays[0] if len(move.relays) == 1 else f"{len(move.relays)} relays"
        self.observer.record(ev.Step(at, since, f"fleet: {move.what}, {names}", ()))
        if move.what in ("cut", "cut-one-way"):
            fleet.cut_links(move)
            asyncio.get_running_loop().call_at(self._loop_time(move.ends), fleet.restore_links, move)
        elif move.what == "flap":
            self._start_task(self._pulses(move, lambda: fleet.cut_links(move), lambda: fleet.restore_links(move)))
        elif move.what in ("stop", "starve"):
            relays = [self.relays[name] for name in move.relays]

            def pause() -> None:
                for relay in relays:
                    if relay.ready:
                        relay.pause()

            def resume() -> None:
                for relay in relays:
                    relay.resume()

            self._start_task(self._pulses(move, pause, resume))
        else:
            self._start_task(self._leave_and_return(fleet, move))

    async def _pulses(self, move: Move, begin: Callable[[], object], end: Callable[[], object]) -> None:
        """Alternate between fault and normal operation, one pulse each. A stop is one pulse as long as the move."""
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

    async def _leave_and_return(self, fleet: FleetRun, move: Move) -> None:
        """End a relay and start it again later with its state folder; some moves remove or change its life number."""
        relay = self.relays[move.relays[0]]
        await self._end_and_start(
            relay,
            move.what != "leave",
            (move.ends - move.at) / SECOND,
            lambda: fleet.change_life(relay.name, relay.state_folder, move.what),
        )

    async def _restart(self, step: Step) -> None:
        names = [step.relay] if step.relay else list(self.relays)
        await asyncio.gather(*(self._restart_one(self.relays[name], step) for name in names))

    async def _restart_one(self, relay: RelayProcess, step: Step) -> None:
        await self._end_and_start(relay, step.spec.what == "kill", step.spec.down_s)

    async def _end_and_start(
        self, relay: RelayProcess, kill: bool, seconds: float, change: Callable[[], None] = lambda: None
    ) -> None:
        """End a relay and start it again. ``change`` is called in between, to modify its state folder."""
        if not relay.ready:
            return
        self.discovery.set_relay_ready(relay.name, ready=False)
        if kill:
            self.clients.front.relay_killed(relay.name)
            await relay.end(signal.SIGKILL)
        else:
            self.clients.front.relay_terminating(relay.name)
            await relay.end(signal.SIGTERM)
        change()
        await asyncio.sleep(seconds)
        await self._start(relay)

    async def _upgrade(self, step: Step) -> None:
        relay = self.relays[step.relay]
        async with self._upgrading[step.relay]:  # a slow upgrade delays the next one
            await relay.upgrade(self.discovery.address(relay.name), step.fault, step.after / SECOND)

    async def _by_hand(self, step: Step) -> None:
        """Exclude an endpoint at every relay, restart it so that it recovers cold, and include it again."""
        route, number = step.routes[0], step.partners[0]
        relays = [relay for relay in self.relays.values() if relay.ready]
        for relay in relays:
            # A process that an upgrade is replacing may refuse the command.
            for remaining in reversed(range(MAX_COMMAND_ATTEMPTS)):
                if await relay.exclude(route, True):
                    break
                if not remaining:
                    raise StartError(f"{relay.name}: not confirmed: OFFLINE {route}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(self.plan.settings["rules"]["drainGrace"] / SECOND + 0.5)
        self.partners.take_down_route(number, route)
        await asyncio.sleep(step.spec.seconds)
        self.partners.clear_route_fault(number, route, step.spec.start, self.plan.settings["rules"]["rampTime"])
        for relay in relays:
            while not (relay.ready and await relay.exclude(route, False)):
                await asyncio.sleep(0.1)

    async def _reload(self) -> None:
        """Move each relay's discovery address, update its configuration and send SIGHUP."""
        for relay in self.relays.values():
            if relay.ready:
                address = await self.discovery.move_address(relay.name)
                relay.configure(address, self.discovery.initial_list(relay.name))
                relay.reload()

    async def _drain(self, step: Step) -> None:
        """Drain and remove an endpoint; a replacement is added first if the step asks for one."""
        route = step.routes[0]
        if self.discovery.entries[route].status != "Ready":
            return
        if step.spec.what == "replace":
            new = await self.partners.replace(route)
            old = self.discovery.entries[route]
            self.discovery.add_endpoint(ListedEndpoint(new.name, new.zone, old.kind, old.dest, old.rate))
        self.discovery.change_status((route, "Terminating"))
        await asyncio.sleep(step.spec.seconds or REMOVAL_DELAY_S)
        self.discovery.change_status((route, "Gone"))
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
    """Run a plan on a new event loop. ``beside`` runs concurrently: the live view."""
    clock = Clock()

    async def main(run_folder: Path) -> Outcome:
        conductor = Conductor(scenario, plan, clock, run_folder, command, recording, on_verdict)
        task = asyncio.current_task()
        if task is not None and threading.current_thread() is threading.main_thread():
            # On SIGTERM, the relays must be ended too.
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
        return run_timed(clock, lambda: main(folder))  # type: ignore[no-any-return]
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as temporary:
        return run_timed(clock, lambda: main(Path(temporary)))  # type: ignore[no-any-return]
