"""The six rules, as far as a single relay can keep them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from starlingwick import interface as io
from tests.helpers import KEYED, MS, ORDERED, SAFE, UNSAFE, Relay, S, entry, klass


def test_pending_message_ends_once_before_its_deadline() -> None:
    relay = Relay(entry("a"))
    relay.tick(relay.message(dest=9, patience=S))
    assert not relay.actions or isinstance(relay.actions[-1], io.Wake)
    relay.tick(after=S - 2 * relay.settings.tick)
    assert [a.call for a in relay.of(io.Refuse)] == ["m1"]
    relay.tick(after=S)
    assert relay.of(io.Refuse) == [] and relay.of(io.Fail) == []


def test_time_out_of_the_last_attempt_ends_the_message_at_once() -> None:
    relay = Relay(entry("a"))
    relay.tick(relay.message(UNSAFE))
    relay.tick(relay.verdict("m1", io.Status.TIMEOUT), after=20 * S)
    assert [a.call for a in relay.of(io.Fail)] == ["m1"]
    assert relay.of(io.Refuse) == []


def test_unsafe_message_that_may_have_run_is_failed_never_sent_or_refused() -> None:
    for status in (io.Status.ERROR, io.Status.TIMEOUT, io.Status.RESET, io.Status.CANCELLED):
        relay = Relay(entry("a"), entry("b"))
        relay.tick(relay.message(UNSAFE))
        relay.tick(relay.verdict("m1", status), after=S)
        assert [a.call for a in relay.of(io.Fail)] == ["m1"], status
        assert relay.sends() == [] and relay.of(io.Refuse) == []


def test_unsafe_message_known_not_to_have_run_is_sent_again() -> None:
    relay = Relay(entry("a"))
    relay.tick(relay.message(UNSAFE))
    relay.tick(relay.verdict("m1", io.Status.FULL), after=50 * MS)
    seen = []
    for _ in range(30):
        relay.tick(after=100 * MS)
        seen += [s.call for s in relay.sends()]
    assert seen == ["m1"]


def test_keyed_message_is_not_sent_after_its_window() -> None:
    relay = Relay(entry("a"))
    relay.tick(relay.message(KEYED))
    relay.tick(relay.verdict("m1", io.Status.TIMEOUT), after=11 * S)
    assert relay.sends() == []
    assert [a.call for a in relay.of(io.Refuse)] == ["m1"]


def test_keyed_message_stays_in_its_zone_once_it_may_have_run() -> None:
    relay = Relay(entry("a", zone=0), entry("b", zone=1), classes=(klass(io.Repeat.KEYED, io.Scope.ZONE),))
    relay.tick(relay.message())
    first = relay.sends()[0].host
    relay.tick(relay.verdict("m1", io.Status.RESET), after=100 * MS)
    again = []
    for _ in range(95):
        relay.tick(after=100 * MS)
        again += [s.host for s in relay.sends()]
    assert again == [first]


def test_nothing_is_sent_to_a_draining_or_removed_host() -> None:
    relay = Relay(entry("a"))
    relay.tick(io.Roster(io.ListScope.CHANGES, (entry("a", state=io.Availability.STOPPING),)), relay.message())
    assert relay.sends() == []
    relay.tick(io.Roster(io.ListScope.CHANGES, (entry("a"),)))
    assert [s.host for s in relay.sends()] == ["a"]
    relay.tick(io.Roster(io.ListScope.WHOLE, (entry("b"),)), relay.message())
    assert [s.host for s in relay.sends()] == ["b"]


def test_destination_in_an_outage_gets_one_trial_at_a_time_then_a_ramp() -> None:
    relay = Relay(entry("a"))
    relay.serve(40)
    relay.tick(*[relay.message() for _ in range(40)])
    relay.try_all(io.Status.ERROR, 12)
    calls = relay.pacer.routes[1][0].calls
    for _ in range(50):
        relay.tick(after=100 * MS)
        # An overdue call does not block a trial.
        assert sum(not call.counted_overdue for call in calls) <= 1 and len(calls) <= 2
    sent_at: list[int] = []
    for _ in range(200):
        for m in [m for m in relay.pacer.messages.values() if m.call is not None]:
            relay.tick(relay.verdict(m.name, io.Status.OK), after=10 * MS)
            sent_at += [relay.now] * len(relay.sends())
        relay.tick(after=50 * MS)
        sent_at += [relay.now] * len(relay.sends())
    rules = relay.settings.rules
    before = 40 / 8  # messages served a second before the outage
    budget = rules.fall_multiple * before * rules.fall / S
    first = [t for t in sent_at if t < sent_at[0] + rules.fall]
    assert sent_at and len(first) <= budget * 0.5


def test_messages_of_one_key_go_one_at_a_time_in_order() -> None:
    relay = Relay(entry("a"), entry("b"), rules={"turn_gap": S})
    relay.tick(relay.message(ORDERED, key="k"), relay.message(ORDERED, key="k"), relay.message(ORDERED, key="other"))
    assert [s.call for s in relay.sends()] == ["m1", "m3"]
    relay.tick(io.Withdrawn("m1"), after=100 * MS)
    assert relay.sends() == []  # its attempt is still in flight
    relay.tick(relay.verdict("m1", io.Status.CANCELLED), after=100 * MS)
    assert relay.sends() == []  # the key is blocked
    relay.tick(after=S)
    assert [s.call for s in relay.sends()] == ["m2"]


def test_requested_wait_applies_to_every_message_and_probe() -> None:
    relay = Relay(entry("a"), entry("b"))
    relay.tick(relay.message(), relay.message())
    relay.tick(relay.verdict("m1", io.Status.FULL, wait=900 * MS), relay.message(), after=50 * MS)
    requested_at = relay.now
    while relay.now + 50 * MS < requested_at + 900 * MS:
        relay.tick(relay.message(), after=50 * MS)
        assert relay.sends() == [] and relay.of(io.Probe) == []
    relay.tick(relay.verdict("m2", io.Status.OK), after=100 * MS)
    sent = relay.sends()
    relay.tick(after=500 * MS)
    assert sent or relay.sends()


def test_wait_reported_to_a_later_message_of_a_call_applies_too() -> None:
    """Each message of a call has its own outcome, and a wait in any of them counts."""
    relay = Relay(entry("a", kind=2))
    relay.tick(relay.message(), relay.message())
    assert len(relay.sends()) == 2
    relay.tick(relay.verdict("m1", io.Status.FULL, wait=300 * MS), after=50 * MS)
    relay.tick(relay.verdict("m2", io.Status.FULL, wait=300 * MS), after=200 * MS)
    relay.tick(after=200 * MS)
    assert relay.sends() == []


def test_safe_message_is_tried_again_after_an_error() -> None:
    relay = Relay(entry("a"))
    relay.tick(relay.message(SAFE))
    relay.tick(relay.verdict("m1", io.Status.ERROR), after=50 * MS)
    seen = []
    for _ in range(100):
        relay.tick(after=100 * MS)
        seen += [s.call for s in relay.sends()]
    assert seen == ["m1"]


def test_alarm_that_fires_slightly_early_is_requested_again() -> None:
    """A clock that rounds down fired an alarm 1 ns early; it was not requested again, and a message ended late
    (h0a7f9b)."""
    relay = Relay(entry("a"))
    relay.tick(relay.message(dest=9, patience=S))
    wake = relay.of(io.Wake)[-1]
    relay.tick(io.Alarm(wake.token), after=wake.after - 1)
    assert [a.after for a in relay.of(io.Wake)] == [1]


def recovered(call: str, klass: int, **changes: Any) -> io.Recovered:
    values: dict[str, Any] = {"dest": 1, "key": None, "patience": 20 * S, "attempts": 0, "ran_ago": None, "ran_zone": 0}
    return io.Recovered(call, klass, **(values | changes))


def test_recovered_messages_keep_the_attempts_of_an_earlier_process() -> None:
    cases = (
        (recovered("m", UNSAFE), io.Send),
        (recovered("m", UNSAFE, attempts=1, ran_ago=S), io.Fail),
        (recovered("m", SAFE, attempts=5, ran_ago=S), io.Send),
        (recovered("m", SAFE, attempts=6), io.Refuse),
        (recovered("m", SAFE, patience=-S), io.Refuse),
        (recovered("m", UNSAFE, patience=-S, attempts=1, ran_ago=S), io.Fail),
        (recovered("m", KEYED, attempts=1, ran_ago=S), io.Send),
        (recovered("m", KEYED, attempts=1, ran_ago=11 * S), io.Refuse),
    )
    for event, kind in cases:
        relay = Relay(entry("a"))
        relay.tick(event)
        assert [type(a) for a in relay.actions if not isinstance(a, io.Wake)] == [kind], event


def test_recovered_keyed_message_stays_in_its_zone() -> None:
    classes = (klass(io.Repeat.KEYED, io.Scope.ZONE),)
    for zone, host in ((0, "a"), (1, "b")):
        relay = Relay(entry("a", zone=0), entry("b", zone=1), classes=classes)
        relay.tick(recovered("m", 0, attempts=1, ran_ago=S, ran_zone=zone))
        assert [s.host for s in relay.sends()] == [host]


def test_message_without_room_in_the_journal_is_refused_and_not_kept() -> None:
    relay = Relay(entry("a"))
    relay.tick(replace(relay.message(), storable=False))
    assert [a.call for a in relay.of(io.Refuse)] == ["m1"] and relay.sends() == []
    assert relay.pacer.messages == {} and relay.pacer.pending_count == 0


def test_nothing_is_sent_that_the_end_of_the_process_might_cut_off() -> None:
    relay = Relay(entry("a"))
    relay.serve(3)  # mean response time 100 ms: 400 ms suffice for most calls
    relay.tick(io.Stopping(relay.now + S))
    relay.tick(relay.message(UNSAFE), after=500 * MS)
    assert len(relay.sends()) == 1
    relay.tick(relay.message(UNSAFE), after=200 * MS)
    assert relay.sends() == [] and relay.of(io.Refuse) == [] and relay.of(io.Fail) == []


def test_final_check_stops_a_call_after_a_change_of_its_host_or_deadline() -> None:
    relay = Relay(entry("a"), entry("b"))
    relay.tick(relay.message())
    host = relay.sends()[0].host
    assert relay.pacer.clear_to_send(relay.now, "m1", host)
    assert relay.pacer.clear_to_send(relay.now, None, host)
    assert not relay.pacer.clear_to_send(relay.now + 20 * S, "m1", host)
    relay.tick(io.Roster(io.ListScope.CHANGES, (entry(host, state=io.Availability.STOPPING),)))
    assert not relay.pacer.clear_to_send(relay.now, "m1", host)
    assert not relay.pacer.clear_to_send(relay.now, None, host)
    relay.tick(io.Roster(io.ListScope.CHANGES, (entry(host, state=io.Availability.DELETED),)))
    assert not relay.pacer.clear_to_send(relay.now, "m1", host)


def test_final_check_observes_a_wait_reported_to_another_call() -> None:
    relay = Relay(entry("a"))
    relay.serve(2)
    relay.tick(relay.message(), relay.message())
    assert len(relay.sends()) == 2
    first, second = (s.call for s in relay.sends())
    relay.tick(relay.verdict(first, io.Status.FULL, wait=S))
    assert not relay.pacer.clear_to_send(relay.now, second, "a")
    assert relay.pacer.clear_to_send(relay.now + S, second, "a")


def test_abandoned_attempt_did_not_run_and_is_repeated() -> None:
    relay = Relay(entry("a"))
    relay.tick(relay.message(UNSAFE))
    relay.tick(relay.verdict("m1", io.Status.ABANDONED), after=50 * MS)
    relay.tick(after=S)
    assert [s.call for s in relay.sends()] == ["m1"]


def test_lagging_loop_ends_messages_earlier_and_refuses_new_requests() -> None:
    """Three ticks pass between a deadline and the answer, more than the answer slack of the rules covers."""
    relay = Relay(entry("a", state=io.Availability.STOPPING), rules={"answer_slack": 250 * MS})
    pending = relay.message(patience=5 * S)
    relay.tick(pending)
    relay.tick(io.Lagging(150 * MS), relay.message(patience=5 * S), after=4 * S)
    assert not relay.of(io.Refuse)  # the lag is within what clients wait for
    relay.tick(after=789 * MS)
    assert not relay.of(io.Refuse)
    relay.tick(after=2 * MS)  # 3 * 150 - 250 = 200 ms earlier, and two ticks
    assert [a.call for a in relay.of(io.Refuse)] == [pending.call]
    late = relay.message()
    relay.tick(io.Lagging(300 * MS), late)
    assert late.call in [a.call for a in relay.of(io.Refuse)] and late.call not in relay.pacer.messages
    accepted = relay.message()
    relay.tick(io.Lagging(0), accepted)
    assert accepted.call in relay.pacer.messages
