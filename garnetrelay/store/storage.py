"""The only door from the store to files: a narrow interface, and the folder that it stands for."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path
from typing import Protocol

BLOCK = 512  # a file counts in whole blocks
LOCK_TIMEOUT_S = 1.0  # seconds in which an earlier process may still be on its way out
LOCK = "lock"


def blocks(size: int) -> int:
    """What a file of a size counts (bytes)."""
    return -(-size // BLOCK) * BLOCK


class FolderLockedError(OSError):
    """Another process works on the folder."""


class Storage(Protocol):
    """What the store needs of files. Each call may raise OSError; ``append`` may then have written a part."""

    def names(self) -> list[str]:
        """All files of the folder."""
        ...

    def read(self, name: str) -> bytes:
        """A file's whole content."""
        ...

    def create(self, name: str) -> int:
        """A new file, open for appending; it must not exist."""
        ...

    def append(self, handle: int, data: bytes) -> None:
        """Write all of it at the end."""
        ...

    def truncate(self, handle: int, size: int) -> None:
        """Cut an open file."""
        ...

    def cut(self, name: str, size: int, tail: bytes) -> None:
        """Cut a closed file, write a tail at its new end, and sync it."""
        ...

    def sync(self, handle: int) -> None:
        """Its content outlasts the machine's power from now on."""
        ...

    def sync_names(self) -> None:
        """So do the folder's names."""
        ...

    def close(self, handle: int) -> None:
        """No more is written."""
        ...

    def remove(self, name: str) -> None:
        """Take a file away."""
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
        lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        end = time.monotonic() + LOCK_TIMEOUT_S
        while True:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if time.monotonic() > end:
                    os.close(lock)
                    raise FolderLockedError(f"{self.path}: another relay works on this folder") from None
                time.sleep(0.02)
            else:
                self._lock = lock
                return

    def is_locked(self) -> bool:
        """Whether some process works on the folder just now."""
        try:
            lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CLOEXEC)
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
        """Take the folder with a claim that another process has handed over."""
        self._lock = lock

    def detach_lock(self) -> int:
        """The claim, for another process: this one has none any more."""
        assert self._lock is not None
        lock, self._lock = self._lock, None
        return lock

    def unlock(self) -> None:
        """Give the claim on the folder up; nothing happens where there is none."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def names(self) -> list[str]:
        """All files of the folder, in no order."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        """A file's whole content."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> int:
        """A new file, open for appending, that its owner alone may read; FileExistsError where there is one."""
        return os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append(self, handle: int, data: bytes) -> None:
        """Write all of it at the end, in as many writes as it takes; behind an OSError a part may stand there."""
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def truncate(self, handle: int, size: int) -> None:
        """Cut an open file to a size in bytes."""
        os.ftruncate(handle, size)

    def cut(self, name: str, size: int, tail: bytes) -> None:
        """Cut a closed file to a size in bytes, write a tail at its new end, and sync it."""
        handle = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        try:
            os.ftruncate(handle, size)
            self.append(handle, tail)
            os.fsync(handle)
        finally:
            os.close(handle)

    def sync(self, handle: int) -> None:
        """Put an open file's content on the disk."""
        os.fsync(handle)

    def sync_names(self) -> None:
        """Put the folder's own entries on the disk: files made, renamed and removed."""
        handle = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self, handle: int) -> None:
        """Close an open file without a sync."""
        os.close(handle)

    def remove(self, name: str) -> None:
        """Remove a file; its name is gone from the disk after ``sync_names``."""
        (self.path / name).unlink()

    def replace(self, name: str, data: bytes, sync: bool) -> None:
        """Put a whole file in another's place: at no moment does half of it stand under that name. OSError leaves
        the old one as it was."""
        spare = self.path / f"{name}.new"
        spare.unlink(missing_ok=True)  # what a stop left half written
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
