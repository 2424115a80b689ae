"""What the exploration drives: relays that send only what they are told to, and what tells two states apart."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from fractions import Fraction
from typing import Any, NamedTuple

import msgspec

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.link import Vote
from garnetrelay.fleet.leases.messages import Grant, HolderEffect, Message, Record
from garnetrelay.fleet.leases.settings import Settings

SETTINGS = Settings(
    controllers=3,
    partitions=1,
    lease=2,
    rate_error=Fraction(0),
    renew_every=1,
    write_margin=0,
    answer_timeout=1,
    request_gap=0,
    first_retry=1,
    max_retry=1,
)
DRIFT = dataclasses.replace(SETTINGS, lease=4, rate_error=Fraction(1, 3))
RELAYS = ("a", "b")
BOOTS = 1000  # between the boots of a controller's processes
PAST = -1000
DRAW = random.Random(0)  # what it gives stands in no key
UNHEARD = Record(0, 0, "", 0)
_NOT_IN_KEYS = {
    "settings",
    "event_counts",
    "session",
    "fingerprint",
    "tries",
    "retry_at",
    "round_ends",
    "owned",
    "send_at",
    "renew_at",
    "failures",
    "accepted_at",
    "ask_at",
    "ends_at",
    "_random",
    "_drawn",
    "_drawn_at",
    "_started",
    "_foreign",
    "_ticket",
    "_forget_at",
}


class Bounds(NamedTuple):
    """How much may happen in one order."""

    time: int = 3  # steps
    requests: int = 4  # of both relays
    rounds: int = 2  # begun by both
    restarts: int = 0  # of a controller, its folder as it is
    lost_folders: int = 0  # restarts of a controller that find an empty folder
    old_folders: int = 0  # restarts of a controller that find what stood there before
    relay_restarts: int = 0
    late: int = 0  # requests or answers that do not arrive in the step in which they were sent
    doubles: int = 0
    failed_writes: int = 0
    ahead: int = 0  # steps that one clock makes besides
    behind: int = 0  # steps that one clock leaves out


class Asked(Holder):
    """A holder that sends nothing of its own accord."""

    def _go_on(self, now: int) -> list[HolderEffect]:
        return []

    def begin(self, now: int, above: int) -> None:
        """A round, in an epoch above those that it knows; the round before is given up."""
        if not self._claims:
            self.set_assigned(now, [0])
        if self.epoch:
            self._give_up_round(now, 0, self._claims[0])
        self._known[0] = self._known.get(0, 0) + above - 1
        self._begin_round(now, 0, self._claims[0])

    def ask(self, now: int, controller: int, kind: str) -> Message:
        """A request that it could send."""
        link = self._links[controller]
        match kind:
            case "begins a round at" | "begins a round, one higher, at":
                self.begin(now, 1 + ("higher" in kind))
                return link.acquire(now, now + 1, [Grant(0, self.epoch)])
            case "asks":
                return link.acquire(now, now + 1, [Grant(0, self._claims[0].epoch)])
            case "renews at":
                return link.renew(now, now + 1)
            case _:
                return link.release(now, now + 1, [Grant(*grant) for grant in link.unsure.items()])

    def kinds(self, controller: int) -> Iterator[str]:
        """Of the requests that it could send to a controller."""
        link, claim = self._links[controller], self._claims.get(0)
        if claim is not None and claim.epoch and 0 not in link.votes:
            yield "asks"
        if link.votes and not link.unsure:
            yield "renews at"
        if any(claim is None or claim.epoch != epoch for epoch in link.unsure.values()):
            yield "releases at"

    @property
    def epoch(self) -> int:
        """Of the round, or of what it owns; 0: none."""
        return self._claims[0].epoch if self._claims else 0


class Kinds(NamedTuple):
    """What runs; a planted fault replaces one of them."""

    controller: type[Controller] = Controller
    holder: type[Asked] = Asked
    settings: Settings = SETTINGS
    numbers: bool = True  # whether those that were passed are left out: not where a fault counts them


def freeze(value: Any) -> Any:
    """What a component remembers, as something that can be compared."""
    if isinstance(value, dict):
        return tuple(sorted((freeze(key), freeze(each)) for key, each in value.items() if key not in _NOT_IN_KEYS))
    if isinstance(value, msgspec.Struct):
        return msgspec.json.encode(value)
    if isinstance(value, list | tuple):
        return tuple(freeze(each) for each in value)
    if value is None or isinstance(value, int | str):
        return repr(value)
    if dataclasses.is_dataclass(value):
        return freeze({each.name: getattr(value, each.name) for each in dataclasses.fields(value)})
    return freeze(vars(value))


def age_controller(controller: Controller, now: int) -> None:
    """Leases that have run out are alike."""
    for held in controller.grant_table.sessions.values():
        if held.lease_until <= now:
            held.lease_until = PAST


def age_relay(relay: Asked, now: int) -> None:
    """Votes that no longer count are alike."""
    for link in relay._links:
        for partition, vote in link.votes.items():
            if vote.sent_at + relay.settings.holder_time <= now:
                link.votes[partition] = Vote(vote.epoch, PAST)
    for claim in relay._claims.values():
        if claim.ends <= now:
            claim.ends = 0
    for refused in relay._refused.values():
        for controller, until in refused.items():
            refused[controller] = until if until > now else PAST
