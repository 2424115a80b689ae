"""The operators' subcommands, against real processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from garnetrelay.cli.upgrade import alive, serving
from tests.sockets import Client, Field
from tests.test_process import ROOT, Process


async def command(*words: str, environment: dict[str, str] | None = None) -> tuple[int, str]:
    """A subcommand's exit status and output."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "garnetrelay.cli",
        *words,
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await child.communicate()
    return child.returncode or 0, output.decode()


async def test_operators_and_upgrade_subcommands(field: Field, tmp_path: Path) -> None:
    process, address, new_address = Process(field), *(f"127.0.0.1:{field.free_port()}" for _ in range(2))
    client = await process.start({"RELAY_OPS": address})
    # A client's first command has a time limit, and the subcommands below take longer.
    assert await client.ask("PING") == b"PONG"
    environment = {**field.environment(process.port), "RELAY_OPS": ""}
    assert await command("operators", "health", "--at", address) == (0, "it serves\n")
    assert (await command("operators", "offline", "--at", address, "s-none"))[0] == 1
    assert await command("operators", "offline", "--at", address, "s-1") == (0, "s-1 is out\n")
    assert (await command("operators", "figures", "--at", address, "--only", "excl"))[1] == "relay_hosts_excluded 1\n"

    state, log = str(field.state), str(tmp_path / "log")
    words = ("upgrade", "--state", state, "--staff", new_address, "--log", log)
    failed = await command(*words, "--to", f"{sys.executable} -c 'raise SystemExit(3)'", environment=environment)
    assert failed[0] == 1 and "status 3" in failed[1] and "the old one serves on" in failed[1]
    assert await client.ask("PING") == b"PONG"

    done = await command(*words, environment=environment)
    assert done[0] == 0, done[1]
    new = serving(field.state)
    assert new is not None and process.child is not None and await process.end(signal.SIGTERM) == 0
    assert await client.ask("PING") == b"PONG" and await (await Client.connect(process.port)).ask("PING") == b"PONG"
    assert (await command("operators", "figures", "--at", new_address, "--only", "excl"))[1] == "relay_hosts_excluded 1\n"
    ended, watched = asyncio.Event(), os.pidfd_open(new)
    asyncio.get_running_loop().add_reader(watched, ended.set)
    os.kill(new, signal.SIGTERM)
    async with asyncio.timeout(20):
        await ended.wait()
    asyncio.get_running_loop().remove_reader(watched)
    os.close(watched)
    assert not alive(new)
    assert (await command("operators", "health", "--at", new_address))[0] == 2
    assert (await command(*words, environment=environment))[0] == 2
