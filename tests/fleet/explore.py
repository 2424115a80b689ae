"""Every order in which words, losses, doubles, kills, restarts and suspicions can meet at three members, to the end.

What runs is `Holding`, as the relay drives it; time is counted in steps of a suspicion. A message is all that its sender
holds at that moment; it may arrive late, twice or never, so a cut between members is among the orders.

    python -m tests.fleet.explore            # all orders within the bounds below, and each planted fault
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
HEAL_ROUNDS = 12


class Bounds(NamedTuple):
    """How much may happen in one order."""

    starts: int = 2  # lives that a process of a member may begin
    kills: int = 1
    suspicions: int = 2
    leaves: int = 1
    lost_folders: int = 1
    messages: int = 1  # on their way at once
    doubles: int = 1


SMALL = Bounds(starts=1, kills=0, suspicions=1, leaves=0, lost_folders=0, messages=1, doubles=0)


class Site(NamedTuple):
    """A member's folder and process. ``holding``: its number among those that were met; -1: no process."""

    folder: int
    starts: int
    local_view: int


class World(NamedTuple):
    """One state. ``flying``: to whom, and the number of what is said."""

    sites: tuple[Site, ...]
    flying: tuple[tuple[int, int], ...]
    bounds: Bounds  # what is left of them


Kinds = tuple[type[LocalView], type[LocalMember], type[Table]]
PLAIN: Kinds = (LocalView, LocalMember, Table)


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


def clone(local_view: LocalView, kinds: Kinds, older: int = 0) -> LocalView:
    """A copy; ``older``: so many steps have passed (times are kept relative to now, which is 0)."""
    effects: list[Effect] = []
    made = kinds[0](local_view.local.claim, SETTINGS, effects)
    made.local = kinds[1].__new__(kinds[1])
    made.local.__dict__.update(local_view.local.__dict__)
    made.table = kinds[2](SETTINGS.max_members)
    made.table.view_hash = local_view.table.view_hash
    made.table.members = {name: dataclasses.replace(member) for name, member in local_view.table.members.items()}
    made.table.gone = {name: dataclasses.replace(member) for name, member in local_view.table.gone.items()}
    made.suspects = dict(local_view.suspects)
    for member in made.table:
        if member.suspicion is not None:
            member.suspicion = Suspicion(
                member.suspicion.started_at - older, member.suspicion.view_size, set(member.suspicion.confirmed_by)
            )
    return made


class Broken(Exception):
    """A property does not hold. ``step``: in which step, where that is not the one under way."""

    def __init__(self, text: str, step: str = "") -> None:
        super().__init__(text)
        self.step = step


