"""A relay's state for one controller: the request in progress, the votes, and the grants that may be on record there.

There is at most one request at a time, each with a higher number than the one before, and only an answer to the request
in progress counts. A grant whose request was not answered may or may not be on record at the controller: it stays in
``unconfirmed`` until a grant, a refusal or a release is answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from garnetrelay.fleet.leases.digest import digest
from garnetrelay.fleet.leases.messages import MAX_GRANTS, Acquire, Answer, Grant, RelayMessage, Release, Renew, Session


class Vote(NamedTuple):
    """A controller's grant, and when the latest request that the controller accepted for it was sent."""

    epoch: int
    sent_at: int


@dataclass(slots=True)
class Request:
    """The request in progress."""

    message: RelayMessage
    sent_at: int
    deadline: int  # from then on another request may be sent
    renewed_epochs: dict[int, int]  # by partition: the grants that a renewal covers


@dataclass(slots=True)
class Link:
    """One controller, as one session sees it. Times are in nanoseconds of the relay's clock."""

    controller: int
    session: Session
    fingerprint: int
    boot: int = 0  # random number of the controller's process; 0: not yet known
    number: int = 0  # of the latest request
    request: Request | None = None
    send_at: int = 0  # earliest time of the next request
    renew_at: int = 0
    failures: int = 0  # requests in a row that were not accepted
    accepted_at: int | None = None  # when the latest accepted request was sent
    votes: dict[int, Vote] = field(default_factory=dict)
    unconfirmed: dict[int, int] = field(default_factory=dict)  # epoch by partition
    acquire_at: dict[int, int] = field(default_factory=dict)  # by refused partition: earliest time of the next acquire

    def renew(self, now: int, deadline: int) -> RelayMessage:
        """Starts a renewal of all votes."""
        renewed_epochs = {partition: vote.epoch for partition, vote in self.votes.items()}
        number = self._next_number()
        message = Renew(
            self.session, number, self.boot, self.fingerprint, len(renewed_epochs), digest(renewed_epochs.items())
        )
        return self._start_request(message, now, deadline, renewed_epochs)

    def acquire(self, now: int, deadline: int, grants: list[Grant]) -> RelayMessage:
        """Starts a request for grants."""
        for grant in grants:
            self.unconfirmed[grant.partition] = grant.epoch
        return self._start_request(
            Acquire(self.session, self._next_number(), self.boot, self.fingerprint, grants), now, deadline, {}
        )

    def release(self, now: int, deadline: int, grants: list[Grant]) -> RelayMessage:
        """Starts the release of grants; an empty list releases all of them."""
        return self._start_request(Release(self.session, self._next_number(), self.boot, grants), now, deadline, {})

    def _next_number(self) -> int:
        self.number += 1
        return self.number

    def _start_request(
        self, message: RelayMessage, now: int, deadline: int, renewed_epochs: dict[int, int]
    ) -> RelayMessage:
        self.request = Request(message, now, deadline, renewed_epochs)
        return message

    def drop_vote(self, partition: int) -> None:
        """Removes a vote that is no longer needed, and marks the grant for release."""
        vote = self.votes.pop(partition, None)
        if vote is not None:
            self.unconfirmed[partition] = vote.epoch

    def finish_request(self, answer: Answer) -> Request | None:
        """Ends the request in progress and returns it if the answer belongs to it; otherwise returns None."""
        request = self.request
        if request is None or request.message.number != answer.number:
            return None
        if answer.boot != request.message.boot and request.message.boot and answer.accepted:
            return None
        self.request = None
        self.boot = answer.boot
        return request

    def apply_renewal(self, request: Request) -> None:
        """Handles an accepted renewal: the votes that it covers count from the time it was sent."""
        for partition, epoch in request.renewed_epochs.items():
            vote = self.votes.get(partition)
            if vote is not None and vote.epoch == epoch:
                self.votes[partition] = Vote(epoch, request.sent_at)

    def apply_mismatch(self, answer: Answer) -> None:
        """Handles a renewal that did not match the record: grants that only one side knows become unconfirmed.

        If the answer lists all grants on record, a vote that is not listed is dropped, since it needs no release.
        """
        listed = dict(answer.granted)
        complete = len(answer.granted) < MAX_GRANTS
        for partition, epoch in listed.items():
            vote = self.votes.get(partition)
            if vote is None or vote.epoch != epoch:
                self.votes.pop(partition, None)
                self.unconfirmed[partition] = epoch
        for partition in [partition for partition in self.votes if partition not in listed]:
            vote = self.votes.pop(partition)
            if not complete:
                self.unconfirmed[partition] = vote.epoch
