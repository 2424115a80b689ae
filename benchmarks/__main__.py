"""The command line of the benchmarks: tables on standard output, all ratios within one run."""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import sys
from collections.abc import Callable
from pathlib import Path

from benchmarks import (
    asking,
    cold,
    controllers,
    fleet,
    fleet_cost,
    fleet_scale,
    leases,
    restarts,
    simulator,
    starts,
    store,
    turns,
    upgrade,
    watches,
)
from benchmarks.capacity import command as capacity_command
from benchmarks.kit import carried
from benchmarks.lease_cluster import Terms
from benchmarks.peers import Cost, measure

FLOOR = ["benchmarks.floor", "{PORT}", "{SINK}"]
RELAY = ["garnetrelay"]


def machine() -> str:
    lines = Path("/proc/cpuinfo").read_text().splitlines() if Path("/proc/cpuinfo").exists() else []
    models = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    model = models[0] if models else platform.machine()
    return f"{os.cpu_count()} x {model}, {platform.system()}, Python {platform.python_version()}"


def message(options: argparse.Namespace) -> None:
    """What a message costs from end to end, beside a bare pass-through on the same sockets."""
    costs: dict[str, list[Cost]] = {"floor": [], "relay": []}
    for _ in range(options.rounds):
        for name, program in (("floor", FLOOR), ("relay", RELAY)):
            costs[name].append(
                asyncio.run(measure(program, options.messages, options.clients, options.dests, options.body))
            )
    print(
        f"{options.messages} messages of {options.body} bytes, {options.clients} clients, {options.dests} "
        f"destinations, best of {options.rounds}"
    )
    print(f"{'program':<10}{'CPU us a message':>18}{'messages/s':>12}{'MB':>8}{'times the floor':>18}")
    best = {name: min(found, key=lambda cost: cost.cpu) for name, found in costs.items()}
    for name, cost in best.items():
        print(
            f"{name:<10}{cost.cpu:>18.1f}{cost.rate:>12.0f}{cost.memory:>8.1f}" f"{cost.cpu / best['floor'].cpu:>18.2f}"
        )


def table(title: str, unit: str, measured: Callable[[int], float], sizes: list[int]) -> None:
    print(f"{title}\n{'size':>10}{unit:>12}{'ratio':>8}")
    first = 0.0
    for size in sizes:
        value = measured(size)
        first = first or value
        print(f"{size:>10}{value:>12.1f}{value / first:>8.2f}")


def turn(options: argparse.Namespace) -> None:
    """What a turn of the Pacer costs alone, over what is held and over destinations."""
    held = [100, 1_000, 10_000, 100_000]
    table("two turns of a message, others held for a shut destination", "us", turns.over_held, held)
    table("a turn with slots short, others held for an open destination", "us", turns.over_open, held)
    table("a turn that sheds, the hold full", "us", turns.over_full, held)
    table("two turns of a message over destinations, a tenth shut", "us", turns.over_dests, [26, 260, 2_600, 10_000])
    table("the longest turn as a shut destination opens", "ms", turns.burst, [100, 5_000, 50_000])
    table("the turn in which deadlines passed together", "ms", turns.together, [1_000, 10_000, 50_000])


