"""All subjects, in the order of the table."""

from __future__ import annotations

from benchmarks.capacity import backlog, journal, leases, lists, membership, pacer, pending
from benchmarks.capacity.subject import Subject

SUBJECTS: tuple[Subject, ...] = (
    pacer.SUBJECT,
    lists.SUBJECT,
    pending.SUBJECT,
    journal.SUBJECT,
    backlog.SUBJECT,
    membership.SUBJECT,
    leases.SUBJECT,
)
