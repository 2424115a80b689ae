"""Explores every order in which claims, losses, duplicates, kills, restarts and suspicions can occur among three
members.

The code under test is `LocalView`, driven as the relay drives it; time is counted in steps of a suspicion. A message
is everything that its sender holds at that moment. It may arrive late, twice or never, so partitions between members
are among the orders.

    python -m tests.fleet.explore            # all orders within the bounds below, and each injected fault
"""

from __future__ import annotations

import dataclasses
import itertools
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from garnetrelay.fleet.members.claims import Claim, Identity, Status
from garnetrelay.fleet.members.effects import Effect
from garnetrelay.fleet.members.local_member import LocalMember
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.settings import Settings
from garnetrelay.fleet.members.table import Suspicion, Table

NAMES = ("a", "b", "c")
# A suspicion lasts two steps, or one if it is confirmed.
SETTINGS = Settings(probe_interval=1, probe_timeout=0, suspicion_multiplier=1.0, max_suspicion_multiplier=2.0)
MAX_CONVERGENCE_ROUNDS = 12


class Bounds(NamedTuple):
    """How many events of each kind one order may contain."""

    starts: int = 2  # processes that one member may start
    kills: int = 1
    suspicions: int = 2
    leaves: int = 1
    lost_folders: int = 1
    messages: int = 1  # in flight at the same time
    duplicates: int = 1


SMALL = Bounds(starts=1, kills=0, suspicions=1, leaves=0, lost_folders=0, messages=1, duplicates=0)


class Site(NamedTuple):
    """A member's folder and process. ``local_view`` is the number of its view among those found so far; -1: no
    process."""

    folder: int
    starts: int
    local_view: int


class State(NamedTuple):
    """One global state. ``in_flight`` has the receiver and the message number of each message."""

    sites: tuple[Site, ...]
    in_flight: tuple[tuple[int, int], ...]
    bounds: Bounds  # the events that remain


Classes = tuple[type[LocalView], type[LocalMember], type[Table]]
CORRECT: Classes = (LocalView, LocalMember, Table)


def _short(claim: Claim) -> tuple[Any, ...]:
    return claim.name, *claim.rank, claim.by


def _key(local_view: LocalView) -> tuple[Any, ...]:
    own = local_view.local
    others = sorted(
        (
            _short(member.claim),
            member.suspicion
            and (member.suspicion.started_at, member.suspicion.view_size, tuple(sorted(member.suspicion.confirmed_by))),
        )
        for member in local_view.table
    )
    return (
        _short(own.claim),
        own.claim.born,
        own.active,
        own.left,
        own.wanted_life,
        own.name_holder and _short(own.name_holder),
        tuple(others),
        frozenset(local_view.suspects),
    )


def clone(local_view: LocalView, classes: Classes, steps: int = 0) -> LocalView:
    """Copies a view; ``steps`` steps have passed (times are relative to now, which is 0)."""
    effects: list[Effect] = []
    copy_ = classes[0](local_view.local.claim, SETTINGS, effects)
    copy_.local = classes[1].__new__(classes[1])
    copy_.local.__dict__.update(local_view.local.__dict__)
    copy_.table = classes[2](SETTINGS.max_members)
    copy_.table.view_hash = local_view.table.view_hash
    copy_.table.members = {name: dataclasses.replace(member) for name, member in local_view.table.members.items()}
    copy_.table.gone = {name: dataclasses.replace(member) for name, member in local_view.table.gone.items()}
    copy_.suspects = dict(local_view.suspects)
    for member in copy_.table:
        if member.suspicion is not None:
            member.suspicion = Suspicion(
                member.suspicion.started_at - steps, member.suspicion.view_size, set(member.suspicion.confirmed_by)
            )
    return copy_


class PropertyViolation(Exception):
    """A property does not hold. ``step`` names the step if it is not the one under way."""

    def __init__(self, text: str, step: str = "") -> None:
        super().__init__(text)
        self.step = step


