"""What an earlier life of the relay took on and never tried: it is still tried, ahead of fresher and dearer messages."""

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
def test_it_goes_before_its_time_though_fresher_ones_never_cease(klass: int) -> None:
    """One slot; each call takes half a second, and two messages come meanwhile, dearer by far."""
    classes = settings().classes
    dear = dataclasses.replace(classes[SAFE], worth=10.0)
    relay = Relay(entry("a"), slots=1, limits={"most_held": 1000}, classes=(*classes, dear))
    relay.turn(relay.message(len(classes)))
    relay.turn(*(recovered(f"old{n}", klass, 10 * S) for n in range(5)))
    called = []
    for _ in range(24):
        out = [m.name for m in relay.pacer.messages.values() if m.call is not None]
        called += out
        newcomers = [relay.message(len(classes)) for _ in range(2)]
        relay.turn(*(relay.verdict(name, io.Status.OK) for name in out), *newcomers, after=500 * MS)
        assert not ends(relay) & {f"old{n}" for n in range(5)}
    assert {f"old{n}" for n in range(5)} <= set(called)
    assert any(not name.startswith("old") for name in called)


def test_one_that_was_tried_is_owed_nothing() -> None:
    relay = Relay(entry("a", state=io.Availability.STOPPING), limits={"most_held": 16})
    relay.turn(*(recovered(f"old{n}", left=2 * S, attempts=1) for n in range(15)))
    relay.turn(*(relay.message(SAFE) for _ in range(10)))
    assert len([name for name in ends(relay) if name.startswith("old")]) >= 10
    assert not relay.pacer.recovered_untried


def test_a_full_hold_sheds_newcomers_first() -> None:
    relay = Relay(entry("a", state=io.Availability.STOPPING), limits={"most_held": 16})
    relay.turn(*(recovered(f"old{n}", left=2 * S) for n in range(15)))
    relay.turn(*(relay.message(SAFE) for _ in range(10)))
    assert len(ends(relay)) == 10 and not any(name.startswith("old") for name in ends(relay))


def test_our_own_rest_is_no_reason_to_give_it_up_but_a_told_wait_beyond_its_time_is() -> None:
    relay = Relay(entry("a"))
    relay.serve()
    dest = relay.pacer.routes[1][0]
    dest.backoff_until = relay.now + 30 * S
    relay.turn(recovered("old", left=5 * S), recovered("tried", left=5 * S, attempts=1))
    assert ends(relay) == {"tried"}
    dest.wait_until = relay.now + 30 * S
    relay.pacer.mark_dirty(1)
    relay.turn(after=MS)
    assert ends(relay) == {"old"}


def test_a_call_that_was_abandoned_was_none() -> None:
    relay = Relay(entry("a"))
    relay.turn(recovered("old"))
    relay.turn(relay.verdict("old", io.Status.ABANDONED), after=MS)
    assert relay.pacer.messages["old"].recovered_untried
    relay.turn(after=S)
    relay.turn(relay.verdict("old", io.Status.ERROR), after=MS)
    assert not relay.pacer.messages["old"].recovered_untried and not relay.pacer.recovered_untried
    relay.turn(recovered("gone"), io.Withdrawn("gone"), after=MS)
    assert not relay.pacer.recovered_untried


def test_the_soonest_to_expire_goes_first_in_whatever_order_they_were_found() -> None:
    """One slot, half a second a call: there is just time for all, soonest deadline first."""
    relay = Relay(entry("a"), slots=1)
    relay.turn(*(recovered(f"old{n}", left=(20 - n) * S // 2 + S) for n in range(20)))
    called: list[str] = []
    for _ in range(20):
        called += (out := [m.name for m in relay.pacer.messages.values() if m.call is not None])
        relay.turn(*(relay.verdict(name, io.Status.OK) for name in out), after=500 * MS)
    assert called == [f"old{n}" for n in reversed(range(20))]
