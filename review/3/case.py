"""Case 3: a crowd of clients that never finish a message takes the relay over its memory limit: it is killed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import relaykit as kit

MEMORY_MB, SOCKETS = 192, 1024  # "the limits are at most 192 MB and 1,024 descriptors"
CROWD, CROWD_AT_S, SECONDS = 900, 4.0, 20.0  # clients at a time; each comes again once the relay has ended it
BODY = b"x" * 65_536  # "Bodies hold at most 64 KiB"
MISSING, PIECE = 40, 1_000  # bytes of the message that never come; bytes written at a time
SOUND_CLIENTS, PER_S = 8, 37.0  # a part of 74 messages a second
MIB = 1 << 20


def memory_bytes(process: int) -> int:
    """The process's anonymous memory as the kernel counts it: without program files and other file pages."""
    status = Path(f"/proc/{process}/status").read_text()
    return next(int(line.split()[1]) * 1024 for line in status.splitlines() if line.startswith("RssAnon:"))


class Day:
    """What is seen in the run."""

    def __init__(self) -> None:
        self.end = time.monotonic() + SECONDS
        self.connections = 0  # of the crowd
        self.answers: list[str] = []  # to sound clients
        self.peak = 0
        self.killed = False


async def sound_client(address: str, day: Day, record: kit.Record) -> None:
    """Hand in one message after another."""
    client = await kit.Client.connect(address)
    while time.monotonic() < day.end and not day.killed:
        ref = kit.new_id()
        answer = "closed"
        with contextlib.suppress(OSError):
            answer = await client.ask(kit.enqueue(ref, "match-state", 8000, 7))
        day.answers.append(answer)
        record(f"client: {ref} answered {answer}")
        if answer != "+OK":
            client.close()
            with contextlib.suppress(OSError):
                client = await kit.Client.connect(address)
        await asyncio.sleep(SOUND_CLIENTS / PER_S)
    client.close()


async def unfinished_client(address: str, day: Day) -> None:
    """Connect, send a message but for its last bytes, and stay until the relay ends the connection."""
    while time.monotonic() < day.end and not day.killed:
        with contextlib.suppress(OSError):
            client = await kit.Client.connect(address)
            day.connections += 1
            message = kit.enqueue(kit.new_id(), "match-state", 8000, 7, None, BODY)[:-MISSING]
            for start in range(0, len(message), PIECE):
                if client.writer.is_closing() or client.reader.at_eof():
                    break
                client.writer.write(message[start : start + PIECE])
                await asyncio.sleep(0)
            await client.answer(3.0)
            client.writer.transport.abort()
        await asyncio.sleep(0.1)


async def watch_memory(relay: kit.Relay, day: Day, record: kit.Record) -> None:
    """The platform's part: over ``memory_mb`` the relay is killed."""
    assert relay.process is not None
    while time.monotonic() < day.end:
        used = memory_bytes(relay.process.pid)
        if used > day.peak + MIB:
            record(f"platform: the relay uses {used / MIB:.1f} MiB")
        day.peak = max(day.peak, used)
        if used > MEMORY_MB * MIB:
            day.killed = True
            record(f"platform: {used / MIB:.1f} MiB are over the limit of {MEMORY_MB}, the relay is killed")
            await relay.kill()
            return
        await asyncio.sleep(0.02)


async def case(folder: Path, record: kit.Record, trouble: bool) -> list[str]:
    """Sound clients hand in messages; after some seconds the crowd comes."""
    platform = kit.Platform(record)
    await platform.start()
    host = kit.Host("host", record)
    await host.start()
    platform.list_host(host.name, host.address, 7, "media-block", "news-portals")
    relay = kit.Relay(folder, platform, record)
    config = json.loads(relay.config.read_text())
    config["limits"].update(memory_mb=MEMORY_MB, sockets=SOCKETS)
    relay.config.write_text(json.dumps(config))
    try:
        await relay.start()
        await asyncio.sleep(1)
        day = Day()
        tasks = [asyncio.create_task(sound_client(relay.address, day, record)) for _ in range(SOUND_CLIENTS)]
        tasks.append(asyncio.create_task(watch_memory(relay, day, record)))
        await asyncio.sleep(CROWD_AT_S)
        if trouble:
            record("the crowd comes")
            tasks += [asyncio.create_task(unfinished_client(relay.address, day)) for _ in range(CROWD)]
        await asyncio.gather(*tasks)
        if not relay.running and not day.killed:
            return ["the relay has ended"]
    finally:
        await relay.kill()
        if kit.KEEP_LOG:
            kit.KEEP_LOG.write_text(relay.log.read_text())
    record(f"sound clients: {len(day.answers)} handed in, {day.answers.count('+OK')} taken on")
    record(f"the crowd: {day.connections} connections; the relay's memory at most {day.peak / MIB:.1f} MiB")
    return [f"the relay used {day.peak / MIB:.1f} MiB of {MEMORY_MB} and was killed"] if day.killed else []


if __name__ == "__main__":
    sys.exit(kit.main(case, Path(__file__).parent))
