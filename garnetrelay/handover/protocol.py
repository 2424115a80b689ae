"""The messages between the two processes of a handover, and the state machines that decide who owns the relay. No I/O.

A frame is a length (4 bytes, big-endian), the number of descriptors that come with it (4 bytes), and a MessagePack array
that begins with the frame's kind. The version is agreed on first: the new process names those that it speaks.

    new  HELLO         old  STATE (claim, listener, and the state record if HELLO asks for it), CLIENTS, IDLE, CALLS in
                            any number, END
    new  TAKEN         old  EXCLUDE, answered by DONE, for each operator command that the old process receives
    new  BYE           the new process stops as it was told to: its end after that is no failure

LEARNED is not sent: the new process appends it to the state record (``state_record.py``).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import msgspec

VERSION = 1
HEAD = struct.Struct(">II")
MAX_FRAME_BYTES = 64 << 20  # most of it is the list of hosts and what the Pacer knows of them
MAX_DESCRIPTORS = 64  # in one frame; Linux accepts 253
STATE_DESCRIPTORS = (2, 3)  # that come with STATE: without and with the state record


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """The new process has read its configuration and asks for the relay."""

    versions: list[int]
    keeps_record: bool = False  # it appends to the state record; processes of before that ask for none


class Refused(msgspec.Struct, array_like=True, tag="refused"):
    """The request is refused: the new process ends, and the old one keeps serving."""

    reason: str


class Endpoint(msgspec.Struct, array_like=True):
    """An entry of the list of hosts."""

    name: str
    zone: int
    kind: int
    dest: int
    availability: str
    rate: float
    host: str
    port: int
    start_ms: int = 0  # when it last started, Unix time; 0: long ago, or told by a process that does not know


class State(msgspec.Struct, array_like=True, tag="state"):
    """All state that is neither in a file nor a connection. The claim on the folder and the listener come with it."""

    index: int
    discovery: str
    endpoints: list[Endpoint]
    delisted: list[str]
    pacer_snapshot: dict[str, Any]
    fleet: dict[str, Any] | None = None  # this relay's state as a member, which the new process continues


class Learned(msgspec.Struct, array_like=True, tag="learned"):
    """What the new process was told or has learned since the state or the previous frame of this kind."""

    index: int
    discovery: str
    whole: bool = False  # ``endpoints`` is the whole list; else these entries of it have changed
    endpoints: list[Endpoint] = msgspec.field(default_factory=list)
    destinations: list[dict[str, Any]] = msgspec.field(default_factory=list)  # as in the Pacer's snapshot


class ClientConnection(msgspec.Struct, array_like=True):
    """A client's connection: the bytes received of its next command, and whether it has sent any command yet."""

    raw: bytes
    has_sent_command: bool


class Clients(msgspec.Struct, array_like=True, tag="clients"):
    """Connections of clients, with a descriptor for each."""

    clients: list[ClientConnection]


class IdleConnection(msgspec.Struct, array_like=True):
    """A connection to a host that may carry a call."""

    name: str
    host: str
    port: int
    connected_ms: int = 0  # when it was established, Unix time; 0: unknown


class IdleHosts(msgspec.Struct, array_like=True, tag="idle"):
    """Idle connections to hosts, with a descriptor for each."""

    hosts: list[IdleConnection]


class CallInFlight(msgspec.Struct, array_like=True):
    """A call that is written in full and not yet answered. Times are nanoseconds of the monotonic clock."""

    ref: str
    name: str
    host: str
    port: int
    zone: int
    started: int
    stop_at: int
    used: bool
    connected_ms: int = 0  # when its connection was established, Unix time; 0: unknown


class Calls(msgspec.Struct, array_like=True, tag="calls"):
    """Calls in flight, with a descriptor for each."""

    calls: list[CallInFlight]


class End(msgspec.Struct, array_like=True, tag="end"):
    """Everything has been sent: the new process owns the relay."""


class Taken(msgspec.Struct, array_like=True, tag="taken"):
    """The new process serves."""


class Exclude(msgspec.Struct, array_like=True, tag="exclude"):
    """An operator command that the old process forwards."""

    host: str
    out: bool


class Done(msgspec.Struct, array_like=True, tag="done"):
    """The command is in effect, or the reason why not."""

    error: str = ""


class Bye(msgspec.Struct, array_like=True, tag="bye"):
    """The new process stops as it was told to."""


Frame = Hello | Refused | State | Learned | Clients | IdleHosts | Calls | End | Taken | Exclude | Done | Bye

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Frame)


class ProtocolError(ValueError):
    """A malformed frame."""


def encode(frame: Frame, descriptors: int = 0) -> tuple[bytes, bytes]:
    """A frame's head, which is sent with the descriptors, and its body."""
    body = _encoder.encode(frame)
    return HEAD.pack(len(body), descriptors), body


