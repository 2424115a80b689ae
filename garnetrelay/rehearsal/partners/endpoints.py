"""HTTP endpoints of the simulated partners: sockets, timers and recorded effects around the model.

Each endpoint listens on a separate port for each relay, so the port identifies the calling relay.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.http import Call, Connection, HttpServer
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.partners.model import DEGRADING_FAULTS, InjectedFault, Partner, Reply, ScheduledReply
from garnetrelay.rehearsal.plan import Plan, RoutePlan

SECOND = 1_000_000_000
ANSWER_LOSS_WINDOW_NS = SECOND  # an answer may be lost if its connection ends within this time after it
MAX_COPY_DELAY_S = 0.01  # beyond the drawn time
INVALID_LOAD_HEADERS = (
    "X-Server-Load: x0=-7,x1=1e300",
    "X-Server-Load: x0=nan,x1=nan",
    "X-Server-Load: " + "9" * 400,
    "X-Server-Load: x0=0.0001,x1=0.0001",
    "X-Server-Load: ;;;",
)


class Listener(HttpServer):
    """The listener of one endpoint for one relay."""

    def __init__(self, partners: Partners, partner: Partner, route: str, relay: str) -> None:
        super().__init__(self._request, partners.observer.clock)
        self.partners = partners
        self.partner = partner
        self.route = route
        self.relay = relay
        self.unanswered: dict[int, Call] = {}  # calls without an answer, by number
        self.accepted: dict[int, Call] = {}  # calls that the partner has started or queued

    @property
    def fault(self) -> InjectedFault | None:
        """The current fault of this endpoint, or None."""
        return self.partner.routes[self.route].scope.fault

    def opened(self, connection: Connection) -> None:
        """Handle a new connection: reset it if the endpoint is down; mark it if the endpoint has too many connections."""
        fault = self.fault
        if fault is not None and fault.kind == "down":
            at, since = self.partners.observer.read_time()
            self.partners.observer.record(ev.ConnectFailed(at, since, self.relay, self.route))
            connection.broken_off = True
            if connection.transport is not None:
                connection.transport.abort()
        max_connections = self.partner.plan.connections
        if (
            max_connections
            and sum(len(listener.connections) for listener in self.partners.listeners[self.route].values())
            > max_connections
        ):
            connection.turned_away = True

    def first_bytes(self, connection: Connection) -> bool:
        """Whether to read a call whose first bytes have arrived.

        An unresponsive endpoint stops reading here, and some resets happen here.
        """
        fault = self.fault
        if fault is None:
            return True
        if fault.kind == "silent":
            connection.broken_off = True  # nothing more is read from it; its end is still detected
            return False
        if fault.kind == "reset" and self.partner.random.random() < fault.share / 2:
            connection.broken_off = True  # reset before the last byte: the call never ran
            if connection.transport is not None:
                connection.transport.abort()
            return False
        return True

    def closed(self, connection: Connection) -> None:
        """Handle the end of a relay's connection, and record it for a call that it interrupted."""
        call, observer = connection.last, self.partners.observer
        if call is None or not call.number:
            return
        at, since = observer.close_time()
        since = connection.not_before(since)
        pending = self.unanswered.pop(call.number, None)
        if pending is not None and self.partner.connection_closed(self.route, call.number):
            self.accepted.pop(call.number, None)
        if (
            pending is not None
            or self.partners.answered_at.get(call.number, -ANSWER_LOSS_WINDOW_NS) > since - ANSWER_LOSS_WINDOW_NS
        ):
            by = "partner" if connection.broken_off else "relay"
            observer.record(ev.CallEnded(at, since, call.number, by))

    def _request(self, call: Call) -> None:
        observer, now = self.partners.observer, self.clock.now()
        since = call.connection.not_before(self.clock.since)
        if call.method == "GET":
            status = self.partner.probe(now, self.route) if call.target in ("/-/healthy", "/-/load") else 404
            observer.record(ev.ProbeReceived(now, since, self.relay, self.route, status, call.first))
            if status:
                load = self.partner.load(now, self.route)
                body = b"x0=%.4f,x1=%.3f" % load if call.target == "/-/load" and load else b""
                self._answer(call, status, body=body)
            return
        ref = call.headers.get("x-request-id", "")
        call.number, call.came = next(self.partners.numbers), now
        observer.record(ev.CallReceived(now, since, call.number, self.relay, self.route, ref, call.first))
        self.unanswered[call.number] = call
        scope = self.partner.routes[self.route].scope
        fallen = scope.fallen
        outcome: Reply | ScheduledReply | None
        if call.method != "POST" or call.target != "/hook" or not ref:
            outcome = Reply(400)
        elif call.connection.turned_away:  # the endpoint has too many connections
            outcome = Reply(503, reports_load=False)
        else:
            outcome = self.partner.arrive(now, self.route, call.number)
        if scope.fallen and not fallen:
            observer.record(ev.FellOver(now, now, scope.name))
        if not isinstance(outcome, Reply):
            self.accepted[call.number] = call
        if isinstance(outcome, ScheduledReply):
            self.partners.schedule_reply(self, outcome)
        elif outcome is not None:
            self.reply(call, outcome)

    def reply(self, call: Call, reply: Reply) -> None:
        """Answer a call as the model decided, if its connection is still open."""
        observer = self.partners.observer
        at, _ = observer.action_time()
        if reply.runs:
            self._record_effect(call, at)
        fault = self.fault
        if reply.no_answer or fault is not None and fault.kind in ("silent", "down", "hang") and reply.status == 200:
            return
        if self.unanswered.pop(call.number, None) is None:
            return  # its connection is closed
        if reply.resets:
            observer.record(ev.CallEnded(at, at, call.number, "partner"))
            call.break_off()
            return
        self.partners.note_answer(call.number, at)
        if reply.malformed:
            observer.record(ev.CallAnswered(at, at, call.number, 0, readable=False))
            call.raw(reply.malformed)
            return
        observer.record(ev.CallAnswered(at, at, call.number, reply.status, reply.wait_ms * 1_000_000))
        if reply.status == 200:
            self.partners.on_delivered(call.headers.get("x-request-id", ""))
        headers = []
        if reply.wait_ms:
            headers.append(f"X-Backoff-Ms: {reply.wait_ms}")
        if reply.reports_load and (load := self.partner.load(at, self.route)) is not None:
            invalid = self.partner.plan.number in self.partners.invalid_load_reports
            header = f"X-Server-Load: x0={load[0]:.4f},x1={load[1]:.3f}"
            headers.append(INVALID_LOAD_HEADERS[call.number % len(INVALID_LOAD_HEADERS)] if invalid else header)
        self._answer(call, reply.status, *headers)
        ends_connection = fault is not None and fault.kind == "reset" and self.partner.random.random() < fault.share
        if reply.wait_ms and ends_connection:
            # The connection ends after an answer with a wait. After a reset, the relay may never read that answer.
            (call.close if call.number % 2 else call.break_off)()

    def _answer(self, call: Call, status: int, *headers: str, body: bytes = b"") -> None:
        """Write an answer, and a second copy of it later if the partner's fault is that."""
        answer = call.encode_answer(status, *headers, body=body)
        call.raw(answer)
        delay = self.partner.second_copy_delay(self.route)
        if delay is not None:
            due = asyncio.get_running_loop().time() + delay
            self.partners.call_at(due, self._write_copy, call, answer, due)

    def _write_copy(self, call: Call, answer: bytes, due: float) -> None:
        """Write a second copy, but not one that a busy machine has held up: the scenario limits how late it may be."""
        if call.connection.lost or asyncio.get_running_loop().time() > due + MAX_COPY_DELAY_S:
            return
        at, since = self.partners.observer.action_time()
        self.partners.observer.record(ev.AnswerRepeated(at, since, call.number, self.relay, self.route))
        call.raw(answer)

    def _record_effect(self, call: Call, at: int) -> None:
        """Record the effect of a call that has run, unless it is recognised as a repeat."""
        zone = self.partner.routes[self.route].plan.zone
        klass = call.body.split(b"|", 2)[1].decode("latin-1") if call.body.count(b"|") >= 2 else ""
        key = call.headers.get("idempotency-key", "")
        window = self.partners.repeat_windows.get(klass)
        if window is not None and key:
            scoped_key = (self.partner.plan.number, zone if window[1] else "", key)
            ran = self.partners.remembered_keys.get(scoped_key)
            if ran is not None and call.came < ran + window[0]:
                return  # the key was still remembered when the call arrived, however long the call was queued
            self.partners.remembered_keys[scoped_key] = at
        self.partners.observer.record(ev.Effect(at, at, call.number, call.headers.get("x-request-id", ""), zone))


