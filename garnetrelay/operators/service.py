"""What staff's calls do to a relay: the one place where the two meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetrelay.config.deployment import Address
from garnetrelay.operators import figures
from garnetrelay.operators.calls import Refused
from garnetrelay.operators.exclusions import Exclusions
from garnetrelay.operators.front import Front
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
        if not self.relay.serving:
            raise Refused("it does not serve yet")
        if self.relay.server.draining:
            raise Refused("it is stopping")

    def figures(self) -> str:
        relay = self.relay
        in_flight = sum(not message.over for message in relay.held.values())
        return figures.text(relay.counts, relay.hosts.calls_written, in_flight, len(relay.zones),
                            relay.pacer.avoided())

    def exclude(self, host: str, out: bool) -> None:
        relay = self.relay
        if host not in relay.zones and host not in relay.gone and host not in self.exclusions.names:
            raise Refused(f"no host {host} was ever listed")
        if self.exclusions.put(host, out):
            relay.exclude(host, out)
