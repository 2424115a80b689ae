"""Identifies the current boot of the machine, within which the monotonic clock is comparable between processes."""

from __future__ import annotations

import os
import uuid
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_BYTES = 16


def boot_id() -> bytes:
    """The kernel's ID of the current boot, 16 bytes. If it can't be read, an ID that no other process has."""
    try:
        return uuid.UUID(BOOT_ID_FILE.read_text().strip()).bytes
    except (OSError, ValueError):
        return os.urandom(BOOT_ID_BYTES)
