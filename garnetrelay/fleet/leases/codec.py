"""Encodes lease messages as signed datagrams and decodes them. No I/O.

The header is that of ``garnetrelay/fleet/signing.py`` with the magic "GL"; the body is a MessagePack array that begins
with the message's tag. A datagram that can't be verified or decoded is dropped entirely, and the error names the cause
in one word. The codec does not detect replayed requests: requests are numbered, and the controller ignores old numbers.
"""

from __future__ import annotations

from typing import Any

import msgspec

from garnetrelay.fleet.leases.messages import Message
from garnetrelay.fleet.signing import HEADER_BYTES, FrameRefusedError, Signing

MAGIC = b"GL"
VERSION = 1
CONTEXT = b"garnetrelay leases"
MAX_DATAGRAM_BYTES = 1200  # including the header: fits an IPv6 packet of the minimum MTU (RFC 8200, section 5)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)


class Codec(Signing):
    """Converts lease messages to datagrams and back."""

    def __init__(self, secrets: list[bytes]) -> None:
        super().__init__(MAGIC, (VERSION,), secrets, CONTEXT)

    def encode(self, message: Message) -> bytes:
        """Returns a signed datagram.

        Raises ValueError if the message does not fit into one datagram, which can't happen within the limits that
        ``messages.py`` sets.
        """
        body = _encoder.encode(message)
        if len(body) > MAX_DATAGRAM_BYTES - HEADER_BYTES:
            raise ValueError(f"{type(message).__name__} takes {len(body)} bytes")
        return self.sign(body, VERSION)

    def decode(self, data: bytes) -> Message:
        """Returns the message of a datagram; raises FrameRefusedError with the cause if it is not valid."""
        _, body = self.open(data, MAX_DATAGRAM_BYTES)
        try:
            message: Message = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise FrameRefusedError("malformed") from None
        return message
