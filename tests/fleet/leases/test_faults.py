"""Restarts, lost folders, full disks, network cuts, duplicates, replays and hostile values."""

from __future__ import annotations

import random

import pytest

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.digest import digest
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.messages import (
    MAX_EPOCH,
    MAX_EPOCH_STEP,
    MAX_GRANTS,
    Acquire,
    Answer,
    Grant,
    LogLine,
    ReadRecords,
    Record,
    Records,
    Release,
    Renew,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.leases.settings import SECOND, Settings
from tests.fleet.leases.cluster import SETTINGS, Cluster

ALL = list(range(8))
LEASE = SETTINGS.lease
S1, S2 = Session("a", 1), Session("b", 2)
FINGERPRINT = SETTINGS.fingerprint


def _owns(cluster: Cluster, holder: Holder, partitions: list[int] = ALL) -> bool:
    return holder.owned(cluster.now).keys() == set(partitions)


def _owner(cluster: Cluster, name: str = "a", number: int = 1, assigned: list[int] = ALL) -> Holder:
    relay = cluster.relay(name, assigned, number)
    assert cluster.run(10 * SECOND, lambda: _owns(cluster, relay, assigned))
    return relay


def _ready(number: int = 0, settings: Settings = SETTINGS) -> Controller:
    """Returns a controller that is ready after its wait; two others had no records."""
    controller = Controller(number, 77, settings, [], 0, False)
    for effect in controller.tick(settings.lease):
        assert isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords)
        controller.receive(settings.lease, Records(effect.controller, 5, effect.message.number, [], -1))
    assert controller.ready
    return controller


def _acquire(
    session: Session, number: int, grants: list[tuple[int, int]], boot: int = 77, fingerprint: int = FINGERPRINT
) -> Acquire:
    return Acquire(session, number, boot, fingerprint, [Grant(*grant) for grant in grants])


def _answer_to(controller: Controller, now: int, request: Acquire | Renew | Release) -> Answer:
    """Returns the answer, after its records are written."""
    (effect,) = controller.receive(now, request)
    if isinstance(effect, WriteRecords):
        (effect,) = controller.written(now, effect.ticket)
    assert isinstance(effect, SendToRelay)
    return effect.message


# ---- one controller


def test_a_grant_is_answered_once_it_is_written() -> None:
    controller = _ready()
    (effect,) = controller.receive(LEASE, _acquire(S1, 1, [(3, 1)]))
    assert isinstance(effect, WriteRecords) and effect.records == [Record(3, 1, "a", 1)]
    (again,) = controller.receive(LEASE, _acquire(S1, 2, [(3, 1)]))  # on record, but not durable yet
    assert isinstance(again, WriteRecords)
    (answer,) = controller.written(LEASE, effect.ticket)
    assert isinstance(answer, SendToRelay) and answer.message.granted == [Grant(3, 1)]
    assert controller.written(LEASE, effect.ticket) == []


def test_a_grant_that_was_not_written_is_refused_and_its_epoch_is_used_up() -> None:
    controller = _ready()
    (effect,) = controller.receive(LEASE, _acquire(S1, 1, [(3, 5), (4, 1)]))
    assert isinstance(effect, WriteRecords)
    line, answer = controller.not_written(LEASE, effect.ticket, "no space left")
    assert isinstance(line, LogLine) and isinstance(answer, SendToRelay)
    assert answer.message.granted == []
    assert {refusal.partition: refusal.epoch for refusal in answer.message.refused} == {3: 5, 4: 1}
    assert _answer_to(controller, LEASE, _acquire(S1, 2, [(3, 5)])).granted == []
    assert _answer_to(controller, LEASE, _acquire(S2, 1, [(3, 6)])).granted == [Grant(3, 6)]


