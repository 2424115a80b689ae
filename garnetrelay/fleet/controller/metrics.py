"""A controller's figures in the text form of Prometheus. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from garnetrelay.fleet.controller.records_file import RecordsFile
from garnetrelay.fleet.lease_datagrams import Datagrams
from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.messages import Answer, Message
from garnetrelay.operators.metrics import escaped


@dataclass(slots=True)
class ControllerMetrics:
    """What has happened since the process began."""

    received: Counter[str] = field(default_factory=Counter)  # messages, by kind
    granted: int = 0
    refused: int = 0
    accepted: int = 0  # answers that let a lease run on
    not_accepted: int = 0
    writes: int = 0
    failed_writes: int = 0
    records_written: int = 0
    write_time: int = 0  # of all writes, nanoseconds
    longest_write: int = 0

    def heard(self, message: Message) -> None:
        """A message that was well formed."""
        self.received[type(message).__name__.lower()] += 1

    def answered(self, answer: Answer) -> None:
        """An answer goes out."""
        self.granted += len(answer.granted)
        self.refused += len(answer.refused)
        if answer.accepted:
            self.accepted += 1
        else:
            self.not_accepted += 1

    def wrote(self, records: int, duration: int, whole: bool) -> None:
        """A write ended (nanoseconds)."""
        self.writes += 1
        self.failed_writes += not whole
        self.records_written += records if whole else 0
        self.write_time += duration
        self.longest_write = max(self.longest_write, duration)


def metrics_text(
    metrics: ControllerMetrics, controller: Controller | None, datagrams: Datagrams, records: RecordsFile
) -> str:
    """All figures, a line each."""
    rows: list[tuple[str, int | float]] = [
        ("ready", int(controller is not None and controller.ready)),
        ("granted", metrics.granted),
        ("refused", metrics.refused),
        ("answers_accepted", metrics.accepted),
        ("answers_not_accepted", metrics.not_accepted),
        ("writes", metrics.writes),
        ("writes_failed", metrics.failed_writes),
        ("records_written", metrics.records_written),
        ("write_seconds", metrics.write_time / 1e9),
        ("longest_write_seconds", metrics.longest_write / 1e9),
        ("file_bytes", records.size),
        ("compactions", records.compactions),
        ("datagrams_in", datagrams.received),
        ("datagrams_out", datagrams.sent),
        ("bytes_in", datagrams.bytes_in),
        ("bytes_out", datagrams.bytes_out),
    ]
    rows += [(f'messages_in{{kind="{escaped(kind)}"}}', count) for kind, count in sorted(metrics.received.items())]
    rows += [
        (f'datagrams_refused{{cause="{escaped(cause)}"}}', count) for cause, count in sorted(datagrams.refused.items())
    ]
    return "".join(f"controller_{name} {value}\n" for name, value in rows)
