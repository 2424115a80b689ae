"""Relays that know each other, in the driven clock: how soon a failure is known, who is failed by mistake, what it sends
and costs, how views meet again."""

from __future__ import annotations

import itertools
import math
import random
import statistics
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Status
from garnetrelay.fleet.members.effects import SendFrame
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.settings import SECOND, Settings
from garnetrelay.simulation import invalid_frames
from garnetrelay.simulation.fleet_simulation import FleetSimulation, Node, Stall
from garnetrelay.simulation.links import LinkConditions
from garnetrelay.simulation.schedules import KINDS, Outcome, Schedule, generate_schedule, run_schedule

WORKERS = 6
GATHERED = 120  # seconds of simulated time in which a fleet comes to one view


def gathered(count: int, settings: Settings, seed: object, base: LinkConditions | None = None) -> FleetSimulation:
    """A fleet of one view."""
    world = FleetSimulation(count, settings, seed, base)
    draw = random.Random(f"{seed}/starts")
    for name in world.nodes:
        world.at(draw.randrange(SECOND), lambda name=name: world.start(name))  # type: ignore[misc]
    world.run(SECOND)
    if not world.run(GATHERED * SECOND * max(1, count // 200), world.one_view):
        raise RuntimeError(f"{count} members, seed {seed}: not one view")
    world.run(world.now + 5 * SECOND)
    return world


class Detected(msgspec.Struct):
    """Of one kill, in periods: the first suspicion, the first judgement, all know."""

    suspected: float
    judged: float
    known: float


def detect(job: tuple[int, int, float]) -> list[Detected]:
    """Some kills in one fleet, one after the other."""
    count, seed, loss = job
    settings = Settings()
    world = gathered(count, settings, seed, LinkConditions(loss=loss, jitter_ms=20))
    draw, found = random.Random(seed), []
    for _ in range(3 if count > 3 else 1):
        victim = draw.choice([node.name for node in world.live()])
        at, seen = world.now, Detected(0, 0, 0)

        def held(victim: str = victim) -> list[Status]:
            return [
                Status.FAILED if member is None else member.claim.status
                for member in (node.members.table.get(victim) for node in world.live() if node.members is not None)
            ]

        def known(at: int = at, seen: Detected = seen, held: Callable[[], list[Status]] = held) -> bool:
            statuses = held()
            ago = (world.now - at) / settings.probe_interval
            if not seen.suspected and any(status >= Status.SUSPECT for status in statuses):
                seen.suspected = ago
            if not seen.judged and any(status is Status.FAILED for status in statuses):
                seen.judged = ago
            return all(status is Status.FAILED for status in statuses)

        world.kill(victim)
        if not world.run(at + 300 * SECOND, known):
            raise RuntimeError(f"{count} members, seed {seed}: a kill is not known after 300 s")
        seen.known = (world.now - at) / settings.probe_interval
        found.append(seen)
        world.run(world.now + 5 * SECOND)
    return found


def detection(sizes: list[int], seeds: int) -> None:
    """Detection time against the paper's expectation."""
    settings = Settings()
    print(
        "detection of a kill, in periods; suspicion after the paper (Das and others, 3.1): 1 / (1 - (1 - 1/n)^(n-1)), "
        "and half a period until the next round, one for the probe"
    )
    print(
        f"{'members':>8}{'kills':>7}{'first suspicion':>17}{'expected':>10}{'judged':>9}{'least':>7}{'longest':>9}"
        f"{'all know':>10}{'p95':>7}"
    )
    with ProcessPoolExecutor(WORKERS) as pool:
        for size in sizes:
            jobs = [(size, seed, 0.0) for seed in range(max(1, seeds if size <= 40 else seeds // 10))]
            found = [each for some in pool.map(detect, jobs) for each in some]
            expected = 1 / (1 - (1 - 1 / (size - 1)) ** (size - 1)) + 0.5 if size > 2 else 1.5
            known = sorted(each.known for each in found)
            print(
                f"{size:>8}{len(found):>7}{statistics.mean(each.suspected for each in found):>17.2f}{expected:>10.2f}"
                f"{statistics.mean(each.judged for each in found):>9.2f}"
                f"{settings.min_suspicion_time(size) / settings.probe_interval:>7.1f}"
                f"{settings.max_suspicion_time(size) / settings.probe_interval:>9.1f}"
                f"{statistics.mean(known):>10.2f}{known[int((len(known) - 1) * 0.95)]:>7.2f}",
                flush=True,
            )


def mistaken(job: tuple[int, int, str, bool, int]) -> tuple[int, int]:
    """Lives that were failed while they were there, and judgements of that kind."""
    count, seed, trouble, lifeguard, seconds = job
    world = gathered(count, Settings(lifeguard=lifeguard), seed, LinkConditions(jitter_ms=20))
    if trouble.endswith("% loss"):
        world.links.base = LinkConditions(loss=float(trouble.partition(" ")[0]) / 100, jitter_ms=20)
    else:
        draw = random.Random(seed)
        for name in draw.sample(sorted(world.nodes), max(1, count // 10)):
            world.nodes[name].stall = Stall(3 * SECOND, 2 * SECOND)
    before = len(world.failures)
    world.run(world.now + seconds * SECOND)
    false = [(whom, identity) for _, _, whom, identity, there in world.failures[before:] if there]
    return len(set(false)), len(false)


def false(sizes: list[int], seeds: int, seconds: int) -> None:
    """Members that were failed while they were there, with Lifeguard's part and without."""
    print(f"members failed while they were there, and such judgements, in {seconds} s, {seeds} seeds")
    print(f"{'members':>8}  {'trouble':<22}{'with':>12}{'without':>14}")
    with ProcessPoolExecutor(WORKERS) as pool:
        for size in sizes:
            for trouble in ("5 % loss", "20 % loss", "a tenth starved"):
                told = []
                for lifeguard in (True, False):
                    jobs = [(size, seed, trouble, lifeguard, seconds) for seed in range(seeds)]
                    found = list(pool.map(mistaken, jobs))
                    told.append(f"{sum(lives for lives, _ in found)} ({sum(judged for _, judged in found)})")
                print(f"{size:>8}  {trouble:<22}{told[0]:>12}{told[1]:>14}", flush=True)


def load_of(size: int) -> tuple[int, float, float, float, float]:
    """Frames and bytes a member a second over a minute of peace; mean and greatest age of a word (seconds)."""
    world = gathered(size, Settings(), 1, LinkConditions(jitter_ms=20))
    world.run(world.now + 30 * SECOND)
    frames = sum(node.sent_frames for node in world.nodes.values())
    sent = sum(node.sent_bytes for node in world.nodes.values())
    span = 60
    world.run(world.now + span * SECOND)
    frames = sum(node.sent_frames for node in world.nodes.values()) - frames
    sent = sum(node.sent_bytes for node in world.nodes.values()) - sent
    ages = [
        age / 1e9
        for node in world.live()
        if node.members is not None
        for name in node.members.table.members
        if (age := node.members.age(name, world.now)) is not None
    ]
    return size, frames / size / span, sent / size / span, statistics.mean(ages), max(ages)


def load(sizes: list[int]) -> None:
    """Frames and bytes a member a second, and how old its words of others are."""
    print(f"{'members':>8}{'frames/s':>10}{'bytes/s':>10}{'word age, mean s':>18}{'greatest':>10}{'bound':>8}")
    with ProcessPoolExecutor(WORKERS) as pool:
        for size, frames, sent, mean, most in pool.map(load_of, sizes):
            print(
                f"{size:>8}{frames:>10.2f}{sent:>10.0f}{mean:>18.1f}{most:>10.1f}"
                f"{Settings().max_observation_age(size) / 1e9:>8.1f}",
                flush=True,
            )


def _played(job: tuple[str, int, int]) -> tuple[Schedule, Outcome]:
    schedule = generate_schedule(*job)
    return schedule, run_schedule(schedule)


def cuts(members: int, seeds: int, first: int, kinds: Iterable[str], keep: Path | None) -> None:
    """Views that meet again after every kind of fault; schedules that fail are kept."""
    chosen = list(kinds) or list(KINDS)
    print(f"{members} members, seeds {first} to {first + seeds - 1}; times in s after the last event")
    print(
        f"{'kind':<26}{'plays':>7}{'failed':>8}{'all know':>10}{'one view':>10}{'p99':>8}{'most':>8}{'judged':>8}"
        f"{'while there':>13}"
    )
    found: defaultdict[str, list[Outcome]] = defaultdict(list)
    with ProcessPoolExecutor(WORKERS) as pool:
        jobs = [(kind, seed, members) for kind in chosen for seed in range(first, first + seeds)]
        for schedule, outcome in pool.map(_played, jobs, chunksize=20):
            found[schedule.kind].append(outcome)
            if outcome.failed and keep is not None:
                name = f"{schedule.kind.replace(' ', '-')}-{schedule.members}-{schedule.seed}.json"
                (keep / name).write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1))
            if len(found[schedule.kind]) == seeds:
                print(_row(schedule.kind, found[schedule.kind]), flush=True)


def _row(kind: str, outcomes: list[Outcome]) -> str:
    views = sorted(outcome.one_view_ms / 1000 for outcome in outcomes if outcome.one_view_ms is not None) or [math.nan]
    known = sorted(outcome.all_current_ms / 1000 for outcome in outcomes if outcome.all_current_ms is not None) or [
        math.nan
    ]
    return (
        f"{kind:<26}{len(outcomes):>7}{sum(outcome.failed for outcome in outcomes):>8}{known[len(known) // 2]:>10.2f}"
        f"{views[len(views) // 2]:>10.2f}{views[int(len(views) * 0.99)]:>8.2f}{views[-1]:>8.2f}"
        f"{sum(outcome.failure_verdicts for outcome in outcomes):>8}"
        f"{sum(outcome.false_failures for outcome in outcomes):>13}"
    )


def _listened(size: int, seed: int, most: int) -> tuple[FleetSimulation, Membership, list[bytes]]:
    """A fleet, one member of it, and frames that it has taken."""
    heard: list[bytes] = []

    def hear(node: Node, data: bytes) -> None:
        if node.name == "n1" and len(heard) < most:
            heard.append(data)

    world = gathered(size, Settings(), seed)
    world.on_datagram = hear
    world.run(world.now + 30 * SECOND)
    members = world.nodes["n1"].members
    assert members is not None
    return world, members, heard


def refusing(number: int) -> None:
    """Damaged and hostile frames: no exception, no change; the CPU of refusing one against taking one."""
    world, members, heard = _listened(50, 1, 200)

    def state() -> tuple[object, ...]:
        return tuple(members.table.claims()), members.local.claim, members.view, members.condition, members.joined

    before = state()
    took, causes, counts = Counter[str](), Counter[str](), Counter[str]()
    earlier = members.counters.refused.copy()
    changes = 0
    for kind, data in itertools.islice(invalid_frames.generate(random.Random(1), world.codec, heard), number):
        counts[kind] += 1
        began = time.perf_counter_ns()
        try:
            frame = world.codec.decode(data)
        except fr.Refused as refused:
            took[kind] += time.perf_counter_ns() - began
            causes[refused.cause] += 1
            continue
        members.receive(world.now, frame, invalid_frames.UNKNOWN_ADDRESS)
        took[kind] += time.perf_counter_ns() - began
        if counts[kind] % 100 == 0:
            changes += state() != before
    changes += state() != before
    told = members.counters.refused - earlier
    print(
        f"{number} frames, no exception, {changes} changes of state\nrefused by the codec: {causes.total()} ("
        f"{', '.join(f'{cause} {count}' for cause, count in causes.most_common())})\nby the member: {told.total()} ("
        f"{', '.join(f'{cause} {count}' for cause, count in told.most_common())})"
    )
    taking = _taking(world, members)
    print(f"taking and answering a member's question: {taking:.1f} us\n{'kind':<26}{'us':>8}{'of that':>9}")
    for kind in sorted(took, key=lambda kind: took[kind] / counts[kind]):
        cost = took[kind] / counts[kind] / 1000
        print(f"{kind:<26}{cost:>8.1f}{cost / taking:>9.2f}")


def _taking(world: FleetSimulation, members: Membership) -> float:
    """What a question of a member costs that is taken and answered (microseconds)."""
    other = world.nodes["n2"].members
    assert other is not None
    frames = [
        world.codec.encode(
            fr.Ping(
                sender=other.local.claim,
                sequence=other.outgoing.sequence + 1000 + number,
                number=number,
                summary=fr.Summary(other.view, other.count),
            ),
            2,
        )
        for number in range(5000)
    ]
    began = time.perf_counter_ns()
    for data in frames:
        for effect in members.receive(world.now, world.codec.decode(data), other.local.claim.address):
            if isinstance(effect, SendFrame):
                world.codec.encode(effect.frame, effect.version)
    return (time.perf_counter_ns() - began) / 1000 / len(frames)
