"""The size that is coming and the budgets for it, as the operators told them, and what follows by division."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

DAY = 86_400.0  # seconds


class Mark(Enum):
    """Where a figure comes from."""

    TOLD = "told"  # by the operators
    MEASURED = "measured"  # at the size itself, in this run
    COMPUTED = "computed"  # from a slope of this run, from told figures or from the protocol
    ASSUMED = "assumed"  # nobody told or measured it


class Unit(Enum):
    """What a figure counts; the value of a member is said behind a plain number."""

    BYTES = "B"
    BYTES_A_SECOND = "B/s"
    SECONDS = "s"
    CORES = "cores"  # processor seconds a second
    COUNT = ""


class Budget(NamedTuple):
    """The most that a figure may be, and who says so."""

    name: str
    most: float  # in the unit of the figure that it bounds
    mark: Mark


class Size(msgspec.Struct, frozen=True):
    """The operators' figures, within two years."""

    relays: int = 620
    regions: int = 2
    zones: int = 6
    events: float = 340_000.0  # a second, of all relays
    destinations: int = 260_000
    hosts: int = 2  # of a destination: assumed, as in every benchmark here
    down: float = 0.029  # part of the destinations, at any time
    backlog: float = 5e9  # events, of all relays
    changes: int = 1_700  # of configuration, a day
    controllers: int = 9  # machines for control
    restarts: int = 39  # relays restarted or replaced on an ordinary day

    @property
    def relay_events(self) -> float:
        """A relay's part of the events, a second."""
        return self.events / self.relays

    @property
    def relay_backlog(self) -> float:
        """A relay's part of the backlog, events."""
        return self.backlog / self.relays

    @property
    def owned(self) -> int:
        """Destinations of one relay where each destination has one owner, spread evenly."""
        return -(-self.destinations // self.relays)

    @property
    def destination_events(self) -> float:
        """Events of one destination, a second."""
        return self.events / self.destinations

    @property
    def meets_every(self) -> float:
        """Seconds between two events of one destination at one relay where all relays take all of them."""
        return self.destinations / self.relay_events

    @property
    def zone_relays(self) -> int:
        """Relays that go with a zone."""
        return self.relays // self.zones

    @property
    def down_destinations(self) -> int:
        """Destinations that are down at any time."""
        return round(self.destinations * self.down)


SIZE = Size()

CONTROL_MEMORY = Budget("control memory", 256e6, Mark.TOLD)
CONTROL_CORES = Budget("control processor", 0.017, Mark.TOLD)
CONTROL_NETWORK = Budget("control network", 3_000.0, Mark.TOLD)
MEMBERSHIP_NETWORK = Budget("membership network", 1_200.0, Mark.TOLD)
READY = Budget("ready after a start", 10.0, Mark.TOLD)
IN_FORCE = Budget("change in force", 6.0, Mark.TOLD)
TURN = Budget("lag at which newcomers are refused", 0.2, Mark.COMPUTED)  # starlingwick/control.py, MAX_LOOP_LAG_NS
RELAY_MEMORY = Budget("limits.memory_mb by default", 192e6, Mark.ASSUMED)
RELAY_DISK = Budget("limits.disk_mb by default", 64e6, Mark.ASSUMED)
RELAY_CORES = Budget("one core, as one process has", 1.0, Mark.ASSUMED)
