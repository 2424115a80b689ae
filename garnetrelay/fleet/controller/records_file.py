"""What a controller has granted, on disk: one append-only file, replaced by a short one when it has grown.

    header: magic, version, number of the controller, count of partitions, lease, bytes of the snapshot, CRC-32 of these
    batches: a mark, the payload's length, its CRC-32, the payload (a MessagePack list of records)

The snapshot is the first batch and was put in place whole, so damage in it is never a torn write. Behind it a batch that
can't be read, with none behind it that can, is the end of a write that a kill or a power cut broke off: it was never
answered and is cut. One with readable batches behind it is damage: the file is refused, since the controller would
forget what it has granted. Each append is synced before it returns.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from garnetrelay.fleet.leases.messages import Record
from garnetrelay.store.storage import Folder, FolderLockedError

FILE_NAME = "grants"
MAGIC = b"GRLEASES"
VERSION = 1
HEADER = struct.Struct(">8sHHIQII")
BATCH = struct.Struct(">BII")
MARK = 0xA9
MIN_COMPACTION_BYTES = 1 << 16  # bytes: a shorter file is read in a moment
COMPACTION_GROWTH = (
    4  # a file that has grown to so many snapshots is replaced: each byte is written anew 1/3 times in the mean
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Record]] = msgspec.msgpack.Decoder(list[Record])


class RecordsError(ValueError):
    """A file that a controller must not start with; one plain line."""


class RecordsStateUnknownError(RecordsError):
    """Nothing is sure of the file any more: the process has to end."""


class RecordsFile:
    """The records of one controller. ``append`` runs off the loop, one call at a time."""

    def __init__(self, folder: Path, controller: int, partitions: int, lease: int) -> None:
        """``lease`` in nanoseconds."""
        self.path = folder / FILE_NAME
        self.truncated_bytes = 0  # of a torn write, at the start
        self.compactions = 0
        self.previous_lease = 0  # the longest for which the file's processes may have granted; ns
        self._folder = Folder(folder)
        self._controller = controller
        self._partitions = partitions
        self._lease = lease
        self._latest: dict[int, Record] = {}  # by partition
        self._size = 0  # bytes that count; 0: there is no file
        self._compact_at = 0

    @property
    def size(self) -> int:
        """Bytes of the file."""
        return self._size

    def initialize(self) -> None:
        """Write a valid file without records; RecordsError where there is one, OSError where it can't be."""
        self._claim()
        try:
            if FILE_NAME in self._folder.names():
                raise RecordsError(f"{self.path}: there is one already: it is initialized once, and never anew")
            self._create({})
        finally:
            self._folder.unlock()

    def open(self) -> list[Record] | None:
        """Claim the folder and read the latest record of each partition; None where there is no file.

        RecordsError or OSError where the folder can't be used; it is then as it was.
        """
        self._claim()
        try:
            return self._read()
        except BaseException:
            self._folder.unlock()
            raise

    def append(self, records: Iterable[Record]) -> None:
        """Makes records durable.

        Raises OSError if the write fails and has been undone: none of the records is on disk then. Raises
        RecordsStateUnknownError if the undo fails too: a grant that the controller reports as refused might be on record
        after the next start, so the process must stop answering.
        """
        records = list(records)
        latest = self._latest | {record.partition: record for record in records}
        if self._size:
            self._append(_batch(records))
        else:
            self._create(latest)
        self._latest = latest
        if self._size >= self._compact_at:
            self._compact()

    def close(self) -> None:
        """Let go of the folder."""
        self._folder.unlock()

    def _claim(self) -> None:
        self._folder.path.mkdir(parents=True, exist_ok=True)
        try:
            self._folder.lock()
        except FolderLockedError:
            raise RecordsError(f"{self._folder.path}: another controller works on this folder") from None

    def _read(self) -> list[Record] | None:
        if FILE_NAME not in self._folder.names():
            return None
        data = self._folder.read(FILE_NAME)
        snapshot = self._check_header(data)
        batches, end = _scan(data, self.path, snapshot)
        for batch in batches:
            for record in batch:
                if record.partition >= self._partitions:
                    raise RecordsError(f"{self.path}: a record of partition {record.partition} of {self._partitions}")
                self._latest[record.partition] = record
        self.truncated_bytes = len(data) - end
        self._size = end
        self._set_limit(snapshot)
        if self._lease > self.previous_lease:
            self._create(self._latest)  # from now on grants may last longer: that has to be on record first
        return list(self._latest.values())

    def _check_header(self, data: bytes) -> int:
        """Bytes of the snapshot."""
        if len(data) < HEADER.size:
            raise RecordsError(f"{self.path}: damaged: no header")
        magic, version, controller, partitions, self.previous_lease, snapshot, checksum = HEADER.unpack_from(data)
        if magic != MAGIC or zlib.crc32(data[: HEADER.size - 4]) != checksum:
            raise RecordsError(f"{self.path}: damaged: no header of a controller's records")
        if version != VERSION:
            raise RecordsError(f"{self.path}: of version {version}, not {VERSION}")
        if controller != self._controller:
            raise RecordsError(f"{self.path}: of controller {controller}, not {self._controller}")
        if partitions != self._partitions:
            raise RecordsError(f"{self.path}: of {partitions} partitions, not {self._partitions}")
        return int(snapshot)

    def _append(self, data: bytes) -> None:
        try:
            self._folder.cut(FILE_NAME, self._size, data)
        except OSError:
            self._undo(lambda: self._folder.cut(FILE_NAME, self._size, b""))
            raise
        self._size += len(data)

    def _create(self, latest: dict[int, Record]) -> None:
        data, snapshot = self._whole(latest)
        try:
            self._folder.replace(FILE_NAME, data, sync=True)
        except OSError:
            if not self._size:
                self._undo(self._remove)
            raise
        self._size = len(data)
        self._set_limit(snapshot)

    def _undo(self, undo: Callable[[], None]) -> None:
        try:
            undo()
        except OSError as error:
            raise RecordsStateUnknownError(
                f"{self.path}: a write that failed can't be undone: {error.strerror}"
            ) from None

    def _remove(self) -> None:
        if FILE_NAME in self._folder.names():
            self._folder.remove(FILE_NAME)
        self._folder.sync_names()

    def _compact(self) -> None:
        """Put a short file in the place of a long one; where that fails the long one goes on."""
        data, snapshot = self._whole(self._latest)
        try:
            self._folder.replace(FILE_NAME, data, sync=True)
        except OSError:
            if not self._in_place(data):
                self._compact_at = self._size * 2
                return
        self._size = len(data)
        self._set_limit(snapshot)
        self.compactions += 1

    def _in_place(self, data: bytes) -> bool:
        """Whether a file that was to be put in place is there all the same: both say the same."""
        try:
            return self._folder.read(FILE_NAME) == data
        except OSError as error:
            raise RecordsStateUnknownError(f"{self.path}: {error.strerror}") from None

    def _whole(self, latest: dict[int, Record]) -> tuple[bytes, int]:
        """A file with these records alone, and the bytes of its snapshot."""
        batch = _batch(list(latest.values()))
        return _header(self._controller, self._partitions, self._lease, len(batch)) + batch, len(batch)

    def _set_limit(self, snapshot: int) -> None:
        self._compact_at = max(MIN_COMPACTION_BYTES, COMPACTION_GROWTH * (HEADER.size + snapshot))


