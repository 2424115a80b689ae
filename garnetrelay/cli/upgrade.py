"""`garnetrelay upgrade`: starts a new process next to a running relay, and ends the old one once the new one serves."""

from __future__ import annotations

import os
import shlex
import signal
import subprocess
import sys
import time
from pathlib import Path

import click

from garnetrelay.cli.operators import AddressType, send_command
from garnetrelay.config.deployment import Address
from garnetrelay.handover.channel import HandoverSocket

POLL_INTERVAL_S = 0.05
TERM_TIMEOUT_S = 3.7  # from SIGTERM until the old process gets SIGKILL
EXIT_FAILED = 1
EXIT_NOT_RUN = 2


def serving(folder: Path) -> int | None:
    """The process ID of the relay that serves from a state folder, from the socket's peer credentials; None if none."""
    endpoint = HandoverSocket(folder)
    try:
        channel = endpoint.connect()
    finally:
        endpoint.close()
    if channel is None:
        return None
    process = channel.peer[0]
    channel.close()
    return process


def alive(process: int) -> bool:
    """Whether the process runs; a zombie counts as ended."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (OSError, IndexError):
        return False


def healthy(address: Address) -> bool:
    """Whether the relay with this operators' address answers HEALTH with ``+OK`` within a second."""
    try:
        return send_command(address, "HEALTH", 1.0).startswith("+OK")
    except OSError:
        return False


@click.command()
@click.option(
    "--state",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    envvar="RELAY_STATE",
    required=True,
    help="The relay's state folder; RELAY_STATE by default.",
)
@click.option("--to", "to", help="The command that starts the new process; this installation's daemon by default.")
@click.option(
    "--staff",
    "address",
    type=AddressType(),
    required=True,
    help="The address of the new process's operators' listener, different from the old one's.",
)
@click.option(
    "--log",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="The file to which the new process's log is appended.",
)
@click.option("--seconds", default=30.0, show_default=True, help="The time limit for the new process to serve.")
def command(state: Path, to: str | None, address: Address, log: Path, seconds: float) -> None:
    """Upgrade the relay that serves from a state folder, without an interruption.

    The new process gets this command's environment (RELAY_CONFIG, RELAY_LISTEN and so on, with the same values as for
    the old one). The exit status is 0 once it serves and the old one has ended, 1 if it failed and the old one continues
    to serve, and 2 if the upgrade could not be started.
    """
    old = serving(state)
    if old is None:
        click.echo(f"garnetrelay: no relay that can be upgraded serves from {state}", err=True)
        sys.exit(EXIT_NOT_RUN)
    click.echo(f"process {old} serves")
    environment = {**os.environ, "RELAY_STATE": str(state), "RELAY_OPS": str(address)}
    words = [sys.executable, "-m", "garnetrelay"] if to is None else shlex.split(to)
    try:
        with log.open("ab") as output:
            new = subprocess.Popen(
                words, env=environment, stdin=subprocess.DEVNULL, stdout=output, stderr=output, start_new_session=True
            )
    except OSError as error:
        click.echo(f"garnetrelay: {words[0]}: {error.strerror}", err=True)
        sys.exit(EXIT_NOT_RUN)
    end = time.monotonic() + seconds
    while not healthy(address):
        status = new.poll()
        if status is None and time.monotonic() > end:
            new.kill()
            status = new.wait()
        if status is not None:
            old_state = "serves on" if alive(old) else "is gone too"
            click.echo(
                f"garnetrelay: the new process ended with status {status}, see {log}; the old one " f"{old_state}",
                err=True,
            )
            sys.exit(EXIT_FAILED)
        time.sleep(POLL_INTERVAL_S)
    click.echo(f"process {new.pid} serves")
    try:
        os.kill(old, signal.SIGTERM)
        end = time.monotonic() + TERM_TIMEOUT_S
        while alive(old) and time.monotonic() < end:
            time.sleep(POLL_INTERVAL_S)
        os.kill(old, signal.SIGKILL)
    except ProcessLookupError:
        pass
    click.echo(f"process {old} has ended")
