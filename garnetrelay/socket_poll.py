"""A look at the sockets ahead of what a clock says.

A process that did not run (stopped, or without a core) finds its timers due and its sockets full of what came meanwhile.
The loop may run the timers first: epoll_wait that a SIGCONT interrupts comes back with nothing (signal(7)), and asyncio
then runs what is due. Whoever decides by a timer that nothing has come has to look first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

MAX_POLL_AGE_NS = (
    100_000_000  # nanoseconds without a look after which one comes first: under each wait that decides anything
)


def after_socket_poll(what: Callable[..., Any], *arguments: Any) -> None:
    """Run something once the loop has looked at its sockets, and what lay there is read: in the round after the next."""
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, lambda: what(*arguments))
