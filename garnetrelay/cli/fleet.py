"""`garnetrelay fleet`: what a running relay knows of the others."""

from __future__ import annotations

import click
import msgspec
from rich.console import Console
from rich.table import Table

from garnetrelay.cli.operators import ADDRESS, call
from garnetrelay.config.deployment import Address
from garnetrelay.fleet.words import Line, State


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
    Console(width=200 if not Console().is_terminal else None).print(table)


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
