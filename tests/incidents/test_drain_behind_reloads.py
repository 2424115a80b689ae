"""Incident 50: a relay that has no watch, and whose calls of discovery failed, learns of a drain too late.

One real process, scripted stand-ins. Each step waits for the one before: the outage lasts until three calls have waited
out their time, the reloads follow, and each address refuses the first call that comes to it.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from typing import Any

from garnetrelay.rehearsal.http import Call
from garnetrelay.rehearsal.scripted_peers import PATIENCE, Client, ScriptedHost, ScriptedPlatform, Watch
from tests.sockets import Field, endpoint, host_list_json
from tests.test_process import Process, process  # noqa: F401  (a fixture)

WAIT = 2.0  # seconds for which discovery keeps a call that it can't answer, as in the incident
TOLD_AFTER = 6.0  # seconds after which a change counts as told: docs/incidents/050
GRACE = 1.05  # of a drain, on sockets
RELOADS = 4
BETWEEN_RELOADS = 0.3
TRAFFIC_EVERY = 0.02


class Answering:
    """Delivers every call, and notes when each came."""

    def __init__(self, host: ScriptedHost) -> None:
        self.host = host
        self.came: list[float] = []

    async def run(self) -> None:
        while True:
            call = await self.host.calls.get()
            self.came.append(time.monotonic())
            call.answer(200)


async def send_messages(client: Client) -> None:
    for number in range(100_000):
        await client.ask("ENQUEUE", "0000", f"m{number}", "c=safe,d=8000,dest=3", "x")
        await asyncio.sleep(TRAFFIC_EVERY)


async def fail_until(platform: ScriptedPlatform, calls: int) -> None:
    """An outage: every call waits out its time, until so many have."""
    ended: asyncio.Queue[None] = asyncio.Queue()

    async def end(call: Call) -> None:
        await asyncio.sleep(WAIT)
        call.answer(503)
        ended.put_nowait(None)

    async def take_up() -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(end(await platform.calls.get()))

    taking_up = asyncio.create_task(take_up())
    async with asyncio.timeout(4 * PATIENCE):
        for _ in range(calls):
            await ended.get()
    taking_up.cancel()


async def refuse_first(platform: ScriptedPlatform, line: str, written: asyncio.Queue[float]) -> None:
    """The first call is refused at once, each later one is answered with the list."""
    (await platform.calls.get()).answer(503)
    while True:
        call = await platform.calls.get()
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        Watch(call).line(line)
        written.put_nowait(time.monotonic())


async def test_a_drain_is_kept_behind_an_outage_of_discovery_and_reloads(
    field: Field,
    process: Process,  # noqa: F811
) -> None:
    """The gap to the next call had grown to 15 s, whatever became of the calls since, and at whatever address."""
    staying = ScriptedHost()
    await staying.start()
    field.facts["balancers"] = 6
    field.endpoints.append(endpoint(staying, "s-2"))
    client = await process.start()
    (await field.platform.next_watch()).line("")
    leaving_calls, staying_calls = Answering(field.host), Answering(staying)
    tasks: list[asyncio.Task[Any]] = [
        asyncio.create_task(work) for work in (leaving_calls.run(), staying_calls.run(), send_messages(client))
    ]
    for connection in list(field.platform.connections):
        assert connection.transport is not None
        connection.transport.abort()
    await fail_until(field.platform, calls=3)

    back = time.monotonic()
    drains = host_list_json(42, endpoint(field.host, status="Terminating"), endpoint(staying, "s-2"), snapshot=True)
    written: asyncio.Queue[float] = asyncio.Queue()
    addresses = [ScriptedPlatform() for _ in range(RELOADS)]
    for platform in addresses:
        await platform.start()
        tasks.append(asyncio.create_task(refuse_first(platform, drains, written)))
        path = field.folder / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": platform.address}))
        await process.send(signal.SIGHUP, b"discovery moves")
        await asyncio.sleep(BETWEEN_RELOADS)
    try:
        async with asyncio.timeout_at(back + TOLD_AFTER):
            told = min(back + TOLD_AFTER, await written.get())
    except TimeoutError:
        told = back + TOLD_AFTER
    await asyncio.sleep(max(0.0, told + GRACE - time.monotonic()))
    before = len(staying_calls.came)
    async with asyncio.timeout(PATIENCE):
        while len(staying_calls.came) < before + 20:
            await asyncio.sleep(TRAFFIC_EVERY)
    late = [round(at - told, 2) for at in leaving_calls.came if at > told + GRACE]
    for task in tasks:
        task.cancel()
    for server in (staying, *addresses):
        await server.stop()
    assert (
        late == []
    ), f"calls to a draining host, seconds after this relay counts as told; discovery was back {told - back:.2f} s before"
