"""A limit that many relays share, each with too few calls to be cut by refusals of its own."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.fleet.world import Fleet, SharedDestination
from tests.helpers import MS, S


def busy(seed: int, share: float = 0.85, span: int = 0) -> tuple[Fleet, SharedDestination]:
    """Forty relays at most of the limit; it is half for a while, and what piled up meanwhile has to go."""
    shared = SharedDestination(1, 40.0, span, kept=0.4, refresh=450 * MS, lowered=(4 * S, 10 * S, 0.5))
    fleet = Fleet([shared], 40, share * 40.0, seed)
    fleet.run(25)
    return fleet, shared


@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_does_not_hold_a_limit_spent_by_its_refused_calls(seed: int) -> None:
    fleet, shared = busy(seed)
    assert shared.share(io.Status.FULL, 4 * S, 10 * S) < 0.6  # lowered
    assert shared.share(io.Status.FULL, 12 * S, 25 * S) < 0.15  # and after that
    assert len(fleet.times) > 0.85 * len(fleet.arrived)


def test_without_the_allowance_refused_calls_go_on_using_the_limit_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Pacer, "call_spacing", lambda pacer, dest: 0)
    fleet, shared = busy(0)
    assert shared.share(io.Status.FULL, 12 * S, 25 * S) > 0.4


def test_a_relay_may_use_what_others_leave() -> None:
    """One relay of forty has all the messages, twice its part: answers say for seconds that all is left."""
    shared = SharedDestination(1, 40.0, span=0)
    fleet = Fleet([shared], 40, 2.0)
    fleet.pacers = fleet.pacers[:1]
    fleet.queue = [due for due in fleet.queue if due[2] == 0]
    fleet.run(20)
    assert len(fleet.times) == len(fleet.arrived)
    assert sorted(fleet.times)[len(fleet.times) // 2] < S


def refused_at_first(seed: int) -> float:
    """Forty relays begin at once, with more to send than the limit takes."""
    shared = SharedDestination(1, 40.0, span=0, kept=0.4, refresh=450 * MS)
    Fleet([shared], 40, 120.0, seed).run(3)
    return shared.share(io.Status.FULL, 0, S)


@pytest.mark.parametrize("seed", range(3))
def test_relays_that_start_together_begin_each_at_a_moment_of_its_own(seed: int) -> None:
    assert refused_at_first(seed) < 0.25


def test_begun_at_the_same_moment_their_calls_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    enter = Pacer.on_entry

    def with_all_saved_up(pacer: Pacer, listed: io.HostEntry) -> None:
        enter(pacer, listed)
        pacer.hosts[listed.host][0].last_due_at = 0

    monkeypatch.setattr(Pacer, "on_entry", with_all_saved_up)
    assert refused_at_first(0) > 0.5
