"""What relays and controllers send each other, and what their decisions ask to be done. No I/O.

All times are nanoseconds. Partitions are numbers from 0; a session is one process of one relay.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from garnetrelay.fleet.members.claims import Name, NameOrNone
from garnetrelay.fleet.partitions.hashing import MAX_PARTITIONS

MAX_EPOCH = (1 << 48) - 1
MAX_CONTROLLERS = 9
MAX_EPOCH_STEP = 1 << 20  # above what a controller knows: one request can't use up all epochs of a partition
MAX_GRANTS = 48  # in one message: 48 refusals of the largest numbers take 1,056 bytes of a datagram's 1,200
MAX_RECORDS = 48  # in one message; names of the greatest length allow 12, see ``MAX_RECORDS_BYTES``
MAX_RECORD_OVERHEAD_BYTES = 24  # bytes of a record at most, without the relay's name
MAX_RECORDS_BYTES = 1_050  # bytes of all records in one message

PartitionNumber = Annotated[int, Meta(ge=0, lt=MAX_PARTITIONS)]
Epoch = Annotated[int, Meta(ge=0, le=MAX_EPOCH)]
Number32 = Annotated[int, Meta(ge=0, lt=1 << 32)]  # ``terms``: a print of the settings on which safety rests
Number62 = Annotated[int, Meta(ge=0, lt=1 << 62)]
Number64 = Annotated[int, Meta(ge=0)]  # MessagePack carries no more than 64 bits, and msgspec no such bound
Duration = Annotated[int, Meta(ge=0, lt=1 << 50)]
ControllerNumber = Annotated[int, Meta(ge=0, lt=MAX_CONTROLLERS)]


class Session(NamedTuple):
    """One process of one relay; who holds a grant."""

    relay: Name
    number: Number62


class Grant(NamedTuple):
    """A partition in an epoch."""

    partition: PartitionNumber
    epoch: Epoch


class Refusal(NamedTuple):
    """Why a controller did not grant a partition: what it has on record, and how long that may stand."""

    partition: PartitionNumber
    epoch: Epoch  # the highest that it knows
    wait: Duration  # until it may grant the partition, as far as it can tell; 0: at once, in a higher epoch


class Record(NamedTuple):
    """What a controller has on record of a partition. ``relay`` is empty where nobody holds it."""

    partition: PartitionNumber
    epoch: Epoch
    relay: NameOrNone
    session: Number62

    def size(self) -> int:
        """Bytes that it takes at most in a message (MessagePack)."""
        return MAX_RECORD_OVERHEAD_BYTES + len(self.relay)


class Acquire(msgspec.Struct, tag="acquire", array_like=True, frozen=True):
    """A relay asks for partitions, each in an epoch.

    The controller's lease for the session runs anew from here, but the relay may count only the grants that the answer
    names from this request: others may have been lost to another session since its last renewal (no digest here).
    """

    session: Session
    number: Number62  # rises with each request of the session to this controller
    boot: Number62  # of the controller, as the relay knows it; 0: not yet known
    fingerprint: Number32
    grants: Annotated[list[Grant], Meta(max_length=MAX_GRANTS)]


class Renew(msgspec.Struct, tag="renew", array_like=True, frozen=True):
    """A relay extends its lease on all that the controller has granted it."""

    session: Session
    number: Number62
    boot: Number62
    fingerprint: Number32
    count: Annotated[int, Meta(ge=0, le=MAX_PARTITIONS)]
    digest: Number64  # of the grants, see ``digest.py``


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """A relay gives partitions up; an empty list: all, it ends."""

    session: Session
    number: Number62
    boot: Number62
    grants: Annotated[list[Grant], Meta(max_length=MAX_GRANTS)]


class Answer(msgspec.Struct, tag="answer", array_like=True, frozen=True):
    """A controller's answer to any of the three."""

    controller: ControllerNumber
    boot: Number62
    number: Number62  # of the request
    accepted: bool  # done; after an acquire or renewal the lease runs on from the receipt. False: not ready, see ``boot``
    matches: bool  # False: a renewal whose count and digest are not those on record; it extends nothing
    granted: Annotated[list[Grant], Meta(max_length=MAX_GRANTS)]  # of a renewal that does not match: some on record
    refused: Annotated[list[Refusal], Meta(max_length=MAX_GRANTS)]


class ReadRecords(msgspec.Struct, tag="read", array_like=True, frozen=True):
    """A controller that starts asks another for its records, from a partition on."""

    controller: ControllerNumber
    boot: Number62
    number: Number62
    first: PartitionNumber


class Records(msgspec.Struct, tag="records", array_like=True, frozen=True):
    """A part of a controller's records. ``following`` is the partition to go on from; -1: that was all."""

    controller: ControllerNumber
    boot: Number62
    number: Number62  # of the request
    records: Annotated[list[Record], Meta(max_length=MAX_RECORDS)]
    following: Annotated[int, Meta(ge=-1, lt=MAX_PARTITIONS)]


RelayMessage = Acquire | Renew | Release
ControllerMessage = Answer | ReadRecords | Records
Message = Acquire | Renew | Release | Answer | ReadRecords | Records


class SendToController(NamedTuple):
    """Effect: a message to a controller, by its number."""

    controller: int
    message: RelayMessage | ReadRecords | Records


class SendToRelay(NamedTuple):
    """Effect: the answer goes to the address from which the request came."""

    session: Session
    message: Answer


class WriteRecords(NamedTuple):
    """Effect: make these durable, then call ``written`` with ``ticket``; on failure ``not_written``."""

    ticket: int
    records: list[Record]


class LogLine(NamedTuple):
    """Effect: a line for the log, with a level of ``logging``."""

    text: str
    level: int


HolderEffect = SendToController | LogLine
ControllerEffect = SendToController | SendToRelay | WriteRecords | LogLine
