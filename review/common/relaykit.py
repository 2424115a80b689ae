"""Small stand-ins for a case: discovery and platform, partner hosts, clients, and a relay as a separate process.

All of them use loopback addresses and ports that the kernel picks. What they do follows the protocol page; where the
page is silent they behave like a sound server, client or platform. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
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
SECOND = 10**9
MS = 10**6
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEEP_LOG = Path(os.environ["KEEP_LOG"]) if os.environ.get("KEEP_LOG") else None  # where the relay's log is kept

# The settings of the example on the wire page, for one relay and two buildings.
SETTINGS: dict[str, Any] = {
    "azs": ["media-block", "archive-block"],
    "balancers": 2,
    "classes": [
        {
            "name": "clip-release",
            "aim": 2500 * MS,
            "deadline": 28 * SECOND,
            "idempotency": "dedup",
            "keyScope": "zone",
            "lateWorth": 0.3,
            "repeatWindow": 12 * SECOND,
            "stream": False,
            "worth": 1.0,
        },
        {
            "name": "match-state",
            "aim": SECOND,
            "deadline": 8 * SECOND,
            "idempotency": "retryable",
            "keyScope": "all",
            "lateWorth": 0.1,
            "repeatWindow": 5 * SECOND,
            "stream": False,
            "worth": 2.0,
        },
        {
            "name": "licence-fee",
            "aim": 2 * SECOND,
            "deadline": 28 * SECOND,
            "idempotency": "fragile",
            "keyScope": "all",
            "lateWorth": 0.5,
            "repeatWindow": 5 * SECOND,
            "stream": False,
            "worth": 5.0,
        },
    ],
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
    "loadReport": {"fields": ["x0", "x1"], "via": "inline"},
    "me": 1,
    "overShareWorth": 0.1,
    "prices": {},
    "rules": {
        "answerSlack": 20 * MS,
        "askEvery": 10 * SECOND,
        "drainGrace": SECOND,
        "fall": 3 * SECOND,
        "fallMultiple": 2.0,
        "rampTime": 10 * SECOND,
        "startCapacity": 0.18,
    },
    "tenants": [],
    "tick": 5 * MS,
    "weightSource": "nominal",
    "zone": 0,
}


class Record:
    """Collects what was sent, answered and run, and writes it to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self.start = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Add one line with its time."""
        print(f"{time.monotonic() - self.start:8.3f} {text}", file=self.file, flush=True)


class Platform:
    """Discovery and the receiver of notices, at one address. ``answer_notices`` False: notices get no answer."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 1
        self.endpoints: dict[str, dict[str, Any]] = {}
        self.notices: dict[str, list[str]] = {}  # results by ref
        self.noticed_at: dict[str, float] = {}  # when the first notice of a ref was read
        self.watches: list[asyncio.Queue[bytes]] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def list_host(self, name: str, address: str, group: int, zone: str, kind: str, weight: float = 100.0) -> None:
        """List a host from the start."""
        self.endpoints[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": kind,
            "group": group,
            "status": "Ready",
            "weight": weight,
            "since_ms": 0,
        }

    def change(self, name: str, status: str) -> None:
        """Change a host's status, and tell all watches."""
        self.index += 1
        entry = {**self.endpoints[name], "status": status}
        if status == "Gone":
            del self.endpoints[name]
        else:
            self.endpoints[name] = entry
        self.record(f"discovery: {name} is {status}, version {self.index}")
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": [entry]}).encode() + b"\n"
        for watch in self.watches:
            watch.put_nowait(line)

    def whole(self) -> dict[str, Any]:
        """The whole list, in discovery's form."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                method, target, _, body = await read_request(reader)
                if method == "POST" and target == "/v1/notices":
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.notices.setdefault(notice["ref"], []).append(notice["result"])
                        self.noticed_at.setdefault(notice["ref"], time.monotonic())
                        self.record(f"platform: notice {line.decode()}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif target.startswith("/api/targets") and "follow=1" in target:
                    await self._watch(writer)
                    return
                elif target.startswith("/api/targets"):
                    whole = json.dumps(self.whole()).encode() + b"\n"
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
                else:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches.append(queue)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.whole()).encode() + b"\n"
        try:
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    line = b"\n"
        finally:
            self.watches.remove(queue)
            writer.close()


class Call:
    """One call that a host has read whole."""

    def __init__(self, ref: str, key: str, number: int) -> None:
        self.ref = ref
        self.key = key
        self.number = number  # among the calls of this ref at all hosts


Answer = Callable[["Host", Call], Awaitable[bytes | None]]


class Host:
    """A partner's host. ``answer`` returns the bytes of an answer, or None to close the connection without one."""

    def __init__(self, name: str, record: Record, answer: Answer | None = None) -> None:
        self.name = name
        self.record = record
        self.answer = answer or ok
        self.calls: list[Call] = []
        self.called_at: list[float] = []
        self.ran: dict[str, int] = {}  # how often the effect of a message took place
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                method, target, headers, _ = await read_request(reader)
                if method == "GET":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                ref = headers.get("x-request-id", "")
                call = Call(ref, headers.get("idempotency-key", ""), sum(one.ref == ref for one in self.calls))
                self.calls.append(call)
                self.called_at.append(time.monotonic())
                self.record(f"{self.name}: call {call.number + 1} of {ref}")
                answer = await self.answer(self, call)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()

    def run(self, call: Call) -> None:
        """The effect of a call takes place."""
        self.ran[call.ref] = self.ran.get(call.ref, 0) + 1
        self.record(f"{self.name}: {call.ref} has run ({self.ran[call.ref]})")


