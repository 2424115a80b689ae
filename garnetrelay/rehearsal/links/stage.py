"""The fleet of a run: the links between the relays, their options, and samples of their views."""

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

SECRET, OLD_SECRET = "secret of the rehearsal's fleet", "previous secret of the rehearsal's fleet"
VIEW_SAMPLE_INTERVAL_S = 0.25


class FleetStepResult(msgspec.Struct):
    """A step of the fleet, and how long the relays took to react. Seconds; None: not within the run, or not measured."""

    what: str
    at: float
    relays: int
    noticed: float | None = None  # from its start until a view is not settled: a member is suspected, gone or cut off
    known: float | None = None  # from its last start until no running relay lists a member's life that has ended
    one_view: float | None = None  # from its end until all running relays have one view, which lists exactly them


class ViewSample(msgspec.Struct):
    """A sample of all views (time in nanoseconds from the start of the schedule)."""

    at: int
    running: int
    uncertain: int  # views that are not settled
    stale: int  # views that list a member that is gone or has another life
    views: int


class FleetRun:
    """Links, options and view samples of the fleet."""

    def __init__(
        self, spec: script.FleetSpec, relays: tuple[str, ...], seed: int, stretch: float, upgrades: Sequence[int] = ()
    ) -> None:
        """``upgrades``: times at which relays are upgraded, from the start of the schedule."""
        self.spec = spec
        self.names = relays
        self.links = Links(spec.links, seed)
        self.network = Network(relays, self.links)
        self.moves = script.moves(spec, seed, relays, stretch)
        self.upgrades = upgrades
        self.samples: list[ViewSample] = []
        self.gathered: float | None = None  # seconds from the start of the relays until all had one view
        self._first_lives: dict[str, bytes] = {}
        self._old_frames = script.select_share(spec.old_frames, relays)
        self._old_secret = script.select_share(spec.old_secret, relays)

    def write_options(self, name: str, folder: Path) -> Path:
        """Write the file that a relay's RELAY_OPTIONS names. Returns its path."""
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

    def store_life_numbers(self, folders: dict[str, Path]) -> None:
        """Store the relays' current life numbers."""
        self._first_lives = {name: (folder / LIFE_FILE).read_bytes() for name, folder in folders.items()}

    def change_life(self, name: str, state: Path, what: str) -> None:
        """Delete a killed relay's life number, or reset it to the first one. The rest of its folder stays."""
        path = state / LIFE_FILE
        if what == "lose-life":
            path.unlink(missing_ok=True)
        elif what == "old-life":
            path.write_bytes(self._first_lives[name])

    # ---- links

    def cut_links(self, move: script.Move) -> None:
        """Cut the links that a move names."""
        others = [name for name in self.names if name not in move.relays]
        self.links.set_rule(
            f"move {move.number}", between(move.relays, others, move.what == "cut-one-way"), LinkConditions(cut=True)
        )
        self.network.changed()

    def restore_links(self, move: script.Move) -> None:
        """Restore the links that a move cut."""
        self.links.remove_rule(f"move {move.number}")

    # ---- view samples

    async def sample_views(self, at: Callable[[], int], ports: dict[str, int]) -> ViewSample | None:
        """Query the views of all running relays (``ports``: their operator ports). None if one did not answer."""
        replies = await asyncio.gather(*(staff.lines(port, "FLEET MEMBERS") for port in ports.values()))
        answers = dict(zip(ports, replies, strict=True))
        if not answers or not all(answers.values()):
            return None
        states: dict[str, State] = {}
        listed: dict[str, list[Line]] = {}
        for name, (first, *rest) in answers.items():
            states[name] = msgspec.json.decode(first, type=State)
            listed[name] = [msgspec.json.decode(line, type=Line) for line in rest]
        lives = {name: state.life for name, state in states.items()}
        stale = sum(
            any(line.status in ("alive", "suspect") and lives.get(line.name) != line.life for line in lines)
            for lines in listed.values()
        )
        sample = ViewSample(
            at(),
            len(states),
            sum(state.condition != "settled" for state in states.values()),
            stale,
            len({(state.view, state.members == len(states)) for state in states.values()}),
        )
        if any(state.members != len(states) for state in states.values()):
            sample.views = max(2, sample.views)
        self.samples.append(sample)
        return sample

    def step_results(self) -> list[FleetStepResult]:
        """Each step, with the reaction of the views until the next step starts.

        The start of the fleet is the first step, and all upgrades are one step.
        """
        results = [FleetStepResult("join", 0.0, len(self.names), one_view=self.gathered)]
        intervals: list[tuple[int, int, int, str, int]] = []  # first start, last start, end, what, number of relays
        for number, step in enumerate(self.spec.steps):
            step_moves = [move for move in self.moves if move.number == number]
            intervals.append(
                (
                    step_moves[0].at,
                    max(move.at for move in step_moves),
                    max(move.ends for move in step_moves),
                    step.what,
                    sum(len(move.relays) for move in step_moves),
                )
            )
        if self.upgrades:
            intervals.append((min(self.upgrades), max(self.upgrades), max(self.upgrades), "upgrade", len(self.upgrades)))
        for begins, last, ends, what, relays in sorted(intervals):
            until = min((interval[0] for interval in intervals if interval[0] > begins), default=1 << 62)
            samples = [sample for sample in self.samples if begins <= sample.at < max(until, ends)]

            def first(
                since: int, condition: Callable[[ViewSample], bool], samples: list[ViewSample] = samples
            ) -> float | None:
                at = next((sample.at for sample in samples if sample.at >= since and condition(sample)), None)
                return None if at is None else round((at - since) / script.SECOND, 2)

            results.append(
                FleetStepResult(
                    what,
                    begins / script.SECOND,
                    relays,
                    first(begins, lambda sample: sample.uncertain > 0),
                    first(last, lambda sample: not sample.stale),
                    first(ends, lambda sample: sample.views == 1 and not sample.stale),
                )
            )
        return results
