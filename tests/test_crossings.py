"""Pairs of events that cross, each forced by a gate on a stand-in or by an event (docs/design/041-crossings.md)."""

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
from garnetrelay.delivery.http import hosts
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.discovery import host_list, watches
from garnetrelay.discovery.host_list import ObjectSplitter, UnreadableListError
from garnetrelay.fronts.resp import server as clients
from garnetrelay.handover.channel import Door
from garnetrelay.handover.protocol import VERSION, Hello
from garnetrelay.platform import notices
from garnetrelay.rehearsal.http import Call
from garnetrelay.rehearsal.scripted_peers import PATIENCE, ScriptedHost, ScriptedPlatform
from garnetrelay.relay import Relay
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from tests.sockets import Field, endpoint, listing, until


def enqueue(ref: str, klass: str = "safe", d: int = 8000) -> bytes:
    words: tuple[Any, ...] = ("ENQUEUE", "0000", ref, f"c={klass},d={d},k=key-{ref},dest=3", "x")
    return bytes(hiredis.pack_command(words))


# ---- watches and lists


async def test_a_pushed_list_whose_watch_ended_is_watched_anew(field: Field) -> None:
    """Where changes come by themselves nobody asks for them: a watch that ended stayed ended."""
    field.facts["discovery"] = "automatic"
    await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    await until(lambda: field.relays[0].discovery.up_to_date)
    watch.call.break_off()
    again = await field.platform.next_watch()
    again.line(listing(50, endpoint(field.host, status="Terminating")))
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)


async def test_a_watch_that_broke_is_opened_anew_within_a_second_among_200_relays(field: Field) -> None:
    """What it misses counts as told 6 s after it fell silent. The gaps of a crowded discovery (20 to 40 s among 200)
    are for watches that were not taken up."""
    field.facts["balancers"] = 200
    await field.start()
    relay = field.relays[0]
    await until(lambda: relay.pacer.discovery_schedule.next_call_at < relay.pacer.now + 21 * 10**9)
    relay.discovery.subscribe()  # its turn among 200 has come
    watch = await field.platform.next_watch()
    await until(lambda: relay.pacer.discovery_schedule.subscribed)
    watch.call.break_off()
    await until(lambda: not relay.pacer.discovery_schedule.subscribed)
    assert relay.pacer.discovery_schedule.next_call_at - relay.pacer.now <= 10**9
    await field.platform.next_watch()


async def test_bytes_that_make_no_line_do_not_keep_a_watch_alive(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """A trickle of bytes from a service that is stuck renewed its patience for ever."""
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 0.1)
    await field.start()
    watch = await field.platform.next_watch()

    async def trickle() -> None:
        while True:
            watch.call.raw(b"1\r\n \r\n")
            await asyncio.sleep(0)

    dripping = asyncio.create_task(trickle())
    await field.platform.next_watch()
    dripping.cancel()


async def test_an_indented_list_is_read(field: Field) -> None:
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(json.dumps(json.loads(listing(42, endpoint(field.host, status="Terminating"))), indent=2))
    await until(lambda: field.relays[0].discovery.index == 42)
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)
    assert watch.call.connection.lost is False


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_objects_come_out_of_any_pieces(size: int) -> None:
    versions = [{"index": n, "endpoints": [{"name": f'q"}}]{{\\{n}', "weight": [1, {}]}]} for n in range(4)]
    texts = [
        json.dumps(versions[0]),
        json.dumps(versions[1], indent=4),
        "",
        json.dumps(versions[2], indent=0),
        json.dumps(versions[3]),
    ]
    data, lines = "".join(f"{text}\n" for text in texts).encode(), ObjectSplitter()
    found = [one for at in range(0, len(data), size) for one in lines.feed(data[at : at + size])]
    assert found.count(None) == 1 and [json.loads(one) for one in found if one is not None] == versions


def test_an_object_without_an_end_takes_no_later_version_with_it_and_no_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = ObjectSplitter()
    whole = listing(8).encode()
    assert lines.feed(b'{"index":7,"endpoints":[\n' + whole + b"\n") == [b'{"index":7,"endpoints":[', whole]
    monkeypatch.setattr(host_list, "MAX_VERSION_BYTES", 100)
    with pytest.raises(UnreadableListError):
        lines.feed(b'{"index":9,"endpoints":[\n' + b" 1,\n" * 40)


