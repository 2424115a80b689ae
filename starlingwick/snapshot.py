"""What a Pacer knows of its destinations and hosts, as plain values for another Pacer. Decides nothing.

Times are those of the clock that the Pacer was driven by: the other has to be driven by the same one. Values
go by the names of their fields; what the other does not know by name is left out, what is missing stays as
at a start.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from starlingwick.control import Pacer
from starlingwick.model import Destination, Host

VERSION = 1

DESTINATION_ATTRIBUTES = {
    "agreed": "listed_rate",
    "listed": "rate_limit",
    "reports": "reports",
    "ceiling": "ceiling",
    "ceiling_at": "ceiling_at",
    "cut_at": "cut_at",
    "next_call": "next_call",
    "mean": "mean",
    "wait_until": "wait_until",
    "rest": "backoff",
    "rest_until": "backoff_until",
    "pause_at": "pause_at",
    "refused_from": "refused_since",
    "bad": "failure_share",
    "bad_from": "failing_since",
    "bad_at": "last_failure_at",
    "out": "in_outage",
    "ramp_from": "ramp_from",
    "part": "part",
    "next_at": "next_at",
}
MARKS = ("refusals", "sent", "arrived", "served")  # times, oldest first
HOST_ATTRIBUTES = {
    "gap": "gap",
    "last_sent": "last_sent",
    "last_ok_sent": "last_ok_sent",
    "bad": "failure_share",
    "most": "most",
    "most_until": "most_until",
    "retry_at": "retry_at",
}


def take_snapshot(pacer: Pacer) -> dict[str, Any]:
    """All that was learned, in values that any serialization carries."""
    return {
        "version": VERSION,
        "started": pacer.started,
        "tenant_due": list(pacer.tenant_due),
        "turn_rest": dict(pacer.blocked_keys),
        "destinations": [
            {
                **{name: getattr(dest, attribute) for name, attribute in DESTINATION_ATTRIBUTES.items()},
                **{name: list(getattr(dest, name)) for name in MARKS},
                "hosts": {
                    host.name: {name: getattr(host, attribute) for name, attribute in HOST_ATTRIBUTES.items()}
                    for host in dest.hosts
                },
            }
            for routes in pacer.routes.values()
            for dest in routes
            if dest.hosts
        ],
    }


def restore_snapshot(pacer: Pacer, memory: dict[str, Any]) -> None:
    """Take it up. The list of hosts must be known already: what is not on it is forgotten."""
    if memory.get("version") != VERSION:
        return
    pacer.started = memory["started"]
    due = memory["tenant_due"]
    if len(due) == len(pacer.tenant_due):
        pacer.tenant_due = list(due)
    pacer.blocked_keys.update(memory["turn_rest"])
    for known in memory["destinations"]:
        for name, values in known["hosts"].items():
            if name in pacer.hosts:
                dest, host = pacer.hosts[name]
                _fill(dest, known, DESTINATION_ATTRIBUTES)
                for marks in MARKS:
                    setattr(dest, marks, deque(known.get(marks, ())))
                _fill(host, values, HOST_ATTRIBUTES)


def _fill(target: Destination | Host, values: dict[str, Any], attributes: dict[str, str]) -> None:
    for name, attribute in attributes.items():
        if name in values:
            setattr(target, attribute, values[name])
