"""`garnetrelay check-config`: checks whether a relay could start with a configuration."""

from __future__ import annotations

import os
from pathlib import Path

import click

from garnetrelay.config.deployment import ConfigError, load


@click.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--options",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="RELAY_OPTIONS",
    help="The file of additional options; RELAY_OPTIONS by default.",
)
def command(file: Path, options: Path | None) -> None:
    """Read a configuration as a relay would, and report an error in it in one line."""
    environment = {"RELAY_CONFIG": str(file), "RELAY_STATE": ".", "RELAY_OPTIONS": str(options or "")}
    if name := os.environ.get("RELAY_NAME"):
        environment["RELAY_NAME"] = name
    try:
        config = load(environment)
    except ConfigError as error:
        raise click.ClickException(str(error)) from None
    click.echo(
        f"{file}: good: {config.name} on {config.listen}, {len(config.class_names)} classes, "
        f"{config.settings.slots} concurrent calls, {config.sockets} descriptors, "
        f"{config.disk_bytes / 1e6:g} MB of disk"
    )
    if config.fleet is not None:
        fleet = config.fleet
        click.echo(
            f"{options}: member of a fleet at {fleet.advertise or fleet.listen}, {len(fleet.seeds)} seeds, a "
            f"probe every {fleet.settings.probe_interval / 1e9:g} s, {len(fleet.secrets())} secrets"
        )
        if fleet.leases is not None:
            leases = fleet.leases.settings
            click.echo(
                f"{options}: {leases.controllers} controllers, {leases.partitions} partitions, a lease of "
                f"{leases.lease / 1e9:g} s, renewed every {leases.renew_every / 1e9:g} s"
            )
