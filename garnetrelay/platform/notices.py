"""Tells the platform how messages ended that were not delivered, again and again until it has heard.

One connection, one POST at a time, written in the turn that queued its notices: what is owed by the clock
does not wait for the loop to come round again.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import cast

from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.answers import AnswerReader

log = logging.getLogger(__name__)

# Of the protocol: the platform answers at once, and an end has to be told within 300 ms of a message's time. A connection
# may have fallen silent since its last POST: half of that is for finding out, the rest for another connection.
ANSWER_TIME, LONGEST_ANSWER_TIME = 0.12, 1.0  # seconds; longer after each POST without one, if the platform is just slow
OPEN_TIME = 0.5
FIRST_PAUSE, LONGEST_PAUSE = 0.02, 1.0
MOST_BODY = 60_000  # bytes of one POST: the platform reads 64 KiB

_encode = json.JSONEncoder(separators=(",", ":")).encode


class Link(asyncio.Protocol):
    """The connection to the platform."""

    def __init__(self, notices: Notices) -> None:
        self.notices = notices
        self.reader = AnswerReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: requests may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; the notices hear of an answer once it is whole or spoilt (status 0)."""
        self.reader.feed(data)
        if self.reader.complete or self.reader.broken:
            self.notices.on_answer(self, self.reader.status if self.reader.complete else 0, self.reader.keep)

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the loop, also after our own abort: the notices hear of it."""
        self.notices.on_lost(self)
        self.reader.close()

    def post(self, request: bytes) -> None:
        """Write one request; the parser begins a new answer."""
        self.reader.begin()
        if self.transport is not None:
            self.transport.write(request)

    def drop(self) -> None:
        """Abort the connection; what it still brings is not parsed."""
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()


class Notices:
    """A queue of notices and the one connection they go out on. ``on_told`` hears of each that arrived."""

    def __init__(self, address: Address, on_told: Callable[[str], None]) -> None:
        self.address = address
        self.on_told = on_told
        self.queue: dict[str, bytes] = {}
        self.out: list[str] = []  # those of the POST that has no answer yet
        self.alone = False  # a batch was not understood: one at a time finds the culprit
        self.pause = FIRST_PAUSE
        self.patience = ANSWER_TIME
        self.link: Link | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None  # for an answer, or until the next try
        self.closed = False

    def close(self) -> None:
        """Send nothing any more; what is not acknowledged stays with the caller's journal."""
        self.closed = True
        self._reset()

    def move(self, address: Address) -> None:
        """Tell another address from now on, also what the old one has not acknowledged."""
        self.address = address
        self._reset()
        self.send()

    def tell(self, ref: str, result: str, wait_ms: int) -> None:
        """Queue a notice; it stays until it is acknowledged. ``send`` is what lets it go."""
        notice: dict[str, str | int] = {"ref": ref, "result": result}
        if wait_ms:
            notice["wait_ms"] = wait_ms
        self.queue[ref] = _encode(notice).encode()

    def send(self) -> None:
        """Post what is queued, unless a POST is out or one has just failed."""
        if not self.queue or self.out or self.timer is not None or self.closed:
            return
        if self.link is None:
            if self.opening is None:
                self.opening = asyncio.get_running_loop().create_task(self._open())
                self.opening.add_done_callback(self._opened)
            return
        lines: list[bytes] = []
        size = 0
        for ref, line in self.queue.items():
            size += len(line) + 1
            if lines and (self.alone or size > MOST_BODY):
                break
            lines.append(line)
            self.out.append(ref)
        body = b"\n".join(lines) + b"\n"
        self.link.post(
            b"POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/x-ndjson\r\n"
            b"Content-Length: %d\r\n\r\n" % (str(self.address).encode(), len(body)) + body
        )
        self.timer = asyncio.get_running_loop().call_later(self.patience, self._overdue)

    async def _open(self) -> None:
        async with asyncio.timeout(OPEN_TIME):
            _, self.link = await asyncio.get_running_loop().create_connection(
                lambda: Link(self), self.address.host, self.address.port
            )

    def _opened(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self.opening is not task:
            return
        self.opening = None
        error = task.exception()
        if error is None:
            self.send()
        elif isinstance(error, OSError | TimeoutError):
            self._failed(str(error) or type(error).__name__)
        else:
            log.error("notices: the connection could not be opened", exc_info=error)
            self._failed(type(error).__name__)

    def on_answer(self, link: Link, status: int, keep: bool) -> None:
        """A POST is answered; 0: by what can't be read."""
        if link is not self.link or not self.out:
            return
        if status == 204 or status == 400 and len(self.out) == 1:
            if status == 400:
                log.error("the platform can't read this notice, it is dropped: %s", self.queue[self.out[0]])
            told, self.out = self.out, []
            for ref in told:
                del self.queue[ref]
            self.alone, self.pause, self.patience = False, FIRST_PAUSE, ANSWER_TIME
            self._stop_timer()
            if not keep:
                self._drop_link()
            for ref in told:
                self.on_told(ref)
            self.send()
        elif status == 400:
            self.alone = True
            self.out = []
            self._stop_timer()
            if not keep:
                self._drop_link()
            self.send()
        else:
            self._failed(f"answered {status}" if status else "the answer can't be read")

    def on_lost(self, link: Link) -> None:
        """A link is gone: with a request on it, the notices in that request are sent again."""
        if link is self.link:
            self.link = None
            if self.out:
                self._failed("closed without an answer")

    def _overdue(self) -> None:
        self.patience = min(2 * self.patience, LONGEST_ANSWER_TIME)
        self._failed("no answer in time")

    def _failed(self, why: str) -> None:
        """Try again on another connection, after a pause that grows."""
        log.warning("notices not taken: %s", why)
        self._reset()
        self.timer = asyncio.get_running_loop().call_later(self.pause, self._again)
        self.pause = min(2 * self.pause, LONGEST_PAUSE)

    def _again(self) -> None:
        self.timer = None
        self.send()

    def _reset(self) -> None:
        """Nothing is out, and no connection is open or opening."""
        self.out = []
        self._stop_timer()
        self._drop_link()
        if self.opening is not None:
            self.opening.cancel()
            self.opening = None

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _drop_link(self) -> None:
        link, self.link = self.link, None
        if link is not None:
            link.drop()
