"""The `[fleet]` table of RELAY_OPTIONS: relays that are members of a fleet. Loaded only if the file has the table."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from msgspec import Meta

from garnetrelay.config.addresses import parse_ip_port
from garnetrelay.fleet.members.claims import MAX_NAME_BYTES, UNKNOWN_ZONE, SocketAddress, Zone
from garnetrelay.fleet.members.settings import MS, SECOND, Settings
from garnetrelay.fleet.signing import MIN_SECRET_BYTES

if TYPE_CHECKING:
    from garnetrelay.config.leases import Leases

MAX_SEEDS = 16
MAX_SECRETS = 2  # the second one while secrets are changed
DESCRIPTORS = 16  # a datagram socket, a listener, exchanges (12), the file of the life number while it is written


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table's content."""

    listen: str  # IP:port for datagrams and full exchanges
    secret_file: str  # one secret in a line, or two during a change: the first one signs, both are accepted
    advertise: str = ""  # IP:port where other members reach this relay, if not at ``listen``
    seeds: Annotated[list[str], Meta(max_length=MAX_SEEDS)] = []  # members to contact at the start
    probe_every_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1000
    probe_timeout_ms: Annotated[int, Meta(ge=5, le=30_000)] = 300
    suspicion: Annotated[float, Meta(ge=1, le=20)] = 4.0
    forget_s: Annotated[int, Meta(ge=1, le=86_400)] = 600
    most_members: Annotated[int, Meta(ge=2, le=1000)] = 1000
    frames: Literal[1, 2] = 2  # highest frame version sent: 1 while the fleet has relays of earlier versions
    zone: Zone = UNKNOWN_ZONE  # this relay's zone, 1 to 255; 0: unknown
    leases: dict[str, Any] | None = None  # checked by ``config/leases.py``, which is loaded only if present


class Fleet(msgspec.Struct, frozen=True):
    """The checked options of a relay in a fleet."""

    listen: SocketAddress  # port 0: any free port
    advertise: SocketAddress | None
    seeds: tuple[SocketAddress, ...]
    secret_file: Path
    settings: Settings
    zone: int = UNKNOWN_ZONE
    leases: Leases | None = None  # ownership of destinations; None: switched off

    def secrets(self) -> list[bytes]:
        """Reads the secrets from their file; ValueError with a message of one line."""
        return read_secrets(self.secret_file)


def read_secrets(path: Path) -> list[bytes]:
    """Reads the secrets of a file, the signing one first; ValueError with a message of one line."""
    try:
        lines = [line.strip() for line in path.read_bytes().splitlines() if line.strip()]
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    if not 1 <= len(lines) <= MAX_SECRETS:
        raise ValueError(f"{path}: {len(lines)} lines; expected one secret, or two during a change, one in a line")
    for number, line in enumerate(lines, 1):
        if len(line) < MIN_SECRET_BYTES:
            raise ValueError(f"{path}:{number}: a secret has {MIN_SECRET_BYTES} bytes at least")
    if len(set(lines)) < len(lines):
        raise ValueError(f"{path}: the two secrets are the same")
    return lines


def check(table: FleetTable, folder: Path, name: str) -> Fleet:
    """Checks the table; ValueError with a message of one line. ``folder``: the base of relative paths."""
    if not 1 <= len(name) <= MAX_NAME_BYTES or not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError(f"fleet: the relay's name '{name[:80]}' is not 1 to {MAX_NAME_BYTES} printable characters")
    if table.probe_timeout_ms * 2 > table.probe_every_ms:
        raise ValueError("fleet.probe_timeout_ms: half of probe_every_ms at most")
    listen = parse_ip_port(table.listen, "fleet.listen", listens=True)
    seeds = tuple(parse_ip_port(seed, "fleet.seeds") for seed in table.seeds)
    if len(set(seeds)) < len(seeds):
        raise ValueError("fleet.seeds: one stands twice")
    secret_file = folder / table.secret_file
    read_secrets(secret_file)
    return Fleet(
        listen,
        parse_ip_port(table.advertise, "fleet.advertise") if table.advertise else None,
        seeds,
        secret_file,
        Settings(
            probe_interval=table.probe_every_ms * MS,
            probe_timeout=table.probe_timeout_ms * MS,
            suspicion_multiplier=table.suspicion,
            forget_after=table.forget_s * SECOND,
            max_members=table.most_members,
            exchange_interval=30 * table.probe_every_ms * MS,
            versions=table.frames,
        ),
        table.zone,
        None if table.leases is None else _leases(table.leases),
    )


def _leases(raw: dict[str, Any]) -> Leases:
    from garnetrelay.config.leases import check  # loaded only if the table is present

    return check(raw)
