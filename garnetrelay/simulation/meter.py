"""What the members of a driven fleet send, by kind and by second. No I/O.

Counts the bytes of the relay's own frames, over datagrams and connections, as `FleetSimulation` encodes them. The headers
of IP, UDP and TCP are not included (28 bytes a datagram over IPv4).
"""

from __future__ import annotations

from collections import Counter, defaultdict
from enum import Enum
from typing import NamedTuple

import msgspec

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.settings import SECOND
from garnetrelay.simulation.fleet_simulation import FleetSimulation, Node

_encoder = msgspec.msgpack.Encoder()


class Kind(Enum):
    """What bytes are sent for."""

    PROBES = "questions and answers"  # heads, senders and numbers of Ping and Ack
    ASKING = "asking for others"  # AskFor, Vouch, Nack
    CLAIMS = "claims on them"  # words that hold, told on as they are heard
    WORDS = "ages on them"  # how old the words of others are
    EXCHANGES = "full exchanges"


class Span(NamedTuple):
    """What was sent between two moments, in bytes a member a second."""

    mean: float
    by_kind: dict[Kind, float]
    peak: float  # of the second in which all members together sent the most
    peak_member: int  # the most that one member sent in one second
    frames: float  # datagrams


class Meter:
    """Counts from the moment when it is made. Whole seconds of the world's clock."""

    def __init__(self, world: FleetSimulation) -> None:
        self._world = world
        self._by_kind: defaultdict[int, Counter[Kind]] = defaultdict(Counter)
        self._by_node: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._frames: Counter[int] = Counter()
        world.sent = self._sent

    def span(self, begin: int, end: int) -> Span:
        """Between two moments of the world, counted in the whole seconds that lie in between."""
        seconds = range(-(-begin // SECOND), end // SECOND)
        members = len(self._world.nodes)
        total: Counter[Kind] = Counter()
        for second in seconds:
            total += self._by_kind[second]
        share = members * max(1, len(seconds))
        return Span(
            total.total() / share,
            {kind: total[kind] / share for kind in Kind},
            max((self._by_kind[second].total() for second in seconds), default=0) / members,
            max((max(self._by_node[second].values(), default=0) for second in seconds), default=0),
            sum(self._frames[second] for second in seconds) / share,
        )

    def _sent(self, node: Node, frame: fr.Frame, size: int) -> None:
        second = self._world.now // SECOND
        self._by_node[second][node.name] += size
        kinds = self._by_kind[second]
        if isinstance(frame, fr.EXCHANGE):
            kinds[Kind.EXCHANGES] += size
            return
        self._frames[second] += 1
        claims = len(_encoder.encode(frame.claims)) - 1 if frame.claims else 0
        kinds[Kind.CLAIMS] += claims
        kinds[Kind.WORDS] += len(frame.observations)
        kinds[Kind.PROBES if isinstance(frame, fr.Ping | fr.Ack) else Kind.ASKING] += (
            size - claims - len(frame.observations)
        )