async def test_what_could_not_be_read_is_asked_for_though_a_later_line_can(field: Field) -> None:
    """The later line moved the version on: the hole, a drain perhaps, was never asked for."""
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(42))
    await until(lambda: field.relays[0].discovery.index == 42)
    watch.line("{spoilt}")
    watch.line(listing(44))
    again = await field.platform.next_watch()
    assert again.call.target.endswith("since=42")
    again.line(listing(44, endpoint(field.host, status="Terminating")))
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)


async def test_a_drain_in_a_version_that_can_not_be_read_whole_is_kept(field: Field) -> None:
    """One entry of a zone that nobody knows made all others of its version unread."""
    await field.start()
    spoilt = {**endpoint(field.host, "s-9"), "zone": "nowhere"}
    for _ in range(2):
        watch = await field.platform.next_watch()
        watch.line(listing(42, spoilt, endpoint(field.host, status="Terminating")))
    relay = field.relays[0]
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    assert relay.discovery.index == 41 and "s-9" not in relay.listed


async def test_an_old_version_behind_a_newer_one_takes_nothing_back(field: Field) -> None:
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(43, endpoint(field.host, status="Terminating")))
    watch.line(listing(42, endpoint(field.host)))
    again = await field.platform.next_watch()
    assert again.call.target.endswith("since=0")
    assert not field.relays[0].pacer.hosts["s-1"][1].usable


async def test_a_destination_that_only_an_old_list_lacks_is_no_failure(field: Field) -> None:
    """A failure is for good; the destination may be one that came while this relay was down."""
    client = await field.start()
    assert await client.enqueue("m1", dest=4) == "BUSY"
    watch = await field.platform.next_watch()
    watch.line(listing(42, {**endpoint(field.host, "s-4"), "group": 4}))
    await until(lambda: field.relays[0].discovery.index == 42)
    assert await client.enqueue("m2", dest=4) == b"OK"


async def test_a_destination_that_came_while_the_watch_is_broken_is_no_failure(field: Field) -> None:
    """The list was fresh, and is old again since its watch ended: it may lack what its clients know already."""
    client = await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    await until(lambda: field.relays[0].discovery.up_to_date)
    assert str(await client.enqueue("m1", dest=4)).startswith("ERR unknown destination")
    watch.call.break_off()
    again = await field.platform.next_watch()  # opened, and nothing has come on it
    assert await client.enqueue("m2", dest=4) == "BUSY"
    again.line(listing(42, {**endpoint(field.host, "s-4"), "group": 4}))
    await until(lambda: field.relays[0].discovery.index == 42)
    assert await client.enqueue("m3", dest=4) == b"OK"


async def test_a_new_configuration_opens_no_watch_for_a_relay_that_has_passed_on(field: Field) -> None:
    """SIGHUP comes to a process whose relay is another's by now: what it asked for nobody would read."""
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


async def test_a_client_that_ends_its_sending_behind_a_request_still_hears_its_answer(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    turn = relay._turn_soon
    relay._turn_soon = lambda: None  # type: ignore[method-assign]  # the turn waits: the end of its sending comes first
    client.writer.write(enqueue("m1"))
    client.writer.write_eof()
    await until(lambda: bool(relay.newcomers))
    (connection,) = relay.server.connections
    await until(lambda: connection.at_end)
    relay._turn_soon = turn  # type: ignore[method-assign]
    relay.turn()
    assert await client.read() == b"OK" and await client.read() is None
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held and not field.relays[0].server.connections)


async def test_a_request_whose_last_millisecond_has_passed_on_the_way_is_refused_and_not_failed(field: Field) -> None:
    """Its time is told in whole milliseconds: what is left of one is none. A failure would be for good."""
    client = await field.start()
    assert await client.enqueue("m1", d=0) == "BUSY"
    assert not field.relays[0].held and field.relays[0].counts.refused["safe"] == 1


# ---- shutdown