class Explorer:
    """One run over all orders. ``kinds`` may carry a planted fault.

    Holdings that are alike are one, and what becomes of one is worked out once: a state is a few numbers.
    """

    def __init__(
        self,
        bounds: Bounds,
        kinds: Kinds = PLAIN,
        keep: Callable[[int, int], int] = max,
        first_life: Callable[[int], int] = lambda folder: folder + 1,
    ) -> None:
        self.kinds = kinds
        self.keep = keep  # the folder's life from what it was and what is to be kept
        self.first_life = first_life
        self.met: list[LocalView] = []
        self._numbers: dict[Any, int] = {}
        self._texts: list[tuple[Claim, ...]] = []  # what is said
        self._text_numbers: dict[Any, int] = {}
        self._made: dict[Any, int] = {}  # what becomes of a holding, by what happens to it
        self._words: dict[int, int] = {}
        self._compared: set[tuple[int, int]] = set()
        self._healed: set[tuple[int, ...]] = set()
        self.first = World(tuple(self.begun(number, Site(0, 0, -1), False) for number in range(len(NAMES))), (), bounds)
        self.states = self.steps = 0

    @property
    def healed(self) -> int:
        """Different threes of holdings from which views were seen to meet."""
        return len(self._healed)

    def run(self) -> tuple[str, list[str]] | None:
        """Breadth first: the first property that breaks, with its shortest trace; None where all hold."""
        came: dict[World, tuple[World, str] | None] = {self.first: None}
        waiting = deque([self.first])
        while waiting:
            world = waiting.popleft()
            self.states += 1
            text = ""
            try:
                self.heal(world)
                for text, after in self.moves(world):
                    self.steps += 1
                    self.compare(world, after)
                    if after not in came:
                        came[after] = (world, text)
                        waiting.append(after)
            except Broken as broken:
                trace = [broken.step or text] if broken.step or text else []
                back = came[world]
                while back is not None:
                    trace.insert(0, back[1])
                    back = came[back[0]]
                return str(broken), trace
        return None

    # ---- holdings

    def number(self, local_view: LocalView) -> int:
        """Its number: the same for all that are alike."""
        key = _key(local_view)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self.met)
            self.met.append(local_view)
        return number

    def after(self, local_view: int, what: tuple[Any, ...], change: Callable[[LocalView], object], older: int = 0) -> int:
        """What becomes of a holding."""
        key = local_view, *what
        number = self._made.get(key)
        if number is None:
            made = clone(self.met[local_view], self.kinds, older)
            change(made)
            number = self._made[key] = self.number(made)
        return number

    def text(self, claims: tuple[Claim, ...]) -> int:
        """The number of what is said."""
        key = tuple(_short(claim) for claim in claims)
        number = self._text_numbers.get(key)
        if number is None:
            number = self._text_numbers[key] = len(self._texts)
            self._texts.append(claims)
        return number

    def words(self, number: int) -> int:
        """What a frame of it tells: its own word, and all that it holds."""
        text = self._words.get(number)
        if text is None:
            local_view = self.met[number]
            text = self._words[number] = self.text(
                (local_view.local.claim, *sorted(local_view.table.claims(), key=_short))
            )
        return text

    def hears(self, local_view: int, text: int) -> int:
        """A frame came."""

        def hear(made: LocalView) -> None:
            for claim in self._texts[text]:
                made.apply_claim(0, claim)

        return self.after(local_view, ("hears", text), hear)

    def suspects(self, local_view: int, name: str) -> int:
        """A probe came to nothing."""
        identity = self.met[local_view].table.members[name].claim.identity
        return self.after(local_view, ("suspects", name), lambda made: made.suspect(0, name, identity, ""))

    def older(self, local_view: int) -> int:
        """A step has passed."""

        def judge(made: LocalView) -> None:
            before = {name: (member.claim, member.suspicion) for name, member in made.table.members.items()}
            made.expire_suspicions(0, 0)
            for name, (claim, suspicion) in before.items():
                later = made.table.get(name)
                if later is None or later.claim.identity != claim.identity or later.claim.status is not Status.FAILED:
                    continue
                if suspicion is None:
                    raise Broken("a member is failed without a suspicion", "a step passes")
                others = {by for by in suspicion.confirmed_by if by in NAMES and by != claim.by}
                if -suspicion.started_at < SETTINGS.suspicion_time(suspicion.view_size, len(others)):
                    raise Broken("a member is failed without its time to speak up", "a step passes")

        return self.after(local_view, ("older",), judge, 1)

    def keeps(self, local_view: int) -> int:
        """The next life is in the folder."""
        return self.after(local_view, ("keeps",), lambda made: made.life_stored(made.local.wanted_life))

    # ---- what may happen

    def moves(self, world: World) -> Iterator[tuple[str, World]]:
        """Every next state. A frame that is lost is one that was never sent: nothing else remembers it."""
        left, sites, flying = world.bounds, world.sites, world.flying
        for number, site in enumerate(sites):
            name = NAMES[number]
            if site.local_view < 0:
                if site.starts < left.starts:
                    yield f"{name} starts", self.with_site(world, number, self.begun(number, site, False))
                    if left.lost_folders:
                        yield (
                            f"{name} starts without its folder",
                            self.with_site(world, number, self.begun(number, site, True))._replace(
                                bounds=left._replace(lost_folders=left.lost_folders - 1)
                            ),
                        )
                continue
            local_view = self.met[site.local_view]
            if left.kills:
                yield (
                    f"{name} is killed",
                    self.with_site(world, number, site._replace(local_view=-1))._replace(
                        bounds=left._replace(kills=left.kills - 1)
                    ),
                )
            if local_view.local.wanted_life and not local_view.local.left:
                yield (
                    f"{name} keeps life {local_view.local.wanted_life}",
                    self.with_site(
                        world,
                        number,
                        site._replace(
                            folder=self.keep(site.folder, local_view.local.wanted_life),
                            local_view=self.keeps(site.local_view),
                        ),
                    ),
                )
            if not local_view.local.active:
                continue
            if len(flying) < left.messages:
                said = self.words(site.local_view)
                for to in range(len(NAMES)):
                    if to != number:
                        yield f"{name} tells {NAMES[to]}", world._replace(flying=tuple(sorted((*flying, (to, said)))))
            if left.suspicions:
                for other in local_view.table.members:
                    yield (
                        f"{name} suspects {other}",
                        self.with_site(
                            world, number, site._replace(local_view=self.suspects(site.local_view, other))
                        )._replace(bounds=left._replace(suspicions=left.suspicions - 1)),
                    )
            if left.leaves:
                yield f"{name} leaves", self.leaves(world, number, site)
        for place, (to, text) in enumerate(flying):
            what = f"{self._texts[text][0].name}'s word to {NAMES[to]}"
            once = self.arrives(world, to, text)
            yield f"arrives: {what}", once._replace(flying=(*flying[:place], *flying[place + 1 :]))
            if left.doubles:
                yield f"arrives, and will again: {what}", once._replace(bounds=left._replace(doubles=left.doubles - 1))
        if any(site.local_view >= 0 and self.met[site.local_view].suspects for site in sites):
            yield (
                "a step passes",
                world._replace(
                    sites=tuple(
                        site if site.local_view < 0 else site._replace(local_view=self.older(site.local_view))
                        for site in sites
                    )
                ),
            )

    def with_site(self, world: World, number: int, site: Site) -> World:
        """Another site in a place."""
        return world._replace(sites=(*world.sites[:number], site, *world.sites[number + 1 :]))

    def begun(self, number: int, site: Site, lost: bool) -> Site:
        """A new process."""
        life = self.first_life(0 if lost else site.folder)
        claim = Claim(NAMES[number], life, 10 * number + site.starts, life, 0, Status.ALIVE, "10.0.0.1", 1, 2)
        local_view = self.kinds[0](claim, SETTINGS, [])
        local_view.local, local_view.table = self.kinds[1](claim), self.kinds[2](SETTINGS.max_members)
        return Site(life, site.starts + 1, self.number(local_view))

    def leaves(self, world: World, number: int, site: Site) -> World:
        """It says so to one other; then its process ends."""
        claim = clone(self.met[site.local_view], self.kinds).local.leave()
        flying = world.flying
        if len(flying) < world.bounds.messages:
            flying = tuple(sorted((*flying, ((number + 1) % len(NAMES), self.text((claim,))))))
        return self.with_site(world, number, site._replace(local_view=-1))._replace(
            flying=flying, bounds=world.bounds._replace(leaves=world.bounds.leaves - 1)
        )

    def arrives(self, world: World, to: int, text: int) -> World:
        """A frame reaches whoever is there now."""
        site = world.sites[to]
        if site.local_view < 0:
            return world
        return self.with_site(world, to, site._replace(local_view=self.hears(site.local_view, text)))

    # ---- what has to hold

    def compare(self, before: World, after: World) -> None:
        """Properties of a step."""
        for old, new in zip(before.sites, after.sites, strict=True):
            if new.local_view < 0 or new == old:
                continue
            own = self.met[new.local_view].local
            if own.claim.life > new.folder:
                raise Broken("a life is used before it is in the folder")
            if old.local_view < 0:
                if new.folder <= old.folder and before.bounds.lost_folders == after.bounds.lost_folders:
                    raise Broken("a life is used twice")
                continue
            pair = old.local_view, new.local_view
            if pair not in self._compared:
                self.compare_site(self.met[old.local_view], self.met[new.local_view])
                self._compared.add(pair)

    def compare_site(self, old: LocalView, new: LocalView) -> None:
        """Properties of what becomes of a holding."""
        if new.local.claim.identity < old.local.claim.identity:
            raise Broken("a relay goes back to an earlier life")
        if new.local.claim.identity == old.local.claim.identity:
            if new.local.claim.incarnation < old.local.claim.incarnation:
                raise Broken("an incarnation goes back")
            if old.local.wanted_life and new.local.active:
                raise Broken("a relay speaks on in a life that it knows has ended")
            if old.local.name_holder is not None and new.local.active:
                raise Broken("a relay speaks beside the process for which it stood aside")
        for member in old.table:
            claim = member.claim
            later = new.table.get(claim.name)
            if later is None:
                raise Broken("a member is forgotten")
            if claim.final and later.claim.identity == claim.identity and not later.claim.final:
                raise Broken("a life that failed or left comes back")
            if later.claim.identity < claim.identity:
                raise Broken("an earlier life takes the place of a later one")
        if any(
            other.claim.status is Status.SUSPECT and (other.suspicion is None or name not in new.suspects)
            for name, other in new.table.members.items()
        ):
            raise Broken("a suspicion has no end")

    def in_peace(self, live: list[int]) -> dict[str, Identity]:
        """The lives of which nobody knows anything that ends them."""
        held = [self.met[number] for number in live]
        return {
            one.name: one.local.claim.identity
            for one in held
            if one.local.active
            and not any(
                (member := other.table.get(one.name)) is not None
                and (
                    member.claim.identity > one.local.claim.identity
                    or member.claim.identity == one.local.claim.identity
                    and member.claim.final
                )
                for other in held
            )
        }

    def heal(self, world: World) -> None:
        """Links whole from here on, and nothing else happens: each keeps its life, tells all, and probes."""
        live = [site.local_view for site in world.sites if site.local_view >= 0]
        passed: list[tuple[int, ...]] = []
        for _ in range(HEAL_ROUNDS):
            if tuple(live) in self._healed:
                break
            passed.append(tuple(live))
            peaceful = self.in_peace(live)
            self.one_round(live)
            if not peaceful.items() <= self.in_peace(live).items():
                raise Broken("links are whole, and a relay that answers is failed", "links are whole")
            if tuple(live) == passed[-1]:
                self.see_one_view(live)
                break
        else:
            self.see_one_view(live)
        self._healed.update(passed)

    def one_round(self, live: list[int]) -> None:
        """Each keeps its life, tells all twice, and probes; a step passes."""
        live[:] = [self.keeps(number) if self.met[number].local.wanted_life else number for number in live]
        for place, other in 2 * list(itertools.permutations(range(len(live)), 2)):
            speaker, hearer = self.met[live[place]], self.met[live[other]]
            if speaker.local.active:
                live[other] = self.hears(live[other], self.words(live[place]))
            elif hearer.local.active and (held := hearer.table.get(speaker.name)) is not None:
                live[place] = self.hears(live[place], self.text((held.claim,)))  # it knocks, and is told
        running = {self.met[number].name: self.met[number].local for number in live}
        for place, number in enumerate(live):
            for name, member in list(self.met[number].table.members.items()):
                there = running.get(name)
                if there is None or not there.active or there.claim.identity != member.claim.identity:
                    number = self.suspects(number, name)
            live[place] = self.older(number)

    def see_one_view(self, live: list[int]) -> None:
        """All that live hold just each other."""
        held = [self.met[number] for number in live]
        for local_view in held:
            if not local_view.local.active:
                raise Broken("links are whole, and a relay never gets its name", "links are whole")
            inside = {
                (name, member.claim.identity, member.claim.status) for name, member in local_view.table.members.items()
            }
            if inside != {
                (other.name, other.local.claim.identity, Status.ALIVE) for other in held if other is not local_view
            }:
                raise Broken("links are whole, and views do not meet again", "links are whole")


