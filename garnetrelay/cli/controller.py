"""`garnetrelay fleet controller`: runs one of the processes that grant leases."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from garnetrelay.config.controller import Controller


@click.command("controller")
@click.argument("options", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--initialize", is_flag=True, help="Write an empty records file, once for a new cluster, and exit.")
@click.option("--check", is_flag=True, help="Check whether a controller could start with these options, and exit.")
def command(options: Path, initialize: bool, check: bool) -> None:
    """Run the controller of OPTIONS, a TOML file, until SIGTERM."""
    from garnetrelay.config.controller import read
    from garnetrelay.fleet.controller.records_file import RecordsError

    try:
        config = read(options)
        if check:
            click.echo(f"{options}: good: controller {config.number} of {len(config.addresses)}, at {config.listen}")
        elif initialize:
            _initialize(config)
        else:
            _serve(config)
    except RecordsError as error:
        _fail(str(error), 1)
    except ValueError as error:
        _fail(str(error), 2)
    except OSError as error:
        _fail(f"cannot start: {error}", 1)


def _initialize(config: Controller) -> None:
    from garnetrelay.fleet.controller.records_file import RecordsFile

    records = RecordsFile(config.folder, config.number, config.settings.partitions, config.settings.lease)
    records.initialize()
    click.echo(f"{records.path}: written")


def _serve(config: Controller) -> None:
    from garnetrelay.fleet.controller.process import ControllerProcess

    level = os.environ.get("RELAY_LOG_LEVEL", "INFO").upper()
    logging.basicConfig(
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )

    async def run() -> None:
        await ControllerProcess(config).run()

    asyncio.run(run())


def _fail(text: str, status: int) -> None:
    click.echo(f"garnetrelay: {text}", err=True)
    sys.exit(status)
