"""A relay in this process against hosts, a platform and clients on loopback sockets."""

from __future__ import annotations

import asyncio
import time

import pytest

from garnetrelay.delivery.http import hosts
from garnetrelay.delivery.http.answers import AnswerReader, Outcome
from garnetrelay.discovery import watches
from garnetrelay.fronts.resp import server as clients
from garnetrelay.rehearsal.scripted_peers import ScriptedHost
from garnetrelay.store.reading import load
from garnetrelay.store.storage import Folder
from starlingwick import interface as io
from tests.sockets import Client, Field, endpoint, host_list_json, until

# ---- admission


async def test_message_is_taken_on_before_it_is_delivered_and_goes_on_unchanged(field: Field) -> None:
    client = await field.start()
    body = bytes(range(256)) + b"\r\n"
    assert await client.enqueue("m1", "keyed", body=body) == b"OK"
    call = await field.host.next_call()  # not answered yet, and the client knows already
    assert (call.method, call.target) == ("POST", "/hook") and call.body == body
    assert call.headers["x-request-id"] == "m1" and call.headers["idempotency-key"] == "key-m1"
    assert 0 < int(call.headers["x-timeout-ms"]) <= 8000
    call.answer(200)
    await until(lambda: not field.relays[0].pending)
    assert field.relays[0].journal.entries == {} and field.platform.notices.empty()


@pytest.mark.parametrize("passed", [True, False])
async def test_a_call_that_has_passed_to_another_process_is_not_timed_out_here(passed: bool) -> None:
    outcomes: list[Outcome] = []
    exchange = hosts.Exchange("s-1", 0, lambda address: None, outcomes.append)
    exchange.start_timer()
    for _ in range(2):
        await asyncio.sleep(0)  # the timer has come; its end waits for a look at the sockets
    assert not outcomes and exchange.timer is not None
    if passed:
        exchange.timer.cancel()  # as `close_after_handover` does
    for _ in range(5):
        await asyncio.sleep(0)
    assert len(outcomes) == (0 if passed else 1)


async def test_attempt_is_on_record_before_its_first_byte(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    await field.host.next_call()
    on_disk = load(Folder(field.state))[0].entries["m1"]
    assert on_disk.trying_at is not None and on_disk.attempts == 1 and on_disk.trying_zone == "north"


async def test_no_room_in_the_journal_is_busy(field: Field) -> None:
    field.limits["disk_mb"] = 0.05
    client = await field.start()
    answer = await client.enqueue("m1", body=bytes(60_000))
    assert answer.startswith("BUSY")
    assert await client.enqueue("m2") == b"OK"


async def test_full_hold_turns_messages_away_and_never_holds_more(field: Field) -> None:
    field.facts["limits"]["mostHeld"] = 20
    client = await field.start()
    answers = [await client.enqueue(f"m{n}") for n in range(40)]
    assert len(field.relays[0].pending) <= 20
    bounced = 0
    while not field.platform.notices.empty():
        bounced += field.platform.notices.get_nowait()["result"] == "bounced"
    refused = sum(str(answer).startswith("BUSY") for answer in answers)
    assert refused + bounced >= 20 and set(answers) <= {b"OK", "BUSY"}


@pytest.mark.parametrize(
    "words",
    [
        ("ENQUEUE", "0", "m", "c=safe,d=8000,dest=3"),
        ("ENQUEUE", "0", "m", "c=none,d=8000,dest=3", "x"),
        ("ENQUEUE", "0", "m", "c=safe,d=8000,dest=99", "x"),
        ("ENQUEUE", "0", "m", "c=safe,d=soon,dest=3", "x"),
        ("ENQUEUE", "0", "m", "c=safe,d=-5,dest=3", "x"),
        ("ENQUEUE", "0", "m", "c=safe,dest=3", "x"),
        ("ENQUEUE", "0", "m", "nonsense", "x"),
        ("ENQUEUE", "0", "m", "c=keyed,d=8000,dest=3", "x"),
        ("ENQUEUE", "0", "", "c=safe,d=8000,dest=3", "x"),
        ("ENQUEUE", "0", "m\r\nX-Evil: 1", "c=safe,d=8000,dest=3", "x"),
        ("ENQUEUE", "0", b"\xff", "c=safe,d=8000,dest=3", "x"),
        ("ENQUEUE", "0", "m", "c=safe,d=8000,dest=3", bytes(65 * 1024)),
        ("SHUTDOWN",),
    ],
    ids=[
        "short",
        "class",
        "dest",
        "d",
        "negative d",
        "no d",
        "list",
        "no key",
        "no id",
        "header",
        "bytes",
        "body",
        "unknown",
    ],
)
async def test_request_that_makes_no_sense_gets_an_error_and_the_connection_stays(
    field: Field, words: tuple[str | bytes, ...]
) -> None:
    client = await field.start()
    (await field.platform.next_watch()).line("")  # before that, a destination that is not listed may be a new one
    await until(lambda: field.relays[0].discovery.up_to_date)
    assert (await client.ask(*words)).startswith("ERR")
    assert await client.ask("PING") == b"PONG"
    assert field.relays[0].pending == {}


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$-7\r\n",
        b"*-3\r\n",
        b"*1\r\n$nine\r\n",
        b"*1\r\n:5\r\n",
        b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\nm\r\n$20\r\nc=safe,d=8000,dest=3\r\n$4\r\nabcdefgh\r\n",
        b"*4000000000\r\n",
        b"*1\r\n*1\r\n$4\r\nPING\r\n",
        b"*1\r\n$100000000\r\n" + bytes(2_000_000),
    ],
    ids=["inline", "length", "count", "no length", "integer", "short length", "huge count", "nested", "huge length"],
)
async def test_lost_framing_gets_an_error_and_a_close(field: Field, data: bytes) -> None:
    client = await field.start()
    client.writer.write(data)
    assert (await client.read()).startswith("ERR")
    assert await client.read() is None
    assert field.relays[0].pending == {}


