"""Notices of ends: tried again in time whatever failed before, and across moves. Loopback, scripted platform."""

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

TOLD_WITHIN = 0.3  # seconds behind a message's time, of the protocol


class Posts(ScriptedPlatform):
    """A platform that answers each POST as the test says."""

    def take(self, call: Call) -> None:
        self.calls.put_nowait(call)


async def telling(platform: ScriptedPlatform) -> tuple[Notices, list[str]]:
    await platform.start()
    told: list[str] = []
    return Notices(Address.parse(platform.address), told.append), told


def due_in(notices: Notices) -> float:
    assert notices.timer is not None
    return notices.timer.when() - asyncio.get_running_loop().time()


async def test_two_tries_in_a_row_that_fail_leave_time_for_a_third() -> None:
    assert 2 * (module.ANSWER_TIME + module.FIRST_PAUSE) <= TOLD_WITHIN
    assert module.LONGEST_PAUSE + module.ANSWER_TIME <= TOLD_WITHIN
    assert module.OPEN_BESIDE <= TOLD_WITHIN / 2


async def test_however_many_posts_had_no_answer_the_next_comes_as_soon() -> None:
    """It came up to 2 s later: the time for an answer and the pause both grew to 1 s."""
    platform = Posts()
    notices, told = await telling(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    for _ in range(7):
        await platform.next_call()
        assert due_in(notices) <= module.ANSWER_TIME
    assert notices.patience == module.LONGEST_ANSWER_TIME
    (await platform.next_call()).answer(204)
    await until(lambda: told == ["m1"])
    assert notices.queue == {}
    notices.close()
    await platform.stop()


async def test_an_answer_that_comes_behind_the_next_try_is_taken() -> None:
    platform = Posts()
    notices, told = await telling(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    await platform.next_call()
    second = await platform.next_call()
    third = await platform.next_call()
    second.answer(204)
    await until(lambda: told == ["m1"])
    third.answer(204)
    notices.add("m2", "bounced", 5)
    notices.send()
    while b"m2" not in (call := await platform.next_call()).body:
        call.answer(204)
    call.answer(204)
    await until(lambda: told == ["m1", "m2"])
    notices.close()
    await platform.stop()


async def test_a_platform_that_refuses_is_tried_on_at_bounded_gaps() -> None:
    platform = Posts()
    notices, told = await telling(platform)
    notices.add("m1", "dead", 0)
    notices.send()
    for _ in range(10):
        (await platform.next_call()).answer(503)
        await until(lambda: notices.link is None)
        assert due_in(notices) <= module.LONGEST_PAUSE
    (await platform.next_call()).answer(204)
    await until(lambda: told == ["m1"])
    notices.close()
    await platform.stop()


async def test_a_connection_that_does_not_come_up_has_another_beside_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Half a second went by until the next try."""
    platform = Posts()
    notices, told = await telling(platform)
    connect, tries = notices._connect, []

    async def first_hangs(address: Address) -> Any:
        tries.append(address)
        if len(tries) == 1:
            await asyncio.sleep(PATIENCE)
        return await connect(address)

    monkeypatch.setattr(notices, "_connect", first_hangs)
    notices.add("m1", "dead", 0)
    notices.send()
    assert due_in(notices) <= module.OPEN_BESIDE
    (await platform.next_call()).answer(204)
    await until(lambda: told == ["m1"])
    assert len(tries) == 2 and not notices.opening
    notices.close()
    await platform.stop()


async def test_what_failed_at_the_old_address_delays_nothing_at_the_new_one() -> None:
    """Pause and patience had grown there, and were taken along."""
    old, new = Posts(), Posts()
    notices, told = await telling(old)
    await new.start()
    notices.add("m1", "dead", 0)
    notices.send()
    for _ in range(6):
        (await old.next_call()).answer(503)
    await until(lambda: notices.pause == module.LONGEST_PAUSE)
    notices.move(Address.parse(new.address))
    assert (notices.pause, notices.patience) == (module.FIRST_PAUSE, module.ANSWER_TIME)
    (await new.next_call()).answer(204)
    await until(lambda: told == ["m1"])
    notices.close()
    for platform in (old, new):
        await platform.stop()


async def test_an_answer_of_the_old_address_counts_behind_the_move() -> None:
    """The connection was dropped with the POST on it."""
    old, new = Posts(), Posts()
    notices, told = await telling(old)
    await new.start()
    notices.add("m1", "dead", 0)
    notices.send()
    call = await old.next_call()
    notices.move(Address.parse(new.address))
    await new.next_call()
    call.answer(204)
    await until(lambda: told == ["m1"])
    notices.close()
    for platform in (old, new):
        await platform.stop()


async def test_the_old_address_is_told_while_the_new_one_does_not_answer() -> None:
    old, new = ScriptedPlatform(), ScriptedPlatform()
    notices, told = await telling(old)
    await new.start()
    nobody = new.address
    await new.stop()
    notices.move(Address.parse(nobody))
    notices.add("m1", "dead", 0)
    notices.send()
    assert (await old.next_notice())["ref"] == "m1"
    await until(lambda: told == ["m1"])
    host, _, port = nobody.partition(":")
    await new.start(host, int(port))
    notices.add("m2", "dead", 0)
    notices.send()
    assert (await new.next_notice())["ref"] == "m2"
    await until(lambda: told == ["m1", "m2"])
    assert notices._left is None  # the new one has answered
    notices.close()
    for platform in (old, new):
        await platform.stop()
