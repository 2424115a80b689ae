"""What the old process's side of an upgrade needs of the relay that it passes on.

``Relay`` fits it without naming it: so the upgrade does not import the core that starts it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import TYPE_CHECKING, Any, Protocol

from garnetrelay.config.deployment import Config
from garnetrelay.delivery.http.hosts import Hosts
from garnetrelay.discovery.client import Discovery
from garnetrelay.fronts.resp.server import Server
from garnetrelay.pending import PendingMessage
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer

if TYPE_CHECKING:
    from garnetrelay.store.durability import SyncWorker  # a thread: only where it is wanted


class PassingFleet(Protocol):
    """This relay as a member of its fleet."""

    def handover_state(self) -> dict[str, Any] | None:
        """What the new process goes on with as the same member; None where it has no part in the fleet now."""
        ...


class Predecessor(Protocol):
    """The process that this one took the relay from."""

    def bye(self) -> None:
        """Tell it that this process's end is no failure."""
        ...


class PassingRelay(Protocol):
    """A relay that can be given to another process. All of it is read on the loop's thread."""

    config: Config
    pacer: Pacer
    journal: Store
    hosts: Hosts
    server: Server
    discovery: Discovery
    pending: dict[str, PendingMessage]  # by ref
    listed: dict[str, io.HostEntry]  # by host
    delisted: dict[str, None]  # hosts that were listed, the latest last
    inbox: list[io.Event]  # what the next turn will take up
    finished: asyncio.Event  # set: this process may end
    serving: bool
    stopping: bool
    tick_scheduled: bool
    unrecorded_ticks: int  # turns whose records are on their way to the disk

    @property
    def recovering(self) -> Sized:
        """What a start has picked up and not yet given to the Pacer."""
        ...

    @property
    def sync_worker(self) -> SyncWorker | None:
        """The journal's syncs, where the machine's power counts."""
        ...

    @property
    def fleet(self) -> PassingFleet | None:
        """None where relays do not know each other."""
        ...

    @property
    def predecessor(self) -> Predecessor | None:
        """None where this process began from the folder."""
        ...

    def post(self, event: io.Event) -> None:
        """Let the next turn take up an event."""
        ...

    def tick(self) -> None:
        """Decide on all that has come."""
        ...

    def retire(self) -> None:
        """Decide and tell nothing any more."""
        ...
