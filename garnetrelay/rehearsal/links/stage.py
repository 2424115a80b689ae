"""The fleet's side of a run: the links between the relays, their options, and how their views stand at every moment."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from garnetrelay.fleet.life_file import FILE as LIFE_FILE
from garnetrelay.fleet.status import Line, State
from garnetrelay.rehearsal import staff
from garnetrelay.rehearsal.links import script
from garnetrelay.rehearsal.links.network import Network
from garnetrelay.simulation.links import LinkConditions, Links, between

SECRET, OLD_SECRET = "the kit's secret of the fleet", "the kit's secret of before"
LOOK_EVERY = 0.25  # seconds between two looks at all views


class Met(msgspec.Struct):
    """A step of the fleet, and how long the relays took over it. Seconds; None: not within the run, or not asked."""

    what: str
    at: float
    relays: int
    noticed: float | None = None  # from its beginning until a relay is in doubt: somebody suspected, gone or cut off
    known: float | None = None  # from its last beginning until nobody that runs holds a life that is over
    one_view: float | None = None  # from its end until all that run hold one view, with just them in it


class Look(msgspec.Struct):
    """How the views stood at a moment (nanoseconds from the schedule's start)."""

    at: int
    running: int
    doubting: int
    wrong: int  # hold somebody that is not there, or in another life
    views: int


class Stage:
    """Links, options and looks."""

    def __init__(
        self, spec: script.FleetSpec, relays: tuple[str, ...], seed: int, stretch: float, upgrades: Sequence[int] = ()
    ) -> None:
        """``upgrades``: when relays are upgraded, from the schedule's start."""
        self.spec = spec
        self.names = relays
        self.links = Links(spec.links, seed)
        self.network = Network(relays, self.links)
        self.moves = script.moves(spec, seed, relays, stretch)
        self.upgrades = upgrades
        self.looks: list[Look] = []
        self.gathered: float | None = None  # seconds from the relays' starts until all held one view
        self._first_lives: dict[str, bytes] = {}
        self._old_frames = script.old_ones(spec.old_frames, relays)
        self._old_secret = script.old_ones(spec.old_secret, relays)

    def options(self, name: str, folder: Path) -> Path:
        """Write what a relay's RELAY_OPTIONS names."""
        secrets = [OLD_SECRET, SECRET] if name in self._old_secret else [SECRET, OLD_SECRET]
        (folder / "secret").write_text("\n".join(secrets) + "\n")
        path = folder / "options.toml"
        path.write_text(
            f'[fleet]\nlisten = "{self.network.inner(name)}"\nadvertise = "{self.network.outer(name)}"\n'
            f"seeds = {json.dumps([self.network.outer(seed) for seed in self.names[:self.spec.seeds]])}\n"
            f'secret_file = "secret"\nprobe_every_ms = {self.spec.probe_every_ms}\n'
            f"probe_timeout_ms = {self.spec.probe_timeout_ms}\nframes = {1 if name in self._old_frames else 2}\n"
        )
        return path

    def first_lives(self, folders: dict[str, Path]) -> None:
        """Remember the relays' life numbers as they are now."""
        self._first_lives = {name: (folder / LIFE_FILE).read_bytes() for name, folder in folders.items()}

    def change_life(self, name: str, state: Path, what: str) -> None:
        """What happens to a killed relay's life number: lost, or as it was first. The rest of its folder stays."""
        path = state / LIFE_FILE
        if what == "lose-life":
            path.unlink(missing_ok=True)
        elif what == "old-life":
            path.write_bytes(self._first_lives[name])

    # ---- links

    def cut(self, move: script.Move) -> None:
        """What a move does to links, from now on."""
        rest = [name for name in self.names if name not in move.relays]
        self.links.set_rule(
            f"move {move.number}", between(move.relays, rest, move.what == "cut-one-way"), LinkConditions(cut=True)
        )
        self.network.changed()

    def mend(self, move: script.Move) -> None:
        """End what a move did to links."""
        self.links.remove_rule(f"move {move.number}")

    # ---- looks

    async def look(self, at: Callable[[], int], ports: dict[str, int]) -> Look | None:
        """Ask all that run (``ports``: where staff call them) for their views; None where one did not answer."""
        told = await asyncio.gather(*(staff.lines(port, "FLEET MEMBERS") for port in ports.values()))
        answers = dict(zip(ports, told, strict=True))
        if not answers or not all(answers.values()):
            return None
        states: dict[str, State] = {}
        held: dict[str, list[Line]] = {}
        for name, (first, *rest) in answers.items():
            states[name] = msgspec.json.decode(first, type=State)
            held[name] = [msgspec.json.decode(line, type=Line) for line in rest]
        lives = {name: state.life for name, state in states.items()}
        wrong = sum(
            any(line.status in ("alive", "suspect") and lives.get(line.name) != line.life for line in lines)
            for lines in held.values()
        )
        found = Look(
            at(),
            len(states),
            sum(state.condition != "settled" for state in states.values()),
            wrong,
            len({(state.view, state.members == len(states)) for state in states.values()}),
        )
        if any(state.members != len(states) for state in states.values()):
            found.views = max(2, found.views)
        self.looks.append(found)
        return found

    def met(self) -> list[Met]:
        """Each step, and how the views went on from there until the next one began; the start is the first, and all
        upgrades are one."""
        made = [Met("join", 0.0, len(self.names), one_view=self.gathered)]
        spans: list[tuple[int, int, int, str, int]] = []  # begins, last beginning, ends, what, relays
        for number, step in enumerate(self.spec.steps):
            mine = [move for move in self.moves if move.number == number]
            spans.append(
                (
                    mine[0].at,
                    max(move.at for move in mine),
                    max(move.ends for move in mine),
                    step.what,
                    sum(len(move.relays) for move in mine),
                )
            )
        if self.upgrades:
            spans.append((min(self.upgrades), max(self.upgrades), max(self.upgrades), "upgrade", len(self.upgrades)))
        for begins, last, ends, what, relays in sorted(spans):
            until = min((span[0] for span in spans if span[0] > begins), default=1 << 62)
            looks = [look for look in self.looks if begins <= look.at < max(until, ends)]

            def first(since: int, holds: Callable[[Look], bool], looks: list[Look] = looks) -> float | None:
                at = next((look.at for look in looks if look.at >= since and holds(look)), None)
                return None if at is None else round((at - since) / script.SECOND, 2)

            made.append(
                Met(
                    what,
                    begins / script.SECOND,
                    relays,
                    first(begins, lambda look: look.doubting > 0),
                    first(last, lambda look: not look.wrong),
                    first(ends, lambda look: look.views == 1 and not look.wrong),
                )
            )
        return made
