"""A controller's options file (TOML). Any error in it is reported in one line, before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from garnetrelay.config.addresses import parse_ip_port
from garnetrelay.config.deployment import Address
from garnetrelay.config.fleet import read_secrets
from garnetrelay.config.leases import TermsTable, check_controllers, settings
from garnetrelay.fleet.leases.settings import Settings
from garnetrelay.fleet.members.claims import SocketAddress


class ControllerTable(TermsTable, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The file's content."""

    number: Annotated[int, Meta(ge=0)]  # its index in `controllers`, from 0
    listen: str  # IP:port for datagrams
    folder: str  # for its records
    secret_file: str  # the fleet's secrets
    operators: str = ""  # host:port of the operators' listener; empty: no listener


class Controller(msgspec.Struct, frozen=True):
    """The checked options of a controller."""

    number: int
    listen: SocketAddress
    addresses: tuple[SocketAddress, ...]
    folder: Path
    secret_file: Path
    operators: Address | None
    settings: Settings

    def secrets(self) -> list[bytes]:
        """Reads the secrets from their file; ValueError with a message of one line."""
        return read_secrets(self.secret_file)


def read(path: Path) -> Controller:
    """Reads an options file; ValueError with a message of one line if a controller can't start with it."""
    try:
        return _check(msgspec.convert(tomllib.loads(path.read_text()), ControllerTable), path.parent)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except ValueError as error:  # the libraries' errors are ValueErrors too
        raise ValueError(f"{path}: {error}") from None


def _check(table: ControllerTable, folder: Path) -> Controller:
    addresses = check_controllers(table)
    if table.number >= len(addresses):
        raise ValueError(f"number: {table.number} of {len(addresses)} controllers: they are counted from 0")
    listen = parse_ip_port(table.listen, "listen", listens=True)
    if not listen.port:
        raise ValueError("listen: port 0: the others could not find it")
    result = Controller(
        number=table.number,
        listen=listen,
        addresses=addresses,
        folder=folder / table.folder,
        secret_file=folder / table.secret_file,
        operators=_operators(table.operators),
        settings=settings(table),
    )
    result.secrets()
    return result


def _operators(text: str) -> Address | None:
    try:
        return Address.parse(text) if text else None
    except ValueError as error:
        raise ValueError(f"operators: {error}") from None
