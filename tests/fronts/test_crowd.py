"""Hundreds of clients with half-finished requests against a relay's process: its memory, and an answer beside them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from garnetrelay.config.deployment import REQUEST_MEMORY_SHARE
from tests.sockets import Field
from tests.test_process import Process

CROWD = 300
MEMORY_MB = 64  # the smallest limit of the operators' days
CONNECTION_BYTES = 16 * 1024  # of memory for each connection, besides its request
SLACK_BYTES = 4 << 20
HALF_BODY = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\nm\r\n$20\r\nc=safe,d=8000,dest=3\r\n$64000\r\n" + bytes(63_990)
HALF_WORDS = b"*64\r\n" + b"$1\r\nx\r\n" * 63
FIELDS = b",".join(b"a%d=" % (n % 100) for n in range(12_000))
SHORT_FIELDS = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\nm\r\n$%d\r\n%s\r\n$1\r\nx\r\n" % (len(FIELDS), FIELDS)


@pytest_asyncio.fixture
async def process(field: Field) -> AsyncIterator[Process]:
    made = Process(field)
    yield made
    if made.child is not None and made.child.returncode is None:
        await made.end(signal.SIGKILL)


def memory_bytes(process: Process, line: str) -> int:
    """A figure of the kernel's on a process's memory, such as its highest resident size ``VmHWM``."""
    assert process.child is not None
    status = Path(f"/proc/{process.child.pid}/status").read_text()
    return int(status.partition(f"{line}:")[2].split()[0]) * 1024


@pytest.mark.parametrize("sent", [HALF_BODY, HALF_WORDS, SHORT_FIELDS], ids=["body", "words", "fields"])
async def test_a_crowd_with_half_finished_requests_takes_a_bounded_part_of_the_memory(
    field: Field, process: Process, sent: bytes
) -> None:
    field.limits["memory_mb"] = MEMORY_MB
    client = await process.start()
    assert await client.ask("PING") == b"PONG"
    before = memory_bytes(process, "VmRSS")
    crowd = [await asyncio.open_connection("127.0.0.1", process.port) for _ in range(CROWD)]
    for _, writer in crowd:
        writer.write(sent)
    await asyncio.gather(*(writer.drain() for _, writer in crowd))
    assert await client.ask("PING") == b"PONG"
    for _, writer in crowd:
        writer.write(b"x")
    assert await client.enqueue("m1") == b"OK"
    growth = memory_bytes(process, "VmHWM") - before
    assert growth < MEMORY_MB * 1_000_000 // REQUEST_MEMORY_SHARE + CROWD * CONNECTION_BYTES + SLACK_BYTES
    for _, writer in crowd:
        writer.transport.abort()
