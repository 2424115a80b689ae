"""Case 1: one client's unreadable command makes the relay lose messages that it took on from other clients."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import relaykit as kit

CLIENTS, SECONDS, EACH_PER_S = 8, 20.0, 5.0  # 40 messages a second
BAD_PER_S = 20.0
PATIENCE_MS = 8000  # the class's deadline
NOTICE_S = 0.35  # 300 ms after the message's time, and the 50 ms by which each limit is longer on sockets
UNREADABLE = b"*1\r\n:5\r\n"  # an array, but not of bulk strings


class Sent:
    """A message that a sound client handed in."""

    def __init__(self, ref: str) -> None:
        self.ref = ref
        self.over_at = time.monotonic() + PATIENCE_MS / 1000
        self.answer = "none"


async def sound_client(address: str, sent: list[Sent], record: kit.Record) -> None:
    """Hand in one message after another, each on a connection that is kept."""
    client = await kit.Client.connect(address)
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        message = Sent(kit.new_id())
        sent.append(message)
        message.answer = await client.ask(kit.enqueue(message.ref, "match-state", PATIENCE_MS, 7))
        record(f"client: {message.ref} answered {message.answer}")
        if message.answer in ("none", "closed"):  # as the protocol page says: close it, and go on with a new one
            client.close()
            client = await kit.Client.connect(address)
        await asyncio.sleep(1 / EACH_PER_S)
    client.close()


async def bad_clients(address: str, record: kit.Record) -> None:
    """Clients that send a request with little time left and, at once, a command that can't be read; then they go."""
    for number in range(round(SECONDS * BAD_PER_S)):
        client = await kit.Client.connect(address)
        ref = kit.new_id()
        client.writer.write(kit.enqueue(ref, "match-state", 5, 7) + UNREADABLE)
        record(f"bad client {number}: sent {ref} and an unreadable command, answered {await client.answer(0.05)}")
        client.close()
        await asyncio.sleep(1 / BAD_PER_S)


async def case(folder: Path, record: kit.Record, trouble: bool) -> list[str]:
    """Sound clients hand in messages for a partner that answers all calls; beside them come bad clients."""
    platform = kit.Platform(record)
    await platform.start()
    hosts = [kit.Host(f"host-{n}", record) for n in range(2)]
    for host in hosts:
        await host.start()
        platform.list_host(host.name, host.address, 7, "media-block", "news-portals")
    relay = kit.Relay(folder, platform, record)
    sent: list[Sent] = []
    try:
        await relay.start()
        await asyncio.sleep(1)
        clients = [sound_client(relay.address, sent, record) for _ in range(CLIENTS)]
        await asyncio.gather(*clients, *([bad_clients(relay.address, record)] if trouble else []))
        await asyncio.sleep(PATIENCE_MS / 1000 + NOTICE_S)
        await asyncio.sleep(1)
        if not relay.running:
            return ["the relay has ended"]
    finally:
        await relay.kill()
        if kit.KEEP_LOG:
            kit.KEEP_LOG.write_text(relay.log.read_text())
    taken = [message for message in sent if message.answer == "+OK"]
    lost = [m for m in taken if not any(host.ran.get(m.ref) for host in hosts) and m.ref not in platform.notices]
    record(f"handed in {len(sent)}, taken on {len(taken)}, of them neither delivered nor ended by a notice: {len(lost)}")
    record(f"without an answer: {sum(m.answer == 'none' for m in sent)}")
    return [f"{m.ref} was taken on, and neither delivered nor ended by a notice" for m in lost]


if __name__ == "__main__":
    sys.exit(kit.main(case, Path(__file__).parent))
