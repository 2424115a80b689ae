"""`garnetrelay fleet`: a running relay's view of the fleet."""

from __future__ import annotations

import click
import msgspec
from rich.console import Console
from rich.table import Table

from garnetrelay.cli import controller
from garnetrelay.cli.operators import ADDRESS, run_command
from garnetrelay.config.deployment import Address
from garnetrelay.fleet.status import Line, State


@click.group()
def command() -> None:
    """Query a running relay's view of the fleet: its members, their status, and how reliable the view is."""


def answer_lines(answer: str) -> list[str]:
    """The lines of an answer."""
    return answer.splitlines()[1:-1]


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"


@command.command()
@ADDRESS
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, as the relay sends it.")
def members(address: Address, as_json: bool) -> None:
    """All members in this relay's view, and its own condition."""
    lines = answer_lines(run_command(address, "FLEET MEMBERS"))
    if as_json:
        click.echo("\n".join(lines))
        return
    own: State = msgspec.json.decode(lines[0], type=State)
    click.echo(f"{own.name}, life {own.life}: {own.condition} for {own.since:.1f} s ({own.why})")
    click.echo(
        f"view {own.view} of {own.members} members, the same at {own.same} other members, different at {own.other}; "
        f"oldest observation {_seconds(own.oldest_word)} s (at most {own.word_bound:.1f} while all links work)"
    )
    click.echo(f"reliable: {own.relies}")
    table = Table("member", "zone", "life", "status", "for s", "observed s", "view", "at", "by", "link", box=None)
    for line in lines[1:]:
        row: Line = msgspec.json.decode(line, type=Line)
        table.add_row(
            row.name,
            str(row.zone or "-"),
            str(row.life),
            row.status,
            f"{row.since:.1f}",
            _seconds(row.word_age),
            row.view,
            row.place,
            row.by,
            row.path,
        )
    _print_table(table)


@command.command()
@ADDRESS
@click.argument("name")
def explain(address: Address, name: str) -> None:
    """Why the member NAME has its status; for the relay itself, how reliable its view is, and why."""
    for line in answer_lines(run_command(address, f"FLEET EXPLAIN {name}")):
        click.echo(line)


@command.command()
@ADDRESS
def leave(address: Address) -> None:
    """Make this relay leave the fleet until it is restarted: it continues to serve as a relay without a fleet."""
    run_command(address, "FLEET LEAVE")
    click.echo("the relay has left the fleet")


@command.command()
@ADDRESS
@click.argument("destination", required=False, type=click.IntRange(min=0))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, as the relay sends it.")
def owners(address: Address, destination: int | None, as_json: bool) -> None:
    """The partitions that this relay owns, with epochs; or whether it owns DESTINATION, and which relay should."""
    lines = answer_lines(run_command(address, "FLEET OWNERS" if destination is None else f"FLEET OWNERS {destination}"))
    if as_json:
        click.echo("\n".join(lines))
    elif destination is None:
        _print_owned(lines)
    else:
        _print_destination(lines[0])


def _print_owned(lines: list[str]) -> None:
    from garnetrelay.fleet.lease_status import OwnedLine, SessionLine

    state: SessionLine = msgspec.json.decode(lines[0], type=SessionLine)
    click.echo(
        f"{state.name}, session {state.session}: owns {state.owned} of the {state.should_own} partitions that it should "
        f"own, of {state.partitions} in all; {len(state.reached)} of {state.controllers} controllers reached, "
        f"{state.quorum} are needed"
    )
    table = Table("partition", "epoch", "remaining s", box=None)
    for line in lines[1:]:
        row: OwnedLine = msgspec.json.decode(line, type=OwnedLine)
        table.add_row(str(row.partition), str(row.epoch), f"{row.left:.1f}")
    _print_table(table)


def _print_destination(line: str) -> None:
    from garnetrelay.fleet.lease_status import DestinationLine

    row: DestinationLine = msgspec.json.decode(line, type=DestinationLine)
    owned = "does not own it" if row.epoch is None else f"owns it in epoch {row.epoch}, {_seconds(row.left)} s remaining"
    click.echo(
        f"destination {row.destination}, partition {row.partition}: this relay {owned}; "
        f"in its view {row.should_own or 'nobody'} should own it"
    )


@command.command()
@ADDRESS
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, as the relay sends it.")
def controllers(address: Address, as_json: bool) -> None:
    """Each controller as this relay sees it."""
    from garnetrelay.fleet.lease_status import ControllerLine

    lines = answer_lines(run_command(address, "FLEET CONTROLLERS"))
    if as_json:
        click.echo("\n".join(lines))
        return
    table = Table("controller", "at", "accepted s ago", "counts", "failures since", "votes", box=None)
    for line in lines:
        row: ControllerLine = msgspec.json.decode(line, type=ControllerLine)
        counts = "yes" if row.counts else "no"
        table.add_row(str(row.number), row.place, _seconds(row.accepted), counts, str(row.failures), str(row.votes))
    _print_table(table)


def _print_table(table: Table) -> None:
    Console(width=200 if not Console().is_terminal else None).print(table)


command.add_command(controller.command)
