"""What leases cost real controllers and a relay, by sockets and disk; and many relays that crash at once."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.capacity.size import CONTROL_CORES, CONTROL_MEMORY, CONTROL_NETWORK, RELAY_CORES
from benchmarks.lease_cluster import Cluster, FailedError, HollowFleet, Terms, Traffic, Usage
from benchmarks.peers import memory_mb

IP_AND_UDP = 28  # bytes of headers of a datagram (IPv4)
DETECTION = 15.0  # seconds from a crash to the view without the relay: membership's, assumed here
VIEW_SPREAD = 3.0  # seconds within which relays learn of a view


class Worst:
    """The worst second at a controller, and in the mean of the relays; looks each second until it is stopped."""

    def __init__(self, cluster: Cluster) -> None:
        self.processor = 0.0  # share of a core
        self.traffic = Traffic(0, 0)
        self.syncs = 0
        self.relay_bytes = 0.0
        self._cluster = cluster
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """No more looks; FailedError where one could not be had."""
        self._task.cancel()
        await asyncio.wait([self._task])
        if not self._task.cancelled() and (error := self._task.exception()) is not None:
            raise error

    async def _run(self) -> None:
        cluster = self._cluster
        assert cluster.fleet is not None
        at, before, relays = time.monotonic(), await cluster.usage(), cluster.fleet.traffic()
        while True:
            await asyncio.sleep(1)
            now, after, relays_now = time.monotonic(), await cluster.usage(), cluster.fleet.traffic()
            for old, new in zip(before, after, strict=True):
                self._compare(old, new, now - at)
            own = relays_now.since(relays).size / (now - at) / len(cluster.fleet.relays)
            self.relay_bytes = max(self.relay_bytes, own)
            at, before, relays = now, after, relays_now

    def _compare(self, old: Usage, new: Usage, span: float) -> None:
        traffic = new.traffic.since(old.traffic)
        self.processor = max(self.processor, (new.processor - old.processor) / span)
        self.traffic = Traffic(
            max(self.traffic.datagrams, round(traffic.datagrams / span)),
            max(self.traffic.size, round(traffic.size / span)),
        )
        self.syncs = max(self.syncs, round((new.syncs - old.syncs) / span))


def load(terms: Terms, seconds: float, killed: int) -> None:
    """Real controllers by sockets and disk: processor, memory, bytes, syncs; and relays killed at once."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(_load(Path(folder), terms, seconds, killed))
        except FailedError as error:
            sys.exit(f"failed: {error}")


async def _load(folder: Path, terms: Terms, seconds: float, killed: int) -> None:
    print(f"{terms.relays} hollow relays, {terms.controllers} controllers, {terms.partitions} partitions, "
          f"a lease of {terms.lease_ms / 1000:g} s; bytes with IP and UDP")  # fmt: skip
    async with Cluster(folder, terms) as cluster:
        await cluster.ready()
        await _grants(cluster)
        await _renewals(cluster, seconds)
        if killed:
            await _kill(cluster, killed)


async def _grants(cluster: Cluster) -> None:
    """All relays come, and all partitions are granted."""
    before = await cluster.usage()
    memory = memory_mb(os.getpid())
    fleet = cluster.gather()
    began = time.monotonic()
    fleet.view(VIEW_SPREAD)
    await cluster.all_owned()
    _say(f"granted: all owned after (views within {VIEW_SPREAD:g} s)", f"{time.monotonic() - began:.1f} s")
    _say_syncs(before, await cluster.usage())
    own = (memory_mb(os.getpid()) - memory) * 1e6 / len(fleet.relays)
    _say_budget("a relay: memory of its holder and socket, bytes", own, CONTROL_MEMORY.most)


