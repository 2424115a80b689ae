"""Relays that are restarted together request the list from a single discovery service."""

from __future__ import annotations

import pytest

from starlingwick import discovery_schedule
from starlingwick.discovery_schedule import DiscoverySchedule
from tests.fleet.world import Fleet, Register, Shared
from tests.helpers import MS, S


def restart_fleet(each: int, seed: int, relays: int = 40) -> tuple[Fleet, Register]:
    register = Register(each)
    fleet = Fleet([Shared(1, 40.0)], relays, 5.0, seed, register)
    fleet.run(30)
    return fleet, register


@pytest.mark.parametrize("seed", range(3))
def test_all_relays_have_the_list_soon_from_a_slow_discovery(seed: int) -> None:
    fleet, register = restart_fleet(130 * MS, seed)
    assert len(fleet.listed) == 40
    assert max(fleet.listed.values()) < 15 * S  # discovery needs 5.2 s for all, one after the other
    assert len(register.asked) < 80


def test_few_relays_have_the_list_at_once() -> None:
    fleet, register = restart_fleet(100 * MS, 1, relays=3)
    assert max(fleet.listed.values()) < S
    assert len(register.asked) == 3


def test_discovery_called_by_all_at_once_and_again_never_catches_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_schedule, "CALL_TIME_PER_RELAY_NS", 0)
    monkeypatch.setattr(DiscoverySchedule, "_retry_delay_limit", lambda schedule: S)
    fleet, register = restart_fleet(130 * MS, 1)
    assert len(register.asked) > 80
