"""The cost of a tick depends on what changed. It is counted in operations, never in time; benchmarks measure times."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from benchmarks.turns import Bed, life, sends
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.queues import DeadlineQueue

SECOND = 1_000_000_000
COUNTED = [
    (Pacer, "admission_time"),
    (Pacer, "worth_at"),
    (Pacer, "evaluate_queue"),
    (Pacer, "may_refuse"),
    (DeadlineQueue, "slice"),
    (DeadlineQueue, "count_until"),
]


@pytest.fixture
def counts(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Counts the operations that make up a tick."""
    counter: Counter[str] = Counter()

    def count(owner: type, name: str) -> None:
        method = getattr(owner, name)

        def counted(*args: Any, **kwargs: Any) -> Any:
            counter[name] += 1
            return method(*args, **kwargs)

        monkeypatch.setattr(owner, name, counted)

    for owner, name in COUNTED:
        count(owner, name)
    return counter


def work(counts: Counter[str], step: Any, times: int) -> int:
    for n in range(10):  # finish outstanding work first
        step(n)
    counts.clear()
    for n in range(times):
        step(n)
    return sum(counts.values())


def test_tick_does_no_more_work_for_messages_of_other_destinations(counts: Counter[str]) -> None:
    done = []
    for pending in (100, 5_000):
        bed = Bed(26)
        bed.shut(0)
        bed.hold(0, pending)
        done.append(work(counts, life(bed, range(1, 26)), 50))
    assert done[0] == done[1]


def test_tick_does_no_more_work_for_more_messages_in_the_same_queue(counts: Counter[str]) -> None:
    done = []
    for pending in (100, 5_000):
        bed = Bed(26, slots=32)
        in_flight = sends(bed.turn(*[bed.message(0) for _ in range(100)]))
        bed.hold(0, pending)

        def step(n: int, bed: Bed = bed, in_flight: list[io.Send] = in_flight) -> None:
            in_flight.extend(sends(bed.turn(bed.answer(in_flight.pop(0)), bed.message(0))))

        done.append(work(counts, step, 50))
    assert done[1] <= 1.2 * done[0]


def test_tick_does_no_more_work_with_many_destinations(counts: Counter[str]) -> None:
    done = []
    for dests in (26, 1_000):
        bed = Bed(dests)
        for dest in range(dests // 10):
            bed.shut(dest)
            bed.turn(bed.message(dest))
        done.append(work(counts, life(bed, range(dests // 10, dests)), 50))
    assert done[1] <= 1.2 * done[0]


def test_shedding_does_no_more_work_with_more_pending_messages(counts: Counter[str]) -> None:
    done = []
    for pending in (260, 5_200):
        bed = Bed(26, held=pending)
        for dest in range(26):
            bed.shut(dest)
            bed.hold(dest, pending // 26 + 1)

        def step(n: int, bed: Bed = bed) -> None:
            bed.turn(bed.message(n % 26))

        done.append(work(counts, step, 50))
        assert bed.pacer.pending_count <= pending
    assert done[1] <= 1.5 * done[0]


def test_burst_for_a_shut_destination_is_sent_once_it_opens() -> None:
    bed = Bed(4, slots=64)
    bed.shut(0, 2 * SECOND)
    bed.hold(0, 3_000)
    assert bed.pacer.pending_count == 3_001
    bed.now += SECOND
    sent: list[io.Send] = []
    sent_calls: Counter[str] = Counter()
    for _ in range(400):
        bed.now += SECOND // 100
        sent = sends(bed.turn(*[bed.answer(send) for send in sent]))
        sent_calls.update(send.call for send in sent)
        assert len(bed.pacer.calls) <= 48  # three quarters of the slots
    assert len(sent_calls) == 3_001 and not bed.pacer.pending_count


def test_deadlines_that_passed_while_the_process_slept_all_end_in_the_next_tick() -> None:
    bed = Bed(26)
    for dest in range(26):
        bed.shut(dest)
        bed.hold(dest, 100)
    pending = set(bed.pacer.messages)
    bed.now += 60 * SECOND
    ended = [a.call for a in bed.turn() if isinstance(a, io.Refuse | io.Fail)]
    assert sorted(ended) == sorted(pending) and not bed.pacer.messages and not bed.pacer.dest_queues