def test_a_failed_write_keeps_earlier_records() -> None:
    controller = _ready()
    _answer_to(controller, LEASE, _acquire(S1, 1, [(3, 1)]))
    (effect,) = controller.receive(LEASE, _acquire(S1, 2, [(3, 1), (4, 1)]))
    assert isinstance(effect, WriteRecords)
    _, answer = controller.not_written(LEASE, effect.ticket, "no space left")
    assert isinstance(answer, SendToRelay) and answer.message.granted == [Grant(3, 1)]
    assert _answer_to(controller, LEASE, Renew(S1, 3, 77, FINGERPRINT, 1, digest([(3, 1)]))).matches


def test_another_session_has_to_wait_for_the_lease_and_needs_a_higher_epoch() -> None:
    controller = _ready()
    _answer_to(controller, LEASE, _acquire(S1, 1, [(3, 4)]))
    refused = _answer_to(controller, LEASE + 1, _acquire(S2, 1, [(3, 9)])).refused
    assert [tuple(refusal) for refusal in refused] == [(3, 4, LEASE - 1)]
    assert _answer_to(controller, 2 * LEASE - 1, _acquire(S2, 2, [(3, 9)])).granted == []
    assert _answer_to(controller, 2 * LEASE, _acquire(S2, 3, [(3, 4)])).granted == []
    assert _answer_to(controller, 2 * LEASE, _acquire(S2, 4, [(3, 5)])).granted == [Grant(3, 5)]


def test_old_numbers_are_ignored() -> None:
    controller = _ready()
    _answer_to(controller, LEASE, _acquire(S1, 5, [(3, 1)]))
    _answer_to(controller, LEASE, Release(S1, 6, 77, [Grant(3, 1)]))
    for number in (5, 6, 1):
        assert controller.receive(LEASE, _acquire(S1, number, [(3, 2)])) == []
        assert controller.receive(LEASE, Release(S1, number, 77, [])) == []
        assert controller.receive(LEASE, Renew(S1, number, 77, FINGERPRINT, 0, 0)) == []
    assert controller.event_counts["old number"] == 9


def test_requests_for_another_boot_or_with_other_settings_are_refused() -> None:
    controller = _ready()
    other = _answer_to(controller, LEASE, _acquire(S1, 1, [(3, 1)], boot=78))
    assert not other.accepted and other.boot == 77 and other.granted == []
    answer, line = controller.receive(LEASE, _acquire(S1, 2, [(3, 1)], fingerprint=FINGERPRINT ^ 1))
    assert isinstance(answer, SendToRelay) and not answer.message.accepted
    assert isinstance(line, LogLine) and "options" in line.text
    # One log line per relay:
    assert len(controller.receive(LEASE, _acquire(S1, 3, [(3, 1)], fingerprint=FINGERPRINT ^ 1))) == 1
    assert controller.grant_table.epochs[3] == 0


@pytest.mark.parametrize("epoch", [MAX_EPOCH, MAX_EPOCH_STEP + 1, 0])
def test_one_request_can_not_use_up_a_partitions_epochs(epoch: int) -> None:
    assert _answer_to(_ready(), LEASE, _acquire(S1, 1, [(3, epoch)])).granted == []


def test_partitions_out_of_range_change_nothing() -> None:
    controller = _ready()
    grants = [(SETTINGS.partitions, 1), (65_535, 1)]
    answer = _answer_to(controller, LEASE, _acquire(S1, 1, grants))
    assert answer.granted == [] and answer.refused == []
    assert _answer_to(controller, LEASE, Release(S1, 2, 77, [Grant(*grant) for grant in grants])).accepted
    controller.receive(LEASE, ReadRecords(1, 5, 9, 65_535))
    controller.receive(LEASE, ReadRecords(8, 5, 9, 0))  # no such controller
    assert not any(controller.grant_table.epochs)


