"""RELAY_CONFIG as typed settings. Any error in it is reported in one line, before anything starts."""

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

# Descriptors used for neither clients nor hosts: standard streams, the event loop, the active segment and the next one,
# discovery and notices, twice while their address changes (16); clients that are refused for lack of descriptors (16);
# clients accepted and not yet counted, for three iterations of the loop, and connections closed in their favor (16).
RESERVED_DESCRIPTORS = 48
FLEET_DESCRIPTORS = 16  # in addition in a fleet; the same as DESCRIPTORS of ``config/fleet.py``, which is not loaded here
FLEET_STATE_BYTES = 4096  # of the state folder, for the old and the new file of the life number
REQUEST_MEMORY_SHARE = 8  # an eighth of the memory limit is for requests that are incomplete or not answered
ENDED_REF_MEMORY_SHARE = 16  # that part of the memory limit is for the refs of messages that have ended
MIN_REQUEST_BYTES = 1 << 20  # some requests with the longest body, whatever the memory limit is
OPERATOR_DESCRIPTORS = 10  # in addition with operators' commands: a listener, connections, and some to be refused


class ConfigError(ValueError):
    """A configuration that the relay cannot start with."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> Address:
        """Parses ``host:port`` (IPv6 in brackets); ValueError with the reason if the text is invalid."""
        host, colon, port = str(text).rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"'{text}' is not host:port")
        return cls(host.removeprefix("[").removesuffix("]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a relay."""

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
    operators: Address | None = None  # of the operators' listener; None: no listener
    machine_durable: bool = False  # records survive a power loss, not only the end of the process
    fleet: Fleet | None = None  # None: this relay is not a member of a fleet

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
    def request_bytes(self) -> int:
        """The memory for clients' requests that are incomplete or not answered, over all connections."""
        return max(MIN_REQUEST_BYTES, self.memory_bytes // REQUEST_MEMORY_SHARE)

    @property
    def ended_ref_bytes(self) -> int:
        """The memory for the refs of messages that have ended."""
        return self.memory_bytes // ENDED_REF_MEMORY_SHARE

    @property
    def journal_bytes(self) -> int:
        """The share of the state folder that the store may use."""
        return self.disk_bytes - (FLEET_STATE_BYTES if self.fleet is not None else 0)

    @property
    def client_sockets(self) -> int:
        """The descriptors guaranteed to clients: a third of all for pending requests, and some for new connections."""
        return min(self.shared_sockets // 2, self.sockets // 3 + 16)

    @property
    def host_sockets(self) -> int:
        """The descriptors guaranteed to hosts: one call for each slot, and a few probes."""
        return min(self.shared_sockets - self.client_sockets, self.settings.slots + 8)


def load(environment: Mapping[str, str]) -> Config:
    """Loads the configuration named by the environment; ConfigError with a message of one line if it is unusable."""
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
    from garnetrelay.config.options import read  # loaded only if it is needed

    try:
        options, fleet = read(Path(environment["RELAY_OPTIONS"]), config.name)
    except ValueError as error:
        raise ConfigError(str(error)) from None
    return _limit_slots(dataclasses.replace(config, machine_durable=options.store.durability == "machine", fleet=fleet))


def reload(environment: Mapping[str, str]) -> Config:
    """Loads the configuration again.

    RELAY_DISCOVERY is ignored: the file was replaced after the start, so its address of discovery is newer.
    """
    return load({name: value for name, value in environment.items() if name != "RELAY_DISCOVERY"})


def _config(raw: Any, environment: Mapping[str, str], state: Path) -> Config:
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    limits, raw_settings = raw.get("limits", {}), raw["settings"]
    settings = parse_settings(raw_settings)
    # The protocol carries one message per call, whatever ``per_call`` the simulator's kinds have.
    kinds = tuple(dataclasses.replace(kind, per_call=1) for kind in settings.kinds)
    operators = environment.get("RELAY_OPS") or raw.get("ops")
    config = Config(
        operators=Address.parse(operators) if operators else None,
        name=str(environment.get("RELAY_NAME") or raw["name"]),
        listen=Address.parse(environment.get("RELAY_LISTEN") or raw["listen"]),
        discovery=Address.parse(environment.get("RELAY_DISCOVERY") or raw["discovery"]),
        state=state,
        # A seed may be any text; unlike Python's ``hash``, SHA-256 gives the same number in each process.
        seed=int.from_bytes(hashlib.sha256(str(raw.get("seed", "")).encode()).digest()[:8]),
        sockets=min(int(limits.get("sockets", 1024)), _kernel_limit()),
        disk_bytes=int(float(limits.get("disk_mb", 64)) * 1_000_000),
        memory_bytes=int(float(limits.get("memory_mb", 192)) * 1_000_000),
        class_names=tuple(str(c["name"]) for c in raw_settings["classes"]),
        zone_names=tuple(str(zone) for zone in raw_settings.get("azs", ())),
        kind_names=tuple(str(kind) for kind in raw_settings.get("kinds", ())),
        load_reports=raw_settings.get("loadReport", {}).get("via", "off") != "off",
        known_hosts=raw.get("known"),
        settings=dataclasses.replace(settings, kinds=kinds),
    )
    return _limit_slots(config)


def _kernel_limit() -> int:
    """The kernel's limit of descriptors for this process; a higher limit in the configuration has no effect."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def _limit_slots(config: Config) -> Config:
    """Limits the slots to the descriptors for hosts: each call uses a connection."""
    slots = min(config.settings.slots, max(1, config.host_sockets - 8))
    return dataclasses.replace(config, settings=dataclasses.replace(config.settings, slots=slots))
