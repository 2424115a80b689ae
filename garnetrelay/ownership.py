"""What the relay asks of leases. A relay without leases has None in its place and imports nothing of them."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Ownership(NamedTuple):
    """This relay is the one that may act for a destination."""

    epoch: int
    until: int  # nanoseconds by ``garnetrelay.fleet.clock``: from then on it must not act


class Owners(Protocol):
    """Which destinations this relay owns. Each answer holds for the moment of the question."""

    def ownership(self, destination: int) -> Ownership | None:
        """In which epoch and until when; None: another relay may be the owner."""
        ...

    def still_owned(self, destination: int, epoch: int) -> bool:
        """The last look before a first byte: whether an attempt that was put on record under an epoch still goes out
        under it. Where not, it is fenced: counted and logged."""
        ...
