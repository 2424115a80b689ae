"""What a relay reports to operators about leases: status lines, and metrics in the Prometheus text format. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from garnetrelay.fleet.lease_service import LeaseService
from garnetrelay.operators.metrics import escape_label


class SessionLine(msgspec.Struct, frozen=True):
    """The status of this relay's session."""

    name: str
    session: int
    partitions: int
    should_own: int
    owned: int
    controllers: int
    quorum: int
    reached: list[int]  # numbers of the controllers that accepted a request which still counts


class OwnedLine(msgspec.Struct, frozen=True):
    """A partition that this relay owns."""

    partition: int
    epoch: int
    until: int  # nanoseconds of ``garnetrelay.fleet.clock``
    left: float  # seconds that remain


class DestinationLine(msgspec.Struct, frozen=True):
    """A destination, as this relay sees it."""

    destination: int
    partition: int
    should_own: str  # name of the relay; empty: not known
    epoch: int | None = None  # None: this relay does not own it
    until: int | None = None
    left: float | None = None


class ControllerLine(msgspec.Struct, frozen=True):
    """A controller, as this relay sees it."""

    number: int
    place: str
    accepted: float | None  # seconds since the latest request that it accepted was sent; None: it accepted none
    counts: bool  # whether that request still counts towards majorities
    failures: int  # requests in a row since then that were unanswered or not accepted
    votes: int  # partitions that it has granted to this relay


def owners(leases: LeaseService, now: int) -> Iterator[SessionLine | OwnedLine]:
    """Returns the line of this session, then a line for each partition that it owns."""
    settings, owned = leases.config.settings, leases.holder.owned(now)
    yield SessionLine(
        leases.name,
        leases.session.number,
        settings.partitions,
        len(leases.holder.assigned),
        len(owned),
        settings.controllers,
        settings.quorum,
        leases.holder.reached_controllers(now),
    )
    for partition, (epoch, until) in sorted(owned.items()):
        yield OwnedLine(partition, epoch, until, round((until - now) / 1e9, 3))


def destination(leases: LeaseService, number: int, now: int) -> DestinationLine:
    """Returns the line of one destination."""
    partition = leases.partition(number)
    ownership = leases.holder.ownership(partition, now)
    should_own = leases.assigned_relay(partition)
    if ownership is None:
        return DestinationLine(number, partition, should_own)
    return DestinationLine(
        number, partition, should_own, ownership.epoch, ownership.until, round((ownership.until - now) / 1e9, 3)
    )


def controllers(leases: LeaseService, now: int) -> Iterator[ControllerLine]:
    """Returns a line for each controller, by number."""
    reached = leases.holder.reached_controllers(now)
    for link, address in zip(leases.holder.links, leases.config.addresses, strict=True):
        yield ControllerLine(
            link.controller,
            str(address),
            None if link.accepted_at is None else round((now - link.accepted_at) / 1e9, 3),
            link.controller in reached,
            link.failures,
            len(link.votes),
        )


def metrics_text(leases: LeaseService, now: int) -> str:
    """Returns the metrics of leases, one line each."""
    holder = leases.holder
    rows: list[tuple[str, int]] = [
        ("partitions_wished", len(holder.assigned)),
        ("partitions_owned", len(holder.owned(now))),
        ("controllers_reached", len(holder.reached_controllers(now))),
        ("fenced", leases.fenced),
        ("datagrams_in", leases.datagrams_in),
        ("datagrams_out", leases.datagrams_out),
        ("bytes_in", leases.bytes_in),
        ("bytes_out", leases.bytes_out),
    ]
    rows += [
        (f'events{{kind="{escape_label(kind.lower())}"}}', count) for kind, count in sorted(holder.event_counts.items())
    ]
    rows += [
        (f'datagrams_refused{{cause="{escape_label(cause)}"}}', count) for cause, count in sorted(leases.refused.items())
    ]
    return "".join(f"relay_leases_{name} {value}\n" for name, value in rows)
