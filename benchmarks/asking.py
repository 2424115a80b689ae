"""How soon relays have a list again that discovery can give them: bare Pacers over one driven clock, one service for all.

A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before. So the time
from discovery's return to each relay's list has to stay under that, as far as discovery can answer all in that time. No
sockets and no clock: what is measured is a decision, and the same seed gives the same table.
"""

from __future__ import annotations

import heapq
import itertools
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, field

from benchmarks.restarts import CUSTOMERS
from starlingwick import interface as io
from starlingwick.control import Pacer

SECOND = 1_000_000_000
REFUSED_AFTER = SECOND // 10  # a call's way there and back
PATIENCE = 2 * SECOND  # the protocol's: a call that waited longer fails
GIVEN_UP_AFTER = 3 * SECOND  # the relay's own (``garnetrelay.discovery.watches.ANSWER_TIMEOUT_S``)
TOLD_AFTER = 6 * SECOND  # the protocol's: a change counts as told
START = 1000 * SECOND
LONGEST = 120 * SECOND  # beyond it a relay counts as never answered


def settings(relays: int, ask_every: float) -> io.Settings:
    """A customer's, with a list that is asked for."""
    base = CUSTOMERS[0].settings()
    values = {name: getattr(base, name) for name in base.__dataclass_fields__}
    rules = {name: getattr(base.rules, name) for name in base.rules.__dataclass_fields__}
    rules["ask_every"] = round(ask_every * SECOND)
    values |= {"relays": relays, "discovery": io.Discovery.SUBSCRIBE, "rules": io.Rules(**rules)}
    return io.Settings(**values)


@dataclass
class Service:
    """Discovery: calls are worked through in turn. Where it takes up calls that have to wait for longer than their
    patience, it works on these all the same, for nobody."""

    each: int  # its time for a call
    turned_away: int = (
        PATIENCE  # a longer wait than that, and a call is refused at once; beyond ``PATIENCE`` it is worked
    )
    # on for nobody
    back_at: int = 0  # since the start: until then it is down
    silent: bool = False  # while down it takes up calls and says nothing, where it would refuse them
    keeps: bool = False  # calls that it can't answer it ends when they have waited out their time, not at once
    free_at: int = 0
    asked: int = 0
    wasted: int = 0  # calls that were worked on for nobody

    def ask(self, at: int) -> tuple[int, bool]:
        """When a call is over, and whether the list came."""
        self.asked += 1
        refused = at + (PATIENCE if self.keeps else REFUSED_AFTER)
        if at < self.back_at:
            return at + GIVEN_UP_AFTER if self.silent else refused, False
        done = max(at, self.free_at) + self.each
        if done - at > self.turned_away:
            return refused, False
        self.free_at = done
        if done - at <= PATIENCE:
            return done + REFUSED_AFTER, True
        self.wasted += 1
        return at + PATIENCE, False


@dataclass
class Relays:
    """Pacers that nobody sends a message: all that they do is to ask for the list."""

    known: io.Settings
    service: Service
    seed: int
    listed: dict[int, int] = field(default_factory=dict)  # by relay: when it had the list
    asked: dict[int, list[int]] = field(default_factory=dict)
    out: dict[int, dict[int, int]] = field(default_factory=dict)  # by relay: its calls, begun by when they are over

    def run(self, until: int, driven: int | None = None) -> None:
        """Play from the start, when all begin at once, until each has its list, or until then; the first ``driven``
        relays alone, if so many are named."""
        pacers = [Pacer(self.known, 1000 * self.seed + n) for n in range(driven or self.known.relays)]
        order = itertools.count()
        queue: list[tuple[int, int, int, io.Event]] = []
        for n in range(len(pacers)):
            heapq.heappush(queue, (START, next(order), n, io.Roster(io.ListScope.CACHED, ())))
        while queue and len(self.listed) < len(pacers):
            now, _, n, event = heapq.heappop(queue)
            if now > START + until:
                return
            if isinstance(event, io.Roster) and event.scope is io.ListScope.WHOLE:
                self.listed.setdefault(n, now - START)
            if isinstance(event, io.Roster) and self.overtaken(n, event, now):
                continue
            for when, after in self.carried_out(now, n, pacers[n].handle(now, [event])):
                heapq.heappush(queue, (when, next(order), n, after))

    def overtaken(self, relay: int, event: io.Roster, now: int) -> bool:
        """Whether a call has ended that does not count: one that failed beside a later one, or that another one's answer
        has closed. The register keeps that to itself (``garnetrelay.discovery.watches``)."""
        if event.scope is io.ListScope.CACHED:
            return False
        begun = self.out[relay].pop(now, None)
        if begun is not None and event.scope is io.ListScope.WHOLE:
            self.out[relay].clear()
        return begun is None or any(other > begun for other in self.out[relay].values())

    def carried_out(self, now: int, relay: int, actions: list[io.Action]) -> Iterator[tuple[int, io.Event]]:
        """What becomes of a relay's actions, and when."""
        for action in actions:
            match action:
                case io.Subscribe():
                    self.asked.setdefault(relay, []).append(now - START)
                    over, answered = self.service.ask(now - START)
                    self.out.setdefault(relay, {})[START + over] = now
                    yield START + over, io.Roster(io.ListScope.WHOLE if answered else io.ListScope.FAILED, ())
                case io.Wake(after, token):
                    yield now + after, io.Alarm(token)


