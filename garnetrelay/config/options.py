"""RELAY_OPTIONS: what other installations switch on, a TOML file. Where it is not set, nothing of this is loaded."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Literal

import msgspec

if TYPE_CHECKING:
    from garnetrelay.config.fleet import Fleet


class Store(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The journal."""

    durability: Literal["process", "machine"] = "process"  # what a promise outlasts: a kill, or the machine's power


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All options."""

    store: Store = Store()
    fleet: dict[str, Any] | None = None  # typed by ``config/fleet.py``, which is loaded only where it stands


def read(path: Path, name: str) -> tuple[Options, Fleet | None]:
    """The options of a file for the relay of a name; ValueError in one plain line where it can't be used."""
    try:
        options = msgspec.convert(tomllib.loads(path.read_text()), Options)
        if options.fleet is None:
            return options, None
        from garnetrelay.config.fleet import FleetTable, check

        return options, check(_fleet(options.fleet, FleetTable), path.parent, name)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except ValueError as error:  # what the libraries raise is one too
        raise ValueError(f"{path}: {error}") from None


def _fleet(raw: dict[str, Any], kind: type[Any]) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ValueError(f"fleet: {error}") from None
