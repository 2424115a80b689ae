"""A part of the exploration: what is quick to explore, with and without its planted fault. All of it:
``python -m tests.fleet.leases.explore``."""

from __future__ import annotations

import pytest

from tests.fleet.leases.explore import Explorer
from tests.fleet.leases.planted import PLANTED, Planted

QUICK = PLANTED[:4]


@pytest.mark.parametrize("planted", QUICK, ids=lambda planted: planted.name)
def test_a_planted_fault_is_found(planted: Planted) -> None:
    assert Explorer(planted.bounds, planted.kinds).run() is not None


@pytest.mark.parametrize("planted", QUICK, ids=lambda planted: planted.name)
def test_without_it_every_property_holds_to_the_end(planted: Planted) -> None:
    explorer = Explorer(planted.bounds, planted.plain)
    assert explorer.run() is None
    assert explorer.states > 5
