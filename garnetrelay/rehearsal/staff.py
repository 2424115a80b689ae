"""Sends operator commands to a relay, one line per connection."""

from __future__ import annotations

import asyncio

ANSWER_TIMEOUT_S = 1.0  # also for a busy relay


async def ask(port: int, line: str) -> str:
    """The first line of the answer; empty if none arrived in time."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(line.encode() + b"\n")
            return (await reader.readline()).decode("ascii", "replace").strip()
    except (OSError, TimeoutError):
        return ""
    finally:
        if writer is not None:
            writer.transport.abort()


async def lines(port: int, line: str) -> list[str]:
    """All lines of a multi-line answer; empty if it was an error or did not arrive in time."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(line.encode() + b"\n")
            first, *rest = (await reader.read()).decode("ascii", "replace").splitlines()
            return rest[:-1] if first.startswith("+OK") and rest[-1:] == ["."] else []
    except (OSError, TimeoutError, ValueError):
        return []
    finally:
        if writer is not None:
            writer.transport.abort()


async def says_yes(port: int, line: str) -> bool:
    """Whether the relay answers a command with ``+OK``."""
    return (await ask(port, line)).startswith("+OK")