def test_unrequested_records_change_nothing() -> None:
    controller = Controller(0, 77, SETTINGS, [], 0, False)
    forged = [Record(3, 9, "x", 1)]
    assert controller.receive(0, Records(1, 5, 1, forged, -1)) == []
    reads = controller.tick(LEASE)
    assert controller.receive(LEASE, Records(1, 5, 1 << 40, forged, -1)) == []
    assert controller.receive(LEASE, Records(0, 5, 78, forged, -1)) == []
    for effect in reads:
        assert isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords)
        controller.receive(LEASE, Records(effect.controller, 5, effect.message.number, [], -1))
    assert controller.ready and controller.grant_table.epochs[3] == 0


def test_sessions_without_grants_are_dropped() -> None:
    controller = _ready()
    for number in range(50):
        _answer_to(controller, LEASE, Renew(Session("a", number), 1, 77, FINGERPRINT, 0, 0))
    _answer_to(controller, LEASE, _acquire(S2, 1, [(3, 1)]))
    controller.tick(5 * LEASE)
    assert list(controller.grant_table.sessions) == [S2]


# ---- starting


def test_nothing_is_granted_before_one_lease_has_passed_and_others_were_read() -> None:
    controller = Controller(0, 77, SETTINGS, [Record(3, 4, "a", 1)], 0, False)
    assert controller.next_at == LEASE
    request = _acquire(S1, 1, [(3, 4)])
    (answer,) = controller.receive(LEASE - 1, request)
    assert isinstance(answer, SendToRelay) and not answer.message.accepted
    reads = [effect for effect in controller.tick(LEASE) if isinstance(effect, SendToController)]
    assert [read.controller for read in reads] == [1, 2]
    first, second = (read.message for read in reads)
    assert isinstance(first, ReadRecords) and isinstance(second, ReadRecords)
    controller.receive(LEASE, Records(1, 5, first.number, [Record(3, 6, "b", 2)], -1))
    (answer,) = controller.receive(LEASE, request)
    assert isinstance(answer, SendToRelay) and not answer.message.accepted
    (effect,) = controller.receive(LEASE, Records(2, 6, second.number, [], -1))
    assert isinstance(effect, WriteRecords) and effect.records == [Record(3, 6, "b", 2)]
    assert not controller.ready
    controller.written(LEASE, effect.ticket)
    assert controller.ready and controller.grant_table.epochs[3] == 6


def test_if_others_disagree_on_an_epoch_nobody_holds_the_partition() -> None:
    controller = Controller(0, 77, SETTINGS, [], 0, True)
    first, second = controller.tick(LEASE)
    assert isinstance(first, SendToController) and isinstance(first.message, ReadRecords)
    assert isinstance(second, SendToController) and isinstance(second.message, ReadRecords)
    controller.receive(LEASE, Records(1, 5, first.message.number, [Record(3, 6, "b", 2), Record(4, 1, "a", 1)], -1))
    (effect,) = controller.receive(LEASE, Records(2, 6, second.message.number, [Record(3, 6, "a", 1)], -1))
    assert isinstance(effect, WriteRecords)
    assert effect.records == [Record(3, 6, "", 0), Record(4, 1, "a", 1)]


def test_a_recovery_that_was_not_written_is_repeated() -> None:
    controller = Controller(0, 77, SETTINGS, [], 0, True)

    def read(now: int) -> WriteRecords:
        for effect in controller.tick(now):
            assert isinstance(effect, SendToController) and isinstance(effect.message, ReadRecords)
            found = controller.receive(
                now, Records(effect.controller, 5, effect.message.number, [Record(1, 1, "a", 1)], -1)
            )
        assert isinstance(found[0], WriteRecords)
        return found[0]

    write = read(LEASE)
    controller.not_written(LEASE, write.ticket, "no space left")
    assert not controller.ready and controller.next_at > LEASE
    controller.written(controller.next_at, read(controller.next_at).ticket)
    assert controller.ready


