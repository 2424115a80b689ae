"""Readings of this process and of a child: memory and processor time (Linux)."""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Callable
from pathlib import Path


def resident(pid: int | str = "self") -> int:
    """Resident memory of a process, bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def most_resident(pid: int | str = "self") -> int:
    """The most that a process has had resident so far, bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:")) * 1024


def settled() -> int:
    """Resident memory of this process once all that is dead has gone."""
    gc.collect()
    return resident()


def spent(step: Callable[[], object]) -> float:
    """Processor seconds of one step, collections of garbage included."""
    began = time.process_time()
    step()
    return time.process_time() - began
