"""What becomes of a datagram between two relays: a fate for each direction of each pair. No I/O; seeded.

The same model serves the driven clock (`fleet_simulation.py`) and real processes (`rehearsal/links/`).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=60_000)]


class LinkConditions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Of one direction of a pair."""

    loss: Share = 0.0
    burst: Annotated[float, Meta(ge=1, le=1000)] = 1.0  # mean length of a run of losses (Gilbert's two states)
    delay_ms: Milliseconds = 0.0  # least
    jitter_ms: Milliseconds = 0.0  # drawn evenly on top: what comes later may overtake
    doubles: Share = 0.0
    damage: Share = 0.0  # a byte is changed
    cut: bool = False


class Links:
    """All pairs. A rule names senders and receivers; of those that fit the latest holds."""

    def __init__(self, base: LinkConditions, seed: object) -> None:
        self.base = base
        self._rules: dict[str, tuple[Callable[[str, str], bool], LinkConditions]] = {}
        self._bad: set[tuple[str, str]] = set()  # pairs in a run of losses
        self._draw = random.Random(f"{seed}/links")

    def set_rule(self, label: str, fits: Callable[[str, str], bool], fate: LinkConditions) -> None:
        """Put a rule in force, the latest of all; an earlier one of that label goes."""
        self._rules.pop(label, None)
        self._rules[label] = (fits, fate)

    def remove_rule(self, label: str) -> None:
        """Take a rule away."""
        self._rules.pop(label, None)

    def fate(self, sender: str, receiver: str) -> LinkConditions:
        """What holds for a direction now."""
        for fits, fate in reversed(self._rules.values()):
            if fits(sender, receiver):
                return fate
        return self.base

    def transmit(self, sender: str, receiver: str, data: bytes) -> list[tuple[float, bytes]]:
        """What arrives of a datagram: delays (seconds) and bytes, of each copy."""
        fate, draw = self.fate(sender, receiver), self._draw
        if fate.cut or fate.loss and self._lost(sender, receiver, fate):
            return []
        copies = 2 if fate.doubles and draw.random() < fate.doubles else 1
        arrived = []
        for _ in range(copies):
            if fate.damage and draw.random() < fate.damage:
                place = draw.randrange(len(data))
                data = data[:place] + bytes([data[place] ^ draw.randint(1, 255)]) + data[place + 1 :]
            arrived.append(((fate.delay_ms + fate.jitter_ms * draw.random()) / 1000, data))
        return arrived

    def connects(self, first: str, second: str) -> bool:
        """Whether a connection between the two carries anything: both directions have to."""
        return not self.fate(first, second).cut and not self.fate(second, first).cut

    def _lost(self, sender: str, receiver: str, fate: LinkConditions) -> bool:
        if fate.burst <= 1:
            return self._draw.random() < fate.loss
        pair = sender, receiver
        leaves = 1 / fate.burst  # of the bad state, in which all is lost
        enters = min(1.0, leaves * fate.loss / max(1e-9, 1 - fate.loss))
        if self._draw.random() < (leaves if pair in self._bad else enters):
            self._bad ^= {pair}
        return pair in self._bad


def between(ones: Iterable[str], others: Iterable[str], one_way: bool = False) -> Callable[[str, str], bool]:
    """A rule's pairs: from the ones to the others, and back unless it is one way."""
    first, second = frozenset(ones), frozenset(others)
    if one_way:
        return lambda sender, receiver: sender in first and receiver in second
    return lambda sender, receiver: (sender in first and receiver in second or sender in second and receiver in first)
