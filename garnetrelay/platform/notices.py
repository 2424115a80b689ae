"""Notifies the platform of messages that ended without delivery, and retries until each notice is acknowledged.

One connection, one POST at a time. A POST is written in the same batch that queued its notices, since they have a
deadline and must not wait for the next tick of the loop.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.answers import AnswerReader

log = logging.getLogger(__name__)

# By the protocol the platform answers at once, and a notice must arrive within 300 ms of a message's deadline. A
# connection may have become unresponsive since its last POST: half of the 300 ms is for detecting that, the rest for
# another connection. So the gap between two attempts never exceeds half of it, however many have failed. Older
# connections may wait longer for their answers, in parallel.
ANSWER_TIMEOUT_S, MAX_ANSWER_TIMEOUT_S = 0.12, 1.0  # doubled after each unanswered POST, in case the platform is slow
CONNECT_TIMEOUT_S = 0.5
PARALLEL_CONNECT_AFTER_S = 0.12  # then another connection is opened in parallel
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.12
MAX_OLDER_LINKS = 6  # that still wait for an answer, besides the current one; also limits connections being opened
MAX_BODY_BYTES = 60_000  # of one POST: the platform reads 64 KiB

_encode = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(slots=True, frozen=True)
class AcknowledgedNotice:
    """A notice whose acknowledgement may have been a second copy of an earlier one."""

    ref: str
    line: bytes  # as it was posted
    at: float  # when it was acknowledged, by the loop's clock


class Link(asyncio.Protocol):
    """A connection to the platform, and the unanswered POST on it."""

    def __init__(self, notices: Notices, address: Address) -> None:
        self.notices = notices
        self.address = address
        self.reader = AnswerReader()
        self.unacknowledged: list[str] = []  # the refs in that POST
        self.acknowledged: deque[AcknowledgedNotice] = deque()  # in the last MAX_ANSWER_TIMEOUT_S
        self.expiry: asyncio.TimerHandle | None = None  # of an older link: when it stops waiting for its answer
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop when requests may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; report an answer once it is complete or malformed (status 0)."""
        if not self.unacknowledged:
            self.notices.on_surplus(self)
            return
        self.reader.feed(data)
        if self.reader.complete or self.reader.broken:
            self.notices.on_answer(self, self.reader.status if self.reader.complete else 0, self.reader.keep)

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the loop, also after a local abort."""
        self.notices.on_lost(self)
        self.reader.close()

    def post(self, request: bytes) -> None:
        """Write one request and reset the parser for its answer."""
        self.reader.begin()
        if self.transport is not None:
            self.transport.write(request)

    def remember(self, ref: str, line: bytes) -> None:
        """Keep an acknowledged notice for as long as the true answer to it may take."""
        now = asyncio.get_running_loop().time()
        self.acknowledged.append(AcknowledgedNotice(ref, line, now))
        while self.acknowledged[0].at < now - MAX_ANSWER_TIMEOUT_S:
            self.acknowledged.popleft()

    def abort(self) -> None:
        """Abort the connection; anything still received on it is not parsed."""
        if self.expiry is not None:
            self.expiry.cancel()
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()


class Notices:
    """A queue of notices and the connection that sends them. ``on_acknowledged`` is called with the ref of each.

    A POST without an answer is repeated on another connection, while the first one still waits for its answer. After
    the platform has moved, its previous address is tried as well until the new one has answered."""

    def __init__(self, address: Address, on_acknowledged: Callable[[str], None]) -> None:
        self.address = address
        self.on_acknowledged = on_acknowledged
        self.queue: dict[str, bytes] = {}
        self.one_at_a_time = False  # the platform rejected a batch: sending single notices finds the invalid one
        self.backoff_s = MIN_BACKOFF_S
        self.answer_timeout_s = ANSWER_TIMEOUT_S
        self.link: Link | None = None  # the current one
        self.older: list[Link] = []  # links that may still deliver an answer
        self.opening: dict[asyncio.Task[Link], None] = {}
        self.timer: asyncio.TimerHandle | None = None  # for an answer, a connection or the next attempt
        self.closed = False
        self._previous_address: Address | None = None  # before a move, until the current address has answered
        self._use_previous_address = False  # for the next connection

    def close(self) -> None:
        """Stop sending; unacknowledged notices remain in the caller's journal."""
        self.closed = True
        self._stop_timer()
        self._cancel_opening()
        for link in [*self.older, *([self.link] if self.link is not None else [])]:
            link.abort()
        self.older, self.link = [], None

    def move(self, address: Address) -> None:
        """Send to another address from now on, including notices that the old one has not acknowledged."""
        self._previous_address, self._use_previous_address, self.address = self.address, False, address
        self.backoff_s, self.answer_timeout_s = MIN_BACKOFF_S, ANSWER_TIMEOUT_S  # failures there do not count here
        self._stop_timer()
        self._cancel_opening()
        self._retire_link(MAX_ANSWER_TIMEOUT_S)
        self.send()

    def add(self, ref: str, result: str, wait_ms: int) -> None:
        """Queue a notice until it is acknowledged; ``send`` posts it."""
        notice: dict[str, str | int] = {"ref": ref, "result": result}
        if wait_ms:
            notice["wait_ms"] = wait_ms
        self.queue[ref] = _encode(notice).encode()

    def send(self) -> None:
        """Post the queue, unless a POST is unanswered or one has just failed."""
        if not self.queue or self.timer is not None or self.closed:
            return
        if self.link is None:
            self._open()
            return
        lines: list[bytes] = []
        size = 0
        for ref, line in self.queue.items():
            size += len(line) + 1
            if lines and (self.one_at_a_time or size > MAX_BODY_BYTES):
                break
            lines.append(line)
            self.link.unacknowledged.append(ref)
        body = b"\n".join(lines) + b"\n"
        self.link.post(
            b"POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/x-ndjson\r\n"
            b"Content-Length: %d\r\n\r\n" % (str(self.link.address).encode(), len(body)) + body
        )
        self.timer = asyncio.get_running_loop().call_later(ANSWER_TIMEOUT_S, self._on_answer_overdue)

    # ---- connections

    def _open(self) -> None:
        """Open a connection, and another in parallel if it is not established soon."""
        loop = asyncio.get_running_loop()
        while len(self.opening) >= MAX_OLDER_LINKS:
            oldest = next(iter(self.opening))
            del self.opening[oldest]
            oldest.cancel()
        address = (
            self._previous_address if self._use_previous_address and self._previous_address is not None else self.address
        )
        task = loop.create_task(self._connect(address))
        self.opening[task] = None
        task.add_done_callback(self._on_connect_done)
        self.timer = loop.call_later(PARALLEL_CONNECT_AFTER_S, self._open_parallel)

    async def _connect(self, address: Address) -> Link:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: Link(self, address), address.host, address.port
            )
        return link

    def _open_parallel(self) -> None:
        self.timer = None
        self._use_previous_address = not self._use_previous_address
        self.send()

    def _on_connect_done(self, task: asyncio.Task[Link]) -> None:
        wanted = self.opening.pop(task, task) is None
        error = None if task.cancelled() else task.exception()
        if not wanted or task.cancelled():
            if not task.cancelled() and error is None:
                task.result().abort()  # established just as it was cancelled
            return
        if error is None:
            self._stop_timer()
            self._cancel_opening()
            self.link = task.result()
            self.send()
        elif not isinstance(error, OSError | TimeoutError):
            log.error("notices: the connection could not be opened", exc_info=error)
            self._on_failure(type(error).__name__)
        elif not self.opening:
            self._on_failure(str(error) or type(error).__name__)

    def _cancel_opening(self) -> None:
        opening, self.opening = self.opening, {}
        for task in opening:
            task.cancel()

    def _retire_link(self, wait_s: float) -> None:
        """Stop using the current link, but wait up to ``wait_s`` for an answer that is outstanding on it."""
        link, self.link = self.link, None
        if link is None:
            return
        if not link.unacknowledged or wait_s <= 0:
            link.abort()
            return
        link.expiry = asyncio.get_running_loop().call_later(wait_s, self._abort_older, link)
        self.older.append(link)
        while len(self.older) > MAX_OLDER_LINKS:
            self._abort_older(self.older[0])

    def _abort_older(self, link: Link) -> None:
        if link in self.older:
            self.older.remove(link)
        link.abort()

    # ---- answers

    def on_answer(self, link: Link, status: int, keep: bool) -> None:
        """A POST is answered. Status 0: the answer is malformed."""
        if not link.unacknowledged or link is not self.link and link not in self.older:
            return
        refs, link.unacknowledged = link.unacknowledged, []
        is_current = link is self.link
        if status == 204 or status == 400 and len(refs) == 1:
            self._acknowledge(link, refs, status)
        elif status == 400 and is_current:
            self.one_at_a_time = True
            self._stop_timer()
        elif is_current:
            self._requeue(link)  # this may be the answer to an earlier POST, whose own was a second copy
            self._on_failure(f"answered {status}" if status else "malformed answer")
            return
        if not is_current:
            self._abort_older(link)
        elif not keep or link.address != self.address:
            self._retire_link(0)
        if is_current:
            self.send()

    def on_surplus(self, link: Link) -> None:
        """A link has received more answers than POSTs were written: one of them was a second copy of another, so the
        notices that it acknowledged are sent again. A notice for a message that is over does no harm."""
        if link.acknowledged:
            log.warning("notices: an answer without a POST, %d are sent again", len(link.acknowledged))
        self._requeue(link)
        if link is self.link:
            self.link = None
        link.abort()
        self.send()

    def _requeue(self, link: Link) -> None:
        for notice in link.acknowledged:
            self.queue.setdefault(notice.ref, notice.line)
        link.acknowledged.clear()

    def _acknowledge(self, link: Link, refs: list[str], status: int) -> None:
        self.one_at_a_time, self.backoff_s, self.answer_timeout_s = False, MIN_BACKOFF_S, ANSWER_TIMEOUT_S
        self._use_previous_address = False
        if link.address == self.address:
            self._previous_address = None
        if link is self.link:
            self._stop_timer()
        for ref in refs:
            notice = self.queue.pop(ref, None)  # None: acknowledged by an answer on another link
            if notice is None:
                continue
            if status == 400:
                log.error("the platform rejected this notice with 400, it is discarded: %s", notice)
            else:
                link.remember(ref, notice)
            self.on_acknowledged(ref)

    def on_lost(self, link: Link) -> None:
        """A link is closed. If a POST was unanswered on it, its notices are sent again."""
        if link in self.older:
            self._abort_older(link)
        elif link is self.link:
            self.link = None
            if link.unacknowledged:
                self._on_failure("closed without an answer")

    def _on_answer_overdue(self) -> None:
        """No answer yet: retry on another connection, and wait for this one's answer until its timeout."""
        wait_s = self.answer_timeout_s - ANSWER_TIMEOUT_S
        self.answer_timeout_s = min(2 * self.answer_timeout_s, MAX_ANSWER_TIMEOUT_S)
        self._on_failure("no answer in time", wait_s)

    def _on_failure(self, why: str, wait_s: float = 0.0) -> None:
        """Retry on another connection after the backoff, which grows."""
        log.warning("notices not taken: %s, %d pending, retry in %.2f s", why, len(self.queue), self.backoff_s)
        self._stop_timer()
        self._cancel_opening()
        self._retire_link(wait_s)
        self._use_previous_address = not self._use_previous_address
        self.timer = asyncio.get_running_loop().call_later(self.backoff_s, self._retry)
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    def _retry(self) -> None:
        self.timer = None
        self.send()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
