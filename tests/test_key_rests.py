"""Rests of keys behind attempts whose work may go on: a kill in between must not shorten them."""

from __future__ import annotations

import errno
import random
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from garnetrelay.boot import boot_id
from garnetrelay.key_rests import KeyRests
from garnetrelay.store import format as fmt
from garnetrelay.store.format import Entry, KeyRest
from garnetrelay.store.store import Store
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.snapshot import block_key
from tests.helpers import S, settings
from tests.sockets import Client, Field
from tests.store.simulated import Disk
from tests.test_process import Process

DISK = 60_000
GAP_S = 3
BOOT, OTHER_BOOT = bytes(range(16)), bytes(16)


# ---- real processes


@pytest_asyncio.fixture
async def process(field: Field) -> AsyncIterator[Process]:
    field.facts["rules"]["turnGap"] = GAP_S * S
    for klass in field.facts["classes"]:
        klass["inTurn"] = True
    made = Process(field)
    yield made
    if made.child is not None and made.child.returncode is None:
        made.child.kill()
        await made.child.wait()


async def enqueue(client: Client, ref: str, klass: str, d: int = 8000) -> None:
    answer = await client.ask("ENQUEUE", "0000", ref, f"c={klass},d={d},k=account,dest=3", b"x")
    assert answer == b"OK"


@pytest.mark.parametrize("end", ["reset", "deadline"])
async def test_a_key_rests_behind_a_kill(field: Field, process: Process, end: str) -> None:
    """The message had ended with its attempt, so that the next process found nothing of its key, and sent the next one
    at once."""
    client = await process.start()
    if end == "reset":
        await enqueue(client, "first", "unsafe")
        call = await field.host.next_call()
        began = time.monotonic()
        call.close()
    else:
        await enqueue(client, "first", "safe", d=500)
        await field.host.next_call()
        began = time.monotonic()
    assert (await field.platform.next_notice())["ref"] == "first"
    await enqueue(client, "second", "safe")
    await process.end(signal.SIGKILL)
    await process.start()
    again = await field.host.next_call()
    assert again.headers["x-request-id"] == "second"
    assert time.monotonic() >= began + GAP_S
    again.answer(200)


# ---- which rests are recorded, and for how long they hold


def rests(gap_s: int = GAP_S, boot: bytes = BOOT) -> KeyRests:
    return KeyRests(settings(rules={"turn_gap": gap_s * S}), {"safe": 0, "ordered": 3}, lambda: boot)


def test_only_attempts_that_may_go_on_and_ordered_classes_rest() -> None:
    for status in io.Status:
        rest = rests().after("ordered", "k", status, S)
        may_go_on = status in (io.Status.TIMEOUT, io.Status.RESET, io.Status.CANCELLED)
        assert rest == (KeyRest("k", S + GAP_S * S, BOOT) if may_go_on else None)
    assert rests().after("safe", "k", io.Status.RESET, S) is None
    assert rests().after("ordered", None, io.Status.RESET, S) is None
    assert rests(gap_s=0).after("ordered", "k", io.Status.RESET, S) is None


def test_rests_of_another_boot_begin_anew_and_none_is_longer_than_the_gap() -> None:
    now = 100 * S
    recorded = [
        KeyRest("over", now, BOOT),
        KeyRest("half", now + S, BOOT),
        KeyRest("longer gap before", now + 99 * S, BOOT),
        KeyRest("other boot", 5, OTHER_BOOT),
    ]
    assert {rest.key: (rest.until - now, rest.boot) for rest in rests().in_force(recorded, now)} == {
        "half": (S, BOOT),
        "longer gap before": (GAP_S * S, BOOT),
        "other boot": (GAP_S * S, BOOT),
    }
    assert rests(gap_s=0).in_force(recorded, now) == []


def test_the_boot_has_an_id_that_all_processes_share(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    assert len(boot_id()) == 16
    monkeypatch.setattr("garnetrelay.boot.BOOT_ID_FILE", tmp_path / "missing")
    assert len(boot_id()) == 16 and boot_id() != boot_id()


def test_a_blocked_key_is_never_blocked_for_less() -> None:
    pacer = Pacer(settings(), 1)
    for until in (5, 9, 7):
        block_key(pacer, "k", until)
    assert pacer.blocked_keys == {"k": 9}


# ---- the journal


def churn(store: Store, count: int = 400) -> None:
    """Writes and ends messages until all segments of now are compacted."""
    for number in range(count):
        store.record_accepted(Entry(f"m{number}", "safe", 1, None, number, bytes(300)))
        store.record_end(f"m{number}", None)
        store.flush()
        store.maintain()


def test_rests_survive_compaction_and_the_latest_of_a_key_counts() -> None:
    disk = Disk(max_bytes=DISK)
    store = Store(disk, DISK)
    for key, until in (("a", 10), ("b", 20), ("a", 30)):
        store.record_key_rest(KeyRest(key, until, BOOT), 0)
    first = store.index.rests["a"].segment
    churn(store)
    store._compact_segment(first, DISK, DISK)
    assert first not in store.index.segments
    assert store.index.live == sum(segment.live for segment in store.index.segments.values())
    after = Store(disk.stopped(), DISK)
    assert sorted(after.key_rests) == [KeyRest("a", 30, BOOT), KeyRest("b", 20, BOOT)]
    after.record_key_rest(KeyRest("c", 90, BOOT), 50)  # both are over
    assert after.key_rests == [KeyRest("c", 90, BOOT)]
    reserved = after.index.reserved
    after.drop_key_rest("c")
    assert after.index.reserved < reserved and after.index.reserved == after.index.live == 0


@pytest.mark.parametrize("seed", range(20))
def test_rests_are_written_again_where_writes_fail(seed: int) -> None:
    """After any failed writes and a stop behind the retry, every rest is found."""
    draw = random.Random(seed)
    begin = draw.randrange(3, 600)
    fails = {begin + number: errno.ENOSPC for number in range(draw.randrange(1, 30))}
    disk = Disk(draw=draw, fails=fails, max_bytes=DISK)
    store = Store(disk, DISK)
    for number in range(40):
        store.record_key_rest(KeyRest(f"k{number}", 1000 + number, BOOT), 0)
        churn(store, 10)
    for _ in range(60):
        store.maintain()
    assert not store.write_failed
    after = Store(disk.stopped(), DISK)
    assert sorted(rest.key for rest in after.key_rests) == sorted(f"k{number}" for number in range(40))


def test_a_rest_is_read_as_an_empty_note_by_earlier_versions() -> None:
    """They pass over the content of a NOTE; a kind of its own would have been damage to them."""
    data = fmt.header(1) + fmt.encode_key_rest(KeyRest("k", 5, BOOT)) + fmt.NOTE_RECORD
    found = [record for record in fmt.scan(data) if isinstance(record, fmt.Record)]
    assert [record.kind for record in found] == [fmt.Kind.NOTE, fmt.Kind.NOTE]
    assert [fmt.read_key_rest(record) for record in found] == [KeyRest("k", 5, BOOT), None]
    later = fmt.pack(fmt.Kind.NOTE, b"\xff later subkind")
    assert fmt.read_key_rest(next(record for record in fmt.scan(later, 0) if isinstance(record, fmt.Record))) is None
