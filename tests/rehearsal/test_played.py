"""Real relays in short scenarios: a correct relay gives no verdict, and injected faults are detected."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from garnetrelay.cli.commands import command
from garnetrelay.rehearsal import conductor, plan
from garnetrelay.rehearsal.checker import Verdict
from tests.rehearsal import planted
from tests.rehearsal.faults import FAULTS

INJECTED = (
    "attempts-not-recorded",
    "drain-not-understood",
    "waits-halved",
    "calls-left-behind",
    "second-copies-not-awaited",
)
TASKS: list[tuple[str, int, str | None]] = [(FAULTS[name].scenario, 3, name) for name in INJECTED]


@pytest.fixture(scope="module")
def played() -> Iterator[dict[str, concurrent.futures.Future[list[Verdict]]]]:
    """The runs with injected faults, in parallel: most of their time is spent waiting."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(len(TASKS), context) as pool:
        yield {str(task[2]): pool.submit(planted.run, *task) for task in TASKS}


@pytest.mark.parametrize("fault", INJECTED)
def test_injected_fault_is_detected_with_its_proof(
    played: dict[str, concurrent.futures.Future[list[Verdict]]], fault: str
) -> None:
    found = planted.named(fault, played[fault].result(timeout=100))
    assert found and all(verdict.relay.startswith("relay") and len(verdict.proof) >= 2 for verdict in found)


def test_second_copies_of_answers_break_no_rule() -> None:
    """A copy that came behind the next request on its connection was taken for the answer to it: a message that the
    partner had refused counted as delivered, and one that had run was sent again."""
    loaded = planted.load("copies")
    outcome = conductor.play(loaded, plan.make(loaded, 3))
    assert outcome.kept, outcome.verdicts


def test_upgrades_under_load_break_no_rule() -> None:
    loaded = planted.load("upgraded")
    outcome = conductor.play(loaded, plan.make(loaded, 5))
    assert outcome.kept, outcome.verdicts
    tally = outcome.tally
    assert [passed.how for passed in tally.upgrades] == ["well"] * 8
    assert not [name for name in tally.counts if name.startswith("unanswered")]


def test_a_fleet_with_faults_keeps_every_rule_and_converges_on_one_view() -> None:
    loaded = planted.load("fleet")
    outcome = conductor.play(loaded, plan.make(loaded, 2))
    assert outcome.kept, outcome.verdicts
    assert [met.what for met in outcome.fleet] == ["join", "cut", "stop", "kill"]
    last = outcome.fleet[-1]
    assert last.noticed is not None and last.known is not None and last.one_view is not None


def test_correct_relay_keeps_every_rule_and_its_recording_gives_the_same_result(tmp_path: Path) -> None:
    loaded = planted.load("closing-hour")
    schedule = plan.make(loaded, 3, seconds=12.0)
    recording = tmp_path / "seen.jsonl"
    outcome = conductor.play(loaded, schedule, recording=recording)
    assert outcome.kept, outcome.verdicts
    assert outcome.tally.statuses[200] > 0.8 * len(schedule.arrivals) and len(outcome.tally.restarts) == 2
    checked = CliRunner().invoke(command, ["rehearse", "--check", str(recording)])
    assert checked.exit_code == 0 and "0 verdicts" in checked.output
    page = tmp_path / "page.html"
    from garnetrelay.rehearsal.report import machine
    from garnetrelay.rehearsal.report import page as pages

    pages.write(outcome, page)
    assert page.read_text().count("<svg") >= 4 and "every rule held" in page.read_text()
    assert machine.report(outcome)["kept"] is True and machine.report(outcome)["schedule"] == schedule.digest()
