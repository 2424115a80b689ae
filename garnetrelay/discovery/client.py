"""Follows the list of hosts through watches of discovery, over HTTP/1.1 (h11 parses). The Pacer decides when to call.

Sockets and timers only: ``host_list.py`` parses the lines, ``watches.py`` selects among several watches.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

import h11

from garnetrelay.config.deployment import Address
from garnetrelay.discovery.host_list import (
    ListReader,
    ListUpdate,
    ObjectSplitter,
    UnreadableListError,
    check_size,
    describe,
)
from garnetrelay.discovery.watches import State, Timeouts, Watch, Watches

log = logging.getLogger(__name__)

MAX_READ_BYTES = 65536  # per read
EXPECTED_ERRORS = (
    OSError,
    TimeoutError,
    h11.RemoteProtocolError,
    ValueError,
)  # raised if discovery is down, slow or sends malformed data


class Discovery:
    """Watches the list. ``on_update`` receives updates, and None when a watch or call at the current address fails."""

    def __init__(
        self, address: Address, reader: ListReader, index: int, on_update: Callable[[ListUpdate | None], None]
    ) -> None:
        self.reader = reader
        self.on_update = on_update
        self.watches = Watches(address, index)
        self._tasks: dict[Watch, asyncio.Task[None]] = {}
        self._retried_index: int | None = None  # the version after which a malformed line was received

    @property
    def index(self) -> int:
        """The version of the list in use."""
        return self.watches.index

    @index.setter
    def index(self, index: int) -> None:
        self.watches.index = index

    @property
    def up_to_date(self) -> bool:
        """Whether the list is current: a watch at the current address is open and has delivered a line."""
        return self.watches.up_to_date

    @property
    def open(self) -> int:
        """The number of open calls and watches."""
        return len(self._tasks)

    def subscribe(self) -> None:
        """Call discovery, in addition to the calls and watches that are open."""
        watch, closing = self.watches.begin()
        self._cancel(closing, "too many are open")
        log.info("discovery: %s is called for what came behind version %d", watch, watch.index)
        task = asyncio.get_running_loop().create_task(self._watch(watch))
        self._tasks[watch] = task
        task.add_done_callback(lambda task: self._on_ended(watch, task))

    def move(self, address: Address) -> None:
        """Call another address from now on; watches at the old one continue until the new one has answered."""
        self.watches.move(address)
        self._retried_index = None

    def close(self) -> None:
        """End all calls and watches without reporting it."""
        self._cancel(list(self._tasks), "the relay is closing")

    def _cancel(self, watches: list[Watch], why: str) -> None:
        for watch in watches:
            task = self._tasks.pop(watch, None)
            if task is not None:
                log.debug("discovery: %s closes: %s", watch, why)
                task.cancel()

    def _on_ended(self, watch: Watch, task: asyncio.Task[None]) -> None:
        self._tasks.pop(watch, None)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, EXPECTED_ERRORS):
            log.warning("watch ended: %s, %s: %s", watch, watch.state.value, str(error) or type(error).__name__)
        elif error is not None:
            log.error("watch failed: %s", watch, exc_info=error)
        if self.watches.on_ended(watch) and not task.cancelled():
            self.on_update(None)

    async def _watch(self, watch: Watch) -> None:
        timeouts = Timeouts.begin(asyncio.get_running_loop().time())
        async with asyncio.timeout_at(timeouts.end_at):
            reader, writer = await asyncio.open_connection(watch.address.host, watch.address.port)
        try:
            await self._follow(watch, reader, writer, timeouts)
        finally:
            writer.transport.abort()

    async def _follow(
        self, watch: Watch, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, timeouts: Timeouts
    ) -> None:
        http = h11.Connection(h11.CLIENT)
        target = f"/api/targets?follow=1&since={watch.index}"
        writer.write(http.send(h11.Request(method="GET", target=target, headers=[("Host", str(watch.address))])) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        loop, splitter = asyncio.get_running_loop(), ObjectSplitter()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._read(watch, reader, timeouts))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ValueError(f"discovery answered {event.status_code}")
                timeouts.on_accepted(loop.time(), watch.index == 0)
                self._on_accepted(watch)
            elif isinstance(event, h11.Data):
                for line in splitter.feed(bytes(event.data)):
                    timeouts.on_line(loop.time())
                    self._on_line(watch, line)
                if splitter.unfinished:
                    timeouts.on_partial_line(loop.time())
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ConnectionError("discovery closed the connection")

    async def _read(self, watch: Watch, reader: asyncio.StreamReader, timeouts: Timeouts) -> bytes:
        """Read the next bytes. Marks the watch as unresponsive after a while, and raises TimeoutError at ``end_at``."""
        if timeouts.unresponsive_at is not None and watch.state is not State.UNRESPONSIVE:
            try:
                async with asyncio.timeout_at(min(timeouts.unresponsive_at, timeouts.end_at)):
                    return await reader.read(MAX_READ_BYTES)
            except TimeoutError:
                self._on_unresponsive(watch)
        async with asyncio.timeout_at(timeouts.end_at):
            return await reader.read(MAX_READ_BYTES)

    def _on_unresponsive(self, watch: Watch) -> None:
        log.info("discovery: %s says nothing: another call is made beside it", watch)
        if self.watches.on_unresponsive(watch):
            self.on_update(None)

    def _on_accepted(self, watch: Watch) -> None:
        self.watches.on_accepted(watch)
        log.info("discovery: %s is taken up", watch)
        if self.watches.is_current(watch):  # reported even if nothing has changed
            self.on_update(ListUpdate(watch.index, False, (), {}))

    def _on_line(self, watch: Watch, line: bytes | None) -> None:
        update = None if line is None else self._read_version(watch, line)
        was_unresponsive = watch.state is State.UNRESPONSIVE
        self._cancel(self.watches.on_line(watch), f"{watch} replaces it")
        if update is not None:
            self.watches.on_version(watch, update.index)
            log.info("%s", describe(update))
            self.on_update(update if self.watches.is_current(watch) else update.from_previous_address())
        elif was_unresponsive and self.watches.is_current(watch):  # it has recovered
            self.on_update(ListUpdate(watch.index, False, (), {}))

    def _read_version(self, watch: Watch, line: bytes) -> ListUpdate:
        """Parse a version. A malformed line may hide a change, such as a drain, that no later line repeats, so it is
        requested once more on another watch. If it is malformed again, its valid entries are used, and later lines
        apply."""
        raw: object = None
        check_size(line)
        try:
            raw = json.loads(line)
            update = self.reader.read(raw)
        except ValueError as error:
            if self._retried_index != watch.index:
                if self.watches.is_current(watch):
                    self._retried_index = watch.index
                raise UnreadableListError(f"malformed line, requested again: {error}") from None
            log.warning("malformed line in the list of hosts: only its valid entries are used: %s", error)
            return self.reader.read_valid_entries(raw, watch.index)
        if update.index < watch.index and not update.whole:
            # Discovery numbers its versions differently, or this old version would undo a newer one.
            previous = watch.index
            self.watches.on_version(watch, 0)
            raise UnreadableListError(f"version {update.index} follows {previous}: requesting the whole list")
        return update
