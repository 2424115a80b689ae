"""Follows the list of hosts by watches of discovery, over HTTP/1.1 (h11 parses). The Pacer says when to call.

Sockets and timers only: what a line says is read by ``host_list.py``, which of several watches counts stands in
``watches.py``.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

import h11

from garnetrelay.config.deployment import Address
from garnetrelay.discovery.host_list import ListReader, ListUpdate, ObjectSplitter, UnreadableListError, described
from garnetrelay.discovery.watches import Patience, State, Watch, Watches

log = logging.getLogger(__name__)

MOST_READ = 65536  # bytes at once
EXPECTED = (
    OSError,
    TimeoutError,
    h11.RemoteProtocolError,
    ValueError,
)  # of a service that is down, slow or talks nonsense


class Discovery:
    """Watches the list. ``on_news`` gets what comes, None when a watch or a call at the present address has failed."""

    def __init__(
        self, address: Address, reader: ListReader, index: int, on_news: Callable[[ListUpdate | None], None]
    ) -> None:
        self.reader = reader
        self.on_news = on_news
        self.watches = Watches(address, index)
        self._tasks: dict[Watch, asyncio.Task[None]] = {}
        self._asked_again: int | None = None  # the version behind which something came that could not be read

    @property
    def index(self) -> int:
        """The version in force."""
        return self.watches.index

    @index.setter
    def index(self, index: int) -> None:
        self.watches.index = index

    @property
    def up_to_date(self) -> bool:
        """Whether the list is no old one: a watch at the present address has told something, and is open."""
        return self.watches.up_to_date

    @property
    def open(self) -> int:
        """How many calls and watches are out."""
        return len(self._tasks)

    def subscribe(self) -> None:
        """Call discovery, beside what is out."""
        watch, closing = self.watches.begin()
        self._cancel(closing, "there are too many")
        log.info("discovery: %s is called for what came behind version %d", watch, watch.index)
        task = asyncio.get_running_loop().create_task(self._watch(watch))
        self._tasks[watch] = task
        task.add_done_callback(lambda task: self._ended(watch, task))

    def move(self, address: Address) -> None:
        """Call another address from now on; watches at the old one go on until it has answered."""
        self.watches.move(address)
        self._asked_again = None

    def close(self) -> None:
        """End all watches; nothing is told of that."""
        self._cancel(list(self._tasks), "the relay ends")

    def _cancel(self, watches: list[Watch], why: str) -> None:
        for watch in watches:
            task = self._tasks.pop(watch, None)
            if task is not None:
                log.debug("discovery: %s closes: %s", watch, why)
                task.cancel()

    def _ended(self, watch: Watch, task: asyncio.Task[None]) -> None:
        self._tasks.pop(watch, None)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, EXPECTED):
            log.warning("watch ended: %s, %s: %s", watch, watch.state.value, str(error) or type(error).__name__)
        elif error is not None:
            log.error("watch failed: %s", watch, exc_info=error)
        if self.watches.ended(watch) and not task.cancelled():
            self.on_news(None)

    async def _watch(self, watch: Watch) -> None:
        patience = Patience.begin(asyncio.get_running_loop().time())
        async with asyncio.timeout_at(patience.end_at):
            reader, writer = await asyncio.open_connection(watch.address.host, watch.address.port)
        try:
            await self._follow(watch, reader, writer, patience)
        finally:
            writer.transport.abort()

    async def _follow(
        self, watch: Watch, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, patience: Patience
    ) -> None:
        http = h11.Connection(h11.CLIENT)
        target = f"/api/targets?follow=1&since={watch.index}"
        writer.write(http.send(h11.Request(method="GET", target=target, headers=[("Host", str(watch.address))])) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        loop, lines = asyncio.get_running_loop(), ObjectSplitter()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._read(watch, reader, patience))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ValueError(f"discovery answered {event.status_code}")
                patience.taken_up(loop.time(), watch.index == 0)
                self._taken_up(watch)
            elif isinstance(event, h11.Data):
                for line in lines.feed(bytes(event.data)):
                    patience.line(loop.time())
                    self._line(watch, line)
                if lines.unfinished:
                    patience.unfinished(loop.time())
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ConnectionError("discovery closed it")

    async def _read(self, watch: Watch, reader: asyncio.StreamReader, patience: Patience) -> bytes:
        """What comes next; TimeoutError once nothing has come for too long. Ahead of that the watch is in doubt."""
        if patience.doubt_at is not None and watch.state is not State.DOUBTED:
            try:
                async with asyncio.timeout_at(min(patience.doubt_at, patience.end_at)):
                    return await reader.read(MOST_READ)
            except TimeoutError:
                self._doubt(watch)
        async with asyncio.timeout_at(patience.end_at):
            return await reader.read(MOST_READ)

    def _doubt(self, watch: Watch) -> None:
        log.info("discovery: %s says nothing: another call is made beside it", watch)
        if self.watches.doubted(watch):
            self.on_news(None)

    def _taken_up(self, watch: Watch) -> None:
        self.watches.taken_up(watch)
        log.info("discovery: %s is taken up", watch)
        if self.watches.is_current(watch):  # also where nothing has changed
            self.on_news(ListUpdate(watch.index, False, (), {}))

    def _line(self, watch: Watch, line: bytes | None) -> None:
        news = None if line is None else self._version(watch, line)
        doubted = watch.state is State.DOUBTED
        self._cancel(self.watches.line(watch), f"{watch} does its work")
        if news is not None:
            self.watches.told(watch, news.index)
            log.info("%s", described(news))
            self.on_news(news if self.watches.is_current(watch) else news.of_address_left())
        elif doubted and self.watches.is_current(watch):  # it goes on
            self.on_news(ListUpdate(watch.index, False, (), {}))

    def _version(self, watch: Watch, line: bytes) -> ListUpdate:
        """Read a version. What can't be read leaves a hole, a drain perhaps, that no later line fills: it is asked for
        once more, on another watch. If that can't be read either, what can be read of it counts, and the lines behind
        it."""
        raw: object = None
        try:
            raw = json.loads(line)
            news = self.reader.read(raw)
        except ValueError as error:
            if self._asked_again != watch.index:
                if self.watches.is_current(watch):
                    self._asked_again = watch.index
                raise UnreadableListError(f"a line can't be read, it is asked for again: {error}") from None
            log.warning("a line of the list can't be read, but for what can the last list stays: %s", error)
            return self.reader.salvage(raw, watch.index)
        if news.index < watch.index and not news.whole:
            # Another count of versions, or an old word that would take back a newer one.
            behind = watch.index
            self.watches.told(watch, 0)
            raise UnreadableListError(f"version {news.index} came behind {behind}: the whole list is asked for")
        return news
