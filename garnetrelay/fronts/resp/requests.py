"""A client's command as a request: its words, checked. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_BODY = 64 * 1024
HEADER_WORD = re.compile("[!-~]+")


class RejectedError(ValueError):
    """A request that cannot be understood; the text goes to the client."""


@dataclass(slots=True)
class Request:
    """A message that a client hands in. (Not frozen: making one would cost three times as much.)"""

    ref: str
    klass: str
    dest: int
    key: str | None
    patience_ms: int
    body: bytes


def parse_enqueue(words: list[bytes]) -> Request:
    """A request from the words of its command."""
    if len(words) != 5:
        raise RejectedError("wrong number of arguments for 'ENQUEUE'")
    values: dict[str, str] = {}
    for part in _text(words[3], 1024, "list").split(","):
        name, equals, value = part.partition("=")
        if not equals:
            raise RejectedError(f"'{part[:40]}' is not name=value")
        values[name] = value
    if len(words[4]) > MOST_BODY:
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


def _text(word: bytes, most: int, what: str) -> str:
    if not word.isascii() or len(word) > most:
        raise RejectedError(f"unreadable {what}")
    return word.decode("ascii")


def _header_word(text: str, what: str) -> str:
    # It goes into an HTTP header unchanged: a space or a control character there would be another header.
    if HEADER_WORD.fullmatch(text) is None:
        raise RejectedError(f"unreadable {what}")
    return text


def _whole_number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise RejectedError(f"'{what}' is no whole number in range")
    return int(text)
