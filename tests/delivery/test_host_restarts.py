"""A host is its name and its start: a new process under an old name or address is not taken for the one before."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from garnetrelay.rehearsal.http import Call
from garnetrelay.rehearsal.scripted_peers import Watch
from starlingwick import interface as io
from tests.sockets import Client, Field, endpoint, host_list_json, until


def now_ms() -> int:
    return time.time_ns() // 1_000_000


async def wait_for_next_ms(start: int) -> None:
    """Starts are told in milliseconds: two of them are told apart if they lie in two."""
    while now_ms() <= start + 1:
        await asyncio.sleep(0)


class Listing:
    """A watch of the relay, on which the test tells changes."""

    def __init__(self, watch: Watch) -> None:
        self.watch, self.index = watch, 50

    def tell(self, *entries: dict[str, Any]) -> None:
        self.index += 1
        self.watch.line(host_list_json(self.index, *entries))


async def start(field: Field) -> tuple[Client, Listing]:
    client = await field.start()
    listing = Listing(await field.platform.next_watch())
    listing.watch.line(host_list_json(50, *field.endpoints, snapshot=True))
    await until(lambda: field.relays[0].discovery.index == 50)
    return client, listing


async def deliver(field: Field, client: Client, ref: str) -> Call:
    assert await client.enqueue(ref, "unsafe") == b"OK"
    call = await field.host.next_call()
    call.answer(200)
    await until(lambda: ref not in field.relays[0].pending)
    return call


async def test_an_idle_connection_from_before_a_hosts_start_is_not_used(field: Field) -> None:
    """Where the machine of the old process had vanished, its connections stayed open, and payments written to them ended
    as failed."""
    client, listing = await start(field)
    relay = field.relays[0]
    await field.warm(client)
    before = (await deliver(field, client, "m1")).connection
    started = now_ms()
    await wait_for_next_ms(started)
    listing.tell({**endpoint(field.host), "since_ms": now_ms()})
    await until(lambda: relay.discovery.index == 51)
    assert not relay.hosts.idle
    assert (await deliver(field, client, "m2")).connection is not before


async def test_a_connection_from_behind_a_hosts_start_stays(field: Field) -> None:
    """The list may tell a start late, when calls have reached the new process already."""
    client, listing = await start(field)
    relay = field.relays[0]
    started = now_ms()
    await wait_for_next_ms(started)
    await field.warm(client)
    before = (await deliver(field, client, "m1")).connection
    listing.tell({**endpoint(field.host), "since_ms": started})
    await until(lambda: relay.discovery.index == 51)
    assert (await deliver(field, client, "m2")).connection is before


async def test_a_call_out_at_a_hosts_process_that_is_gone_ends_and_does_not_count_against_the_new_one(
    field: Field,
) -> None:
    """It may have run. Its time-out counted as a failure of the process that had nothing to do with it."""
    client, listing = await start(field)
    relay = field.relays[0]
    assert await client.enqueue("pay", "unsafe") == b"OK"
    await field.host.next_call()
    await wait_for_next_ms(now_ms())
    listing.tell({**endpoint(field.host), "since_ms": now_ms()})
    assert await field.platform.next_notice() == {"ref": "pay", "result": "dead"}
    dest, host = relay.pacer.hosts["s-1"]
    assert host.failure_share == dest.failure_share == 0 and not relay.pacer.calls


async def test_a_host_that_has_started_anew_is_cold(field: Field) -> None:
    client, listing = await start(field)
    relay = field.relays[0]
    await deliver(field, client, "m1")
    assert relay.pacer.hosts["s-1"][0].ramp_from is None
    listing.tell({**endpoint(field.host), "since_ms": now_ms() - 60_000})  # long ago: warm by now
    await until(lambda: relay.discovery.index == 51)
    await deliver(field, client, "m2")
    assert relay.pacer.hosts["s-1"][0].ramp_from is None
    listing.tell({**endpoint(field.host), "since_ms": now_ms()})
    await until(lambda: relay.pacer.hosts["s-1"][0].ramp_from is not None)


async def test_a_host_that_operators_have_excluded_stays_out_when_it_starts_anew(field: Field) -> None:
    _, listing = await start(field)
    relay = field.relays[0]
    relay.exclude("s-1", True)
    listing.tell({**endpoint(field.host), "since_ms": now_ms()})
    await until(lambda: relay.discovery.index == 51 and not relay.tick_scheduled)
    assert relay.pacer.excluded == {"s-1"} and not relay.pacer.hosts["s-1"][1].usable


async def test_a_new_host_at_the_address_of_one_that_has_gone_gets_connections_of_its_own(field: Field) -> None:
    """Neither the idle connections of the old one nor one whose call ends later carry messages for the new one."""
    client, listing = await start(field)
    relay = field.relays[0]
    await field.warm(client)
    assert await client.enqueue("m1", "unsafe") == await client.enqueue("m2", "unsafe") == b"OK"
    calls = [await field.host.next_call(), await field.host.next_call()]
    calls[0].answer(200)
    await until(lambda: len(relay.pending) == 1)
    listing.tell(endpoint(field.host, status="Gone"), endpoint(field.host, "s-2"))
    await until(lambda: set(relay.pacer.hosts) == {"s-2"})
    calls[1].answer(200)
    await until(lambda: not relay.pending)
    assert (await deliver(field, client, "m3")).connection not in [call.connection for call in calls]
    assert relay.pacer.hosts["s-2"][1].failure_share == 0
    assert {connection.host for connection in relay.hosts.open} == {"s-2"}


async def test_a_host_that_returns_under_its_name_gets_no_connection_from_before(field: Field) -> None:
    client, listing = await start(field)
    relay = field.relays[0]
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    listing.tell(endpoint(field.host, status="Gone"))
    await until(lambda: not relay.pacer.hosts)
    await wait_for_next_ms(now_ms())
    listing.tell({**endpoint(field.host), "since_ms": now_ms()})
    await until(lambda: set(relay.pacer.hosts) == {"s-1"})
    call.answer(200)
    assert (await deliver(field, client, "m2")).connection is not call.connection
    assert relay.pacer.hosts["s-1"][1].listed is io.Availability.RUNNING
