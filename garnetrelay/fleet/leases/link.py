"""What a relay knows of one controller: the request under way, the votes, and what may be on record there.

One request at a time, each with a higher number; an answer counts only for the request that is under way. What was asked
and not answered may be on record or not (``unsure``), until a grant, a refusal or a release is answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from garnetrelay.fleet.leases.digest import digest
from garnetrelay.fleet.leases.messages import MAX_GRANTS, Acquire, Answer, Grant, RelayMessage, Release, Renew, Session


class Vote(NamedTuple):
    """A grant of a controller, and when the latest request was sent that it accepted for it."""

    epoch: int
    sent_at: int


@dataclass(slots=True)
class Request:
    """The request under way."""

    message: RelayMessage
    sent_at: int
    ends_at: int  # with no answer by then, another may be sent
    snapshot: dict[int, int]  # epochs by partition that a renewal stands for


@dataclass(slots=True)
class Link:
    """One controller, as one session sees it. Times in nanoseconds by the relay's clock."""

    controller: int
    session: Session
    fingerprint: int
    boot: int = 0
    number: int = 0
    request: Request | None = None
    send_at: int = 0  # nothing is sent before
    renew_at: int = 0
    failures: int = 0  # requests in a row that were not accepted
    accepted_at: int | None = None  # when the latest accepted request was sent
    votes: dict[int, Vote] = field(default_factory=dict)
    unsure: dict[int, int] = field(default_factory=dict)  # epoch by partition
    ask_at: dict[int, int] = field(default_factory=dict)  # refused partitions: not to be asked for before

    def renew(self, now: int, ends_at: int) -> RelayMessage:
        """A renewal of all votes."""
        snapshot = {partition: vote.epoch for partition, vote in self.votes.items()}
        number = self._next()
        message = Renew(self.session, number, self.boot, self.fingerprint, len(snapshot), digest(snapshot.items()))
        return self._begin(message, now, ends_at, snapshot)

    def acquire(self, now: int, ends_at: int, grants: list[Grant]) -> RelayMessage:
        """Asks for grants."""
        for grant in grants:
            self.unsure[grant.partition] = grant.epoch
        return self._begin(Acquire(self.session, self._next(), self.boot, self.fingerprint, grants), now, ends_at, {})

    def release(self, now: int, ends_at: int, grants: list[Grant]) -> RelayMessage:
        """Gives grants up; none named: all."""
        return self._begin(Release(self.session, self._next(), self.boot, grants), now, ends_at, {})

    def _next(self) -> int:
        self.number += 1
        return self.number

    def _begin(self, message: RelayMessage, now: int, ends_at: int, snapshot: dict[int, int]) -> RelayMessage:
        self.request = Request(message, now, ends_at, snapshot)
        return message

    def drop(self, partition: int) -> None:
        """A vote is no longer wanted: it has to be released."""
        vote = self.votes.pop(partition, None)
        if vote is not None:
            self.unsure[partition] = vote.epoch

    def answered(self, answer: Answer) -> Request | None:
        """The request that an answer belongs to; None: none that is under way."""
        request = self.request
        if request is None or request.message.number != answer.number:
            return None
        if answer.boot != request.message.boot and request.message.boot and answer.accepted:
            return None
        self.request = None
        self.boot = answer.boot
        return request

    def renewed(self, request: Request) -> None:
        """A renewal was accepted: votes that it stood for count from its sending."""
        for partition, epoch in request.snapshot.items():
            vote = self.votes.get(partition)
            if vote is not None and vote.epoch == epoch:
                self.votes[partition] = Vote(epoch, request.sent_at)

    def differs(self, answer: Answer) -> None:
        """A renewal did not match: what is on record and what is not becomes unsure."""
        listed = dict(answer.granted)
        whole = len(answer.granted) < MAX_GRANTS
        for partition, epoch in listed.items():
            vote = self.votes.get(partition)
            if vote is None or vote.epoch != epoch:
                self.votes.pop(partition, None)
                self.unsure[partition] = epoch
        for partition in [partition for partition in self.votes if partition not in listed]:
            vote = self.votes.pop(partition)
            if not whole:
                self.unsure[partition] = vote.epoch
