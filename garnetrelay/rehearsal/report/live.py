"""The live view: progress, counts of the last second, and verdicts as soon as they are reached."""

from __future__ import annotations

import asyncio
from collections import Counter

from rich.console import Console, Group
from rich.live import Live
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from garnetrelay.rehearsal.checker import RULES
from garnetrelay.rehearsal.conductor import Conductor, Outcome

REFRESH_INTERVAL_S = 0.25
MAX_SHOWN = 5  # verdicts, and steps


async def watch(conductor: Conductor, console: Console) -> None:
    """Update the view until cancelled."""
    with Live(_render(conductor), console=console, refresh_per_second=4, transient=True) as live:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            live.update(_render(conductor))


def _render(conductor: Conductor) -> Group:
    plan, tally = conductor.plan, conductor.tally
    done = max(0, conductor.clock.now() - conductor.began) if conductor.began else 0
    head = Text(
        f"{plan.scenario}, seed {plan.seed}, {len(plan.relays)} relays: "
        f"{min(done, plan.length) / 1e9:.0f} of {plan.length / 1e9:.0f} s"
    )
    table = Table(box=None, pad_edge=False)
    for column in ("", "handed in", "delivered", "refused", "failed", "turned away", "held"):
        table.add_column(column, justify="right")
    last = tally.seconds[-2] if len(tally.seconds) > 1 else None
    if last is not None:
        table.add_row(
            "last second",
            *(
                str(value)
                for value in (
                    last.handed_in,
                    last.delivered,
                    last.refused + last.ended["bounced"],
                    last.ended["dead"],
                    sum(last.turned_away.values()),
                    last.pending,
                )
            ),
        )
    counts = tally.counts
    table.add_row(
        "in all",
        *(
            str(value)
            for value in (
                counts["handed in"],
                tally.statuses[200],
                counts["answered busy"] + counts["notices, bounced"],
                counts["notices, dead"],
                tally.statuses[429] + tally.statuses[503],
                len(tally.pending),
            )
        ),
    )
    lines = [Text(f"{step.at / 1e9:7.1f} s  {step.text}", style="dim") for step in tally.steps[-MAX_SHOWN:]]
    verdicts = conductor.checker.verdicts
    lines += [
        Text(f"rule {verdict.rule}, {verdict.fault}: {verdict.text}", style="bold red")
        for verdict in verdicts[-MAX_SHOWN:]
    ]
    return Group(head, ProgressBar(total=plan.length, completed=min(done, plan.length), width=60), table, *lines)


def tell(outcome: Outcome, console: Console) -> None:
    """Print a summary of the run."""
    for verdict in outcome.verdicts[:20]:
        console.print(Text(f"rule {verdict.rule} ({RULES[verdict.rule]}), {verdict.fault}", style="bold red"))
        console.print(Text(f"  {verdict.at / 1e9:.3f} s  {verdict.text}"))
    if len(outcome.verdicts) > 20:
        console.print(f"  and {len(outcome.verdicts) - 20} more")
    service = ", ".join(f"{name} {value:.3f}" for name, value in outcome.tally.service().items())
    console.print(Text(f"service: {service}"))
    counts = outcome.tally.counts
    console.print(
        Text(
            f"{counts['handed in']} handed in, {outcome.tally.statuses[200]} delivered, "
            f"{counts['notices, bounced'] + counts['answered busy']} refused, "
            f"{counts['notices, dead']} failed; {outcome.tally.max_pending} held at most"
        )
    )
    if outcome.tally.upgrades:
        how = ", ".join(f"{count} {name}" for name, count in Counter(u.how for u in outcome.tally.upgrades).items())
        console.print(
            Text(
                f"upgrades: {how}; hand-ins unanswered: "
                + (
                    ", ".join(
                        f"{count} {name.removeprefix('unanswered, ')}"
                        for name, count in counts.items()
                        if name.startswith("unanswered")
                    )
                    or "none"
                )
            )
        )
        for name, times in outcome.tally.answer_times().items():
            console.print(
                Text(f"answers {name}: " + ", ".join(f"{key} {value:g}" for key, value in times.items()) + " ms")
            )
    if outcome.fleet:
        table = Table(box=None, pad_edge=False)
        for column in ("at s", "fleet", "relays", "first doubt s", "all know s", "one view s"):
            table.add_column(column, justify="left" if column == "fleet" else "right")
        for met in outcome.fleet:
            table.add_row(
                f"{met.at:.0f}",
                met.what,
                str(met.relays),
                *("-" if value is None else f"{value:.2f}" for value in (met.noticed, met.known, met.one_view)),
            )
        console.print(table)
    for clients in outcome.misbehaving:
        console.print(
            Text(f"bad clients: {clients.attempts} tried, {clients.unanswered} left with neither error nor close")
        )
    end = (
        Text("every rule held", style="bold green")
        if outcome.kept
        else Text(f"rules broken: {', '.join(sorted({str(v.rule) for v in outcome.verdicts}))}", style="bold red")
    )
    console.print(Text(f"{outcome.plan.scenario}, seed {outcome.plan.seed}: "), end)
