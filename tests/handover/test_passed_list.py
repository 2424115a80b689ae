"""What a process makes of the list that the one before it passed on."""

from __future__ import annotations

import dataclasses

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.handover.protocol import State
from garnetrelay.relay import Relay
from starlingwick.snapshot import take_snapshot
from tests.sockets import Field


@pytest.mark.parametrize(("address", "index"), [("127.0.0.1:1", 43), ("127.0.0.1:2", 0)], ids=["same", "another"])
async def test_a_version_is_passed_on_only_to_a_watch_at_the_address_that_counted_it(
    address: str, index: int, field: Field
) -> None:
    """The process before watched another address: asked for what came behind its version, this one held changes back."""
    config = dataclasses.replace(field.config(), discovery=Address.parse(address))
    relay = Relay(config)
    field.relays.append(relay)
    relay._inherit(State(43, "127.0.0.1:1", [], [], take_snapshot(relay.pacer), None))
    assert relay.discovery.index == index
