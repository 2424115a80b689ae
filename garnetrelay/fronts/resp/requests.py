"""Parses and validates a client's ENQUEUE command. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_BODY_BYTES = 64 * 1024
HEADER_WORD = re.compile("[!-~]+")


class RejectedError(ValueError):
    """A malformed request; the text is sent to the client."""


@dataclass(slots=True)
class Request:
    """A message that a client submits. Not frozen, since that would make construction three times as slow."""

    ref: str
    klass: str
    dest: int
    key: str | None
    patience_ms: int  # the time left until its deadline
    body: bytes


def parse_enqueue(words: list[bytes]) -> Request:
    """Parse the arguments of an ENQUEUE command."""
    if len(words) != 5:
        raise RejectedError("wrong number of arguments for 'ENQUEUE'")
    values: dict[str, str] = {}
    for part in _text(words[3], 1024, "list").split(","):
        name, equals, value = part.partition("=")
        if not equals:
            raise RejectedError(f"'{part[:40]}' is not name=value")
        values[name] = value
    if len(words[4]) > MAX_BODY_BYTES:
        raise RejectedError("body over 64 KiB")
    for name in ("c", "d", "dest"):
        if name not in values:
            raise RejectedError(f"'{name}' is missing")
    key = values.get("k")
    return Request(
        _header_word(_text(words[2], 200, "id"), "id"),
        values["c"],
        _whole_number(values["dest"], "dest"),
        None if key is None else _header_word(key, "k"),
        _whole_number(values["d"], "d"),
        words[4],
    )


def _text(word: bytes, max_bytes: int, what: str) -> str:
    if not word.isascii() or len(word) > max_bytes:
        raise RejectedError(f"unreadable {what}")
    return word.decode("ascii")


def _header_word(text: str, what: str) -> str:
    # The text goes into an HTTP header unchanged: a space or control character could start another header.
    if HEADER_WORD.fullmatch(text) is None:
        raise RejectedError(f"unreadable {what}")
    return text


def _whole_number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise RejectedError(f"'{what}' is no whole number in range")
    return int(text)
