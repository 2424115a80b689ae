"""The store on a folder and on simulated disks: recovery, import of an earlier version's file, refusals."""

from __future__ import annotations

import errno
import logging
import os
import random
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from garnetrelay.cli.commands import command
from garnetrelay.store import format as fmt
from garnetrelay.store.format import Entry
from garnetrelay.store.reading import load, segment_name
from garnetrelay.store.storage import FolderLockedError
from garnetrelay.store.store import Store, StoreError
from tests.store import explore, mutations
from tests.store.simulated import Disk, Stopped

DISK = 3_000_000


def entry(ref: str, body: bytes = b"body") -> Entry:
    return Entry(ref, "unsafe", 3, "k", 1_900_000_000_000, body)


def reopen(folder: Path) -> Store:
    store = Store.open(folder, DISK)
    store.close()
    return store


def test_all_states_of_messages_are_recovered(tmp_path: Path) -> None:
    store = Store.open(tmp_path, DISK)
    body = bytes(range(256)) * 256 + b"\n\xa7\x01\n"  # 64 KiB of all byte values, including a record's mark
    for ref in ("pending", "tried", "ran", "dead", "acknowledged", "delivered"):
        store.record_accepted(entry(ref, body))
    for ref in ("tried", "ran", "delivered"):
        assert store.record_attempt(ref, "north", 1000)
    store.record_outcome("ran", True)
    store.record_attempt("ran", "south", 2000)
    store.record_outcome("ran", False)
    store.record_end("dead", "dead")
    store.record_end("acknowledged", "bounced", 500)
    store.record_notice_acknowledged("acknowledged")
    store.record_end("delivered", None)
    store.close()
    entries = reopen(tmp_path).entries
    assert sorted(entries) == ["dead", "pending", "ran", "tried"]
    assert entries["pending"].body == body and entries["pending"].attempts == 0
    assert (entries["tried"].trying_at, entries["tried"].attempts) == (1000, 1)
    # The repeat window starts with the first attempt that may have run, whatever happened later.
    assert (entries["ran"].ran_at, entries["ran"].ran_zone, entries["ran"].attempts) == (1000, "north", 2)
    assert entries["dead"].ended == "dead" and entries["dead"].body == b""


def test_interrupted_attempt_is_remembered_after_the_next_attempts_outcome(tmp_path: Path) -> None:
    """After a kill the attempt without an outcome may have run, even if the next attempt certainly did not."""
    store = Store.open(tmp_path, DISK)
    store.record_accepted(entry("a"))
    store.record_attempt("a", "north", 1000)
    store.close()
    store = Store.open(tmp_path, DISK)
    store.record_attempt("a", "south", 2000)
    store.record_outcome("a", False)
    store.close()
    found = reopen(tmp_path).entries["a"]
    assert (found.ran_at, found.ran_zone, found.trying_at, found.attempts) == (1000, "north", None, 2)


def test_second_process_on_a_folder_is_refused_and_the_first_continues(tmp_path: Path) -> None:
    first = Store.open(tmp_path, DISK)
    with pytest.raises(FolderLockedError, match="another relay works on this folder"):
        Store.open(tmp_path, DISK)
    first.record_accepted(entry("a"))
    assert first.flush()
    first.close()
    assert list(reopen(tmp_path).entries) == ["a"]


def test_later_version_is_refused_and_left_untouched(tmp_path: Path) -> None:
    reopen(tmp_path)
    head = fmt.HEADER.pack(fmt.MAGIC, fmt.VERSION + 1, 9, 0)[:-4]
    import zlib

    (tmp_path / segment_name(9)).write_bytes(head + zlib.crc32(head).to_bytes(4, "big") + b"what it may be")
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    with pytest.raises(StoreError, match="written by a later version: segment 9 has format 2"):
        Store.open(tmp_path, DISK)
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before


@pytest.mark.parametrize("imported", ["nothing", "same-message", "other-message"])
def test_file_of_earlier_versions_is_imported(tmp_path: Path, imported: str) -> None:
    """The file is written here in that version's format. Also covers an import that was interrupted."""
    import json
    import struct
    import zlib

    def record(body: bytes = b"", **facts: object) -> bytes:
        payload = json.dumps(facts).encode() + b"\n" + body
        return struct.pack(">2sII", b"\xa7R", len(payload), zlib.crc32(payload)) + payload

    new = {"klass": "unsafe", "dest": 3, "key": None, "deadline": 1_900_000_000_000}
    old = (
        record(b"x", t="taken", ref="held", **new)
        + record(b"y", t="taken", ref="out", **new)
        + record(t="try", ref="out", at=1000, zone="north")
        + record(b"z", t="taken", ref="over", **new)
        + record(t="ended", ref="over", result=None, wait=0)
        + record(b"w", t="taken", ref="dead", **new)
        + record(t="ended", ref="dead", result="dead", wait=0)
        + record(b"q", t="taken", ref="torn", **new)[:-2]
    )
    (tmp_path / "journal").write_bytes(old)
    (tmp_path / "journal.new").write_bytes(old[:20])
    if imported != "nothing":  # an interrupted import: some messages are in a segment already
        store = Store(Disk(), DISK)
        store.record_accepted(entry("other" if imported == "other-message" else "held", b"x"))
        store.close()
        (tmp_path / segment_name(1)).write_bytes(next(iter(store.storage.files.values())).data)  # type: ignore[attr-defined]
    entries = reopen(tmp_path).entries
    assert sorted(entries) == sorted(["held", "out", "dead", *(["other"] if imported == "other-message" else [])])
    assert entries["out"].trying_at == 1000 and entries["dead"].ended == "dead" and entries["held"].body == b"x"
    assert not (tmp_path / "journal").exists() and not (tmp_path / "journal.new").exists()
    assert reopen(tmp_path).entries == entries


