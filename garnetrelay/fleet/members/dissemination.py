"""Which words ride on the next frame, and how often each is told. No I/O.

A word is told so often by the logarithm of the members, those told least first; a newer word on a name takes the place of
the older. Bounded by the number of names.
"""

from __future__ import annotations

from garnetrelay.fleet.members.claims import Claim


class DisseminationQueue:
    """Words on their way, in rows by how often each has been told."""

    def __init__(self) -> None:
        self._by_transmissions: list[dict[str, Claim]] = []
        self._transmissions_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions_of)

    def add(self, claim: Claim) -> None:
        """Tell a word from the beginning."""
        self.remove(claim.name)
        self._put(claim, 0)

    def remove(self, name: str) -> None:
        """Tell nothing of a name any more."""
        transmissions = self._transmissions_of.pop(name, None)
        if transmissions is not None:
            del self._by_transmissions[transmissions][name]

    def take(self, free_bytes: int, max_transmissions: int, exclude: str = "") -> list[Claim]:
        """Words for one frame with so much room (bytes), none of them on ``but``; each is told ``limit`` times."""
        taken: list[tuple[Claim, int]] = []
        for transmissions, waiting in enumerate(self._by_transmissions):
            for claim in waiting.values():
                size = claim.size()
                if size > free_bytes:
                    break
                if claim.name != exclude:
                    taken.append((claim, transmissions))
                    free_bytes -= size
            if free_bytes < 64:
                break
        for claim, transmissions in taken:
            del self._by_transmissions[transmissions][claim.name]
            del self._transmissions_of[claim.name]
            if transmissions + 1 < max_transmissions:
                self._put(claim, transmissions + 1)
        return [claim for claim, _ in taken]

    def _put(self, claim: Claim, transmissions: int) -> None:
        while len(self._by_transmissions) <= transmissions:
            self._by_transmissions.append({})
        self._by_transmissions[transmissions][claim.name] = claim
        self._transmissions_of[claim.name] = transmissions
