"""Fleet members on the simulator's wire: notes of 256 bytes, driven by hand-made batches."""

from __future__ import annotations

import heapq
import io as streams
import itertools
import json
from collections.abc import Callable

import pytest

from benchmarks.simulator import changed
from garnetrelay.fleet.members.settings import SECOND
from garnetrelay.fleet.members.view_state import Condition
from garnetrelay.fleet.simulator_member import (
    MAX_NOTE_BYTES,
    Post,
    Reply,
    SimulatorMember,
    Wake,
    address_of,
    relay_at,
    settings_at,
)
from starlingwick import wirehost
from tests.test_library import FACTS

DELAY = 10_000_000


class SimulatedRun:
    """Relays and the notes between them, on a simulated clock."""

    def __init__(self, count: int) -> None:
        self.count, self.now, self.posts = count, 0, 0
        self.relays: dict[int, SimulatorMember] = {}
        self.queue: list[tuple[int, int, int, Callable[..., list[Reply]]]] = []
        self.order = itertools.count()

    def start(self, relay: int) -> None:
        self.relays[relay] = SimulatorMember(relay, self.count, relay + self.now, self.now)
        self.handle(relay, self.relays[relay].begin(self.now))

    def handle(self, relay: int, replies: list[Reply]) -> None:
        for reply in replies:
            if isinstance(reply, Post):
                assert len(reply.data) <= MAX_NOTE_BYTES
                self.posts += 1
                data = reply.data
                self.schedule(DELAY, reply.to, lambda member, now, data=data: member.receive(now, relay, data))
            elif isinstance(reply, Wake):
                own, token = self.relays[relay], reply.token
                self.schedule(
                    reply.after,
                    relay,
                    lambda member, now, own=own, token=token: (member.alarm(now, token) if member is own else []),
                )

    def schedule(self, after: int, relay: int, action: Callable[..., list[Reply]]) -> None:
        heapq.heappush(self.queue, (self.now + after, next(self.order), relay, action))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, relay, action = heapq.heappop(self.queue)
            if relay in self.relays:
                self.handle(relay, action(self.relays[relay], self.now))
        self.now = until

    def one_view(self) -> bool:
        return len({member.members.view for member in self.relays.values()}) == 1 and all(
            member.members.count == len(self.relays) for member in self.relays.values()
        )


def test_members_find_each_other_by_notes_and_detect_departures() -> None:
    fleet = SimulatedRun(20)
    for relay in range(20):
        fleet.start(relay)
    fleet.run(60)
    assert fleet.one_view()
    before = fleet.posts
    fleet.run(20)
    assert fleet.posts - before <= 20 * 20 * 1.1  # a request and an answer in two seconds
    del fleet.relays[7]
    fleet.run(60)
    assert fleet.one_view() and all(
        member.members.table.gone["r7"].claim.status.name == "FAILED" for member in fleet.relays.values()
    )
    fleet.start(7)  # it knows nothing of its earlier life
    fleet.run(60)
    assert fleet.one_view() and fleet.relays[7].members.local.claim.life == 2


def test_a_fleet_starts_with_one_view_and_sends_differences_only() -> None:
    fleet = SimulatedRun(60)
    for relay in range(60):
        fleet.start(relay)
    assert fleet.one_view() and all(member.members.condition is not Condition.SETTLED for member in fleet.relays.values())
    fleet.run(60)
    assert fleet.one_view() and all(member.members.condition is Condition.SETTLED for member in fleet.relays.values())
    assert fleet.posts <= 60 * 60 * 1.1
    for relay in range(0, 60, 3):
        del fleet.relays[relay]
    fleet.run(5)
    for relay in range(0, 60, 3):
        fleet.start(relay)
    assert fleet.one_view()  # their absence was not noticed: there is nothing to send
    for relay in range(0, 60, 3):
        del fleet.relays[relay]
    fleet.run(90)
    before = fleet.posts
    for relay in range(0, 60, 3):
        fleet.start(relay)
    fleet.run(60)
    assert fleet.one_view() and fleet.posts - before <= 2 * 60 * 60  # at most twice the traffic of an idle fleet
    assert {member.members.local.claim.life for relay, member in fleet.relays.items() if relay % 3} == {1}
    whole = fleet.relays[1].members.answer_hello(fleet.now, fleet.relays[2].members.hello(fleet.now))
    pieces = [fleet.relays[2].codec.decode(post.data, exchange=True) for post in fleet.relays[1]._pieces(2, whole)]
    output = {claim.name for piece in pieces for claim in piece.claims}
    assert output == {f"r{relay}" for relay in range(0, 60, 3)} and len(pieces) <= 8


def test_the_price_of_notes_lengthens_the_probe_interval() -> None:
    assert settings_at(0).probe_interval == settings_at(0.001).probe_interval == 2 * SECOND
    assert settings_at(0.01).probe_interval == 5 * SECOND


def test_an_invalid_note_changes_nothing() -> None:
    member = SimulatorMember(0, 3, 1, 0)
    member.begin(0)
    before = member.members.local.claim, list(member.members.table.claims())
    for data in (b"", b"noise", bytes(300), member.codec.encode(member.members.hello(0), 2)[:-1]):
        assert member.receive(1, 1, data) == []
    assert member.refused == 4 and before == (member.members.local.claim, list(member.members.table.claims()))
    assert all(relay_at(address_of(relay)) == relay for relay in (0, 1, 255, 256, 70_000))


def run_wire(peers: bool, *lines: str) -> str:
    facts = json.loads(json.dumps(FACTS))
    facts["balancers"], facts["me"], facts["limits"]["peers"] = 2, 0, peers
    first = ("sync atTime=0", "instance relay=3", f"up rngSeed=1 facts={json.dumps(facts)}", "eob")
    text = "\n".join((*first, *lines)) + "\n"
    sink = streams.StringIO()
    assert wirehost.WireHost(streams.StringIO(text), sink).run() == 0
    return sink.getvalue()


def test_the_wire_carries_members_only_if_the_settings_allow_it(capsys: pytest.CaptureFixture[str]) -> None:
    assert "post" not in run_wire(False, "sync atTime=5", "instance relay=3", "mail originPeer=1 data=00", "eob")
    output = run_wire(True)
    wake = next(
        line for line in output.splitlines() if line.startswith("defer") and int(line.rpartition("=")[2]) >= 1 << 40
    )
    wait, token = (int(part.rpartition("=")[2]) for part in wake.split()[1:])
    output = run_wire(True, f"sync atTime={wait}", "instance relay=3", f"alarm ctx={token}", "eob")
    assert "post neighbourId=1 data=4746" in output  # a probe of the other relay


def test_a_site_file_is_changed_in_its_tables() -> None:
    text = 'stock = "a"\n[scale]\nbalancers = [2, 3]\n[allow]\nprobes = true\n'
    result = changed(text, [("scale", "balancers", "[30, 31]"), ("allow", "peers", "true"), ("", "stock", '"b"')])
    assert result == 'stock = "b"\n[scale]\nbalancers = [30, 31]\n[allow]\npeers = true\nprobes = true\n'
    with pytest.raises(ValueError, match="no table"):
        changed(text, [("prices", "peer", "0.1")])
