"""Three members in every order of claims, losses, kills and suspicions; injected faults are found.

Wider bounds by hand: `python -m tests.fleet.explore STARTS KILLS SUSPICIONS LEAVES LOST_FOLDERS MESSAGES DUPLICATES`.
"""

from __future__ import annotations

import pytest

from tests.fleet.explore import FAULTS, SMALL, Bounds, Explorer


@pytest.mark.parametrize(
    "bounds",
    [
        SMALL,
        Bounds(starts=2, kills=1, suspicions=0, leaves=1, lost_folders=1, messages=1, duplicates=0),
    ],
    ids=["suspicions", "lives"],
)
def test_all_properties_hold_in_every_order(bounds: Bounds) -> None:
    explorer = Explorer(bounds)
    assert explorer.run() is None
    assert explorer.states > 10_000
    assert explorer.converged > 1_000


@pytest.mark.parametrize("name", FAULTS)
def test_an_injected_fault_is_found(name: str) -> None:
    fault = FAULTS[name]
    found = Explorer(fault.bounds, **fault.options).run()
    assert found is not None
    assert found[0] == fault.violates