class Link:
    """A network link to an address, which can be cut: open connections stay open and silent, new ones don't come up."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.whole = asyncio.Event()
        self.whole.set()
        self._listener = socket.socket()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []

    async def start(self) -> None:
        """Listen."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def cut(self) -> None:
        """From now on nothing passes. The listener's queue is filled, so that the kernel drops further attempts."""
        self.whole.clear()
        asyncio.get_running_loop().remove_reader(self._listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def mend(self) -> None:
        """What was held up passes, and new connections come up."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.whole.set()
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            near, _ = self._listener.accept()
            task = asyncio.get_running_loop().create_task(self._carry(near))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(self, near: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            there, to_there = await asyncio.open_connection(host, int(port))
            here, to_here = await asyncio.open_connection(sock=near)
            await asyncio.wait(
                [asyncio.ensure_future(self._pass(here, to_there)), asyncio.ensure_future(self._pass(there, to_here))],
                return_when=asyncio.FIRST_COMPLETED,
            )
            to_there.close()
            to_here.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
            await self.whole.wait()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


async def ok(host: Host, call: Call) -> bytes:
    """Answer 200 after a short time, as a sound host does."""
    await asyncio.sleep(0.05)
    host.run(call)
    return OK


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Read an HTTP/1.1 request: method, target, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    method, target, _ = first.split(" ", 2)
    return method, target, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def command(*words: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def new_id() -> str:
    """A new id of a message."""
    return secrets.token_hex(8)


def enqueue(ref: str, klass: str, patience_ms: int, dest: int, key: str | None = None, body: bytes = b"x") -> bytes:
    """An ENQUEUE command."""
    values = f"c={klass},d={patience_ms}" + (f",k={key}" if key else "") + f",dest={dest}"
    return command(b"ENQUEUE", b"0" * 16, ref.encode(), values.encode(), body)


class Client:
    """A client's connection to the relay."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        """Open a connection."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    async def answer(self, timeout: float = 0.4) -> str:
        """The next answer; 'none' if there is none in time, 'closed' if the connection ends first."""
        try:
            line = await asyncio.wait_for(self.reader.readline(), timeout)
        except TimeoutError:
            return "none"
        except OSError:
            return "closed"
        return line.decode("latin-1").strip() or "closed"

    async def ask(self, request: bytes, timeout: float = 0.4) -> str:
        """Send a command and read its answer, for which a client waits 400 ms."""
        self.writer.write(request)
        return await self.answer(timeout)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Relay:
    """The real relay as a separate process, started by the deploy file's ``run``."""

    def __init__(
        self, folder: Path, platform: Platform, record: Record, name: str = "n0", at: str = "", **changes: Any
    ) -> None:
        """``at``: where the relay reaches the platform, if not directly. ``changes``: of the settings, by path."""
        self.record = record
        discovery = at or platform.address
        self.state = folder / f"state-{name}"
        self.state.mkdir()
        self.log = folder / f"{name}.log"
        # A loopback address of its own: until the relay listens, no other program's connection takes the port there.
        own = "127.%d.%d.%d" % (1 + secrets.randbelow(254), secrets.randbelow(256), 1 + secrets.randbelow(254))
        with socket.socket() as free:
            free.bind((own, 0))
            self.address = "%s:%d" % (own, free.getsockname()[1])
        settings = json.loads(json.dumps(SETTINGS))
        for path, value in changes.items():
            part = settings
            *outer, last = path.split("__")
            for one in outer:
                part = part[int(one) if isinstance(part, list) else one]
            part[last] = value
        config = {
            "name": name,
            "listen": self.address,
            "discovery": discovery,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.whole(),
            "settings": settings,
        }
        self.config = folder / f"{name}.json"
        self.config.write_text(json.dumps(config))
        self.environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("RELAY_")},
            "TMPDIR": str(folder),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RELAY_NAME": name,
            "RELAY_CONFIG": str(self.config),
            "RELAY_STATE": str(self.state),
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": discovery,
            "RELAY_LOG_LEVEL": "DEBUG",
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until it answers PING."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=self.environment, stdout=log, stderr=log
            )
        end = time.monotonic() + 30
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                client = await Client.connect(self.address)
                answer = await client.ask(command(b"PING"), 2.0)
                client.close()
                if answer == "+PONG":
                    self.record("relay: ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the relay did not come up")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record(f"relay: {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None


Case = Callable[[Path, Record, bool], Awaitable[list[str]]]


def main(case: Case, folder: Path) -> int:
    """Play a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that a case that is told to end ends its processes
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(trouble)}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            faults = asyncio.run(asyncio.wait_for(case(Path(temporary), record, trouble), 110))
    except (Exception, KeyboardInterrupt) as error:  # whatever it is, the case did not run
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return NOT_RUN
    for fault in faults:
        record(f"BROKEN: {fault}")
        print(f"BROKEN: {fault}")
    if not faults:
        record("the rule held")
        print("the rule held")
    return BROKEN if faults else HELD
