"""A relay whose discovery refuses its calls, over loopback sockets (docs/design/041-crossings.md)."""

from __future__ import annotations

import dataclasses

from garnetrelay.config.deployment import Address
from garnetrelay.rehearsal.scripted_peers import ScriptedPlatform
from starlingwick.control import ASK_AGAIN, ASK_SOON
from tests.sockets import Field, until


async def test_a_moved_watch_that_is_refused_is_asked_for_in_time_at_each_try(field: Field) -> None:
    """SIGHUP to an address that is overbooked: among 200 relays the second try came 20 to 40 s later."""
    field.facts["balancers"] = 200
    await field.start()
    relay = field.relays[0]
    await until(lambda: relay.pacer.started is not None)
    relay.discovery.subscribe()  # its turn among 200 has come
    await field.platform.next_watch()
    await until(lambda: relay.pacer.subscribed)
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    (await other.next_call()).answer(503)
    await until(lambda: not relay.pacer.subscribed)
    assert relay.pacer.ask_at - relay.pacer.now <= ASK_SOON
    refused = await other.next_call()
    asked_at = relay.pacer.asked_at
    waits_until = relay.pacer.ask_at
    refused.answer(503)
    await until(lambda: relay.pacer.ask_at != waits_until)
    assert relay.pacer.ask_at - asked_at <= ASK_AGAIN
    await other.stop()
