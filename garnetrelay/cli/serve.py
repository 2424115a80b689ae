"""`garnetrelay serve`: starts the daemon like `python -m garnetrelay`."""

from __future__ import annotations

import os
import sys

import click


@click.command()
def command() -> None:
    """Run one relay, configured by RELAY_CONFIG, RELAY_STATE and other environment variables."""
    # Replaces this process: the daemon must not keep the modules that the command has imported in memory.
    os.execv(sys.executable, [sys.executable, "-m", "garnetrelay"])
