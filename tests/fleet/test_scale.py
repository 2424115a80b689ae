"""Sixty simulated relays on a driven clock: one view, no false failures, and no more bytes than the settings allow.

Larger fleets: `python -m benchmarks fleet scale --members 310 620 1000`.
"""

from __future__ import annotations

import random

import pytest

from garnetrelay.fleet.members import digests
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import SendFrame, StartExchange
from garnetrelay.fleet.members.exchanges import BULK_PERIODS, Exchanges
from garnetrelay.fleet.members.outgoing import FIXED_FRAME_BYTES
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.simulation.fleet_simulation import FleetSimulation
from garnetrelay.simulation.links import LinkConditions, between
from garnetrelay.simulation.meter import Kind, Meter

MEMBERS = 60
ZONES = 6
SETTINGS = Settings()
FRAMES_PER_PERIOD = 2  # a request and an answer per period
# For one lost probe: three indirect probes, their answers and confirmations, and contact requests to seeds. At 1 % loss
# it is far less.
FRAMES_PER_LOST_PROBE = 4


def converged_world(seed: int, loss: float = 0.01) -> tuple[FleetSimulation, Meter]:
    world = FleetSimulation(
        MEMBERS, SETTINGS, f"scale/{seed}", LinkConditions(loss=loss, jitter_ms=20), zones=lambda number: number % ZONES
    )
    meter = Meter(world)
    draw = random.Random(seed)
    for name in world.nodes:
        world.at(draw.randrange(SECOND), lambda name=name: world.start(name))  # type: ignore[misc]
    world.run(SECOND)
    assert world.run(60 * SECOND, world.one_view)
    assert world.run(
        world.now + 120 * SECOND,
        lambda: not any(node.members is not None and len(node.members.local_view.dissemination) for node in world.live()),
    )
    return world, meter


def idle_bytes_bound(world: FleetSimulation) -> float:
    """Returns the upper bound of the bytes per member and second in an idle fleet, computed from the settings alone."""
    claim = max(node.members.local.claim.size() for node in world.live() if node.members is not None)
    frame = fr.HEADER_BYTES + FIXED_FRAME_BYTES + claim
    ages = min(SETTINGS.max_observations, MEMBERS - 1) * fr.OBSERVATION.size
    period = SETTINGS.probe_interval / SECOND
    # On average two exchanges are started or answered, three frames each; all members hold the same claims, so they
    # carry only digests.
    buckets = digests.buckets_for(MEMBERS) * digests.DIGEST.size
    exchange = 2 * (3 * frame + 2 * buckets) / (SETTINGS.exchange_gap(MEMBERS) / SECOND)
    return (FRAMES_PER_PERIOD * frame + ages) / period + exchange


def test_an_idle_fleet_costs_what_the_settings_allow_and_nobody_fails() -> None:
    world, meter = converged_world(1)
    began = world.now
    world.run(began + 60 * SECOND)
    span = meter.span(began, world.now)
    assert world.one_view() and not world.failures
    assert span.by_kind[Kind.EXCHANGES] < 20 and span.by_kind[Kind.CLAIMS] < 60
    assert FRAMES_PER_PERIOD <= span.frames < FRAMES_PER_PERIOD + 0.05 * FRAMES_PER_LOST_PROBE * 2 + 0.1
    assert span.mean < idle_bytes_bound(world)


def test_full_lists_in_an_idle_fleet_would_be_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Exchanges, "digests_like", lambda exchanges, theirs: b"")
    monkeypatch.setattr(Exchanges, "_digests", lambda exchanges, buckets: b"")
    world, meter = converged_world(1)
    began = world.now
    world.run(began + 60 * SECOND)
    assert meter.span(began, world.now).by_kind[Kind.EXCHANGES] > 20


