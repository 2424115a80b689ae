"""The command: which subjects, and the table."""

from __future__ import annotations

import argparse
import sys

from benchmarks.capacity import leases, protocols
from benchmarks.capacity.run import FailedError, rows, sample
from benchmarks.capacity.subject import Results, Row, Subject
from benchmarks.capacity.subjects import SUBJECTS
from benchmarks.capacity.table import show

COMPUTED = "computed"  # what is not measured: leases, discovery, clients


def chosen(names: list[str]) -> list[Subject]:
    """The subjects of these names, all if there are none."""
    return [subject for subject in SUBJECTS if not names or subject.name in names]


def measured(subject: Subject, quick: bool, results: Results) -> list[Row]:
    """One subject over its sizes; how far it is goes to standard error. A size that fails is said and left out."""
    samples = {}
    for size in subject.quick if quick else subject.sizes:
        try:
            samples[size] = sample(subject, size)
        except FailedError as failed:
            print(f"failed: {failed}", flush=True)
            continue
        print(f"{subject.name} at {size:,} {subject.of}: {samples[size]}", file=sys.stderr, flush=True)
    return rows(subject, samples, results) if len(samples) > 1 else []


def capacity(only: list[str], quick: bool) -> None:
    """Slopes of memory, processor, disk and network, the figures at the size that is coming, and the budgets."""
    results = Results()
    found = [row for subject in chosen(only) for row in measured(subject, quick, results)]
    if not only or COMPUTED in only:
        found += [*leases.rows(), *protocols.rows(results)]
    print(show(found))


def register(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command to those of the benchmarks."""
    parser = commands.add_parser("capacity", help=capacity.__doc__)
    parser.add_argument("--only", nargs="+", default=[], choices=[*(subject.name for subject in SUBJECTS), COMPUTED])
    parser.add_argument("--quick", action="store_true", help="smaller sizes: a check of the command, not of the figures")
    parser.set_defaults(run=lambda options: capacity(options.only, options.quick))
