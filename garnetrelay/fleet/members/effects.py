"""Effects that the membership protocol asks its driver to execute."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.members.frames import Frame


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send a datagram."""

    address: SocketAddress
    frame: Frame
    version: int


@dataclass(frozen=True, slots=True)
class StartExchange:
    """Run a full exchange with the member at that address."""

    address: SocketAddress


@dataclass(frozen=True, slots=True)
class StoreLife:
    """Store a life, then report that it is stored."""

    life: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line."""

    text: str
    level: int = logging.INFO


Effect = SendFrame | StartExchange | StoreLife | LogLine
