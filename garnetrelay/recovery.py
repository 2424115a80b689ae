"""The start of a relay: restores what a previous run left in the journal, or what the previous process handed over.

Decides in which order messages return to the Pacer, and what to assume about an attempt whose outcome was not recorded.
It prevents new requests from overtaking restored messages in a class that keeps order. Messages are restored in slices
while clients are answered, so that a long journal does not block the loop.
"""

from __future__ import annotations

import asyncio
import logging
import time
from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from garnetrelay.config.deployment import Address, Config
from garnetrelay.discovery.client import Discovery
from garnetrelay.discovery.host_list import ListReader, ListUpdate
from garnetrelay.ends.held import EndNotice
from garnetrelay.ends.notifier import EndNotifier
from garnetrelay.host_table import HostTable
from garnetrelay.key_rests import KeyRests
from garnetrelay.pending import PendingMessage
from garnetrelay.recorded_times import newest_attempt_ms, ran_ago
from garnetrelay.recovery_stats import RecoveryStats
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.snapshot import block_key, restore_snapshot

if TYPE_CHECKING:
    from garnetrelay.handover.protocol import State
    from garnetrelay.handover.receiver import ReceivedHandover

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1_000_000_000
MAX_SLICE_MESSAGES = 1000  # messages restored in one iteration of the loop: some ten milliseconds


def monotonic_deadline(entry: Entry) -> int:
    """A recorded message's deadline by the monotonic clock, in nanoseconds."""
    return time.monotonic_ns() + entry.deadline * MS - time.time_ns()