# ---- faults, each to be found


class NoFinal(Table):
    """Forgets that a life is over."""

    def merge(self, claim: Claim, now: int) -> Any:
        member = self.gone.get(claim.name)
        if member is not None and claim.identity == member.claim.identity and not claim.final:
            self._remove(member)
        return super().merge(claim, now)


class AnyLife(Table):
    """Takes an earlier life for news."""

    def merge(self, claim: Claim, now: int) -> Any:
        member = self.get(claim.name)
        if member is not None and claim.life < member.claim.life and not claim.final:
            self._remove(member)
        return super().merge(claim, now)


class NoProcess(Table):
    """Does not tell two processes of one life apart."""

    def merge(self, claim: Claim, now: int) -> Any:
        member = self.get(claim.name)
        if member is not None and claim.life == member.claim.life and claim.process != member.claim.process:
            return super().merge(claim.with_status(claim.status, claim.by), now) if claim.final else self._nothing()
        return super().merge(claim, now)

    def _nothing(self) -> Any:
        from garnetrelay.fleet.members.table import Change

        return Change.NOTHING


class OneVoice(Table):
    """Counts whoever repeats a suspicion as one more who suspects."""

    def merge(self, claim: Claim, now: int) -> Any:
        change = super().merge(claim, now)
        member = self.members.get(claim.name)
        if member is not None and member.suspicion is not None and member.claim.rank == claim.rank:
            member.suspicion.confirmed_by.add(f"{claim.by} again")
        return change


