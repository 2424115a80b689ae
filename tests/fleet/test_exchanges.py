"""The schedule of full exchanges, and local health, each without the rest of a relay."""

import random

import pytest

from garnetrelay.fleet.members.claims import Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import Effect, StartExchange
from garnetrelay.fleet.members.exchanges import MAX_JOIN_DOUBLINGS, Exchanges
from garnetrelay.fleet.members.health import LocalHealth
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.outgoing import Outgoing
from garnetrelay.fleet.members.settings import Settings

SETTINGS = Settings()
SEEDS = [SocketAddress("10.0.0.2", 1), SocketAddress("10.0.0.3", 1)]
OWN = Claim("own", 1, 1, 1, 0, Status.ALIVE, "10.0.0.1", 1, 2)


def make_exchanges(seeds: list[SocketAddress]) -> tuple[Exchanges, list[Effect], LocalView]:
    effects: list[Effect] = []
    local_view = LocalView(OWN, SETTINGS, effects)
    outgoing = Outgoing(local_view, SETTINGS, effects, 0)
    return Exchanges(local_view, outgoing, SETTINGS, effects, random.Random(1), 0, seeds), effects, local_view


def test_seeds_are_tried_in_rotation_and_the_gap_doubles_up_to_its_bound() -> None:
    exchanges, effects, _ = make_exchanges(SEEDS)
    for attempts in range(1, 2 * len(SEEDS) * MAX_JOIN_DOUBLINGS):
        now = exchanges.join_at
        exchanges.join(now)
        gap = SETTINGS.probe_interval // 5 << min(MAX_JOIN_DOUBLINGS, attempts // len(SEEDS))
        assert gap // 2 <= exchanges.join_at - now < gap // 2 + gap
        exchanges.join(exchanges.join_at - 1)  # too early: nothing
        assert effects == [StartExchange(SEEDS[each % len(SEEDS)]) for each in range(attempts)]


def test_a_periodic_exchange_without_members_goes_to_a_seed_and_while_inactive_to_nobody() -> None:
    exchanges, effects, local_view = make_exchanges(SEEDS[:1])
    exchanges.start_due(exchanges.next_at - 1)
    assert not effects
    exchanges.start_due(exchanges.next_at)
    assert effects == [StartExchange(SEEDS[0])]
    local_view.local.active = False
    before = exchanges.next_at
    exchanges.start_due(before)
    assert effects == [StartExchange(SEEDS[0])] and exchanges.next_at > before


def test_another_view_is_requested_after_the_settle_time_and_once_per_settle_time() -> None:
    exchanges, effects, local_view = make_exchanges([])
    backoff = SETTINGS.settle_time(local_view.count)
    for now, started in ((backoff - 1, 0), (backoff, 1), (2 * backoff - 1, 1), (2 * backoff, 2)):
        exchanges.repair(now, SEEDS[0], changed_at=0)
        assert len(effects) == started


@pytest.mark.parametrize(("lifeguard", "expected"), [(True, SETTINGS.max_slowdown), (False, 0)])
def test_local_health_stays_within_its_bounds(lifeguard: bool, expected: int) -> None:
    health = LocalHealth(Settings(lifeguard=lifeguard))
    health.change(-1)
    assert health.slow == 0
    for _ in range(2 * SETTINGS.max_slowdown):
        health.change(1)
    assert health.slow == expected
