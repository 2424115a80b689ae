"""Race conditions, each forced by an event or by delaying a replaced function (docs/design/041-crossings.md)."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import select
import socket
import time
from typing import Any

import hiredis
import pytest

from garnetrelay import attempt as attempt_module
from garnetrelay import shutdown
from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.delivery.http.connection import Exchange
from garnetrelay.delivery.http.requests import probe_request
from garnetrelay.discovery import host_list, watches
from garnetrelay.discovery.host_list import ObjectSplitter, UnreadableListError
from garnetrelay.fronts.resp import connection as resp_connection
from garnetrelay.fronts.resp import server as resp_server
from garnetrelay.fronts.resp.listener import ACCEPT_TICKS
from garnetrelay.fronts.resp.requests import Request
from garnetrelay.handover.channel import HandoverSocket
from garnetrelay.handover.protocol import VERSION, Hello
from garnetrelay.platform import notices
from garnetrelay.rehearsal.http import Call
from garnetrelay.rehearsal.scripted_peers import PATIENCE, ScriptedHost, ScriptedPlatform
from garnetrelay.relay import Relay
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from tests.sockets import Field, endpoint, host_list_json, until


def enqueue(ref: str, klass: str = "safe", d: int = 8000) -> bytes:
    words: tuple[Any, ...] = ("ENQUEUE", "0000", ref, f"c={klass},d={d},k=key-{ref},dest=3", "x")
    return bytes(hiredis.pack_command(words))


# ---- watches and the list of hosts


async def test_a_watch_with_pushed_changes_is_reopened_after_it_ended(field: Field) -> None:
    """If discovery pushes changes, the relay does not poll for them, and a watch that ended was never reopened."""
    field.facts["discovery"] = "automatic"
    await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    await until(lambda: field.relays[0].discovery.up_to_date)
    watch.call.break_off()
    again = await field.platform.next_watch()
    again.line(host_list_json(50, endpoint(field.host, status="Terminating")))
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)


async def test_a_broken_watch_is_reopened_within_a_second_among_200_relays(field: Field) -> None:
    """A change that it misses counts as received 6 s after it became silent. The long gaps that spread the load on
    discovery (20 to 40 s among 200 relays) apply only to watches that were not accepted."""
    field.facts["balancers"] = 200
    await field.start()
    relay = field.relays[0]
    await until(lambda: relay.pacer.discovery_schedule.next_call_at < relay.pacer.now + 21 * 10**9)
    relay.discovery.subscribe()  # as if its slot among 200 relays had come
    watch = await field.platform.next_watch()
    await until(lambda: relay.pacer.discovery_schedule.subscribed)
    watch.call.break_off()
    await until(lambda: not relay.pacer.discovery_schedule.subscribed)
    assert relay.pacer.discovery_schedule.next_call_at - relay.pacer.now <= 10**9
    await field.platform.next_watch()


async def test_bytes_without_a_complete_line_do_not_keep_a_watch_open(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Single bytes from a service that hangs extended the watch's timeout without limit."""
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 0.1)
    await field.start()
    watch = await field.platform.next_watch()

    async def send_single_bytes() -> None:
        while True:
            watch.call.raw(b"1\r\n \r\n")
            await asyncio.sleep(0)

    sending = asyncio.create_task(send_single_bytes())
    await field.platform.next_watch()
    sending.cancel()


async def test_an_indented_list_is_parsed(field: Field) -> None:
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(json.dumps(json.loads(host_list_json(42, endpoint(field.host, status="Terminating"))), indent=2))
    await until(lambda: field.relays[0].discovery.index == 42)
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)
    assert watch.call.connection.lost is False


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_objects_are_split_alike_for_any_chunk_size(size: int) -> None:
    versions = [{"index": n, "endpoints": [{"name": f'q"}}]{{\\{n}', "weight": [1, {}]}]} for n in range(4)]
    texts = [
        json.dumps(versions[0]),
        json.dumps(versions[1], indent=4),
        "",
        json.dumps(versions[2], indent=0),
        json.dumps(versions[3]),
    ]
    data, splitter = "".join(f"{text}\n" for text in texts).encode(), ObjectSplitter()
    found = [one for at in range(0, len(data), size) for one in splitter.feed(data[at : at + size])]
    assert found.count(None) == 1 and [json.loads(one) for one in found if one is not None] == versions


