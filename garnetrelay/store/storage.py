"""The store's only access to files: a narrow interface, and its implementation on a folder of the file system."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path
from typing import Protocol

BLOCK_BYTES = 512  # disk usage is counted in whole blocks of this size
LOCK_TIMEOUT_S = 1.0  # a previous process may still be exiting
LOCK_RETRY_S = 0.02
LOCK_FILE = "lock"


def round_to_blocks(size: int) -> int:
    """The disk usage in bytes of a file of this size."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


class FolderLockedError(OSError):
    """Another process holds the folder's lock."""


class Storage(Protocol):
    """The file operations that the store needs. Each may raise OSError; ``append`` may then have written a part."""

    def names(self) -> list[str]:
        """The names of all files of the folder."""
        ...

    def read(self, name: str) -> bytes:
        """A file's whole content."""
        ...

    def create(self, name: str) -> int:
        """Creates a file, open for appending; it must not exist."""
        ...

    def append(self, handle: int, data: bytes) -> None:
        """Writes all of ``data`` at the end."""
        ...

    def truncate(self, handle: int, size: int) -> None:
        """Truncates an open file."""
        ...

    def cut(self, name: str, size: int, tail: bytes) -> None:
        """Truncates a closed file, writes a tail at its new end, and syncs it."""
        ...

    def sync(self, handle: int) -> None:
        """Syncs an open file: its content survives a power loss from now on."""
        ...

    def sync_names(self) -> None:
        """Syncs the folder's entries: files created and removed."""
        ...

    def close(self, handle: int) -> None:
        """Closes an open file."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file."""
        ...


class Folder:
    """A folder of the file system."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock: int | None = None

    def lock(self) -> None:
        """Locks the folder for this process; FolderLockedError if another process holds the lock for LOCK_TIMEOUT_S.

        The lock belongs to an open file description: it ends with the process, and passes to another with the descriptor.
        """
        lock = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        end = time.monotonic() + LOCK_TIMEOUT_S
        while True:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if time.monotonic() > end:
                    os.close(lock)
                    raise FolderLockedError(f"{self.path}: another relay works on this folder") from None
                time.sleep(LOCK_RETRY_S)
            else:
                self._lock = lock
                return

    def is_locked(self) -> bool:
        """Whether some process holds the folder's lock."""
        try:
            lock = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return False
        except BlockingIOError:
            return True
        finally:
            os.close(lock)

    def adopt_lock(self, lock: int) -> None:
        """Takes over a lock, as a descriptor that another process has passed."""
        self._lock = lock

    def detach_lock(self) -> int:
        """Returns the lock's descriptor to pass it to another process; this folder holds no lock any more."""
        assert self._lock is not None
        lock, self._lock = self._lock, None
        return lock

    def unlock(self) -> None:
        """Releases the lock, if this folder holds it."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def names(self) -> list[str]:
        """The names of all files of the folder, in no particular order."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        """A file's whole content."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> int:
        """Creates a file, open for appending, that only its owner may read; FileExistsError if it exists."""
        return os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append(self, handle: int, data: bytes) -> None:
        """Writes all of ``data`` at the end, in as many writes as needed; after an OSError a part may be written."""
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def truncate(self, handle: int, size: int) -> None:
        """Truncates an open file to a size in bytes."""
        os.ftruncate(handle, size)

    def cut(self, name: str, size: int, tail: bytes) -> None:
        """Truncates a closed file to a size in bytes, writes a tail at its new end, and syncs it."""
        handle = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        try:
            os.ftruncate(handle, size)
            self.append(handle, tail)
            os.fsync(handle)
        finally:
            os.close(handle)

    def sync(self, handle: int) -> None:
        """Syncs an open file's content to the disk."""
        os.fsync(handle)

    def sync_names(self) -> None:
        """Syncs the folder's entries to the disk: files created, renamed and removed."""
        handle = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self, handle: int) -> None:
        """Closes an open file without a sync."""
        os.close(handle)

    def remove(self, name: str) -> None:
        """Removes a file; the removal survives a power loss after ``sync_names``."""
        (self.path / name).unlink()

    def replace(self, name: str, data: bytes, sync: bool) -> None:
        """Writes a file atomically: the name refers to the old or the new content at any time.

        After an OSError it refers to the old content.
        """
        spare = self.path / f"{name}.new"
        spare.unlink(missing_ok=True)  # incomplete, left by an earlier process
        handle = self.create(spare.name)
        try:
            self.append(handle, data)
            if sync:
                os.fsync(handle)
        finally:
            os.close(handle)
        os.rename(spare, self.path / name)
        if sync:
            self.sync_names()
