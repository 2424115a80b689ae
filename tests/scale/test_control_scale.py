"""Membership and leases with more relays: frames, bytes and calls per relay must not grow with their number."""

from __future__ import annotations

from benchmarks.capacity import leases, membership
from garnetrelay.fleet.leases.digest import digest
from garnetrelay.fleet.leases.messages import Renew
from tests.scale.calls import calls

# Frames per member and second. Each member probes once a second, with a request and an answer. The simulated links lose
# 1 % of the messages, so two of a hundred probes fail, and each failed probe asks three others in four frames: 0.24 on
# average. The same amount again allows for chance.
MAX_FRAMES_PER_S = 2.5


def test_a_member_sends_as_many_frames_in_a_fleet_four_times_the_size() -> None:
    few, many = membership.measure(5), membership.measure(20)
    assert 1 < few.frames <= MAX_FRAMES_PER_S
    assert 1 < many.frames <= MAX_FRAMES_PER_S
    assert many.sent < 4 * few.sent


def renewal_calls(relays: int) -> int:
    """Returns the number of Python calls for one renewal at a controller with this many relays."""
    controller, now = leases.ready(), leases.MOST_WAIT
    acquired = leases.acquired(controller, relays, now)
    session, grants = acquired[0]
    request = Renew(session, 1_000, 1, leases.SETTINGS.fingerprint, len(grants), digest(grants))
    return calls(lambda: controller.receive(now, request))


def test_a_renewal_costs_as_much_at_a_controller_of_ten_times_the_relays() -> None:
    assert renewal_calls(10) == renewal_calls(100)


def test_all_partitions_are_granted_to_relays_that_request_a_part_each() -> None:
    acquired = leases.acquired(leases.ready(), 20, leases.MOST_WAIT)
    partitions = [grant.partition for _, grants in acquired for grant in grants]
    assert sorted(partitions) == list(range(leases.SETTINGS.partitions))


def test_a_controller_sends_as_much_to_each_relay_however_many_there_are() -> None:
    assert leases.measure(20).sent == 2 * leases.measure(10).sent
