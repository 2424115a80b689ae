"""Drives the Pacer: what happens on the sockets becomes its events, its actions become calls and answers.

The only file that talks to the Pacer. It keeps each held message's body and attempt, and writes to the
journal before anything that must not be forgotten: an answer to a client, an attempt's first byte.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import gc
import logging
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from garnetrelay.config.deployment import Address, Config
from garnetrelay.counts import Counts
from garnetrelay.delivery.http import hosts as net
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.fronts.resp.requests import Rejected, Request
from garnetrelay.fronts.resp.server import Reply, Server
from garnetrelay.lag import Lag
from garnetrelay.looks import PAUSE, after_a_look
from garnetrelay.membership.register import Discovery, News, Reader
from garnetrelay.platform.notices import Notices
from garnetrelay.recovery import newest_time, ran_ago
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from garnetrelay.untried import Untried
from starlingwick import interface as io
from starlingwick.control import MAY_HAVE_RUN, Pacer

if TYPE_CHECKING:
    from garnetrelay.fleet.service import Fleet
    from garnetrelay.operators.service import Operators
    from garnetrelay.store.ahead import Ahead
    from garnetrelay.store.durability import Syncing
    from garnetrelay.upgrade.give import Giver
    from garnetrelay.upgrade.protocol import State
    from garnetrelay.upgrade.take import Hearing, Inheritance

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1_000_000_000
STOP_AFTER = 3 * SECOND  # from SIGTERM to our end: SIGKILL comes no sooner than after 3.7 s
TEND_PAUSE = 0.005  # seconds between two steps of compaction while no turn comes
BROKEN_PAUSE = 0.25  # seconds until a folder that takes no records is tried again
SLICE = 1000  # messages picked up in a round of the loop: some ten milliseconds
MOST_GONE = 4096  # hosts that have left the list and are still known by name
UNSURE = 2 * SECOND // 5  # between a request's sending and our reading it, at most: its client waits so long for a word
NEAR_END = SECOND // 10  # before a message's time: an end that is due by the clock comes no earlier
DRAIN_AFTER = 0.6  # seconds after SIGTERM: new connections come for up to 0.4 s
LAST_TURN = SECOND // 4  # before our end: nothing is read from then on, and clients read what they are answered
LAST_RECORD = SECOND // 2  # behind STOP_AFTER, for records that answers wait for: still ahead of SIGKILL


@dataclass(slots=True, eq=False)
class Held:
    """A message in our hands, until its end is told and its last attempt has an outcome."""

    ref: str
    klass: str
    key: str | None
    body: bytes
    ends_at: int  # monotonic clock, nanoseconds: an answer behind that is none
    attempts: int = 0
    exchange: net.Exchange | None = None
    over: bool = False
    sent_at: int = 0  # of the last attempt, monotonic clock
    zone: int = -1  # the same: its host's


@dataclass(slots=True)
class Newcomer:
    """A message whose client waits to hear whether it is taken on."""

    request: Request
    reply: Reply
    deadline: int  # wall clock, milliseconds
    ends_at: int  # the same by the monotonic clock, nanoseconds


@dataclass(slots=True, eq=False)
class Attempt:
    """One call with a message: what goes on record of it, and what the Pacer hears."""

    relay: Relay
    message: Held
    host: str
    number: int
    started: int  # monotonic clock, as is the next
    stop_at: int
    written: bool = False  # it is on record

    def exchange(self) -> net.Exchange:
        return net.Exchange(self.host, self.stop_at, self.prepare, self.done, self.still_clear, self.message.ref)

    def prepare(self, address: Address) -> bytes | None:
        """The last look and the record, then the request."""
        if not self.still_clear():
            return None
        message, zones = self.message, self.relay.config.zone_names
        name = zones[message.zone] if 0 <= message.zone < len(zones) else ""
        self.written = self.relay.journal.trying(message.ref, name, time.time_ns() // MS)
        if self.written and self.relay.untried.on_try(message.ref):
            log.info("%s", self.relay.untried)
        return net.call(address, message.ref, message.key, message.body, self.stop_at) if self.written else None

    def still_clear(self) -> bool:
        now = time.monotonic_ns()
        return now < self.stop_at and self.relay.pacer.clear_to_send(now, self.message.ref, self.host)

    def done(self, outcome: Outcome) -> None:
        relay, message = self.relay, self.message
        message.exchange = None
        log.debug("attempt %s %d at %s: %s", message.ref, self.number, self.host, outcome)
        # The loop reads sockets before it looks at timers: an answer may lie there behind its time.
        # Nobody waits for that any more, and the client is still owed an end.
        now = time.monotonic_ns()
        finished = outcome.finished and now < message.ends_at
        if finished:
            # Its end settles the attempt too. The client counts from its sending: if the answer came behind its time but
            # ahead of ours, the end is still owed. A notice for a message that is over does no harm.
            relay.finish(message, None, 0, tell="dead" if now >= message.ends_at - UNSURE else None)
        elif self.written:
            relay.journal.outcome(message.ref, outcome.status in MAY_HAVE_RUN or outcome.status is io.Status.OK)
        if message.over:
            relay.held.pop(message.ref, None)
        relay.post(
            io.Verdict(
                message.ref,
                self.number,
                self.host,
                outcome.status,
                time.monotonic_ns() - self.started,
                finished,
                outcome.wait,
                outcome.no_slot,
                outcome.report,
            )
        )


class Relay:
    """One relay, from its start to its end."""

    def __init__(self, config: Config, inheritance: Inheritance | None = None, ahead: Ahead | None = None) -> None:
        self.config = config
        self.inheritance = inheritance
        self.settings = config.settings
        self.pacer = Pacer(config.settings, config.seed)
        self.journal = Store.open(
            config.state,
            config.journal_bytes,
            config.machine_durable,
            None if inheritance is None else inheritance.claim,
            ahead,
            config.settings.limits.most_tries,
        )
        self.class_numbers = {name: number for number, name in enumerate(config.class_names)}
        self.listed: dict[str, io.HostEntry] = {}  # by host
        self.gone: dict[str, None] = {}  # hosts that were listed, the latest last
        self.counts = Counts(config.class_names)
        self.operators: Operators | None = None
        self.fleet: Fleet | None = None
        self.giver: Giver | None = None
        self.hearing: Hearing | None = None
        self.dests: set[int] = set()  # all that the list has ever named
        self.held: dict[str, Held] = {}
        self.untried = Untried()
        self.recovering: deque[Entry] = deque()  # picked up, and not yet taken up
        self.taken_up: list[Entry] = []  # and not yet with the Pacer: it hears of them in the coming turn
        self.clock_is_sure = True  # no time that the journal has lies ahead of the wall clock
        self.newcomers: dict[str, Newcomer] = {}
        self.inbox: list[io.Event] = []
        self.turn_due = False
        self.looked_at = 0  # when the last batch began
        self.flush_due = False
        self.lag = Lag()
        self.alarm: asyncio.TimerHandle | None = None
        self.ends: list[tuple[str, str, int]] = []  # of this turn: what the platform is told of each
        self.unreleased = 0  # turns whose records are on their way to the disk
        self.closed = False
        self.tending: asyncio.TimerHandle | None = None
        self.syncing: Syncing | None = None
        self.serving = False
        self.stopping = False
        self.time_is_up = False
        self.finished = asyncio.Event()
        # Clients and hosts share the descriptors: each may have what the other does not use of its own part.
        self.hosts = net.Hosts(
            config.settings,
            self._host_room,
            lambda: self.server.close_longest_idle(),
            self.journal.on_record,
            config.machine_durable,
        )
        self.server = Server(self.on_request, self._client_room, self._more_client_room)
        self.server.on_closed = self._end_if_idle
        self.reader = Reader(config)
        self.discovery = Discovery(config.discovery, self.reader, 0, self.on_news)
        self.notices = Notices(config.discovery, self._told)

    def _host_room(self) -> int:
        """How many more connections to hosts there may be."""
        clients = max(self.config.client_sockets, len(self.server.connections) - self.server.turned_away)
        return self.config.shared_sockets - clients - self.hosts.count

    def _client_room(self) -> int:
        """How many more connections of clients there may be."""
        hosts = max(self.config.host_sockets, self.hosts.count)
        return self.config.shared_sockets - hosts - len(self.server.connections)

    def _more_client_room(self) -> bool:
        return self.hosts.count > self.config.host_sockets and self.hosts.close_longest_idle()

    async def start(self) -> tuple[str, int]:
        """Pick up what an earlier life left, then listen; the address that clients may use."""
        gc.freeze()  # what was read stays: no collection has to look at it again
        if self.config.machine_durable:
            from garnetrelay.store.durability import Syncing  # a thread: only where it is wanted

            self.syncing = Syncing(self.journal)
        if self.config.operators is not None:
            from garnetrelay.operators.service import Operators  # only where staff may call

            self.operators = Operators(self)
            await self.operators.start(self.config.operators)
            self.inbox += self.operators.excluded()
        if self.config.fleet is not None:
            from garnetrelay.fleet.service import Fleet  # only where relays know each other

            passed = None if self.inheritance is None else self.inheritance.state.fleet
            self.fleet = Fleet(
                self.config.fleet, self.config.name, self.config.state, self.config.machine_durable, passed
            )
            await self.fleet.start()
        if self.inheritance is None:
            self._read_known()
        else:
            self._inherit(self.inheritance.state)
        self._recover()
        self.turn()
        if self.settings.discovery is io.Discovery.AUTOMATIC:
            self.discovery.subscribe()  # the Pacer asks only where changes do not come by themselves
        listen = self.config.listen
        if self.inheritance is None:
            address = await self.server.start(listen.host, listen.port, self.config.operators is not None)
        else:
            address = await self._adopt(self.inheritance)
        self.serving = True
        self._recover_slice()
        if self.config.operators is not None:
            from garnetrelay.upgrade.give import Giver  # staff may upgrade it

            self.giver = Giver(self)
        if self.inheritance is not None:
            from garnetrelay.upgrade.take import Hearing

            self.inheritance.taken()
            self.hearing = Hearing(self.inheritance.channel, self._exclude_as_told)
            self.inheritance = None
        return address

    def reconfigure(self, config: Config) -> None:
        """SIGHUP: go on with what can change in a running relay, the address of discovery. The list that we
        have stays in force until the new address brings its own."""
        self.counts.reloads_ok += 1
        if self.closed:  # the relay has passed to a new process, which reads its own
            return
        if self.fleet is not None:
            self.fleet.read_secrets()
        if config.discovery == self.config.discovery:
            log.info("configuration read again: discovery stays at %s", config.discovery)
            return
        log.info("discovery moves from %s to %s", self.config.discovery, config.discovery)
        self.config = dataclasses.replace(self.config, discovery=config.discovery)
        self.discovery.move(config.discovery)
        self.notices.move(config.discovery)

    def stop(self) -> None:
        """SIGTERM: serve on while new connections come, then end calls, then ourselves."""
        if self.closed:  # the relay has passed to a new process
            self.finished.set()
        if self.stopping or self.closed:
            return
        self.stopping = True
        if self.hearing is not None:
            self.hearing.bye()
        log.info("stopping: %d messages held", len(self.held))
        at = time.monotonic_ns() + STOP_AFTER
        self.post(io.Stopping(at))
        loop = asyncio.get_running_loop()
        loop.call_later(DRAIN_AFTER, self._drain)
        loop.call_at((at - LAST_TURN) / SECOND, self._last_turn)
        loop.call_at(at / SECOND, self._time_is_up)

    def _last_turn(self) -> None:
        """What has been read is answered, and nothing more is read: a request that we read and leave without an answer
        is lost, one that lies unread its client hands in again."""
        if not self.closed:
            self.server.end()
            self.turn()

    def _time_is_up(self) -> None:
        """The end, once all that was promised is on record."""
        self.time_is_up = True
        if self.unreleased and not self.closed:
            asyncio.get_running_loop().call_later(LAST_RECORD / SECOND, self.finished.set)
        else:
            self.finished.set()

    def _drain(self) -> None:
        self.server.drain()
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        """The end, unless anything is held, owed, on its way, or may yet come on a connection that is open."""
        if self.server.draining and not (
            self.held
            or self.recovering
            or self.notices.queue
            or self.unreleased
            or self.turn_due
            or self.inbox
            or self.newcomers
            or self.server.connections
            or self.server.listening
        ):
            self.finished.set()

    def retire(self) -> None:
        """Decide and tell nothing any more: the relay passes to a new process."""
        self.closed = True
        for timer in (self.alarm, self.tending):
            if timer is not None:
                timer.cancel()
        if self.syncing is not None:
            self.syncing.close()
        self.discovery.close()
        self.notices.close()
        if self.fleet is not None:
            self.fleet.close()

    def close(self) -> None:
        if self.untried.left:
            log.info("%s", self.untried)
        if self.fleet is not None and self.stopping:
            self.fleet.leave()
        self.retire()
        if self.operators is not None:
            self.operators.close()
        if self.giver is not None:
            self.giver.close()
        self.hosts.close()
        self.journal.close()

    # ---- the start

    def _read_known(self) -> None:
        try:
            news = self.reader.read(self.config.known)
        except ValueError as error:
            log.warning("the list in the configuration can't be read, starting without one: %s", error)
            return
        self.discovery.index = news.index
        self._place(news)
        self.inbox.append(io.Roster(io.ListScope.CACHED, news.entries))

    def _inherit(self, state: State) -> None:
        """The list as the process before had it, and what it knew."""
        from starlingwick.memory import restore

        entries, addresses = [], {}
        for e in state.endpoints:
            entries.append(io.HostEntry(e.name, e.zone, e.kind, e.dest, io.Availability(e.availability), e.rate))
            addresses[e.name] = Address(e.host, e.port)
        self.gone = dict.fromkeys(state.gone)
        self.discovery.index = state.index
        news = News(state.index, True, tuple(entries), addresses)
        self._place(news)
        self.inbox.append(io.Roster(io.ListScope.CACHED, news.entries))
        self.turn()
        restore(self.pacer, state.memory)

    async def _adopt(self, inheritance: Inheritance) -> tuple[str, int]:
        """Connections and the listener, as the process before left them."""
        for call, found in inheritance.calls.values():
            message = self.held.get(call.ref)
            if message is None:
                found.close()
                continue
            attempt = Attempt(self, message, call.name, message.attempts - 1, call.started, call.stop_at, True)
            message.exchange, message.sent_at, message.zone = attempt.exchange(), call.started, call.zone
            await self.hosts.adopt(found, call.name, Address(call.host, call.port), call.used, message.exchange)
        for idle, found in inheritance.idle:
            await self.hosts.adopt(found, idle.name, Address(idle.host, idle.port), True, None)
        for client, found in inheritance.clients:
            await self.server.adopt(found, client.raw, client.asked)
        return await self.server.listen(inheritance.listener)

    def _exclude_as_told(self, host: str, out: bool) -> str:
        """Staff called the process before; why it can't be done, or nothing."""
        from garnetrelay.operators.calls import Refused

        assert self.operators is not None
        try:
            self.operators.exclude(host, out)
        except Refused as refused:
            return str(refused)
        return ""

    def _recover(self) -> None:
        """Pick up what an earlier life left. Messages that keep an order come before any newcomer of theirs, and calls
        that are out before any other; the rest goes to the Pacer in slices, soonest deadline first, while clients are
        answered."""
        passed = {} if self.inheritance is None else self.inheritance.calls
        self._look_at_the_clock()
        first: list[Entry] = []
        rest: list[Entry] = []
        for entry in list(self.journal.entries.values()):
            if entry.ended is not None:
                self.ends.append((entry.ref, entry.ended, entry.wait_ms))
            elif entry.klass not in self.class_numbers:
                log.error("journal: message %s has the unknown class %s", entry.ref, entry.klass)
                self._end(entry.ref, "dead", 0)
            elif entry.ref in passed or self.settings.classes[self.class_numbers[entry.klass]].in_turn:
                first.append(entry)
            else:
                rest.append(entry)
        rest.sort(key=lambda entry: entry.deadline)
        if self.journal.entries:
            log.info("picked up %d messages and %d notices", len(first) + len(rest), len(self.ends))
        self.recovering.extend(rest)
        self._take_up(first)

    def _recover_slice(self) -> None:
        """So many at once, and the others in later rounds of the loop."""
        if self.closed:
            return
        self._take_up([self.recovering.popleft() for _ in range(min(SLICE, len(self.recovering)))])
        if self.recovering:
            asyncio.get_running_loop().call_soon(self._recover_slice)

    def _look_at_the_clock(self) -> None:
        ahead = newest_time(self.journal.entries.values()) - time.time_ns() // MS
        self.clock_is_sure = ahead <= 0
        if ahead > 0:
            log.warning(
                "the clock was set back by %d ms or more: no keyed message that may have run is sent again", ahead
            )

    def _take_up(self, entries: list[Entry]) -> None:
        now_ms = time.time_ns() // MS
        for entry in entries:
            if not entry.attempts:
                self.untried.find(entry.ref)
            ends_at = time.monotonic_ns() + (entry.deadline - now_ms) * MS
            self.held[entry.ref] = Held(entry.ref, entry.klass, entry.key, entry.body, ends_at, entry.attempts)
        if entries:
            self.taken_up += entries
            self._turn_is_due()

    def _recovered(self, entry: Entry, now: int) -> io.Recovered:
        """As the Pacer hears of it in a turn. ``now``: the turn's time by the wall clock. What passes between taking a
        message up and its turn would lengthen its window for repeats, and its time."""
        passed = None if self.inheritance is None else self.inheritance.calls.get(entry.ref)
        out = None if passed is None else passed[0]  # its attempt is out still
        if out is None and entry.ran_at is None and entry.trying_at is not None:  # no outcome came: it may have run
            entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
        zones = self.config.zone_names
        return io.Recovered(
            call=entry.ref,
            klass=self.class_numbers[entry.klass],
            dest=entry.dest,
            key=entry.key,
            patience=entry.deadline * MS - now,
            attempts=entry.attempts,
            ran_ago=ran_ago(entry, now, self.clock_is_sure),
            ran_zone=zones.index(entry.ran_zone) if entry.ran_zone in zones else -1 if out is None else out.zone,
            host=None if out is None else out.name,
            sent_at=0 if out is None else out.started,
        )

    # ---- events in

    def on_request(self, request: Request, reply: Reply) -> None:
        """A client hands in a message. It is answered within the coming turn."""
        if request.klass not in self.class_numbers:
            raise Rejected(f"unknown class '{request.klass[:40]}'")
        if request.dest not in self.dests:
            if not self.discovery.heard:  # the list that we started with may be old: that it does not name it says little
                self.counts.refused[request.klass] += 1
                reply.busy(0)
                return
            raise Rejected(f"unknown destination {request.dest}")
        klass = self.settings.classes[self.class_numbers[request.klass]]
        if klass.repeat is io.Repeat.KEYED and request.key is None:
            raise Rejected("'k' is missing")  # without its key no host could drop a repeat
        if request.patience_ms * MS > 2 * klass.deadline:
            raise Rejected("'d' is far over the class's deadline")
        if request.patience_ms <= 0:  # it has lain unread for as long as it might be delivered
            self.counts.refused[request.klass] += 1
            reply.busy(0)
            return
        if request.ref in self.held or request.ref in self.journal.entries:
            reply.ok()  # it is taken on already; its end may still be on its way to the platform
            return
        if request.ref in self.newcomers:
            reply.busy(0)
            return
        deadline = time.time_ns() // MS + request.patience_ms
        ends_at = time.monotonic_ns() + request.patience_ms * MS
        self.newcomers[request.ref] = Newcomer(request, reply, deadline, ends_at)
        self.post(
            io.Arrived(
                call=request.ref,
                tenant=0,
                klass=self.class_numbers[request.klass],
                dest=request.dest,
                key=request.key,
                patience=request.patience_ms * MS,
                storable=self.journal.has_room(request.ref, request.key, len(request.body))
                and (not self.recovering or len(self.held) + len(self.recovering) < self.settings.limits.most_held),
            )
        )

    def on_news(self, news: News | None) -> None:
        if news is None:
            self.post(io.Roster(io.ListScope.FAILED, ()))
            return
        self._place(news)
        scope = io.ListScope.WHOLE if news.whole else io.ListScope.CHANGES
        self.post(io.Roster(scope, news.entries))

    def exclude(self, host: str, out: bool) -> None:
        """Staff took a host out, or put it back: no call begins before the Pacer has heard of it."""
        log.info("%s is %s by hand", host, "out" if out else "back")
        if out:
            self.hosts.close_idle(host)
        self.post(io.Excluded(host, out))

    def _place(self, news: News) -> None:
        """Where each host listens now. Connections to those that drain or went are closed."""
        named = {entry.host for entry in news.entries}
        gone = [host for host in self.listed if host not in named] if news.whole else []
        for entry in news.entries:
            if entry.availability is io.Availability.DELETED:
                gone.append(entry.host)
                continue
            self.listed[entry.host] = entry
            self.gone.pop(entry.host, None)
            self.dests.add(entry.dest)
            draining = entry.availability is io.Availability.STOPPING
            self.hosts.place(entry.host, news.addresses[entry.host], draining)
        for host in gone:
            if self.listed.pop(host, None) is not None:
                self.gone[host] = None
                if len(self.gone) > MOST_GONE:
                    del self.gone[next(iter(self.gone))]
            self.hosts.remove(host)

    def post(self, event: io.Event) -> None:
        """One batch holds all that is ready: the turn runs when the loop has read what lies there."""
        self.inbox.append(event)
        self._turn_is_due()

    def _turn_is_due(self) -> None:
        if not self.turn_due:
            self.turn_due = True
            self.looked_at = time.monotonic_ns()
            self.lag.round_begins(self.looked_at)
            asyncio.get_running_loop().call_soon(self._turn_soon)

    def _turn_soon(self) -> None:
        """The turn; but where this process did not run since it last read, what has come meanwhile is read first."""
        if time.monotonic_ns() - self.looked_at > PAUSE:
            after_a_look(self.turn)
        else:
            self.turn()

    def _flush_soon(self) -> None:
        """See that what was noted outside a turn is written soon; nothing waits for it."""
        if not self.turn_due and not self.flush_due:
            self.flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_due = False
        self.journal.flush()

    # ---- a turn

    def turn(self) -> None:
        """Decide on all that has come, put it on record by one write, and only then let anything out: what is
        owed by the clock first, then answers to clients, then calls."""
        self.turn_due = False
        if self.closed:
            return
        events, self.inbox = self.inbox, []
        now = time.monotonic_ns()
        if self.lag.news(now):
            events.insert(0, io.Lagging(self.lag.value))
        if self.taken_up:
            taken_up, self.taken_up = self.taken_up, []
            wall = time.time_ns()  # behind ``now``: what passes between the two closes windows early, never late
            events += [self._recovered(entry, wall) for entry in taken_up]
        actions = self.pacer.handle(now, events)
        newcomers = self._note_newcomers({a.call for a in actions if isinstance(a, io.Refuse | io.Fail)})
        self.hosts.gather()
        for action in actions:
            self._carry_out(action)
        self.newcomers.clear()
        # What leaves now depends on what was noted in this turn: it goes once that is on record.
        ends, self.ends = self.ends, []
        self.unreleased += 1
        self.journal.on_record(functools.partial(self._let_out, ends, newcomers, self.hosts.gathered()))
        self._tend()
        if self.stopping:
            self._end_if_idle()
        self.lag.round_ends(time.monotonic_ns())

    def _let_out(
        self, ends: list[tuple[str, str, int]], newcomers: list[Newcomer], calls: list[net.Ready], recorded: bool
    ) -> None:
        """What a turn has decided, on record or not: notices of ends are owed in any case."""
        self.unreleased -= 1
        if self.closed:
            return
        if self.time_is_up and not self.unreleased:
            self.finished.set()
        for end in ends:
            self.notices.tell(*end)
        self.notices.send()
        for newcomer in newcomers:
            self._answer(newcomer, recorded)
        self.hosts.release(calls, recorded)

    def _tend(self) -> None:
        """A small step of compaction, and another soon where there is more to do."""
        if self.closed:
            return
        self.journal.tend()
        if self.journal.busy and self.tending is None:
            pause = BROKEN_PAUSE if self.journal.broken else TEND_PAUSE
            self.tending = asyncio.get_running_loop().call_later(pause, self._tend_again)

    def _tend_again(self) -> None:
        self.tending = None
        self._tend()

    def _note_newcomers(self, ends: set[str]) -> list[Newcomer]:
        """Note those that the Pacer did not end in this turn: they are taken on, once that is on record."""
        noted = []
        for ref, newcomer in self.newcomers.items():
            request = newcomer.request
            if ref in ends:
                continue
            # Others of this turn may have taken the room that there was when it came.
            if not newcomer.reply.wanted or not self.journal.has_room(ref, request.key, len(request.body)):
                self.counts.refused[request.klass] += 1
                newcomer.reply.busy(0)
                self.post(io.Withdrawn(ref))
                continue
            self.journal.taken(Entry(ref, request.klass, request.dest, request.key, newcomer.deadline, request.body))
            self.held[ref] = Held(ref, request.klass, request.key, request.body, newcomer.ends_at)
            noted.append(newcomer)
        return noted

    def _answer(self, newcomer: Newcomer, recorded: bool) -> None:
        """Tell a client that its message is taken on, or that it could not be put on record."""
        ref = newcomer.request.ref
        if recorded:
            newcomer.reply.ok()
            return
        self.held.pop(ref, None)
        self.journal.ended(ref, None)
        self.counts.refused[newcomer.request.klass] += 1
        newcomer.reply.busy(0)
        self.post(io.Withdrawn(ref))

    def _carry_out(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(action)
            case io.Refuse(ref, hold_off):
                newcomer = self.newcomers.get(ref)
                if newcomer is not None:
                    self.counts.refused[newcomer.request.klass] += 1
                    newcomer.reply.busy(hold_off // MS)
                else:
                    self._end(ref, "bounced", hold_off // MS)
            case io.Fail(ref):
                newcomer = self.newcomers.get(ref)
                if newcomer is not None:
                    self.counts.failed[newcomer.request.klass] += 1
                    newcomer.reply.error("failed")
                else:
                    self._end(ref, "dead", 0)
            case io.Cancel(ref, attempt):
                message = self.held.get(ref)
                if message is not None and message.exchange is not None and message.attempts == attempt + 1:
                    message.exchange.give_up(io.Status.CANCELLED)
            case io.Probe():
                self._probe(action)
            case io.Close(host):
                self.hosts.close_idle(host)
            case io.Wake(after, token):
                self._set_alarm(after, token)
            case io.Subscribe():
                self.discovery.subscribe()
            case io.Log(text):
                log.info("%s", text)

    def _set_alarm(self, after: int, token: int) -> None:
        if self.alarm is not None:
            self.alarm.cancel()  # only the newest counts
        at = self.pacer.now + after
        self.alarm = asyncio.get_running_loop().call_at(at / SECOND, self._ring, at, token)

    def _ring(self, at: int, token: int) -> None:
        now = time.monotonic_ns()
        self.lag.was_late(at, now)
        if now - self.looked_at > PAUSE:
            after_a_look(self.post, io.Alarm(token))
        else:
            self.post(io.Alarm(token))

    # ---- attempts

    def _send(self, send: io.Send) -> None:
        message = self.held.get(send.call)
        if message is None:  # it was not taken on after all: the Pacer hears of that too
            self.post(io.Verdict(send.call, 0, send.host, io.Status.ABANDONED, 0, True, 0, False, None))
            return
        entry = self.listed.get(send.host)
        message.sent_at, message.zone = self.pacer.now, -1 if entry is None else entry.zone
        attempt = Attempt(self, message, send.host, message.attempts, self.pacer.now, send.stop_at)
        message.attempts += 1
        message.exchange = attempt.exchange()
        self.hosts.begin(message.exchange)

    def _probe(self, probe: io.Probe) -> None:
        started = self.pacer.now

        def prepare(address: Address) -> bytes | None:
            if not self.pacer.clear_to_send(time.monotonic_ns(), None, probe.host):
                return None
            return net.probe(address, self.config.load_reports)

        def done(outcome: Outcome) -> None:
            self.post(io.Probed(probe.host, outcome.status, time.monotonic_ns() - started, outcome.report))

        self.hosts.begin(net.Exchange(probe.host, probe.stop_at, prepare, done))

    # ---- ends

    def _told(self, ref: str) -> None:
        """The platform has acknowledged a notice."""
        self.journal.told(ref)
        self._flush_soon()

    def _end(self, ref: str, result: str, wait_ms: int) -> None:
        message = self.held.get(ref)
        if message is not None:
            self.finish(message, result, wait_ms)
            if message.exchange is None:
                del self.held[ref]
        elif ref in self.journal.entries:
            self.journal.ended(ref, result, wait_ms)
            self.ends.append((ref, result, wait_ms))

    def finish(self, message: Held, result: str | None, wait_ms: int, tell: str | None = None) -> None:
        """A message has ended with a result, None: delivered. ``tell``: what the platform hears even so."""
        if message.over:
            return
        message.over = True
        if self.untried.on_end(message.ref, time.monotonic_ns() >= message.ends_at - NEAR_END):
            log.info("%s", self.untried)
        by_class = (
            self.counts.served if result is None else (self.counts.failed if result == "dead" else self.counts.refused)
        )
        by_class[message.klass] += 1
        told = result or tell
        self.journal.ended(message.ref, told, wait_ms)
        if told is not None:
            self.ends.append((message.ref, told, wait_ms))
