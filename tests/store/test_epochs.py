"""Epochs of attempts in the journal: records without an epoch are unchanged, and earlier programs ignore epochs."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from garnetrelay.cli.journal import command
from garnetrelay.store import format as fmt
from garnetrelay.store import index
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store

# A TRY of "m-1" in "north", as versions before epochs wrote it.
BEFORE = bytes.fromhex("a70300000012e9ec227403000001a3185c5000056d2d316e6f727468")


def test_a_record_without_an_epoch_is_unchanged() -> None:
    assert fmt.encode_try("m-1", "north", 1_800_000_000_000) == BEFORE


def test_an_epoch_is_read_and_ignored_by_readers_without_epochs() -> None:
    stamped = fmt.record_at(fmt.encode_try("m-1", "north", 7, 1 << 47), 0)
    plain = fmt.record_at(fmt.encode_try("m-1", "north", 7), 0)
    assert stamped is not None and plain is not None
    assert fmt.read_try(stamped) == fmt.read_try(plain) == ("m-1", 7, "north")
    assert fmt.read_epoch(stamped) == 1 << 47 and fmt.read_epoch(plain) is None
    assert stamped.size == plain.size + 8


def test_a_truncated_epoch_is_a_format_error() -> None:
    complete = fmt.encode_try("m-1", "north", 7, 9)
    truncated = fmt.record_at(fmt.pack(fmt.Kind.TRY, complete[fmt.RECORD.size : -3]), 0)
    assert truncated is not None
    with pytest.raises(fmt.FormatError):
        fmt.read_epoch(truncated)


def test_a_store_recovers_attempts_with_epochs(tmp_path: Path) -> None:
    store = Store.open(tmp_path, 1_000_000, epochs=True)
    store.record_accepted(Entry("m-1", "safe", 4, None, 10**13, b"body"))
    store.record_attempt("m-1", "north", 1000, 17)
    store.flush()
    store.close()
    again = Store.open(tmp_path, 1_000_000)
    assert again.entries["m-1"].attempts == 1 and again.entries["m-1"].trying_at == 1000
    again.close()
    output = CliRunner().invoke(command, ["show", str(tmp_path), "--records", "--ref", "m-1"]).output
    assert "TRY m-1 at 1000 in north epoch 17" in output


def test_space_for_epochs_is_reserved_only_if_they_are_recorded(tmp_path: Path) -> None:
    for epochs, more in ((False, 0), (True, 8 * 6)):
        (tmp_path / str(epochs)).mkdir()
        store = Store.open(tmp_path / str(epochs), 1_000_000, max_attempts=6, epochs=epochs)
        store.record_accepted(Entry("m-1", "safe", 4, None, 10**13, b"body"))
        assert store.index.reserved == index.reserved_bytes("m-1", None, 4, 6) + more
        store.close()
