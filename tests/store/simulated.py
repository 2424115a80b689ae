"""A disk that stops where it is told to: torn writes, writes and names that no sync has covered, full, failing."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field


class Stopped(BaseException):
    """The machine, or the process, ends here."""


@dataclass
class File:
    """A file: what a sync has covered, and all of it."""

    data: bytes = b""
    synced: bytes = b""


@dataclass
class Disk:
    """A folder in memory. ``stop_at`` counts operations that change something; ``fails`` gives an errno by number."""

    power_loss: bool = False
    stop_at: int = 0
    draw: random.Random = field(default_factory=lambda: random.Random(0))
    fails: dict[int, int] = field(default_factory=dict)
    most: int = 1 << 60  # bytes of all files in whole blocks: never more
    files: dict[str, File] = field(default_factory=dict)
    named: dict[str, File] = field(default_factory=dict)  # the names that a sync has covered
    open: dict[int, File] = field(default_factory=dict)
    operations: int = 0
    handles: int = 0
    peak: int = 0

    def _step(self) -> bool:
        """Count an operation; whether it is the last, which may come about in part. OSError where it is to fail."""
        self.operations += 1
        number = self.fails.get(self.operations)
        if number is not None:
            raise OSError(number, errno.errorcode[number])
        return self.operations == self.stop_at

    def stopped(self) -> Disk:
        """What is there after the stop: all that was written, or, without power, what was synced and some more."""
        after = Disk(self.power_loss, draw=self.draw, most=self.most)
        names = dict(self.files)
        if self.power_loss:
            names = dict(self.named)
            for name in self.files.keys() ^ self.named.keys():  # each name for itself: their order is not kept
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
            return kept + bytes(len(unsynced) - len(kept))  # its length came to the disk before its data
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
        assert used <= self.most, f"{used} bytes on a disk of {self.most}"

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
