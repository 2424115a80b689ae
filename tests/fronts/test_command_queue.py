"""Clients that send many commands at once are served in turns, and what a client that has left sent is dropped."""

from __future__ import annotations

import logging
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.fronts.resp.client_error_log import ClientErrorLog
from garnetrelay.fronts.resp.command_queue import MAX_COMMANDS_PER_ITERATION, CommandQueue
from garnetrelay.fronts.resp.server import Connection
from tests.sockets import Client, Field

PING = b"*1\r\n$4\r\nPING\r\n"
FLOOD = 20_000
MAX_HANDLED_MEANWHILE = 1000  # commands of a flood until another client has its answer: some iterations of the loop


def payments(count: int) -> bytes:
    """Unsafe messages, each with an id of its own."""
    return b"".join(
        b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$5\r\np%04d\r\n$22\r\nc=unsafe,d=8000,dest=3\r\n$1\r\nx\r\n" % n
        for n in range(count)
    )


class Source:
    """A connection with some commands; ``handled`` collects whose command was handled."""

    def __init__(self, number: int, commands: int, handled: list[int]) -> None:
        self.number, self.commands, self.handled = number, commands, handled

    def handle_one(self) -> bool:
        if not self.commands:
            return False
        self.commands -= 1
        self.handled.append(self.number)
        return True


@given(st.lists(st.integers(0, 100), min_size=1, max_size=8))
def test_each_connection_has_its_turn_and_an_iteration_is_bounded(commands: list[int]) -> None:
    scheduled: list[Callable[[], None]] = []
    queue = CommandQueue(scheduled.append)
    handled: list[int] = []
    for number, count in enumerate(commands):
        queue.add(Source(number, count, handled))
    assert len(scheduled) == 1
    while scheduled:
        before = len(handled)
        scheduled.pop(0)()
        assert len(handled) - before <= MAX_COMMANDS_PER_ITERATION and len(scheduled) <= 1
    assert sorted(handled) == sorted(n for n, count in enumerate(commands) for _ in range(count))
    for position, number in enumerate(handled):  # nobody is two commands ahead of one who still waits
        ahead = handled[: position + 1].count(number)
        assert all(handled[:position].count(other) >= min(ahead - 1, commands[other]) for other in range(len(commands)))


async def test_a_client_is_answered_while_another_sends_at_full_speed(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All that was read of a client was handled at once, 18,000 commands, and other clients waited 0.2 s and more."""
    greedy = await field.start()
    sound = await Client.connect(field.port)
    assert await sound.ask("PING") == await greedy.ask("PING") == b"PONG"
    handled = []
    original = Connection._handle_command

    def count(self: Connection, words: list[bytes], waited_ms: int) -> None:
        handled.append(self)
        original(self, words, waited_ms)

    monkeypatch.setattr(Connection, "_handle_command", count)
    greedy.writer.write(PING * FLOOD)
    assert await sound.ask("PING") == b"PONG"
    assert await sound.enqueue("m1") == b"OK"
    assert len(handled) <= MAX_HANDLED_MEANWHILE
    for _ in range(FLOOD):
        assert await greedy.read() == b"PONG"


async def test_a_client_that_ends_its_sending_has_all_its_requests_answered(field: Field) -> None:
    client = await field.start()
    client.writer.write(payments(20))
    client.writer.write_eof()
    assert [await client.read() for _ in range(20)] == [b"OK"] * 20
    assert await client.read() is None


def test_a_client_cannot_write_lines_of_its_own_into_the_log(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        ClientErrorLog(logging.getLogger("test")).add(0.0, "unknown command 'X\n12:00:00 forged'")
    assert caplog.messages == ["unknown command 'X?12:00:00 forged'"]
