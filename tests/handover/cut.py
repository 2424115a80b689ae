"""A daemon that ends itself at one point of an upgrade: ``python -m tests.handover.cut receive:State:after``.

A point is an end of the channel (``send`` or ``receive``), a frame, and a side of it (``before``, ``after``); ``hang`` in
place of a side stands still there instead. Nothing of this is part of the program.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from typing import Any

from garnetrelay import __main__ as program
from garnetrelay.handover.channel import FRAME_TIMEOUT_S, Channel
from garnetrelay.handover.protocol import Frame

OLD = (
    "receive:Hello:after",
    "send:State:before",
    "send:State:after",
    "send:Clients:before",
    "send:Clients:after",
    "send:IdleHosts:before",
    "send:IdleHosts:after",
    "send:Calls:before",
    "send:Calls:after",
    "send:End:before",
    "send:End:after",
    "receive:Taken:after",
)
NEW = (
    "send:Hello:before",
    "send:Hello:after",
    "receive:State:after",
    "receive:Clients:after",
    "receive:IdleHosts:after",
    "receive:Calls:after",
    "receive:End:after",
    "send:Taken:before",
    "send:Taken:after",
)


def cut_at(point: str) -> None:
    where, kind, side = point.split(":")
    send, receive = Channel.send, Channel.receive

    def reached(end: str, frame: Any, now: str) -> None:
        if (end, type(frame).__name__) != (where, kind) or now not in (side, "before" if side == "hang" else ""):
            return
        if side == "hang":
            time.sleep(3600)
        os.kill(os.getpid(), signal.SIGKILL)

    def sends(self: Channel, frame: Any, descriptors: list[int] | None = None) -> None:
        reached("send", frame, "before")
        send(self, frame, descriptors)
        reached("send", frame, "after")

    def receives(self: Channel, timeout: float = FRAME_TIMEOUT_S) -> tuple[Frame, list[int]]:
        found = receive(self, timeout)
        reached("receive", found[0], "after")
        return found

    Channel.send, Channel.receive = sends, receives  # type: ignore[method-assign]


if __name__ == "__main__":
    cut_at(sys.argv[1])
    os._exit(program.main())