async def test_connections_in_the_listeners_queue_are_served_before_it_closes(field: Field) -> None:
    """The loop has not come to them when the drain begins: a close of the listener would reset them."""
    await field.start()
    relay = field.relays[0]
    waiting = []
    for n in range(40):  # more than are taken up in one round
        one = socket.create_connection(("127.0.0.1", field.port))
        one.sendall(enqueue(f"m{n}"))
        waiting.append(one)
    relay.server.drain()
    for one in waiting:
        one.setblocking(False)
        async with asyncio.timeout(PATIENCE):
            assert await asyncio.get_running_loop().sock_recv(one, 100) == b"+OK\r\n"
        one.close()
    await until(lambda: not relay.server.connections and not relay.server.listening)


def queued(server: clients.Server) -> None:
    """Until a connection lies in the listener's queue: its client may know of it a moment sooner. No round of the loop
    runs meanwhile, so it is not taken up yet."""
    assert server._server is not None
    end = time.monotonic() + PATIENCE
    while not readable(server._server.sockets[0]):
        assert time.monotonic() < end


async def test_a_connection_that_is_taken_up_in_the_round_that_closes_the_listener_is_served(field: Field) -> None:
    """asyncio makes a transport of it one round later, and can't for a listener that is closed by then: the queue was
    empty, and the connection was reset all the same, with its request."""
    first = await field.start()  # held: dropped, it would close
    relay = field.relays[0]
    await until(lambda: len(relay.server.connections) == 1)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    queued(relay.server)
    loop = asyncio.get_running_loop()
    loop.call_at(loop.time(), relay.server._stop_once_empty, 1)  # a round reads sockets first, then come its timers
    client.setblocking(False)
    async with asyncio.timeout(PATIENCE):
        assert await loop.sock_recv(client, 100) == b"+OK\r\n"
    await until(lambda: not relay.server.listening)
    client.close()
    first.writer.close()


async def test_a_connection_that_comes_in_the_rounds_up_to_the_listeners_close_is_served(field: Field) -> None:
    """What was taken up is waited for, and in that time another comes."""
    first = await field.start()  # held: dropped, it would close
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    server._take_up_no_more()
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    queued(server)
    server._close_in(clients.ROUNDS)
    await until(lambda: not server.listening)
    client.setblocking(False)
    async with asyncio.timeout(PATIENCE):
        assert await asyncio.get_running_loop().sock_recv(client, 100) == b"+OK\r\n"
    client.close()
    first.writer.close()


async def test_a_connection_that_is_taken_up_in_the_round_of_the_last_turn_is_not_reset_with_its_listener(
    field: Field,
) -> None:
    first = await field.start()  # held: dropped, it would close
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    queued(server)
    loop = asyncio.get_running_loop()
    loop.call_at(loop.time(), server.end)
    client.setblocking(False)
    async with asyncio.timeout(PATIENCE):
        assert await loop.sock_recv(client, 100) == b""
    client.close()
    first.writer.close()


async def test_a_connection_that_is_taken_up_as_a_relay_passes_on_passes_too(field: Field) -> None:
    first = await field.start()  # held: dropped, it would close
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1")[:30])
    queued(server)
    loop = asyncio.get_running_loop()
    passing: asyncio.Future[list[clients.Connection]] = loop.create_future()

    async def give() -> None:
        listener = await server.stop_listening()
        listener.close()
        passing.set_result(server.connections_to_hand_over())

    loop.call_at(loop.time(), lambda: giving.append(loop.create_task(give())))
    giving: list[asyncio.Task[None]] = []
    async with asyncio.timeout(PATIENCE):
        assert len(await passing) == 2
    client.close()
    first.writer.close()


