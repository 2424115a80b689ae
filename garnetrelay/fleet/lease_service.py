"""A relay's side of leases: carries out what ``holder.py`` decides, and wishes for what the members' view assigns to it.

Imported only where `[fleet.leases]` is switched on. Its datagrams go by the fleet's socket.
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

MIN_DELAY_S = 0.001  # seconds until a timer: an instant that has just passed must not spin the loop
FENCED_LOG_INTERVAL_NS = 1_000_000_000  # nanoseconds between two lines on fenced attempts


class Membership(Protocol):
    """What is asked of the members."""

    @property
    def view(self) -> int:
        """Changes with who is there."""
        ...

    def fleet_view(self) -> FleetView:
        """Who is there, and what that is worth."""
        ...


class LeaseService:
    """One session of one relay."""

    def __init__(
        self,
        config: LeasesConfig,
        name: str,
        shared_secrets: list[bytes],
        members: Membership,
        send: Callable[[SocketAddress, bytes], bool],
    ) -> None:
        """``send`` takes a datagram; whether it went."""
        self.config = config
        self.name = name
        self.codec = Codec(shared_secrets)
        self.session = Session(name, secrets.randbits(62))
        self.holder = Holder(self.session, config.settings, random.Random(secrets.randbits(64)))
        self.refused: Counter[str] = Counter()
        self.datagrams_in = self.datagrams_out = self.bytes_in = self.bytes_out = 0
        self.fenced = 0
        self.assigned_relays: tuple[str, ...] = ()  # who should own each partition, by the last view that was relied on
        self._members = members
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._assignment = Assignment(config.settings.partitions)
        self._assigned_view: int | None = None
        self._assigning: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._fenced_line_at = 0
        self._fenced_told = 0

    def start(self) -> None:
        """Greet the controllers; partitions are asked for when there is a view to go by."""
        log.info("leases: session %d, %d controllers", self.session.number, len(self.config.addresses))
        self._carry_out(self.holder.set_assigned(clock.now(), ()))
        self.on_view_change()

    def on_view_change(self) -> None:
        """The view may have changed. Where its numbers can't be relied on, the wishes stay as they are: relays on both
        sides of a cut would take each other's partitions for free otherwise, and ask for what they can't get."""
        if self._closed or self._assigning is not None or self._members.view == self._assigned_view:
            return
        view = self._members.fleet_view()
        if view.relies.count:
            self._assigning = self._loop.create_task(self._assign(view))

    def release_all(self) -> None:
        """Give all up: this session is over."""
        self._carry_out(self.holder.release_all(clock.now()))

    def close(self) -> None:
        """The same, and do nothing any more."""
        if self._closed:
            return
        self.release_all()
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._assigning is not None:
            self._assigning.cancel()

    def set_secrets(self, shared_secrets: list[bytes]) -> None:
        """They have changed."""
        self.codec = Codec(shared_secrets)

    # ---- what the relay asks

    def ownership(self, destination: int) -> Ownership | None:
        """In which epoch this relay owns a destination now, and until when."""
        found = self.holder.ownership(self.partition(destination), clock.now())
        return None if found is None else Ownership(found.epoch, found.until)

    def still_owned(self, destination: int, epoch: int) -> bool:
        """Whether it owns it in this epoch still; where not, the attempt counts as fenced."""
        found = self.ownership(destination)
        if found is not None and found.epoch == epoch:
            return True
        self.fenced += 1
        now = clock.now()
        if now >= self._fenced_line_at:
            log.warning(
                "leases: fenced: the lease on destination %d (partition %d, epoch %d) ended before a first byte; "
                "%d since the last such line",
                destination,
                self.partition(destination),
                epoch,
                self.fenced - self._fenced_told,
            )
            self._fenced_line_at, self._fenced_told = now + FENCED_LOG_INTERVAL_NS, self.fenced
        return False

    def partition(self, destination: int) -> int:
        """The partition of a destination."""
        return partition_of(destination, self.config.settings.partitions)

    def assigned_relay(self, partition: int) -> str:
        """Who should, by the last view that was relied on; empty: nobody is known."""
        return self.assigned_relays[partition] if self.assigned_relays else NO_OWNER

    # ---- what happens

    def receive(self, data: bytes, source: SocketAddress) -> None:
        """A datagram of this protocol."""
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
        """Off the loop: with hundreds of members it takes longer than a client's answer may wait."""
        self.assigned_relays = await self._loop.run_in_executor(None, self._assignment.change, frozenset(view.zones))
        self._assigned_view, self._assigning = view.view, None
        wished = [partition for partition, name in enumerate(self.assigned_relays) if name == self.name]
        log.info("leases: %d of %d partitions should be this relay's", len(wished), len(self.assigned_relays))
        self._carry_out(self.holder.set_assigned(clock.now(), wished))
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
