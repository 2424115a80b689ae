"""What one relay says of another, and which of two such words holds. No I/O.

A member is a name in a *life*: a number that its state folder counts up. All words of one name are ordered, so that
relays which have heard the same words hold the same view, in whatever order they came:

1. the later life; of one life the higher process number (two processes that claim one life: doubt has to end);
2. within a life, a final word (failed, left) over any other: a life that has failed or left never comes back;
3. of words that are not final the higher incarnation, then suspicion over being alive.

A relay that lives and hears itself called failed goes on in its next life. `born` is the life in which its process began:
where it stands below the life, the same process has come back, and what it knows is not new.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

MAX_LIFE = (1 << 40) - 1
MAX_INCARNATION = (1 << 31) - 1
MAX_NAME_BYTES = 64  # bytes: names are printable ASCII
MAX_ZONE = 255  # one byte or two on the wire
UNKNOWN_ZONE = 0

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES, pattern="^[!-~]+$")]
NameOrNone = Annotated[str, Meta(max_length=MAX_NAME_BYTES, pattern="^[!-~]*$")]
Life = Annotated[int, Meta(ge=1, le=MAX_LIFE)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Process = Annotated[int, Meta(ge=0, lt=1 << 32)]
Host = Annotated[str, Meta(min_length=1, max_length=45, pattern="^[0-9a-fA-F.:]+$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Speaks = Annotated[int, Meta(ge=1, le=255)]
Zone = Annotated[int, Meta(ge=UNKNOWN_ZONE, le=MAX_ZONE)]


class Status(IntEnum):
    """What is said of a life."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class SocketAddress(NamedTuple):
    """Where a member hears: an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class Identity(NamedTuple):
    """One life of a name; later ones compare greater."""

    life: int
    process: int


_encoder = msgspec.msgpack.Encoder()


class Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A word of one member on another, or on itself."""

    name: Name
    life: Life
    process: Process  # a number drawn at the process's start
    born: Life  # the life in which that process began
    incarnation: Incarnation
    status: Status
    host: Host
    port: Port
    speaks: Speaks  # the highest version of frames that it reads
    by: NameOrNone = ""  # who judged; empty where the member itself speaks
    # Last, with a default: relays of before leave it out, and skip it where they read it.
    zone: Zone = UNKNOWN_ZONE  # where it stands: machines of one zone may fail together

    @property
    def identity(self) -> Identity:
        """The life and the process that the word is on."""
        return Identity(self.life, self.process)

    @property
    def address(self) -> SocketAddress:
        """Where the member hears, by this word."""
        return SocketAddress(self.host, self.port)

    @property
    def final(self) -> bool:
        """Whether the life has ended: failed or left."""
        return self.status >= Status.FAILED

    @property
    def rank(self) -> tuple[int, int, int, int, int]:
        """Of two words on one name the one with the greater rank holds."""
        if self.status >= Status.FAILED:
            return self.life, self.process, 1, self.status, self.incarnation
        return self.life, self.process, 0, self.incarnation, self.status

    def judged(self, status: Status, by: str, incarnation: int | None = None) -> Claim:
        """The same life with another word on it."""
        return msgspec.structs.replace(
            self, status=status, by=by, incarnation=self.incarnation if incarnation is None else incarnation
        )

    def size(self) -> int:
        """Bytes that it takes in a frame."""
        return len(_encoder.encode(self))

    def said(self) -> str:
        """For people."""
        by = f" by {self.by}" if self.by else ""
        return f"{self.name} life {self.life}.{self.incarnation} {self.status.name.lower()}{by}"
