"""Stand-ins that are told step by step what to do: a host, a platform and a client, for tests of a single relay.

They stand on the same server as the kit's partners and register; only the script is another.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, Self

import hiredis

from garnetrelay.rehearsal.http import Call, Connection, HttpServer

PATIENCE = 20.0  # seconds after which a script that waits in vain has failed


class ScriptedHost(HttpServer):
    """Listens, and hands each call to whoever waits for it."""

    def __init__(self) -> None:
        super().__init__(self.take)
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        self.closings: asyncio.Queue[Connection] = asyncio.Queue()

    def closed(self, connection: Connection) -> None:
        """Keep the end of a connection for ``next_closing``."""
        self.closings.put_nowait(connection)

    def take(self, call: Call) -> None:
        """Keep a call for ``next_call``."""
        self.calls.put_nowait(call)

    async def next_call(self) -> Call:
        """The next call that comes."""
        async with asyncio.timeout(PATIENCE):
            return await self.calls.get()

    async def next_closing(self) -> Connection:
        """The next connection that ends."""
        async with asyncio.timeout(PATIENCE):
            return await self.closings.get()


class ScriptedPlatform(ScriptedHost):
    """Register and platform. Watches land in ``calls``; notices are acknowledged unless told otherwise."""

    def __init__(self) -> None:
        super().__init__()
        self.notices: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.refusals = 0  # notices that are refused before one is taken

    def take(self, call: Call) -> None:
        """Acknowledge notices, or refuse as many as ``refusals`` says; anything else waits for ``next_call``."""
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
        """The next notice that comes."""
        async with asyncio.timeout(PATIENCE):
            return await self.notices.get()

    async def next_watch(self) -> Watch:
        """Take up the next watch that a relay opens."""
        call = await self.next_call()
        call.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return Watch(call)


class Watch:
    """A watch that a relay has opened."""

    def __init__(self, call: Call) -> None:
        self.call = call

    def line(self, text: str) -> None:
        """Write one line of it."""
        data = text.encode() + b"\n"
        self.call.raw(b"%x\r\n%s\r\n" % (len(data), data))


class Client:
    """A client's connection, one step at a time."""

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
        """The next answer; None when the relay has closed."""
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