async def test_answers_come_in_the_order_of_pipelined_requests(field: Field) -> None:
    client = await field.start()
    client.write("PING", "one")
    client.write("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
    client.write("PING", "two")
    assert [await client.read() for _ in range(3)] == [b"one", b"OK", b"two"]


@pytest.mark.parametrize("data", [b"", b"*5\r\n$7\r\nENQ"], ids=["silent", "half"])
async def test_client_without_a_whole_command_is_shut_out_by_the_clock(
    field: Field, monkeypatch: pytest.MonkeyPatch, data: bytes
) -> None:
    """The time runs from the beginning: a byte now and then wins none. One that has asked may stay."""
    assert clients.COMMAND_TIMEOUT_S < 3
    monkeypatch.setattr(clients, "COMMAND_TIMEOUT_S", 0.2)
    usual = await field.start()
    assert await usual.ask("PING") == b"PONG"
    bad = await Client.connect(field.port)
    bad.writer.write(data)
    drip = asyncio.create_task(dripping(bad, data))
    assert (await bad.read()).startswith("ERR") and await bad.read() is None
    drip.cancel()
    assert await usual.ask("PING") == b"PONG"


async def dripping(client: Client, data: bytes) -> None:
    while data:
        await asyncio.sleep(0.05)
        client.writer.write(b"U")


async def test_sender_of_much_gets_to_read_the_error(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """It reads only when it has sent all, long after it was shut out."""
    monkeypatch.setattr(clients, "LINGER_S", 0.1)
    client = await field.start()
    client.write("PING")
    client.writer.write(b"*1\r\n$60000000\r\n")
    assert await client.read() == b"PONG"
    for _ in range(60):
        client.writer.write(bytes(1_000_000))
        await client.writer.drain()
        await asyncio.sleep(0.005)
    assert (await client.read()).startswith("ERR") and await client.read() is None


async def test_longest_idle_client_makes_room_for_a_newcomer(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """Never one with a request begun. When nobody can go, the newcomer hears that it may come again."""
    field.limits["sockets"] = 60
    first = await field.start()
    relay = field.relays[0]
    room = relay._remaining_client_connections()
    others = [await Client.connect(field.port) for _ in range(room)]
    for client in (first, *others):
        assert await client.ask("PING") == b"PONG"
    assert relay._remaining_client_connections() == 0
    late = await Client.connect(field.port)
    assert (await late.read()).startswith("BUSY") and await late.read() is None
    monkeypatch.setattr(clients, "MIN_IDLE_S", 0.0)
    first.writer.write(b"*1\r\n")  # a command has begun
    await until(lambda: any(connection.raw for connection in relay.server.connections))
    late = await Client.connect(field.port)
    assert await late.ask("PING") == b"PONG"
    assert await others[0].read() is None
    first.writer.write(b"$4\r\nPING\r\n")
    assert await first.read() == b"PONG" and await others[1].ask("PING") == b"PONG"


async def test_silent_connections_make_room_long_before_others(field: Field) -> None:
    """Hundreds connected, said nothing and came again; for 2 s each they shut out all that had to ask."""
    assert clients.MIN_IDLE_WITHOUT_COMMAND_S < clients.MIN_IDLE_S
    field.limits["sockets"] = 60
    usual = await field.start()
    assert await usual.ask("PING") == b"PONG"
    relay = field.relays[0]
    silent = [await Client.connect(field.port) for _ in range(relay._remaining_client_connections())]
    await until(lambda: relay._remaining_client_connections() == 0)
    first = next(iter(relay.server.without_command))
    await until(lambda: relay.server.now() > first.last_active_at + clients.MIN_IDLE_WITHOUT_COMMAND_S)
    late = await Client.connect(field.port)
    assert await late.ask("PING") == b"PONG" and await silent[0].read() is None
    assert await usual.ask("PING") == b"PONG"


async def test_longest_idle_host_connection_makes_room(field: Field) -> None:
    """The longest idle of all hosts, for a client or for another host."""
    other = ScriptedHost()
    await other.start()
    field.endpoints.append(endpoint(other, "s-2"))
    await field.start()
    net = field.relays[0].hosts
    opened = []
    for host in ("s-2", "s-1"):
        net.begin(hosts.Exchange(host, 1 << 62, lambda address: None, lambda outcome: opened.append(outcome)))
        await until(lambda: bool(opened))
        opened.clear()
    assert net.close_longest_idle() and list(net.idle) == ["s-1"]
    assert net.close_longest_idle() and not net.close_longest_idle()
    asked: list[bool] = []
    net.free_descriptor = lambda: not asked.append(True)  # type: ignore[func-returns-value]
    net.remaining_capacity = lambda: 0
    for _ in range(2):  # an idle client goes first: the connection of the first call is there for the second
        net.begin(hosts.Exchange("s-1", 1 << 62, lambda address: None, opened.append))
        await until(lambda: bool(opened))
        opened.clear()
    assert len(asked) == 1 and net.close_longest_idle()
    net.free_descriptor = lambda: False
    net.remaining_capacity = lambda: 0
    net.begin(hosts.Exchange("s-1", 1 << 62, lambda address: None, opened.append))
    await until(lambda: bool(opened))
    assert opened == [Outcome(io.Status.ABANDONED)] and net.count == 0
    await other.stop()


async def test_message_that_ended_and_is_not_told_yet_is_not_taken_on_anew(field: Field) -> None:
    field.platform.refusals = 1_000_000
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).answer(500)
    await until(lambda: not field.relays[0].pending)
    assert await client.enqueue("m1", "unsafe") == b"OK"
    assert not field.relays[0].pending and field.relays[0].journal.entries["m1"].ended == "dead"


async def test_nonsense_at_full_speed_fills_no_log(field: Field, caplog: pytest.LogCaptureFixture) -> None:
    client = await field.start()
    caplog.set_level("INFO")
    client.writer.write(b"*1\r\n$4\r\nNONE\r\n" * 600)
    for _ in range(600):
        assert (await client.read()).startswith("ERR")
    assert 0 < sum("not understood" in line for line in caplog.messages) < 60


# ---- outcomes


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (200, [], Outcome(io.Status.OK, finished=True)),
        (500, [], Outcome(io.Status.ERROR)),
        (302, [], Outcome(io.Status.ERROR)),
        (429, [(b"X-Backoff-Ms", b"250")], Outcome(io.Status.FULL, wait=250_000_000)),
        (429, [(b"X-Backoff-Ms", b"soon")], Outcome(io.Status.FULL)),
        (503, [], Outcome(io.Status.FULL)),
        (503, [(b"X-Egress-Full", b"1")], Outcome(io.Status.MOOT, no_slot=True)),
        (504, [], Outcome(io.Status.MOOT)),
        (410, [], Outcome(io.Status.MOOT, finished=True)),
        (503, [(b"X-Server-Load", b"x0=0.4,x1=25")], Outcome(io.Status.FULL, report=io.Report(0.4, 25))),
        (500, [(b"X-Server-Load", b"x0=nan,x1=?")], Outcome(io.Status.ERROR)),
    ],
)
def test_answer_is_read_as_the_protocol_says(status: int, headers: list[tuple[bytes, bytes]], outcome: Outcome) -> None:
    lines = b"".join(b"%s: %s\r\n" % line for line in headers)
    reader = AnswerReader()
    reader.feed(b"HTTP/1.1 %d What\r\n%sContent-Length: 0\r\n\r\n" % (status, lines))
    assert reader.outcome == outcome and reader.complete and reader.keep and not reader.broken


