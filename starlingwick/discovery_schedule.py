"""When discovery is asked for the list of hosts.

A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before.
So a relay without a watch asks again within ``ASK_AGAIN`` of its last asking, however many calls failed and
in whatever way, and a call without an answer is followed by another beside it. Discovery serves all relays in
turn: gaps are drawn, so that relays that fail together do not ask together.

Times are nanoseconds of the clock that drives the Pacer. No I/O; randomness is the caller's.
"""

from __future__ import annotations

import random

from starlingwick import interface as io
from starlingwick.queues import NEVER

SECOND = 1_000_000_000
ASK_SHARE = SECOND // 10  # of discovery's time, for each relay that may ask as well
ASK_TIME = 2 * SECOND  # for which a call may wait at discovery: the protocol's figure
ASK_AGAIN = 3 * SECOND  # between two askings at most: told counts after 6 s, one more call included
ASK_SOON = 3 * SECOND // 4  # at most, until a watch that is missing is opened anew
LEAST_STEP = 3 * SECOND // 2  # the longest gap behind a refused call where relays are few
LEAST_STEP_PUSHED = 4 * SECOND // 5  # the same where lists are pushed: what comes then counts at once
LEAST_HEDGE = 5 * SECOND // 4  # a call without an answer for so long gets another beside it
MOST_HEDGE = ASK_TIME + SECOND // 4  # the same among many: by then discovery has ended a call that waited
LEAST_GAP = SECOND // 4  # the longest gap that is left where ASK_AGAIN is all but over
BETWEEN_MOVES = SECOND // 4  # from one asking to the next at least, where new configurations come in a row


class DiscoverySchedule:
    """Says when to ask, from what became of the calls before. One relay's."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.random = rng
        self.crowd = ASK_SHARE * settings.relays  # discovery's time for all relays
        self.within = settings.rules.ask_every
        self.pushed = settings.discovery is io.Discovery.AUTOMATIC
        self.subscribed = False  # a watch at discovery's present address tells changes
        self.ask_at = NEVER
        self.asked_at: int | None = None
        self.failures = 0  # since the start
        self._soon = False  # the first call since a watch went missing, or since discovery moved
        self._step = self._longest_gap()

    def start(self, now: int) -> None:
        """A list that has to be asked for: at a moment of this relay's own, as relays start together."""
        spread = self._no_later(1, min(ASK_AGAIN, self.crowd))
        self.ask_at = now + (round(self.random.uniform(0, spread)) if spread > SECOND else 0)

    def due(self, now: int) -> bool:
        """Whether discovery is to be asked now; if so, that counts as done."""
        if self.subscribed or now < self.ask_at:
            return False
        self.asked_at, self.ask_at = now, now + min(MOST_HEDGE, max(LEAST_HEDGE, self.crowd))
        return True

    def answered(self) -> None:
        """A watch at the present address is open."""
        self.subscribed, self._soon = True, False
        self._step = self._longest_gap()

    def missing(self, now: int) -> None:
        """No watch is at the present address: discovery moved, or lists are pushed and this is the start."""
        watched, self.subscribed, self._soon = self.subscribed, False, True
        if self.asked_at is None:
            self.ask_at = now
            return
        at = max(now + self._soon_gap(), self.asked_at + BETWEEN_MOVES)
        self.ask_at = at if watched else min(self.ask_at, at)

    def failed(self, now: int) -> str:
        """A watch broke, or a call was not taken up; a line for the log."""
        watched, soon = self.subscribed, self.subscribed or self._soon
        self.subscribed = self._soon = False
        self.failures += 1
        since = now if self.asked_at is None else now - self.asked_at
        if soon:
            gap = self._soon_gap()
            self._step = min(2 * ASK_SOON, self._longest_gap())
        else:
            longest = min(self._step, max(LEAST_GAP, ASK_AGAIN - since))
            gap = round(longest * self.random.uniform(0.5, 1.0))
            self._step = self._longest_gap()
        self.ask_at = now + gap
        if self.asked_at is not None and not watched:  # however many calls fail meanwhile
            self.ask_at = max(now, min(self.ask_at, self.asked_at + ASK_AGAIN))
        what = "the watch broke" if watched else "a call failed"
        after, until = since / SECOND, (self.ask_at - now) / SECOND
        return f"discovery: {what} {after:.2f} s after the last asking, next in {until:.2f} s"

    def _soon_gap(self) -> int:
        return round(self.random.uniform(0.0, min(ASK_SOON, self.crowd)))

    def _longest_gap(self) -> int:
        """Few relays get no longer gaps, as they are no crowd."""
        least = LEAST_STEP_PUSHED if self.pushed else LEAST_STEP
        return max(least, self._no_later(4, min(ASK_AGAIN, 2 * self.crowd)))

    def _no_later(self, times: int, gap: int) -> int:
        """A gap until discovery is asked, but so that its answer comes before the list that we have holds
        no more: after so many times what the settings give for asking, four if the last call failed."""
        return min(gap, max(SECOND, times * self.within - ASK_TIME)) if self.within else gap
