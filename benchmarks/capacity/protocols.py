"""Discovery as it loads us, and the client side: computed from protocol figures and this run's slopes."""

from __future__ import annotations

import json
import time

from benchmarks.capacity.files import listing
from benchmarks.capacity.size import CONTROL_NETWORK, DAY, SIZE, Mark, Unit
from benchmarks.capacity.subject import Results, Row
from garnetrelay.config.deployment import Address
from garnetrelay.delivery.http.requests import call_request

BODY = 400  # bytes: nobody told how long events are; `message` of these benchmarks has the same
REF, KEY = "client-7-000000001", "key-000000001"
ANSWER = b"+OK\r\n"
EMPTY_LINE_EVERY = 2.0  # seconds, of a watch: garnetrelay/discovery/client.py
EMPTY_LINE = len(b"1\r\n\n\r\n")  # an empty line in a chunk of its own
HOUR = 3_600.0


def change_bytes() -> int:
    """One changed host, a line of a watch."""
    changes = {"index": SIZE.changes, "snapshot": False, "endpoints": listing(1, "Ready")["endpoints"][:1]}
    return len(json.dumps(changes).encode()) + 1


def enqueue_bytes() -> int:
    """A message as a client hands it in: RESP, an array of bulk strings."""
    words = (b"ENQUEUE", b"0" * 16, REF.encode(), f"c=keyed,d=7000,dest=100000,k={KEY}".encode(), bytes(BODY))
    return len(b"*%d\r\n" % len(words)) + sum(len(b"$%d\r\n%s\r\n" % (len(word), word)) for word in words)


def rows(results: Results) -> list[Row]:
    """What passes discovery and clients; a row that stands on a slope is left out where that was not measured."""
    return [*_discovery(results), *_clients()]


def _discovery(results: Results) -> list[Row]:
    change, relays = change_bytes(), SIZE.relays
    found = [
        Row(
            "discovery",
            "changes and empty lines to one relay",
            Unit.BYTES_A_SECOND,
            SIZE.changes / DAY * change + EMPTY_LINE / EMPTY_LINE_EVERY,
            Mark.COMPUTED,
            CONTROL_NETWORK,
            reason=f"{SIZE.changes:,} changes of {change} B a day; an empty line each {EMPTY_LINE_EVERY:g} s",
        ),
        Row(
            "discovery",
            "one change, to all relays",
            Unit.BYTES,
            change * relays,
            Mark.COMPUTED,
            reason=f"{relays} watches, {change} B",
        ),
    ]
    version = results.get("lists", "version")
    if version is None:
        return found
    whole, _ = version.at(SIZE.destinations)
    for text, count in (
        ("whole lists on an ordinary day", SIZE.restarts),
        ("whole lists as a zone starts again", SIZE.zone_relays),
        ("whole lists as regions meet again, half of all relays", relays // SIZE.regions),
    ):
        reason = f"{count} relays, {whole / 1e6:.1f} MB each"
        found.append(Row("discovery", text, Unit.BYTES, whole * count, Mark.COMPUTED, reason=reason))
    return found


def _clients() -> list[Row]:
    enqueue = enqueue_bytes()
    out = len(call_request(Address("10.1.2.3", 8080), REF, KEY, bytes(BODY), time.monotonic_ns() + 7 * 10**9))
    each, events = SIZE.meets_every, SIZE.relay_events
    body = f"bodies of {BODY} B (assumed)"

    def row(text: str, unit: Unit, value: float, reason: str) -> Row:
        return Row("clients", text, unit, value, Mark.COMPUTED, reason=reason)

    return [
        row("events at a relay, a second", Unit.COUNT, events, f"{SIZE.events:,.0f} / {SIZE.relays}"),
        row("bytes in from clients", Unit.BYTES_A_SECOND, events * enqueue, f"{enqueue} B a message, {body}"),
        row("answers to clients", Unit.BYTES_A_SECOND, events * len(ANSWER), f"{len(ANSWER)} B each"),
        row("bytes out to partners", Unit.BYTES_A_SECOND, events * out, f"{out} B a call, {body}"),
        row("messages taken on in an hour, nothing delivered", Unit.COUNT, events * HOUR, "an hour down"),
        row("time between two events of a destination at one relay", Unit.SECONDS, each, "all relays take all"),
        row("the same with one owner", Unit.SECONDS, 1 / SIZE.destination_events, "one owner takes all"),
    ]