def test_damage_makes_earlier_messages_uncertain_permanently(tmp_path: Path) -> None:
    store = Store.open(tmp_path, DISK)
    store.record_accepted(entry("a"))
    store.record_accepted(entry("b"))
    store.record_attempt("a", "north", 1000)
    store.record_accepted(entry("c"))
    store.close()
    path = tmp_path / segment_name(1)
    data = bytearray(path.read_bytes())
    attempt = next(r for r in fmt.scan(bytes(data)) if isinstance(r, fmt.Record) and r.kind is fmt.Kind.TRY)
    data[attempt.offset + 12] ^= 1
    path.write_bytes(data)
    store = Store.open(tmp_path, DISK)
    assert {ref: e.uncertain for ref, e in store.entries.items()} == {"a": True, "b": True, "c": False}
    assert CliRunner().invoke(command, ["journal", "verify", str(tmp_path)]).exit_code == 1
    store.record_end("c", None)
    for n in range(200):  # meanwhile the damaged segment is compacted and removed
        for m in range(20):
            store.record_accepted(entry(f"x{n}-{m}", bytes(600)))
            store.record_end(f"x{n}-{m}", None)
        store.flush()
        store.maintain()
    assert not path.exists()
    store.close()
    assert {ref: e.uncertain for ref, e in reopen(tmp_path).entries.items()} == {"a": True, "b": True}


def test_disk_usage_stays_within_its_limit_and_proportional_to_live_data(tmp_path: Path) -> None:
    """Long-lived messages among many short-lived ones: the log is compacted, and never exceeds its limit."""
    disk = Disk(max_bytes=400_000)
    store = Store(disk, 400_000)
    live: list[str] = []
    draw = random.Random(1)
    for n in range(8000):
        if store.has_room(f"m{n}", "k", 300):
            store.record_accepted(entry(f"m{n}", bytes(300)))
            live.append(f"m{n}")
        for _ in range(draw.randrange(3)):
            if live:
                ref = live.pop(draw.randrange(len(live)) if n % 3 else -1)
                store.record_attempt(ref, "north", n)
                store.record_end(ref, None)
        assert store.flush()
        store.maintain()
    assert store.index.live <= store.used <= max(1.5 * store.index.live + 3 * store.sizes.segment_bytes, 256 * 1024)
    assert len(store.entries) > 50 and set(store.entries) == set(live)
    index, problems = load(disk)
    assert problems == [] and index.entries == store.entries and index.live == store.index.live


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_folder_that_accepts_no_writes_is_logged_once_and_retried(caplog: pytest.LogCaptureFixture, number: int) -> None:
    disk = Disk()
    store = Store(disk, DISK)
    store.record_accepted(entry("old"))
    store.record_attempt("old", "north", 5)
    assert store.flush()
    disk.fails = {disk.operations + n: number for n in range(1, 30)}
    with caplog.at_level(logging.WARNING):
        for n in range(4):
            store.record_accepted(entry(f"new{n}"))
            assert not store.flush() and not store.has_room("m", None, 10)
            store.record_end(f"new{n}", None)  # its client gets an error: it was not accepted
            store.record_outcome("old", True) if not n else None
            store.maintain()
        disk.fails = {}
        store.maintain()
        assert store.has_room("m", None, 10) and store.flush()
    messages = [r.getMessage() for r in caplog.records]
    assert len([t for t in messages if "cannot write" in t]) == 1 and messages[-1].endswith("takes records again")
    after, problems = load(disk.stopped())
    assert list(after.entries) == ["old"] and after.entries["old"].ran_at == 5 and problems == []


