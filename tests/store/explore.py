"""Stops a store at each operation of a workload, and compares what is recovered with a model.

    python -m tests.store.explore --stops 100000

For each message the model has its state after each buffered record, and the latest of these states that was certainly
recorded. After a stop each message must be in that state or a later one: no message is lost, no attempt is forgotten,
no message that had ended is restored, and the refs of those that were delivered are known.
"""

from __future__ import annotations

import argparse
import contextlib
import copy
import errno
import logging
import random
import sys
import time
from dataclasses import dataclass, field

from garnetrelay.store import format as fmt
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from tests.store.simulated import Disk, Stopped

DISK = 60_000
REFS = 400


class ModelMismatchError(AssertionError):
    """The recovered store is in a state that the model does not allow."""


State = tuple[object, ...] | None  # of a message; None: ended


def state_of(entry: Entry) -> State:
    return (
        entry.klass,
        entry.dest,
        entry.key,
        entry.deadline,
        entry.body,
        entry.attempts,
        entry.trying_at,
        entry.trying_zone if entry.trying_at is not None else "",
        entry.ran_at,
        entry.ran_zone if entry.ran_at is not None else "",
        entry.ended,
        entry.wait_ms,
    )


@dataclass
class Model:
    """The states of each message, and which of them were certainly recorded."""

    states: dict[str, list[State]] = field(default_factory=dict)
    recorded: dict[str, int] = field(default_factory=dict)  # the index of the latest state that was recorded
    delivered: set[str] = field(default_factory=set)
    delivered_recorded: set[str] = field(default_factory=set)

    def add_state(self, store: Store, ref: str) -> None:
        entry = store.entries.get(ref)
        self.states.setdefault(ref, []).append(None if entry is None else copy.deepcopy(state_of(entry)))

    def forget_unrecorded_ends(self, store: Store) -> None:
        """A recovered store is right about deliveries whose records were being written as the process ended."""
        self.delivered = {ref for ref in self.delivered if store.index.ended.get(ref) is not None}

    def mark(self) -> dict[str, int]:
        return {ref: len(states) - 1 for ref, states in self.states.items()}

    def mark_recorded(self, mark: dict[str, int]) -> None:
        for ref, position in mark.items():
            self.recorded[ref] = max(self.recorded.get(ref, -1), position)

    def check(self, store: Store, power_loss: bool, faults: bool) -> None:
        """Checks a recovered store.

        The end of a process leaves one of the allowed states, and no message uncertain unless writes failed. After a
        power loss, single records written after the last sync may be missing.
        """
        for ref, states in self.states.items():
            latest = self.recorded.get(ref, -1)
            allowed = states[latest:] if latest >= 0 else [None, *states]
            entry = store.entries.get(ref)
            if entry is None:
                if None not in allowed:
                    raise ModelMismatchError(f"{ref} is lost: {states[latest]} was recorded")
                continue
            if allowed == [None]:
                raise ModelMismatchError(f"{ref} had ended, and was restored")
            if not power_loss:
                if entry.uncertain and not faults or not entry.uncertain and state_of(entry) not in allowed:
                    raise ModelMismatchError(f"{ref} was recovered as {state_of(entry)}, allowed {allowed}")
            elif not entry.uncertain:
                self._check_conservative(ref, entry, [state for state in allowed if state is not None])
        if forgotten := [ref for ref in self.delivered_recorded if store.index.ended.get(ref) is None]:
            raise ModelMismatchError(f"{forgotten} were delivered, and would be taken for new messages")
        for ref in store.entries:
            if ref not in self.states:
                raise ModelMismatchError(f"{ref} was never accepted")

    def _check_conservative(self, ref: str, entry: Entry, allowed: list[tuple[object, ...]]) -> None:
        """Where single records may be missing, the recovered state must not rule out an attempt that may have run."""
        # After a message has ended, a client may send another one with the same ref.
        same = [state for state in allowed if state[3] == entry.deadline]
        if not same:
            raise ModelMismatchError(f"{ref} was recovered as an earlier message that had ended")
        first = same[0]
        if entry.attempts < int(str(first[5])):
            raise ModelMismatchError(f"{ref}: an attempt is forgotten")
        if first[8] is not None and entry.ran_at != first[8]:
            raise ModelMismatchError(f"{ref}: that it may have run at {first[8]} is forgotten")
        if first[6] is not None and len(same) == 1 and entry.trying_at is None and entry.ran_at is None:
            raise ModelMismatchError(f"{ref}: an attempt without an outcome is forgotten")


