"""RELAY_OPTIONS: a TOML file that switches on optional features. This module is loaded only if it is set."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Literal

import msgspec

if TYPE_CHECKING:
    from garnetrelay.config.fleet import Fleet


class Store(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The options of the journal."""

    durability: Literal["process", "machine"] = "process"  # records survive a kill, or also a power loss


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The content of the file."""

    store: Store = Store()
    fleet: dict[str, Any] | None = None  # checked by ``config/fleet.py``, which is loaded only if present


def read(path: Path, name: str) -> tuple[Options, Fleet | None]:
    """Reads the options of the relay ``name``; ValueError with a message of one line if they can't be used."""
    try:
        options = msgspec.convert(tomllib.loads(path.read_text()), Options)
        if options.fleet is None:
            return options, None
        from garnetrelay.config.fleet import FleetTable, check

        return options, check(_fleet(options.fleet, FleetTable), path.parent, name)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except ValueError as error:  # the libraries' errors are ValueErrors too
        raise ValueError(f"{path}: {error}") from None


def _fleet(raw: dict[str, Any], kind: type[Any]) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ValueError(f"fleet: {error}") from None
