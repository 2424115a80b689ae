"""Shares the event loop among clients: their connections handle commands in turns, a bounded number in an iteration.

A client that sends commands at full speed would otherwise have all that was read of it, thousands of commands, handled
before any other client is heard. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_COMMANDS_PER_ITERATION = 8  # of all connections that wait for their turn


class CommandSource(Protocol):
    """A connection with commands that were received and not handled."""

    def handle_one(self) -> bool:
        """Handle the next command; False if there is none that can be handled now."""
        ...


class CommandQueue:
    """The connections that wait for their turn. ``call_soon`` calls a function in the next iteration of the loop."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._waiting: dict[CommandSource, None] = {}  # the next one first
        self._scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, source: CommandSource) -> None:
        """Let a connection have a turn behind all that wait already."""
        self._waiting[source] = None
        self._schedule()

    def discard(self, source: CommandSource) -> None:
        """Drop a connection from the queue."""
        self._waiting.pop(source, None)

    def run_all(self) -> None:
        """Handle everything that was received, before the process ends."""
        while self._waiting:
            self._give_turn()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        try:
            for _ in range(MAX_COMMANDS_PER_ITERATION):
                if not self._waiting:
                    return
                self._give_turn()
        finally:
            if self._waiting:
                self._schedule()

    def _give_turn(self) -> None:
        source = next(iter(self._waiting))
        del self._waiting[source]
        if source.handle_one():
            self._waiting[source] = None