class Workload:
    """Messages with all their records, drawn from a seed; the same seed gives the same workload."""

    def __init__(self, seed: int, disk: Disk, model: Model, steps: int) -> None:
        self.draw = random.Random(f"work/{seed}")
        self.disk = disk
        self.model = model
        self.steps = steps
        self.number = len(model.states)
        self.new: list[str] = []
        self.big = self.draw.random() < 0.4

    def run(self, power_loss: bool) -> Store:
        """Runs until all steps are done, or the disk stops."""
        store = Store(self.disk, DISK, power_loss)
        for _ in range(self.steps):
            self._step(store)
            if self.draw.random() < 0.5:
                self._end_batch(store)
        self._end_batch(store)
        return store

    def _step(self, store: Store) -> None:
        draw, model = self.draw, self.model
        live = list(store.entries)
        what = draw.random()
        if what < 0.3 or not live:
            self.number += 1
            # After a message has ended, its ref may be used again.
            ref = f"m{self.number}" if draw.random() < 0.95 or self.number < 3 else f"m{draw.randrange(1, self.number)}"
            body = draw.randbytes(draw.choice((0, 30, 300, 1500 if self.big else 60)))
            if ref in store.entries or not store.has_room(ref, "k", len(body)):
                return
            store.record_accepted(
                Entry(
                    ref,
                    draw.choice(("keyed", "unsafe")),
                    draw.randrange(9),
                    draw.choice((None, "k" * 9)),
                    10**12 + draw.randrange(10**9),
                    body,
                )
            )
            model.add_state(store, ref)
            self.new.append(ref)
            return
        ref = draw.choice(live)
        entry = store.entries[ref]
        if entry.ended is not None:
            store.record_notice_acknowledged(ref)
        elif entry.trying_at is None and what < 0.6 and entry.attempts < 6:
            store.record_attempt(ref, draw.choice(("north", "south")), 1000 + draw.randrange(10**6))
        elif entry.trying_at is not None and what < 0.8:
            store.record_outcome(ref, draw.random() < 0.5)
        elif draw.random() < 0.5:
            store.record_end(ref, draw.choice(("dead", "bounced")), draw.randrange(500))
        elif draw.random() < 0.5:
            store.record_delivered(ref, may_forget=False)
            model.delivered.add(ref)
        else:
            store.record_end(ref, None)
        model.add_state(store, ref)

    def _end_batch(self, store: Store) -> None:
        mark, new, delivered = self.model.mark(), self.new, set(self.model.delivered)
        self.new = []

        def on_recorded(recorded: bool) -> None:
            if recorded:
                self.model.mark_recorded(mark)
                self.model.delivered_recorded |= delivered
                return
            for ref in new:  # its client gets an error: it was not accepted
                if ref in store.entries:
                    store.record_end(ref, None)
                    self.model.add_state(store, ref)

        store.when_recorded(on_recorded)
        if store.machine_durable and self.draw.random() < 0.7:
            sync = store.begin_sync()
            if sync is not None:
                error: OSError | None = None
                try:
                    sync.run()
                except OSError as failed:
                    error = failed
                store.end_sync(sync, error)
        store.maintain()


