"""Model of the links between relays: loss, delay and damage for each direction of each pair. No I/O; seeded.

The same model serves the simulated clock (`fleet_simulation.py`) and real processes (`rehearsal/links/`).
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
    """Conditions of one direction of a pair."""

    loss: Share = 0.0
    burst: Annotated[float, Meta(ge=1, le=1000)] = 1.0  # mean length of a run of losses (Gilbert model, two states)
    delay_ms: Milliseconds = 0.0  # minimum
    jitter_ms: Milliseconds = 0.0  # uniform, added to the delay: datagrams may arrive out of order
    doubles: Share = 0.0  # datagrams that arrive twice
    damage: Share = 0.0  # datagrams with one byte changed
    cut: bool = False


class Links:
    """Conditions of all pairs. A rule selects senders and receivers; the latest matching rule applies."""

    def __init__(self, base: LinkConditions, seed: object) -> None:
        self.base = base
        self._rules: dict[str, tuple[Callable[[str, str], bool], LinkConditions]] = {}
        self._in_loss_run: set[tuple[str, str]] = set()  # pairs in the state in which every datagram is lost
        self._draw = random.Random(f"{seed}/links")

    def set_rule(self, label: str, matches: Callable[[str, str], bool], conditions: LinkConditions) -> None:
        """Add a rule as the latest; it replaces an earlier one with the same label."""
        self._rules.pop(label, None)
        self._rules[label] = (matches, conditions)

    def remove_rule(self, label: str) -> None:
        """Remove a rule, if there is one with that label."""
        self._rules.pop(label, None)

    def conditions(self, sender: str, receiver: str) -> LinkConditions:
        """The current conditions of a direction."""
        for matches, conditions in reversed(self._rules.values()):
            if matches(sender, receiver):
                return conditions
        return self.base

    def transmit(self, sender: str, receiver: str, data: bytes) -> list[tuple[float, bytes]]:
        """The delay in seconds and the bytes of each copy of a datagram that arrives."""
        conditions, draw = self.conditions(sender, receiver), self._draw
        if conditions.cut or conditions.loss and self._lost(sender, receiver, conditions):
            return []
        copies = 2 if conditions.doubles and draw.random() < conditions.doubles else 1
        arrived = []
        for _ in range(copies):
            if conditions.damage and draw.random() < conditions.damage:
                position = draw.randrange(len(data))
                data = data[:position] + bytes([data[position] ^ draw.randint(1, 255)]) + data[position + 1 :]
            arrived.append(((conditions.delay_ms + conditions.jitter_ms * draw.random()) / 1000, data))
        return arrived

    def connects(self, first: str, second: str) -> bool:
        """Whether a connection between the two works: neither direction may be cut."""
        return not self.conditions(first, second).cut and not self.conditions(second, first).cut

    def _lost(self, sender: str, receiver: str, conditions: LinkConditions) -> bool:
        if conditions.burst <= 1:
            return self._draw.random() < conditions.loss
        pair = sender, receiver
        leave_probability = 1 / conditions.burst  # probability of leaving the state in which every datagram is lost
        enter_probability = min(1.0, leave_probability * conditions.loss / max(1e-9, 1 - conditions.loss))
        if self._draw.random() < (leave_probability if pair in self._in_loss_run else enter_probability):
            self._in_loss_run ^= {pair}
        return pair in self._in_loss_run


def between(ones: Iterable[str], others: Iterable[str], one_way: bool = False) -> Callable[[str, str], bool]:
    """A predicate for pairs between two groups: from ``ones`` to ``others``, and back unless ``one_way``."""
    first, second = frozenset(ones), frozenset(others)
    if one_way:
        return lambda sender, receiver: sender in first and receiver in second
    return lambda sender, receiver: (sender in first and receiver in second or sender in second and receiver in first)
