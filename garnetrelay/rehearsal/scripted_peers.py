"""Scripted peers for tests of a single relay: a host, a platform and a client that a test controls step by step.

They use the same HTTP server as the simulated partners and the discovery server of the rehearsal.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, Self

import hiredis

from garnetrelay.rehearsal.http import Call, Connection, HttpServer

PATIENCE = 20.0  # seconds until a script that is waiting fails


class ScriptedHost(HttpServer):
    """Listens, and queues each call for the test."""

    def __init__(self) -> None:
        super().__init__(self.take)
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        self.closings: asyncio.Queue[Connection] = asyncio.Queue()

    def closed(self, connection: Connection) -> None:
        """Queue the end of a connection for ``next_closing``."""
        self.closings.put_nowait(connection)

    def take(self, call: Call) -> None:
        """Queue a call for ``next_call``."""
        self.calls.put_nowait(call)

    async def next_call(self) -> Call:
        """Wait for the next call."""
        async with asyncio.timeout(PATIENCE):
            return await self.calls.get()

    async def next_closing(self) -> Connection:
        """Wait for the end of a connection."""
        async with asyncio.timeout(PATIENCE):
            return await self.closings.get()


class ScriptedPlatform(ScriptedHost):
    """Discovery and platform. Watches are queued in ``calls``; notices are acknowledged unless ``refusals`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.notices: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.refusals = 0  # number of requests with notices that are refused before one is acknowledged

    def take(self, call: Call) -> None:
        """Acknowledge or refuse notices, as ``refusals`` says; queue any other call for ``next_call``."""
        if call.method != "POST" or call.target != "/v1/notices":
            super().take(call)
        elif self.refusals:
            self.refusals -= 1
            call.answer(503)
        else:
            for line in call.body.splitlines():
                self.notices.put_nowait(json.loads(line))
            call.answer(204)

    async def next_notice(self) -> dict[str, Any]:
        """Wait for the next notice."""
        async with asyncio.timeout(PATIENCE):
            return await self.notices.get()

    async def next_watch(self) -> Watch:
        """Accept the next watch that a relay opens."""
        call = await self.next_call()
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return Watch(call)


class Watch:
    """A watch that a relay has opened."""

    def __init__(self, call: Call) -> None:
        self.call = call

    def line(self, text: str) -> None:
        """Write one line to the watch."""
        data = text.encode() + b"\n"
        self.call.raw(b"%x\r\n%s\r\n" % (len(data), data))


class Client:
    """A client connection that a test controls step by step."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader()

    @classmethod
    async def connect(cls, port: int) -> Self:
        """Connect to a relay on this machine."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def write(self, *words: str | bytes) -> None:
        """Write a command without waiting for its answer."""
        self.writer.write(hiredis.pack_command(tuple(words)))  # type: ignore[arg-type]

    async def read(self) -> Any:
        """Wait for the next answer; None if the relay has closed the connection."""
        async with asyncio.timeout(PATIENCE):
            while (answer := self.parser.gets()) is False:
                data = await self.reader.read(65536)
                if not data:
                    return None
                self.parser.feed(data)
        return str(answer) if isinstance(answer, hiredis.ReplyError) else answer

    async def ask(self, *words: str | bytes) -> Any:
        """Write a command and return its answer, as ``read`` does."""
        self.write(*words)
        return await self.read()
