"""A keyed message that may have run is never sent again after its repeat window, and ends exactly once.

Time passes by a clock that the test sets; nothing sleeps.
"""

from __future__ import annotations

import asyncio
import time

import pytest
import pytest_asyncio

from garnetrelay import recovery
from garnetrelay.delivery.http.answers import Outcome
from garnetrelay.delivery.http.connection import Connection, Exchange
from garnetrelay.relay import Relay
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from tests.sockets import Field, endpoint, until

MS = 1_000_000
SECOND = 1000 * MS
WINDOW = SECOND  # the shortest window of the scenarios with restarts


class SetClock:
    """The clocks of this process, advanced by the test, with an adjustable wall clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.passed = 0  # nanoseconds
        self.set_by = 0
        monotonic, wall = time.monotonic_ns, time.time_ns
        monkeypatch.setattr(time, "monotonic_ns", lambda: monotonic() + self.passed)
        monkeypatch.setattr(time, "time_ns", lambda: wall() + self.passed + self.set_by)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "time", lambda: time.monotonic_ns() / SECOND)

    def advance(self, nanoseconds: int) -> None:
        self.passed += nanoseconds


@pytest_asyncio.fixture
async def clock(monkeypatch: pytest.MonkeyPatch) -> SetClock:
    return SetClock(monkeypatch)


def attempted_entry(ref: str, ago: int, deadline: int = 8000, klass: str = "keyed") -> Entry:
    """A message with a recorded attempt and no outcome; times in milliseconds."""
    now = time.time_ns() // MS
    return Entry(ref, klass, 3, f"key-{ref}", now + deadline, b"x", 1, now - ago, "north")


def write_journal(field: Field, *entries: Entry) -> None:
    """The journal that an earlier process left."""
    field.facts["classes"][1]["repeatWindow"] = WINDOW
    journal = Store.open(field.state, 3_000_000)
    for entry in entries:
        journal.record_accepted(entry)
    journal.close()


async def unstarted_relay(field: Field) -> Relay:
    """A relay that has not started."""
    relay = Relay(field.config())
    field.relays.append(relay)
    return relay


async def expect_single_end(field: Field, ref: str, result: str = "dead") -> None:
    """The message ends once, and nothing has been sent."""
    assert await field.platform.next_notice() == {"ref": ref, "result": result}
    relay = field.relays[0]
    await until(lambda: not relay.pending and not relay.notices.queue and not relay.journal.entries)
    assert field.platform.notices.empty() and field.host.calls.empty() and not relay.hosts.calls_written


@pytest.mark.parametrize("scope, result", [("zone", "dead"), ("all", "bounced")])
async def test_a_recovered_message_past_its_window_is_ended_at_once(
    field: Field, clock: SetClock, scope: str, result: str
) -> None:
    field.facts["classes"][1]["keyScope"] = scope
    write_journal(field, attempted_entry("k", 1500))
    await (await unstarted_relay(field)).start()
    await expect_single_end(field, "k", result)


async def test_a_recovered_message_within_its_window_is_sent_again(field: Field, clock: SetClock) -> None:
    """Control: otherwise the other tests here would show nothing."""
    write_journal(field, attempted_entry("k", 200))
    await (await unstarted_relay(field)).start()
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    assert field.platform.notices.empty()


async def test_the_window_closes_while_the_connection_is_established(field: Field, clock: SetClock) -> None:
    write_journal(field, attempted_entry("k", 200))
    relay = await unstarted_relay(field)
    original_start = relay.hosts._prepare_and_start

    def late(connection: Connection, exchange: Exchange) -> None:
        clock.advance(WINDOW)
        original_start(connection, exchange)

    relay.hosts._prepare_and_start = late  # type: ignore[method-assign]
    await relay.start()
    await expect_single_end(field, "k")
    assert clock.passed


async def test_the_window_closes_while_the_attempt_is_recorded(field: Field, clock: SetClock) -> None:
    """The final check came before the write, and a disk may be slow."""
    write_journal(field, attempted_entry("k", 200))
    relay = await unstarted_relay(field)
    original_record_attempt = relay.journal.record_attempt

    def slow(ref: str, zone: str, now_ms: int, epoch: int | None = None) -> bool:
        recorded = original_record_attempt(ref, zone, now_ms, epoch)
        clock.advance(WINDOW)
        return recorded

    relay.journal.record_attempt = slow  # type: ignore[method-assign]
    await relay.start()
    await expect_single_end(field, "k")
    assert clock.passed


async def test_a_gathered_call_is_checked_after_its_record(field: Field) -> None:
    """The same within a tick, on an existing connection."""
    client = await field.start()
    await field.warm(client)
    net, ends, clear = field.relays[0].hosts, list[Outcome](), [True]
    await until(lambda: any(net.idle.values()))
    net.gather()
    net.begin(Exchange("s-1", 1 << 62, lambda address: b"GET / HTTP/1.1\r\n\r\n", ends.append, lambda: clear[0]))
    gathered = net.gathered()
    assert len(gathered) == 1 and not ends
    clear[0] = False
    net.release(gathered, True)
    assert ends == [Outcome(io.Status.ABANDONED)] and any(net.idle.values()) and field.host.calls.empty()


async def test_the_window_closes_between_a_slice_of_recovery_and_its_tick(
    field: Field, clock: SetClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The remaining window was measured when the slice was restored, but applied from the tick on."""
    monkeypatch.setattr(recovery, "MAX_SLICE_MESSAGES", 1)
    write_journal(field, attempted_entry("k", 200))
    relay = await unstarted_relay(field)
    original_run_scheduled_tick = relay._run_scheduled_tick

    def late() -> None:
        if "k" in relay.pending and not clock.passed:
            clock.advance(WINDOW)
        original_run_scheduled_tick()

    relay._run_scheduled_tick = late  # type: ignore[method-assign]
    await relay.start()
    await expect_single_end(field, "k")
    assert clock.passed


