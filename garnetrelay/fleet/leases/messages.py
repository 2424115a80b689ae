"""The messages between relays and controllers, and the effects that their decision modules return. No I/O.

All times are in nanoseconds. Partitions are numbered from 0. A session is one process of one relay.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from garnetrelay.fleet.members.claims import Name, NameOrNone
from garnetrelay.fleet.partitions.hashing import MAX_PARTITIONS

MAX_EPOCH = (1 << 48) - 1
MAX_CONTROLLERS = 9
MAX_EPOCH_STEP = 1 << 20  # above the epoch on record: one request can't use up all epochs of a partition
MAX_GRANTS = 48  # per message: 48 refusals with the largest numbers take 1,056 of a datagram's 1,200 bytes
MAX_RECORDS = 48  # per message; with names of maximum length only 12 fit, see ``MAX_RECORDS_BYTES``
MAX_RECORD_OVERHEAD_BYTES = 24  # of a record, without the relay's name
MAX_RECORDS_BYTES = 1_050  # of all records in one message

PartitionNumber = Annotated[int, Meta(ge=0, lt=MAX_PARTITIONS)]
Epoch = Annotated[int, Meta(ge=0, le=MAX_EPOCH)]
Number32 = Annotated[int, Meta(ge=0, lt=1 << 32)]  # ``fingerprint``: CRC of the settings on which safety depends
Number62 = Annotated[int, Meta(ge=0, lt=1 << 62)]
Number64 = Annotated[int, Meta(ge=0)]  # MessagePack is limited to 64 bits; msgspec can't express that bound
Duration = Annotated[int, Meta(ge=0, lt=1 << 50)]
ControllerNumber = Annotated[int, Meta(ge=0, lt=MAX_CONTROLLERS)]


class Session(NamedTuple):
    """One process of one relay. Grants belong to a session."""

    relay: Name
    number: Number62


class Grant(NamedTuple):
    """A partition granted in an epoch."""

    partition: PartitionNumber
    epoch: Epoch


class Refusal(NamedTuple):
    """A refused partition: the epoch on record at the controller, and how long the current grant may last."""

    partition: PartitionNumber
    epoch: Epoch  # the highest that the controller knows
    wait: Duration  # until the controller may grant the partition; 0: at once, in a higher epoch


class Record(NamedTuple):
    """A controller's record of a partition. ``relay`` is empty if nobody holds the partition."""

    partition: PartitionNumber
    epoch: Epoch
    relay: NameOrNone
    session: Number62

    def size(self) -> int:
        """Maximum size in a message (MessagePack), in bytes."""
        return MAX_RECORD_OVERHEAD_BYTES + len(self.relay)


class Acquire(msgspec.Struct, tag="acquire", array_like=True, frozen=True):
    """A relay requests partitions, each in an epoch.

    The request renews the controller's lease for the whole session, but the relay may extend only the grants that the
    answer names: since the request carries no digest, other grants may have gone to another session after the relay's
    last renewal.
    """

    session: Session
    number: Number62  # increases with each request of the session to this controller
    boot: Number62  # random number of the controller's process, if the relay knows it; 0: not yet known
    fingerprint: Number32
    grants: Annotated[list[Grant], Meta(max_length=MAX_GRANTS)]


class Renew(msgspec.Struct, tag="renew", array_like=True, frozen=True):
    """A relay extends its lease on all partitions that the controller has granted to it."""

    session: Session
    number: Number62
    boot: Number62
    fingerprint: Number32
    count: Annotated[int, Meta(ge=0, le=MAX_PARTITIONS)]
    digest: Number64  # of the session's grants, see ``digest.py``


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """A relay releases partitions; an empty list releases all of them and ends the session."""

    session: Session
    number: Number62
    boot: Number62
    grants: Annotated[list[Grant], Meta(max_length=MAX_GRANTS)]


class Answer(msgspec.Struct, tag="answer", array_like=True, frozen=True):
    """A controller's answer to ``Acquire``, ``Renew`` or ``Release``."""

    controller: ControllerNumber
    boot: Number62
    number: Number62  # of the request
    # True: the request was carried out; the lease of an acquire or renewal runs from its receipt.
    # False: it was not; for instance the controller is not ready, or it is another process than ``boot`` of the request.
    accepted: bool
    matches: bool  # False: the count and digest of a renewal differ from the record, and no lease was extended
    # The grants that an acquire obtained, or after a renewal that did not match some of the grants on record.
    granted: Annotated[list[Grant], Meta(max_length=MAX_GRANTS)]
    refused: Annotated[list[Refusal], Meta(max_length=MAX_GRANTS)]


class ReadRecords(msgspec.Struct, tag="read", array_like=True, frozen=True):
    """A starting controller requests another's records, from a given partition on."""

    controller: ControllerNumber
    boot: Number62
    number: Number62
    first: PartitionNumber


class Records(msgspec.Struct, tag="records", array_like=True, frozen=True):
    """Some of a controller's records. ``next_partition`` is where the next part starts; -1: this is the last part."""

    controller: ControllerNumber
    boot: Number62
    number: Number62  # of the request
    records: Annotated[list[Record], Meta(max_length=MAX_RECORDS)]
    next_partition: Annotated[int, Meta(ge=-1, lt=MAX_PARTITIONS)]


RelayMessage = Acquire | Renew | Release
ControllerMessage = Answer | ReadRecords | Records
Message = Acquire | Renew | Release | Answer | ReadRecords | Records


class SendToController(NamedTuple):
    """Effect: send a message to the controller with this number."""

    controller: int
    message: RelayMessage | ReadRecords | Records


class SendToRelay(NamedTuple):
    """Effect: send an answer to the address from which the session's request came."""

    session: Session
    message: Answer


class WriteRecords(NamedTuple):
    """Effect: make records durable, then call ``written`` with ``ticket``, or ``not_written`` on failure."""

    ticket: int
    records: list[Record]


class LogLine(NamedTuple):
    """Effect: log a line with a level of ``logging``."""

    text: str
    level: int


HolderEffect = SendToController | LogLine
ControllerEffect = SendToController | SendToRelay | WriteRecords | LogLine
