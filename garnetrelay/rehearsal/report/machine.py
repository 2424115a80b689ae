"""The report as JSON."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from garnetrelay.rehearsal.checker import RULES
from garnetrelay.rehearsal.conductor import Outcome

VERSION = 1


def report(outcome: Outcome) -> dict[str, Any]:
    """The report as plain values: the plan, the results, and each verdict with its proof."""
    plan = outcome.plan
    return {
        "version": VERSION,
        "scenario": plan.scenario,
        "seed": plan.seed,
        "relays": len(plan.relays),
        "schedule": plan.digest(),
        "seconds": round(plan.length / 1e9, 3),
        "took": round(outcome.ended_at / 1e9, 3),
        "kept": outcome.kept,
        "rules": {
            str(number): {"text": text, "broken": sum(v.rule == number for v in outcome.verdicts)}
            for number, text in RULES.items()
        },
        "verdicts": [msgspec.to_builtins(verdict) for verdict in outcome.verdicts],
        **outcome.tally.summary(),
        **({"fleet": msgspec.to_builtins(outcome.fleet)} if outcome.fleet else {}),
        "bad clients": {
            "tried": sum(clients.attempts for clients in outcome.misbehaving),
            "left with neither error nor close": sum(clients.unanswered for clients in outcome.misbehaving),
        },
    }


def write(outcome: Outcome, path: Path) -> None:
    """Write an outcome to a file, as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report(outcome)), indent=1) + b"\n")
