"""The membership view that other parts of a relay may read: members, their zones, and how far it can be relied on. No
I/O.

Partitions and leases depend on this interface and on nothing else in `members/`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from garnetrelay.fleet.members.view_state import RELIANCE, Condition, Reliance


class FleetView(NamedTuple):
    """The members of one relay's view at one moment.

    ``zones`` has every live member by name (suspected ones too), including this relay unless it is not active under
    its name; the value is the zone, 0 if unknown. Relays with the same ``view`` (32 bits) have the same names in the
    same lives; zones are claimed by the members themselves and may arrive a little later.
    """

    zones: Mapping[str, int]
    condition: Condition
    view: int

    @property
    def relies(self) -> Reliance:
        """What the view may be used for in this condition."""
        return RELIANCE[self.condition]