class Recovery(ABC):
    """The part of a relay that starts it. ``Relay`` sets the attributes and implements the abstract methods."""

    config: Config
    settings: io.Settings
    pacer: Pacer
    journal: Store
    key_rests: KeyRests
    reader: ListReader
    discovery: Discovery
    handover: ReceivedHandover | None  # from the previous process; None once started, or if there was none
    inherited: State | None  # from this process, which has started again; None once started, or if it has not
    class_numbers: dict[str, int]  # by a class's name
    host_table: HostTable
    pending: dict[str, PendingMessage]  # by ref
    recovering: deque[Entry]  # read from the journal, not yet restored
    restored: list[Entry]  # reported to the Pacer in the next tick
    clock_trusted: bool  # no time in the journal is ahead of the wall clock
    recovery_stats: RecoveryStats
    ends: EndNotifier
    inbox: list[io.Event]
    closed: bool

    @abstractmethod
    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick."""

    @abstractmethod
    def _schedule_tick(self) -> None:
        """Make sure that a tick will run."""

    @abstractmethod
    def tick(self) -> None:
        """Let the Pacer decide on all queued events."""

    @abstractmethod
    def _end(self, ref: str, result: str, wait_ms: int) -> None:
        """End a message with a result that the platform is notified of."""

    def _restore_knowledge(self) -> None:
        """Restore what the relay knew of hosts: as handed over, else as this process left it, else as configured."""
        state, self.inherited = self.inherited, None
        if self.handover is not None:
            state = self.handover.state
        if state is None:
            self._load_known_hosts()
        else:
            self._restore_handover(state)

    def _load_known_hosts(self) -> None:
        try:
            update = self.reader.read(self.config.known_hosts)
        except ValueError as error:
            log.warning("the list of hosts in the configuration can't be read, starting without one: %s", error)
            return
        self.discovery.index = update.index
        self.host_table.apply(update)
        self.inbox.append(io.Roster(io.ListScope.CACHED, update.entries))

    def _restore_handover(self, state: State) -> None:
        """Restore the list of hosts and the Pacer's snapshot from the previous process."""
        entries, addresses, starts = [], {}, {}
        for e in state.endpoints:
            entries.append(io.HostEntry(e.name, e.zone, e.kind, e.dest, io.Availability(e.availability), e.rate))
            addresses[e.name] = Address(e.host, e.port)
            starts[e.name] = e.start_ms
        self.host_table.restore_delisted(state.delisted)
        # A discovery service at another address may number its versions differently: it is asked for the whole list.
        self.discovery.index = state.index if state.discovery == str(self.config.discovery) else 0
        update = ListUpdate(state.index, True, tuple(entries), addresses, starts=starts)
        self.host_table.apply(update)
        self.inbox.append(io.Roster(io.ListScope.CACHED, update.entries))
        self.tick()
        restore_snapshot(self.pacer, state.pacer_snapshot)

    def _recover(self) -> None:
        """Restore what a previous run left. Messages of classes that keep order come first, ahead of any new request of
        theirs, and so do those whose calls were handed over in flight. The others follow in slices, soonest deadline
        first, while clients are answered."""
        calls = {} if self.handover is None else self.handover.calls
        self._check_wall_clock()
        self._restore_key_rests()
        first: list[Entry] = []
        rest: list[Entry] = []
        notices = 0
        for entry in list(self.journal.entries.values()):
            if entry.ended is not None:
                notices += 1
                self.ends.add(EndNotice(entry.ref, entry.ended, entry.wait_ms, monotonic_deadline(entry)))
            elif entry.klass not in self.class_numbers:
                log.error("journal: message %s has the unknown class %s", entry.ref, entry.klass)
                self._end(entry.ref, "dead", 0)
            elif entry.ref in calls or self.settings.classes[self.class_numbers[entry.klass]].in_turn:
                first.append(entry)
            else:
                rest.append(entry)
        rest.sort(key=lambda entry: entry.deadline)
        if self.journal.entries:
            log.info("picked up %d messages and %d notices", len(first) + len(rest), notices)
        self.recovering.extend(rest)
        self._restore(first)

    def _restore_key_rests(self) -> None:
        """Let keys rest behind attempts of earlier processes, for as long as these would have."""
        now = time.monotonic_ns()
        recorded = self.journal.key_rests
        in_force = self.key_rests.in_force(recorded, now)
        for key in {rest.key for rest in recorded} - {rest.key for rest in in_force}:
            self.journal.drop_key_rest(key)
        for rest in in_force:
            block_key(self.pacer, rest.key, rest.until)
            if rest not in recorded:  # recorded in an earlier boot: a next process must not begin anew again
                self.journal.record_key_rest(rest, now)

    def _recover_slice(self) -> None:
        """Restore one slice, and schedule the next in a later iteration of the loop."""
        if self.closed:
            return
        self._restore([self.recovering.popleft() for _ in range(min(MAX_SLICE_MESSAGES, len(self.recovering)))])
        if self.recovering:
            asyncio.get_running_loop().call_soon(self._recover_slice)

    def _check_wall_clock(self) -> None:
        ahead = newest_attempt_ms(self.journal.entries.values()) - time.time_ns() // MS
        self.clock_trusted = ahead <= 0
        if ahead > 0:
            log.warning(
                "the wall clock was set back by %d ms or more: keyed messages that may have run are not sent again", ahead
            )

    def _restore(self, entries: list[Entry]) -> None:
        for entry in entries:
            if not entry.attempts:
                self.recovery_stats.on_found(entry.ref)
            self.pending[entry.ref] = PendingMessage(
                entry.ref, entry.klass, entry.key, entry.body, monotonic_deadline(entry), entry.attempts
            )
        if entries:
            self.restored += entries
            self._schedule_tick()

    def _recovered_event(self, entry: Entry, now: int) -> io.Recovered:
        """The event that reports a restored message to the Pacer. ``now`` is the tick's time by the wall clock: measured
        at the restore instead, the message's repeat window and time limit would be extended by the time in between."""
        handed_over = None if self.handover is None else self.handover.calls.get(entry.ref)
        call = None if handed_over is None else handed_over[0]  # its attempt is still in flight
        if call is None and entry.ran_at is None and entry.trying_at is not None:  # no outcome recorded: it may have run
            entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
        zones = self.config.zone_names
        return io.Recovered(
            call=entry.ref,
            klass=self.class_numbers[entry.klass],
            dest=entry.dest,
            key=entry.key,
            patience=entry.deadline * MS - now,
            attempts=entry.attempts,
            ran_ago=ran_ago(entry, now, self.clock_trusted),
            ran_zone=zones.index(entry.ran_zone) if entry.ran_zone in zones else -1 if call is None else call.zone,
            host=None if call is None else call.name,
            sent_at=0 if call is None else call.started,
        )
