"""Ends that can't be put on record: neither the platform nor a client is told of what a kill could undo."""

from __future__ import annotations

import asyncio
import errno
import shutil
import time

import pytest

from garnetrelay.ends.held import EndNotice, HeldNotices
from garnetrelay.store.reading import load as load_folder
from garnetrelay.store.storage import Folder
from tests.sockets import Client, Field, until


def refuse(*_: object) -> None:
    raise OSError(errno.ENOSPC, "no space left on the device")


def break_folder(patched: pytest.MonkeyPatch) -> None:
    """Makes all folders refuse writes."""
    for name in ("append", "create"):
        patched.setattr(Folder, name, refuse)


async def loop_turns(count: int = 50) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def test_a_refusal_is_not_told_before_it_is_on_record(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """A payment that was returned as refused, and was made behind a kill since its end was never recorded."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("pay", "unsafe") == b"OK"
    call = await field.host.next_call()
    killed = field.folder / "killed"
    with monkeypatch.context() as patched:
        break_folder(patched)
        call.answer(500)
        await until(lambda: relay.ends.waiting)
        await loop_turns()
        assert field.platform.notices.empty()
        shutil.copytree(field.state, killed)  # what a kill leaves
    index, _ = load_folder(Folder(killed))
    assert index.entries["pay"].ended is None
    assert await field.platform.next_notice() == {"ref": "pay", "result": "dead"}
    index, _ = load_folder(Folder(field.state))
    assert "pay" not in index.entries or index.entries["pay"].ended == "dead"


async def test_an_end_is_told_at_its_deadline_without_a_record(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """The notice is due 300 ms behind the deadline, also with a disk that takes nothing; no process attempts it then."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("pay", "unsafe", d=700) == b"OK"
    deadline = relay.pending["pay"].ends_at
    call = await field.host.next_call()
    with monkeypatch.context() as patched:
        break_folder(patched)
        call.answer(500)
        assert await field.platform.next_notice() == {"ref": "pay", "result": "dead"}
        assert time.monotonic_ns() >= deadline
        assert relay.journal.write_failed and not relay.ends.waiting


async def test_a_request_is_not_refused_while_the_journal_may_hold_it(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its record reached the file, though the write failed: told at once, a client's repeat would take effect as well."""
    client = await field.start()
    append = Folder.append

    def append_and_fail(self: Folder, handle: int, data: bytes) -> None:
        append(self, handle, data)
        raise OSError(errno.EIO, "input/output error")

    with monkeypatch.context() as patched:
        patched.setattr(Folder, "append", append_and_fail)
        for name in ("truncate", "create"):
            patched.setattr(Folder, name, refuse)
        answer = asyncio.create_task(client.enqueue("m1"))
        await until(lambda: field.relays[0].ends.waiting)
        await loop_turns()
        index, _ = load_folder(Folder(field.state))
        assert "m1" in index.entries and not answer.done()
    assert str(await answer).startswith("BUSY")
    index, _ = load_folder(Folder(field.state))
    assert "m1" not in index.entries


async def test_a_request_is_refused_at_once_if_its_record_was_cut_off(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await field.start()
    with monkeypatch.context() as patched:
        break_folder(patched)
        assert str(await client.enqueue("m1")).startswith("BUSY")
        assert str(await (await Client.connect(field.port)).enqueue("m2")).startswith("BUSY")


def test_held_notices_are_taken_by_record_and_by_deadline() -> None:
    held = HeldNotices()
    for ref, deadline in (("a", 30), ("b", 10), ("c", 20)):
        held.hold(EndNotice(ref, "dead", 0, deadline))
    assert held.next_deadline() == 10
    assert [notice.ref for notice in held.take_recorded({"b", "c"})] == ["a"]
    assert [notice.ref for notice in held.take_due(9)] == []
    assert [notice.ref for notice in held.take_due(10)] == ["b"]
    assert len(held) == 1 and held.next_deadline() == 20
