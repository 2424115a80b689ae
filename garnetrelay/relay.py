"""Drives the Pacer: what happens on the sockets becomes its events, its actions become calls and answers.

The only file that talks to the Pacer, but for an attempt's last look (``attempt.py``). It keeps each held message's body
and attempt, and writes to the journal before anything that must not be forgotten: an answer to a client, an attempt's
first byte.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import gc
import logging
import time
from collections import deque
from typing import TYPE_CHECKING

from garnetrelay.attempt import Attempt
from garnetrelay.config.deployment import Address, Config
from garnetrelay.counters import Counters
from garnetrelay.delivery.http import hosts as net
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.discovery.client import Discovery
from garnetrelay.discovery.host_list import ListReader, ListUpdate
from garnetrelay.fronts.resp.requests import RejectedError, Request
from garnetrelay.fronts.resp.server import Reply, Server
from garnetrelay.loop_lag import LoopLag
from garnetrelay.pending import NewRequest, PendingMessage
from garnetrelay.platform.notices import Notices
from garnetrelay.recovery import Recovery
from garnetrelay.recovery_stats import RecoveryStats
from garnetrelay.shutdown import Shutdown
from garnetrelay.socket_poll import MAX_POLL_AGE_NS, after_socket_poll
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer

if TYPE_CHECKING:
    from garnetrelay.fleet.service import Fleet
    from garnetrelay.handover.receiver import PredecessorLink, ReceivedHandover
    from garnetrelay.handover.sender import HandoverSender
    from garnetrelay.operators.metrics import Gauges
    from garnetrelay.operators.service import OperatorService
    from garnetrelay.ownership import Owners
    from garnetrelay.store.durability import SyncWorker
    from garnetrelay.store.preload import Preloaded

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1_000_000_000
TEND_PAUSE = 0.005  # seconds between two steps of compaction while no turn comes
BROKEN_PAUSE = 0.25  # seconds until a folder that takes no records is tried again
MAX_DELISTED_HOSTS = 4096  # hosts that have left the list and are still known by name
NEAR_END = SECOND // 10  # before a message's time: an end that is due by the clock comes no earlier


class Relay(Recovery, Shutdown):
    """One relay, from its start to its end."""

    def __init__(self, config: Config, handover: ReceivedHandover | None = None, ahead: Preloaded | None = None) -> None:
        self.config = config
        self.handover = handover
        self.settings = config.settings
        self.pacer = Pacer(config.settings, config.seed)
        self.journal = Store.open(
            config.state,
            config.journal_bytes,
            config.machine_durable,
            None if handover is None else handover.claim,
            ahead,
            config.settings.limits.most_tries,
            config.fleet is not None and config.fleet.leases is not None,
        )
        self.class_numbers = {name: number for number, name in enumerate(config.class_names)}
        self.listed: dict[str, io.HostEntry] = {}  # by host
        self.delisted: dict[str, None] = {}  # hosts that were listed, the latest last
        self.counts = Counters(config.class_names)
        self.operators: OperatorService | None = None
        self.fleet: Fleet | None = None
        self.owners: Owners | None = None  # None: no leases
        self.handover_sender: HandoverSender | None = None
        self.predecessor: PredecessorLink | None = None
        self.dests: set[int] = set()  # all that the list has ever named
        self.pending: dict[str, PendingMessage] = {}
        self.recovery_stats = RecoveryStats()
        self.recovering: deque[Entry] = deque()  # picked up, and not yet taken up
        self.taken_up: list[Entry] = []  # and not yet with the Pacer: it hears of them in the coming turn
        self.clock_is_sure = True  # no time that the journal has lies ahead of the wall clock
        self.new_requests: dict[str, NewRequest] = {}
        self.inbox: list[io.Event] = []
        self.tick_scheduled = False
        self.looked_at = 0  # when the last batch began
        self.flush_due = False
        self.lag = LoopLag()
        self.alarm: asyncio.TimerHandle | None = None
        self.ends: list[tuple[str, str, int]] = []  # of this turn: what the platform is told of each
        self.unrecorded_ticks = 0  # turns whose records are on their way to the disk
        self.closed = False
        self.tending: asyncio.TimerHandle | None = None
        self.sync_worker: SyncWorker | None = None
        self.serving = False
        self.stopping = False
        self.time_is_up = False
        self.finished = asyncio.Event()
        # Clients and hosts share the descriptors: each may have what the other does not use of its own part.
        self.hosts = net.Hosts(
            config.settings,
            self._remaining_host_connections,
            lambda: self.server.close_longest_idle(),
            self.journal.when_recorded,
            config.machine_durable,
        )
        self.server = Server(self.on_request, self._remaining_client_connections, self._close_idle_host_connection)
        self.server.on_closed = self._end_if_idle
        self.reader = ListReader(config)
        self.discovery = Discovery(config.discovery, self.reader, 0, self.on_list_update)
        self.notices = Notices(config.discovery, self._told)

    def _remaining_host_connections(self) -> int:
        """How many more connections to hosts there may be."""
        clients = max(self.config.client_sockets, len(self.server.connections) - self.server.rejected_count)
        return self.config.shared_sockets - clients - self.hosts.count

    def _remaining_client_connections(self) -> int:
        """How many more connections of clients there may be."""
        hosts = max(self.config.host_sockets, self.hosts.count)
        return self.config.shared_sockets - hosts - len(self.server.connections)

    def _close_idle_host_connection(self) -> bool:
        return self.hosts.count > self.config.host_sockets and self.hosts.close_longest_idle()

    async def start(self) -> tuple[str, int]:
        """Pick up what an earlier life left, then listen; the address that clients may use."""
        gc.freeze()  # what was read stays: no collection has to look at it again
        if self.config.machine_durable:
            from garnetrelay.store.durability import SyncWorker  # a thread: only where it is wanted

            self.sync_worker = SyncWorker(self.journal)
        if self.config.operators is not None:
            from garnetrelay.operators.service import OperatorService  # only where staff may call

            self.operators = OperatorService(self)
            await self.operators.start(self.config.operators)
            self.inbox += self.operators.excluded()
        if self.config.fleet is not None:
            from garnetrelay.fleet.service import Fleet  # only where relays know each other

            passed = None if self.handover is None else self.handover.state.fleet
            self.fleet = Fleet(
                self.config.fleet, self.config.name, self.config.state, self.config.machine_durable, passed
            )
            await self.fleet.start()
            self.owners = self.fleet.leases
        if self.handover is None:
            self._read_known()
        else:
            self._inherit(self.handover.state)
        if self.settings.discovery is io.Discovery.AUTOMATIC:
            self.inbox.append(io.WatchMissing())  # changes come by themselves, but on a watch
        self._recover()
        self.tick()
        listen = self.config.listen
        if self.handover is None:
            address = await self.server.start(listen.host, listen.port, self.config.operators is not None)
        else:
            address = await self._adopt(self.handover)
        self.serving = True
        self._recover_slice()
        if self.config.operators is not None:
            from garnetrelay.handover.sender import HandoverSender  # staff may upgrade it

            self.handover_sender = HandoverSender(self)
        if self.handover is not None:
            from garnetrelay.handover.receiver import PredecessorLink

            self.handover.confirm_taken()
            self.predecessor = PredecessorLink(self.handover.channel, self._exclude_as_told)
            self.handover = None
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
        self.post(io.WatchMissing())
        self.notices.move(config.discovery)

    def retire(self) -> None:
        """Decide and tell nothing any more: the relay passes to a new process."""
        self.closed = True
        for timer in (self.alarm, self.tending):
            if timer is not None:
                timer.cancel()
        if self.sync_worker is not None:
            self.sync_worker.close()
        self.discovery.close()
        self.notices.close()
        if self.fleet is not None:
            self.fleet.close()

    def close(self) -> None:
        """End at once: what is held waits in the journal."""
        if self.recovery_stats.left:
            log.info("%s", self.recovery_stats)
        if self.fleet is not None and self.stopping:
            self.fleet.leave()
        self.retire()
        if self.operators is not None:
            self.operators.close()
        if self.handover_sender is not None:
            self.handover_sender.close()
        self.hosts.close()
        self.journal.close()

    # ---- what staff ask (``operators.service.OperatedRelay``)

    def draining(self) -> bool:
        """Whether the listener closes what clients have open, to end."""
        return self.server.draining

    def successor(self) -> HandoverSender | None:
        """The handover's sender once the relay has passed to another process; None before."""
        return self.handover_sender if self.handover_sender is not None and self.handover_sender.handed_over else None

    def gauges(self) -> Gauges:
        """Its figures that go by no class, as they are now."""
        from garnetrelay.operators.metrics import Gauges  # only where staff may call

        return Gauges(
            attempts=self.hosts.calls_written,
            in_flight=sum(not message.ended for message in self.pending.values()) + len(self.recovering),
            hosts_known=len(self.listed),
            hosts_excluded=self.pacer.count_avoided_hosts(),
            reloads_ok=self.counts.reloads_ok,
            reloads_failed=self.counts.reloads_failed,
            discovery_calls=self.discovery.watches.calls,
            discovery_failures=self.pacer.discovery_schedule.failures,
            list_version=self.discovery.index,
            list_watched=int(self.discovery.up_to_date),
        )

    def knows_host(self, host: str) -> bool:
        """Whether the list names a host, or has named it."""
        return host in self.listed or host in self.delisted

    # ---- the start

    async def _adopt(self, handover: ReceivedHandover) -> tuple[str, int]:
        """Connections and the listener, as the process before left them."""
        for call, found in handover.calls.values():
            message = self.pending.get(call.ref)
            if message is None:
                found.close()
                continue
            attempt = Attempt(self, message, call.name, message.attempts - 1, call.started, call.stop_at, True)
            message.exchange, message.sent_at, message.zone = attempt.exchange(), call.started, call.zone
            await self.hosts.adopt(found, call.name, Address(call.host, call.port), call.used, message.exchange)
        for idle, found in handover.idle:
            await self.hosts.adopt(found, idle.name, Address(idle.host, idle.port), True, None)
        for client, found in handover.clients:
            await self.server.adopt(found, client.raw, client.has_sent_command)
        return await self.server.listen(handover.listener)

    def _exclude_as_told(self, host: str, out: bool) -> str:
        """Staff called the process before; why it can't be done, or nothing."""
        from garnetrelay.operators.commands import CommandRefusedError

        assert self.operators is not None
        try:
            self.operators.exclude(host, out)
        except CommandRefusedError as refused:
            return str(refused)
        return ""

    # ---- events in

    def on_request(self, request: Request, reply: Reply) -> None:
        """A client hands in a message. It is answered within the coming turn."""
        if request.klass not in self.class_numbers:
            raise RejectedError(f"unknown class '{request.klass[:40]}'")
        if request.dest not in self.dests:
            if (
                not self.discovery.up_to_date
            ):  # the list that we started with may be old: that it does not name it says little
                self.counts.refused[request.klass] += 1
                reply.busy(0)
                return
            raise RejectedError(f"unknown destination {request.dest}")
        klass = self.settings.classes[self.class_numbers[request.klass]]
        if klass.repeat is io.Repeat.KEYED and request.key is None:
            raise RejectedError("'k' is missing")  # without its key no host could drop a repeat
        if request.patience_ms * MS > 2 * klass.deadline:
            raise RejectedError("'d' is far over the class's deadline")
        if request.patience_ms <= 0:  # it has lain unread for as long as it might be delivered
            self.counts.refused[request.klass] += 1
            reply.busy(0)
            return
        if request.ref in self.pending or request.ref in self.journal.entries:
            reply.ok()  # it is taken on already; its end may still be on its way to the platform
            return
        if request.ref in self.new_requests:
            reply.busy(0)
            return
        deadline = time.time_ns() // MS + request.patience_ms
        ends_at = time.monotonic_ns() + request.patience_ms * MS
        self.new_requests[request.ref] = NewRequest(request, reply, deadline, ends_at)
        self.post(
            io.Arrived(
                call=request.ref,
                tenant=0,
                klass=self.class_numbers[request.klass],
                dest=request.dest,
                key=request.key,
                patience=request.patience_ms * MS,
                storable=self.journal.has_room(request.ref, request.key, len(request.body))
                and (not self.recovering or len(self.pending) + len(self.recovering) < self.settings.limits.most_held),
            )
        )

    def on_list_update(self, update: ListUpdate | None) -> None:
        """The list of hosts has changed; None: the watch has failed."""
        if update is None:
            self.post(io.Roster(io.ListScope.FAILED, ()))
            return
        self._place(update)
        scope = io.ListScope.WHOLE if update.whole else io.ListScope.CHANGES
        self.post(io.Roster(scope, update.entries, update.current))

    def exclude(self, host: str, out: bool) -> None:
        """Staff took a host out, or put it back: no call begins before the Pacer has heard of it."""
        log.info("%s is %s by hand", host, "out" if out else "back")
        if out:
            self.hosts.close_idle(host)
        self.post(io.Excluded(host, out))

    def _place(self, update: ListUpdate) -> None:
        """Where each host listens now. Connections to those that drain or went are closed."""
        named = {entry.host for entry in update.entries}
        gone = [host for host in self.listed if host not in named] if update.whole else []
        for entry in update.entries:
            if entry.availability is io.Availability.DELETED:
                gone.append(entry.host)
                continue
            self.listed[entry.host] = entry
            self.delisted.pop(entry.host, None)
            self.dests.add(entry.dest)
            draining = entry.availability is io.Availability.STOPPING
            self.hosts.set_address(entry.host, update.addresses[entry.host], draining)
        for host in gone:
            if self.listed.pop(host, None) is not None:
                self.delisted[host] = None
                if len(self.delisted) > MAX_DELISTED_HOSTS:
                    del self.delisted[next(iter(self.delisted))]
            self.hosts.remove(host)

    def post(self, event: io.Event) -> None:
        """One batch holds all that is ready: the turn runs when the loop has read what lies there."""
        self.inbox.append(event)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.looked_at = time.monotonic_ns()
            self.lag.round_begins(self.looked_at)
            asyncio.get_running_loop().call_soon(self._run_scheduled_tick)

    def _run_scheduled_tick(self) -> None:
        """The turn; but where this process did not run since it last read, what has come meanwhile is read first."""
        if time.monotonic_ns() - self.looked_at > MAX_POLL_AGE_NS:
            after_socket_poll(self.tick)
        else:
            self.tick()

    def _flush_soon(self) -> None:
        """See that what was noted outside a turn is written soon; nothing waits for it."""
        if not self.tick_scheduled and not self.flush_due:
            self.flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_due = False
        self.journal.flush()

    # ---- a turn

    def tick(self) -> None:
        """Decide on all that has come, put it on record by one write, and only then let anything out: what is
        owed by the clock first, then answers to clients, then calls."""
        self.tick_scheduled = False
        if self.closed:
            return
        events, self.inbox = self.inbox, []
        now = time.monotonic_ns()
        if self.lag.news(now):
            events.insert(0, io.Lagging(self.lag.value))
        if self.taken_up:
            taken_up, self.taken_up = self.taken_up, []
            wall = time.time_ns()  # behind ``now``: what passes between the two closes windows early, never late
            events += [self._recovered_event(entry, wall) for entry in taken_up]
        actions = self.pacer.handle(now, events)
        new_requests = self._accept_new_requests({a.call for a in actions if isinstance(a, io.Refuse | io.Fail)})
        self.hosts.gather()
        for action in actions:
            self._carry_out(action)
        self.new_requests.clear()
        # What leaves now depends on what was noted in this turn: it goes once that is on record.
        ends, self.ends = self.ends, []
        self.unrecorded_ticks += 1
        self.journal.when_recorded(functools.partial(self._let_out, ends, new_requests, self.hosts.gathered()))
        self._tend()
        if self.stopping:
            self._end_if_idle()
        self.lag.round_ends(time.monotonic_ns())

    def _let_out(
        self,
        ends: list[tuple[str, str, int]],
        new_requests: list[NewRequest],
        calls: list[net.PreparedCall],
        recorded: bool,
    ) -> None:
        """What a turn has decided, on record or not: notices of ends are owed in any case."""
        self.unrecorded_ticks -= 1
        if self.closed:
            return
        if self.time_is_up and not self.unrecorded_ticks:
            self.finished.set()
        for end in ends:
            self.notices.add(*end)
        self.notices.send()
        for new_request in new_requests:
            self._answer(new_request, recorded)
        self.hosts.release(calls, recorded)

    def _tend(self) -> None:
        """A small step of compaction, and another soon where there is more to do."""
        if self.closed:
            return
        self.journal.maintain()
        if self.journal.needs_maintenance and self.tending is None:
            pause = BROKEN_PAUSE if self.journal.write_failed else TEND_PAUSE
            self.tending = asyncio.get_running_loop().call_later(pause, self._tend_again)

    def _tend_again(self) -> None:
        self.tending = None
        self._tend()

    def _accept_new_requests(self, ends: set[str]) -> list[NewRequest]:
        """Note those that the Pacer did not end in this turn: they are taken on, once that is on record."""
        noted = []
        for ref, new_request in self.new_requests.items():
            request = new_request.request
            if ref in ends:
                continue
            # Others of this turn may have taken the room that there was when it came.
            if not new_request.reply.client_connected or not self.journal.has_room(ref, request.key, len(request.body)):
                self.counts.refused[request.klass] += 1
                new_request.reply.busy(0)
                self.post(io.Withdrawn(ref))
                continue
            self.journal.record_accepted(
                Entry(ref, request.klass, request.dest, request.key, new_request.deadline, request.body)
            )
            self.pending[ref] = PendingMessage(ref, request.klass, request.key, request.body, new_request.ends_at)
            noted.append(new_request)
        return noted

    def _answer(self, new_request: NewRequest, recorded: bool) -> None:
        """Tell a client that its message is taken on, or that it could not be put on record."""
        ref = new_request.request.ref
        if recorded:
            new_request.reply.ok()
            return
        self.pending.pop(ref, None)
        self.journal.record_end(ref, None)
        self.counts.refused[new_request.request.klass] += 1
        new_request.reply.busy(0)
        self.post(io.Withdrawn(ref))

    def _carry_out(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(action)
            case io.Refuse(ref, hold_off):
                log.debug("message %s is refused, come again after %d ms", ref, hold_off // MS)
                new_request = self.new_requests.get(ref)
                if new_request is not None:
                    self.counts.refused[new_request.request.klass] += 1
                    new_request.reply.busy(hold_off // MS)
                else:
                    self._end(ref, "bounced", hold_off // MS)
            case io.Fail(ref):
                log.debug("message %s fails", ref)
                new_request = self.new_requests.get(ref)
                if new_request is not None:
                    self.counts.failed[new_request.request.klass] += 1
                    new_request.reply.error("failed")
                else:
                    self._end(ref, "dead", 0)
            case io.Cancel(ref, attempt):
                log.debug("attempt %s %d is called off", ref, attempt)
                message = self.pending.get(ref)
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
        if now - self.looked_at > MAX_POLL_AGE_NS:
            after_socket_poll(self.post, io.Alarm(token))
        else:
            self.post(io.Alarm(token))

    # ---- attempts

    def _send(self, send: io.Send) -> None:
        message = self.pending.get(send.call)
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

        def final_check() -> bool:
            return self.pacer.clear_to_send(time.monotonic_ns(), None, probe.host)

        def prepare(address: Address) -> bytes | None:
            return net.probe_request(address, self.config.load_reports) if final_check() else None

        def done(outcome: Outcome) -> None:
            self.post(io.Probed(probe.host, outcome.status, time.monotonic_ns() - started, outcome.report))

        self.hosts.begin(net.Exchange(probe.host, probe.stop_at, prepare, done, final_check))

    # ---- ends

    def _told(self, ref: str) -> None:
        """The platform has acknowledged a notice."""
        self.journal.record_notice_acknowledged(ref)
        self._flush_soon()

    def _end(self, ref: str, result: str, wait_ms: int) -> None:
        message = self.pending.get(ref)
        if message is not None:
            self.finish(message, result, wait_ms)
            if message.exchange is None:
                del self.pending[ref]
        elif ref in self.journal.entries:
            self.journal.record_end(ref, result, wait_ms)
            self.ends.append((ref, result, wait_ms))

    def finish(self, message: PendingMessage, result: str | None, wait_ms: int, tell: str | None = None) -> None:
        """A message has ended with a result, None: delivered. ``tell``: what the platform hears even so."""
        if message.ended:
            return
        message.ended = True
        if self.recovery_stats.on_end(message.ref, time.monotonic_ns() >= message.ends_at - NEAR_END):
            log.info("%s", self.recovery_stats)
        by_class = (
            self.counts.served if result is None else (self.counts.failed if result == "dead" else self.counts.refused)
        )
        by_class[message.klass] += 1
        told = result or tell
        self.journal.record_end(message.ref, told, wait_ms)
        if told is not None:
            self.ends.append((message.ref, told, wait_ms))