class Mute(LocalMember):
    """Hears that it is suspected, and does not speak up."""

    def apply_claim(self, claim: Claim) -> Any:
        if claim.identity == self.claim.identity and claim.status is Status.SUSPECT:
            return super().apply_claim(claim.with_status(Status.ALIVE, ""))
        return super().apply_claim(claim)


class SpeaksOn(LocalMember):
    """Goes on in a life that has ended until the next is kept."""

    def apply_claim(self, claim: Claim) -> Any:
        answer = super().apply_claim(claim)
        self.active = self.active or bool(self.wanted_life)
        return answer


class Hasty(LocalMember):
    """Uses the next life before it is kept."""

    def apply_claim(self, claim: Claim) -> Any:
        answer = super().apply_claim(claim)
        if self.wanted_life:
            self.life_stored(self.wanted_life)
        return answer


class Stubborn(LocalMember):
    """Takes no word on itself for true."""

    def apply_claim(self, claim: Claim) -> Any:
        return super().apply_claim(claim) if not claim.final else super().apply_claim(claim.with_status(Status.ALIVE, ""))


class Pushy(LocalMember):
    """Does not stand aside for another process of its name."""

    def apply_claim(self, claim: Claim) -> Any:
        answer = super().apply_claim(claim)
        if self.name_holder is not None:
            self.active = True
        return answer


