"""Sixty hollow relays in the driven clock: one view, nobody failed, and no more bytes than the settings allow for.

The sizes that are meant: `python -m benchmarks fleet scale --members 310 620 1000`.
"""

from __future__ import annotations

import random

import pytest

from garnetrelay.fleet.members import digests
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import SendFrame, StartExchange
from garnetrelay.fleet.members.exchanges import BULK_PERIODS, Exchanges
from garnetrelay.fleet.members.outgoing import FIXED
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.simulation.fleet_simulation import FleetSimulation
from garnetrelay.simulation.links import LinkConditions, between
from garnetrelay.simulation.meter import Kind, Meter

MEMBERS = 60
ZONES = 6
SETTINGS = Settings()
FRAMES = 2  # a question and an answer a period
ASKED = 4  # for one lost question: three ask, are answered and vouch, and the seeds are knocked at; at 1 % loss far less


def gathered(seed: int, loss: float = 0.01) -> tuple[FleetSimulation, Meter]:
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
        lambda: not any(node.members is not None and len(node.members.local_view.spreading) for node in world.live()),
    )
    return world, meter


def peace_bound(world: FleetSimulation) -> float:
    """Bytes a member a second where nothing happens, by the settings alone."""
    claim = max(node.members.local.claim.size() for node in world.live() if node.members is not None)
    frame = fr.HEADER_BYTES + FIXED + claim
    ages = min(SETTINGS.max_observations, MEMBERS - 1) * fr.OBSERVATION.size
    period = SETTINGS.probe_interval / SECOND
    # Two begun or answered in the mean, three frames each; all hold the same, so they hold digests alone.
    buckets = digests.buckets_for(MEMBERS) * digests.DIGEST.size
    exchange = 2 * (3 * frame + 2 * buckets) / (SETTINGS.exchange_gap(MEMBERS) / SECOND)
    return (FRAMES * frame + ages) / period + exchange


def test_peace_costs_what_the_settings_say_and_nobody_is_failed() -> None:
    world, meter = gathered(1)
    began = world.now
    world.run(began + 60 * SECOND)
    span = meter.span(began, world.now)
    assert world.one_view() and not world.failures
    assert span.by_kind[Kind.EXCHANGES] < 20 and span.by_kind[Kind.CLAIMS] < 60
    assert FRAMES <= span.frames < FRAMES + 0.05 * ASKED * 2 + 0.1
    assert span.mean < peace_bound(world)


def test_whole_lists_in_peace_would_be_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Exchanges, "digests_like", lambda exchanges, theirs: b"")
    monkeypatch.setattr(Exchanges, "_digests", lambda exchanges, buckets: b"")
    world, meter = gathered(1)
    began = world.now
    world.run(began + 60 * SECOND)
    assert meter.span(began, world.now).by_kind[Kind.EXCHANGES] > 20


def test_a_lost_zone_is_known_to_all() -> None:
    world, _ = gathered(2)
    zone = [name for name in world.nodes if int(name[1:]) % ZONES == 1]
    for name in zone:
        world.kill(name)
    assert world.run(world.now + 60 * SECOND, world.one_view)
    assert {whom for _, _, whom, *_ in world.failures} == set(zone)
    assert not any(there for *_, there in world.failures)
    views = [node.members.fleet_view() for node in world.live() if node.members is not None]
    assert all(1 not in view.zones.values() and len(view.zones) == MEMBERS - len(zone) for view in views)


def others(count: int, failed: int = 0) -> list[Claim]:
    """Words on so many, the first of them failed."""
    return [
        Claim(f"n{number}", 1, 1, 1, 0, Status.FAILED if number <= failed else Status.ALIVE, "10.0.0.1", number, 2)
        for number in range(1, count + 1)
    ]


def relay() -> Membership:
    return Membership(Claim("own", 1, 1, 1, 0, Status.ALIVE, "10.0.0.2", 1, 2), SETTINGS, random.Random(1), 0)


def pause_for(members: Membership, words: int) -> int:
    return words * members.local.claim.size() * SETTINGS.probe_interval // SETTINGS.max_frame_bytes


def asks_after(failed: int, count: int) -> tuple[int, int]:
    """A relay that others held for failed goes on, with so many held for failed by itself: how long until it exchanges,
    and the pause that so many words ask for."""
    members = relay()
    members.resume_from(0, others(count, failed))
    began = now = members.next_at
    members.local_view.hear(now, members.local.claim.judged(Status.FAILED, f"n{count}"), SocketAddress("10.0.0.1", count))
    effects = members.life_stored(now, 2)
    while not any(isinstance(effect, StartExchange) for effect in effects):
        now = members.next_at
        effects = members.tick(now)
    return now - began, pause_for(members, failed + 1)


def test_who_is_back_asks_at_once_where_little_has_changed_and_in_its_turn_where_much_has() -> None:
    assert asks_after(3, MEMBERS)[0] == 0
    after, pause = asks_after(310, 619)
    assert pause > BULK_PERIODS * SETTINGS.probe_interval and 0 < after <= pause


def test_where_much_has_changed_other_views_are_asked_for_in_turn() -> None:
    """Answers tell of another view each period; exchanges are begun once in the pause."""
    members, claims = relay(), others(619)
    members.resume_from(0, claims[:310])
    for claim in claims[310:]:
        members.local_view.hear(0, claim)
    by_place = {claim.address: claim for claim in claims}
    pause = pause_for(members, 309)
    begun: list[int] = []
    while members.next_at < pause:
        now = members.next_at
        effects = members.tick(now)
        for tell in [effect for effect in effects if isinstance(effect, SendFrame) and isinstance(effect.frame, fr.Ping)]:
            summary = fr.Summary(members.view ^ 1, 620)
            ack = fr.Ack(sender=by_place[tell.place], sequence=now, number=tell.frame.number, summary=summary)
            effects += members.receive(now, ack, tell.place)
        begun += [now for effect in effects if isinstance(effect, StartExchange)]
    assert 1 <= len(begun) <= 2


def test_regions_that_meet_again_come_to_one_view_without_a_storm() -> None:
    world, meter = gathered(3, loss=0.0)
    names = list(world.nodes)
    world.links.set_rule("cut", between(names[::2], names[1::2]), LinkConditions(cut=True))
    world.run(world.now + 60 * SECOND)
    assert all(node.members is not None and node.members.count == MEMBERS // 2 for node in world.live())
    world.links.remove_rule("cut")
    began = world.now
    assert world.run(began + 120 * SECOND, world.one_view)
    span = meter.span(began, world.now)
    # Exchanges pause so that they take no more than full frames do, the first of each relay drawn in that time.
    full = FRAMES * SETTINGS.max_frame_bytes * SECOND / SETTINGS.probe_interval
    assert span.by_kind[Kind.EXCHANGES] < full and span.peak < 2 * full