def test_an_empty_folder_is_not_read_by_others_before_its_recovery() -> None:
    controller = Controller(0, 77, SETTINGS, [], 0, True)
    assert controller.receive(0, ReadRecords(1, 5, 9, 0)) == []
    initialized = Controller(0, 77, SETTINGS, [], 0, False)
    (effect,) = initialized.receive(0, ReadRecords(1, 5, 9, 0))
    assert isinstance(effect, SendToController)
    assert effect.message == Records(0, 77, 9, [], -1)


def test_records_of_long_names_are_read_in_parts_that_fit() -> None:
    own = [Record(number, 1 << 40, "n" * 64, 1 << 61) for number in range(64)]
    source = Controller(1, 5, SETTINGS, own, 0, False)
    controller = Controller(0, 77, SETTINGS, [], 0, True)
    waiting = controller.tick(LEASE)
    parts = 0
    while waiting:
        effect = waiting.pop()
        if isinstance(effect, SendToController) and effect.controller == 1:
            assert isinstance(effect.message, ReadRecords)
            (part,) = source.receive(LEASE, effect.message)
            assert isinstance(part, SendToController) and isinstance(part.message, Records)
            assert len(part.message.records) <= 12
            waiting += controller.receive(LEASE, part.message)
            parts += 1
    assert parts == 6


def test_a_lost_folder_is_restored_with_the_epochs_of_others() -> None:
    cluster = Cluster().start_all()
    owner = _owner(cluster)
    cluster.start(0, empty=True)
    cluster.run(LEASE - SECOND)
    assert not cluster.controllers[0].ready
    cluster.run(5 * SECOND)
    assert cluster.controllers[0].ready
    assert cluster.folders[0] == cluster.folders[1]
    assert cluster.controllers[0].grant_table.sessions[owner.session].lease_until > cluster.now  # its vote is back
    assert _owns(cluster, owner) and owner.event_counts["lost"] == 0


def test_old_copy_of_a_folder_is_brought_up_to_date() -> None:
    cluster = Cluster().start_all()
    first = _owner(cluster)
    old = dict(cluster.folders[0])
    cluster.from_holder(first.session, first.set_assigned(cluster.now, []))
    _owner(cluster, "b", 2)
    cluster.folders[0] = old
    cluster.start(0)
    cluster.run(LEASE + 5 * SECOND)
    assert cluster.controllers[0].ready and cluster.folders[0] == cluster.folders[1]


def test_all_controllers_restarted_at_once() -> None:
    cluster = Cluster().start_all()
    owner = _owner(cluster)
    epochs = {partition: ownership.epoch for partition, ownership in owner.owned(cluster.now).items()}
    for number in range(3):
        cluster.start(number)
    cluster.run(LEASE)
    assert not owner.owned(cluster.now)
    assert cluster.run(10 * SECOND, lambda: _owns(cluster, owner))
    assert {partition: ownership.epoch for partition, ownership in owner.owned(cluster.now).items()} == epochs


def test_one_restart_after_the_other_costs_no_ownership() -> None:
    cluster = Cluster().start_all()
    owner = _owner(cluster)
    for number in range(3):
        cluster.start(number)
        assert cluster.run(LEASE + 10 * SECOND, lambda number=number: cluster.controllers[number].ready)  # type: ignore[misc]
        cluster.run(2 * SETTINGS.renew_every)
    assert _owns(cluster, owner) and owner.event_counts["lost"] == 0


# ---- relays


def test_without_a_majority_nothing_new_is_requested_and_ownership_ends() -> None:
    cluster = Cluster().start_all()
    owner = _owner(cluster)
    cluster.drop = lambda sender, receiver, message: {sender, receiver} & {1, 2} != set()
    cluster.run(LEASE)
    assert not owner.owned(cluster.now)
    cluster.from_holder(owner.session, owner.set_assigned(cluster.now, [*ALL, 20]))
    cluster.messages.clear()
    cluster.run(60 * SECOND)
    assert not any(isinstance(message, Acquire) for _, _, message in cluster.messages)
    sent = [receiver for sender, receiver, _ in cluster.messages if sender == owner.session]
    assert len(sent) <= 3 * 60 / 2
    cluster.drop = lambda sender, receiver, message: False
    assert cluster.run(10 * SECOND, lambda: _owns(cluster, owner, [*ALL, 20]))


