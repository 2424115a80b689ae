"""Selects among several calls and watches of discovery the one in use, and sets their timeouts. No I/O and no clock.

A working watch is replaced only by another that works: a new call runs in parallel until it has delivered a line. That
holds if the watch becomes unresponsive, and if discovery has moved: the old address is watched until the new one has
answered. Among the calls to one address, the first that delivers a line becomes the watch, and the others are closed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from garnetrelay.config.deployment import Address

# The protocol sends a line every 2 s, the first at once if the whole list is requested. A change that a silent watch
# misses counts as received 6 s after the watch became silent, so its failure must be detected, and the next call
# answered, within that time.
# A silent call or watch gets another call in parallel long before it ends: a change that discovery writes to a connection
# that has just ended counts as received, though the relay never sees it.
ANSWER_TIMEOUT_S = 6.0  # for a call to be connected and answered
FIRST_LINE_TIMEOUT_S = 1.25  # from there to the whole list, if it was requested
LINE_STALL_TIMEOUT_S = 1.0  # without further bytes of a line that has begun
UNRESPONSIVE_AFTER_S = 2.5  # without a complete line; then another call is made in parallel
SILENCE_TIMEOUT_S = 8.0  # without a complete line; then the watch ends
MAX_CALLS = 6  # connections to discovery at a time


class State(Enum):
    """The state of a call to discovery. The values are written to the log."""

    CALLING = "calling"
    ACCEPTED = "taken up"  # answered 200, no line yet
    OPEN = "open"  # a line has been received
    UNRESPONSIVE = "doubted"  # no line for too long, or a line that has begun is not completed


@dataclass(slots=True, eq=False)
class Watch:
    """One call to discovery, and the watch that it becomes."""

    number: int
    address: Address
    generation: int  # how often discovery had moved when the call was made
    index: int  # the last version received on it, or the one that it continues from
    state: State = State.CALLING
    reported: bool = False  # the Pacer has been told of its failure

    def __str__(self) -> str:
        return f"watch {self.number} at {self.address}"


@dataclass(slots=True)
class Watches:
    """All open calls and watches, oldest first."""

    address: Address
    index: int  # the last version received from this address
    generation: int = 0
    calls: int = 0  # since the start of the process
    active: list[Watch] = field(default_factory=list)

    def begin(self) -> tuple[Watch, list[Watch]]:
        """Begin a call. Returns its watch, and those to close so that at most ``MAX_CALLS`` are open."""
        waiting = [watch for watch in self.active if watch.state is not State.OPEN]
        closing = waiting[: max(0, len(self.active) + 1 - MAX_CALLS)]
        self._drop(closing)
        self.calls += 1
        watch = Watch(self.calls, self.address, self.generation, self.index)
        self.active.append(watch)
        return watch, closing

    def move(self, address: Address) -> None:
        """Use another address of discovery. It may number its versions differently: if asked for the changes since a
        version of the old address, it might not send the list. So the whole list is requested."""
        self.address, self.index = address, 0
        self.generation += 1

    def is_current(self, watch: Watch) -> bool:
        """Whether a watch is at the current address of discovery."""
        return watch.generation == self.generation

    @property
    def up_to_date(self) -> bool:
        """Whether a watch at the current address is open and delivering lines, so that the list is current."""
        return any(watch.state is State.OPEN and self.is_current(watch) for watch in self.active)

    def on_accepted(self, watch: Watch) -> None:
        """Discovery has answered 200."""
        watch.state = State.ACCEPTED

    def on_line(self, watch: Watch) -> list[Watch]:
        """A complete line was received. Returns the watches to close, as this one replaces them."""
        watch.state, watch.reported = State.OPEN, False
        closing = [other for other in self.active if other is not watch and other.generation <= watch.generation]
        self._drop(closing)
        return closing

    def on_version(self, watch: Watch, index: int) -> None:
        """A version was received."""
        watch.index = index
        if self.is_current(watch):
            self.index = index

    def on_unresponsive(self, watch: Watch) -> bool:
        """No line was received for too long. Returns whether to report that to the Pacer."""
        watch.state = State.UNRESPONSIVE
        if watch.reported or not self.is_current(watch):
            return False
        watch.reported = True
        return True

    def on_ended(self, watch: Watch) -> bool:
        """A call or watch has ended. Returns whether to report that to the Pacer: not if another watch is open, not for a
        previous address, and not if a later call is pending, since the Pacer's schedule counts from that one."""
        if watch not in self.active:
            return False
        self._drop([watch])
        later = watch.state is State.CALLING and any(other.number > watch.number for other in self.active)
        return self.is_current(watch) and not watch.reported and not self.up_to_date and not later

    def _drop(self, dropped: list[Watch]) -> None:
        self.active = [watch for watch in self.active if watch not in dropped]


@dataclass(slots=True)
class Timeouts:
    """When a silent call becomes unresponsive and when it ends, in seconds of the caller's clock."""

    end_at: float  # then it ends
    unresponsive_at: float | None = None  # then another call is made in parallel; None: not answered yet
    _last_line_at: float = 0.0

    @classmethod
    def begin(cls, now: float) -> Timeouts:
        """The timeouts of a new call."""
        return cls(now + ANSWER_TIMEOUT_S)

    def on_accepted(self, now: float, whole_list_requested: bool) -> None:
        """Discovery has answered 200. The whole list follows at once, changes only when there are any."""
        self.on_line(now)
        if whole_list_requested:
            self.unresponsive_at = now + FIRST_LINE_TIMEOUT_S

    def on_line(self, now: float) -> None:
        """A complete line was received. Single bytes do not extend the timeouts, only complete lines do."""
        self._last_line_at = now
        self.unresponsive_at, self.end_at = now + UNRESPONSIVE_AFTER_S, now + SILENCE_TIMEOUT_S

    def on_partial_line(self, now: float) -> None:
        """Part of a line was received, without its end."""
        if self.unresponsive_at is not None:
            self.unresponsive_at = min(self._last_line_at + UNRESPONSIVE_AFTER_S, now + LINE_STALL_TIMEOUT_S)
