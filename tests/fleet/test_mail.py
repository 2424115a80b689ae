"""The same members on the simulator's wire: notes of 256 bytes, by hand-made batches."""

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


class Day:
    """Relays and the notes between them."""

    def __init__(self, count: int) -> None:
        self.count, self.now, self.posts = count, 0, 0
        self.mails: dict[int, SimulatorMember] = {}
        self.queue: list[tuple[int, int, int, Callable[..., list[Reply]]]] = []
        self.order = itertools.count()

    def up(self, relay: int) -> None:
        self.mails[relay] = SimulatorMember(relay, self.count, relay + self.now, self.now)
        self.take(relay, self.mails[relay].begin(self.now))

    def take(self, relay: int, replies: list[Reply]) -> None:
        for reply in replies:
            if isinstance(reply, Post):
                assert len(reply.data) <= MAX_NOTE_BYTES
                self.posts += 1
                data = reply.data
                self.push(DELAY, reply.to, lambda mail, now, data=data: mail.mail(now, relay, data))
            elif isinstance(reply, Wake):
                own, token = self.mails[relay], reply.token
                self.push(
                    reply.after,
                    relay,
                    lambda mail, now, own=own, token=token: (mail.alarm(now, token) if mail is own else []),
                )

    def push(self, after: int, relay: int, what: Callable[..., list[Reply]]) -> None:
        heapq.heappush(self.queue, (self.now + after, next(self.order), relay, what))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, relay, what = heapq.heappop(self.queue)
            if relay in self.mails:
                self.take(relay, what(self.mails[relay], self.now))
        self.now = until

    def one_view(self) -> bool:
        return len({mail.members.view for mail in self.mails.values()}) == 1 and all(
            mail.members.count == len(self.mails) for mail in self.mails.values()
        )


def test_members_find_each_other_by_notes_and_know_who_has_gone() -> None:
    day = Day(20)
    for relay in range(20):
        day.up(relay)
    day.run(60)
    assert day.one_view()
    before = day.posts
    day.run(20)
    assert day.posts - before <= 20 * 20 * 1.1  # a question and an answer in two seconds
    del day.mails[7]
    day.run(60)
    assert day.one_view() and all(
        mail.members.table.gone["r7"].claim.status.name == "FAILED" for mail in day.mails.values()
    )
    day.up(7)  # it knows nothing of its earlier life
    day.run(60)
    assert day.one_view() and day.mails[7].members.local.claim.life == 2


def test_a_fleet_of_notes_begins_as_one_and_tells_differences_only() -> None:
    day = Day(60)
    for relay in range(60):
        day.up(relay)
    assert day.one_view() and all(mail.members.condition is not Condition.SETTLED for mail in day.mails.values())
    day.run(60)
    assert day.one_view() and all(mail.members.condition is Condition.SETTLED for mail in day.mails.values())
    assert day.posts <= 60 * 60 * 1.1
    for relay in range(0, 60, 3):
        del day.mails[relay]
    day.run(5)
    for relay in range(0, 60, 3):
        day.up(relay)
    assert day.one_view()  # nobody has missed them: there is nothing to tell
    for relay in range(0, 60, 3):
        del day.mails[relay]
    day.run(90)
    before = day.posts
    for relay in range(0, 60, 3):
        day.up(relay)
    day.run(60)
    assert day.one_view() and day.posts - before <= 2 * 60 * 60  # as much again as peace, at most
    assert {mail.members.local.claim.life for relay, mail in day.mails.items() if relay % 3} == {1}
    whole = day.mails[1].members.answer_hello(day.now, day.mails[2].members.hello(day.now))
    pieces = [day.mails[2].codec.decode(post.data, exchange=True) for post in day.mails[1]._pieces(2, whole)]
    told = {claim.name for piece in pieces for claim in piece.claims}
    assert told == {f"r{relay}" for relay in range(0, 60, 3)} and len(pieces) <= 8


def test_a_price_of_notes_stretches_the_time_between_questions() -> None:
    assert settings_at(0).probe_interval == settings_at(0.001).probe_interval == 2 * SECOND
    assert settings_at(0.01).probe_interval == 5 * SECOND


def test_a_note_that_cannot_be_used_changes_nothing() -> None:
    mail = SimulatorMember(0, 3, 1, 0)
    mail.begin(0)
    before = mail.members.local.claim, list(mail.members.table.claims())
    for data in (b"", b"noise", bytes(300), mail.codec.encode(mail.members.hello(0), 2)[:-1]):
        assert mail.mail(1, 1, data) == []
    assert mail.refused == 4 and before == (mail.members.local.claim, list(mail.members.table.claims()))
    assert all(relay_at(address_of(relay)) == relay for relay in (0, 1, 255, 256, 70_000))


def wire(peers: bool, *lines: str) -> str:
    facts = json.loads(json.dumps(FACTS))
    facts["balancers"], facts["me"], facts["limits"]["peers"] = 2, 0, peers
    first = ("sync atTime=0", "instance relay=3", f"up rngSeed=1 facts={json.dumps(facts)}", "eob")
    text = "\n".join((*first, *lines)) + "\n"
    sink = streams.StringIO()
    assert wirehost.WireHost(streams.StringIO(text), sink).run() == 0
    return sink.getvalue()


def test_the_wire_carries_members_only_where_it_may(capsys: pytest.CaptureFixture[str]) -> None:
    assert "post" not in wire(False, "sync atTime=5", "instance relay=3", "mail originPeer=1 data=00", "eob")
    told = wire(True)
    wake = next(
        line for line in told.splitlines() if line.startswith("defer") and int(line.rpartition("=")[2]) >= 1 << 40
    )
    wait, token = (int(part.rpartition("=")[2]) for part in wake.split()[1:])
    told = wire(True, f"sync atTime={wait}", "instance relay=3", f"alarm ctx={token}", "eob")
    assert "post neighbourId=1 data=4746" in told  # it asks the other whether it is there


def test_a_site_file_is_changed_in_its_tables() -> None:
    text = 'stock = "a"\n[scale]\nbalancers = [2, 3]\n[allow]\nprobes = true\n'
    made = changed(text, [("scale", "balancers", "[30, 31]"), ("allow", "peers", "true"), ("", "stock", '"b"')])
    assert made == 'stock = "b"\n[scale]\nbalancers = [30, 31]\n[allow]\npeers = true\nprobes = true\n'
    with pytest.raises(ValueError, match="no table"):
        changed(text, [("prices", "peer", "0.1")])
