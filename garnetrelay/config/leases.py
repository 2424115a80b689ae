"""The lease options of relays and controllers: the controllers' addresses, the partitions, the lease's duration."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from garnetrelay.config.addresses import parse_ip_port
from garnetrelay.fleet.leases.messages import MAX_CONTROLLERS
from garnetrelay.fleet.leases.settings import MIN_CONTROLLERS, MS, Settings
from garnetrelay.fleet.members.claims import SocketAddress
from garnetrelay.fleet.partitions.hashing import check_partitions

MIN_LEASE_MS = 500  # shorter leases run out while a busy process answers
MAX_LEASE_MS = 600_000
DEFAULT = Settings()


class TermsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Options that must be the same for all relays and controllers of a fleet; requests with other terms are refused."""

    controllers: list[str]  # IP:port of each, in the order of their numbers
    partitions: int = DEFAULT.partitions  # can't be changed later
    lease_ms: Annotated[int, Meta(ge=MIN_LEASE_MS, le=MAX_LEASE_MS)] = DEFAULT.lease // MS


class LeasesTable(TermsTable, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The `[fleet.leases]` table of RELAY_OPTIONS."""

    # None: in the default's ratio to the lease.
    renew_every_ms: Annotated[int, Meta(ge=10, le=MAX_LEASE_MS)] | None = None
    write_margin_ms: Annotated[int, Meta(ge=0, le=MAX_LEASE_MS)] = DEFAULT.write_margin // MS


class Leases(msgspec.Struct, frozen=True):
    """The checked lease options of a relay."""

    addresses: tuple[SocketAddress, ...]  # the controllers, by number
    settings: Settings


def check(raw: dict[str, Any]) -> Leases:
    """Checks the table; ValueError with a message of one line that begins with the option's name."""
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
    """Parses the controllers' addresses; ValueError with a message of one line that begins with the option's name."""
    count = len(table.controllers)
    if not (MIN_CONTROLLERS <= count <= MAX_CONTROLLERS and count % 2):
        raise ValueError(
            f"controllers: {count} addresses, and there are 3, 5, 7 or 9 (an even number tolerates no more failures)"
        )
    addresses = tuple(parse_ip_port(text, "controllers") for text in table.controllers)
    if len(set(addresses)) < len(addresses):
        raise ValueError("controllers: one stands twice")
    return addresses


def settings(table: TermsTable, renew_every: int | None = None, write_margin: int = 0) -> Settings:
    """The lease protocol's settings, in nanoseconds. Timeouts and retries scale with the renewal interval."""
    lease = table.lease_ms * MS
    if renew_every is None:
        renew_every = lease * DEFAULT.renew_every // DEFAULT.lease
    check_partitions(table.partitions)
    answer_timeout = renew_every * DEFAULT.answer_timeout // DEFAULT.renew_every
    if renew_every + answer_timeout > lease // 2:
        raise ValueError(
            f"renew_every_ms: {renew_every // MS} and a patience of {answer_timeout // MS} take over half a lease"
        )
    result = Settings(
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
    available = result.holder_lease - renew_every - answer_timeout
    if write_margin > available:
        raise ValueError(f"write_margin_ms: {write_margin // MS}, and lease and renewals leave {max(0, available) // MS}")
    return dataclasses.replace(result, write_margin=write_margin)