def explore(seed: int, power_loss: bool, steps: int, stops: int, faults: bool) -> int:
    """Runs a workload once to its end, then once with a stop at each of its operations; returns the number of stops.

    ModelMismatchError if a recovered state is not allowed.
    """
    draw = random.Random(f"stops/{seed}")
    fails: dict[int, int] = {}
    if faults:
        for _ in range(draw.randrange(1, 5)):
            begin, kind = draw.randrange(2, 3 * steps // 2), draw.choice((errno.ENOSPC, errno.EIO, errno.EROFS))
            fails.update({begin + n: kind for n in range(draw.randrange(1, 12))})

    def disk(stop: int) -> Disk:
        return Disk(power_loss, stop, random.Random(f"{seed}/{stop}"), fails, DISK)

    whole = disk(0)
    model = Model()
    Workload(seed, whole, model, steps).run(power_loss)
    count = 0
    for stop in range(1, whole.operations + 1):
        if count >= stops:
            break
        stopped, model = disk(stop), Model()
        with contextlib.suppress(Stopped):
            Workload(seed, stopped, model, steps).run(power_loss)
        after = stopped.stopped()
        # Up to two starts after it may be stopped too.
        for _ in range(draw.randrange(3)):
            after.stop_at = after.operations + draw.randrange(1, 6)
            with contextlib.suppress(Stopped):
                Store(after, DISK, power_loss)
            after = after.stopped()
            count += 1
        after.stop_at = 0
        try:
            store = Store(after, DISK, power_loss)
            model.check(store, power_loss, faults)
            # The workload continues with a second process, and a start after it.
            second = Workload(seed + 1, after, model, 6)
            for ref in list(model.states):
                model.states[ref] = [state_of(store.entries[ref]) if ref in store.entries else None]
                model.recorded[ref] = 0
            model.forget_unrecorded_ends(store)
            uncertain = {(ref, entry.deadline) for ref, entry in store.entries.items() if entry.uncertain}
            for _ in range(6):
                second._step(store)
                second._end_batch(store)
            store.close()
            third = Store(after.stopped() if not power_loss else after, DISK, power_loss)
            if any(not entry.uncertain for ref, entry in third.entries.items() if (ref, entry.deadline) in uncertain):
                raise ModelMismatchError("an uncertain message is certain after a restart")
            model.check(third, power_loss, faults)
        except ModelMismatchError as error:
            raise ModelMismatchError(
                f"seed {seed}, {'machine' if power_loss else 'process'}, stop {stop}: {error}"
            ) from None
        count += 1
    return count


def bit_rot(seed: int, steps: int = 60) -> None:
    """Damages one byte of a recorded record: all others are read, and the messages before it become uncertain."""
    draw = random.Random(f"rot/{seed}")
    disk, model = Disk(draw=draw, max_bytes=DISK), Model()
    store = Workload(seed, disk, model, steps).run(False)
    store.close()
    before = {ref: state_of(entry) for ref, entry in store.entries.items()}
    name = draw.choice([name for name, file in disk.files.items() if len(file.data) > fmt.HEADER.size + 40])
    data = bytearray(disk.files[name].data)
    records = [r for r in fmt.scan(bytes(data)) if isinstance(r, fmt.Record) and r.kind is not fmt.Kind.SEAL]
    damaged = draw.choice(records)
    data[damaged.offset + draw.randrange(damaged.size)] ^= 1 << draw.randrange(8)
    disk.files[name].data = bytes(data)
    after = Store(disk, DISK)
    damaged_ref = fmt.ref_of(damaged)
    for ref, state in before.items():
        if ref != damaged_ref and (ref not in after.entries or state_of(after.entries[ref]) != state):
            raise ModelMismatchError(f"bit rot, seed {seed}: {ref} has changed, and its records are not damaged")
    for ref, entry in after.entries.items():
        if ref == damaged_ref and not entry.uncertain and (ref not in before or state_of(entry) != before[ref]):
            raise ModelMismatchError(f"bit rot, seed {seed}: {ref} has lost a record and is not uncertain")
    # Uncertain messages stay uncertain after all segments of that time are compacted.
    uncertain = {ref for ref, entry in after.entries.items() if entry.uncertain}
    for n in range(400):
        after.record_accepted(Entry(f"later{n}", "keyed", 1, None, n, bytes(300)))
        after.record_end(f"later{n}", None)
        after.flush()
        after.maintain()
    after.close()
    last = Store(disk, DISK)
    if {ref for ref, entry in last.entries.items() if entry.uncertain} != uncertain:
        raise ModelMismatchError(f"bit rot, seed {seed}: an uncertain message is certain after compaction")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stops", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    began, counts, seed = time.monotonic(), dict[str, int](), options.seed
    while sum(counts.values()) < options.stops:
        bit_rot(seed)
        for power_loss in (False, True):
            for faults in (False, True):
                name = f"{'machine' if power_loss else 'process'}{', failing' if faults else ''}"
                counts[name] = counts.get(name, 0) + explore(seed, power_loss, 120, 10**9, faults)
        seed += 1
    for name, count in counts.items():
        print(f"{name:20} {count:>8} stops, no mismatch")
    print(f"{sum(counts.values())} stops of {seed - options.seed} workloads in {time.monotonic() - began:.0f} s")
    sys.exit(0)


if __name__ == "__main__":
    main()
