"""The decisions of one relay: it acquires, renews and releases partitions, and knows which it owns. No I/O, no clock.

The caller reads its clock before it sends, and again before each call of ``ownership``. The clock must go on while the
machine sleeps (CLOCK_BOOTTIME on Linux). The caller also provides the random number generator.
"""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from garnetrelay.fleet.leases.link import Link, Request, Vote
from garnetrelay.fleet.leases.messages import (
    MAX_GRANTS,
    Acquire,
    Answer,
    Grant,
    HolderEffect,
    LogLine,
    RelayMessage,
    Release,
    Renew,
    SendToController,
    Session,
)
from garnetrelay.fleet.leases.settings import Settings

MAX_DOUBLINGS = 16
RENEWAL_SPREAD_DIVISOR = 8  # renewals come up to an eighth early, so that relays started together don't stay in step
JITTER_STEPS = 1 << 20
NEVER_NS = 1 << 62


class Ownership(NamedTuple):
    """Ownership of a partition in an epoch: the relay may act until this time of its clock (ns, less the margin)."""

    epoch: int
    until: int


@dataclass(slots=True)
class _PartitionState:
    """A partition that is assigned to this relay. It is not requested (``epoch`` 0) until ``retry_at``."""

    retry_at: int
    epoch: int = 0
    round_deadline: int = 0  # a round without a majority by then is abandoned, if a majority of controllers is reached
    failed_rounds: int = 0  # in a row, since the partition was last owned
    majority_until: int = 0  # when the majority for the epoch ends; 0: there is none
    reported_owned: bool = False  # the state in the latest log line