async def test_unsafe_message_dies_with_a_connection_that_broke_behind_it(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).break_off()
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}


async def test_unsafe_message_whose_connection_never_came_up_is_sent_again(field: Field) -> None:
    address = field.host.address
    await field.host.stop()
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    pacer = field.relays[0].pacer
    await until(lambda: pacer.messages["m1"].attempts == 1 and pacer.messages["m1"].call is None)
    again = ScriptedHost()
    await again.start(port=int(address.split(":")[1]))
    (await again.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    await again.stop()
    assert field.platform.notices.empty()


HEAD_200 = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "data",
    [
        HEAD_200 + b"X-Pad: p\r\n" * 4000,
        HEAD_200 + b"X-Pad: p\r\n",
        HEAD_200 + b"Content-Length: -1\r\n\r\n",
        HEAD_200 + b"Content-Length: 3000000000\r\n\r\n" + bytes(200_000),
        HEAD_200 + b"no header\r\n\r\n",
        HEAD_200 + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD_200 + b"Content-Length: 9\r\n\r\nx",
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + HEAD_200 + b"Content-Length: x\r\n\r\n",
    ],
    ids=["endless head", "head that stops", "length", "huge", "header", "chunks", "short", "behind 1xx"],
)
async def test_first_line_with_200_is_true_in_a_spoilt_answer(
    field: Field, monkeypatch: pytest.MonkeyPatch, data: bytes
) -> None:
    monkeypatch.setattr(hosts, "ANSWER_REST_TIMEOUT_S", 0.1)
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    call.raw(data)
    await until(lambda: not field.relays[0].pending)
    async with asyncio.timeout(20):
        assert await field.host.next_closing() == call.connection
    assert field.platform.notices.empty() and field.relays[0].journal.entries == {}


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01 what is this?\r\n\r\n",
        b"HTTP/1.1 OK 200\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 429 Slow\r\nX-Backoff-Ms: 60000\r\nContent-Length: -4\r\n\r\n",
        b"HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n" + bytes(200_000),
        b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nx",
        b"HTTP/1.1 503 No\r\nX-Pad: p\r\n",
        b"noise",
        b"HTTP/1.1 200 O",
    ],
    ids=[
        "noise",
        "line",
        "status",
        "429",
        "endless body",
        "short 410",
        "endless head",
        "no line",
        "half a line with 200",
    ],
)
async def test_anything_else_spoilt_may_have_run_and_says_nothing_of_the_host(
    field: Field, monkeypatch: pytest.MonkeyPatch, data: bytes
) -> None:
    """The host answers others as before: it is neither suspect nor told to be waited for."""
    monkeypatch.setattr(hosts, "ANSWER_REST_TIMEOUT_S", 0.1)
    client = await field.start()
    await client.enqueue("m1", "unsafe", d=8000)
    call = await field.host.next_call()
    call.raw(data)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    dest, host = field.relays[0].pacer.hosts["s-1"]
    assert dest.failure_share == host.failure_share == 0 and dest.wait_until == 0 and dest.refused_since is None
    async with asyncio.timeout(20):
        assert await field.host.next_closing() == call.connection


