"""Pacing: ceilings that are cut, raised and dropped, concurrent calls by Little's Law, backoff and outages."""

from __future__ import annotations

import pytest

from garnetrelay.delivery.http.hosts import SETTLE_S
from starlingwick import interface as io
from starlingwick.control import CEILING_CUT_FACTOR, SUSPECT_FAILURE_SHARE
from tests.helpers import MS, ORDERED, UNSAFE, Relay, S, entry


def refuse(relay: Relay, n: int) -> None:
    relay.tick(*[relay.message() for _ in range(n)])
    sent = relay.sends()
    assert len(sent) == n
    relay.tick(*[relay.verdict(s.call, io.Status.FULL) for s in sent], after=50 * MS)


def test_three_refusals_cut_to_three_quarters_of_what_was_sent_and_two_do_not() -> None:
    relay = Relay(entry("a"))
    relay.serve(10)
    dest = relay.pacer.routes[1][0]
    refuse(relay, 2)
    assert dest.ceiling is None
    relay = Relay(entry("a"))
    relay.serve(10)
    dest = relay.pacer.routes[1][0]
    sent_before = 13 / 2.05
    refuse(relay, 3)
    assert dest.ceiling == pytest.approx(CEILING_CUT_FACTOR * sent_before, rel=0.02)


def test_ceiling_rises_by_a_quarter_of_the_gap_and_is_dropped_at_its_target() -> None:
    relay = Relay(entry("a", rate=20.0), listed_rates=True)
    relay.serve(10)
    refuse(relay, 3)
    dest = relay.pacer.routes[1][0]
    before = dest.ceiling
    assert before is not None
    relay.tick(after=2 * S)
    assert dest.ceiling == pytest.approx(before + (10.0 - before) / 4)
    for _ in range(12):
        relay.tick(relay.message(), after=2 * S)
        for send in relay.sends():
            relay.tick(relay.verdict(send.call, io.Status.OK), after=10 * MS)
    assert dest.ceiling is None


