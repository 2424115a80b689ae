"""Three controllers in this process, with real sockets and files, asked by hand."""

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
from garnetrelay.fleet.lease_datagrams import Datagrams
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.messages import Acquire, Answer, Grant, Message, Record, Renew, Session
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.operators.commands import CommandRefusedError
from tests.sockets import until

PATIENCE = 20.0
SECRET = b"a secret of the tests"
SESSION = Session("r1", 77)


def free_places(count: int) -> list[SocketAddress]:
    """Ports that the kernel picks."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    places = [SocketAddress(*each.getsockname()) for each in sockets]
    for each in sockets:
        each.close()
    return places


class Log(logging.Handler):
    """Tells of lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.news = asyncio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())
        self.news.set()

    async def wait_for(self, text: str, count: int = 1) -> None:
        async with asyncio.timeout(PATIENCE):
            while sum(text in line for line in self.lines) < count:
                self.news.clear()
                await self.news.wait()


class Asker:
    """A relay, by hand."""

    def __init__(self) -> None:
        self.answers: asyncio.Queue[Message] = asyncio.Queue()
        self.datagrams = Datagrams(Codec([SECRET]), lambda message, source: self.answers.put_nowait(message))
        self.datagrams.start(SocketAddress("127.0.0.1", 0))
        self.number = 0

    async def ask(self, place: SocketAddress, message: Message) -> Answer:
        self.datagrams.send(place, message)
        async with asyncio.timeout(PATIENCE):
            answer = await self.answers.get()
        assert isinstance(answer, Answer)
        return answer

    async def acquire(self, process: ControllerProcess, *grants: Grant) -> Answer:
        self.number += 1
        terms = process.config.settings.fingerprint
        place = process.config.addresses[process.config.number]
        return await self.ask(place, Acquire(SESSION, self.number, 0, terms, list(grants)))


class Trio:
    """Three controllers, and what came of them."""

    def __init__(
        self, processes: list[ControllerProcess], runs: list[asyncio.Task[None]], asker: Asker, log: Log
    ) -> None:
        self.processes, self.runs, self.asker, self.log = processes, runs, asker, log


@asynccontextmanager
async def running(folder: Path) -> AsyncIterator[Trio]:
    places = free_places(3)
    (folder / "secret").write_bytes(SECRET)
    log = Log()
    logging.getLogger("garnetrelay.fleet").addHandler(log)
    logging.getLogger("garnetrelay.fleet").setLevel(logging.INFO)
    processes = []
    for number, place in enumerate(places):
        path = folder / f"c{number}.toml"
        path.write_text(
            f'number = {number}\nlisten = "{place}"\ncontrollers = {[str(each) for each in places]}\n'
            f'folder = "c{number}"\nsecret_file = "secret"\npartitions = 8\nlease_ms = 500\n'
        )
        config = options.read(path)
        RecordsFile(config.folder, number, 8, config.settings.lease).initialize()
        processes.append(ControllerProcess(config))
    runs = [asyncio.create_task(process.run()) for process in processes]
    asker = Asker()
    try:
        await log.wait_for("ready: ", 3)
        yield Trio(processes, runs, asker, log)
    finally:
        logging.getLogger("garnetrelay.fleet").removeHandler(log)
        asker.datagrams.close()
        for process in processes:
            process._finished.set()
        await asyncio.wait(runs)


def on_disk(process: ControllerProcess) -> list[Record] | None:
    """What a start would find there, once the process has let go of its folder."""
    records = RecordsFile(process.config.folder, process.config.number, 8, process.config.settings.lease)
    try:
        return records.open()
    finally:
        records.close()