class Back(LocalMember):
    """Begins with its incarnation anew when it is suspected."""

    def apply_claim(self, claim: Claim) -> Any:
        answer = super().apply_claim(claim)
        if self.claim.incarnation > 1:
            self.claim = self.claim.with_status(Status.ALIVE, "", 0)
        return answer


class Rash(LocalView):
    """Judges at once."""

    def expire_suspicions(self, now: int, answered_at: int | None) -> None:
        super().expire_suspicions(now + 1, answered_at)


class Shrinking(LocalView):
    """Reckons a suspicion's time by the members of the moment."""

    def suspicion_deadline(self, member: Any) -> int:
        suspicion = member.suspicion
        return int(suspicion.started_at + self.settings.suspicion_time(self.count, len(suspicion.confirmed_by)))


class Silent(LocalView):
    """Never judges."""

    def expire_suspicions(self, now: int, answered_at: int | None) -> None:
        pass


class Anew(LocalView):
    """A word that comes twice begins the suspicion anew, without an end."""

    def apply_claim(self, now: int, claim: Claim, source: Any = None) -> Any:
        answer = super().apply_claim(now, claim, source)
        if claim.status is Status.SUSPECT and claim.by != self.name:
            self.suspects.pop(claim.name, None)
        return answer


class Fault(NamedTuple):
    """A planted fault, bounds within which it shows, and the property that it breaks."""

    bounds: Bounds
    breaks: str
    how: dict[str, Any]


def _bounds(**more: int) -> Bounds:
    """One life each and one frame under way, and what is given besides."""
    return Bounds(**{**dict.fromkeys(Bounds._fields, 0), "starts": 1, "messages": 1, **more})


