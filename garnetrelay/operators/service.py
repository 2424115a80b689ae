"""Carries out operators' commands on a relay."""

from __future__ import annotations

from typing import Protocol

from garnetrelay.config.deployment import Address, Config
from garnetrelay.counters import Counters
from garnetrelay.operators import metrics
from garnetrelay.operators.commands import CommandRefusedError
from garnetrelay.operators.exclusions import Exclusions
from garnetrelay.operators.listener import OperatorListener
from garnetrelay.operators.metrics import Gauges
from starlingwick import interface as io


class OperatedFleet(Protocol):
    """What operators' commands need of the fleet. ``docs/operations/fleet.md`` describes the returned lines."""

    closed: bool  # this process has no part in the fleet any more

    def metrics(self) -> str:
        """The fleet's metrics, a line each."""
        ...

    def listing(self) -> str:
        """The state of this relay, then all members, a line each."""
        ...

    def explain(self, name: str) -> list[str] | None:
        """What is known of a member, in lines; None for an unknown name."""
        ...

    def leave(self) -> None:
        """Leaves the fleet, and notifies the other members."""
        ...

    def owners(self, destination: int | None) -> str | None:
        """The partitions that this relay owns, or whether it owns one destination; None if leases are switched off."""
        ...

    def controllers(self) -> str | None:
        """The controllers as this relay sees them, a line each; None if leases are switched off."""
        ...


class Successor(Protocol):
    """The new process that has taken over the relay."""

    def exclude(self, host: str, out: bool) -> str:
        """Passes on an exclusion or its end; the reason of a failure, or an empty string."""
        ...


class OperatedRelay(Protocol):
    """What operators' commands need of a relay. ``Relay`` implements it without importing it, nor is it imported here."""

    config: Config
    counts: Counters
    serving: bool

    @property
    def fleet(self) -> OperatedFleet | None:
        """None if this relay is not a member of a fleet."""
        ...

    def draining(self) -> bool:
        """Whether it closes its clients' connections in order to end."""
        ...

    def successor(self) -> Successor | None:
        """The process that has taken over; None as long as this process serves."""
        ...

    def gauges(self) -> Gauges:
        """The current values of the metrics without a class label."""
        ...

    def knows_host(self, host: str) -> bool:
        """Whether the host is in the list, or has been."""
        ...

    def exclude(self, host: str, out: bool) -> None:
        """Excludes a host, or includes it again; in force at once."""
        ...


class OperatorService:
    """The operators' service of one relay."""

    def __init__(self, relay: OperatedRelay) -> None:
        self.relay = relay
        self.exclusions = Exclusions(relay.config.state, relay.config.machine_durable)
        self.listener = OperatorListener(self)
        self.port = 0

    async def start(self, address: Address) -> None:
        """Reads the excluded hosts, and listens. HEALTH fails until the relay serves."""
        self.exclusions.read()
        self.port = await self.listener.start(address)

    def excluded(self) -> list[io.Event]:
        """The excluded hosts, as events that the Pacer must get before its first decision."""
        return [io.Excluded(name, True) for name in self.exclusions.names]

    def close(self) -> None:
        """Stops listening."""
        self.listener.close()

    # ---- commands

    def health(self) -> None:
        """Returns if this process can serve; CommandRefusedError before it serves and while it stops."""
        if not self.relay.serving:  # stays true after a handover: the relay serves in the new process
            raise CommandRefusedError("it does not serve yet")
        if self.relay.draining():
            raise CommandRefusedError("it is stopping")

    def metrics(self) -> str:
        """The relay's metrics, and the fleet's if this process is a member of one."""
        relay = self.relay
        text = metrics.render(relay.counts, relay.gauges())
        return text if relay.fleet is None or relay.fleet.closed else text + relay.fleet.metrics()

    def fleet(self, arguments: list[str]) -> str:
        """Carries out ``FLEET`` with its arguments; CommandRefusedError without a fleet."""
        fleet = self.relay.fleet
        if fleet is None:
            raise CommandRefusedError("this relay knows no others: [fleet] is not switched on")
        if fleet.closed:
            raise CommandRefusedError("this process has no part in the fleet any more")
        match arguments:
            case ["EXPLAIN", name]:
                lines = fleet.explain(name)
                if lines is None:
                    raise CommandRefusedError(f"no relay {name} was ever heard of")
                return "\n".join(lines) + "\n"
            case ["LEAVE"]:
                fleet.leave()
            case ["OWNERS", *rest]:
                return _require_leases(fleet.owners(int(rest[0]) if rest else None))
            case ["CONTROLLERS"]:
                return _require_leases(fleet.controllers())
        return fleet.listing()

    def exclude(self, host: str, out: bool) -> None:
        """Stores and applies the change, or passes it on to the new process; CommandRefusedError if that fails."""
        relay = self.relay
        successor = relay.successor()
        if successor is not None:
            error = successor.exclude(host, out)
            if error:
                raise CommandRefusedError(error)
            return
        if not relay.knows_host(host) and host not in self.exclusions.names:
            raise CommandRefusedError(f"no host {host} was ever listed")
        if self.exclusions.set_excluded(host, out):
            relay.exclude(host, out)


def _require_leases(answer: str | None) -> str:
    if answer is None:
        raise CommandRefusedError("this relay holds no leases: [fleet.leases] is not switched on")
    return answer
