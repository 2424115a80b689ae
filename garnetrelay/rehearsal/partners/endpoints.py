"""The stand-in partners' endpoints: sockets, timers and effects round the model. Each relay has a port of its own at
each endpoint, so that who calls is known without asking."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.http import Call, Connection, HttpServer
from garnetrelay.rehearsal.observer import Observer
from garnetrelay.rehearsal.partners.model import Due, Partner, Reply, Trouble
from garnetrelay.rehearsal.plan import Plan, RoutePlan

SECOND = 1_000_000_000
SOON = SECOND  # a connection that ends so soon after an answer may not have carried it
ABSURD = (
    "X-Server-Load: x0=-7,x1=1e300",
    "X-Server-Load: x0=nan,x1=nan",
    "X-Server-Load: " + "9" * 400,
    "X-Server-Load: x0=0.0001,x1=0.0001",
    "X-Server-Load: ;;;",
)


class Door(HttpServer):
    """One endpoint as one relay reaches it."""

    def __init__(self, partners: Partners, partner: Partner, route: str, relay: str) -> None:
        super().__init__(self._request, partners.observer.clock)
        self.partners = partners
        self.partner = partner
        self.route = route
        self.relay = relay
        self.open: dict[int, Call] = {}  # calls without an answer
        self.calls: dict[int, Call] = {}  # those that the partner has started or queued

    @property
    def trouble(self) -> Trouble | None:
        """What is wrong with this endpoint now; None where nothing is."""
        return self.partner.routes[self.route].scope.trouble

    def opened(self, connection: Connection) -> None:
        """A relay has connected: refused where the endpoint is down, and turned away where it holds too many."""
        trouble = self.trouble
        if trouble is not None and trouble.how == "down":
            at, since = self.partners.observer.read()
            self.partners.observer.see(ev.ConnectFailed(at, since, self.relay, self.route))
            connection.broken_off = True
            if connection.transport is not None:
                connection.transport.abort()
        most = self.partner.plan.connections
        if most and sum(len(door.connections) for door in self.partners.doors[self.route].values()) > most:
            connection.turned_away = True

    def first_bytes(self, connection: Connection) -> bool:
        """Whether a call may be read that begins now; a silent endpoint and some resets break it off here."""
        trouble = self.trouble
        if trouble is None:
            return True
        if trouble.how == "silent":
            connection.broken_off = True  # nothing of it is read any more; its end is still noticed
            return False
        if trouble.how == "reset" and self.partner.random.random() < trouble.share / 2:
            connection.broken_off = True  # before the last byte: it never ran
            if connection.transport is not None:
                connection.transport.abort()
            return False
        return True

    def closed(self, connection: Connection) -> None:
        """A relay's connection has ended: the record says so of a call that it cut short."""
        call, observer = connection.last, self.partners.observer
        if call is None or not call.number:
            return
        at, since = observer.ended()
        since = connection.not_before(since)
        waiting = self.open.pop(call.number, None)
        if waiting is not None and self.partner.gone(self.route, call.number):
            self.calls.pop(call.number, None)
        if waiting is not None or self.partners.answered_at.get(call.number, -SOON) > since - SOON:
            by = "partner" if connection.broken_off else "relay"
            observer.see(ev.CallEnded(at, since, call.number, by))

    def _request(self, call: Call) -> None:
        observer, now = self.partners.observer, self.clock.now()
        since = call.connection.not_before(self.clock.since)
        if call.method == "GET":
            status = self.partner.probe(now, self.route) if call.target in ("/-/healthy", "/-/load") else 404
            observer.see(ev.ProbeReceived(now, since, self.relay, self.route, status, call.first))
            if status:
                load = self.partner.load(now, self.route)
                body = b"x0=%.4f,x1=%.3f" % load if call.target == "/-/load" and load else b""
                call.answer(status, body=body)
            return
        ref = call.headers.get("x-request-id", "")
        call.number, call.came = next(self.partners.numbers), now
        observer.see(ev.CallReceived(now, since, call.number, self.relay, self.route, ref, call.first))
        self.open[call.number] = call
        scope = self.partner.routes[self.route].scope
        fallen = scope.fallen
        what: Reply | Due | None
        if call.method != "POST" or call.target != "/hook" or not ref:
            what = Reply(400)
        elif call.connection.turned_away:  # it holds no more connections than it does
            what = Reply(503, tells_load=False)
        else:
            what = self.partner.arrive(now, self.route, call.number)
        if scope.fallen and not fallen:
            observer.see(ev.FellOver(now, now, scope.name))
        if not isinstance(what, Reply):
            self.calls[call.number] = call
        if isinstance(what, Due):
            self.partners.begin(self, what)
        elif what is not None:
            self.reply(call, what)

    def reply(self, call: Call, reply: Reply) -> None:
        """Answer a call as the model has it, if anybody is still there to hear it."""
        observer = self.partners.observer
        at, _ = observer.did()
        if reply.runs:
            self._effect(call, at)
        trouble = self.trouble
        if reply.silent or trouble is not None and trouble.how in ("silent", "down", "hang") and reply.status == 200:
            return
        if self.open.pop(call.number, None) is None:
            return  # its connection is gone
        if reply.breaks:
            observer.see(ev.CallEnded(at, at, call.number, "partner"))
            call.break_off()
            return
        self.partners.note_answer(call.number, at)
        if reply.spoilt:
            observer.see(ev.CallAnswered(at, at, call.number, 0, readable=False))
            call.raw(reply.spoilt)
            return
        observer.see(ev.CallAnswered(at, at, call.number, reply.status, reply.wait_ms * 1_000_000))
        if reply.status == 200:
            self.partners.on_delivered(call.headers.get("x-request-id", ""))
        headers = []
        if reply.wait_ms:
            headers.append(f"X-Backoff-Ms: {reply.wait_ms}")
        if reply.tells_load and (load := self.partner.load(at, self.route)) is not None:
            absurd = self.partner.plan.number in self.partners.absurd
            told = f"X-Server-Load: x0={load[0]:.4f},x1={load[1]:.3f}"
            headers.append(ABSURD[call.number % len(ABSURD)] if absurd else told)
        call.answer(reply.status, *headers)
        breaking = trouble is not None and trouble.how == "reset" and self.partner.random.random() < trouble.share
        if reply.wait_ms and breaking:
            # A wait on a connection that breaks: with a reset behind it, it may never be read.
            (call.close if call.number % 2 else call.break_off)()

    def _effect(self, call: Call, at: int) -> None:
        """The call has run: an effect, unless it is a repeat that is recognised here."""
        zone = self.partner.routes[self.route].plan.zone
        klass = call.body.split(b"|", 2)[1].decode("latin-1") if call.body.count(b"|") >= 2 else ""
        key = call.headers.get("idempotency-key", "")
        window = self.partners.windows.get(klass)
        if window is not None and key:
            place = (self.partner.plan.number, zone if window[1] else "", key)
            ran = self.partners.remembered.get(place)
            if ran is not None and call.came < ran + window[0]:
                return  # it came while the key was remembered, however long it took to its turn
            self.partners.remembered[place] = at
        self.partners.observer.see(ev.Effect(at, at, call.number, call.headers.get("x-request-id", ""), zone))


