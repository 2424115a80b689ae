"""Connections to hosts: when another request may be written behind an answer."""

from __future__ import annotations

import logging
import socket
import time

import pytest

from garnetrelay.delivery.http import hosts
from garnetrelay.rehearsal.http import Call
from garnetrelay.relay import Relay
from starlingwick import interface as io
from tests.sockets import Client, Field, until

NEVER_SETTLED_S = 3600.0


async def answered_call(field: Field, client: Client, ref: str, status: int = 200) -> Call:
    """Deliver a message on the connection that the host has kept; the connection is idle then."""
    await client.enqueue(ref, "unsafe")
    call = await field.host.next_call()
    call.answer(status)
    await until(lambda: any(field.relays[0].hosts.idle.values()))
    return call


def verdicts(relay: Relay) -> list[io.Status]:
    """The statuses of all verdicts from now on."""
    found: list[io.Status] = []
    post = relay.post

    def watched(event: io.Event) -> None:
        if isinstance(event, io.Verdict):
            found.append(event.status)
        post(event)

    relay.post = watched  # type: ignore[method-assign]
    return found


@pytest.mark.parametrize("status", [200, 503])
async def test_a_second_copy_of_an_answer_is_not_taken_for_the_answer_to_the_next_call(
    field: Field, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, status: int
) -> None:
    """The next call was written at once: with the copy it counted as delivered, or as refused and was sent again."""
    client = await field.start()
    await field.warm(client)
    first = await answered_call(field, client, "m1")
    monkeypatch.setattr(hosts, "SETTLE_S", NEVER_SETTLED_S)
    with caplog.at_level(logging.INFO):
        await client.enqueue("m2", "unsafe")
        first.answer(status)  # the second copy
        second = await field.host.next_call()
    assert second.headers["x-request-id"] == "m2" and second.connection != first.connection
    assert "s-1 sent bytes without a request" in caplog.text
    assert "m2" in field.relays[0].pending
    second.answer(200)
    await until(lambda: not field.relays[0].pending)
    assert field.host.calls.empty() and field.platform.notices.empty()


async def test_a_call_waits_for_the_connection_that_is_settled_first(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await field.start()
    await field.warm(client)
    first = await answered_call(field, client, "m1")
    monkeypatch.setattr(hosts, "SETTLE_S", 0.2)
    (connection,) = field.relays[0].hosts.idle["s-1"]
    await client.enqueue("m2", "unsafe")
    second = await field.host.next_call()
    assert second.connection == first.connection
    assert connection.exchange is not None and field.relays[0].hosts._reserved == {}
    assert field.relays[0].server.now() >= connection.settled_at


async def test_a_call_that_ends_while_it_waits_was_never_sent(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connection stays usable, and nothing is held against the host."""
    client = await field.start()
    await field.warm(client)
    await answered_call(field, client, "m1")
    monkeypatch.setattr(hosts, "SETTLE_S", NEVER_SETTLED_S)
    net = field.relays[0].hosts
    statuses = verdicts(field.relays[0])
    await client.enqueue("m2", "unsafe", d=300)
    await until(lambda: len(net._reserved) == 1)
    assert (await field.platform.next_notice())["ref"] == "m2"
    assert statuses == [io.Status.ABANDONED]
    (connection,) = net._reserved
    net._on_settled(connection)
    assert net.idle["s-1"][0] is connection and field.host.calls.empty()


async def test_a_settled_connection_is_taken_before_one_that_is_not(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await field.start()
    await field.warm(client)
    net = field.relays[0].hosts
    for ref in ("m1", "m2"):
        await client.enqueue(ref, "unsafe")
    for call in [await field.host.next_call(), await field.host.next_call()]:
        call.answer(200)
    await until(lambda: len(net.idle.get("s-1", ())) == 2)
    monkeypatch.setattr(hosts, "SETTLE_S", NEVER_SETTLED_S)
    older, newer = net.idle["s-1"]
    older.answered_at -= NEVER_SETTLED_S
    assert net._take_idle("s-1") is older and net._take_idle("s-1") is newer


async def test_a_connection_from_another_process_rests_before_its_first_call_here(field: Field) -> None:
    """When its last answer came is not handed over: a second copy of it may still be on its way."""
    await field.start()
    net = field.relays[0].hosts
    address = net.addresses["s-1"]
    handed_over = socket.create_connection((address.host, address.port))
    handed_over.setblocking(False)
    adopted_at = time.monotonic()
    await net.adopt(handed_over, "s-1", address, True, None)
    (connection,) = net.idle["s-1"]
    assert connection.settled_at >= adopted_at + hosts.SETTLE_S


async def test_connections_rest_longer_at_a_host_whose_second_copies_come_late(field: Field) -> None:
    """Behind the next request a late copy cannot be told apart, but one that meets an idle connection tells its delay."""
    client = await field.start()
    await field.warm(client)
    net = field.relays[0].hosts
    call = await answered_call(field, client, "m1")
    (connection,) = net.idle["s-1"]
    connection.answered_at = time.monotonic() - 0.1
    call.answer(200)
    await until(lambda: not net.open)
    assert hosts.SETTLE_FACTOR * 0.1 <= net.settle_time("s-1") <= hosts.MAX_SETTLE_S
    net.remove("s-1")
    rests = []
    for age_s in (0.01, 0.1, 0.03, 5.0, 0.2):
        net.on_unexpected_bytes("s-1", age_s)
        rests.append(net.settle_time("s-1"))
    assert rests == [hosts.SETTLE_S, 0.2, 0.2, 0.2, hosts.MAX_SETTLE_S] and net.settle_time("s-2") == hosts.SETTLE_S


async def test_a_call_does_not_wait_longer_than_it_takes_to_open_another_connection(field: Field) -> None:
    client = await field.start()
    await field.warm(client)
    net = field.relays[0].hosts
    net.on_unexpected_bytes("s-1", hosts.MAX_SETTLE_S)
    first = await answered_call(field, client, "m1")
    (connection,) = net.idle["s-1"]
    connection.answered_at = time.monotonic() + NEVER_SETTLED_S
    await client.enqueue("m2", "unsafe")
    second = await field.host.next_call()
    assert second.connection != first.connection and connection in net.idle["s-1"]
