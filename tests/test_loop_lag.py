"""The loop's lag, by hand-made times."""

from __future__ import annotations

from garnetrelay.loop_lag import HALF_TIME, MOST, STEP, LoopLag

MS = 1_000_000


def test_long_round_counts_at_once_and_is_forgotten_by_half() -> None:
    lag = LoopLag()
    lag.round_begins(1000 * MS)
    lag.round_ends(1400 * MS)
    assert lag.news(1400 * MS) and lag.value == 400 * MS
    assert not lag.news(1400 * MS)
    lag.round_begins(1400 * MS + HALF_TIME)
    lag.round_ends(1401 * MS + HALF_TIME)
    assert 190 * MS <= lag.value <= 200 * MS


def test_idle_relay_forgets_also_with_no_rounds() -> None:
    lag = LoopLag()
    lag.was_late(1000 * MS, 1500 * MS)
    assert lag.value == 500 * MS
    assert lag.news(1500 * MS + 20 * HALF_TIME) is False and lag.value == 0


def test_pause_of_the_process_is_no_reason_to_refuse_for_long() -> None:
    lag = LoopLag()
    lag.was_late(0, 3600 * 1000 * MS)
    assert lag.value == MOST // STEP * STEP


def test_usual_rounds_are_no_news() -> None:
    lag = LoopLag()
    for n in range(100):
        lag.round_begins(n * 20 * MS)
        lag.round_ends(n * 20 * MS + 3 * MS)
        assert not lag.news(n * 20 * MS + 4 * MS)
