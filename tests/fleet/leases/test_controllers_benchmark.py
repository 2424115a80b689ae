"""The harness of `python -m benchmarks controllers`: real controllers, simulated relays, and no process left running."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from benchmarks.lease_cluster import Cluster, FailedError, HollowFleet, Terms

TERMS = Terms(relays=12, controllers=3, partitions=64, lease_ms=2000, patience=30.0)
KILLED = ("relay-0", "relay-5", "relay-11")


def assert_gone(cluster: Cluster) -> None:
    """Checks that each process was waited for: only then it has a return code."""
    for controller in cluster.controllers:
        assert controller.process is not None
        assert controller.process.returncode is not None


async def test_all_partitions_are_owned_again_after_a_kill_and_no_process_stays(tmp_path: Path) -> None:
    async with Cluster(tmp_path, TERMS) as cluster:
        await cluster.ready()
        fleet = cluster.gather()
        fleet.view(spread=0)
        before = await cluster.all_owned()
        assert before.keys() == set(range(TERMS.partitions))
        assert {len(owners) for owners in before.values()} == {1}
        assert {owners[0].relay for owners in before.values()} == fleet.relays.keys()
        usage = await cluster.usage()
        assert all(each.syncs and each.records and each.traffic.datagrams for each in usage)

        fleet.kill(KILLED)
        fleet.view(spread=0)
        after = await cluster.all_owned()
        assert after.keys() == before.keys()
        assert {len(owners) for owners in after.values()} == {1}
        lost = {partition for partition, owners in before.items() if owners[0].relay in KILLED}
        assert lost
        assert not any(owners[0].relay in KILLED for owners in after.values())
        assert all(after[partition][0].epoch > before[partition][0].epoch for partition in lost)
    assert_gone(cluster)
    assert [controller.process.returncode for controller in cluster.controllers if controller.process] == [0, 0, 0]


async def test_a_failed_start_reports_the_controllers_output_and_ends_the_others(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, TERMS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used_socket:
        used_socket.bind(cluster.controllers[1].config.listen)
        with pytest.raises(
            FailedError, match="^ended before it said 'hears at': controller 1 ended; .*cannot start.*in use"
        ):
            async with cluster:
                pass
    assert_gone(cluster)


async def test_unowned_partitions_are_reported_after_the_timeout(tmp_path: Path) -> None:
    """No controller is running."""
    terms = TERMS._replace(patience=0.2)
    cluster = Cluster(tmp_path, terms)
    fleet: HollowFleet = cluster.gather()
    try:
        fleet.view(spread=0)
        with pytest.raises(FailedError, match="^0 of 64 owned after 0.2 s\n"):
            await cluster.all_owned()
    finally:
        fleet.close()
