"""Tells the platform how messages ended that were not delivered, again and again until it has heard."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

import h11

from garnetrelay.config import Address

log = logging.getLogger(__name__)

ANSWER_TIME = 0.5  # seconds; the platform answers at once, and an end has to be told within 300 ms or so
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0
MOST_AT_ONCE = 200


class Notices:
    """A queue of notices and the one connection they go out on. ``on_told`` hears of each that arrived."""

    def __init__(self, address: Address, on_told: Callable[[str], None]) -> None:
        self.address = address
        self.on_told = on_told
        self.queue: dict[str, bytes] = {}
        self.alone = False  # a batch was not understood: one at a time finds the culprit
        self.filled = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.link: tuple[asyncio.StreamReader, asyncio.StreamWriter, h11.Connection] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())
        self.task.add_done_callback(self._ended)

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def move(self, address: Address) -> None:
        """Tell another address from now on, also what the old one has not acknowledged."""
        self.address = address
        self.close()
        self._drop_link()
        self.start()

    def tell(self, ref: str, result: str, wait_ms: int) -> None:
        """Queue a notice; it stays until it is acknowledged."""
        notice: dict[str, str | int] = {"ref": ref, "result": result}
        if wait_ms:
            notice["wait_ms"] = wait_ms
        self.queue[ref] = json.dumps(notice, separators=(",", ":")).encode()
        self.filled.set()

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("notices stopped, starting again", exc_info=error)
            self._drop_link()
            self.start()

    async def _run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            await self.filled.wait()
            refs = list(self.queue)[:1 if self.alone else MOST_AT_ONCE]
            try:
                async with asyncio.timeout(ANSWER_TIME):
                    status = await self._post(b"\n".join(self.queue[ref] for ref in refs) + b"\n")
            except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
                status = 0
                log.warning("notices not taken: %s", str(error) or type(error).__name__)
            if status == 204 or status == 400 and len(refs) == 1:
                if status == 400:
                    log.error("the platform can't read this notice, it is dropped: %s", self.queue[refs[0]])
                for ref in refs:
                    del self.queue[ref]
                    self.on_told(ref)
                if not self.queue:
                    self.filled.clear()
                self.alone, pause = False, FIRST_PAUSE
            elif status == 400:
                self.alone = True
            else:
                self._drop_link()
                await asyncio.sleep(pause)
                pause = min(2 * pause, LONGEST_PAUSE)

    async def _post(self, body: bytes) -> int:
        """One POST; its status. A connection that went stale is replaced: notices may be told twice."""
        if self.link is not None and (self.link[0].at_eof() or self.link[1].is_closing()):
            self._drop_link()
        if self.link is None:
            streams = await asyncio.open_connection(self.address.host, self.address.port)
            self.link = (*streams, h11.Connection(h11.CLIENT))
        reader, writer, http = self.link
        headers = [("Host", str(self.address)), ("Content-Type", "application/x-ndjson"),
                   ("Content-Length", str(len(body)))]
        writer.write((http.send(h11.Request(method="POST", target="/v1/notices", headers=headers)) or b"")
                     + (http.send(h11.Data(data=body)) or b"") + (http.send(h11.EndOfMessage()) or b""))
        status = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("closed without an answer")
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            self._drop_link()
        return status

    def _drop_link(self) -> None:
        if self.link is not None:
            self.link[1].transport.abort()
            self.link = None
