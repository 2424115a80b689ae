"""Idle clients may fill the descriptors: the watch, calls and the journal still find theirs (README, "Descriptors are
shared"). The kernel's own limit is set where the whole relay is under test."""

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
from garnetrelay.fronts.resp import server as clients
from garnetrelay.operators.listener import MAX_CONNECTIONS
from garnetrelay.rehearsal.scripted_peers import PATIENCE
from garnetrelay.relay import Relay
from tests.sockets import Client, Field, endpoint, listing, until
from tests.test_process import Process

SOCKETS = 96  # a relay's limit: few enough to be filled soon
CROWD = 120  # clients that come again and again: more than the limit
BURST = 300  # connections at once: more than the limit, and than are taken up in a round of the loop


def descriptors() -> int:
    """Of this process."""
    return len(os.listdir("/proc/self/fd"))


def connect_at_once(port: int, count: int) -> list[socket.socket]:
    """Connections that lie in the listener's queue: the loop does not run meanwhile."""
    found = []
    for _ in range(count):
        one = socket.create_connection(("127.0.0.1", port))
        one.setblocking(False)
        found.append(one)
    return found


async def fill(relay: Relay, port: int) -> list[Client]:
    """Clients that have asked, as many as there is room for, and others that are told that there is none. Nobody is idle
    for long enough to make room."""
    now = relay.server.now()
    relay.server.now = lambda: now
    found = []
    while relay._client_room() > 0:
        found.append(await Client.connect(port))
        assert await found[-1].ask("PING") == b"PONG"
    while len(relay.server.lingering) < clients.MOST_TOLD:
        found.append(await Client.connect(port))
        assert str(await found[-1].read()).startswith("BUSY")
    return found


async def test_a_burst_of_connections_takes_no_descriptor_that_is_kept_for_others(field: Field) -> None:
    """What asyncio has taken up is a descriptor for three rounds of the loop before anybody looks whether there is room
    for it."""
    field.limits["sockets"] = SOCKETS
    before = descriptors()
    await field.start()
    relay = field.relays[0]
    burst = connect_at_once(field.port, BURST)
    others = before + len(burst) + 1  # its first client is the test's own, too
    most = 0
    while len(relay.server.connections) < relay.config.shared_sockets - relay.config.host_sockets:
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    for _ in range(100):
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    assert relay._client_room() <= 0
    assert most <= relay.config.shared_sockets - relay.config.host_sockets + RESERVED_DESCRIPTORS
    for one in burst:
        one.close()