def test_concurrent_calls_before_a_cut_are_three_quarters_of_the_slots() -> None:
    relay = Relay(entry("a"), slots=7)
    relay.tick(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 5


def test_concurrent_calls_after_a_cut_follow_littles_law() -> None:
    relay = Relay(entry("a"))
    relay.serve(10)
    dest = relay.pacer.routes[1][0]
    dest.ceiling, dest.mean_time = 10.0, 100.0 * MS
    assert relay.pacer.max_calls(dest) == 2
    dest.mean_time = 1.0 * MS
    assert relay.pacer.max_calls(dest) == 1


def test_suspect_destination_gets_half_the_slots() -> None:
    relay = Relay(entry("a"))
    dest = relay.pacer.routes[1][0]
    dest.failure_share = 0.3
    assert relay.pacer.max_calls(dest) == 4


def test_replaced_hosts_and_finished_keys_are_removed() -> None:
    """Removed hosts and finished keys were kept forever."""
    relay = Relay(entry("h0", kind=1), rules={"turn_gap": S})
    for n in range(1, 200):
        relay.tick(relay.message(ORDERED, key=f"k{n}"), after=60 * S)
        relay.tick(*[relay.verdict(s.call, io.Status.RESET) for s in relay.sends()], after=50 * MS)
        new, gone = entry(f"h{n}", kind=1), entry(f"h{n - 1}", kind=1, state=io.Availability.DELETED)
        relay.tick(io.Roster(io.ListScope.CHANGES, (new, gone)))
    relay.tick(after=30 * S)
    pacer = relay.pacer
    assert len(pacer.hosts) == len(pacer.routes[1]) == 1
    assert len(pacer.blocked_keys) <= 2 and not pacer.key_queues and not pacer.messages and not pacer.dest_queues


def test_host_that_returns_under_its_old_id_is_used_again() -> None:
    relay = Relay(entry("a"))
    relay.tick(io.Roster(io.ListScope.WHOLE, ()), relay.message())
    assert relay.sends() == []
    relay.tick(io.Roster(io.ListScope.CHANGES, (entry("a"),)), after=S)
    assert [s.host for s in relay.sends()] == ["a"]


def test_refusals_at_a_spent_limit_back_off_longer_where_calls_are_rare() -> None:
    """Retries alone exceeded a route's limit, and it served nothing (gandhinagar-hub-later)."""

    def attempts(relays: int) -> int:
        relay = Relay(entry("a", rate=6.0), relays=relays, listed_rates=True)
        relay.tick(relay.message())
        count, spent = 1, io.Report(0.0, 6.0)
        for _ in range(150):
            refused = [relay.verdict(s.call, io.Status.FULL, report=spent) for s in relay.sends()]
            relay.tick(*refused, after=100 * MS)
            count += len(relay.sends())
        return count

    assert attempts(300) <= 3 and attempts(2) >= 6


def test_a_half_remaining_limit_ends_the_backoff_and_a_missing_report_does_not() -> None:
    relay = Relay(entry("a", rate=6.0), relays=60, listed_rates=True)
    dest = relay.pacer.routes[1][0]
    relay.tick(relay.message(), relay.message())
    relay.tick(relay.verdict("m1", io.Status.FULL, report=io.Report(0.0, 6.0)), after=50 * MS)
    assert dest.backoff > 0
    relay.pacer.update_backoff(dest, False, None)
    assert dest.backoff > 0
    relay.pacer.update_backoff(dest, False, 1.5)  # out of range, legal
    assert dest.backoff == 0


def test_message_that_cannot_be_attempted_in_time_is_refused_at_once() -> None:
    relay = Relay(entry("a", rate=6.0), relays=300, listed_rates=True, seed=2)
    relay.tick(relay.message(patience=3 * S))
    relay.tick(relay.verdict("m1", io.Status.CONNECT_FAILED), after=50 * MS)
    assert [a.call for a in relay.of(io.Refuse)] == ["m1"]


def test_sends_to_one_host_share_a_call_as_far_as_the_kind_allows() -> None:
    relay = Relay(entry("a", kind=2), slots=4)
    relay.tick(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 12  # three calls of four
    assert len(relay.pacer.calls) == 3


def test_subscription_is_requested_and_renewed() -> None:
    relay = Relay(entry("a"), discovery=io.Discovery.SUBSCRIBE)
    assert len(relay.of(io.Subscribe)) == 1
    relay.tick(io.Roster(io.ListScope.FAILED, ()), after=100 * MS)
    relay.tick(after=2 * S)
    assert len(relay.of(io.Subscribe)) == 1
    relay.tick(io.Roster(io.ListScope.CHANGES, ()), after=100 * MS)
    relay.tick(after=30 * S)
    assert relay.of(io.Subscribe) == []


def test_full_relay_sheds_the_messages_that_earn_least() -> None:
    relay = Relay(entry("a"), limits={"most_held": 20}, tenant_rates=(2.0, 100.0))
    relay.tick(*[relay.message(tenant=t) for t in [0] * 12 + [1] * 9])
    shed = {a.call for a in relay.of(io.Refuse)}
    assert shed and shed <= {f"m{i}" for i in range(3, 13)}  # beyond tenant 0's rate


def test_slow_trickle_of_refusals_between_successes_is_no_outage() -> None:
    """At a destination with little traffic the last success is long ago; a refusal there only means that the limit was
    reached (incidents i6622a2, i4a983f)."""
    relay = Relay(entry("a"))
    relay.serve(5)
    for _ in range(6):
        relay.tick(relay.message(), after=5 * S)
        relay.try_all(io.Status.FULL, 1)
        relay.try_all(io.Status.OK, 1)
    assert not relay.pacer.routes[1][0].in_outage


def test_long_requested_wait_means_shut_and_a_ramp_from_its_end() -> None:
    """All relays are given the same opening time. They must not all return at once, and none may stay away for long."""
    starts = []
    for seed in range(30):
        relay = Relay(entry("a", rate=6.0), relays=30, listed_rates=True, seed=seed)
        relay.tick(relay.message())
        relay.tick(relay.verdict("m1", io.Status.FULL, wait=8 * S), after=50 * MS)
        opens_at = relay.now + 8 * S
        while not relay.sends():
            relay.tick(after=100 * MS)
        starts.append(relay.now - opens_at)
    rules = relay.settings.rules
    early = [t for t in starts if t < rules.fall]
    share = rules.start_capacity + (1 - rules.start_capacity) * rules.fall / rules.ramp_time / 2
    budget = rules.fall_multiple * share * 6.0 * rules.fall / S
    assert min(starts) >= 0 and len(early) <= budget
    assert max(starts) <= rules.ramp_time and len(set(starts)) > 15


@pytest.mark.parametrize("relays", [3, 60, 300])
def test_trials_after_an_outage_stay_in_budget_and_are_spread(relays: int) -> None:
    """Each relay paced its trials as if it were the only one, so all tried again at once (ic3f29e, failed failback)."""
    trials: list[int] = []
    for seed in range(relays):
        relay = Relay(entry("a", rate=6.0), relays=relays, listed_rates=True, seed=seed)
        relay.tick(relay.message())
        relay.tick(relay.verdict("m1", io.Status.CONNECT_FAILED), after=50 * MS)
        failed = relay.now
        while not relay.sends() and relay.now < failed + 18 * S:
            relay.tick(after=100 * MS)
        trials += [relay.now - failed] * len(relay.sends())
    rules = relay.settings.rules
    budget = rules.fall_multiple * rules.start_capacity * 6.0
    assert trials
    active_relays = min(relays, 60)  # relays whose calls can arrive within a ramp
    assert len(trials) / relays * active_relays <= 18 * budget
    assert len(set(trials)) > len(trials) / 2


def test_rates_discard_old_events_and_memory_stays_bounded() -> None:
    """Old sends made an idle destination look fast when messages were shed, and were kept forever."""
    relay = Relay(entry("a"))
    relay.serve(400)
    dest = relay.pacer.routes[1][0]
    assert len(dest.sent) <= 20 and len(dest.arrived) <= 20 and len(dest.served) <= 50


def test_routes_of_one_destination_share_its_slots() -> None:
    relay = Relay(entry("a", kind=1), entry("b", kind=1), slots=8)
    relay.tick(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 6


def test_free_route_is_preferred_to_a_saturated_one_even_at_a_fee() -> None:
    """All messages took the routes without a fee, which therefore answered three times as slowly and occupied all slots,
    while the routes with a fee were idle."""
    relay = Relay(
        entry("free", kind=1, zone=0, rate=20.0),
        entry("paid", kind=1, zone=1, rate=20.0),
        slots=6,
        listed_rates=True,
        zone_fees=(0.0, 0.03),
    )
    relay.serve(5)
    assert set(relay.where.values()) == {"free"}
    relay.tick(relay.message(), after=100 * MS)
    assert [send.host for send in relay.sends()] == ["free"]  # enough slots: no fee is paid
    relay.tick(relay.verdict("m6", io.Status.OK), after=100 * MS)
    relay.tick(*[relay.message() for _ in range(5)], after=100 * MS)
    # One concurrent call: 10 calls a second, its share of 20, times 100 ms. Beyond that, the fee no longer matters.
    assert sorted(send.host for send in relay.sends()) == ["free", "free", "paid", "paid"]


def test_one_broken_connection_does_not_make_a_suspect() -> None:
    """A single reset limited a destination to one call at a time. Two in a row without a success in between still do."""
    relay = Relay(entry("a"))
    relay.serve(5)
    dest = relay.pacer.routes[1][0]
    relay.tick(*[relay.message() for _ in range(4)])
    first, second, third, fourth = (send.call for send in relay.sends())
    relay.tick(relay.verdict(first, io.Status.RESET), after=10 * MS)
    assert 0 < dest.failure_share <= SUSPECT_FAILURE_SHARE
    relay.tick(relay.verdict(second, io.Status.RESET), after=10 * MS)
    assert dest.failure_share > SUSPECT_FAILURE_SHARE


@pytest.mark.parametrize("status", [io.Status.RESET, io.Status.TIMEOUT])
def test_connection_that_fails_after_a_later_answer_does_not_count_against_its_host(status: io.Status) -> None:
    relay = Relay(entry("a"))
    relay.serve(5)
    dest = relay.pacer.routes[1][0]
    relay.tick(relay.message())
    old = relay.sends()[0].call
    relay.tick(relay.message(), after=50 * MS)
    relay.tick(relay.verdict(relay.sends()[0].call, io.Status.OK), after=50 * MS)
    failure_share = dest.failure_share
    relay.tick(relay.verdict(old, status), after=S)
    assert dest.failure_share == failure_share


def test_overdue_call_does_not_block_the_next_trial() -> None:
    """A message that cannot be repeated waited on a stalled connection until its deadline, and its destination got
    nothing else for 12 s."""
    relay = Relay(entry("a"))
    relay.serve(20)
    relay.tick(relay.message(UNSAFE))
    assert len(relay.sends()) == 1
    relay.tick(after=S)
    dest = relay.pacer.routes[1][0]
    assert dest.failure_share > SUSPECT_FAILURE_SHARE and len(dest.calls) == 1
    relay.tick(relay.message(), after=S)
    for _ in range(20):
        if relay.sends():
            break
        relay.tick(after=100 * MS)
    assert relay.sends() and len(dest.calls) == 2


def test_a_call_to_a_fast_host_is_not_overdue_while_it_waits_for_its_connection() -> None:
    """Four times the mean response time of a fast host is less than a connection rests behind an answer."""
    relay = Relay(entry("a"))
    for _ in range(20):
        relay.tick(relay.message(), after=S)
        relay.tick(relay.verdict(relay.sends()[0].call, io.Status.OK, cost=2 * MS), after=2 * MS)
    dest = relay.pacer.routes[1][0]
    relay.tick(relay.message(), after=S)
    relay.tick(after=round(SETTLE_S * S) + 40 * MS)
    assert dest.failure_share == 0 and len(dest.calls) == 1
    relay.tick(after=20 * MS)
    assert dest.failure_share > SUSPECT_FAILURE_SHARE  # a host that does not answer is still noticed soon


def test_slots_go_first_to_destinations_where_calls_do_not_queue() -> None:
    """Messages for a slow destination were as urgent as others and occupied slots only to wait there."""
    relay = Relay(*[entry(name, dest=dest, rate=20.0) for dest, name in enumerate("abc", 1)], slots=4, listed_rates=True)
    for dest in (1, 2, 3):
        relay.serve(3, dest=dest)
    relay.tick(*[relay.message(dest=dest) for dest in (1, 1, 1, 2, 2, 2, 3)], after=100 * MS)
    assert sorted(send.host for send in relay.sends()) == ["a", "a", "b", "c"]


@pytest.mark.parametrize(
    "report",
    [io.Report(0.5, 1e300), io.Report(0.5, 1e-300), io.Report(0.5, 900.0), io.Report(0.5, 0.01), io.Report(1e9, 20.0)],
)
@pytest.mark.parametrize("agreed", [20.0, 0.0])
def test_implausible_report_is_ignored(report: io.Report, agreed: float) -> None:
    """An out-of-range value caused a division by zero, or paced a destination."""
    relay = Relay(entry("a", rate=agreed), listed_rates=True)
    relay.serve(3)
    dest = relay.pacer.routes[1][0]
    relay.tick(relay.message(), after=100 * MS)
    relay.tick(relay.verdict("m4", io.Status.OK, report=report), after=100 * MS)
    assert dest.rate_limit == agreed or agreed == 0 and dest.rate_limit == 900.0
    relay.serve(3)
    relay.tick(relay.message(), after=100 * MS)
    good = io.Report(0.5, 31.0)
    relay.tick(relay.verdict(relay.sends()[0].call, io.Status.OK, report=good), after=100 * MS)
    assert dest.rate_limit == 31.0


def test_connection_that_is_not_needed_soon_is_closed() -> None:
    """Idle connections of many relays filled a host's connection table, which dropped them without notice (i8cfdde)."""
    many = Relay(entry("a"), relays=60)
    many.tick(many.message())
    many.tick(many.verdict("m1", io.Status.OK), after=100 * MS)
    assert [a.host for a in many.of(io.Close)] == ["a"]
    few = Relay(entry("a"), relays=2)
    few.serve(5)
    assert few.of(io.Close) == []


def test_second_refusal_with_most_of_the_limit_remaining_means_a_shut_destination() -> None:
    """A shut destination with a limit refuses with x0 near 1; the refusals were attributed to the limit (h2e20b5)."""
    for remaining, shut in ((0.95, True), (0.0, False)):
        relay = Relay(entry("a", rate=6.0), relays=60, listed_rates=True)
        relay.tick(relay.message())
        dest = relay.pacer.routes[1][0]
        refused = 0
        for _ in range(300):
            verdicts = [relay.verdict(s.call, io.Status.FULL, report=io.Report(remaining, 6.0)) for s in relay.sends()]
            refused += len(verdicts)
            relay.tick(*verdicts, after=100 * MS)
            if refused == 2:
                break
        assert refused == 2 and (dest.failure_share > 0) is shut


def test_an_entirely_spent_limit_backs_off_longer_than_an_almost_spent_one() -> None:
    """Where refused calls use up the limit, x0 stays at 0; second attempts alone kept it there (h02fa29)."""

    def first_backoff(remaining: float) -> float:
        relay = Relay(entry("a", rate=6.0), relays=300, listed_rates=True)
        relay.tick(relay.message())
        relay.tick(relay.verdict("m1", io.Status.FULL, report=io.Report(remaining, 6.0)), after=50 * MS)
        return relay.pacer.routes[1][0].backoff

    assert first_backoff(0.0) > 2 * first_backoff(0.05)


def test_refused_client_gets_a_retry_time_if_the_settings_allow() -> None:
    for retry_after in (True, False):
        relay = Relay(entry("a"), limits={"most_held": 20, "retry_after": retry_after})
        relay.tick(*[relay.message() for _ in range(40)])
        waits = [refusal.hold_off for refusal in relay.of(io.Refuse)]
        assert len(waits) >= 20
        assert all((0 < wait <= 2 * S) if retry_after else wait == 0 for wait in waits)


def test_full_connection_table_is_not_treated_as_overload() -> None:
    """Refusals of new connections say nothing about the rate limit: concurrent calls are reduced, the rate is not."""
    relay = Relay(entry("a", rate=50.0), listed_rates=True)
    report = io.Report(left=0.9, limit=50.0)
    relay.tick(relay.message())
    relay.tick(relay.verdict("m1", io.Status.OK, report=report), after=100 * MS)
    relay.tick(*[relay.message() for _ in range(6)])
    in_flight = [send.call for send in relay.sends()]
    assert len(in_flight) == 6
    for call in in_flight[3:]:
        relay.tick(relay.verdict(call, io.Status.CROWDED))
    dest, host = relay.pacer.hosts["a"]
    assert dest.ceiling is None and dest.refused_since is None and dest.failure_share == 0
    assert host.max_calls == 3 and host.calls == 3
    relay.tick(*[relay.message() for _ in range(3)], after=10 * MS)
    assert not relay.sends()
    relay.tick(relay.verdict(in_flight[0], io.Status.OK, report=report))
    assert len(relay.sends()) == 1  # replaces the call that was answered
    while in_flight := [m.name for m in relay.pacer.messages.values() if m.call is not None]:
        relay.tick(relay.verdict(in_flight[0], io.Status.OK, report=report), after=10 * MS)
    relay.tick(*[relay.message() for _ in range(6)], after=1100 * MS)
    assert host.calls == 4  # one more than the table had room for is tried
    relay.tick(relay.verdict(relay.sends()[0].call, io.Status.OK, report=report))
    assert host.max_calls == 4 and host.calls == 5  # there was room, so the next one is tried


def test_refusal_of_a_new_connection_counts_as_refusal_if_no_limit_was_reported() -> None:
    relay = Relay(entry("a"))
    for _ in range(4):
        relay.tick(relay.message())
        for send in relay.sends():
            relay.tick(relay.verdict(send.call, io.Status.CROWDED), after=10 * MS)
    dest, _ = relay.pacer.hosts["a"]
    assert dest.refused_since is not None
