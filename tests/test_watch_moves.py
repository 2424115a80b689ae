"""A relay whose discovery moves, refuses calls or stalls, over loopback sockets (docs/design/041-crossings.md)."""

from __future__ import annotations

import dataclasses

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.discovery import watches
from garnetrelay.rehearsal.scripted_peers import ScriptedPlatform, Watch
from starlingwick.discovery_schedule import MAX_CALL_INTERVAL_NS, MAX_REOPEN_DELAY_NS
from tests.sockets import Field, endpoint, host_list_json, until


async def test_after_a_move_each_refused_call_is_repeated_in_time(field: Field) -> None:
    """After a SIGHUP to an overloaded address, with 200 relays, the second call was made only 20 to 40 s later."""
    field.facts["balancers"] = 200
    await field.start()
    relay = field.relays[0]
    await until(lambda: relay.pacer.started is not None)
    relay.discovery.subscribe()  # as if its slot among 200 relays had come
    await field.platform.next_watch()
    await until(lambda: relay.pacer.discovery_schedule.subscribed)
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    (await other.next_call()).answer(503)
    schedule = relay.pacer.discovery_schedule
    await until(lambda: schedule.failures == 1)
    assert schedule.next_call_at - relay.pacer.now <= MAX_REOPEN_DELAY_NS
    refused = await other.next_call()
    called_at = schedule.last_call_at
    assert called_at is not None
    refused.answer(503)
    await until(lambda: schedule.failures == 2)
    assert schedule.next_call_at - called_at <= MAX_CALL_INTERVAL_NS
    await other.stop()


async def with_moved_discovery(field: Field) -> tuple[ScriptedPlatform, Watch]:
    """A relay with an open watch whose discovery has just moved. Returns the new platform and the old watch."""
    await field.start()
    old = await field.platform.next_watch()
    old.line("")
    relay = field.relays[0]
    await until(lambda: relay.discovery.up_to_date)
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    return other, old


async def test_the_old_address_is_watched_until_the_new_one_has_delivered_a_line(field: Field) -> None:
    """Its watch was closed when the configuration was read, so changes sent while the new address refused were missed."""
    other, old = await with_moved_discovery(field)
    (await other.next_call()).answer(503)
    old.line(host_list_json(42, endpoint(field.host, status="Terminating")))
    relay = field.relays[0]
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    assert not relay.pacer.discovery_schedule.subscribed  # calls to the new address continue
    watch = await other.next_watch()
    assert watch.call.target.endswith("since=0")
    assert old.call.connection.lost is False
    watch.line(host_list_json(7, endpoint(field.host), snapshot=True))
    await until(lambda: relay.pacer.hosts["s-1"][1].usable and old.call.connection.lost)
    await other.stop()


async def test_a_call_in_progress_during_a_move_can_still_be_answered(field: Field) -> None:
    """It was cancelled: with several new configurations in a row no call lasted as long as discovery needs to answer."""
    await field.start()
    relay = field.relays[0]
    first = await field.platform.next_call()
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    await other.next_call()  # no answer to this one yet
    first.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    Watch(first).line(host_list_json(42, endpoint(field.host, status="Terminating")))
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    await other.stop()


async def test_a_call_without_an_answer_gets_a_parallel_call_and_may_still_be_answered(field: Field) -> None:
    await field.start()
    silent = await field.platform.next_call()
    parallel = await field.platform.next_call()
    assert silent.connection.lost is False
    silent.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    Watch(silent).line("")
    await until(lambda: parallel.connection.lost)
    assert silent.connection.lost is False


async def test_an_unresponsive_watch_is_kept_until_another_has_delivered_a_line(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watches, "UNRESPONSIVE_AFTER_S", 0.05)
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 60.0)
    await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    parallel = await field.platform.next_watch()
    watch.line(host_list_json(42, endpoint(field.host, status="Terminating")))
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)
    await until(lambda: parallel.call.connection.lost)


@pytest.mark.parametrize("partial", ["", '{"index":42,"snapshot":true,"endpoints":['], ids=["no line", "half a line"])
async def test_a_stalled_list_is_requested_on_a_parallel_call(
    partial: str, field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call was accepted, and then no list or half of it was sent: only the timeout of a silent watch ended that."""
    monkeypatch.setattr(watches, "UNRESPONSIVE_AFTER_S", 60.0)
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 60.0)
    await field.start()
    relay = field.relays[0]
    relay.discovery.index = 0
    first = await field.platform.next_call()
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    stalled = await other.next_watch()
    if partial:
        stalled.call.raw(b"%x\r\n%s\r\n" % (len(partial), partial.encode()))
    parallel = await other.next_watch()
    assert stalled.call.connection.lost is False
    parallel.line(host_list_json(42, endpoint(field.host, status="Terminating"), snapshot=True))
    await until(lambda: stalled.call.connection.lost and first.connection.lost)
    await other.stop()


async def test_a_malformed_line_closes_no_other_watch(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches, "UNRESPONSIVE_AFTER_S", 0.05)
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 60.0)
    await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    parallel = await field.platform.next_watch()
    parallel.line("{malformed}")
    await until(lambda: parallel.call.connection.lost)
    assert watch.call.connection.lost is False
