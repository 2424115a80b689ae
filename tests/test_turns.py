"""A turn costs by what changed: counted in operations, never in time; the times are the benchmarks'."""

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
    (DeadlineQueue, "between"),
    (DeadlineQueue, "until"),
]


@pytest.fixture
def counts(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """How often the operations ran of which a turn is made."""
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
    for n in range(10):  # what was left to do is done
        step(n)
    counts.clear()
    for n in range(times):
        step(n)
    return sum(counts.values())


def test_turn_does_no_more_for_what_waits_elsewhere(counts: Counter[str]) -> None:
    done = []
    for held in (100, 5_000):
        bed = Bed(26)
        bed.shut(0)
        bed.hold(0, held)
        done.append(work(counts, life(bed, range(1, 26)), 50))
    assert done[0] == done[1]


def test_turn_does_no_more_for_what_waits_in_the_same_queue(counts: Counter[str]) -> None:
    done = []
    for held in (100, 5_000):
        bed = Bed(26, slots=32)
        out = sends(bed.turn(*[bed.message(0) for _ in range(100)]))
        bed.hold(0, held)

        def step(n: int, bed: Bed = bed, out: list[io.Send] = out) -> None:
            out.extend(sends(bed.turn(bed.answer(out.pop(0)), bed.message(0))))

        done.append(work(counts, step, 50))
    assert done[1] <= 1.2 * done[0]


def test_turn_does_no_more_over_many_destinations(counts: Counter[str]) -> None:
    done = []
    for dests in (26, 1_000):
        bed = Bed(dests)
        for dest in range(dests // 10):
            bed.shut(dest)
            bed.turn(bed.message(dest))
        done.append(work(counts, life(bed, range(dests // 10, dests)), 50))
    assert done[1] <= 1.2 * done[0]


def test_shedding_does_no_more_in_a_larger_hold(counts: Counter[str]) -> None:
    done = []
    for held in (260, 5_200):
        bed = Bed(26, held=held)
        for dest in range(26):
            bed.shut(dest)
            bed.hold(dest, held // 26 + 1)

        def step(n: int, bed: Bed = bed) -> None:
            bed.turn(bed.message(n % 26))

        done.append(work(counts, step, 50))
        assert bed.pacer.pending_count <= held
    assert done[1] <= 1.5 * done[0]


def test_burst_for_a_shut_destination_goes_out_as_it_opens() -> None:
    bed = Bed(4, slots=64)
    bed.shut(0, 2 * SECOND)
    bed.hold(0, 3_000)
    assert bed.pacer.pending_count == 3_001
    bed.now += SECOND
    out: list[io.Send] = []
    went: Counter[str] = Counter()
    for _ in range(400):
        bed.now += SECOND // 100
        out = sends(bed.turn(*[bed.answer(send) for send in out]))
        went.update(send.call for send in out)
        assert len(bed.pacer.calls) <= 48  # three quarters of the slots
    assert len(went) == 3_001 and not bed.pacer.pending_count


def test_deadlines_that_passed_while_the_process_slept_all_end_in_the_next_turn() -> None:
    bed = Bed(26)
    for dest in range(26):
        bed.shut(dest)
        bed.hold(dest, 100)
    held = set(bed.pacer.messages)
    bed.now += 60 * SECOND
    ended = [a.call for a in bed.turn() if isinstance(a, io.Refuse | io.Fail)]
    assert sorted(ended) == sorted(held) and not bed.pacer.messages and not bed.pacer.dest_queues