def kit(options: argparse.Namespace) -> None:
    """What the rehearsal kit carries on one core: clients, stand-ins, checker and recording against a bare relay."""
    print(
        f"{'offered/s':>10}{'carried/s':>11}{'CPU us a message':>18}{'core':>7}{'hand-ins late, p99 ms':>23}"
        f"{'worst':>8}{'verdicts':>10}"
    )
    for rate in options.rates:
        found = carried(rate, options.seconds)
        print(
            f"{rate:>10.0f}{found.rate:>11.0f}{found.cpu:>18.1f}{found.share:>7.2f}{found.late_99:>23.1f}"
            f"{found.late_most:>8.1f}{found.verdicts:>10}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__)
    commands = parser.add_subparsers(required=True)
    message_command = commands.add_parser("message", help=message.__doc__)
    message_command.add_argument("--messages", type=int, default=20_000)
    message_command.add_argument("--clients", type=int, default=64)
    message_command.add_argument("--dests", type=int, default=20)
    message_command.add_argument("--body", type=int, default=400)
    message_command.add_argument("--rounds", type=int, default=3)
    message_command.set_defaults(run=message)
    turn_command = commands.add_parser("turn", help=turn.__doc__)
    turn_command.set_defaults(run=turn)
    kit_command = commands.add_parser("kit", help=kit.__doc__)
    kit_command.add_argument("--rates", type=float, nargs="+", default=[1000.0, 2000.0, 3000.0])
    kit_command.add_argument("--seconds", type=float, default=10.0)
    kit_command.set_defaults(run=kit)
    store_command = commands.add_parser("store", help=store.compare.__doc__)
    store_command.add_argument("--live", type=int, default=100_000)
    store_command.add_argument("--lives", type=int, default=40_000)
    store_command.add_argument("--old", type=Path, help="the module of the journal before, from the history")
    store_command.set_defaults(run=lambda chosen: store.compare(chosen.live, chosen.lives, chosen.old))
    upgrade_command = commands.add_parser("upgrade", help=upgrade.compare.__doc__)
    upgrade_command.add_argument("--held", type=int, nargs="+", default=[0, 10_000, 100_000])
    upgrade_command.set_defaults(run=lambda chosen: upgrade.compare(chosen.held))
    fleet_command = commands.add_parser("fleet", help=fleet.__doc__)
    parts = fleet_command.add_subparsers(required=True)
    part = parts.add_parser("detection", help=fleet.detection.__doc__)
    part.add_argument("--sizes", type=int, nargs="+", default=[3, 10, 40, 200])
    part.add_argument("--seeds", type=int, default=20)
    part.set_defaults(run=lambda chosen: fleet.detection(chosen.sizes, chosen.seeds))
    part = parts.add_parser("false", help=fleet.false.__doc__)
    part.add_argument("--sizes", type=int, nargs="+", default=[10, 40])
    part.add_argument("--seeds", type=int, default=6)
    part.add_argument("--seconds", type=int, default=120)
    part.set_defaults(run=lambda chosen: fleet.false(chosen.sizes, chosen.seeds, chosen.seconds))
    part = parts.add_parser("load", help=fleet.load.__doc__)
    part.add_argument("--sizes", type=int, nargs="+", default=[10, 40, 200])
    part.set_defaults(run=lambda chosen: fleet.load(chosen.sizes))
    part = parts.add_parser("faults", help=fleet.cuts.__doc__)
    part.add_argument("--members", type=int, default=10)
    part.add_argument("--seeds", type=int, default=100)
    part.add_argument("--first", type=int, default=0)
    part.add_argument("--kinds", nargs="*", default=[])
    part.add_argument("--keep", type=Path, help="a folder for schedules that fail")
    part.set_defaults(
        run=lambda chosen: fleet.cuts(chosen.members, chosen.seeds, chosen.first, chosen.kinds, chosen.keep)
    )
    part = parts.add_parser("hostile", help=fleet.refusing.__doc__)
    part.add_argument("--frames", type=int, default=1_000_000)
    part.set_defaults(run=lambda chosen: fleet.refusing(chosen.frames))
    part = parts.add_parser("cost", help=fleet_cost.cost.__doc__)
    part.add_argument("--members", type=int, default=200)
    part.add_argument("--seconds", type=int, default=30)
    part.set_defaults(run=lambda chosen: fleet_cost.cost(chosen.members, chosen.seconds))
    part = parts.add_parser("scale", help=fleet_scale.scale.__doc__)
    part.add_argument("--members", type=int, nargs="+", default=[310, 620, 1000])
    part.add_argument("--seed", type=int, default=1)
    part.add_argument("--peace", type=int, default=120, help="seconds")
    part.add_argument("--cut", type=int, default=300, help="seconds that two regions don't hear each other")
    part.add_argument("--steps", nargs="*", default=["zone", "regions"], choices=["zone", "regions"])
    part.add_argument("--workers", type=int, default=2, help="processes at once")
    part.set_defaults(
        run=lambda chosen: fleet_scale.scale(
            chosen.members, chosen.seed, chosen.peace, chosen.cut, chosen.steps, chosen.workers
        )
    )
    leases_command = commands.add_parser("leases", help=leases.__doc__)
    parts = leases_command.add_subparsers(required=True)
    part = parts.add_parser("faults", help=leases.faults.__doc__)
    part.add_argument("--seeds", type=int, default=1000)
    part.add_argument("--planted-seeds", type=int, default=100)
    part.set_defaults(run=lambda chosen: leases.faults(chosen.seeds, chosen.planted_seeds))
    part = parts.add_parser("partitions", help=leases.partitions.__doc__)
    part.add_argument("--relays", type=int, default=620)
    part.add_argument("--sizes", type=int, nargs="+", default=[4096, 8192, 16384])
    part.set_defaults(run=lambda chosen: leases.partitions(chosen.relays, chosen.sizes))
    part = parts.add_parser("size", help=leases.size.__doc__)
    part.add_argument("--relays", type=int, default=620)
    part.add_argument("--partitions", type=int, default=8192)
    part.add_argument("--lease", type=int, default=15)
    part.add_argument("--renew", type=int, default=4)
    part.set_defaults(run=lambda chosen: leases.size(chosen.relays, chosen.partitions, chosen.lease, chosen.renew))
    restarts_command = commands.add_parser("restarts", help=restarts.compare.__doc__)
    restarts_command.add_argument("--seeds", type=int, default=20)
    restarts_command.set_defaults(run=lambda chosen: restarts.compare(chosen.seeds))
    watches_command = commands.add_parser("watches", help=watches.compare.__doc__)
    watches_command.add_argument("--seeds", type=int, default=10)
    watches_command.set_defaults(run=lambda chosen: watches.compare(chosen.seeds))
    starts_command = commands.add_parser("starts", help=starts.compare.__doc__)
    starts_command.add_argument("--runs", type=int, default=20)
    starts_command.add_argument("--command", help="another than the deploy file's 'run'")
    starts_command.add_argument("--disk", type=int, default=3, help="megabytes that a journal may have")
    starts_command.set_defaults(run=lambda chosen: starts.compare(chosen.runs, chosen.command, chosen.disk))
    asking_command = commands.add_parser("asking", help=asking.compare.__doc__)
    asking_command.add_argument("--seeds", type=int, default=10)
    asking_command.set_defaults(run=lambda chosen: asking.compare(chosen.seeds))
    cold_command = commands.add_parser("cold", help=cold.compare.__doc__)
    cold_command.add_argument("--seeds", type=int, default=10)
    cold_command.set_defaults(run=lambda chosen: cold.compare(chosen.seeds))
    simulator_command = commands.add_parser("simulator", help=simulator.play.__doc__)
    simulator_command.add_argument("kit", type=Path, help="the folder of the bench's kit")
    simulator_command.add_argument("--site", default="gandhinagar-hub")
    simulator_command.add_argument("--relays", type=int, default=30)
    simulator_command.add_argument("--peers", action="store_true", help="relays may write to each other")
    simulator_command.add_argument("--price", type=float, default=0.01, help="of their notes")
    simulator_command.add_argument("--stock", default="", help="other days: eight hexadecimal digits")
    simulator_command.add_argument("--full", action="store_true")
    simulator_command.add_argument("--why", required=True, help="one plain sentence")
    simulator_command.set_defaults(
        run=lambda chosen: sys.exit(
            simulator.play(
                chosen.kit,
                chosen.site,
                chosen.relays,
                chosen.peers,
                chosen.price,
                chosen.stock,
                not chosen.full,
                chosen.why,
            )
        )
    )
    controllers_command = commands.add_parser("controllers", help=controllers.load.__doc__)
    controllers_command.add_argument("--relays", type=int, default=620)
    controllers_command.add_argument("--controllers", type=int, default=5)
    controllers_command.add_argument("--partitions", type=int, default=8192)
    controllers_command.add_argument("--lease-ms", type=int, default=15_000)
    controllers_command.add_argument(
        "--patience", type=float, default=120.0, help="seconds for each thing that is waited for"
    )
    controllers_command.add_argument("--seconds", type=float, default=20.0, help="of renewals")
    controllers_command.add_argument("--killed", type=int, default=103, help="relays that crash at once; 0: none")
    controllers_command.set_defaults(
        run=lambda chosen: controllers.load(
            Terms(chosen.relays, chosen.controllers, chosen.partitions, chosen.lease_ms, chosen.patience),
            chosen.seconds,
            chosen.killed,
        )
    )
    capacity_command.register(commands)
    options = parser.parse_args()
    print(machine())
    options.run(options)


if __name__ == "__main__":
    main()
