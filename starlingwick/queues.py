"""Data structures for pending messages, which keep the cost of a tick proportional to what changed.

They decide nothing, read no clock and do no I/O. Without them, each tick would walk over all pending
messages. ``DestinationQueue`` keeps the messages that wait for one destination, in order of deadline.
``TimerQueue`` returns the items that are due. ``Ranking`` finds the item with the least key, though keys age.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedList  # type: ignore[import-untyped]

NEVER = 1 << 62  # later than any real time


class QueuedMessage(Protocol):
    """The attributes of a message that the queues use."""

    name: str
    deadline: int
    arrived: int
    serial: int  # order of entry into the pending queue
    group: tuple[int, float]  # class and worth: messages of one group differ in their times only


M = TypeVar("M", bound=QueuedMessage)
T = TypeVar("T", bound=Hashable)
Key = tuple[float, ...]


class DeadlineQueue(Generic[M]):
    """Messages of one group, ordered by deadline, then by arrival."""

    __slots__ = ("_list",)

    def __init__(self) -> None:
        self._list = SortedList()

    def __len__(self) -> int:
        return len(self._list)

    def add(self, m: M) -> None:
        self._list.add((m.deadline, m.arrived, m.serial, m))

    def remove(self, m: M) -> None:
        self._list.remove((m.deadline, m.arrived, m.serial, m))

    def count_until(self, deadline: int) -> int:
        """How many messages have this deadline or an earlier one."""
        return int(self._list.bisect_left((deadline + 1,)))

    def slice(self, start: int, stop: int) -> list[M]:
        """The messages at positions ``start`` to ``stop``, which may lie outside the queue."""
        return [entry[3] for entry in self._list.islice(max(0, start), max(0, min(stop, len(self._list))))]

    def __iter__(self) -> Iterator[M]:
        return (entry[3] for entry in self._list)

    def before(self, position: int) -> Iterator[M]:
        """The messages ahead of a position, in reverse order."""
        return (entry[3] for entry in self._list.islice(0, position, reverse=True))


class UntriedQueue(Generic[M]):
    """Messages ordered by deadline, regardless of their order of entry into the pending queue."""

    __slots__ = ("_list",)

    def __init__(self) -> None:
        self._list = SortedList()

    def __len__(self) -> int:
        return len(self._list)

    def add(self, m: M) -> None:
        self._list.add((m.deadline, m.name, m))

    def discard(self, m: M) -> None:
        self._list.discard((m.deadline, m.name, m))

    def earliest(self, limit: int) -> list[M]:
        """Up to ``limit`` messages, earliest deadline first."""
        return [entry[2] for entry in self._list.islice(0, limit)]


class DestinationQueue(Generic[M]):
    """The messages that wait for one destination. Those that may not be sent yet are in ``deferred``, the
    others in a deadline queue for each group."""

    __slots__ = ("number", "entry_serial", "messages", "by_group", "deferred", "opens_at")

    def __init__(self, number: int, entry_serial: int) -> None:
        self.number = number
        self.entry_serial = entry_serial  # order in which destination queues were created
        self.messages: dict[str, M] = {}  # all of them, in order of entry
        self.by_group: dict[tuple[int, float], DeadlineQueue[M]] = {}
        self.deferred: dict[str, M] = {}
        self.opens_at = 0  # when sending becomes possible, as last evaluated; 0: possible, or not evaluated

    def __len__(self) -> int:
        return len(self.messages)

    def add(self, m: M, deferred: bool) -> None:
        self.messages[m.name] = m
        if deferred:
            self.deferred[m.name] = m
        else:
            self._enqueue(m)

    def _enqueue(self, m: M) -> None:
        queue = self.by_group.get(m.group)
        if queue is None:
            queue = self.by_group[m.group] = DeadlineQueue()
        queue.add(m)

    def make_eligible(self, m: M) -> None:
        """Move a deferred message to the queue of its group; no effect on others."""
        if self.deferred.pop(m.name, None) is not None:
            self._enqueue(m)

    def remove(self, m: M) -> bool:
        """Remove a message; returns whether it was present."""
        if self.messages.pop(m.name, None) is None:
            return False
        if self.deferred.pop(m.name, None) is None:
            queue = self.by_group[m.group]
            queue.remove(m)
            if not queue:
                del self.by_group[m.group]
        return True

    def due_by(self, time: int) -> list[M]:
        """The messages with a deadline at ``time`` or earlier."""
        found = [m for queue in self.by_group.values() for m in queue.slice(0, queue.count_until(time))]
        return found + [m for m in self.deferred.values() if m.deadline <= time]


class TimerQueue(Generic[T]):
    """One timer for each item. Setting an item's timer again replaces the earlier one."""

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
            if len(self._heap) > 2 * len(self._times) + 64:  # replaced timers leave stale heap entries
                self._heap = [entry for entry in self._heap if self._times.get(entry[2]) == entry[0]]
                heapq.heapify(self._heap)

    def drop(self, item: T) -> None:
        self._times.pop(item, None)

    def earliest(self) -> int:
        """The earliest time; NEVER if no timer is set."""
        while self._heap:
            time, _, item = self._heap[0]
            if self._times.get(item) == time:
                return time
            heapq.heappop(self._heap)
        return NEVER

    def pop_due(self, now: int) -> list[T]:
        """The items whose time has come, earliest first; their timers are removed."""
        due = []
        while self.earliest() <= now:
            item = heapq.heappop(self._heap)[2]
            del self._times[item]
            due.append(item)
        return due


class Ranking(Generic[T]):
    """Items ordered by a key, least first. Keys that depend on time grow stale and have to be put again;
    ``stalest`` returns the items whose keys are oldest."""

    __slots__ = ("_keys", "_heap", "_count")

    def __init__(self) -> None:
        # Version, key and time of the key, oldest first. An OrderedDict, because a plain dict is slow to find
        # its first item after many deletions at its front.
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
        if len(self._heap) > 2 * len(self._keys) + 64:  # items put again leave stale heap entries
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

    def stalest(self, limit: int, since: int) -> list[T]:
        """Up to ``limit`` items whose keys were put at ``since`` or before, oldest first."""
        stale: list[T] = []
        for item, (_, _, put_at) in self._keys.items():
            if put_at > since or len(stale) >= limit:
                break
            stale.append(item)
        return stale
