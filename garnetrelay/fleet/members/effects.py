"""What the decisions ask to be done."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.members.frames import Frame


@dataclass(frozen=True, slots=True)
class SendFrame:
    """A datagram."""

    address: SocketAddress
    frame: Frame
    version: int


@dataclass(frozen=True, slots=True)
class StartExchange:
    """A full exchange with whoever hears there."""

    address: SocketAddress


@dataclass(frozen=True, slots=True)
class StoreLife:
    """Put a life on record; then say that it is kept."""

    life: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str
    level: int = logging.INFO


Effect = SendFrame | StartExchange | StoreLife | LogLine
