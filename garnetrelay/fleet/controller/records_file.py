"""A controller's grants on disk: one append-only file, replaced by a short one when it has grown.

    header: magic, version, number of the controller, number of partitions, lease, size of the snapshot, CRC-32 of these
    batches: a mark, the payload's length, its CRC-32, the payload (a MessagePack list of records)

The snapshot is the first batch. It is part of a file that was put in place as a whole, so damage in it can't come from a
torn write. An unreadable batch after the snapshot, with no readable one after it, is a write that a kill or a power
failure interrupted: it was never answered, and is cut off. An unreadable batch with readable ones after it is damage: the
file is refused, since otherwise the controller would lose grants. Each append is synced before it returns.
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
BATCH_MARK = 0xA9
MIN_COMPACTION_BYTES = 1 << 16  # a shorter file is read quickly
# The file is replaced when it is this many times as long as its snapshot: each byte is rewritten 1/3 times on average.
COMPACTION_GROWTH = 4

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Record]] = msgspec.msgpack.Decoder(list[Record])


class RecordsError(ValueError):
    """The controller must not start with this file. The message is a single line."""


class RecordsStateUnknownError(RecordsError):
    """The contents of the file are unknown: the process must end."""


class RecordsFile:
    """The records of one controller. ``append`` may run in another thread, one call at a time."""

    def __init__(self, folder: Path, controller: int, partitions: int, lease: int) -> None:
        """``lease`` is in nanoseconds."""
        self.path = folder / FILE_NAME
        self.truncated_bytes = 0  # length of the torn write that was cut off when the file was opened
        self.compactions = 0
        self.previous_lease = 0  # longest lease that processes with this file may have granted, in nanoseconds
        self._folder = Folder(folder)
        self._controller = controller
        self._partitions = partitions
        self._lease = lease
        self._latest: dict[int, Record] = {}  # by partition
        self._size = 0  # of the valid data, in bytes; 0: there is no file
        self._compact_at = 0

    @property
    def size(self) -> int:
        """The size of the file in bytes."""
        return self._size

    def initialize(self) -> None:
        """Writes a file without records; raises RecordsError if there is a file, OSError if the write fails."""
        self._lock_folder()
        try:
            if FILE_NAME in self._folder.names():
                raise RecordsError(f"{self.path}: there is one already: a file of records is initialized only once")
            self._create({})
        finally:
            self._folder.unlock()

    def open(self) -> list[Record] | None:
        """Locks the folder and returns the latest record of each partition, or None if there is no file.

        Raises RecordsError or OSError, and leaves the folder unlocked and unchanged, if it can't be used.
        """
        self._lock_folder()
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
        """Releases the lock on the folder."""
        self._folder.unlock()

    def _lock_folder(self) -> None:
        self._folder.path.mkdir(parents=True, exist_ok=True)
        try:
            self._folder.lock()
        except FolderLockedError:
            raise RecordsError(f"{self._folder.path}: another controller works on this folder") from None

    def _read(self) -> list[Record] | None:
        if FILE_NAME not in self._folder.names():
            return None
        data = self._folder.read(FILE_NAME)
        snapshot_bytes = self._check_header(data)
        batches, end = _scan(data, self.path, snapshot_bytes)
        for batch in batches:
            for record in batch:
                if record.partition >= self._partitions:
                    raise RecordsError(
                        f"{self.path}: contains partition {record.partition}, but their number is {self._partitions}"
                    )
                self._latest[record.partition] = record
        self.truncated_bytes = len(data) - end
        self._size = end
        self._set_compaction_limit(snapshot_bytes)
        if self._lease > self.previous_lease:
            self._create(self._latest)  # record the longer lease before any grant uses it
        return list(self._latest.values())

    def _check_header(self, data: bytes) -> int:
        """Checks the header and returns the size of the snapshot in bytes."""
        if len(data) < HEADER.size:
            raise RecordsError(f"{self.path}: damaged: shorter than a header")
        magic, version, controller, partitions, self.previous_lease, snapshot_bytes, checksum = HEADER.unpack_from(data)
        if magic != MAGIC or zlib.crc32(data[: HEADER.size - 4]) != checksum:
            raise RecordsError(f"{self.path}: damaged: the header is not that of a controller's records")
        if version != VERSION:
            raise RecordsError(f"{self.path}: file of version {version}, not {VERSION}")
        if controller != self._controller:
            raise RecordsError(f"{self.path}: file of controller {controller}, not {self._controller}")
        if partitions != self._partitions:
            raise RecordsError(f"{self.path}: file of {partitions} partitions, not {self._partitions}")
        return int(snapshot_bytes)

    def _append(self, data: bytes) -> None:
        try:
            self._folder.cut(FILE_NAME, self._size, data)
        except OSError:
            self._undo(lambda: self._folder.cut(FILE_NAME, self._size, b""))
            raise
        self._size += len(data)

    def _create(self, latest: dict[int, Record]) -> None:
        data, snapshot_bytes = self._encode_file(latest)
        try:
            self._folder.replace(FILE_NAME, data, sync=True)
        except OSError:
            if not self._size:
                self._undo(self._remove)
            raise
        self._size = len(data)
        self._set_compaction_limit(snapshot_bytes)

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
        """Replaces the file by a short one; if that fails, the long one stays in use."""
        data, snapshot_bytes = self._encode_file(self._latest)
        try:
            self._folder.replace(FILE_NAME, data, sync=True)
        except OSError:
            if not self._was_replaced(data):
                self._compact_at = self._size * 2
                return
        self._size = len(data)
        self._set_compaction_limit(snapshot_bytes)
        self.compactions += 1

    def _was_replaced(self, data: bytes) -> bool:
        """Whether the file was replaced although an error was reported. Both files hold the same records."""
        try:
            return self._folder.read(FILE_NAME) == data
        except OSError as error:
            raise RecordsStateUnknownError(f"{self.path}: {error.strerror}") from None

    def _encode_file(self, latest: dict[int, Record]) -> tuple[bytes, int]:
        """Returns the contents of a file with just these records, and the size of its snapshot in bytes."""
        batch = _batch(list(latest.values()))
        return _header(self._controller, self._partitions, self._lease, len(batch)) + batch, len(batch)

    def _set_compaction_limit(self, snapshot_bytes: int) -> None:
        self._compact_at = max(MIN_COMPACTION_BYTES, COMPACTION_GROWTH * (HEADER.size + snapshot_bytes))


def _header(controller: int, partitions: int, lease: int, snapshot_bytes: int) -> bytes:
    head = HEADER.pack(MAGIC, VERSION, controller, partitions, lease, snapshot_bytes, 0)[:-4]
    return head + zlib.crc32(head).to_bytes(4, "big")


def _batch(records: list[Record]) -> bytes:
    payload = _encoder.encode(records)
    return BATCH.pack(BATCH_MARK, len(payload), zlib.crc32(payload)) + payload


def _batch_at(data: bytes, at: int) -> tuple[list[Record], int] | None:
    """Returns the batch that starts at this offset and its end, or None if there is no valid one."""
    start = at + BATCH.size
    if start > len(data) or data[at] != BATCH_MARK:
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


def _scan(data: bytes, path: Path, snapshot_bytes: int) -> tuple[list[list[Record]], int]:
    """Returns all batches and the offset at which the last one ends; raises RecordsError if the file is damaged."""
    batches: list[list[Record]] = []
    at, snapshot_end = HEADER.size, HEADER.size + snapshot_bytes
    while at < len(data):
        parsed = _batch_at(data, at)
        if parsed is None:
            break
        batch, at = parsed
        batches.append(batch)
    if at < snapshot_end:
        raise RecordsError(f"{path}: damaged at byte {at}: put the folder aside and start as one that lost it")
    next_mark = at
    while (next_mark := data.find(BATCH_MARK, next_mark + 1)) >= 0:
        if _batch_at(data, next_mark) is not None:
            raise RecordsError(f"{path}: damaged at byte {at}: put the folder aside and start as one that lost it")
    return batches, at
