"""Three controllers in this process, with real sockets and files; a test sends the requests."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import threading
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from garnetrelay.config import controller as options
from garnetrelay.fleet.controller.process import ControllerProcess, OperatorCommands
from garnetrelay.fleet.controller.records_file import RecordsFile, RecordsStateUnknownError
from garnetrelay.fleet.lease_datagrams import DatagramEndpoint
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.messages import Acquire, Answer, Grant, Message, Record, Renew, Session
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.operators.commands import CommandRefusedError
from tests.sockets import until

PATIENCE = 20.0
SECRET = b"a secret of the tests"
SESSION = Session("r1", 77)


def free_addresses(count: int) -> list[SocketAddress]:
    """Returns addresses with ports that the kernel chose."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    addresses = [SocketAddress(*each.getsockname()) for each in sockets]
    for each in sockets:
        each.close()
    return addresses


class Log(logging.Handler):
    """Collects log lines, and wakes tests that wait for one."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.line_added = asyncio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())
        self.line_added.set()

    async def wait_for(self, text: str, count: int = 1) -> None:
        async with asyncio.timeout(PATIENCE):
            while sum(text in line for line in self.lines) < count:
                self.line_added.clear()
                await self.line_added.wait()


class Client:
    """A relay whose requests the test sends."""

    def __init__(self) -> None:
        self.answers: asyncio.Queue[Message] = asyncio.Queue()
        self.datagrams = DatagramEndpoint(Codec([SECRET]), lambda message, source: self.answers.put_nowait(message))
        self.datagrams.start(SocketAddress("127.0.0.1", 0))
        self.number = 0

    async def request(self, address: SocketAddress, message: Message) -> Answer:
        self.datagrams.send(address, message)
        async with asyncio.timeout(PATIENCE):
            answer = await self.answers.get()
        assert isinstance(answer, Answer)
        return answer

    async def acquire(self, process: ControllerProcess, *grants: Grant) -> Answer:
        self.number += 1
        fingerprint = process.config.settings.fingerprint
        address = process.config.addresses[process.config.number]
        return await self.request(address, Acquire(SESSION, self.number, 0, fingerprint, list(grants)))


class Controllers:
    """Three running controllers, their tasks, a client and the log."""

    def __init__(
        self, processes: list[ControllerProcess], tasks: list[asyncio.Task[None]], client: Client, log: Log
    ) -> None:
        self.processes, self.tasks, self.client, self.log = processes, tasks, client, log


@asynccontextmanager
async def running(folder: Path) -> AsyncIterator[Controllers]:
    addresses = free_addresses(3)
    (folder / "secret").write_bytes(SECRET)
    log = Log()
    logging.getLogger("garnetrelay.fleet").addHandler(log)
    logging.getLogger("garnetrelay.fleet").setLevel(logging.INFO)
    processes = []
    for number, address in enumerate(addresses):
        path = folder / f"c{number}.toml"
        path.write_text(
            f'number = {number}\nlisten = "{address}"\ncontrollers = {[str(each) for each in addresses]}\n'
            f'folder = "c{number}"\nsecret_file = "secret"\npartitions = 8\nlease_ms = 500\n'
        )
        config = options.read(path)
        RecordsFile(config.folder, number, 8, config.settings.lease).initialize()
        processes.append(ControllerProcess(config))
    tasks = [asyncio.create_task(process.run()) for process in processes]
    client = Client()
    try:
        await log.wait_for("ready: ", 3)
        yield Controllers(processes, tasks, client, log)
    finally:
        logging.getLogger("garnetrelay.fleet").removeHandler(log)
        client.datagrams.close()
        for process in processes:
            process._finished.set()
        await asyncio.wait(tasks)


def on_disk(process: ControllerProcess) -> list[Record] | None:
    """Returns what a start would read after the process has released its folder."""
    records = RecordsFile(process.config.folder, process.config.number, 8, process.config.settings.lease)
    try:
        return records.open()
    finally:
        records.close()


async def test_a_grant_is_on_disk_before_it_is_answered(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = RecordsFile.append
    order: list[str] = []

    def recording_append(self: RecordsFile, records: Iterable[Record]) -> None:
        real(self, records)
        order.append("written")

    monkeypatch.setattr(RecordsFile, "append", recording_append)
    async with running(tmp_path) as cluster:
        first = cluster.processes[0]
        answer = await cluster.client.acquire(first, Grant(3, 1), Grant(4, 1))
        order.append("answered")
        assert answer.granted == [Grant(3, 1), Grant(4, 1)] and order == ["written", "answered"]
        metrics = OperatorCommands(first).metrics()
        for line in ("ready 1", "granted 2", "records_written 2", 'messages_in{kind="acquire"} 1', "writes_failed 0"):
            assert f"controller_{line}\n" in metrics
    assert on_disk(first) == [Record(3, 1, "r1", 77), Record(4, 1, "r1", 77)]


async def test_a_full_disk_grants_nothing_and_loses_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def no_space(self: object, name: str, size: int, tail: bytes) -> None:
        if tail:
            raise OSError(errno.ENOSPC, "No space left on device")

    async with running(tmp_path) as cluster:
        first = cluster.processes[0]
        with monkeypatch.context() as patched:
            patched.setattr("garnetrelay.store.storage.Folder.cut", no_space)
            answer = await cluster.client.acquire(first, Grant(3, 1))
            assert not answer.granted and [refusal.partition for refusal in answer.refused] == [3]
            assert any("records not written: No space left on device" in line for line in cluster.log.lines)
            assert "controller_writes_failed 1\n" in OperatorCommands(first).metrics()
        assert (await cluster.client.acquire(first, Grant(3, 2))).granted == [Grant(3, 2)]
    assert on_disk(first) == [Record(3, 2, "r1", 77)]


async def test_a_file_in_an_unknown_state_ends_the_process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(self: object, name: str, size: int, tail: bytes) -> None:
        raise OSError(errno.EIO, "Input/output error")

    async with running(tmp_path) as cluster:
        first = cluster.processes[0]
        monkeypatch.setattr("garnetrelay.store.storage.Folder.cut", fails)
        cluster.client.datagrams.send(
            first.config.addresses[0], Acquire(SESSION, 1, 0, first.config.settings.fingerprint, [Grant(3, 1)])
        )
        async with asyncio.timeout(PATIENCE):
            await asyncio.wait([cluster.tasks[0]])
        with pytest.raises(RecordsStateUnknownError, match="can't be undone"):
            cluster.tasks[0].result()
        assert cluster.client.answers.empty()


async def test_invalid_messages_are_counted_and_change_nothing(tmp_path: Path) -> None:
    async with running(tmp_path) as cluster:
        first = cluster.processes[0]
        address, fingerprint = first.config.addresses[0], first.config.settings.fingerprint
        cluster.client.datagrams.send(address, Answer(1, 2, 3, True, True, [], []))
        cluster.client.datagrams.codec = Codec([b"a secret of somebody else"])
        cluster.client.datagrams.send(address, Acquire(SESSION, 1, 0, fingerprint, [Grant(3, 1)]))
        cluster.client.datagrams.codec = Codec([SECRET])
        other = await cluster.client.request(address, Acquire(SESSION, 2, 0, fingerprint + 1, [Grant(3, 1)]))
        assert not other.accepted and not other.granted
        assert any("has other controllers, partitions, lease or rate error" in line for line in cluster.log.lines)
        assert first.datagrams.refused == {"misdirected": 1, "secret": 1}
        answer = await cluster.client.request(
            address, Renew(SESSION, 3, first.controller.boot if first.controller else 0, fingerprint, 0, 0)
        )
        assert answer.accepted
        commands = OperatorCommands(first)
        commands.health()
        with pytest.raises(CommandRefusedError):
            commands.fleet(["MEMBERS"])
        with pytest.raises(CommandRefusedError):
            commands.exclude("s-1", True)


async def test_requests_during_a_write_share_the_next_write(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = RecordsFile.append
    write_started, may_continue = asyncio.Event(), threading.Event()
    loop = asyncio.get_running_loop()

    def delayed_append(self: RecordsFile, records: Iterable[Record]) -> None:
        loop.call_soon_threadsafe(write_started.set)
        assert may_continue.wait(PATIENCE)
        real(self, records)

    monkeypatch.setattr(RecordsFile, "append", delayed_append)
    async with running(tmp_path) as cluster:
        first = cluster.processes[0]
        address, fingerprint = first.config.addresses[0], first.config.settings.fingerprint
        for partition in range(8):
            message = Acquire(Session(f"r{partition}", 1), 1, 0, fingerprint, [Grant(partition, 1)])
            cluster.client.datagrams.send(address, message)
            async with asyncio.timeout(PATIENCE):
                await write_started.wait()
        await until(lambda: first.metrics.received["acquire"] == 8)
        may_continue.set()
        granted = []
        async with asyncio.timeout(PATIENCE):
            for _ in range(8):
                answer = await cluster.client.answers.get()
                assert isinstance(answer, Answer)
                granted += answer.granted
        assert sorted(granted) == [Grant(partition, 1) for partition in range(8)]
        assert (first.metrics.writes, first.metrics.records_written) == (2, 8)
    found = on_disk(first)
    assert found is not None and sorted(record.partition for record in found) == list(range(8))
