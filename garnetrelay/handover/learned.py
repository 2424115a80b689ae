"""What the new process of an upgrade learns while the old one may still have to take the relay back. No I/O.

For the rules on drains, waits and returning destinations both processes are one relay: what one was told binds the other.
``LearnedRecorder`` runs in the new process; ``merge`` in an old one that starts again since its successor died.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from garnetrelay.config.deployment import Config
from garnetrelay.discovery.host_list import ListUpdate
from garnetrelay.handover.protocol import Endpoint, Learned, State
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.model import Destination
from starlingwick.snapshot import destination_snapshot


class VersionedList(Protocol):
    """The list of hosts that the relay follows."""

    @property
    def index(self) -> int:
        """Its version."""
        ...


class LearningRelay(Protocol):
    """What the recorder reads of the relay that learns."""

    config: Config
    pacer: Pacer

    @property
    def discovery(self) -> VersionedList:
        """The list of hosts, at the address that the configuration names."""
        ...


class LearnedRecorder:
    """Passes what a relay learns to ``append``, in frames. Used by the new process."""

    def __init__(self, relay: LearningRelay, append: Callable[[Learned], None]) -> None:
        self._relay = relay
        self._append = append
        self._recorded: dict[Destination, tuple[object, ...]] = {}  # the condition that is on record

    def on_list_update(self, update: ListUpdate) -> None:
        """The list of hosts has changed."""
        endpoints = []
        for entry in update.entries:
            address = update.addresses.get(entry.host)
            host, port = ("", 0) if address is None else (address.host, address.port)
            endpoints.append(
                Endpoint(
                    entry.host,
                    entry.zone,
                    entry.kind,
                    entry.dest,
                    entry.availability.value,
                    entry.rate,
                    host,
                    port,
                    update.starts.get(entry.host, 0),
                )
            )
        self._append(self._frame(whole=update.whole, endpoints=endpoints))

    def on_tick(self, events: Iterable[io.Event]) -> None:
        """The Pacer has handled a batch of events. Only destinations with a call in flight or an outcome can have
        changed."""
        pacer = self._relay.pacer
        concerned = {call.dest for call in pacer.calls}
        for event in events:
            if isinstance(event, io.Verdict | io.Probed | io.Excluded) and event.host in pacer.hosts:
                concerned.add(pacer.hosts[event.host][0])
        changed = [dest for dest in concerned if self._recorded.get(dest) != condition(dest)]
        if changed:
            self._recorded.update((dest, condition(dest)) for dest in changed)
            self._append(self._frame(destinations=[destination_snapshot(dest) for dest in changed]))

    def _frame(self, **fields: Any) -> Learned:
        return Learned(self._relay.discovery.index, str(self._relay.config.discovery), **fields)


def condition(dest: Destination) -> tuple[object, ...]:
    """What the rules on waits and on returning destinations depend on. It stays the same while calls succeed."""
    return (
        dest.wait_until,
        dest.backoff_until if dest.backoff else 0,  # without a backoff it is the time of the latest outcome
        dest.in_outage,
        dest.ramp_from,
        dest.failing_since,
        dest.last_failure_at,
        dest.ceiling_changed_at,
        dest.rate_limit,
    )


def merge(state: State, learned: Iterable[Learned]) -> State:
    """The state that was handed over, with all that the new process has learned since."""
    endpoints = {endpoint.name: endpoint for endpoint in state.endpoints}
    delisted = dict.fromkeys(state.delisted)
    destinations = list(state.pacer_snapshot.get("destinations", ()))
    index, discovery = state.index, state.discovery
    for frame in learned:
        index, discovery = frame.index, frame.discovery
        destinations += frame.destinations
        named = {endpoint.name for endpoint in frame.endpoints}
        gone = [name for name in endpoints if name not in named] if frame.whole else []
        for endpoint in frame.endpoints:
            if endpoint.availability == io.Availability.DELETED.value:
                gone.append(endpoint.name)
            else:
                endpoints[endpoint.name] = endpoint
                delisted.pop(endpoint.name, None)
        for name in gone:
            if endpoints.pop(name, None) is not None:
                delisted[name] = None
    return msgspec.structs.replace(
        state,
        index=index,
        discovery=discovery,
        endpoints=list(endpoints.values()),
        delisted=list(delisted),
        pacer_snapshot={**state.pacer_snapshot, "destinations": destinations},
        fleet=None,  # the new process continued as that member: this one joins anew, as after a kill
    )
