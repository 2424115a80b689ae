"""Messages of leases as signed datagrams. No I/O.

The head is that of ``garnetrelay/fleet/signing.py`` with the magic "GL"; the body is a MessagePack array that begins with
the message's name. What is wrong with a datagram is told by one word, and nothing of it is used. Whether a request was
seen before is not decided here: the decisions number them.
"""

from __future__ import annotations

from typing import Any

import msgspec

from garnetrelay.fleet.leases.messages import Acquire, Answer, Message, Records, Release
from garnetrelay.fleet.signing import HEAD, Refused, Signing

MAGIC = b"GL"
VERSION = 1
CONTEXT = b"garnetrelay leases"
MOST_DATAGRAM = 1200  # bytes, head and all: fits an IPv6 packet of the least MTU (RFC 8200, section 5)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)


class Codec(Signing):
    """Messages to datagrams and back."""

    def __init__(self, secrets: list[bytes]) -> None:
        super().__init__(MAGIC, (VERSION,), secrets, CONTEXT)

    def encode(self, message: Message) -> bytes:
        """One datagram of at most ``MOST_DATAGRAM`` bytes: what does not fit is left out, see ``fitted``."""
        return self.sign(_encoder.encode(fitted(message)), VERSION)

    def decode(self, data: bytes) -> Message:
        """The message; Refused with a cause."""
        _, body = self.open(data, MOST_DATAGRAM)
        try:
            message: Message = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise Refused("malformed") from None
        return message


def fitted(message: Message) -> Message:
    """The message, with no more entries than one datagram takes.

    An entry that is left out counts as lost on the way, which each side has to stand anyhow: what was not asked for or
    not answered is asked again. Records name the partition from which to go on.
    """
    body_room = MOST_DATAGRAM - HEAD
    excess = len(_encoder.encode(message)) - body_room
    while excess > 0:
        message = _shorter(message, excess)
        excess = len(_encoder.encode(message)) - body_room
    return message


def _shorter(message: Message, excess: int) -> Message:
    """Without some of its last entries, as many as take the excess (bytes); one stays, none would say something else."""
    match message:
        case Acquire(grants=[_, _, *_]) | Release(grants=[_, _, *_]):
            return msgspec.structs.replace(message, grants=_without_last(message.grants, excess))
        case Answer(refused=[_, _, *_]):  # first: a refusal changes nothing, the asker's own patience does as well
            return msgspec.structs.replace(message, refused=_without_last(message.refused, excess))
        case Answer(granted=[_, _, *_]):
            return msgspec.structs.replace(message, granted=_without_last(message.granted, excess))
        case Records(records=[_, _, *_]):
            kept = _without_last(message.records, excess)
            return msgspec.structs.replace(message, records=kept, following=message.records[len(kept)].partition)
    raise ValueError(f"{type(message).__name__} does not fit a datagram")


def _without_last(entries: list[Any], excess: int) -> list[Any]:
    kept = len(entries)
    while kept > 1 and excess > 0:
        kept -= 1
        excess -= len(_encoder.encode(entries[kept]))
    return entries[:kept]
