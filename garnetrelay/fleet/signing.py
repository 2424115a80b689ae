"""Signed frames: an HMAC keyed with a secret that all relays of the fleet share. No I/O.

    bytes 0-1 magic, 2 version, 3 number of the secret, 4-19 keyed digest (HMAC-SHA256, RFC 2104, its first 16 bytes, over
    context, version and body), then the body.

Each protocol has its own magic, versions and context, so a frame signed for one protocol is refused by another.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Container

HEADER_BYTES = 20
MIN_SECRET_BYTES = 16


class FrameRefusedError(ValueError):
    """Raised for a frame that is discarded; ``cause`` is one word for the metrics."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class Signing:
    """Signs bodies and verifies frames. The first secret signs; all secrets are accepted."""

    def __init__(self, magic: bytes, versions: Container[int], secrets: list[bytes], context: bytes = b"") -> None:
        self.signing = secrets[0]
        self.good = [(_number(secret), secret) for secret in secrets]
        self._magic = magic
        self._versions = versions
        self._context = context

    def sign(self, body: bytes, version: int) -> bytes:
        """Returns the body preceded by its signed header."""
        return b"%s%c%c%s%s" % (self._magic, version, self.good[0][0], self._digest(self.signing, version, body), body)

    def open(self, data: bytes, max_bytes: int) -> tuple[int, bytes]:
        """Verifies a frame of at most ``max_bytes`` bytes and returns its version and body. Raises FrameRefusedError
        with the cause."""
        if len(data) > max_bytes:
            raise FrameRefusedError("long")
        if len(data) <= HEADER_BYTES or data[:2] != self._magic:
            raise FrameRefusedError("foreign")
        version = data[2]
        if version not in self._versions:
            raise FrameRefusedError("version")
        body = data[HEADER_BYTES:]
        if not any(
            number == data[3] and hmac.compare_digest(self._digest(secret, version, body), data[4:HEADER_BYTES])
            for number, secret in self.good
        ):
            raise FrameRefusedError("secret")
        return version, body

    def _digest(self, secret: bytes, version: int, body: bytes) -> bytes:
        return hmac.digest(secret, self._context + b"%c" % version + body, "sha256")[:16]


def _number(secret: bytes) -> int:
    return hashlib.sha256(b"garnetrelay fleet" + secret).digest()[0]
