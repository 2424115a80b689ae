"""How long the key of an ordered class rests behind an attempt whose work may go on, also for a later process. No I/O and
no clock: the caller passes the time.

The Pacer keeps rests in memory. The message that a key rests behind may have ended, so that nothing else in the journal
tells a next process of it: each rest is put on record. Its end is a time of the monotonic clock, which all processes of
one boot of the machine share and nobody sets. In another boot, a key rests for the whole time once more.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Mapping

from garnetrelay.store.format import KeyRest
from starlingwick import interface as io
from starlingwick.control import MAY_STILL_RUN


class KeyRests:
    """The rests of one relay. ``read_boot`` identifies the current boot of the machine; called once a rest is known."""

    def __init__(self, settings: io.Settings, class_numbers: Mapping[str, int], read_boot: Callable[[], bytes]) -> None:
        self._gap = settings.rules.turn_gap
        self._ordered = {name for name, number in class_numbers.items() if settings.classes[number].in_turn}
        self._read_boot = read_boot

    @functools.cached_property
    def _boot(self) -> bytes:
        return self._read_boot()

    def after(self, klass: str, key: str | None, status: io.Status, now: int) -> KeyRest | None:
        """The rest to record as an attempt ends with a status at ``now`` (monotonic clock, nanoseconds); None if there is
        none."""
        if key is None or not self._gap or status not in MAY_STILL_RUN or klass not in self._ordered:
            return None
        return KeyRest(key, now + self._gap, self._boot)

    def in_force(self, recorded: Iterable[KeyRest], now: int) -> list[KeyRest]:
        """The recorded rests that are not over at ``now``, with their ends in the current boot, the earliest first."""
        rests = [KeyRest(rest.key, self._end(rest, now), self._boot) for rest in recorded]
        return sorted((rest for rest in rests if rest.until > now), key=lambda rest: rest.until)

    def _end(self, rest: KeyRest, now: int) -> int:
        longest = now + self._gap
        return min(rest.until, longest) if rest.boot == self._boot else longest
