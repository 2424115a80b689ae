"""Payments are returned as refused while the journal can't be written; then the relay is killed, and makes them."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import standins as s

CUT_AT_S, CUT_S = 4.0, 6.0  # "for 6 s a zone is partitioned"
CLIPS_PER_S = 40
CLIP_BYTES = 25_000  # the protocol page allows 64 KiB
CLIP_CLIENTS = 20
CLIP_DEADLINE_S = 1.2  # a day's settings may give shorter deadlines
CLIPS_AFTER_S = 4.0  # for which clips are handed in behind the cut
PAYMENTS = 90
PAYMENT_BYTES = 9_000
PAYMENT_GAP_S = 0.12
PAYMENT_DEADLINE_S = 28.0
LIMIT_PER_S = 4  # calls that the payments' partner takes from a relay; above it says 503
AGAIN_S = 0.5  # from a refusal until the client hands the payment in again, at the other relay
KILLED_AFTER_S = 11.5  # from the end of the cut
DOWN_S = 0.6  # from SIGKILL to the next start
WATCH_S = 5.0
PLAYS = 3  # at most: whether a small record fits where a large one does not depends on what is left of the folder

CLASSES = [
    s.message_class("clip-release", "dedup", 0.6, CLIP_DEADLINE_S),
    s.message_class("licence-fee", "fragile", 2, PAYMENT_DEADLINE_S),
]


def payment(number: int) -> bytes:
    """The body of a payment; its first words name it, whatever id it is handed in under."""
    return b"fee %03d " % number + bytes(PAYMENT_BYTES)


async def play(record: s.Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case up to three times, each with new relays, until a payment takes effect twice."""
    for number in range(PLAYS):
        record.add(f"play {number + 1}")
        scratch = folder / str(number)
        scratch.mkdir()
        broken = await play_once(record, scratch, trouble)
        if broken:
            return broken
    return []


async def play_once(record: s.Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case once. n1's way to the other building, with the clips' partner and the platform, is cut for 6 s."""
    served: list[float] = []

    async def serve(call: s.Call) -> None:
        if call.host.dest == 8 and not call.ref.startswith("again"):
            if sum(at > record.now() - 1 for at in served) >= LIMIT_PER_S:
                await asyncio.sleep(0.05)
                call.write(503)
                return
            served.append(record.now())
        await asyncio.sleep(0.15)
        if call.ended is None:
            call.write(200)

    hosts = [s.Host(record, "s-1", 7, serve, "archive-block"), s.Host(record, "s-2", 8, serve)]
    for host in hosts:
        await host.start()
    platforms = [s.Platform(record, hosts), s.Platform(record, hosts)]  # of n1 and of n2
    for platform in platforms:
        await platform.start()
    links = [s.Link(hosts[0].address), s.Link(platforms[0].address)]
    for link in links:
        link.start()
    platforms[0].listed_at = {"s-1": links[0].address}
    first = s.Relay(record, folder, platforms[0], s.settings(CLASSES), "n1", links[1].address)
    second = s.Relay(record, folder, platforms[1], s.settings(CLASSES), "n2")
    tasks: list[asyncio.Task[None]] = []
    refused: set[str] = set()
    try:
        for relay in (first, second):
            relay.configure()
        process = await first.start()
        await second.start()
        await asyncio.sleep(0.5)
        began = record.now()
        numbers = itertools.count()

        async def clips() -> None:
            client = s.Client(record, first.port)
            while record.now() < began + CUT_AT_S + CUT_S + CLIPS_AFTER_S:
                ref = f"clip-{next(numbers)}"
                await client.enqueue(ref, "clip-release", int(CLIP_DEADLINE_S * 1000), 7, ref, bytes(CLIP_BYTES))
                await asyncio.sleep(CLIP_CLIENTS / CLIPS_PER_S)

        async def payments() -> None:
            client = s.Client(record, first.port)
            for number in range(PAYMENTS):
                d_ms = int(PAYMENT_DEADLINE_S * 1000)
                await client.enqueue(f"fee-{number:03d}", "licence-fee", d_ms, 8, None, payment(number))
                await asyncio.sleep(PAYMENT_GAP_S)

        async def hand_in_again(ref: str) -> None:
            await asyncio.sleep(AGAIN_S)
            client = s.Client(record, second.port)
            d_ms = int(PAYMENT_DEADLINE_S * 500)
            await client.enqueue(f"again-{ref}", "licence-fee", d_ms, 8, None, payment(int(ref.removeprefix("fee-"))))
            client.close()

        async def clients_of_refused() -> None:
            while True:
                for ref, notices in list(platforms[0].notices.items()):
                    if ref.startswith("fee-") and ref not in refused and notices[0][1] == "bounced":
                        refused.add(ref)
                        tasks.append(asyncio.create_task(hand_in_again(ref)))
                await asyncio.sleep(0.05)

        tasks.append(asyncio.create_task(clients_of_refused()))
        for _ in range(CLIP_CLIENTS):
            tasks.append(asyncio.create_task(clips()))
            await asyncio.sleep(1 / CLIPS_PER_S)
        await asyncio.sleep(began + CUT_AT_S - record.now())
        if trouble:
            record.add("the link from n1 to the other building is cut")
            for link in links:
                link.cut()
        tasks.append(asyncio.create_task(payments()))
        await asyncio.sleep(CUT_S)
        if trouble:
            record.add("the link is whole again")
            for link in links:
                link.mend()
        await asyncio.sleep(KILLED_AFTER_S)
        if trouble:
            await first.kill(process)
            await asyncio.sleep(DOWN_S)
            first.configure()
            await first.start()
        await asyncio.sleep(WATCH_S)
        effects: dict[bytes, list[s.Call]] = {}
        for call in hosts[1].calls:
            if call.answer == 200:
                effects.setdefault(call.body[:7], []).append(call)
        record.add(f"{len(refused)} payments were refused by a notice, {len(effects)} took effect")
        return [
            f"{name.decode()} took effect {len(calls)} times: {', '.join(f'{c.ref} at {c.came:.3f} s' for c in calls)}"
            for name, calls in sorted(effects.items())
            if len(calls) > 1
        ]
    finally:
        for task in tasks:
            task.cancel()
        for relay in (first, second):
            await relay.stop()
        for host in hosts:
            host.stop()
        for link in links:
            link.stop()
        for platform in platforms:
            platform.stop()


if __name__ == "__main__":
    s.main(play, Path(__file__).resolve().parent)
