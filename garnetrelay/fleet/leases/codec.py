"""Messages of leases as signed datagrams. No I/O.

The head is that of ``garnetrelay/fleet/signing.py`` with the magic "GL"; the body is a MessagePack array that begins with
the message's name. What is wrong with a datagram is told by one word, and nothing of it is used. Whether a request was
seen before is not decided here: the decisions number them.
"""

from __future__ import annotations

from typing import Any

import msgspec

from garnetrelay.fleet.leases.messages import Message
from garnetrelay.fleet.signing import HEADER_BYTES, FrameRefusedError, Signing

MAGIC = b"GL"
VERSION = 1
CONTEXT = b"garnetrelay leases"
MAX_DATAGRAM_BYTES = 1200  # bytes, head and all: fits an IPv6 packet of the least MTU (RFC 8200, section 5)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)


class Codec(Signing):
    """Messages to datagrams and back."""

    def __init__(self, secrets: list[bytes]) -> None:
        super().__init__(MAGIC, (VERSION,), secrets, CONTEXT)

    def encode(self, message: Message) -> bytes:
        """One datagram; ValueError where it does not fit one, which no message of the stated bounds does."""
        body = _encoder.encode(message)
        if len(body) > MAX_DATAGRAM_BYTES - HEADER_BYTES:
            raise ValueError(f"{type(message).__name__} takes {len(body)} bytes")
        return self.sign(body, VERSION)

    def decode(self, data: bytes) -> Message:
        """The message; FrameRefusedError with a cause."""
        _, body = self.open(data, MAX_DATAGRAM_BYTES)
        try:
            message: Message = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise FrameRefusedError("malformed") from None
        return message
