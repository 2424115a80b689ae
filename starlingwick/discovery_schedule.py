"""When the relay calls discovery for the list of hosts.

A relay has to act on a change within 6 s of discovery having it and being reachable, whatever happened to the
calls before. A relay without a watch therefore calls again within ``MAX_CALL_INTERVAL_NS`` of its last call,
however many calls failed and in whatever way; a call that is not answered is followed by another in parallel.
Discovery serves all relays one after the other, so delays are random: relays that fail together do not call
together.

Times are nanoseconds of the clock that drives the Pacer. No I/O; the caller supplies the random generator.
"""

from __future__ import annotations

import random

from starlingwick import interface as io
from starlingwick.queues import NEVER

SECOND = 1_000_000_000
CALL_TIME_PER_RELAY_NS = SECOND // 10  # of discovery's time, for each relay that may ask as well
MAX_CALL_TIME_NS = 2 * SECOND  # for which a call may wait at discovery: the protocol's figure
MAX_CALL_INTERVAL_NS = 3 * SECOND  # leaves time for one more call within the 6 s
MAX_REOPEN_DELAY_NS = 3 * SECOND // 4  # at most, until a watch that is missing is opened anew
LEAST_STEP = 3 * SECOND // 2  # the longest gap behind a refused call where relays are few
LEAST_STEP_PUSHED = 4 * SECOND // 5  # the same where lists are pushed: what comes then counts at once
MIN_HEDGE_DELAY_NS = 5 * SECOND // 4  # a call without an answer for so long gets another beside it
# Where there are many relays. By then discovery has ended a call that waited there.
MAX_HEDGE_DELAY_NS = MAX_CALL_TIME_NS + SECOND // 4
LEAST_GAP = SECOND // 4  # the longest gap that is left where MAX_CALL_INTERVAL_NS is all but over
BETWEEN_MOVES = SECOND // 4  # from one asking to the next at least, where new configurations come in a row


class DiscoverySchedule:
    """Says when to ask, from what became of the calls before. One relay's."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.random = rng
        self.all_relays_time = CALL_TIME_PER_RELAY_NS * settings.relays  # discovery's time for all relays
        self.within = settings.rules.ask_every
        self.pushed = settings.discovery is io.Discovery.AUTOMATIC
        self.subscribed = False  # a watch at discovery's present address tells changes
        self.next_call_at = NEVER
        self.last_call_at: int | None = None
        self.failures = 0  # since the start
        self._soon = False  # the first call since a watch went missing, or since discovery moved
        self._step = self._longest_gap()

    def start(self, now: int) -> None:
        """A list that has to be asked for: at a moment of this relay's own, as relays start together."""
        spread = self._no_later(1, min(MAX_CALL_INTERVAL_NS, self.all_relays_time))
        self.next_call_at = now + (round(self.random.uniform(0, spread)) if spread > SECOND else 0)

    def due(self, now: int) -> bool:
        """Whether discovery is to be asked now; if so, that counts as done."""
        if self.subscribed or now < self.next_call_at:
            return False
        self.last_call_at, self.next_call_at = (
            now,
            now + min(MAX_HEDGE_DELAY_NS, max(MIN_HEDGE_DELAY_NS, self.all_relays_time)),
        )
        return True

    def answered(self) -> None:
        """A watch at the present address is open."""
        self.subscribed, self._soon = True, False
        self._step = self._longest_gap()

    def missing(self, now: int) -> None:
        """No watch is at the present address: discovery moved, or lists are pushed and this is the start."""
        watched, self.subscribed, self._soon = self.subscribed, False, True
        if self.last_call_at is None:
            self.next_call_at = now
            return
        at = max(now + self._soon_gap(), self.last_call_at + BETWEEN_MOVES)
        self.next_call_at = at if watched else min(self.next_call_at, at)

    def failed(self, now: int) -> str:
        """A watch broke, or a call was not taken up; a line for the log."""
        watched, soon = self.subscribed, self.subscribed or self._soon
        self.subscribed = self._soon = False
        self.failures += 1
        since = now if self.last_call_at is None else now - self.last_call_at
        if soon:
            gap = self._soon_gap()
            self._step = min(2 * MAX_REOPEN_DELAY_NS, self._longest_gap())
        else:
            longest = min(self._step, max(LEAST_GAP, MAX_CALL_INTERVAL_NS - since))
            gap = round(longest * self.random.uniform(0.5, 1.0))
            self._step = self._longest_gap()
        self.next_call_at = now + gap
        if self.last_call_at is not None and not watched:  # however many calls fail meanwhile
            self.next_call_at = max(now, min(self.next_call_at, self.last_call_at + MAX_CALL_INTERVAL_NS))
        what = "the watch broke" if watched else "a call failed"
        after, until = since / SECOND, (self.next_call_at - now) / SECOND
        return f"discovery: {what} {after:.2f} s after the last asking, next in {until:.2f} s"

    def _soon_gap(self) -> int:
        return round(self.random.uniform(0.0, min(MAX_REOPEN_DELAY_NS, self.all_relays_time)))

    def _longest_gap(self) -> int:
        """Few relays get no longer gaps, as they are no crowd."""
        least = LEAST_STEP_PUSHED if self.pushed else LEAST_STEP
        return max(least, self._no_later(4, min(MAX_CALL_INTERVAL_NS, 2 * self.all_relays_time)))

    def _no_later(self, times: int, gap: int) -> int:
        """A gap until discovery is asked, but so that its answer comes before the list that we have holds
        no more: after so many times what the settings give for asking, four if the last call failed."""
        return min(gap, max(SECOND, times * self.within - MAX_CALL_TIME_NS)) if self.within else gap
