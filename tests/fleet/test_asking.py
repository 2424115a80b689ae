"""Whatever became of the calls before, a change counts as told 6 s after discovery had it and could be reached."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.asking import GIVEN_UP_AFTER, PATIENCE, REFUSED_AFTER, TOLD_AFTER, Service, gaps, returned
from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.helpers import MS, Relay, S, entry

SILENCE = 3200 * MS  # of the register: a watch without a line for so long is broken


def asking(**changes: Any) -> Relay:
    """One of many relays, whose first call of discovery has just been made."""
    relay = Relay(entry("a"), relays=200, discovery=io.Discovery.SUBSCRIBE, **changes)
    while not relay.of(io.Subscribe):
        relay.turn(after=10 * MS)
    return relay


def until_asked(relay: Relay) -> int:
    """How long it takes until discovery is asked once more."""
    begun = relay.now
    while not relay.turn(after=10 * MS) or not relay.of(io.Subscribe):
        assert relay.now < begun + 120 * S
    return relay.now - begun


def fail(relay: Relay, after: int) -> None:
    relay.turn(io.Roster(io.ListScope.FAILED, ()), after=after)


@pytest.mark.parametrize("ask_every", [5.0, 10.0, 60.0])
@pytest.mark.parametrize("relays", [5, 30, 200])
@pytest.mark.parametrize("silent", [False, True], ids=["refused", "silent"])
def test_a_call_comes_in_time_behind_any_that_failed(relays: int, ask_every: float, silent: bool) -> None:
    """Refused at each asking, or left without a word until it is given up: gaps grew to 38 s among 200 relays."""
    for seed in range(2):
        assert max(gaps(relays, ask_every, seed, silent)) + PATIENCE <= TOLD_AFTER


@pytest.mark.parametrize("silent", [False, True], ids=["refused", "silent"])
@pytest.mark.parametrize("all_in", [2, 5])
def test_all_of_200_relays_have_the_list_in_time_if_discovery_can_answer_all(all_in: int, silent: bool) -> None:
    """It is back after 8 s. One relay's first asking after that came up to 38 s later."""
    service = Service(all_in * S // 200, back_at=8 * S, silent=silent)
    assert max(returned(200, 10.0, service, seed=1)) <= TOLD_AFTER


def test_relays_that_are_turned_away_leave_discovery_no_time_unused() -> None:
    """It needs 8 s for all, and turns away whom it could not answer in 2 s: the last has its list little later."""
    assert max(returned(200, 10.0, Service(8 * S // 200, back_at=8 * S), seed=1)) <= 9 * S


def overbooked(seed: int) -> int:
    """When the last of 200 relays has its list of a discovery that needs 8 s for all of them and works on calls that
    waited out their time."""
    return max(returned(200, 10.0, Service(8 * S // 200, turned_away=3 * S, back_at=8 * S), seed))


def test_calls_that_wait_out_their_time_come_less_often() -> None:
    assert overbooked(1) < 40 * S


def test_asked_on_as_often_discovery_works_for_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    step = Pacer.step_after_failure

    def as_often(pacer: Pacer) -> int:
        pacer.waited_out = -1
        return step(pacer)

    monkeypatch.setattr(Pacer, "step_after_failure", as_often)
    assert overbooked(1) >= 120 * S


def test_one_call_that_waited_out_its_time_is_followed_in_time_and_a_second_doubles_the_gap() -> None:
    relay = asking()
    for most in (TOLD_AFTER - PATIENCE - PATIENCE, 8 * S, 15 * S, 30 * S):
        fail(relay, PATIENCE)
        assert most // 2 - S < until_asked(relay) <= most
    relay.turn(io.Roster(io.ListScope.CHANGES, ()))  # answered
    fail(relay, SILENCE)
    until_asked(relay)
    fail(relay, PATIENCE)
    assert until_asked(relay) <= TOLD_AFTER - PATIENCE - PATIENCE


def test_an_answer_that_comes_behind_the_end_of_its_call_is_taken() -> None:
    relay = asking()
    fail(relay, GIVEN_UP_AFTER)
    relay.turn(io.Roster(io.ListScope.WHOLE, (entry("b"),)), after=100 * MS)
    assert list(relay.pacer.hosts) == ["b"]
    relay.turn(after=60 * S)
    assert not relay.of(io.Subscribe)


def test_a_watch_that_is_taken_up_and_tells_nothing_is_opened_anew_in_time_each_time() -> None:
    """Also behind an answer that stalls in the middle: the register ends a watch that brings no whole line."""
    relay = asking()
    for _ in range(4):
        relay.turn(io.Roster(io.ListScope.CHANGES, ()), after=100 * MS)
        fail(relay, SILENCE)
        assert SILENCE + until_asked(relay) + PATIENCE <= TOLD_AFTER


@pytest.mark.parametrize("after", [REFUSED_AFTER, GIVEN_UP_AFTER], ids=["refused", "silent"])
@pytest.mark.parametrize("open_before", [False, True])
def test_a_move_in_the_middle_of_a_call_is_followed_by_the_next_in_time(open_before: bool, after: int) -> None:
    """SIGHUP: the register calls the new address at once, and drops the call that was out with no word of its end."""
    relay = asking()
    if open_before:
        relay.turn(io.Roster(io.ListScope.CHANGES, ()), after=100 * MS)
    relay.turn(after=PATIENCE + 900 * MS)  # moved here
    fail(relay, after)
    assert not relay.of(io.Subscribe)
    assert after + until_asked(relay) + PATIENCE <= TOLD_AFTER
