"""Claims: what one relay states about another, and which of two claims takes precedence. No I/O.

A member is a name in a *life*: a number that its state folder counts up. All claims about one name are ordered, so
that relays that have received the same claims hold the same view, whatever the order of arrival:

1. The later life wins; of one life the higher process number (two processes may claim the same life, and exactly one
   of them has to win).
2. Within a life, a final claim (failed, left) wins over any other: a life that has failed or left never comes back.
3. Of claims that are not final the higher incarnation wins, then suspected over alive.

A live relay that learns that it was declared failed continues in its next life. `born` is the life in which its
process started: if it is lower than the life, the same process has returned and its state is not new.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

MAX_LIFE = (1 << 40) - 1
MAX_INCARNATION = (1 << 31) - 1
MAX_NAME_BYTES = 64  # names are printable ASCII
MAX_ZONE = 255  # one byte or two on the wire
UNKNOWN_ZONE = 0

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES, pattern="^[!-~]+$")]
NameOrNone = Annotated[str, Meta(max_length=MAX_NAME_BYTES, pattern="^[!-~]*$")]
Life = Annotated[int, Meta(ge=1, le=MAX_LIFE)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Process = Annotated[int, Meta(ge=0, lt=1 << 32)]
Host = Annotated[str, Meta(min_length=1, max_length=45, pattern="^[0-9a-fA-F.:]+$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
FrameVersion = Annotated[int, Meta(ge=1, le=255)]
Zone = Annotated[int, Meta(ge=UNKNOWN_ZONE, le=MAX_ZONE)]


class Status(IntEnum):
    """The claimed status of a life."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class SocketAddress(NamedTuple):
    """The IP address and port where a member listens."""

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
    """A statement of one member about another, or about itself."""

    name: Name
    life: Life
    process: Process  # random number drawn when the process starts
    born: Life  # the life in which that process started
    incarnation: Incarnation
    status: Status
    host: Host
    port: Port
    max_version: FrameVersion  # the highest frame version that it reads
    by: NameOrNone = ""  # the member that made the claim about another; empty if the member speaks for itself
    # Last and with a default: relays of earlier versions omit it when writing and skip it when reading.
    zone: Zone = UNKNOWN_ZONE  # machines of one zone may fail together

    @property
    def identity(self) -> Identity:
        """The life and the process that the claim is about."""
        return Identity(self.life, self.process)

    @property
    def address(self) -> SocketAddress:
        """The member's address according to this claim."""
        return SocketAddress(self.host, self.port)

    @property
    def final(self) -> bool:
        """Whether the life has ended: failed or left."""
        return self.status >= Status.FAILED

    @property
    def rank(self) -> tuple[int, int, int, int, int]:
        """Sort key: of two claims about one name the one with the greater rank takes precedence."""
        if self.status >= Status.FAILED:
            return self.life, self.process, 1, self.status, self.incarnation
        return self.life, self.process, 0, self.incarnation, self.status

    def with_status(self, status: Status, by: str, incarnation: int | None = None) -> Claim:
        """Returns a claim about the same life with another status."""
        return msgspec.structs.replace(
            self, status=status, by=by, incarnation=self.incarnation if incarnation is None else incarnation
        )

    def size(self) -> int:
        """Returns its encoded size in a frame, in bytes."""
        return len(_encoder.encode(self))

    def describe(self) -> str:
        """Returns a description for log lines."""
        by = f" by {self.by}" if self.by else ""
        return f"{self.name} life {self.life}.{self.incarnation} {self.status.name.lower()}{by}"
