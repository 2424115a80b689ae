"""What two processes say to each other as a relay passes from one to the other, and who owns it when. No I/O.

A frame is a length (4 bytes, big-endian), a count of descriptors that come with it (4 bytes), and a MessagePack array
that begins with the frame's kind. The version is agreed first: the new process names those that it speaks.

    new  HELLO         old  STATE (claim, listener), CLIENTS, IDLE, CALLS in any number, END
    new  TAKEN         old  EXCLUDE, answered by DONE, as often as staff call the old process
    new  BYE           it stops as asked: what ends behind that is no failure
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import msgspec

VERSION = 1
HEAD = struct.Struct(">II")
MOST_FRAME = 64 << 20  # bytes; the list of hosts and what is known of them make most of it
MOST_DESCRIPTORS = 64  # in one frame; Linux takes 253


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """The new process can read the configuration, and asks for the relay."""

    versions: list[int]


class Refused(msgspec.Struct, array_like=True, tag="refused"):
    """It does not get it: it ends, and the old one serves on."""

    why: str


class Endpoint(msgspec.Struct, array_like=True):
    """A line of the list of hosts."""

    name: str
    zone: int
    kind: int
    dest: int
    availability: str
    rate: float
    host: str
    port: int


class State(msgspec.Struct, array_like=True, tag="state"):
    """All that stands in no file and is no connection. With it come the claim on the folder and the listener."""

    index: int
    discovery: str
    endpoints: list[Endpoint]
    delisted: list[str]
    pacer_snapshot: dict[str, Any]
    fleet: dict[str, Any] | None = None  # this relay as a member: the new process goes on as it


class Client(msgspec.Struct, array_like=True):
    """A client's connection: what has come of its next command, and whether it has ever asked."""

    raw: bytes
    has_sent_command: bool


class Clients(msgspec.Struct, array_like=True, tag="clients"):
    """With a descriptor for each."""

    clients: list[Client]


class Idle(msgspec.Struct, array_like=True):
    """A connection to a host that may carry a call."""

    name: str
    host: str
    port: int


class IdleHosts(msgspec.Struct, array_like=True, tag="idle"):
    """With a descriptor for each."""

    hosts: list[Idle]


class Out(msgspec.Struct, array_like=True):
    """A call that is written whole, and has no answer yet. Times are nanoseconds of the monotonic clock."""

    ref: str
    name: str
    host: str
    port: int
    zone: int
    started: int
    stop_at: int
    used: bool


class Calls(msgspec.Struct, array_like=True, tag="calls"):
    """With a descriptor for each."""

    calls: list[Out]


class End(msgspec.Struct, array_like=True, tag="end"):
    """That was all: the new process owns it."""


class Taken(msgspec.Struct, array_like=True, tag="taken"):
    """The new process serves."""


class Exclude(msgspec.Struct, array_like=True, tag="exclude"):
    """Staff called the old process."""

    host: str
    out: bool


class Done(msgspec.Struct, array_like=True, tag="done"):
    """It is in force, or why not."""

    error: str = ""


class Bye(msgspec.Struct, array_like=True, tag="bye"):
    """The new process stops as it was told to."""


Frame = Hello | Refused | State | Clients | IdleHosts | Calls | End | Taken | Exclude | Done | Bye

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Frame)


class ProtocolError(ValueError):
    """The other side says what can't be understood."""


def encode(frame: Frame, descriptors: int = 0) -> tuple[bytes, bytes]:
    """A frame's head, which the descriptors go with, and its body."""
    body = _encoder.encode(frame)
    return HEAD.pack(len(body), descriptors), body


def lengths(head: bytes) -> tuple[int, int]:
    """Of the body, and the count of descriptors; ProtocolError where they can't be."""
    length, descriptors = HEAD.unpack(head)
    if length > MOST_FRAME or descriptors > MOST_DESCRIPTORS:
        raise ProtocolError(f"a frame of {length} bytes and {descriptors} descriptors")
    return length, descriptors


def decode(body: bytes) -> Frame:
    """A frame; ProtocolError where it can't be understood."""
    try:
        frame: Frame = _decoder.decode(body)
        return frame
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from None


class Owner(Enum):
    """Whose the relay is."""

    OLD = auto()
    NEW = auto()


class Step(Enum):
    """What the old process does next."""

    SERVE = auto()  # as if nothing had been
    GIVE = auto()
    REFUSE = auto()
    WAIT = auto()
    ANSWER_STAFF = auto()  # it has nothing else any more
    START_ANEW = auto()  # from the folder, as after a kill
    END_OTHER = auto()  # the new process first, then as START_ANEW
    END = auto()


@dataclass(slots=True)
class SenderState:
    """The old process's side: told what happens, it says whose the relay is and what to do."""

    owner: Owner = Owner.OLD
    taken: bool = False
    over: bool = False

    def hello(self, versions: list[int], ready: bool) -> Step:
        """The new process asks. ``ready``: this one is not stopping, and its folder takes records."""
        return Step.GIVE if VERSION in versions and ready else Step.REFUSE

    def given(self) -> Step:
        """All has been sent, or a part: from the freeze on nothing here may decide or write."""
        self.owner = Owner.NEW
        return Step.WAIT

    def on_taken(self) -> Step:
        """The new process serves: only staff's calls are left to this one."""
        self.taken = True
        return Step.ANSWER_STAFF

    def on_bye(self) -> Step:
        """The new process stops as it was told to: this one may end."""
        self.over = True
        return Step.END

    def lost(self) -> Step:
        """The other side is gone, or says what can't be understood."""
        if self.owner is Owner.OLD:
            return Step.SERVE
        return Step.END if self.over else Step.START_ANEW

    def overdue(self) -> Step:
        """It has not said for long that it serves."""
        if self.owner is Owner.OLD:
            return Step.SERVE
        return Step.END if self.taken else Step.END_OTHER

    def stop(self) -> Step:
        """This process is told to end."""
        return Step.SERVE if self.owner is Owner.OLD else Step.END


class Turn(Enum):
    """What the new process does next."""

    READ = auto()  # the next frame
    TAKE_UP = auto()  # all is here, and it is ours
    FROM_FOLDER = auto()  # drop what has come, and start as if nobody had served
    SERVE = auto()


@dataclass(slots=True)
class ReceiverState:
    """The new process's side. What has come before END is not ours: the old process may still be the owner, or
    nobody, and then the folder is."""

    owner: Owner = Owner.OLD
    has_state: bool = False

    def heard(self, frame: Frame, descriptors: int) -> Turn:
        """A frame has come, with so many descriptors."""
        if isinstance(frame, End):
            if not self.has_state:
                return Turn.FROM_FOLDER
            self.owner = Owner.NEW
            return Turn.TAKE_UP
        if isinstance(frame, State):
            if self.has_state or descriptors != 2:
                return Turn.FROM_FOLDER
            self.has_state = True
            return Turn.READ
        counts = {Clients: "clients", IdleHosts: "hosts", Calls: "calls"}
        listed = counts.get(type(frame))
        if not self.has_state or listed is None or len(getattr(frame, listed)) != descriptors:
            return Turn.FROM_FOLDER
        return Turn.READ

    def lost(self) -> Turn:
        """The old process is gone, silent, or says what can't be understood."""
        return Turn.SERVE if self.owner is Owner.NEW else Turn.FROM_FOLDER


def bears(limit: int, old: int, new: int, held: int) -> bool:
    """Whether a limit of memory bears both processes: what each has by now, and what is held once more (bytes)."""
    return old + new + held <= limit
