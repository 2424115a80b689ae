"""The stand-in partner's model, by hand-made calls."""

from __future__ import annotations

import pytest

from garnetrelay.rehearsal.partners.model import SECOND, Due, Limit, Partner, Reply, Trouble
from garnetrelay.rehearsal.plan import PartnerPlan, RoutePlan

MS = 1_000_000


def partner(**changes: object) -> Partner:
    values: dict[str, object] = {
        "number": 1,
        "kind": "k",
        "apart": False,
        "routes": (RoutePlan("r1", "north"), RoutePlan("r2", "south")),
        "weight": 1.0,
        "full": 10.0,
        "capacity": 20.0,
        "service": 100 * MS,
        "spread": 0.1,
        "slots": 1,
        "depth": 1,
        "limit": "none",
        "limit_rate": 10.0,
        "listed": 10.0,
        "span": 2 * SECOND,
        "tells_wait": 1.0,
        "refused_count": False,
        "connections": 0,
        "report_every": 0,
    }
    return Partner(PartnerPlan(**{**values, **changes}), 1, 3 * SECOND, 2.0)  # type: ignore[arg-type]


def test_slots_queue_and_what_goes_on_when_a_call_ends() -> None:
    made = partner()
    assert isinstance(made.arrive(0, "r1", 1), Due)
    assert made.arrive(0, "r1", 2) is None  # queued
    assert made.arrive(0, "r1", 3) == Reply(503)
    assert [due.call for due in made.finish(100, "r1", 1)] == [2]
    assert made.arrive(100, "r1", 4) is None
    assert made.gone("r1", 4) and not made.gone("r1", 2)  # what was started runs on
    assert made.finish(200, "r1", 2) == []


@pytest.mark.parametrize("kind", ["rate", "window"])
def test_limit_tells_when_there_is_room_again(kind: str) -> None:
    limit = Limit(kind, 2.0)
    now = 10 * SECOND
    waits = [limit.take(now) for _ in range(8)]
    taken = waits.index(next(wait for wait in waits if wait is not None))
    assert taken == (2 if kind == "rate" else 4)
    wait = waits[taken]
    assert wait is not None and limit.take(now + wait - MS) is not None
    assert limit.take(now + wait) is None


def test_shut_partner_tells_when_it_opens_and_a_shared_limit_binds_all_its_routes() -> None:
    made = partner(limit="window", limit_rate=1.0)
    assert isinstance(made.arrive(0, "r1", 1), Due) and isinstance(made.arrive(0, "r2", 2), Due)
    refused = made.arrive(0, "r1", 3)
    assert isinstance(refused, Reply) and refused.status == 429 and refused.wait_ms == 2000
    made.strike(0, "partner-1", Trouble("shut", 9 * SECOND))
    assert made.arrive(4 * SECOND, "r2", 4) == Reply(429, wait_ms=5000)
    assert made.probe(4 * SECOND, "r2") == 503


def test_cold_partner_is_slow_and_falls_over_under_twice_what_it_can_do() -> None:
    made = partner(slots=1000, service=100 * MS)
    made.heal(0, "partner-1", 0.2, 10 * SECOND)
    first = made.arrive(0, "r1", 0)
    assert isinstance(first, Due) and first.at > 300 * MS  # a fifth of its speed
    fell = next(n for n in range(1, 200) if made.arrive(n, "r1", n) == Reply(503))
    assert fell + 1 == int(2 * 20 * 0.2 * 3 + (2 * 20 * 0.2 * 3) ** 0.5) + 1  # the budget, chance allowed for
    assert made.arrive(60 * SECOND, "r2", 999) == Reply(503)  # and stays down


def test_troubles_answer_as_they_are_named() -> None:
    made = partner(slots=100)
    for how, check in (("hang", "silent"), ("reset", "breaks")):
        made.strike(0, "partner-1", Trouble(how, SECOND))
        reply = made.arrive(0, "r1", 1)
        assert isinstance(reply, Reply) and getattr(reply, check)
    made.strike(0, "partner-1", Trouble("spoil", SECOND))
    reply = made.arrive(0, "r1", 2)
    assert isinstance(reply, Reply) and reply.spoilt and reply.runs
    made.heal(0, "partner-1", None, 0)
    assert isinstance(made.arrive(0, "r1", 3), Due)