FAULTS: dict[str, Fault] = {
    "a final word that is not final": Fault(
        _bounds(suspicions=1), "a life that failed or left comes back", {"kinds": (LocalView, LocalMember, NoFinal)}
    ),
    "an earlier life taken for news": Fault(
        _bounds(starts=2, kills=1),
        "an earlier life takes the place of a later one",
        {"kinds": (LocalView, LocalMember, AnyLife)},
    ),
    "two processes of one life not told apart": Fault(
        _bounds(starts=2, kills=1, lost_folders=1),
        "links are whole, and views do not meet again",
        {"kinds": (LocalView, LocalMember, NoProcess)},
    ),
    "one voice counted twice": Fault(
        _bounds(suspicions=1),
        "a member is failed without its time to speak up",
        {"kinds": (LocalView, LocalMember, OneVoice)},
    ),
    "a suspected relay that does not speak up": Fault(
        _bounds(suspicions=1), "links are whole, and a relay that answers is failed", {"kinds": (LocalView, Mute, Table)}
    ),
    "a relay that speaks on after its life has ended": Fault(
        _bounds(suspicions=1),
        "a relay speaks on in a life that it knows has ended",
        {"kinds": (LocalView, SpeaksOn, Table)},
    ),
    "a life used before it is kept": Fault(
        _bounds(suspicions=1), "a life is used before it is in the folder", {"kinds": (LocalView, Hasty, Table)}
    ),
    "a relay that takes no final word on itself": Fault(
        _bounds(suspicions=1), "links are whole, and views do not meet again", {"kinds": (LocalView, Stubborn, Table)}
    ),
    "a relay that does not stand aside": Fault(
        _bounds(starts=3, kills=2, lost_folders=1),
        "a relay speaks beside the process for which it stood aside",
        {"kinds": (LocalView, Pushy, Table)},
    ),
    "an incarnation that begins anew": Fault(
        _bounds(suspicions=2), "links are whole, and a relay that answers is failed", {"kinds": (LocalView, Back, Table)}
    ),
    "a judgement before its time": Fault(
        _bounds(suspicions=1), "a member is failed without its time to speak up", {"kinds": (Rash, LocalMember, Table)}
    ),
    "a time that a shrinking view cuts short": Fault(
        _bounds(suspicions=2),
        "a member is failed without its time to speak up",
        {"kinds": (Shrinking, LocalMember, Table)},
    ),
    "no judgement at all": Fault(
        _bounds(kills=1), "links are whole, and views do not meet again", {"kinds": (Silent, LocalMember, Table)}
    ),
    "a suspicion that loses its end": Fault(
        _bounds(suspicions=1), "a suspicion has no end", {"kinds": (Anew, LocalMember, Table)}
    ),
    "a folder that does not count up": Fault(
        _bounds(starts=2, kills=1), "a life is used twice", {"first_life": lambda folder: max(1, folder)}
    ),
    "a folder that keeps no later life": Fault(
        _bounds(suspicions=1), "a life is used before it is in the folder", {"keep": lambda was, now: was}
    ),
}


def main() -> int:
    """Without arguments each planted fault, and the bounds that CI has; with them those bounds alone."""
    bounds = Bounds(*(int(word) for word in sys.argv[1:])) if sys.argv[1:] else SMALL
    began = time.monotonic()
    explorer = Explorer(bounds)
    broken = explorer.run()
    print(
        f"{bounds}\n{explorer.states} states, {explorer.steps} steps, {len(explorer.met)} holdings, views meet from "
        f"{explorer.healed}, {time.monotonic() - began:.0f} s: {broken or 'all properties hold'}",
        flush=True,
    )
    for name, fault in () if sys.argv[1:] else FAULTS.items():
        began = time.monotonic()
        explorer = Explorer(fault.bounds, **fault.how)
        found = explorer.run()
        print(
            f"{name} ({explorer.states} states, {time.monotonic() - began:.1f} s): "
            + ("NOT FOUND" if found is None else f"{found[0]} ({len(found[1])} steps: {'; '.join(found[1])})"),
            flush=True,
        )
    return 0 if broken is None else 1


if __name__ == "__main__":
    sys.exit(main())
