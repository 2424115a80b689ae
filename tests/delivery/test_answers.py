"""The answer reader gives the same result however an answer is split into pieces."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.delivery.http.answers import MAX_HEAD_BYTES, AnswerReader
from starlingwick import interface as io

COMPLETE = b"HTTP/1.1 503 No\r\nX-Server-Load: x0=0.5,x1=9\r\nContent-Length: 4\r\n\r\nbody"
ANSWERS = [
    COMPLETE,
    b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 102 Wait\r\nX: y\r\n\r\n" + COMPLETE,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"HTTP/1.1 429 Slow\r\nX-Backoff-Ms: 250\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + COMPLETE,  # a second answer after the first
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nnoise",
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    b"HTTP/1.1 500 Oh\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
    b"noise\r\n\r\n",
]


def read(pieces: list[bytes]) -> tuple[object, ...]:
    reader = AnswerReader()
    for piece in pieces:
        reader.feed(piece)
    reader.end()
    seen = (reader.outcome, reader.complete, reader.keep, reader.broken, reader.delivered)
    reader.close()
    return seen


@given(st.data())
def test_any_split_gives_the_same_result(data: st.DataObject) -> None:
    answer = data.draw(st.sampled_from(ANSWERS))
    cuts = sorted(data.draw(st.sets(st.integers(1, len(answer) - 1), max_size=8)))
    pieces = [answer[a:b] for a, b in zip([0, *cuts], [*cuts, len(answer)], strict=True)]
    assert read(pieces) == read([answer])


@pytest.mark.parametrize(
    ("answer", "keep"),
    [(ANSWERS[1], True), (ANSWERS[2], True), (ANSWERS[4], False), (ANSWERS[5], False), (ANSWERS[8], False)],
)
def test_complete_answer_keeps_its_connection_only_without_trailing_data(answer: bytes, keep: bool) -> None:
    outcome, complete, kept, broken, _ = read([answer])
    assert outcome is not None and complete and kept is keep and not broken


def test_endless_head_is_rejected_within_the_size_limit() -> None:
    reader = AnswerReader()
    reader.feed(b"HTTP/1.1 503 No\r\n")
    fed = 0
    while not reader.broken:
        reader.feed(b"X-Pad: pad\r\n")
        fed += 12
    assert fed <= MAX_HEAD_BYTES + 12 and reader.outcome is None


def test_report_is_read_from_a_header_or_a_body() -> None:
    report = io.Report(left=0.5, limit=9.0)
    for answer in (COMPLETE, b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nx0=0.5,x1=9"):
        outcome, *_ = read([answer])
        assert getattr(outcome, "report", None) == report
