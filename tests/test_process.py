"""The relay as a process of its own: kills, planned restarts, a start that cannot be."""

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
    """A relay that can be killed, and started again."""

    def __init__(self, field: Field) -> None:
        self.field = field
        self.port = field.free_port()
        self.child: asyncio.subprocess.Process | None = None

    async def start(self, more: dict[str, str] | None = None) -> Client:
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetrelay",
            cwd=ROOT,
            env={**os.environ, **self.field.environment(self.port), **(more or {})},
            stderr=asyncio.subprocess.PIPE,
        )
        await self.says(b"serves on")
        return await Client.connect(self.port)

    async def says(self, text: bytes) -> None:
        """Read the log up to a line."""
        assert self.child is not None and self.child.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while text not in (line := await self.child.stderr.readline()):
                assert line, "the relay ended"

    async def send(self, number: signal.Signals, text: bytes) -> None:
        """Send a signal, and wait for what the log says of it."""
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


async def test_killed_relay_still_owes_each_message_its_end(field: Field, process: Process) -> None:
    client = await process.start()
    for ref, klass in (("u", "unsafe"), ("k", "keyed"), ("s", "safe")):
        assert await client.enqueue(ref, klass) == b"OK"
        await field.host.next_call()  # out, without an outcome
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


async def test_what_ended_while_it_was_down_is_told_at_its_start(field: Field, process: Process) -> None:
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


async def test_keyed_message_goes_again_in_its_building_and_window(field: Field, process: Process) -> None:
    """The host that is listed stands in the north."""
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


async def test_planned_end_finishes_calls_and_closes_between_requests(field: Field, process: Process) -> None:
    client = await process.start()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    assert process.child is not None
    process.child.send_signal(signal.SIGTERM)
    late = await Client.connect(process.port)  # new connections still come
    assert await late.enqueue("m2") == b"OK"
    second = await field.host.next_call()
    assert await client.read() is None and await late.read() is None  # closed, with nothing owed
    call.answer(200)
    second.answer(200)
    async with asyncio.timeout(PATIENCE):
        assert await process.child.wait() == 0
    assert load(Folder(field.state))[0].entries == {}


async def test_sighup_moves_discovery_and_notices_at_once(field: Field, process: Process) -> None:
    """The old address stays up and the environment named it at the start: the file holds all the same. What
    the old address did not acknowledge goes to the new one, whose list counts from a lower version."""
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
        # A file that can't be used is one line, and again and again changes nothing.
        (field.folder / "config.json").write_text('{"discovery":')
        for _ in range(2):
            await process.send(signal.SIGHUP, b"the old configuration stays")
        assert await client.ask("PING") == b"PONG"
        field.platform, new = old, field.platform
        field.environment(process.port)
        await process.send(signal.SIGHUP, b"discovery moves")  # and back
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
        _, told = await child.communicate()
    assert child.returncode == 2 and told.count(b"\n") == 1 and says.encode() in told


# Moments at which a start is held, as Python that runs ahead of it (``sitecustomize``) with a function ``hold``.
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
async def test_a_new_configuration_that_comes_as_the_process_starts_is_read_and_ends_nothing(
    field: Field, process: Process, tmp_path: Path, moment: str
) -> None:
    """SIGHUP ends a process that has not said what it does with it, and one that is ignored leaves no trace. By the
    deploy file's own command, held at one moment: the file names another address then, the environment the old."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    begun, begins = os.pipe()
    waits, go_on = os.pipe()
    (tmp_path / "sitecustomize.py").write_text(
        f"import os\ndef hold():\n    os.write({begins}, b'x')\n    os.read({waits}, 1)\n" + MOMENTS[moment]
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
            pass_fds=(begins, waits),
        )
        os.close(begins)
        os.close(waits)
        assert await asyncio.to_thread(os.read, begun, 1) == b"x"
        field.platform = moved
        field.environment(process.port)  # the file, written anew
        process.child.send_signal(signal.SIGHUP)
        os.write(go_on, b"x")
        watch = await moved.next_watch()
        watch.line(host_list_json(50, endpoint(field.host), snapshot=True))
        await process.says(b"whole list, version 50")
        assert await process.end(signal.SIGTERM) == 0
    finally:
        os.close(begun)
        os.close(go_on)
        await moved.stop()
        field.platform = old


async def test_port_of_a_process_is_nobody_elses_while_it_is_down(field: Field, process: Process) -> None:
    """Between two of its lives, or ahead of the first, the kernel gave it to another test's listener now and then."""

    def taken() -> bool:
        with socket.socket() as other:  # asks for it alone, as a listener on a port that the kernel picks does
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