async def test_a_request_that_crosses_a_draining_relays_close_does_not_take_the_answer_back(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client has not read its answer yet, and sends on. Bytes unread at a close make a reset of it, which throws
    away what the client has not read."""
    await field.start()
    relay = field.relays[0]
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(hiredis.pack_command(("PING",)))
    await until(lambda: bool(relay.server.idle))
    (connection,) = relay.server.connections
    found = vars(clients.Connection)["between_requests"]

    def crossed(one: clients.Connection) -> bool:
        clear = found.fget(one)
        client.sendall(enqueue("m1"))  # behind the look, ahead of the close
        return bool(clear)

    monkeypatch.setattr(clients.Connection, "between_requests", property(crossed))
    relay.server.drain()
    await until(lambda: connection.closing)
    assert connection.transport is not None
    ours = connection.transport.get_extra_info("socket")
    await until(lambda: readable(ours))
    for _ in range(20):
        await asyncio.sleep(0)
    assert readable(ours)  # what crossed is not read: a request that was read is owed an answer
    await until(lambda: readable(client))
    answers = b""
    client.settimeout(PATIENCE)
    while piece := client.recv(100):
        answers += piece
    assert answers == b"+PONG\r\n" and not relay.held
    client.close()
    await until(lambda: not relay.server.connections)


def readable(one: Any) -> bool:
    poll = select.poll()
    poll.register(one.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def test_a_stopping_relay_does_not_end_while_a_request_is_half_way_in(field: Field) -> None:
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
    assert not relay.held


async def test_a_stopping_relay_does_not_end_ahead_of_a_turn_that_is_due(field: Field) -> None:
    """A request has come, and its turn has not: nothing is held yet."""
    client = await field.start()
    relay = field.relays[0]
    handler = relay.server.handler
    ended = []

    def asked(request: clients.Request, reply: clients.Reply) -> None:
        handler(request, reply)
        relay.server.draining = True  # it drains just now
        relay._end_if_idle()
        ended.append(relay.finished.is_set())

    relay.server.handler = asked
    client.writer.write(enqueue("m1"))
    assert await client.read() == b"OK" and ended == [False]
    client.writer.close()
    relay._drain()
    (await field.host.next_call()).answer(200)
    relay.stop()
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    assert not relay.held


async def test_a_request_that_is_read_as_the_time_of_a_stopping_relay_ends_is_answered_and_kept(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its turn has not come, and the 3 s are over: it was read, and the relay ended without a word of it."""
    client = await field.start()
    relay = field.relays[0]
    monkeypatch.setattr(relay, "_turn_soon", lambda: None)  # no turn comes in time
    client.writer.write(enqueue("m1"))
    await until(lambda: bool(relay.newcomers))
    monkeypatch.setattr(shutdown, "STOP_AFTER", 0)
    relay.stop()
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    relay.close()
    assert await client.read() == b"OK"
    kept = Store.open(field.state, 3_000_000)
    assert "m1" in kept.entries
    kept.close()


async def test_what_comes_behind_a_stopping_relays_last_turn_stays_unread(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end takes a few rounds of the loop. What they read was answered by nobody: unread, it is handed in again."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("m1") == b"OK"
    (connection,) = relay.server.connections
    asked: list[str] = []
    handler = relay.server.handler

    def asking(request: clients.Request, reply: clients.Reply) -> None:
        asked.append(request.ref)
        handler(request, reply)

    monkeypatch.setattr(relay.server, "handler", asking)
    monkeypatch.setattr(shutdown, "STOP_AFTER", 0)
    relay.stop()
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    relay.close()
    assert connection.transport is not None
    ours = connection.transport.get_extra_info("socket")
    client.writer.write(enqueue("m2"))
    await until(lambda: bool(asked) or readable(ours))
    for _ in range(20):
        await asyncio.sleep(0)
    assert not asked and readable(ours)
    assert await client.read() is None  # it hears that nothing more is read here


async def test_a_connection_that_is_taken_up_as_the_end_comes_is_not_read(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = await field.start()  # held: dropped, it would close
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    made = clients.Connection.connection_made

    def late(one: clients.Connection, transport: asyncio.BaseTransport) -> None:
        server.end()
        made(one, transport)

    monkeypatch.setattr(clients.Connection, "connection_made", late)
    client = socket.create_connection(("127.0.0.1", field.port))
    client.sendall(enqueue("m1"))
    await until(lambda: len(server.connections) == 2)
    await until(lambda: readable(client))
    for _ in range(20):
        await asyncio.sleep(0)
    client.settimeout(PATIENCE)
    assert client.recv(100) == b"" and not field.relays[0].held
    client.close()
    first.writer.close()


async def test_an_answer_that_waits_for_its_record_is_written_before_the_end(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where records outlast the machine's power an answer waits for a sync: the end waits with it."""
    client = await field.start()
    relay = field.relays[0]
    later: list[Any] = []
    monkeypatch.setattr(relay.journal, "when_recorded", later.append)
    client.writer.write(enqueue("m1"))
    await until(lambda: bool(later))
    monkeypatch.setattr(shutdown, "STOP_AFTER", 0)
    relay.stop()
    for _ in range(20):
        await asyncio.sleep(0)
    assert not relay.finished.is_set()
    monkeypatch.undo()
    for each in later:
        each(True)
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)
    assert await client.read() == b"OK" and await client.read() is None


async def test_a_relay_that_is_told_to_end_while_it_starts_does_not_listen_on(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    recover = Relay._recover

    def told(relay: Relay) -> None:
        field.relays.append(relay)
        recover(relay)
        relay.stop()
        relay._drain()

    monkeypatch.setattr(Relay, "_recover", told)
    await Relay(field.config()).start()
    (relay,) = field.relays
    await until(lambda: not relay.server.listening)
    await asyncio.wait_for(relay.finished.wait(), PATIENCE)


# ---- calls


async def test_a_host_that_moved_while_its_connection_came_up_gets_no_call_at_the_old_address(field: Field) -> None:
    other = ScriptedHost()
    await other.start()
    client = await field.start()
    watch = await field.platform.next_watch()
    net = field.relays[0].hosts
    begin = net.begin
    gate = asyncio.Event()
    connect = net._connect

    async def late(exchange: hosts.Exchange, address: Address) -> None:
        await gate.wait()
        await connect(exchange, address)

    net._connect = late  # type: ignore[method-assign]
    await client.enqueue("m1", "unsafe")
    await until(lambda: bool(net.opening))
    watch.line(listing(42, endpoint(other)))
    await until(lambda: field.relays[0].discovery.index == 42)
    gate.set()
    call = await other.next_call()
    assert call.headers["x-request-id"] == "m1" and field.host.calls.empty()
    call.answer(200)
    await until(lambda: not field.relays[0].held)
    assert net.begin == begin
    await other.stop()


async def test_a_call_that_was_given_up_while_its_record_was_under_way_is_not_written(field: Field) -> None:
    """Told as one that never ran, it must not run."""
    await field.start()
    net = field.relays[0].hosts
    outcomes: list[Outcome] = []
    later: list[object] = []
    net.on_record = later.append
    exchange = hosts.Exchange("s-1", 1 << 62, lambda address: hosts.probe_request(address, False), outcomes.append)
    net.begin(exchange)
    await until(lambda: bool(later))
    exchange.give_up(io.Status.CANCELLED)
    assert [one.status for one in outcomes] == [io.Status.CONNECT_FAILED]
    started = later.pop()
    assert callable(started)
    started(True)
    assert exchange.connection is None and any(net.idle.values())


async def test_a_probe_whose_host_drains_while_a_record_is_under_way_is_not_written(field: Field) -> None:
    """The last look of a probe stood ahead of the record alone: a folder that takes long let it out behind the grace."""
    await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    later: list[Any] = []
    relay.hosts.on_record = later.append
    relay._probe(io.Probe("s-1", 1 << 62))
    await until(lambda: bool(later))
    watch.line(listing(42, endpoint(field.host, status="Terminating")))
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    later.pop()(True)
    assert any(relay.hosts.idle.values())  # the connection rests, nothing was written on it


async def test_a_message_that_is_delivered_as_its_time_ends_is_told_of_too(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its client counts from its sending, a little ahead of our reading: behind that time it is owed its end, and nobody
    here can tell. On brink 310, roll+brink-11, a message whose answer came 3 ms ahead of our end of it was lost."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    monkeypatch.setattr(attempt_module, "UNSURE", 3600 * 10**9)  # however long this machine takes
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    await until(lambda: not relay.held and relay.journal.entries == {})
    assert relay.counts.served["unsafe"] == 1 and relay.counts.failed["unsafe"] == 0


async def test_a_message_that_is_delivered_well_in_time_is_not_told_of(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    relay.held["m1"].ends_at = time.monotonic_ns() + 3600 * 10**9
    call.answer(200)
    await until(lambda: not relay.held)
    assert not relay.notices.queue and field.platform.notices.empty() and relay.journal.entries == {}


# ---- restarts


async def test_what_became_of_what_a_restart_found_untried_is_in_the_log(
    field: Field, caplog: pytest.LogCaptureFixture
) -> None:
    field.facts["familyInfo"]["callsOut"] = 1
    client = await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(42, endpoint(field.host, status="Terminating")))
    await until(lambda: field.relays[0].discovery.index == 42)
    for n in range(5):
        assert await client.enqueue(f"m{n}") == b"OK"
    field.relays.pop().close()
    caplog.set_level("INFO")
    client = await field.start()
    for _ in range(5):
        (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held)
    assert "5 found untried: 5 tried, with no call 0 ended at their time and 0 before, 0 left" in caplog.text


async def test_a_hold_that_newcomers_fill_gives_up_nothing_that_an_earlier_life_left_untried(field: Field) -> None:
    """It earns least, as its time is half over: it was refused first, with no call."""
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
    await until(lambda: not field.relays[0].held)
    while not field.platform.notices.empty():
        assert field.platform.notices.get_nowait()["ref"].startswith("new")


# ---- notices


async def test_an_end_is_told_in_time_though_the_connection_to_the_platform_has_fallen_silent(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Finding out takes no longer than half of the 300 ms in which an end has to be told."""
    assert 2 * (notices.ANSWER_TIME + notices.FIRST_PAUSE) <= 0.3
    client = await field.start()
    take = field.platform.take
    silent: list[Any] = []

    def muted(call: Call) -> None:
        if call.method == "POST" and (not silent or call.connection is silent[0]):
            silent.append(call.connection)
        else:
            take(call)

    monkeypatch.setattr(field.platform, "handler", muted)
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert len(silent) == 1 and silent[0].lost
    await until(lambda: field.relays[0].journal.entries == {})


async def test_a_platform_that_is_slow_is_given_longer_until_it_has_answered(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Were each POST given up as soon, one that takes longer to answer would never be heard."""
    await field.start()
    relay = field.relays[0]
    waits: list[float] = []
    monkeypatch.setattr(field.platform, "handler", lambda call: waits.append(relay.notices.patience))
    relay.notices.add("m1", "dead", 0)
    relay.notices.send()
    await until(lambda: len(waits) == 3)
    assert waits == [notices.ANSWER_TIME, 2 * notices.ANSWER_TIME, 4 * notices.ANSWER_TIME]


async def test_a_notice_that_the_platform_can_not_read_keeps_no_other_back(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    await field.start()
    relay = field.relays[0]
    take = field.platform.take

    def picky(call: Call) -> None:
        if call.method == "POST" and b'"m2"' in call.body:
            call.answer(400)
        else:
            take(call)

    monkeypatch.setattr(field.platform, "handler", picky)
    for n in range(1, 4):
        relay.notices.add(f"m{n}", "dead", 0)
    relay.notices.send()
    assert [(await field.platform.next_notice())["ref"] for _ in range(2)] == ["m1", "m3"]
    await until(lambda: not relay.notices.queue)


# ---- hand-overs


@pytest.mark.parametrize("told", [False, True])
async def test_a_process_that_is_told_to_end_while_it_hands_over_does_not_begin_anew(field: Field, told: bool) -> None:
    """SIGTERM came while it made ready, and the new process died with the relay in its hands: begun anew from the folder,
    it would serve on, with nothing that tells it to end."""
    field.operators = True
    field.limits["memory_mb"] = 4096  # both sides are this process, which keeps what the tests before it left
    await field.start()
    relay = field.relays[0]
    assert relay.handover_sender is not None
    begun: list[bool] = []
    relay.handover_sender.start_anew = lambda: begun.append(True)
    quiet = relay.handover_sender._quieten

    async def quieten() -> socket.socket:
        if told:
            relay.stop()
        return await quiet()

    relay.handover_sender._quieten = quieten  # type: ignore[method-assign]
    door = Door(field.state)
    channel = await asyncio.to_thread(door.call)
    assert channel is not None
    channel.send(Hello([VERSION]))
    channel.close()  # it dies: what it is given comes to nobody
    if told:
        await asyncio.wait_for(relay.finished.wait(), PATIENCE)
        assert not begun
    else:
        await until(lambda: bool(begun))
