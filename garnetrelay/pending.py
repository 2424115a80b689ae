"""The record of one message that this relay has taken on and that has not ended, and of one that may be. No I/O.

Owned by the core (``relay.py``), which keeps one for each such message; a handover (``handover/``) reads them.
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetrelay.delivery.http.hosts import Exchange
from garnetrelay.fronts.resp.requests import Request
from garnetrelay.fronts.resp.server import Reply


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message from its acceptance until its end is told and its last attempt has an outcome."""

    ref: str
    klass: str
    key: str | None
    body: bytes
    ends_at: int  # monotonic clock, nanoseconds: an answer behind that is none
    attempts: int = 0
    exchange: Exchange | None = None
    ended: bool = False
    sent_at: int = 0  # of the last attempt, monotonic clock
    zone: int = -1  # the same: its host's


@dataclass(slots=True)
class NewRequest:
    """A message whose client waits to hear whether it is taken on."""

    request: Request
    reply: Reply
    deadline: int  # wall clock, milliseconds
    ends_at: int  # the same by the monotonic clock, nanoseconds
