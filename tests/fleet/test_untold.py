"""A limit that many relays share and nothing reports: no rates in the list, no reports in answers."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from tests.fleet.world import Fleet, Shared
from tests.helpers import MS, S


class Unreported(Shared):
    """A destination that does not report its limit."""

    def call(self, at: int) -> tuple[io.Status, io.Report | None]:
        return super().call(at)[0], None


def run(seed: int, load: float) -> tuple[float, float]:
    """200 relays and six destinations for 30 s. Returns the share of messages delivered and the share of calls
    refused."""
    shared: list[Shared] = [
        Unreported(n, 16.0 if n < 3 else 8.0, span=2 * S * (n % 2), latency=100 * MS, wait=500 * MS * (n % 2))
        for n in range(6)
    ]
    fleet = Fleet(
        shared,
        200,
        load * sum(one.limit for one in shared),
        seed,
        listed_rates=False,
        limits={"probes": False, "most_tries": 4, "retry_after": True},
    )
    fleet.run(30)
    answers = [status for one in shared for _, status in one.got]
    return len(fleet.times) / len(fleet.arrived), answers.count(io.Status.FULL) / len(answers)


@pytest.mark.parametrize("seed", range(3))
def test_many_relays_do_not_use_up_an_unreported_limit_by_refused_calls(seed: int) -> None:
    """Each relay had too few refusals for a cut, backed off 2 s at most, and took the limit for an outage: 200 such
    relays keep it spent. A backoff that keeps growing, and decays as ceilings rise, leaves room for deliveries."""
    delivered, refused = run(seed, 1.2)
    assert delivered > 0.5 and refused < 0.65


def test_an_unreported_limit_that_suffices_is_used() -> None:
    delivered, _ = run(0, 0.6)
    assert delivered > 0.95
