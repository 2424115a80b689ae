"""The new process's side of a handover: asks for the relay, and receives its state and connections."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from garnetrelay.config.deployment import Address
from garnetrelay.discovery.host_list import ListUpdate
from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import FRAME_TIMEOUT_S, Channel, ChannelError, HandoverSocket
from garnetrelay.handover.learned import LearnedRecorder, LearningRelay
from garnetrelay.handover.state_record import StateRecord
from garnetrelay.store.preload import Preloaded, preload_folder
from garnetrelay.store.reading import segment_number
from garnetrelay.store.storage import Folder
from starlingwick import interface as io

log = logging.getLogger(__name__)

TRANSFER_START_TIMEOUT_S = 4.0  # from HELLO to the first frame of the answer


@dataclass(slots=True)
class ReceivedHandover:
    """A relay as the old process handed it over."""

    channel: Channel
    state: p.State
    claim: int
    listener: socket.socket
    clients: list[tuple[p.ClientConnection, socket.socket]] = field(default_factory=list)
    idle: list[tuple[p.IdleConnection, socket.socket]] = field(default_factory=list)
    calls: dict[str, tuple[p.CallInFlight, socket.socket]] = field(default_factory=dict)
    record: StateRecord | None = None  # None: the old process is of a version without one

    def confirm_taken(self) -> None:
        """Tell the old process that this one serves."""
        try:
            self.channel.send(p.Taken())
        except ChannelError as error:  # it is gone already and needs no confirmation
            log.warning("upgrade: the old process can't be told that this one serves: %s", error)

    def discard(self) -> None:
        """Close everything: the old process died before it had sent all."""
        for connection in (
            self.listener,
            *(s for _, s in self.clients),
            *(s for _, s in self.idle),
            *(s for _, s in self.calls.values()),
        ):
            connection.close()
        os.close(self.claim)
        if self.record is not None:
            self.record.close()
        self.channel.close()


def preload_journal(folder: Path) -> Preloaded | None:
    """Read the journal while another process still serves from the folder; None if none does. After the handover only
    the records written since are left to read."""
    storage = Folder(folder)
    if not storage.is_locked():
        return None
    collecting = gc.isenabled()
    gc.disable()  # everything that is created here stays alive
    try:
        return preload_folder(storage, segment_number)
    finally:
        if collecting:
            gc.enable()


def request_handover(folder: Path) -> ReceivedHandover | None:
    """Ask the process that serves from a folder for its relay. None if there is no such process, if it dies or breaks
    off the handover, or if it refuses: this process then starts from the folder, and the claim on the folder shows
    whether it may."""
    handover_socket = HandoverSocket(folder)
    try:
        channel = handover_socket.connect()
    finally:
        handover_socket.close()
    if channel is None:
        return None
    handover: ReceivedHandover | None = None
    state, timeout = p.ReceiverState(), TRANSFER_START_TIMEOUT_S
    try:
        channel.send(p.Hello([p.VERSION], keeps_record=True))
        while state.owner is p.Owner.OLD:
            frame, descriptors = channel.receive(timeout)
            timeout = FRAME_TIMEOUT_S
            if isinstance(frame, p.Refused):
                raise ChannelError(f"refused: {frame.reason}")
            if state.on_frame(frame, len(descriptors)) is p.ReceiverStep.START_FROM_FOLDER:
                for descriptor in descriptors:
                    os.close(descriptor)
                raise ChannelError(f"{type(frame).__name__} frame not expected here")
            handover = _add_frame(channel, handover, frame, descriptors)
        return handover
    except ChannelError as error:
        log.warning("upgrade: starting from the folder: %s", error)
        if handover is not None:
            handover.discard()
        else:
            channel.close()
        return None


def _add_frame(
    channel: Channel, handover: ReceivedHandover | None, frame: p.Frame, descriptors: list[int]
) -> ReceivedHandover:
    """Add a frame's content to the handover; the caller has checked its order and counts."""
    if isinstance(frame, p.State):
        claim, listener, *shared = descriptors
        record = StateRecord(shared[0]) if shared else None
        return ReceivedHandover(channel, frame, claim, socket.socket(fileno=listener), record=record)
    assert handover is not None
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    match frame:
        case p.Clients(clients):
            handover.clients += zip(clients, sockets, strict=True)
        case p.IdleHosts(hosts):
            handover.idle += zip(hosts, sockets, strict=True)
        case p.Calls(calls):
            handover.calls.update((call.ref, (call, connection)) for call, connection in zip(calls, sockets, strict=True))
    return handover


class PredecessorLink:
    """The connection to the old process, which forwards operator commands that exclude or include hosts. As long as it is
    open, that process starts again if this one dies: it finds in the state record what this one was told."""

    def __init__(self, handover: ReceivedHandover, relay: LearningRelay, exclude: Callable[[str, bool], str]) -> None:
        channel = handover.channel
        self._loop = asyncio.get_running_loop()
        self._channel: Channel | None = channel
        self._exclude = exclude
        self._record = handover.record
        self._recorder = None if self._record is None else LearnedRecorder(relay, self._record.append)
        self._loop.add_reader(channel.socket, self._read)

    def _read(self) -> None:
        channel = self._channel
        if channel is None:
            return
        try:
            frame, _ = channel.receive()
            if isinstance(frame, p.Exclude):
                channel.send(p.Done(self._exclude(frame.host, frame.out)))
        except ChannelError:  # the old process has ended, as expected
            self._disconnect()

    def on_list_update(self, update: ListUpdate) -> None:
        """The list of hosts has changed."""
        if self._recorder is not None:
            self._recorder.on_list_update(update)

    def on_tick(self, events: Iterable[io.Event]) -> None:
        """The Pacer has handled a batch of events."""
        if self._recorder is not None:
            self._recorder.on_tick(events)

    def bye(self) -> None:
        """Tell the old process that this one stops and that its end is no failure."""
        if self._channel is not None:
            with contextlib.suppress(ChannelError):
                self._channel.send(p.Bye())
            self._disconnect()

    def _disconnect(self) -> None:
        channel, self._channel = self._channel, None
        record, self._record, self._recorder = self._record, None, None
        if record is not None:
            record.close()
        if channel is not None:
            self._loop.remove_reader(channel.socket)
            channel.close()


def discovery_address(previous: str, configured: Address, in_file: Address) -> Address:
    """The address of discovery to use: that in the file if a SIGHUP has moved the old process to it, else the one that
    this process was started with."""
    return in_file if previous == str(in_file) else configured
