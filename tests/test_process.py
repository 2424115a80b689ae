"""The relay as a separate process: kills, planned restarts, and failed starts."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
import tomllib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from garnetrelay.rehearsal.scripted_peers import PATIENCE, ScriptedHost, ScriptedPlatform
from garnetrelay.store.format import Entry
from garnetrelay.store.reading import load
from garnetrelay.store.storage import Folder
from garnetrelay.store.store import Store
from tests.sockets import Client, Field, endpoint, host_list_json, until

ROOT = Path(__file__).parent.parent


class Process:
    """A relay process that can be killed and started again."""

    def __init__(self, field: Field) -> None:
        self.field = field
        self.port = field.free_port()
        self.child: asyncio.subprocess.Process | None = None
        self.pass_fds: tuple[int, ...] = ()

    async def start(self, more: dict[str, str] | None = None) -> Client:
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetrelay",
            cwd=ROOT,
            env={**os.environ, **self.field.environment(self.port), **(more or {})},
            stderr=asyncio.subprocess.PIPE,
            pass_fds=self.pass_fds,
        )
        await self.says(b"serves on")
        return await Client.connect(self.port)

    async def says(self, text: bytes) -> None:
        """Read the log up to a line that contains the text."""
        assert self.child is not None and self.child.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while text not in (line := await self.child.stderr.readline()):
                assert line, "the relay ended"

    async def send(self, number: signal.Signals, text: bytes) -> None:
        """Send a signal, and wait for a text in the log."""
        assert self.child is not None
        self.child.send_signal(number)
        await self.says(text)

    async def end(self, number: signal.Signals) -> int:
        assert self.child is not None
        if self.child.returncode is None:
            self.child.send_signal(number)
        async with asyncio.timeout(PATIENCE):
            return await self.child.wait()


@pytest_asyncio.fixture
async def process(field: Field) -> AsyncIterator[Process]:
    made = Process(field)
    yield made
    if made.child is not None and made.child.returncode is None:
        await made.end(signal.SIGKILL)


async def test_killed_relay_still_ends_each_message(field: Field, process: Process) -> None:
    client = await process.start()
    for ref, klass in (("u", "unsafe"), ("k", "keyed"), ("s", "safe")):
        assert await client.enqueue(ref, klass) == b"OK"
        await field.host.next_call()  # in flight, without an outcome
    await process.end(signal.SIGKILL)
    await process.start()
    assert await field.platform.next_notice() == {"ref": "u", "result": "dead"}
    again = {}
    for _ in range(2):
        call = await field.host.next_call()
        again[call.headers["x-request-id"]] = call.body
        call.answer(200)
    assert again == {"k": b"x", "s": b"x"}
    assert await process.end(signal.SIGTERM) == 0
    assert load(Folder(field.state))[0].entries == {}


async def test_messages_that_expired_while_it_was_down_are_notified_at_its_start(field: Field, process: Process) -> None:
    journal = Store.open(field.state, 3_000_000)
    late = Entry("late", "unsafe", 3, None, 1000, b"x")
    late_ran = Entry("late-ran", "keyed", 3, "k", 1000, b"x", attempts=1, trying_at=900, trying_zone="north")
    for entry in (late, late_ran, Entry("untold", "safe", 3, None, 1000, b"x")):
        journal.record_accepted(entry)
    journal.record_end("untold", "bounced", 700)
    journal.close()
    await process.start()
    notices = [await field.platform.next_notice() for _ in range(3)]
    assert {n["ref"]: n["result"] for n in notices} == {"untold": "bounced", "late": "bounced", "late-ran": "dead"}
    assert field.host.calls.empty()


async def test_keyed_message_is_sent_again_in_its_zone_and_window(field: Field, process: Process) -> None:
    """The listed host is in zone north."""
    now = time.time_ns() // 1_000_000
    journal = Store.open(field.state, 3_000_000)
    for ref, zone, ago in (("here", "north", 100), ("elsewhere", "south", 100), ("stale", "north", 7000)):
        journal.record_accepted(Entry(ref, "keyed", 3, "k", now + 8000, b"x", 1, now - ago, zone))
    journal.close()
    await process.start()
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "here"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "stale", "result": "dead"}
    await process.end(signal.SIGTERM)
    assert field.host.calls.empty()
    assert set(load(Folder(field.state))[0].entries) == {"elsewhere"}


async def test_planned_stop_finishes_calls_and_closes_between_requests(field: Field, process: Process) -> None:
    client = await process.start()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    assert process.child is not None
    process.child.send_signal(signal.SIGTERM)
    late = await Client.connect(process.port)  # new connections still arrive
    assert await late.enqueue("m2") == b"OK"
    second = await field.host.next_call()
    assert await client.read() is None and await late.read() is None  # closed, with no answer outstanding
    call.answer(200)
    second.answer(200)
    async with asyncio.timeout(PATIENCE):
        assert await process.child.wait() == 0
    assert load(Folder(field.state))[0].entries == {}


async def test_sighup_moves_discovery_and_notices_at_once(field: Field, process: Process) -> None:
    """The old address stays up, and the environment named it at the start: the file takes precedence. Notices that
    the old address did not acknowledge go to the new one, whose list has a lower version."""
    field.platform.refusals = 1_000_000
    client = await process.start({"RELAY_DISCOVERY": field.platform.address})
    await field.platform.next_watch()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(500)
    old, field.platform, host = field.platform, ScriptedPlatform(), ScriptedHost()
    await field.platform.start()
    await host.start()
    try:
        await until(lambda: old.refusals < 1_000_000)
        field.environment(process.port)
        await process.send(signal.SIGHUP, b"discovery moves")
        watch = await field.platform.next_watch()
        assert watch.call.target.endswith("since=0")
        assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
        watch.line(host_list_json(7, endpoint(host, "s-2"), snapshot=True))
        await process.says(b"whole list, version 7")
        assert await client.enqueue("m2") == b"OK"
        (await host.next_call()).answer(200)
        # An invalid file gives one log line each time, and changes nothing.
        (field.folder / "config.json").write_text('{"discovery":')
        for _ in range(2):
            await process.send(signal.SIGHUP, b"the old configuration stays")
        assert await client.ask("PING") == b"PONG"
        field.platform, new = old, field.platform
        field.environment(process.port)
        await process.send(signal.SIGHUP, b"discovery moves")  # and back to the old address
        await old.next_watch()
        await new.stop()
        assert await client.ask("PING") == b"PONG"
    finally:
        await host.stop()
        await old.stop()


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{", "not JSON"),
        ("[]", "not an object"),
        ('{"settings":{}}', "is missing"),
    ],
)
async def test_bad_configuration_is_one_line_and_a_failed_start(field: Field, text: str, says: str) -> None:
    environment = {**os.environ, **field.environment()}
    Path(environment["RELAY_CONFIG"]).write_text(text)
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "garnetrelay", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(PATIENCE):
        _, output = await child.communicate()
    assert child.returncode == 2 and output.count(b"\n") == 1 and says.encode() in output


# Moments at which a start is suspended: Python code that runs before it (``sitecustomize``), with a function ``hold``.
MOMENTS = {
    "the interpreter starts": "hold()\n",
    "the relay is imported": (
        "import sys\n"
        "class Held:\n"
        "    @staticmethod\n"
        "    def find_spec(name, path=None, target=None):\n"
        "        if name == 'garnetrelay.daemon': hold()\n"
        "sys.meta_path.insert(0, Held)\n"
    ),
    "the file has been read": (
        "import resource\n" "limit = resource.setrlimit\n" "resource.setrlimit = lambda *words: (hold(), limit(*words))\n"
    ),
}


@pytest.mark.parametrize("moment", MOMENTS)
async def test_a_sighup_during_the_start_is_handled_and_does_not_end_the_process(
    field: Field, process: Process, tmp_path: Path, moment: str
) -> None:
    """SIGHUP ends a process that has no handler for it, and an ignored one is lost. The deploy file's own command is
    suspended at one moment; by then the file names another address, while the environment names the old one."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    started_read, started_write = os.pipe()
    resume_read, resume_write = os.pipe()
    (tmp_path / "sitecustomize.py").write_text(
        f"import os\ndef hold():\n    os.write({started_write}, b'x')\n    os.read({resume_read}, 1)\n" + MOMENTS[moment]
    )
    old, field.platform = field.platform, ScriptedPlatform()
    await field.platform.start()
    moved = field.platform
    try:
        field.platform = old
        process.child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run.replace(".venv/bin/python", sys.executable),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                **field.environment(process.port),
                "RELAY_DISCOVERY": old.address,
                "PYTHONPATH": str(tmp_path),
            },
            pass_fds=(started_write, resume_read),
        )
        os.close(started_write)
        os.close(resume_read)
        assert await asyncio.to_thread(os.read, started_read, 1) == b"x"
        field.platform = moved
        field.environment(process.port)  # writes the file again
        process.child.send_signal(signal.SIGHUP)
        os.write(resume_write, b"x")
        watch = await moved.next_watch()
        watch.line(host_list_json(50, endpoint(field.host), snapshot=True))
        await process.says(b"whole list, version 50")
        assert await process.end(signal.SIGTERM) == 0
    finally:
        os.close(started_read)
        os.close(resume_write)
        await moved.stop()
        field.platform = old


async def test_port_of_a_process_stays_reserved_while_it_is_down(field: Field, process: Process) -> None:
    """Before its first start or between two runs, the kernel sometimes assigned the port to another test's listener."""

    def taken() -> bool:
        with socket.socket() as other:  # binds it exclusively, like a listener on a port that the kernel chooses
            try:
                other.bind(("127.0.0.1", process.port))
            except OSError:
                return True
        return False

    assert taken()
    await process.start()
    await process.end(signal.SIGKILL)
    assert taken()
    client = await process.start()
    assert await client.ask("PING") == b"PONG"
