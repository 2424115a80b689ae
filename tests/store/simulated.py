"""A simulated disk with injected faults: stops, torn writes, lost unsynced writes and names, a full or failing disk."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field


class Stopped(BaseException):
    """The process or the machine stops at this operation."""


@dataclass
class File:
    """A file: all of its data, and the data covered by a sync."""

    data: bytes = b""
    synced: bytes = b""


@dataclass
class Disk:
    """A folder in memory. ``stop_at``: the number of the modifying operation that stops; ``fails``: errno by number."""

    power_loss: bool = False
    stop_at: int = 0
    draw: random.Random = field(default_factory=lambda: random.Random(0))
    fails: dict[int, int] = field(default_factory=dict)
    max_bytes: int = 1 << 60  # limit in bytes of all files in whole blocks
    files: dict[str, File] = field(default_factory=dict)
    named: dict[str, File] = field(default_factory=dict)  # the names covered by a sync
    open: dict[int, File] = field(default_factory=dict)
    operations: int = 0
    handles: int = 0
    peak: int = 0

    def _step(self) -> bool:
        """Counts an operation; whether the disk stops at it, after a part of it. OSError if it is to fail."""
        self.operations += 1
        number = self.fails.get(self.operations)
        if number is not None:
            raise OSError(number, errno.errorcode[number])
        return self.operations == self.stop_at

    def stopped(self) -> Disk:
        """The disk after the stop: all that was written, or after a power loss what was synced and a part of the rest."""
        after = Disk(self.power_loss, draw=self.draw, max_bytes=self.max_bytes)
        names = dict(self.files)
        if self.power_loss:
            names = dict(self.named)
            for name in self.files.keys() ^ self.named.keys():  # each one independently: their order is not preserved
                if self.draw.random() < 0.5:
                    names.pop(name, None)
                    if name in self.files:
                        names[name] = self.files[name]
        for name, old in names.items():
            data = old.data if not self.power_loss else old.synced + self._survived(old.data[len(old.synced) :])
            after.files[name] = File(data, data)
        after.named = dict(after.files)
        return after

    def _survived(self, unsynced: bytes) -> bytes:
        how = self.draw.randrange(4)
        if how == 0 or not unsynced:
            return unsynced
        kept = unsynced[: self.draw.randrange(len(unsynced) + 1)]
        if how == 1:
            return kept
        if how == 2:
            return kept + bytes(len(unsynced) - len(kept))  # its length was written to the disk before its data
        hole = self.draw.randrange(len(unsynced))
        end = min(len(unsynced), hole + 512)
        return unsynced[:hole] + bytes(end - hole) + unsynced[end:]

    # ---- the store's storage

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name].data

    def create(self, name: str) -> int:
        last = self._step()
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "exists")
        if not last or self.draw.random() < 0.5:
            self.handles += 1
            self.open[self.handles] = self.files[name] = File()
        if last:
            raise Stopped
        return self.handles

    def append(self, handle: int, data: bytes) -> None:
        file = self.open[handle]
        try:
            last = self._step()
        except OSError:
            file.data += data[: self.draw.randrange(len(data) + 1)]
            raise
        if last:
            file.data += data[: self.draw.randrange(len(data) + 1)]
            raise Stopped
        file.data += data
        self._measure()

    def _measure(self) -> None:
        used = sum(-(-len(file.data) // 512) * 512 for file in self.files.values())
        self.peak = max(self.peak, used)
        assert used <= self.max_bytes, f"{used} bytes on a disk of {self.max_bytes}"

    def truncate(self, handle: int, size: int) -> None:
        last = self._step()
        file = self.open[handle]
        if not last or self.draw.random() < 0.5:
            file.data = file.data[:size]
            file.synced = file.synced[:size]
        if last:
            raise Stopped

    def cut(self, name: str, size: int, tail: bytes) -> None:
        last = self._step()
        file = self.files[name]
        file.data = file.data[:size] + (tail[: self.draw.randrange(len(tail) + 1)] if last else tail)
        file.synced = file.synced[:size]
        if last:
            raise Stopped
        file.synced = file.data

    def sync(self, handle: int) -> None:
        if self._step():
            raise Stopped
        file = self.open[handle]
        file.synced = file.data

    def sync_names(self) -> None:
        if self._step():
            raise Stopped
        self.named = dict(self.files)

    def close(self, handle: int) -> None:
        del self.open[handle]

    def remove(self, name: str) -> None:
        last = self._step()
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file")
        if not last or self.draw.random() < 0.5:
            del self.files[name]
        if last:
            raise Stopped
