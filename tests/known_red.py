"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet.

One line per test: ``path::test | cause | issue``. A listed test still runs and has to fail: if it passes, that is an
error until its line is removed. The summary names it. At most three tests may be listed.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED = 3
FIELD_COUNT = 3


class KnownRedError(ValueError):
    """The list is invalid; the text says why."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that is expected to fail."""

    test: str  # pytest's node id without parameters
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """The listed tests; KnownRedError for an invalid line, a test listed twice, or too many tests."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    listed = [_parse(line) for line in lines]
    if len(listed) > MAX_LISTED:
        raise KnownRedError(f"{len(listed)} tests are listed, at most {MAX_LISTED} may be")
    if len({known.test for known in listed}) < len(listed):
        raise KnownRedError("a test is listed twice")
    return listed


def _parse(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != FIELD_COUNT or not all(fields) or "::" not in fields[0]:
        raise KnownRedError(f"not 'path::test | cause | issue': {line}")
    return KnownRed(*fields)


def listed_now() -> list[KnownRed]:
    """The tests that the repository lists; none if there is no list."""
    return read(LIST.read_text()) if LIST.exists() else []
