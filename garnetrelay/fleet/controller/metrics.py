"""A controller's metrics in the Prometheus text format. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from garnetrelay.fleet.controller.records_file import RecordsFile
from garnetrelay.fleet.lease_datagrams import DatagramEndpoint
from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.messages import Answer, Message
from garnetrelay.operators.metrics import escape_label


@dataclass(slots=True)
class ControllerMetrics:
    """Counters since the start of the process."""

    received: Counter[str] = field(default_factory=Counter)  # by kind of message
    granted: int = 0
    refused: int = 0
    accepted: int = 0  # answers to accepted requests
    not_accepted: int = 0
    writes: int = 0
    failed_writes: int = 0
    records_written: int = 0
    write_time_ns: int = 0  # of all writes
    longest_write_ns: int = 0

    def count_message(self, message: Message) -> None:
        """Counts a valid message."""
        self.received[type(message).__name__.lower()] += 1

    def count_answer(self, answer: Answer) -> None:
        """Counts an answer and its grants and refusals."""
        self.granted += len(answer.granted)
        self.refused += len(answer.refused)
        if answer.accepted:
            self.accepted += 1
        else:
            self.not_accepted += 1

    def count_write(self, records: int, duration_ns: int, succeeded: bool) -> None:
        """Counts a completed write."""
        self.writes += 1
        self.failed_writes += not succeeded
        self.records_written += records if succeeded else 0
        self.write_time_ns += duration_ns
        self.longest_write_ns = max(self.longest_write_ns, duration_ns)


def metrics_text(
    metrics: ControllerMetrics, controller: Controller | None, datagrams: DatagramEndpoint, records: RecordsFile
) -> str:
    """Returns all metrics, one line each."""
    rows: list[tuple[str, int | float]] = [
        ("ready", int(controller is not None and controller.ready)),
        ("granted", metrics.granted),
        ("refused", metrics.refused),
        ("answers_accepted", metrics.accepted),
        ("answers_not_accepted", metrics.not_accepted),
        ("writes", metrics.writes),
        ("writes_failed", metrics.failed_writes),
        ("records_written", metrics.records_written),
        ("write_seconds", metrics.write_time_ns / 1e9),
        ("longest_write_seconds", metrics.longest_write_ns / 1e9),
        ("file_bytes", records.size),
        ("compactions", records.compactions),
        ("datagrams_in", datagrams.received),
        ("datagrams_out", datagrams.sent),
        ("bytes_in", datagrams.bytes_in),
        ("bytes_out", datagrams.bytes_out),
    ]
    rows += [(f'messages_in{{kind="{escape_label(kind)}"}}', count) for kind, count in sorted(metrics.received.items())]
    rows += [
        (f'datagrams_refused{{cause="{escape_label(cause)}"}}', count)
        for cause, count in sorted(datagrams.refused.items())
    ]
    return "".join(f"controller_{name} {value}\n" for name, value in rows)
