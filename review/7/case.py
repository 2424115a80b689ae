"""A new configuration moves discovery and the platform while the relay is being upgraded."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import standins as s

CONFIGURED_AFTER_S = 0.7  # from the start of the new process to the new configuration and its SIGHUP
ASKED_AFTER_S = 1.4  # from the start of the new process to the first HEALTH: it has 6 s to say yes
OLD_ADDRESS_S = 4.0  # standing page: what the new address has counts 4 s after SIGHUP; then the old one is closed
MESSAGES_S = 12.0
DEADLINE_S = 3.0
SLACK_S = 0.3 + 0.05 + 0.15  # 300 ms past a message's time, 50 ms longer on sockets, 150 ms for this machine
CLASSES = [s.message_class("match-state", "retryable", 1, DEADLINE_S)]


async def play(record: s.Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case once."""

    async def serve(call: s.Call) -> None:
        await asyncio.sleep(0.1 if call.host.dest == 1 else 60)
        if call.ended is None:
            call.write(200)

    hosts = [s.Host(record, "s-1", 1, serve), s.Host(record, "s-2", 2, serve)]  # the second one hangs
    for host in hosts:
        await host.start()
    first, second = s.Platform(record, hosts), s.Platform(record, hosts)
    for platform in (first, second):
        await platform.start()
    relay = s.Relay(record, folder, first, s.settings(CLASSES))
    relay.configure()
    first_ops, second_ops = s.free_port(), s.free_port()
    due: dict[str, float] = {}
    try:
        process = await relay.start(first_ops)
        until = record.now() + MESSAGES_S

        async def messages() -> None:
            client, number = s.Client(record, relay.port), 0
            while record.now() < until:
                ref = f"m-{number}"
                sent_at = record.now()
                if await client.enqueue(ref, "match-state", int(DEADLINE_S * 1000), 1 + number % 2, None, b"x") == "+OK":
                    due[ref] = sent_at + DEADLINE_S
                number += 1
                await asyncio.sleep(0.2)

        async def move() -> None:
            relay.configure(second)
            record.add("the configuration names another address of discovery; SIGHUP to the running process")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(OLD_ADDRESS_S)
            first.stop()
            record.add("the old address is closed")

        sending = asyncio.create_task(messages())
        await asyncio.sleep(1.5)
        if trouble:
            record.add("upgrade: the new process is started")
            await relay.spawn(second_ops)
            await asyncio.sleep(CONFIGURED_AFTER_S)
        moving = asyncio.create_task(move())
        if trouble:
            await asyncio.sleep(ASKED_AFTER_S - CONFIGURED_AFTER_S)
            if not (await relay.operator(second_ops, "HEALTH")).startswith("+OK"):
                raise s.CannotRunError(f"the new process does not say yes: {relay.log_tail()}")
            record.add("upgrade: the new process says yes; SIGTERM to the old one")
            process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(process.wait(), 4)
        await asyncio.gather(sending, moving)
        await asyncio.sleep(DEADLINE_S + 1)
        delivered = {call.ref for host in hosts for call in host.calls if call.answer == 200}
        broken = []
        for ref, time_up in due.items():
            notified = [at for platform in (first, second) for at, _ in platform.notices.get(ref, [])]
            if ref not in delivered and min(notified, default=float("inf")) > time_up + SLACK_S:
                broken.append(
                    f"{ref} was taken on, its time was up at {time_up:.3f} s; no delivery, notices at {notified}"
                )
        return broken
    finally:
        await relay.stop()
        for host in hosts:
            host.stop()
        for platform in (first, second):
            platform.stop()


if __name__ == "__main__":
    s.main(play, Path(__file__).resolve().parent)
