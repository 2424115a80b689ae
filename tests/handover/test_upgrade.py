"""Handover of a serving relay to a new process: real processes over loopback, and the state machine by itself."""

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
    """A relay whose running process can be replaced by a new one."""

    def __init__(self, field: Field) -> None:
        super().__init__(field)
        field.operators = True
        self.older: list[asyncio.subprocess.Process] = []

    async def replace(self) -> None:
        """Start a new process beside the running one, and wait until it serves."""
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


async def test_upgrades_go_unnoticed(field: Field, relay: Upgraded) -> None:
    """Four upgrades in a row, each with an unsafe call in flight, half a command received, and a client connected."""
    client = await relay.start()
    for n in range(4):
        assert await client.enqueue(f"pay{n}", "unsafe") == b"OK"
        call = await field.host.next_call()
        half = await Client.connect(relay.port)
        assert await half.ask("PING") == b"PONG"
        half.writer.write(b"*5\r\n$7\r\nENQUEUE\r\n$4\r\n0000\r\n")
        await half.writer.drain()
        await relay.replace()
        call.answer(200)  # read by a process that did not send the request
        rest = f"$5\r\nhalf{n}\r\n$20\r\nc=safe,d=8000,dest=3\r\n$1\r\nx\r\n"
        half.writer.write(rest.encode())
        assert await half.read() == b"OK"
        (await field.host.next_call()).answer(200)
        assert await client.ask("PING") == b"PONG"  # on its connection to the first process
        async with asyncio.timeout(20):
            relay.older[-1].send_signal(signal.SIGTERM)
            assert await relay.older[-1].wait() == 0
    assert await relay.end(signal.SIGTERM) == 0
    assert field.host.calls.empty() and field.platform.notices.empty()


async def test_a_call_in_flight_is_known_to_the_new_process(field: Field, relay: Upgraded) -> None:
    """An attempt that fails after the upgrade may have run, and the end of its message is notified once."""
    client = await relay.start()
    assert await client.enqueue("pay", "unsafe") == b"OK"
    call = await field.host.next_call()
    await relay.replace()
    call.answer(500)
    assert await field.platform.next_notice() == {"ref": "pay", "result": "dead"}
    assert field.host.calls.empty()


async def test_old_process_resumes_when_the_new_one_dies(field: Field, relay: Upgraded) -> None:
    """The new process is killed as soon as it serves: the old one restarts from the folder by itself."""
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
async def test_old_process_survives_a_new_one_that_fails_during_the_handover(
    field: Field, relay: Upgraded, after: str
) -> None:
    """The new process dies before HELLO, right after it, or after it has received the state."""
    client = await relay.start()
    assert await client.enqueue("safe") == b"OK"
    await field.host.next_call()
    handover_socket = HandoverSocket(field.state)
    channel = handover_socket.connect()
    handover_socket.close()
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
    (await field.host.next_call()).answer(200)  # it may be sent again, and is
    assert await (await Client.connect(relay.port)).ask("PING") == b"PONG"


async def test_another_version_is_refused(field: Field, relay: Upgraded) -> None:
    client = await relay.start()
    handover_socket = HandoverSocket(field.state)
    channel = handover_socket.connect()
    handover_socket.close()
    assert channel is not None
    channel.send(p.Hello([p.VERSION + 1]))
    frame, _ = channel.receive()
    assert isinstance(frame, p.Refused)
    assert await client.ask("PING") == b"PONG"


def test_channel_rejects_malformed_frames() -> None:
    ours, theirs = socket.socketpair()
    for data in (p.HEAD.pack(1 << 31, 0), p.HEAD.pack(3, 0) + b"abc", p.HEAD.pack(1, 5) + b"x", b"\0\0"):
        theirs.sendall(data)
        if data == b"\0\0":
            theirs.close()
        with pytest.raises(OSError):
            Channel(ours).receive()


def test_sender_state_returns_the_next_step_and_the_owner() -> None:
    state = p.SenderState()
    assert state.on_hello([2], True) is state.on_hello([1], False) is p.SenderStep.REFUSE
    assert state.on_hello([1, 2], True) is p.SenderStep.TRANSFER
    assert state.on_lost() is state.on_timeout() is state.on_stop() is p.SenderStep.SERVE
    assert state.on_transfer() is p.SenderStep.WAIT and state.owner is p.Owner.NEW
    assert state.on_lost() is p.SenderStep.RESTART and state.on_timeout() is p.SenderStep.KILL_NEW_PROCESS
    state.on_taken()
    assert state.on_lost() is p.SenderStep.RESTART and state.on_timeout() is state.on_stop() is p.SenderStep.END
    state.on_bye()
    assert state.on_lost() is p.SenderStep.END


