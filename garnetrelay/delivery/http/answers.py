"""Maps a host's HTTP/1.1 response, whether complete, partial or malformed, to the outcome of a call.

``httptools`` (llhttp, strict) does the parsing. This module adds what the parser does not check: size limits for
head and body, data after the end of a response, and a status line with 200, which counts as delivered whatever
follows it.
"""

from __future__ import annotations

import dataclasses
import math
import re
from dataclasses import dataclass

import httptools

from starlingwick import interface as io

MAX_HEAD_BYTES = 16 * 1024
MAX_ANSWER_BYTES = 64 * 1024  # a longer answer is not read to its end just to reuse the connection
PIECE_BYTES = 4 * 1024  # parsed between two checks of the limits
MAX_REPORT_BYTES = 200  # a load report is a few numbers
STATUS_LINE_200 = re.compile(  # a complete status line with 200, after any number of 1xx responses
    rb"(?:HTTP/1\.[01] 1\d\d[^\n]*+\n(?:[^\r\n][^\n]*+\n)*+\r?\n)*+HTTP/1\.[01] 200(?: [^\n]*)?\r?\n"
)


@dataclass(slots=True)
class Outcome:
    """How an exchange ended. ``wait`` is the wait from X-Backoff-Ms, in nanoseconds."""

    status: io.Status
    wait: int = 0
    no_slot: bool = False
    finished: bool = False
    report: io.Report | None = None


def parse_report(text: str) -> io.Report | None:
    """Parses the load report of an X-Server-Load header or a probe's body. None: there is none, or it is malformed."""
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


def read_outcome(status: int, backoff_ms: str, egress_full: str, report: io.Report | None) -> Outcome:
    """Derives the outcome of a call from the status code and headers of its response. ``backoff_ms`` and
    ``egress_full`` are the values of X-Backoff-Ms and X-Egress-Full, empty if the header is missing."""
    match status:
        case 200:
            return Outcome(io.Status.OK, finished=True, report=report)
        case 429:
            wait = (
                int(backoff_ms) * 1_000_000
                if backoff_ms.isascii() and backoff_ms.isdigit() and len(backoff_ms) < 10
                else 0
            )
            return Outcome(io.Status.FULL, wait=wait, report=report)
        case 503 if egress_full == "1":
            return Outcome(io.Status.MOOT, no_slot=True, report=report)
        case 503:
            return Outcome(io.Status.FULL, report=report)
        case 504:
            return Outcome(io.Status.MOOT, report=report)
        case 410:
            return Outcome(io.Status.MOOT, finished=True, report=report)
    return Outcome(io.Status.ERROR, report=report)  # 500 and any other status: the call may have run


class AnswerReader:
    """Reads the responses on one connection, one at a time: ``begin`` before each call, then ``feed``."""

    __slots__ = (
        "_parser",
        "_values",
        "_has_length",
        "_informational",
        "_head",
        "_body",
        "received",
        "status",
        "outcome",
        "complete",
        "keep",
        "broken",
        "in_progress",
    )

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self) -> None:
        """Resets the state before a call is written."""
        self._values: dict[bytes, str] = {}  # the relevant headers received so far
        self._has_length = False  # Content-Length or Transfer-Encoding given: the response does not end at EOF
        self._informational = False
        self._head = b""  # raw bytes, until a head is complete
        self._body = b""  # at most as much as a load report may have
        self.received = 0
        self.status = 0  # of the response, once its head is complete
        self.outcome: Outcome | None = None  # derived from the head, once that is complete
        self.complete = False
        self.keep = False  # complete and nothing after it: the connection may carry another call
        self.broken = False  # malformed, or over the size limits
        self.in_progress = False  # a head or a body has begun and is not complete

    def close(self) -> None:
        """Drops the parser, which is in a reference cycle with this object."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Parses received bytes and updates the attributes. Nothing is parsed beyond a limit that is exceeded."""
        for start in range(0, len(data), PIECE_BYTES):
            self._feed_piece(data[start : start + PIECE_BYTES])

    def _feed_piece(self, data: bytes) -> None:
        if self._parser is None or self.broken:
            return
        self.received += len(data)
        head_incomplete = self.outcome is None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep = False
            self.broken = not self.complete  # an error after a complete response does not invalidate it
        if head_incomplete:
            self._head = (self._head + data)[:MAX_HEAD_BYTES] if self.outcome is None or self._head else data
            if self.outcome is None and self.received > MAX_HEAD_BYTES:
                self.broken = True
            if self.outcome is None and not self.in_progress and not self.broken:
                self._head, self.received = b"", 0  # only complete 1xx responses so far: the final one may take long
        if not self.complete and self.received > MAX_ANSWER_BYTES + MAX_HEAD_BYTES:
            self.broken = True

    def end(self) -> None:
        """Handles EOF from the host, which ends a response without a length."""
        if self.outcome is not None and not self.complete and not self._has_length and not self.broken:
            self._finish()

    @property
    def delivered(self) -> bool:
        """Whether a complete status line with 200 has been received, whatever follows it."""
        if self.outcome is not None:
            return self.outcome.status is io.Status.OK
        return STATUS_LINE_200.match(self._head) is not None

    # ---- parser callbacks

    def on_message_begin(self) -> None:
        if self.complete:
            self.keep = False  # a second response to one call could be taken for the response to the next
        else:
            self.in_progress = True
            self._informational = False
            self._values = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        name = name.lower()
        if name in (b"x-server-load", b"x-backoff-ms", b"x-egress-full"):
            self._values[name] = value.decode("latin-1").strip()
        elif name in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        if self.complete or self._parser is None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            self._informational = True
            self._has_length = False
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
        if not self.complete and len(self._body) < MAX_REPORT_BYTES:
            self._body += body[:MAX_REPORT_BYTES]

    def on_message_complete(self) -> None:
        if self.complete or self._parser is None:
            return
        self.in_progress = False
        if self._informational:
            self._informational = False
        else:
            self.keep = self._parser.should_keep_alive()
            self._finish()

    def _finish(self) -> None:
        self.complete = True
        self.in_progress = False
        outcome = self.outcome
        if outcome is not None and outcome.report is None and 0 < len(self._body) < MAX_REPORT_BYTES:
            report = parse_report(self._body.decode("latin-1"))
            if report is not None:
                self.outcome = dataclasses.replace(outcome, report=report)
