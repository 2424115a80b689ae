"""Stops a store at every operation of a workload, and holds what is recovered against a model.

    python -m tests.store.explore --stops 100000

The model keeps, for each message, its states after each record that was noted, and which of them was on record for
sure. After a stop each message must be in one of the states from that one on: none is lost, no attempt is forgotten,
and nothing comes back that was over.
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


class WrongError(AssertionError):
    """A recovered store is not what the model allows."""


State = tuple[object, ...] | None  # of a message; None: over


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
    """What was noted of each message, and how much of it is on record for sure."""

    states: dict[str, list[State]] = field(default_factory=dict)
    sure: dict[str, int] = field(default_factory=dict)

    def noted(self, store: Store, ref: str) -> None:
        entry = store.entries.get(ref)
        self.states.setdefault(ref, []).append(None if entry is None else copy.deepcopy(state_of(entry)))

    def mark(self) -> dict[str, int]:
        return {ref: len(states) - 1 for ref, states in self.states.items()}

    def on_record(self, mark: dict[str, int]) -> None:
        for ref, place in mark.items():
            self.sure[ref] = max(self.sure.get(ref, -1), place)

    def check(self, store: Store, machine: bool, faults: bool) -> None:
        """Hold a recovered store against what is allowed. A process that ends leaves one of the states, and none of
        them uncertain, unless writes failed; without power single records behind the last sync may be missing."""
        for ref, states in self.states.items():
            sure = self.sure.get(ref, -1)
            allowed = states[sure:] if sure >= 0 else [None, *states]
            entry = store.entries.get(ref)
            if entry is None:
                if None not in allowed:
                    raise WrongError(f"{ref} is lost: {states[sure]} was on record")
                continue
            if allowed == [None]:
                raise WrongError(f"{ref} was over, and is back")
            if not machine:
                if entry.uncertain and not faults or not entry.uncertain and state_of(entry) not in allowed:
                    raise WrongError(f"{ref} came back as {state_of(entry)}, allowed {allowed}")
            elif not entry.uncertain:
                self._safe(ref, entry, [state for state in allowed if state is not None])
        for ref in store.entries:
            if ref not in self.states:
                raise WrongError(f"{ref} was never noted")

    def _safe(self, ref: str, entry: Entry, allowed: list[tuple[object, ...]]) -> None:
        """Where single records may be missing, what came back may not promise more than any allowed state."""
        # A message that was over may have been handed in again under its name: that is another one.
        same = [state for state in allowed if state[3] == entry.deadline]
        if not same:
            raise WrongError(f"{ref} came back as one that was over")
        first = same[0]
        if entry.attempts < int(str(first[5])):
            raise WrongError(f"{ref}: an attempt is forgotten")
        if first[8] is not None and entry.ran_at != first[8]:
            raise WrongError(f"{ref}: that it may have run at {first[8]} is forgotten")
        if first[6] is not None and len(same) == 1 and entry.trying_at is None and entry.ran_at is None:
            raise WrongError(f"{ref}: an attempt without an outcome is forgotten")


class Workload:
    """Lives of messages, drawn from a seed; the same seed is the same workload."""

    def __init__(self, seed: int, disk: Disk, model: Model, steps: int) -> None:
        self.draw = random.Random(f"work/{seed}")
        self.disk = disk
        self.model = model
        self.steps = steps
        self.number = len(model.states)
        self.new: list[str] = []
        self.big = self.draw.random() < 0.4

    def run(self, machine: bool) -> Store:
        """Until all is done, or the disk stops."""
        store = Store(self.disk, DISK, machine)
        for _ in range(self.steps):
            self._step(store)
            if self.draw.random() < 0.5:
                self._turn_ends(store)
        self._turn_ends(store)
        return store

    def _step(self, store: Store) -> None:
        draw, model = self.draw, self.model
        live = list(store.entries)
        what = draw.random()
        if what < 0.3 or not live:
            self.number += 1
            # A message that is over may be handed in again under its old name.
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
            model.noted(store, ref)
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
        else:
            store.record_end(ref, None)
        model.noted(store, ref)

    def _turn_ends(self, store: Store) -> None:
        mark, new = self.model.mark(), self.new
        self.new = []

        def told(recorded: bool) -> None:
            if recorded:
                self.model.on_record(mark)
                return
            for ref in new:  # its client is told that it was not taken on
                if ref in store.entries:
                    store.record_end(ref, None)
                    self.model.noted(store, ref)

        store.when_recorded(told)
        if store.machine and self.draw.random() < 0.7:
            sync = store.begin_sync()
            if sync is not None:
                error: OSError | None = None
                try:
                    sync.run()
                except OSError as failed:
                    error = failed
                store.end_sync(sync, error)
        store.maintain()


def explore(seed: int, machine: bool, steps: int, stops: int, faults: bool) -> int:
    """Run a workload once to its end, then again and again with a stop at each of its operations; how many there
    were. WrongError if anything recovered is not allowed."""
    draw = random.Random(f"stops/{seed}")
    fails: dict[int, int] = {}
    if faults:
        for _ in range(draw.randrange(1, 5)):
            begin, kind = draw.randrange(2, 3 * steps // 2), draw.choice((errno.ENOSPC, errno.EIO, errno.EROFS))
            fails.update({begin + n: kind for n in range(draw.randrange(1, 12))})

    def disk(stop: int) -> Disk:
        return Disk(machine, stop, random.Random(f"{seed}/{stop}"), fails, DISK)

    whole = disk(0)
    model = Model()
    Workload(seed, whole, model, steps).run(machine)
    count = 0
    for stop in range(1, whole.operations + 1):
        if count >= stops:
            break
        stopped, model = disk(stop), Model()
        with contextlib.suppress(Stopped):
            Workload(seed, stopped, model, steps).run(machine)
        after = stopped.stopped()
        # The start itself may be stopped, and the one after it.
        for _ in range(draw.randrange(3)):
            after.stop_at = after.operations + draw.randrange(1, 6)
            with contextlib.suppress(Stopped):
                Store(after, DISK, machine)
            after = after.stopped()
            count += 1
        after.stop_at = 0
        try:
            store = Store(after, DISK, machine)
            model.check(store, machine, faults)
            # And it goes on from there: a second life, and a start after it.
            second = Workload(seed + 1, after, model, 6)
            for ref in list(model.states):
                model.states[ref] = [state_of(store.entries[ref]) if ref in store.entries else None]
                model.sure[ref] = 0
            uncertain = {(ref, entry.deadline) for ref, entry in store.entries.items() if entry.uncertain}
            for _ in range(6):
                second._step(store)
                second._turn_ends(store)
            store.close()
            third = Store(after.stopped() if not machine else after, DISK, machine)
            if any(not entry.uncertain for ref, entry in third.entries.items() if (ref, entry.deadline) in uncertain):
                raise WrongError("what was uncertain is sure after a restart")
            model.check(third, machine, faults)
        except WrongError as error:
            raise WrongError(f"seed {seed}, {'machine' if machine else 'process'}, stop {stop}: {error}") from None
        count += 1
    return count


def rot(seed: int, steps: int = 60) -> None:
    """Damage one byte of a record that was on record for long: all others are read, and what was held is in doubt."""
    draw = random.Random(f"rot/{seed}")
    disk, model = Disk(draw=draw, most=DISK), Model()
    store = Workload(seed, disk, model, steps).run(False)
    store.close()
    before = {ref: state_of(entry) for ref, entry in store.entries.items()}
    name = draw.choice([name for name, file in disk.files.items() if len(file.data) > fmt.HEADER.size + 40])
    data = bytearray(disk.files[name].data)
    records = [r for r in fmt.scan(bytes(data)) if isinstance(r, fmt.Record) and r.kind is not fmt.Kind.SEAL]
    hit = draw.choice(records)
    data[hit.at + draw.randrange(hit.size)] ^= 1 << draw.randrange(8)
    disk.files[name].data = bytes(data)
    after = Store(disk, DISK)
    hurt = fmt.ref_of(hit)
    for ref, state in before.items():
        if ref != hurt and (ref not in after.entries or state_of(after.entries[ref]) != state):
            raise WrongError(f"rot, seed {seed}: {ref} is not what it was, and its records are sound")
    for ref, entry in after.entries.items():
        if ref == hurt and not entry.uncertain and (ref not in before or state_of(entry) != before[ref]):
            raise WrongError(f"rot, seed {seed}: {ref} has lost a record and is not in doubt")
    # Once all that was written then has been cleaned away, what was in doubt still is.
    doubted = {ref for ref, entry in after.entries.items() if entry.uncertain}
    for n in range(400):
        after.record_accepted(Entry(f"later{n}", "keyed", 1, None, n, bytes(300)))
        after.record_end(f"later{n}", None)
        after.flush()
        after.maintain()
    after.close()
    last = Store(disk, DISK)
    if {ref for ref, entry in last.entries.items() if entry.uncertain} != doubted:
        raise WrongError(f"rot, seed {seed}: what was in doubt is not any more")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stops", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    began, counts, seed = time.monotonic(), dict[str, int](), options.seed
    while sum(counts.values()) < options.stops:
        rot(seed)
        for machine in (False, True):
            for faults in (False, True):
                name = f"{'machine' if machine else 'process'}{', failing' if faults else ''}"
                counts[name] = counts.get(name, 0) + explore(seed, machine, 120, 10**9, faults)
        seed += 1
    for name, count in counts.items():
        print(f"{name:20} {count:>8} stops, nothing wrong")
    print(f"{sum(counts.values())} stops of {seed - options.seed} workloads in {time.monotonic() - began:.0f} s")
    sys.exit(0)


if __name__ == "__main__":
    main()
