"""A message that a client submits again under its id runs once, also when it has ended or another process serves."""

from __future__ import annotations

import signal
import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.store.ended_refs import BYTES_PER_REF, EndedRefs
from garnetrelay.store.format import EndedRef, Entry
from garnetrelay.store.reading import load
from garnetrelay.store.storage import Folder
from garnetrelay.store.store import RESUBMISSION_MS, Store
from tests.handover.test_upgrade import Upgraded
from tests.sockets import Client, Field, until
from tests.store.simulated import Disk


@pytest_asyncio.fixture
async def relay(field: Field) -> AsyncIterator[Upgraded]:
    made = Upgraded(field)
    yield made
    await made.stop()


@pytest.mark.parametrize("klass", ["safe", "keyed", "unsafe"])
async def test_a_delivered_message_that_comes_again_does_not_run_twice(field: Field, klass: str) -> None:
    """Once it was delivered nothing knew its id: a client that came back handed it in as a new message."""
    client = await field.start()
    assert await client.enqueue("m1", klass) == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    again = await Client.connect(field.port)
    assert await again.enqueue("m1", klass) == await client.enqueue("m1", klass) == b"OK"
    assert await again.enqueue("m2", klass) == b"OK"
    assert (await field.host.next_call()).headers["x-request-id"] == "m2"
    assert field.host.calls.empty()


async def test_a_failed_message_that_comes_again_fails_again(field: Field) -> None:
    client = await field.start()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    await until(lambda: not field.relays[0].journal.entries)
    assert await client.enqueue("m1", "unsafe") == "ERR failed"
    assert field.host.calls.empty()


@pytest.mark.parametrize("how", ["kill", "end", "upgrade", "failed upgrade"])
async def test_the_next_process_knows_what_was_delivered(field: Field, relay: Upgraded, how: str) -> None:
    """A restart and the other process of an upgrade took a delivered payment for a new one."""
    client = await relay.start()
    for n in range(3):
        assert await client.enqueue(f"pay{n}", "unsafe") == b"OK"
        (await field.host.next_call()).answer(200)
        assert await client.enqueue(f"pay{n}", "unsafe") == b"OK"
    await until(lambda: len(load(Folder(field.state))[0].ended) == 3)  # the answers have been read
    if how in ("kill", "end"):
        await relay.end(signal.SIGKILL if how == "kill" else signal.SIGTERM)
        await relay.start()
    else:
        await relay.replace()
    if how == "failed upgrade":
        new, relay.child = relay.child, relay.older.pop()
        assert new is not None
        new.kill()
        await new.wait()
        await relay.says(b"serves on")
    again = await Client.connect(relay.port)
    for n in range(3):
        assert await again.enqueue(f"pay{n}", "unsafe") == b"OK"
    assert await again.enqueue("last", "unsafe") == b"OK"
    assert (await field.host.next_call()).headers["x-request-id"] == "last"
    assert field.host.calls.empty()


def deliver(store: Store, ref: str, deadline: int, may_forget: bool = False) -> None:
    store.record_accepted(Entry(ref, "unsafe", 1, None, deadline, b"body"))
    store.record_attempt(ref, "north", 5)
    store.record_delivered(ref, may_forget)
    store.flush()


def test_an_id_is_forgotten_once_its_message_could_not_come_again() -> None:
    store = Store(Disk(), 60_000)
    reserved, live = store.index.reserved, store.index.live
    deliver(store, "m1", 10_000)
    last = 10_000 + RESUBMISSION_MS
    assert store.end_of("m1", last) is not None and store.end_of("m1", last + 1) is None
    store.forget_ended(last)
    assert len(store.index.ended) == 1
    store.forget_ended(last + 1000)
    assert len(store.index.ended) == 0 and store.index.ended.memory_bytes == 0
    assert store.index.reserved == reserved and store.index.live == live


@pytest.mark.parametrize("bound", ["memory", "disk"])
def test_ids_take_a_bounded_part_of_memory_and_disk(bound: str) -> None:
    """Beyond it, ids that may run twice are not kept."""
    memory = 20 * (BYTES_PER_REF + 16) if bound == "memory" else 1 << 20
    store = Store(Disk(), 60_000, max_ended_bytes=memory)
    count = 0
    while store.has_room_for_refs:
        deliver(store, f"{count:016d}", 10_000)
        count += 1
    if bound == "memory":
        assert count == 20 and store.index.ended.memory_bytes == memory
    else:
        assert 0 <= 60_000 // 4 - sum(len(segment.ended) for segment in store.index.segments.values()) * 36 < 4096
    deliver(store, "safe", 10_000, may_forget=True)
    assert store.end_of("safe", 0) is None and store.end_of(f"{0:016d}", 0) is not None
    store.forget_ended(20_000)
    assert store.has_room_for_refs


async def test_a_full_table_of_ids_refuses_only_what_must_not_run_twice(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await field.start()
    monkeypatch.setattr(Store, "has_room_for_refs", property(lambda store: False))
    assert await client.enqueue("m1", "unsafe") == "BUSY"
    assert await client.enqueue("m2", "safe") == b"OK"


async def test_a_relay_forgets_ids_by_its_clock(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("m1", d=8000) == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: len(relay.journal.index.ended) == 1)
    later = time.time_ns() + 10 * 10**9
    monkeypatch.setattr(time, "time_ns", lambda: later)
    relay.tick()
    assert len(relay.journal.index.ended) == 0


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9000), st.booleans()), max_size=60))
def test_ended_refs_are_those_of_the_latest_records(steps: list[tuple[int, int, bool]]) -> None:
    refs, model, now = EndedRefs(), dict[str, int](), 0
    for number, until_ms, expire in steps:
        if expire:
            now += until_ms
            for ref in refs.expired(now):
                refs.remove(ref)
            model = {ref: end for ref, end in model.items() if end // 1000 + 1 > now // 1000}
        else:
            refs.set(EndedRef(f"m{number}", now + until_ms, False), 1)
            model[f"m{number}"] = now + until_ms
        assert {ref for ref in (f"m{n}" for n in range(10)) if refs.get(ref) is not None} == set(model)
        assert refs.memory_bytes == len(model) * (BYTES_PER_REF + 2) and len(refs) == len(model)
