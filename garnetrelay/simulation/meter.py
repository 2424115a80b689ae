"""Traffic of the members of a simulated fleet, by kind and by second. No I/O.

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
    """What the bytes of a frame are for."""

    PROBES = "probes and acks"  # headers, senders and numbers of Ping and Ack
    INDIRECT_PROBES = "indirect probes"  # AskFor, Vouch, Nack
    CLAIMS = "claims"  # current claims, passed on as they are received
    OBSERVATIONS = "observation ages"  # ages of the observations on other members
    EXCHANGES = "full exchanges"


class Span(NamedTuple):
    """Traffic between two times, in bytes per member and second."""

    mean: float
    by_kind: dict[Kind, float]
    peak: float  # in the second in which all members together sent the most
    peak_member: int  # maximum bytes of one member in one second
    frames: float  # datagrams per member and second


class Meter:
    """Counts traffic from its creation on, by whole seconds of the simulation's clock."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._by_kind: defaultdict[int, Counter[Kind]] = defaultdict(Counter)
        self._by_node: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._frames: Counter[int] = Counter()
        simulation.sent = self._count

    def span(self, begin: int, end: int) -> Span:
        """Traffic in the whole seconds between two times of the simulation's clock."""
        seconds = range(-(-begin // SECOND), end // SECOND)
        members = len(self._simulation.nodes)
        total: Counter[Kind] = Counter()
        for second in seconds:
            total += self._by_kind[second]
        member_seconds = members * max(1, len(seconds))
        return Span(
            total.total() / member_seconds,
            {kind: total[kind] / member_seconds for kind in Kind},
            max((self._by_kind[second].total() for second in seconds), default=0) / members,
            max((max(self._by_node[second].values(), default=0) for second in seconds), default=0),
            sum(self._frames[second] for second in seconds) / member_seconds,
        )

    def _count(self, node: Node, frame: fr.Frame, size: int) -> None:
        second = self._simulation.now // SECOND
        self._by_node[second][node.name] += size
        kinds = self._by_kind[second]
        if isinstance(frame, fr.EXCHANGE):
            kinds[Kind.EXCHANGES] += size
            return
        self._frames[second] += 1
        claims = len(_encoder.encode(frame.claims)) - 1 if frame.claims else 0
        kinds[Kind.CLAIMS] += claims
        kinds[Kind.OBSERVATIONS] += len(frame.observations)
        kinds[Kind.PROBES if isinstance(frame, fr.Ping | fr.Ack) else Kind.INDIRECT_PROBES] += (
            size - claims - len(frame.observations)
        )
