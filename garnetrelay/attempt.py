"""One call with a message: its last look, what goes on record of it, and what the Pacer hears of its outcome.

Owned by the core (``relay.py``), which begins one for each ``Send``. Guards against a first byte ahead of its attempt's
record, against a call that its time or the Pacer has overtaken, and against an answer that comes behind its message's
time.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from garnetrelay.config.deployment import Address, Config
from garnetrelay.delivery.http import hosts as net
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.pending import PendingMessage
from garnetrelay.recovery_stats import RecoveryStats
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import MAY_HAVE_RUN, Pacer

if TYPE_CHECKING:
    from garnetrelay.ownership import Owners

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1_000_000_000
MAX_TRANSIT_UNCERTAINTY_NS = (
    2 * SECOND // 5
)  # between a request's sending and our reading it, at most: its client waits so long for a word


class AttemptingRelay(Protocol):
    """What an attempt needs of the relay that makes it. All of it is used on the loop's thread."""

    config: Config
    pacer: Pacer
    journal: Store
    recovery_stats: RecoveryStats
    owners: Owners | None  # None: no leases
    listed: dict[str, io.HostEntry]  # by host
    pending: dict[str, PendingMessage]  # by ref

    def post(self, event: io.Event) -> None:
        """Let the next turn take up an event."""
        ...

    def finish(self, message: PendingMessage, result: str | None, wait_ms: int, tell: str | None = None) -> None:
        """A message has ended with a result, None: delivered. ``tell``: what the platform hears even so."""
        ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One call with a message: what goes on record of it, and what the Pacer hears."""

    relay: AttemptingRelay
    message: PendingMessage
    host: str
    number: int
    started: int  # monotonic clock, as is the next
    stop_at: int
    written: bool = False  # it is on record
    destination: int = -1  # where leases are on and this relay owns it
    epoch: int | None = None  # the same: in which epoch, as it is on record

    def exchange(self) -> net.Exchange:
        """The exchange that carries this attempt out."""
        exchange = net.Exchange(self.host, self.stop_at, self.prepare, self.done, self.final_check, self.message.ref)
        if self.relay.owners is not None:
            exchange.before_first_byte = self.fence
        return exchange

    def prepare(self, address: Address) -> bytes | None:
        """The last look and the record, then the request."""
        if not self.final_check():
            return None
        message, zones = self.message, self.relay.config.zone_names
        name = zones[message.zone] if 0 <= message.zone < len(zones) else ""
        if self.relay.owners is not None:
            self.stamp(self.relay.owners)
        self.written = self.relay.journal.record_attempt(message.ref, name, time.time_ns() // MS, self.epoch)
        if self.written and self.relay.recovery_stats.on_try(message.ref):
            log.info("%s", self.relay.recovery_stats)
        return net.call_request(address, message.ref, message.key, message.body, self.stop_at) if self.written else None

    def final_check(self) -> bool:
        """The last look: whether the call may still begin, by its time and by the Pacer."""
        now = time.monotonic_ns()
        if now >= self.stop_at:
            log.debug("attempt %s %d at %s does not begin: its time is up", self.message.ref, self.number, self.host)
            return False
        obstacle = self.relay.pacer.obstacle(now, self.message.ref, self.host)
        if obstacle is not None:
            log.debug("attempt %s %d at %s does not begin: %s", self.message.ref, self.number, self.host, obstacle.value)
        return obstacle is None

    def stamp(self, owners: Owners) -> None:
        """The epoch that goes on record."""
        entry = self.relay.listed.get(self.host)
        ownership = None if entry is None else owners.ownership(entry.dest)
        if entry is not None and ownership is not None:
            self.destination, self.epoch = entry.dest, ownership.epoch

    def fence(self) -> None:
        """The record took its time, or this process did not run: a lease that ended meanwhile is told. The call goes
        out all the same, under this relay's own part of the limits: leases only report so far."""
        if self.relay.owners is not None and self.epoch is not None:
            self.relay.owners.still_owned(self.destination, self.epoch)

    def done(self, outcome: Outcome) -> None:
        """What became of it: on record, then with the Pacer."""
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
            relay.finish(message, None, 0, tell="dead" if now >= message.ends_at - MAX_TRANSIT_UNCERTAINTY_NS else None)
        elif self.written:
            relay.journal.record_outcome(message.ref, outcome.status in MAY_HAVE_RUN or outcome.status is io.Status.OK)
        if message.ended:
            relay.pending.pop(message.ref, None)
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
