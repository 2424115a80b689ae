"""A client with an unreadable command is rejected; its earlier requests and all other clients are still answered."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from garnetrelay.fronts.resp.connection import Reply
from garnetrelay.fronts.resp.tcp_state import read_tcp_state
from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.sockets import Client, Field, until

UNREADABLE = b"*1\r\n:5\r\n"  # an array, but not of bulk strings


def loop_errors() -> list[dict[str, Any]]:
    """The exceptions that no code handles from now on: asyncio reports them to the loop's handler."""
    errors: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
    return errors


async def deliver_all(field: Field, count: int) -> set[str]:
    """Answer so many calls with 200; returns the refs of their messages."""
    refs = set()
    for _ in range(count):
        call = await field.host.next_call()
        refs.add(call.headers["x-request-id"])
        call.answer(200)
    await until(lambda: not field.relays[0].pending)
    return refs


def refuse(pacer: Pacer, ref: str) -> None:
    """Make the Pacer refuse this message as it arrives, as its first action of that tick."""
    handle = pacer.handle

    def refusing(now: int, events: list[io.Event]) -> list[io.Action]:
        others = [event for event in events if not (isinstance(event, io.Arrived) and event.call == ref)]
        refusal: list[io.Action] = [io.Refuse(ref, 0)] if len(others) < len(events) else []
        return refusal + handle(now, others)

    pacer.handle = refusing  # type: ignore[method-assign, assignment]


@pytest.mark.parametrize("half_closes", [False, True], ids=["reads on", "ends its sending"])
@pytest.mark.parametrize("refused", [False, True], ids=["accepted", "refused"])
async def test_an_unreadable_command_does_not_end_the_tick_that_answers_the_request_before_it(
    field: Field, refused: bool, half_closes: bool
) -> None:
    """The connection was half-closed while the request still waited: writing its answer raised an exception in the middle
    of the tick, and accepted messages of other clients in that tick were never sent."""
    errors = loop_errors()
    sound = await field.start()
    await field.warm(sound)
    if refused:
        refuse(field.relays[0].pacer, "m1")
    bad = await Client.connect(field.port)
    assert await bad.ask("PING") == b"PONG"
    bad.write("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
    bad.writer.write(UNREADABLE)
    if half_closes:
        bad.writer.write_eof()
    sound.write("ENQUEUE", "0", "m2", "c=safe,d=8000,dest=3", "x")
    expected = {"m2"} if refused else {"m1", "m2"}
    assert await deliver_all(field, len(expected)) == expected
    assert await sound.read() == b"OK"
    assert await bad.read() == ("BUSY" if refused else b"OK")
    assert (await bad.read()).startswith("ERR") and await bad.read() is None
    assert errors == []


@pytest.mark.parametrize("request_open", [False, True], ids=["idle", "request"])
async def test_a_client_that_closes_as_it_is_rejected_does_no_harm(field: Field, request_open: bool) -> None:
    """What is written to a closed socket is answered with a reset, and the half-close behind it raised an exception: in
    the tick that answers its request, or in the reading of another client that needed its memory."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.ask("PING") == b"PONG"
    (connection,) = relay.server.connections
    assert connection.transport is not None
    sock = connection.transport.get_extra_info("socket")
    held: list[Reply] = []
    if request_open:
        relay.server.handler = lambda request, reply: held.append(reply)
        client.write("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
        await until(lambda: bool(held))
    connection.transport.pause_reading()
    client.writer.close()
    await until(lambda: read_tcp_state(sock).ended)
    connection._resume_reading = lambda: None  # type: ignore[method-assign]  # its end is read later
    connection.fail("unreadable")
    for reply in held:
        reply.ok()
    connection.transport.resume_reading()
    await until(lambda: not relay.server.connections)


async def test_a_rejected_client_is_not_closed_for_another_before_its_request_is_answered(field: Field) -> None:
    """Rejected connections are the first to be closed when descriptors run out."""
    client = await field.start()
    server = field.relays[0].server
    assert await client.ask("PING") == b"PONG"
    held: list[Reply] = []
    server.handler = lambda request, reply: held.append(reply)
    client.write("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
    client.writer.write(UNREADABLE)
    await until(lambda: any(connection.closing for connection in server.connections))
    now = server.now() + 3600
    server.now = lambda: now
    assert not server.close_longest_idle() and not server.lingering
    held[0].ok()
    assert len(server.lingering) == 1
    assert await client.read() == b"OK" and (await client.read()).startswith("ERR")
