"""The part of the exploration that is quick, with and without an injected fault.

``python -m tests.fleet.leases.explore`` runs all of it.
"""

from __future__ import annotations

import pytest

from tests.fleet.leases.explore import Explorer
from tests.fleet.leases.injected_faults import INJECTED_FAULTS, InjectedFault

QUICK = INJECTED_FAULTS[:4]


@pytest.mark.parametrize("fault", QUICK, ids=lambda fault: fault.name)
def test_an_injected_fault_is_found(fault: InjectedFault) -> None:
    assert Explorer(fault.bounds, fault.variant).run() is not None


@pytest.mark.parametrize("fault", QUICK, ids=lambda fault: fault.name)
def test_without_the_fault_every_property_holds(fault: InjectedFault) -> None:
    explorer = Explorer(fault.bounds, fault.without_fault)
    assert explorer.run() is None
    assert explorer.states > 5