async def _renewals(cluster: Cluster, seconds: float) -> None:
    """Peace."""
    fleet = cluster.fleet
    assert fleet is not None
    before, relays, own, began = await cluster.usage(), fleet.traffic(), time.process_time(), time.monotonic()
    await asyncio.sleep(seconds)
    span, own = time.monotonic() - began, time.process_time() - own
    after, relays = await cluster.usage(), fleet.traffic().since(relays)
    shares = [(new.processor - old.processor) / span for old, new in zip(before, after, strict=True)]
    most = max(
        (new.traffic.since(old.traffic) for old, new in zip(before, after, strict=True)),
        key=lambda traffic: traffic.datagrams,
    )
    memory = [controller.memory() for controller in cluster.controllers]
    count = len(fleet.relays)
    _say("renewals: measured for", f"{span:.1f} s")
    _say("a controller: share of a core, each", ", ".join(f"{share:.2%}" for share in shares))
    _say("  resident memory, each", ", ".join(f"{each:.1f}" for each in memory) + " MB")
    _say("  datagrams a second both ways, most", f"{most.datagrams / span:.0f}")
    _say("  bytes a second both ways, most", f"{_with_headers(most) / span:.0f}")
    _say("  syncs of all", str(sum(new.syncs - old.syncs for old, new in zip(before, after, strict=True))))
    _say_budget("a controller's processor, most", max(shares), RELAY_CORES.most)
    _say_budget("a relay: share of a core", own / span / count, CONTROL_CORES.most)
    _say_budget("a relay: bytes a second both ways", _with_headers(relays) / span / count, CONTROL_NETWORK.most)
    _say_owners(fleet)


async def _kill(cluster: Cluster, killed: int) -> None:
    """Relays crash at once; the others learn of it after a detection."""
    fleet = cluster.fleet
    assert fleet is not None
    before, worst, began = await cluster.usage(), Worst(cluster), time.monotonic()
    fleet.kill(random.Random(killed).sample(sorted(fleet.relays), killed))
    await asyncio.sleep(DETECTION)
    fleet.view(VIEW_SPREAD)
    try:
        await cluster.all_owned()
        taken = time.monotonic() - began
    finally:
        await worst.stop()
    _say(f"{killed} killed: all owned again after (detection {DETECTION:g} s)", f"{taken:.1f} s")
    _say_syncs(before, await cluster.usage())
    _say("worst second at a controller: share of a core", f"{worst.processor:.2%}")
    _say(
        "  datagrams both ways, bytes, syncs", f"{worst.traffic.datagrams}, {_with_headers(worst.traffic)}, {worst.syncs}"
    )
    _say("worst second of the relays left, bytes in the mean (no headers)", f"{worst.relay_bytes:.0f}")
    _say_owners(fleet)


def _say_owners(fleet: HollowFleet) -> None:
    owners = fleet.owners()
    _say(
        "at the end: partitions owned, most owners of one", f"{len(owners)}, {max(map(len, owners.values()), default=0)}"
    )


def _say_syncs(before: list[Usage], after: list[Usage]) -> None:
    pairs = list(zip(before, after, strict=True))
    syncs = sum(new.syncs - old.syncs for old, new in pairs)
    spent = sum(new.sync_time - old.sync_time for old, new in pairs)
    records = sum(new.records - old.records for old, new in pairs)
    _say("  syncs of all controllers, records in them", f"{syncs}, {records}")
    _say("  a sync: mean, longest since the start", f"{spent / max(1, syncs) * 1e3:.1f} ms, "
         f"{max(new.longest_sync for new in after) * 1e3:.1f} ms")  # fmt: skip
    _say("  processor of a controller, most", f"{max(new.processor - old.processor for old, new in pairs):.2f} s")


def _say_budget(what: str, found: float, budget: float) -> None:
    verdict = "holds" if found <= budget else "NO"
    _say(what, f"{found:.6g} of {budget:.6g}: {verdict}, {found / budget:.1%} of it")


def _say(what: str, found: str) -> None:
    print(f"{what:<66}{found}", flush=True)


def _with_headers(traffic: Traffic) -> int:
    return traffic.size + IP_AND_UDP * traffic.datagrams
