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
CALL_TIME_PER_RELAY_NS = SECOND // 10  # of discovery's time
MAX_CALL_TIME_NS = 2 * SECOND  # a call may wait this long at discovery, by its protocol
MAX_CALL_INTERVAL_NS = 3 * SECOND  # leaves time for one more call within the 6 s
MAX_REOPEN_DELAY_NS = 3 * SECOND // 4  # until a missing watch is opened again
MIN_RETRY_LIMIT_NS = 3 * SECOND // 2  # of the random delay, where relays are few
MIN_RETRY_LIMIT_PUSHED_NS = 4 * SECOND // 5  # shorter, since a pushed list counts at once
MIN_HEDGE_DELAY_NS = 5 * SECOND // 4  # a call without an answer is followed by another in parallel
# Where there are many relays. By then discovery has ended a call that waited there.
MAX_HEDGE_DELAY_NS = MAX_CALL_TIME_NS + SECOND // 4
MIN_LATE_RETRY_LIMIT_NS = SECOND // 4  # of the random delay shortly before MAX_CALL_INTERVAL_NS is over
MIN_MOVE_INTERVAL_NS = SECOND // 4  # between calls when several configurations arrive in a row


class DiscoverySchedule:
    """Decides when one relay calls discovery, from the outcomes of its earlier calls."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.random = rng
        self.all_relays_time = CALL_TIME_PER_RELAY_NS * settings.relays  # for one call of each
        self.list_refresh_interval = settings.rules.ask_every
        self.pushed = settings.discovery is io.Discovery.AUTOMATIC
        self.subscribed = False  # a watch at discovery's present address reports changes
        self.next_call_at = NEVER
        self.last_call_at: int | None = None
        self.failures = 0  # since the relay started
        self._reopening = False  # no call yet since the watch was lost or discovery moved
        self._max_retry_delay = self._retry_delay_limit()

    def schedule_first_call(self, now: int) -> None:
        """Schedule the first call where lists are not pushed, at a random time since relays start
        together."""
        spread = self._before_list_expires(1, min(MAX_CALL_INTERVAL_NS, self.all_relays_time))
        self.next_call_at = now + (round(self.random.uniform(0, spread)) if spread > SECOND else 0)

    def begin_call_if_due(self, now: int) -> bool:
        """Whether to call discovery now. If so, the call counts as made."""
        if self.subscribed or now < self.next_call_at:
            return False
        self.last_call_at, self.next_call_at = (
            now,
            now + min(MAX_HEDGE_DELAY_NS, max(MIN_HEDGE_DELAY_NS, self.all_relays_time)),
        )
        return True

    def on_watch_open(self) -> None:
        """A watch at discovery's present address is open."""
        self.subscribed, self._reopening = True, False
        self._max_retry_delay = self._retry_delay_limit()

    def on_watch_missing(self, now: int) -> None:
        """No watch is open at discovery's present address: discovery moved, or the relay starts and lists are
        pushed."""
        watched, self.subscribed, self._reopening = self.subscribed, False, True
        if self.last_call_at is None:
            self.next_call_at = now
            return
        call_at = max(now + self._reopen_delay(), self.last_call_at + MIN_MOVE_INTERVAL_NS)
        self.next_call_at = call_at if watched else min(self.next_call_at, call_at)

    def on_failure(self, now: int) -> str:
        """A watch broke, or a call was not accepted. Returns a line for the log."""
        watched, reopening = self.subscribed, self.subscribed or self._reopening
        self.subscribed = self._reopening = False
        self.failures += 1
        elapsed = now if self.last_call_at is None else now - self.last_call_at
        if reopening:
            delay = self._reopen_delay()
            self._max_retry_delay = min(2 * MAX_REOPEN_DELAY_NS, self._retry_delay_limit())
        else:
            limit = min(self._max_retry_delay, max(MIN_LATE_RETRY_LIMIT_NS, MAX_CALL_INTERVAL_NS - elapsed))
            delay = round(limit * self.random.uniform(0.5, 1.0))
            self._max_retry_delay = self._retry_delay_limit()
        self.next_call_at = now + delay
        if self.last_call_at is not None and not watched:  # regardless of how many calls fail meanwhile
            self.next_call_at = max(now, min(self.next_call_at, self.last_call_at + MAX_CALL_INTERVAL_NS))
        cause = "the watch broke" if watched else "a call failed"
        elapsed_s, delay_s = elapsed / SECOND, (self.next_call_at - now) / SECOND
        return f"discovery: {cause} {elapsed_s:.2f} s after the last call, next in {delay_s:.2f} s"

    def _reopen_delay(self) -> int:
        return round(self.random.uniform(0.0, min(MAX_REOPEN_DELAY_NS, self.all_relays_time)))

    def _retry_delay_limit(self) -> int:
        """The longest delay after a failed call. It has a lower bound, since few relays cannot overload
        discovery."""
        minimum = MIN_RETRY_LIMIT_PUSHED_NS if self.pushed else MIN_RETRY_LIMIT_NS
        return max(minimum, self._before_list_expires(4, min(MAX_CALL_INTERVAL_NS, 2 * self.all_relays_time)))

    def _before_list_expires(self, intervals: int, delay: int) -> int:
        """Shorten ``delay`` so that the answer arrives before the present list expires: after this many of
        the intervals that the settings give for refreshing it, four if the last call failed."""
        return (
            min(delay, max(SECOND, intervals * self.list_refresh_interval - MAX_CALL_TIME_NS))
            if self.list_refresh_interval
            else delay
        )