def lengths(head: bytes) -> tuple[int, int]:
    """The length of the body and the number of descriptors; ProtocolError if they exceed the limits."""
    length, descriptors = HEAD.unpack(head)
    if length > MAX_FRAME_BYTES or descriptors > MAX_DESCRIPTORS:
        raise ProtocolError(f"frame of {length} bytes with {descriptors} descriptors exceeds the limits")
    return length, descriptors


def decode(body: bytes) -> Frame:
    """A frame; ProtocolError if it is malformed."""
    try:
        frame: Frame = _decoder.decode(body)
        return frame
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from None


class Owner(Enum):
    """Which process owns the relay."""

    OLD = auto()
    NEW = auto()


class SenderStep(Enum):
    """What the old process does next."""

    SERVE = auto()  # as if no handover had been requested
    TRANSFER = auto()
    REFUSE = auto()
    WAIT = auto()
    SERVE_OPERATORS = auto()  # its only remaining task
    RESTART = auto()  # from the folder, as after a kill
    KILL_NEW_PROCESS = auto()  # then as RESTART
    END = auto()


@dataclass(slots=True)
class SenderState:
    """The old process's state machine: told what happens, it tracks who owns the relay and returns the next step."""

    owner: Owner = Owner.OLD
    taken: bool = False
    bye_received: bool = False

    def on_hello(self, versions: list[int], ready: bool) -> SenderStep:
        """The new process asks for the relay. ``ready``: this one is not stopping, and its folder accepts records."""
        return SenderStep.TRANSFER if VERSION in versions and ready else SenderStep.REFUSE

    def on_transfer(self) -> SenderStep:
        """The transfer begins, and may break off halfway: from here on this process may neither decide nor write."""
        self.owner = Owner.NEW
        return SenderStep.WAIT

    def on_taken(self) -> SenderStep:
        """The new process serves: only operator commands are left to this one."""
        self.taken = True
        return SenderStep.SERVE_OPERATORS

    def on_bye(self) -> SenderStep:
        """The new process stops as it was told to: this one may end."""
        self.bye_received = True
        return SenderStep.END

    def on_lost(self) -> SenderStep:
        """The other process is gone, or sent a malformed frame."""
        if self.owner is Owner.OLD:
            return SenderStep.SERVE
        return SenderStep.END if self.bye_received else SenderStep.RESTART

    def on_timeout(self) -> SenderStep:
        """The new process has sent nothing within the time limit."""
        if self.owner is Owner.OLD:
            return SenderStep.SERVE
        return SenderStep.END if self.taken else SenderStep.KILL_NEW_PROCESS

    def on_stop(self) -> SenderStep:
        """This process is told to end."""
        return SenderStep.SERVE if self.owner is Owner.OLD else SenderStep.END


class ReceiverStep(Enum):
    """What the new process does next."""

    READ = auto()  # the next frame
    TAKE_OVER = auto()  # everything has arrived, and this process owns it
    START_FROM_FOLDER = auto()  # drop what has arrived, and start as if no other process had served
    SERVE = auto()


@dataclass(slots=True)
class ReceiverState:
    """The new process's state machine. What arrives before END is not yet owned: the relay may still belong to the old
    process, or to none, and then only the folder counts."""

    owner: Owner = Owner.OLD
    has_state: bool = False

    def on_frame(self, frame: Frame, descriptors: int) -> ReceiverStep:
        """A frame has arrived with this number of descriptors."""
        if isinstance(frame, End):
            if not self.has_state:
                return ReceiverStep.START_FROM_FOLDER
            self.owner = Owner.NEW
            return ReceiverStep.TAKE_OVER
        if isinstance(frame, State):
            if self.has_state or descriptors not in STATE_DESCRIPTORS:
                return ReceiverStep.START_FROM_FOLDER
            self.has_state = True
            return ReceiverStep.READ
        counts = {Clients: "clients", IdleHosts: "hosts", Calls: "calls"}
        listed = counts.get(type(frame))
        if not self.has_state or listed is None or len(getattr(frame, listed)) != descriptors:
            return ReceiverStep.START_FROM_FOLDER
        return ReceiverStep.READ

    def on_lost(self) -> ReceiverStep:
        """The old process is gone, does not respond, or sent a malformed frame."""
        return ReceiverStep.SERVE if self.owner is Owner.NEW else ReceiverStep.START_FROM_FOLDER


def fits_memory(limit: int, old: int, new: int, pending: int) -> bool:
    """Whether a memory limit allows both processes: their current sizes, and a second copy of the pending messages
    (bytes)."""
    return old + new + pending <= limit
