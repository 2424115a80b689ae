"""All subcommands. Each module is imported when its subcommand runs, so that `--help` does not load the plotting code."""

from __future__ import annotations

import importlib

import click

SUBCOMMANDS = {
    "check-config": "garnetrelay.cli.check_config",
    "fleet": "garnetrelay.cli.fleet",
    "journal": "garnetrelay.cli.journal",
    "operators": "garnetrelay.cli.operators",
    "rehearse": "garnetrelay.cli.rehearse",
    "serve": "garnetrelay.cli.serve",
    "upgrade": "garnetrelay.cli.upgrade",
}


class LazyGroup(click.Group):
    """A group whose subcommands are imported by name."""

    def list_commands(self, context: click.Context) -> list[str]:
        """The names of all subcommands, sorted as in ``--help``."""
        return sorted(SUBCOMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Imports a subcommand's module and returns its command; None for an unknown name."""
        if name not in SUBCOMMANDS:
            return None
        found = importlib.import_module(SUBCOMMANDS[name]).command
        assert isinstance(found, click.Command)
        return found


@click.command(cls=LazyGroup)
@click.version_option(package_name="garnetrelay", message="%(prog)s %(version)s")
def command() -> None:
    """A message relay, and the tools that come with it."""
