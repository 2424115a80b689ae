"""The decisions of a relay: when, where and how often each pending message is sent, and how it ends.

``interface.py`` defines the events that come in and the actions that go out. Each destination has a rate
ceiling, as in the paper "Adaptive Architecture": a run of refusals cuts it to 0.75, and it then rises again,
more slowly, along an exponential curve. The number of concurrent calls follows Little's Law (rate times mean
response time). Order of work in one tick: apply all events, end the messages that must end, then send in one
planning pass.

The cost of a tick depends on what changed, not on the number of pending messages: a destination is evaluated
when an event concerns it or one of its timers fires, and only the most urgent of its messages are weighed
(``queues.py`` keeps them in order).
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Iterable, Iterator

from starlingwick import interface as io
from starlingwick.discovery_schedule import DiscoverySchedule
from starlingwick.model import AMPLE_SHARE, Call, Destination, Host, Message
from starlingwick.queues import NEVER, DeadlineQueue, DestinationQueue, Key, Ranking, TimerQueue, UntriedQueue

SECOND = 1_000_000_000

CEILING_CUT_FACTOR = 0.75
MIN_REFUSALS_TO_CUT = 3  # within REFUSAL_WINDOW_NS
REFUSAL_WINDOW_NS = 2 * SECOND
MIN_REFUSED_SHARE_TO_CUT = 0.1  # of the calls in the window; fewer refusals of many calls are no overload
CEILING_RAISE_INTERVAL_NS = 2 * SECOND
CEILING_RAISE_SHARE = 0.25  # of the gap to the target, at each raise
CEILING_REACHED_SHARE = 0.95  # of the target; the exponential curve never reaches it
RATE_WINDOW_NS = 4 * SECOND  # two raises of a ceiling
MAX_SLOT_SHARE_PER_DEST = 0.75

FAILURE_WEIGHT = 0.3  # of the newest outcome; two failures in a row exceed one half
RESET_FAILURE_WEIGHT = 0.2  # one reset does not make a host suspect, two in a row do
SUSPECT_FAILURE_SHARE = 0.25  # one failure exceeds it, and one success after that goes back below it
OUTAGE_FAILURE_SHARE = 0.5  # the rules define an outage as most calls failing
MEAN_WEIGHT = 0.1  # of the newest response time
OVERDUE_FACTOR = 4  # times the mean response time; few calls of a skewed distribution take so long
MIN_OVERDUE_NS = SECOND // 10  # longer than a call may wait until its connection has rested
STALLED_FACTOR = 4  # times the overdue time; if later calls are answered, the connection is stalled by then
CONNECTION_RETRY_NS = SECOND  # after a full connection table, before one more connection is tried
SPENT_SHARE = 0.1  # of a limit; reports are noisy, so with less left the next call may well be refused
MIN_BACKOFF_NS = SECOND // 4  # after the first refusal or failure; later ones extend it
PROBE_TIMEOUT_NS = 3 * SECOND // 2
MAX_LIMIT_RATIO = 10.0  # between a reported limit and the listed rate, in either direction
MIN_RATE_LIMIT_PER_S, MAX_RATE_LIMIT_PER_S = 0.05, 10_000.0  # limits outside are not credible
MAX_REMAINING_SHARE = 1.5  # of a limit; noise reports slightly more than 1, but never this much
MAX_EVALUATED_PER_TICK = 64  # destinations, or messages of one; the others in later ticks
MAX_RANK_AGE_NS = SECOND // 50  # of a queue's key in a ranking; worth falls over seconds
RANK_FIRST = (-math.inf,)  # sorts ahead of all keys: evaluated before any other queue is chosen
LOOP_LAG_MARGIN_TICKS = 3  # from a due timer until its answer is sent
MAX_LOOP_LAG_NS = SECOND // 5  # half of what clients wait for an answer; beyond it new requests are refused
MANY_RELAYS = 8  # fewer relays make enough calls each to learn from their own refusals
MIN_SHARE_FACTOR, MAX_SHARE_FACTOR = 0.7, 1.2  # of a relay's share, with none and all of the limit left
UNUSED_SHARE = 0.85  # more left for seconds: other relays do not use their shares
UNUSED_FACTOR = 8.0  # added to the share's factor for each whole limit above UNUSED_SHARE
MAX_BURST_CALLS = 2  # sent at once to catch up with the call spacing
COLD_CAPACITY_FACTOR = 0.9  # of the permitted rate; the estimate of capacity is noisy

MAY_STILL_RUN = (io.Status.TIMEOUT, io.Status.RESET, io.Status.CANCELLED)
MAY_HAVE_RUN = (io.Status.ERROR, io.Status.SPOILT, *MAY_STILL_RUN)


class Pacer:
    """The decision module of one relay: takes events and returns the actions to carry out."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.min_aim = min(c.aim for c in settings.classes)
        self.max_calls_per_dest = max(1, int(MAX_SLOT_SHARE_PER_DEST * settings.slots))
        self.now = 0
        self.started: int | None = None
        self.actions: list[io.Action] = []
        self.messages: dict[str, Message] = {}
        self.dest_queues: dict[int, DestinationQueue[Message]] = {}  # pending, by destination number
        self.pending_count = 0
        self.entry_count = 0  # messages and queues added so far
        self.dirty: dict[DestinationQueue[Message], None] = {}  # changed since they were last evaluated
        self.new_queues: list[DestinationQueue[Message]] = []  # created in this tick
        self.sendable: Ranking[DestinationQueue[Message]] = Ranking()  # may send, by most urgent message
        self.recovered_untried: dict[int, UntriedQueue[Message]] = {}  # by destination number
        self.suspect_queues: dict[DestinationQueue[Message], None] = {}  # sendable; destination suspect
        self.open_timers: TimerQueue[DestinationQueue[Message]] = TimerQueue()  # when sending is possible
        self.recheck_timers: TimerQueue[DestinationQueue[Message]] = TimerQueue()  # the end of a ramp
        self.ceiling_timers: TimerQueue[Destination] = TimerQueue()
        self.backoff_timers: TimerQueue[Message] = TimerQueue()  # when deferred messages may go
        self.unranked: dict[DestinationQueue[Message], None] = {}  # changed since last ranked for shedding
        self.shed_ranking: Ranking[DestinationQueue[Message]] = Ranking()  # by least worth
        self.overdue_check_at = NEVER  # earliest time at which a call may be overdue
        self.loop_lag = 0  # ns, as reported by the event loop
        self.key_queues: dict[str, deque[Message]] = {}  # messages of classes that keep order, by key
        self.blocked_keys: dict[str, int] = {}  # until when no message of the key may be sent
        self.expiry: list[tuple[int, str]] = []  # heap of times and message names
        self.routes: dict[int, list[Destination]] = {}  # by destination number
        self.hosts: dict[str, tuple[Destination, Host]] = {}
        self.excluded: set[str] = set()  # by operators, listed or not
        self.freed_hosts: list[Host] = []  # hosts with a call that ended in this tick
        self.calls: dict[Call, None] = {}  # in flight, oldest first; each occupies a slot
        self.tenant_due = [0] * len(settings.tenant_rates)  # when the next message is within the rate
        self.discovery_schedule = DiscoverySchedule(settings, self.random)
        self.stopping_at = NEVER
        self.alarm = 0  # token of the latest alarm requested; earlier ones are ignored
        self.alarm_at = NEVER
        self.wake_at = NEVER

    def handle(self, now: int, events: Iterable[io.Event]) -> list[io.Action]:
        """Process a batch of events, then plan; the actions take effect at ``now``."""
        self.now = now
        self.actions = []
        self.wake_at = NEVER
        if self.started is None:
            self.started = now
            if self.settings.discovery is io.Discovery.SUBSCRIBE:
                self.discovery_schedule.schedule_first_call(now)
        for event in events:
            match event:
                case io.Arrived():
                    self.on_arrived(event)
                case io.Verdict():
                    self.on_verdict(event)
                case io.Recovered():
                    self.on_recovered(event)
                case io.Stopping():
                    self.stopping_at = event.at
                    self.dirty.update(dict.fromkeys(self.dest_queues.values()))
                case io.Lagging():
                    if (event.lag > MAX_LOOP_LAG_NS) != (self.loop_lag > MAX_LOOP_LAG_NS):
                        text = "newcomers are refused" if event.lag > MAX_LOOP_LAG_NS else "it keeps up again"
                        self.log(f"loop lags by {event.lag / SECOND:.2f} s: {text}")
                    self.loop_lag = event.lag
                case io.Withdrawn():
                    if event.call in self.messages:
                        self.finish(self.messages[event.call])
                case io.Roster():
                    self.on_roster(event)
                case io.WatchMissing():
                    self.discovery_schedule.on_watch_missing(now)
                case io.Probed():
                    self.on_probed(event)
                case io.Excluded():
                    self.on_excluded(event)
                case io.Alarm():  # counts as delivered even if a coarser clock brings it slightly early
                    if event.token == self.alarm:
                        self.alarm_at = NEVER
        if self.alarm_at <= now:
            self.alarm_at = NEVER
        self.subscribe_if_due()
        self.count_overdue_calls()
        self.expire()
        self.shed()
        self.plan()
        self.close_idle()
        if self.wake_at < self.alarm_at:
            self.alarm_at = max(self.wake_at, now + 1)
            self.alarm += 1
            self.actions.append(io.Wake(self.alarm_at - now, self.alarm))
        return self.actions

    # ---- the list of hosts

    def subscribe_if_due(self) -> None:
        """Subscribe if it is time to, and request a wake-up for the next attempt."""
        if self.discovery_schedule.begin_call_if_due(self.now):
            self.actions.append(io.Subscribe())
        if not self.discovery_schedule.subscribed:
            self.wake_at = min(self.wake_at, self.discovery_schedule.next_call_at)

    def on_roster(self, event: io.Roster) -> None:
        if event.scope is io.ListScope.FAILED:
            self.log(self.discovery_schedule.on_failure(self.now))
            return
        if event.scope is not io.ListScope.CACHED and event.current:
            self.discovery_schedule.on_watch_open()
        for entry in event.entries:
            self.on_entry(entry)
        if event.scope is not io.ListScope.CHANGES:
            named = {entry.host for entry in event.entries}
            for name in [name for name in self.hosts if name not in named]:
                self.remove_host(name)

    def on_entry(self, entry: io.HostEntry) -> None:
        if entry.availability is io.Availability.DELETED:
            self.remove_host(entry.host)
            return
        if entry.host not in self.hosts:
            kind = self.settings.kinds[entry.kind]
            routes = self.routes.setdefault(entry.dest, [])
            if kind.apart or not routes:
                routes.append(Destination(entry.dest, kind.per_call))
            self.hosts[entry.host] = (routes[-1], Host(entry.host, entry.zone))
            routes[-1].hosts.append(self.hosts[entry.host][1])
        dest, host = self.hosts[entry.host]
        self.mark_dirty(dest.number)
        host.usable = entry.availability is io.Availability.RUNNING and entry.host not in self.excluded
        host.listed = entry.availability
        if (
            self.settings.listed_rates
            and not dest.rate_limit
            and MIN_RATE_LIMIT_PER_S <= entry.rate <= MAX_RATE_LIMIT_PER_S
        ):
            dest.listed_rate = dest.rate_limit = entry.rate
            if self.settings.relays >= MANY_RELAYS:  # they start together: spread their first calls
                dest.last_due_at = self.now - round(self.random.random() * self.call_spacing(dest))

    def on_excluded(self, event: io.Excluded) -> None:
        """An operator's exclusion makes a host drain until the operator's next command ends it. The host was
        restarted meanwhile, so it is cold, and so is its destination unless another host there kept
        serving."""
        (self.excluded.add if event.out else self.excluded.discard)(event.host)
        if event.host not in self.hosts:
            return
        dest, host = self.hosts[event.host]
        was_usable, host.usable = host.usable, host.listed is io.Availability.RUNNING and not event.out
        if host.usable and not was_usable and not any(one.usable for one in dest.hosts if one is not host):
            self.estimate_warm_rate(dest, self.now)
            dest.ramp_from = self.now
            dest.next_trial_at = self.next_trial_time(dest, self.now, self.random.random())
        self.mark_dirty(dest.number)

    def count_avoided_hosts(self) -> int:
        """How many listed hosts get no ordinary calls now: those that drain (by the list or by an operator's
        exclusion), have failed or belong to a destination in an outage."""
        return sum(
            not host.usable or dest.in_outage or host.failure_share > OUTAGE_FAILURE_SHARE
            for dest, host in self.hosts.values()
        )

    def remove_host(self, name: str) -> None:
        """Remove a host from the list; calls in flight continue. A route is removed with its last host, to
        bound memory."""
        if name in self.hosts:
            dest, host = self.hosts.pop(name)
            self.mark_dirty(dest.number)
            host.usable = False  # stops a call that is about to begin: see clear_to_send
            dest.hosts.remove(host)
            if not dest.hosts and len(self.routes[dest.number]) > 1:
                self.routes[dest.number].remove(dest)
                self.ceiling_timers.drop(dest)

    # ---- messages

    def within_share(self, tenant: int) -> bool:
        """Whether a tenant's message is within the tenant's rate. Bursts of two seconds' worth of messages,
        or of two messages if that is more, are allowed."""
        if tenant >= len(self.tenant_due):
            return True
        gap = round(SECOND * self.settings.relays / max(self.settings.tenant_rates[tenant], 1e-9))
        due = max(self.tenant_due[tenant], self.now - max(2 * SECOND, 2 * gap))
        self.tenant_due[tenant] = due + gap if due <= self.now else due
        return due <= self.now

    def on_arrived(self, event: io.Arrived) -> None:
        if not event.storable or self.loop_lag > MAX_LOOP_LAG_NS:
            # Not accepted: it cannot be stored, or the relay lags. Messages already accepted come first.
            self.actions.append(io.Refuse(event.call, 0 if not event.storable else self.hold_off(SECOND)))
            return
        klass = self.settings.classes[event.klass]
        worth = klass.worth
        if not self.within_share(event.tenant):
            worth *= self.settings.over_share_worth
        message = Message(
            event.call,
            klass,
            event.dest,
            event.key if klass.in_turn else None,
            worth,
            self.now,
            self.now + event.patience,
            (event.klass, worth),
        )
        self.messages[event.call] = message
        self.pending_count += 1
        if message.key is not None:
            self.key_queues.setdefault(message.key, deque()).append(message)
        self.enqueue(message)
        for route in self.routes.get(event.dest, ()):
            self.record_time(route.arrived, RATE_WINDOW_NS)

    def on_recovered(self, r: io.Recovered) -> None:
        """Resume a message that an earlier process accepted. Its earlier attempts still count, and so does
        one that may have run."""
        klass = self.settings.classes[r.klass]
        m = Message(
            r.call,
            klass,
            r.dest,
            r.key if klass.in_turn else None,
            klass.worth,
            self.now,
            self.now + r.patience,
            (r.klass, klass.worth),
            attempts=r.attempts,
            recovered_untried=self.is_recovered_untried(r),
        )
        if r.ran_ago is not None:
            m.ran_at, m.ran_zone = self.now - r.ran_ago, r.ran_zone
        self.messages[r.call] = m
        self.pending_count += 1
        if m.key is not None:
            self.key_queues.setdefault(m.key, deque()).append(m)
            if m.ran_at is not None:
                self.blocked_keys[m.key] = self.now + self.settings.rules.turn_gap
        if r.host is not None:
            self.restore_call(m, r.host, r.ran_zone, r.sent_at)
        elif self.is_exhausted(m):
            self.end(m)
        else:
            if m.recovered_untried:
                self.recovered_untried.setdefault(m.dest, UntriedQueue()).add(m)
            self.enqueue(m)

    def is_recovered_untried(self, r: io.Recovered) -> bool:
        """Whether an earlier process accepted the message but never attempted it."""
        return not r.attempts and r.ran_ago is None

    def clear_untried(self, m: Message) -> None:
        """Called once the message has been attempted or has ended."""
        m.recovered_untried = False
        queue = self.recovered_untried.get(m.dest)
        if queue is not None:
            queue.discard(m)
            if not queue:
                del self.recovered_untried[m.dest]

    def urgent_recovered(self, queue: DestinationQueue[Message]) -> list[Message]:
        """Messages that an earlier process never attempted and that must go now, if all of them are to be
        attempted in time at the destination's current send rate. Ordinary ranking would always prefer newer
        messages, which are worth more."""
        if queue.number not in self.recovered_untried:
            return []
        candidates = self.recovered_untried[queue.number].earliest(MAX_EVALUATED_PER_TICK)
        untried = [m for m in candidates if m.call is None and m.name not in queue.deferred]
        send_rate = sum(self.rate(r.sent, RATE_WINDOW_NS) for r in self.routes.get(queue.number, ()))
        gap = round(SECOND / max(send_rate, SECOND / REFUSAL_WINDOW_NS))
        urgent: list[Message] = []
        latest_start = NEVER
        for m in reversed(untried):
            latest_start = min(latest_start - gap, m.deadline - m.klass.aim)
            if self.now >= latest_start:
                urgent.append(m)
        return urgent[::-1]

    def restore_call(self, m: Message, name: str, zone: int, sent_at: int) -> None:
        """Register a call that an earlier process sent. It occupies a slot even if its host is no longer
        listed."""
        unlisted = (Destination(m.dest, 1), Host(name, zone, usable=False))
        dest, host = self.hosts.get(name, unlisted)
        m.call = call = Call(dest, host, sent_at, [m], open_messages=1, concurrent_calls=host.calls)
        self.calls[call] = None
        host.calls += 1
        dest.calls.append(call)
        self.overdue_check_at = 0

    def enqueue(self, m: Message) -> None:
        """Add a message to its destination's queue. It is deferred if its backoff has not expired or an
        earlier message with the same key comes first."""
        queue = self.dest_queues.get(m.dest)
        self.entry_count += 1
        if queue is None:
            queue = self.dest_queues[m.dest] = DestinationQueue(m.dest, self.entry_count)
            self.new_queues.append(queue)
        m.serial = self.entry_count
        queue.add(m, m.not_before > self.now or m.key is not None and self.key_queues[m.key][0] is not m)
        if m.not_before > self.now:
            self.backoff_timers.put(m, m.not_before)
        self.dirty[queue] = self.unranked[queue] = None
        heapq.heappush(self.expiry, (m.deadline - 2 * self.settings.tick, m.name))

    def make_eligible(self, m: Message) -> None:
        """Allow a deferred message to be sent."""
        if m.dest in self.dest_queues:
            self.dest_queues[m.dest].make_eligible(m)
            self.mark_dirty(m.dest)

    def mark_dirty(self, number: int) -> None:
        """Have the queue of a destination evaluated in this tick, after an event that concerns it."""
        if number in self.dest_queues:
            self.dirty[self.dest_queues[number]] = None

    def is_exhausted(self, m: Message) -> bool:
        """Whether a message without an attempt in flight may not be attempted again."""
        return (
            m.attempts >= self.settings.limits.most_tries
            or not self.may_repeat(m, None)
            or self.now >= m.deadline - 2 * self.settings.tick
        )

    def worth_at(self, m: Message, when: int) -> float:
        """The worth of a message if it is delivered at ``when``."""
        late = when - m.aim_at
        if when >= m.deadline:
            return 0.0
        if late <= 0:
            return m.worth
        if self.settings.decay is io.Decay.BY_HALF:
            halves: float = 0.5 ** (late / m.klass.aim)
            return m.worth * max(m.klass.late_worth, halves)
        return m.worth * (1 - (1 - m.klass.late_worth) * late / (m.deadline - m.aim_at))

    def may_refuse(self, m: Message) -> bool:
        """Whether a message may be refused. A refusal promises that trying again is harmless (rule 2)."""
        if m.ran_at is None and m.call is None:
            return True
        if m.klass.repeat is io.Repeat.KEYED:
            return m.klass.key_scope is io.Scope.ALL
        return m.klass.repeat is io.Repeat.SAFE

    def may_shed(self, m: Message) -> bool:
        """Whether a message may be refused to make room. One that an earlier process accepted and never
        attempted may not."""
        return not m.recovered_untried and self.may_refuse(m)

    def may_repeat(self, m: Message, host: Host | None) -> bool:
        """Whether a message may be sent to ``host``, or to any host if None, after an attempt that may have
        run (rule 2)."""
        if m.ran_at is None or m.klass.repeat is io.Repeat.SAFE:
            return True
        if m.klass.repeat is io.Repeat.UNSAFE or self.now >= m.ran_at + m.klass.repeat_window:
            return False
        return (
            host is None
            or m.klass.key_scope is io.Scope.ALL
            or (m.klass.key_scope is io.Scope.ZONE and host.zone == m.ran_zone)
        )

    def end(self, m: Message, retry_at: int = 0, ran: bool = False) -> None:
        """End a message: refused where that is allowed, otherwise failed. Every message that this relay gives
        up ends here. The answer is sent at once and never delayed to keep the client away; it includes a
        retry time if one is known."""
        if m.ended:
            return
        hold_off = self.hold_off(retry_at - self.now)
        refuse = not ran and self.may_refuse(m)
        self.actions.append(io.Refuse(m.name, hold_off) if refuse else io.Fail(m.name))
        self.finish(m)

    def hold_off(self, time: int) -> int:
        """The delay to announce to a client, 0 if the deployment announces none."""
        limits = self.settings.limits
        return max(0, min(time, limits.max_retry_after)) if limits.retry_after else 0

    def finish(self, m: Message) -> None:
        """Mark a message as ended. It stays known until its last attempt has an outcome."""
        if not m.ended:
            m.ended = True
            self.pending_count -= 1
            if m.recovered_untried:
                self.clear_untried(m)
        self.dequeue(m)
        if m.call is None:
            self.messages.pop(m.name, None)
            key_queue = self.key_queues.get(m.key) if m.key is not None else None
            if key_queue is not None and m.key is not None:
                key_queue.remove(m)
                if not key_queue:
                    del self.key_queues[m.key]
                elif key_queue[0].call is None and key_queue[0].not_before <= self.now:
                    self.make_eligible(key_queue[0])

    def dequeue(self, m: Message) -> None:
        """Remove a message from its destination's queue, and an empty queue from all tables."""
        queue = self.dest_queues.get(m.dest)
        if queue is None or not queue.remove(m):
            return
        self.backoff_timers.drop(m)
        self.unranked[queue] = None
        if not queue:
            del self.dest_queues[m.dest]
            self.mark_closed(queue)
            self.open_timers.drop(queue)
            self.recheck_timers.drop(queue)
            self.shed_ranking.drop(queue)
            self.dirty.pop(queue, None)
            self.unranked.pop(queue, None)

    def expire(self) -> None:
        """End pending messages at their deadlines, early enough for the answer to arrive in time: ahead by
        the lag of the loop, as far as the answer slack of the rules does not cover it."""
        lead = self.expiry_lead()
        while self.expiry and self.expiry[0][0] - lead <= self.now:
            m = self.messages.get(heapq.heappop(self.expiry)[1])
            if m is not None and m.call is None:
                self.end(m)
        if self.expiry:
            self.wake_at = min(self.wake_at, self.expiry[0][0] - lead)

    def expiry_lead(self) -> int:
        """How much earlier than usual a message has to be ended before its deadline."""
        return max(0, LOOP_LAG_MARGIN_TICKS * self.loop_lag - self.settings.rules.answer_slack)

    def shed(self) -> None:
        """Refuse the messages that will earn least by the time they would be sent, to keep room for new
        requests: a full relay refuses those without weighing them."""
        limit = max(1, self.settings.limits.most_held - max(1, self.settings.limits.most_held // 16))
        if self.pending_count <= limit:
            return
        changed = [queue for queue, _ in zip(self.unranked, range(MAX_EVALUATED_PER_TICK), strict=False)]
        send_times: dict[DestinationQueue[Message], int] = {}
        for queue in (
            *changed,
            *self.shed_ranking.stalest(MAX_EVALUATED_PER_TICK // 4, self.now - MAX_RANK_AGE_NS),
        ):
            self.rank_for_shedding(queue, send_times)
        while self.pending_count > limit and (first := self.shed_ranking.first()) is not None:
            _, queue = first
            candidate = self.rank_for_shedding(queue, send_times)
            # Only if it still ranks first by its current worth.
            if candidate is not None and self.shed_ranking.first() == (candidate[1], queue):
                self.end(candidate[0], send_times[queue])

    def rank_for_shedding(
        self, queue: DestinationQueue[Message], send_times: dict[DestinationQueue[Message], int]
    ) -> tuple[Message, Key] | None:
        """Rank a queue for shedding. Returns its message that earns least at the expected send time, with its
        key. ``send_times`` keeps that time constant while several messages are refused in a row."""
        self.unranked.pop(queue, None)
        if queue not in send_times:
            rate = sum(self.rate(r.sent, RATE_WINDOW_NS) for r in self.routes.get(queue.number, ()))
            send_times[queue] = self.now + round(len(queue) * SECOND / max(rate, SECOND / REFUSAL_WINDOW_NS))
        send_time = send_times[queue]
        best: tuple[Message, Key] | None = None
        candidates = list(queue.deferred.values())
        for group in queue.by_group.values():
            candidates += self.shedding_candidates(group, send_time)
        for m in candidates:
            key = (self.worth_at(m, send_time), self.worth_at(m, self.now), -m.arrived, -m.serial)
            if (best is None or key < best[1]) and self.may_shed(m):
                best = (m, key)
        if best is None:
            self.shed_ranking.drop(queue)
        else:
            self.shed_ranking.put(queue, best[1], self.now)
        return best

    def shedding_candidates(self, group: DeadlineQueue[Message], send_time: int) -> list[Message]:
        """Messages of a group that include the one that earns least. Worth never falls with a later deadline,
        so that is the first message that may be refused, or the newest of those that earn as little."""
        if len(group) <= MAX_EVALUATED_PER_TICK // 4:
            return list(group)
        first = next(filter(self.may_shed, group), None)
        if first is None:
            return []
        last_equal_deadline = min(
            self.latest_equal_deadline(first, send_time), self.latest_equal_deadline(first, self.now)
        )
        end = group.count_until(last_equal_deadline) if last_equal_deadline < NEVER else len(group)
        newest = (m for m in group.before(end) if self.may_shed(m))
        return [first, *itertools.islice(newest, 4)]

    def latest_equal_deadline(self, m: Message, when: int) -> int:
        """The latest deadline with which a message of this class would earn no more than ``m`` at
        ``when``."""
        klass = m.klass
        if when >= m.deadline:
            return when
        if when <= m.aim_at:
            return NEVER
        if self.settings.decay is io.Decay.BY_HALF and klass.late_worth:
            floor_after = klass.deadline - klass.aim - math.ceil(klass.aim * -math.log2(klass.late_worth))
            if when >= m.deadline - floor_after:
                return when + floor_after
        return m.deadline

    # ---- outcomes

    def on_verdict(self, v: io.Verdict) -> None:
        m = self.messages.get(v.call)
        if m is None or m.call is None or v.attempt != m.attempts - 1:
            return
        call, m.call = m.call, None
        self.mark_dirty(m.dest)
        call.open_messages -= 1
        if call.open_messages == 0:
            call.dest.calls.remove(call)
            call.host.calls -= 1
            del self.calls[call]
            self.freed_hosts.append(call.host)
        if not call.outcome_applied:
            call.outcome_applied = True
            self.apply_outcome(call, v.status, v.cost, v.wait, v.report)
        if v.wait:  # rule 6; each message of a call may report a wait
            call.dest.wait_until = max(call.dest.wait_until, self.now + v.wait)
        if m.recovered_untried and v.status is not io.Status.ABANDONED:
            self.clear_untried(m)
        if v.status in MAY_HAVE_RUN and m.ran_at is None:
            m.ran_at, m.ran_zone = call.sent_at, call.host.zone
        if v.status in MAY_STILL_RUN and m.key is not None:
            # Reinserted last, so that expired keys are removed from the front.
            self.blocked_keys.pop(m.key, None)
            self.blocked_keys[m.key] = self.now + self.settings.rules.turn_gap
            while self.blocked_keys and self.blocked_keys[next(iter(self.blocked_keys))] <= self.now:
                del self.blocked_keys[next(iter(self.blocked_keys))]
        if v.finished or m.ended:
            self.finish(m)
        elif v.status is io.Status.OK:  # answered after the deadline: it ran, but has not ended
            self.end(m, ran=True)
        elif self.is_exhausted(m) or v.status is io.Status.MOOT and not v.no_slot:
            self.end(m)  # moot for a reason other than a missing slot: no later attempt would be sent either
        else:  # pending again, after a backoff that grows with the number of attempts
            backoff = min(MIN_BACKOFF_NS << min(m.attempts - 1, 8), m.klass.aim)
            m.not_before = self.now + round(backoff * self.random.uniform(0.5, 1.0))
            self.enqueue(m)

    def on_probed(self, event: io.Probed) -> None:
        if event.host in self.hosts:
            dest, host = self.hosts[event.host]
            host.probing = False
            self.mark_dirty(dest.number)
            call = Call(dest, host, self.now - event.cost, [])
            self.apply_outcome(call, event.status, 0, 0, event.report)

    def apply_outcome(
        self, call: Call, status: io.Status, response_time: int, wait: int, report: io.Report | None
    ) -> None:
        """Update the state of destination and host from the outcome of one call."""
        dest, host = call.dest, call.host
        remaining: float | None = None  # share of the limit, if reported
        if report is not None and self.is_plausible(dest, report):
            dest.rate_limit, remaining, dest.reports_limit = report.limit, report.left, True
            weight = 1 - math.exp((dest.remaining_at - self.now) / CEILING_RAISE_INTERVAL_NS)
            dest.remaining += weight * (min(remaining, 1.0) - dest.remaining)
            dest.remaining_at = self.now
        if status is io.Status.OK:
            dest.refused_since = None
            self.update_backoff(dest, False, remaining)
            host.last_ok_sent = max(host.last_ok_sent, call.sent_at)
            if host.calls >= host.max_calls:  # it accepted one connection more than before
                host.max_calls = host.calls + 1 if host.calls < self.max_calls_per_dest else NEVER
            self.record_time(dest.served, self.settings.rules.ramp_time)
            if response_time:
                overdue_after = self.overdue_after(dest)
                dest.mean_time += (response_time - dest.mean_time) * (MEAN_WEIGHT if dest.mean_time else 1.0)
                if self.overdue_after(dest) < overdue_after and dest.calls:
                    self.overdue_check_at = 0  # calls may be overdue sooner, or already
            self.record_health(dest, host, True)
        elif status is io.Status.CROWDED and dest.reports_limit:
            known_max = host.max_calls if self.now < host.max_calls_until else NEVER
            host.max_calls, host.max_calls_until = (
                max(1, min(known_max, call.concurrent_calls)),
                self.now + CONNECTION_RETRY_NS,
            )
        elif status in (io.Status.FULL, io.Status.CROWDED):
            self.on_refused(call, wait, remaining)
        elif status is io.Status.SPOILT:  # an answer, so earlier calls are overtaken; no evidence on health
            host.last_ok_sent = max(host.last_ok_sent, call.sent_at)
        elif status not in (io.Status.CANCELLED, io.Status.MOOT, io.Status.ABANDONED):
            # If a call that was sent later has been answered, the connection failed and not the host.
            overtaken = status in (io.Status.RESET, io.Status.TIMEOUT) and host.last_ok_sent > call.sent_at
            if not call.counted_overdue and not overtaken:
                self.record_health(
                    dest, host, False, RESET_FAILURE_WEIGHT if status is io.Status.RESET else FAILURE_WEIGHT
                )

    def is_plausible(self, dest: Destination, report: io.Report) -> bool:
        """Whether to use a report until the next one. It comes from another party and may hold any value."""
        low, high = (
            dest.listed_rate / MAX_LIMIT_RATIO or MIN_RATE_LIMIT_PER_S,
            dest.listed_rate * MAX_LIMIT_RATIO or MAX_RATE_LIMIT_PER_S,
        )
        return low <= report.limit <= high and report.left <= MAX_REMAINING_SHARE

    def on_refused(self, call: Call, wait: int, remaining: float | None) -> None:
        """Count a refusal towards a cut of the ceiling. Refusals that continue although the limit does not
        explain them mean that the destination is shut."""
        dest = call.dest
        dest.remaining /= 2  # the last report is too high by now
        if dest.refused_since is None:
            dest.refused_since = self.now
        if call.sent_at >= dest.ceiling_cut_at:  # calls sent before a cut give no evidence on the new ceiling
            dest.refusals.append(self.now)
        while dest.refusals and dest.refusals[0] <= self.now - REFUSAL_WINDOW_NS:
            dest.refusals.popleft()
        sent = self.rate(dest.sent, RATE_WINDOW_NS) * REFUSAL_WINDOW_NS / SECOND
        if len(dest.refusals) >= max(MIN_REFUSALS_TO_CUT, MIN_REFUSED_SHARE_TO_CUT * sent):
            dest.refusals.clear()
            current_rate = dest.ceiling or self.rate(dest.sent, RATE_WINDOW_NS)
            dest.ceiling = max(
                CEILING_CUT_FACTOR * current_rate, min(1.0, SECOND / max(1, self.share_interval(dest))) / 2
            )
            dest.ceiling_changed_at = dest.ceiling_cut_at = self.now
            self.log(f"cut dest={dest.number} ceiling={dest.ceiling:.3f}/s")
        if call.sent_at >= dest.backoff_set_at:
            self.update_backoff(dest, True, remaining)
            dest.backoff_until += wait
        # A requested wait that is longer than a spent limit explains means that the destination is shut and
        # reports when it opens. Without one, refusals that continue while the limit has room mean the same.
        if wait > REFUSAL_WINDOW_NS:
            self.estimate_warm_rate(dest, dest.refused_since)
            dest.last_failure_at = dest.ramp_from = self.now + wait
            dest.next_trial_at = self.next_trial_time(dest, dest.ramp_from, self.random.random())
        # Where calls are rare, two refusals in a row are enough.
        min_duration = 0 if self.share_interval(dest) > REFUSAL_WINDOW_NS else REFUSAL_WINDOW_NS - wait
        if (
            wait <= REFUSAL_WINDOW_NS
            and (remaining is None or remaining > AMPLE_SHARE)
            and self.now - dest.refused_since > min_duration
        ):
            self.record_health(dest, call.host, False)

    def update_backoff(self, dest: Destination, refused: bool, remaining: float | None) -> None:
        """Set the relay's own backoff after a call, for relays that see too few refusals to cut a rate.

        It grows with refusals, also from the end of a requested wait since all relays were given the same
        one, and when the limit is almost spent. It ends when half of the limit is left, shrinks like a
        ceiling in between, and halves with time. Where calls are rare, as many refusals as make a cut raise
        it to three intervals between calls, since refused calls may use up the limit too.
        """
        interval, half_life = self.share_interval(dest), 0
        if not dest.rate_limit and self.settings.relays >= MANY_RELAYS:
            # Many relays share a limit that is neither listed nor reported. The ramp time of the rules stands
            # in for the interval between calls. No report ends the backoff, so it decays as fast as ceilings
            # rise.
            interval, half_life = self.settings.rules.ramp_time, CEILING_RAISE_INTERVAL_NS
        calls_rare = interval > CEILING_RAISE_INTERVAL_NS
        max_backoff = 3 * interval if calls_rare else CEILING_RAISE_INTERVAL_NS
        dest.backoff *= 0.5 ** ((self.now - dest.backoff_set_at) / (half_life or max_backoff))
        if refused or calls_rare and remaining is not None and remaining < SPENT_SHARE:
            # Nothing reported: it may be shut. Nothing remaining: refused calls use up the limit. Both raise
            # the backoff faster.
            factor = (max_backoff / MIN_BACKOFF_NS) ** ((1 if remaining else 1.5) / MIN_REFUSALS_TO_CUT)
            grown = factor * max(MIN_BACKOFF_NS if calls_rare else 0.0, dest.backoff)
            dest.backoff = min(max(MIN_BACKOFF_NS, grown), max_backoff)
        else:
            reset = (
                not calls_rare
                or remaining is not None
                and remaining > AMPLE_SHARE
                or CEILING_CUT_FACTOR * dest.backoff < MIN_BACKOFF_NS
            )
            dest.backoff = 0.0 if reset else CEILING_CUT_FACTOR * dest.backoff
        dest.backoff_set_at = self.now
        dest.backoff_until = self.now + round(dest.backoff * self.random.uniform(0.5, 1.5))

    def estimate_warm_rate(self, dest: Destination, since: int) -> None:
        """At the first sign of trouble, note this relay's share of what the destination takes when warm: of
        the listed or reported limit, or the rate delivered so far."""
        if dest.failing_since is None:
            dest.failing_since = since
            served = self.rate(dest.served, self.settings.rules.ramp_time)
            dest.warm_rate = max(served, dest.rate_limit / self.settings.relays)

    def record_health(self, dest: Destination, host: Host, ok: bool, weight: float = FAILURE_WEIGHT) -> None:
        """Update failure shares from an outcome, and the time of the next trial after a failure."""
        for one in (dest, host):
            one.failure_share += weight * ((0.0 if ok else 1.0) - one.failure_share)
        was_in_outage, dest.in_outage = dest.in_outage, dest.failure_share > OUTAGE_FAILURE_SHARE
        if ok and was_in_outage and not dest.in_outage:
            dest.ramp_from = self.estimate_recovery_time(dest)
            dest.next_trial_at = self.next_trial_time(dest, self.now, self.random.random())
            self.log(f"back dest={dest.number} host={host.name}")
        elif ok and not dest.in_outage and not self.is_cold(dest):
            dest.failing_since = None
        elif not ok:
            self.estimate_warm_rate(dest, self.now)
            dest.last_failure_at = self.now
            if dest.in_outage:
                dest.ramp_from = None
            host.deprioritized_until = dest.next_trial_at = self.next_trial_time(
                dest, self.now, self.random.uniform(0.1, 1.0)
            )
            if dest.in_outage and not was_in_outage:
                self.log(f"outage dest={dest.number} host={host.name} part={dest.warm_rate:.3f}/s")

    def estimate_recovery_time(self, dest: Destination) -> int:
        """The unobserved moment of recovery: halfway back to the last failure, but at most half of a ramp
        ago. The trials of many relays lie further apart than a ramp, and the first relay to find the
        destination working would take it for warm."""
        return self.now - min(self.now - dest.last_failure_at, self.settings.rules.ramp_time) // 2

    def is_cold(self, dest: Destination) -> bool:
        """Whether the destination is on its ramp after an outage."""
        return dest.ramp_from is not None and self.now < dest.ramp_from + self.settings.rules.ramp_time

    def next_trial_time(self, dest: Destination, start: int, calls: float) -> int:
        """When this relay's share of what a destination in trouble or on its ramp may get (rule 4) has grown
        by ``calls``. Every relay counts, also those with no messages for it: a relay cannot know how many
        have some, and one call from each may be more than the destination can take. If its capacity is
        unknown, all relays together send one call a second."""
        rules = self.settings.rules
        share_rate = max(dest.warm_rate, 1 / self.settings.relays) / SECOND
        max_rate = COLD_CAPACITY_FACTOR * rules.fall_multiple * share_rate
        if not self.is_cold(dest) or dest.ramp_from is None:
            return start + round(calls / (max_rate * rules.start_capacity))
        growth = max_rate * (1 - rules.start_capacity) / max(1, rules.ramp_time)
        rate_now = max_rate * rules.start_capacity + growth * max(0, start - dest.ramp_from)
        return start + round(2 * calls / (rate_now + math.sqrt(rate_now * rate_now + 2 * growth * calls)))

    def cancel_stalled(self, call: Call) -> None:
        """Cancel a call on a stalled connection: messages that may be repeated need not wait for its
        time-out, and the host gets back an entry in its connection table."""
        if not self.settings.limits.cancel:
            return
        for m in call.messages:
            repeatable = m.klass.repeat is io.Repeat.SAFE or (
                m.klass.repeat is io.Repeat.KEYED and self.now < call.sent_at + m.klass.repeat_window
            )
            if m.call is call and repeatable and m.attempts < self.settings.limits.most_tries and not m.ended:
                self.actions.append(io.Cancel(m.name, m.attempts - 1))

    def overdue_after(self, dest: Destination) -> int:
        """How long after its start a call is overdue."""
        return max(MIN_OVERDUE_NS, round(OVERDUE_FACTOR * dest.mean_time)) if dest.mean_time else self.min_aim

    def count_overdue_calls(self) -> None:
        """Count a call that takes much longer than the mean as a failure, once, since an unresponsive host
        reports no outcome at all. Not if a call sent later has been answered: that is a long-tailed response
        time, not an unhealthy host."""
        if self.overdue_check_at <= self.now:
            self.overdue_check_at = NEVER
            for call in self.calls:
                overdue_after = self.overdue_after(call.dest)
                overtaken = call.host.last_ok_sent >= call.sent_at
                due_at = call.sent_at + (STALLED_FACTOR * overdue_after if overtaken else overdue_after)
                if call.cancelled or call.counted_overdue and not overtaken:
                    continue
                if due_at > self.now:
                    self.overdue_check_at = min(self.overdue_check_at, due_at)
                elif overtaken:
                    call.cancelled = True
                    self.cancel_stalled(call)
                else:
                    call.counted_overdue = True
                    self.record_health(call.dest, call.host, False)
                    self.mark_dirty(call.dest.number)
        self.wake_at = min(self.wake_at, self.overdue_check_at)

    # ---- sending

    def rate(self, times: deque[int], span: int) -> float:
        """Events a second within the last ``span``."""
        while times and times[0] <= self.now - span:
            times.popleft()
        return len(times) * SECOND / max(SECOND, min(span, self.now - (self.started or 0)))

    def record_time(self, times: deque[int], span: int) -> None:
        """Record an event now for a rate over ``span``."""
        times.append(self.now)
        while times and times[0] <= self.now - span:
            times.popleft()

    def share_interval(self, dest: Destination) -> int:
        """The interval between calls that uses this relay's share of a known limit; 0 if no limit is
        known."""
        return round(SECOND * self.settings.relays / dest.rate_limit) if dest.rate_limit else 0

    def call_spacing(self, dest: Destination) -> int:
        """Time between calls where many relays share a limit and each sees too few refusals for a cut.

        A relay keeps to its share from the first call, a little more or less depending on how much of the
        limit answers report as remaining. That figure reflects what all relays do, but with delay: if it
        reports the whole limit as remaining, all relays would use it up at once.
        """
        if self.settings.relays < MANY_RELAYS:
            return 0
        factor = MIN_SHARE_FACTOR + (MAX_SHARE_FACTOR - MIN_SHARE_FACTOR) * dest.remaining
        return round(
            # More than this relay's share where others leave theirs unused.
            self.share_interval(dest) / (factor + UNUSED_FACTOR * max(0.0, dest.remaining - UNUSED_SHARE))
        )

    def raise_ceiling(self, dest: Destination) -> None:
        """Raise a ceiling towards its target along an exponential curve, more slowly than it was cut, and
        drop it once it is near the target."""
        while dest.ceiling is not None and self.now >= dest.ceiling_changed_at + CEILING_RAISE_INTERVAL_NS:
            wanted = 2 * self.rate(dest.arrived, RATE_WINDOW_NS)
            target = dest.rate_limit / self.settings.relays if dest.rate_limit else wanted
            dest.ceiling_changed_at += CEILING_RAISE_INTERVAL_NS
            dest.ceiling += CEILING_RAISE_SHARE * max(0.0, target - dest.ceiling)
            if dest.ceiling >= CEILING_REACHED_SHARE * target:
                dest.ceiling = None
                self.log(f"ceiling dropped dest={dest.number}")

    def max_calls(self, dest: Destination) -> int:
        """Concurrent calls allowed at a destination: Little's Law, capped."""
        slots = self.settings.slots
        limit = self.max_calls_per_dest
        if dest.ceiling is not None:
            limit = min(limit, max(1, round(2 * dest.ceiling * dest.mean_time / SECOND)))
        if dest.failure_share > SUSPECT_FAILURE_SHARE:
            limit = min(limit, max(1, slots // 2))  # a suspect destination gets half at most
        return limit

    def count_stalled(self, dest: Destination) -> int:
        """Calls on stalled connections: in flight for long while later calls to the same host are answered.
        They wait for their time-outs and cause no work at the destination. At most an eighth of the slots
        counts as such."""
        count = 0
        oldest = self.now - self.overdue_after(dest)
        for call in itertools.islice(dest.calls, self.settings.slots // 8):
            if call.sent_at > oldest:
                break
            count += call.host.last_ok_sent > call.sent_at
        return count

    def admission_time(self, dest: Destination, host: Host) -> int:
        """The admission check of a host: when a call may be sent to it, regardless of the message. A time not
        after now means now; NEVER means that only an event can change the answer. ``message_admission_time``
        adds the conditions that depend on the message."""
        if not host.usable or len(self.calls) >= self.settings.slots:
            return NEVER
        if self.stopping_at < NEVER and self.now + self.overdue_after(dest) > self.stopping_at:
            return NEVER  # would be cut off and might have run: the next process sends it
        if (dest.failure_share > SUSPECT_FAILURE_SHARE or dest.refused_since is not None) and (
            host.probing or not self.may_send_trial(dest)
        ):
            return NEVER  # suspect, or refused since the last success: one call at a time
        limit = self.max_calls(dest)
        if len(dest.calls) >= limit and len(dest.calls) >= limit + self.count_stalled(dest):
            return NEVER
        routes = self.routes[dest.number]
        calls_here = len(dest.calls) if len(routes) == 1 else sum([len(route.calls) for route in routes])
        if calls_here >= self.max_calls_per_dest:
            return NEVER  # all routes of a destination count against its share of the slots
        when = max(dest.wait_until, dest.backoff_until)
        if host.calls >= host.max_calls:
            if host.calls > host.max_calls:
                return NEVER
            when = max(when, host.max_calls_until)
        if dest.ceiling is not None:
            when = max(when, dest.next_call_at)
        when = max(when, dest.last_due_at + self.call_spacing(dest))
        if dest.failure_share > SUSPECT_FAILURE_SHARE or self.is_cold(dest):
            when = max(when, dest.next_trial_at)
        return when

    def message_admission_time(self, dest: Destination, host: Host, m: Message) -> int:
        """When ``m`` may be sent to a host that admits calls now; NEVER if only an event can change that."""
        when = m.not_before
        if m.key is not None:
            if self.key_queues[m.key][0] is not m:
                return NEVER
            when = max(when, self.blocked_keys.get(m.key, 0))
        if not self.may_repeat(m, host):
            return NEVER
        if (
            m.klass.repeat is io.Repeat.UNSAFE
            and dest.failure_share > SUSPECT_FAILURE_SHARE
            and self.now < self.last_resort(m)
        ):
            return NEVER
        return when

    def last_resort(self, m: Message) -> int:
        """The time from which a message that may not be repeated may go to a suspect destination. Until then
        a repeatable message or a probe goes first."""
        return m.deadline - m.klass.aim if self.settings.limits.probes else 0

    def may_send_trial(self, dest: Destination) -> bool:
        """Whether a suspect destination may get its single trial call. An overdue call on a stalled
        connection may stay open until its deadline; since it has been counted, a few such calls do not block
        the trial."""
        overdue = sum(call.counted_overdue for call in dest.calls)
        stalled = self.count_stalled(dest)
        return overdue + stalled >= len(dest.calls) and overdue <= self.settings.slots // 8

    def clear_to_send(self, now: int, call: str | None, name: str) -> bool:
        """The final check before the first byte of a call, or of a probe if ``call`` is None. The connection
        may have taken long to establish, and what the relay learned meanwhile applies to it (rules 2, 3 and
        6)."""
        return self.obstacle(now, call, name) is None

    def obstacle(self, now: int, call: str | None, name: str) -> io.Obstacle | None:
        """What prevents the first byte of a call or a probe; None if it may begin."""
        self.now = now
        m = self.messages.get(call) if call is not None else None
        if m is not None and m.call is not None:
            dest, host = m.call.dest, m.call.host
            if m.ended or now >= m.deadline:
                return io.Obstacle.OVER
            if not self.may_repeat(m, host):
                return io.Obstacle.NO_REPEAT
        elif call is None and name in self.hosts:
            dest, host = self.hosts[name]
        else:
            return io.Obstacle.UNKNOWN
        if not host.usable:
            return io.Obstacle.DRAINS
        return io.Obstacle.TOLD_TO_WAIT if now < dest.wait_until else None

    def slot_time(self, queue: DestinationQueue[Message], klass: io.MessageClass) -> float:
        """How long a call to the destination takes, by its fastest route."""
        means = [r.mean_time for r in self.routes.get(queue.number, ()) if r.mean_time]
        return min(means) if means else klass.aim / 4

    def urgency(self, m: Message, cost: float) -> float:
        """Worth lost if the message waits for another aim, for each ns of slot time."""
        then = self.now + round(cost)
        return (self.worth_at(m, then) - self.worth_at(m, then + m.klass.aim)) / cost

    def plan(self) -> None:
        """One pass over the messages that may be sent now, most urgent first."""
        for dest in self.ceiling_timers.pop_due(self.now):
            self.mark_dirty(dest.number)  # without a queue, the ceiling is raised when a message arrives
            if dest.number in self.dest_queues:
                self.raise_ceiling(dest)
        for queue in self.new_queues:
            for dest in self.routes.get(queue.number, ()):
                self.raise_ceiling(dest)
        self.new_queues.clear()
        if len(self.calls) >= self.settings.slots:
            return  # no slot is free before the next outcome
        for m in self.backoff_timers.pop_due(self.now):
            if m.key is None or self.key_queues[m.key][0] is m:
                self.make_eligible(m)
        for queue in (*self.open_timers.pop_due(self.now), *self.recheck_timers.pop_due(self.now)):
            self.dirty[queue] = None
        to_evaluate, self.dirty = self.dirty, {}
        too_late: list[tuple[Message, int]] = []
        for queue in to_evaluate:
            too_late += self.evaluate_queue(queue)
        for m, opens_at in too_late:  # refused at once: another relay may be able to try sooner
            self.end(m, opens_at)
        if self.are_slots_short():  # first to routes that are not saturated
            self.send_most_urgent(True)
            self.send_most_urgent(False)
        else:
            self.send_all()
        if self.settings.limits.probes:
            self.send_probes()
        if len(self.calls) < self.settings.slots:
            self.wake_at = min(self.wake_at, self.open_timers.earliest(), self.backoff_timers.earliest())

    def are_slots_short(self) -> bool:
        """Whether the sendable queues together would take more than half of the slots."""
        free = self.settings.slots // 2 - len(self.calls)
        for queue in self.sendable:
            free -= len(queue)
            if free < 0:
                return True
        return free < 0

    def evaluate_queue(self, queue: DestinationQueue[Message]) -> list[tuple[Message, int]]:
        """Determine whether a queue may send, or from when. Returns the messages that would then be too late,
        with that time."""
        opens_at = recheck_at = NEVER
        suspect = False
        for dest in self.routes.get(queue.number, ()):
            self.raise_ceiling(dest)
            if dest.ceiling is not None:
                self.ceiling_timers.put(dest, dest.ceiling_changed_at + CEILING_RAISE_INTERVAL_NS)
            if dest.ramp_from is not None and self.is_cold(dest):
                recheck_at = min(recheck_at, dest.ramp_from + self.settings.rules.ramp_time)
            suspect = suspect or dest.failure_share > SUSPECT_FAILURE_SHARE
            for host in dest.hosts:
                opens_at = min(opens_at, self.admission_time(dest, host))
        self.recheck_timers.put(queue, recheck_at)
        if opens_at <= self.now:
            queue.opens_at = 0
            self.open_timers.drop(queue)
            if suspect:
                self.suspect_queues[queue] = None
            self.sendable.put(queue, RANK_FIRST, self.now)
            return []
        queue.opens_at = opens_at
        self.mark_closed(queue)
        self.open_timers.put(queue, opens_at)
        if opens_at >= NEVER:
            return []
        earliest_wait_end = min(route.wait_until for route in self.routes[queue.number])
        due = queue.due_by(opens_at)
        return [
            (m, opens_at)
            for m in due
            if self.may_refuse(m) and (not m.recovered_untried or earliest_wait_end >= m.deadline)
        ]

    def mark_closed(self, queue: DestinationQueue[Message]) -> None:
        self.sendable.drop(queue)
        self.suspect_queues.pop(queue, None)

    def by_urgency(self, queue: DestinationQueue[Message], count: int) -> Iterator[tuple[Key, Message]]:
        """The eligible messages of a queue, most urgent first, with their keys.

        In long queues only about ``count`` messages of each group are weighed at first, around the deadlines
        where urgency peaks, and more if those do not suffice.
        """
        urgent = self.urgent_recovered(queue)
        seen = {m.serial for m in urgent}
        yield from (
            # Ahead of all other keys.
            ((-math.inf, m.deadline, m.arrived, queue.entry_serial, m.serial), m)
            for m in urgent
        )
        wanted = count
        suspect = all(r.failure_share > SUSPECT_FAILURE_SHARE for r in self.routes.get(queue.number, ()))
        while True:
            found: list[tuple[Key, Message]] = []
            complete = True
            for group in list(queue.by_group.values()):
                cost = self.slot_time(queue, next(iter(group)).klass)
                for m in self.most_urgent(group, cost, suspect, wanted):
                    if m.serial not in seen:
                        key = (-self.urgency(m, cost), m.deadline, m.arrived, queue.entry_serial, m.serial)
                        found.append((key, m))
                complete = complete and len(group) <= max(MAX_EVALUATED_PER_TICK // 4, wanted)
            seen.update(m.serial for _, m in found)
            found.sort()
            yield from found
            if complete or not found:
                return
            wanted *= 4

    def most_urgent(
        self, group: DeadlineQueue[Message], slot_time: float, suspect: bool, peak_width: int
    ) -> list[Message]:
        """The most urgent messages of one group, among others. Urgency has two peaks: where the deadline is
        one aim away, since all worth is lost by then, and where the aim has just passed. It falls on both
        sides of each."""
        end = len(group)
        klass = next(iter(group)).klass
        if suspect and klass.repeat is io.Repeat.UNSAFE and self.settings.limits.probes:
            end = group.count_until(self.now + klass.aim)  # later deadlines may not go yet: see last_resort
        if end <= max(MAX_EVALUATED_PER_TICK // 4, peak_width):
            return group.slice(0, end)
        then = self.now + round(slot_time)
        expiring_end, aim_passing_end = (
            group.count_until(then + klass.aim),
            group.count_until(then + klass.deadline - klass.aim),
        )
        low, high = sorted((min(expiring_end, end), min(aim_passing_end, end)))
        if low + peak_width >= high - peak_width:
            return group.slice(low - peak_width, min(end, high + peak_width))
        return group.slice(low - peak_width, low + peak_width) + group.slice(
            high - peak_width, min(end, high + peak_width)
        )

    def send_all(self) -> None:
        """There are enough slots: every sendable queue sends what its destination accepts."""
        for queue in list(self.sendable):
            if len(queue) == 1 and not queue.deferred:
                self.try_send(next(iter(queue.messages.values())), queue, None)
                continue
            for _, m in self.by_urgency(queue, 8):
                if not self.try_send(m, queue, None):
                    break

    def send_most_urgent(self, skip_saturated: bool) -> None:
        """Merge the sendable queues, most urgent message first, while slots are free."""
        for queue in self.sendable.stalest(MAX_EVALUATED_PER_TICK // 2, self.now - MAX_RANK_AGE_NS):
            self.sendable.put(queue, RANK_FIRST, self.now)
        heads: list[tuple[Key, Message, Iterator[tuple[Key, Message]]]] = []
        opened: dict[DestinationQueue[Message], Key] = {}  # queues and the keys of their first messages
        openings_left = 4 * MAX_EVALUATED_PER_TICK + self.settings.slots  # queues opened in one tick
        while len(self.calls) < self.settings.slots:
            best = self.sendable.first()
            if best is not None and (not heads or best[0] <= heads[0][0]) and openings_left:
                queue = best[1]
                self.sendable.drop(queue)
                openings_left -= 1
                following = self.by_urgency(queue, min(8, self.settings.slots - len(self.calls)))
                found = next(following, None)
                opened[queue] = found[0] if found is not None else (0.0, NEVER)
            elif heads:
                _, m, following = heapq.heappop(heads)
                queue = self.dest_queues[m.dest]
                if m.call is None and not m.ended and not self.try_send(m, queue, skip_saturated):
                    continue  # no other message may be sent there
                found = next(following, None)
            else:
                break
            if found is not None:
                heapq.heappush(heads, (*found, following))
        if not openings_left and len(self.sendable):
            self.wake_at = min(self.wake_at, self.now + 1)
        for queue, key in opened.items():
            if queue:
                self.sendable.put(queue, RANK_FIRST if queue in self.dirty else key, self.now)

    def try_send(self, m: Message, queue: DestinationQueue[Message], skip_saturated: bool | None) -> bool:
        """Send a message to the best host that admits it, in one call with others for that host if its kind
        allows. Returns whether any other message of the queue may still be sent."""
        fees = self.settings.zone_fees
        routes = self.routes[m.dest]
        best: tuple[Destination, Host] | None = None
        best_rank: tuple[float, ...] = ()
        others_may_follow = False
        for dest in routes:
            saturated = skip_saturated is not None and self.is_saturated(dest)
            for host in dest.hosts:
                when = self.admission_time(dest, host)
                if when <= self.now and not (saturated and skip_saturated):
                    others_may_follow = True
                    when = self.message_admission_time(dest, host, m)
                elif when <= self.now:
                    continue
                if when > self.now:
                    if when < NEVER:
                        self.wake_at = min(self.wake_at, when)
                    continue
                fee = fees[host.zone] if host.zone < len(fees) and len(routes) > 1 else 0.0
                suspect = host.failure_share > SUSPECT_FAILURE_SHARE and host.deprioritized_until > self.now
                rank = (suspect, saturated, 0.0 if saturated else fee, host.calls, host.last_sent)
                if best is None or rank < best_rank:
                    best, best_rank = (dest, host), rank
        if best is None:
            return others_may_follow
        dest, host = best
        batch = [m]
        if dest.per_call > 1 and not dest.in_outage:
            for _, other in self.by_urgency(queue, dest.per_call):
                if len(batch) >= dest.per_call:
                    break
                if other is not m and self.message_admission_time(dest, host, other) <= self.now:
                    batch.append(other)
        call = Call(dest, host, self.now, batch, concurrent_calls=host.calls)
        self.record_call(dest, host)
        self.calls[call] = None
        host.calls += 1
        dest.calls.append(call)
        self.overdue_check_at = min(self.overdue_check_at, self.now + self.overdue_after(dest))
        for one in batch:
            one.call = call
            one.attempts += 1
            call.open_messages += 1
            self.dequeue(one)
            self.actions.append(io.Send(one.name, host.name, self.attempt_deadline(one, dest)))
        self.mark_dirty(m.dest)
        return bool(queue)

    def is_saturated(self, dest: Destination) -> bool:
        """Whether a route has as many calls in flight as its share of the limit supports at the pace of the
        fastest route (Little's Law). Further calls would wait there and occupy slots, which costs more than
        the fee of a route with room."""
        means = [r.mean_time for r in self.routes[dest.number] if r.mean_time]
        if not means or not dest.rate_limit:
            return False
        return len(dest.calls) >= max(1, round(min(means) / self.share_interval(dest)))

    def record_call(self, dest: Destination, host: Host) -> None:
        """Account for a call in everything that paces the next one. Under a ceiling, at most the calls of one
        second may catch up."""
        self.record_time(dest.sent, RATE_WINDOW_NS)
        host.send_gap = self.now - host.last_sent
        host.last_sent = self.now
        if dest.ceiling is not None:
            dest.next_call_at = max(dest.next_call_at, self.now - SECOND) + round(SECOND / dest.ceiling)
        spacing = self.call_spacing(dest)
        dest.last_due_at = max(dest.last_due_at + spacing, self.now - (MAX_BURST_CALLS - 1) * spacing)
        if dest.failure_share > SUSPECT_FAILURE_SHARE or self.is_cold(dest):
            dest.next_trial_at = self.next_trial_time(dest, self.now, 1.0)

    def close_idle(self) -> None:
        """Close idle connections unless the next call is expected soon. Idle connections of many relays fill
        a host's connection table, and the host drops them without notice. All relays together keep one open
        no longer than a single relay might."""
        for host in self.freed_hosts:
            if not host.calls and host.send_gap > self.settings.limits.conn_idle // self.settings.relays:
                self.actions.append(io.Close(host.name))
        self.freed_hosts.clear()

    def attempt_deadline(self, m: Message, dest: Destination) -> int:
        """When to give up an attempt. A time-out is of use only for messages that may be repeated."""
        latest = m.deadline - self.expiry_lead()
        if m.klass.repeat is io.Repeat.UNSAFE:
            return latest
        return min(latest, self.now + max(2 * self.overdue_after(dest), m.klass.aim))

    def send_probes(self) -> None:
        """Probe suspect hosts for which messages wait that may not be repeated."""
        for queue in list(self.suspect_queues):
            heads = [m for group in queue.by_group.values() for m in group.slice(0, 1)]
            if not any(m.klass.repeat is io.Repeat.UNSAFE for m in (*heads, *queue.deferred.values())):
                continue
            for dest in self.routes.get(queue.number, ()):
                for host in dest.hosts:
                    busy = host.probing or host.calls
                    if (
                        dest.failure_share > SUSPECT_FAILURE_SHARE
                        and not busy
                        and self.admission_time(dest, host) <= self.now
                    ):
                        host.probing = True
                        self.record_call(dest, host)
                        self.mark_dirty(dest.number)
                        self.actions.append(io.Probe(host.name, self.now + PROBE_TIMEOUT_NS))

    def log(self, text: str) -> None:
        self.actions.append(io.Log(text))
