"""The start of a relay: what an earlier life or the process before left is taken up.

Owned here: in which order messages come back to the Pacer, and what may be said of an attempt whose outcome nobody
recorded. Guards against newcomers that pass ahead of an order, and against a loop that is busy for as long as a long
journal takes: messages come in slices while clients are answered.
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
from garnetrelay.pending import PendingMessage
from garnetrelay.recorded_times import newest_time, ran_ago
from garnetrelay.recovery_stats import RecoveryStats
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer

if TYPE_CHECKING:
    from garnetrelay.handover.protocol import State
    from garnetrelay.handover.receiver import ReceivedHandover

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1_000_000_000
MAX_SLICE_MESSAGES = 1000  # messages picked up in a round of the loop: some ten milliseconds


class Recovery(ABC):
    """The part of a relay that starts it. ``Relay`` owns what is declared here, and says what is abstract."""

    config: Config
    settings: io.Settings
    pacer: Pacer
    journal: Store
    reader: ListReader
    discovery: Discovery
    handover: ReceivedHandover | None  # from the process before; None behind the start, and where there was none
    class_numbers: dict[str, int]  # by a class's name
    delisted: dict[str, None]  # hosts that were listed, the latest last
    pending: dict[str, PendingMessage]  # by ref
    recovering: deque[Entry]  # picked up, and not yet taken up
    taken_up: list[Entry]  # and not yet with the Pacer: it hears of them in the coming turn
    clock_is_sure: bool  # no time that the journal has lies ahead of the wall clock
    recovery_stats: RecoveryStats
    ends: list[tuple[str, str, int]]  # of this turn: what the platform is told of each
    inbox: list[io.Event]
    closed: bool

    @abstractmethod
    def post(self, event: io.Event) -> None:
        """Let the next turn take up an event."""

    @abstractmethod
    def _schedule_tick(self) -> None:
        """Let a turn come."""

    @abstractmethod
    def tick(self) -> None:
        """Decide on all that has come."""

    @abstractmethod
    def _place(self, update: ListUpdate) -> None:
        """Where each host listens now."""

    @abstractmethod
    def _end(self, ref: str, result: str, wait_ms: int) -> None:
        """End a message with a result that the platform is told."""

    def _read_known(self) -> None:
        try:
            update = self.reader.read(self.config.known_hosts)
        except ValueError as error:
            log.warning("the list in the configuration can't be read, starting without one: %s", error)
            return
        self.discovery.index = update.index
        self._place(update)
        self.inbox.append(io.Roster(io.ListScope.CACHED, update.entries))

    def _inherit(self, state: State) -> None:
        """The list as the process before had it, and what it knew."""
        from starlingwick.snapshot import restore_snapshot

        entries, addresses = [], {}
        for e in state.endpoints:
            entries.append(io.HostEntry(e.name, e.zone, e.kind, e.dest, io.Availability(e.availability), e.rate))
            addresses[e.name] = Address(e.host, e.port)
        self.delisted = dict.fromkeys(state.delisted)
        # Another address may count its versions in a way of its own: it is asked for all.
        self.discovery.index = state.index if state.discovery == str(self.config.discovery) else 0
        update = ListUpdate(state.index, True, tuple(entries), addresses)
        self._place(update)
        self.inbox.append(io.Roster(io.ListScope.CACHED, update.entries))
        self.tick()
        restore_snapshot(self.pacer, state.pacer_snapshot)

    def _recover(self) -> None:
        """Pick up what an earlier life left. Messages that keep an order come before any newcomer of theirs, and calls
        that are out before any other; the rest goes to the Pacer in slices, soonest deadline first, while clients are
        answered."""
        passed = {} if self.handover is None else self.handover.calls
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
        self._restore(first)

    def _recover_slice(self) -> None:
        """So many at once, and the others in later rounds of the loop."""
        if self.closed:
            return
        self._restore([self.recovering.popleft() for _ in range(min(MAX_SLICE_MESSAGES, len(self.recovering)))])
        if self.recovering:
            asyncio.get_running_loop().call_soon(self._recover_slice)

    def _look_at_the_clock(self) -> None:
        ahead = newest_time(self.journal.entries.values()) - time.time_ns() // MS
        self.clock_is_sure = ahead <= 0
        if ahead > 0:
            log.warning(
                "the clock was set back by %d ms or more: no keyed message that may have run is sent again", ahead
            )

    def _restore(self, entries: list[Entry]) -> None:
        now_ms = time.time_ns() // MS
        for entry in entries:
            if not entry.attempts:
                self.recovery_stats.find(entry.ref)
            ends_at = time.monotonic_ns() + (entry.deadline - now_ms) * MS
            self.pending[entry.ref] = PendingMessage(
                entry.ref, entry.klass, entry.key, entry.body, ends_at, entry.attempts
            )
        if entries:
            self.taken_up += entries
            self._schedule_tick()

    def _recovered_event(self, entry: Entry, now: int) -> io.Recovered:
        """As the Pacer hears of it in a turn. ``now``: the turn's time by the wall clock. What passes between taking a
        message up and its turn would lengthen its window for repeats, and its time."""
        passed = None if self.handover is None else self.handover.calls.get(entry.ref)
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
