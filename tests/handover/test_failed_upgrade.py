"""An upgrade whose new process dies: the old one carries on with all that either of them was told or has learned."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, cast

import pytest
import pytest_asyncio

from garnetrelay.config.deployment import Address
from garnetrelay.discovery.host_list import ListUpdate
from garnetrelay.handover import protocol as p
from garnetrelay.handover.learned import LearnedRecorder, LearningRelay, condition, merge
from garnetrelay.handover.state_record import VARIABLE, StateRecord, inherited_state
from garnetrelay.rehearsal.scripted_peers import ScriptedHost
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.snapshot import restore_snapshot, take_snapshot
from tests.handover.test_upgrade import Upgraded
from tests.helpers import S, settings
from tests.sockets import Client, Field, endpoint, host_list_json

WAIT_MS = 2500


@pytest_asyncio.fixture
async def relay(field: Field) -> AsyncIterator[Upgraded]:
    made = Upgraded(field)
    yield made
    await made.stop()


@pytest_asyncio.fixture
async def second(field: Field) -> AsyncIterator[ScriptedHost]:
    """Another host of the same destination, in the list of the configuration like the first one."""
    host = ScriptedHost()
    await host.start()
    field.endpoints.append(endpoint(host, "s-2"))
    yield host
    await host.stop()


async def start(field: Field, relay: Upgraded) -> Client:
    """Start the relay, and answer its watch with the list of the configuration."""
    client = await relay.start()
    await tell(field, relay, client, 50, *field.endpoints, whole=True)
    return client


async def tell(
    field: Field, relay: Upgraded, client: Client, index: int, *endpoints: dict[str, Any], whole: bool = False
) -> None:
    """Answer the next watch of a relay, and wait until it has applied the list."""
    watch = await field.platform.next_watch()
    watch.line(host_list_json(index, *endpoints, snapshot=whole))
    await relay.says(b"version %d" % index)
    assert await client.ask("PING") == b"PONG"  # the line in the log comes just before the change


async def kill_new_process(relay: Upgraded) -> Client:
    """Kill the process that serves; returns a client of the old one once it serves again."""
    new, old = relay.child, relay.older.pop()
    assert new is not None
    new.kill()
    await new.wait()
    relay.child = old
    await relay.says(b"serves on")
    return await Client.connect(relay.port)


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
@pytest.mark.parametrize("told", ["old process", "new process"])
async def test_a_drain_is_kept_when_the_new_process_dies(
    field: Field, relay: Upgraded, second: ScriptedHost, status: str, told: str
) -> None:
    """The old process started again with the list of its configuration, and sent messages to hosts that drain."""
    client = await relay.start()
    if told == "new process":
        await field.platform.next_call()  # the watch of the old one, which is not answered
        await relay.replace()
    await tell(field, relay, client, 51, endpoint(field.host, status=status))
    if told == "old process":
        await relay.replace()
    client = await kill_new_process(relay)
    for n in range(8):  # more than once round both hosts
        assert await client.enqueue(f"m{n}", "unsafe") == b"OK"
        (await second.next_call()).answer(200)
    assert field.host.calls.empty()


@pytest.mark.parametrize("told", ["old process", "new process"])
async def test_a_wait_is_heeded_when_the_new_process_dies(
    field: Field, relay: Upgraded, told: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old process started again without the waits that hosts had asked for."""
    monkeypatch.setenv("RELAY_LOG_LEVEL", "DEBUG")  # the log shows when the answer has been read
    client = await start(field, relay)
    if told == "new process":
        await relay.replace()
    assert await client.enqueue("refused", "unsafe") == b"OK"
    call = await field.host.next_call()
    told_at = time.monotonic()
    call.answer(429, f"X-Backoff-Ms: {WAIT_MS}")
    await relay.says(b"attempt refused 0 at s-1: Outcome")
    assert await client.enqueue("later", "unsafe") == b"OK"  # answered behind the tick that handles the outcome
    if told == "old process":
        await relay.replace()
    client = await kill_new_process(relay)
    assert await client.enqueue("next", "unsafe") == b"OK"
    await field.host.next_call()
    assert time.monotonic() - told_at >= WAIT_MS / 1000


