"""What staff's calls do to a relay: the one place where the two meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetrelay.config.deployment import Address
from garnetrelay.operators import figures
from garnetrelay.operators.calls import Refused
from garnetrelay.operators.exclusions import Exclusions
from garnetrelay.operators.front import Front
from garnetrelay.upgrade.protocol import Owner
from starlingwick import interface as io

if TYPE_CHECKING:
    from garnetrelay.relay import Relay


class Operators:
    """Answers staff for one relay."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.exclusions = Exclusions(relay.config.state, relay.config.machine_durable)
        self.front = Front(self)
        self.port = 0

    async def start(self, address: Address) -> None:
        """Read what is kept, and listen: until the relay serves, HEALTH says no."""
        self.exclusions.read()
        self.port = await self.front.start(address)

    def excluded(self) -> list[io.Event]:
        """What the Pacer has to know before its first decision."""
        return [io.Excluded(name, True) for name in self.exclusions.names]

    def close(self) -> None:
        self.front.close()

    # ---- the calls

    def health(self) -> None:
        if not self.relay.serving:  # a relay that has passed to a new process serves on there
            raise Refused("it does not serve yet")
        if self.relay.server.draining:
            raise Refused("it is stopping")

    def figures(self) -> str:
        relay = self.relay
        in_flight = sum(not message.over for message in relay.held.values()) + len(relay.recovering)
        text = figures.text(relay.counts, relay.hosts.calls_written, in_flight, len(relay.listed), relay.pacer.avoided())
        return text if relay.fleet is None or relay.fleet.closed else text + relay.fleet.figures()

    def fleet(self, words: list[str]) -> str:
        fleet = self.relay.fleet
        if fleet is None:
            raise Refused("this relay knows no others: [fleet] is not switched on")
        if fleet.closed:
            raise Refused("this process has no part in the fleet any more")
        match words:
            case ["EXPLAIN", name]:
                lines = fleet.explain(name)
                if lines is None:
                    raise Refused(f"no relay {name} was ever heard of")
                return "\n".join(lines) + "\n"
            case ["LEAVE"]:
                fleet.leave()
            case ["OWNERS", *rest]:
                return _leased(fleet.owners(int(rest[0]) if rest else None))
            case ["CONTROLLERS"]:
                return _leased(fleet.controllers())
        return fleet.listing()

    def exclude(self, host: str, out: bool) -> None:
        relay = self.relay
        if relay.giver is not None and relay.giver.state.owner is Owner.NEW:
            error = relay.giver.exclude(host, out)
            if error:
                raise Refused(error)
            return
        if host not in relay.listed and host not in relay.gone and host not in self.exclusions.names:
            raise Refused(f"no host {host} was ever listed")
        if self.exclusions.put(host, out):
            relay.exclude(host, out)


def _leased(answer: str | None) -> str:
    if answer is None:
        raise Refused("this relay holds no leases: [fleet.leases] is not switched on")
    return answer
