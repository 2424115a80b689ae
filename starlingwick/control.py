"""Every decision of a relay: when each held message is sent, where, how often, and how it ends.

The types it is told and answers with stand in ``io.py``. The mechanism is that of "Adaptive
Architecture": a rate ceiling for each destination, cut to 0.75 on runs of refusals and climbing back more
slowly along an exponential curve, and calls out sized by Little's Law (rate times mean response time).
Order of work in one turn: take in all events, end what must end, then one planning pass sends.

A turn costs by what changed, not by what is held: a destination is looked at when an event touched it or a
time of its own has come, and of what waits there only the most urgent are weighed (``queues.py`` keeps them).
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
from starlingwick.model import AMPLE_REMAINING_SHARE, Call, Destination, Host, Message
from starlingwick.queues import NEVER, DeadlineQueue, DestinationQueue, Key, Ranking, TimerQueue, UntriedQueue

SECOND = 1_000_000_000

# The design's own figures.
CEILING_CUT_FACTOR = 0.75  # what a cut leaves of the ceiling
CUT_AFTER = 3  # refusals within REFUSAL_WINDOW_NS that cut
REFUSAL_WINDOW_NS = 2 * SECOND
MIN_REFUSED_SHARE_TO_CUT = (
    0.1  # of the calls in that span, where more than a few are made: fewer refusals are no overload
)
CLIMB_EVERY = 2 * SECOND
CLIMB_SHARE = 0.25  # of the gap to the target, each climb
REACHED = 0.95  # an exponential never arrives: this near the target, the ceiling is dropped
SENT_SPAN = 4 * SECOND  # "the last few seconds": two climbs
SLOT_SHARE = 0.75  # of the slots, for one destination

# Ours.
BAD_WEIGHT = 0.3  # of the newest outcome in a host's share of bad ones: two bad in a row pass one half
RESET_WEIGHT = 0.2  # of a reset: one connection's end does not make its host suspect, two in a row do
SUSPECT_FAILURE_SHARE = 0.25  # one failure exceeds it, and one success after that goes back below it
OUTAGE_FAILURE_SHARE = 0.5  # most calls fail: the rules' own word for an outage
MEAN_WEIGHT = 0.1  # of the newest response time in the mean
LATE = 4  # mean response times after which a call is overdue: few of a skewed lot run so long
SILENT = 4  # times that, and passed by later ones: its connection fell silent, and nothing will come on it
CROWD_REST = SECOND  # before a host that holds no more connections is tried with one more
SPENT = 0.1  # this little left, noisy as it is told: the next call is refused as likely as not
MIN_BACKOFF_NS = SECOND // 4  # first pause of our own after a refusal or a failure; it grows with the trouble
PROBE_TIME = 3 * SECOND // 2  # for a probe's answer
TRUST = 10.0  # times the agreed rate that a reported limit may lie above or below it
LEAST_LIMIT, MOST_LIMIT = 0.05, 10_000.0  # calls a second: what any destination might report
MOST_LEFT = 1.5  # of a limit: noise makes a little more than all of it, nothing makes this
MAX_EVALUATED_PER_TICK = 64  # destinations, or messages of one; the others in later ticks
MAX_RANK_AGE_NS = SECOND // 50  # for which the rank of a destination is good enough: worth falls over seconds
FIRST = (-math.inf,)  # ahead of all ranks: to be weighed before any other is chosen
LAG_TURNS = 3  # rounds of the loop from a time that has come to its notice on the way
MAX_LOOP_LAG_NS = SECOND // 5  # half of what clients wait for an answer: beyond it newcomers are refused
MANY_RELAYS = 8  # relays: fewer have calls enough to learn by their own refusals
LEAST_PART, MOST_PART = 0.7, 1.2  # of its part of a limit that a relay sends with nothing, and with all, left
UNUSED = 0.85  # this much left for seconds, and others leave their parts
UNUSED_PART = 8.0  # what of its part a relay sends more for each whole of a limit beyond that
BURST = 2  # calls that may catch up on an allowance
BUDGET = 0.9  # of this relay's part of what a cold destination can take: the estimate of capacity is noisy

MAY_STILL_RUN = (io.Status.TIMEOUT, io.Status.RESET, io.Status.CANCELLED)
MAY_HAVE_RUN = (io.Status.ERROR, io.Status.SPOILT, *MAY_STILL_RUN)


class Pacer:
    """The decisions of one relay. Feed it events; carry out what it answers."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.least_aim = min(c.aim for c in settings.classes)
        self.most_there = max(1, int(SLOT_SHARE * settings.slots))  # calls out at one destination
        self.now = 0
        self.started: int | None = None
        self.actions: list[io.Action] = []
        self.messages: dict[str, Message] = {}
        self.dest_queues: dict[int, DestinationQueue[Message]] = {}  # by destination; no attempt out
        self.pending_count = 0
        self.entries = 0  # into the hold, of messages and of lanes
        self.touched: dict[DestinationQueue[Message], None] = {}  # changed since they were last evaluated
        self.fresh: list[DestinationQueue[Message]] = []  # of those, the ones that came to be in this turn
        self.open: Ranking[DestinationQueue[Message]] = Ranking()  # may send, by most urgent message
        self.recovered_untried: dict[int, UntriedQueue[Message]] = {}  # by destination number: see Message
        self.suspects: dict[DestinationQueue[Message], None] = {}  # of those, with a suspect destination
        self.opening: TimerQueue[DestinationQueue[Message]] = TimerQueue()  # when closed ones open
        self.looks: TimerQueue[DestinationQueue[Message]] = (
            TimerQueue()
        )  # when to look at one again though nothing opens it
        self.climbs: TimerQueue[Destination] = TimerQueue()
        self.resting: TimerQueue[Message] = TimerQueue()  # when messages that stand aside may go
        self.unpriced: dict[DestinationQueue[Message], None] = {}  # changed since ``cheapest`` ranked them
        self.cheapest: Ranking[DestinationQueue[Message]] = Ranking()  # lanes by what earns least there
        self.blame_at = NEVER  # when the next call is overdue, at the earliest
        self.lag = 0  # of the loop that drives this, as it told
        self.key_queues: dict[str, deque[Message]] = {}
        self.blocked_keys: dict[str, int] = {}
        self.expiry: list[tuple[int, str]] = []
        self.routes: dict[int, list[Destination]] = {}  # by destination number
        self.hosts: dict[str, tuple[Destination, Host]] = {}
        self.excluded: set[str] = set()  # hosts that staff took out by hand, listed or not
        self.freed: list[Host] = []  # hosts whose call ended this turn
        self.calls: dict[Call, None] = {}  # out, oldest first: each holds a slot
        self.tenant_due = [0] * len(settings.tenant_rates)  # when the next message is within the share
        self.discovery_schedule = DiscoverySchedule(settings, self.random)
        self.stopping_at = NEVER  # when the process ends
        self.alarm = 0  # the newest alarm asked for; older ones need no answer
        self.alarm_at = NEVER
        self.wake_at = NEVER

    def handle(self, now: int, events: Iterable[io.Event]) -> list[io.Action]:
        """Take in a batch of events, then plan; the actions take effect at ``now``."""
        self.now = now
        self.actions = []
        self.wake_at = NEVER
        if self.started is None:
            self.started = now
            if self.settings.discovery is io.Discovery.SUBSCRIBE:
                self.discovery_schedule.start(now)
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
                    self.touched.update(dict.fromkeys(self.dest_queues.values()))
                case io.Lagging():
                    if (event.lag > MAX_LOOP_LAG_NS) != (self.lag > MAX_LOOP_LAG_NS):
                        says = "newcomers are refused" if event.lag > MAX_LOOP_LAG_NS else "it keeps up again"
                        self.log(f"loop lags by {event.lag / SECOND:.2f} s: {says}")
                    self.lag = event.lag
                case io.Withdrawn():
                    if event.call in self.messages:
                        self.finish(self.messages[event.call])
                case io.Roster():
                    self.on_roster(event)
                case io.WatchMissing():
                    self.discovery_schedule.missing(now)
                case io.Probed():
                    self.on_probed(event)
                case io.Excluded():
                    self.on_excluded(event)
                case io.Alarm():  # a coarser clock may bring it a moment early: it is spent all the same
                    if event.token == self.alarm:
                        self.alarm_at = NEVER
        if self.alarm_at <= now:
            self.alarm_at = NEVER
        self.ask()
        self.blame_overdue()
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

    def ask(self) -> None:
        """Subscribe where it is time, and wake up for the next."""
        if self.discovery_schedule.due(self.now):
            self.actions.append(io.Subscribe())
        if not self.discovery_schedule.subscribed:
            self.wake_at = min(self.wake_at, self.discovery_schedule.next_call_at)

    def on_roster(self, event: io.Roster) -> None:
        if event.scope is io.ListScope.FAILED:
            self.log(self.discovery_schedule.failed(self.now))
            return
        if event.scope is not io.ListScope.CACHED and event.current:
            self.discovery_schedule.answered()
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
        if self.settings.listed_rates and not dest.rate_limit and LEAST_LIMIT <= entry.rate <= MOST_LIMIT:
            dest.listed_rate = dest.rate_limit = entry.rate
            if self.settings.relays >= MANY_RELAYS:  # which start together, and with nothing saved up
                dest.last_due_at = self.now - round(self.random.random() * self.call_spacing(dest))

    def on_excluded(self, event: io.Excluded) -> None:
        """By hand a host drains until the call that puts it back. It was restarted meanwhile and is cold: so
        is all that is paced with it, unless others there served on."""
        (self.excluded.add if event.out else self.excluded.discard)(event.host)
        if event.host not in self.hosts:
            return
        dest, host = self.hosts[event.host]
        was, host.usable = host.usable, host.listed is io.Availability.RUNNING and not event.out
        if host.usable and not was and not any(one.usable for one in dest.hosts if one is not host):
            self.estimate_warm_rate(dest, self.now)
            dest.ramp_from = self.now
            dest.next_at = self.next_trial_time(dest, self.now, self.random.random())
        self.mark_dirty(dest.number)

    def count_avoided_hosts(self) -> int:
        """How many listed hosts get no ordinary work now: they drain, by the list or by hand, or are out."""
        return sum(
            not host.usable or dest.in_outage or host.failure_share > OUTAGE_FAILURE_SHARE
            for dest, host in self.hosts.values()
        )

    def remove_host(self, name: str) -> None:
        """A host that is gone; its calls run on. A route goes with its last host: memory stays bounded."""
        if name in self.hosts:
            dest, host = self.hosts.pop(name)
            self.mark_dirty(dest.number)
            host.usable = False  # for a call on its way there: see clear_to_send
            dest.hosts.remove(host)
            if not dest.hosts and len(self.routes[dest.number]) > 1:
                self.routes[dest.number].remove(dest)
                self.climbs.drop(dest)

    # ---- messages come and go

    def within_share(self, tenant: int) -> bool:
        """Whether a tenant's message is within its share; two seconds' worth, or two, may come at once."""
        if tenant >= len(self.tenant_due):
            return True
        gap = round(SECOND * self.settings.relays / max(self.settings.tenant_rates[tenant], 1e-9))
        due = max(self.tenant_due[tenant], self.now - max(2 * SECOND, 2 * gap))
        self.tenant_due[tenant] = due + gap if due <= self.now else due
        return due <= self.now

    def on_arrived(self, event: io.Arrived) -> None:
        if not event.storable or self.lag > MAX_LOOP_LAG_NS:
            # What cannot be kept is not taken on, nor what cannot be kept up with: the promises come first.
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
        self.enter(message)
        for route in self.routes.get(event.dest, ()):
            self.mark(route.arrived, SENT_SPAN)

    def on_recovered(self, r: io.Recovered) -> None:
        """Take up again what an earlier life held: its attempts count on, and so does what may have run."""
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
            self.take_up(m, r.host, r.ran_zone, r.sent_at)
        elif self.is_spent(m):
            self.end(m)
        else:
            if m.recovered_untried:
                self.recovered_untried.setdefault(m.dest, UntriedQueue()).add(m)
            self.enter(m)

    def is_recovered_untried(self, r: io.Recovered) -> bool:
        """Whether an earlier life took it on and never tried it."""
        return not r.attempts and r.ran_ago is None

    def settle_owed(self, m: Message) -> None:
        """It has been tried, or is over."""
        m.recovered_untried = False
        owed = self.recovered_untried.get(m.dest)
        if owed is not None:
            owed.discard(m)
            if not owed:
                del self.recovered_untried[m.dest]

    def pressing(self, lane: DestinationQueue[Message]) -> list[Message]:
        """What an earlier life left untried and has to go now, if all of it is to be tried in its time at the
        pace that its destination takes: fresher ones are worth more, and would always go first."""
        if lane.number not in self.recovered_untried:
            return []
        first = self.recovered_untried[lane.number].first(MAX_EVALUATED_PER_TICK)
        owed = [m for m in first if m.call is None and m.name not in lane.aside]
        pace = sum(self.rate(r.sent, SENT_SPAN) for r in self.routes.get(lane.number, ()))
        gap = round(SECOND / max(pace, SECOND / REFUSAL_WINDOW_NS))
        found: list[Message] = []
        start = NEVER
        for m in reversed(owed):
            start = min(start - gap, m.deadline - m.klass.aim)
            if self.now >= start:
                found.append(m)
        return found[::-1]

    def take_up(self, m: Message, name: str, zone: int, sent_at: int) -> None:
        """A call that was sent before this Pacer was made: it holds its slot, also at a host that is gone."""
        gone = (Destination(m.dest, 1), Host(name, zone, usable=False))
        dest, host = self.hosts.get(name, gone)
        m.call = call = Call(dest, host, sent_at, [m], open=1, beside=host.calls)
        self.calls[call] = None
        host.calls += 1
        dest.calls.append(call)
        self.blame_at = 0

    def enter(self, m: Message) -> None:
        """Into the hold. What may not go yet stands aside: on a timer, or behind another of its key."""
        lane = self.dest_queues.get(m.dest)
        self.entries += 1
        if lane is None:
            lane = self.dest_queues[m.dest] = DestinationQueue(m.dest, self.entries)
            self.fresh.append(lane)
        m.serial = self.entries
        lane.add(m, m.not_before > self.now or m.key is not None and self.key_queues[m.key][0] is not m)
        if m.not_before > self.now:
            self.resting.put(m, m.not_before)
        self.touched[lane] = self.unpriced[lane] = None
        heapq.heappush(self.expiry, (m.deadline - 2 * self.settings.tick, m.name))

    def release(self, m: Message) -> None:
        """What stood aside may go."""
        if m.dest in self.dest_queues:
            self.dest_queues[m.dest].release(m)
            self.mark_dirty(m.dest)

    def mark_dirty(self, number: int) -> None:
        """Something has happened at a destination: look at what waits for it in this turn."""
        if number in self.dest_queues:
            self.touched[self.dest_queues[number]] = None

    def is_spent(self, m: Message) -> bool:
        """Whether no further attempt is open to a message that has none out."""
        return (
            m.attempts >= self.settings.limits.most_tries
            or not self.may_repeat(m, None)
            or self.now >= m.deadline - 2 * self.settings.tick
        )

    def worth_at(self, m: Message, when: int) -> float:
        """What a message earns if it is delivered then."""
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
        """Rule 2: a refusal promises that trying again is harmless."""
        if m.ran_at is None and m.call is None:
            return True
        if m.klass.repeat is io.Repeat.KEYED:
            return m.klass.key_scope is io.Scope.ALL
        return m.klass.repeat is io.Repeat.SAFE

    def may_shed(self, m: Message) -> bool:
        """Whether a message may make room for others: that of an earlier life has been promised a try."""
        return not m.recovered_untried and self.may_refuse(m)

    def may_repeat(self, m: Message, host: Host | None) -> bool:
        """Rule 2: whether a message may be sent (to that host, or to any) after what may have run."""
        if m.ran_at is None or m.klass.repeat is io.Repeat.SAFE:
            return True
        if m.klass.repeat is io.Repeat.UNSAFE or self.now >= m.ran_at + m.klass.repeat_window:
            return False
        return (
            host is None
            or m.klass.key_scope is io.Scope.ALL
            or (m.klass.key_scope is io.Scope.ZONE and host.zone == m.ran_zone)
        )

    def end(self, m: Message, opens: int = 0, ran: bool = False) -> None:
        """The one place where this relay ends a message: refused where that is legal, failed where not. At
        once, and never held back to keep the client away: it is told when to come again, if that is known."""
        if m.over:
            return
        hold_off = self.hold_off(opens - self.now)
        refuse = not ran and self.may_refuse(m)
        self.actions.append(io.Refuse(m.name, hold_off) if refuse else io.Fail(m.name))
        self.finish(m)

    def hold_off(self, time: int) -> int:
        """The time after which a client should come again, as far as clients are told any."""
        limits = self.settings.limits
        return max(0, min(time, limits.max_retry_after)) if limits.retry_after else 0

    def finish(self, m: Message) -> None:
        """A message is over; it stays known until its last attempt has an outcome."""
        if not m.over:
            m.over = True
            self.pending_count -= 1
            if m.recovered_untried:
                self.settle_owed(m)
        self.leave(m)
        if m.call is None:
            self.messages.pop(m.name, None)
            turn = self.key_queues.get(m.key) if m.key is not None else None
            if turn is not None and m.key is not None:
                turn.remove(m)
                if not turn:
                    del self.key_queues[m.key]
                elif turn[0].call is None and turn[0].not_before <= self.now:
                    self.release(turn[0])

    def leave(self, m: Message) -> None:
        """Out of the hold; a destination that nothing waits for is not looked at."""
        lane = self.dest_queues.get(m.dest)
        if lane is None or not lane.remove(m):
            return
        self.resting.drop(m)
        self.unpriced[lane] = None
        if not lane:
            del self.dest_queues[m.dest]
            self.close(lane)
            self.opening.drop(lane)
            self.looks.drop(lane)
            self.cheapest.drop(lane)
            self.touched.pop(lane, None)
            self.unpriced.pop(lane, None)

    def expire(self) -> None:
        """End what is held at its deadline, with time left for the answer: what the rule leaves, less what
        the loop needs until it is out."""
        early = self.early()
        while self.expiry and self.expiry[0][0] - early <= self.now:
            m = self.messages.get(heapq.heappop(self.expiry)[1])
            if m is not None and m.call is None:
                self.end(m)
        if self.expiry:
            self.wake_at = min(self.wake_at, self.expiry[0][0] - early)

    def early(self) -> int:
        """How long before a deadline an end has to be begun, beyond the usual."""
        return max(0, LAG_TURNS * self.lag - self.settings.rules.answer_slack)

    def shed(self) -> None:
        """A full hold turns newcomers away unseen: keep room by refusing what earns least by its turn."""
        most = max(1, self.settings.limits.most_held - max(1, self.settings.limits.most_held // 16))
        if self.pending_count <= most:
            return
        anew = [lane for lane, _ in zip(self.unpriced, range(MAX_EVALUATED_PER_TICK), strict=False)]
        turns: dict[DestinationQueue[Message], int] = {}
        for lane in (*anew, *self.cheapest.stalest(MAX_EVALUATED_PER_TICK // 4, self.now - MAX_RANK_AGE_NS)):
            self.price(lane, turns)
        while self.pending_count > most and (first := self.cheapest.first()) is not None:
            _, lane = first
            found = self.price(lane, turns)
            if found is not None and self.cheapest.first() == (found[1], lane):  # still, by its present worth
                self.end(found[0], turns[lane])

    def price(
        self, lane: DestinationQueue[Message], turns: dict[DestinationQueue[Message], int]
    ) -> tuple[Message, Key] | None:
        """Rank a lane for shedding: what earns least there by its turn, and its key. ``turns`` says when that
        is, so that it stays the same while one after the other is refused."""
        self.unpriced.pop(lane, None)
        if lane not in turns:
            pace = sum(self.rate(r.sent, SENT_SPAN) for r in self.routes.get(lane.number, ()))
            turns[lane] = self.now + round(len(lane) * SECOND / max(pace, SECOND / REFUSAL_WINDOW_NS))
        turn = turns[lane]
        best: tuple[Message, Key] | None = None
        candidates = list(lane.aside.values())
        for queue in lane.queues.values():
            candidates += self.cheap(queue, turn)
        for m in candidates:
            key = (self.worth_at(m, turn), self.worth_at(m, self.now), -m.arrived, -m.serial)
            if (best is None or key < best[1]) and self.may_shed(m):
                best = (m, key)
        if best is None:
            self.cheapest.drop(lane)
        else:
            self.cheapest.put(lane, best[1], self.now)
        return best

    def cheap(self, queue: DeadlineQueue[Message], turn: int) -> list[Message]:
        """Those of a queue among which the one is that earns least: worth never falls with a later deadline,
        so it is the first that may be refused, or the newest of those that earn as little."""
        if len(queue) <= MAX_EVALUATED_PER_TICK // 4:
            return list(queue)
        first = next(filter(self.may_shed, queue), None)
        if first is None:
            return []
        alike = min(self.earns_alike(first, turn), self.earns_alike(first, self.now))
        end = queue.until(alike) if alike < NEVER else len(queue)
        newest = (m for m in queue.before(end) if self.may_shed(m))
        return [first, *itertools.islice(newest, 4)]

    def earns_alike(self, m: Message, when: int) -> int:
        """The latest deadline with which a message of its kind would earn no more than it at that time."""
        klass = m.klass
        if when >= m.deadline:
            return when
        if when <= m.aim_at:
            return NEVER
        if self.settings.decay is io.Decay.BY_HALF and klass.late_worth:
            floor = klass.deadline - klass.aim - math.ceil(klass.aim * -math.log2(klass.late_worth))
            if when >= m.deadline - floor:
                return when + floor
        return m.deadline

    # ---- outcomes

    def on_verdict(self, v: io.Verdict) -> None:
        m = self.messages.get(v.call)
        if m is None or m.call is None or v.attempt != m.attempts - 1:
            return
        call, m.call = m.call, None
        self.mark_dirty(m.dest)
        call.open -= 1
        if call.open == 0:
            call.dest.calls.remove(call)
            call.host.calls -= 1
            del self.calls[call]
            self.freed.append(call.host)
        if not call.settled:
            call.settled = True
            self.learn(call, v.status, v.cost, v.wait, v.report)
        if v.wait:  # rule 6; every outcome may tell a wait, also the others of one call
            call.dest.wait_until = max(call.dest.wait_until, self.now + v.wait)
        if m.recovered_untried and v.status is not io.Status.ABANDONED:
            self.settle_owed(m)
        if v.status in MAY_HAVE_RUN and m.ran_at is None:
            m.ran_at, m.ran_zone = call.sent_at, call.host.zone
        if v.status in MAY_STILL_RUN and m.key is not None:
            self.blocked_keys.pop(m.key, None)  # the oldest first: those that are over are dropped
            self.blocked_keys[m.key] = self.now + self.settings.rules.turn_gap
            while self.blocked_keys and self.blocked_keys[next(iter(self.blocked_keys))] <= self.now:
                del self.blocked_keys[next(iter(self.blocked_keys))]
        if v.finished or m.over:
            self.finish(m)
        elif v.status is io.Status.OK:  # an answer behind the message's time: it ran, its end is still owed
            self.end(m, ran=True)
        elif self.is_spent(m) or v.status is io.Status.MOOT and not v.no_slot:
            self.end(m)  # moot, but not for want of a slot: no further attempt would go out either
        else:  # back into the hold, on a timer that grows with its attempts
            pause = min(MIN_BACKOFF_NS << min(m.attempts - 1, 8), m.klass.aim)
            m.not_before = self.now + round(pause * self.random.uniform(0.5, 1.0))
            self.enter(m)

    def on_probed(self, event: io.Probed) -> None:
        if event.host in self.hosts:
            dest, host = self.hosts[event.host]
            host.probing = False
            self.mark_dirty(dest.number)
            call = Call(dest, host, self.now - event.cost, [])
            self.learn(call, event.status, 0, 0, event.report)

    def learn(self, call: Call, status: io.Status, cost: int, wait: int, report: io.Report | None) -> None:
        """What one call's outcome says of its destination and host."""
        dest, host = call.dest, call.host
        left: float | None = None  # share of the limit, where one is reported
        if report is not None and self.is_plausible(dest, report):
            dest.rate_limit, left, dest.reports = report.limit, report.left, True
            weight = 1 - math.exp((dest.left_at - self.now) / CLIMB_EVERY)
            dest.left += weight * (min(left, 1.0) - dest.left)
            dest.left_at = self.now
        if status is io.Status.OK:
            dest.refused_since = None
            self.update_backoff(dest, False, left)
            host.last_ok_sent = max(host.last_ok_sent, call.sent_at)
            if host.calls >= host.most:  # with one more out than it had room for before
                host.most = host.calls + 1 if host.calls < self.most_there else NEVER
            self.mark(dest.served, self.settings.rules.ramp_time)
            if cost:
                late = self.late_after(dest)
                dest.mean += (cost - dest.mean) * (MEAN_WEIGHT if dest.mean else 1.0)
                if self.late_after(dest) < late and dest.calls:
                    self.blame_at = 0  # its calls may be overdue sooner, or be so already
            self.judge(dest, host, True)
        elif status is io.Status.CROWDED and dest.reports:
            lately = host.most if self.now < host.most_until else NEVER
            host.most, host.most_until = max(1, min(lately, call.beside)), self.now + CROWD_REST
        elif status in (io.Status.FULL, io.Status.CROWDED):
            self.on_refused(call, wait, left)
        elif status is io.Status.SPOILT:  # no word on health, but an answer: earlier calls aren't overdue
            host.last_ok_sent = max(host.last_ok_sent, call.sent_at)
        elif status not in (io.Status.CANCELLED, io.Status.MOOT, io.Status.ABANDONED):
            # A call sent after it has been answered: its connection failed, not the host.
            alone = status in (io.Status.RESET, io.Status.TIMEOUT) and host.last_ok_sent > call.sent_at
            if not call.blamed and not alone:
                self.judge(dest, host, False, RESET_WEIGHT if status is io.Status.RESET else BAD_WEIGHT)

    def is_plausible(self, dest: Destination, report: io.Report) -> bool:
        """Whether a report may be believed, till the next one: it is another's word, and may be anything."""
        low, high = dest.listed_rate / TRUST or LEAST_LIMIT, dest.listed_rate * TRUST or MOST_LIMIT
        return low <= report.limit <= high and report.left <= MOST_LEFT

    def on_refused(self, call: Call, wait: int, left: float | None) -> None:
        """The design's signal. A refusal that no limit explains, for long, is a shut destination."""
        dest = call.dest
        dest.left /= 2  # told of a moment ago, it says too much
        if dest.refused_since is None:
            dest.refused_since = self.now
        if call.sent_at >= dest.cut_at:  # what went out before a cut says nothing of the new ceiling
            dest.refusals.append(self.now)
        while dest.refusals and dest.refusals[0] <= self.now - REFUSAL_WINDOW_NS:
            dest.refusals.popleft()
        sent = self.rate(dest.sent, SENT_SPAN) * REFUSAL_WINDOW_NS / SECOND
        if len(dest.refusals) >= max(CUT_AFTER, MIN_REFUSED_SHARE_TO_CUT * sent):
            dest.refusals.clear()
            value = dest.ceiling or self.rate(dest.sent, SENT_SPAN)
            dest.ceiling = max(CEILING_CUT_FACTOR * value, min(1.0, SECOND / max(1, self.turn(dest))) / 2)
            dest.ceiling_at = dest.cut_at = self.now
            self.log(f"cut dest={dest.number} ceiling={dest.ceiling:.3f}/s")
        if call.sent_at >= dest.pause_at:
            self.update_backoff(dest, True, left)
            dest.backoff_until += wait
        # A limit says that it is spent. Told to wait longer than one would make, the destination is shut and
        # says when it opens; untold, refusals that last with room left mean the same.
        if wait > REFUSAL_WINDOW_NS:
            self.estimate_warm_rate(dest, dest.refused_since)
            dest.last_failure_at = dest.ramp_from = self.now + wait
            dest.next_at = self.next_trial_time(dest, dest.ramp_from, self.random.random())
        lasts = (
            0 if self.turn(dest) > REFUSAL_WINDOW_NS else REFUSAL_WINDOW_NS - wait
        )  # where turns are rare, two in a row
        if (
            wait <= REFUSAL_WINDOW_NS
            and (left is None or left > AMPLE_REMAINING_SHARE)
            and self.now - dest.refused_since > lasts
        ):
            self.judge(dest, call.host, False)

    def update_backoff(self, dest: Destination, refused: bool, left: float | None) -> None:
        """Own rest after a call, for relays that see too few refusals to cut a rate. Grows by refusals (also
        from a told wait's end: all were told it) or with the limit all but spent; ends with half of it left,
        shrinks like a ceiling in between, halves with time. As many refusals as make a cut take it to three
        turns where turns are rare: refused calls may use up the limit too."""
        turn, halves = self.turn(dest), 0
        if not dest.rate_limit and self.settings.relays >= MANY_RELAYS:
            # A limit that is told nowhere, in many parts: a turn is taken for the time that the rules give
            # a destination to come back to all that it takes. Nothing told ends a rest, so it goes as fast
            # as ceilings climb.
            turn, halves = self.settings.rules.ramp_time, CLIMB_EVERY
        rare = turn > CLIMB_EVERY
        most = 3 * turn if rare else CLIMB_EVERY
        dest.backoff *= 0.5 ** ((self.now - dest.pause_at) / (halves or most))
        if refused or rare and left is not None and left < SPENT:
            # None told: perhaps shut. Nothing at all left: refused calls use it up. Both rest longer at once.
            step = (most / MIN_BACKOFF_NS) ** ((1 if left else 1.5) / CUT_AFTER)
            grown = step * max(MIN_BACKOFF_NS if rare else 0.0, dest.backoff)
            dest.backoff = min(max(MIN_BACKOFF_NS, grown), most)
        else:
            ends = (
                not rare
                or left is not None
                and left > AMPLE_REMAINING_SHARE
                or CEILING_CUT_FACTOR * dest.backoff < MIN_BACKOFF_NS
            )
            dest.backoff = 0.0 if ends else CEILING_CUT_FACTOR * dest.backoff
        dest.pause_at = self.now
        dest.backoff_until = self.now + round(dest.backoff * self.random.uniform(0.5, 1.5))

    def estimate_warm_rate(self, dest: Destination, since: int) -> None:
        """At the first sign of trouble: this relay's part of what is listed or reported, or was delivered."""
        if dest.failing_since is None:
            dest.failing_since = since
            served = self.rate(dest.served, self.settings.rules.ramp_time)
            dest.part = max(served, dest.rate_limit / self.settings.relays)

    def judge(self, dest: Destination, host: Host, good: bool, weight: float = BAD_WEIGHT) -> None:
        """Health from outcomes, and when to try again after a bad one."""
        for one in (dest, host):
            one.failure_share += weight * ((0.0 if good else 1.0) - one.failure_share)
        was, dest.in_outage = dest.in_outage, dest.failure_share > OUTAGE_FAILURE_SHARE
        if good and was and not dest.in_outage:
            dest.ramp_from = self.estimate_recovery_time(dest)
            dest.next_at = self.next_trial_time(dest, self.now, self.random.random())
            self.log(f"back dest={dest.number} host={host.name}")
        elif good and not dest.in_outage and not self.is_cold(dest):
            dest.failing_since = None
        elif not good:
            self.estimate_warm_rate(dest, self.now)
            dest.last_failure_at = self.now
            if dest.in_outage:
                dest.ramp_from = None
            host.retry_at = dest.next_at = self.next_trial_time(dest, self.now, self.random.uniform(0.1, 1.0))
            if dest.in_outage and not was:
                self.log(f"outage dest={dest.number} host={host.name} part={dest.part:.3f}/s")

    def estimate_recovery_time(self, dest: Destination) -> int:
        """Nobody saw it come back: half of the time since the last failure, of a ramp at most: trials of many
        relays lie further apart, and the first to find it back would take it for warm."""
        return self.now - min(self.now - dest.last_failure_at, self.settings.rules.ramp_time) // 2

    def is_cold(self, dest: Destination) -> bool:
        """On the ramp after an outage."""
        return dest.ramp_from is not None and self.now < dest.ramp_from + self.settings.rules.ramp_time

    def next_trial_time(self, dest: Destination, start: int, calls: float) -> int:
        """Rule 4: when this relay's part of what a destination may get, in trouble or on the ramp, has grown
        by so many calls. All relays share it, also those that have no call for it: nobody knows how many have
        one, and one of each may be more than it bears. Of unknown capacity, all get a call a second."""
        rules = self.settings.rules
        part = max(dest.part, 1 / self.settings.relays) / SECOND
        pace = BUDGET * rules.fall_multiple * part
        if not self.is_cold(dest) or dest.ramp_from is None:
            return start + round(calls / (pace * rules.start_capacity))
        grows = pace * (1 - rules.start_capacity) / max(1, rules.ramp_time)
        first = pace * rules.start_capacity + grows * max(0, start - dest.ramp_from)
        return start + round(2 * calls / (first + math.sqrt(first * first + 2 * grows * calls)))

    def cancel_stalled(self, call: Call) -> None:
        """Its connection fell silent: what may be sent again need not wait for its time-out, and the host
        gets back a place in its table of connections."""
        if not self.settings.limits.cancel:
            return
        for m in call.messages:
            may = m.klass.repeat is io.Repeat.SAFE or (
                m.klass.repeat is io.Repeat.KEYED and self.now < call.sent_at + m.klass.repeat_window
            )
            if m.call is call and may and m.attempts < self.settings.limits.most_tries and not m.over:
                self.actions.append(io.Cancel(m.name, m.attempts - 1))

    def late_after(self, dest: Destination) -> int:
        return round(LATE * dest.mean) or self.least_aim

    def blame_overdue(self) -> None:
        """A silent host sends no outcome at all. A call much over the mean counts as bad, once, unless one
        sent after it has been answered: that is a heavy tail, not a sick host."""
        if self.blame_at <= self.now:
            self.blame_at = NEVER
            for call in self.calls:
                late = self.late_after(call.dest)
                passed = call.host.last_ok_sent >= call.sent_at
                due = call.sent_at + (SILENT * late if passed else late)
                if call.cancelled or call.blamed and not passed:
                    continue
                if due > self.now:
                    self.blame_at = min(self.blame_at, due)
                elif passed:
                    call.cancelled = True
                    self.cancel_stalled(call)
                else:
                    call.blamed = True
                    self.judge(call.dest, call.host, False)
                    self.mark_dirty(call.dest.number)
        self.wake_at = min(self.wake_at, self.blame_at)

    # ---- sending

    def rate(self, times: deque[int], span: int) -> float:
        """Events a second over the last ``span``."""
        while times and times[0] <= self.now - span:
            times.popleft()
        return len(times) * SECOND / max(SECOND, min(span, self.now - (self.started or 0)))

    def mark(self, times: deque[int], span: int) -> None:
        """Note an event for a rate over ``span``."""
        times.append(self.now)
        while times and times[0] <= self.now - span:
            times.popleft()

    def turn(self, dest: Destination) -> int:
        """The time in which this relay's part of a known limit is one call; 0: no limit is known."""
        return round(SECOND * self.settings.relays / dest.rate_limit) if dest.rate_limit else 0

    def call_spacing(self, dest: Destination) -> int:
        """Time between calls where many relays share a limit, each with few refusals for a cut: it keeps to
        its part before the first, to a little more or less by what answers say is left. That tells what all
        relays do, but late: told that all is left, all would spend it at once."""
        if self.settings.relays < MANY_RELAYS:
            return 0
        part = LEAST_PART + (MOST_PART - LEAST_PART) * dest.left
        return round(self.turn(dest) / (part + UNUSED_PART * max(0.0, dest.left - UNUSED)))

    def climb(self, dest: Destination) -> None:
        """The slower, exponential way back to the target; a ceiling that reaches it is dropped."""
        while dest.ceiling is not None and self.now >= dest.ceiling_at + CLIMB_EVERY:
            wanted = 2 * self.rate(dest.arrived, SENT_SPAN)
            target = dest.rate_limit / self.settings.relays if dest.rate_limit else wanted
            dest.ceiling_at += CLIMB_EVERY
            dest.ceiling += CLIMB_SHARE * max(0.0, target - dest.ceiling)
            if dest.ceiling >= REACHED * target:
                dest.ceiling = None
                self.log(f"ceiling dropped dest={dest.number}")

    def max_calls(self, dest: Destination) -> int:
        """Calls out at once: Little's Law, capped."""
        slots = self.settings.slots
        most = self.most_there
        if dest.ceiling is not None:
            most = min(most, max(1, round(2 * dest.ceiling * dest.mean / SECOND)))
        if dest.failure_share > SUSPECT_FAILURE_SHARE:
            most = min(most, max(1, slots // 2))  # a sick destination holds half at most
        return most

    def count_stalled(self, dest: Destination) -> int:
        """Calls out for long while later ones of their host are answered: their connections fell silent. They
        wait for their time-outs and are no work there. An eighth of the slots may go to such."""
        count = 0
        oldest = self.now - self.late_after(dest)
        for call in itertools.islice(dest.calls, self.settings.slots // 8):
            if call.sent_at > oldest:
                break
            count += call.host.last_ok_sent > call.sent_at
        return count

    def admission_time(self, dest: Destination, host: Host) -> int:
        """The one gate of a host: may a call be sent now? The time to look again if not, NEVER if only an
        event can tell. What a message adds to it stands in ``fits``."""
        if not host.usable or len(self.calls) >= self.settings.slots:
            return NEVER
        if self.stopping_at < NEVER and self.now + self.late_after(dest) > self.stopping_at:
            return NEVER  # cut off by the end of the process it might have run: the next life sends it
        if (dest.failure_share > SUSPECT_FAILURE_SHARE or dest.refused_since is not None) and (
            host.probing or not self.may_try(dest)
        ):
            return NEVER  # in trouble or refused since the last success: one at a time
        most = self.max_calls(dest)
        if len(dest.calls) >= most and len(dest.calls) >= most + self.count_stalled(dest):
            return NEVER
        routes = self.routes[dest.number]
        here = len(dest.calls) if len(routes) == 1 else sum([len(route.calls) for route in routes])
        if here >= self.most_there:
            return NEVER  # routes apart are one destination where slots are shared out
        when = max(dest.wait_until, dest.backoff_until)
        if host.calls >= host.most:
            if host.calls > host.most:
                return NEVER
            when = max(when, host.most_until)
        if dest.ceiling is not None:
            when = max(when, dest.next_call)
        when = max(when, dest.last_due_at + self.call_spacing(dest))
        if dest.failure_share > SUSPECT_FAILURE_SHARE or self.is_cold(dest):
            when = max(when, dest.next_at)
        return when

    def fits(self, dest: Destination, host: Host, m: Message) -> int:
        """The same of one message at a host whose gate is open."""
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
        """When a message that may not be repeated goes to a destination in trouble: until then a repeatable
        one or a probe tries first."""
        return m.deadline - m.klass.aim if self.settings.limits.probes else 0

    def may_try(self, dest: Destination) -> bool:
        """Whether a destination in trouble may get its one call. An overdue one may stand on a connection
        that fell silent, until its deadline: it has been counted, and a few of them do not block the way."""
        overdue = sum(call.blamed for call in dest.calls)
        stuck = self.count_stalled(dest)
        return overdue + stuck >= len(dest.calls) and overdue <= self.settings.slots // 8

    def clear_to_send(self, now: int, call: str | None, name: str) -> bool:
        """The last look, just before a call's first byte (a probe's, without ``call``): a connection may
        have taken long to come up, and what was learned since binds it (rules 2, 3 and 6)."""
        return self.obstacle(now, call, name) is None

    def obstacle(self, now: int, call: str | None, name: str) -> io.Obstacle | None:
        """What keeps a call or a probe from its first byte; None: it may begin."""
        self.now = now
        m = self.messages.get(call) if call is not None else None
        if m is not None and m.call is not None:
            dest, host = m.call.dest, m.call.host
            if m.over or now >= m.deadline:
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

    def slot_time(self, lane: DestinationQueue[Message], klass: io.MessageClass) -> float:
        """How long a call there takes, by the quickest route."""
        means = [r.mean for r in self.routes.get(lane.number, ()) if r.mean]
        return min(means) if means else klass.aim / 4

    def urgency(self, m: Message, cost: float) -> float:
        """What is lost if the message waits another aim, for each second of slot time it takes."""
        then = self.now + round(cost)
        return (self.worth_at(m, then) - self.worth_at(m, then + m.klass.aim)) / cost

    def plan(self) -> None:
        """One pass over what could go now, most urgent first."""
        for dest in self.climbs.take(self.now):
            self.mark_dirty(dest.number)  # with nothing waiting it climbs when something does
            if dest.number in self.dest_queues:
                self.climb(dest)
        for lane in self.fresh:
            for dest in self.routes.get(lane.number, ()):
                self.climb(dest)
        self.fresh.clear()
        if len(self.calls) >= self.settings.slots:
            return  # an outcome comes before anything else can
        for m in self.resting.take(self.now):
            if m.key is None or self.key_queues[m.key][0] is m:
                self.release(m)
        for lane in (*self.opening.take(self.now), *self.looks.take(self.now)):
            self.touched[lane] = None
        touched, self.touched = self.touched, {}
        hopeless: list[tuple[Message, int]] = []
        for lane in touched:
            hopeless += self.evaluate_queue(lane)
        for m, opens in hopeless:  # handed back at once: the client may come to a relay that may try sooner
            self.end(m, opens)
        if self.are_slots_short():  # first those that will not wait at their destination
            self.send_most_urgent(True)
            self.send_most_urgent(False)
        else:
            self.send_freely()
        if self.settings.limits.probes:
            self.probe()
        if len(self.calls) < self.settings.slots:
            self.wake_at = min(self.wake_at, self.opening.first(), self.resting.first())

    def are_slots_short(self) -> bool:
        """Whether what is ready would take more than half of the slots."""
        left = self.settings.slots // 2 - len(self.calls)
        for lane in self.open:
            left -= len(lane)
            if left < 0:
                return True
        return left < 0

    def evaluate_queue(self, lane: DestinationQueue[Message]) -> list[tuple[Message, int]]:
        """Whether a lane may send, or when. What it gives back too late for these messages."""
        opens_at = again = NEVER
        suspect = False
        for dest in self.routes.get(lane.number, ()):
            self.climb(dest)
            if dest.ceiling is not None:
                self.climbs.put(dest, dest.ceiling_at + CLIMB_EVERY)
            if dest.ramp_from is not None and self.is_cold(dest):
                again = min(again, dest.ramp_from + self.settings.rules.ramp_time)
            suspect = suspect or dest.failure_share > SUSPECT_FAILURE_SHARE
            for host in dest.hosts:
                opens_at = min(opens_at, self.admission_time(dest, host))
        self.looks.put(lane, again)
        if opens_at <= self.now:
            lane.opens = 0
            self.opening.drop(lane)
            if suspect:
                self.suspects[lane] = None
            self.open.put(lane, FIRST, self.now)
            return []
        lane.opens = opens_at
        self.close(lane)
        self.opening.put(lane, opens_at)
        if opens_at >= NEVER:
            return []
        earliest_wait_end = min(route.wait_until for route in self.routes[lane.number])
        due = lane.due_by(opens_at)
        return [
            (m, opens_at)
            for m in due
            if self.may_refuse(m) and (not m.recovered_untried or earliest_wait_end >= m.deadline)
        ]

    def close(self, lane: DestinationQueue[Message]) -> None:
        self.open.drop(lane)
        self.suspects.pop(lane, None)

    def by_urgency(self, lane: DestinationQueue[Message], most: int) -> Iterator[tuple[Key, Message]]:
        """What may go of a lane, most urgent first, with its key. Where much waits, so many of each queue are
        weighed at first, about the places of its order where urgency peaks; more if these do not do."""
        pressing = self.pressing(lane)
        seen = {m.serial for m in pressing}
        yield from (((-math.inf, m.deadline, m.arrived, lane.entered, m.serial), m) for m in pressing)
        wanted = most
        suspect = all(dest.failure_share > SUSPECT_FAILURE_SHARE for dest in self.routes.get(lane.number, ()))
        while True:
            found: list[tuple[Key, Message]] = []
            whole = True
            for queue in list(lane.queues.values()):
                cost = self.slot_time(lane, next(iter(queue)).klass)
                for m in self.foremost(queue, cost, suspect, wanted):
                    if m.serial not in seen:
                        key = (-self.urgency(m, cost), m.deadline, m.arrived, lane.entered, m.serial)
                        found.append((key, m))
                whole = whole and len(queue) <= max(MAX_EVALUATED_PER_TICK // 4, wanted)
            seen.update(m.serial for _, m in found)
            found.sort()
            yield from found
            if whole or not found:
                return
            wanted *= 4

    def foremost(self, queue: DeadlineQueue[Message], cost: float, suspect: bool, most: int) -> list[Message]:
        """The most urgent of a queue, and others: urgency peaks where the deadline is an aim away, as all is
        lost then, and where the aim has just passed, and falls to both sides of either."""
        end = len(queue)
        klass = next(iter(queue)).klass
        if suspect and klass.repeat is io.Repeat.UNSAFE and self.settings.limits.probes:
            end = queue.until(self.now + klass.aim)  # the others may not go: see last_resort
        if end <= max(MAX_EVALUATED_PER_TICK // 4, most):
            return queue.between(0, end)
        then = self.now + round(cost)
        lost, aimed = queue.until(then + klass.aim), queue.until(then + klass.deadline - klass.aim)
        low, high = sorted((min(lost, end), min(aimed, end)))
        if low + most >= high - most:
            return queue.between(low - most, min(end, high + most))
        return queue.between(low - most, low + most) + queue.between(high - most, min(end, high + most))

    def send_freely(self) -> None:
        """There are slots for all that is ready: each lane sends what its destination takes."""
        for lane in list(self.open):
            if len(lane) == 1 and not lane.aside:
                self.place(next(iter(lane.waiting.values())), lane, None)
                continue
            for _, m in self.by_urgency(lane, 8):
                if not self.place(m, lane, None):
                    break

    def send_most_urgent(self, spare_crowded: bool) -> None:
        """Merge the lanes that may send, most urgent message first, while there are slots."""
        for lane in self.open.stalest(MAX_EVALUATED_PER_TICK // 2, self.now - MAX_RANK_AGE_NS):
            self.open.put(lane, FIRST, self.now)
        front: list[tuple[Key, Message, Iterator[tuple[Key, Message]]]] = []
        tried: dict[DestinationQueue[Message], Key] = {}  # lanes and the keys of their first messages
        left = 4 * MAX_EVALUATED_PER_TICK + self.settings.slots  # queues opened in one tick
        while len(self.calls) < self.settings.slots:
            best = self.open.first()
            if best is not None and (not front or best[0] <= front[0][0]) and left:
                lane = best[1]
                self.open.drop(lane)
                left -= 1
                following = self.by_urgency(lane, min(8, self.settings.slots - len(self.calls)))
                found = next(following, None)
                tried[lane] = found[0] if found is not None else (0.0, NEVER)
            elif front:
                _, m, following = heapq.heappop(front)
                lane = self.dest_queues[m.dest]
                if m.call is None and not m.over and not self.place(m, lane, spare_crowded):
                    continue  # nothing goes there any more
                found = next(following, None)
            else:
                break
            if found is not None:
                heapq.heappush(front, (*found, following))
        if not left and len(self.open):
            self.wake_at = min(self.wake_at, self.now + 1)
        for lane, key in tried.items():
            if lane:
                self.open.put(lane, FIRST if lane in self.touched else key, self.now)

    def place(self, m: Message, lane: DestinationQueue[Message], spare_crowded: bool | None) -> bool:
        """Send a message by the best host that the gate lets it use; others for that host fill the call.
        Whether any other message may still go there."""
        fees = self.settings.zone_fees
        routes = self.routes[m.dest]
        best: tuple[Destination, Host] | None = None
        best_rank: tuple[float, ...] = ()
        goes_on = False
        for dest in routes:
            crowded = spare_crowded is not None and self.is_crowded(dest)
            for host in dest.hosts:
                when = self.admission_time(dest, host)
                if when <= self.now and not (crowded and spare_crowded):
                    goes_on = True
                    when = self.fits(dest, host, m)
                elif when <= self.now:
                    continue
                if when > self.now:
                    if when < NEVER:
                        self.wake_at = min(self.wake_at, when)
                    continue
                fee = fees[host.zone] if host.zone < len(fees) and len(routes) > 1 else 0.0
                sick = host.failure_share > SUSPECT_FAILURE_SHARE and host.retry_at > self.now
                rank = (sick, crowded, 0.0 if crowded else fee, host.calls, host.last_sent)
                if best is None or rank < best_rank:
                    best, best_rank = (dest, host), rank
        if best is None:
            return goes_on
        dest, host = best
        fill = [m]
        if dest.per_call > 1 and not dest.in_outage:
            for _, other in self.by_urgency(lane, dest.per_call):
                if len(fill) >= dest.per_call:
                    break
                if other is not m and self.fits(dest, host, other) <= self.now:
                    fill.append(other)
        call = Call(dest, host, self.now, fill, beside=host.calls)
        self.count_call(dest, host)
        self.calls[call] = None
        host.calls += 1
        dest.calls.append(call)
        self.blame_at = min(self.blame_at, self.now + self.late_after(dest))
        for one in fill:
            one.call = call
            one.attempts += 1
            call.open += 1
            self.leave(one)
            self.actions.append(io.Send(one.name, host.name, self.give_up_at(one, dest)))
        self.mark_dirty(m.dest)
        return bool(lane)

    def is_crowded(self, dest: Destination) -> bool:
        """Little's Law: a route has out what its part of its limit makes at the quickest route's pace.
        More would wait there and hold their slots for it, which costs more than the fee of a free route."""
        means = [r.mean for r in self.routes[dest.number] if r.mean]
        if not means or not dest.rate_limit:
            return False
        return len(dest.calls) >= max(1, round(min(means) / self.turn(dest)))

    def count_call(self, dest: Destination, host: Host) -> None:
        """Spend what paces the next call there; a ceiling lets at most one second's calls catch up."""
        self.mark(dest.sent, SENT_SPAN)
        host.gap = self.now - host.last_sent
        host.last_sent = self.now
        if dest.ceiling is not None:
            dest.next_call = max(dest.next_call, self.now - SECOND) + round(SECOND / dest.ceiling)
        spacing = self.call_spacing(dest)
        dest.last_due_at = max(dest.last_due_at + spacing, self.now - (BURST - 1) * spacing)
        if dest.failure_share > SUSPECT_FAILURE_SHARE or self.is_cold(dest):
            dest.next_at = self.next_trial_time(dest, self.now, 1.0)

    def close_idle(self) -> None:
        """A connection is kept only where the next call comes soon: idle ones of many relays fill a host's
        table, and are dropped unseen. All relays together hold one no longer than a single relay might."""
        for host in self.freed:
            if not host.calls and host.gap > self.settings.limits.conn_idle // self.settings.relays:
                self.actions.append(io.Close(host.name))
        self.freed.clear()

    def give_up_at(self, m: Message, dest: Destination) -> int:
        """A time-out can only help what may be sent again."""
        last = m.deadline - self.early()
        if m.klass.repeat is io.Repeat.UNSAFE:
            return last
        return min(last, self.now + max(2 * self.late_after(dest), m.klass.aim))

    def probe(self) -> None:
        """Where only messages that cannot be repeated wait on a suspect host, a probe tries first."""
        for lane in list(self.suspects):
            alike = [m for queue in lane.queues.values() for m in queue.between(0, 1)]
            if not any(m.klass.repeat is io.Repeat.UNSAFE for m in (*alike, *lane.aside.values())):
                continue
            for dest in self.routes.get(lane.number, ()):
                for host in dest.hosts:
                    busy = host.probing or host.calls
                    if (
                        dest.failure_share > SUSPECT_FAILURE_SHARE
                        and not busy
                        and self.admission_time(dest, host) <= self.now
                    ):
                        host.probing = True
                        self.count_call(dest, host)
                        self.mark_dirty(dest.number)
                        self.actions.append(io.Probe(host.name, self.now + PROBE_TIME))

    def log(self, text: str) -> None:
        self.actions.append(io.Log(text))
