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
# may have fallen silent since its last POST: half of that is for finding out, the rest for another connection. So no gap
# between two tries grows over half of it, however many have failed; only an answer is waited for longer, beside them.
ANSWER_TIME, LONGEST_ANSWER_TIME = 0.12, 1.0  # seconds; longer after each POST without one, if the platform is just slow
OPEN_TIME = 0.5  # for a connection
OPEN_BESIDE = 0.12  # behind which another is tried beside it
FIRST_PAUSE, LONGEST_PAUSE = 0.02, 0.12
MOST_OLDER = 6  # connections whose answer is waited for beside the present one
MOST_BODY = 60_000  # bytes of one POST: the platform reads 64 KiB

_encode = json.JSONEncoder(separators=(",", ":")).encode


class Link(asyncio.Protocol):
    """A connection to the platform, and the POST on it that has no answer yet."""

    def __init__(self, notices: Notices, address: Address) -> None:
        self.notices = notices
        self.address = address
        self.reader = AnswerReader()
        self.out: list[str] = []  # what that POST holds, by ref
        self.until: asyncio.TimerHandle | None = None  # of one beside the present: for how long it is listened to
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
        if self.until is not None:
            self.until.cancel()
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()


class Notices:
    """A queue of notices and the connection they go out on. ``on_told`` hears of each that arrived.

    A POST without an answer is made again on another connection, and the answer to it is waited for beside that one.
    Where the platform has moved, its old address is tried as well until the new one has answered."""

    def __init__(self, address: Address, on_told: Callable[[str], None]) -> None:
        self.address = address
        self.on_told = on_told
        self.queue: dict[str, bytes] = {}
        self.alone = False  # a batch was not understood: one at a time finds the culprit
        self.pause = FIRST_PAUSE
        self.patience = ANSWER_TIME
        self.link: Link | None = None  # the present one
        self.older: list[Link] = []  # those that still may bring an answer
        self.opening: dict[asyncio.Task[Link], None] = {}
        self.timer: asyncio.TimerHandle | None = None  # for an answer, or until the next try
        self.closed = False
        self._left: Address | None = None  # the address before a move, until the present one has answered
        self._try_left = False  # the next connection goes there

    def close(self) -> None:
        """Send nothing any more; what is not acknowledged stays with the caller's journal."""
        self.closed = True
        self._stop_timer()
        self._stop_opening()
        for link in [*self.older, *([self.link] if self.link is not None else [])]:
            link.drop()
        self.older, self.link = [], None

    def move(self, address: Address) -> None:
        """Tell another address from now on, also what the old one has not acknowledged yet."""
        self._left, self._try_left, self.address = self.address, False, address
        self.pause, self.patience = FIRST_PAUSE, ANSWER_TIME  # they are of the old one
        self._stop_timer()
        self._stop_opening()
        self._set_aside(LONGEST_ANSWER_TIME)
        self.send()

    def add(self, ref: str, result: str, wait_ms: int) -> None:
        """Queue a notice; it stays until it is acknowledged. ``send`` is what lets it go."""
        notice: dict[str, str | int] = {"ref": ref, "result": result}
        if wait_ms:
            notice["wait_ms"] = wait_ms
        self.queue[ref] = _encode(notice).encode()

    def send(self) -> None:
        """Post what is queued, unless a POST is out or one has just failed."""
        if not self.queue or self.timer is not None or self.closed:
            return
        if self.link is None:
            self._open()
            return
        lines: list[bytes] = []
        size = 0
        for ref, line in self.queue.items():
            size += len(line) + 1
            if lines and (self.alone or size > MOST_BODY):
                break
            lines.append(line)
            self.link.out.append(ref)
        body = b"\n".join(lines) + b"\n"
        self.link.post(
            b"POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/x-ndjson\r\n"
            b"Content-Length: %d\r\n\r\n" % (str(self.link.address).encode(), len(body)) + body
        )
        self.timer = asyncio.get_running_loop().call_later(ANSWER_TIME, self._overdue)

    # ---- connections

    def _open(self) -> None:
        """A new connection; another is tried beside it if it does not come up soon."""
        loop = asyncio.get_running_loop()
        while len(self.opening) >= MOST_OLDER:
            oldest = next(iter(self.opening))
            del self.opening[oldest]
            oldest.cancel()
        address = self._left if self._try_left and self._left is not None else self.address
        task = loop.create_task(self._connect(address))
        self.opening[task] = None
        task.add_done_callback(self._opened)
        self.timer = loop.call_later(OPEN_BESIDE, self._open_beside)

    async def _connect(self, address: Address) -> Link:
        async with asyncio.timeout(OPEN_TIME):
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: Link(self, address), address.host, address.port
            )
        return link

    def _open_beside(self) -> None:
        self.timer = None
        self._try_left = not self._try_left
        self.send()

    def _opened(self, task: asyncio.Task[Link]) -> None:
        wanted = self.opening.pop(task, task) is None
        error = None if task.cancelled() else task.exception()
        if not wanted or task.cancelled():
            if not task.cancelled() and error is None:
                task.result().drop()  # it came up as it was called off
            return
        if error is None:
            self._stop_timer()
            self._stop_opening()
            self.link = task.result()
            self.send()
        elif not isinstance(error, OSError | TimeoutError):
            log.error("notices: the connection could not be opened", exc_info=error)
            self._failed(type(error).__name__)
        elif not self.opening:
            self._failed(str(error) or type(error).__name__)

    def _stop_opening(self) -> None:
        opening, self.opening = self.opening, {}
        for task in opening:
            task.cancel()

    def _set_aside(self, time: float) -> None:
        """The present link is no longer used; an answer that is out on it is waited for."""
        link, self.link = self.link, None
        if link is None:
            return
        if not link.out or time <= 0:
            link.drop()
            return
        link.until = asyncio.get_running_loop().call_later(time, self._give_up, link)
        self.older.append(link)
        while len(self.older) > MOST_OLDER:
            self._give_up(self.older[0])

    def _give_up(self, link: Link) -> None:
        if link in self.older:
            self.older.remove(link)
        link.drop()

    # ---- answers

    def on_answer(self, link: Link, status: int, keep: bool) -> None:
        """A POST is answered; 0: by what can't be read."""
        if not link.out or link is not self.link and link not in self.older:
            return
        told, link.out = link.out, []
        present = link is self.link
        if status == 204 or status == 400 and len(told) == 1:
            self._acknowledged(link, told, status)
        elif status == 400 and present:
            self.alone = True
            self._stop_timer()
        elif present:
            self._failed(f"answered {status}" if status else "the answer can't be read")
            return
        if not present:
            self._give_up(link)
        elif not keep or link.address != self.address:
            self._set_aside(0)
        if present:
            self.send()

    def _acknowledged(self, link: Link, refs: list[str], status: int) -> None:
        self.alone, self.pause, self.patience = False, FIRST_PAUSE, ANSWER_TIME
        self._try_left = False
        if link.address == self.address:
            self._left = None
        if link is self.link:
            self._stop_timer()
        for ref in refs:
            notice = self.queue.pop(ref, None)  # None: an answer beside this one has told it
            if notice is not None and status == 400:
                log.error("the platform can't read this notice, it is dropped: %s", notice)
            if notice is not None:
                self.on_told(ref)

    def on_lost(self, link: Link) -> None:
        """A link is gone: with a request on it, the notices in that request are sent again."""
        if link in self.older:
            self._give_up(link)
        elif link is self.link:
            self.link = None
            if link.out:
                self._failed("closed without an answer")

    def _overdue(self) -> None:
        """No answer yet: try on another connection, and listen to this one for the rest of its time."""
        listen = self.patience - ANSWER_TIME
        self.patience = min(2 * self.patience, LONGEST_ANSWER_TIME)
        self._failed("no answer in time", listen)

    def _failed(self, why: str, listen: float = 0.0) -> None:
        """Try again on another connection, after a pause that grows."""
        log.warning("notices not taken: %s, %d wait, tried again in %.2f s", why, len(self.queue), self.pause)
        self._stop_timer()
        self._stop_opening()
        self._set_aside(listen)
        self._try_left = not self._try_left
        self.timer = asyncio.get_running_loop().call_later(self.pause, self._again)
        self.pause = min(2 * self.pause, LONGEST_PAUSE)

    def _again(self) -> None:
        self.timer = None
        self.send()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
