"""A message that this relay has accepted and that has not ended, and a request that may become one. No I/O.

The relay (``relay.py``) keeps one record for each such message; a handover (``handover/``) reads them.
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetrelay.delivery.http.connection import Exchange
from garnetrelay.fronts.resp.connection import Reply
from garnetrelay.fronts.resp.requests import Request


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message from its acceptance until it has ended and its last attempt has an outcome."""

    ref: str
    klass: str
    key: str | None
    body: bytes
    ends_at: int  # deadline by the monotonic clock, nanoseconds: a later answer does not count
    attempts: int = 0
    exchange: Exchange | None = None
    ended: bool = False
    sent_at: int = 0  # start of the last attempt by the monotonic clock, nanoseconds
    zone: int = -1  # zone of the last attempt's host


@dataclass(slots=True)
class NewRequest:
    """A request whose client waits to be told whether its message is accepted."""

    request: Request
    reply: Reply
    deadline: int  # wall clock, milliseconds
    ends_at: int  # the same deadline by the monotonic clock, nanoseconds