async def test_good_answer_with_more_than_belongs_to_it_stays_good(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    first = await field.host.next_call()
    first.raw(b"HTTP/1.1 429 Slow\r\nX-Server-Load: x0=?\r\nContent-Length: 0\r\n\r\n" + b"noise")
    again = await field.host.next_call()  # it never ran: an unsafe message goes again, on another connection
    assert again.headers["x-request-id"] == "m1" and again.connection != first.connection
    again.answer(200)
    await until(lambda: not field.relays[0].pending)


async def test_answer_may_take_its_time_behind_1xx(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hosts, "ANSWER_REST_TIMEOUT_S", 0.05)
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    call.raw(b"HTTP/1.1 102 Proc")
    (connection,) = field.relays[0].hosts.open
    await until(lambda: connection.timer is not None)
    call.raw(b"essing\r\n\r\n")
    await until(lambda: connection.timer is None)
    assert connection.exchange is not None
    call.answer(200)
    await until(lambda: not field.relays[0].pending)
    assert field.platform.notices.empty()


async def test_message_past_all_its_attempts_ends_at_once(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1")
    (await field.host.next_call()).answer(504)
    assert (await field.platform.next_notice())["ref"] == "m1"


async def test_message_that_is_over_at_the_host_needs_no_notice(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1")
    (await field.host.next_call()).answer(410)
    await until(lambda: not field.relays[0].pending)
    assert field.platform.notices.empty() and field.relays[0].journal.entries == {}


async def test_giving_up_closes_the_connection_and_the_end_is_told_in_time(field: Field) -> None:
    client = await field.start()
    sent = time.monotonic()
    await client.enqueue("m1", "unsafe", d=300)
    call = await field.host.next_call()
    async with asyncio.timeout(20):
        assert await field.host.next_closing() == call.connection
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert time.monotonic() - sent >= 0.29  # not before its time was up


async def test_refused_call_keeps_its_connection_and_the_told_wait_is_heeded(field: Field) -> None:
    client = await field.start()
    await field.warm(client)
    await client.enqueue("m1")
    first = await field.host.next_call()
    first.answer(429, "X-Backoff-Ms: 400")
    told = time.monotonic()
    again = await field.host.next_call()
    assert again.connection == first.connection and time.monotonic() - told >= 0.39


async def test_refusal_on_a_new_connection_is_told_from_one_on_a_kept_one(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    seen: list[io.Status] = []
    handle = relay.pacer.handle

    def watched(now: int, events: list[io.Event]) -> list[io.Action]:
        verdicts = [event.status for event in events if isinstance(event, io.Verdict)]
        seen.extend(status for status in verdicts if status is not io.Status.OK)
        return handle(now, events)

    relay.pacer.handle = watched  # type: ignore[method-assign, assignment]
    await field.warm(client)
    await client.enqueue("m1")
    kept = await field.host.next_call()
    await client.enqueue("m2")
    new = await field.host.next_call()
    assert new.connection != kept.connection
    new.answer(503)
    await until(lambda: len(seen) == 1)
    kept.answer(503)
    await until(lambda: len(seen) == 2)
    assert seen == [io.Status.CROWDED, io.Status.FULL]


# ---- connections


async def test_next_call_uses_the_same_connection_also_behind_1xx_and_a_body(field: Field) -> None:
    client = await field.start()
    await field.warm(client)
    seen = set()
    for n in range(3):
        await client.enqueue(f"m{n}")
        call = await field.host.next_call()
        seen.add(call.connection)
        call.raw(b"HTTP/1.1 102 Processing\r\n\r\n")
        call.answer(200, body=b"thanks")
        await until(lambda: not field.relays[0].pending)
    assert len(seen) == 1


async def test_idle_connection_is_retired_before_the_host_closes_it(field: Field) -> None:
    field.facts["limits"]["connIdle"] = 1_000_000_000
    client = await field.start()
    await field.warm(client)
    net = field.relays[0].hosts
    assert any(net.idle.values()) and net.idle_time == 0.8
    await until(lambda: not net.open)
    async with asyncio.timeout(20):
        for _ in range(2):
            await field.host.next_closing()


async def test_connection_that_the_host_has_closed_is_not_used_again(field: Field) -> None:
    """The end lies on the socket when the next message comes, unread yet: writing behind it would be a
    reset, and an unsafe message would die of it."""
    client = await field.start()
    await field.warm(client)
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    call.answer(200)
    net = field.relays[0].hosts
    await until(lambda: not field.relays[0].pending)
    await until(lambda: any(net.idle.values()))
    idle = net.idle["s-1"][0]
    assert idle.transport is not None and idle.usable
    idle.transport.pause_reading()  # the loop is too busy to see it
    call.break_off()
    await until(lambda: not idle.usable)
    await client.enqueue("m2", "unsafe")
    second = await field.host.next_call()
    assert second.headers["x-request-id"] == "m2" and second.connection != call.connection


async def test_idle_connections_go_with_a_call_that_timed_out(field: Field) -> None:
    """A vanished machine resets them when it is back, and an unsafe message on one would die of it."""
    client = await field.start()
    await field.warm(client)
    for ref in ("m1", "m2"):
        await client.enqueue(ref, "unsafe", d=400 if ref == "m2" else 8000)
    first, second = await field.host.next_call(), await field.host.next_call()
    first.answer(200)
    net = field.relays[0].hosts
    await until(lambda: any(net.idle.values()))
    assert await field.platform.next_notice() == {"ref": second.headers["x-request-id"], "result": "dead"}
    assert not net.open


async def test_request_that_lies_unread_is_answered_before_a_draining_relay_closes(field: Field) -> None:
    client = await field.start()
    assert await client.ask("PING") == b"PONG"
    server = field.relays[0].server
    (connection,) = server.connections
    assert connection.transport is not None
    connection.transport.pause_reading()  # the loop has not come to it yet
    client.write("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
    await client.writer.drain()
    server.drain()
    connection.transport.resume_reading()
    assert await client.read() == b"OK" and await client.read() is None


async def test_call_overtaken_while_its_connection_came_up_is_abandoned(field: Field) -> None:
    """Connecting may take a second; a drain or a wait learned meanwhile holds for the call, and nothing of
    it goes out."""
    client = await field.start()
    net, pacer = field.relays[0].hosts, field.relays[0].pacer
    begin = net.begin

    def drained_meanwhile(exchange: hosts.Exchange) -> None:
        begin(exchange)
        pacer.hosts[exchange.host][1].usable = False

    net.begin = drained_meanwhile  # type: ignore[method-assign]
    await client.enqueue("m1", "unsafe")
    await until(lambda: pacer.messages["m1"].attempts == 1 and pacer.messages["m1"].call is None)
    assert field.relays[0].journal.entries["m1"].attempts == 0 and field.host.calls.empty()
    net.begin = begin  # type: ignore[method-assign]
    pacer.hosts["s-1"][1].usable = True
    field.relays[0].post(io.Alarm(0))
    (await field.host.next_call()).answer(200)


# ---- discovery and notices


async def test_watch_goes_on_from_the_last_index_and_tells_of_drains(field: Field) -> None:
    client = await field.start()
    watch = await field.platform.next_watch()
    assert watch.call.target == "/api/targets?follow=1&since=41"
    other = ScriptedHost()
    await other.start()
    watch.line("")
    watch.line("not a list")  # a drain, perhaps: it is asked for once more
    watch = await field.platform.next_watch()
    assert watch.call.target == "/api/targets?follow=1&since=41"
    watch.line('{"index":42,"snapshot":true,"endpoints":[{"name":"s-9"}]}')  # nor can that be read: what follows counts
    watch.line(host_list_json(43, endpoint(field.host, status="Terminating"), endpoint(other, "s-2")))
    await until(lambda: field.relays[0].discovery.index == 43)
    await client.enqueue("m1")
    (await other.next_call()).answer(200)
    assert field.host.calls.empty()
    watch.call.break_off()
    again = await field.platform.next_watch()
    assert again.call.target.endswith("since=43")
    await other.stop()


async def test_silent_watch_is_given_up(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that vanished says nothing; lines come every 2 s while all is well."""
    assert watches.SILENCE_TIMEOUT_S > 3
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 0.1)
    await field.start()
    await field.platform.next_watch()
    await field.platform.next_watch()


async def test_notice_is_resent_until_it_is_taken(field: Field) -> None:
    field.platform.refusals = 2
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    await until(lambda: field.relays[0].journal.entries == {})
    assert field.platform.refusals == 0


async def test_time_that_a_command_lay_unread_is_taken_off_its_patience(field: Field) -> None:
    """A client counts from its sending. What lay in the kernel while the loop was busy would end too late."""
    client = await field.start()
    assert await client.ask("PING") == b"PONG"
    (connection,) = field.relays[0].server.connections
    assert connection.transport is not None
    connection.transport.pause_reading()  # the loop is too busy to come to it
    await client.enqueue_unread("m1", d=8000)
    await until(lambda: connection._unread_ms() >= 60)
    connection.transport.resume_reading()
    assert await client.read() == b"OK"
    left = field.relays[0].pacer.messages["m1"].deadline - time.monotonic_ns()
    assert left <= (8000 - 60) * 1_000_000
    connection.transport.pause_reading()
    await client.enqueue_unread("m2", d=30)
    await until(lambda: connection._unread_ms() >= 30)
    connection.transport.resume_reading()
    assert await client.read() == "BUSY"  # its time was up before it was read


# ---- a spent core


async def test_end_goes_out_in_the_turn_that_decides_it(field: Field) -> None:
    """Not a round of the loop later: on a spent core that is what the rule leaves."""
    client = await field.start()
    relay = field.relays[0]
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).break_off()  # one reset does not make its host suspect
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    await until(lambda: not relay.notices.queue)
    await client.enqueue("m2", "unsafe")
    await field.host.next_call()
    written: list[bytes] = []
    assert relay.notices.link is not None
    relay.notices.link.post = written.append  # type: ignore[method-assign, assignment]
    relay.inbox.append(io.Withdrawn("none"))
    relay.pending["m2"].exchange.give_up(io.Status.TIMEOUT)  # type: ignore[union-attr]
    relay.tick()
    assert len(written) == 1 and b'{"ref":"m2","result":"dead"}' in written[0]


async def test_answer_that_lay_there_behind_its_time_is_none(field: Field) -> None:
    """The loop reads before it looks at timers. Taken for delivered, the message would have no end."""
    client = await field.start()
    await client.enqueue("m1", "unsafe", d=200)
    call = await field.host.next_call()
    relay = field.relays[0]
    call.answer(200)
    while time.monotonic_ns() < relay.pending["m1"].ends_at:  # the core is spent
        pass
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    await until(lambda: not relay.pending)


async def test_slow_relay_answers_each_message_by_its_deadline(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its own time is made dear: a turn takes as long as a spent core would make it. The host is silent."""
    field.facts["rules"]["answerSlack"] = 250_000_000
    client = await field.start()
    relay = field.relays[0]
    handle, tell = relay.pacer.handle, relay.notices.add
    longest, late = 0, {}
    deadlines: dict[str, int] = {}

    def dear(now: int, events: list[io.Event]) -> list[io.Action]:
        nonlocal longest
        actions = handle(now, events)
        deadlines.update({m.name: m.deadline for m in relay.pacer.messages.values()})
        while time.monotonic_ns() < now + 40_000_000:
            pass
        longest = max(longest, time.monotonic_ns() - now)
        return actions

    def told(ref: str, result: str, wait_ms: int) -> None:
        late[ref] = time.monotonic_ns() - deadlines[ref]
        tell(ref, result, wait_ms)

    monkeypatch.setattr(relay.pacer, "handle", dear)
    monkeypatch.setattr(relay.notices, "add", told)
    answers = [await client.enqueue(f"m{n}", ("unsafe", "keyed", "safe")[n % 3], d=900) for n in range(24)]
    taken = [f"m{n}" for n, answer in enumerate(answers) if answer == b"OK"]
    notices = [(await field.platform.next_notice())["ref"] for _ in taken]
    assert sorted(notices) == sorted(taken) and taken
    # What the rule leaves, and a round that a busy machine made longer than those before told.
    assert max(late.values()) <= 250_000_000 + longest
