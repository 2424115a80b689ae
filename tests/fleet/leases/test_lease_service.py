"""A relay's side of leases, with controllers' decisions at the other end of a stand-in wire and a clock set by hand."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest

from garnetrelay.config.leases import Leases as LeasesConfig
from garnetrelay.fleet import clock
from garnetrelay.fleet import lease_service as service
from garnetrelay.fleet import lease_status as status
from garnetrelay.fleet.leases.codec import Codec
from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.messages import Answer, ReadRecords, Records, SendToController, SendToRelay, WriteRecords
from garnetrelay.fleet.leases.settings import SECOND, Settings
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.members.view import FleetView
from garnetrelay.fleet.members.view_state import Condition

ROOT = Path(__file__).parents[3]
SECRET = b"a secret of the tests"
SETTINGS = Settings(controllers=3, partitions=16)
PLACES = tuple(SocketAddress("10.0.0.1", number) for number in (1, 2, 3))


class StandInMembers:
    """A view that a test sets."""

    def __init__(self, *names: str) -> None:
        self.names = names
        self.condition = Condition.SETTLED
        self.view = 1
        self.asked = 0

    def change(self, *names: str) -> None:
        self.names, self.view = names, self.view + 1

    def fleet_view(self) -> FleetView:
        self.asked += 1
        return FleetView(dict.fromkeys(self.names, 0), self.condition, self.view)


class Wire:
    """Three controllers that are ready, and one relay. Nothing is lost; time stands until a test moves it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, members: StandInMembers) -> None:
        self.now = 0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.codec = Codec([SECRET])
        self.controllers = [Controller(number, number + 1, SETTINGS, [], 0, False) for number in range(3)]
        self.now = 2 * SETTINGS.lease
        self.reachable = True
        for controller in self.controllers:
            for effect in controller.tick(self.now):
                assert isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords)
                found = Records(effect.controller, effect.controller + 1, effect.message.number, [], -1)
                controller.receive(self.now, found)
            assert controller.ready
        self.members = members
        self.sent: list[tuple[SocketAddress, bytes]] = []
        self.leases = service.LeaseService(LeasesConfig(PLACES, SETTINGS), "r1", [SECRET], members, self._send)

    def _send(self, place: SocketAddress, data: bytes) -> bool:
        self.sent.append((place, data))
        return True

    def carry(self) -> None:
        """All that is on its way, and what comes back."""
        while self.sent:
            place, data = self.sent.pop(0)
            if self.reachable:
                self._answer(PLACES.index(place), data)

    def _answer(self, number: int, data: bytes) -> None:
        message = self.codec.decode(data)
        assert not isinstance(message, Answer)
        controller = self.controllers[number]
        effects = controller.receive(self.now, message)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, WriteRecords):
                effects += controller.written(self.now, effect.ticket)
            elif isinstance(effect, SendToRelay):
                self.leases.receive(self.codec.encode(effect.message), PLACES[number])

    async def assigned(self) -> None:
        """The view has been worked out."""
        while self.leases._assigning is not None:
            await asyncio.wait([self.leases._assigning])

    async def run(self, seconds: int) -> None:
        """Let time pass."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.carry()
            self.now += SECOND // 10
            self.leases._tick()
        self.carry()

    async def begin(self) -> None:
        self.leases.start()
        await self.assigned()
        await self.run(3)


@pytest.fixture
def members() -> StandInMembers:
    return StandInMembers("r1")


@pytest.fixture
async def wire(monkeypatch: pytest.MonkeyPatch, members: StandInMembers) -> Wire:
    return Wire(monkeypatch, members)


async def test_a_relay_owns_what_its_view_assigns_to_it(wire: Wire, members: StandInMembers) -> None:
    await wire.begin()
    assert len(wire.leases.holder.owned(wire.now)) == SETTINGS.partitions
    found = wire.leases.ownership(4711)
    assert found is not None and found.epoch == 1 and found.until > wire.now
    members.change("r1", "r2")
    wire.leases.on_view_change()
    await wire.assigned()
    await wire.run(3)
    owned = wire.leases.holder.owned(wire.now)
    assert 0 < len(owned) < SETTINGS.partitions
    assert {wire.leases.assigned_relay(partition) for partition in owned} == {"r1"}
    said = status.destination(wire.leases, 4711, wire.now)
    assert said.should_own in ("r1", "r2") and (said.epoch is None) == (said.should_own == "r2")


@pytest.mark.parametrize("condition", [Condition.CUT_OFF, Condition.ALONE, Condition.JOINING])
async def test_a_view_whose_numbers_cannot_be_relied_on_changes_no_wish(
    wire: Wire, members: StandInMembers, condition: Condition
) -> None:
    members.change("r1", "r2")
    await wire.begin()
    before = set(wire.leases.holder.assigned)
    assert 0 < len(before) < SETTINGS.partitions
    members.condition = condition
    members.change("r1")
    wire.leases.on_view_change()
    assert wire.leases._assigning is None and set(wire.leases.holder.assigned) == before
    members.condition = Condition.UNSETTLED  # from here on they may be: the look is caught up on
    wire.leases.on_view_change()
    await wire.assigned()
    assert len(wire.leases.holder.assigned) == SETTINGS.partitions


async def test_an_unchanged_view_is_not_worked_out_again(wire: Wire, members: StandInMembers) -> None:
    await wire.begin()
    asked = members.asked
    wire.leases.on_view_change()
    assert members.asked == asked


async def test_a_relay_that_slept_past_its_lease_knows_it_at_once(wire: Wire, caplog: pytest.LogCaptureFixture) -> None:
    await wire.begin()
    found = wire.leases.ownership(4711)
    assert found is not None and wire.leases.still_owned(4711, found.epoch)
    wire.now = found.until  # nothing has run meanwhile: neither a tick nor an answer told it
    assert wire.leases.ownership(4711) is None
    assert not wire.leases.still_owned(4711, found.epoch) and wire.leases.fenced == 1
    assert not wire.leases.still_owned(4711, found.epoch)  # a second one within the second: counted, no second line
    lines = [record.getMessage() for record in caplog.records if "fenced" in record.getMessage()]
    assert len(lines) == 1 and f"epoch {found.epoch}" in lines[0]
    assert "relay_leases_fenced 2\n" in status.metrics_text(wire.leases, wire.now)


async def test_an_attempt_of_an_earlier_epoch_is_fenced(wire: Wire) -> None:
    await wire.begin()
    found = wire.leases.ownership(4711)
    assert found is not None and not wire.leases.still_owned(4711, found.epoch - 1)


async def test_without_a_majority_nothing_is_owned_and_it_comes_back(wire: Wire) -> None:
    await wire.begin()
    wire.reachable = False
    await wire.run(20)
    assert not wire.leases.holder.owned(wire.now)
    assert [line.counts for line in status.controllers(wire.leases, wire.now)] == [False] * 3
    wire.reachable = True
    await wire.run(20)
    assert len(wire.leases.holder.owned(wire.now)) == SETTINGS.partitions


async def test_a_relay_that_leaves_gives_all_up(wire: Wire) -> None:
    await wire.begin()
    wire.leases.close()
    wire.carry()
    assert not wire.leases.holder.owned(wire.now) and wire.leases._timer is not None and wire.leases._timer.cancelled()
    assert all(not any(controller.grant_table.holders) for controller in wire.controllers)


async def test_what_is_no_answer_is_counted(wire: Wire) -> None:
    await wire.begin()
    wire.leases.receive(wire.codec.encode(ReadRecords(0, 1, 1, 0)), PLACES[0])
    wire.leases.receive(Codec([b"a secret of somebody else"]).encode(ReadRecords(0, 1, 1, 0)), PLACES[0])
    wire.leases.receive(b"GLnoise", PLACES[0])
    assert wire.leases.refused == {"misdirected": 1, "secret": 1, "foreign": 1}


def test_a_fleet_without_leases_loads_nothing_of_them(tmp_path: Path) -> None:
    (tmp_path / "secret").write_bytes(SECRET)
    (tmp_path / "options.toml").write_text('[fleet]\nlisten = "127.0.0.1:0"\nsecret_file = "secret"\n')
    told = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, garnetrelay.__main__, garnetrelay.relay, garnetrelay.operators.service\n"
            "import garnetrelay.fleet.service\n"
            "from garnetrelay.config import options\nfrom pathlib import Path\n"
            f"assert options.read(Path({str(tmp_path / 'options.toml')!r}), 'r1')[1] is not None\n"
            "print([name for name in sys.modules if 'leases' in name or 'partitions' in name or 'xxhash' in name])",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ},
    )
    assert told.stdout.strip() == "[]"
