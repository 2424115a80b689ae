"""Building blocks of the exploration: relays that send only on command, bounds, and the keys that identify states."""

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
BOOT_STEP = 1000  # between the boot numbers of a controller's processes
PAST = -1000
RANDOM = random.Random(0)  # its results are not part of any key
NO_RECORD = Record(0, 0, "", 0)
_NOT_IN_KEYS = {
    "settings",
    "event_counts",
    "session",
    "fingerprint",
    "failed_rounds",
    "retry_at",
    "round_deadline",
    "reported_owned",
    "send_at",
    "renew_at",
    "failures",
    "accepted_at",
    "acquire_at",
    "deadline",
    "_random",
    "_fraction",
    "_fraction_at",
    "_started",
    "_mismatched_relays",
    "_last_ticket",
    "_next_cleanup_at",
}


class Bounds(NamedTuple):
    """How often each kind of event may happen in one sequence."""

    time: int = 3  # steps
    requests: int = 4  # of both relays together
    rounds: int = 2  # started by both relays together
    restarts: int = 0  # of a controller, with its folder unchanged
    lost_folders: int = 0  # restarts of a controller with an empty folder
    old_folders: int = 0  # restarts of a controller with an earlier content of its folder
    relay_restarts: int = 0
    late: int = 0  # requests or answers that do not arrive in the step in which they are sent
    duplicates: int = 0
    failed_writes: int = 0
    ahead: int = 0  # additional steps of one clock
    behind: int = 0  # steps that one clock misses


class ScriptedHolder(Holder):
    """A holder that sends nothing on its own."""

    def _advance(self, now: int) -> list[HolderEffect]:
        return []

    def start_round(self, now: int, above: int) -> None:
        """Abandons the current round, if any, and starts one in an epoch that is ``above`` the highest known one."""
        if not self._partitions:
            self.set_assigned(now, [0])
        if self.epoch:
            self._abandon_round(now, 0, self._partitions[0])
        self._highest_epochs[0] = self._highest_epochs.get(0, 0) + above - 1
        self._start_round(now, 0, self._partitions[0])

    def request(self, now: int, controller: int, kind: str) -> Message:
        """Returns a request that this relay could send."""
        link = self._links[controller]
        match kind:
            case "starts a round at" | "starts a round, one higher, at":
                self.start_round(now, 1 + ("higher" in kind))
                return link.acquire(now, now + 1, [Grant(0, self.epoch)])
            case "acquires from":
                return link.acquire(now, now + 1, [Grant(0, self._partitions[0].epoch)])
            case "renews at":
                return link.renew(now, now + 1)
            case _:
                return link.release(now, now + 1, [Grant(*grant) for grant in link.unconfirmed.items()])

    def request_kinds(self, controller: int) -> Iterator[str]:
        """Returns the kinds of requests that this relay could send to a controller."""
        link, state = self._links[controller], self._partitions.get(0)
        if state is not None and state.epoch and 0 not in link.votes:
            yield "acquires from"
        if link.votes and not link.unconfirmed:
            yield "renews at"
        if any(state is None or state.epoch != epoch for epoch in link.unconfirmed.values()):
            yield "releases at"

    @property
    def epoch(self) -> int:
        """The epoch of the current round or of the owned partition; 0 if there is none."""
        return self._partitions[0].epoch if self._partitions else 0


class Variant(NamedTuple):
    """The classes and settings that run; an injected fault replaces one of them."""

    controller: type[Controller] = Controller
    holder: type[ScriptedHolder] = ScriptedHolder
    settings: Settings = SETTINGS
    drop_old_numbers: bool = True  # drop messages with old numbers; False where a fault makes them count


def freeze(value: Any) -> Any:
    """Returns the state of a component as a value that can be compared."""
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
    """Makes all expired leases equal."""
    for session_grants in controller.grant_table.sessions.values():
        if session_grants.lease_until <= now:
            session_grants.lease_until = PAST


def age_relay(relay: ScriptedHolder, now: int) -> None:
    """Makes all votes that no longer count equal."""
    for link in relay._links:
        for partition, vote in link.votes.items():
            if vote.sent_at + relay.settings.holder_lease <= now:
                link.votes[partition] = Vote(vote.epoch, PAST)
    for state in relay._partitions.values():
        if state.majority_until <= now:
            state.majority_until = 0
    for refused in relay._refused_until.values():
        for controller, until in refused.items():
            refused[controller] = until if until > now else PAST
