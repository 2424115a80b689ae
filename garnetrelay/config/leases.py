"""What relays and controllers are told of leases: the controllers, the partitions, the lease."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from garnetrelay.config.addresses import place
from garnetrelay.fleet.leases.messages import MAX_CONTROLLERS
from garnetrelay.fleet.leases.settings import MIN_CONTROLLERS, MS, Settings
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.partitions.hashing import check_partitions

LEAST_LEASE_MS = 500  # below it the time that a busy process takes to answer eats the lease
MOST_LEASE_MS = 600_000
DEFAULT = Settings()


class TermsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all relays and all controllers of a fleet must be told alike; a request under other terms is refused."""

    controllers: list[str]  # IP:port of each, in the order of their numbers
    partitions: int = DEFAULT.partitions  # for good
    lease_ms: Annotated[int, Meta(ge=LEAST_LEASE_MS, le=MOST_LEASE_MS)] = DEFAULT.lease // MS


class LeasesTable(TermsTable, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The `[fleet.leases]` table of RELAY_OPTIONS."""

    renew_every_ms: Annotated[int, Meta(ge=10, le=MOST_LEASE_MS)] | None = None  # None: as the default's to its lease
    write_margin_ms: Annotated[int, Meta(ge=0, le=MOST_LEASE_MS)] = DEFAULT.write_margin // MS


class Leases(msgspec.Struct, frozen=True):
    """The table of a relay, checked."""

    addresses: tuple[SocketAddress, ...]  # the controllers, by number
    settings: Settings


def check(raw: dict[str, Any]) -> Leases:
    """The table as it is used; ValueError in one line."""
    try:
        table = msgspec.convert(raw, LeasesTable)
    except msgspec.ValidationError as error:
        raise ValueError(f"fleet.leases: {error}") from None
    try:
        addresses = check_controllers(table)
        renew_every = None if table.renew_every_ms is None else table.renew_every_ms * MS
        return Leases(addresses, settings(table, renew_every, table.write_margin_ms * MS))
    except ValueError as error:
        raise ValueError(f"fleet.leases.{error}") from None


def check_controllers(table: TermsTable) -> tuple[SocketAddress, ...]:
    """The controllers' addresses; ValueError in one line that begins with the option's name."""
    count = len(table.controllers)
    if not (MIN_CONTROLLERS <= count <= MAX_CONTROLLERS and count % 2):
        raise ValueError(f"controllers: {count} addresses, and there are 3, 5, 7 or 9 (an even one more bears no more)")
    addresses = tuple(place(text, "controllers") for text in table.controllers)
    if len(set(addresses)) < len(addresses):
        raise ValueError("controllers: one stands twice")
    return addresses


def settings(table: TermsTable, renew_every: int | None = None, write_margin: int = 0) -> Settings:
    """The settings of the decisions (nanoseconds). Patience and pauses stand to the renewals as the default's do."""
    lease = table.lease_ms * MS
    if renew_every is None:
        renew_every = lease * DEFAULT.renew_every // DEFAULT.lease
    check_partitions(table.partitions)
    answer_timeout = renew_every * DEFAULT.answer_timeout // DEFAULT.renew_every
    if renew_every + answer_timeout > lease // 2:
        raise ValueError(
            f"renew_every_ms: {renew_every // MS} and a patience of {answer_timeout // MS} take over half a lease"
        )
    found = Settings(
        controllers=len(table.controllers),
        partitions=table.partitions,
        lease=lease,
        renew_every=renew_every,
        write_margin=0,
        answer_timeout=answer_timeout,
        request_gap=min(DEFAULT.request_gap, answer_timeout),
        first_retry=renew_every * DEFAULT.first_retry // DEFAULT.renew_every,
        max_retry=renew_every * DEFAULT.max_retry // DEFAULT.renew_every,
    )
    room = found.holder_time - renew_every - answer_timeout
    if write_margin > room:
        raise ValueError(f"write_margin_ms: {write_margin // MS}, and lease and renewals leave {max(0, room) // MS}")
    return dataclasses.replace(found, write_margin=write_margin)
