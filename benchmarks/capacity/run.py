"""Runs the subjects, each size in a process of its own, and reads rows off what they measured.

``python -m benchmarks.capacity.run SUBJECT SIZE`` is such a process: it prints one sample as JSON."""

from __future__ import annotations

import subprocess
import sys

import msgspec

from benchmarks.capacity.slopes import Point, trend
from benchmarks.capacity.subject import Results, Row, Subject
from benchmarks.capacity.subjects import SUBJECTS

LONGEST = 900.0  # seconds for one size


class FailedError(RuntimeError):
    """A size of a subject that could not be measured, with the last line that its process said."""


def sample(subject: Subject, size: int) -> msgspec.Struct:
    """One size, measured in a process that is new: what another size left in memory is not in it."""
    words = [sys.executable, "-m", "benchmarks.capacity.run", subject.name, str(size)]
    try:
        done = subprocess.run(words, capture_output=True, check=False, timeout=LONGEST)
    except subprocess.TimeoutExpired:
        raise FailedError(f"{subject.name} at {size:,} {subject.of}: not done after {LONGEST:g} s") from None
    if done.returncode:
        said = done.stderr.decode(errors="replace").strip().splitlines() or [f"status {done.returncode}"]
        raise FailedError(f"{subject.name} at {size:,} {subject.of}: {said[-1]}")
    return msgspec.json.decode(done.stdout, type=subject.sample)


def rows(subject: Subject, samples: dict[int, msgspec.Struct], results: Results) -> list[Row]:
    """The subject's figures at the size, from its samples by size."""
    found = []
    for quantity in subject.quantities:
        points = [Point(size, float(getattr(one, quantity.field))) for size, one in samples.items()]
        line = trend(points)
        results.put(subject.name, quantity.field, line)
        value, mark = line.at(quantity.at)
        found.append(
            Row(
                subject.name,
                quantity.text,
                quantity.unit,
                value,
                mark,
                quantity.budget,
                line,
                subject.of,
                quantity.at,
            )
        )
    return found


def main(name: str, size: int) -> None:
    """The process of one size."""
    subject = next(one for one in SUBJECTS if one.name == name)
    sys.stdout.buffer.write(msgspec.json.encode(subject.measure(size)))


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