def test_an_unfinished_object_hides_no_later_version_and_is_limited_in_size(monkeypatch: pytest.MonkeyPatch) -> None:
    splitter = ObjectSplitter()
    complete = host_list_json(8).encode()
    assert splitter.feed(b'{"index":7,"endpoints":[\n' + complete + b"\n") == [b'{"index":7,"endpoints":[', complete]
    monkeypatch.setattr(host_list, "MAX_VERSION_BYTES", 100)
    with pytest.raises(UnreadableListError):
        splitter.feed(b'{"index":9,"endpoints":[\n' + b" 1,\n" * 40)


async def test_a_malformed_version_is_requested_again_although_a_later_line_is_valid(field: Field) -> None:
    """The later line advanced the version, so the missing change, such as a drain, was never requested."""
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(host_list_json(42))
    await until(lambda: field.relays[0].discovery.index == 42)
    watch.line("{malformed}")
    watch.line(host_list_json(44))
    again = await field.platform.next_watch()
    assert again.call.target.endswith("since=42")
    again.line(host_list_json(44, endpoint(field.host, status="Terminating")))
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)


async def test_a_drain_in_a_partly_malformed_version_is_applied(field: Field) -> None:
    """One entry with an unknown zone caused all other entries of its version to be ignored."""
    await field.start()
    malformed = {**endpoint(field.host, "s-9"), "zone": "nowhere"}
    for _ in range(2):
        watch = await field.platform.next_watch()
        watch.line(host_list_json(42, malformed, endpoint(field.host, status="Terminating")))
    relay = field.relays[0]
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    assert relay.discovery.index == 41 and "s-9" not in relay.host_table.listed


async def test_an_old_version_after_a_newer_one_undoes_nothing(field: Field) -> None:
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(host_list_json(43, endpoint(field.host, status="Terminating")))
    watch.line(host_list_json(42, endpoint(field.host)))
    again = await field.platform.next_watch()
    assert again.call.target.endswith("since=0")
    assert not field.relays[0].pacer.hosts["s-1"][1].usable


async def test_a_destination_missing_from_an_outdated_list_is_no_failure(field: Field) -> None:
    """A failure is final, but the destination may have been added while this relay was down."""
    client = await field.start()
    assert await client.enqueue("m1", dest=4) == "BUSY"
    watch = await field.platform.next_watch()
    watch.line(host_list_json(42, {**endpoint(field.host, "s-4"), "group": 4}))
    await until(lambda: field.relays[0].discovery.index == 42)
    assert await client.enqueue("m2", dest=4) == b"OK"


async def test_a_destination_added_while_the_watch_is_broken_is_no_failure(field: Field) -> None:
    """The list is outdated once its watch has ended: it may lack a destination that clients already know."""
    client = await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    await until(lambda: field.relays[0].discovery.up_to_date)
    assert str(await client.enqueue("m1", dest=4)).startswith("ERR unknown destination")
    watch.call.break_off()
    again = await field.platform.next_watch()  # accepted, and no line received yet
    assert await client.enqueue("m2", dest=4) == "BUSY"
    again.line(host_list_json(42, {**endpoint(field.host, "s-4"), "group": 4}))
    await until(lambda: field.relays[0].discovery.index == 42)
    assert await client.enqueue("m3", dest=4) == b"OK"


async def test_a_new_configuration_opens_no_watch_after_a_handover(field: Field) -> None:
    """SIGHUP reaches a process that has handed over its relay: nobody would read the answer to its call."""
    await field.start()
    relay = field.relays[0]
    await field.platform.next_watch()
    relay.retire()
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    assert not relay.discovery.open
    await other.stop()


