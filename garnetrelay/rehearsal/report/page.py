"""The report as one self-contained HTML page: plots as inline SVG, verdicts with their proof."""

from __future__ import annotations

import io
from importlib import resources
from pathlib import Path
from typing import Any

import jinja2
import msgspec
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from garnetrelay.rehearsal import events as ev
from garnetrelay.rehearsal.checker import RULES
from garnetrelay.rehearsal.conductor import Outcome
from garnetrelay.rehearsal.plan import PartnerPlan
from garnetrelay.rehearsal.report.machine import report

MAX_SCOPES = 6  # plots of single scopes
MAX_VERDICTS = 200
COLOURS = {
    "handed in": "#4a6fa5",
    "delivered": "#3c8d5a",
    "refused": "#c8862b",
    "failed": "#b23b3b",
    "pending": "#6b5b95",
}


def write(outcome: Outcome, path: Path) -> None:
    """Write the report page to a file."""
    path.write_text(render(outcome))


def render(outcome: Outcome) -> str:
    """The HTML text of the report page."""
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(
        (resources.files("garnetrelay.rehearsal.report") / "page.html").read_text()
    )
    facts = report(outcome)
    return template.render(
        facts=facts,
        rules=RULES,
        plots=_plots(outcome),
        steps=[(step.at / 1e9, step.text) for step in outcome.tally.steps],
        verdicts=[(verdict, [_line(event) for event in verdict.proof]) for verdict in outcome.verdicts[:MAX_VERDICTS]],
        left_out=max(0, len(outcome.verdicts) - MAX_VERDICTS),
    )


def _line(event: ev.Event) -> str:
    values: dict[str, Any] = msgspec.to_builtins(event)
    what, at = values.pop("what"), values.pop("at")
    values.pop("since")
    return f"{at / 1e9:9.3f} s  {what}: " + ", ".join(f"{name} {value}" for name, value in values.items())


def _plots(outcome: Outcome) -> list[tuple[str, str]]:
    seconds = outcome.tally.seconds
    times = [n + 0.5 for n in range(len(seconds))]
    plots = []
    figure, axes = _figure("messages per second")
    axes.plot(times, [s.handed_in for s in seconds], color=COLOURS["handed in"], label="handed in")
    axes.plot(times, [s.delivered for s in seconds], color=COLOURS["delivered"], label="delivered")
    axes.plot(times, [s.refused + s.ended["bounced"] for s in seconds], color=COLOURS["refused"], label="refused")
    axes.plot(times, [s.ended["dead"] for s in seconds], color=COLOURS["failed"], label="failed")
    plots.append(("Messages", _svg(figure, axes, outcome)))
    figure, axes = _figure("pending messages, waits per second")
    axes.fill_between(
        times, [s.pending for s in seconds], color=COLOURS["pending"], alpha=0.3, label="pending at all relays"
    )
    axes.plot(times, [s.waits for s in seconds], color=COLOURS["refused"], label="answers with a wait")
    plots.append(("Pending messages and waits", _svg(figure, axes, outcome)))
    for scope, partner in _scopes(outcome):
        figure, axes = _figure("calls per second")
        axes.plot(times, [s.calls[scope] for s in seconds], color=COLOURS["handed in"], label="sent")
        axes.plot(
            times, [s.turned_away[scope] for s in seconds], color=COLOURS["refused"], label="refused with 429 or 503"
        )
        axes.plot(times, _capacity(outcome, scope, partner, times), color="#222222", linestyle="--", label="capacity")
        plots.append((f"{scope} ({partner.kind})", _svg(figure, axes, outcome)))
    return plots


def _scopes(outcome: Outcome) -> list[tuple[str, PartnerPlan]]:
    """The scopes to plot: those with outages first, then the largest."""
    by_scope = {scope: partner for partner in outcome.plan.partners for scope in partner.scopes}
    with_outage = [began.scope for began, _ in outcome.tally.outages]
    largest = sorted(by_scope, key=lambda scope: -by_scope[scope].full)
    chosen = [scope for scope in dict.fromkeys([*with_outage, *largest]) if scope in by_scope][:MAX_SCOPES]
    return [(scope, by_scope[scope]) for scope in chosen]


def _capacity(outcome: Outcome, scope: str, partner: PartnerPlan, times: list[float]) -> list[float]:
    full = partner.capacity / len(partner.scopes)
    line = [full] * len(times)
    for began, over in outcome.tally.outages:
        if began.scope != scope:
            continue
        for index, time in enumerate(times):
            if time * 1e9 >= began.at and (over is None or time * 1e9 < over.at):
                line[index] = 0.0
            elif over is not None and over.at <= time * 1e9 < over.at + over.ramp:
                line[index] = full * (over.start + (1 - over.start) * (time * 1e9 - over.at) / over.ramp)
    return line


def _figure(label: str) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(9, 2.6), layout="constrained")
    axes = figure.add_subplot()
    axes.set_ylabel(label, fontsize=8)
    axes.set_xlabel("seconds", fontsize=8)
    axes.tick_params(labelsize=8)
    axes.grid(alpha=0.2)
    return figure, axes


def _svg(figure: Figure, axes: Axes, outcome: Outcome) -> str:
    for signalled in outcome.tally.restarts:
        axes.axvline(signalled.at / 1e9, color="#888888", linewidth=0.8, linestyle=":")
    for number, verdict in enumerate(outcome.verdicts[:20]):
        axes.axvline(verdict.at / 1e9, color="#b23b3b", linewidth=0.8, label="rule broken" if not number else None)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7, loc="upper left", ncols=4, frameon=False)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]
