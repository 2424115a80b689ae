"""Starts the relay with the deploy file's command and checks that it answers PING and exits on SIGTERM."""

from __future__ import annotations

import json
import os
import select
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

CONFIG = {
    "seed": "1",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "balancers": 1,
        "discovery": "subscribe",
        "classes": [{"name": "notice", "aim": 10**9, "deadline": 8 * 10**9, "idempotency": "retryable"}],
        "familyInfo": {"callsOut": 4},
        "rules": {"fall": 3 * 10**9, "fallMultiple": 2.0, "rampTime": 10**10, "startCapacity": 0.2},
        "limits": {"mostHeld": 10, "mostTries": 6, "connectTimeout": 10**9, "connIdle": 10**10},
    },
}
TIMEOUT_S = 30.0  # long enough for a start on a busy machine


def ping(port: int) -> bytes:
    end = time.monotonic() + TIMEOUT_S
    while True:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                return client.recv(100)
        except ConnectionRefusedError:
            if time.monotonic() > end:
                raise
            select.select([], [], [], 0.05)


def main() -> int:
    with socket.socket() as free_port, socket.socket() as unresponsive, tempfile.TemporaryDirectory() as folder:
        free_port.bind(("127.0.0.1", 0))
        port = free_port.getsockname()[1]
        free_port.close()
        unresponsive.bind(("127.0.0.1", 0))
        discovery = f"127.0.0.1:{unresponsive.getsockname()[1]}"
        path = Path(folder, "config.json")
        path.write_text(json.dumps({**CONFIG, "discovery": discovery}))
        environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(path),
            "RELAY_STATE": folder,
            "RELAY_LISTEN": f"127.0.0.1:{port}",
            "RELAY_DISCOVERY": discovery,
        }
        relay = subprocess.Popen(["/bin/sh", "-c", sys.argv[1]], env=environment)
        try:
            answer = ping(port)
            relay.terminate()
            status = relay.wait(TIMEOUT_S)
        finally:
            relay.kill()
    print(f"relay answered {answer!r} and exited with status {status}")
    return 0 if answer == b"+PONG\r\n" and status == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
