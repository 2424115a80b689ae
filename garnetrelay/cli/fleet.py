"""`garnetrelay fleet`: what a running relay knows of the others."""

from __future__ import annotations

import click
import msgspec
from rich.console import Console
from rich.table import Table

from garnetrelay.cli import controller
from garnetrelay.cli.operators import ADDRESS, call
from garnetrelay.config.deployment import Address
from garnetrelay.fleet.status import Line, State


@click.group()
def command() -> None:
    """Ask a running relay about the fleet: who is there, who has failed, and what its picture is worth."""


def told(answer: str) -> list[str]:
    """The lines of an answer."""
    return answer.splitlines()[1:-1]


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"


@command.command()
@ADDRESS
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, as the relay says it.")
def members(address: Address, as_json: bool) -> None:
    """All members as this relay holds them, and its own condition."""
    lines = told(call(address, "FLEET MEMBERS"))
    if as_json:
        click.echo("\n".join(lines))
        return
    own: State = msgspec.json.decode(lines[0], type=State)
    click.echo(f"{own.name}, life {own.life}: {own.condition} for {own.since:.1f} s ({own.why})")
    click.echo(
        f"view {own.view} of {own.members} members, held by {own.same} others for sure, by {own.other} not; "
        f"oldest word {_seconds(own.oldest_word)} s (at most {own.word_bound:.1f} where links are whole)"
    )
    click.echo(f"to be relied on: {own.relies}")
    table = Table("member", "zone", "life", "status", "for s", "word s", "view", "at", "by", "link", box=None)
    for line in lines[1:]:
        each: Line = msgspec.json.decode(line, type=Line)
        table.add_row(
            each.name,
            str(each.zone or "-"),
            str(each.life),
            each.status,
            f"{each.since:.1f}",
            _seconds(each.word_age),
            each.view,
            each.place,
            each.by,
            each.path,
        )
    _print(table)


@command.command()
@ADDRESS
@click.argument("name")
def explain(address: Address, name: str) -> None:
    """Why the member NAME is held for what it is; of the relay itself: what its picture is worth, and why."""
    for line in told(call(address, f"FLEET EXPLAIN {name}")):
        click.echo(line)


@command.command()
@ADDRESS
def leave(address: Address) -> None:
    """Let this relay leave the fleet until it is started anew: it serves on, and acts as a relay alone."""
    call(address, "FLEET LEAVE")
    click.echo("it has left")


@command.command()
@ADDRESS
@click.argument("destination", required=False, type=click.IntRange(min=0))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, as the relay says it.")
def owners(address: Address, destination: int | None, as_json: bool) -> None:
    """The partitions that this relay owns, with epochs; or whether it owns DESTINATION, and who should."""
    lines = told(call(address, "FLEET OWNERS" if destination is None else f"FLEET OWNERS {destination}"))
    if as_json:
        click.echo("\n".join(lines))
    elif destination is None:
        _say_owned(lines)
    else:
        _say_destination(lines[0])


def _say_owned(lines: list[str]) -> None:
    from garnetrelay.fleet.lease_status import OwnedLine, SessionLine

    state: SessionLine = msgspec.json.decode(lines[0], type=SessionLine)
    click.echo(
        f"{state.name}, session {state.session}: owns {state.owned} of {state.should_own} partitions that should be its "
        f"own, of {state.partitions}; {len(state.reached)} of {state.controllers} controllers reached, "
        f"{state.quorum} are needed"
    )
    table = Table("partition", "epoch", "for s more", box=None)
    for line in lines[1:]:
        each: OwnedLine = msgspec.json.decode(line, type=OwnedLine)
        table.add_row(str(each.partition), str(each.epoch), f"{each.left:.1f}")
    _print(table)


def _say_destination(line: str) -> None:
    from garnetrelay.fleet.lease_status import DestinationLine

    each: DestinationLine = msgspec.json.decode(line, type=DestinationLine)
    owned = "does not own it" if each.epoch is None else f"owns it in epoch {each.epoch} for {_seconds(each.left)} s more"
    click.echo(
        f"destination {each.destination}, partition {each.partition}: this relay {owned}; "
        f"by its view it should be {each.should_own or 'nobody'}'s"
    )


@command.command()
@ADDRESS
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, as the relay says it.")
def controllers(address: Address, as_json: bool) -> None:
    """Each controller as this relay sees it."""
    from garnetrelay.fleet.lease_status import ControllerLine

    lines = told(call(address, "FLEET CONTROLLERS"))
    if as_json:
        click.echo("\n".join(lines))
        return
    table = Table("controller", "at", "accepted s ago", "counts", "failures since", "votes", box=None)
    for line in lines:
        each: ControllerLine = msgspec.json.decode(line, type=ControllerLine)
        counts = "yes" if each.counts else "no"
        table.add_row(str(each.number), each.place, _seconds(each.accepted), counts, str(each.failures), str(each.votes))
    _print(table)


def _print(table: Table) -> None:
    Console(width=200 if not Console().is_terminal else None).print(table)


command.add_command(controller.command)
