"""What the old process's side of a handover needs of the relay that it hands over.

``Relay`` implements it without importing it, so the handover does not import the core that starts it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import TYPE_CHECKING, Any, Protocol

from garnetrelay.config.deployment import Config
from garnetrelay.delivery.http.hosts import Hosts
from garnetrelay.discovery.client import Discovery
from garnetrelay.fronts.resp.server import Server
from garnetrelay.host_table import HostTable
from garnetrelay.pending import PendingMessage
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer

if TYPE_CHECKING:
    from garnetrelay.store.durability import SyncWorker  # starts a thread: only where it is configured


class HandoverFleet(Protocol):
    """This relay as a member of its fleet."""

    def handover_state(self) -> dict[str, Any] | None:
        """The state with which the new process continues as the same member; None if the relay is not a member now."""
        ...


class Predecessor(Protocol):
    """The process that this one took the relay over from."""

    def bye(self) -> None:
        """Tell it that this process's end is no failure."""
        ...


class HandoverRelay(Protocol):
    """A relay that can be handed over to another process. All of it is used on the loop's thread."""

    config: Config
    pacer: Pacer
    journal: Store
    hosts: Hosts
    server: Server
    discovery: Discovery
    pending: dict[str, PendingMessage]  # by ref
    host_table: HostTable
    inbox: list[io.Event]  # events of the next tick
    finished: asyncio.Event  # set: this process may end
    serving: bool
    stopping: bool
    tick_scheduled: bool
    unrecorded_ticks: int  # ticks whose records are still being written

    @property
    def recovering(self) -> Sized:
        """Messages read from the journal at the start and not yet restored."""
        ...

    @property
    def sync_worker(self) -> SyncWorker | None:
        """Syncs the journal to disk; None unless records must survive a power loss of the machine."""
        ...

    @property
    def fleet(self) -> HandoverFleet | None:
        """None where relays do not form a fleet."""
        ...

    @property
    def predecessor(self) -> Predecessor | None:
        """None where this process started from the folder."""
        ...

    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick."""
        ...

    def tick(self) -> None:
        """Let the Pacer decide on all queued events."""
        ...

    def retire(self) -> None:
        """Stop all decisions and outgoing messages."""
        ...
