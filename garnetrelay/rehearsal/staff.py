"""Stand-in staff: they call a relay as operators do, a line a connection."""

from __future__ import annotations

import asyncio

PATIENCE = 1.0  # seconds for an answer, however busy the relay is


async def ask(port: int, line: str) -> str:
    """The answer's first line; empty where none came in time."""
    writer = None
    try:
        async with asyncio.timeout(PATIENCE):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(line.encode() + b"\n")
            return (await reader.readline()).decode("ascii", "replace").strip()
    except (OSError, TimeoutError):
        return ""
    finally:
        if writer is not None:
            writer.transport.abort()


async def says_yes(port: int, line: str) -> bool:
    return (await ask(port, line)).startswith("+OK")
