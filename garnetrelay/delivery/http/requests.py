"""The HTTP/1.1 requests that are written to hosts. No I/O."""

from __future__ import annotations

import time

from garnetrelay.config.deployment import Address


def call_request(address: Address, ref: str, key: str | None, body: bytes, stop_at: int) -> bytes:
    """The HTTP request of a message's call. ``ref`` and ``key`` contain no spaces and no control characters: the
    front checks that before it accepts a message."""
    remaining_ms = max(1, (stop_at - time.monotonic_ns()) // 1_000_000)
    keyed = "" if key is None else f"Idempotency-Key: {key}\r\n"
    head = (
        f"POST /hook HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {ref}\r\n{keyed}"
        f"X-Timeout-Ms: {remaining_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def probe_request(address: Address, with_report: bool) -> bytes:
    path = "/-/load" if with_report else "/-/healthy"
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode("ascii")
