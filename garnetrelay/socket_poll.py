"""Polling of the sockets before a timer's decision.

After a process was suspended (stopped, or without a CPU) its timers are due and its sockets are full of data that arrived
meanwhile. The loop may run the timers first: an epoll_wait that SIGCONT interrupts returns nothing (signal(7)), and
asyncio then runs the timers that are due. Code that decides on a timer that nothing has arrived must poll first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

MAX_POLL_AGE_NS = 100_000_000  # sockets polled longer ago are polled again: shorter than every time-out that decides


def after_socket_poll(what: Callable[..., Any], *arguments: Any) -> None:
    """Call something once the loop has polled its sockets and read their data: in the iteration after the next."""
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, lambda: what(*arguments))
