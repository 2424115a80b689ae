"""The old process's side: hands the relay over at one moment, then answers staff until it is ended."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import Channel, ChannelError, HandoverSocket
from starlingwick import interface as io
from starlingwick.queues import NEVER
from starlingwick.snapshot import take_snapshot

if TYPE_CHECKING:
    from garnetrelay.delivery.http import hosts as net
    from garnetrelay.fronts.resp import server as front
    from garnetrelay.handover.interface import PassingRelay
    from garnetrelay.pending import PendingMessage

log = logging.getLogger(__name__)

HELLO_TIME = 1.0  # seconds for the first frame of whoever connects
QUIET_TIME = 0.1  # seconds for answers that have come in part to come whole
STEP = 0.005
TAKEN_TIME = 6.0  # seconds from the last frame until the new process must serve
STAFF_TIME = 10.0  # seconds that this process goes on answering staff behind that
BATCH = 32  # connections in a frame: so many are open on both sides at most

OVER_BODY = 3000  # bytes that a held message takes besides its body, at most

T = TypeVar("T")


def resident(process: int) -> int:
    """The memory that a process has (bytes); 0 where that can't be told."""
    try:
        pages = Path(f"/proc/{process}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError, ValueError):
        return 0


def restart_process() -> None:
    """Begin this very process again, as it was begun: its descriptors close with it, the folder has the rest."""
    logging.shutdown()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the new text says what it does with it
    os.execv(sys.executable, sys.orig_argv)


class HandoverSender:
    """Waits for a new process, and gives it the relay."""

    def __init__(self, relay: PassingRelay) -> None:
        self.relay = relay
        self.loop = asyncio.get_running_loop()
        self.state = p.SenderState()
        self.channel: Channel | None = None
        self.task: asyncio.Task[None] | None = None
        self.restart_process = restart_process
        self.door = HandoverSocket(relay.config.state)
        self.listener = self.door.listen()
        self.loop.add_reader(self.listener, self._accept)

    @property
    def handed_over(self) -> bool:
        """Whether the relay is the new process's."""
        return self.state.owner is p.Owner.NEW

    def close(self) -> None:
        """Stop listening for a new process; a handover under way is broken off."""
        self.loop.remove_reader(self.listener)
        self.door.close()
        if self.task is not None:
            self.task.cancel()

    def _accept(self) -> None:
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        channel = Channel(connection)
        if self.task is not None or channel.peer[1] != os.getuid():
            channel.close()
            return
        self.task = self.loop.create_task(self._serve(channel))
        self.task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("upgrade failed", exc_info=error)
            if self.handed_over:
                self._follow(self.state.lost())

    # ---- up to the freeze

    async def _serve(self, channel: Channel) -> None:
        try:
            await self._readable(channel, HELLO_TIME)
            frame, _ = channel.receive()
            if not isinstance(frame, p.Hello):
                raise ChannelError(f"{type(frame).__name__} in place of a hello")
            why = self._unready(channel)
            if self.state.hello(frame.versions, not why) is p.Step.REFUSE:
                channel.send(p.Refused(why or f"this process speaks version {p.VERSION} of the upgrade"))
                channel.close()
                return
        except (ChannelError, TimeoutError) as error:
            log.warning("upgrade: nothing came of it: %s", error)
            channel.close()
            return
        log.info("upgrade: process %d takes over", channel.peer[0])
        self.channel = channel
        listener = await self._quiesce()
        if not self._settled():
            self._resume()
            channel.close()
            self.channel = None
            await self.relay.server.listen(listener)
            return
        step = self._give(channel, listener)
        self._follow(step)
        if step is p.Step.WAIT:
            await self._attend(channel)

    def _unready(self, channel: Channel) -> str:
        """Why not, if so."""
        relay = self.relay
        if relay.stopping or not relay.serving or relay.recovering:
            return "it is starting or stopping"
        if relay.journal.write_failed:
            return "its folder takes no records"
        ours, theirs = resident(os.getpid()), resident(channel.peer[0])
        held = sum(len(message.body) + OVER_BODY for message in relay.pending.values())
        if not p.bears(relay.config.memory_bytes, ours, theirs, held):
            return (
                f"{relay.config.memory_bytes >> 20} MB do not bear both processes: this one has {ours >> 20}, the "
                f"new one {theirs >> 20}, and needs {held >> 20} more"
            )
        return ""

    async def _readable(self, channel: Channel, patience: float) -> None:
        ready: asyncio.Future[None] = self.loop.create_future()

        def wake() -> None:
            if not ready.done():
                ready.set_result(None)

        self.loop.add_reader(channel.socket, wake)
        try:
            async with asyncio.timeout(patience):
                await ready
        finally:
            self.loop.remove_reader(channel.socket)

    async def _quiesce(self) -> socket.socket:
        """No call begins any more, and no connection is taken up: what is under way comes to where it can pass."""
        relay = self.relay
        relay.post(io.Stopping(time.monotonic_ns()))
        listener = await relay.server.stop_listening()
        end = time.monotonic() + QUIET_TIME
        await asyncio.sleep(0)
        while self._unquiet() and time.monotonic() < end or relay.sync_worker is not None and relay.sync_worker.running:
            await asyncio.sleep(STEP)
        for _, exchange in list(_out(relay.pending.values())):
            if exchange.connection is None:
                exchange.abandon()
            elif not exchange.connection.can_hand_over:
                exchange.give_up(io.Status.CANCELLED)
        return listener

    def _unquiet(self) -> bool:
        relay = self.relay
        return bool(relay.tick_scheduled or relay.unrecorded_ticks or relay.hosts.opening) or any(
            exchange.connection is None or not exchange.connection.can_hand_over
            for _, exchange in _out(relay.pending.values())
        )

    def _settled(self) -> bool:
        """The last turns; whether all that they decided is on record. From here on nothing waits for the loop."""
        for _ in range(8):
            self.relay.tick()
            if not self.relay.inbox:
                break
        return not self.relay.inbox and self.relay.journal.flush_and_sync()

    def _resume(self) -> None:
        log.error("upgrade: not now, the folder takes no records")
        self.relay.post(io.Stopping(NEVER))

    # ---- the freeze

    def _give(self, channel: Channel, listener: socket.socket) -> p.Step:
        relay = self.relay
        step = self.state.given()
        if relay.predecessor is not None:
            relay.predecessor.bye()  # the process before this one must not take its end for a death
        relay.retire()
        claim = relay.journal.hand_over()
        try:
            channel.send(self._state(), [claim, listener.fileno()])
            os.close(claim)
            claim = -1
            for clients in _batches(relay.server.connections_to_hand_over()):
                channel.send(
                    p.Clients([p.Client(bytes(one.raw), one.has_sent_command) for one in clients]), _descriptors(clients)
                )
                for one in clients:
                    one.close_after_handover()
            for idle in _batches(relay.hosts.connections_to_hand_over()):
                channel.send(
                    p.IdleHosts([p.Idle(one.host, one.address.host, one.address.port) for one in idle]),
                    _descriptors(idle),
                )
                for connection in idle:
                    connection.close_after_handover()
            for calls in _batches(_passing(relay.pending.values())):
                connections = [connection for _, _, connection in calls]
                channel.send(
                    p.Calls(
                        [
                            p.Out(
                                message.ref,
                                connection.host,
                                connection.address.host,
                                connection.address.port,
                                message.zone,
                                message.sent_at,
                                exchange.stop_at,
                                connection.used,
                            )
                            for message, exchange, connection in calls
                        ]
                    ),
                    _descriptors(connections),
                )
                for connection in connections:
                    connection.close_after_handover()
            channel.send(p.End())
        except ChannelError as error:
            log.error("upgrade: broken off: %s", error)
            step = self.state.lost()
        finally:
            if claim >= 0:
                os.close(claim)
            listener.close()
        relay.hosts.close()  # what does not pass ends here
        relay.pending.clear()
        return step

    def _state(self) -> p.State:
        relay = self.relay
        endpoints = []
        for name, entry in relay.listed.items():
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
                )
            )
        return p.State(
            relay.discovery.index,
            str(relay.config.discovery),
            endpoints,
            list(relay.delisted),
            take_snapshot(relay.pacer),
            None if relay.fleet is None else relay.fleet.handover_state(),
        )

    # ---- behind it

    async def _attend(self, channel: Channel) -> None:
        """Until this process is ended: hear that the new one serves, or that it is gone."""
        patience = TAKEN_TIME
        while True:
            try:
                await self._readable(channel, patience)
                if not channel.waiting():
                    continue  # a call of staff has read it
                self._hear(channel.receive()[0])
            except TimeoutError:
                self._follow(self.state.overdue())
                return
            except ChannelError as error:
                log.warning("upgrade: the new process is gone: %s", error)
                self._follow(self.state.lost())
                return
            if self.state.over:
                self._follow(p.Step.END)
                return
            patience = STAFF_TIME

    def _hear(self, frame: p.Frame) -> None:
        if isinstance(frame, p.Taken):
            self.state.on_taken()
            log.info("upgrade: the new process serves")
        elif isinstance(frame, p.Bye):
            self.state.on_bye()
        else:
            raise ChannelError(f"{type(frame).__name__} out of turn")

    def _follow(self, step: p.Step) -> None:
        match step:
            case p.Step.END:
                self.relay.finished.set()
            case p.Step.END_OTHER:
                assert self.channel is not None
                log.error("upgrade: the new process does not come to serve: it is ended")
                try:
                    os.kill(self.channel.peer[0], signal.SIGKILL)
                    self.channel.receive()  # its end
                except (ChannelError, ProcessLookupError):
                    pass
                self.restart_process()
            case p.Step.START_ANEW if self.relay.stopping:  # it was told to end while it handed over
                log.error("upgrade: broken off, and this process was told to end: the folder keeps the rest")
                self.relay.finished.set()
            case p.Step.START_ANEW:
                log.error("upgrade: starting anew from the folder")
                self.restart_process()
            case _:
                pass

    def exclude(self, host: str, out: bool) -> str:
        """Staff call this process, and the relay is the other's: pass it on; why it can't be done, or nothing."""
        assert self.channel is not None
        try:
            self.channel.send(p.Exclude(host, out))
            while True:
                frame, _ = self.channel.receive()
                if isinstance(frame, p.Done):
                    return frame.error
                self._hear(frame)
        except ChannelError:
            return "the new process does not answer"


def _batches(found: Iterable[T]) -> Iterator[list[T]]:
    every = list(found)
    for start in range(0, len(every), BATCH):
        yield every[start : start + BATCH]


def _descriptors(connections: Iterable[front.Connection] | Iterable[net.Connection]) -> list[int]:
    return [connection.descriptor for connection in connections]


def _out(messages: Iterable[PendingMessage]) -> Iterator[tuple[PendingMessage, net.Exchange]]:
    for message in list(messages):
        if message.exchange is not None:
            yield message, message.exchange


def _passing(messages: Iterable[PendingMessage]) -> Iterator[tuple[PendingMessage, net.Exchange, net.Connection]]:
    """Calls that pass. That of a message which has ended meanwhile is not waited for: its connection closes."""
    for message, exchange in _out(messages):
        if not message.ended and exchange.connection is not None and exchange.connection.can_hand_over:
            yield message, exchange, exchange.connection
