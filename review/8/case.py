"""A host is told to drain while the relay is being upgraded; then the new process dies, and the old one carries on."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import standins as s

REGISTER_LATE_S = 2.0  # from a call of discovery until its first line
SERVICE_S = 0.2
ENDS_AFTER_S = 2.2  # from the drain until s-1, which has long finished what it had, ends
MESSAGE_GAP_S = 0.03
WATCH_S = 4.0  # for which messages go on after the new process has died
GRACE_S = 1.0 + 0.05  # rules.drainGrace, and the 50 ms of the protocol page
AFTER_TAKE_OVER_S = 0.2  # until the new process is killed

CLASSES = [s.message_class("match-state", "retryable", 1, 8), s.message_class("licence-fee", "fragile", 2, 28)]


async def wait_for_log(relay: s.Relay, text: str, limit_s: float) -> bool:
    """Wait until the relay's log has a line with a text."""
    end = time.monotonic() + limit_s
    while text not in relay.log.read_text(errors="replace"):
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.005)
    return True


async def play(record: s.Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case once."""

    async def serve(call: s.Call) -> None:
        await asyncio.sleep(SERVICE_S)
        if call.ended is None:
            call.write(200)

    drained_at = float("inf")
    hosts = [s.Host(record, "s-1", 1, serve), s.Host(record, "s-2", 1, serve)]
    for host in hosts:
        await host.start()
    platform = s.Platform(record, hosts, late_s=REGISTER_LATE_S)
    await platform.start()
    relay = s.Relay(record, folder, platform, s.settings(CLASSES))
    relay.configure()
    first_ops, second_ops = s.free_port(), s.free_port()
    try:
        old = await relay.start(first_ops)
        if not await wait_for_log(relay, "is taken up", 10):
            raise s.CannotRunError("the relay's watch is not open")
        await asyncio.sleep(REGISTER_LATE_S + 0.5)
        until = float("inf")

        async def messages() -> None:
            client, number = s.Client(record, relay.port), 0
            while record.now() < until:
                klass, d_ms = ("licence-fee", 28_000) if number % 3 else ("match-state", 8_000)
                await client.enqueue(f"m-{number}", klass, d_ms, 1, None, b"message %d" % number)
                number += 1
                await asyncio.sleep(MESSAGE_GAP_S)

        sending = asyncio.create_task(messages())
        await asyncio.sleep(1.0)
        relay.configure()  # fresh: the list as the relay has it now
        if trouble:
            record.add("upgrade: the new process is started")
            new = await relay.spawn(second_ops)
        hosts[0].status = "Terminating"
        if not platform.tell(hosts[0]):
            raise s.CannotRunError("no watch was open when the drain was told")
        drained_at = record.now()

        async def end_host() -> None:
            await asyncio.sleep(ENDS_AFTER_S)
            record.add("s-1 ends")
            hosts[0].stop()

        ending = asyncio.create_task(end_host())
        if trouble:
            if await wait_for_log(relay, "upgrade: the new process serves", 6):
                await asyncio.sleep(AFTER_TAKE_OVER_S)
            await relay.kill(new)
        await asyncio.sleep(WATCH_S)
        until = record.now()
        await asyncio.gather(sending, ending)
        await asyncio.sleep(1)
        late = {call.ref for call in hosts[0].calls if call.first > drained_at + GRACE_S}
        for ref in sorted(late & set(platform.notices)):
            record.add(f"{ref} was sent to s-1 too late, and ended as {platform.notices[ref][0][1]}")
        if old.returncode is not None:
            raise s.CannotRunError("the old process has ended")
        return [
            f"{call.ref} came to s-1 at {call.first:.3f} s; the relay was told at {drained_at:.3f} s that s-1 drains"
            for call in hosts[0].calls
            if call.first > drained_at + GRACE_S
        ]
    finally:
        await relay.stop()
        for host in hosts:
            host.stop()
        platform.stop()


if __name__ == "__main__":
    s.main(play, Path(__file__).resolve().parent)
