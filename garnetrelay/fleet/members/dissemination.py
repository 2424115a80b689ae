"""Which words ride on the next frame, and how often each is told. No I/O.

A word is told so often by the logarithm of the members, those told least first; a newer word on a name takes the place of
the older. Bounded by the number of names.
"""

from __future__ import annotations

from garnetrelay.fleet.members.claims import Claim


class DisseminationQueue:
    """Words on their way, in rows by how often each has been told."""

    def __init__(self) -> None:
        self._rows: list[dict[str, Claim]] = []
        self._row_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._row_of)

    def tell(self, claim: Claim) -> None:
        """Tell a word from the beginning."""
        self.drop(claim.name)
        self._put(claim, 0)

    def drop(self, name: str) -> None:
        """Tell nothing of a name any more."""
        row = self._row_of.pop(name, None)
        if row is not None:
            del self._rows[row][name]

    def take(self, room: int, limit: int, but: str = "") -> list[Claim]:
        """Words for one frame with so much room (bytes), none of them on ``but``; each is told ``limit`` times."""
        taken: list[tuple[Claim, int]] = []
        for row, waiting in enumerate(self._rows):
            for claim in waiting.values():
                size = claim.size()
                if size > room:
                    break
                if claim.name != but:
                    taken.append((claim, row))
                    room -= size
            if room < 64:
                break
        for claim, row in taken:
            del self._rows[row][claim.name]
            del self._row_of[claim.name]
            if row + 1 < limit:
                self._put(claim, row + 1)
        return [claim for claim, _ in taken]

    def _put(self, claim: Claim, row: int) -> None:
        while len(self._rows) <= row:
            self._rows.append({})
        self._rows[row][claim.name] = claim
        self._row_of[claim.name] = row
