"""A preloaded folder that is then caught up gives the same index as a start that reads all of it."""

from __future__ import annotations

import random
import shutil
from pathlib import Path

import pytest

from garnetrelay.store import preload
from garnetrelay.store.format import Entry
from garnetrelay.store.reading import segment_number
from garnetrelay.store.storage import Folder
from garnetrelay.store.store import Store

DISK = 60_000  # small: segments are compacted all the time


def step(store: Store, draw: random.Random, count: int) -> None:
    """Records a random change of a message."""
    refs = [ref for ref, entry in store.entries.items() if entry.ended is None]
    what = draw.random()
    if what < 0.45 or not refs:
        body = bytes(draw.randrange(400))
        if store.has_room(f"m{count}", None, len(body)):
            store.record_accepted(Entry(f"m{count}", "keyed", 3, None, 10**12 + count, body))
    elif what < 0.6:
        store.record_attempt(draw.choice(refs), "north", 10**12)
    elif what < 0.7:
        store.record_outcome(draw.choice(refs), draw.random() < 0.5)
    else:
        store.record_end(draw.choice(refs), draw.choice((None, None, "dead")))
    for ref in [ref for ref, entry in store.entries.items() if entry.ended is not None and draw.random() < 0.2]:
        store.record_notice_acknowledged(ref)
    if draw.random() < 0.5:
        store.flush()
        store.maintain()


def state_of(store: Store) -> tuple[object, ...]:
    index = store.index
    return (
        index.entries,
        index.reserved,
        index.live,
        sorted(index.tombstones),
        {n: (s.size, s.live, s.records, s.sealed, sorted(s.entries)) for n, s in index.segments.items()},
        {ref: (e.base, e.spread, sorted(e.stale)) for ref, e in index.entries.items()},
    )


# Seeds 236 to 574: the preloaded index had lost tombstones that a start needs, and counted records of removed segments.
@pytest.mark.parametrize("seed", [*range(60), 236, 270, 293, 314, 427, 500, 511, 518, 535, 574])
def test_preloading_gives_the_same_index(seed: int, tmp_path: Path) -> None:
    draw = random.Random(seed)
    live, copy = tmp_path / "live", tmp_path / "copy"
    live.mkdir()
    store = Store.open(live, DISK)
    for count in range(draw.randrange(50, 600)):
        step(store, draw, count)
    if draw.random() < 0.5:
        store.flush()
    found = preload.preload_folder(Folder(live), segment_number)
    assert found is not None
    for count in range(1000, 1000 + draw.choice((0, 3, 100, 1200))):
        step(store, draw, count)
    store.flush()
    if draw.random() < 0.5:
        store.close()
    else:  # killed, perhaps while it wrote a record
        store.storage.unlock()  # type: ignore[attr-defined]
        newest = max(live.glob("*.seg"))
        newest.write_bytes(newest.read_bytes() + draw.randbytes(draw.randrange(9)))
    shutil.copytree(live, copy)
    assert Folder(live).is_locked() is False
    full, caught_up = Store.open(live, DISK), Store.open(copy, DISK, preloaded=found)
    assert state_of(full) == state_of(caught_up)
    assert full.used == caught_up.used
    full.close()
    caught_up.close()


def test_a_damaged_folder_is_not_preloaded(tmp_path: Path) -> None:
    store = Store.open(tmp_path, DISK)
    for count in range(300):
        step(store, random.Random(count), count)
    store.close()
    first = min(tmp_path.glob("*.seg"))
    data = bytearray(first.read_bytes())
    data[len(data) // 2] ^= 1
    first.write_bytes(data)
    assert preload.preload_folder(Folder(tmp_path), segment_number) is None
