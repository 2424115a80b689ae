"""`garnetrelay upgrade`: starts a new process beside a running relay, and ends the old one once the new one serves."""

from __future__ import annotations

import os
import shlex
import signal
import subprocess
import sys
import time
from pathlib import Path

import click

from garnetrelay.cli.operators import AddressType, ask
from garnetrelay.config.deployment import Address
from garnetrelay.handover.channel import HandoverSocket

LOOK_EVERY = 0.05  # seconds
TERM_TIME = 3.7  # seconds from SIGTERM until the old process must be gone
FAILED = 1
UNUSABLE = 2


def serving(folder: Path) -> int | None:
    """The process that serves from a state folder, as the kernel knows it; None where none does."""
    door = HandoverSocket(folder)
    try:
        channel = door.connect()
    finally:
        door.close()
    if channel is None:
        return None
    process = channel.peer[0]
    channel.close()
    return process


def alive(process: int) -> bool:
    """Whether it runs; one that has ended and that nobody has asked for its status does not."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (OSError, IndexError):
        return False


def healthy(address: Address) -> bool:
    """Whether the relay whose staff address this is answers HEALTH with ``+OK`` within a second."""
    try:
        return ask(address, "HEALTH", 1.0).startswith("+OK")
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
    help="Where staff are to call the new process: another address than the old one's.",
)
@click.option(
    "--log",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="The file that the new process's log is added to.",
)
@click.option("--seconds", default=30.0, show_default=True, help="How long the new process may take until it serves.")
def command(state: Path, to: str | None, address: Address, log: Path, seconds: float) -> None:
    """Upgrade the relay that serves from a state folder, while it serves.

    The new process gets this command's environment (RELAY_CONFIG, RELAY_LISTEN and so on, as the old one had them).
    The exit status is 0 once it serves and the old one is gone, 1 if it failed and the old one serves on, and 2 if
    nothing could be tried.
    """
    old = serving(state)
    if old is None:
        click.echo(f"garnetrelay: no relay that can be upgraded serves from {state}", err=True)
        sys.exit(UNUSABLE)
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
        sys.exit(UNUSABLE)
    end = time.monotonic() + seconds
    while not healthy(address):
        status = new.poll()
        if status is None and time.monotonic() > end:
            new.kill()
            status = new.wait()
        if status is not None:
            carries_on = "serves on" if alive(old) else "is gone too"
            click.echo(
                f"garnetrelay: the new process ended with status {status}, see {log}; the old one " f"{carries_on}",
                err=True,
            )
            sys.exit(FAILED)
        time.sleep(LOOK_EVERY)
    click.echo(f"process {new.pid} serves")
    try:
        os.kill(old, signal.SIGTERM)
        end = time.monotonic() + TERM_TIME
        while alive(old) and time.monotonic() < end:
            time.sleep(LOOK_EVERY)
        os.kill(old, signal.SIGKILL)
    except ProcessLookupError:
        pass
    click.echo(f"process {old} has ended")