async def test_an_exclusion_is_kept_when_the_new_process_dies(
    field: Field, relay: Upgraded, second: ScriptedHost
) -> None:
    """It reached the new process through the old one."""
    port = field.free_port()
    await relay.start({"RELAY_OPS": f"127.0.0.1:{port}"})
    await relay.replace()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"OFFLINE s-1\n")
    assert await reader.readline() == b"+OK\n"
    writer.close()
    client = await kill_new_process(relay)
    for n in range(8):  # more than once round both hosts
        assert await client.enqueue(f"m{n}", "unsafe") == b"OK"
        (await second.next_call()).answer(200)
    assert field.host.calls.empty()


class Learner:
    """A relay of two destinations in which only the Pacer is real, and the frames that its recorder appends."""

    def __init__(self) -> None:
        self.pacer = Pacer(settings(slots=4), 1)
        self.discovery = SimpleNamespace(index=7)
        self.config = SimpleNamespace(discovery=Address("127.0.0.1", 1))
        self.frames: list[p.Learned] = []
        self.recorder = LearnedRecorder(cast(LearningRelay, self), self.frames.append)
        self.now = 0

    def tick(self, *events: io.Event) -> list[io.Send]:
        self.now += S // 10
        actions = self.pacer.handle(self.now, events)
        self.recorder.on_tick(events)
        return [action for action in actions if isinstance(action, io.Send)]


def host_entry(name: str, dest: int, availability: io.Availability = io.Availability.RUNNING) -> io.HostEntry:
    return io.HostEntry(name, 0, 0, dest, availability, 0.0)


def test_an_outage_and_a_wait_that_the_new_process_saw_are_known_to_the_old_one() -> None:
    """The old process started again as if each destination were well."""
    learner = Learner()
    roster = io.Roster(io.ListScope.CACHED, (host_entry("a", 1), host_entry("b", 2)))
    learner.tick(roster)
    state = p.State(7, "127.0.0.1:1", [], [], take_snapshot(learner.pacer))
    for n in range(60):
        events: list[io.Event] = [io.Arrived(f"{dest}-{n}", 0, 0, dest, None, 20 * S) for dest in (1, 2)]
        for send in learner.tick(*events):
            outcome = (io.Status.ERROR, 0) if send.host == "a" else (io.Status.FULL, 9 * S)
            learner.tick(io.Verdict(send.call, 0, send.host, outcome[0], S // 10, False, outcome[1], False, None))
    expected = {name: condition(dest) for name, (dest, _) in learner.pacer.hosts.items()}
    assert learner.pacer.hosts["a"][0].in_outage and learner.pacer.hosts["b"][0].wait_until > learner.now
    old = Pacer(settings(slots=4), 1)
    old.handle(learner.now, [roster])
    restore_snapshot(old, merge(state, learner.frames).pacer_snapshot)
    assert {name: condition(dest) for name, (dest, _) in old.hosts.items()} == expected


def test_what_is_learned_while_calls_succeed_takes_no_memory() -> None:
    learner = Learner()
    learner.tick(io.Roster(io.ListScope.CACHED, (host_entry("a", 1),)))
    for n in range(50):
        for send in learner.tick(io.Arrived(f"a{n}", 0, 0, 1, None, 20 * S)):
            learner.tick(io.Verdict(send.call, 0, send.host, io.Status.OK, S // 10, True, 0, False, None))
    assert len(learner.frames) == 1


def test_a_record_ends_with_the_last_frame_that_is_complete() -> None:
    """The new process may die in the middle of a write."""
    learner = Learner()
    state = p.State(6, "127.0.0.1:1", [p.Endpoint("a", 0, 0, 1, "Running", 0.0, "127.0.0.1", 2)], ["z"], {"version": 1})
    record = StateRecord.create(state)
    assert record is not None
    learner.recorder.on_list_update(
        ListUpdate(
            7, False, (host_entry("b", 1), host_entry("a", 1, io.Availability.DELETED)), {"b": learner.config.discovery}
        )
    )
    record.append(learner.frames[0])
    os.write(record.descriptor, b"".join(p.encode(learner.frames[0]))[:-1])
    environment: dict[str, str] = {}
    record.leave_to_next_program(environment)
    read = inherited_state(environment)
    assert read is not None and VARIABLE not in environment
    assert read.index == 7 and [one.name for one in read.endpoints] == ["b"] and read.delisted == ["z", "a"]


@pytest.mark.parametrize("value", ["", "x", "-1", "987654"])
def test_a_record_that_is_not_there_is_none(value: str) -> None:
    assert inherited_state({VARIABLE: value}) is None
