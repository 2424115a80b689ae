"""Scenarios and the plans drawn from them."""

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
    ("more", "says"),
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
def test_mistake_is_told_with_its_file_and_line(tmp_path: Path, more: str, says: str) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(GOOD + more)
    told = CliRunner().invoke(command, ["rehearse", str(path)])
    assert told.exit_code == 2 and says in told.output and told.output.count("\n") == 1


def test_unknown_scenario_and_list() -> None:
    told = CliRunner().invoke(command, ["rehearse", "no-such"])
    assert told.exit_code == 2 and "closing-hour" in told.output
    told = CliRunner().invoke(command, ["rehearse", "--list"])
    assert told.exit_code == 0 and set(scenario.names()) <= set(told.output.split())


@pytest.mark.parametrize("name", scenario.names())
def test_same_seed_is_the_same_schedule(name: str) -> None:
    found = scenario.load(name)
    assert plan.make(found, 7).digest() == plan.make(found, 7).digest() != plan.make(found, 8).digest()


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 2**32), relays=st.integers(1, 5), seconds=st.floats(2, 90), name=st.sampled_from(scenario.names())
)
def test_every_plan_can_be_played(seed: int, relays: int, seconds: float, name: str) -> None:
    made = plan.make(scenario.load(name), seed, relays, seconds)
    assert all(0 <= a.at < made.length and 1 <= a.dest <= len(made.partners) for a in made.arrivals)
    assert list(made.arrivals) == sorted(made.arrivals, key=lambda a: a.at) and made.partners
    assert all(p.capacity > 0 and p.slots > 0 and p.listed > 0 and p.routes for p in made.partners)
    assert all(step.at >= 0 and (not step.ends or step.ends > step.at) for step in made.steps)
    assert len({route.name for p in made.partners for route in p.routes}) == sum(p.route_count for p in made.partners)


def test_settings_of_a_plan_are_a_relays(tmp_path: Path) -> None:
    import json

    made = plan.make(scenario.load("in-turn"), 1)
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "limits": made.limits,
                "settings": made.settings,
            }
        )
    )
    config = load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)})
    assert config.settings.classes[0].in_turn and config.settings.rules.turn_gap == 400_000_000


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("", ":1: not a recording"),
        ('{"what":"recording","version":9,"figures":{}}\n', ":1: version 9"),
        ('{"what":"recording","version":1,"figures":{}}\n', "missing required field"),
    ],
)
def test_recording_that_cannot_be_read(tmp_path: Path, text: str, says: str) -> None:
    path = tmp_path / "seen.jsonl"
    path.write_text(text)
    told = CliRunner().invoke(command, ["rehearse", "--check", str(path)])
    assert told.exit_code == 2 and says in told.output


def test_recording_that_a_crash_cut_off_is_read_as_far_as_it_goes(tmp_path: Path) -> None:
    path = tmp_path / "seen.jsonl"
    good = '{"what":"step","at":1,"since":1,"text":"x"}\n'
    path.write_text('{"what":"recording","version":1,"figures":{}}\n' + good + good[:20])
    _, seen = ev.read_recording(path)
    assert len(list(seen)) == 1
    path.write_text('{"what":"recording","version":1,"figures":{}}\n' + good[:20] + "\n")
    with pytest.raises(ev.RecordingError, match=":2: "):
        list(ev.read_recording(path)[1])


def test_a_fleets_moves_are_the_same_by_seed_and_within_their_bounds() -> None:
    spec = script.FleetSpec(
        steps=(
            script.FleetStep(1, "cut", 2, 0.25),
            script.FleetStep(2, "kill", 10, 0.7, 1),
            script.FleetStep(3, "kill-seeds"),
        )
    )
    relays = tuple(f"relay{number}" for number in range(1, 21))
    made = script.moves(spec, 7, relays)
    assert made == script.moves(spec, 7, relays) != script.moves(spec, 8, relays)
    assert [len(move.relays) for move in made if move.what == "cut"] == [5]
    kills = [move for move in made if move.what == "kill"]
    assert len({move.relays for move in kills}) == 14
    assert all(2 * SECOND <= move.at <= 3 * SECOND and move.ends - move.at == 10 * SECOND for move in kills)
    assert [move.relays for move in made if move.what == "kill-seeds"] == [("relay1",), ("relay2",), ("relay3",)]
    assert len(script.select_share(0.5, relays)) == 9 and not script.select_share(0, relays)