async def test_a_limit_of_the_kernels_under_the_configurations_is_kept(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Descriptors were shared out up to the configuration's limit; at the kernel's all of it failed."""
    field.limits["sockets"] = 1024
    monkeypatch.setattr(resource, "getrlimit", lambda which: (SOCKETS, SOCKETS))
    assert field.config().sockets == SOCKETS
    monkeypatch.setattr(resource, "getrlimit", lambda which: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    assert field.config().sockets == 1024


async def test_a_burst_behind_the_last_look_of_a_drain_is_taken_up_in_small_steps(field: Field) -> None:
    """All that lay in the queue was taken up in one round, ahead of the listener's close."""
    field.limits["sockets"] = SOCKETS
    before = descriptors()
    await field.start()
    server = field.relays[0].server
    server._take_up_no_more()  # the queue was found empty
    burst = connect_at_once(field.port, BURST)
    others = before + len(burst) + 1
    most = 0
    server._close_in(clients.ROUNDS)
    while server.listening:
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    assert most <= SOCKETS
    for one in burst:
        one.close()


async def test_a_connection_that_fails_for_want_of_a_descriptor_blames_no_host(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It counted as a failed connect: some of them in a row, and a host that answers passed for down."""
    client = await field.start()
    relay = field.relays[0]
    loop = asyncio.get_running_loop()
    connect, short = loop.create_connection, [errno.EMFILE, errno.ENFILE]

    async def without(factory: Any, host: str, port: int) -> Any:
        if short and field.host.address == f"{host}:{port}":
            raise OSError(short.pop(), "no descriptor")
        return await connect(factory, host, port)

    monkeypatch.setattr(loop, "create_connection", without)
    assert await client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not relay.held)
    dest, host = relay.pacer.hosts["s-1"]
    assert not short and dest.last_failure_at == 0 and host.failure_share == 0.0


async def test_a_burst_of_callers_takes_no_descriptor_that_is_kept_for_others(field: Field) -> None:
    """Staff's address is anybody's on this machine; the relay keeps some descriptors for it, and no more."""
    field.operators = True
    before = descriptors()
    await field.start()
    relay = field.relays[0]
    assert relay.operators is not None and relay.operators.listener._server is not None
    idle = descriptors() - before - 1  # its first client is the test's own, too
    burst = connect_at_once(relay.operators.listener._server.sockets[0].getsockname()[1], 16)
    others = before + len(burst) + 1
    most = 0
    while len(relay.operators.listener.connections) < MAX_CONNECTIONS:
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    for _ in range(100):
        await asyncio.sleep(0)
        most = max(most, descriptors() - others)
    assert most <= idle + OPERATOR_DESCRIPTORS - 1  # its listener is there
    for one in burst:
        one.close()


async def test_clients_that_are_told_no_take_no_part_of_the_hosts(field: Field) -> None:
    """They hold the descriptors that are kept for them. Counted as clients they took all of a small relay's part for
    hosts, and while others came nobody was called."""
    field.limits["sockets"] = SOCKETS
    await field.start()
    relay = field.relays[0]
    crowd = await fill(relay, field.port)
    assert relay.config.host_sockets <= clients.MOST_TOLD
    assert await crowd[0].enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not relay.held)
    assert relay._host_room() + relay.hosts.count == relay.config.host_sockets


@pytest.mark.parametrize("sends_on", [False, True])
async def test_a_client_that_reads_no_answers_makes_room_as_any_idle_one(field: Field, sends_on: bool) -> None:
    """A close waits for what is not written yet: its descriptor stayed, counted by nobody. And with what it has sent
    since unread, it was never taken for idle at all."""
    await field.start()
    relay = field.relays[0]
    deaf = await Client.connect(field.port)
    ours = deaf.writer.get_extra_info("sockname")
    connection = await connection_from(relay, ours)
    assert connection.transport is not None
    for _ in range(1000):  # 60 MB: more than the kernel takes
        if connection.transport.get_write_buffer_size() and (connection.between_requests or sends_on):
            break
        deaf.write("PING", bytes(60_000))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    while sends_on and connection.between_requests:
        deaf.write("PING")
        await asyncio.sleep(0)
    await until(lambda: connection in relay.server.idle)
    open_before = descriptors()
    now = relay.server.now() + clients.MIN_IDLE_S + 1
    relay.server.now = lambda: now
    while connection in relay.server.connections:
        assert relay.server.close_longest_idle()
    for _ in range(clients.ROUNDS):
        await asyncio.sleep(0)
    assert descriptors() < open_before
    deaf.writer.transport.abort()


async def test_a_client_that_ends_its_sending_and_reads_nothing_is_not_kept(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its answers can't be written, so its connection never closed, and as one with work to do it made no room either."""
    monkeypatch.setattr(clients, "LINGER_S", 0.0)
    await field.start()
    relay = field.relays[0]
    deaf = await Client.connect(field.port)
    connection = await connection_from(relay, deaf.writer.get_extra_info("sockname"))
    assert connection.transport is not None
    while not connection.transport.get_write_buffer_size():
        deaf.write("PING", bytes(5000))  # few enough that its end is read still
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    deaf.writer.write_eof()
    await until(lambda: connection not in relay.server.connections)
    deaf.writer.transport.abort()


async def connection_from(relay: Relay, address: tuple[str, int]) -> clients.Connection:
    """The relay's side of a client's connection."""

    def found() -> list[clients.Connection]:
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


async def come_and_stay(port: int) -> None:
    """Clients that connect and say nothing, again as soon as they are shut out."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while await reader.read(100):
                pass
            writer.transport.abort()
        except OSError:
            await asyncio.sleep(0)


async def hand_in(port: int, ref: str) -> None:
    """Among all those: as a client does, again on another connection where one is shut out."""
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
    """Under the kernel's own limit, with discovery away and back: the watch, a notice, a host's connection, new
    segments and the configuration at SIGHUP each find a descriptor."""
    field.limits |= {"sockets": SOCKETS, "disk_mb": 0.1}
    await process.start()
    assert process.child is not None and process.child.stderr is not None
    resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    await field.platform.stop()
    said: list[bytes] = []
    log = asyncio.create_task(_read_log(process.child.stderr, said))
    crowd = [asyncio.create_task(come_and_stay(process.port)) for _ in range(CROWD)]
    try:
        await _work_among(field, process, said)
    finally:
        for task in (*crowd, log):
            task.cancel()
        await asyncio.gather(*crowd, log, return_exceptions=True)
    text = b"".join(said).decode()
    assert "out of system resource" not in text and "Too many open files" not in text and "cannot write" not in text


async def _work_among(field: Field, process: Process, said: list[bytes]) -> None:
    """Deliver messages until the journal has begun new segments; then discovery comes back, and a new configuration."""
    assert process.child is not None
    port = int(field.platform.address.rpartition(":")[2])
    await until(lambda: any(b"too many connections" in line for line in said))
    first, number = newest_segment(field.state), 0
    while newest_segment(field.state) < first + 2:
        number += 1
        await hand_in(process.port, f"m{number}")
        call = await field.host.next_call()
        call.answer(504 if number == 1 else 200, "Connection: close")  # each call needs a connection of its own
        await field.host.next_closing()
    while not field.platform.calls.empty():
        field.platform.calls.get_nowait()
    await field.platform.start(port=port)
    watch = await field.platform.next_watch()
    assert (await field.platform.next_notice())["ref"] == "m1"
    watch.line(listing(42, endpoint(field.host, "s-1"), endpoint(field.host, "s-2")))
    process.child.send_signal(signal.SIGHUP)
    await until(lambda: any(b"configuration read again" in line for line in said))


async def _read_log(stream: asyncio.StreamReader, said: list[bytes]) -> None:
    while line := await stream.readline():
        said.append(line)
