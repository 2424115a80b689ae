"""Operators' commands over loopback: health, metrics, excluded hosts."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from garnetrelay.operators import exclusions
from garnetrelay.operators.commands import CommandRefusedError
from garnetrelay.operators.exclusions import Exclusions
from garnetrelay.operators.listener import MAX_CONNECTIONS
from garnetrelay.rehearsal.scripted_peers import PATIENCE
from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.helpers import S, settings
from tests.sockets import Field, endpoint, host_list_json, until


async def call(field: Field, text: str, *pieces: str) -> str:
    """Sends a command, and returns the complete answer."""
    operators = field.relays[-1].operators
    assert operators is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", operators.port)
    writer.write(text.encode())
    for piece in pieces:
        await writer.drain()
        writer.write(piece.encode())
    async with asyncio.timeout(PATIENCE):
        answer = await reader.read()
    writer.close()
    return answer.decode()


def read(text: str) -> dict[str, int]:
    lines = text.splitlines()
    assert lines[0] == "+OK" and lines[-1] == "."
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines[1:-1])}


async def test_metrics_count_each_result(field: Field) -> None:
    field.operators = True
    client = await field.start()
    assert await call(field, "HEALTH\n") == "+OK\n"
    await field.warm(client)
    await client.enqueue("dies", "unsafe")
    (await field.host.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "dies", "result": "dead"}
    assert (await client.enqueue("held", "keyed")) == b"OK"
    held = await field.host.next_call()
    metrics = read(await call(field, "DU", "MP\n"))
    assert metrics['relay_served{class="safe"}'] == 2
    assert metrics['relay_failed{class="unsafe"}'] == 1
    assert metrics['relay_served{class="keyed"}'] == metrics['relay_refused{class="keyed"}'] == 0
    assert metrics["relay_attempts"] == 4 and metrics["relay_in_flight"] == 1
    assert metrics["relay_hosts_known"] == 1 and metrics["relay_hosts_excluded"] == 0
    held.answer(200)


async def test_metrics_report_whether_the_list_is_watched(field: Field) -> None:
    field.operators = True
    await field.start()
    (await field.platform.next_call()).answer(503)
    watch = await field.platform.next_watch()
    assert read(await call(field, "DUMP\n"))["relay_list_watched"] == 0
    watch.line(host_list_json(42, endpoint(field.host)))
    await until(lambda: field.relays[0].discovery.index == 42)
    metrics = read(await call(field, "DUMP\n"))
    assert metrics["relay_discovery_calls"] == 2 and metrics["relay_discovery_failures"] == 1
    assert metrics["relay_list_version"] == 42 and metrics["relay_list_watched"] == 1


async def test_invalid_commands_get_an_error(field: Field) -> None:
    field.operators = True
    await field.start()
    for text in ("nonsense\n", "\n", "OFFLINE\n", "OFFLINE a b\n", "OFFLINE s-none\n", "ONLINE s-none\n", "x" * 600):
        assert (await call(field, text)).startswith("-ERR ")


async def test_connections_without_a_command_are_closed_for_new_ones(field: Field) -> None:
    field.operators = True
    await field.start()
    operators = field.relays[-1].operators
    assert operators is not None
    idle = [await asyncio.open_connection("127.0.0.1", operators.port) for _ in range(MAX_CONNECTIONS)]
    await until(lambda: len(operators.listener.connections) == MAX_CONNECTIONS)
    assert await call(field, "HEALTH\n") == "+OK\n"
    assert (await idle[0][0].readline()).startswith(b"-ERR")
    for _, writer in idle:
        writer.close()


async def test_excluded_host_gets_no_messages_until_it_is_included(field: Field) -> None:
    """Independent of changes of the list, and also after a restart."""
    field.operators = True
    client = await field.start()
    await field.warm(client)
    assert await call(field, "OFFLINE s-1\n") == await call(field, "OFFLINE s-1\n") == "+OK\n"
    watch = await field.platform.next_watch()
    watch.line(host_list_json(42, endpoint(field.host), snapshot=True))
    await until(lambda: field.relays[0].discovery.index == 42)
    assert await client.enqueue("waits") == b"OK"
    assert read(await call(field, "DUMP\n"))["relay_hosts_excluded"] == 1
    field.relays[0].server.drain()
    field.relays.pop(0).close()
    await field.start()
    assert field.host.calls.empty()
    assert await call(field, "ONLINE s-1\n") == "+OK\n"
    (await field.host.next_call()).answer(200)


def test_damaged_file_of_excluded_hosts_is_ignored(tmp_path: Path) -> None:
    kept = Exclusions(tmp_path, False)
    kept.set_excluded("s-1", True)
    path = tmp_path / exclusions.FILE
    whole = path.read_bytes()
    for damaged in [whole[:n] for n in range(len(whole))] + [whole.replace(b" 1 ", b" 2 "), whole[:-3] + b'9"]']:
        path.write_bytes(damaged)
        reopened = Exclusions(tmp_path, False)
        reopened.read()
        assert reopened.names == {}, damaged
    path.write_bytes(whole)
    (tmp_path / "excluded.new").write_bytes(b"half")  # left by a process that stopped while it wrote
    reopened = Exclusions(tmp_path, False)
    reopened.read()
    assert list(reopened.names) == ["s-1"] and reopened.set_excluded("s-2", True)
    with pytest.raises(CommandRefusedError):
        for n in range(1000):
            reopened.set_excluded(f"{n:0200}", True)
    assert path.stat().st_size <= exclusions.MAX_FILE_BYTES


def test_included_host_is_cold() -> None:
    """Alone at its destination it starts a ramp; with another host that continued to serve it does not."""
    for others in ((), (io.HostEntry("b", 0, 0, 1, io.Availability.RUNNING, 0.0),)):
        pacer = Pacer(settings(), 1)
        first = io.HostEntry("a", 0, 0, 1, io.Availability.RUNNING, 0.0)
        pacer.handle(0, [io.Roster(io.ListScope.WHOLE, (first, *others)), io.Excluded("a", True)])
        for n in range(6):
            actions = pacer.handle(S + n, [io.Arrived(f"m{n}", 0, 0, 1, None, 20 * S)])
            assert all(a.host == "b" for a in actions if isinstance(a, io.Send))
        actions = pacer.handle(2 * S, [io.Roster(io.ListScope.CHANGES, (first,)), io.Excluded("a", False)])
        assert others or len([a for a in actions if isinstance(a, io.Send)]) <= 1
        assert pacer.hosts["a"][0].ramp_from == (None if others else 2 * S)
