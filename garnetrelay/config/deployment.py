"""RELAY_CONFIG as typed settings. Whatever is wrong with it is said in one line, before anything starts."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import resource
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from starlingwick import interface as io
from starlingwick.settings import parse_settings

if TYPE_CHECKING:
    from garnetrelay.config.fleet import Fleet

# Descriptors that are neither a client's nor a host's: standard streams, the loop's own, the journal old and
# new, discovery and notices, old and new as they move (16); clients that are told that there is no room (16);
# clients accepted ahead of a look at them, descriptors for three rounds of the loop, and what closes for them (16).
RESERVED_DESCRIPTORS = 48
FLEET_DESCRIPTORS = 16  # more where relays know each other: as ``config/fleet.py`` has them
FLEET_STATE_BYTES = 4096  # bytes of the folder for the life number, old and new
OPERATOR_DESCRIPTORS = 10  # more where staff may call: a listener, their calls, and some that wait to be told no


class ConfigError(ValueError):
    """A configuration that the relay cannot start with."""


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> Address:
        """Read ``host:port`` (IPv6 in brackets); ValueError with the reason where it is none."""
        host, colon, port = str(text).rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"'{text}' is not host:port")
        return cls(host.removeprefix("[").removesuffix("]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """All that a relay is told at its start."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    memory_bytes: int
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    load_reports: bool
    known_hosts: Any
    settings: io.Settings
    operators: Address | None = None  # where staff call; None: nowhere
    machine_durable: bool = False  # what is promised outlasts the machine's power, not only the process
    fleet: Fleet | None = None  # relays that know each other; None: each for itself

    @property
    def shared_sockets(self) -> int:
        """Descriptors for clients and hosts together."""
        return max(
            8,
            self.sockets
            - RESERVED_DESCRIPTORS
            - (OPERATOR_DESCRIPTORS if self.operators is not None else 0)
            - (FLEET_DESCRIPTORS if self.fleet is not None else 0),
        )

    @property
    def journal_bytes(self) -> int:
        """What of the folder the store may use."""
        return self.disk_bytes - (FLEET_STATE_BYTES if self.fleet is not None else 0)

    @property
    def client_sockets(self) -> int:
        """What of that hosts leave to clients in any case: a third of all may hold requests, and some come
        and go."""
        return min(self.shared_sockets // 2, self.sockets // 3 + 16)

    @property
    def host_sockets(self) -> int:
        """What of it clients leave to hosts in any case: each slot's call, and a few probes."""
        return min(self.shared_sockets - self.client_sockets, self.settings.slots + 8)


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment points to; ConfigError with one plain line if it is unusable."""
    try:
        path = environment["RELAY_CONFIG"]
        state = Path(environment["RELAY_STATE"])
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is not set") from None
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    try:
        config = _config(raw, environment, state)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not environment.get("RELAY_OPTIONS"):
        return config
    from garnetrelay.config.options import read  # where nothing is switched on, nothing of it is loaded

    try:
        options, fleet = read(Path(environment["RELAY_OPTIONS"]), config.name)
    except ValueError as error:
        raise ConfigError(str(error)) from None
    return _fitted(dataclasses.replace(config, machine_durable=options.store.durability == "machine", fleet=fleet))


def reload(environment: Mapping[str, str]) -> Config:
    """The configuration as its file has it now. Addresses that the environment told at the start are those of
    the start: the file was replaced since, so what it says holds."""
    return load({name: value for name, value in environment.items() if name != "RELAY_DISCOVERY"})


def _config(raw: Any, environment: Mapping[str, str], state: Path) -> Config:
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    limits, facts = raw.get("limits", {}), raw["settings"]
    settings = parse_settings(facts)
    # The protocol carries one message in a call, whatever the simulator's kinds allow.
    kinds = tuple(dataclasses.replace(kind, per_call=1) for kind in settings.kinds)
    operators = environment.get("RELAY_OPS") or raw.get("ops")
    config = Config(
        operators=Address.parse(operators) if operators else None,
        name=str(environment.get("RELAY_NAME") or raw["name"]),
        listen=Address.parse(environment.get("RELAY_LISTEN") or raw["listen"]),
        discovery=Address.parse(environment.get("RELAY_DISCOVERY") or raw["discovery"]),
        state=state,
        # Any text will do for a seed; a hash keeps it the same from run to run.
        seed=int.from_bytes(hashlib.sha256(str(raw.get("seed", "")).encode()).digest()[:8]),
        sockets=min(int(limits.get("sockets", 1024)), _kernel_limit()),
        disk_bytes=int(float(limits.get("disk_mb", 64)) * 1_000_000),
        memory_bytes=int(float(limits.get("memory_mb", 192)) * 1_000_000),
        class_names=tuple(str(c["name"]) for c in facts["classes"]),
        zone_names=tuple(str(zone) for zone in facts.get("azs", ())),
        kind_names=tuple(str(kind) for kind in facts.get("kinds", ())),
        load_reports=facts.get("loadReport", {}).get("via", "off") != "off",
        known_hosts=raw.get("known"),
        settings=dataclasses.replace(settings, kinds=kinds),
    )
    return _fitted(config)


def _kernel_limit() -> int:
    """Descriptors that the kernel lets this process have: a configuration that says more can't be held to it."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def _fitted(config: Config) -> Config:
    """A call out holds a connection: no more of them than there are descriptors."""
    slots = min(config.settings.slots, max(1, config.host_sockets - 8))
    return dataclasses.replace(config, settings=dataclasses.replace(config.settings, slots=slots))
