"""A relay passes to a new process while it serves: real processes over loopback, and the states by hand."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import Channel, HandoverSocket
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.snapshot import restore_snapshot, take_snapshot
from tests.helpers import S, settings
from tests.sockets import Client, Field
from tests.test_process import ROOT, Process


class Upgraded(Process):
    """A relay whose process is replaced beside the running one."""

    def __init__(self, field: Field) -> None:
        super().__init__(field)
        field.operators = True
        self.older: list[asyncio.subprocess.Process] = []

    async def replace(self) -> None:
        """Start a new process beside the running one, until it serves."""
        assert self.child is not None
        self.older.append(self.child)
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetrelay",
            cwd=ROOT,
            env={**os.environ, **self.field.environment(self.port)},
            stderr=asyncio.subprocess.PIPE,
        )
        await self.says(b"serves on")

    async def stop(self) -> None:
        for child in (*self.older, *([] if self.child is None else [self.child])):
            if child.returncode is None:
                child.kill()
                await child.wait()


@pytest_asyncio.fixture
async def relay(field: Field) -> AsyncIterator[Upgraded]:
    made = Upgraded(field)
    yield made
    await made.stop()


async def test_nobody_notices(field: Field, relay: Upgraded) -> None:
    """Again and again: a payment is out, a command has come by half, a client stays on its connection."""
    client = await relay.start()
    for n in range(4):
        assert await client.enqueue(f"pay{n}", "unsafe") == b"OK"
        call = await field.host.next_call()
        half = await Client.connect(relay.port)
        assert await half.ask("PING") == b"PONG"
        half.writer.write(b"*5\r\n$7\r\nENQUEUE\r\n$4\r\n0000\r\n")
        await half.writer.drain()
        await relay.replace()
        call.answer(200)  # read by a process that did not ask
        rest = f"$5\r\nhalf{n}\r\n$20\r\nc=safe,d=8000,dest=3\r\n$1\r\nx\r\n"
        half.writer.write(rest.encode())
        assert await half.read() == b"OK"
        (await field.host.next_call()).answer(200)
        assert await client.ask("PING") == b"PONG"  # on the connection that it had from the first process on
        async with asyncio.timeout(20):
            relay.older[-1].send_signal(signal.SIGTERM)
            assert await relay.older[-1].wait() == 0
    assert await relay.end(signal.SIGTERM) == 0
    assert field.host.calls.empty() and field.platform.notices.empty()


async def test_what_is_out_binds_the_new_process(field: Field, relay: Upgraded) -> None:
    """An attempt that fails behind the upgrade is one that may have run, and its end is told once."""
    client = await relay.start()
    assert await client.enqueue("pay", "unsafe") == b"OK"
    call = await field.host.next_call()
    await relay.replace()
    call.answer(500)
    assert await field.platform.next_notice() == {"ref": "pay", "result": "dead"}
    assert field.host.calls.empty()


async def test_old_process_carries_on_when_the_new_one_dies(field: Field, relay: Upgraded) -> None:
    """It is killed as soon as it serves: the old one starts anew from the folder, on its own."""
    client = await relay.start()
    old = relay.child
    assert await client.enqueue("keyed", "keyed") == b"OK"
    first = await field.host.next_call()
    await relay.replace()
    assert relay.child is not None
    relay.child.kill()
    await relay.child.wait()
    relay.child = old
    relay.older.clear()
    await relay.says(b"serves on")
    again = await field.host.next_call()
    assert again.headers["x-request-id"] == first.headers["x-request-id"]
    again.answer(200)
    assert await (await Client.connect(relay.port)).ask("PING") == b"PONG"


@pytest.mark.parametrize("after", ["connect", "hello", "state"])
async def test_old_process_outlives_one_that_fails_on_the_way(field: Field, relay: Upgraded, after: str) -> None:
    """Whoever asks dies before the hello, right behind it, or with the relay in its hands."""
    client = await relay.start()
    assert await client.enqueue("safe") == b"OK"
    await field.host.next_call()
    door = HandoverSocket(field.state)
    channel = door.connect()
    door.close()
    assert channel is not None
    if after != "connect":
        channel.send(p.Hello([p.VERSION]))
    if after == "state":
        frame, descriptors = channel.receive(20)
        assert isinstance(frame, p.State)
        for descriptor in descriptors:
            os.close(descriptor)
    channel.close()
    if after == "connect":
        await relay.says(b"nothing came of it")
        assert await client.ask("PING") == b"PONG"
        return
    await relay.says(b"serves on")
    (await field.host.next_call()).answer(200)  # safe to send again, and it is
    assert await (await Client.connect(relay.port)).ask("PING") == b"PONG"


async def test_another_version_is_refused(field: Field, relay: Upgraded) -> None:
    client = await relay.start()
    door = HandoverSocket(field.state)
    channel = door.connect()
    door.close()
    assert channel is not None
    channel.send(p.Hello([p.VERSION + 1]))
    frame, _ = channel.receive()
    assert isinstance(frame, p.Refused)
    assert await client.ask("PING") == b"PONG"


def test_channel_takes_nothing_on_trust() -> None:
    ours, theirs = socket.socketpair()
    for data in (p.HEAD.pack(1 << 31, 0), p.HEAD.pack(3, 0) + b"abc", p.HEAD.pack(1, 5) + b"x", b"\0\0"):
        theirs.sendall(data)
        if data == b"\0\0":
            theirs.close()
        with pytest.raises(OSError):
            Channel(ours).receive()


def test_each_state_says_who_owns_the_relay() -> None:
    giving = p.SenderState()
    assert giving.hello([2], True) is giving.hello([1], False) is p.Step.REFUSE
    assert giving.hello([1, 2], True) is p.Step.GIVE
    assert giving.lost() is giving.overdue() is giving.stop() is p.Step.SERVE
    assert giving.given() is p.Step.WAIT and giving.owner is p.Owner.NEW
    assert giving.lost() is p.Step.START_ANEW and giving.overdue() is p.Step.END_OTHER
    giving.on_taken()
    assert giving.lost() is p.Step.START_ANEW and giving.overdue() is giving.stop() is p.Step.END
    giving.on_bye()
    assert giving.lost() is p.Step.END


def test_waits_and_slots_pass_on() -> None:
    """A told wait, and a call that is out, bind the next Pacer as if it had heard and sent them."""
    entry = io.HostEntry("a", 0, 0, 1, io.Availability.RUNNING, 0.0)
    roster = io.Roster(io.ListScope.CACHED, (entry,))
    first = Pacer(settings(slots=2), 1)
    first.handle(0, [roster, io.Arrived("told", 0, 0, 1, None, 20 * S)])
    first.handle(S, [io.Verdict("told", 0, "a", io.Status.FULL, S, False, 5 * S, False, None)])
    second = Pacer(settings(slots=2), 1)
    second.handle(S, [roster])
    restore_snapshot(second, take_snapshot(first))
    out = io.Recovered("out", 0, 1, None, 20 * S, 1, None, 0, "a", S)
    sent = [
        a
        for a in second.handle(S, [out, io.Recovered("told", 0, 1, None, 19 * S, 1, None, -1)])
        if isinstance(a, io.Send)
    ]
    assert not sent and len(second.calls) == 1
    actions = second.handle(6 * S - 1, [io.Verdict("out", 0, "a", io.Status.OK, S, True, 0, False, None)])
    assert not [a for a in actions if isinstance(a, io.Send)] and not second.calls
    later = [a for n in range(40) for a in second.handle(6 * S + n * S // 10, []) if isinstance(a, io.Send)]
    assert [a.call for a in later] == ["told"]


async def test_store_of_the_version_landed_before(field: Field, relay: Upgraded) -> None:
    """Left by a kill of the program at e7d5449: a payment, a keyed and a safe message out, one delivered, one failed
    whose notice nobody had acknowledged. All their times are up by now."""
    shutil.copy(Path(__file__).parent / "landed" / "0000000000000001.seg", field.state)
    await relay.start()
    ends = [await field.platform.next_notice() for _ in range(4)]
    assert {end["ref"]: end["result"] for end in ends} == {
        "pay": "dead",
        "key": "dead",
        "safe": "bounced",
        "failed": "dead",
    }
    assert await relay.end(signal.SIGTERM) == 0
    assert field.host.calls.empty() and field.platform.notices.empty()


async def test_process_before_the_last_does_not_take_the_relay_back(field: Field, relay: Upgraded) -> None:
    """Two upgrades in a row, and nobody has ended the first process: that the second one goes is no death to it."""
    client = await relay.start()
    await relay.replace()
    await relay.replace()
    async with asyncio.timeout(5):  # far less than the time that it would go on answering staff
        assert await relay.older[0].wait() == 0
    relay.older[1].send_signal(signal.SIGTERM)
    assert await relay.older[1].wait() == 0
    assert await client.ask("PING") == b"PONG" and relay.child is not None and relay.child.returncode is None


def hello(field: Field) -> p.Frame:
    """What a new process is answered."""
    door = HandoverSocket(field.state)
    channel = door.connect()
    door.close()
    assert channel is not None
    channel.send(p.Hello([p.VERSION]))
    frame, descriptors = channel.receive(20)
    for descriptor in descriptors:
        os.close(descriptor)
    channel.close()
    return frame


async def test_one_that_stops_is_not_handed_over(field: Field, relay: Upgraded) -> None:
    client = await relay.start()
    assert await client.enqueue("held") == b"OK"
    await field.host.next_call()  # it has something to wait for
    await relay.send(signal.SIGTERM, b"stopping")
    frame = await asyncio.to_thread(hello, field)
    assert isinstance(frame, p.Refused) and "stopping" in frame.why


async def test_folder_that_takes_no_records_is_not_handed_over(field: Field) -> None:
    """A new process could not put on record what it does either; the old one goes on with what it has."""
    field.operators = True
    await field.start()
    field.relays[0].journal.write_failed = True
    frame = await asyncio.to_thread(hello, field)
    assert isinstance(frame, p.Refused) and "no records" in frame.why


async def test_limit_of_memory_that_does_not_bear_both(field: Field) -> None:
    field.operators = True
    field.limits["memory_mb"] = 20
    await field.start()
    frame = await asyncio.to_thread(hello, field)
    assert isinstance(frame, p.Refused) and "MB do not bear both" in frame.why


async def test_of_two_upgrades_at_once_one_comes_about(field: Field, relay: Upgraded) -> None:
    client = await relay.start()
    assert await client.enqueue("pay", "unsafe") == b"OK"
    call = await field.host.next_call()
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetrelay",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **field.environment(relay.port)},
        )
        for _ in range(2)
    ]
    relay.older += children
    logs = [asyncio.create_task(_first(child, (b"serves on", b"cannot start"))) for child in children]
    said = sorted([await log for log in logs])
    # One after the other is right as well: the second has the relay from the first then.
    assert said in ([b"cannot start", b"serves on"], [b"serves on", b"serves on"])
    call.answer(200)
    assert await client.ask("PING") == b"PONG" and await client.enqueue("after") == b"OK"
    (await field.host.next_call()).answer(200)
    assert field.platform.notices.empty()


async def _first(child: asyncio.subprocess.Process, texts: tuple[bytes, ...]) -> bytes:
    """The first of these that a process says."""
    assert child.stderr is not None
    async with asyncio.timeout(20):
        while line := await child.stderr.readline():
            for text in texts:
                if text in line:
                    return text
    return b""
