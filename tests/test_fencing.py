"""Attempts under a lease: the epoch goes on record, and is looked at once more just before the first byte."""

from __future__ import annotations

import pytest

from garnetrelay.ownership import Ownership
from garnetrelay.store import format as fmt
from garnetrelay.store.reading import iter_records
from garnetrelay.store.storage import Folder
from tests.sockets import Field, until

DESTINATION = 3  # of all messages here


class StandInOwners:
    """Owns one destination, in an epoch that a test sets, and notes what it is asked."""

    def __init__(self, epoch: int | None) -> None:
        self.epoch = epoch
        self.lost_after_record = False
        self.asked: list[str] = []
        self.fenced: list[tuple[int, int]] = []

    def ownership(self, destination: int) -> Ownership | None:
        assert destination == DESTINATION
        self.asked.append("ownership")
        return None if self.epoch is None else Ownership(self.epoch, 1 << 62)

    def still_owned(self, destination: int, epoch: int) -> bool:
        self.asked.append("still_owned")
        if self.lost_after_record:
            self.fenced.append((destination, epoch))
        return not self.lost_after_record


def epochs(field: Field) -> list[int | None]:
    """Of all attempts on record."""
    records = [found for _, found in iter_records(Folder(field.state)) if isinstance(found, fmt.Record)]
    return [fmt.read_epoch(record) for record in records if record.kind is fmt.Kind.TRY]


@pytest.mark.parametrize("machine", [False, True])
async def test_the_epoch_is_on_record_and_looked_at_before_the_first_byte(field: Field, machine: bool) -> None:
    if machine:
        (field.folder / "options.toml").write_text('[store]\ndurability = "machine"\n')
        field.options = str(field.folder / "options.toml")
    client = await field.start()
    owners = field.relays[0].owners = StandInOwners(17)
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert epochs(field) == [17] and owners.asked == ["ownership", "still_owned"] and not owners.fenced
    call.answer(200)
    await until(lambda: not field.relays[0].pending)


async def test_a_lease_that_ends_behind_the_record_is_told_and_the_call_goes_out(field: Field) -> None:
    """In this sitting leases only report: the message is owed its delivery all the same."""
    client = await field.start()
    owners = field.relays[0].owners = StandInOwners(17)
    owners.lost_after_record = True
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    assert owners.fenced == [(DESTINATION, 17)]


async def test_what_another_owns_goes_out_without_an_epoch(field: Field) -> None:
    client = await field.start()
    owners = field.relays[0].owners = StandInOwners(None)
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert epochs(field) == [None] and owners.asked == ["ownership"]
    call.answer(200)
    await until(lambda: not field.relays[0].pending)


async def test_without_leases_nothing_is_asked(field: Field) -> None:
    client = await field.start()
    assert field.relays[0].owners is None
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert epochs(field) == [None]
    call.answer(200)
    await until(lambda: not field.relays[0].pending)
