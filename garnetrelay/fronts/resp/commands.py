"""Splits a client's bytes into commands: RESP2 arrays of bulk strings. No I/O.

What a client announces, a number of words or a length, is checked against the limits before anything is kept for it, so
that a command in progress takes no more memory than the bytes received of it.
"""

from __future__ import annotations

import re

MAX_COMMAND_BYTES = 80 * 1024  # a message with the longest body, and its framing
MAX_WORDS = 64
MAX_LINE_BYTES = 10  # a type, a number and the line's end
COUNT, LENGTH = ord("*"), ord("$")  # the types of the two lines that announce a number
ZERO = ord("0")
LINE_END = b"\r\n"
INCOMPLETE_LINE = re.compile(rb"[*$](?:(?:0|[1-9]\d*)\r?)?")


class ProtocolError(ValueError):
    """What was received is no command, so nothing after it can be read; the text is sent to the client."""


class CommandReader:
    """The commands of one connection: ``feed`` what was received, then call ``next_command`` until it returns None."""

    __slots__ = ("unread", "_needed")

    def __init__(self) -> None:
        self.unread = bytearray()  # the bytes behind the last command
        self._needed = 1  # a command cannot be complete with fewer bytes in ``unread``

    @property
    def missing_bytes(self) -> int:
        """How many more bytes the next command needs at least, as far as its announced lengths tell."""
        return max(0, self._needed - len(self.unread))

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        self.unread += data

    def clear(self) -> None:
        """Drop what is unread, and its memory."""
        self.unread = bytearray()
        self._needed = 1

    def next_command(self) -> list[bytes] | None:
        """The words of the next command; None as long as it is incomplete. ProtocolError if it is none."""
        unread = self.unread
        if len(unread) < self._needed:
            return None
        announced = self._announced(COUNT, 0)
        if announced is None:
            return None
        count, position = announced
        if not 0 < count <= MAX_WORDS:
            raise ProtocolError("too many words" if count else "a command is an array of bulk strings")
        words = []
        for _ in range(count):
            announced = self._announced(LENGTH, position)
            if announced is None:
                return None
            length, start = announced
            end = start + length
            position = end + len(LINE_END)
            if position > MAX_COMMAND_BYTES:
                raise ProtocolError("command too long")
            if len(unread) < position:
                self._needed = position
                return None
            if not unread.startswith(LINE_END, end):
                raise ProtocolError("a length is wrong")
            words.append(bytes(unread[start:end]))
        del unread[:position]
        self._needed = 1
        return words

    def _announced(self, line_type: int, start: int) -> tuple[int, int] | None:
        """The number that a line announces, and where the line ends; None as long as it is incomplete."""
        unread = self.unread
        end = unread.find(LINE_END, start, start + MAX_LINE_BYTES)
        if end > start and unread[start] == line_type:
            digits = unread[start + 1 : end]
            if digits.isdigit() and (digits[0] != ZERO or len(digits) == 1):
                return int(digits), end + len(LINE_END)
        line = unread[start : start + MAX_LINE_BYTES]
        if line and (line[0] != line_type or INCOMPLETE_LINE.fullmatch(line) is None):
            raise ProtocolError("a command is an array of bulk strings")
        if len(line) == MAX_LINE_BYTES:
            raise ProtocolError("command too long")
        self._needed = len(unread) + 1
        return None
