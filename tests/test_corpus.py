"""Compares the present Pacer with recordings of an earlier version.

The earlier version weighed all pending messages in every tick; the present one weighs a bounded number. Without
the bound it decides the same in each tick, and with it no less worth is delivered. Five later changes of decisions
are disabled here: a cut requires a share of the calls where there are many, calls on stalled connections do not
count as work and are cancelled, messages that an earlier process never attempted are still attempted, and a
destination that is found working long after its last failure is not taken for warm.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path

import pytest

from starlingwick import control
from starlingwick import interface as io
from starlingwick.control import Pacer
from tests.corpus.world import LARGE, SCENARIOS, Scenario, decode, settings, worth_delivered

FOLDER = Path(__file__).parent / "corpus"


def decisions(actions: list[io.Action]) -> list[str]:
    """What a batch of actions decides, in any order since all of it takes effect at once. Alarms are no decisions:
    another version may wake earlier."""
    return sorted(repr(a) for a in actions if not isinstance(a, io.Wake))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_decides_as_recorded(scenario: Scenario, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "MAX_EVALUATED_PER_TICK", 10_000)
    monkeypatch.setattr(control, "MAX_RANK_AGE_NS", 0)
    monkeypatch.setattr(control, "MIN_REFUSED_SHARE_TO_CUT", 0.0)
    monkeypatch.setattr(Pacer, "count_stalled", lambda pacer, dest: 0)
    monkeypatch.setattr(Pacer, "cancel_stalled", lambda pacer, call: None)
    monkeypatch.setattr(Pacer, "is_recovered_untried", lambda pacer, r: False)
    monkeypatch.setattr(
        Pacer, "estimate_recovery_time", lambda pacer, dest: pacer.now - (pacer.now - dest.last_failure_at) // 2
    )
    pacer = Pacer(settings(scenario), scenario.seed)
    with gzip.open(FOLDER / f"{scenario.name}.jsonl.gz") as file:
        for tick, line in enumerate(file):
            now, events, actions = json.loads(line)
            decided = pacer.handle(now, map(decode, events))
            assert decisions(decided) == decisions([decode(a) for a in actions]), f"tick {tick} at {now}"


WORTH = json.loads((FOLDER / "worth.json").read_text())


@pytest.mark.parametrize("scenario", LARGE, ids=lambda s: s.name)
def test_delivers_no_less_worth_with_many_pending_messages(scenario: Scenario) -> None:
    assert worth_delivered(scenario) >= WORTH[scenario.name] - 0.01


def test_delivers_no_less_worth_over_all_recorded_scenarios() -> None:
    names = [scenario.name for scenario in SCENARIOS]
    now = [worth_delivered(scenario) for scenario in SCENARIOS]
    assert sum(now) >= sum(WORTH[name] for name in names) - 0.005 * len(names)
