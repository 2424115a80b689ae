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

MOST_SCOPES = 6  # plots of single partners
MOST_VERDICTS = 200
COLOURS = {"handed in": "#4a6fa5", "delivered": "#3c8d5a", "refused": "#c8862b", "failed": "#b23b3b", "held": "#6b5b95"}


def write(outcome: Outcome, path: Path) -> None:
    """Write the page."""
    path.write_text(render(outcome))


def render(outcome: Outcome) -> str:
    """The page's text."""
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(
        (resources.files("garnetrelay.rehearsal.report") / "page.html").read_text()
    )
    facts = report(outcome)
    return template.render(
        facts=facts,
        rules=RULES,
        plots=_plots(outcome),
        steps=[(step.at / 1e9, step.text) for step in outcome.tally.steps],
        verdicts=[(verdict, [_line(event) for event in verdict.proof]) for verdict in outcome.verdicts[:MOST_VERDICTS]],
        left_out=max(0, len(outcome.verdicts) - MOST_VERDICTS),
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
    figure, axes = _figure("messages a second")
    axes.plot(times, [s.handed_in for s in seconds], color=COLOURS["handed in"], label="handed in")
    axes.plot(times, [s.delivered for s in seconds], color=COLOURS["delivered"], label="delivered")
    axes.plot(times, [s.refused + s.ended["bounced"] for s in seconds], color=COLOURS["refused"], label="refused")
    axes.plot(times, [s.ended["dead"] for s in seconds], color=COLOURS["failed"], label="failed")
    plots.append(("Messages", _svg(figure, axes, outcome)))
    figure, axes = _figure("messages held, waits told a second")
    axes.fill_between(times, [s.held for s in seconds], color=COLOURS["held"], alpha=0.3, label="held by all relays")
    axes.plot(times, [s.waits for s in seconds], color=COLOURS["refused"], label="waits told")
    plots.append(("Held and waits", _svg(figure, axes, outcome)))
    for scope, partner in _scopes(outcome):
        figure, axes = _figure("calls a second")
        axes.plot(times, [s.calls[scope] for s in seconds], color=COLOURS["handed in"], label="sent")
        axes.plot(times, [s.turned_away[scope] for s in seconds], color=COLOURS["refused"], label="turned away")
        axes.plot(
            times, _capacity(outcome, scope, partner, times), color="#222222", linestyle="--", label="what it can take"
        )
        plots.append((f"{scope} ({partner.kind})", _svg(figure, axes, outcome)))
    return plots


def _scopes(outcome: Outcome) -> list[tuple[str, PartnerPlan]]:
    """Those that were struck first, then the largest."""
    by_scope = {scope: partner for partner in outcome.plan.partners for scope in partner.scopes}
    struck = [began.scope for began, _ in outcome.tally.outages]
    largest = sorted(by_scope, key=lambda scope: -by_scope[scope].full)
    chosen = [scope for scope in dict.fromkeys([*struck, *largest]) if scope in by_scope][:MOST_SCOPES]
    return [(scope, by_scope[scope]) for scope in chosen]


def _capacity(outcome: Outcome, scope: str, partner: PartnerPlan, times: list[float]) -> list[float]:
    full = partner.capacity / len(partner.scopes)
    line = [full] * len(times)
    for began, over in outcome.tally.outages:
        if began.scope != scope:
            continue
        for place, time in enumerate(times):
            if time * 1e9 >= began.at and (over is None or time * 1e9 < over.at):
                line[place] = 0.0
            elif over is not None and over.at <= time * 1e9 < over.at + over.ramp:
                line[place] = full * (over.start + (1 - over.start) * (time * 1e9 - over.at) / over.ramp)
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
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]
