"""The new process's side: asks for the relay, and takes up what comes."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from garnetrelay.config.deployment import Address
from garnetrelay.handover import protocol as p
from garnetrelay.handover.channel import FRAME_TIME, Channel, ChannelError, HandoverSocket
from garnetrelay.store.preload import Preloaded, preload_folder
from garnetrelay.store.reading import segment_number
from garnetrelay.store.storage import Folder

log = logging.getLogger(__name__)

GIVE_TIME = 4.0  # seconds from our hello to the last frame


@dataclass(slots=True)
class ReceivedHandover:
    """A relay as it passed to this process."""

    channel: Channel
    state: p.State
    claim: int
    listener: socket.socket
    clients: list[tuple[p.Client, socket.socket]] = field(default_factory=list)
    idle: list[tuple[p.Idle, socket.socket]] = field(default_factory=list)
    calls: dict[str, tuple[p.Out, socket.socket]] = field(default_factory=dict)

    def confirm_taken(self) -> None:
        """This process serves."""
        try:
            self.channel.send(p.Taken())
        except ChannelError as error:  # it is gone already: nothing is owed to it
            log.warning("upgrade: the old process does not hear: %s", error)

    def discard(self) -> None:
        """Let go of all: the other side died before it had sent everything."""
        for connection in (
            self.listener,
            *(s for _, s in self.clients),
            *(s for _, s in self.idle),
            *(s for _, s in self.calls.values()),
        ):
            connection.close()
        os.close(self.claim)
        self.channel.close()


def preload_journal(folder: Path) -> Preloaded | None:
    """What the process that serves has on record by now; None where none does. This takes its time while it serves:
    behind the hand-over only what came since is left to read."""
    door = Folder(folder)
    if not door.is_locked():
        return None
    collecting = gc.isenabled()
    gc.disable()  # all that is made stays
    try:
        return preload_folder(door, segment_number)
    finally:
        if collecting:
            gc.enable()


def request_handover(folder: Path) -> ReceivedHandover | None:
    """The relay of the process that serves from a folder; None where none does, or where it dies of it: then a
    start from the folder is right. So it is where it does not give the relay away: then the claim says the rest."""
    door = HandoverSocket(folder)
    try:
        channel = door.connect()
    finally:
        door.close()
    if channel is None:
        return None
    found: ReceivedHandover | None = None
    taking, patience = p.ReceiverState(), GIVE_TIME
    try:
        channel.send(p.Hello([p.VERSION]))
        while taking.owner is p.Owner.OLD:
            frame, descriptors = channel.receive(patience)
            patience = FRAME_TIME
            if isinstance(frame, p.Refused):
                raise ChannelError(f"refused: {frame.why}")
            if taking.heard(frame, len(descriptors)) is p.Turn.FROM_FOLDER:
                for descriptor in descriptors:
                    os.close(descriptor)
                raise ChannelError(f"{type(frame).__name__} out of turn")
            found = _take(channel, found, frame, descriptors)
        return found
    except ChannelError as error:
        log.warning("upgrade: starting from the folder: %s", error)
        if found is not None:
            found.discard()
        else:
            channel.close()
        return None


def _take(channel: Channel, found: ReceivedHandover | None, frame: p.Frame, descriptors: list[int]) -> ReceivedHandover:
    """Keep what a frame brought; its order and counts have been checked."""
    if isinstance(frame, p.State):
        claim, listener = descriptors
        return ReceivedHandover(channel, frame, claim, socket.socket(fileno=listener))
    assert found is not None
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    match frame:
        case p.Clients(clients):
            found.clients += zip(clients, sockets, strict=True)
        case p.IdleHosts(hosts):
            found.idle += zip(hosts, sockets, strict=True)
        case p.Calls(calls):
            found.calls.update((call.ref, (call, connection)) for call, connection in zip(calls, sockets, strict=True))
    return found


class PredecessorLink:
    """What the old process still has to say: hosts that staff take out there."""

    def __init__(self, channel: Channel, exclude: Callable[[str, bool], str]) -> None:
        self._loop = asyncio.get_running_loop()
        self._channel: Channel | None = channel
        self._exclude = exclude
        self._loop.add_reader(channel.socket, self._read)

    def _read(self) -> None:
        channel = self._channel
        if channel is None:
            return
        try:
            frame, _ = channel.receive()
            if isinstance(frame, p.Exclude):
                channel.send(p.Done(self._exclude(frame.host, frame.out)))
        except ChannelError:  # it has ended, as it is to
            self._drop()

    def bye(self) -> None:
        """This process stops: its end is no failure."""
        if self._channel is not None:
            with contextlib.suppress(ChannelError):
                self._channel.send(p.Bye())
            self._drop()

    def _drop(self) -> None:
        channel, self._channel = self._channel, None
        if channel is not None:
            self._loop.remove_reader(channel.socket)
            channel.close()


def discovery_address(told: str, configured: Address, in_file: Address) -> Address:
    """Where to watch: a SIGHUP has moved the old process to what the file says; else what this start was told."""
    return in_file if told == str(in_file) else configured
