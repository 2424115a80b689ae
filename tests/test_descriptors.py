"""Idle clients may use up the descriptors; the watch, calls and the journal still get theirs (README, "Descriptors are
shared"). Tests of a whole relay process also set the kernel's limit."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from garnetrelay.config.deployment import OPERATOR_DESCRIPTORS, RESERVED_DESCRIPTORS
from garnetrelay.fronts.resp import connection as resp_connection
from garnetrelay.fronts.resp import server as resp_server
from garnetrelay.fronts.resp.listener import ACCEPT_TICKS
from garnetrelay.operators.listener import MAX_CONNECTIONS
from garnetrelay.rehearsal.scripted_peers import PATIENCE
from garnetrelay.relay import Relay
from tests.sockets import Client, Field, endpoint, host_list_json, until
from tests.test_process import Process

SOCKETS = 96  # a relay's limit, small so that it is reached soon
RECONNECTING_CLIENTS = 120  # more than the limit
BURST = 300  # simultaneous connections: more than the limit, and more than are accepted per tick of the loop


def descriptors() -> int:
    """The number of open descriptors of this process."""
    return len(os.listdir("/proc/self/fd"))


def connect_at_once(port: int, count: int) -> list[socket.socket]:
    """Connections in the listen queue; the loop does not run meanwhile."""
    found = []
    for _ in range(count):
        one = socket.create_connection(("127.0.0.1", port))
        one.setblocking(False)
        found.append(one)
    return found


async def fill(relay: Relay, port: int) -> list[Client]:
    """Connects as many clients as the relay admits, each of which sends a command, and others that it rejects. None is
    idle for long enough to be closed in favour of another."""
    now = relay.server.now()
    relay.server.now = lambda: now
    found = []
    while relay._remaining_client_connections() > 0:
        found.append(await Client.connect(port))
        assert await found[-1].ask("PING") == b"PONG"
    while len(relay.server.lingering) < resp_server.MAX_REJECTED_CONNECTIONS:
        found.append(await Client.connect(port))
        assert str(await found[-1].read()).startswith("BUSY")
    return found


async def test_a_burst_of_connections_uses_no_descriptor_reserved_for_others(field: Field) -> None:
    """A connection that asyncio has accepted takes a descriptor for three ticks of the loop before the relay checks its
    limit."""
    field.limits["sockets"] = SOCKETS
    before = descriptors()
    await field.start()
    relay = field.relays[0]
    burst = connect_at_once(field.port, BURST)
    others = before + len(burst) + 1  # its first client also belongs to this process
    most = 0
    while len(relay.server.connections) < relay.config.shared_sockets - relay.config.host_sockets:
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    for _ in range(100):
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    assert relay._remaining_client_connections() <= 0
    assert most <= relay.config.shared_sockets - relay.config.host_sockets + RESERVED_DESCRIPTORS
    for one in burst:
        one.close()


async def test_a_kernel_limit_below_the_configured_one_is_respected(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Descriptors were allocated up to the configured limit, and everything failed at the kernel's lower limit."""
    field.limits["sockets"] = 1024
    monkeypatch.setattr(resource, "getrlimit", lambda which: (SOCKETS, SOCKETS))
    assert field.config().sockets == SOCKETS
    monkeypatch.setattr(resource, "getrlimit", lambda which: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    assert field.config().sockets == 1024


async def test_a_burst_after_a_drains_last_queue_check_is_accepted_in_small_batches(field: Field) -> None:
    """The whole queue was accepted in one tick before the listener closed."""
    field.limits["sockets"] = SOCKETS
    before = descriptors()
    await field.start()
    server = field.relays[0].server
    server.listener.stop_accepting()  # as after the last check that found the queue empty
    burst = connect_at_once(field.port, BURST)
    others = before + len(burst) + 1
    most = 0
    server.listener.close_after_ticks(ACCEPT_TICKS)
    while server.listener.listening:
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    assert most <= SOCKETS
    for one in burst:
        one.close()


async def test_a_connect_that_fails_for_lack_of_descriptors_is_not_counted_against_the_host(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It counted as a failed connect, and several in a row made a host that answers look down."""
    client = await field.start()
    relay = field.relays[0]
    loop = asyncio.get_running_loop()
    connect, short = loop.create_connection, [errno.EMFILE, errno.ENFILE]

    async def fail_at_first(factory: Any, host: str, port: int) -> Any:
        if short and field.host.address == f"{host}:{port}":
            raise OSError(short.pop(), "no descriptor")
        return await connect(factory, host, port)

    monkeypatch.setattr(loop, "create_connection", fail_at_first)
    assert await client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not relay.pending)
    dest, host = relay.pacer.hosts["s-1"]
    assert not short and dest.last_failure_at == 0 and host.failure_share == 0.0


async def test_a_burst_of_operator_connections_uses_no_descriptor_reserved_for_others(field: Field) -> None:
    """Any process on the machine can connect to the operators' address; it has a fixed share of the descriptors."""
    field.operators = True
    before = descriptors()
    await field.start()
    relay = field.relays[0]
    assert relay.operators is not None and relay.operators.listener._server is not None
    idle = descriptors() - before - 1  # its first client also belongs to this process
    burst = connect_at_once(relay.operators.listener._server.sockets[0].getsockname()[1], 16)
    others = before + len(burst) + 1
    most = 0
    while len(relay.operators.listener.connections) < MAX_CONNECTIONS:
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    for _ in range(100):
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    assert most <= idle + OPERATOR_DESCRIPTORS - 1  # without its listener, which is counted in idle
    for one in burst:
        one.close()


async def test_rejected_clients_do_not_reduce_the_hosts_share(field: Field) -> None:
    """They use descriptors reserved for them. Counted as clients, they used up a small relay's whole share for hosts, and
    no calls were made while clients kept connecting."""
    field.limits["sockets"] = SOCKETS
    await field.start()
    relay = field.relays[0]
    connected = await fill(relay, field.port)
    assert relay.config.host_sockets <= resp_server.MAX_REJECTED_CONNECTIONS
    assert await connected[0].enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not relay.pending)
    assert relay._remaining_host_connections() + relay.hosts.count == relay.config.host_sockets


@pytest.mark.parametrize("sends_on", [False, True])
async def test_a_client_that_reads_no_answers_is_closed_like_any_idle_one(field: Field, sends_on: bool) -> None:
    """A close waits until all data is written, so the descriptor stayed open without being counted. With unread requests
    the client was not considered idle at all."""
    await field.start()
    relay = field.relays[0]
    client = await Client.connect(field.port)
    address = client.writer.get_extra_info("sockname")
    connection = await connection_from(relay, address)
    assert connection.transport is not None
    for _ in range(1000):  # 60 MB: more than the kernel takes
        if connection.transport.get_write_buffer_size() and (connection.between_requests or sends_on):
            break
        client.write("PING", bytes(60_000))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    while sends_on and connection.between_requests:
        client.write("PING")
        await asyncio.sleep(0)
    await until(lambda: connection in relay.server.idle)
    open_before = descriptors()
    now = relay.server.now() + resp_server.MIN_IDLE_S + 1
    relay.server.now = lambda: now
    while connection in relay.server.connections:
        assert relay.server.close_longest_idle()
    for _ in range(ACCEPT_TICKS):
        await asyncio.sleep(0)
    assert descriptors() < open_before
    client.writer.transport.abort()


async def test_a_client_that_half_closes_and_reads_nothing_is_not_kept(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its answers cannot be written, so its connection never closed, and as it was busy, it was not closed in favour of
    another either."""
    monkeypatch.setattr(resp_connection, "LINGER_S", 0.0)
    await field.start()
    relay = field.relays[0]
    client = await Client.connect(field.port)
    connection = await connection_from(relay, client.writer.get_extra_info("sockname"))
    assert connection.transport is not None
    while not connection.transport.get_write_buffer_size():
        client.write("PING", bytes(5000))  # little enough that its EOF is still read
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    client.writer.write_eof()
    await until(lambda: connection not in relay.server.connections)
    client.writer.transport.abort()


async def connection_from(relay: Relay, address: tuple[str, int]) -> resp_connection.Connection:
    """The relay's side of a client's connection."""

    def found() -> list[resp_connection.Connection]:
        every = relay.server.connections
        return [one for one in every if one.transport and one.transport.get_extra_info("peername") == address]

    await until(lambda: bool(found()))
    return found()[0]


@pytest_asyncio.fixture
async def process(field: Field) -> AsyncIterator[Process]:
    made = Process(field)
    yield made
    if made.child is not None and made.child.returncode is None:
        await made.end(signal.SIGKILL)


async def connect_again_and_again(port: int) -> None:
    """A client that connects and sends nothing, and reconnects as soon as it is rejected."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while await reader.read(100):
                pass
            writer.transport.abort()
        except OSError:
            await asyncio.sleep(0)


async def submit(port: int, ref: str) -> None:
    """Submit a message, on another connection each time one is rejected."""
    async with asyncio.timeout(PATIENCE):
        while True:
            try:
                client = await Client.connect(port)
                answer = await client.enqueue(ref, "unsafe", body=bytes(2000))
                client.writer.transport.abort()
            except OSError:
                continue
            if answer == b"OK":
                return


def newest_segment(folder: Path) -> int:
    return max(int(path.stem, 16) for path in folder.glob("*.seg"))


async def test_a_relay_full_of_idle_clients_watches_calls_and_keeps_its_journal(field: Field, process: Process) -> None:
    """With the kernel's limit set, and discovery down and back: the watch, a notice, a host's connection, new segments
    and the configuration read at SIGHUP each get a descriptor."""
    field.limits |= {"sockets": SOCKETS, "disk_mb": 0.1}
    await process.start()
    assert process.child is not None and process.child.stderr is not None
    resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    await field.platform.stop()
    log_lines: list[bytes] = []
    log = asyncio.create_task(_read_log(process.child.stderr, log_lines))
    client_tasks = [asyncio.create_task(connect_again_and_again(process.port)) for _ in range(RECONNECTING_CLIENTS)]
    try:
        await _deliver_and_reconfigure(field, process, log_lines)
    finally:
        for task in (*client_tasks, log):
            task.cancel()
        await asyncio.gather(*client_tasks, log, return_exceptions=True)
    text = b"".join(log_lines).decode()
    assert "out of system resource" not in text and "Too many open files" not in text and "cannot write" not in text


async def _deliver_and_reconfigure(field: Field, process: Process, log_lines: list[bytes]) -> None:
    """Deliver messages until the journal has begun new segments; then discovery returns and SIGHUP follows."""
    assert process.child is not None
    port = int(field.platform.address.rpartition(":")[2])
    await until(lambda: any(b"too many connections" in line for line in log_lines))
    first, number = newest_segment(field.state), 0
    while newest_segment(field.state) < first + 2:
        number += 1
        await submit(process.port, f"m{number}")
        call = await field.host.next_call()
        call.answer(504 if number == 1 else 200, "Connection: close")  # each call needs a connection of its own
        await field.host.next_closing()
    while not field.platform.calls.empty():
        field.platform.calls.get_nowait()
    await field.platform.start(port=port)
    watch = await field.platform.next_watch()
    assert (await field.platform.next_notice())["ref"] == "m1"
    watch.line(host_list_json(42, endpoint(field.host, "s-1"), endpoint(field.host, "s-2")))
    process.child.send_signal(signal.SIGHUP)
    await until(lambda: any(b"configuration read again" in line for line in log_lines))


async def _read_log(stream: asyncio.StreamReader, log_lines: list[bytes]) -> None:
    while line := await stream.readline():
        log_lines.append(line)
