"""A destination that comes back cold gets no more from all relays together than it bears, however many they are."""

from __future__ import annotations

import pytest

from benchmarks.cold import Case, allowed, play
from starlingwick import interface as io
from tests.helpers import MS, Relay, S, entry

STEP = 100 * MS
WINDOW = 3 * S
CAPACITY = 1.0  # calls a second, warm: what all relays together are taken to get where nothing tells them of it


def told_of_an_outage(relays: int, seed: int) -> Relay:
    """One of so many, which has seen two calls fail."""
    relay = Relay(entry("a"), relays=relays, seed=seed, rules={"fall": WINDOW})
    relay.turn(relay.message(), relay.message())
    relay.try_all(io.Status.CONNECT_FAILED, 2)
    assert relay.pacer.routes[1][0].in_outage
    return relay


def calls_behind_a_return(relays: int, seed: int) -> list[int]:
    """When they come: all have been told, 40 s ago, when it is back and answers well. Each gets a message in 10 s."""
    calls: list[int] = []
    for n in range(relays):
        relay = told_of_an_outage(relays, 1000 * seed + n)
        back = relay.now + 40 * S
        out = relay.sends()
        while relay.now < back + relay.settings.rules.ramp_time:
            status = io.Status.OK if relay.now >= back else io.Status.CONNECT_FAILED
            events: list[io.Event] = [relay.verdict(send.call, status) for send in out]
            if relay.now // STEP % 100 == 37 * n % 100:
                events.append(relay.message())
            relay.turn(*events, after=STEP)
            out = relay.sends()
            calls += [relay.now - back] * len(out) if relay.now >= back else []
    return sorted(calls)


def most_borne(calls: list[int], capacity: float) -> float:
    """The most calls in the rules' time, as a share of what the destination bears by then."""
    rules = Relay(entry("a")).settings.rules
    return max(sum(at - WINDOW < one <= at for one in calls) / allowed(capacity, at, rules) for at in calls)


@pytest.mark.parametrize("relays", [30, 60])
def test_relays_that_were_all_told_keep_to_what_one_call_a_second_bears(relays: int) -> None:
    """Each took a call in the outage's time for its part, whatever their number: sixty sent 1.4 times what the settings
    allow, in the mean over ten seeds, and more than chance explains on three of them."""
    evenings = [calls_behind_a_return(relays, seed) for seed in range(10)]
    rules = Relay(entry("a")).settings.rules
    allow = rules.fall_multiple * CAPACITY * (1 + rules.start_capacity) / 2 * rules.ramp_time / S
    assert sum(len(calls) for calls in evenings) / len(evenings) <= allow
    assert max(most_borne(calls, CAPACITY) for calls in evenings if calls) <= 1


def test_one_that_finds_it_back_long_after_its_last_trial_does_not_take_it_for_warm() -> None:
    """Half of the time since the last failure was 45 s, and the ramp over before it began: all that was held went."""
    relay = told_of_an_outage(30, seed=1)
    dest = relay.pacer.routes[1][0]
    relay.turn(after=90 * S)
    relay.turn(relay.message())
    assert len(relay.sends()) == 1
    relay.turn(relay.verdict(relay.sends()[0].call, io.Status.OK), *[relay.message() for _ in range(5)], after=STEP)
    assert not dest.in_outage and relay.pacer.is_cold(dest) and not relay.sends()


@pytest.mark.parametrize("relays", [8, 30, 200, 620])
@pytest.mark.parametrize("limit", [0.0, 1.5, 60.0])
def test_the_parts_of_all_relays_make_no_more_than_the_rules_allow(relays: int, limit: float) -> None:
    relay = Relay(entry("a", rate=limit), relays=relays, listed_rates=True)
    pacer, dest, rules = relay.pacer, relay.pacer.routes[1][0], relay.settings.rules
    dest.last_failure_at = relay.now
    pacer.estimate_warm_rate(dest, relay.now)
    capacity = limit or CAPACITY
    gap = pacer.next_trial_time(dest, relay.now, 1.0) - relay.now
    assert relays * S / gap <= rules.fall_multiple * rules.start_capacity * capacity
    dest.ramp_from = relay.now
    gap = pacer.next_trial_time(dest, relay.now, 1.0) - relay.now
    share = rules.start_capacity + (1 - rules.start_capacity) * gap / rules.ramp_time / 2  # in the mean by then
    assert relays * S / gap <= rules.fall_multiple * capacity * share


@pytest.mark.parametrize("told, delivered", [(False, 0.48), (True, 0.38)])
def test_thirty_relays_find_a_destination_back_and_deliver_as_much_of_the_evening(told: bool, delivered: float) -> None:
    """A part that shrinks with the number of relays is not to leave a destination alone. With larger parts 0.50 and 0.42
    were delivered, over ten seeds: what many tried at once was refused."""
    evenings = [play(Case("even", told=told), seed) for seed in range(3)]
    back = sorted(one for evening in evenings for one in evening.back)
    assert back[len(back) // 2] <= 30.0
    assert sum(evening.delivered for evening in evenings) / 3 >= delivered
