"""Attempts under a lease: the epoch is recorded, and checked again just before the first byte."""

from __future__ import annotations

import pytest

from garnetrelay.ownership import Ownership
from garnetrelay.store import format as fmt
from garnetrelay.store.reading import iter_records
from garnetrelay.store.storage import Folder
from tests.sockets import Field, until

DESTINATION = 3  # of all messages here


class FakeOwners:
    """Owns one destination in an epoch that the test sets, and records its calls."""

    def __init__(self, epoch: int | None) -> None:
        self.epoch = epoch
        self.lost_after_record = False
        self.calls: list[str] = []
        self.fenced: list[tuple[int, int]] = []

    def ownership(self, destination: int) -> Ownership | None:
        assert destination == DESTINATION
        self.calls.append("ownership")
        return None if self.epoch is None else Ownership(self.epoch, 1 << 62)

    def still_owned(self, destination: int, epoch: int) -> bool:
        self.calls.append("still_owned")
        if self.lost_after_record:
            self.fenced.append((destination, epoch))
        return not self.lost_after_record


def epochs(field: Field) -> list[int | None]:
    """The epochs of all recorded attempts."""
    records = [found for _, found in iter_records(Folder(field.state)) if isinstance(found, fmt.Record)]
    return [fmt.read_epoch(record) for record in records if record.kind is fmt.Kind.TRY]


@pytest.mark.parametrize("machine", [False, True])
async def test_the_epoch_is_recorded_and_checked_before_the_first_byte(field: Field, machine: bool) -> None:
    if machine:
        (field.folder / "options.toml").write_text('[store]\ndurability = "machine"\n')
        field.options = str(field.folder / "options.toml")
    client = await field.start()
    owners = field.relays[0].owners = FakeOwners(17)
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert epochs(field) == [17] and owners.calls == ["ownership", "still_owned"] and not owners.fenced
    call.answer(200)
    await until(lambda: not field.relays[0].pending)


async def test_a_lease_that_ends_after_the_record_is_reported_and_the_call_goes_out(field: Field) -> None:
    """Leases only report so far: the message is delivered all the same."""
    client = await field.start()
    owners = field.relays[0].owners = FakeOwners(17)
    owners.lost_after_record = True
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].pending)
    assert owners.fenced == [(DESTINATION, 17)]


async def test_a_call_for_a_destination_owned_by_another_relay_has_no_epoch(field: Field) -> None:
    client = await field.start()
    owners = field.relays[0].owners = FakeOwners(None)
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert epochs(field) == [None] and owners.calls == ["ownership"]
    call.answer(200)
    await until(lambda: not field.relays[0].pending)


async def test_without_leases_no_epoch_is_recorded(field: Field) -> None:
    client = await field.start()
    assert field.relays[0].owners is None
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert epochs(field) == [None]
    call.answer(200)
    await until(lambda: not field.relays[0].pending)
