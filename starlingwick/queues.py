"""Data structures for pending messages, which keep the cost of a tick proportional to what changed.

They decide nothing, read no clock and do no I/O. Without them, each tick would walk over all pending
messages. ``DestinationQueue`` keeps the messages that wait for one destination, in order of deadline.
``TimerQueue`` tells which items are due. ``Ranking`` finds the item with the least key although keys age.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedList  # type: ignore[import-untyped]

NEVER = 1 << 62  # no time at all


class Waiting(Protocol):
    """What a lane needs to know of a message."""

    name: str
    deadline: int
    arrived: int
    serial: int  # in the order of entry into the hold
    group: tuple[int, float]  # class and worth: alike but for their times


M = TypeVar("M", bound=Waiting)
T = TypeVar("T", bound=Hashable)
Key = tuple[float, ...]


class DeadlineQueue(Generic[M]):
    """Messages alike but for their times, by deadline, then by arrival."""

    __slots__ = ("_list",)

    def __init__(self) -> None:
        self._list = SortedList()

    def __len__(self) -> int:
        return len(self._list)

    def add(self, m: M) -> None:
        self._list.add((m.deadline, m.arrived, m.serial, m))

    def remove(self, m: M) -> None:
        self._list.remove((m.deadline, m.arrived, m.serial, m))

    def until(self, deadline: int) -> int:
        """How many have a deadline of that or earlier."""
        return int(self._list.bisect_left((deadline + 1,)))

    def between(self, start: int, stop: int) -> list[M]:
        """Those at these places of the order, as far as there are any."""
        return [entry[3] for entry in self._list.islice(max(0, start), max(0, min(stop, len(self._list))))]

    def __iter__(self) -> Iterator[M]:
        return (entry[3] for entry in self._list)

    def before(self, place: int) -> Iterator[M]:
        """Those ahead of a place of the order, the last of them first."""
        return (entry[3] for entry in self._list.islice(0, place, reverse=True))


class UntriedQueue(Generic[M]):
    """Messages by deadline, whatever their entry into the hold was."""

    __slots__ = ("_list",)

    def __init__(self) -> None:
        self._list = SortedList()

    def __len__(self) -> int:
        return len(self._list)

    def add(self, m: M) -> None:
        self._list.add((m.deadline, m.name, m))

    def discard(self, m: M) -> None:
        self._list.discard((m.deadline, m.name, m))

    def first(self, most: int) -> list[M]:
        """So many of them, soonest deadline first."""
        return [entry[2] for entry in self._list.islice(0, most)]


class DestinationQueue(Generic[M]):
    """What waits for one destination. Messages that may not go yet stand ``aside``, the others in queues."""

    __slots__ = ("number", "entered", "waiting", "queues", "aside", "opens")

    def __init__(self, number: int, entered: int) -> None:
        self.number = number
        self.entered = entered  # in the order in which lanes came to hold something
        self.waiting: dict[str, M] = {}  # all, in the order of entry
        self.queues: dict[tuple[int, float], DeadlineQueue[M]] = {}
        self.aside: dict[str, M] = {}
        self.opens = 0  # when it was last found to open; 0: it was found open, or was not looked at

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, m: M, aside: bool) -> None:
        self.waiting[m.name] = m
        if aside:
            self.aside[m.name] = m
        else:
            self._enqueue(m)

    def _enqueue(self, m: M) -> None:
        queue = self.queues.get(m.group)
        if queue is None:
            queue = self.queues[m.group] = DeadlineQueue()
        queue.add(m)

    def release(self, m: M) -> None:
        """It may go from now on."""
        if self.aside.pop(m.name, None) is not None:
            self._enqueue(m)

    def remove(self, m: M) -> bool:
        """Whether it was there."""
        if self.waiting.pop(m.name, None) is None:
            return False
        if self.aside.pop(m.name, None) is None:
            queue = self.queues[m.group]
            queue.remove(m)
            if not queue:
                del self.queues[m.group]
        return True

    def due_by(self, time: int) -> list[M]:
        """Those with a deadline of that time or earlier."""
        found = [m for queue in self.queues.values() for m in queue.between(0, queue.until(time))]
        return found + [m for m in self.aside.values() if m.deadline <= time]


class TimerQueue(Generic[T]):
    """A time for each item; which have come. An item's newest time counts."""

    __slots__ = ("_times", "_heap", "_count")

    def __init__(self) -> None:
        self._times: dict[T, int] = {}
        self._heap: list[tuple[int, int, T]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._times)

    def put(self, item: T, time: int) -> None:
        if time >= NEVER:
            self.drop(item)
        elif self._times.get(item) != time:
            self._times[item] = time
            self._count += 1
            heapq.heappush(self._heap, (time, self._count, item))
            if len(self._heap) > 2 * len(self._times) + 64:  # what was put anew leaves its old time behind
                self._heap = [entry for entry in self._heap if self._times.get(entry[2]) == entry[0]]
                heapq.heapify(self._heap)

    def drop(self, item: T) -> None:
        self._times.pop(item, None)

    def first(self) -> int:
        """The earliest time; NEVER if there is none."""
        while self._heap:
            time, _, item = self._heap[0]
            if self._times.get(item) == time:
                return time
            heapq.heappop(self._heap)
        return NEVER

    def take(self, now: int) -> list[T]:
        """The items whose time has come, the earliest first; they have none any more."""
        came = []
        while self.first() <= now:
            item = heapq.heappop(self._heap)[2]
            del self._times[item]
            came.append(item)
        return came


class Ranking(Generic[T]):
    """Items by a key, least first. Keys age: what depends on the time is to be put anew, and ``stalest`` says
    for which items that was longest ago."""

    __slots__ = ("_keys", "_heap", "_count")

    def __init__(self) -> None:
        # Version, key and time of the key, the stalest first. (A plain dict is slow to find its first item
        # behind many gaps.)
        self._keys: OrderedDict[T, tuple[int, Key, int]] = OrderedDict()
        self._heap: list[tuple[Key, int, T]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, item: T) -> bool:
        return item in self._keys

    def __iter__(self) -> Iterator[T]:
        return iter(self._keys)

    def put(self, item: T, key: Key, now: int) -> None:
        self._count += 1
        self._keys[item] = (self._count, key, now)
        self._keys.move_to_end(item)
        heapq.heappush(self._heap, (key, self._count, item))
        if len(self._heap) > 2 * len(self._keys) + 64:
            self._heap = [(key, version, item) for item, (version, key, _) in self._keys.items()]
            heapq.heapify(self._heap)

    def drop(self, item: T) -> None:
        self._keys.pop(item, None)

    def first(self) -> tuple[Key, T] | None:
        """The least key and its item."""
        while self._heap:
            key, version, item = self._heap[0]
            found = self._keys.get(item)
            if found is not None and found[0] == version:
                return key, item
            heapq.heappop(self._heap)
        return None

    def stalest(self, most: int, since: int) -> list[T]:
        """Items whose keys are of that time or older, the oldest first."""
        stale: list[T] = []
        for item, (_, _, at) in self._keys.items():
            if at > since or len(stale) >= most:
                break
            stale.append(item)
        return stale
