"""What staff's calls do to a relay: the one place where the two meet."""

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
    """What staff ask of the relays that know each other. Texts are lines as ``docs/operations/fleet.md`` has them."""

    closed: bool  # this process has no part in the fleet any more

    def metrics(self) -> str:
        """The figures, a line each."""
        ...

    def listing(self) -> str:
        """All members."""
        ...

    def explain(self, name: str) -> list[str] | None:
        """What is known of one; None where it was never heard of."""
        ...

    def leave(self) -> None:
        """Tell the others that this relay goes."""
        ...

    def owners(self, destination: int | None) -> str | None:
        """What this relay owns, or whether it owns one destination; None where it holds no leases."""
        ...

    def controllers(self) -> str | None:
        """The controllers as this relay sees them; None where it holds no leases."""
        ...


class Successor(Protocol):
    """The process that the relay has passed to."""

    def exclude(self, host: str, out: bool) -> str:
        """Pass on a host taken out or put back; why it can't be done, or nothing."""
        ...


class OperatedRelay(Protocol):
    """What staff's calls need of a relay. ``Relay`` fits it without naming it: neither module imports the other's."""

    config: Config
    counts: Counters
    serving: bool

    @property
    def fleet(self) -> OperatedFleet | None:
        """None where relays do not know each other."""
        ...

    def draining(self) -> bool:
        """Whether it closes what clients have open, to end."""
        ...

    def successor(self) -> Successor | None:
        """None while the relay is this process's."""
        ...

    def gauges(self) -> Gauges:
        """Its figures that go by no class, as they are now."""
        ...

    def knows_host(self, host: str) -> bool:
        """Whether the list names a host, or has named it."""
        ...

    def exclude(self, host: str, out: bool) -> None:
        """Take a host out, or put it back; in force at once."""
        ...


class Operators:
    """Answers staff for one relay."""

    def __init__(self, relay: OperatedRelay) -> None:
        self.relay = relay
        self.exclusions = Exclusions(relay.config.state, relay.config.machine_durable)
        self.listener = OperatorListener(self)
        self.port = 0

    async def start(self, address: Address) -> None:
        """Read what is kept, and listen: until the relay serves, HEALTH says no."""
        self.exclusions.read()
        self.port = await self.listener.start(address)

    def excluded(self) -> list[io.Event]:
        """What the Pacer has to know before its first decision."""
        return [io.Excluded(name, True) for name in self.exclusions.names]

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()

    # ---- the calls

    def health(self) -> None:
        """CommandRefusedError while this process does not serve yet, or stops."""
        if not self.relay.serving:  # a relay that has passed to a new process serves on there
            raise CommandRefusedError("it does not serve yet")
        if self.relay.draining():
            raise CommandRefusedError("it is stopping")

    def metrics(self) -> str:
        """The relay's figures, and the fleet's where this process has a part in it."""
        relay = self.relay
        text = metrics.text(relay.counts, relay.gauges())
        return text if relay.fleet is None or relay.fleet.closed else text + relay.fleet.metrics()

    def fleet(self, words: list[str]) -> str:
        """Answer ``FLEET``: ``words``: MEMBERS, EXPLAIN and a name, or LEAVE. CommandRefusedError without a fleet."""
        fleet = self.relay.fleet
        if fleet is None:
            raise CommandRefusedError("this relay knows no others: [fleet] is not switched on")
        if fleet.closed:
            raise CommandRefusedError("this process has no part in the fleet any more")
        match words:
            case ["EXPLAIN", name]:
                lines = fleet.explain(name)
                if lines is None:
                    raise CommandRefusedError(f"no relay {name} was ever heard of")
                return "\n".join(lines) + "\n"
            case ["LEAVE"]:
                fleet.leave()
            case ["OWNERS", *rest]:
                return _leased(fleet.owners(int(rest[0]) if rest else None))
            case ["CONTROLLERS"]:
                return _leased(fleet.controllers())
        return fleet.listing()

    def exclude(self, host: str, out: bool) -> None:
        """Keep the change, then put it in force, or pass it on to the new process; CommandRefusedError says why."""
        relay = self.relay
        successor = relay.successor()
        if successor is not None:
            error = successor.exclude(host, out)
            if error:
                raise CommandRefusedError(error)
            return
        if not relay.knows_host(host) and host not in self.exclusions.names:
            raise CommandRefusedError(f"no host {host} was ever listed")
        if self.exclusions.put(host, out):
            relay.exclude(host, out)


def _leased(answer: str | None) -> str:
    if answer is None:
        raise CommandRefusedError("this relay holds no leases: [fleet.leases] is not switched on")
    return answer
