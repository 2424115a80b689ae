"""Which call or watch of discovery counts, without sockets."""

from __future__ import annotations

import random

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.discovery import watches as module
from garnetrelay.discovery.watches import MOST_CALLS, Patience, State, Watch, Watches
from starlingwick.discovery_schedule import MAX_REOPEN_DELAY_NS, MIN_HEDGE_DELAY_NS, SECOND

OLD, NEW = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


def watching() -> tuple[Watches, Watch]:
    """One watch that works, at version 41."""
    watches = Watches(OLD, 41)
    watch, _ = watches.begin()
    watches.taken_up(watch)
    watches.line(watch)
    return watches, watch


def test_a_watch_at_the_old_address_goes_on_until_the_new_one_has_brought_a_line() -> None:
    watches, old = watching()
    watches.move(NEW)
    assert not watches.up_to_date and watches.out == [old]
    call, closing = watches.begin()
    assert (call.address, call.index, closing) == (NEW, 0, [])
    watches.taken_up(call)
    assert watches.line(old) == []  # it still tells changes, and closes nothing that is newer
    watches.told(old, 50)
    assert watches.index == 0  # the new address counts in a way of its own
    assert watches.line(call) == [old]
    assert watches.up_to_date and watches.out == [call]


def test_the_first_of_two_calls_that_brings_a_line_is_the_watch() -> None:
    watches, doubted = watching()
    assert watches.doubted(doubted)
    beside, _ = watches.begin()
    assert watches.line(doubted) == [beside]  # it goes on after all
    assert watches.doubted(doubted)  # and falls silent once more, which is told once more
    beside, _ = watches.begin()
    assert watches.line(beside) == [doubted]


def test_a_failure_is_told_once_and_only_of_the_present_address_where_nothing_else_serves() -> None:
    watches, watch = watching()
    assert watches.doubted(watch) and not watches.doubted(watch)
    assert not watches.ended(watch)  # told already
    call, _ = watches.begin()
    assert watches.ended(call) and not watches.ended(call)
    watches, watch = watching()
    beside, _ = watches.begin()
    assert not watches.ended(beside)  # the watch serves on
    watches.move(NEW)
    assert not watches.doubted(watch) and not watches.ended(watch)
    first, _ = watches.begin()
    second, _ = watches.begin()
    assert not watches.ended(first)  # the Pacer's schedule counts from the second
    assert watches.ended(second)


def test_the_end_of_a_call_that_was_taken_up_is_told_though_a_later_one_is_out() -> None:
    """The Pacer takes it for a watch and calls no more; the later one hung for 6 s (fault play 55)."""
    watches = Watches(OLD, 41)
    first, _ = watches.begin()
    watches.begin()
    watches.taken_up(first)
    assert watches.ended(first)


def test_connections_are_bounded_and_the_one_that_works_is_kept() -> None:
    watches, watch = watching()
    for _ in range(3 * MOST_CALLS):
        watches.move(NEW)
        call, closing = watches.begin()
        assert watch in watches.out and call in watches.out and watch not in closing
        assert len(watches.out) <= MOST_CALLS


@pytest.mark.parametrize("seed", range(50))
def test_in_any_order_of_events_a_watch_that_works_closes_only_for_one_that_does(seed: int) -> None:
    rng = random.Random(seed)
    watches = Watches(OLD, 41)
    for _ in range(300):
        working = [watch for watch in watches.out if watch.state is State.OPEN]
        what = rng.choice(["begin", "move", "line", "line", "doubted", "ended"])
        one = rng.choice(watches.out) if watches.out else None
        if what == "begin":
            _, closing = watches.begin()
            assert not set(closing) & set(working)
        elif what == "move":
            watches.move(rng.choice([OLD, NEW]))
            assert [watch for watch in watches.out if watch.state is State.OPEN] == working
        elif one is not None and what == "line":
            closing = watches.line(one)
            assert one.state is State.OPEN and one in watches.out
            assert all(other.generation <= one.generation for other in closing)
        elif one is not None and what == "doubted":
            watches.doubted(one)
        elif one is not None:
            watches.ended(one)
        assert len(watches.out) <= MOST_CALLS
        current = [w for w in watches.out if w.state is State.OPEN and watches.is_current(w)]
        assert len(current) <= 1


def test_patience_counts_from_whole_lines() -> None:
    patience = Patience.begin(100.0)
    assert (patience.doubt_at, patience.end_at) == (None, 100.0 + module.ANSWER_TIME)
    patience.taken_up(101.0, all_asked_for=True)
    assert (patience.doubt_at, patience.end_at) == (101.0 + module.FIRST_LINE, 101.0 + module.SILENCE_TIMEOUT_S)
    patience.line(102.0)
    assert (patience.doubt_at, patience.end_at) == (102.0 + module.DOUBT_AFTER, 102.0 + module.SILENCE_TIMEOUT_S)
    patience.unfinished(102.1)
    assert patience.doubt_at == 102.1 + module.LINE_TIME
    for tenth in range(1, 40):  # a trickle
        patience.unfinished(102.1 + tenth / 10)
        assert patience.doubt_at is not None
        assert patience.doubt_at <= 102.0 + module.DOUBT_AFTER
        assert patience.end_at == 102.0 + module.SILENCE_TIMEOUT_S


def test_what_a_silent_watch_misses_can_be_asked_for_three_times_before_it_counts_as_told() -> None:
    """6 s: the doubt, the longest gap behind it, and two calls beside the first one, among few relays."""
    assert module.DOUBT_AFTER + (MAX_REOPEN_DELAY_NS + 2 * MIN_HEDGE_DELAY_NS) / SECOND < 6.0
    assert module.DOUBT_AFTER > 2.0  # a line comes every 2 s