def _header(controller: int, partitions: int, lease: int, snapshot: int) -> bytes:
    head = HEADER.pack(MAGIC, VERSION, controller, partitions, lease, snapshot, 0)[:-4]
    return head + zlib.crc32(head).to_bytes(4, "big")


def _batch(records: list[Record]) -> bytes:
    payload = _encoder.encode(records)
    return BATCH.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def _batch_at(data: bytes, at: int) -> tuple[list[Record], int] | None:
    """The batch that begins there and its end, if one does."""
    start = at + BATCH.size
    if start > len(data) or data[at] != MARK:
        return None
    _, length, checksum = BATCH.unpack_from(data, at)
    end = start + length
    payload = data[start:end]
    if end > len(data) or zlib.crc32(payload) != checksum:
        return None
    try:
        return _decoder.decode(payload), end
    except msgspec.DecodeError:
        return None


def _scan(data: bytes, path: Path, snapshot: int) -> tuple[list[list[Record]], int]:
    """All batches, and where the last one ends; RecordsError where one is damaged."""
    batches: list[list[Record]] = []
    at, whole = HEADER.size, HEADER.size + snapshot
    while at < len(data):
        found = _batch_at(data, at)
        if found is None:
            break
        batch, at = found
        batches.append(batch)
    if at < whole:
        raise RecordsError(f"{path}: damaged at byte {at}: put the folder aside and start as one that lost it")
    following = at
    while (following := data.find(MARK, following + 1)) >= 0:
        if _batch_at(data, following) is not None:
            raise RecordsError(f"{path}: damaged at byte {at}: put the folder aside and start as one that lost it")
    return batches, at
