"""Incident 50: a relay without a watch, whose calls to discovery failed, learns of a drain too late.

The test uses one real process and scripted peers. Each step waits for the previous one: the outage lasts until three
calls have waited for their full time, then the reloads follow, and each address refuses the first call that it receives.
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

WAIT_S = 2.0  # for which discovery keeps a call that it can't answer, as in the incident
NOTIFIED_AFTER_S = 6.0  # after which the relay counts as notified of a change: docs/incidents/050
GRACE_S = 1.05  # grace period of a drain, on real sockets
RELOADS = 4
RELOAD_INTERVAL_S = 0.3
TRAFFIC_INTERVAL_S = 0.02


class HostRecorder:
    """Answers every call with 200, and records the time of its arrival."""

    def __init__(self, host: ScriptedHost) -> None:
        self.host = host
        self.arrivals: list[float] = []

    async def run(self) -> None:
        while True:
            call = await self.host.calls.get()
            self.arrivals.append(time.monotonic())
            call.answer(200)


async def send_messages(client: Client) -> None:
    for number in range(100_000):
        await client.ask("ENQUEUE", "0000", f"m{number}", "c=safe,d=8000,dest=3", "x")
        await asyncio.sleep(TRAFFIC_INTERVAL_S)


async def fail_until(platform: ScriptedPlatform, calls: int) -> None:
    """An outage: every call fails after its full waiting time, until a number of them have."""
    ended: asyncio.Queue[None] = asyncio.Queue()

    async def end(call: Call) -> None:
        await asyncio.sleep(WAIT_S)
        call.answer(503)
        ended.put_nowait(None)

    async def accept_calls() -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(end(await platform.calls.get()))

    accepting = asyncio.create_task(accept_calls())
    async with asyncio.timeout(4 * PATIENCE):
        for _ in range(calls):
            await ended.get()
    accepting.cancel()


async def refuse_first(platform: ScriptedPlatform, line: str, written: asyncio.Queue[float]) -> None:
    """Refuse the first call at once, and answer each later one with the list."""
    (await platform.calls.get()).answer(503)
    while True:
        call = await platform.calls.get()
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        Watch(call).line(line)
        written.put_nowait(time.monotonic())


async def test_a_drain_is_respected_after_an_outage_of_discovery_and_reloads(
    field: Field,
    process: Process,  # noqa: F811
) -> None:
    """The interval before the next call had grown to 15 s, and neither later successes nor a new address reset it."""
    staying = ScriptedHost()
    await staying.start()
    field.facts["balancers"] = 6
    field.endpoints.append(endpoint(staying, "s-2"))
    client = await process.start()
    (await field.platform.next_watch()).line("")
    leaving_calls, staying_calls = HostRecorder(field.host), HostRecorder(staying)
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
        await asyncio.sleep(RELOAD_INTERVAL_S)
    try:
        async with asyncio.timeout_at(back + NOTIFIED_AFTER_S):
            notified_at = min(back + NOTIFIED_AFTER_S, await written.get())
    except TimeoutError:
        notified_at = back + NOTIFIED_AFTER_S
    await asyncio.sleep(max(0.0, notified_at + GRACE_S - time.monotonic()))
    before = len(staying_calls.arrivals)
    async with asyncio.timeout(PATIENCE):
        while len(staying_calls.arrivals) < before + 20:
            await asyncio.sleep(TRAFFIC_INTERVAL_S)
    late = [round(at - notified_at, 2) for at in leaving_calls.arrivals if at > notified_at + GRACE_S]
    for task in tasks:
        task.cancel()
    for server in (staying, *addresses):
        await server.stop()
    assert (
        late == []
    ), f"calls to a draining host, seconds after its notification; discovery was back {notified_at - back:.2f} s before"
