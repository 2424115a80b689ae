"""One probe of a host: the final check before it, and its outcome for the Pacer."""

from __future__ import annotations

import time
from typing import Protocol

from garnetrelay.config.deployment import Address, Config
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.delivery.http.connection import Exchange
from garnetrelay.delivery.http.requests import probe_request
from starlingwick import interface as io
from starlingwick.control import Pacer


class ProbingRelay(Protocol):
    """What a probe needs of the relay that makes it."""

    config: Config
    pacer: Pacer

    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick."""
        ...


def probe_exchange(relay: ProbingRelay, probe: io.Probe) -> Exchange:
    """The exchange that carries out a probe."""
    started = relay.pacer.now

    def final_check() -> bool:
        return relay.pacer.clear_to_send(time.monotonic_ns(), None, probe.host)

    def prepare(address: Address) -> bytes | None:
        return probe_request(address, relay.config.load_reports) if final_check() else None

    def done(outcome: Outcome) -> None:
        relay.post(io.Probed(probe.host, outcome.status, time.monotonic_ns() - started, outcome.report))

    return Exchange(probe.host, probe.stop_at, prepare, done, final_check)