class Partners:
    """All stand-in partners of a run. ``on_delivered`` hears of each message that is answered with 200."""

    def __init__(self, plan: Plan, observer: Observer, on_delivered: Callable[[str], None]) -> None:
        self.plan = plan
        self.observer = observer
        self.on_delivered = on_delivered
        rules = plan.settings["rules"]
        self.partners = {
            partner.number: Partner(partner, plan.seed, rules["fall"], rules["fallMultiple"]) for partner in plan.partners
        }
        self.doors: dict[str, dict[str, Door]] = {}  # by route and relay
        self.numbers = itertools.count(1)
        self.absurd: set[int] = set()
        self.out: set[str] = set()  # scopes in an outage
        self.answered_at: dict[int, int] = {}  # of the calls answered last
        self.remembered: dict[tuple[int, str, str], int] = {}  # keys, by partner and building
        self.windows = {
            c["name"]: (c["repeatWindow"], c["keyScope"] == "zone")
            for c in plan.settings["classes"]
            if c["idempotency"] == "dedup"
        }
        self._timers: set[asyncio.TimerHandle] = set()
        self._new = itertools.count(1)

    async def start(self) -> None:
        """Listen for every route of every partner, and put the world on record."""
        for partner in self.plan.partners:
            for route in partner.routes:
                await self._open(partner.number, route.name)
        self._tell_world()

    async def _open(self, number: int, route: str) -> None:
        self.doors[route] = {}
        for relay in self.plan.relays:
            door = self.doors[route][relay] = Door(self, self.partners[number], route, relay)
            await door.start()

    def _tell_world(self) -> None:
        at, since = self.observer.did()
        self.observer.see(
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
        """Cut all connections off; nothing more happens to the partners."""
        for timer in self._timers:
            timer.cancel()
        for doors in self.doors.values():
            for door in doors.values():
                await door.stop()

    def note_answer(self, call: int, at: int) -> None:
        """Remember when a call was answered, for a while."""
        self.answered_at[call] = at
        if len(self.answered_at) > 20_000:
            for old in list(itertools.islice(self.answered_at, 10_000)):
                del self.answered_at[old]

    def begin(self, door: Door, due: Due) -> None:
        """A call has been started: see to its answer in time."""
        loop = asyncio.get_running_loop()
        handle: asyncio.TimerHandle

        def finish() -> None:
            self._timers.discard(handle)
            call = door.calls.pop(due.call, None)
            if call is not None:
                door.reply(call, due.reply)
            for following in door.partner.finish(self.observer.clock.now(), door.route, due.call):
                # It may have come through another relay's door.
                self.begin(self._door_of(door.route, following.call) or door, following)

        handle = loop.call_at(self.observer.clock.loop_time(due.at), finish)
        self._timers.add(handle)

    def _door_of(self, route: str, call: int) -> Door | None:
        return next((door for door in self.doors[route].values() if call in door.calls), None)

    # ---- troubles

    def strike(self, number: int, how: str, until: int, share: float, factor: float) -> None:
        """Something goes wrong with all of a partner."""
        now = self.observer.clock.now()
        partner = self.partners[number]
        for scope in partner.plan.scopes:
            partner.strike(now, scope, Trouble(how, until, share, factor))
            if how not in ("slow", "spoil", "reset") and share >= 0.5:
                self.out.add(scope)
                self.observer.see(ev.OutageBegan(now, now, scope, how))
        if how == "down":
            self._abort(partner)

    def heal(self, number: int, cold: float | None, ramp: int) -> None:
        """It is over. With ``cold`` the partner comes back with that share of its capacity."""
        partner = self.partners[number]
        now = self.observer.clock.now()
        for name in partner.plan.scopes:
            scope = partner.scopes[name]
            if scope.trouble is not None and scope.trouble.how in ("silent", "hang"):
                self._abort(partner)  # a machine that is back knows nothing of its old connections
            if name not in self.out:  # it served all the time, well or badly: it is not cold
                partner.heal(now, name, None, 0)
                continue
            self.out.discard(name)
            partner.heal(now, name, cold, ramp)
            now = self.observer.clock.now()
            self.observer.see(ev.OutageOver(now, now, name, scope.capacity, 1.0 if cold is None else cold, ramp))

    def strike_route(self, number: int, route: str) -> None:
        """One route of a partner whose routes are apart is restarted: it is down until ``heal_route``."""
        partner, now = self.partners[number], self.observer.clock.now()
        partner.strike(now, route, Trouble("down", 1 << 62, 1.0, 1.0))
        self.observer.see(ev.OutageBegan(now, now, route, "down"))
        self._abort(partner, (route,))

    def heal_route(self, number: int, route: str, cold: float, ramp: int) -> None:
        """It is back, cold."""
        partner, now = self.partners[number], self.observer.clock.now()
        partner.heal(now, route, cold, ramp)
        self.observer.see(ev.OutageOver(now, now, route, partner.scopes[route].capacity, cold, ramp))

    def _abort(self, partner: Partner, routes: tuple[str, ...] = ()) -> None:
        for route in routes or partner.routes:
            for door in self.doors[route].values():
                for connection in list(door.connections):
                    connection.broken_off = True
                    if connection.transport is not None:
                        connection.transport.abort()

    def drain(self, route: str) -> None:
        """The endpoint takes nothing new any more, as far as it can help it."""
        for partner in self.partners.values():
            if route in partner.routes:
                partner.routes[route].draining = True

    async def replace(self, route: str) -> RoutePlan:
        """A new endpoint in the place of one that goes; its name is new."""
        partner = next(partner for partner in self.partners.values() if route in partner.routes)
        old = partner.routes[route].plan
        new = RoutePlan(f"{old.name}-new{next(self._new)}", old.zone)
        partner.add(new)
        await self._open(partner.plan.number, new.name)
        self._tell_world()
        return new

    def close(self, route: str) -> None:
        """An endpoint is gone: it takes no connection any more."""
        for door in self.doors[route].values():
            door.stop_listening()

    def address(self, route: str, relay: str) -> str:
        """Where one relay reaches a route, as host:port."""
        return self.doors[route][relay].address
