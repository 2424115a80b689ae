"""`garnetrelay operators`: calls a running relay as staff do."""

from __future__ import annotations

import socket
import sys

import click

from garnetrelay.config.deployment import Address

ANSWER_TIME = 3.0  # seconds
MOST_ANSWER = 1 << 20


class AddressType(click.ParamType[Address]):
    """host:port."""

    name = "address"

    def convert(self, value: str | Address, parameter: click.Parameter | None, context: click.Context | None) -> Address:
        """Parse ``HOST:PORT``; a usage error of one line where it is none."""
        try:
            return value if isinstance(value, Address) else Address.parse(value)
        except ValueError as error:
            self.fail(str(error), parameter, context)


ADDRESS = click.option(
    "--at",
    "address",
    type=AddressType(),
    envvar="RELAY_OPS",
    required=True,
    help="Where staff call the relay; RELAY_OPS by default.",
)


def ask(address: Address, line: str, patience: float = ANSWER_TIME) -> str:
    """A call's whole answer; OSError where none comes."""
    answer = bytearray()
    with socket.create_connection((address.host, address.port), timeout=patience) as caller:
        caller.sendall(line.encode("ascii") + b"\n")
        while piece := caller.recv(65536):
            answer += piece
            if len(answer) > MOST_ANSWER:
                raise OSError("the answer does not end")
    return answer.decode("ascii", "replace")


def call(address: Address, line: str) -> str:
    """The same for a subcommand: it ends with status 1 on a no, and 2 where the relay can't be reached."""
    try:
        answer = ask(address, line)
    except (OSError, UnicodeEncodeError) as error:
        click.echo(f"garnetrelay: {address}: {error}", err=True)
        sys.exit(2)
    if not answer.startswith("+OK"):
        click.echo(f"garnetrelay: {address}: {answer.removeprefix('-ERR').strip() or 'no answer'}", err=True)
        sys.exit(1)
    return answer


@click.group()
def command() -> None:
    """Ask a running relay for its health and figures, or take hosts out by hand."""


@command.command()
@ADDRESS
def health(address: Address) -> None:
    """Whether it can serve: the exit status is 0 for yes, 1 for no, 2 where it can't be reached."""
    call(address, "HEALTH")
    click.echo("it serves")


@command.command()
@ADDRESS
@click.option("--only", default="", help="Only figures with this in their name.")
def figures(address: Address, only: str) -> None:
    """Its figures, in the text form of Prometheus."""
    for line in call(address, "DUMP").splitlines()[1:-1]:
        if only in line:
            click.echo(line)


@command.command()
@ADDRESS
@click.argument("host")
def offline(address: Address, host: str) -> None:
    """Take HOST out until it is put back."""
    call(address, f"OFFLINE {host}")
    click.echo(f"{host} is out")


@command.command()
@ADDRESS
@click.argument("host")
def online(address: Address, host: str) -> None:
    """Put HOST back."""
    call(address, f"ONLINE {host}")
    click.echo(f"{host} is back")
