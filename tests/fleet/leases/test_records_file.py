"""A controller's records on disk, after kills, on full disks and with damaged files."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from garnetrelay.fleet.controller import records_file
from garnetrelay.fleet.controller.records_file import FILE_NAME, RecordsError, RecordsFile, RecordsStateUnknownError
from garnetrelay.fleet.leases.messages import Record

LEASE = 15 * 10**9
FIRST = [Record(0, 1, "r1", 11), Record(1, 1, "r2", 22)]
SECOND = [Record(1, 2, "r3", 33)]
THIRD = [Record(2, 5, "", 0)]


def opened(folder: Path) -> RecordsFile:
    found = RecordsFile(folder, 3, 64, LEASE)
    found.open()
    return found


def read(folder: Path) -> list[Record] | None:
    found = RecordsFile(folder, 3, 64, LEASE)
    try:
        return found.open()
    finally:
        found.close()


def written(folder: Path) -> bytes:
    """Writes a file with three batches and returns its contents."""
    file = RecordsFile(folder, 3, 64, LEASE)
    file.initialize()
    file.open()
    for batch in (FIRST, SECOND, THIRD):
        file.append(batch)
    file.close()
    return (folder / FILE_NAME).read_bytes()


def test_the_latest_record_of_each_partition_is_read(tmp_path: Path) -> None:
    written(tmp_path)
    assert read(tmp_path) == [FIRST[0], *SECOND, *THIRD]


def test_a_missing_file_is_distinguished_from_an_empty_one(tmp_path: Path) -> None:
    assert read(tmp_path) is None
    file = RecordsFile(tmp_path, 3, 64, LEASE)
    file.initialize()
    assert read(tmp_path) == []
    with pytest.raises(RecordsError, match="there is one already"):
        file.initialize()


def test_the_first_write_into_an_empty_folder_creates_the_file(tmp_path: Path) -> None:
    file = opened(tmp_path)
    assert not (tmp_path / FILE_NAME).exists()
    file.append(FIRST)
    file.append(SECOND)
    file.close()
    assert read(tmp_path) == [FIRST[0], *SECOND]


def test_a_torn_last_batch_is_cut_off_wherever_it_ends(tmp_path: Path) -> None:
    contents = written(tmp_path)
    torn_from = len(contents) - records_file.BATCH.size - len(records_file._encoder.encode(THIRD))
    for end in range(torn_from + 1, len(contents)):
        (tmp_path / FILE_NAME).write_bytes(contents[:end])
        file = RecordsFile(tmp_path, 3, 64, LEASE)
        assert file.open() == [FIRST[0], *SECOND] and file.truncated_bytes == end - torn_from
        file.append(THIRD)  # the file continues from there
        file.close()
        assert (tmp_path / FILE_NAME).read_bytes() == contents


def test_damage_in_the_middle_is_refused_at_every_byte(tmp_path: Path) -> None:
    contents = written(tmp_path)
    last = len(contents) - records_file.BATCH.size - len(records_file._encoder.encode(THIRD))
    for position in range(last):
        (tmp_path / FILE_NAME).write_bytes(
            contents[:position] + bytes([contents[position] ^ 0x55]) + contents[position + 1 :]
        )
        with pytest.raises(RecordsError) as refused:
            read(tmp_path)
        assert str(tmp_path / FILE_NAME) in str(refused.value) and "\n" not in str(refused.value)
    (tmp_path / FILE_NAME).write_bytes(contents)
    assert read(tmp_path) == [FIRST[0], *SECOND, *THIRD]  # the folder was released each time and is unchanged


def test_a_damaged_snapshot_is_not_taken_for_a_torn_write(tmp_path: Path) -> None:
    file = opened(tmp_path)
    file.append(FIRST)  # a snapshot and nothing else
    file.close()
    contents = (tmp_path / FILE_NAME).read_bytes()
    for data in (contents[:-1], contents[: records_file.HEADER.size], contents[:-1] + bytes([contents[-1] ^ 1])):
        (tmp_path / FILE_NAME).write_bytes(data)
        with pytest.raises(RecordsError, match="damaged at byte"):
            read(tmp_path)


@pytest.mark.parametrize(
    "controller, partitions, message",
    [(2, 64, "of controller 3, not 2"), (3, 128, "of 64 partitions, not 128")],
)
def test_a_file_of_another_controller_is_refused(tmp_path: Path, controller: int, partitions: int, message: str) -> None:
    written(tmp_path)
    with pytest.raises(RecordsError, match=message):
        RecordsFile(tmp_path, controller, partitions, LEASE).open()


def test_a_folder_has_one_controller(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("garnetrelay.store.storage.LOCK_TIMEOUT_S", 0.0)
    file = opened(tmp_path)
    with pytest.raises(RecordsError, match="another controller works on this folder"):
        opened(tmp_path)
    file.close()
    opened(tmp_path).close()


def full(handle: int, data: bytes | memoryview) -> int:
    raise OSError(errno.ENOSPC, "No space left on device")


def test_a_full_disk_keeps_earlier_records(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.write
    contents = written(tmp_path)
    file = opened(tmp_path)
    half: list[int] = []

    def half_full(handle: int, data: bytes | memoryview) -> int:
        if half:
            raise OSError(errno.ENOSPC, "No space left on device")
        half.append(1)
        return real(handle, data[: len(data) // 2])

    with monkeypatch.context() as patched:
        patched.setattr(os, "write", half_full)
        with pytest.raises(OSError, match="No space left"):
            file.append([Record(9, 9, "r9", 9)])
    assert (tmp_path / FILE_NAME).read_bytes() == contents
    file.append([Record(8, 1, "r8", 8)])
    file.close()
    found = read(tmp_path)
    assert found is not None and found[-1].partition == 8 and not any(each.partition == 9 for each in found)


def test_a_write_with_a_failed_sync_is_undone(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """All bytes of the write are in the file: without the undo the next start would load them."""
    contents = written(tmp_path)
    file = opened(tmp_path)
    real = os.fsync
    failed: list[int] = []

    def fails_once(handle: int) -> None:
        if not failed:
            failed.append(1)
            raise OSError(errno.EIO, "Input/output error")
        real(handle)

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fails_once)
        with pytest.raises(OSError, match="Input/output"):
            file.append([Record(9, 9, "r9", 9)])
    assert (tmp_path / FILE_NAME).read_bytes() == contents


@pytest.mark.parametrize("first", [True, False])
def test_a_write_that_cannot_be_undone_ends_the_use_of_the_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: bool
) -> None:
    if not first:
        written(tmp_path)
    file = opened(tmp_path)

    def fails(handle: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fails)
        with pytest.raises(RecordsStateUnknownError, match="can't be undone"):
            file.append(FIRST)


def test_a_grown_file_is_replaced_by_a_short_one(tmp_path: Path) -> None:
    file = opened(tmp_path)
    for epoch in range(1, 5000):
        file.append([Record(epoch % 64, epoch, "r1", 1)])
        if file.compactions:
            break
    assert file.compactions == 1 and file.size == (tmp_path / FILE_NAME).stat().st_size < 4096
    file.append(THIRD)
    file.close()
    found = read(tmp_path)
    assert found is not None and len(found) == 64 and THIRD[0] in found
    assert max(each.epoch for each in found) == epoch


@pytest.mark.parametrize("placed", [True, False])
def test_a_failed_compaction_loses_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, placed: bool) -> None:
    """Also if only the sync of the folder fails, when the short file is already in place."""
    monkeypatch.setattr(records_file, "MIN_COMPACTION_BYTES", 200)
    written(tmp_path)
    file = opened(tmp_path)
    with monkeypatch.context() as patched:
        patched.setattr("garnetrelay.store.storage.Folder.sync_names", fail_names)
        if not placed:
            patched.setattr(os, "rename", fail_names)
        for epoch in range(10, 30):
            file.append([Record(0, epoch, "r1", 1)])
    assert bool(file.compactions) == placed
    file.append([Record(0, 40, "r1", 1)])
    file.close()
    found = read(tmp_path)
    assert found is not None and found[0] == Record(0, 40, "r1", 1) and found[1:] == [*SECOND, *THIRD]


def fail_names(*_: object) -> None:
    raise OSError(errno.EIO, "Input/output error")


def test_the_longest_lease_is_on_record_before_any_grant_uses_it(tmp_path: Path) -> None:
    def previous_lease(lease: int) -> int:
        file = RecordsFile(tmp_path, 3, 64, lease)
        assert file.open() == [FIRST[0], *SECOND, *THIRD]
        file.close()
        return file.previous_lease

    written(tmp_path)
    assert previous_lease(LEASE) == LEASE
    assert previous_lease(2 * LEASE) == LEASE  # that of the previous process
    assert previous_lease(LEASE) == 2 * LEASE == previous_lease(LEASE)
