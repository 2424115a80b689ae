"""Clients' requests that are incomplete or not answered take a limited share of the memory, over all connections."""

from __future__ import annotations

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.fronts.resp import connection as resp_connection
from garnetrelay.fronts.resp.request_memory import RequestMemory
from tests.sockets import Client, Field, until

LIMIT = 1 << 20  # the least that a relay has
BODY = b"x" * 60_000


def message(ref: str, body: bytes = BODY) -> bytes:
    return bytes(hiredis.pack_command(("ENQUEUE", "0", ref, "c=safe,d=8000,dest=3", body)))  # type: ignore[arg-type]


def incomplete_bytes(field: Field) -> int:
    return sum(len(connection.raw) for connection in field.relays[0].server.connections)


async def test_a_crowd_of_unfinished_messages_is_rejected_before_it_exceeds_its_share_of_the_memory(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing limited the bytes of all connections together: 900 clients took a relay over its memory limit."""
    monkeypatch.setattr(resp_connection, "COMMAND_TIMEOUT_S", 3600)  # only the limit of the memory rejects
    field.limits["memory_mb"] = 8
    slow = await field.start()
    assert field.relays[0].server.memory.limit == LIMIT
    slow_message = message("slow", b"x" * 200)
    slow.writer.write(slow_message[:100])
    await until(lambda: incomplete_bytes(field) == 100)
    unfinished = message("m00")[:-40]
    fitting = (LIMIT - 100) // len(unfinished)
    crowd = []
    for number in range(2 * fitting):
        crowd.append(await Client.connect(field.port))
        crowd[-1].writer.write(message(f"m{number:02}")[:-40])
        expected = 100 + len(unfinished) * min(number + 1, fitting)
        await until(lambda expected=expected: incomplete_bytes(field) == expected)  # type: ignore[misc]
    for rejected in crowd[:fitting]:  # of equal sizes those that began first
        assert await rejected.read() == "BUSY" and await rejected.read() is None
    slow.writer.write(slow_message[100:])
    assert await slow.read() == b"OK"  # an ordinary message is not affected, however slowly it is written
    for client in crowd:
        client.writer.close()
    await until(lambda: incomplete_bytes(field) == 0)


async def test_whole_requests_of_one_tick_are_refused_above_the_limit(field: Field) -> None:
    """All that is read in one iteration of the loop waits for one tick: of many connections that is too much."""
    field.limits["memory_mb"] = 8
    client = await field.start()
    server = field.relays[0].server
    handler, most = server.handler, 0

    def handle(request: object, reply: object) -> None:
        nonlocal most
        handler(request, reply)  # type: ignore[arg-type]
        most = max(most, server.memory.unanswered)

    server.handler = handle
    fitting = LIMIT // len(BODY)
    clients = [client] + [await Client.connect(field.port) for _ in range(2 * fitting)]
    for number, one in enumerate(clients):
        one.writer.write(message(f"m{number}"))
    answers = [await one.read() for one in clients]
    assert set(answers) <= {b"OK", "BUSY"} and b"OK" in answers
    assert most <= LIMIT and server.memory.unanswered == 0


async def test_a_client_that_reads_no_answers_is_not_served_further(field: Field) -> None:
    """Commands that were read together were all answered, and answers that nobody read filled the memory."""
    client = await field.start()
    (connection,) = field.relays[0].server.connections
    transport = connection.transport
    assert transport is not None
    written: list[bytes] = []
    transport.write = written.append  # type: ignore[method-assign, assignment]
    connection.pause_writing()
    connection.receive(b"*1\r\n$4\r\nPING\r\n" * 3)
    assert written == [] and len(connection.raw) == 42
    connection.resume_writing()
    await until(lambda: not connection.raw)
    assert b"".join(written) == b"+PONG\r\n" * 3 and not connection.raw
    client.writer.close()


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 50), st.booleans()), max_size=60))
def test_the_largest_incomplete_requests_make_room_for_all_others(steps: list[tuple[int, int, bool]]) -> None:
    memory: RequestMemory[int] = RequestMemory(100)
    incomplete: dict[int, int] = {}
    admitted: list[int] = []
    for connection, size, whole in steps:
        if whole and memory.admit(size):
            admitted.append(size)
        elif whole:
            assert sum(admitted) + size > 100
            memory.answered(admitted.pop())
        else:
            memory.set_incomplete(connection, size)
            incomplete[connection] = size
        while (largest := memory.largest_incomplete()) is not None:
            assert incomplete[largest] == max(incomplete.values())
            memory.set_incomplete(largest, 0)
            del incomplete[largest]
        assert sum(admitted) + sum(incomplete.values()) <= 100 and sum(admitted) == memory.unanswered
