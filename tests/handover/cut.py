"""A daemon that kills itself at one point of a handover: ``python -m tests.handover.cut receive:State:after``.

A point is an operation on the channel (``send`` or ``receive``), a frame, and the moment ``before`` or ``after`` it. With
``hang`` instead of a moment the process sleeps there. The program itself contains none of this.
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


def interrupt_at(point: str) -> None:
    operation, kind, moment = point.split(":")
    send, receive = Channel.send, Channel.receive

    def reached(at: str, frame: Any, now: str) -> None:
        if (at, type(frame).__name__) != (operation, kind) or now not in (moment, "before" if moment == "hang" else ""):
            return
        if moment == "hang":
            time.sleep(3600)
        os.kill(os.getpid(), signal.SIGKILL)

    def patched_send(self: Channel, frame: Any, descriptors: list[int] | None = None) -> None:
        reached("send", frame, "before")
        send(self, frame, descriptors)
        reached("send", frame, "after")

    def patched_receive(self: Channel, timeout: float = FRAME_TIMEOUT_S) -> tuple[Frame, list[int]]:
        received = receive(self, timeout)
        reached("receive", received[0], "after")
        return received

    Channel.send, Channel.receive = patched_send, patched_receive  # type: ignore[method-assign]


if __name__ == "__main__":
    interrupt_at(sys.argv[1])
    os._exit(program.main())