async def test_the_window_closes_while_it_waits_for_a_slice(
    field: Field, clock: SetClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second slice is restored one cycle of the loop later; its own time counts."""
    monkeypatch.setattr(recovery, "MAX_SLICE_MESSAGES", 1)
    write_journal(field, attempted_entry("s", 200, 4000, "safe"), attempted_entry("k", 200))
    relay = await unstarted_relay(field)
    original_restore = relay._restore

    def late(entries: list[Entry]) -> None:
        if any(entry.ref == "k" for entry in entries):
            clock.advance(WINDOW)
        original_restore(entries)

    relay._restore = late  # type: ignore[method-assign]
    await relay.start()
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "s"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "k", "result": "dead"}
    await until(lambda: not relay.pending and not relay.journal.entries)
    assert field.platform.notices.empty() and field.host.calls.empty() and relay.hosts.calls_written == 1


async def test_the_window_closes_while_no_host_may_be_called(field: Field, clock: SetClock) -> None:
    """Closing the window ends nothing; the message ends at its deadline, once."""
    field.endpoints[0]["status"] = "Terminating"  # no host may be called until the list changes
    write_journal(field, attempted_entry("k", 200, 3000))
    relay = await unstarted_relay(field)
    await relay.start()
    await until(lambda: "k" in relay.pacer.messages)
    clock.advance(WINDOW)
    relay.on_list_update(relay.reader.read({"index": 42, "snapshot": False, "endpoints": [endpoint(field.host)]}))
    await until(lambda: relay.pacer.hosts["s-1"][1].usable)
    await until(lambda: not relay.tick_scheduled)
    assert relay.pacer.messages["k"].call is None and not relay.hosts.count
    clock.advance(3 * SECOND)
    await expect_single_end(field, "k")


async def test_a_clock_set_back_does_not_extend_the_window(field: Field, clock: SetClock) -> None:
    """The recorded time lies in the clock's future, so the age of the attempt is unknown."""
    write_journal(field, attempted_entry("k", 1500))
    clock.set_by = -3600 * SECOND
    await (await unstarted_relay(field)).start()
    await expect_single_end(field, "k")


async def test_a_clock_set_back_by_less_shows_in_later_attempts(field: Field, clock: SetClock) -> None:
    """By its own time alone the window would be open: the attempt was 1.5 s ago, of which the clock was set back by
    one."""
    later = attempted_entry("u", 100, klass="unsafe")
    write_journal(field, attempted_entry("k", 1500), later)
    clock.set_by = -SECOND
    await (await unstarted_relay(field)).start()
    ends = [await field.platform.next_notice() for _ in range(2)]
    assert {end["ref"]: end["result"] for end in ends} == {"k": "dead", "u": "dead"}
    assert field.host.calls.empty() and not field.relays[0].hosts.calls_written


@pytest.mark.parametrize("hours", [-1, 1])
async def test_a_clock_that_is_set_while_a_message_is_pending_does_not_change_the_window(
    field: Field, clock: SetClock, hours: int
) -> None:
    field.facts["classes"][1]["repeatWindow"] = 4 * SECOND
    client = await field.start()
    assert await client.enqueue("k", "keyed") == b"OK"
    first = await field.host.next_call()
    clock.set_by = hours * 3600 * SECOND
    first.break_off()
    second = await field.host.next_call()  # within its window
    clock.advance(4 * SECOND)
    second.break_off()
    assert await field.platform.next_notice() == {"ref": "k", "result": "dead"}
    await until(lambda: not field.relays[0].pending)
    assert field.host.calls.empty() and field.platform.notices.empty() and field.relays[0].hosts.calls_written == 2