def gaps(relays: int, ask_every: float, seed: int, silent: bool = False) -> list[int]:
    """Between the askings of one relay whose every call fails, for two minutes behind its first minute."""
    fleet = Relays(settings(relays, ask_every), Service(each=0, back_at=2 * LONGEST, silent=silent), seed)
    fleet.run(180 * SECOND, driven=1)
    asked = [at for at in fleet.asked[0] if at >= 60 * SECOND]
    return [later - sooner for sooner, later in itertools.pairwise(asked)]


def returned(relays: int, ask_every: float, service: Service, seed: int) -> list[int]:
    """By relay, from discovery's return to its list; ``LONGEST`` for one that has none."""
    fleet = Relays(settings(relays, ask_every), service, seed)
    fleet.run(service.back_at + LONGEST)
    return [max(0, fleet.listed.get(n, service.back_at + LONGEST) - service.back_at) for n in range(relays)]


def compare(seeds: int) -> None:
    """Gaps between two askings when every call fails, and how soon each relay has its list when discovery is back."""
    print(f"seconds between two askings of a relay whose every call fails, {seeds} seeds: median, most")
    print("relays  askEvery   refused after 0.1 s   silent")
    for relays in (5, 30, 200):
        for ask_every in (5.0, 10.0, 20.0, 60.0):
            row = ""
            for silent in (False, True):
                found = [gap for seed in range(seeds) for gap in gaps(relays, ask_every, seed, silent)]
                row += f"   {statistics.median(found) / SECOND:6.2f} {max(found) / SECOND:6.2f}      "
            print(f"{relays:6}  {ask_every:8.0f} {row}")
    print()
    print(f"seconds from discovery's return, 8 s after all began, to a relay's list, {seeds} seeds; askEvery 10 s")
    print("discovery answers all in   relays   median    most   later than 6 s   calls   for nobody")
    for relays in (30, 200):
        for silent in (False, True):
            for all_in in (2.0, 5.0, 8.0, 20.0):
                for times in (1.0, 1.5):
                    print_return(relays, silent, all_in, times, seeds)


def print_return(relays: int, silent: bool, all_in: float, times: float, seeds: int) -> None:
    """A row: ``times`` 2 s is the longest wait for which a call is not turned away."""
    found: list[int] = []
    asked = wasted = 0
    for seed in range(seeds):
        service = Service(round(all_in * SECOND / relays), round(times * PATIENCE), 8 * SECOND, silent)
        found += returned(relays, 10.0, service, seed)
        asked += service.asked
        wasted += service.wasted
    late = sum(one > TOLD_AFTER for one in found)
    how = f"{all_in:3.0f} s, waits to {times * PATIENCE / SECOND:.0f} s{', silent' if silent else ''}"
    print(
        f"{how:26} {relays:6}   {statistics.median(found) / SECOND:6.2f}  {max(found) / SECOND:6.2f}"
        f"   {100 * late / len(found):6.1f} %      {asked / seeds:6.0f}   {wasted / seeds:6.0f}"
    )
