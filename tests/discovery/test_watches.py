"""Selection among calls and watches of discovery, without sockets."""

from __future__ import annotations

import random

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.discovery import watches as module
from garnetrelay.discovery.watches import MAX_CALLS, State, Timeouts, Watch, Watches
from starlingwick.discovery_schedule import MAX_REOPEN_DELAY_NS, MIN_HEDGE_DELAY_NS, SECOND

OLD, NEW = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


def with_open_watch() -> tuple[Watches, Watch]:
    """One open watch, at version 41."""
    watches = Watches(OLD, 41)
    watch, _ = watches.begin()
    watches.on_accepted(watch)
    watches.on_line(watch)
    return watches, watch


def test_a_watch_at_the_old_address_stays_open_until_the_new_one_has_delivered_a_line() -> None:
    watches, old = with_open_watch()
    watches.move(NEW)
    assert not watches.up_to_date and watches.active == [old]
    call, closing = watches.begin()
    assert (call.address, call.index, closing) == (NEW, 0, [])
    watches.on_accepted(call)
    assert watches.on_line(old) == []  # it still delivers changes, and closes no newer call
    watches.on_version(old, 50)
    assert watches.index == 0  # the new address may number its versions differently
    assert watches.on_line(call) == [old]
    assert watches.up_to_date and watches.active == [call]


def test_the_first_of_two_calls_to_deliver_a_line_becomes_the_watch() -> None:
    watches, first = with_open_watch()
    assert watches.on_unresponsive(first)
    parallel, _ = watches.begin()
    assert watches.on_line(first) == [parallel]  # it has recovered
    assert watches.on_unresponsive(first)  # silent once more, which is reported once more
    parallel, _ = watches.begin()
    assert watches.on_line(parallel) == [first]


def test_a_failure_is_reported_once_and_only_at_the_current_address_without_another_open_watch() -> None:
    watches, watch = with_open_watch()
    assert watches.on_unresponsive(watch) and not watches.on_unresponsive(watch)
    assert not watches.on_ended(watch)  # reported already
    call, _ = watches.begin()
    assert watches.on_ended(call) and not watches.on_ended(call)
    watches, watch = with_open_watch()
    parallel, _ = watches.begin()
    assert not watches.on_ended(parallel)  # the watch is still open
    watches.move(NEW)
    assert not watches.on_unresponsive(watch) and not watches.on_ended(watch)
    first, _ = watches.begin()
    second, _ = watches.begin()
    assert not watches.on_ended(first)  # the Pacer's schedule counts from the second
    assert watches.on_ended(second)


def test_the_end_of_an_accepted_call_is_reported_although_a_later_one_is_pending() -> None:
    """The Pacer treats an accepted call as a watch and makes no more calls. Without the report it waited for the later
    call, which hung for 6 s (fault run 55)."""
    watches = Watches(OLD, 41)
    first, _ = watches.begin()
    watches.begin()
    watches.on_accepted(first)
    assert watches.on_ended(first)


def test_connections_are_limited_and_the_open_watch_is_kept() -> None:
    watches, watch = with_open_watch()
    for _ in range(3 * MAX_CALLS):
        watches.move(NEW)
        call, closing = watches.begin()
        assert watch in watches.active and call in watches.active and watch not in closing
        assert len(watches.active) <= MAX_CALLS


@pytest.mark.parametrize("seed", range(50))
def test_in_any_order_of_events_an_open_watch_is_closed_only_for_another_open_one(seed: int) -> None:
    rng = random.Random(seed)
    watches = Watches(OLD, 41)
    for _ in range(300):
        working = [watch for watch in watches.active if watch.state is State.OPEN]
        what = rng.choice(["begin", "move", "line", "line", "unresponsive", "ended"])
        one = rng.choice(watches.active) if watches.active else None
        if what == "begin":
            _, closing = watches.begin()
            assert not set(closing) & set(working)
        elif what == "move":
            watches.move(rng.choice([OLD, NEW]))
            assert [watch for watch in watches.active if watch.state is State.OPEN] == working
        elif one is not None and what == "line":
            closing = watches.on_line(one)
            assert one.state is State.OPEN and one in watches.active
            assert all(other.generation <= one.generation for other in closing)
        elif one is not None and what == "unresponsive":
            watches.on_unresponsive(one)
        elif one is not None:
            watches.on_ended(one)
        assert len(watches.active) <= MAX_CALLS
        current = [w for w in watches.active if w.state is State.OPEN and watches.is_current(w)]
        assert len(current) <= 1


def test_timeouts_count_from_complete_lines() -> None:
    timeouts = Timeouts.begin(100.0)
    assert (timeouts.unresponsive_at, timeouts.end_at) == (None, 100.0 + module.ANSWER_TIMEOUT_S)
    timeouts.on_accepted(101.0, whole_list_requested=True)
    assert (timeouts.unresponsive_at, timeouts.end_at) == (
        101.0 + module.FIRST_LINE_TIMEOUT_S,
        101.0 + module.SILENCE_TIMEOUT_S,
    )
    timeouts.on_line(102.0)
    assert (timeouts.unresponsive_at, timeouts.end_at) == (
        102.0 + module.UNRESPONSIVE_AFTER_S,
        102.0 + module.SILENCE_TIMEOUT_S,
    )
    timeouts.on_partial_line(102.1)
    assert timeouts.unresponsive_at == 102.1 + module.LINE_STALL_TIMEOUT_S
    for tenth in range(1, 40):  # single bytes at short intervals
        timeouts.on_partial_line(102.1 + tenth / 10)
        assert timeouts.unresponsive_at is not None
        assert timeouts.unresponsive_at <= 102.0 + module.UNRESPONSIVE_AFTER_S
        assert timeouts.end_at == 102.0 + module.SILENCE_TIMEOUT_S


def test_a_missed_change_can_be_requested_three_times_before_it_counts_as_received() -> None:
    """The 6 s must cover the time until a watch is unresponsive, the longest gap after that, and two parallel calls
    after the first one, with few relays."""
    assert module.UNRESPONSIVE_AFTER_S + (MAX_REOPEN_DELAY_NS + 2 * MIN_HEDGE_DELAY_NS) / SECOND < 6.0
    assert module.UNRESPONSIVE_AFTER_S > 2.0  # a line comes every 2 s