# ---- clients


async def test_a_client_that_half_closes_after_a_request_still_receives_its_answer(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    original = relay._run_scheduled_tick
    relay._run_scheduled_tick = lambda: None  # type: ignore[method-assign]  # delay the tick, so that the EOF is handled first
    client.writer.write(enqueue("m1"))
    client.writer.write_eof()
    await until(lambda: bool(relay.new_requests))
    (connection,) = relay.server.connections
    await until(lambda: connection.at_eof)
    relay._run_scheduled_tick = original  # type: ignore[method-assign]
    relay.tick()
    assert await client.read() == b"OK" and await client.read() is None
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending and not field.relays[0].server.connections)


async def test_a_request_whose_last_millisecond_passed_in_transit_is_refused_and_not_failed(field: Field) -> None:
    """The deadline is sent in whole milliseconds, so less than one becomes 0. A failure would be final."""
    client = await field.start()
    assert await client.enqueue("m1", d=0) == "BUSY"
    assert not field.relays[0].pending and field.relays[0].counts.refused["safe"] == 1


# ---- shutdown


async def test_connections_in_the_listen_queue_are_served_before_the_listener_closes(field: Field) -> None:
    """They are not accepted yet when the drain begins; closing the listener would reset them."""
    await field.start()
    relay = field.relays[0]
    waiting = []
    for n in range(40):  # more than are accepted in one tick
        one = socket.create_connection(("127.0.0.1", field.port))
        one.sendall(enqueue(f"m{n}"))
        waiting.append(one)
    relay.server.drain()
    for one in waiting:
        one.setblocking(False)
        async with asyncio.timeout(PATIENCE):
            assert await asyncio.get_running_loop().sock_recv(one, 100) == b"+OK\r\n"
        one.close()
    await until(lambda: not relay.server.connections and not relay.server.listener.listening)


def wait_until_queued(server: resp_server.Server) -> None:
    """Block until a connection is in the listen queue, since its client may know of it a moment sooner. No tick of the
    loop runs meanwhile, so it is not accepted yet."""
    end = time.monotonic() + PATIENCE
    while not readable(server.listener.listening_socket):
        assert time.monotonic() < end


async def test_a_connection_accepted_in_the_tick_that_closes_the_listener_is_served(field: Field) -> None:
    """asyncio creates the transport one tick later, and cannot if the listener is closed by then: the queue was empty,
    and yet the connection was reset and its request lost."""
    first = await field.start()  # kept referenced: the connection closes when collected
    relay = field.relays[0]
    await until(lambda: len(relay.server.connections) == 1)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    wait_until_queued(relay.server)
    loop = asyncio.get_running_loop()
    loop.call_at(loop.time(), relay.server.listener.close_when_queue_empty, 1)  # a tick reads sockets before timers
    client.setblocking(False)
    async with asyncio.timeout(PATIENCE):
        assert await loop.sock_recv(client, 100) == b"+OK\r\n"
    await until(lambda: not relay.server.listener.listening)
    client.close()
    first.writer.close()


async def test_a_connection_that_arrives_in_the_ticks_before_the_listener_closes_is_served(field: Field) -> None:
    """The close waits for accepted connections, and another arrives in that time."""
    first = await field.start()  # kept referenced: the connection closes when collected
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    server.listener.stop_accepting()
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    wait_until_queued(server)
    server.listener.close_after_ticks(ACCEPT_TICKS)
    await until(lambda: not server.listener.listening)
    client.setblocking(False)
    async with asyncio.timeout(PATIENCE):
        assert await asyncio.get_running_loop().sock_recv(client, 100) == b"+OK\r\n"
    client.close()
    first.writer.close()


async def test_a_connection_accepted_in_the_tick_in_which_the_server_ends_is_not_reset_with_the_listener(
    field: Field,
) -> None:
    first = await field.start()  # kept referenced: the connection closes when collected
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    wait_until_queued(server)
    loop = asyncio.get_running_loop()
    loop.call_at(loop.time(), server.end)
    client.setblocking(False)
    async with asyncio.timeout(PATIENCE):
        assert await loop.sock_recv(client, 100) == b""
    client.close()
    first.writer.close()


