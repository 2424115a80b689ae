"""The socket between the two processes: frames with descriptors, and who is at the other end.

The listener stands in the state folder under mode 0600; the other end's user is checked besides. Frames are sent and read
with a time limit and without the loop: what passes, passes between two turns.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import struct
from pathlib import Path

from garnetrelay.handover.protocol import HEAD, Frame, ProtocolError, decode, encode, lengths

NAME = "upgrade"
FRAME_TIME = 2.0  # seconds in which a frame goes or comes whole
_CREDENTIALS = struct.Struct("3i")


class ChannelError(OSError):
    """The other side is gone, silent, or says what can't be understood."""


class Channel:
    """A connected socket."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        connection.settimeout(FRAME_TIME)

    @property
    def peer(self) -> tuple[int, int]:
        """Process and user at the other end, as the kernel knows them."""
        raw = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        process, user, _ = _CREDENTIALS.unpack(raw)
        return process, user

    def send(self, frame: Frame, descriptors: list[int] | None = None) -> None:
        """ChannelError where it can't go."""
        head, body = encode(frame, len(descriptors or ()))
        try:
            socket.send_fds(self.socket, [head], descriptors or [])  # a few bytes go whole
            self.socket.sendall(body)
        except OSError as error:
            raise ChannelError(f"sending: {error}") from None

    def receive(self, patience: float = FRAME_TIME) -> tuple[Frame, list[int]]:
        """The next frame, with its descriptors; ChannelError where none comes."""
        descriptors: list[int] = []
        try:
            self.socket.settimeout(patience)
            head, descriptors, _, _ = socket.recv_fds(self.socket, HEAD.size, 64)
            self.socket.settimeout(FRAME_TIME)
            head += self._exactly(HEAD.size - len(head))
            length, count = lengths(head)
            body = self._exactly(length)
            if len(descriptors) != count:
                raise ProtocolError(f"{len(descriptors)} descriptors of {count}")
            for descriptor in descriptors:
                os.set_inheritable(descriptor, False)
            return decode(body), descriptors
        except (OSError, ProtocolError) as error:
            for descriptor in descriptors:
                os.close(descriptor)
            raise ChannelError(f"receiving: {error}") from None

    def waiting(self) -> bool:
        """Whether something lies there, or the end."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def _exactly(self, length: int) -> bytes:
        data = bytearray()
        while len(data) < length:
            piece = self.socket.recv(min(length - len(data), 1 << 20))
            if not piece:
                raise ChannelError("its end")
            data += piece
        return bytes(data)

    def close(self) -> None:
        """Close the socket; descriptors that were received stay open."""
        self.socket.close()


class HandoverSocket:
    """The folder's socket. Its path may be longer than a socket's name can be: it is named through the folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._name = f"/proc/self/fd/{self._folder}/{NAME}"
        self.listener: socket.socket | None = None

    def listen(self) -> socket.socket:
        """Take the place of whoever listened before."""
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
        """A channel to the process that serves; None where there is none."""
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            connection.settimeout(FRAME_TIME)
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
        """Stop listening; the folder's socket stays for whoever listens next."""
        if self.listener is not None:
            self.listener.close()
        os.close(self._folder)
