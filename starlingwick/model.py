"""What the Pacer keeps of hosts, destinations, calls and messages. Decides nothing.

Times are nanoseconds of the clock that drives the Pacer, rates calls a second, shares parts of one.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from starlingwick import interface as io
from starlingwick.queues import NEVER

AMPLE_REMAINING_SHARE = 0.5  # of a limit: no reason to hold back, nor to refuse


@dataclass(slots=True, eq=False)
class Host:
    """An endpoint of a destination: its drain, its calls out and its health."""

    name: str
    zone: int
    usable: bool = True
    listed: io.Availability = io.Availability.RUNNING
    calls: int = 0
    probing: bool = False
    last_sent: int = 0
    gap: int = NEVER  # between the last two sends
    last_ok_sent: int = -1  # when the latest-sent call that was answered well went out
    failure_share: float = 0.0  # share of bad outcomes, newest weigh most
    most: int = NEVER  # calls out that its table of connections had room for
    most_until: int = 0  # from then on one more is tried
    retry_at: int = 0  # when a suspect one is as good a choice as others again


@dataclass(slots=True, eq=False)
class Destination:
    """What is paced as one: a destination, or a route of its own where the kind is apart."""

    number: int
    per_call: int
    hosts: list[Host] = field(default_factory=list)
    listed_rate: float = 0.0  # calls a second it takes from all relays, as listed; 0: unknown
    rate_limit: float = 0.0  # the same, as listed or reported
    reports: bool = False  # its answers tell a limit
    ceiling: float | None = None  # calls a second of this relay
    ceiling_at: int = 0  # when the ceiling last changed
    cut_at: int = 0  # when it was last cut
    next_call: int = 0  # spacing under the ceiling
    left: float = AMPLE_REMAINING_SHARE  # share of its limit that is left, in the mean of what it told lately
    left_at: int = 0  # when it told last
    last_due_at: int = 0  # when the latest call was due by the allowance
    mean: float = 0.0  # response time
    wait_until: int = 0  # told
    backoff: float = 0.0  # our own, after a call
    backoff_until: int = 0
    pause_at: int = 0  # when it was last set
    refused_since: int | None = None  # when the present run of refusals began
    failure_share: float = 0.0  # share of bad outcomes at all its hosts, newest weigh most
    failing_since: int | None = None  # first bad outcome since it was well
    last_failure_at: int = 0  # the latest
    in_outage: bool = False  # half open: one trial at a time
    ramp_from: int | None = None  # when it came back
    part: float = 0.0  # calls a second of this relay's part of what it takes when warm
    next_at: int = 0  # trial while in trouble, spacing on the ramp
    refusals: deque[int] = field(default_factory=deque)
    sent: deque[int] = field(default_factory=deque)
    arrived: deque[int] = field(default_factory=deque)
    served: deque[int] = field(default_factory=deque)
    calls: list[Call] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Call:
    """A call out: one slot, one fate, perhaps several messages."""

    dest: Destination
    host: Host
    sent_at: int
    messages: list[Message]
    open: int = 0  # messages in it without an outcome
    settled: bool = False  # its outcome has been taken in
    beside: int = 0  # calls that its host had out when it was sent
    blamed: bool = False  # counted against the host as overdue
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class Message:
    """A message held: its attempts, whether one may have run, and its times."""

    name: str
    klass: io.MessageClass
    dest: int
    key: str | None
    worth: float
    arrived: int
    deadline: int
    group: tuple[int, float]  # class and worth: alike but for their times
    serial: int = 0  # in the order of entry into the hold
    attempts: int = 0
    call: Call | None = None
    not_before: int = 0
    ran_at: int | None = None  # when the first attempt that may have run was sent
    ran_zone: int = 0
    recovered_untried: bool = False  # accepted, but never attempted, by an earlier process
    over: bool = False
    aim_at: int = field(init=False)

    def __post_init__(self) -> None:
        self.aim_at = self.deadline - self.klass.deadline + self.klass.aim
