"""The old process's side of a handover: hands the relay over at one moment, then only serves operators until it ends."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import Channel, ChannelError, HandoverSocket
from garnetrelay.handover.state_record import StateRecord
from garnetrelay.handover.transfer import calls_in_flight, handover_state, send_connections
from starlingwick import interface as io
from starlingwick.queues import NEVER

if TYPE_CHECKING:
    from garnetrelay.handover.interface import HandoverRelay

log = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 1.0  # for the first frame on a new connection
QUIESCE_TIMEOUT_S = 0.1  # for answers that have arrived in part to complete
QUIESCE_POLL_S = 0.005
TAKEN_TIMEOUT_S = 6.0  # from the last frame until the new process must serve
OPERATOR_PERIOD_S = 10.0  # for which this process serves operators after that

MESSAGE_OVERHEAD_BYTES = 3000  # upper bound of a pending message's memory besides its body


def resident_bytes(process: int) -> int:
    """The resident memory of a process; 0 if it can't be read."""
    try:
        pages = Path(f"/proc/{process}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError, ValueError):
        return 0


def restart_process() -> None:
    """Execute this program again with the same arguments: its descriptors are closed, and it recovers from the folder."""
    logging.shutdown()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the restarted program has installed a handler
    os.execv(sys.executable, sys.orig_argv)


class HandoverSender:
    """Waits for a new process, and hands the relay over to it."""

    def __init__(self, relay: HandoverRelay) -> None:
        self.relay = relay
        self.loop = asyncio.get_running_loop()
        self.state = p.SenderState()
        self.channel: Channel | None = None
        self.task: asyncio.Task[None] | None = None
        self.record: StateRecord | None = None  # set once the relay is handed over
        self.restart_process = restart_process
        self.handover_socket = HandoverSocket(relay.config.state)
        self.listener = self.handover_socket.listen()
        self.loop.add_reader(self.listener, self._accept)

    @property
    def handed_over(self) -> bool:
        """Whether the new process owns the relay."""
        return self.state.owner is p.Owner.NEW

    def close(self) -> None:
        """Stop listening for a new process; a handover in progress is cancelled."""
        self.loop.remove_reader(self.listener)
        self.handover_socket.close()
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
        self.task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("upgrade failed", exc_info=error)
            if self.handed_over:
                self._execute(self.state.on_lost())

    # ---- before the transfer

    async def _serve(self, channel: Channel) -> None:
        try:
            await self._wait_readable(channel, HELLO_TIMEOUT_S)
            frame, _ = channel.receive()
            if not isinstance(frame, p.Hello):
                raise ChannelError(f"{type(frame).__name__} frame instead of Hello")
            reason = self._refusal_reason(channel)
            if self.state.on_hello(frame.versions, not reason) is p.SenderStep.REFUSE:
                channel.send(p.Refused(reason or f"this process speaks version {p.VERSION} of the handover protocol"))
                channel.close()
                return
        except (ChannelError, TimeoutError) as error:
            log.warning("upgrade: nothing came of it: %s", error)
            channel.close()
            return
        log.info("upgrade: process %d takes over", channel.peer[0])
        self.channel = channel
        listener = await self._quiesce()
        if not self._run_final_ticks():
            self._resume()
            channel.close()
            self.channel = None
            await self.relay.server.listen(listener)
            return
        step = self._transfer(channel, listener, frame.keeps_record)
        self._execute(step)
        if step is p.SenderStep.WAIT:
            await self._follow_new_process(channel)

    def _refusal_reason(self, channel: Channel) -> str:
        """Why the relay can't be handed over now; '' if it can."""
        relay = self.relay
        if relay.stopping or not relay.serving or relay.recovering:
            return "the old process is starting or stopping"
        if relay.journal.write_failed:
            return "the old process's folder accepts no records"
        ours, theirs = resident_bytes(os.getpid()), resident_bytes(channel.peer[0])
        pending = sum(len(message.body) + MESSAGE_OVERHEAD_BYTES for message in relay.pending.values())
        if not p.fits_memory(relay.config.memory_bytes, ours, theirs, pending):
            return (
                f"{relay.config.memory_bytes >> 20} MB are too little for both processes: the old one uses "
                f"{ours >> 20}, the new one {theirs >> 20} and needs {pending >> 20} more"
            )
        return ""

    async def _wait_readable(self, channel: Channel, timeout: float) -> None:
        ready: asyncio.Future[None] = self.loop.create_future()

        def wake() -> None:
            if not ready.done():
                ready.set_result(None)

        self.loop.add_reader(channel.socket, wake)
        try:
            async with asyncio.timeout(timeout):
                await ready
        finally:
            self.loop.remove_reader(channel.socket)

    async def _quiesce(self) -> socket.socket:
        """Begin no call and accept no connection any more, and bring calls in flight to a point where they can be
        handed over; those that do not get there in time are given up."""
        relay = self.relay
        relay.post(io.Stopping(time.monotonic_ns()))
        listener = await relay.server.listener.detach()
        end = time.monotonic() + QUIESCE_TIMEOUT_S
        await asyncio.sleep(0)
        while self._is_busy() and time.monotonic() < end or relay.sync_worker is not None and relay.sync_worker.running:
            await asyncio.sleep(QUIESCE_POLL_S)
        for _, exchange in list(calls_in_flight(relay.pending.values())):
            if exchange.connection is None:
                exchange.abandon()
            elif not exchange.connection.can_hand_over:
                exchange.give_up(io.Status.CANCELLED)
        return listener

    def _is_busy(self) -> bool:
        relay = self.relay
        return bool(relay.tick_scheduled or relay.unrecorded_ticks or relay.hosts.opening) or any(
            exchange.connection is None or not exchange.connection.can_hand_over
            for _, exchange in calls_in_flight(relay.pending.values())
        )

    def _run_final_ticks(self) -> bool:
        """Run the last ticks; returns whether all their decisions are on record. From here on nothing waits for the
        loop."""
        for _ in range(8):
            self.relay.tick()
            if not self.relay.inbox:
                break
        return not self.relay.inbox and self.relay.journal.flush_and_sync()

    def _resume(self) -> None:
        log.error("upgrade: not now, the folder takes no records")
        self.relay.post(io.Stopping(NEVER))

    # ---- the transfer

    def _transfer(self, channel: Channel, listener: socket.socket, keeps_record: bool) -> p.SenderStep:
        relay = self.relay
        step = self.state.on_transfer()
        if relay.predecessor is not None:
            relay.predecessor.bye()  # else it would take this process's end for a crash
        relay.retire()
        claim = relay.journal.hand_over()
        try:
            state = handover_state(relay)
            self.record = StateRecord.create(state)
            shared = [self.record.descriptor] if self.record is not None and keeps_record else []
            channel.send(state, [claim, listener.fileno(), *shared])
            os.close(claim)
            claim = -1
            send_connections(channel, relay)
            channel.send(p.End())
        except ChannelError as error:
            log.error("upgrade: the transfer failed: %s", error)
            step = self.state.on_lost()
        finally:
            if claim >= 0:
                os.close(claim)
            listener.close()
        relay.hosts.close()  # connections that are not handed over are closed
        relay.server.close_after_handover()
        relay.pending.clear()
        return step

    # ---- after the transfer

    async def _follow_new_process(self, channel: Channel) -> None:
        """Wait until the new process serves, and then until this process may end; recover if the new one fails."""
        timeout = TAKEN_TIMEOUT_S
        while True:
            try:
                await self._wait_readable(channel, timeout)
                if not channel.has_input():
                    continue  # an operator command has read it already
                self._on_frame(channel.receive()[0])
            except TimeoutError:
                self._execute(self.state.on_timeout())
                return
            except ChannelError as error:
                log.warning("upgrade: the new process is gone: %s", error)
                self._execute(self.state.on_lost())
                return
            if self.state.bye_received:
                self._execute(p.SenderStep.END)
                return
            timeout = OPERATOR_PERIOD_S

    def _on_frame(self, frame: p.Frame) -> None:
        if isinstance(frame, p.Taken):
            self.state.on_taken()
            log.info("upgrade: the new process serves")
        elif isinstance(frame, p.Bye):
            self.state.on_bye()
        else:
            raise ChannelError(f"{type(frame).__name__} frame not expected here")

    def _execute(self, step: p.SenderStep) -> None:
        match step:
            case p.SenderStep.END:
                self.relay.finished.set()
            case p.SenderStep.KILL_NEW_PROCESS:
                assert self.channel is not None
                log.error("upgrade: the new process does not come to serve: it is ended")
                try:
                    os.kill(self.channel.peer[0], signal.SIGKILL)
                    self.channel.receive()  # returns once the process has ended
                except (ChannelError, ProcessLookupError):
                    pass
                self._restart()
            case p.SenderStep.RESTART if self.relay.stopping:  # it was told to end during the handover
                log.error("upgrade: failed while this process was told to end: the folder keeps what is pending")
                self.relay.finished.set()
            case p.SenderStep.RESTART:
                log.error("upgrade: starting anew from the folder")
                self._restart()
            case _:
                pass

    def _restart(self) -> None:
        """Start again, with all that this process and the new one were told or have learned."""
        if self.record is not None:
            self.record.leave_to_next_program(os.environ)
        self.restart_process()

    def reload(self) -> None:
        """Pass a SIGHUP on to the new process, which owns the relay. It handles one at any time since before it asked for
        the relay. If it is gone, this process starts again from the folder, and reads the configuration as well."""
        assert self.channel is not None
        process = self.channel.peer[0]
        log.info("upgrade: SIGHUP is passed on to process %d", process)
        with contextlib.suppress(ProcessLookupError):
            os.kill(process, signal.SIGHUP)

    def exclude(self, host: str, out: bool) -> str:
        """Forward an operator command to the new process, which owns the relay; returns the error, or ''."""
        assert self.channel is not None
        try:
            self.channel.send(p.Exclude(host, out))
            while True:
                frame, _ = self.channel.receive()
                if isinstance(frame, p.Done):
                    return frame.error
                self._on_frame(frame)
        except ChannelError:
            return "the new process does not answer"
