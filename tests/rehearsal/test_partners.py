"""Tests of the model of a simulated partner, with single calls."""

from __future__ import annotations

import pytest

from garnetrelay.rehearsal.partners.model import SECOND, InjectedFault, Limit, Partner, Reply, ScheduledReply
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


def test_slots_queue_and_calls_started_when_a_call_ends() -> None:
    model = partner()
    assert isinstance(model.arrive(0, "r1", 1), ScheduledReply)
    assert model.arrive(0, "r1", 2) is None  # queued
    assert model.arrive(0, "r1", 3) == Reply(503)
    assert [due.call for due in model.finish(100, "r1", 1)] == [2]
    assert model.arrive(100, "r1", 4) is None
    assert model.connection_closed("r1", 4) and not model.connection_closed("r1", 2)  # a started call continues
    assert model.finish(200, "r1", 2) == []


@pytest.mark.parametrize("kind", ["rate", "window"])
def test_limit_states_when_it_accepts_again(kind: str) -> None:
    limit = Limit(kind, 2.0)
    now = 10 * SECOND
    waits = [limit.take(now) for _ in range(8)]
    accepted = waits.index(next(wait for wait in waits if wait is not None))
    assert accepted == (2 if kind == "rate" else 4)
    wait = waits[accepted]
    assert wait is not None and limit.take(now + wait - MS) is not None
    assert limit.take(now + wait) is None


def test_shut_partner_states_when_it_opens_and_a_shared_limit_covers_all_its_routes() -> None:
    model = partner(limit="window", limit_rate=1.0)
    assert isinstance(model.arrive(0, "r1", 1), ScheduledReply) and isinstance(model.arrive(0, "r2", 2), ScheduledReply)
    refused = model.arrive(0, "r1", 3)
    assert isinstance(refused, Reply) and refused.status == 429 and refused.wait_ms == 2000
    model.inject_fault(0, "partner-1", InjectedFault("shut", 9 * SECOND))
    assert model.arrive(4 * SECOND, "r2", 4) == Reply(429, wait_ms=5000)
    assert model.probe(4 * SECOND, "r2") == 503


def test_cold_partner_is_slow_and_falls_over_at_twice_its_capacity() -> None:
    model = partner(slots=1000, service=100 * MS)
    model.clear_fault(0, "partner-1", 0.2, 10 * SECOND)
    first = model.arrive(0, "r1", 0)
    assert isinstance(first, ScheduledReply) and first.at > 300 * MS  # a fifth of its speed
    fell = next(n for n in range(1, 200) if model.arrive(n, "r1", n) == Reply(503))
    assert fell + 1 == int(2 * 20 * 0.2 * 3 + (2 * 20 * 0.2 * 3) ** 0.5) + 1  # the budget plus its statistical allowance
    assert model.arrive(60 * SECOND, "r2", 999) == Reply(503)  # and stays unavailable


def test_each_fault_gives_its_reply() -> None:
    model = partner(slots=100)
    for kind, check in (("hang", "no_answer"), ("reset", "resets")):
        model.inject_fault(0, "partner-1", InjectedFault(kind, SECOND))
        reply = model.arrive(0, "r1", 1)
        assert isinstance(reply, Reply) and getattr(reply, check)
    model.inject_fault(0, "partner-1", InjectedFault("spoil", SECOND))
    reply = model.arrive(0, "r1", 2)
    assert isinstance(reply, Reply) and reply.malformed and reply.runs
    model.clear_fault(0, "partner-1", None, 0)
    assert isinstance(model.arrive(0, "r1", 3), ScheduledReply)


def test_answers_are_written_twice_only_while_the_fault_lasts_and_at_its_share() -> None:
    model = partner(slots=1000)
    assert model.second_copy_delay("r1") is None
    model.inject_fault(0, "partner-1", InjectedFault("repeat", SECOND, share=0.5, late_ms=(2, 15), refused=0.2))
    delays = [model.second_copy_delay("r1") for _ in range(1000)]
    copies = [delay for delay in delays if delay is not None]
    assert 400 < len(copies) < 600 and min(copies) >= 0.002 and max(copies) <= 0.015
    started = [model.arrive(0, "r1", n) for n in range(1000)]
    refused = [due for due in started if isinstance(due, ScheduledReply) and due.reply == Reply(503)]
    assert 130 < len(refused) < 270 and model.probe(0, "r1") == 200  # it goes on serving
    model.clear_fault(0, "partner-1", None, 0)
    assert model.second_copy_delay("r1") is None
