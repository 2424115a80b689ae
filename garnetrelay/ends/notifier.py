"""Tells the platform of ends and clients of refusals, but of none that a kill could still undo.

What a tick decided is told once its records are written. Where they could not be written, ``held.py`` decides how long a
notice waits, and a refusal of a request waits for as long as the journal may hold the request.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import NamedTuple

from garnetrelay.ends.held import EndNotice, HeldNotices
from garnetrelay.fronts.resp.connection import Reply
from garnetrelay.platform.notices import Notices
from garnetrelay.store.store import Store

log = logging.getLogger(__name__)

SECOND = 1_000_000_000


class HeldRefusal(NamedTuple):
    """A refused request whose client is not told yet."""

    ref: str
    reply: Reply


class EndNotifier:
    """The ends that are decided and not yet passed on. Used on the loop's thread."""

    def __init__(self, journal: Store, notices: Notices) -> None:
        self._journal = journal
        self._notices = notices
        self._added: list[EndNotice] = []
        self._held = HeldNotices()
        self._held_refusals: list[HeldRefusal] = []
        self._timer: asyncio.TimerHandle | None = None
        self._waiting = False  # for the journal to call back

    @property
    def waiting(self) -> bool:
        """Whether an end waits for its record."""
        return bool(self._held or self._held_refusals)

    def add(self, notice: EndNotice) -> None:
        """Adds an end that the current tick decided."""
        self._added.append(notice)

    def take_added(self) -> list[EndNotice]:
        """The ends of the current tick, to be passed to ``release`` once the journal has tried to record them."""
        added, self._added = self._added, []
        return added

    def release(self, notices: list[EndNotice], recorded: bool) -> None:
        """Notifies the platform of a tick's ends, or holds those that are not on record."""
        for notice in notices:
            if recorded:
                self._add_notice(notice)
            else:
                self._held.hold(notice)
        self._notices.send()
        if not recorded:
            self._tell_recorded(False)
            self._schedule()

    def refuse(self, ref: str, reply: Reply) -> None:
        """Refuses a request whose record could not be written and has been withdrawn.

        If the journal may hold the record all the same, the client is not told before the withdrawal is on record: a
        refused request may be submitted elsewhere, and must not be found by the next process."""
        if self._journal.keeps_failed_records:
            self._held_refusals.append(HeldRefusal(ref, reply))
        else:
            reply.busy(0)

    def retry(self) -> None:
        """The journal may have written what it could not write before: tells what is on record now."""
        if self.waiting and not self._waiting:
            self._waiting = True
            self._journal.when_recorded(self._on_recorded)

    def close(self) -> None:
        """Tells nothing more; ends that were held are decided anew by the next process."""
        if self._timer is not None:
            self._timer.cancel()
        self._held, self._timer = HeldNotices(), None
        self._held_refusals.clear()

    def _on_recorded(self, recorded: bool) -> None:
        self._waiting = False
        self._tell_recorded(recorded)
        self._schedule()

    def _tell_recorded(self, recorded: bool) -> None:
        """Tells what is on record. ``recorded``: all that was written is; else that holds only without syncs."""
        if not recorded and self._journal.machine_durable:
            return
        unrecorded = self._journal.unrecorded
        for notice in self._held.take_recorded(unrecorded):
            self._add_notice(notice)
        for refusal in self._held_refusals:
            if refusal.ref not in unrecorded:
                refusal.reply.busy(0)
        self._held_refusals = [refusal for refusal in self._held_refusals if refusal.ref in unrecorded]
        self._notices.send()

    def _schedule(self) -> None:
        """Sets the timer to the next deadline."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = self._held.next_deadline()
        if deadline is not None:
            self._timer = asyncio.get_running_loop().call_at(deadline / SECOND, self._on_deadline)

    def _on_deadline(self) -> None:
        self._timer = None
        for notice in self._held.take_due(time.monotonic_ns()):
            log.debug("the end of message %s is told at its deadline, without a record", notice.ref)
            self._add_notice(notice)
        self._notices.send()
        self._schedule()

    def _add_notice(self, notice: EndNotice) -> None:
        self._notices.add(notice.ref, notice.result, notice.wait_ms)