def test_answers_lost_in_one_direction() -> None:
    """The controllers receive the relay's messages, but not the reverse: neither it nor another relay owns anything."""
    cluster = Cluster().start_all()
    first = _owner(cluster)
    cluster.drop = lambda sender, receiver, message: receiver == first.session
    second = cluster.relay("b", ALL, 2)
    cluster.run(3 * LEASE)
    assert not first.owned(cluster.now) and not second.owned(cluster.now)
    cluster.drop = lambda sender, receiver, message: first.session in (sender, receiver)
    assert cluster.run(LEASE + 10 * SECOND, lambda: _owns(cluster, second))


def test_two_processes_of_one_name_are_two_holders() -> None:
    cluster = Cluster().start_all()
    first = _owner(cluster)
    second = cluster.relay("a", ALL, 2)
    cluster.run(3 * LEASE)
    assert _owns(cluster, first) and not second.owned(cluster.now)


def test_partial_grants_are_released_by_a_relay_without_a_majority() -> None:
    """One relay has a lease at controllers 1 and 2, another has a grant of controller 0 only."""
    cluster = Cluster().start_all()
    cluster.drop = lambda sender, receiver, message: 0 in (sender, receiver) and Session("a", 1) in (sender, receiver)
    first = _owner(cluster)
    second = cluster.relay("b", [0], 2)
    cluster.run(3 * SECOND)
    assert second.event_counts["rounds given up"]
    assert cluster.run(5 * SECOND, lambda: cluster.controllers[0].grant_table.holders[0] is None)
    cluster.from_holder(second.session, second.set_assigned(cluster.now, []))
    cluster.run(3 * SECOND)
    assert all(not link.votes and not link.unconfirmed for link in second._links)
    assert _owns(cluster, first)


def test_differing_records_are_reconciled() -> None:
    """A controller has lost two grants, and has one that the relay does not want any more."""
    cluster = Cluster().start_all()
    owner = _owner(cluster)
    grant_table = cluster.controllers[0].grant_table
    grant_table.put(0, 1, None)
    grant_table.put(1, 2, S2)
    grant_table.put(30, 1, owner.session)
    cluster.run(3 * SETTINGS.renew_every)
    assert grant_table.holders[30] is None
    assert grant_table.sessions[owner.session].grants == {partition: 1 for partition in ALL[2:]}
    renewed = cluster.controllers[0].event_counts["renewed"]
    cluster.run(2 * SETTINGS.renew_every)
    assert cluster.controllers[0].event_counts["renewed"] > renewed
    assert _owns(cluster, owner) and owner.event_counts["lost"] == 0


def test_more_differing_records_than_fit_into_one_answer_are_reconciled() -> None:
    cluster = Cluster().start_all()
    assigned = list(range(60))
    assert len(assigned) > MAX_GRANTS
    owner = _owner(cluster, assigned=assigned)
    grant_table = cluster.controllers[0].grant_table
    for partition in (60, 61, 63):
        grant_table.put(partition, 1, owner.session)
    grant_table.put(2, 9, None)
    cluster.run(8 * SETTINGS.renew_every)
    assert grant_table.sessions[owner.session].grants == {partition: 1 for partition in assigned if partition != 2}
    assert _owns(cluster, owner, assigned)


