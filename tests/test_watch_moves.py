"""A relay whose discovery refuses its calls, over loopback sockets (docs/design/041-crossings.md)."""

from __future__ import annotations

import dataclasses

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.discovery import watches
from garnetrelay.rehearsal.scripted_peers import ScriptedPlatform, Watch
from starlingwick.discovery_schedule import MAX_CALL_INTERVAL_NS, MAX_REOPEN_DELAY_NS
from tests.sockets import Field, endpoint, listing, until


async def test_a_moved_watch_that_is_refused_is_asked_for_in_time_at_each_try(field: Field) -> None:
    """SIGHUP to an address that is overbooked: among 200 relays the second try came 20 to 40 s later."""
    field.facts["balancers"] = 200
    await field.start()
    relay = field.relays[0]
    await until(lambda: relay.pacer.started is not None)
    relay.discovery.subscribe()  # its turn among 200 has come
    await field.platform.next_watch()
    await until(lambda: relay.pacer.discovery_schedule.subscribed)
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    (await other.next_call()).answer(503)
    asking = relay.pacer.discovery_schedule
    await until(lambda: asking.failures == 1)
    assert asking.next_call_at - relay.pacer.now <= MAX_REOPEN_DELAY_NS
    refused = await other.next_call()
    asked_at = asking.last_call_at
    assert asked_at is not None
    refused.answer(503)
    await until(lambda: asking.failures == 2)
    assert asking.next_call_at - asked_at <= MAX_CALL_INTERVAL_NS
    await other.stop()


async def moved(field: Field) -> tuple[ScriptedPlatform, Watch]:
    """A relay with a watch that works, whose discovery has just moved; the new address and the old watch."""
    await field.start()
    old = await field.platform.next_watch()
    old.line("")
    relay = field.relays[0]
    await until(lambda: relay.discovery.up_to_date)
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    return other, old


async def test_the_old_address_is_listened_to_until_the_new_one_has_told_something(field: Field) -> None:
    """Its watch was dropped as the configuration came: what it told while the new one refused was missed."""
    other, old = await moved(field)
    (await other.next_call()).answer(503)
    old.line(listing(42, endpoint(field.host, status="Terminating")))
    relay = field.relays[0]
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    assert not relay.pacer.discovery_schedule.subscribed  # the new address is asked on
    watch = await other.next_watch()
    assert watch.call.target.endswith("since=0")
    assert old.call.connection.lost is False
    watch.line(listing(7, endpoint(field.host), snapshot=True))
    await until(lambda: relay.pacer.hosts["s-1"][1].usable and old.call.connection.lost)
    await other.stop()


async def test_a_call_that_a_move_overtakes_is_answered_all_the_same(field: Field) -> None:
    """It was dropped: with new configurations in a row no call lived for as long as discovery needs to answer."""
    await field.start()
    relay = field.relays[0]
    first = await field.platform.next_call()
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    await other.next_call()  # no answer to this one yet
    first.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    Watch(first).line(listing(42, endpoint(field.host, status="Terminating")))
    await until(lambda: not relay.pacer.hosts["s-1"][1].usable)
    await other.stop()


async def test_a_call_that_gets_no_answer_has_another_beside_it_and_may_still_be_answered(field: Field) -> None:
    await field.start()
    silent = await field.platform.next_call()
    beside = await field.platform.next_call()
    assert silent.connection.lost is False
    silent.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    Watch(silent).line("")
    await until(lambda: beside.connection.lost)
    assert silent.connection.lost is False


async def test_a_watch_in_doubt_is_kept_until_another_has_brought_a_line(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watches, "DOUBT_AFTER", 0.05)
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 60.0)
    await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    beside = await field.platform.next_watch()
    watch.line(listing(42, endpoint(field.host, status="Terminating")))
    await until(lambda: not field.relays[0].pacer.hosts["s-1"][1].usable)
    await until(lambda: beside.call.connection.lost)


@pytest.mark.parametrize("begun", ["", '{"index":42,"snapshot":true,"endpoints":['], ids=["no line", "half a line"])
async def test_a_list_that_stalls_is_asked_for_beside_it(
    begun: str, field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Taken up, and then no list or half of one: it took the whole time of a watch that says nothing."""
    monkeypatch.setattr(watches, "DOUBT_AFTER", 60.0)
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 60.0)
    await field.start()
    relay = field.relays[0]
    relay.discovery.index = 0
    first = await field.platform.next_call()
    other = ScriptedPlatform()
    await other.start()
    relay.reconfigure(dataclasses.replace(relay.config, discovery=Address.parse(other.address)))
    stalled = await other.next_watch()
    if begun:
        stalled.call.raw(b"%x\r\n%s\r\n" % (len(begun), begun.encode()))
    beside = await other.next_watch()
    assert stalled.call.connection.lost is False
    beside.line(listing(42, endpoint(field.host, status="Terminating"), snapshot=True))
    await until(lambda: stalled.call.connection.lost and first.connection.lost)
    await other.stop()


async def test_what_cannot_be_read_closes_no_other_watch(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches, "DOUBT_AFTER", 0.05)
    monkeypatch.setattr(watches, "SILENCE_TIMEOUT_S", 60.0)
    await field.start()
    watch = await field.platform.next_watch()
    watch.line("")
    beside = await field.platform.next_watch()
    beside.line("{spoilt}")
    await until(lambda: beside.call.connection.lost)
    assert watch.call.connection.lost is False
