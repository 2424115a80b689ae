"""What the journal costs: records, turns while it is compacted, starts, disk and memory; old beside new in one run."""

from __future__ import annotations

import gc
import importlib.util
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType
from typing import Any

from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store

DISK = 2_000_000_000
BODY = 1000


@contextmanager
def folder() -> Iterator[Path]:
    """A folder for a run, removed behind it."""
    path = Path(tempfile.mkdtemp(prefix="store-"))
    try:
        yield path
    finally:
        shutil.rmtree(path)


class New:
    """The store in segments."""

    name = "segments"

    def __init__(self, path: Path) -> None:
        self.journal: Any = Store.open(path, DISK)
        self.entry: Any = Entry

    def tend(self) -> None:
        """A step of compaction."""
        self.journal.maintain()

    def used(self, path: Path) -> int:
        """Bytes of all files, in whole blocks."""
        return int(self.journal.used)


class Old:
    """The single file of versions before, from a copy of its module."""

    name = "one file"

    def __init__(self, path: Path, module: ModuleType) -> None:
        self.journal: Any = module.Journal(path, DISK)
        # That version's names of the store's methods.
        self.journal.record_accepted, self.journal.record_attempt = self.journal.taken, self.journal.trying
        self.journal.record_end = self.journal.ended
        self.entry: Any = module.Entry

    def tend(self) -> None:
        """Nothing: this version compacts by itself."""

    def used(self, path: Path) -> int:
        """Bytes of the one file."""
        return (path / "journal").stat().st_size


def load_old(file: Path) -> ModuleType:
    """The module of an earlier version, from a file; an OSError where there is none."""
    spec = importlib.util.spec_from_file_location("old_journal", file)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["old_journal"] = module
    spec.loader.exec_module(module)
    return module


def percentile(values: list[float], share: float) -> float:
    """The value under which so much of all lies (``share`` from 0 to 1)."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def life(side: Any, ref: str, body: bytes) -> None:
    """A message that comes, goes out and is delivered: three records, with a flush for each turn."""
    journal = side.journal
    journal.record_accepted(side.entry(ref, "unsafe", 3, None, 1_900_000_000_000, body))
    journal.record_attempt(ref, "north", 1_800_000_000_000)
    journal.flush()
    journal.record_end(ref, None)
    journal.flush()
    side.tend()


def measure(make: Any, live: int, lives: int) -> dict[str, float]:
    """One side: CPU a record, turns with so many live, disk over live data, start."""
    found: dict[str, float] = {}
    with folder() as path:
        side = make(path)
        body = os.urandom(BODY)
        for n in range(2000):
            life(side, f"w{n:015d}", body)
        began = time.process_time()
        for n in range(10_000):
            life(side, f"x{n:015d}", body)
        found["CPU a record, us"] = (time.process_time() - began) / 30_000 * 1e6
        for n in range(live):
            side.journal.record_accepted(side.entry(f"l{n:015d}", "unsafe", 3, None, 1_900_000_000_000, body))
            if n % 50 == 49:
                side.journal.flush()
                side.tend()
        side.journal.flush()
        gc.collect()
        gc.freeze()
        turns, spent = [], []
        over = 0.0
        for n in range(lives):
            # Some of those that live for long end too, and others come: each segment holds some of both.
            began, cpu = time.perf_counter(), time.thread_time()
            life(side, f"y{n:015d}", body)
            if n % 4 == 0:
                side.journal.record_end(f"l{n * 7919 % live:015d}", None)
                side.journal.record_accepted(
                    side.entry(f"l{n * 7919 % live:015d}", "unsafe", 3, None, 1_900_000_000_000, body)
                )
                side.journal.flush()
            turns.append((time.perf_counter() - began) * 1000)
            spent.append((time.thread_time() - cpu) * 1000)
            if n % 100 == 0 and n > lives // 4:
                over = max(over, side.used(path) / (live * (BODY + 60)))
        gc.unfreeze()
        found["longest turn, ms"] = max(turns)
        found["turn p99.9, ms"] = percentile(turns, 0.999)
        found["longest turn, ms of CPU"] = max(spent)  # without what the disk and other processes took
        found["turn p99.9, ms of CPU"] = percentile(spent, 0.999)
        found["disk over live data, at most"] = over
        side.journal.close()
        before = resident()
        began = time.perf_counter()
        side = make(path)
        found["start, s"] = time.perf_counter() - began
        found["live after the start"] = len(side.journal.entries)
        found["memory a live message, bytes"] = (resident() - before) / max(1, live)
        side.journal.close()
    return found


def resident() -> int:
    """The memory that this process has (bytes)."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def compare(live: int, lives: int, old: Path | None) -> None:
    """A table, each side in a process of its own."""
    table: dict[str, dict[str, float]] = {}
    for name in ("one file", "segments") if old is not None else ("segments",):
        words = [sys.executable, "-m", "benchmarks.store", name, str(live), str(lives), str(old or "")]
        done = subprocess.run(words, capture_output=True, text=True, check=True)
        table[name] = json.loads(done.stdout)
    print(f"{live} live messages of {BODY} bytes, {lives} lives meanwhile")
    print(f"{'':<32}" + "".join(f"{name:>14}" for name in table))
    for row in next(iter(table.values())):
        print(f"{row:<32}" + "".join(f"{side[row]:>14.2f}" for side in table.values()))


if __name__ == "__main__":
    which, live_, lives_, old_ = sys.argv[1:]
    maker: Any = New
    if which == "one file":
        module_ = load_old(Path(old_))
        maker = lambda path: Old(path, module_)  # noqa: E731
    print(json.dumps(measure(maker, int(live_), int(lives_))))