def test_lost_answers_leave_no_stale_grants() -> None:
    cluster = Cluster().start_all()
    rng = random.Random(1)
    cluster.drop = lambda sender, receiver, message: rng.random() < 0.3
    relays = [cluster.relay(name, [number], number) for number, name in enumerate("abcdef")]
    for step in range(12):
        for number, relay in enumerate(relays):
            cluster.from_holder(relay.session, relay.set_assigned(cluster.now, [(number + step) % 6]))
        cluster.run(5 * SECOND)
        owners = [partition for relay in relays for partition in relay.owned(cluster.now)]
        assert len(owners) == len(set(owners))
    cluster.drop = lambda sender, receiver, message: False
    assert cluster.run(LEASE + 20 * SECOND, lambda: sum(len(relay.owned(cluster.now)) for relay in relays) == 6)
    cluster.run(3 * SETTINGS.renew_every)
    for controller in cluster.controllers.values():
        assert sum(len(session_grants.grants) for session_grants in controller.grant_table.sessions.values()) <= 6


def test_duplicated_and_replayed_messages_change_nothing() -> None:
    cluster = Cluster().start_all()
    first = _owner(cluster)
    cluster.from_holder(first.session, first.set_assigned(cluster.now, ALL[:4]))
    second = _owner(cluster, "b", 2, ALL[4:])
    recorded = list(cluster.messages)
    before = [(list(c.grant_table.epochs), list(c.grant_table.holders)) for c in cluster.controllers.values()]
    random.Random(2).shuffle(recorded)
    cluster.drop = lambda sender, receiver, message: True
    for _, receiver, message in recorded:
        cluster.deliver(receiver, message)
    assert [(c.grant_table.epochs, c.grant_table.holders) for c in cluster.controllers.values()] == before
    assert _owns(cluster, first, ALL[:4]) and _owns(cluster, second, ALL[4:])


def test_a_grant_with_a_late_answer_does_not_count() -> None:
    """An answer to an abandoned request must not count for the one in progress, which was sent later."""
    cluster = Cluster().start_all()
    late: list[Answer] = []

    def keep(sender: object, receiver: object, message: object) -> bool:
        if isinstance(message, Answer) and message.granted:
            late.append(message)
            return True
        return False

    cluster.drop = keep
    relay = cluster.relay("a", [0])
    assert cluster.run(5 * SECOND, lambda: len(late) >= 3)
    first = list(late)
    cluster.drop = lambda sender, receiver, message: isinstance(receiver, Session)
    assert cluster.run(
        5 * SECOND, lambda: all(link.request for link in relay._links) and relay.event_counts["unanswered"] > 2
    )
    for answer in first:
        cluster.deliver(relay.session, answer)
    assert not any(link.votes for link in relay._links) and relay.event_counts["late answers"] == len(first)


def test_a_relay_that_ends_releases_its_partitions() -> None:
    cluster = Cluster().start_all()
    first = _owner(cluster)
    second = cluster.relay("b", ALL, 2)
    cluster.run(SECOND)
    cluster.from_holder(first.session, first.release_all(cluster.now))
    assert not first.owned(cluster.now)
    assert cluster.run(SETTINGS.max_retry, lambda: _owns(cluster, second))


def test_few_requests_are_sent_while_all_are_refused() -> None:
    """Limits the requests per controller for partitions that another relay holds; most come in the first seconds."""
    cluster = Cluster().start_all()
    _owner(cluster)
    cluster.messages.clear()
    second = cluster.relay("b", ALL, 2)
    counts = []
    for _ in range(6):
        cluster.run(10 * SECOND)
        counts.append(sum(sender == second.session for sender, _, _ in cluster.messages) / 3)
        cluster.messages.clear()
    assert counts[0] < 14 and max(counts[2:]) < 8


def test_a_grant_on_record_that_was_refused_before_is_requested_again() -> None:
    """A refusal postponed the next request, but the controller has the grant on record.

    The relay must neither spin nor leave the grant unconfirmed.
    """
    cluster = Cluster().start_all()
    owner = _owner(cluster)
    link = owner._links[0]
    vote = link.votes.pop(3)
    link.acquire_at[3] = 1 << 62
    assert vote.epoch == 1
    assert cluster.run(3 * SETTINGS.renew_every, lambda: 3 in link.votes)
    assert not link.unconfirmed and owner.next_at > cluster.now - SECOND
