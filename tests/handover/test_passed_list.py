"""The version of the list of hosts that a process takes over from the previous one."""

from __future__ import annotations

import dataclasses

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.handover.protocol import State
from garnetrelay.relay import Relay
from starlingwick.snapshot import take_snapshot
from tests.sockets import Field


@pytest.mark.parametrize(("address", "index"), [("127.0.0.1:1", 43), ("127.0.0.1:2", 0)], ids=["same", "another"])
async def test_a_list_version_is_kept_only_for_a_watch_at_the_address_that_assigned_it(
    address: str, index: int, field: Field
) -> None:
    """The previous process watched another address. A request with its version number made this one skip changes."""
    config = dataclasses.replace(field.config(), discovery=Address.parse(address))
    relay = Relay(config)
    field.relays.append(relay)
    relay._restore_handover(State(43, "127.0.0.1:1", [], [], take_snapshot(relay.pacer), None))
    assert relay.discovery.index == index
