"""A relay's side of leases, with real controllers behind a simulated network and a clock that the test sets."""

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
ADDRESSES = tuple(SocketAddress("10.0.0.1", number) for number in (1, 2, 3))


class FakeMembers:
    """A view of the members that a test sets."""

    def __init__(self, *names: str) -> None:
        self.names = names
        self.condition = Condition.SETTLED
        self.view = 1
        self.queries = 0

    def change(self, *names: str) -> None:
        self.names, self.view = names, self.view + 1

    def fleet_view(self) -> FleetView:
        self.queries += 1
        return FleetView(dict.fromkeys(self.names, 0), self.condition, self.view)


class FakeNetwork:
    """Three ready controllers and one relay. Nothing is lost, and time moves only when a test advances it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, members: FakeMembers) -> None:
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
        self.leases = service.LeaseService(LeasesConfig(ADDRESSES, SETTINGS), "r1", [SECRET], members, self._send)

    def _send(self, address: SocketAddress, data: bytes) -> bool:
        self.sent.append((address, data))
        return True

    def deliver_all(self) -> None:
        """Delivers all messages in flight, and their answers."""
        while self.sent:
            address, data = self.sent.pop(0)
            if self.reachable:
                self._answer(ADDRESSES.index(address), data)

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
                self.leases.receive(self.codec.encode(effect.message), ADDRESSES[number])

    async def assigned(self) -> None:
        """Waits until the assignment for the current view is computed."""
        while self.leases._assigning is not None:
            await asyncio.wait([self.leases._assigning])

    async def run(self, seconds: int) -> None:
        """Lets time pass."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.deliver_all()
            self.now += SECOND // 10
            self.leases._tick()
        self.deliver_all()

    async def start_and_acquire(self) -> None:
        self.leases.start()
        await self.assigned()
        await self.run(3)


@pytest.fixture
def members() -> FakeMembers:
    return FakeMembers("r1")


@pytest.fixture
async def network(monkeypatch: pytest.MonkeyPatch, members: FakeMembers) -> FakeNetwork:
    return FakeNetwork(monkeypatch, members)


async def test_a_relay_owns_the_partitions_that_its_view_assigns(network: FakeNetwork, members: FakeMembers) -> None:
    await network.start_and_acquire()
    assert len(network.leases.holder.owned(network.now)) == SETTINGS.partitions
    found = network.leases.ownership(4711)
    assert found is not None and found.epoch == 1 and found.until > network.now
    members.change("r1", "r2")
    network.leases.on_view_change()
    await network.assigned()
    await network.run(3)
    owned = network.leases.holder.owned(network.now)
    assert 0 < len(owned) < SETTINGS.partitions
    assert {network.leases.assigned_relay(partition) for partition in owned} == {"r1"}
    line = status.destination(network.leases, 4711, network.now)
    assert line.should_own in ("r1", "r2") and (line.epoch is None) == (line.should_own == "r2")


@pytest.mark.parametrize("condition", [Condition.CUT_OFF, Condition.ALONE, Condition.JOINING])
async def test_an_unreliable_view_changes_no_assignment(
    network: FakeNetwork, members: FakeMembers, condition: Condition
) -> None:
    members.change("r1", "r2")
    await network.start_and_acquire()
    before = set(network.leases.holder.assigned)
    assert 0 < len(before) < SETTINGS.partitions
    members.condition = condition
    members.change("r1")
    network.leases.on_view_change()
    assert network.leases._assigning is None and set(network.leases.holder.assigned) == before
    members.condition = Condition.UNSETTLED  # reliable again: the skipped update is made up for
    network.leases.on_view_change()
    await network.assigned()
    assert len(network.leases.holder.assigned) == SETTINGS.partitions


async def test_an_unchanged_view_is_not_recomputed(network: FakeNetwork, members: FakeMembers) -> None:
    await network.start_and_acquire()
    queries = members.queries
    network.leases.on_view_change()
    assert members.queries == queries


async def test_a_relay_that_slept_past_its_lease_notices_at_once(
    network: FakeNetwork, caplog: pytest.LogCaptureFixture
) -> None:
    await network.start_and_acquire()
    found = network.leases.ownership(4711)
    assert found is not None and network.leases.still_owned(4711, found.epoch)
    network.now = found.until  # no tick and no answer has been processed since
    assert network.leases.ownership(4711) is None
    assert not network.leases.still_owned(4711, found.epoch) and network.leases.fenced == 1
    # A second fenced attempt within the same second is counted, but not logged:
    assert not network.leases.still_owned(4711, found.epoch)
    lines = [record.getMessage() for record in caplog.records if "fenced" in record.getMessage()]
    assert len(lines) == 1 and f"epoch {found.epoch}" in lines[0]
    assert "relay_leases_fenced 2\n" in status.metrics_text(network.leases, network.now)


async def test_an_attempt_of_an_earlier_epoch_is_fenced(network: FakeNetwork) -> None:
    await network.start_and_acquire()
    found = network.leases.ownership(4711)
    assert found is not None and not network.leases.still_owned(4711, found.epoch - 1)


async def test_without_a_majority_nothing_is_owned_until_it_returns(network: FakeNetwork) -> None:
    await network.start_and_acquire()
    network.reachable = False
    await network.run(20)
    assert not network.leases.holder.owned(network.now)
    assert [line.counts for line in status.controllers(network.leases, network.now)] == [False] * 3
    network.reachable = True
    await network.run(20)
    assert len(network.leases.holder.owned(network.now)) == SETTINGS.partitions


async def test_a_relay_that_leaves_releases_all(network: FakeNetwork) -> None:
    await network.start_and_acquire()
    network.leases.close()
    network.deliver_all()
    assert (
        not network.leases.holder.owned(network.now)
        and network.leases._timer is not None
        and network.leases._timer.cancelled()
    )
    assert all(not any(controller.grant_table.holders) for controller in network.controllers)


async def test_datagrams_that_are_no_answers_are_counted(network: FakeNetwork) -> None:
    await network.start_and_acquire()
    network.leases.receive(network.codec.encode(ReadRecords(0, 1, 1, 0)), ADDRESSES[0])
    network.leases.receive(Codec([b"a secret of somebody else"]).encode(ReadRecords(0, 1, 1, 0)), ADDRESSES[0])
    network.leases.receive(b"GLnoise", ADDRESSES[0])
    assert network.leases.refused == {"misdirected": 1, "secret": 1, "foreign": 1}


def test_a_fleet_without_leases_imports_no_module_of_them(tmp_path: Path) -> None:
    (tmp_path / "secret").write_bytes(SECRET)
    (tmp_path / "options.toml").write_text('[fleet]\nlisten = "127.0.0.1:0"\nsecret_file = "secret"\n')
    result = subprocess.run(
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
    assert result.stdout.strip() == "[]"
