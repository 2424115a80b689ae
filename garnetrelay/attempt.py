"""One call for a message: the final check before it, its records in the journal, and its outcome for the Pacer.

The relay (``relay.py``) creates one for each ``Send``. It prevents three faults: a first byte that goes out before the
attempt is on record, a call that begins although its time limit has passed or the Pacer no longer allows it, and an
answer that is accepted after the message's deadline.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from garnetrelay.config.deployment import Address, Config
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.delivery.http.connection import Exchange
from garnetrelay.delivery.http.requests import call_request
from garnetrelay.host_table import HostTable
from garnetrelay.key_rests import KeyRests
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
# Longest time between a client's sending of a request and our reading of it; the client waits this long for an answer.
MAX_TRANSIT_UNCERTAINTY_NS = 2 * SECOND // 5


class AttemptingRelay(Protocol):
    """What an attempt needs of the relay that makes it. All of it is used on the loop's thread."""

    config: Config
    pacer: Pacer
    journal: Store
    key_rests: KeyRests
    recovery_stats: RecoveryStats
    owners: Owners | None  # None: no leases
    host_table: HostTable
    pending: dict[str, PendingMessage]  # by ref

    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick."""
        ...

    def finish(self, message: PendingMessage, result: str | None, wait_ms: int, notify_result: str | None = None) -> None:
        """A message has ended with a result (None: delivered). ``notify_result``: the result that the platform is
        notified of although the message was delivered."""
        ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One call for a message, with its records in the journal and its outcome for the Pacer."""

    relay: AttemptingRelay
    message: PendingMessage
    host: str
    number: int
    started: int  # monotonic clock, nanoseconds, like the next field
    stop_at: int
    recorded: bool = False  # the journal has a record of this attempt
    destination: int = -1  # set where leases are on and this relay owns the destination
    epoch: int | None = None  # the epoch of that ownership, as recorded

    def exchange(self) -> Exchange:
        """The exchange that carries out this attempt."""
        exchange = Exchange(self.host, self.stop_at, self.prepare, self.done, self.final_check, self.message.ref)
        if self.relay.owners is not None:
            exchange.before_first_byte = self.check_lease
        return exchange

    def prepare(self, address: Address) -> bytes | None:
        """Run the final check, record the attempt, and return the request; None if the attempt must not begin."""
        if not self.final_check():
            return None
        message, zones = self.message, self.relay.config.zone_names
        name = zones[message.zone] if 0 <= message.zone < len(zones) else ""
        if self.relay.owners is not None:
            self.set_epoch(self.relay.owners)
        self.recorded = self.relay.journal.record_attempt(message.ref, name, time.time_ns() // MS, self.epoch)
        if self.recorded and self.relay.recovery_stats.on_attempt(message.ref):
            log.info("%s", self.relay.recovery_stats)
        return call_request(address, message.ref, message.key, message.body, self.stop_at) if self.recorded else None

    def final_check(self) -> bool:
        """Whether the call may still begin: its time limit has not passed, and the Pacer still allows it."""
        now = time.monotonic_ns()
        if now >= self.stop_at:
            log.debug("attempt %s %d at %s not started: time limit passed", self.message.ref, self.number, self.host)
            return False
        obstacle = self.relay.pacer.obstacle(now, self.message.ref, self.host)
        if obstacle is not None:
            log.debug("attempt %s %d at %s not started: %s", self.message.ref, self.number, self.host, obstacle.value)
        return obstacle is None

    def set_epoch(self, owners: Owners) -> None:
        """Set the epoch to record, if this relay owns the host's destination."""
        entry = self.relay.host_table.listed.get(self.host)
        ownership = None if entry is None else owners.ownership(entry.dest)
        if entry is not None and ownership is not None:
            self.destination, self.epoch = entry.dest, ownership.epoch

    def check_lease(self) -> None:
        """Report a lease that ended while the record was written or while this process was suspended. The call goes out
        all the same, under this relay's own share of the limits: leases only report so far."""
        if self.relay.owners is not None and self.epoch is not None:
            self.relay.owners.still_owned(self.destination, self.epoch)

    def done(self, outcome: Outcome) -> None:
        """Record the outcome, then report it to the Pacer."""
        relay, message = self.relay, self.message
        message.exchange = None
        log.debug("attempt %s %d at %s: %s", message.ref, self.number, self.host, outcome)
        # The loop reads sockets before it runs timers, so an answer may be read after the message's deadline. Nobody
        # waits for that answer any more, and the client still needs to be notified of an end.
        now = time.monotonic_ns()
        rest = relay.key_rests.after(message.klass, message.key, outcome.status, now)
        if rest is not None:  # ahead of the message's end, which may be the last that the journal has of it
            relay.journal.record_key_rest(rest, now)
        finished = outcome.finished and now < message.ends_at
        if finished:
            # The message's end also settles the attempt. The client counts its time from its sending: if the answer
            # came after the client's deadline but before ours, the client still needs a notice. A notice for a message
            # that has ended does no harm.
            relay.finish(
                message, None, 0, notify_result="dead" if now >= message.ends_at - MAX_TRANSIT_UNCERTAINTY_NS else None
            )
        elif self.recorded:
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