async def test_a_connection_accepted_as_the_handover_begins_is_handed_over_too(field: Field) -> None:
    first = await field.start()  # kept referenced: the connection closes when collected
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1")[:30])
    wait_until_queued(server)
    loop = asyncio.get_running_loop()
    handed_over: asyncio.Future[list[resp_connection.Connection]] = loop.create_future()

    async def hand_over() -> None:
        listener = await server.listener.detach()
        listener.close()
        handed_over.set_result(server.connections_to_hand_over())

    loop.call_at(loop.time(), lambda: tasks.append(loop.create_task(hand_over())))
    tasks: list[asyncio.Task[None]] = []
    async with asyncio.timeout(PATIENCE):
        assert len(await handed_over) == 2
    client.close()
    first.writer.close()


async def test_a_request_sent_during_a_draining_relays_close_does_not_lose_the_previous_answer(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client sends another request before it has read its answer. Closing a connection with unread bytes sends a
    reset, which discards data that the client has not read."""
    await field.start()
    relay = field.relays[0]
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(hiredis.pack_command(("PING",)))
    await until(lambda: bool(relay.server.idle))
    (connection,) = relay.server.connections
    original = vars(resp_connection.Connection)["between_requests"]

    def checked_before_request(one: resp_connection.Connection) -> bool:
        result = original.fget(one)
        client.sendall(enqueue("m1"))  # after the check, before the close
        return bool(result)

    monkeypatch.setattr(resp_connection.Connection, "between_requests", property(checked_before_request))
    relay.server.drain()
    await until(lambda: connection.closing)
    assert connection.transport is not None
    relay_socket = connection.transport.get_extra_info("socket")
    await until(lambda: readable(relay_socket))
    for _ in range(20):
        await asyncio.sleep(0)
    assert readable(relay_socket)  # the second request stays unread: one that is read must be answered
    await until(lambda: readable(client))
    answers = b""
    client.settimeout(PATIENCE)
    while chunk := client.recv(100):
        answers += chunk
    assert answers == b"+PONG\r\n" and not relay.pending
    client.close()
    await until(lambda: not relay.server.connections)


def readable(one: Any) -> bool:
    poll = select.poll()
    poll.register(one.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def test_a_stopping_relay_does_not_end_while_a_request_is_half_received(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    command = enqueue("m1")
    client.writer.write(command[:30])
    await until(lambda: any(connection.raw for connection in relay.server.connections))
    relay.stop()
    relay._drain()
    relay._end_if_idle()
    assert not relay.finished.is_set()
    client.writer.write(command[30:])
    assert await client.read() == b"OK" and await client.read() is None
    client.writer.close()
    (await field.host.next_call()).answer(200)
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    assert not relay.pending


async def test_a_stopping_relay_does_not_end_before_a_tick_that_is_due(field: Field) -> None:
    """A request was received, and the tick that accepts it has not run: no message is pending yet."""
    client = await field.start()
    relay = field.relays[0]
    handler = relay.server.handler
    ended = []

    def handle(request: Request, reply: resp_connection.Reply) -> None:
        handler(request, reply)
        relay.server.draining = True  # the drain begins now
        relay._end_if_idle()
        ended.append(relay.finished.is_set())

    relay.server.handler = handle
    client.writer.write(enqueue("m1"))
    assert await client.read() == b"OK" and ended == [False]
    client.writer.close()
    relay._drain()
    (await field.host.next_call()).answer(200)
    relay.stop()
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    assert not relay.pending


async def test_a_request_read_just_before_a_stopping_relays_time_limit_is_answered_and_kept(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The 3 s were over before the tick that handles it, and the relay ended without an answer or a record."""
    client = await field.start()
    relay = field.relays[0]
    monkeypatch.setattr(relay, "_run_scheduled_tick", lambda: None)  # no tick runs in time
    client.writer.write(enqueue("m1"))
    await until(lambda: bool(relay.new_requests))
    monkeypatch.setattr(shutdown, "STOP_TIMEOUT_NS", 0)
    relay.stop()
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    relay.close()
    assert await client.read() == b"OK"
    kept = Store.open(field.state, 3_000_000)
    assert "m1" in kept.entries
    kept.close()


async def test_a_request_after_a_stopping_relays_last_tick_stays_unread(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end takes a few more ticks of the loop. A request read in them was never answered; if it stays unread, its
    client submits it again."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("m1") == b"OK"
    (connection,) = relay.server.connections
    handled: list[str] = []
    handler = relay.server.handler

    def handle(request: Request, reply: resp_connection.Reply) -> None:
        handled.append(request.ref)
        handler(request, reply)

    monkeypatch.setattr(relay.server, "handler", handle)
    monkeypatch.setattr(shutdown, "STOP_TIMEOUT_NS", 0)
    relay.stop()
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    relay.close()
    assert connection.transport is not None
    relay_socket = connection.transport.get_extra_info("socket")
    client.writer.write(enqueue("m2"))
    await until(lambda: bool(handled) or readable(relay_socket))
    for _ in range(20):
        await asyncio.sleep(0)
    assert not handled and readable(relay_socket)
    assert await client.read() is None  # EOF tells it that nothing more is read


async def test_a_connection_accepted_as_the_server_ends_is_not_read(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = await field.start()  # kept referenced: the connection closes when collected
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    connection_made = resp_connection.Connection.connection_made

    def made_after_end(one: resp_connection.Connection, transport: asyncio.BaseTransport) -> None:
        server.end()
        connection_made(one, transport)

    monkeypatch.setattr(resp_connection.Connection, "connection_made", made_after_end)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    await until(lambda: len(server.connections) == 2)
    await until(lambda: readable(client))
    for _ in range(20):
        await asyncio.sleep(0)
    client.settimeout(PATIENCE)
    assert client.recv(100) == b"" and not field.relays[0].pending
    client.close()
    first.writer.close()


async def test_an_answer_that_waits_for_its_record_is_written_before_the_relay_ends(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If records must survive a power failure, an answer waits for a sync, and so does the end of the relay."""
    client = await field.start()
    relay = field.relays[0]
    callbacks: list[Any] = []
    monkeypatch.setattr(relay.journal, "when_recorded", callbacks.append)
    client.writer.write(enqueue("m1"))
    await until(lambda: bool(callbacks))
    monkeypatch.setattr(shutdown, "STOP_TIMEOUT_NS", 0)
    relay.stop()
    for _ in range(20):
        await asyncio.sleep(0)
    assert not relay.finished.is_set()
    monkeypatch.undo()
    for each in callbacks:
        each(True)
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    assert await client.read() == b"OK" and await client.read() is None


async def test_a_relay_that_is_stopped_while_it_starts_does_not_keep_listening(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    recover = Relay._recover

    def stop_during_recovery(relay: Relay) -> None:
        field.relays.append(relay)
        recover(relay)
        relay.stop()
        relay._drain()

    monkeypatch.setattr(Relay, "_recover", stop_during_recovery)
    await Relay(field.config()).start()
    (relay,) = field.relays
    await until(lambda: not relay.server.listener.listening)
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)


# ---- calls


async def test_a_host_whose_address_changes_during_the_connect_gets_no_call_at_the_old_address(field: Field) -> None:
    other = ScriptedHost()
    await other.start()
    client = await field.start()
    watch = await field.platform.next_watch()
    net = field.relays[0].hosts
    begin = net.begin
    gate = asyncio.Event()
    connect = net._connect

    async def delayed_connect(exchange: Exchange, address: Address) -> None:
        await gate.wait()
        await connect(exchange, address)

    net._connect = delayed_connect  # type: ignore[method-assign]
    await client.enqueue("m1", "unsafe")
    await until(lambda: bool(net.opening))
    watch.line(host_list_json(42, endpoint(other)))
    await until(lambda: field.relays[0].discovery.index == 42)
    gate.set()
    call = await other.next_call()
    assert call.headers["x-request-id"] == "m1" and field.host.calls.empty()
    call.answer(200)
    await until(lambda: not field.relays[0].pending)
    assert net.begin == begin
    await other.stop()


async def test_a_call_that_was_cancelled_while_its_attempt_was_recorded_is_not_sent(field: Field) -> None:
    """It was reported as a call that never ran, so it must not run."""
    await field.start()
    net = field.relays[0].hosts
    outcomes: list[Outcome] = []
    callbacks: list[object] = []
    net.when_recorded = callbacks.append
    exchange = Exchange("s-1", 1 << 62, lambda address: probe_request(address, False), outcomes.append)
    net.begin(exchange)
    await until(lambda: bool(callbacks))
    exchange.give_up(io.Status.CANCELLED)
    assert [one.status for one in outcomes] == [io.Status.CONNECT_FAILED]
    started = callbacks.pop()
    assert callable(started)
    started(True)
    assert exchange.connection is None and any(net.idle.values())


async def test_a_probe_whose_host_drains_while_a_record_is_written_is_not_sent(field: Field) -> None:
    """The final check of a probe ran only before the record was written: with slow storage the probe was sent after the
    drain grace."""
    await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    callbacks: list[Any] = []
    relay.hosts.when_recorded = callbacks.append
    relay._execute(io.Probe("s-1", 1 << 62))
    await until(lambda: bool(callbacks))
    watch.line(host_list_json(42, endpoint(field.host, status="Terminating")))
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    callbacks.pop()(True)
    assert any(relay.hosts.idle.values())  # the connection is idle, nothing was written to it


async def test_a_message_delivered_just_before_its_deadline_is_also_notified(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client counts the deadline from its sending, slightly before the relay reads the request: after that time it
    must be notified, and the relay cannot know when that is. In brink 310, roll+brink-11, a message was lost whose
    answer came 3 ms before its deadline by the relay's clock."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    monkeypatch.setattr(attempt_module, "MAX_TRANSIT_UNCERTAINTY_NS", 3600 * 10**9)  # on however slow a machine
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    await until(lambda: not relay.pending and relay.journal.entries == {})
    assert relay.counts.served["unsafe"] == 1 and relay.counts.failed["unsafe"] == 0


async def test_a_message_delivered_well_before_its_deadline_is_not_notified(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    relay.pending["m1"].ends_at = time.monotonic_ns() + 3600 * 10**9
    call.answer(200)
    await until(lambda: not relay.pending)
    assert not relay.notices.queue and field.platform.notices.empty() and relay.journal.entries == {}


# ---- restarts


async def test_the_outcome_of_messages_that_a_restart_found_untried_is_logged(
    field: Field, caplog: pytest.LogCaptureFixture
) -> None:
    field.facts["familyInfo"]["callsOut"] = 1
    client = await field.start()
    watch = await field.platform.next_watch()
    watch.line(host_list_json(42, endpoint(field.host, status="Terminating")))
    await until(lambda: field.relays[0].discovery.index == 42)
    for n in range(5):
        assert await client.enqueue(f"m{n}") == b"OK"
    field.relays.pop().close()
    caplog.set_level("INFO")
    client = await field.start()
    for _ in range(5):
        (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    assert "5 found untried: 5 tried, with no call 0 ended at their time and 0 before, 0 left" in caplog.text


async def test_new_requests_that_fill_the_pending_queue_evict_no_untried_message_of_a_previous_process(
    field: Field,
) -> None:
    """Such a message has the lowest value, as half of its time is over: it was refused first, without a call."""
    field.facts["limits"]["mostHeld"] = 20
    now = time.time_ns() // 1_000_000
    journal = Store.open(field.state, 3_000_000)
    for n in range(15):
        journal.record_accepted(Entry(f"old{n}", "safe", 3, None, now + 4000, b"x"))
    journal.close()
    client = await field.start()
    for n in range(20):
        client.write("ENQUEUE", "0000", f"new{n}", "c=safe,d=8000,dest=3", "x")
    for _ in range(20):
        assert await client.read() in (b"OK", "BUSY")
    called: set[str] = set()
    while len(called) < 15:
        call = await field.host.next_call()
        call.answer(200)
        if call.headers["x-request-id"].startswith("old"):
            called.add(call.headers["x-request-id"])
    await until(lambda: not field.relays[0].pending)
    while not field.platform.notices.empty():
        assert field.platform.notices.get_nowait()["ref"].startswith("new")


# ---- notices


async def test_a_notice_arrives_in_time_although_the_platforms_connection_has_become_unresponsive(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Detecting that takes at most half of the 300 ms within which a notice must arrive."""
    assert 2 * (notices.ANSWER_TIMEOUT_S + notices.MIN_BACKOFF_S) <= 0.3
    client = await field.start()
    take = field.platform.take
    unanswered: list[Any] = []

    def leave_unanswered(call: Call) -> None:
        if call.method == "POST" and (not unanswered or call.connection is unanswered[0]):
            unanswered.append(call.connection)
        else:
            take(call)

    monkeypatch.setattr(field.platform, "handler", leave_unanswered)
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert len(unanswered) == 1 and unanswered[0].lost
    await until(lambda: field.relays[0].journal.entries == {})


async def test_the_answer_timeout_grows_until_a_slow_platform_has_answered(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a fixed timeout the answer of a platform that takes longer would never be received."""
    await field.start()
    relay = field.relays[0]
    timeouts: list[float] = []
    monkeypatch.setattr(field.platform, "handler", lambda call: timeouts.append(relay.notices.answer_timeout_s))
    relay.notices.add("m1", "dead", 0)
    relay.notices.send()
    await until(lambda: len(timeouts) == 3)
    assert timeouts == [notices.ANSWER_TIMEOUT_S, 2 * notices.ANSWER_TIMEOUT_S, 4 * notices.ANSWER_TIMEOUT_S]


async def test_a_notice_that_the_platform_rejects_delays_no_other(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    await field.start()
    relay = field.relays[0]
    take = field.platform.take

    def reject_m2(call: Call) -> None:
        if call.method == "POST" and b'"m2"' in call.body:
            call.answer(400)
        else:
            take(call)

    monkeypatch.setattr(field.platform, "handler", reject_m2)
    for n in range(1, 4):
        relay.notices.add(f"m{n}", "dead", 0)
    relay.notices.send()
    assert [(await field.platform.next_notice())["ref"] for _ in range(2)] == ["m1", "m3"]
    await until(lambda: not relay.notices.queue)


# ---- handovers


@pytest.mark.parametrize("stopped", [False, True])
async def test_a_process_that_is_stopped_during_a_handover_does_not_restart_the_relay(
    field: Field, stopped: bool
) -> None:
    """SIGTERM arrived during the preparation, and the new process died after it had received the relay's state. A relay
    restarted from the folder would keep serving, as it would not receive that signal."""
    field.operators = True
    field.limits["memory_mb"] = 4096  # both sides run in this process, which retains memory of earlier tests
    await field.start()
    relay = field.relays[0]
    assert relay.handover_sender is not None
    restarted: list[bool] = []
    relay.handover_sender.restart_process = lambda: restarted.append(True)
    original = relay.handover_sender._quiesce

    async def quiesce() -> socket.socket:
        if stopped:
            relay.stop()
        return await original()

    relay.handover_sender._quiesce = quiesce  # type: ignore[method-assign]
    door = HandoverSocket(field.state)
    channel = await asyncio.to_thread(door.connect)
    assert channel is not None
    channel.send(Hello([VERSION]))
    channel.close()  # the new process dies: nobody receives the state
    if stopped:
        await asyncio.wait_for(relay.finished.wait(), PATIENCE)
        assert not restarted
    else:
        await until(lambda: bool(restarted))