class Explorer:
    """One run over all orders. ``classes`` may contain an injected fault.

    Equal views are stored once and each of their successors is computed once, so a state consists of a few numbers.
    """

    def __init__(
        self,
        bounds: Bounds,
        classes: Classes = CORRECT,
        store: Callable[[int, int], int] = max,
        next_life: Callable[[int], int] = lambda folder: folder + 1,
    ) -> None:
        self.classes = classes
        self.store = store  # computes the folder's life from its old value and the life to store
        self.next_life = next_life
        self.local_views: list[LocalView] = []
        self._numbers: dict[Any, int] = {}
        self._messages: list[tuple[Claim, ...]] = []  # the claims of each message
        self._message_numbers: dict[Any, int] = {}
        self._successors: dict[Any, int] = {}  # the successor of a view, by the event applied to it
        self._message_by_view: dict[int, int] = {}
        self._compared: set[tuple[int, int]] = set()
        self._converged: set[tuple[int, ...]] = set()
        self.first = State(tuple(self.started(number, Site(0, 0, -1), False) for number in range(len(NAMES))), (), bounds)
        self.states = self.steps = 0

    @property
    def converged(self) -> int:
        """The number of different combinations of views from which the members converged."""
        return len(self._converged)

    def run(self) -> tuple[str, list[str]] | None:
        """Explores breadth first. Returns the first violated property with its shortest trace; None if all hold."""
        predecessors: dict[State, tuple[State, str] | None] = {self.first: None}
        waiting = deque([self.first])
        while waiting:
            state = waiting.popleft()
            self.states += 1
            text = ""
            try:
                self.check_convergence(state)
                for text, after in self.moves(state):
                    self.steps += 1
                    self.compare(state, after)
                    if after not in predecessors:
                        predecessors[after] = (state, text)
                        waiting.append(after)
            except PropertyViolation as violation:
                trace = [violation.step or text] if violation.step or text else []
                back = predecessors[state]
                while back is not None:
                    trace.insert(0, back[1])
                    back = predecessors[back[0]]
                return str(violation), trace
        return None

    # ---- views

    def number(self, local_view: LocalView) -> int:
        """Returns the number of a view; equal views have the same number."""
        key = _key(local_view)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self.local_views)
            self.local_views.append(local_view)
        return number

    def after(self, local_view: int, what: tuple[Any, ...], change: Callable[[LocalView], object], steps: int = 0) -> int:
        """Returns the number of the view after an event."""
        key = local_view, *what
        number = self._successors.get(key)
        if number is None:
            copy_ = clone(self.local_views[local_view], self.classes, steps)
            change(copy_)
            number = self._successors[key] = self.number(copy_)
        return number

    def message_number(self, claims: tuple[Claim, ...]) -> int:
        """Returns the number of a message."""
        key = tuple(_short(claim) for claim in claims)
        number = self._message_numbers.get(key)
        if number is None:
            number = self._message_numbers[key] = len(self._messages)
            self._messages.append(claims)
        return number

    def message_of(self, number: int) -> int:
        """Returns the message that a member sends: its claim about itself, and all that it holds."""
        message = self._message_by_view.get(number)
        if message is None:
            local_view = self.local_views[number]
            message = self._message_by_view[number] = self.message_number(
                (local_view.local.claim, *sorted(local_view.table.claims(), key=_short))
            )
        return message

    def receive(self, local_view: int, message: int) -> int:
        """Delivers a message to a view."""

        def apply_message(copy_: LocalView) -> None:
            for claim in self._messages[message]:
                copy_.apply_claim(0, claim)

        return self.after(local_view, ("receives", message), apply_message)

    def suspects(self, local_view: int, name: str) -> int:
        """Applies a failed probe."""
        identity = self.local_views[local_view].table.members[name].claim.identity
        return self.after(local_view, ("suspects", name), lambda copy_: copy_.suspect(0, name, identity, ""))

    def advance_time(self, local_view: int) -> int:
        """Lets a step pass."""

        def check_deadlines(copy_: LocalView) -> None:
            before = {name: (member.claim, member.suspicion) for name, member in copy_.table.members.items()}
            copy_.expire_suspicions(0, 0)
            for name, (claim, suspicion) in before.items():
                later = copy_.table.get(name)
                if later is None or later.claim.identity != claim.identity or later.claim.status is not Status.FAILED:
                    continue
                if suspicion is None:
                    raise PropertyViolation("a member is declared failed without a suspicion", "a step passes")
                others = {by for by in suspicion.confirmed_by if by in NAMES and by != claim.by}
                if -suspicion.started_at < SETTINGS.suspicion_time(suspicion.view_size, len(others)):
                    raise PropertyViolation("a member is declared failed without its time to refute", "a step passes")

        return self.after(local_view, ("step passes",), check_deadlines, 1)

    def store_life(self, local_view: int) -> int:
        """Confirms that the next life is stored."""
        return self.after(local_view, ("stores life",), lambda copy_: copy_.life_stored(copy_.local.wanted_life))

    # ---- possible events

    def moves(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields every next state. A lost message is one that was never sent, since nothing else remembers it."""
        left, sites, in_flight = state.bounds, state.sites, state.in_flight
        for number, site in enumerate(sites):
            name = NAMES[number]
            if site.local_view < 0:
                if site.starts < left.starts:
                    yield f"{name} starts", self.with_site(state, number, self.started(number, site, False))
                    if left.lost_folders:
                        yield (
                            f"{name} starts without its folder",
                            self.with_site(state, number, self.started(number, site, True))._replace(
                                bounds=left._replace(lost_folders=left.lost_folders - 1)
                            ),
                        )
                continue
            local_view = self.local_views[site.local_view]
            if left.kills:
                yield (
                    f"{name} is killed",
                    self.with_site(state, number, site._replace(local_view=-1))._replace(
                        bounds=left._replace(kills=left.kills - 1)
                    ),
                )
            if local_view.local.wanted_life and not local_view.local.left:
                yield (
                    f"{name} stores life {local_view.local.wanted_life}",
                    self.with_site(
                        state,
                        number,
                        site._replace(
                            folder=self.store(site.folder, local_view.local.wanted_life),
                            local_view=self.store_life(site.local_view),
                        ),
                    ),
                )
            if not local_view.local.active:
                continue
            if len(in_flight) < left.messages:
                message = self.message_of(site.local_view)
                for to in range(len(NAMES)):
                    if to != number:
                        yield (
                            f"{name} sends to {NAMES[to]}",
                            state._replace(in_flight=tuple(sorted((*in_flight, (to, message))))),
                        )
            if left.suspicions:
                for other in local_view.table.members:
                    yield (
                        f"{name} suspects {other}",
                        self.with_site(
                            state, number, site._replace(local_view=self.suspects(site.local_view, other))
                        )._replace(bounds=left._replace(suspicions=left.suspicions - 1)),
                    )
            if left.leaves:
                yield f"{name} leaves", self.leave(state, number, site)
        for index, (to, message) in enumerate(in_flight):
            what = f"{self._messages[message][0].name}'s message to {NAMES[to]}"
            once = self.deliver(state, to, message)
            yield f"arrives: {what}", once._replace(in_flight=(*in_flight[:index], *in_flight[index + 1 :]))
            if left.duplicates:
                yield (
                    f"arrives, and will again: {what}",
                    once._replace(bounds=left._replace(duplicates=left.duplicates - 1)),
                )
        if any(site.local_view >= 0 and self.local_views[site.local_view].suspects for site in sites):
            yield (
                "a step passes",
                state._replace(
                    sites=tuple(
                        site if site.local_view < 0 else site._replace(local_view=self.advance_time(site.local_view))
                        for site in sites
                    )
                ),
            )

    def with_site(self, state: State, number: int, site: Site) -> State:
        """Replaces the site of one member."""
        return state._replace(sites=(*state.sites[:number], site, *state.sites[number + 1 :]))

    def started(self, number: int, site: Site, lost: bool) -> Site:
        """Starts a new process."""
        life = self.next_life(0 if lost else site.folder)
        claim = Claim(NAMES[number], life, 10 * number + site.starts, life, 0, Status.ALIVE, "10.0.0.1", 1, 2)
        local_view = self.classes[0](claim, SETTINGS, [])
        local_view.local, local_view.table = self.classes[1](claim), self.classes[2](SETTINGS.max_members)
        return Site(life, site.starts + 1, self.number(local_view))

    def leave(self, state: State, number: int, site: Site) -> State:
        """Ends the process after it has announced this to one other member."""
        claim = clone(self.local_views[site.local_view], self.classes).local.leave()
        in_flight = state.in_flight
        if len(in_flight) < state.bounds.messages:
            in_flight = tuple(sorted((*in_flight, ((number + 1) % len(NAMES), self.message_number((claim,))))))
        return self.with_site(state, number, site._replace(local_view=-1))._replace(
            in_flight=in_flight, bounds=state.bounds._replace(leaves=state.bounds.leaves - 1)
        )

    def deliver(self, state: State, to: int, message: int) -> State:
        """Delivers a message to the process that runs now, if any."""
        site = state.sites[to]
        if site.local_view < 0:
            return state
        return self.with_site(state, to, site._replace(local_view=self.receive(site.local_view, message)))

    # ---- properties

    def compare(self, before: State, after: State) -> None:
        """Checks the properties of a step."""
        for old, new in zip(before.sites, after.sites, strict=True):
            if new.local_view < 0 or new == old:
                continue
            own = self.local_views[new.local_view].local
            if own.claim.life > new.folder:
                raise PropertyViolation("a life is used before it is stored")
            if old.local_view < 0:
                if new.folder <= old.folder and before.bounds.lost_folders == after.bounds.lost_folders:
                    raise PropertyViolation("a life is used twice")
                continue
            pair = old.local_view, new.local_view
            if pair not in self._compared:
                self.compare_site(self.local_views[old.local_view], self.local_views[new.local_view])
                self._compared.add(pair)

    def compare_site(self, old: LocalView, new: LocalView) -> None:
        """Checks the properties of a view and its successor."""
        if new.local.claim.identity < old.local.claim.identity:
            raise PropertyViolation("a relay goes back to an earlier life")
        if new.local.claim.identity == old.local.claim.identity:
            if new.local.claim.incarnation < old.local.claim.incarnation:
                raise PropertyViolation("an incarnation goes back")
            if old.local.wanted_life and new.local.active:
                raise PropertyViolation("a relay is active in a life that it knows has ended")
            if old.local.name_holder is not None and new.local.active:
                raise PropertyViolation("a relay is active although another process has its name")
        for member in old.table:
            claim = member.claim
            later = new.table.get(claim.name)
            if later is None:
                raise PropertyViolation("a member is forgotten")
            if claim.final and later.claim.identity == claim.identity and not later.claim.final:
                raise PropertyViolation("a life that failed or left comes back")
            if later.claim.identity < claim.identity:
                raise PropertyViolation("an earlier life replaces a later one")
        if any(
            other.claim.status is Status.SUSPECT and (other.suspicion is None or name not in new.suspects)
            for name, other in new.table.members.items()
        ):
            raise PropertyViolation("a suspicion has no deadline")

    def unchallenged(self, live: list[int]) -> dict[str, Identity]:
        """Returns the lives about which no member holds a claim that ends them."""
        views = [self.local_views[number] for number in live]
        return {
            one.name: one.local.claim.identity
            for one in views
            if one.local.active
            and not any(
                (member := other.table.get(one.name)) is not None
                and (
                    member.claim.identity > one.local.claim.identity
                    or member.claim.identity == one.local.claim.identity
                    and member.claim.final
                )
                for other in views
            )
        }

    def check_convergence(self, state: State) -> None:
        """From this state on all links work and nothing else happens: each member stores its life, sends all its
        claims, and probes."""
        live = [site.local_view for site in state.sites if site.local_view >= 0]
        passed: list[tuple[int, ...]] = []
        for _ in range(MAX_CONVERGENCE_ROUNDS):
            if tuple(live) in self._converged:
                break
            passed.append(tuple(live))
            alive_before = self.unchallenged(live)
            self.run_round(live)
            if not alive_before.items() <= self.unchallenged(live).items():
                raise PropertyViolation("all links work, and a relay that answers is declared failed", "all links work")
            if tuple(live) == passed[-1]:
                self.check_one_view(live)
                break
        else:
            self.check_one_view(live)
        self._converged.update(passed)

    def run_round(self, live: list[int]) -> None:
        """Each member stores its life, sends everything twice, and probes; a step passes."""
        live[:] = [self.store_life(number) if self.local_views[number].local.wanted_life else number for number in live]
        for index, other in 2 * list(itertools.permutations(range(len(live)), 2)):
            sender, receiver = self.local_views[live[index]], self.local_views[live[other]]
            if sender.local.active:
                live[other] = self.receive(live[other], self.message_of(live[index]))
            elif receiver.local.active and (known := receiver.table.get(sender.name)) is not None:
                # It sends a contact request and receives the claim about itself.
                live[index] = self.receive(live[index], self.message_number((known.claim,)))
        running = {self.local_views[number].name: self.local_views[number].local for number in live}
        for index, number in enumerate(live):
            for name, member in list(self.local_views[number].table.members.items()):
                there = running.get(name)
                if there is None or not there.active or there.claim.identity != member.claim.identity:
                    number = self.suspects(number, name)
            live[index] = self.advance_time(number)

    def check_one_view(self, live: list[int]) -> None:
        """Checks that the live members hold exactly each other."""
        views = [self.local_views[number] for number in live]
        for local_view in views:
            if not local_view.local.active:
                raise PropertyViolation("all links work, and a relay never becomes active", "all links work")
            inside = {
                (name, member.claim.identity, member.claim.status) for name, member in local_view.table.members.items()
            }
            if inside != {
                (other.name, other.local.claim.identity, Status.ALIVE) for other in views if other is not local_view
            }:
                raise PropertyViolation("all links work, and views do not converge", "all links work")


# ---- injected faults, each of which has to be found


class ForgetsFinal(Table):
    """Forgets that a life has ended."""

    def merge(self, claim: Claim, now: int) -> Any:
        member = self.gone.get(claim.name)
        if member is not None and claim.identity == member.claim.identity and not claim.final:
            self._remove(member)
        return super().merge(claim, now)


class AcceptsEarlierLife(Table):
    """Accepts an earlier life as new."""

    def merge(self, claim: Claim, now: int) -> Any:
        member = self.get(claim.name)
        if member is not None and claim.life < member.claim.life and not claim.final:
            self._remove(member)
        return super().merge(claim, now)


class IgnoresProcess(Table):
    """Does not distinguish two processes of one life."""

    def merge(self, claim: Claim, now: int) -> Any:
        member = self.get(claim.name)
        if member is not None and claim.life == member.claim.life and claim.process != member.claim.process:
            return super().merge(claim.with_status(claim.status, claim.by), now) if claim.final else self._nothing()
        return super().merge(claim, now)

    def _nothing(self) -> Any:
        from garnetrelay.fleet.members.table import Change

        return Change.NOTHING


class CountsRepeats(Table):
    """Counts a repeated suspicion as one by another member."""

    def merge(self, claim: Claim, now: int) -> Any:
        change = super().merge(claim, now)
        member = self.members.get(claim.name)
        if member is not None and member.suspicion is not None and member.claim.rank == claim.rank:
            member.suspicion.confirmed_by.add(f"{claim.by} again")
        return change


class NeverRefutes(LocalMember):
    """Does not refute a suspicion."""

    def apply_claim(self, claim: Claim) -> Any:
        if claim.identity == self.claim.identity and claim.status is Status.SUSPECT:
            return super().apply_claim(claim.with_status(Status.ALIVE, ""))
        return super().apply_claim(claim)


class ActsInEndedLife(LocalMember):
    """Stays active in a life that has ended until the next one is stored."""

    def apply_claim(self, claim: Claim) -> Any:
        result = super().apply_claim(claim)
        self.active = self.active or bool(self.wanted_life)
        return result


class UsesLifeBeforeStored(LocalMember):
    """Uses the next life before it is stored."""

    def apply_claim(self, claim: Claim) -> Any:
        result = super().apply_claim(claim)
        if self.wanted_life:
            self.life_stored(self.wanted_life)
        return result


class IgnoresFinalClaims(LocalMember):
    """Ignores final claims about itself."""

    def apply_claim(self, claim: Claim) -> Any:
        return super().apply_claim(claim) if not claim.final else super().apply_claim(claim.with_status(Status.ALIVE, ""))


class KeepsTakenName(LocalMember):
    """Stays active although another process uses its name."""

    def apply_claim(self, claim: Claim) -> Any:
        result = super().apply_claim(claim)
        if self.name_holder is not None:
            self.active = True
        return result


class ResetsIncarnation(LocalMember):
    """Resets its incarnation when it is suspected."""

    def apply_claim(self, claim: Claim) -> Any:
        result = super().apply_claim(claim)
        if self.claim.incarnation > 1:
            self.claim = self.claim.with_status(Status.ALIVE, "", 0)
        return result


class DeclaresEarly(LocalView):
    """Declares members failed before their suspicion expires."""

    def expire_suspicions(self, now: int, answered_at: int | None) -> None:
        super().expire_suspicions(now + 1, answered_at)


class ShortensSuspicions(LocalView):
    """Computes a suspicion's time from the current number of members."""

    def suspicion_deadline(self, member: Any) -> int:
        suspicion = member.suspicion
        return int(suspicion.started_at + self.settings.suspicion_time(self.count, len(suspicion.confirmed_by)))


class NeverDeclares(LocalView):
    """Never declares a member failed."""

    def expire_suspicions(self, now: int, answered_at: int | None) -> None:
        pass


class LosesSuspicionDeadline(LocalView):
    """A claim that arrives twice restarts the suspicion without a deadline."""

    def apply_claim(self, now: int, claim: Claim, source: Any = None) -> Any:
        result = super().apply_claim(now, claim, source)
        if claim.status is Status.SUSPECT and claim.by != self.name:
            self.suspects.pop(claim.name, None)
        return result


class Fault(NamedTuple):
    """An injected fault, the bounds within which it shows, and the property that it violates."""

    bounds: Bounds
    violates: str
    options: dict[str, Any]


def _bounds(**more: int) -> Bounds:
    """Bounds with one life per member and one message in flight, plus the given ones."""
    return Bounds(**{**dict.fromkeys(Bounds._fields, 0), "starts": 1, "messages": 1, **more})


FAULTS: dict[str, Fault] = {
    "a final claim that is not final": Fault(
        _bounds(suspicions=1),
        "a life that failed or left comes back",
        {"classes": (LocalView, LocalMember, ForgetsFinal)},
    ),
    "an earlier life accepted as new": Fault(
        _bounds(starts=2, kills=1),
        "an earlier life replaces a later one",
        {"classes": (LocalView, LocalMember, AcceptsEarlierLife)},
    ),
    "two processes of one life not distinguished": Fault(
        _bounds(starts=2, kills=1, lost_folders=1),
        "all links work, and views do not converge",
        {"classes": (LocalView, LocalMember, IgnoresProcess)},
    ),
    "one suspecting member counted twice": Fault(
        _bounds(suspicions=1),
        "a member is declared failed without its time to refute",
        {"classes": (LocalView, LocalMember, CountsRepeats)},
    ),
    "a suspected relay that does not refute": Fault(
        _bounds(suspicions=1),
        "all links work, and a relay that answers is declared failed",
        {"classes": (LocalView, NeverRefutes, Table)},
    ),
    "a relay that stays active after its life has ended": Fault(
        _bounds(suspicions=1),
        "a relay is active in a life that it knows has ended",
        {"classes": (LocalView, ActsInEndedLife, Table)},
    ),
    "a life used before it is stored": Fault(
        _bounds(suspicions=1),
        "a life is used before it is stored",
        {"classes": (LocalView, UsesLifeBeforeStored, Table)},
    ),
    "a relay that ignores final claims about itself": Fault(
        _bounds(suspicions=1),
        "all links work, and views do not converge",
        {"classes": (LocalView, IgnoresFinalClaims, Table)},
    ),
    "a relay that keeps a name in use elsewhere": Fault(
        _bounds(starts=3, kills=2, lost_folders=1),
        "a relay is active although another process has its name",
        {"classes": (LocalView, KeepsTakenName, Table)},
    ),
    "an incarnation that is reset": Fault(
        _bounds(suspicions=2),
        "all links work, and a relay that answers is declared failed",
        {"classes": (LocalView, ResetsIncarnation, Table)},
    ),
    "a failure declared before its time": Fault(
        _bounds(suspicions=1),
        "a member is declared failed without its time to refute",
        {"classes": (DeclaresEarly, LocalMember, Table)},
    ),
    "a suspicion that a shrinking view cuts short": Fault(
        _bounds(suspicions=2),
        "a member is declared failed without its time to refute",
        {"classes": (ShortensSuspicions, LocalMember, Table)},
    ),
    "no failure declared at all": Fault(
        _bounds(kills=1), "all links work, and views do not converge", {"classes": (NeverDeclares, LocalMember, Table)}
    ),
    "a suspicion that loses its deadline": Fault(
        _bounds(suspicions=1), "a suspicion has no deadline", {"classes": (LosesSuspicionDeadline, LocalMember, Table)}
    ),
    "a folder that does not count up": Fault(
        _bounds(starts=2, kills=1), "a life is used twice", {"next_life": lambda folder: max(1, folder)}
    ),
    "a folder that stores no later life": Fault(
        _bounds(suspicions=1), "a life is used before it is stored", {"store": lambda was, now: was}
    ),
}


def main() -> int:
    """Without arguments explores the bounds of CI and each injected fault; with arguments only the given bounds."""
    bounds = Bounds(*(int(word) for word in sys.argv[1:])) if sys.argv[1:] else SMALL
    began = time.monotonic()
    explorer = Explorer(bounds)
    violation = explorer.run()
    print(
        f"{bounds}\n{explorer.states} states, {explorer.steps} steps, {len(explorer.local_views)} views, convergence "
        f"from {explorer.converged}, {time.monotonic() - began:.0f} s: {violation or 'all properties hold'}",
        flush=True,
    )
    for name, fault in () if sys.argv[1:] else FAULTS.items():
        began = time.monotonic()
        explorer = Explorer(fault.bounds, **fault.options)
        found = explorer.run()
        print(
            f"{name} ({explorer.states} states, {time.monotonic() - began:.1f} s): "
            + ("NOT FOUND" if found is None else f"{found[0]} ({len(found[1])} steps: {'; '.join(found[1])})"),
            flush=True,
        )
    return 0 if violation is None else 1


if __name__ == "__main__":
    sys.exit(main())
