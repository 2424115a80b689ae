"""Notices are retried in time after any failure and across address changes. Loopback, scripted platform."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from garnetrelay.config.deployment import Address
from garnetrelay.platform import notices as module
from garnetrelay.platform.notices import Notices
from garnetrelay.rehearsal.http import Call
from garnetrelay.rehearsal.scripted_peers import PATIENCE, ScriptedPlatform
from tests.sockets import until

NOTIFY_WITHIN_S = 0.3  # after a message's deadline, by the protocol


class Posts(ScriptedPlatform):
    """A platform that leaves the answer to each POST to the test."""

    def take(self, call: Call) -> None:
        self.calls.put_nowait(call)


async def with_notices(platform: ScriptedPlatform) -> tuple[Notices, list[str]]:
    await platform.start()
    acknowledged: list[str] = []
    return Notices(Address.parse(platform.address), acknowledged.append), acknowledged


def due_in(notices: Notices) -> float:
    assert notices.timer is not None
    return notices.timer.when() - asyncio.get_running_loop().time()


async def test_two_failed_attempts_leave_time_for_a_third() -> None:
    assert 2 * (module.ANSWER_TIMEOUT_S + module.MIN_BACKOFF_S) <= NOTIFY_WITHIN_S
    assert module.MAX_BACKOFF_S + module.ANSWER_TIMEOUT_S <= NOTIFY_WITHIN_S
    assert module.PARALLEL_CONNECT_AFTER_S <= NOTIFY_WITHIN_S / 2


async def test_the_gap_to_the_next_post_does_not_grow_with_unanswered_posts() -> None:
    """The next POST came up to 2 s later, since the answer timeout and the backoff both grew to 1 s."""
    platform = Posts()
    notices, acknowledged = await with_notices(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    for _ in range(7):
        await platform.next_call()
        assert due_in(notices) <= module.ANSWER_TIMEOUT_S
    assert notices.answer_timeout_s == module.MAX_ANSWER_TIMEOUT_S
    (await platform.next_call()).answer(204)
    await until(lambda: acknowledged == ["m1"])
    assert notices.queue == {}
    notices.close()
    await platform.stop()


async def test_an_answer_that_arrives_after_the_next_attempt_counts() -> None:
    platform = Posts()
    notices, acknowledged = await with_notices(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    await platform.next_call()
    second = await platform.next_call()
    third = await platform.next_call()
    second.answer(204)
    await until(lambda: acknowledged == ["m1"])
    third.answer(204)
    notices.add("m2", "bounced", 5)
    notices.send()
    while b"m2" not in (call := await platform.next_call()).body:
        call.answer(204)
    call.answer(204)
    await until(lambda: acknowledged == ["m1", "m2"])
    notices.close()
    await platform.stop()


async def test_a_platform_that_refuses_is_retried_with_a_bounded_backoff() -> None:
    platform = Posts()
    notices, acknowledged = await with_notices(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    for _ in range(10):
        (await platform.next_call()).answer(503)
        await until(lambda: notices.link is None)
        assert due_in(notices) <= module.MAX_BACKOFF_S
    (await platform.next_call()).answer(204)
    await until(lambda: acknowledged == ["m1"])
    notices.close()
    await platform.stop()


async def test_a_connection_that_is_not_established_gets_a_parallel_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next attempt came only after half a second."""
    platform = Posts()
    notices, acknowledged = await with_notices(platform)
    connect, attempts = notices._connect, []

    async def first_hangs(address: Address) -> Any:
        attempts.append(address)
        if len(attempts) == 1:
            await asyncio.sleep(PATIENCE)
        return await connect(address)

    monkeypatch.setattr(notices, "_connect", first_hangs)
    notices.add("m1", "dead", 0)
    notices.send()
    assert due_in(notices) <= module.PARALLEL_CONNECT_AFTER_S
    (await platform.next_call()).answer(204)
    await until(lambda: acknowledged == ["m1"])
    assert len(attempts) == 2 and not notices.opening
    notices.close()
    await platform.stop()


async def test_failures_at_the_old_address_delay_nothing_at_the_new_one() -> None:
    """The backoff and the answer timeout that had grown there were kept after the move."""
    old, new = Posts(), Posts()
    notices, acknowledged = await with_notices(old)
    await new.start()
    notices.add("m1", "dead", 0)
    notices.send()
    for _ in range(6):
        (await old.next_call()).answer(503)
    await until(lambda: notices.backoff_s == module.MAX_BACKOFF_S)
    notices.move(Address.parse(new.address))
    assert (notices.backoff_s, notices.answer_timeout_s) == (module.MIN_BACKOFF_S, module.ANSWER_TIMEOUT_S)
    (await new.next_call()).answer(204)
    await until(lambda: acknowledged == ["m1"])
    notices.close()
    for platform in (old, new):
        await platform.stop()


async def test_an_answer_from_the_old_address_counts_after_the_move() -> None:
    """The connection was closed with an unanswered POST on it."""
    old, new = Posts(), Posts()
    notices, acknowledged = await with_notices(old)
    await new.start()
    notices.add("m1", "dead", 0)
    notices.send()
    call = await old.next_call()
    notices.move(Address.parse(new.address))
    await new.next_call()
    call.answer(204)
    await until(lambda: acknowledged == ["m1"])
    notices.close()
    for platform in (old, new):
        await platform.stop()


async def test_the_old_address_is_notified_while_the_new_one_does_not_answer() -> None:
    old, new = ScriptedPlatform(), ScriptedPlatform()
    notices, acknowledged = await with_notices(old)
    await new.start()
    unused = new.address
    await new.stop()
    notices.move(Address.parse(unused))
    notices.add("m1", "dead", 0)
    notices.send()
    assert (await old.next_notice())["ref"] == "m1"
    await until(lambda: acknowledged == ["m1"])
    host, _, port = unused.partition(":")
    await new.start(host, int(port))
    notices.add("m2", "dead", 0)
    notices.send()
    assert (await new.next_notice())["ref"] == "m2"
    await until(lambda: acknowledged == ["m1", "m2"])
    assert notices._previous_address is None  # the new one has answered
    notices.close()
    for platform in (old, new):
        await platform.stop()


@pytest.mark.parametrize("next_post", [False, True], ids=["idle", "another POST is out"])
async def test_a_second_copy_of_an_acknowledgement_does_not_lose_a_notice_that_was_refused(next_post: bool) -> None:
    """The copy acknowledged the next POST, and the refusal that was its answer was ignored, or counted for a third."""
    platform = Posts()
    notices, acknowledged = await with_notices(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    first = await platform.next_call()
    first.answer(204)
    await until(lambda: acknowledged == ["m1"])
    notices.add("m2", "dead", 0)
    notices.send()
    second = await platform.next_call()
    assert second.connection == first.connection
    first.answer(204)  # the second copy
    await until(lambda: acknowledged == ["m1", "m2"])
    if next_post:
        notices.add("m3", "dead", 0)
        notices.send()
        await platform.next_call()
    second.answer(503)
    again = await platform.next_call()
    assert again.connection != second.connection
    assert [ref for ref in (b"m1", b"m2", b"m3") if ref in again.body] == [b"m1", b"m2", b"m3"][: 2 + next_post]
    again.answer(204)
    await until(lambda: not notices.queue)
    notices.close()
    await platform.stop()
