"""A handover interrupted at every step, by killing either process or both: the folder and the remaining process always
recover one relay. An unsafe message is called once and ends once; one that may be sent again is delivered."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.handover.cut import NEW, OLD
from tests.sockets import Client, Field
from tests.test_process import ROOT

TIMEOUT_S = 30.0


class Pair:
    """Two processes of one relay, each with its own address for operators."""

    def __init__(self, field: Field) -> None:
        self.field = field
        self.port, *self.operator_ports = (field.free_port() for _ in range(4))
        self.children: list[asyncio.subprocess.Process] = []

    async def start(self, point: str = "") -> asyncio.subprocess.Process:
        arguments = ["tests.handover.cut", point] if point else ["garnetrelay"]
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={
                **os.environ,
                **self.field.environment(self.port),
                "RELAY_OPS": f"127.0.0.1:{self.operator_ports[len(self.children)]}",
            },
        )
        self.children.append(child)
        return child

    async def serves(self) -> None:
        """Wait until one of the processes answers clients."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    async with asyncio.timeout(1.0):  # a process that hangs in a handover accepts no connection
                        client = await Client.connect(self.port)
                        if await client.ask("PING") == b"PONG":
                            return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.01)

    async def pending(self) -> int:
        """The number of pending messages of the process that serves."""
        for port, child in zip(self.operator_ports, self.children, strict=False):
            if child.returncode is None:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"DUMP\n")
                    text = (await reader.read()).decode()
                    writer.close()
                except OSError:  # it is restarting
                    return 1
                found = int(text.partition("relay_in_flight ")[2].split()[0])
                if found:
                    return found
        return 0

    async def stop(self) -> None:
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()


@pytest_asyncio.fixture
async def pair(field: Field) -> AsyncIterator[Pair]:
    made = Pair(field)
    yield made
    await made.stop()


async def interrupt_upgrade(field: Field, pair: Pair, old_cut: str, new_cut: str, kill_both: bool) -> None:
    """Interrupt one upgrade, then check how every message ends."""
    for klass in field.facts["classes"]:
        klass["aim"] = 6 * 10**9  # a call that times out during a slow start would close the idle connection too
    old = await pair.start(old_cut)
    await pair.serves()
    client = await Client.connect(pair.port)
    calls = []
    for ref, klass in (("first", "safe"), ("pay", "unsafe"), ("key", "keyed")):
        assert await client.enqueue(ref, klass) == b"OK"
        calls.append(await field.host.next_call())
    calls.pop(0).answer(200)  # sent before the others, so that none of them counts as stuck; leaves an idle connection
    async with asyncio.timeout(TIMEOUT_S):
        while await pair.pending() > 2:
            await asyncio.sleep(0.01)
    new = await pair.start(new_cut)
    cut, other = (old, new) if old_cut else (new, old)
    hangs = new_cut.endswith("hang")
    if not hangs:
        async with asyncio.timeout(TIMEOUT_S):
            assert await cut.wait() == -signal.SIGKILL
    if kill_both:
        other.kill()
        await other.wait()
        await pair.start()
    await pair.serves()
    if hangs:
        assert await new.wait() == -signal.SIGKILL  # the old process has killed it

    seen = Counter({"pay": 1, "key": 1})
    for call in calls:
        call.answer(200)  # read by the process that has the connection, or by none

    async def answer() -> None:
        while True:
            call = await field.host.calls.get()
            seen[call.headers.get("x-request-id", "a probe")] += 1
            call.answer(200)

    answering = asyncio.create_task(answer())
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while await pair.pending():
                await asyncio.sleep(0.01)
        assert await (await Client.connect(pair.port)).enqueue("after", "unsafe") == b"OK"
        async with asyncio.timeout(TIMEOUT_S):
            while not seen["after"] or await pair.pending():
                await asyncio.sleep(0.01)
    finally:
        answering.cancel()
    assert seen["pay"] == seen["after"] == 1, seen
    ends = [field.platform.notices.get_nowait() for _ in range(field.platform.notices.qsize())]
    late = {"key"} if hangs else set()  # its repeat window closed while no process served
    assert all(end["ref"] in {"pay", *late} and end["result"] == "dead" for end in ends), ends
    assert len({end["ref"] for end in ends}) == len(ends), ends


@pytest.mark.parametrize("kill_both", [False, True], ids=["one", "both"])
@pytest.mark.parametrize("point", OLD)
async def test_old_process_killed(field: Field, pair: Pair, point: str, kill_both: bool) -> None:
    await interrupt_upgrade(field, pair, point, "", kill_both)


@pytest.mark.parametrize("kill_both", [False, True], ids=["one", "both"])
@pytest.mark.parametrize("point", NEW)
async def test_new_process_killed(field: Field, pair: Pair, point: str, kill_both: bool) -> None:
    await interrupt_upgrade(field, pair, "", point, kill_both)


async def test_new_process_hangs(field: Field, pair: Pair) -> None:
    await interrupt_upgrade(field, pair, "", "send:Taken:hang", False)
