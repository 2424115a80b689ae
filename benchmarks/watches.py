"""How long a relay goes on without a fresh list once its watch has fallen silent, on loopback sockets and in real time.

What a silent watch misses counts as told 6 s after it fell silent; a host that drains meanwhile may get its last call a
grace later. Silence begins right behind a line, which is the longest way for the relay.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path

from garnetrelay.config.deployment import load
from garnetrelay.rehearsal.scripted_peers import ScriptedPlatform
from garnetrelay.relay import Relay

LONGEST = 45.0  # seconds: beyond it the watch counts as never opened anew


async def silence(mode: str, relays: int, seed: int) -> float | None:
    """Seconds from a watch's last line to the first of the next one; None: there was none."""
    platform = ScriptedPlatform()
    await platform.start()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": platform.address,
                    "seed": str(seed),
                    "limits": {"memory_mb": 192, "sockets": 512, "disk_mb": 3},
                    "known": {"index": 1, "snapshot": True, "endpoints": []},
                    "settings": {
                        "balancers": relays,
                        "discovery": mode,
                        "classes": [{"name": "notice", "aim": 10**9, "deadline": 8 * 10**9, "idempotency": "retryable"}],
                        "familyInfo": {"callsOut": 4},
                        "rules": {
                            "fall": 3 * 10**9,
                            "fallMultiple": 2.0,
                            "rampTime": 10**10,
                            "startCapacity": 0.2,
                            "askEvery": 10**10,
                        },
                        "limits": {"mostHeld": 10, "mostTries": 6, "connectTimeout": 10**9, "connIdle": 10**10},
                    },
                }
            )
        )
        relay = Relay(load({"RELAY_CONFIG": str(path), "RELAY_STATE": folder}))
        try:
            await relay.start()
            relay.discovery.subscribe()  # among many it would wait for its turn: what counts comes later
            (await platform.next_watch()).line("")
            while not relay.pacer.discovery_schedule.subscribed:
                await asyncio.sleep(0)
            began = time.monotonic()
            async with asyncio.timeout(LONGEST):
                call = await platform.calls.get()
            call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            return time.monotonic() - began
        except TimeoutError:
            return None
        finally:
            relay.close()
            await platform.stop()


async def all_of(seeds: int) -> None:
    """Print the table: both ways to hear of changes, 5 relays and 200."""
    print("mode        relays   seconds from the last line to the next watch: least, most")
    for mode in ("subscribe", "automatic"):
        for relays in (5, 200):
            took = await asyncio.gather(*(silence(mode, relays, seed) for seed in range(seeds)))
            known = [one for one in took if one is not None]
            never = f"   never in {LONGEST:.0f} s: {len(took) - len(known)} of {len(took)}" if None in took else ""
            spread = f"{min(known):5.2f} {max(known):5.2f}" if known else "  -"
            print(f"{mode:11} {relays:6}   {spread}{never}")


def compare(seeds: int) -> None:
    """From a watch's silence to the next one, where lists are pushed and where they are asked for."""
    asyncio.run(all_of(seeds))
