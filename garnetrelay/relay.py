"""The core of a relay: turns socket activity into events for the Pacer, and carries out the actions that it returns.

Apart from the final check before an attempt's first byte (``attempt.py``), this is the only module that calls the Pacer.
It keeps the body and the attempt of each pending message. It writes to the journal before anything that depends on the
record: an answer to a client, or an attempt's first byte.
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
from garnetrelay.boot import boot_id
from garnetrelay.config.deployment import Address, Config
from garnetrelay.counters import Counters
from garnetrelay.delivery.http.hosts import Hosts, PreparedCall
from garnetrelay.discovery.client import Discovery
from garnetrelay.discovery.host_list import ListReader, ListUpdate
from garnetrelay.ends.held import EndNotice
from garnetrelay.ends.notifier import EndNotifier
from garnetrelay.fronts.resp.server import Server
from garnetrelay.host_table import HostTable
from garnetrelay.intake import Intake
from garnetrelay.key_rests import KeyRests
from garnetrelay.loop_lag import LoopLag
from garnetrelay.pending import NewRequest, PendingMessage
from garnetrelay.platform.notices import Notices
from garnetrelay.probe import probe_exchange
from garnetrelay.recovery import Recovery, monotonic_deadline
from garnetrelay.recovery_stats import RecoveryStats
from garnetrelay.shutdown import Shutdown
from garnetrelay.socket_poll import MAX_POLL_AGE_NS, after_socket_poll
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer

if TYPE_CHECKING:
    from garnetrelay.fleet.service import Fleet
    from garnetrelay.handover.protocol import State
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
MAINTENANCE_INTERVAL_S = 0.005  # between two steps of compaction while no tick runs
WRITE_RETRY_INTERVAL_S = 0.25  # until the next write to a folder that accepts no records
DEADLINE_MARGIN_NS = SECOND // 10  # an end that the deadline causes comes at most this long before it


class Relay(Intake, Recovery, Shutdown):
    """One relay, from its start to its end."""

    def __init__(
        self,
        config: Config,
        handover: ReceivedHandover | None = None,
        preloaded: Preloaded | None = None,
        inherited: State | None = None,
    ) -> None:
        """``inherited``: what this process knew before it started again because its successor died."""
        self.config = config
        self.handover = handover
        self.inherited = inherited
        self.settings = config.settings
        self.pacer = Pacer(config.settings, config.seed)
        self.journal = Store.open(
            config.state,
            config.journal_bytes,
            config.machine_durable,
            None if handover is None else handover.claim,
            preloaded,
            config.settings.limits.most_tries,
            config.fleet is not None and config.fleet.leases is not None,
            config.ended_ref_bytes,
        )
        self.class_numbers = {name: number for number, name in enumerate(config.class_names)}
        self.key_rests = KeyRests(config.settings, self.class_numbers, boot_id)
        self.counts = Counters(config.class_names)
        self.operators: OperatorService | None = None
        self.fleet: Fleet | None = None
        self.owners: Owners | None = None  # None: no leases
        self.handover_sender: HandoverSender | None = None
        self.predecessor: PredecessorLink | None = None
        self.pending: dict[str, PendingMessage] = {}
        self.recovery_stats = RecoveryStats()
        self.recovering: deque[Entry] = deque()  # read from the journal, not yet restored
        self.restored: list[Entry] = []  # reported to the Pacer in the next tick
        self.clock_trusted = True  # no time in the journal is ahead of the wall clock
        self.new_requests: dict[str, NewRequest] = {}
        self.inbox: list[io.Event] = []
        self.tick_scheduled = False
        self.batch_started_at = 0  # when the first event of the latest batch was read
        self.flush_scheduled = False
        self.lag = LoopLag()
        self.alarm: asyncio.TimerHandle | None = None
        self.unrecorded_ticks = 0  # ticks whose records are still being written
        self.closed = False
        self.maintenance_timer: asyncio.TimerHandle | None = None
        self.sync_worker: SyncWorker | None = None
        self.serving = False
        self.stopping = False
        self.stop_deadline_passed = False
        self.finished = asyncio.Event()
        # Clients and hosts share one budget of descriptors: each side may use what the other leaves of its share.
        self.hosts = Hosts(
            config.settings,
            self._remaining_host_connections,
            lambda: self.server.close_longest_idle(),
            self.journal.when_recorded,
            config.machine_durable,
        )
        self.host_table = HostTable(self.hosts)
        self.server = Server(
            self.on_request,
            self._remaining_client_connections,
            self._close_idle_host_connection,
            config.request_bytes,
        )
        self.server.on_closed = self._end_if_idle
        self.reader = ListReader(config)
        self.discovery = Discovery(config.discovery, self.reader, 0, self.on_list_update)
        self.notices = Notices(config.discovery, self._on_notice_acknowledged)
        self.ends = EndNotifier(self.journal, self.notices)

    def _remaining_host_connections(self) -> int:
        """How many more connections to hosts may be opened."""
        clients = max(self.config.client_sockets, len(self.server.connections) - self.server.rejected_count)
        return self.config.shared_sockets - clients - self.hosts.count

    def _remaining_client_connections(self) -> int:
        """How many more connections from clients may be accepted."""
        hosts = max(self.config.host_sockets, self.hosts.count)
        return self.config.shared_sockets - hosts - len(self.server.connections)

    def _close_idle_host_connection(self) -> bool:
        return self.hosts.count > self.config.host_sockets and self.hosts.close_longest_idle()

    async def start(self) -> tuple[str, int]:
        """Recover what a previous process left, then listen; returns the address for clients."""
        gc.freeze()  # what has been loaded stays alive: garbage collection need not scan it again
        if self.config.machine_durable:
            from garnetrelay.store.durability import SyncWorker  # starts a thread: only where it is configured

            self.sync_worker = SyncWorker(self.journal)
        if self.config.operators is not None:
            from garnetrelay.operators.service import OperatorService  # only where operator commands are configured

            self.operators = OperatorService(self)
            await self.operators.start(self.config.operators)
            self.inbox += self.operators.excluded()
        if self.config.fleet is not None:
            from garnetrelay.fleet.service import Fleet  # only where relays form a fleet

            fleet_state = None if self.handover is None else self.handover.state.fleet
            self.fleet = Fleet(
                self.config.fleet, self.config.name, self.config.state, self.config.machine_durable, fleet_state
            )
            await self.fleet.start()
            self.owners = self.fleet.leases
        if self.handover is not None:
            from garnetrelay.handover.receiver import PredecessorLink

            self.predecessor = PredecessorLink(self.handover, self, self._exclude_for_predecessor)
        self._restore_knowledge()
        if self.settings.discovery is io.Discovery.AUTOMATIC:
            self.inbox.append(io.WatchMissing())  # changes are pushed, but only on an open watch
        self._recover()
        self.tick()
        listen = self.config.listen
        if self.handover is None:
            address = await self.server.start(listen.host, listen.port, self.config.operators is not None)
        else:
            address = await self._adopt_connections(self.handover)
        self.serving = True
        self._recover_slice()
        if self.config.operators is not None:
            from garnetrelay.handover.sender import HandoverSender  # only where operators may upgrade the relay

            self.handover_sender = HandoverSender(self)
        if self.handover is not None:
            self.handover.confirm_taken()
            self.handover = None
        return address

    def reconfigure(self, config: Config) -> None:
        """Apply what may change while the relay runs (SIGHUP): the address of discovery. The current list of hosts
        stays in force until the new address sends its own."""
        self.counts.reloads_ok += 1
        if self.closed:
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
        """Stop all decisions and outgoing messages: a new process takes over the relay."""
        self.closed = True
        for timer in (self.alarm, self.maintenance_timer):
            if timer is not None:
                timer.cancel()
        if self.sync_worker is not None:
            self.sync_worker.close()
        self.discovery.close()
        self.ends.close()
        self.notices.close()
        if self.fleet is not None:
            self.fleet.close()

    def close(self) -> None:
        """End at once; pending messages stay in the journal."""
        if self.recovery_stats.remaining:
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

    # ---- operator commands (``operators.service.OperatedRelay``)

    def draining(self) -> bool:
        """Whether the server is closing clients' connections in order to end."""
        return self.server.draining

    def successor(self) -> HandoverSender | None:
        """The handover's sender once another process has taken over the relay; None before."""
        return self.handover_sender if self.handover_sender is not None and self.handover_sender.handed_over else None

    def gauges(self) -> Gauges:
        """The current metrics that have no class label."""
        from garnetrelay.operators.metrics import Gauges  # only where operator commands are configured

        return Gauges(
            attempts=self.hosts.calls_written,
            in_flight=sum(not message.ended for message in self.pending.values()) + len(self.recovering),
            hosts_known=len(self.host_table.listed),
            hosts_excluded=self.pacer.count_avoided_hosts(),
            reloads_ok=self.counts.reloads_ok,
            reloads_failed=self.counts.reloads_failed,
            discovery_calls=self.discovery.watches.calls,
            discovery_failures=self.pacer.discovery_schedule.failures,
            list_version=self.discovery.index,
            list_watched=int(self.discovery.up_to_date),
        )

    def knows_host(self, host: str) -> bool:
        """Whether the list names a host, or named it earlier."""
        return self.host_table.knows(host)

    # ---- start

    async def _adopt_connections(self, handover: ReceivedHandover) -> tuple[str, int]:
        """Take over the connections and the listener of the previous process."""
        for call, connection in handover.calls.values():
            message = self.pending.get(call.ref)
            if message is None:
                connection.close()
                continue
            attempt = Attempt(self, message, call.name, message.attempts - 1, call.started, call.stop_at, True)
            message.exchange, message.sent_at, message.zone = attempt.exchange(), call.started, call.zone
            address = Address(call.host, call.port)
            await self.hosts.adopt(connection, call.name, address, call.used, message.exchange, call.connected_ms)
        for idle, connection in handover.idle:
            address = Address(idle.host, idle.port)
            await self.hosts.adopt(connection, idle.name, address, True, None, idle.connected_ms)
        for client, connection in handover.clients:
            await self.server.adopt(connection, client.raw, client.has_sent_command)
        return await self.server.listen(handover.listener)

    def _exclude_for_predecessor(self, host: str, out: bool) -> str:
        """Execute an operator command that the previous process forwarded; returns the error, or ''."""
        from garnetrelay.operators.commands import CommandRefusedError

        assert self.operators is not None
        try:
            self.operators.exclude(host, out)
        except CommandRefusedError as refused:
            return str(refused)
        return ""

    # ---- incoming events

    def on_list_update(self, update: ListUpdate | None) -> None:
        """The list of hosts has changed; None: the watch has failed."""
        if update is None:
            self.post(io.Roster(io.ListScope.FAILED, ()))
            return
        restarted = self.host_table.apply(update)
        if self.predecessor is not None:
            self.predecessor.on_list_update(update)
        scope = io.ListScope.WHOLE if update.whole else io.ListScope.CHANGES
        self.post(io.Roster(scope, update.entries, update.current))
        for host in restarted:
            self._on_host_restarted(host)

    def _on_host_restarted(self, host: str) -> None:
        """A host has started anew under its name: it is cold, like one that operators have let back."""
        age_ns = time.time_ns() - self.host_table.starts.get(host, 0) * MS
        if host not in self.pacer.excluded and age_ns < self.settings.rules.ramp_time:
            log.info("%s has started anew", host)
            self.post(io.Excluded(host, True))
            self.post(io.Excluded(host, False))

    def exclude(self, host: str, out: bool) -> None:
        """An operator excluded a host, or included it again. No call begins before the Pacer has handled the event."""
        log.info("%s is %s by hand", host, "out" if out else "back")
        if out:
            self.hosts.close_idle(host)
        self.post(io.Excluded(host, out))

    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick, which runs once the loop has read everything that is ready on the
        sockets: all of it forms one batch."""
        self.inbox.append(event)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.batch_started_at = time.monotonic_ns()
            self.lag.on_batch_start(self.batch_started_at)
            asyncio.get_running_loop().call_soon(self._run_scheduled_tick)

    def _run_scheduled_tick(self) -> None:
        """Run the tick. If this process was suspended since it last read its sockets, they are read again first."""
        if time.monotonic_ns() - self.batch_started_at > MAX_POLL_AGE_NS:
            after_socket_poll(self.tick)
        else:
            self.tick()

    def _flush_soon(self) -> None:
        """Schedule a write of records that were made outside a tick; nothing depends on them."""
        if not self.tick_scheduled and not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        self.journal.flush()

    # ---- the tick

    def tick(self) -> None:
        """Let the Pacer decide on all queued events, put the decisions on record in one write, and only then send
        anything out: notices first, then answers to clients, then calls."""
        self.tick_scheduled = False
        if self.closed:
            return
        events, self.inbox = self.inbox, []
        now = time.monotonic_ns()
        if self.lag.changed(now):
            events.insert(0, io.Lagging(self.lag.value))
        if self.restored:
            restored, self.restored = self.restored, []
            wall = (
                time.time_ns()
            )  # read after ``now``: time that passes in between closes repeat windows early, never late
            events += [self._recovered_event(entry, wall) for entry in restored]
        actions = self.pacer.handle(now, events)
        if self.predecessor is not None:
            self.predecessor.on_tick(events)
        new_requests = self._accept_new_requests({a.call for a in actions if isinstance(a, io.Refuse | io.Fail)})
        self.hosts.gather()
        for action in actions:
            self._execute(action)
        self.new_requests.clear()
        # What is sent now depends on the records of this tick: it is released once they are written.
        self.unrecorded_ticks += 1
        self.journal.when_recorded(
            functools.partial(self._release, self.ends.take_added(), new_requests, self.hosts.gathered())
        )
        self._maintain_journal()
        if self.stopping:
            self._end_if_idle()
        self.lag.on_batch_end(time.monotonic_ns())

    def _release(
        self,
        ends: list[EndNotice],
        new_requests: list[NewRequest],
        calls: list[PreparedCall],
        recorded: bool,
    ) -> None:
        """Send what a tick has decided, or refuse it if it could not be recorded."""
        self.unrecorded_ticks -= 1
        if self.closed:
            return
        if self.stop_deadline_passed and not self.unrecorded_ticks:
            self.finished.set()
        self.ends.release(ends, recorded)
        for new_request in new_requests:
            self._answer(new_request, recorded)
        self.hosts.release(calls, recorded)

    def _maintain_journal(self) -> None:
        """Run one small step of compaction, and schedule another where more is left."""
        if self.closed:
            return
        self.journal.forget_ended(time.time_ns() // MS)
        self.journal.maintain()
        self.ends.retry()
        if self.journal.needs_maintenance and self.maintenance_timer is None:
            pause = WRITE_RETRY_INTERVAL_S if self.journal.write_failed else MAINTENANCE_INTERVAL_S
            self.maintenance_timer = asyncio.get_running_loop().call_later(pause, self._on_maintenance_timer)

    def _on_maintenance_timer(self) -> None:
        self.maintenance_timer = None
        self._maintain_journal()

    def _execute(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(action)
            case io.Refuse(ref, hold_off):
                log.debug("message %s refused, client should retry after %d ms", ref, hold_off // MS)
                new_request = self.new_requests.get(ref)
                if new_request is not None:
                    self.counts.refused[new_request.request.klass] += 1
                    new_request.reply.busy(hold_off // MS)
                else:
                    self._end(ref, "bounced", hold_off // MS)
            case io.Fail(ref):
                log.debug("message %s failed", ref)
                new_request = self.new_requests.get(ref)
                if new_request is not None:
                    self.counts.failed[new_request.request.klass] += 1
                    new_request.reply.error("failed")
                else:
                    self._end(ref, "dead", 0)
            case io.Cancel(ref, attempt):
                log.debug("attempt %s %d cancelled", ref, attempt)
                message = self.pending.get(ref)
                if message is not None and message.exchange is not None and message.attempts == attempt + 1:
                    message.exchange.give_up(io.Status.CANCELLED)
            case io.Probe():
                self.hosts.begin(probe_exchange(self, action))
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
            self.alarm.cancel()  # a newer alarm replaces it
        at = self.pacer.now + after
        self.alarm = asyncio.get_running_loop().call_at(at / SECOND, self._on_alarm, at, token)

    def _on_alarm(self, at: int, token: int) -> None:
        now = time.monotonic_ns()
        self.lag.on_late_timer(at, now)
        if now - self.batch_started_at > MAX_POLL_AGE_NS:
            after_socket_poll(self.post, io.Alarm(token))
        else:
            self.post(io.Alarm(token))

    # ---- attempts

    def _send(self, send: io.Send) -> None:
        message = self.pending.get(send.call)
        if message is None:  # it was not accepted after all: the Pacer needs an outcome for this attempt too
            self.post(io.Verdict(send.call, 0, send.host, io.Status.ABANDONED, 0, True, 0, False, None))
            return
        entry = self.host_table.listed.get(send.host)
        message.sent_at, message.zone = self.pacer.now, -1 if entry is None else entry.zone
        attempt = Attempt(self, message, send.host, message.attempts, self.pacer.now, send.stop_at)
        message.attempts += 1
        message.exchange = attempt.exchange()
        self.hosts.begin(message.exchange)

    # ---- ends of messages

    def _on_notice_acknowledged(self, ref: str) -> None:
        """The platform has acknowledged a notice."""
        self.journal.record_notice_acknowledged(ref)
        self._flush_soon()

    def _end(self, ref: str, result: str, wait_ms: int) -> None:
        message = self.pending.get(ref)
        if message is not None:
            self.finish(message, result, wait_ms)
            if message.exchange is None:
                del self.pending[ref]
        elif (entry := self.journal.entries.get(ref)) is not None:
            self.journal.record_end(ref, result, wait_ms)
            self.ends.add(EndNotice(ref, result, wait_ms, monotonic_deadline(entry)))

    def finish(self, message: PendingMessage, result: str | None, wait_ms: int, notify_result: str | None = None) -> None:
        """A message has ended with a result (None: delivered). ``notify_result``: the result that the platform is
        notified of although the message was delivered."""
        if message.ended:
            return
        message.ended = True
        if self.recovery_stats.on_end(message.ref, time.monotonic_ns() >= message.ends_at - DEADLINE_MARGIN_NS):
            log.info("%s", self.recovery_stats)
        by_class = (
            self.counts.served if result is None else (self.counts.failed if result == "dead" else self.counts.refused)
        )
        by_class[message.klass] += 1
        notified = result or notify_result
        if notified is None:
            repeat = self.settings.classes[self.class_numbers[message.klass]].repeat
            self.journal.record_delivered(message.ref, may_forget=repeat is io.Repeat.SAFE)
        else:
            self.journal.record_end(message.ref, notified, wait_ms)
            self.ends.add(EndNotice(message.ref, notified, wait_ms, message.ends_at))
