"""Clients that overload a relay: ``python -m benchmarks.hostile_clients KIND PORT SECONDS CONNECTIONS``.

Each connection sends at full speed what its kind says, and reads the answers. A kind that ends with silence keeps its
connections open until the end of the run.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections.abc import Iterator

MAX_READ_BYTES = 1 << 18
BATCH_BYTES = 1 << 16
CONNECT_S = 1.0  # for all connections to be accepted
ROUNDS = 3  # of kinds that send one command on each connection


def command(*words: bytes) -> bytes:
    """A command as RESP2 has it."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def enqueue(ref: bytes, values: bytes, body: bytes = b"x") -> bytes:
    return command(b"ENQUEUE", b"0" * 16, ref, values, body)


def endless(name: str, connection: int) -> Iterator[bytes]:
    """The commands of a kind that never ends, one after the other."""
    for n in itertools.count():
        label = b"%d-%d" % (connection, n)
        match name:
            case "ping":
                yield command(b"PING")
            case "unknown":
                yield command(b"NO" + label)
            case "classes":
                yield enqueue(label, b"c=k%s,d=8000,dest=1" % label)
            case "destinations":
                yield enqueue(label, b"c=safe,d=8000,dest=%d" % (100_000 + n))
            case "ids":
                yield enqueue(label, b"c=safe,d=8000,dest=%d" % (n % 8))
            case "millisecond":
                yield enqueue(label, b"c=safe,d=1,dest=%d" % (n % 8))
            case "keys":
                yield enqueue(label, b"c=keyed,d=8000,dest=%d,k=%s" % (n % 8, label))
            case "same":
                yield enqueue(b"same", b"c=unsafe,d=8000,dest=1")
            case "log":
                yield command(b"N" * 40 + label, b"y" * 60)
            case _:
                raise ValueError(f"no kind {name}")


ONCE = {
    "half-body": enqueue(b"half", b"c=safe,d=8000,dest=1", bytes(64_000))[:-10],
    "fields": enqueue(b"fields", b",".join(b"a%d=" % (n % 100) for n in range(12_000))) * 3,
    "words": b"*64\r\n" + b"$1\r\nx\r\n" * 63,
    "slow": b"*5\r\n$7\r\nENQ",
}


class Hostile:
    """One connection."""

    def __init__(self, kind: str, port: int, number: int) -> None:
        self.commands = iter(()) if kind in ONCE else endless(kind, number)
        self.buffer = ONCE.get(kind, b"")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))

    def refill(self) -> None:
        while len(self.buffer) < BATCH_BYTES and (following := next(self.commands, None)) is not None:
            self.buffer += following

    def on_ready(self, events: int) -> bool:
        """Write and read; False once the relay has closed the connection."""
        try:
            if events & selectors.EVENT_READ and not self.socket.recv(MAX_READ_BYTES):
                return False
            if events & selectors.EVENT_WRITE:
                self.refill()
                self.buffer = self.buffer[self.socket.send(self.buffer) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True


def run(kind: str, port: int, seconds: float, count: int) -> None:
    """Send for a number of seconds on a number of connections at once."""
    rounds = ROUNDS if kind in ONCE else 1
    for _ in range(rounds):
        run_round(kind, port, seconds / rounds, count)


def run_round(kind: str, port: int, seconds: float, count: int) -> None:
    """Connect, send for a number of seconds, and close."""
    end = time.monotonic() + seconds
    with selectors.DefaultSelector() as selector:
        both = selectors.EVENT_READ | selectors.EVENT_WRITE
        for number in range(count):
            hostile = Hostile(kind, port, number)
            selector.register(hostile.socket, both, hostile)
        if kind in ONCE:
            time.sleep(CONNECT_S)  # then all send at once
        while time.monotonic() < end:
            for key, events in selector.select(0.1):
                hostile = key.data
                alive = hostile.on_ready(events)
                if not alive:
                    selector.unregister(hostile.socket)
                    hostile.socket.close()
                elif kind in ONCE and not hostile.buffer:
                    selector.modify(hostile.socket, selectors.EVENT_READ, hostile)
        for key in list(selector.get_map().values()):
            key.data.socket.close()


if __name__ == "__main__":
    run(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4]))