def test_a_lost_zone_is_known_to_all() -> None:
    world, _ = converged_world(2)
    zone = [name for name in world.nodes if int(name[1:]) % ZONES == 1]
    for name in zone:
        world.kill(name)
    assert world.run(world.now + 60 * SECOND, world.one_view)
    assert {whom for _, _, whom, *_ in world.failures} == set(zone)
    assert not any(there for *_, there in world.failures)
    views = [node.members.fleet_view() for node in world.live() if node.members is not None]
    assert all(1 not in view.zones.values() and len(view.zones) == MEMBERS - len(zone) for view in views)


def other_claims(count: int, failed: int = 0) -> list[Claim]:
    """Returns claims about so many members, the first of them failed."""
    return [
        Claim(f"n{number}", 1, 1, 1, 0, Status.FAILED if number <= failed else Status.ALIVE, "10.0.0.1", number, 2)
        for number in range(1, count + 1)
    ]


def relay() -> Membership:
    return Membership(Claim("own", 1, 1, 1, 0, Status.ALIVE, "10.0.0.2", 1, 2), SETTINGS, random.Random(1), 0)


def backoff_for(members: Membership, claim_count: int) -> int:
    return claim_count * members.local.claim.size() * SETTINGS.probe_interval // SETTINGS.max_frame_bytes


def exchange_delay(failed: int, count: int) -> tuple[int, int]:
    """A relay that was declared failed continues while it holds a number of members for failed itself. Returns the
    time until its exchange, and the backoff for so many claims."""
    members = relay()
    members.resume_from(0, other_claims(count, failed))
    began = now = members.next_at
    members.local_view.apply_claim(
        now, members.local.claim.with_status(Status.FAILED, f"n{count}"), SocketAddress("10.0.0.1", count)
    )
    effects = members.life_stored(now, 2)
    while not any(isinstance(effect, StartExchange) for effect in effects):
        now = members.next_at
        effects = members.tick(now)
    return now - began, backoff_for(members, failed + 1)


def test_a_returning_relay_exchanges_at_once_after_few_changes_and_delayed_after_many() -> None:
    assert exchange_delay(3, MEMBERS)[0] == 0
    after, backoff = exchange_delay(310, 619)
    assert backoff > BULK_PERIODS * SETTINGS.probe_interval and 0 < after <= backoff


def test_exchanges_are_limited_while_much_has_changed() -> None:
    """Answers report another view each period; exchanges are started once per backoff."""
    members, claims = relay(), other_claims(619)
    members.resume_from(0, claims[:310])
    for claim in claims[310:]:
        members.local_view.apply_claim(0, claim)
    by_address = {claim.address: claim for claim in claims}
    backoff = backoff_for(members, 309)
    started: list[int] = []
    while members.next_at < backoff:
        now = members.next_at
        effects = members.tick(now)
        for effect in [
            effect for effect in effects if isinstance(effect, SendFrame) and isinstance(effect.frame, fr.Ping)
        ]:
            summary = fr.Summary(members.view ^ 1, 620)
            ack = fr.Ack(sender=by_address[effect.address], sequence=now, number=effect.frame.number, summary=summary)
            effects += members.receive(now, ack, effect.address)
        started += [now for effect in effects if isinstance(effect, StartExchange)]
    assert 1 <= len(started) <= 2


def test_regions_that_reconnect_converge_without_a_traffic_storm() -> None:
    world, meter = converged_world(3, loss=0.0)
    names = list(world.nodes)
    world.links.set_rule("cut", between(names[::2], names[1::2]), LinkConditions(cut=True))
    world.run(world.now + 60 * SECOND)
    assert all(node.members is not None and node.members.count == MEMBERS // 2 for node in world.live())
    world.links.remove_rule("cut")
    began = world.now
    assert world.run(began + 120 * SECOND, world.one_view)
    span = meter.span(began, world.now)
    # Exchanges pause so that they use no more than full frames do; the first one of each relay is at a random time
    # within the pause.
    full = FRAMES_PER_PERIOD * SETTINGS.max_frame_bytes * SECOND / SETTINGS.probe_interval
    assert span.by_kind[Kind.EXCHANGES] < full and span.peak < 2 * full
