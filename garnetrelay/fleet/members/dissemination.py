"""The queue of claims that are piggybacked on frames, and how often each has been sent. No I/O.

A claim is sent a number of times that grows with the logarithm of the members, the least sent first. A newer claim
about a name replaces the older one, so the queue is bounded by the number of names.
"""

from __future__ import annotations

from garnetrelay.fleet.members.claims import Claim


class DisseminationQueue:
    """Claims to spread, grouped by how often each has been sent."""

    def __init__(self) -> None:
        self._by_transmissions: list[dict[str, Claim]] = []
        self._transmissions_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions_of)

    def add(self, claim: Claim) -> None:
        """Queues a claim as not yet sent, replacing an older claim about the same name."""
        self.remove(claim.name)
        self._put(claim, 0)

    def remove(self, name: str) -> None:
        """Removes the claim about a name."""
        transmissions = self._transmissions_of.pop(name, None)
        if transmissions is not None:
            del self._by_transmissions[transmissions][name]

    def take(self, free_bytes: int, max_transmissions: int, exclude: str = "") -> list[Claim]:
        """Returns claims for one frame, at most ``free_bytes`` in total and none about ``exclude``; each claim is sent
        at most ``max_transmissions`` times."""
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
