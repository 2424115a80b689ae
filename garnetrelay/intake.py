"""Requests of clients: checked, answered at once or reported to the Pacer, and recorded once it has accepted them.

It prevents three faults: a message that runs twice since its client submits it again, an answer ahead of the record
that it depends on, and a request that is accepted although no room is left for its records.
"""

from __future__ import annotations

import functools
import time
from abc import ABC, abstractmethod
from collections.abc import Sized

from garnetrelay.counters import Counters
from garnetrelay.discovery.client import Discovery
from garnetrelay.ends.notifier import EndNotifier
from garnetrelay.fronts.resp.connection import Reply
from garnetrelay.fronts.resp.requests import RejectedError, Request
from garnetrelay.host_table import HostTable
from garnetrelay.pending import NewRequest, PendingMessage
from garnetrelay.store.format import Entry
from garnetrelay.store.store import Store
from starlingwick import interface as io

MS = 1_000_000


class Intake(ABC):
    """The part of a relay that accepts messages. ``Relay`` sets the attributes and implements the abstract methods."""

    settings: io.Settings
    journal: Store
    counts: Counters
    discovery: Discovery
    host_table: HostTable
    ends: EndNotifier
    class_numbers: dict[str, int]  # by a class's name
    pending: dict[str, PendingMessage]  # by ref
    recovering: Sized  # read from the journal, not yet restored
    new_requests: dict[str, NewRequest]  # by ref, until the next tick

    @abstractmethod
    def post(self, event: io.Event) -> None:
        """Queue an event for the next tick."""

    def on_request(self, request: Request, reply: Reply) -> None:
        """A client submits a message. It is answered within the next tick."""
        if request.klass not in self.class_numbers:
            raise RejectedError(f"unknown class '{request.klass[:40]}'")
        if request.dest not in self.host_table.destinations:
            # The list from the start may be outdated: a destination that it lacks may exist.
            if not self.discovery.up_to_date:
                self.counts.refused[request.klass] += 1
                reply.busy(0)
                return
            raise RejectedError(f"unknown destination {request.dest}")
        klass = self.settings.classes[self.class_numbers[request.klass]]
        if klass.repeat is io.Repeat.KEYED and request.key is None:
            raise RejectedError("'k' is missing")  # without a key no host could recognize a repeat
        if request.patience_ms * MS > 2 * klass.deadline:
            raise RejectedError("'d' is far over the class's deadline")
        if request.patience_ms <= 0:  # it waited unread until its time limit had passed
            self.counts.refused[request.klass] += 1
            reply.busy(0)
            return
        if self._answer_known(request.ref, reply):
            return
        deadline = time.time_ns() // MS + request.patience_ms
        ends_at = time.monotonic_ns() + request.patience_ms * MS
        self.new_requests[request.ref] = NewRequest(request, reply, deadline, ends_at)
        self.post(
            io.Arrived(
                call=request.ref,
                tenant=0,
                klass=self.class_numbers[request.klass],
                dest=request.dest,
                key=request.key,
                patience=request.patience_ms * MS,
                storable=self.journal.has_room(request.ref, request.key, len(request.body))
                and (klass.repeat is io.Repeat.SAFE or self.journal.has_room_for_refs)
                and (not self.recovering or len(self.pending) + len(self.recovering) < self.settings.limits.most_held),
            )
        )

    def _answer_known(self, ref: str, reply: Reply) -> bool:
        """Answer a request for a message that this relay knows already; False for a new one."""
        if self._is_accepted(ref):
            self.journal.when_recorded(functools.partial(self._answer_repeat, ref, reply))
            return True
        ended = self.journal.end_of(ref, time.time_ns() // MS)
        if ended is not None:  # it ran, and must not run again
            reply.error("failed") if ended.failed else reply.ok()
            return True
        if ref in self.new_requests:
            reply.busy(0)
            return True
        return False

    def _is_accepted(self, ref: str) -> bool:
        """Whether a message was accepted, and is pending or the notice of its end is not acknowledged yet."""
        return ref in self.pending or ref in self.journal.entries

    def _answer_repeat(self, ref: str, reply: Reply, recorded: bool) -> None:
        """Answer a request for a message that was accepted before. Its record may have been as young as the request, and
        may have failed since."""
        if recorded or self._is_accepted(ref):
            reply.ok()
        else:
            self.ends.refuse(ref, reply)

    def _accept_new_requests(self, ends: set[str]) -> list[NewRequest]:
        """Record the new requests that the Pacer did not end in this tick: they are accepted once that is written."""
        accepted = []
        for ref, new_request in self.new_requests.items():
            request = new_request.request
            if ref in ends:
                continue
            # Other requests of this tick may have used the space that was free when it arrived.
            if not new_request.reply.client_connected or not self.journal.has_room(ref, request.key, len(request.body)):
                self.counts.refused[request.klass] += 1
                new_request.reply.busy(0)
                self.post(io.Withdrawn(ref))
                continue
            self.journal.record_accepted(
                Entry(ref, request.klass, request.dest, request.key, new_request.deadline, request.body)
            )
            self.pending[ref] = PendingMessage(ref, request.klass, request.key, request.body, new_request.ends_at)
            accepted.append(new_request)
        return accepted

    def _answer(self, new_request: NewRequest, recorded: bool) -> None:
        """Tell a client that its message is accepted, or refuse it because it could not be recorded."""
        ref = new_request.request.ref
        if recorded:
            new_request.reply.ok()
            return
        self.pending.pop(ref, None)
        self.journal.record_end(ref, None)
        self.counts.refused[new_request.request.klass] += 1
        self.ends.refuse(ref, new_request.reply)
        self.post(io.Withdrawn(ref))
