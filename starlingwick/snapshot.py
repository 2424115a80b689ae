"""Transfer of what a Pacer learned about destinations and hosts to another Pacer, as plain values.

Both Pacers must be driven by the same clock. Snapshots pass between processes of different versions, so the
outer names are fixed: a renamed attribute keeps its outer name. Names that the receiver does not know are
ignored, and missing ones leave the initial value. Decides nothing.
"""

from __future__ import annotations

import itertools
from collections import deque
from typing import Any

from starlingwick.control import Pacer
from starlingwick.model import Destination, Host

VERSION = 1

# Outer name to attribute.
DESTINATION_ATTRIBUTES = {
    "agreed": "listed_rate",
    "listed": "rate_limit",
    "reports": "reports_limit",
    "ceiling": "ceiling",
    "ceiling_at": "ceiling_changed_at",
    "cut_at": "ceiling_cut_at",
    "next_call": "next_call_at",
    "mean": "mean_time",
    "wait_until": "wait_until",
    "rest": "backoff",
    "rest_until": "backoff_until",
    "pause_at": "backoff_set_at",
    "refused_from": "refused_since",
    "bad": "failure_share",
    "bad_from": "failing_since",
    "bad_at": "last_failure_at",
    "out": "in_outage",
    "ramp_from": "ramp_from",
    "part": "warm_rate",
    "next_at": "next_trial_at",
}
EVENT_TIMES = ("refusals", "sent", "arrived", "served")  # times of events, oldest first
HOST_ATTRIBUTES = {
    "gap": "send_gap",
    "last_sent": "last_sent",
    "last_ok_sent": "last_ok_sent",
    "bad": "failure_share",
    "most": "max_calls",
    "most_until": "max_calls_until",
    "retry_at": "deprioritized_until",
}


def take_snapshot(pacer: Pacer) -> dict[str, Any]:
    """What the Pacer learned, in values that every serialization supports."""
    destinations = itertools.chain.from_iterable(pacer.routes.values())
    return {
        "version": VERSION,
        "started": pacer.started,
        "tenant_due": list(pacer.tenant_due),
        "turn_rest": dict(pacer.blocked_keys),
        "destinations": [destination_snapshot(dest) for dest in destinations if dest.hosts],
    }


def destination_snapshot(dest: Destination) -> dict[str, Any]:
    """What the Pacer learned about one destination, or one of its routes, and its hosts."""
    return {
        **{name: getattr(dest, attribute) for name, attribute in DESTINATION_ATTRIBUTES.items()},
        **{name: list(getattr(dest, name)) for name in EVENT_TIMES},
        "hosts": {
            host.name: {name: getattr(host, attribute) for name, attribute in HOST_ATTRIBUTES.items()}
            for host in dest.hosts
        },
    }


def restore_snapshot(pacer: Pacer, snapshot: dict[str, Any]) -> None:
    """Apply a snapshot. The list of hosts must be known already; hosts that are not listed are skipped. Of
    several entries for one destination the last one counts."""
    if snapshot.get("version") != VERSION:
        return
    pacer.started = snapshot["started"]
    tenant_due = snapshot["tenant_due"]
    if len(tenant_due) == len(pacer.tenant_due):
        pacer.tenant_due = list(tenant_due)
    pacer.blocked_keys.update(snapshot["turn_rest"])
    for state in snapshot["destinations"]:
        for name, values in state["hosts"].items():
            if name in pacer.hosts:
                dest, host = pacer.hosts[name]
                _set_attributes(dest, state, DESTINATION_ATTRIBUTES)
                for field in EVENT_TIMES:
                    setattr(dest, field, deque(state.get(field, ())))
                _set_attributes(host, values, HOST_ATTRIBUTES)


def block_key(pacer: Pacer, key: str, until: int) -> None:
    """Let no message of a key be sent before ``until`` (the Pacer's clock), nor before it may already."""
    until = max(until, pacer.blocked_keys.pop(key, 0))
    pacer.blocked_keys[key] = until


def _set_attributes(target: Destination | Host, values: dict[str, Any], attributes: dict[str, str]) -> None:
    for name, attribute in attributes.items():
        if name in values:
            setattr(target, attribute, values[name])
