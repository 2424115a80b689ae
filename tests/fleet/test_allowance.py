"""A limit shared by many relays, each with too few calls to cut its rate by refusals of its own."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.fleet.world import Fleet, Shared
from tests.helpers import MS, S


def run_with_lowered_limit(seed: int, share: float = 0.85, span: int = 0) -> tuple[Fleet, Shared]:
    """Forty relays at most of the limit, which is halved for a while; the backlog has to be sent afterwards."""
    shared = Shared(1, 40.0, span, kept=0.4, refresh=450 * MS, lowered=(4 * S, 10 * S, 0.5))
    fleet = Fleet([shared], 40, share * 40.0, seed)
    fleet.run(25)
    return fleet, shared


@pytest.mark.parametrize("seed", range(3))
def test_refused_calls_of_a_fleet_do_not_keep_a_limit_spent(seed: int) -> None:
    fleet, shared = run_with_lowered_limit(seed)
    assert shared.share(io.Status.FULL, 4 * S, 10 * S) < 0.6  # lowered
    assert shared.share(io.Status.FULL, 12 * S, 25 * S) < 0.15  # and after that
    assert len(fleet.times) > 0.85 * len(fleet.arrived)


def test_without_call_spacing_refused_calls_keep_the_limit_spent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Pacer, "call_spacing", lambda pacer, dest: 0)
    fleet, shared = run_with_lowered_limit(0)
    assert shared.share(io.Status.FULL, 12 * S, 25 * S) > 0.4


def test_a_relay_may_use_the_share_that_others_leave() -> None:
    """One relay of forty has all the messages, twice its share: for seconds, answers report the whole limit as
    remaining."""
    shared = Shared(1, 40.0, span=0)
    fleet = Fleet([shared], 40, 2.0)
    fleet.pacers = fleet.pacers[:1]
    fleet.queue = [due for due in fleet.queue if due[2] == 0]
    fleet.run(20)
    assert len(fleet.times) == len(fleet.arrived)
    assert sorted(fleet.times)[len(fleet.times) // 2] < S


def refused_share_at_start(seed: int) -> float:
    """Forty relays start at once, with more to send than the limit accepts."""
    shared = Shared(1, 40.0, span=0, kept=0.4, refresh=450 * MS)
    Fleet([shared], 40, 120.0, seed).run(3)
    return shared.share(io.Status.FULL, 0, S)


@pytest.mark.parametrize("seed", range(3))
def test_relays_that_start_together_spread_their_first_calls(seed: int) -> None:
    assert refused_share_at_start(seed) < 0.25


def test_without_that_spread_their_first_calls_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    on_entry = Pacer.on_entry

    def without_spread(pacer: Pacer, listed: io.HostEntry) -> None:
        on_entry(pacer, listed)
        pacer.hosts[listed.host][0].last_due_at = 0

    monkeypatch.setattr(Pacer, "on_entry", without_spread)
    assert refused_share_at_start(0) > 0.5
