"""Stand-ins for one relay: discovery with the platform's notices, hosts, clients, and the relay's own processes.

Everything runs in one asyncio process on loopback, so all events have one clock and one order. The stand-ins follow the
protocol page. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SECOND = 1_000_000_000
CLIENT_PATIENCE_S = 0.4  # protocol page: a client waits 400 ms for the answer to a request
KEEPALIVE_S = 2.0  # protocol page: an empty line every 2 s while nothing changes
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many", 503: "Unavailable"}


class CannotRunError(RuntimeError):
    """The case could not be played; the script ends with status 2."""


class Record:
    """Writes what happens to ``record.txt``, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def add(self, text: str) -> float:
        """Write a line; returns its time."""
        at = self.now()
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()
        return at


class Call:
    """A call that a host has received completely."""

    def __init__(self, host: Host, ref: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        self.host = host
        self.ref = ref
        self.headers = headers
        self.body = body
        self.writer = writer
        self.first = 0.0  # when its first byte had come
        self.came = 0.0  # when its last byte had come
        self.ended: float | None = None  # when its answer was written or its connection ended
        self.answer: int | None = None  # the status that was written

    def write(self, status: int, *headers: str) -> None:
        """Write a complete answer."""
        self.answer = status
        self.ended = self.host.record.add(f"host {self.host.name} answers {self.ref} {status} {' '.join(headers)}")
        self.host.on_answered(self)
        extra = "".join(f"{header}\r\n" for header in headers)
        self.raw(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Length: 0\r\n{extra}\r\n".encode())

    def raw(self, data: bytes) -> None:
        """Write bytes as they are."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.writer.transport.abort()


Handler = Callable[[Call], Awaitable[None]]


async def read_request(
    reader: asyncio.StreamReader, on_first: Callable[[], None] = lambda: None
) -> tuple[str, str, dict[str, str], bytes] | None:
    """Method, target, headers and body of the next HTTP request; None at the end of the connection."""
    try:
        first = await reader.readexactly(1)
        on_first()
        head = first + await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        return None
    return method, target, headers, body


class Host:
    """One endpoint of a partner: serves one call at a time on each connection, as ``handler`` says."""

    def __init__(self, record: Record, name: str, dest: int, handler: Handler, zone: str = "media-block") -> None:
        self.record = record
        self.name = name
        self.dest = dest
        self.zone = zone
        self.handler = handler
        self.address = ""
        self.status = "Ready"
        self.calls: list[Call] = []
        self.on_call: Callable[[Call], None] = lambda call: None
        self.on_answered: Callable[[Call], None] = lambda call: None
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        call: Call | None = None
        first = [0.0]

        def on_first() -> None:
            first[0] = self.record.now()

        try:
            while (request := await read_request(reader, on_first)) is not None:
                method, target, headers, body = request
                if method == "GET":
                    known = target in ("/-/healthy", "/-/load")
                    self.record.add(f"host {self.name} probed")
                    writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % (b"200 OK" if known else b"404 No"))
                    continue
                call = Call(self, headers.get("x-request-id", ""), headers, body, writer)
                call.first, call.came = first[0], self.record.add(f"host {self.name} receives {call.ref}")
                self.calls.append(call)
                self.on_call(call)
                task = asyncio.create_task(self._handle(call))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        finally:
            self.writers.discard(writer)
            if call is not None and call.ended is None:
                call.ended = self.record.add(f"host {self.name}: connection of {call.ref} ends without an answer")
            writer.close()

    async def _handle(self, call: Call) -> None:
        await self.handler(call)

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Platform:
    """Discovery and the receiver of notices, at one address."""

    def __init__(self, record: Record, hosts: list[Host], late_s: float = 0.0) -> None:
        self.record = record
        self.hosts = hosts
        self.late_s = late_s  # from a call for the list until its first line
        self.listed_at: dict[
            str, str
        ] = {}  # by host: its address as this platform's relay sees it, if not the host's own
        self.index = 41
        self.address = ""
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self.watchers: set[asyncio.StreamWriter] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def listing(self) -> dict[str, Any]:
        """The whole list, in discovery's form."""
        return {"index": self.index, "snapshot": True, "endpoints": [self.entry(host) for host in self.hosts]}

    def entry(self, host: Host) -> dict[str, Any]:
        """One entry of the list."""
        return {
            "name": host.name,
            "address": self.listed_at.get(host.name, host.address),
            "zone": host.zone,
            "type": "news-portals",
            "group": host.dest,
            "status": host.status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                method, target, _, body = request
                if method == "POST" and target == "/v1/notices":
                    for line in body.splitlines():
                        notice = json.loads(line)
                        at = self.record.add(f"platform is notified: {notice['ref']} {notice['result']}")
                        self.notices.setdefault(notice["ref"], []).append((at, notice["result"]))
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif method == "GET" and "follow=1" in target:
                    await self._watch(target, writer)
                    return
                elif method == "GET" and target.startswith("/api/targets"):
                    data = json.dumps(self.listing()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                else:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _watch(self, target: str, writer: asyncio.StreamWriter) -> None:
        since = target.partition("since=")[2].partition("&")[0]
        await asyncio.sleep(self.late_s)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since != str(self.index):
            self._line(writer, json.dumps(self.listing()).encode())
        self.watchers.add(writer)
        try:
            while not writer.is_closing():
                self._line(writer, b"")
                await writer.drain()
                await asyncio.sleep(KEEPALIVE_S)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)

    def tell(self, *hosts: Host) -> int:
        """Write a change of these hosts to all open watches; returns how many there were."""
        self.index += 1
        line = {"index": self.index, "snapshot": False, "endpoints": [self.entry(host) for host in hosts]}
        for writer in self.watchers:
            self._line(writer, json.dumps(line).encode())
        names = ", ".join(f"{host.name} {host.status}" for host in hosts)
        self.record.add(f"discovery tells {len(self.watchers)} watches: {names}")
        return len(self.watchers)

    def _line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Link:
    """A network link to an address that can be cut: open connections stay open and silent, new ones don't come up."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.whole = asyncio.Event()
        self.whole.set()
        self.listener = socket.socket()
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listen on a free port."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def cut(self) -> None:
        """Let nothing pass. The listener's queue is filled, so that the kernel drops further attempts to connect."""
        self.whole.clear()
        asyncio.get_running_loop().remove_reader(self.listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def mend(self) -> None:
        """Let what was held up pass, and new connections come up."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.whole.set()
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def stop(self) -> None:
        """End all connections."""
        asyncio.get_running_loop().remove_reader(self.listener)
        for task in list(self.tasks):
            task.cancel()
        for sock in (self.listener, *self.fillers):
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            near, _ = self.listener.accept()
            task = asyncio.create_task(self._carry(near))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(self, near: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        writers: list[asyncio.StreamWriter] = []
        passing: list[asyncio.Task[None]] = []
        try:
            there, to_there = await asyncio.open_connection(host, int(port))
            here, to_here = await asyncio.open_connection(sock=near)
            writers += [to_there, to_here]
            passing += [asyncio.create_task(self._pass(here, to_there)), asyncio.create_task(self._pass(there, to_here))]
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            near.close()
        finally:
            for task in passing:
                task.cancel()
            for writer in writers:
                writer.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
            await self.whole.wait()


class Client:
    """A client with one connection that it keeps; one request at a time."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def enqueue(self, ref: str, klass: str, d_ms: int, dest: int, key: str | None, body: bytes) -> str:
        """Hand in one message; returns the answer's line, or why there is none."""
        values = f"c={klass},d={d_ms}" + (f",k={key}" if key else "") + f",dest={dest}"
        words = [b"ENQUEUE", b"0" * 16, ref.encode(), values.encode(), body]
        command = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        answer = await self._ask(command)
        if answer == "closed":  # the relay closed the connection between two requests: once more on a new one
            answer = await self._ask(command)
        self.record.add(f"client hands in {ref} {values} ({len(body)} bytes): {answer}")
        return answer

    async def _ask(self, command: bytes) -> str:
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                if self.writer is None or self.writer.is_closing():
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                assert self.reader is not None
                self.writer.write(command)
                line = await self.reader.readline()
                if line.endswith(b"\r\n"):
                    return line.decode().strip()
                self.close()
                return "closed"
        except TimeoutError:
            self.close()
            return "no answer"
        except OSError:
            self.close()
            return "closed"

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def free_port() -> int:
    """A port below the range for outgoing connections that is free now."""
    for _ in range(100):
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", port))
                return port
    raise CannotRunError("no free port")


def run_command() -> str:
    """The command of the deploy file that starts one relay."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Relay:
    """One relay: its folder and addresses, and the processes that run it one after another."""

    def __init__(
        self, record: Record, folder: Path, platform: Platform, settings: dict[str, Any], name: str = "n1", at: str = ""
    ) -> None:
        self.record = record
        self.folder = folder / name
        self.folder.mkdir()
        self.name = name
        self.at = at  # the platform's address as this relay sees it, if not the platform's own
        self.platform = platform
        self.settings = settings
        self.port = free_port()
        self.state = self.folder / "state"
        self.state.mkdir()
        self.config = self.folder / "config.json"
        self.log = self.folder / "relay.log"
        self.processes: list[asyncio.subprocess.Process] = []

    def configure(self, platform: Platform | None = None, disk_mb: float = 3.0) -> None:
        """Write the configuration, with the list as it stands and, from now on, another platform if one is named."""
        self.platform = platform or self.platform
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.at or self.platform.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": disk_mb},
            "known": self.platform.listing(),
            "settings": self.settings,
        }
        spare = self.config.with_suffix(".new")
        spare.write_text(json.dumps(config))
        spare.rename(self.config)

    async def spawn(self, ops: int = 0) -> asyncio.subprocess.Process:
        """Start a process by the deploy file's command, with a private empty TMPDIR."""
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": self.at or self.platform.address,
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.config),
            "TMPDIR": tempfile.mkdtemp(dir=self.folder),
        }
        for name in ("RELAY_OPTIONS", "RELAY_OPS"):
            environment.pop(name, None)
        if ops:
            environment["RELAY_OPS"] = f"127.0.0.1:{ops}"
        with self.log.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run_command(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    async def start(self, ops: int = 0) -> asyncio.subprocess.Process:
        """Start a process, and wait until it answers PING."""
        process = await self.spawn(ops)
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if process.returncode is not None:
                raise CannotRunError(f"the relay ended with status {process.returncode}: {self.log_tail()}")
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    pong = await reader.readline()
                    writer.transport.abort()
                if pong == b"+PONG\r\n":
                    self.record.add(f"relay {self.name} answers PING")
                    return process
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRunError(f"the relay is not ready within 30 s: {self.log_tail()}")

    async def operator(self, ops: int, line: str) -> str:
        """One call of the staff; returns the answer's first line, '' if there is none."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", ops)
                writer.write(line.encode() + b"\n")
                answer = (await reader.readline()).decode().strip()
                writer.transport.abort()
                return answer
        except (OSError, TimeoutError):
            return ""

    async def upgrade(self, old: asyncio.subprocess.Process, ops: int) -> asyncio.subprocess.Process:
        """Replace the process as the page on operators' days has it; returns the new one."""
        self.record.add("upgrade: the new process is started")
        new = await self.spawn(ops)
        end = time.monotonic() + 6
        while not (await self.operator(ops, "HEALTH")).startswith("+OK"):
            if new.returncode is not None or time.monotonic() > end:
                raise CannotRunError(f"the new process does not say yes: {self.log_tail()}")
            await asyncio.sleep(0.02)
        self.record.add("upgrade: the new process says yes; SIGTERM to the old one")
        with contextlib.suppress(ProcessLookupError):
            old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(3.7):
                await old.wait()
        except TimeoutError:
            old.kill()
        return new

    async def kill(self, process: asyncio.subprocess.Process) -> None:
        """SIGKILL, and wait for the end."""
        self.record.add(f"SIGKILL to relay {self.name}")
        process.kill()
        await process.wait()

    def log_tail(self) -> str:
        """The last lines of the log."""
        return " / ".join(self.log.read_text(errors="replace").splitlines()[-4:]) if self.log.exists() else ""

    async def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: the example of the wire page, with other classes and the named changes."""
    base: dict[str, Any] = {
        "azs": ["media-block", "archive-block"],
        "balancers": 2,
        "classes": classes,
        "clients": {"marksRetry": False},
        "discovery": "subscribe",
        "family": "deliver",
        "familyInfo": {
            "callsOut": 32,
            "decay": "even",
            "feeByZone": [0.0, 0.03],
            "kindApart": [True, True, False],
            "perCall": [1, 1, 1],
            "refusedPrice": 0.0,
        },
        "kinds": ["tv-channels", "news-portals", "local-clubs"],
        "limits": {
            "cancel": True,
            "connIdle": 10 * SECOND,
            "connectTimeout": SECOND,
            "maxRetryAfter": 2 * SECOND,
            "mostHeld": 352,
            "mostTries": 6,
            "peers": False,
            "probes": True,
            "retryAfter": False,
            "secondCopies": False,
        },
        "loadReport": {"fields": ["x0", "x1"], "via": "off"},
        "overShareWorth": 0.1,
        "prices": {},
        "rules": {
            "answerSlack": 20_000_000,
            "askEvery": 10 * SECOND,
            "drainGrace": SECOND,
            "fall": 3 * SECOND,
            "fallMultiple": 2.0,
            "rampTime": 10 * SECOND,
            "startCapacity": 0.18,
        },
        "tenants": [],
        "tick": 5_000_000,
        "weightSource": "off",
        "zone": 0,
    }
    for name, value in changes.items():
        base[name] = {**base[name], **value} if isinstance(value, dict) else value
    return base


def message_class(name: str, idempotency: str, aim_s: float, deadline_s: float, **more: Any) -> dict[str, Any]:
    """A class of message for the settings."""
    return {
        "name": name,
        "aim": int(aim_s * SECOND),
        "deadline": int(deadline_s * SECOND),
        "worth": 1.0,
        "lateWorth": 0.3,
        "idempotency": idempotency,
        "keyScope": "all",
        "repeatWindow": 12 * SECOND,
        "stream": False,
        **more,
    }


Play = Callable[[Record, Path, bool], Awaitable[list[str]]]


def main(play: Play, folder: Path) -> None:
    """Run a case: exit with 1 if it names broken rules, 0 if it names none, 2 if it could not be played."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as scratch:
            broken = asyncio.run(asyncio.wait_for(play(record, Path(scratch), trouble), 110))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record.add(f"BROKEN: {line}")
    record.add(f"{len(broken)} breaks of the rule")
    print("\n".join([*broken[:5], f"{len(broken)} breaks of the rule"]))
    sys.exit(1 if broken else 0)
