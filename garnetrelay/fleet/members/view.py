"""What other parts of a relay may ask of its membership: who is there, in which zone, what that is worth. No I/O.

The one narrow read: partitions and leases stand on it, and on nothing else of `members/`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from garnetrelay.fleet.members.view_state import RELIES, Condition, Reliance


class FleetView(NamedTuple):
    """The members of one relay's view at one moment.

    ``zones`` has every live member by name (those under suspicion too), this relay among them unless its name is in
    doubt; the value is its zone, 0 where that is not known. Relays of one ``view`` (32 bits) hold the same names in the
    same lives; zones are words of the members themselves and may come a little later.
    """

    zones: Mapping[str, int]
    condition: Condition
    view: int

    @property
    def relies(self) -> Reliance:
        """What may be relied on in this condition."""
        return RELIES[self.condition]
