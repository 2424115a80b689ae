"""Relays and controllers together: acquire, renew, release, fail and restart."""

from __future__ import annotations

from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.messages import Renew
from garnetrelay.fleet.leases.settings import SECOND
from tests.fleet.leases.cluster import SETTINGS, Cluster

ALL = list(range(8))


def _owns(cluster: Cluster, holder: Holder, partitions: list[int] = ALL) -> bool:
    return holder.owned(cluster.now).keys() == set(partitions)


def test_a_relay_owns_its_assigned_partitions_and_keeps_them() -> None:
    cluster = Cluster().start_all()
    relay = cluster.relay("a", ALL)
    assert cluster.run(2 * SECOND, lambda: _owns(cluster, relay))
    for _ in range(20):
        cluster.run(5 * SECOND)
        assert _owns(cluster, relay)
    assert {ownership.epoch for ownership in relay.owned(cluster.now).values()} == {1}
    assert relay.event_counts["lost"] == 0 and relay.event_counts["mismatches"] == 0


def test_ownership_ends_by_the_relays_clock_alone() -> None:
    cluster = Cluster().start_all()
    relay = cluster.relay("a", ALL)
    cluster.run(2 * SECOND, lambda: _owns(cluster, relay))
    ownership = relay.ownership(0, cluster.now)
    assert ownership is not None
    assert relay.ownership(0, ownership.until - 1) is not None
    assert relay.ownership(0, ownership.until) is None
    sent_at = max(link.votes[0].sent_at for link in relay._links)
    assert ownership.until <= sent_at + SETTINGS.holder_lease - SETTINGS.write_margin


def test_hand_over_in_a_higher_epoch() -> None:
    cluster = Cluster().start_all()
    first = cluster.relay("a", ALL)
    cluster.run(2 * SECOND, lambda: _owns(cluster, first))
    second = cluster.relay("b", ALL)
    cluster.run(5 * SECOND)
    assert _owns(cluster, first) and not second.owned(cluster.now)
    cluster.from_holder(first.session, first.set_assigned(cluster.now, []))
    assert not first.owned(cluster.now)
    assert cluster.run(SETTINGS.max_retry + SECOND, lambda: _owns(cluster, second))
    assert min(ownership.epoch for ownership in second.owned(cluster.now).values()) > 1


def test_a_crashed_relays_partitions_are_acquired_when_its_lease_ends() -> None:
    cluster = Cluster().start_all()
    first = cluster.relay("a", ALL)
    cluster.run(2 * SECOND, lambda: _owns(cluster, first))
    cluster.run(20 * SECOND)
    ends = min(ownership.until for ownership in first.owned(cluster.now).values())
    del cluster.holders[first.session]
    second = cluster.relay("b", ALL)
    assert cluster.run(SETTINGS.lease + 2 * SECOND, lambda: _owns(cluster, second))
    assert cluster.now >= ends


def test_only_renewals_are_sent_without_changes() -> None:
    cluster = Cluster().start_all()
    relay = cluster.relay("a", ALL)
    cluster.run(10 * SECOND)
    cluster.messages.clear()
    cluster.run(60 * SECOND)
    sent = [message for sender, _, message in cluster.messages if sender == relay.session]
    assert all(isinstance(message, Renew) for message in sent)
    assert len(sent) <= 3 * 60 / 3.5 + 3
