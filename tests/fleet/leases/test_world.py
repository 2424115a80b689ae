"""Random schedules of faults with a simulated clock, and a check that they find injected faults.

``python -m benchmarks leases faults`` runs more of them.
"""

from __future__ import annotations

import pytest

from benchmarks.leases import PLANTED
from garnetrelay.simulation.lease_faults import FaultRun


@pytest.mark.parametrize("seed", range(8))
def test_never_two_owners_and_all_partitions_are_owned_again(seed: int) -> None:
    outcome = FaultRun(seed).run()
    assert outcome.problems == []
    assert outcome.reassigned_after is not None
    assert outcome.changes > 0


@pytest.mark.parametrize("name", ["leases of a second", "equal epochs"])
def test_an_injected_fault_is_found(name: str) -> None:
    assert any(FaultRun(seed, **PLANTED[name]).run().problems for seed in range(20))
