"""Tests of scenario files, and of the plans drawn from them."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetrelay.cli.commands import command
from garnetrelay.config.deployment import load as load_config
from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal import plan, scenario
from garnetrelay.rehearsal.links import script

SECOND = 1_000_000_000
GOOD = 'name = "mine"\ntext = "x"\nseconds = 5\n'


@pytest.mark.parametrize(
    ("more", "message"),
    [
        ('relays = "two"\n', "mine.toml:4: relays: Expected `int`, got `str`"),
        ("relays = 999\n", "mine.toml:4: relays: Expected `int` <= 200"),
        ("sseconds = 3\n", "mine.toml:4: sseconds: Object contains unknown field `sseconds`"),
        ('[load]\nrate = 5\nshape = "round"\n', "mine.toml:6: load.shape: Invalid enum value 'round'"),
        (
            '[[steps]]\nat = 1\nwhat = "kill"\n\n[[steps]]\nat = 2\nwhat = "explode"\n',
            "mine.toml:10: steps.what: Invalid enum value 'explode'",
        ),
        ('[[steps]]\nwhat = "kill"\n', "mine.toml:4: steps: Object missing required field `at`"),
        (
            '[[classes]]\nname = "c"\nshare = 1\nrepeat = "keyed"\naim_ms = 1\ndeadline_ms = 2\n',
            "class c is keyed and has no window_ms",
        ),
        ("load = = 3\n", "mine.toml:4: not TOML"),
    ],
)
def test_error_names_file_and_line(tmp_path: Path, more: str, message: str) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(GOOD + more)
    result = CliRunner().invoke(command, ["rehearse", str(path)])
    assert result.exit_code == 2 and message in result.output and result.output.count("\n") == 1


def test_unknown_scenario_and_list() -> None:
    result = CliRunner().invoke(command, ["rehearse", "no-such"])
    assert result.exit_code == 2 and "closing-hour" in result.output
    result = CliRunner().invoke(command, ["rehearse", "--list"])
    assert result.exit_code == 0 and set(scenario.names()) <= set(result.output.split())


@pytest.mark.parametrize("name", scenario.names())
def test_same_seed_is_the_same_schedule(name: str) -> None:
    loaded = scenario.load(name)
    assert plan.make(loaded, 7).digest() == plan.make(loaded, 7).digest() != plan.make(loaded, 8).digest()


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 2**32), relays=st.integers(1, 5), seconds=st.floats(2, 90), name=st.sampled_from(scenario.names())
)
def test_every_plan_is_valid(seed: int, relays: int, seconds: float, name: str) -> None:
    drawn = plan.make(scenario.load(name), seed, relays, seconds)
    assert all(0 <= a.at < drawn.length and 1 <= a.dest <= len(drawn.partners) for a in drawn.arrivals)
    assert list(drawn.arrivals) == sorted(drawn.arrivals, key=lambda a: a.at) and drawn.partners
    assert all(p.capacity > 0 and p.slots > 0 and p.listed > 0 and p.routes for p in drawn.partners)
    assert all(step.at >= 0 and (not step.ends or step.ends > step.at) for step in drawn.steps)
    assert len({route.name for p in drawn.partners for route in p.routes}) == sum(p.route_count for p in drawn.partners)


def test_a_relay_accepts_the_settings_of_a_plan(tmp_path: Path) -> None:
    import json

    drawn = plan.make(scenario.load("in-turn"), 1)
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "limits": drawn.limits,
                "settings": drawn.settings,
            }
        )
    )
    config = load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)})
    assert config.settings.classes[0].in_turn and config.settings.rules.turn_gap == 400_000_000


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", ":1: not a recording"),
        ('{"what":"recording","version":9,"figures":{}}\n', ":1: version 9"),
        ('{"what":"recording","version":1,"figures":{}}\n', "missing required field"),
    ],
)
def test_recording_that_cannot_be_read(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "seen.jsonl"
    path.write_text(text)
    result = CliRunner().invoke(command, ["rehearse", "--check", str(path)])
    assert result.exit_code == 2 and message in result.output


def test_recording_truncated_by_a_crash_is_read_up_to_the_last_complete_line(tmp_path: Path) -> None:
    path = tmp_path / "seen.jsonl"
    good = '{"what":"step","at":1,"since":1,"text":"x"}\n'
    path.write_text('{"what":"recording","version":1,"figures":{}}\n' + good + good[:20])
    _, seen = ev.read_recording(path)
    assert len(list(seen)) == 1
    path.write_text('{"what":"recording","version":1,"figures":{}}\n' + good[:20] + "\n")
    with pytest.raises(ev.RecordingError, match=":2: "):
        list(ev.read_recording(path)[1])


def test_moves_of_a_fleet_depend_on_the_seed_only_and_stay_within_their_bounds() -> None:
    spec = script.FleetSpec(
        steps=(
            script.FleetStep(1, "cut", 2, 0.25),
            script.FleetStep(2, "kill", 10, 0.7, 1),
            script.FleetStep(3, "kill-seeds"),
        )
    )
    relays = tuple(f"relay{number}" for number in range(1, 21))
    drawn = script.moves(spec, 7, relays)
    assert drawn == script.moves(spec, 7, relays) != script.moves(spec, 8, relays)
    assert [len(move.relays) for move in drawn if move.what == "cut"] == [5]
    kills = [move for move in drawn if move.what == "kill"]
    assert len({move.relays for move in kills}) == 14
    assert all(2 * SECOND <= move.at <= 3 * SECOND and move.ends - move.at == 10 * SECOND for move in kills)
    assert [move.relays for move in drawn if move.what == "kill-seeds"] == [("relay1",), ("relay2",), ("relay3",)]
    assert len(script.select_share(0.5, relays)) == 9 and not script.select_share(0, relays)
