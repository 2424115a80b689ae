"""`garnetrelay operators`: sends operators' commands to a running relay."""

from __future__ import annotations

import socket
import sys

import click

from garnetrelay.config.deployment import Address

ANSWER_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 1 << 20


class AddressType(click.ParamType[Address]):
    """A parameter of the form host:port."""

    name = "address"

    def convert(self, value: str | Address, parameter: click.Parameter | None, context: click.Context | None) -> Address:
        """Parses ``HOST:PORT``; a usage error of one line if the text is invalid."""
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
    help="The address of the relay's operators' listener; RELAY_OPS by default.",
)


def send_command(address: Address, line: str, timeout_s: float = ANSWER_TIMEOUT_S) -> str:
    """Sends a command and returns the complete answer; OSError if that fails."""
    answer = bytearray()
    with socket.create_connection((address.host, address.port), timeout=timeout_s) as connection:
        connection.sendall(line.encode("ascii") + b"\n")
        while piece := connection.recv(65536):
            answer += piece
            if len(answer) > MAX_ANSWER_BYTES:
                raise OSError("the answer is too long")
    return answer.decode("ascii", "replace")


def run_command(address: Address, line: str) -> str:
    """The same for a subcommand: exits with status 1 if the command fails, and 2 if the relay can't be reached."""
    try:
        answer = send_command(address, line)
    except (OSError, UnicodeEncodeError) as error:
        click.echo(f"garnetrelay: {address}: {error}", err=True)
        sys.exit(2)
    if not answer.startswith("+OK"):
        click.echo(f"garnetrelay: {address}: {answer.removeprefix('-ERR').strip() or 'no answer'}", err=True)
        sys.exit(1)
    return answer


@click.group()
def command() -> None:
    """Query a running relay's health and metrics, or exclude hosts."""


@command.command()
@ADDRESS
def health(address: Address) -> None:
    """Whether the relay can serve: the exit status is 0 if so, 1 if not, 2 if it can't be reached."""
    run_command(address, "HEALTH")
    click.echo("it serves")


@command.command()
@ADDRESS
@click.option("--only", default="", help="Only metrics with this text in their name.")
def figures(address: Address, only: str) -> None:
    """The relay's metrics in the text format of Prometheus."""
    for line in run_command(address, "DUMP").splitlines()[1:-1]:
        if only in line:
            click.echo(line)


@command.command()
@ADDRESS
@click.argument("host")
def offline(address: Address, host: str) -> None:
    """Exclude HOST until `online` includes it again."""
    run_command(address, f"OFFLINE {host}")
    click.echo(f"{host} is out")


@command.command()
@ADDRESS
@click.argument("host")
def online(address: Address, host: str) -> None:
    """Include HOST again."""
    run_command(address, f"ONLINE {host}")
    click.echo(f"{host} is back")
