"""The hosts that the list names or has named, and the addresses that calls to them use. No I/O of its own."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from garnetrelay.config.deployment import Address
from garnetrelay.discovery.host_list import ListUpdate
from starlingwick import interface as io

MAX_DELISTED_HOSTS = 4096  # hosts that have left the list and are still known by name


class HostConnections(Protocol):
    """The connections to hosts."""

    def set_address(self, host: str, address: Address, draining: bool) -> None:
        """Set a host's address. Idle connections to another address of it, or to a draining host, are closed."""
        ...

    def set_start(self, host: str, start_ms: int) -> None:
        """Set when a host last started (Unix time, milliseconds). Connections from before that lead nowhere."""
        ...

    def remove(self, host: str) -> None:
        """Forget a host's address and close its idle connections."""
        ...


class HostTable:
    """The hosts of the current list, those that have left it, and their destinations."""

    def __init__(self, connections: HostConnections) -> None:
        self._connections = connections
        self.listed: dict[str, io.HostEntry] = {}  # by host
        self.delisted: dict[str, None] = {}  # hosts that have left the list, the latest last
        self.destinations: set[int] = set()  # every destination that the list has ever named
        self.starts: dict[str, int] = {}  # when the listed hosts last started, Unix time in milliseconds; 0: long ago

    def knows(self, host: str) -> bool:
        """Whether the list names a host, or named it earlier."""
        return host in self.listed or host in self.delisted

    def restore_delisted(self, hosts: Iterable[str]) -> None:
        """Take over the hosts that have left the list from a previous process, the latest last."""
        self.delisted = dict.fromkeys(hosts)

    def apply(self, update: ListUpdate) -> list[str]:
        """Update the hosts' addresses and starts. Connections to hosts that drain or have left the list are closed.
        Returns the hosts that have started anew since they were listed."""
        restarted = [
            entry.host
            for entry in update.entries
            if entry.host in self.starts and update.starts.get(entry.host, 0) > self.starts[entry.host]
        ]
        named = {entry.host for entry in update.entries}
        removed = [host for host in self.listed if host not in named] if update.whole else []
        for entry in update.entries:
            if entry.availability is io.Availability.DELETED:
                removed.append(entry.host)
            else:
                self._add(entry, update.addresses[entry.host], update.starts.get(entry.host, 0))
        for host in removed:
            self._remove(host)
        return restarted

    def _add(self, entry: io.HostEntry, address: Address, start_ms: int) -> None:
        self.listed[entry.host] = entry
        self.delisted.pop(entry.host, None)
        self.destinations.add(entry.dest)
        self._connections.set_address(entry.host, address, entry.availability is io.Availability.STOPPING)
        if start_ms != self.starts.get(entry.host):
            self.starts[entry.host] = start_ms
            self._connections.set_start(entry.host, start_ms)

    def _remove(self, host: str) -> None:
        self.starts.pop(host, None)
        if self.listed.pop(host, None) is not None:
            self.delisted[host] = None
            if len(self.delisted) > MAX_DELISTED_HOSTS:
                del self.delisted[next(iter(self.delisted))]
        self._connections.remove(host)
