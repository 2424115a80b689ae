"""Capacity table: derived sizes, rows and their verdicts, and one process per measured size."""

from __future__ import annotations

import msgspec
import pytest

from benchmarks.capacity import command, leases, pacer, protocols
from benchmarks.capacity.run import FailedError, rows, sample
from benchmarks.capacity.size import CONTROL_MEMORY, CONTROL_NETWORK, SIZE, Budget, Mark, Unit
from benchmarks.capacity.subject import Quantity, Results, Row, Subject
from benchmarks.capacity.subjects import SUBJECTS
from benchmarks.capacity.table import HEADS, quantity, show, verdict


class Sample(msgspec.Struct):
    memory: float


def measure(size: int) -> Sample:
    return Sample(1_000.0 * size)


SUBJECT = Subject(
    "injected",
    "",
    "things",
    (1, 10, 100),
    (1, 10),
    Sample,
    measure,
    (Quantity("memory", "memory", Unit.BYTES, 1_000_000, CONTROL_MEMORY),),
)


def test_sizes_are_derived_from_the_given_size() -> None:
    assert SIZE.owned == 420
    assert SIZE.zone_relays == 103
    assert SIZE.down_destinations == 7_540
    assert round(SIZE.meets_every) == 474
    assert round(SIZE.relay_backlog) == 8_064_516


def test_quantities_have_three_digits_and_a_unit() -> None:
    assert quantity(1.19e9, Unit.BYTES) == "1.19 GB"
    assert quantity(0.0113, Unit.SECONDS) == "11.3 ms"
    assert quantity(0.017, Unit.CORES) == "1.70 % of a core"
    assert quantity(2_504.0, Unit.BYTES_A_SECOND) == "2.50 KB/s"


def test_a_row_states_whether_its_budget_holds_and_by_how_much_it_is_exceeded() -> None:
    over = Row("a", "b", Unit.BYTES, 512e6, Mark.COMPUTED, CONTROL_MEMORY)
    assert verdict(over) == "NO, 2.0 times it"
    assert verdict(over._replace(value=128e6)) == "holds, 50.0% of it"
    assert verdict(over._replace(budget=None)) == "-"


def test_rows_come_from_samples_and_are_stored_for_computed_rows() -> None:
    results = Results()
    (row,) = rows(SUBJECT, {size: measure(size) for size in SUBJECT.sizes}, results)
    assert row.value == pytest.approx(1e9)
    assert row.mark is Mark.COMPUTED
    kept = results.get("injected", "memory")
    assert kept is not None
    assert kept.at(100) == (100_000.0, Mark.MEASURED)
    table = show([row]).splitlines()
    assert len(table) == 3
    assert table[2].count("|") == len(HEADS) + 1
    assert "NO, 3.9 times it" in table[2]


def test_each_size_runs_in_its_own_process() -> None:
    found = sample(pacer.SUBJECT, 20)
    assert isinstance(found, pacer.Sample)
    assert found.whole_list > 0


def test_a_failed_size_is_reported_and_left_out(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(FailedError, match="injected at 10 things"):
        sample(SUBJECT, 10)  # the child process has no subject of that name
    assert command.measured(SUBJECT, True, Results()) == []
    output = capsys.readouterr().out
    assert "failed: injected at 1 things" in output
    assert "failed: injected at 10 things" in output


def test_all_subjects_have_four_sizes_and_read_only_fields_of_their_samples() -> None:
    for subject in SUBJECTS:
        assert len(subject.sizes) >= 4
        assert max(subject.sizes) >= 10 * min(subject.sizes)
        fields = {field.name for field in msgspec.structs.fields(subject.sample)}
        assert {quantity.field for quantity in subject.quantities} <= fields


def test_computed_rows_need_no_slope_or_have_one() -> None:
    without = protocols.rows(Results())
    assert not [row for row in without if "whole lists" in row.text]
    assert all(row.mark is Mark.COMPUTED and row.reason for row in (*without, *leases.rows()))
    renewals = next(row for row in leases.rows() if row.text == "renewals that a relay sends")
    assert renewals.budget == Budget(*CONTROL_NETWORK)
    assert renewals.value < CONTROL_NETWORK.most
