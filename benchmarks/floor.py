"""The least that a relay in this runtime could do: commands in by hiredis, calls out, and nothing besides.

    python -m benchmarks.floor PORT SINK_PORT     # or without arguments: as RELAY_CONFIG has it, first endpoint only

It answers PING, takes ENQUEUE, answers +OK and passes the body on over kept connections. What it leaves out
(journal, decisions, checks, notices) is what the relay is measured against.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import cast

import hiredis


class Sink(asyncio.Protocol):
    """A connection to where messages go; idle once its answer has come."""

    def __init__(self, idle: list[Sink]) -> None:
        self.idle = idle
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: calls may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Take any answer for a whole one: the connection may carry the next call."""
        self.idle.append(self)


class Client(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, idle: list[Sink], port: int) -> None:
        self.idle = idle
        self.port = port
        self.reader = hiredis.Reader()
        self.tasks: set[asyncio.Task[None]] = set()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop: answers may be written."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer each ENQUEUE with +OK and pass its body on as one POST, with nothing on record."""
        assert self.transport is not None
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            if words[0] == b"PING":
                self.transport.write(b"+PONG\r\n")
                continue
            self.transport.write(b"+OK\r\n")
            request = b"POST /hook HTTP/1.1\r\nHost: sink\r\nX-Request-ID: %s\r\n" b"Content-Length: %d\r\n\r\n%s" % (
                words[2],
                len(words[4]),
                words[4],
            )
            if self.idle:
                self._pass(self.idle.pop(), request)
            else:
                task = asyncio.get_running_loop().create_task(self._open(request))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _open(self, request: bytes) -> None:
        _, sink = await asyncio.get_running_loop().create_connection(lambda: Sink(self.idle), "127.0.0.1", self.port)
        self._pass(sink, request)

    def _pass(self, sink: Sink, request: bytes) -> None:
        assert sink.transport is not None
        sink.transport.write(request)


async def main() -> None:
    """Serve until ended; ports come as two arguments, or from the relay's own configuration."""
    idle: list[Sink] = []
    if len(sys.argv) > 2:
        port, sink = int(sys.argv[1]), int(sys.argv[2])
    else:
        config = json.loads(Path(os.environ["RELAY_CONFIG"]).read_bytes())
        port = int(config["listen"].rpartition(":")[2])
        sink = int(config["known"]["endpoints"][0]["address"].rpartition(":")[2])
    server = await asyncio.get_running_loop().create_server(lambda: Client(idle, sink), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
