"""The interface between the relay and its leases. Without leases the relay has None in its place and imports none of
their modules."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Ownership(NamedTuple):
    """The right of this relay to act for a destination."""

    epoch: int
    until: int  # nanoseconds by ``garnetrelay.fleet.clock``: from then on the relay must not act for it


class Owners(Protocol):
    """Which destinations this relay owns. Each answer holds only at the moment of the call."""

    def ownership(self, destination: int) -> Ownership | None:
        """The epoch and the end of the ownership; None: another relay may be the owner."""
        ...

    def still_owned(self, destination: int, epoch: int) -> bool:
        """Whether the relay still owns the destination in the epoch that an attempt was recorded with, checked just
        before the attempt's first byte. If not, the attempt is fenced: counted and logged."""
        ...
