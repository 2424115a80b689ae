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


async def lines(port: int, line: str) -> list[str]:
    """All lines of a longer answer; none where it was no, or did not come in time."""
    writer = None
    try:
        async with asyncio.timeout(PATIENCE):
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
    """Whether a relay that staff call answers a line with ``+OK``."""
    return (await ask(port, line)).startswith("+OK")