async def test_a_grant_is_on_disk_before_it_is_said(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = RecordsFile.append
    order: list[str] = []

    def noted(self: RecordsFile, records: Iterable[Record]) -> None:
        real(self, records)
        order.append("written")

    monkeypatch.setattr(RecordsFile, "append", noted)
    async with running(tmp_path) as trio:
        first = trio.processes[0]
        answer = await trio.asker.acquire(first, Grant(3, 1), Grant(4, 1))
        order.append("said")
        assert answer.granted == [Grant(3, 1), Grant(4, 1)] and order == ["written", "said"]
        figures = OperatorCommands(first).metrics()
        for line in ("ready 1", "granted 2", "records_written 2", 'messages_in{kind="acquire"} 1', "writes_failed 0"):
            assert f"controller_{line}\n" in figures
    assert on_disk(first) == [Record(3, 1, "r1", 77), Record(4, 1, "r1", 77)]


async def test_a_full_disk_grants_nothing_and_loses_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(self: object, name: str, size: int, tail: bytes) -> None:
        if tail:
            raise OSError(errno.ENOSPC, "No space left on device")

    async with running(tmp_path) as trio:
        first = trio.processes[0]
        with monkeypatch.context() as patched:
            patched.setattr("garnetrelay.store.storage.Folder.cut", full)
            answer = await trio.asker.acquire(first, Grant(3, 1))
            assert not answer.granted and [refusal.partition for refusal in answer.refused] == [3]
            assert any("records not written: No space left on device" in line for line in trio.log.lines)
            assert "controller_writes_failed 1\n" in OperatorCommands(first).metrics()
        assert (await trio.asker.acquire(first, Grant(3, 2))).granted == [Grant(3, 2)]
    assert on_disk(first) == [Record(3, 2, "r1", 77)]


async def test_a_file_of_which_nothing_is_sure_ends_the_process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(self: object, name: str, size: int, tail: bytes) -> None:
        raise OSError(errno.EIO, "Input/output error")

    async with running(tmp_path) as trio:
        first = trio.processes[0]
        monkeypatch.setattr("garnetrelay.store.storage.Folder.cut", fails)
        trio.asker.datagrams.send(
            first.config.addresses[0], Acquire(SESSION, 1, 0, first.config.settings.fingerprint, [Grant(3, 1)])
        )
        async with asyncio.timeout(PATIENCE):
            await asyncio.wait([trio.runs[0]])
        with pytest.raises(RecordsStateUnknownError, match="can't be undone"):
            trio.runs[0].result()
        assert trio.asker.answers.empty()


async def test_what_is_none_of_its_business_is_counted_and_changes_nothing(tmp_path: Path) -> None:
    async with running(tmp_path) as trio:
        first = trio.processes[0]
        place, terms = first.config.addresses[0], first.config.settings.fingerprint
        trio.asker.datagrams.send(place, Answer(1, 2, 3, True, True, [], []))
        trio.asker.datagrams.codec = Codec([b"a secret of somebody else"])
        trio.asker.datagrams.send(place, Acquire(SESSION, 1, 0, terms, [Grant(3, 1)]))
        trio.asker.datagrams.codec = Codec([SECRET])
        other = await trio.asker.ask(place, Acquire(SESSION, 2, 0, terms + 1, [Grant(3, 1)]))
        assert not other.accepted and not other.granted
        assert any("has other controllers, partitions, lease or rate error" in line for line in trio.log.lines)
        assert first.datagrams.refused == {"misdirected": 1, "secret": 1}
        answer = await trio.asker.ask(
            place, Renew(SESSION, 3, first.controller.boot if first.controller else 0, terms, 0, 0)
        )
        assert answer.accepted
        commands = OperatorCommands(first)
        commands.health()
        with pytest.raises(CommandRefusedError):
            commands.fleet(["MEMBERS"])
        with pytest.raises(CommandRefusedError):
            commands.exclude("s-1", True)


async def test_what_comes_while_a_write_runs_shares_the_next_one(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = RecordsFile.append
    begun, may_end = asyncio.Event(), threading.Event()
    loop = asyncio.get_running_loop()

    def held_up(self: RecordsFile, records: Iterable[Record]) -> None:
        loop.call_soon_threadsafe(begun.set)
        assert may_end.wait(PATIENCE)
        real(self, records)

    monkeypatch.setattr(RecordsFile, "append", held_up)
    async with running(tmp_path) as trio:
        first = trio.processes[0]
        place, terms = first.config.addresses[0], first.config.settings.fingerprint
        for partition in range(8):
            message = Acquire(Session(f"r{partition}", 1), 1, 0, terms, [Grant(partition, 1)])
            trio.asker.datagrams.send(place, message)
            async with asyncio.timeout(PATIENCE):
                await begun.wait()
        await until(lambda: first.metrics.received["acquire"] == 8)
        may_end.set()
        granted = []
        async with asyncio.timeout(PATIENCE):
            for _ in range(8):
                answer = await trio.asker.answers.get()
                assert isinstance(answer, Answer)
                granted += answer.granted
        assert sorted(granted) == [Grant(partition, 1) for partition in range(8)]
        assert (first.metrics.writes, first.metrics.records_written) == (2, 8)
    found = on_disk(first)
    assert found is not None and sorted(record.partition for record in found) == list(range(8))
