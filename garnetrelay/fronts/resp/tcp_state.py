"""What the kernel knows of a client's connection: whether the client has left, and how long its bytes have waited.

Source: linux/tcp.h, ``struct tcp_info``.
"""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

# tcpi_state; tcpi_unacked; tcpi_last_data_recv
_TCP_INFO = struct.Struct("=B23xI24xI")
_CLOSE, _CLOSE_WAIT = 7, 8  # the states behind a reset and behind the client's FIN


class TcpState(NamedTuple):
    """The state of a connection at one moment."""

    reset: bool  # the client has closed its socket: nobody reads what is written
    ended: bool  # the client sends nothing more; its socket may be closed, or wait for answers
    unacknowledged: bool  # the client's kernel has not acknowledged all that was written
    idle_ms: int  # since the kernel received data, in milliseconds


def read_tcp_state(connection: socket.socket) -> TcpState:
    """Ask the kernel; OSError if the socket is closed here."""
    raw = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    state, unacknowledged, idle_ms = _TCP_INFO.unpack(raw)
    return TcpState(state == _CLOSE, state == _CLOSE_WAIT, bool(unacknowledged), idle_ms)
