"""Difficult cases on a driven clock, schedules that failed once, and injected faults that the checks detect.

More seeds and members: `python -m benchmarks fleet faults --seeds 1000 --keep tests/fleet/schedules`.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from garnetrelay.fleet.members.claims import Status
from garnetrelay.fleet.members.effects import LogLine
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.fleet.members.table import LinkState
from garnetrelay.fleet.members.view_state import Condition
from garnetrelay.simulation.fleet_simulation import FleetSimulation
from garnetrelay.simulation.links import LinkConditions, between
from garnetrelay.simulation.schedules import KINDS, Schedule, generate_schedule, run_schedule

STORED_SCHEDULES = sorted((Path(__file__).parent / "schedules").glob("*.json"))
KINDS_WITHOUT_FALSE_FAILURES = {"a pair apart", "clock ahead", "leaving"}  # every member declared failed in these is down


def load_schedule(name: str) -> Schedule:
    return msgspec.json.decode((Path(__file__).parent / "schedules" / f"{name}.json").read_bytes(), type=Schedule)


@pytest.mark.parametrize("kind", KINDS)
def test_views_converge(kind: str) -> None:
    for seed in (2, 3):  # with the same frame version on all relays, and with half of them on the earlier one
        outcome = run_schedule(generate_schedule(kind, seed, 7))
        assert not outcome.failed, outcome
        assert kind not in KINDS_WITHOUT_FALSE_FAILURES or not outcome.false_failures


@pytest.mark.parametrize("path", STORED_SCHEDULES, ids=lambda path: path.stem)
def test_a_schedule_that_failed_once_passes(path: Path) -> None:
    outcome = run_schedule(load_schedule(path.stem))
    assert not outcome.failed, outcome


def test_a_run_is_reproducible_to_the_frame() -> None:
    sent = []
    for _ in range(2):
        worlds: list[FleetSimulation] = []
        run_schedule(generate_schedule("halves", 5, 6), prepare=worlds.append)
        sent.append([(node.name, node.sent_frames, node.sent_bytes) for node in worlds[0].nodes.values()])
    assert sent[0] == sent[1]


def test_without_contact_requests_to_seeds_that_left_views_stay_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    send_contact_request = Membership._send_contact_request

    def without_left_seeds(members: Membership, now: int) -> None:
        left = {member.claim.address for member in members.table if member.claim.status is Status.LEFT}
        seeds, members.seeds = members.seeds, [seed for seed in members.seeds if seed not in left]
        send_contact_request(members, now)
        members.seeds = seeds

    monkeypatch.setattr(Membership, "_send_contact_request", without_left_seeds)
    assert run_schedule(load_schedule("leaving-10-17")).one_view_ms is None


def test_declaring_failures_while_alone_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    expire = LocalView.expire_suspicions
    monkeypatch.setattr(LocalView, "expire_suspicions", lambda local_view, now, answered_at: expire(local_view, now, now))
    assert any(
        "ALONE and declares others failed" in problem
        for problem in run_schedule(generate_schedule("one alone", 2, 7)).problems
    )


def converged_world(
    count: int,
    base: LinkConditions | None = None,
    settings: Settings | None = None,
    zones: Callable[[int], int] = lambda number: 0,
) -> FleetSimulation:
    world = FleetSimulation(count, settings or Settings(), 1, base, zones=zones)
    for name in world.nodes:
        world.start(name)
    assert world.run(60 * SECOND, world.one_view)
    world.run(world.now + 30 * SECOND)
    return world


def members(world: FleetSimulation, name: str) -> Membership:
    found = world.nodes[name].members
    assert found is not None
    return found


@pytest.mark.parametrize("suspected", ["not at all", "before", "in the new claim"])
def test_a_change_of_zone_is_logged_whichever_claim_brings_it(suspected: str) -> None:
    """During an upgrade a member was suspected: its refutation was logged, but not the new zone in it."""
    world = converged_world(3)
    member = members(world, "n1")
    held = member.table.members["n2"].claim
    new_zone = msgspec.structs.replace(held, incarnation=held.incarnation + 1, zone=3)
    refuted = msgspec.structs.replace(new_zone, incarnation=new_zone.incarnation + 1)
    claims = {
        "not at all": [new_zone],
        "before": [held.with_status(Status.SUSPECT, "n3"), new_zone],
        "in the new claim": [new_zone.with_status(Status.SUSPECT, "n3"), refuted],
    }
    for claim in claims[suspected]:
        member.local_view.apply_claim(world.now, claim)
    lines = [effect.text for effect in member._effects if isinstance(effect, LogLine)]
    assert sum("zone 3" in line for line in lines) == 1


def test_zones_are_known_to_all_and_leave_the_view_with_their_members() -> None:
    world = converged_world(5, zones=lambda number: number % 3)
    expected = {"n1": 1, "n2": 2, "n3": 0, "n4": 1, "n5": 2}
    views = [members(world, name).fleet_view() for name in world.nodes]
    assert all(view.zones == expected for view in views) and len({view.view for view in views}) == 1
    assert all(view.condition is Condition.SETTLED and view.relies.grow for view in views)
    world.kill("n2")
    assert world.run(world.now + 60 * SECOND, world.one_view)
    del expected["n2"]
    views = [members(world, name).fleet_view() for name in expected]
    assert all(view.zones == expected and not view.relies.grow for view in views)


def test_a_one_way_link_is_distinguished_from_a_failure() -> None:
    world = converged_world(5)
    assert {members(world, name).condition for name in world.nodes} == {Condition.SETTLED}
    world.links.set_rule("cut", between(["n1"], ["n2"], one_way=True), LinkConditions(cut=True))
    world.run(world.now + 60 * SECOND)
    one, two = members(world, "n1"), members(world, "n2")
    # n1's requests don't arrive at n2; n2's requests arrive, but n1's answers don't.
    assert one.table.members["n2"].link_state is LinkState.OUTBOUND_CUT
    assert (
        two.table.members["n1"].link_state is LinkState.OUTBOUND_CUT
        or two.table.members["n1"].link_state is LinkState.INBOUND_CUT
    )
    assert not world.failures
    world.links.remove_rule("cut")
    assert world.run(
        world.now + 60 * SECOND,
        lambda: all(
            member.link_state is LinkState.WHOLE for member in [*one.table.members.values(), *two.table.members.values()]
        ),
    )


def test_a_relay_that_hears_nobody_is_alone_and_declares_nobody_failed() -> None:
    world = converged_world(5)
    world.links.set_rule("cut", between(["n1"], ["n2", "n3", "n4", "n5"]), LinkConditions(cut=True))
    cut_since = world.now
    assert world.run(cut_since + 60 * SECOND, lambda: members(world, "n1").condition is Condition.ALONE)
    one = members(world, "n1")
    assert world.now - cut_since <= one.settings.alone_timeout * (one.slow + 1) + 2 * one.settings.probe_interval
    world.run(cut_since + 60 * SECOND)
    assert one.local_view.counters.failed == 0 and len(one.table.members) == 4
    assert {whom for _, _, whom, _, _ in world.failures} == {"n1"}
    world.links.remove_rule("cut")
    assert world.run(world.now + 60 * SECOND, world.one_view)
    # The process is the same: its state is not new, and the others can see that.
    held = members(world, "n2").table.members["n1"].claim
    assert (held.life, held.born) == (2, 1)


def test_observations_are_no_older_than_their_bound() -> None:
    world = converged_world(12, LinkConditions(jitter_ms=20))
    worst = 0
    for _ in range(60):
        world.run(world.now + SECOND)
        for node in world.live():
            found = members(world, node.name)
            ages = [found.age(name, world.now) for name in found.table.members]
            worst = max([worst, *(age for age in ages if age is not None)])
            assert None not in ages
    assert 0 < worst <= Settings().max_observation_age(12)


def test_a_relay_whose_only_peer_dies_is_alone_and_finds_it_again() -> None:
    world = converged_world(2)
    world.kill("n2")
    assert world.run(world.now + 30 * SECOND, lambda: members(world, "n1").condition is Condition.ALONE)
    world.run(world.now + 60 * SECOND)
    assert not world.failures  # it cannot know which of the two is cut off
    world.start("n2")
    assert world.run(world.now + 30 * SECOND, world.one_view)
    assert members(world, "n1").table.members["n2"].claim.life == 2


def test_of_two_processes_with_one_name_one_stays_active() -> None:
    world = converged_world(4)
    other_address = world.nodes["n4"].address
    first = members(world, "n3")
    # A process elsewhere takes n3's name, from a copy of its folder.
    world.kill("n4")
    assert world.run(world.now + 60 * SECOND, world.one_view)
    world.start("n4", folder=world.nodes["n3"].life, called="n3")
    assert world.run(world.now + 60 * SECOND, lambda: not first.local.active)
    held = members(world, "n1").table.members["n3"].claim
    assert held.address == other_address and held.life == 2 and first.local.name_holder is not None
    assert first.condition is Condition.JOINING and not first.local_view.suspect(0, "n1", held.identity, "")


def test_a_run_is_the_same_in_any_process() -> None:
    text = (
        "from garnetrelay.simulation.schedules import generate_schedule, run_schedule\n"
        "print([run_schedule(generate_schedule(kind, 3, 12)) for kind in ('seven in ten killed', 'halves')])"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", text], env={**os.environ, "PYTHONHASHSEED": seed}, check=True, capture_output=True
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(outputs) == 1 and b"one_view_ms" in outputs.pop()
