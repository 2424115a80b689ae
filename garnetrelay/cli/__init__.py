"""The `garnetrelay` command: one module for each subcommand. The daemon imports none of it."""

from __future__ import annotations

import sys


def main() -> None:
    """The console script. The tools' dependencies are an extra of the package; if one is missing, it names the extra."""
    try:
        from garnetrelay.cli.commands import command
    except ModuleNotFoundError as error:
        if error.name and error.name.startswith("garnetrelay"):
            raise
        print(f"garnetrelay: '{error.name}' is missing: pip install 'garnetrelay[tools]'", file=sys.stderr)
        sys.exit(2)
    command()
