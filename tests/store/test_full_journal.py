"""A journal at its limit, and a folder that accepts no writes for a while: ends must be put on record all the same."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable

import pytest

from garnetrelay.store import compaction_policy
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from tests.store.simulated import Disk

DISK = 200_000
BODY = bytes(4000)


def entry(ref: str, body: bytes = BODY) -> Entry:
    return Entry(ref, "keyed", 3, "key", 10**12, body)


def fill(store: Store, end: Callable[[Store, str], None]) -> int:
    """Accepts and ends messages until three times the disk went by, or the store has no room; returns how many."""
    count = 0
    while count * len(BODY) < 3 * DISK and store.has_room(f"m{count}", "key", len(BODY)):
        store.record_accepted(entry(f"m{count}"))
        store.flush()
        end(store, f"m{count}")
        store.flush()
        store.maintain()
        count += 1
    return count


def end_unacknowledged(store: Store, ref: str) -> None:
    store.record_end(ref, "dead")


def test_bodies_of_ended_messages_make_room(caplog: pytest.LogCaptureFixture) -> None:
    """Bodies of messages whose notices stay unacknowledged filled the journal, and no later end could be recorded."""
    disk = Disk(max_bytes=DISK)
    store = Store(disk, DISK)
    count = fill(store, end_unacknowledged)
    assert count * len(BODY) >= DISK // 2 and not store.write_failed and not caplog.records
    store.close()
    after = Store(disk.stopped(), DISK)
    assert len(after.entries) == count and all(found.ended == "dead" for found in after.entries.values())
    assert after.index.live == sum(segment.live for segment in after.index.segments.values())


def test_a_full_folder_is_compacted_by_the_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    """A folder full of records that nothing needs refused every later record, for good."""
    disk = Disk(max_bytes=DISK)
    store = Store(disk, DISK)
    with monkeypatch.context() as patched:
        patched.setattr(Store, "_make_room", lambda self: None)  # as an earlier version left such folders
        patched.setattr(compaction_policy, "compaction_due", lambda *_: False)
        store.record_accepted(entry("kept"))
        for number in range(DISK):
            store.record_accepted(entry(f"m{number}"))
            store.record_end(f"m{number}", None)
            if not store.flush():
                break
    store.record_attempt("kept", "north", 1000)
    store.maintain()
    assert not store.write_failed and not store.unrecorded
    entries = Store(disk.stopped(), DISK).entries
    assert list(entries) == ["kept"] and entries["kept"].attempts == 1


def test_ends_are_recorded_ahead_of_what_does_not_fit(monkeypatch: pytest.MonkeyPatch) -> None:
    """All states were written in one piece, so that an end waited for bodies that did not fit."""
    disk = Disk(max_bytes=DISK)
    store = Store(disk, DISK)
    store.record_accepted(entry("ended"))
    for number in range(8):
        store.record_accepted(entry(f"pending{number}"))
    assert store.flush()
    append = Disk.append
    largest = 0

    def limited(self: Disk, handle: int, data: bytes) -> None:
        if len(data) > largest:
            raise OSError(errno.ENOSPC, "no space")
        append(self, handle, data)

    monkeypatch.setattr(Disk, "append", limited)
    for number in range(8):
        store.record_attempt(f"pending{number}", "north", 1000)
    store.record_end("ended", "bounced")
    assert not store.flush() and "ended" in store.unrecorded
    largest = len(BODY) * 5  # a piece of the states fits, all of them do not
    store.maintain()
    assert "ended" not in store.unrecorded
    found = Store(disk.stopped(), DISK).entries["ended"]
    assert found.ended == "bounced"


def test_a_segment_stays_while_its_copies_are_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """The retry compacts: a segment whose copied records never reached the disk must not be removed then."""
    disk = Disk(max_bytes=DISK)
    store = Store(disk, DISK)
    store.record_accepted(entry("kept"))
    store.flush()
    fill(store, lambda one, ref: one.record_end(ref, None))
    segment = store.entries["kept"].base
    assert segment != store._active.number
    with monkeypatch.context() as patched:
        patched.setattr(Disk, "append", refuse)
        store._compact_segment(segment, DISK, 1000)
    assert "kept" in store.unrecorded
    store.write_failed = False  # as within the retry, before the message's state is written
    store._make_room()
    store._remove_segment(segment)
    assert "kept" in Store(disk.stopped(), DISK).entries


@pytest.mark.parametrize("seed", range(30))
def test_a_folder_that_takes_writes_again_records_all_ends(seed: int) -> None:
    """Bodies of all sizes, notices acknowledged late or never, writes that fail for a while: once the folder takes writes
    again, all is on record within a few steps, and a message is accepted again once notices are acknowledged."""
    draw = random.Random(seed)
    fails = {begin + n: errno.ENOSPC for begin in draw.sample(range(20, 900), 4) for n in range(draw.randrange(1, 25))}
    disk = Disk(draw=draw, fails=fails, max_bytes=DISK)
    store = Store(disk, DISK)
    for number in range(600):
        act(store, draw, number)
        if draw.random() < 0.7:
            store.flush()
            store.maintain()
    disk.fails.clear()
    for _ in range(5):
        store.flush()
        store.maintain()
    assert not store.write_failed and not store.unrecorded
    states = {ref: (found.ended, found.attempts, len(found.body)) for ref, found in store.entries.items()}
    after = Store(disk.stopped(), DISK)
    assert {ref: (found.ended, found.attempts, len(found.body)) for ref, found in after.entries.items()} == states
    for ref in list(after.entries):
        after.record_end(ref, None)
    assert after.flush() and after.has_room("another", "key", DISK // 10) and after.index.live <= DISK // 2


def act(store: Store, draw: random.Random, number: int) -> None:
    """Records a random change of a message."""
    body = bytes(draw.choice((0, 100, 3000, 12_000)))
    if draw.random() < 0.5 and store.has_room(f"m{number}", "key", len(body)):
        store.record_accepted(entry(f"m{number}", body))
    ref = draw.choice([*store.entries, None])
    if ref is None:
        return
    found = store.entries[ref]
    if found.ended is not None:
        if draw.random() < 0.3:
            store.record_notice_acknowledged(ref)
    elif found.attempts < 6 and draw.random() < 0.5:
        store.record_attempt(ref, "north", 1000)
        store.record_outcome(ref, True)
    else:
        store.record_end(ref, draw.choice(("dead", "bounced", None)))


def refuse(self: Disk, handle: int, data: bytes) -> None:
    raise OSError(errno.EIO, "input/output error")