def test_failed_sync_is_not_retried_on_the_same_file() -> None:
    """Its callbacks get False, and the messages are written again to another segment."""
    disk = Disk(power_loss=True)
    store = Store(disk, DISK, machine_durable=True)
    results: list[bool] = []
    store.record_accepted(entry("a"))
    store.when_recorded(results.append)
    sync = store.begin_sync()
    assert sync is not None and not results
    sync.run()
    store.end_sync(sync, None)
    assert results == [True] and list(Store(disk.stopped(), DISK, True).entries) == ["a"]
    store.record_attempt("a", "north", 7)
    store.when_recorded(results.append)
    sync = store.begin_sync()
    assert sync is not None
    store.end_sync(sync, OSError(errno.EIO, "I/O error"))
    assert results == [True, False] and store.write_failed
    segments = len(disk.files)
    store.maintain()
    assert not store.write_failed and len(disk.files) == segments + 1
    store.when_recorded(results.append)
    sync = store.begin_sync()
    assert sync is not None
    sync.run()
    store.end_sync(sync, None)
    after = Store(disk.stopped(), DISK, True)
    assert results[-1] and after.entries["a"].trying_at == 7


def test_journal_command_reads_a_live_relays_folder(tmp_path: Path) -> None:
    store = Store.open(tmp_path, DISK)
    for n in range(500):
        store.record_accepted(entry(f"m{n}", bytes(900)))
        if n % 2:
            store.record_end(f"m{n}", None)
    store.record_attempt("m0", "north", 1000)
    store.flush()
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    run = CliRunner()
    verified = run.invoke(command, ["journal", "verify", str(tmp_path)])
    assert verified.exit_code == 0 and "250 live messages, 0 uncertain" in verified.output
    shown = run.invoke(command, ["journal", "show", str(tmp_path), "--ref", "m0"])
    assert shown.output.count("\n") == 1 and "1 attempts: held, out since" in shown.output
    records = run.invoke(command, ["journal", "show", str(tmp_path), "--records", "--ref", "m1"])
    assert [line.split()[2] for line in records.output.splitlines()] == ["TAKEN", "GONE"]
    assert "250 messages" in run.invoke(command, ["journal", "stats", str(tmp_path)]).output
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
    os.truncate(tmp_path / segment_name(2), 1000)
    assert run.invoke(command, ["journal", "verify", str(tmp_path)]).exit_code == 1
    store.close()


# ---- stops at every operation


@pytest.mark.parametrize("power_loss", [False, True], ids=["process", "machine"])
@pytest.mark.parametrize("faults", [False, True], ids=["no-faults", "faults"])
def test_stop_at_each_operation_keeps_what_was_recorded(power_loss: bool, faults: bool) -> None:
    assert sum(explore.explore(seed, power_loss, 60, 10**9, faults) for seed in range(1, 9)) > 300


def test_damage_anywhere_changes_one_message_and_makes_it_uncertain() -> None:
    for seed in range(150):
        explore.bit_rot(seed, 40)


@pytest.mark.parametrize(
    "name",
    [
        "checksum skipped",
        "segment removed before its messages are copied",
        "GONE records skipped at the start",
        "no tombstones",
        "machine: reported as recorded before the sync",
        "torn tail not truncated",
    ],
)
def test_mutation_of_the_store_is_caught(name: str) -> None:
    """Some of the mutations; python -m tests.store.mutations runs all."""
    assert mutations.caught(name)


class StoppedAnywhere(RuleBasedStateMachine):
    """Any order of a relay's operations, of stops during any of them, and of restarts."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        self.disk = Disk(draw=random.Random(seed))
        self.model = explore.Model()
        self.seed = seed
        self.processes = 0
        self._start()

    def _start(self) -> None:
        self.work = explore.Workload(self.seed + self.processes, self.disk, self.model, 0)
        self.store = Store(self.disk, explore.DISK)
        for ref in list(self.model.states):
            found = self.store.entries.get(ref)
            self.model.states[ref] = [None if found is None else explore.state_of(found)]
            self.model.recorded[ref] = 0
        self.model.forget_unrecorded_ends(self.store)

    @rule(times=st.integers(1, 20))
    def serve(self, times: int) -> None:
        for _ in range(times):
            self.work._step(self.store)

    @rule()
    def end_batch(self) -> None:
        self.work._end_batch(self.store)

    @rule(after=st.integers(1, 12))
    def stop(self, after: int) -> None:
        self.disk.stop_at = self.disk.operations + after
        try:
            for _ in range(200):
                self.work._step(self.store)
                self.work._end_batch(self.store)
        except Stopped:
            pass
        self.disk = self.disk.stopped()
        self.model.check(Store(self.disk.stopped(), explore.DISK), power_loss=False, faults=False)
        self.processes += 1
        self._start()

    @invariant()
    def live_bytes_add_up(self) -> None:
        if hasattr(self, "store"):
            index = self.store.index
            assert all(segment.live >= 0 for segment in index.segments.values())
            assert index.live == sum(sum(e.spread.values()) for e in index.entries.values()) + sum(
                sum(segment.tombstones.values()) + sum(map(fmt.ended_ref_size, segment.ended))
                for segment in index.segments.values()
            )


StoppedAnywhere.TestCase.settings = settings(max_examples=25, stateful_step_count=20, deadline=None)
TestStoppedAnywhere = StoppedAnywhere.TestCase
