"""A relay's side of leases: carries out what ``leases/holder.py`` decides, for the partitions assigned to this relay.

The assignment follows from the members' view. The module is imported only if `[fleet.leases]` is configured. Its
datagrams are sent and received by the fleet's socket.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from garnetrelay.config.leases import Leases as LeasesConfig
from garnetrelay.fleet import clock
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.messages import Answer, HolderEffect, LogLine, SendToController, Session
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.members.view import FleetView
from garnetrelay.fleet.partitions.assignment import NO_OWNER, Assignment
from garnetrelay.fleet.partitions.hashing import partition_of
from garnetrelay.fleet.signing import FrameRefusedError
from garnetrelay.ownership import Ownership

log = logging.getLogger(__name__)

MIN_DELAY_S = 0.001  # of a timer: a due time that has just passed must not make the event loop spin
FENCED_LOG_INTERVAL_NS = 1_000_000_000  # between two log lines on fenced attempts


class Membership(Protocol):
    """The part of the fleet's membership that leases use."""

    @property
    def view(self) -> int:
        """A number that changes whenever the set of members does."""
        ...

    def fleet_view(self) -> FleetView:
        """Returns the members, and how reliable that view is."""
        ...


class LeaseService:
    """The lease session of one relay process."""

    def __init__(
        self,
        config: LeasesConfig,
        name: str,
        shared_secrets: list[bytes],
        members: Membership,
        send: Callable[[SocketAddress, bytes], bool],
    ) -> None:
        """``send`` sends a datagram and returns whether that succeeded."""
        self.config = config
        self.name = name
        self.codec = Codec(shared_secrets)
        self.session = Session(name, secrets.randbits(62))
        self.holder = Holder(self.session, config.settings, random.Random(secrets.randbits(64)))
        self.refused: Counter[str] = Counter()
        self.datagrams_in = self.datagrams_out = self.bytes_in = self.bytes_out = 0
        self.fenced = 0
        self.assigned_relays: tuple[str, ...] = ()  # by partition, from the last reliable view
        self._members = members
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._assignment = Assignment(config.settings.partitions)
        self._assigned_view: int | None = None
        self._assigning: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._next_fenced_log_at = 0
        self._fenced_logged = 0

    def start(self) -> None:
        """Contacts the controllers. Partitions are requested once there is a reliable view of the members."""
        log.info("leases: session %d, %d controllers", self.session.number, len(self.config.addresses))
        self._carry_out(self.holder.set_assigned(clock.now(), ()))
        self.on_view_change()

    def on_view_change(self) -> None:
        """Recomputes the assignment if the view of the members has changed.

        The assignment stays as it is while the number of members in the view is unreliable. Otherwise relays on both
        sides of a network split would consider each other's partitions free and request them in vain.
        """
        if self._closed or self._assigning is not None or self._members.view == self._assigned_view:
            return
        view = self._members.fleet_view()
        if view.relies.count:
            self._assigning = self._loop.create_task(self._assign(view))

    def release_all(self) -> None:
        """Releases all partitions and ends the session."""
        self._carry_out(self.holder.release_all(clock.now()))

    def close(self) -> None:
        """Releases all partitions, and stops the timer and the computation of the assignment."""
        if self._closed:
            return
        self.release_all()
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._assigning is not None:
            self._assigning.cancel()

    def set_secrets(self, shared_secrets: list[bytes]) -> None:
        """Replaces the shared secrets."""
        self.codec = Codec(shared_secrets)

    # ---- queries from the relay

    def ownership(self, destination: int) -> Ownership | None:
        """Returns in which epoch this relay owns a destination now, and until when; None if it does not own it."""
        ownership = self.holder.ownership(self.partition(destination), clock.now())
        return None if ownership is None else Ownership(ownership.epoch, ownership.until)

    def still_owned(self, destination: int, epoch: int) -> bool:
        """Returns whether this relay still owns a destination in this epoch; if not, counts the attempt as fenced."""
        ownership = self.ownership(destination)
        if ownership is not None and ownership.epoch == epoch:
            return True
        self.fenced += 1
        now = clock.now()
        if now >= self._next_fenced_log_at:
            log.warning(
                "leases: fenced: the lease on destination %d (partition %d, epoch %d) ended before a first byte; "
                "%d since the last such line",
                destination,
                self.partition(destination),
                epoch,
                self.fenced - self._fenced_logged,
            )
            self._next_fenced_log_at, self._fenced_logged = now + FENCED_LOG_INTERVAL_NS, self.fenced
        return False

    def partition(self, destination: int) -> int:
        """Returns the partition of a destination."""
        return partition_of(destination, self.config.settings.partitions)

    def assigned_relay(self, partition: int) -> str:
        """Returns the relay that should own a partition, from the last reliable view; empty if there was none."""
        return self.assigned_relays[partition] if self.assigned_relays else NO_OWNER

    # ---- events

    def receive(self, data: bytes, source: SocketAddress) -> None:
        """Handles a datagram of the lease protocol."""
        self.datagrams_in += 1
        self.bytes_in += len(data)
        try:
            message = self.codec.decode(data)
        except FrameRefusedError as refused:
            self.refused[refused.cause] += 1
            return
        if not isinstance(message, Answer):
            self.refused["misdirected"] += 1
        elif not self._closed:
            self._carry_out(self.holder.receive(clock.now(), message))

    async def _assign(self, view: FleetView) -> None:
        """Computes the assignment in an executor: with hundreds of members it would delay answers to clients."""
        self.assigned_relays = await self._loop.run_in_executor(None, self._assignment.update, frozenset(view.zones))
        self._assigned_view, self._assigning = view.view, None
        assigned = [partition for partition, name in enumerate(self.assigned_relays) if name == self.name]
        log.info("leases: %d of %d partitions should be this relay's", len(assigned), len(self.assigned_relays))
        self._carry_out(self.holder.set_assigned(clock.now(), assigned))
        self.on_view_change()

    def _tick(self) -> None:
        if not self._closed:
            self._carry_out(self.holder.tick(clock.now()))

    def _carry_out(self, effects: list[HolderEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToController(number, message):
                    data = self.codec.encode(message)
                    if self._send(self.config.addresses[number], data):
                        self.datagrams_out += 1
                        self.bytes_out += len(data)
                case LogLine(text, level):
                    log.log(level, "leases: %s", text)
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed:
            delay = (self.holder.next_at - clock.now()) / 1e9
            self._timer = self._loop.call_later(max(MIN_DELAY_S, delay), self._tick)
