"""The command reader gives the same commands however they are split, and keeps nothing that was only announced."""

from __future__ import annotations

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.fronts.resp.commands import MAX_COMMAND_BYTES, MAX_WORDS, CommandReader, ProtocolError

WORDS = st.lists(st.binary(max_size=60), min_size=1, max_size=7)
FRAGMENTS = [
    b"*",
    b"$",
    b"\r\n",
    b"\r",
    b"\n",
    b"0",
    b"1",
    b"5",
    b"00",
    b"-1",
    b":",
    b"+",
    b"PING",
    b"*1\r\n$4\r\nPING\r\n",
]


def read_all(pieces: list[bytes]) -> list[list[bytes]]:
    """All complete commands of the pieces; what was received is never exceeded by what is kept."""
    reader, commands, received = CommandReader(), [], 0
    for piece in pieces:
        reader.feed(piece)
        received += len(piece)
        while (words := reader.next_command()) is not None:
            commands.append(words)
        assert len(reader.unread) <= received
    return commands


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]


@given(st.lists(WORDS, max_size=4), st.lists(st.integers(0, 10_000), max_size=12))
def test_commands_are_the_same_however_they_are_split(commands: list[list[bytes]], cuts: list[int]) -> None:
    data = b"".join(hiredis.pack_command(tuple(words)) for words in commands)  # type: ignore[arg-type]
    assert read_all(split(data, cuts)) == read_all([data[n : n + 1] for n in range(len(data))]) == commands


@given(st.lists(st.sampled_from(FRAGMENTS), max_size=12), st.lists(st.integers(0, 200), max_size=6))
def test_what_is_accepted_is_just_what_its_words_are_written_as(fragments: list[bytes], cuts: list[int]) -> None:
    """A wrong length that another reader of the same bytes would see differently is an error, never a message."""
    data = b"".join(fragments)
    reader, written = CommandReader(), b""
    try:
        for piece in split(data, cuts):
            reader.feed(piece)
            while (words := reader.next_command()) is not None:
                written += hiredis.pack_command(tuple(words))  # type: ignore[arg-type]
    except ProtocolError:
        assert data.startswith(written)
        return
    assert written + reader.unread == data


@pytest.mark.parametrize(
    "data",
    [
        b"*%d\r\n" % (MAX_WORDS + 1),
        b"*70000000\r\n",
        b"*2\r\n*16000\r\n",
        b"*1\r\n~3\r\n",
        b"*1\r\n%1\r\n",
        b"*1\r\n$" + b"9" * 5000,
        b"*1\r\n$%d\r\n" % MAX_COMMAND_BYTES,
        b"*2\r\n$50000\r\n" + bytes(50_000) + b"\r\n$50000\r\n",
        b"*0\r\n",
        b"*01\r\n",
        b"*1\r\n$04\r\n",
        b"*1\r\n$4\rPING",
    ],
    ids=[
        "words",
        "list",
        "nested",
        "set",
        "map",
        "digits",
        "length",
        "lengths",
        "none",
        "zero",
        "zero length",
        "line end",
    ],
)
def test_an_announced_size_over_the_limits_is_an_error_before_anything_is_kept_for_it(data: bytes) -> None:
    """900 clients that announced two nested lists of 16,000 entries in 27 bytes each took 180 MB."""
    with pytest.raises(ProtocolError):
        read_all([data])
    with pytest.raises(ProtocolError):
        read_all([data[n : n + 1] for n in range(len(data))])
