"""SIGHUP between a handover and the end of the old process: the platform knows that process as the relay."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import Channel, HandoverSocket
from garnetrelay.rehearsal.scripted_peers import ScriptedPlatform
from tests.handover.test_upgrade import Upgraded
from tests.sockets import Field, endpoint, host_list_json


@pytest_asyncio.fixture
async def relay(field: Field) -> AsyncIterator[Upgraded]:
    made = Upgraded(field)
    yield made
    await made.stop()


@pytest_asyncio.fixture
async def moved() -> AsyncIterator[ScriptedPlatform]:
    """The platform at the address that the new configuration names."""
    platform = ScriptedPlatform()
    await platform.start()
    yield platform
    await platform.stop()


class NewProcess:
    """This test as the new process of an upgrade: it takes the relay over, and does not serve."""

    def __init__(self, field: Field) -> None:
        handover_socket = HandoverSocket(field.state)
        channel = handover_socket.connect()
        handover_socket.close()
        assert channel is not None
        self.channel: Channel = channel
        self.descriptors: list[int] = []
        self.sighups: asyncio.Queue[int] = asyncio.Queue()

    def take_over(self) -> None:
        self.channel.send(p.Hello([p.VERSION]))
        frame: p.Frame | None = None
        while not isinstance(frame, p.End):
            frame, descriptors = self.channel.receive(20)
            self.descriptors += descriptors

    def die(self) -> None:
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.channel.close()


def write_moved_configuration(field: Field, relay: Upgraded, moved: ScriptedPlatform) -> None:
    first, field.platform = field.platform, moved
    field.environment(relay.port)
    field.platform = first


async def follow(moved: ScriptedPlatform, field: Field) -> None:
    """Answer the watch that the relay opens at the new address."""
    watch = await moved.next_watch()
    watch.line(host_list_json(50, endpoint(field.host), snapshot=True))


async def test_sighup_to_the_old_process_moves_the_new_one(
    field: Field, relay: Upgraded, moved: ScriptedPlatform
) -> None:
    """It was dropped, and notices went to the old address for good."""
    client = await relay.start()
    await relay.replace()
    write_moved_configuration(field, relay, moved)
    for _ in range(2):
        relay.older[0].send_signal(signal.SIGHUP)
    await follow(moved, field)
    await relay.says(b"whole list, version 50")
    await field.platform.stop()
    assert await client.enqueue("pay", "unsafe") == b"OK"
    (await field.host.next_call()).answer(500)
    assert await moved.next_notice() == {"ref": "pay", "result": "dead"}


@pytest.mark.parametrize("environment", ["without", "with"])
async def test_sighups_before_the_new_process_serves_and_its_death(
    field: Field, relay: Upgraded, moved: ScriptedPlatform, environment: str
) -> None:
    """Each is passed on, and if the new process dies, the old one starts again with the address that the file names. What
    RELAY_DISCOVERY said at its start is older than that."""
    await relay.start({"RELAY_DISCOVERY": field.platform.address} if environment == "with" else None)
    assert relay.child is not None
    new = NewProcess(field)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, new.sighups.put_nowait, signal.SIGHUP)
    try:
        await asyncio.to_thread(new.take_over)
        for _ in range(2):
            write_moved_configuration(field, relay, moved)
            relay.child.send_signal(signal.SIGHUP)
            async with asyncio.timeout(20):
                assert await new.sighups.get() == signal.SIGHUP
    finally:
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        new.die()
    await relay.says(b"serves on")
    await follow(moved, field)
    await relay.says(b"whole list, version 50")


async def test_a_move_before_a_failed_upgrade_is_kept(field: Field, relay: Upgraded, moved: ScriptedPlatform) -> None:
    """The old process started again with RELAY_DISCOVERY, the address before the move."""
    await relay.start({"RELAY_DISCOVERY": field.platform.address})
    write_moved_configuration(field, relay, moved)
    await relay.send(signal.SIGHUP, b"discovery moves")
    await moved.next_watch()
    new = NewProcess(field)
    await asyncio.to_thread(new.take_over)
    new.die()
    await relay.says(b"serves on")
    await follow(moved, field)
    await relay.says(b"whole list, version 50")


@pytest.mark.parametrize("moment", ["with SIGTERM", "behind the end of the loop"])
async def test_sighup_to_an_ending_old_process_is_passed_on(
    field: Field, relay: Upgraded, moved: ScriptedPlatform, tmp_path: Path, moment: str
) -> None:
    """SIGHUP ended the process where the loop had ended, and the new one heard nothing of it."""
    reached_read, reached_write = os.pipe()
    resume_read, resume_write = os.pipe()
    (tmp_path / "sitecustomize.py").write_text(
        f"import logging, os\nreal = logging.shutdown\n"
        f"def hold():\n    os.write({reached_write}, b'x')\n    os.read({resume_read}, 1)\n    real()\n"
        "logging.shutdown = hold\n"
    )
    relay.pass_fds = (reached_write, resume_read)
    await relay.start({"PYTHONPATH": str(tmp_path)})
    relay.pass_fds = ()
    await relay.replace()
    old = relay.older[0]
    write_moved_configuration(field, relay, moved)
    if moment == "with SIGTERM":
        old.send_signal(signal.SIGSTOP)
        old.send_signal(signal.SIGTERM)
        old.send_signal(signal.SIGHUP)
        old.send_signal(signal.SIGCONT)
    else:
        old.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(os.read, reached_read, 1) == b"x"
        old.send_signal(signal.SIGHUP)
    os.write(resume_write, b"x")
    await follow(moved, field)
    async with asyncio.timeout(20):
        assert await old.wait() == 0
    for descriptor in (reached_read, reached_write, resume_read, resume_write):
        os.close(descriptor)
