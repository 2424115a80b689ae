"""Staff's calls over loopback: health, figures, hosts taken out by hand and kept out."""

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
    """A staff call, and all that it is answered."""
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


async def test_figures_tell_each_end(field: Field) -> None:
    field.operators = True
    client = await field.start()
    assert await call(field, "HEALTH\n") == "+OK\n"
    await field.warm(client)
    await client.enqueue("dies", "unsafe")
    (await field.host.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "dies", "result": "dead"}
    assert (await client.enqueue("held", "keyed")) == b"OK"
    held = await field.host.next_call()
    figures = read(await call(field, "DU", "MP\n"))
    assert figures['relay_served{class="safe"}'] == 2
    assert figures['relay_failed{class="unsafe"}'] == 1
    assert figures['relay_served{class="keyed"}'] == figures['relay_refused{class="keyed"}'] == 0
    assert figures["relay_attempts"] == 4 and figures["relay_in_flight"] == 1
    assert figures["relay_hosts_known"] == 1 and figures["relay_hosts_excluded"] == 0
    held.answer(200)


async def test_figures_tell_whether_the_list_is_watched(field: Field) -> None:
    field.operators = True
    await field.start()
    (await field.platform.next_call()).answer(503)
    watch = await field.platform.next_watch()
    assert read(await call(field, "DUMP\n"))["relay_list_watched"] == 0
    watch.line(host_list_json(42, endpoint(field.host)))
    await until(lambda: field.relays[0].discovery.index == 42)
    figures = read(await call(field, "DUMP\n"))
    assert figures["relay_discovery_calls"] == 2 and figures["relay_discovery_failures"] == 1
    assert figures["relay_list_version"] == 42 and figures["relay_list_watched"] == 1


async def test_what_is_not_understood_is_told(field: Field) -> None:
    field.operators = True
    await field.start()
    for text in ("nonsense\n", "\n", "OFFLINE\n", "OFFLINE a b\n", "OFFLINE s-none\n", "ONLINE s-none\n", "x" * 600):
        assert (await call(field, text)).startswith("-ERR ")


async def test_silent_callers_give_way(field: Field) -> None:
    field.operators = True
    await field.start()
    operators = field.relays[-1].operators
    assert operators is not None
    silent = [await asyncio.open_connection("127.0.0.1", operators.port) for _ in range(MAX_CONNECTIONS)]
    await until(lambda: len(operators.listener.connections) == MAX_CONNECTIONS)
    assert await call(field, "HEALTH\n") == "+OK\n"
    assert (await silent[0][0].readline()).startswith(b"-ERR")
    for _, writer in silent:
        writer.close()


async def test_host_out_by_hand_gets_nothing_until_it_is_back(field: Field) -> None:
    """Whatever the list says meanwhile, and across a restart."""
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


def test_file_is_whole_or_left_out(tmp_path: Path) -> None:
    kept = Exclusions(tmp_path, False)
    kept.put("s-1", True)
    path = tmp_path / exclusions.FILE
    whole = path.read_bytes()
    for spoilt in [whole[:n] for n in range(len(whole))] + [whole.replace(b" 1 ", b" 2 "), whole[:-3] + b'9"]']:
        path.write_bytes(spoilt)
        again = Exclusions(tmp_path, False)
        again.read()
        assert again.names == {}, spoilt
    path.write_bytes(whole)
    (tmp_path / "excluded.new").write_bytes(b"half")  # a stop came in the middle of a call
    again = Exclusions(tmp_path, False)
    again.read()
    assert list(again.names) == ["s-1"] and again.put("s-2", True)
    with pytest.raises(CommandRefusedError):
        for n in range(1000):
            again.put(f"{n:0200}", True)
    assert path.stat().st_size <= exclusions.MOST_BYTES


def test_host_comes_back_cold() -> None:
    """Alone at its destination it starts a ramp; beside another that served on it does not."""
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
