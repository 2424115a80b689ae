"""Which of several calls and watches of discovery counts, and for how long one may say nothing. No I/O and no clock.

A watch that works is given up only for one that works: a call stands beside it until it has brought a line. That holds
where the watch has fallen silent, and where discovery has moved: the old address is listened to until the new one has
answered. Among calls at one address the first that brings a line is the watch, and the others close.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from garnetrelay.config.deployment import Address

# Of the protocol, for all customers alike: a line comes every 2 s, the first at once where all is asked for, and what a
# silent watch misses is held to be told 6 s after it fell silent. Its end has to be seen, and the next one answered,
# within that.
# A call or watch that says nothing has another beside it long before it ends: what is written to one that has just ended
# is told, and not heard.
ANSWER_TIME = 6.0  # seconds for a call to be connected and taken up
FIRST_LINE = 1.25  # seconds from there to the whole list, where all was asked for
LINE_TIME = 1.0  # seconds in which nothing comes of a line that has begun
DOUBT_AFTER = 2.5  # seconds without a whole line, behind which another call is made
SILENCE_TIMEOUT_S = 8.0  # seconds without a whole line, behind which the watch ends
MOST_CALLS = 6  # connections to discovery at a time


class State(Enum):
    """What a call of discovery has come to."""

    CALLING = "calling"
    TAKEN_UP = "taken up"  # answered 200, no line yet
    OPEN = "open"  # a line has come
    DOUBTED = "doubted"  # and none for too long, or the one that has begun does not end


@dataclass(slots=True, eq=False)
class Watch:
    """One call of discovery, and the watch that it becomes."""

    number: int
    address: Address
    generation: int  # how often discovery had moved by then
    index: int  # the version that it has told, or is asked to go on from
    state: State = State.CALLING
    reported: bool = False  # the Pacer has heard that it can't be relied on

    def __str__(self) -> str:
        return f"watch {self.number} at {self.address}"


@dataclass(slots=True)
class Watches:
    """All that are out, oldest first."""

    address: Address
    index: int  # the latest version in force that this address has told
    generation: int = 0
    calls: int = 0  # since the start
    out: list[Watch] = field(default_factory=list)

    def begin(self) -> tuple[Watch, list[Watch]]:
        """A new call, and those that close to make room for it."""
        waiting = [watch for watch in self.out if watch.state is not State.OPEN]
        closing = waiting[: max(0, len(self.out) + 1 - MOST_CALLS)]
        self._drop(closing)
        self.calls += 1
        watch = Watch(self.calls, self.address, self.generation, self.index)
        self.out.append(watch)
        return watch, closing

    def move(self, address: Address) -> None:
        """Discovery is at another address. It may count its versions in a way of its own: asked for what came after one
        of the old address's, it might hold back the list. So it is asked for all."""
        self.address, self.index = address, 0
        self.generation += 1

    def is_current(self, watch: Watch) -> bool:
        """Whether it is at the present address."""
        return watch.generation == self.generation

    @property
    def up_to_date(self) -> bool:
        """Whether a watch at the present address tells what is in force: the list is no old one."""
        return any(watch.state is State.OPEN and self.is_current(watch) for watch in self.out)

    def taken_up(self, watch: Watch) -> None:
        """Answered 200."""
        watch.state = State.TAKEN_UP

    def line(self, watch: Watch) -> list[Watch]:
        """A whole line has come on it; those that close, as it does their work."""
        watch.state, watch.reported = State.OPEN, False
        closing = [other for other in self.out if other is not watch and other.generation <= watch.generation]
        self._drop(closing)
        return closing

    def told(self, watch: Watch, index: int) -> None:
        """It has told a version."""
        watch.index = index
        if self.is_current(watch):
            self.index = index

    def doubted(self, watch: Watch) -> bool:
        """It has said nothing for too long; whether the Pacer hears of that."""
        watch.state = State.DOUBTED
        if watch.reported or not self.is_current(watch):
            return False
        watch.reported = True
        return True

    def ended(self, watch: Watch) -> bool:
        """It is over; whether the Pacer hears of that. It does not where another one serves on, nor of an address that is
        left, nor of a call that failed beside a later one, which its schedule counts from."""
        if watch not in self.out:
            return False
        self._drop([watch])
        later = watch.state is State.CALLING and any(other.number > watch.number for other in self.out)
        return self.is_current(watch) and not watch.reported and not self.up_to_date and not later

    def _drop(self, gone: list[Watch]) -> None:
        self.out = [watch for watch in self.out if watch not in gone]


@dataclass(slots=True)
class Patience:
    """Until when a call may say nothing, in seconds of the caller's clock."""

    end_at: float  # then it is over
    doubt_at: float | None = None  # then another call is made beside it; None: not while it waits to be taken up
    _heard_at: float = 0.0

    @classmethod
    def begin(cls, now: float) -> Patience:
        """A call has just been made."""
        return cls(now + ANSWER_TIME)

    def taken_up(self, now: float, all_asked_for: bool) -> None:
        """Answered 200: the whole list follows at once, changes when there are any."""
        self.line(now)
        if all_asked_for:
            self.doubt_at = now + FIRST_LINE

    def line(self, now: float) -> None:
        """A whole line has come. A byte now and then renews nothing: what counts is a whole line."""
        self._heard_at = now
        self.doubt_at, self.end_at = now + DOUBT_AFTER, now + SILENCE_TIMEOUT_S

    def unfinished(self, now: float) -> None:
        """A piece of a line has come, and not its end."""
        if self.doubt_at is not None:
            self.doubt_at = min(self._heard_at + DOUBT_AFTER, now + LINE_TIME)
