"""Ordered messages wait behind a slow partner while large messages fill the journal; then the relay is upgraded."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import standins as s

KEYS = ("match-17", "match-23")
ORDERED = 12  # messages of each key, one every ORDERED_GAP_S
ORDERED_GAP_S = 0.4
SERVICE_S = 0.75  # of the slow partner, for an ordered message
BULK_GAP_S = 0.03  # between two large messages to the other partner
BULK_BYTES = 20_000
UPGRADE_AT_S = 5.0
DEADLINE_S = 28

CLASSES = [
    s.message_class("score", "retryable", 2.5, DEADLINE_S, inTurn=True, keyScope="all"),
    s.message_class("clip-release", "dedup", 2.5, DEADLINE_S),
]


def judge(accepted: dict[str, list[str]], calls: list[s.Call], platform: s.Platform) -> list[str]:
    """The rule on order: nothing goes out for a message while an earlier one of its key is unfinished."""
    broken = []
    delivered = {call.ref: call.ended for call in calls if call.answer == 200 and call.ended is not None}
    for refs in accepted.values():
        place = {ref: number for number, ref in enumerate(refs)}
        for call in calls:
            for earlier in refs[: place.get(call.ref, 0)]:
                notified = min((at for at, _ in platform.notices.get(earlier, [])), default=float("inf"))
                if min(delivered.get(earlier, float("inf")), notified) > call.came:
                    broken.append(
                        f"{call.ref} came to the host at {call.came:.3f} s, but {earlier}, which the relay took "
                        f"earlier with the same key, was unfinished"
                    )
                    break
    return broken


async def play(record: s.Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case once."""

    async def slow(call: s.Call) -> None:
        await asyncio.sleep(SERVICE_S)
        call.write(200)

    async def quick(call: s.Call) -> None:
        await asyncio.sleep(0.02)
        call.write(200)

    slow_host, quick_host = s.Host(record, "s-1", 1, slow), s.Host(record, "s-2", 2, quick)
    for host in (slow_host, quick_host):
        await host.start()
    platform = s.Platform(record, [slow_host, quick_host])
    await platform.start()
    relay = s.Relay(record, folder, platform, s.settings(CLASSES, rules={"turnGap": s.SECOND}))
    relay.configure()
    first_ops, second_ops = s.free_port(), s.free_port()
    accepted: dict[str, list[str]] = {key: [] for key in KEYS}
    try:
        process = await relay.start(first_ops)
        began = record.now()

        async def ordered() -> None:
            client = s.Client(record, relay.port)
            for number in range(ORDERED):
                for key in KEYS:
                    ref = f"{key}-{number:02d}"
                    if (await client.enqueue(ref, "score", DEADLINE_S * 1000, 1, key, b"score %d" % number)) == "+OK":
                        accepted[key].append(ref)
                await asyncio.sleep(ORDERED_GAP_S)

        async def bulk() -> None:
            client = s.Client(record, relay.port)
            number = 0
            while record.now() < began + UPGRADE_AT_S:
                await client.enqueue(f"clip-{number}", "clip-release", 28_000, 2, f"k{number}", bytes(BULK_BYTES))
                number += 1
                await asyncio.sleep(BULK_GAP_S)

        await asyncio.gather(ordered(), bulk())
        if trouble:
            await relay.upgrade(process, second_ops)
        end = record.now() + DEADLINE_S + 1
        while record.now() < end:
            done = {call.ref for call in slow_host.calls if call.answer == 200} | set(platform.notices)
            if all(ref in done for refs in accepted.values() for ref in refs):
                break
            await asyncio.sleep(0.1)
        if min(len(refs) for refs in accepted.values()) < ORDERED // 2:
            raise s.CannotRunError("the relay took too few of the ordered messages")
        return judge(accepted, slow_host.calls, platform)
    finally:
        await relay.stop()
        for host in (slow_host, quick_host):
            host.stop()
        platform.stop()


if __name__ == "__main__":
    s.main(play, Path(__file__).resolve().parent)
