"""What hosts and discovery send takes bounded memory and work, whatever its form."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

import pytest

from garnetrelay.delivery.http.answers import MAX_ANSWER_BYTES, MAX_HEAD_BYTES, PIECE_BYTES, AnswerReader
from garnetrelay.discovery.host_list import (
    MAX_VERSION_BYTES,
    MAX_VERSION_VALUES,
    ObjectSplitter,
    UnreadableListError,
    check_size,
)

READ_BYTES = 1 << 18  # the most that the loop reads at once


@pytest.mark.parametrize(
    ("begin", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"a:\r\n"),
        (b"HTTP/1.1 500 E\r\na:", b"x"),
        (b"", b"HTTP/1.1 100 C\r\n"),
        (b"HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    ],
    ids=["headers", "line", "informational", "chunks"],
)
def test_an_answer_over_the_limits_is_not_parsed_to_its_end(begin: bytes, repeated: bytes) -> None:
    """A head of 65,000 short fields was parsed whole once it had been read: 6 ms of each of all calls in flight."""
    reader = AnswerReader()
    reader.feed(begin + repeated * (READ_BYTES // len(repeated)))
    assert reader.broken and reader.received <= MAX_ANSWER_BYTES + MAX_HEAD_BYTES + PIECE_BYTES


def peak_bytes(what: Callable[[], object]) -> int:
    tracemalloc.start()
    try:
        what()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def test_a_version_of_very_many_short_lines_takes_little_more_than_its_bytes() -> None:
    """Each line was kept by itself, in several times its bytes."""

    def feed() -> None:
        splitter = ObjectSplitter()
        with pytest.raises(UnreadableListError):
            while True:
                splitter.feed(b'["a",\n' * 10_000)

    assert peak_bytes(feed) < 4 * MAX_VERSION_BYTES


def test_a_version_of_very_many_values_is_not_parsed() -> None:
    """4 MB of empty arrays take 90 MB once they are parsed."""
    with pytest.raises(UnreadableListError):
        check_size(b"[" + b"[]," * MAX_VERSION_VALUES + b"[]]")
    check_size(b'{"index":1,"snapshot":true,"endpoints":[' + b'{"name":"a","address":"b:1"},' * 100_000 + b"{}]}")