def test_waits_and_slots_are_handed_over() -> None:
    """The next Pacer respects a wait that a host asked for and a call in flight, as if both were its own."""
    entry = io.HostEntry("a", 0, 0, 1, io.Availability.RUNNING, 0.0)
    roster = io.Roster(io.ListScope.CACHED, (entry,))
    first = Pacer(settings(slots=2), 1)
    first.handle(0, [roster, io.Arrived("waiting", 0, 0, 1, None, 20 * S)])
    first.handle(S, [io.Verdict("waiting", 0, "a", io.Status.FULL, S, False, 5 * S, False, None)])
    second = Pacer(settings(slots=2), 1)
    second.handle(S, [roster])
    restore_snapshot(second, take_snapshot(first))
    out = io.Recovered("out", 0, 1, None, 20 * S, 1, None, 0, "a", S)
    sent = [
        a
        for a in second.handle(S, [out, io.Recovered("waiting", 0, 1, None, 19 * S, 1, None, -1)])
        if isinstance(a, io.Send)
    ]
    assert not sent and len(second.calls) == 1
    actions = second.handle(6 * S - 1, [io.Verdict("out", 0, "a", io.Status.OK, S, True, 0, False, None)])
    assert not [a for a in actions if isinstance(a, io.Send)] and not second.calls
    later = [a for n in range(40) for a in second.handle(6 * S + n * S // 10, []) if isinstance(a, io.Send)]
    assert [a.call for a in later] == ["waiting"]


async def test_journal_of_the_earlier_version_is_read(field: Field, relay: Upgraded) -> None:
    """The journal was left by a kill of the program at e7d5449: an unsafe, a keyed and a safe message with calls in
    flight, one delivered, and one failed whose notice was not acknowledged. All their deadlines have passed by now."""
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


async def test_first_process_does_not_take_the_relay_back_when_the_second_ends(field: Field, relay: Upgraded) -> None:
    """Two upgrades in a row while the first process still runs: it must not take the end of the second for a crash."""
    client = await relay.start()
    await relay.replace()
    await relay.replace()
    async with asyncio.timeout(5):  # far less than the time for which it would go on serving operators
        assert await relay.older[0].wait() == 0
    relay.older[1].send_signal(signal.SIGTERM)
    assert await relay.older[1].wait() == 0
    assert await client.ask("PING") == b"PONG" and relay.child is not None and relay.child.returncode is None


def answer_to_hello(field: Field) -> p.Frame:
    """The first frame of the answer to a new process."""
    handover_socket = HandoverSocket(field.state)
    channel = handover_socket.connect()
    handover_socket.close()
    assert channel is not None
    channel.send(p.Hello([p.VERSION]))
    frame, descriptors = channel.receive(20)
    for descriptor in descriptors:
        os.close(descriptor)
    channel.close()
    return frame


async def test_a_stopping_relay_is_not_handed_over(field: Field, relay: Upgraded) -> None:
    client = await relay.start()
    assert await client.enqueue("pending") == b"OK"
    await field.host.next_call()  # its stop has to wait for this call
    await relay.send(signal.SIGTERM, b"stopping")
    frame = await asyncio.to_thread(answer_to_hello, field)
    assert isinstance(frame, p.Refused) and "stopping" in frame.reason


async def test_a_relay_whose_folder_accepts_no_records_is_not_handed_over(field: Field) -> None:
    """A new process could not write records either; the old one goes on with its pending messages."""
    field.operators = True
    await field.start()
    field.relays[0].journal.write_failed = True
    frame = await asyncio.to_thread(answer_to_hello, field)
    assert isinstance(frame, p.Refused) and "no records" in frame.reason


async def test_a_memory_limit_too_small_for_both_processes_refuses_the_handover(field: Field) -> None:
    field.operators = True
    field.limits["memory_mb"] = 20
    await field.start()
    frame = await asyncio.to_thread(answer_to_hello, field)
    assert isinstance(frame, p.Refused) and "MB are too little for both processes" in frame.reason


async def test_of_two_concurrent_upgrades_one_succeeds(field: Field, relay: Upgraded) -> None:
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
    outcomes = sorted([await log for log in logs])
    # One after the other is right as well: the second then takes the relay over from the first.
    assert outcomes in ([b"cannot start", b"serves on"], [b"serves on", b"serves on"])
    call.answer(200)
    assert await client.ask("PING") == b"PONG" and await client.enqueue("after") == b"OK"
    (await field.host.next_call()).answer(200)
    assert field.platform.notices.empty()


async def _first(child: asyncio.subprocess.Process, texts: tuple[bytes, ...]) -> bytes:
    """The first of these texts in the log of a process."""
    assert child.stderr is not None
    async with asyncio.timeout(20):
        while line := await child.stderr.readline():
            for text in texts:
                if text in line:
                    return text
    return b""
