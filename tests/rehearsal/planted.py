"""Plays planted faults, and the same scenarios without them: ``python -m tests.rehearsal.planted --seeds 5``.

A table says how often each fault was named with its rule and a message or partner that broke it; clean runs must
give no verdict at all. Minutes on several cores; CI plays three of them.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import multiprocessing
import os
import shlex
import sys
from pathlib import Path

from garnetrelay.rehearsal import conductor, plan, scenario
from garnetrelay.rehearsal.checker import Verdict
from tests.rehearsal.faults import FAULTS

FOLDER = Path(__file__).parent / "scenarios"
ROOT = Path(__file__).parents[2]


def load(name: str) -> scenario.Scenario:
    path = FOLDER / f"{name}.toml"
    return scenario.load(str(path)) if path.exists() else scenario.load(name)


def run(name: str, seed: int, fault: str | None = None) -> list[Verdict]:
    """The verdicts of a run, with a fault planted in every relay or without one."""
    found = load(name)
    command = None
    if fault is not None:
        os.environ["PYTHONPATH"] = str(ROOT)
        command = shlex.join([sys.executable, "-m", "tests.rehearsal.faults", fault])
    return conductor.play(found, plan.make(found, seed), command=command).verdicts


def named(fault: str, verdicts: list[Verdict]) -> list[Verdict]:
    """The verdicts that name a fault: its rule, as it may be called, and what broke it."""
    wanted = FAULTS[fault]
    return [v for v in verdicts if v.rule == wanted.rule and v.fault in wanted.named and v.subject and v.proof]


def one(task: tuple[str, int, str | None]) -> tuple[str, int, str | None, list[Verdict] | str]:
    try:
        return (*task, run(*task))
    except Exception as error:
        return (*task, f"{type(error).__name__}: {error}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--clean", type=int, default=0, help="clean runs of mixed scenarios")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--only", default="", help="faults, by commas")
    options = parser.parse_args()
    faults = [name for name in FAULTS if not options.only or name in options.only.split(",")]
    if options.clean and not options.only and not options.seeds:
        faults = []
    tasks: list[tuple[str, int, str | None]] = [
        (FAULTS[fault].scenario, seed, fault) for fault in faults for seed in range(1, options.seeds + 1)
    ]
    mixed = [*scenario.names(), *sorted(path.stem for path in FOLDER.glob("*.toml"))]
    tasks += [(mixed[n % len(mixed)], 100 + n, None) for n in range(options.clean)]
    found: dict[str, list[str]] = {}
    good = True
    with concurrent.futures.ProcessPoolExecutor(options.jobs, multiprocessing.get_context("spawn")) as pool:
        for name, seed, fault, verdicts in pool.map(one, tasks):
            if isinstance(verdicts, str):
                good = False
                print(f"{name} seed {seed} {fault or 'clean'}: {verdicts}", flush=True)
            elif fault is None:
                good = good and not verdicts
                print(f"clean {name} seed {seed}: {len(verdicts)} verdicts", flush=True)
                for verdict in verdicts[:3]:
                    print(f"    {verdict.rule} {verdict.fault}: {verdict.text}")
            else:
                hits = named(fault, verdicts)
                good = good and bool(hits)
                rest = sorted({f"{v.rule} {v.fault}" for v in verdicts if v not in hits})
                found.setdefault(fault, []).append(hits[0].subject if hits else "-")
                print(
                    f"{fault} seed {seed}: {len(hits)} named, first {hits[0].text if hits else 'none'}"
                    f"{'; besides: ' + ', '.join(rest) if rest else ''}",
                    flush=True,
                )
    print("\n| fault | rule | named in | first named, by seed |\n| --- | --- | --- | --- |")
    for fault, subjects in found.items():
        hit = sum(subject != "-" for subject in subjects)
        print(f"| {fault} | {FAULTS[fault].rule} | {hit} of {len(subjects)} | {', '.join(subjects)} |")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
