"""Messages that an earlier process accepted and never attempted are attempted ahead of newer ones that are worth more."""

from __future__ import annotations

import dataclasses

import pytest

from starlingwick import interface as io
from tests.helpers import KEYED, MS, SAFE, UNSAFE, Relay, S, entry, settings


def recovered(
    name: str, klass: int = SAFE, left: int = 10 * S, attempts: int = 0, ran_ago: int | None = None
) -> io.Recovered:
    return io.Recovered(name, klass, 1, None, left, attempts, ran_ago, 0)


def ends(relay: Relay) -> set[str]:
    return {a.call for a in relay.actions if isinstance(a, io.Refuse | io.Fail)}


@pytest.mark.parametrize("klass", [SAFE, KEYED, UNSAFE])
def test_recovered_message_is_attempted_in_time_despite_a_steady_flow_of_new_ones(klass: int) -> None:
    """One slot and calls of half a second; meanwhile two messages arrive that are worth far more."""
    classes = settings().classes
    valuable = dataclasses.replace(classes[SAFE], worth=10.0)
    relay = Relay(entry("a"), slots=1, limits={"most_held": 1000}, classes=(*classes, valuable))
    relay.tick(relay.message(len(classes)))
    relay.tick(*(recovered(f"old{n}", klass, 10 * S) for n in range(5)))
    called = []
    for _ in range(24):
        in_flight = [m.name for m in relay.pacer.messages.values() if m.call is not None]
        called += in_flight
        new_requests = [relay.message(len(classes)) for _ in range(2)]
        relay.tick(*(relay.verdict(name, io.Status.OK) for name in in_flight), *new_requests, after=500 * MS)
        assert not ends(relay) & {f"old{n}" for n in range(5)}
    assert {f"old{n}" for n in range(5)} <= set(called)
    assert any(not name.startswith("old") for name in called)


def test_recovered_message_that_was_attempted_has_no_priority() -> None:
    relay = Relay(entry("a", state=io.Availability.STOPPING), limits={"most_held": 16})
    relay.tick(*(recovered(f"old{n}", left=2 * S, attempts=1) for n in range(15)))
    relay.tick(*(relay.message(SAFE) for _ in range(10)))
    assert len([name for name in ends(relay) if name.startswith("old")]) >= 10
    assert not relay.pacer.recovered_untried


def test_full_relay_sheds_new_requests_first() -> None:
    relay = Relay(entry("a", state=io.Availability.STOPPING), limits={"most_held": 16})
    relay.tick(*(recovered(f"old{n}", left=2 * S) for n in range(15)))
    relay.tick(*(relay.message(SAFE) for _ in range(10)))
    assert len(ends(relay)) == 10 and not any(name.startswith("old") for name in ends(relay))


def test_it_is_not_given_up_for_the_relays_own_backoff_but_for_a_requested_wait_past_its_deadline() -> None:
    relay = Relay(entry("a"))
    relay.serve()
    dest = relay.pacer.routes[1][0]
    dest.backoff_until = relay.now + 30 * S
    relay.tick(recovered("old", left=5 * S), recovered("tried", left=5 * S, attempts=1))
    assert ends(relay) == {"tried"}
    dest.wait_until = relay.now + 30 * S
    relay.pacer.mark_dirty(1)
    relay.tick(after=MS)
    assert ends(relay) == {"old"}


def test_an_abandoned_call_does_not_count_as_an_attempt() -> None:
    relay = Relay(entry("a"))
    relay.tick(recovered("old"))
    relay.tick(relay.verdict("old", io.Status.ABANDONED), after=MS)
    assert relay.pacer.messages["old"].recovered_untried
    relay.tick(after=S)
    relay.tick(relay.verdict("old", io.Status.ERROR), after=MS)
    assert not relay.pacer.messages["old"].recovered_untried and not relay.pacer.recovered_untried
    relay.tick(recovered("gone"), io.Withdrawn("gone"), after=MS)
    assert not relay.pacer.recovered_untried


def test_the_earliest_deadline_goes_first_regardless_of_the_order_of_recovery() -> None:
    """One slot and calls of half a second: just enough time for all, earliest deadline first."""
    relay = Relay(entry("a"), slots=1)
    relay.tick(*(recovered(f"old{n}", left=(20 - n) * S // 2 + S) for n in range(20)))
    called: list[str] = []
    for _ in range(20):
        called += (out := [m.name for m in relay.pacer.messages.values() if m.call is not None])
        relay.tick(*(relay.verdict(name, io.Status.OK) for name in out), after=500 * MS)
    assert called == [f"old{n}" for n in reversed(range(20))]
