"""Some random schedules of faults in the driven clock, and that they find planted faults. More:
``python -m benchmarks leases faults``."""

from __future__ import annotations

import pytest

from benchmarks.leases import PLANTED
from garnetrelay.simulation.lease_faults import FaultRun


@pytest.mark.parametrize("seed", range(8))
def test_never_two_owners_and_all_is_owned_again(seed: int) -> None:
    outcome = FaultRun(seed).run()
    assert outcome.problems == []
    assert outcome.reassigned_after is not None
    assert outcome.changes > 0


@pytest.mark.parametrize("name", ["leases of a second", "equal epochs"])
def test_a_planted_fault_is_found(name: str) -> None:
    assert any(FaultRun(seed, **PLANTED[name]).run().problems for seed in range(20))
