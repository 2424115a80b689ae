"""What the rehearsal kit itself costs: all of it in this process on one core, a bare pass-through for a relay."""

from __future__ import annotations

import os
import shlex
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from garnetrelay.rehearsal import conductor, plan
from garnetrelay.rehearsal.scenario import Class, Kind, Limits, Load, Scenario


@dataclass(frozen=True)
class Carried:
    """Messages a second, microseconds of CPU a message, share of the core, how late hand-ins were (milliseconds)."""

    rate: float
    cpu: float
    share: float
    late_99: float
    late_most: float
    verdicts: int


def carried(rate: float, seconds: float) -> Carried:
    """Offer so many messages a second for so long."""
    scenario = Scenario(
        name="sink",
        text="",
        seconds=seconds,
        relays=1,
        load=Load(rate=rate, of_full=0.3, clumps=0.0),
        limits=Limits(sockets=16384),
        classes=(Class("keyed", 1, "keyed", 1000, 5000, service_ms=(5, 5), window_ms=5000),),
        kinds=(Kind("sink", 1, (1, 1), limit="none", slow_cv=0.0),),
    )
    schedule = plan.make(scenario, 1)
    if hasattr(os, "sched_setaffinity"):
        cores = os.sched_getaffinity(0)
        os.sched_setaffinity(0, {max(cores)})
    # The pass-through may run elsewhere.
    free = ",".join(str(core) for core in sorted(cores - {max(cores)})) if hasattr(os, "sched_setaffinity") else ""
    program = shlex.join([sys.executable, "-m", "benchmarks.floor"])
    command = f"taskset -c {free} {program}" if free else program
    with tempfile.TemporaryDirectory() as folder:
        began, cpu = time.perf_counter(), time.process_time()
        outcome = conductor.play(scenario, schedule, command=command, recording=Path(folder, "seen.jsonl"))
        took, cpu = time.perf_counter() - began, time.process_time() - cpu
    if hasattr(os, "sched_setaffinity"):
        os.sched_setaffinity(0, cores)
    delivered = outcome.tally.statuses[200]
    late = sorted(
        (outcome.tally.served[f"L{n}"].at - arrival.at) / 1e6
        for n, arrival in enumerate(schedule.arrivals)
        if f"L{n}" in outcome.tally.served
    )
    late = [value - late[0] for value in late]  # the plan began a little after the run
    return Carried(
        delivered / seconds,
        cpu / max(1, delivered) * 1e6,
        cpu / took,
        late[int(0.99 * len(late))],
        late[-1],
        len(outcome.verdicts),
    )
