"""The `[fleet]` table of RELAY_OPTIONS: relays that know each other. Loaded only where the file has it."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from msgspec import Meta

from garnetrelay.config.addresses import place
from garnetrelay.fleet.members.claims import MAX_NAME_BYTES, UNKNOWN_ZONE, SocketAddress, Zone
from garnetrelay.fleet.members.settings import MS, SECOND, Settings
from garnetrelay.fleet.signing import MIN_SECRET_BYTES

if TYPE_CHECKING:
    from garnetrelay.config.leases import Leases

MOST_SEEDS = 16
MOST_SECRETS = 2  # during a change
DESCRIPTORS = 16  # a datagram socket, a listener, exchanges (12), the life on its way to the disk


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """As the file has it."""

    listen: str  # IP:port for datagrams and full exchanges
    secret_file: str  # a line with a secret, or two during a change: the first signs, both are good
    advertise: str = ""  # IP:port where the others reach this relay, if not where it listens
    seeds: Annotated[list[str], Meta(max_length=MOST_SEEDS)] = []  # whom to ask at the start
    probe_every_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1000
    probe_timeout_ms: Annotated[int, Meta(ge=5, le=30_000)] = 300
    suspicion: Annotated[float, Meta(ge=1, le=20)] = 4.0
    forget_s: Annotated[int, Meta(ge=1, le=86_400)] = 600
    most_members: Annotated[int, Meta(ge=2, le=1000)] = 1000
    frames: Literal[1, 2] = 2  # the highest version that is spoken: 1 while relays of before are in the fleet
    zone: Zone = UNKNOWN_ZONE  # where this relay stands, 1 to 255; 0: not said
    leases: dict[str, Any] | None = None  # typed by ``config/leases.py``, which is loaded only where it stands


class Fleet(msgspec.Struct, frozen=True):
    """The same, checked."""

    listen: SocketAddress  # port 0: any
    advertise: SocketAddress | None
    seeds: tuple[SocketAddress, ...]
    secret_file: Path
    settings: Settings
    zone: int = UNKNOWN_ZONE
    leases: Leases | None = None  # who owns which destinations; None: nobody

    def secrets(self) -> list[bytes]:
        """What the file has now; ValueError in one line."""
        return read_secrets(self.secret_file)


def read_secrets(path: Path) -> list[bytes]:
    """The secrets of a file, the one that signs first."""
    try:
        lines = [line.strip() for line in path.read_bytes().splitlines() if line.strip()]
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    if not 1 <= len(lines) <= MOST_SECRETS:
        raise ValueError(f"{path}: {len(lines)} lines; a secret stands in one, a second one is good during a change")
    for number, line in enumerate(lines, 1):
        if len(line) < MIN_SECRET_BYTES:
            raise ValueError(f"{path}:{number}: a secret has {MIN_SECRET_BYTES} bytes at least")
    if len(set(lines)) < len(lines):
        raise ValueError(f"{path}: the two secrets are the same")
    return lines


def check(table: FleetTable, folder: Path, name: str) -> Fleet:
    """The table as it is used; ValueError in one line. ``folder``: where relative paths begin."""
    if not 1 <= len(name) <= MAX_NAME_BYTES or not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError(f"fleet: the relay's name '{name[:80]}' is not 1 to {MAX_NAME_BYTES} printable characters")
    if table.probe_timeout_ms * 2 > table.probe_every_ms:
        raise ValueError("fleet.probe_timeout_ms: half of probe_every_ms at most")
    listen = place(table.listen, "fleet.listen", listens=True)
    seeds = tuple(place(seed, "fleet.seeds") for seed in table.seeds)
    if len(set(seeds)) < len(seeds):
        raise ValueError("fleet.seeds: one stands twice")
    secret_file = folder / table.secret_file
    read_secrets(secret_file)
    return Fleet(
        listen,
        place(table.advertise, "fleet.advertise") if table.advertise else None,
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
    from garnetrelay.config.leases import check  # only where it stands

    return check(raw)
