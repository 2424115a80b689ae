"""The socket between the two processes of a handover: frames with file descriptors, and the identity of the peer.

The listening socket is in the state folder with mode 0600; the peer's user is checked as well. Frames are sent and
received with a time limit and block the loop: a handover runs between two ticks.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import struct
from pathlib import Path

from garnetrelay.handover.protocol import HEAD, Frame, ProtocolError, decode, encode, lengths

SOCKET_NAME = "upgrade"
FRAME_TIMEOUT_S = 2.0  # for sending or receiving one whole frame
_CREDENTIALS = struct.Struct("3i")


class ChannelError(OSError):
    """The other process has closed the connection, does not respond, or sent a malformed frame."""


class Channel:
    """A connected socket."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        connection.settimeout(FRAME_TIMEOUT_S)

    @property
    def peer(self) -> tuple[int, int]:
        """Process ID and user ID of the other end, as reported by the kernel."""
        raw = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        process, user, _ = _CREDENTIALS.unpack(raw)
        return process, user

    def send(self, frame: Frame, descriptors: list[int] | None = None) -> None:
        """Send a frame; ChannelError if that fails."""
        head, body = encode(frame, len(descriptors or ()))
        try:
            socket.send_fds(self.socket, [head], descriptors or [])  # so few bytes are never sent in part
            self.socket.sendall(body)
        except OSError as error:
            raise ChannelError(f"sending: {error}") from None

    def receive(self, timeout: float = FRAME_TIMEOUT_S) -> tuple[Frame, list[int]]:
        """The next frame, with its descriptors; ChannelError if none arrives."""
        descriptors: list[int] = []
        try:
            self.socket.settimeout(timeout)
            head, descriptors, _, _ = socket.recv_fds(self.socket, HEAD.size, 64)
            self.socket.settimeout(FRAME_TIMEOUT_S)
            head += self._receive_exactly(HEAD.size - len(head))
            length, count = lengths(head)
            body = self._receive_exactly(length)
            if len(descriptors) != count:
                raise ProtocolError(f"{len(descriptors)} descriptors received, expected {count}")
            for descriptor in descriptors:
                os.set_inheritable(descriptor, False)
            return decode(body), descriptors
        except (OSError, ProtocolError) as error:
            for descriptor in descriptors:
                os.close(descriptor)
            raise ChannelError(f"receiving: {error}") from None

    def has_input(self) -> bool:
        """Whether data, or the end of the stream, can be read at once."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def _receive_exactly(self, length: int) -> bytes:
        data = bytearray()
        while len(data) < length:
            piece = self.socket.recv(min(length - len(data), 1 << 20))
            if not piece:
                raise ChannelError("connection closed by the other process")
            data += piece
        return bytes(data)

    def close(self) -> None:
        """Close the socket; received descriptors stay open."""
        self.socket.close()


class HandoverSocket:
    """The Unix socket in the state folder. Its path may be longer than a socket address allows, so the address goes
    through a descriptor of the folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._name = f"/proc/self/fd/{self._folder}/{SOCKET_NAME}"
        self.listener: socket.socket | None = None

    def listen(self) -> socket.socket:
        """Listen, replacing the socket of any earlier process."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._name)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            before = os.umask(0o177)
            try:
                listener.bind(self._name)
            finally:
                os.umask(before)
            listener.listen(4)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        return listener

    def connect(self) -> Channel | None:
        """A channel to the process that serves; None if there is none."""
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            connection.settimeout(FRAME_TIMEOUT_S)
            connection.connect(self._name)
        except OSError:
            connection.close()
            return None
        channel = Channel(connection)
        if channel.peer[1] != os.getuid():
            channel.close()
            return None
        return channel

    def close(self) -> None:
        """Stop listening; the socket's file stays in the folder for the next process to replace."""
        if self.listener is not None:
            self.listener.close()
        os.close(self._folder)
