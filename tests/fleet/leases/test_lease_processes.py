"""Controllers and relays as processes under faults: an observer checks who owns which partition."""

from __future__ import annotations

import signal
from pathlib import Path

from garnetrelay.fleet import clock
from garnetrelay.simulation.links import LinkConditions, between
from tests.fleet.leases.process_cluster import Cluster


async def test_one_owner_at_a_time_through_stops_kills_and_a_lost_folder(tmp_path: Path) -> None:
    async with Cluster(tmp_path, 5, 3) as cluster:
        await cluster.start_all()
        r1, r2, r3 = cluster.relays.values()
        c0, c1, c2, *_ = cluster.controllers.values()

        # A relay is stopped for longer than its lease: afterwards others own its partitions in higher epochs.
        r1.signal(signal.SIGSTOP)
        cluster.observer.freeze(r1)
        await cluster.observer.all_owned("r2", "r3")
        r1.signal(signal.SIGCONT)
        await cluster.until(lambda: r1.logged(" lost, "))

        # A relay is killed, and a new process with its name starts a new session.
        cluster.observer.freeze(r2)
        r2.signal(signal.SIGKILL)
        await r2.wait_for_exit()
        await r2.start()

        # A controller that is killed and loses its folder becomes ready again with the records of the others.
        c0.signal(signal.SIGKILL)
        await c0.wait_for_exit()
        c0.lose_folder()
        lines = len(c0.lines)
        await c0.start()
        await cluster.until(lambda: c0.logged("ready: ", lines))
        await cluster.observer.all_owned(since=clock.now())
        assert (c0.folder / "state" / "grants").exists()

        # With two of five controllers down, ownership goes on. With a third down it ends; it returns when they are back.
        for controller in (c1, c2):
            controller.signal(signal.SIGKILL)
            await controller.wait_for_exit()
        await cluster.observer.all_owned(since=clock.now())
        c0.signal(signal.SIGTERM)
        assert await c0.wait_for_exit() == 0
        await cluster.observer.none_owned()
        for controller in (c0, c1, c2):
            await controller.start()
        await cluster.observer.all_owned(since=clock.now())
        assert cluster.observer.samples > 0


async def test_one_way_cuts_lossy_links_and_all_controllers_at_once(tmp_path: Path) -> None:
    lossy = LinkConditions(loss=0.05, doubles=0.05, delay_ms=1, jitter_ms=5, damage=0.02)
    async with Cluster(tmp_path, 3, 2, lossy) as cluster:
        await cluster.start_all()
        r1 = cluster.relays["r1"]
        names = list(cluster.controllers)

        # A cut in one direction, then in the other: r1 stays in all views, but can't know whether it holds a lease.
        for senders, receivers in ((names, ["r1"]), (["r1"], names)):
            cluster.links.set_rule("one way", between(senders, receivers, one_way=True), LinkConditions(cut=True))
            since = clock.now()
            await cluster.observer.cut_off(r1, since)
            assert [line.number for line in await cluster.controllers_seen_by(r1)] == [0, 1, 2]
            cluster.links.remove_rule("one way")
            await cluster.observer.all_owned(since=clock.now())

        for controller in cluster.controllers.values():
            controller.signal(signal.SIGKILL)
        for controller in cluster.controllers.values():
            await controller.wait_for_exit()
            await controller.start()
        await cluster.observer.none_owned()
        await cluster.observer.all_owned(since=clock.now())
        assert cluster.observer.samples > 0
