"""Reads a host's answers: what an HTTP/1.1 response, whole, in part or spoilt, says of a call.

``httptools`` (llhttp, strict) does the parsing. What it must not be trusted with stands here: bounds on a
head and a body, what comes behind an answer, and a first line with 200, which is true whatever follows it.
"""

from __future__ import annotations

import dataclasses
import math
import re
from dataclasses import dataclass

import httptools

from starlingwick import interface as io

MOST_HEAD = 16 * 1024
MOST_ANSWER = 64 * 1024  # beyond this an answer is not worth reading for its connection's sake
MOST_REPORT = 200  # a report is a few figures
DELIVERED = re.compile(  # a whole first line with 200, behind any number of 1xx answers
    rb"(?:HTTP/1\.[01] 1\d\d[^\n]*+\n(?:[^\r\n][^\n]*+\n)*+\r?\n)*+HTTP/1\.[01] 200(?: [^\n]*)?\r?\n"
)


@dataclass(slots=True)
class Outcome:
    """How an exchange ended. ``wait`` is the told wait in nanoseconds."""

    status: io.Status
    wait: int = 0
    no_slot: bool = False
    finished: bool = False
    report: io.Report | None = None


def parse_report(text: str) -> io.Report | None:
    """The report in a load header or a probe's body; None where there is none or it can't be read."""
    values: dict[str, float] = {}
    for part in text.strip().split(","):
        name, _, value = part.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            return None
    left, limit = values.get("x0"), values.get("x1")
    if left is None and limit is None or not all(math.isfinite(v) and v >= 0 for v in values.values()):
        return None
    return io.Report(left=left or 0.0, limit=limit or 0.0)


def read_outcome(status: int, told: str, full: str, report: io.Report | None) -> Outcome:
    """What an answer's first line and headers say of a call: ``told`` and ``full`` are the values of
    X-Backoff-Ms and X-Egress-Full, empty where there are none."""
    match status:
        case 200:
            return Outcome(io.Status.OK, finished=True, report=report)
        case 429:
            wait = int(told) * 1_000_000 if told.isascii() and told.isdigit() and len(told) < 10 else 0
            return Outcome(io.Status.FULL, wait=wait, report=report)
        case 503 if full == "1":
            return Outcome(io.Status.MOOT, no_slot=True, report=report)
        case 503:
            return Outcome(io.Status.FULL, report=report)
        case 504:
            return Outcome(io.Status.MOOT, report=report)
        case 410:
            return Outcome(io.Status.MOOT, finished=True, report=report)
    return Outcome(io.Status.ERROR, report=report)  # 500, and whatever else: it may have run


class AnswerReader:
    """The answers on one connection, one at a time: ``begin`` before each call, then ``feed``."""

    __slots__ = (
        "_parser",
        "_values",
        "_framed",
        "_informational",
        "_head",
        "_body",
        "received",
        "status",
        "outcome",
        "complete",
        "keep",
        "broken",
        "pending",
    )

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self) -> None:
        """A call is about to be written: nothing of its answer has come."""
        self._values: dict[bytes, str] = {}  # the headers that mean something, as far as they have come
        self._framed = False  # its length is told: it does not end with its connection
        self._informational = False
        self._head = b""  # raw, while no head has come whole
        self._body = b""  # as much of it as a report may have
        self.received = 0
        self.status = 0  # of the answer, once its head is whole
        self.outcome: Outcome | None = None  # what the head says, once that is whole
        self.complete = False
        self.keep = False  # whole, and nothing behind it: the connection may carry another call
        self.broken = False  # it can't be read, or is longer than anything that is worth reading
        self.pending = False  # a head has begun and is not whole, or a body is still coming

    def close(self) -> None:
        """Let the parser go: it and this object hold each other."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Take in what has come; what it adds up to stands in the attributes."""
        if self._parser is None or self.broken:
            return
        self.received += len(data)
        headless = self.outcome is None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep = False
            self.broken = not self.complete  # behind a whole answer it takes nothing back
        if headless:
            self._head = (self._head + data)[:MOST_HEAD] if self.outcome is None or self._head else data
            if self.outcome is None and self.received > MOST_HEAD:
                self.broken = True
            if self.outcome is None and not self.pending and not self.broken:
                self._head, self.received = b"", 0  # 1xx answers, whole: the answer may take its time
        if not self.complete and self.received > MOST_ANSWER + MOST_HEAD:
            self.broken = True

    def end(self) -> None:
        """The host sends nothing more: an answer without a length ends here."""
        if self.outcome is not None and not self.complete and not self._framed and not self.broken:
            self._finish()

    @property
    def delivered(self) -> bool:
        """A whole first line with 200 has come: true, whatever becomes of the rest."""
        if self.outcome is not None:
            return self.outcome.status is io.Status.OK
        return DELIVERED.match(self._head) is not None

    # ---- the parser calls these

    def on_message_begin(self) -> None:
        if self.complete:
            self.keep = False  # a second answer to one call: the next could not be told from it
        else:
            self.pending = True
            self._informational = False
            self._values = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        name = name.lower()
        if name in (b"x-server-load", b"x-backoff-ms", b"x-egress-full"):
            self._values[name] = value.decode("latin-1").strip()
        elif name in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        if self.complete or self._parser is None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            self._informational = True
            self._framed = False
            return
        self.status = status
        load = self._values.get(b"x-server-load")
        self.outcome = read_outcome(
            status,
            self._values.get(b"x-backoff-ms", ""),
            self._values.get(b"x-egress-full", ""),
            parse_report(load) if load is not None else None,
        )

    def on_body(self, body: bytes) -> None:
        if not self.complete and len(self._body) < MOST_REPORT:
            self._body += body[:MOST_REPORT]

    def on_message_complete(self) -> None:
        if self.complete or self._parser is None:
            return
        self.pending = False
        if self._informational:
            self._informational = False
        else:
            self.keep = self._parser.should_keep_alive()
            self._finish()

    def _finish(self) -> None:
        self.complete = True
        self.pending = False
        outcome = self.outcome
        if outcome is not None and outcome.report is None and 0 < len(self._body) < MOST_REPORT:
            report = parse_report(self._body.decode("latin-1"))
            if report is not None:
                self.outcome = dataclasses.replace(outcome, report=report)
