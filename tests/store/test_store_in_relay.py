"""The store in a relay: a folder that accepts no writes, and records that must survive a power loss."""

from __future__ import annotations

import asyncio
import errno
import logging
import threading
from pathlib import Path

import pytest

from garnetrelay.config.deployment import ConfigError, load
from garnetrelay.store.reading import load as load_folder
from garnetrelay.store.segment_log import Sync
from garnetrelay.store.storage import Folder
from tests.sockets import Client, Field, until


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS])
async def test_full_disk_refuses_new_requests_and_pending_messages_are_delivered(
    field: Field, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, number: int
) -> None:
    caplog.set_level(logging.INFO)
    client = await field.start()
    for ref in ("m1", "m2"):
        assert await client.enqueue(ref, "unsafe") == b"OK"
    first, second = await field.host.next_call(), await field.host.next_call()

    def full(*_: object) -> None:
        raise OSError(number, "the disk is full")

    with monkeypatch.context() as patched:
        for name in ("append", "create"):
            patched.setattr(Folder, name, full)
        first.answer(200)
        second.answer(500)
        assert str(await client.enqueue("m3")).startswith("BUSY")
        assert str(await client.enqueue("m4")).startswith("BUSY")
        assert field.host.calls.empty() and field.platform.notices.empty()  # the end of m2 is not on record
    assert (await field.platform.next_notice())["ref"] == "m2"
    await until(lambda: not field.relays[0].journal.write_failed)
    assert await client.enqueue("m5") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    assert len([r for r in caplog.records if "cannot write" in r.getMessage()]) == 1
    field.relays[0].journal.flush()
    index, problems = load_folder(Folder(field.state))
    assert index.entries == {} and problems == []


async def test_answers_attempts_and_notices_wait_for_the_sync(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    options = field.folder / "options.toml"
    options.write_text('[store]\ndurability = "machine"\n')
    field.options = str(options)
    synced: list[set[str]] = []
    gate, run = threading.Event(), Sync.run

    def slow(self: Sync) -> None:
        gate.wait(5.0)
        synced.append(set(self.unsynced))
        run(self)

    monkeypatch.setattr(Sync, "run", slow)
    client = await field.start()
    client.write("ENQUEUE", "0000", "m1", "c=unsafe,d=8000,k=k,dest=3", b"x")
    await until(lambda: "m1" in field.relays[0].pending)
    # The client's repeat of the request on another connection waits as well.
    repeat = asyncio.create_task((await Client.connect(field.port)).enqueue("m1", "unsafe"))
    await until(lambda: len(field.relays[0].server.connections) == 2)
    for _ in range(50):
        await asyncio.sleep(0)
    assert field.host.calls.empty() and not synced and not repeat.done()
    gate.set()
    assert await client.read() == b"OK" and await repeat == b"OK"
    call = await field.host.next_call()
    assert any("m1" in each for each in synced)
    call.answer(500)
    assert (await field.platform.next_notice()) == {"ref": "m1", "result": "dead"}
    assert await client.enqueue("m2") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[store]\ndurability = 'always'\n", "Invalid enum value 'always'"),
        ("[stor]\n", "unknown field `stor`"),
        ("[", "Invalid initial character"),
        (None, "No such file"),
    ],
)
def test_invalid_options_are_reported_in_one_line(field: Field, text: str | None, message: str) -> None:
    path = Path(field.folder, "options.toml")
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load({**field.environment(), "RELAY_OPTIONS": str(path)})
    assert message in str(caught.value) and "\n" not in str(caught.value)
