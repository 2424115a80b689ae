"""`garnetrelay rehearse`: runs a scenario against real relays, or checks a recording again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from garnetrelay.rehearsal import conductor, events, plan, scenario
from garnetrelay.rehearsal.checker import Checker, RuleLimits
from garnetrelay.rehearsal.relays import StartError
from garnetrelay.rehearsal.report import live, machine

EXIT_RULE_BROKEN = 1
EXIT_NOT_RUN = 2
FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.argument("name", metavar="SCENARIO", required=False)
@click.option("--seed", default=1, show_default=True, help="Another seed gives another run of the same scenario.")
@click.option(
    "--relays", type=click.IntRange(1, scenario.MOST_RELAYS), help="The number of relays, instead of the scenario's."
)
@click.option("--seconds", type=click.FloatRange(1, 86400), help="The duration, instead of the scenario's.")
@click.option("--json", "json_file", type=FILE, help="Write the report as JSON.")
@click.option("--html", "html_file", type=FILE, help="Write the report as one page with plots.")
@click.option("--record", type=FILE, help="Record all observed events, for --check.")
@click.option("--check", type=FILE, help="Check a recording again, and run nothing.")
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep the relays' logs, configurations and state folders here; the folder must be new.",
)
@click.option("--command", help="The command that starts a relay, instead of this installation's daemon.")
@click.option("--list", "list_", is_flag=True, help="List the scenarios.")
@click.option("--quiet", is_flag=True, help="No live view.")
def command(
    name: str | None,
    seed: int,
    relays: int | None,
    seconds: float | None,
    json_file: Path | None,
    html_file: Path | None,
    record: Path | None,
    check: Path | None,
    logs: Path | None,
    command: str | None,
    list_: bool,
    quiet: bool,
) -> None:
    """Run SCENARIO (a name from --list, or a TOML file) against real relays on this machine, and check the rules.

    The exit status is 0 only if no rule was broken: 1 if one was, 2 if the scenario could not be run.
    """
    if list_:
        for each in scenario.names():
            click.echo(f"{each:20} {scenario.load(each).text}")
        return
    if check is not None:
        sys.exit(_check(check))
    if name is None:
        raise click.UsageError("no scenario given; --list shows all")
    if logs is not None and logs.exists() and any(logs.iterdir()):
        raise click.UsageError(f"{logs} is not empty")
    try:
        loaded = scenario.load(name)
    except scenario.ScenarioError as error:
        click.echo(f"garnetrelay: {error}", err=True)
        sys.exit(EXIT_NOT_RUN)
    console = Console()
    schedule = plan.make(loaded, seed, relays, seconds)
    live_view = None if quiet or not console.is_terminal else lambda playing: live.watch(playing, console)
    try:
        outcome = conductor.play(loaded, schedule, logs, command, record, beside=live_view)
    except asyncio.CancelledError:
        click.echo("garnetrelay: interrupted", err=True)
        sys.exit(EXIT_NOT_RUN)
    except (StartError, OSError) as error:
        click.echo(f"garnetrelay: {error}", err=True)
        sys.exit(EXIT_NOT_RUN)
    live.tell(outcome, console)
    if json_file is not None:
        machine.write(outcome, json_file)
    if html_file is not None:
        from garnetrelay.rehearsal.report import page  # slow to import, since it loads the plotting code

        page.write(outcome, html_file)
    sys.exit(0 if outcome.kept else EXIT_RULE_BROKEN)


def _check(path: Path) -> int:
    """Prints the verdicts on a recording; the exit status."""
    try:
        header, recorded_events = events.read_recording(path)
        checker = Checker(msgspec.json.decode(bytes(header.figures), type=RuleLimits))
        count = 0
        for event in recorded_events:
            checker.take(event)
            count += 1
    except (events.RecordingError, msgspec.MsgspecError, OSError) as error:
        click.echo(f"garnetrelay: {error}", err=True)
        return EXIT_NOT_RUN
    for verdict in checker.verdicts:
        click.echo(f"{verdict.at / 1e9:9.3f} s  rule {verdict.rule}, {verdict.fault}: {verdict.text}")
    click.echo(f"{header.scenario}, seed {header.seed}: {count} events, {len(checker.verdicts)} verdicts")
    return EXIT_RULE_BROKEN if checker.verdicts else 0