class Holder:
    """Decides for one session of one relay."""

    def __init__(self, session: Session, settings: Settings, random: random.Random) -> None:
        self.session = session
        self.settings = settings
        self.event_counts: Counter[str] = Counter()
        self._random = random
        self._holder_lease = settings.holder_lease
        self._quorum = settings.quorum
        self._links = [Link(number, session, settings.fingerprint) for number in range(settings.controllers)]
        self._partitions: dict[int, _PartitionState] = {}
        self._highest_epochs: dict[int, int] = {}  # by partition: the highest epoch that was received or used here
        self._refused_until: dict[int, dict[int, int]] = {}  # by partition and controller, in the current round
        self._started = self._ended = False
        self._fraction_at, self._fraction = -1, 0  # the time of the last draw, and its result in ``JITTER_STEPS``

    # ---- state

    def ownership(self, partition: int, now: int) -> Ownership | None:
        """Returns in which epoch this relay owns a partition and until when it may act; None if it does not own it."""
        state = self._partitions.get(partition)
        if state is None or not state.epoch:
            return None
        until = state.majority_until - self.settings.write_margin
        return Ownership(state.epoch, until) if now < until else None

    def owned(self, now: int) -> dict[int, Ownership]:
        """Returns the ownership of each partition that this relay owns."""
        found = ((partition, self.ownership(partition, now)) for partition in self._partitions)
        return {partition: ownership for partition, ownership in found if ownership is not None}

    @property
    def links(self) -> Sequence[Link]:
        """The state of each controller, by number; read-only."""
        return self._links

    @property
    def assigned(self) -> Collection[int]:
        """The partitions that this relay should own."""
        return self._partitions.keys()

    def reached_controllers(self, now: int) -> list[int]:
        """Returns the controllers that accepted a request which still counts."""
        since = now - self._holder_lease
        return [link.controller for link in self._links if link.accepted_at is not None and link.accepted_at > since]

    @property
    def next_at(self) -> int:
        """When ``tick`` must be called next; 0 before the first event: at once."""
        if not self._started:
            return 0
        due_times = [self._link_due_at(link) for link in self._links]
        for state in self._partitions.values():
            if not state.epoch:
                due_times.append(state.retry_at)
            elif not state.reported_owned:
                due_times.append(state.round_deadline)
            else:
                due_times.append(state.majority_until - self.settings.write_margin)
        return min(due_times)

    # ---- events

    def set_assigned(self, now: int, partitions: Collection[int]) -> list[HolderEffect]:
        """Sets the partitions that this relay should own from now on, and releases all others."""
        if self._ended:
            return []
        self._start(now)
        assigned = frozenset(partitions)
        released = 0
        for partition in [partition for partition in self._partitions if partition not in assigned]:
            released += self._partitions.pop(partition).reported_owned
            self._drop_votes(partition)
        retry_at = now + self._random_fraction(now, self.settings.first_retry)
        for partition in sorted(assigned - self._partitions.keys()):
            self._partitions[partition] = _PartitionState(retry_at)
        effects = self._advance(now)
        if released:
            effects.append(LogLine(f"{released} partitions released", logging.INFO))
        return effects

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        """Handles an answer that was verified and decoded."""
        if self._ended or answer.controller >= len(self._links):
            return []
        link = self._links[answer.controller]
        previous_boot = link.boot
        request = link.finish_request(answer)
        if request is None:
            self.event_counts["late answers"] += 1
            return []
        link.send_at = now + self.settings.request_gap
        if answer.accepted:
            link.failures = 0
            link.accepted_at = request.sent_at
            self._on_accepted(now, link, request, answer)
        elif not answer.matches:
            self.event_counts["mismatches"] += 1
            link.apply_mismatch(answer)
            self._update_majorities(self._partitions)
            link.renew_at = now
        else:
            self._on_not_accepted(now, link, previous_boot)
        return self._advance(now)

    def tick(self, now: int) -> list[HolderEffect]:
        """Handles what is due at this time."""
        if self._ended:
            return []
        self._start(now)
        for link in self._links:
            if link.request is not None and now >= link.request.deadline:
                self.event_counts["unanswered"] += 1
                self._delay_requests(now, link)
                if isinstance(link.request.message, Renew):
                    link.renew_at = link.send_at
                link.request = None
        return self._advance(now)

    def release_all(self, now: int) -> list[HolderEffect]:
        """Ends the session: nothing is owned from here on. The controllers are notified once, without a retry."""
        if self._ended:
            return []
        self._partitions.clear()
        self._ended = True
        return [
            SendToController(link.controller, link.release(now, now, []))
            for link in self._links
            if link.votes or link.unconfirmed or link.request is not None
        ]

    # ---- answers

    def _on_accepted(self, now: int, link: Link, request: Request, answer: Answer) -> None:
        message = request.message
        match message:
            case Renew():
                link.apply_renewal(request)
                self._update_majorities(request.renewed_epochs)
            case Release():
                for grant in message.grants:
                    if link.unconfirmed.get(grant.partition) == grant.epoch:
                        del link.unconfirmed[grant.partition]
            case Acquire():
                self._on_acquire_answer(now, link, request, message, answer)

    def _on_acquire_answer(self, now: int, link: Link, request: Request, message: Acquire, answer: Answer) -> None:
        requested = dict(message.grants)
        for grant in answer.granted:
            if requested.get(grant.partition) != grant.epoch or link.unconfirmed.get(grant.partition) != grant.epoch:
                continue
            state = self._partitions.get(grant.partition)
            if state is not None and state.epoch == grant.epoch:
                del link.unconfirmed[grant.partition]
                link.votes[grant.partition] = Vote(grant.epoch, request.sent_at)
                self._update_majorities([grant.partition])
        for refusal in answer.refused:
            partition = refusal.partition
            epoch = requested.get(partition)
            if epoch is None:
                continue
            if link.unconfirmed.get(partition) == epoch:
                del link.unconfirmed[partition]
            self._highest_epochs[partition] = max(refusal.epoch, self._highest_epochs.get(partition, 0))
            superseded = refusal.epoch >= epoch  # this controller can't grant the requested epoch any more
            link.acquire_at[partition] = NEVER_NS if superseded else now + max(refusal.wait, self.settings.first_retry)
            state = self._partitions.get(partition)
            if state is not None and state.epoch == epoch:
                self._refused_until.setdefault(partition, {})[link.controller] = now + refusal.wait
                self._check_round(now, partition, state)

    def _check_round(self, now: int, partition: int, state: _PartitionState) -> None:
        """Handles a refusal: if no majority can grant this epoch any more, abandons the round.

        The next round starts when enough controllers may be free to grant the partition to this relay.
        """
        refused = self._refused_until[partition]
        if len(refused) <= self.settings.controllers - self._quorum or state.majority_until > now:
            return
        free_times = sorted([now] * (self.settings.controllers - len(refused)) + list(refused.values()))
        free_at = free_times[self._quorum - 1]
        self._abandon_round(now, partition, state)
        if free_at <= now and state.failed_rounds == 1:
            state.retry_at = now  # only the epoch was too low
        else:
            state.retry_at = min(state.retry_at, free_at + self._random_fraction(now, self.settings.first_retry))

    def _abandon_round(self, now: int, partition: int, state: _PartitionState) -> None:
        self._drop_votes(partition)
        state.epoch = state.majority_until = 0
        state.reported_owned = False
        state.failed_rounds += 1
        state.retry_at = now + self._backoff_time(now, state.failed_rounds)
        self.event_counts["rounds given up"] += 1

    def _on_not_accepted(self, now: int, link: Link, previous_boot: int) -> None:
        """Handles a refusal by a new process, by one that is not ready yet, or by one with other settings."""
        self.event_counts["not accepted"] += 1
        if link.boot != previous_boot:
            link.renew_at = now
            return
        self._delay_requests(now, link)
        link.renew_at = max(link.renew_at, link.send_at)

    # ---- requests that are due

    def _start(self, now: int) -> None:
        if self._started:
            return
        self._started = True
        for link in self._links:
            link.renew_at = link.send_at = now

    def _advance(self, now: int) -> list[HolderEffect]:
        effects = self._report_changes(now)
        self._start_rounds(now)
        for link in self._links:
            if link.request is None and now >= link.send_at:
                message = self._next_request(now, link)
                if message is not None:
                    self.event_counts[type(message).__name__] += 1
                    effects.append(SendToController(link.controller, message))
        return effects

    def _start_rounds(self, now: int) -> None:
        """Starts and abandons rounds, but only while a majority of the controllers is reached."""
        majority_reached = len(self.reached_controllers(now)) >= self._quorum
        later = now + self.settings.first_retry
        for partition, state in self._partitions.items():
            if state.epoch and not state.reported_owned and now >= state.round_deadline:
                if majority_reached:
                    self._abandon_round(now, partition, state)
                else:
                    state.round_deadline = later
            if not state.epoch and now >= state.retry_at:
                if majority_reached:
                    self._start_round(now, partition, state)
                else:
                    state.retry_at = later

    def _start_round(self, now: int, partition: int, state: _PartitionState) -> None:
        state.epoch = self._highest_epochs.get(partition, 0) + 1
        state.round_deadline = now + 2 * self.settings.answer_timeout
        self._highest_epochs[partition] = state.epoch
        self._refused_until.pop(partition, None)
        for link in self._links:
            link.acquire_at.pop(partition, None)

    def _next_request(self, now: int, link: Link) -> RelayMessage | None:
        """Returns the next request to a controller, if any.

        Unneeded grants are released first, then votes are renewed, and then further grants are acquired.
        """
        deadline = now + self.settings.answer_timeout
        unneeded = [
            Grant(partition, epoch)
            for partition, epoch in link.unconfirmed.items()
            if not self._is_requested(partition, epoch)
        ]
        if unneeded:
            return link.release(now, deadline, unneeded[:MAX_GRANTS])
        if now >= link.renew_at and not link.unconfirmed:
            link.renew_at = (
                now
                + self.settings.renew_every
                - self._random_fraction(now, self.settings.renew_every // RENEWAL_SPREAD_DIVISOR)
            )
            return link.renew(now, deadline)
        grants = list(self._grants_to_acquire(now, link))
        return link.acquire(now, deadline, grants[:MAX_GRANTS]) if grants else None

    def _is_requested(self, partition: int, epoch: int) -> bool:
        state = self._partitions.get(partition)
        return state is not None and state.epoch == epoch

    def _grants_to_acquire(self, now: int, link: Link) -> Iterator[Grant]:
        for partition, state in self._partitions.items():
            if not state.epoch or partition in link.votes:
                continue
            if partition in link.unconfirmed or now >= link.acquire_at.get(partition, 0):
                yield Grant(partition, state.epoch)

    def _link_due_at(self, link: Link) -> int:
        if link.request is not None:
            return link.request.deadline
        due_times = [link.renew_at]
        for partition, state in self._partitions.items():
            if state.epoch and partition not in link.votes:
                due_times.append(link.acquire_at.get(partition, 0))
        if link.unconfirmed:
            due_times.append(0)
        return max(link.send_at, min(due_times))

    # ---- helpers

    def _update_majorities(self, partitions: Iterable[int]) -> None:
        """Computes when the majority of each partition ends: the oldest of its ``quorum`` latest votes decides."""
        for partition in partitions:
            state = self._partitions.get(partition)
            if state is None:
                continue
            sent = sorted(
                vote.sent_at
                for link in self._links
                if (vote := link.votes.get(partition)) is not None and vote.epoch == state.epoch
            )
            has_majority = len(sent) >= self._quorum
            state.majority_until = sent[-self._quorum] + self._holder_lease if has_majority else 0

    def _drop_votes(self, partition: int) -> None:
        for link in self._links:
            link.drop_vote(partition)
            link.acquire_at.pop(partition, None)
        self._refused_until.pop(partition, None)

    def _report_changes(self, now: int) -> list[HolderEffect]:
        """Logs in one line how many partitions were gained and lost since the last call."""
        gained = lost = 0
        for state in self._partitions.values():
            owned = bool(state.epoch) and now < state.majority_until - self.settings.write_margin
            if owned and not state.reported_owned:
                gained += 1
                state.failed_rounds = 0
            elif state.reported_owned and not owned:
                lost += 1
                state.round_deadline = now + 2 * self.settings.answer_timeout
            state.reported_owned = owned
        if not gained and not lost:
            return []
        self.event_counts["gained"] += gained
        self.event_counts["lost"] += lost
        count = sum(state.reported_owned for state in self._partitions.values())
        text = f"partitions: {gained} gained, {lost} lost, {count} of {len(self._partitions)} owned"
        return [LogLine(text, logging.WARNING if lost else logging.INFO)]

    def _delay_requests(self, now: int, link: Link) -> None:
        link.failures += 1
        link.send_at = now + min(self._backoff_time(now, link.failures), self.settings.renew_every)

    def _backoff_time(self, now: int, failures: int) -> int:
        """Returns ``first_retry``, doubled with each further failure up to ``max_retry``; half of the time is random."""
        time = min(self.settings.first_retry << min(failures - 1, MAX_DOUBLINGS), self.settings.max_retry)
        return time // 2 + self._random_fraction(now, time - time // 2)

    def _random_fraction(self, now: int, time: int) -> int:
        """Returns a random fraction of a time.

        The fraction is the same for all calls at the same time, so that requests that fail together are retried together.
        """
        if now != self._fraction_at:
            self._fraction_at, self._fraction = now, self._random.randrange(JITTER_STEPS + 1)
        return time * self._fraction // JITTER_STEPS
