"""Parses settings from JSON: one format for the simulator's wire and a deployed relay's configuration."""

from __future__ import annotations

from typing import Any

from starlingwick import interface as io


class SettingsError(ValueError):
    """Settings that are incomplete or invalid."""


def parse_settings(facts: Any) -> io.Settings:
    """Parse settings from decoded JSON; unknown keys are ignored."""
    if not isinstance(facts, dict):
        raise SettingsError("not an object")
    try:
        return _settings(facts)
    except KeyError as error:
        raise SettingsError(f"setting {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(str(error)) from None


def _settings(facts: dict[str, Any]) -> io.Settings:
    family, rules, limits = facts["familyInfo"], facts["rules"], facts["limits"]
    apart = family.get("kindApart", [])
    per_call = family.get("perCall", [])
    kinds = max(len(facts.get("kinds", [])), len(apart), len(per_call), 1)
    return io.Settings(
        relays=int(facts["balancers"]),
        slots=int(family["callsOut"]),
        tick=int(facts.get("tick", 0)),
        zone=int(facts.get("zone", 0)),
        discovery=io.Discovery(facts["discovery"]),
        listed_rates=facts.get("weightSource", "off") != "off",
        decay=io.Decay(family.get("decay", "even")),
        classes=tuple(
            io.MessageClass(
                aim=int(c["aim"]),
                deadline=int(c["deadline"]),
                worth=float(c.get("worth", 1.0)),
                late_worth=float(c.get("lateWorth", 0.0)),
                repeat=io.Repeat(c["idempotency"]),
                key_scope=io.Scope(c.get("keyScope", "cell")),
                repeat_window=int(c.get("repeatWindow", 0)),
                in_turn=bool(c.get("inTurn", False)),
            )
            for c in facts["classes"]
        ),
        kinds=tuple(
            io.Kind(
                apart=bool(apart[k]) if k < len(apart) else False,
                per_call=int(per_call[k]) if k < len(per_call) else 1,
            )
            for k in range(kinds)
        ),
        tenant_rates=tuple(float(t.get("quotaPerS", 0.0)) for t in facts.get("tenants", [])),
        over_share_worth=float(facts.get("overShareWorth", 1.0)),
        zone_fees=tuple(float(fee) for fee in family.get("feeByZone", [])),
        refused_price=float(family.get("refusedPrice", 0.0)),
        prices={str(k): float(v) for k, v in facts.get("prices", {}).items()},
        rules=io.Rules(
            answer_slack=int(rules.get("answerSlack", 0)),
            ask_every=int(rules.get("askEvery", 0)),
            drain_grace=int(rules.get("drainGrace", 0)),
            fall=int(rules["fall"]),
            fall_multiple=float(rules["fallMultiple"]),
            ramp_time=int(rules["rampTime"]),
            start_capacity=float(rules["startCapacity"]),
            turn_gap=int(rules.get("turnGap", 0)),
        ),
        limits=io.Limits(
            cancel=bool(limits.get("cancel", False)),
            probes=bool(limits.get("probes", False)),
            peers=bool(limits.get("peers", False)),
            second_copies=bool(limits.get("secondCopies", False)),
            retry_after=bool(limits.get("retryAfter", False)),
            most_held=int(limits["mostHeld"]),
            most_tries=int(limits["mostTries"]),
            max_retry_after=int(limits.get("maxRetryAfter", 0)),
            connect_timeout=int(limits.get("connectTimeout", 0)),
            conn_idle=int(limits.get("connIdle", 0)),
        ),
    )
