"""Valid settings with extreme values: any deployment may use them, and none may end the relay."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest

from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io
from tests.helpers import MS, Relay, S, entry


def extreme_settings(draw: random.Random) -> dict[str, Any]:
    """Settings drawn from the extremes that ``interface.py`` accepts."""
    classes = []
    for _ in range(draw.choice([1, 2, 7])):
        aim = draw.choice([1, MS, S, 20 * S])
        classes.append(
            io.MessageClass(
                aim,
                aim * draw.choice([1, 2, 10]),
                draw.choice([0.0, 1.0, 9.0]),
                draw.choice([0.0, 0.5, 1.0]),
                draw.choice(list(io.Repeat)),
                draw.choice(list(io.Scope)),
                draw.choice([0, S]),
                draw.random() < 0.3,
            )
        )
    return {
        "relays": draw.choice([1, 3, 8, 500]),
        "slots": draw.choice([1, 2, 9]),
        "tick": draw.choice([0, 5 * MS]),
        "discovery": draw.choice(list(io.Discovery)),
        "listed_rates": draw.random() < 0.5,
        "decay": draw.choice(list(io.Decay)),
        "classes": tuple(classes),
        "kinds": (io.Kind(draw.random() < 0.5, draw.choice([1, 4])),),
        "zone_fees": draw.choice([(), (0.0, 1.0)]),
        "tenant_rates": draw.choice([(), (0.0, 5.0)]),
        "rules": {
            "answer_slack": draw.choice([0, S]),
            "ask_every": draw.choice([0, S]),
            "drain_grace": 0,
            "fall": draw.choice([1, S]),
            "fall_multiple": draw.choice([0.01, 3.0]),
            "ramp_time": draw.choice([0, 1, S]),
            "start_capacity": draw.choice([0.001, 1.0]),
            "turn_gap": draw.choice([0, S]),
        },
        "limits": {
            "cancel": draw.random() < 0.5,
            "probes": draw.random() < 0.5,
            "retry_after": draw.random() < 0.5,
            "most_held": draw.choice([1, 2, 30]),
            "most_tries": draw.choice([1, 2, 40]),
            "max_retry_after": draw.choice([0, S]),
            "connect_timeout": 0,
            "conn_idle": draw.choice([0, S]),
        },
    }


@pytest.mark.parametrize("seed", range(60))
def test_no_valid_settings_end_the_relay(seed: int) -> None:
    draw = random.Random(seed)
    chosen = extreme_settings(draw)
    hosts = [entry(f"h{n}", dest=n % 2, zone=n % 2, rate=draw.choice([0.0, 0.01, 50.0])) for n in range(3)]
    relay = Relay(*hosts, **chosen)
    statuses = list(io.Status)
    unfinished: set[str] = set()
    for tick in range(120):
        events: list[io.Event] = []
        for m in list(relay.pacer.messages.values()):
            if m.call is not None and draw.random() < 0.5:
                status = draw.choice(statuses)
                report = draw.choice([None, io.Report(0.0, 0.0), io.Report(1.0, 5.0)])
                events.append(relay.verdict(m.name, status, draw.choice([0, S]), draw.choice([0, 100 * MS]), report))
        for _ in range(draw.randrange(4)):
            klass = draw.randrange(len(chosen["classes"]))
            patience = draw.choice([1, chosen["classes"][klass].deadline])
            events.append(relay.message(klass, draw.randrange(3), draw.choice([None, "k1", "k2"]), 0, patience))
            unfinished.add(events[-1].call)  # type: ignore[union-attr]
        if tick % 40 == 20:
            events.append(io.Roster(io.ListScope.FAILED, ()))
        if tick % 40 == 30:
            changed = entry("h0", dest=0, state=draw.choice(list(io.Availability)))
            events.append(io.Roster(io.ListScope.CHANGES, (changed,)))
        relay.tick(*events, after=draw.choice([0, 10 * MS, S]))
        unfinished -= {a.call for a in relay.actions if isinstance(a, io.Refuse | io.Fail)}
    assert relay.pacer.pending_count <= chosen["limits"]["most_held"] and relay.pacer.pending_count <= len(unfinished)


def test_a_relay_with_room_for_one_message_accepts_it() -> None:
    """Room reserved for new requests left none for the only message: each was refused in the tick of its arrival."""
    relay = Relay(entry("a"), limits={"most_held": 1})
    relay.tick(relay.message())
    assert [send.call for send in relay.sends()] == ["m1"]


def test_a_ramp_time_of_zero_means_no_ramp() -> None:
    relay = Relay(entry("a"), rules={"ramp_time": 0})
    relay.serve(2)
    assert relay.pacer.pending_count == 0


def test_the_store_has_room_for_as_many_attempts_as_the_settings_allow(tmp_path: Path) -> None:
    """A message is accepted only if there is room for all records it may need; that was calculated for six attempts."""
    tries = 200
    store = Store.open(tmp_path, 200_000, max_attempts=tries)
    ref = "m" * 16
    before = store.used
    entry_ = Entry(ref, "fee", 1, "k", 9000, b"x" * 10)
    store.record_accepted(entry_)
    for n in range(tries):
        assert store.record_attempt(ref, "archive-block", n)
        store.record_outcome(ref, False)
    assert store.flush()
    assert store.used - before <= store.index.reserved + 512  # space is used in whole blocks
    store.close()


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("within", [5 * S, 10 * S])
def test_the_first_call_among_many_relays_comes_before_the_known_list_expires(within: int, seed: int) -> None:
    """Spread over 20 s among 200 relays, it came up to 10 s after the configured list had expired; after a failure the
    list is valid four times as long."""
    relay = Relay(entry("a"), seed=seed, relays=200, discovery=io.Discovery.SUBSCRIBE, rules={"ask_every": within})
    pacer = relay.pacer
    assert pacer.discovery_schedule.next_call_at - 1000 * S <= within - 2 * S
    pacer.discovery_schedule.next_call_at = relay.now
    relay.tick(io.Roster(io.ListScope.FAILED, ()))
    assert pacer.discovery_schedule.next_call_at - relay.now <= 4 * within - 2 * S
