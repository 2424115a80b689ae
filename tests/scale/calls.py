"""Counts Python function calls in a step: a measure of work that does not depend on the machine."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def calls(step: Callable[[], object]) -> int:
    """How many Python functions were entered."""
    count = 0

    def profile(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal count
        count += event == "call"

    sys.setprofile(profile)
    try:
        step()
    finally:
        sys.setprofile(None)
    return count
