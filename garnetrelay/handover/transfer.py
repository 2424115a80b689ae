"""What the old process of a handover sends: the relay's state, and its connections with their descriptors."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, TypeVar

from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import Channel
from starlingwick.snapshot import take_snapshot

if TYPE_CHECKING:
    from garnetrelay.delivery.http import connection as net
    from garnetrelay.fronts.resp import connection as front
    from garnetrelay.handover.interface import HandoverRelay
    from garnetrelay.pending import PendingMessage

MAX_FRAME_CONNECTIONS = 32  # in one frame: at most so many are open in both processes at once

T = TypeVar("T")

CallToHandOver = tuple["PendingMessage", "net.Exchange", "net.Connection"]


def handover_state(relay: HandoverRelay) -> p.State:
    """All state that is neither in a file nor a connection."""
    return p.State(
        relay.discovery.index,
        str(relay.config.discovery),
        _endpoints(relay),
        list(relay.host_table.delisted),
        take_snapshot(relay.pacer),
        None if relay.fleet is None else relay.fleet.handover_state(),
    )


def _endpoints(relay: HandoverRelay) -> list[p.Endpoint]:
    endpoints = []
    for name, entry in relay.host_table.listed.items():
        address = relay.hosts.addresses[name]
        endpoints.append(
            p.Endpoint(
                name,
                entry.zone,
                entry.kind,
                entry.dest,
                entry.availability.value,
                entry.rate,
                address.host,
                address.port,
                relay.host_table.starts.get(name, 0),
            )
        )
    return endpoints


def send_connections(channel: Channel, relay: HandoverRelay) -> None:
    """Send all connections that can be handed over, and close them here; ChannelError if that fails."""
    for clients in _batches(relay.server.connections_to_hand_over()):
        _send_clients(channel, clients)
    for idle in _batches(relay.hosts.connections_to_hand_over()):
        _send_idle(channel, idle)
    for calls in _batches(_calls_to_hand_over(relay.pending.values())):
        _send_calls(channel, calls)


def _send_clients(channel: Channel, clients: list[front.Connection]) -> None:
    frame = p.Clients([p.ClientConnection(bytes(client.raw), client.has_sent_command) for client in clients])
    channel.send(frame, [client.descriptor for client in clients])
    for client in clients:
        client.close_after_handover()


def _send_idle(channel: Channel, connections: list[net.Connection]) -> None:
    frame = p.IdleHosts(
        [p.IdleConnection(idle.host, idle.address.host, idle.address.port, idle.connected_ms) for idle in connections]
    )
    channel.send(frame, [idle.descriptor for idle in connections])
    for idle in connections:
        idle.close_after_handover()


def _send_calls(channel: Channel, calls: list[CallToHandOver]) -> None:
    channel.send(
        p.Calls([_call_in_flight(*call) for call in calls]), [connection.descriptor for _, _, connection in calls]
    )
    for _, _, connection in calls:
        connection.close_after_handover()


def _call_in_flight(message: PendingMessage, exchange: net.Exchange, connection: net.Connection) -> p.CallInFlight:
    return p.CallInFlight(
        message.ref,
        connection.host,
        connection.address.host,
        connection.address.port,
        message.zone,
        message.sent_at,
        exchange.stop_at,
        connection.used,
        connection.connected_ms,
    )


def _batches(items: Iterable[T]) -> Iterator[list[T]]:
    every = list(items)
    for start in range(0, len(every), MAX_FRAME_CONNECTIONS):
        yield every[start : start + MAX_FRAME_CONNECTIONS]


def calls_in_flight(messages: Iterable[PendingMessage]) -> Iterator[tuple[PendingMessage, net.Exchange]]:
    """The messages with a call that has no outcome yet, each with its exchange."""
    for message in list(messages):
        if message.exchange is not None:
            yield message, message.exchange


def _calls_to_hand_over(messages: Iterable[PendingMessage]) -> Iterator[CallToHandOver]:
    """Calls that the new process takes over. The call of a message that has ended meanwhile is not among them: its
    connection is closed."""
    for message, exchange in calls_in_flight(messages):
        if not message.ended and exchange.connection is not None and exchange.connection.can_hand_over:
            yield message, exchange, exchange.connection
