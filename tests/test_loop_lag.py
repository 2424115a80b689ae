"""The lag of the event loop, computed from given times."""

from __future__ import annotations

from garnetrelay.loop_lag import HALF_LIFE_NS, MAX_LAG_NS, STEP_NS, LoopLag

MS = 1_000_000


def test_long_batch_counts_at_once_and_decays_by_half() -> None:
    lag = LoopLag()
    lag.on_batch_start(1000 * MS)
    lag.on_batch_end(1400 * MS)
    assert lag.changed(1400 * MS) and lag.value == 400 * MS
    assert not lag.changed(1400 * MS)
    lag.on_batch_start(1400 * MS + HALF_LIFE_NS)
    lag.on_batch_end(1401 * MS + HALF_LIFE_NS)
    assert 190 * MS <= lag.value <= 200 * MS


def test_lag_decays_without_batches() -> None:
    lag = LoopLag()
    lag.on_late_timer(1000 * MS, 1500 * MS)
    assert lag.value == 500 * MS
    assert lag.changed(1500 * MS + 20 * HALF_LIFE_NS) is False and lag.value == 0


def test_suspension_of_the_process_is_capped() -> None:
    lag = LoopLag()
    lag.on_late_timer(0, 3600 * 1000 * MS)
    assert lag.value == MAX_LAG_NS // STEP_NS * STEP_NS


def test_usual_batches_do_not_change_the_lag() -> None:
    lag = LoopLag()
    for n in range(100):
        lag.on_batch_start(n * 20 * MS)
        lag.on_batch_end(n * 20 * MS + 3 * MS)
        assert not lag.changed(n * 20 * MS + 4 * MS)
