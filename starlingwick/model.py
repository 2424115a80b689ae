"""State of hosts, destinations, calls and messages in the Pacer. Decides nothing.

Times are nanoseconds of the clock that drives the Pacer, rates are calls a second, shares lie in 0 to 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from starlingwick import interface as io
from starlingwick.queues import NEVER

AMPLE_SHARE = 0.5  # of a limit; with more left, neither a backoff nor a refusal is justified


@dataclass(slots=True, eq=False)
class Host:
    """An endpoint of a destination: whether it drains, its calls in flight and its health."""

    name: str
    zone: int
    usable: bool = True
    listed: io.Availability = io.Availability.RUNNING
    calls: int = 0
    probing: bool = False
    last_sent: int = 0
    send_gap: int = NEVER  # between the last two sends
    last_ok_sent: int = -1  # send time of the latest-sent call that succeeded
    failure_share: float = 0.0  # exponentially weighted
    max_calls: int = NEVER  # concurrent calls that its connection table had room for
    max_calls_until: int = 0  # from then on one more is tried
    deprioritized_until: int = 0  # while suspect, other hosts are preferred until then


@dataclass(slots=True, eq=False)
class Destination:
    """The unit of pacing: a destination, or one of its routes if the kind keeps routes apart."""

    number: int
    per_call: int
    hosts: list[Host] = field(default_factory=list)
    listed_rate: float = 0.0  # calls a second it accepts from all relays, as listed; 0: unknown
    rate_limit: float = 0.0  # the same, as listed or reported
    reports_limit: bool = False  # whether its answers report a limit
    ceiling: float | None = None  # calls a second of this relay; None: no ceiling
    ceiling_changed_at: int = 0
    ceiling_cut_at: int = 0  # when it was last cut
    next_call_at: int = 0  # earliest next call under the ceiling
    remaining: float = AMPLE_SHARE  # share of its limit that is left, averaged over recent reports
    remaining_at: int = 0  # when it last reported
    last_due_at: int = 0  # when the latest call was due by the call spacing
    mean_time: float = 0.0  # mean response time
    wait_until: int = 0  # end of the wait that it requested
    backoff: float = 0.0  # the relay's own, after a call
    backoff_until: int = 0
    backoff_set_at: int = 0
    refused_since: int | None = None  # start of the current run of refusals
    failure_share: float = 0.0  # over all its hosts, exponentially weighted
    failing_since: int | None = None  # first failure since it was last healthy
    last_failure_at: int = 0
    in_outage: bool = False  # half open: one trial call at a time
    ramp_from: int | None = None  # when it recovered
    warm_rate: float = 0.0  # this relay's share of the calls a second it accepts when warm
    next_trial_at: int = 0  # next trial while suspect, next call on the ramp
    refusals: deque[int] = field(default_factory=deque)
    sent: deque[int] = field(default_factory=deque)
    arrived: deque[int] = field(default_factory=deque)
    served: deque[int] = field(default_factory=deque)
    calls: list[Call] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Call:
    """A call in flight: it occupies one slot, has one outcome and carries one or more messages."""

    dest: Destination
    host: Host
    sent_at: int
    messages: list[Message]
    open_messages: int = 0  # its messages without an outcome
    outcome_applied: bool = False  # to the state of its host and destination
    concurrent_calls: int = 0  # calls that its host had in flight when it was sent
    counted_overdue: bool = False  # counted as a failure of the host, being overdue
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class Message:
    """A pending message: its attempts, whether one may have run, and its times."""

    name: str
    klass: io.MessageClass
    dest: int
    key: str | None
    worth: float
    arrived: int
    deadline: int
    group: tuple[int, float]  # class and worth: messages of one group differ in their times only
    serial: int = 0  # order of entry into the pending queue
    attempts: int = 0
    call: Call | None = None
    not_before: int = 0
    ran_at: int | None = None  # send time of the first attempt that may have run
    ran_zone: int = 0
    recovered_untried: bool = False  # accepted, but never attempted, by an earlier process
    ended: bool = False
    aim_at: int = field(init=False)

    def __post_init__(self) -> None:
        self.aim_at = self.deadline - self.klass.deadline + self.klass.aim
