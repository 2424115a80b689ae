"""One relay's part: asks controllers for partitions, renews, gives up, and knows what it owns. No I/O, no clock.

The caller reads its clock before it sends, and afresh before each question to ``ownership``: one that goes on while the
machine sleeps (CLOCK_BOOTTIME on Linux). ``random`` is given.
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
SPREAD = 8  # renewals come up to an eighth early, so that relays that began together don't stay in step
SHARES = 1 << 20
NEVER = 1 << 62


class Ownership(NamedTuple):
    """This relay owns a partition in an epoch, and may act on it until a moment of its clock (ns; margin taken off)."""

    epoch: int
    until: int


@dataclass(slots=True)
class _Claim:
    """A partition that this relay should own. ``epoch`` 0: not asked for, until ``retry_at``."""

    retry_at: int
    epoch: int = 0
    round_ends: int = 0  # a round that has no majority by then is given up, where a majority is within reach
    tries: int = 0
    ends: int = 0  # when the majority for the epoch ends; 0: there is none
    owned: bool = False  # as it was told last


class Holder:
    """The decisions of one session of one relay."""

    def __init__(self, session: Session, settings: Settings, random: random.Random) -> None:
        self.session = session
        self.settings = settings
        self.event_counts: Counter[str] = Counter()
        self._random = random
        self._holder_time = settings.holder_time
        self._quorum = settings.quorum
        self._links = [Link(number, session, settings.fingerprint) for number in range(settings.controllers)]
        self._claims: dict[int, _Claim] = {}
        self._known: dict[int, int] = {}  # the highest epoch by partition that was heard of or used here
        self._refused: dict[int, dict[int, int]] = {}  # by partition and controller: until when, in this round
        self._started = self._ended = False
        self._drawn_at, self._drawn = -1, 0

    # ---- what others may ask

    def ownership(self, partition: int, now: int) -> Ownership | None:
        """In which epoch this relay owns a partition, and until when it may act; None: it does not."""
        claim = self._claims.get(partition)
        if claim is None or not claim.epoch:
            return None
        until = claim.ends - self.settings.write_margin
        return Ownership(claim.epoch, until) if now < until else None

    def owned(self, now: int) -> dict[int, Ownership]:
        """All that this relay owns."""
        found = ((partition, self.ownership(partition, now)) for partition in self._claims)
        return {partition: ownership for partition, ownership in found if ownership is not None}

    @property
    def links(self) -> Sequence[Link]:
        """What is known of each controller, by number; to be read only."""
        return self._links

    @property
    def assigned(self) -> Collection[int]:
        """Partitions that it should own."""
        return self._claims.keys()

    def reached_controllers(self, now: int) -> list[int]:
        """Controllers that accepted a request which still counts."""
        since = now - self._holder_time
        return [link.controller for link in self._links if link.accepted_at is not None and link.accepted_at > since]

    @property
    def next_at(self) -> int:
        """When ``tick`` is to be called; 0: at once, it has not begun."""
        if not self._started:
            return 0
        moments = [self._link_at(link) for link in self._links]
        for claim in self._claims.values():
            if not claim.epoch:
                moments.append(claim.retry_at)
            elif not claim.owned:
                moments.append(claim.round_ends)
            else:
                moments.append(claim.ends - self.settings.write_margin)
        return min(moments)

    # ---- what happens

    def set_assigned(self, now: int, partitions: Collection[int]) -> list[HolderEffect]:
        """These are the partitions that it should own from now on; others are released."""
        if self._ended:
            return []
        self._start(now)
        wanted = frozenset(partitions)
        given_up = 0
        for partition in [partition for partition in self._claims if partition not in wanted]:
            given_up += self._claims.pop(partition).owned
            self._drop(partition)
        retry_at = now + self._part_of(now, self.settings.first_retry)
        for partition in sorted(wanted - self._claims.keys()):
            self._claims[partition] = _Claim(retry_at)
        effects = self._go_on(now)
        if given_up:
            effects.append(LogLine(f"{given_up} partitions given up", logging.INFO))
        return effects

    def receive(self, now: int, answer: Answer) -> list[HolderEffect]:
        """An answer has come; its signature and form were good."""
        if self._ended or answer.controller >= len(self._links):
            return []
        link = self._links[answer.controller]
        old_boot = link.boot
        request = link.answered(answer)
        if request is None:
            self.event_counts["late answers"] += 1
            return []
        link.send_at = now + self.settings.request_gap
        if answer.accepted:
            link.failures = 0
            link.accepted_at = request.sent_at
            self._accepted(now, link, request, answer)
        elif not answer.matches:
            self.event_counts["mismatches"] += 1
            link.differs(answer)
            self._reckon(self._claims)
            link.renew_at = now
        else:
            self._not_accepted(now, link, old_boot)
        return self._go_on(now)

    def tick(self, now: int) -> list[HolderEffect]:
        """Time has passed."""
        if self._ended:
            return []
        self._start(now)
        for link in self._links:
            if link.request is not None and now >= link.request.ends_at:
                self.event_counts["unanswered"] += 1
                self._back_off(now, link)
                if isinstance(link.request.message, Renew):
                    link.renew_at = link.send_at
                link.request = None
        return self._go_on(now)

    def release_all(self, now: int) -> list[HolderEffect]:
        """The relay ends: nothing is owned from here on, and controllers hear of it once."""
        if self._ended:
            return []
        self._claims.clear()
        self._ended = True
        return [
            SendToController(link.controller, link.release(now, now, []))
            for link in self._links
            if link.votes or link.unsure or link.request is not None
        ]

    # ---- answers

    def _accepted(self, now: int, link: Link, request: Request, answer: Answer) -> None:
        message = request.message
        match message:
            case Renew():
                link.renewed(request)
                self._reckon(request.snapshot)
            case Release():
                for grant in message.grants:
                    if link.unsure.get(grant.partition) == grant.epoch:
                        del link.unsure[grant.partition]
            case Acquire():
                self._granted(now, link, request, message, answer)

    def _granted(self, now: int, link: Link, request: Request, message: Acquire, answer: Answer) -> None:
        asked = dict(message.grants)
        for grant in answer.granted:
            if asked.get(grant.partition) != grant.epoch or link.unsure.get(grant.partition) != grant.epoch:
                continue
            claim = self._claims.get(grant.partition)
            if claim is not None and claim.epoch == grant.epoch:
                del link.unsure[grant.partition]
                link.votes[grant.partition] = Vote(grant.epoch, request.sent_at)
                self._reckon([grant.partition])
        for refusal in answer.refused:
            partition = refusal.partition
            epoch = asked.get(partition)
            if epoch is None:
                continue
            if link.unsure.get(partition) == epoch:
                del link.unsure[partition]
            self._known[partition] = max(refusal.epoch, self._known.get(partition, 0))
            higher = refusal.epoch >= epoch  # this one has no more to say in this epoch
            link.ask_at[partition] = NEVER if higher else now + max(refusal.wait, self.settings.first_retry)
            claim = self._claims.get(partition)
            if claim is not None and claim.epoch == epoch:
                self._refused.setdefault(partition, {})[link.controller] = now + refusal.wait
                self._weigh_round(now, partition, claim)

    def _weigh_round(self, now: int, partition: int, claim: _Claim) -> None:
        """A refusal: where no majority is left for this epoch, the round is given up until one may be free."""
        refused = self._refused[partition]
        if len(refused) <= self.settings.controllers - self._quorum or claim.ends > now:
            return
        free = sorted([now] * (self.settings.controllers - len(refused)) + list(refused.values()))
        free_at = free[self._quorum - 1]
        self._give_up_round(now, partition, claim)
        if free_at <= now and claim.tries == 1:
            claim.retry_at = now  # only the epoch was too low
        else:
            claim.retry_at = min(claim.retry_at, free_at + self._part_of(now, self.settings.first_retry))

    def _give_up_round(self, now: int, partition: int, claim: _Claim) -> None:
        self._drop(partition)
        claim.epoch = claim.ends = 0
        claim.owned = False
        claim.tries += 1
        claim.retry_at = now + self._backoff(now, claim.tries)
        self.event_counts["rounds given up"] += 1

    def _not_accepted(self, now: int, link: Link, old_boot: int) -> None:
        """Another process, one that is not ready yet, or one with other terms."""
        self.event_counts["not accepted"] += 1
        if link.boot != old_boot:
            link.renew_at = now
            return
        self._back_off(now, link)
        link.renew_at = max(link.renew_at, link.send_at)

    # ---- what is due

    def _start(self, now: int) -> None:
        if self._started:
            return
        self._started = True
        for link in self._links:
            link.renew_at = link.send_at = now

    def _go_on(self, now: int) -> list[HolderEffect]:
        effects = self._tell(now)
        self._begin_rounds(now)
        for link in self._links:
            if link.request is None and now >= link.send_at:
                message = self._due(now, link)
                if message is not None:
                    self.event_counts[type(message).__name__] += 1
                    effects.append(SendToController(link.controller, message))
        return effects

    def _begin_rounds(self, now: int) -> None:
        """Nothing new is asked for with no majority within reach, nor is anything given up then."""
        in_reach = len(self.reached_controllers(now)) >= self._quorum
        later = now + self.settings.first_retry
        for partition, claim in self._claims.items():
            if claim.epoch and not claim.owned and now >= claim.round_ends:
                if in_reach:
                    self._give_up_round(now, partition, claim)
                else:
                    claim.round_ends = later
            if not claim.epoch and now >= claim.retry_at:
                if in_reach:
                    self._begin_round(now, partition, claim)
                else:
                    claim.retry_at = later

    def _begin_round(self, now: int, partition: int, claim: _Claim) -> None:
        claim.epoch = self._known.get(partition, 0) + 1
        claim.round_ends = now + 2 * self.settings.answer_timeout
        self._known[partition] = claim.epoch
        self._refused.pop(partition, None)
        for link in self._links:
            link.ask_at.pop(partition, None)

    def _due(self, now: int, link: Link) -> RelayMessage | None:
        """The next request to a controller: what is unsure is settled first, then renewals, then what is new."""
        ends_at = now + self.settings.answer_timeout
        released = [
            Grant(partition, epoch) for partition, epoch in link.unsure.items() if not self._asks(partition, epoch)
        ]
        if released:
            return link.release(now, ends_at, released[:MAX_GRANTS])
        if now >= link.renew_at and not link.unsure:
            link.renew_at = now + self.settings.renew_every - self._part_of(now, self.settings.renew_every // SPREAD)
            return link.renew(now, ends_at)
        wanted = list(self._to_acquire(now, link))
        return link.acquire(now, ends_at, wanted[:MAX_GRANTS]) if wanted else None

    def _asks(self, partition: int, epoch: int) -> bool:
        claim = self._claims.get(partition)
        return claim is not None and claim.epoch == epoch

    def _to_acquire(self, now: int, link: Link) -> Iterator[Grant]:
        for partition, claim in self._claims.items():
            if not claim.epoch or partition in link.votes:
                continue
            if partition in link.unsure or now >= link.ask_at.get(partition, 0):
                yield Grant(partition, claim.epoch)

    def _link_at(self, link: Link) -> int:
        if link.request is not None:
            return link.request.ends_at
        moments = [link.renew_at]
        for partition, claim in self._claims.items():
            if claim.epoch and partition not in link.votes:
                moments.append(link.ask_at.get(partition, 0))
        if link.unsure:
            moments.append(0)
        return max(link.send_at, min(moments))

    # ---- helpers

    def _reckon(self, partitions: Iterable[int]) -> None:
        """When the majority of each ends: by the vote that makes it, counted from the latest one back."""
        for partition in partitions:
            claim = self._claims.get(partition)
            if claim is None:
                continue
            sent = sorted(
                vote.sent_at
                for link in self._links
                if (vote := link.votes.get(partition)) is not None and vote.epoch == claim.epoch
            )
            enough = len(sent) >= self._quorum
            claim.ends = sent[-self._quorum] + self._holder_time if enough else 0

    def _drop(self, partition: int) -> None:
        for link in self._links:
            link.drop(partition)
            link.ask_at.pop(partition, None)
        self._refused.pop(partition, None)

    def _tell(self, now: int) -> list[HolderEffect]:
        """What came and went since the last time, as one line."""
        gained = lost = 0
        for claim in self._claims.values():
            owned = bool(claim.epoch) and now < claim.ends - self.settings.write_margin
            if owned and not claim.owned:
                gained += 1
                claim.tries = 0
            elif claim.owned and not owned:
                lost += 1
                claim.round_ends = now + 2 * self.settings.answer_timeout
            claim.owned = owned
        if not gained and not lost:
            return []
        self.event_counts["gained"] += gained
        self.event_counts["lost"] += lost
        count = sum(claim.owned for claim in self._claims.values())
        text = f"partitions: {gained} gained, {lost} lost, {count} of {len(self._claims)} owned"
        return [LogLine(text, logging.WARNING if lost else logging.INFO)]

    def _back_off(self, now: int, link: Link) -> None:
        link.failures += 1
        link.send_at = now + min(self._backoff(now, link.failures), self.settings.renew_every)

    def _backoff(self, now: int, failures: int) -> int:
        """first_retry, doubled with each failure after the first up to max_retry; the second half of it is drawn."""
        time = min(self.settings.first_retry << min(failures - 1, MAX_DOUBLINGS), self.settings.max_retry)
        return time // 2 + self._part_of(now, time - time // 2)

    def _part_of(self, now: int, time: int) -> int:
        """A drawn part of a time; the same share at the same moment, so that what fails together is tried together."""
        if now != self._drawn_at:
            self._drawn_at, self._drawn = now, self._random.randrange(SHARES + 1)
        return time * self._drawn // SHARES