class Partners:
    """All simulated partners of a run. ``on_delivered`` is called with the ref of each message answered with 200."""

    def __init__(self, plan: Plan, observer: Observer, on_delivered: Callable[[str], None]) -> None:
        self.plan = plan
        self.observer = observer
        self.on_delivered = on_delivered
        rules = plan.settings["rules"]
        self.partners = {
            partner.number: Partner(partner, plan.seed, rules["fall"], rules["fallMultiple"]) for partner in plan.partners
        }
        self.listeners: dict[str, dict[str, Listener]] = {}  # by route and relay
        self.numbers = itertools.count(1)
        self.invalid_load_reports: set[int] = set()
        self.in_outage: set[str] = set()  # names of scopes that have an outage
        self.answered_at: dict[int, int] = {}  # of the most recently answered calls
        self.remembered_keys: dict[tuple[int, str, str], int] = {}  # time of the effect, by partner, zone (or "") and key
        self.repeat_windows = {
            c["name"]: (c["repeatWindow"], c["keyScope"] == "zone")
            for c in plan.settings["classes"]
            if c["idempotency"] == "dedup"
        }
        self._timers: set[asyncio.TimerHandle] = set()
        self._replacement_numbers = itertools.count(1)

    async def start(self) -> None:
        """Listen for every route of every partner, and record the routes."""
        for partner in self.plan.partners:
            for route in partner.routes:
                await self._open(partner.number, route.name)
        self._record_routes()

    async def _open(self, number: int, route: str) -> None:
        self.listeners[route] = {}
        for relay in self.plan.relays:
            listener = self.listeners[route][relay] = Listener(self, self.partners[number], route, relay)
            await listener.start()

    def _record_routes(self) -> None:
        at, since = self.observer.action_time()
        self.observer.record(
            ev.RoutesAnnounced(
                at,
                since,
                tuple(
                    ev.Route(route.plan.name, number, route.plan.zone, partner.plan.apart)
                    for number, partner in self.partners.items()
                    for route in partner.routes.values()
                ),
            )
        )

    async def stop(self) -> None:
        """Cancel all timers, stop listening and abort all connections."""
        for timer in self._timers:
            timer.cancel()
        for listeners in self.listeners.values():
            for listener in listeners.values():
                await listener.stop()

    def note_answer(self, call: int, at: int) -> None:
        """Store when a call was answered; the oldest entries are evicted."""
        self.answered_at[call] = at
        if len(self.answered_at) > 20_000:
            for old in list(itertools.islice(self.answered_at, 10_000)):
                del self.answered_at[old]

    def schedule_reply(self, listener: Listener, scheduled: ScheduledReply) -> None:
        """Schedule the reply to a started call."""

        def finish() -> None:
            call = listener.accepted.pop(scheduled.call, None)
            if call is not None:
                listener.reply(call, scheduled.reply)
            for following in listener.partner.finish(self.observer.clock.now(), listener.route, scheduled.call):
                # The queued call may have arrived through another relay's listener.
                self.schedule_reply(self._find_listener(listener.route, following.call) or listener, following)

        self.call_at(self.observer.clock.loop_time(scheduled.at), finish)

    def call_at(self, when: float, function: Callable[..., None], *arguments: object) -> None:
        """Call a function at a time of the loop, unless the run ends before."""
        handle: asyncio.TimerHandle

        def run() -> None:
            self._timers.discard(handle)
            function(*arguments)

        handle = asyncio.get_running_loop().call_at(when, run)
        self._timers.add(handle)

    def _find_listener(self, route: str, call: int) -> Listener | None:
        return next((listener for listener in self.listeners[route].values() if call in listener.accepted), None)

    # ---- faults

    def inject_fault(self, number: int, fault: InjectedFault) -> None:
        """Inject a fault into all scopes of a partner."""
        now = self.observer.clock.now()
        partner = self.partners[number]
        for scope in partner.plan.scopes:
            partner.inject_fault(now, scope, fault)
            if fault.kind not in DEGRADING_FAULTS and fault.share >= 0.5:
                self.in_outage.add(scope)
                self.observer.record(ev.OutageBegan(now, now, scope, fault.kind))
        if fault.kind == "down":
            self._abort(partner)

    def clear_fault(self, number: int, cold: float | None, ramp: int) -> None:
        """End the fault of a partner. With ``cold``, the partner recovers with that share of its capacity."""
        partner = self.partners[number]
        now = self.observer.clock.now()
        for name in partner.plan.scopes:
            scope = partner.scopes[name]
            if scope.fault is not None and scope.fault.kind in ("silent", "hang"):
                self._abort(partner)  # a restarted machine does not know its old connections
            if name not in self.in_outage:  # it kept serving during the fault, so it is not cold
                partner.clear_fault(now, name, None, 0)
                continue
            self.in_outage.discard(name)
            partner.clear_fault(now, name, cold, ramp)
            now = self.observer.clock.now()
            self.observer.record(ev.OutageOver(now, now, name, scope.capacity, 1.0 if cold is None else cold, ramp))

    def take_down_route(self, number: int, route: str) -> None:
        """Take down one route of a partner whose routes are separate scopes; ``clear_route_fault`` ends that."""
        partner, now = self.partners[number], self.observer.clock.now()
        partner.inject_fault(now, route, InjectedFault("down", 1 << 62, 1.0, 1.0))
        self.observer.record(ev.OutageBegan(now, now, route, "down"))
        self._abort(partner, (route,))

    def clear_route_fault(self, number: int, route: str, cold: float, ramp: int) -> None:
        """End the outage of a route; it recovers cold."""
        partner, now = self.partners[number], self.observer.clock.now()
        partner.clear_fault(now, route, cold, ramp)
        self.observer.record(ev.OutageOver(now, now, route, partner.scopes[route].capacity, cold, ramp))

    def _abort(self, partner: Partner, routes: tuple[str, ...] = ()) -> None:
        for route in routes or partner.routes:
            for listener in self.listeners[route].values():
                for connection in list(listener.connections):
                    connection.broken_off = True
                    if connection.transport is not None:
                        connection.transport.abort()

    def drain(self, route: str) -> None:
        """Drain an endpoint: it refuses new calls."""
        for partner in self.partners.values():
            if route in partner.routes:
                partner.routes[route].draining = True

    async def replace(self, route: str) -> RoutePlan:
        """Add an endpoint with a new name that replaces another one."""
        partner = next(partner for partner in self.partners.values() if route in partner.routes)
        old = partner.routes[route].plan
        new = RoutePlan(f"{old.name}-new{next(self._replacement_numbers)}", old.zone)
        partner.add(new)
        await self._open(partner.plan.number, new.name)
        self._record_routes()
        return new

    def close(self, route: str) -> None:
        """Remove an endpoint: it accepts no more connections."""
        for listener in self.listeners[route].values():
            listener.stop_listening()

    def address(self, route: str, relay: str) -> str:
        """The address at which a relay reaches a route, as host:port."""
        return self.listeners[route][relay].address
