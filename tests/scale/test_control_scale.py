"""Membership and leases over more relays: frames, bytes and calls that don't grow with them, counted."""

from __future__ import annotations

from benchmarks.capacity import leases, membership
from garnetrelay.fleet.leases.digest import digest
from garnetrelay.fleet.leases.messages import Renew
from tests.scale.calls import calls

# A member a second, with probes every second: a question and its answer. Of the links of the run 1 % is lost, so of a
# hundred probes two fail, and each has three others asked in four frames: 0.24 in the mean. The same again is for chance.
MOST_FRAMES = 2.5


def test_a_member_sends_as_many_frames_in_a_fleet_four_times_the_size() -> None:
    few, many = membership.measure(5), membership.measure(20)
    assert 1 < few.frames <= MOST_FRAMES
    assert 1 < many.frames <= MOST_FRAMES
    assert many.sent < 4 * few.sent


def renewing(relays: int) -> int:
    """Calls of Python for one relay's renewal at a controller of so many."""
    controller, now = leases.ready(), leases.MOST_WAIT
    held = leases.acquired(controller, relays, now)
    session, grants = held[0]
    request = Renew(session, 1_000, 1, leases.SETTINGS.fingerprint, len(grants), digest(grants))
    return calls(lambda: controller.receive(now, request))


def test_a_renewal_costs_as_much_at_a_controller_of_ten_times_the_relays() -> None:
    assert renewing(10) == renewing(100)


def test_all_partitions_are_granted_to_relays_that_ask_for_a_part_each() -> None:
    held = leases.acquired(leases.ready(), 20, leases.MOST_WAIT)
    partitions = [grant.partition for _, grants in held for grant in grants]
    assert sorted(partitions) == list(range(leases.SETTINGS.partitions))


def test_a_controller_sends_as_much_to_each_relay_however_many_there_are() -> None:
    assert leases.measure(20).sent == 2 * leases.measure(10).sent
