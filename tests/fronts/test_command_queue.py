"""Clients that send many commands at once are served in turns, and what a client that has left sent is dropped."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.fronts.resp.client_error_log import ClientErrorLog
from garnetrelay.fronts.resp.command_queue import MAX_COMMANDS_PER_ITERATION, CommandQueue
from garnetrelay.fronts.resp.connection import Connection
from tests.sockets import Client, Field, until

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


@pytest.mark.parametrize("reset", [False, True], ids=["FIN", "reset"])
async def test_what_is_unread_of_a_client_that_has_left_is_not_sent_on(field: Field, reset: bool) -> None:
    """64 of 300 payments were taken on and made, though nobody could hear their answers. A closed socket tells itself
    from one that only ends its sending by the first answer, so behind a FIN one payment may be taken on."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.ask("PING") == b"PONG"
    with socket.create_connection(("127.0.0.1", field.port)) as leaving:
        if reset:
            leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        leaving.sendall(payments(300))
    after = await Client.connect(field.port)  # accepted behind the one that has left
    assert await after.ask("PING") == b"PONG"
    await until(lambda: len(relay.server.connections) == 2 and not relay.tick_scheduled)
    assert sum(ref.startswith("p") for ref in relay.pending) <= (0 if reset else 1)


async def test_a_client_that_ends_its_sending_has_all_its_requests_answered(field: Field) -> None:
    client = await field.start()
    client.writer.write(payments(20))
    client.writer.write_eof()
    assert [await client.read() for _ in range(20)] == [b"OK"] * 20
    assert await client.read() is None


async def test_a_client_that_leaves_while_its_commands_wait_is_dropped(field: Field) -> None:
    """The reset of a paused connection is seen before its next command is handled."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.ask("PING") == b"PONG"
    (connection,) = relay.server.connections
    connection.pause_writing()  # as if it read no answers
    connection.receive(payments(10))
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    connection.resume_writing()
    await until(lambda: not relay.server.connections)
    assert not relay.pending and not connection.raw


@pytest.mark.parametrize("why", ["upgrade", "end"])
async def test_commands_that_no_process_takes_over_are_refused(field: Field, why: str) -> None:
    """A client that read no answers kept its connection to the old process of an upgrade, which never answered what it
    had read of it."""
    client = await field.start()
    relay = field.relays[0]
    assert await client.ask("PING") == b"PONG"
    (connection,) = relay.server.connections
    connection.pause_writing()
    connection.receive(payments(3))
    assert connection.raw and not relay.pending
    if why == "end":  # the client has ended its sending, and its kernel has yet to acknowledge an answer
        connection._check_later(connection.server.now() + 3600)
        relay.server.end()
    else:
        relay.server.close_after_handover()
    assert [await client.read() for _ in range(4)] == ["BUSY"] * 3 + [None]
    assert not relay.pending and not relay.new_requests


def test_a_client_cannot_write_lines_of_its_own_into_the_log(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        ClientErrorLog(logging.getLogger("test")).add(0.0, "unknown command 'X\n12:00:00 forged'")
    assert caplog.messages == ["unknown command 'X?12:00:00 forged'"]
