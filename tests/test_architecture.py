"""The rules of docs/ARCHITECTURE.md on who may import whom, read from the sources: nothing is imported here.

Every import counts, also one inside a function or for types only: a type's import is a dependency to a reader.
"""

from __future__ import annotations

import ast
import functools
import itertools
import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1]
PRODUCT = ("starlingwick", "garnetrelay")

# From the bottom up: a part may import parts of the layers before its own, and itself. A module belongs to the part with
# the longest name that it starts with, so that a new subpackage stands under its package's rules until it has its own.
LAYERS: tuple[tuple[str, ...], ...] = (
    ("starlingwick",),
    ("garnetrelay.fleet.signing", "garnetrelay.ownership"),
    (
        "garnetrelay",
        "garnetrelay.store",
        "garnetrelay.counters",
        "garnetrelay.loop_lag",
        "garnetrelay.socket_poll",
        "garnetrelay.recovery_stats",
        "garnetrelay.fleet.members",
    ),
    ("garnetrelay.fleet.partitions",),
    ("garnetrelay.fleet.leases",),
    ("garnetrelay.config",),
    ("garnetrelay.fronts", "garnetrelay.delivery", "garnetrelay.discovery"),
    ("garnetrelay.platform", "garnetrelay.pending", "garnetrelay.recorded_times"),
    ("garnetrelay.handover",),
    ("garnetrelay.operators",),
    ("garnetrelay.fleet",),
    ("garnetrelay.attempt", "garnetrelay.recovery", "garnetrelay.shutdown"),
    ("garnetrelay.relay", "garnetrelay.simulation", "starlingwick.wirehost"),
    ("garnetrelay.daemon",),
    ("garnetrelay.__main__", "garnetrelay.rehearsal"),
    ("garnetrelay.cli",),
)

# What decides: told what happened and when, it neither asks the machine nor acts on it.
DECISIONS = (
    "starlingwick",
    "garnetrelay.counters",
    "garnetrelay.fleet.leases",
    "garnetrelay.fleet.members",
    "garnetrelay.fleet.partitions",
    "garnetrelay.fleet.signing",
    "garnetrelay.loop_lag",
    "garnetrelay.operators.commands",
    "garnetrelay.operators.metrics",
    "garnetrelay.rehearsal.checker",
    "garnetrelay.store.compaction_policy",
    "garnetrelay.store.format",
    "garnetrelay.store.index",
    "garnetrelay.discovery.host_list",
    "garnetrelay.discovery.watches",
    "garnetrelay.recorded_times",
    "garnetrelay.recovery_stats",
    "garnetrelay.handover.protocol",
)
PROGRAMS = ("starlingwick.wirehost",)  # under a name above, but a program round it
MACHINE = frozenset(
    "asyncio concurrent fcntl multiprocessing os pathlib secrets select selectors shutil signal socket subprocess "
    "tempfile threading time".split()
)

# Off unless the configuration switches it on, and then imported where it starts: never as the daemon's modules load.
OPTIONAL = (
    "garnetrelay.config.addresses",
    "garnetrelay.config.controller",
    "garnetrelay.config.fleet",
    "garnetrelay.config.leases",
    "garnetrelay.fleet",
    "garnetrelay.operators",
    "garnetrelay.store.durability",
    "garnetrelay.handover",
)

# What only tools need (requirements-tools.txt); the deployed relay does without.
TOOLS = frozenset({"click", "jinja2", "matplotlib", "rich"})
TOOL_PARTS = ("garnetrelay.cli", "garnetrelay.rehearsal", "garnetrelay.simulation")


class Import(NamedTuple):
    """One import in the source text."""

    target: str  # the dotted name, of a module where it is one of ours
    line: int
    loads: bool  # it runs as its module loads: not for types only, and in no function


def under(name: str, parts: tuple[str, ...]) -> bool:
    """Whether a module is one of the parts or inside one."""
    return any(name == part or name.startswith(part + ".") for part in parts)


def sources() -> dict[str, str]:
    """The text of each module of the product, by its dotted name."""
    found = {}
    for package in PRODUCT:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path.read_text()
    return found


parsed = functools.cache(ast.parse)  # each rule reads all sources


def imports_of(text: str, modules: Mapping[str, object]) -> list[Import]:
    """All imports of a module."""
    return list(_imports(parsed(text), modules, loads=True))


def _imports(node: ast.AST, modules: Mapping[str, object], loads: bool) -> Iterator[Import]:
    for child in ast.iter_child_nodes(node):
        match child:
            case ast.Import(names):
                for alias in names:
                    yield Import(alias.name, child.lineno, loads)
            case ast.ImportFrom(module, names, 0) if module is not None:
                for alias in names:
                    inside = f"{module}.{alias.name}"
                    yield Import(inside if inside in modules else module, child.lineno, loads)
            case ast.ImportFrom():
                yield Import("." * child.level + (child.module or ""), child.lineno, loads)
            case ast.FunctionDef() | ast.AsyncFunctionDef() | ast.Lambda():
                yield from _imports(child, modules, loads=False)
            case ast.If(ast.Name("TYPE_CHECKING")):
                for inner in child.body:
                    yield from _imports(ast.Module([inner], []), modules, loads=False)
                for inner in child.orelse:
                    yield from _imports(ast.Module([inner], []), modules, loads)
            case _:
                yield from _imports(child, modules, loads)


def part_of(module: str) -> str | None:
    """The part of LAYERS that a module belongs to; ``garnetrelay`` itself stands only for its bare ``__init__``."""
    parts = [part for layer in LAYERS for part in layer if under(module, (part,))]
    part = max(parts, key=len, default=None)
    return None if part == "garnetrelay" and module != part else part


def layer_of(part: str) -> int:
    """How high a part stands."""
    return next(number for number, layer in enumerate(LAYERS) if part in layer)


def broken_layers(modules: Mapping[str, str]) -> list[str]:
    """Each import of what does not stand below."""
    broken = []
    for module, text in modules.items():
        part = part_of(module)
        if part is None:
            broken.append(f"{module}: in no layer: give it a place in LAYERS and in docs/ARCHITECTURE.md")
            continue
        for found in imports_of(text, modules):
            other = part_of(found.target) if under(found.target, PRODUCT) else part
            if found.target.startswith("."):
                broken.append(f"{module}:{found.line}: imports are absolute, not {found.target}")
            elif other is not None and other != part and layer_of(other) >= layer_of(part):
                broken.append(f"{module}:{found.line}: {found.target} is not below {part}")
    return broken


def broken_outside(modules: Mapping[str, str]) -> list[str]:
    """Imports of tests by the product, of the machine by decisions, of tools' libraries by the relay."""
    broken = []
    for module, text in modules.items():
        for found in imports_of(text, modules):
            top = found.target.partition(".")[0]
            if top in ("tests", "benchmarks"):
                broken.append(f"{module}:{found.line}: the product may not import {found.target}")
            if top in MACHINE and under(module, DECISIONS) and not under(module, PROGRAMS):
                broken.append(f"{module}:{found.line}: decides, and may not import {top}")
            if top in TOOLS and not under(module, TOOL_PARTS):
                broken.append(f"{module}:{found.line}: the relay does without {top}, which only tools have")
    return broken


def broken_options(modules: Mapping[str, str]) -> list[str]:
    """Features that are off and are loaded all the same."""
    return [
        f"{module}:{found.line}: {found.target} may be off, and is loaded with the daemon"
        for module, text in modules.items()
        if not under(module, OPTIONAL + TOOL_PARTS)
        for found in imports_of(text, modules)
        if found.loads and under(found.target, OPTIONAL)
    ]


def circles(modules: Mapping[str, str]) -> list[str]:
    """Modules that import each other, by whatever way round: one line a circle."""
    edges = {
        module: sorted({found.target for found in imports_of(text, modules)} & modules.keys() - {module})
        for module, text in modules.items()
    }
    found: list[str] = []
    finished: set[str] = set()

    def visit(module: str, path: list[str]) -> None:
        if module in path:
            found.append(" -> ".join([*path[path.index(module) :], module]))
        elif module not in finished:
            for target in edges[module]:
                visit(target, [*path, module])
            finished.add(module)

    for module in edges:
        visit(module, [])
    return found


def test_each_part_imports_only_what_stands_below_it() -> None:
    assert broken_layers(sources()) == []


def test_decisions_ask_nothing_of_the_machine_and_the_relay_needs_no_tools() -> None:
    assert broken_outside(sources()) == []


def test_what_is_off_is_not_loaded() -> None:
    assert broken_options(sources()) == []


def test_no_modules_import_each_other_in_a_circle() -> None:
    assert circles(sources()) == []


def layers_of(page: str) -> list[set[str]]:
    """The layers as the page has them, from the bottom up, by the modules' dotted names."""
    table = page.partition("| layer, from the top | parts |")[2].partition("\n\n")[0]
    rows = [re.findall(r"`([\w/]+)`", line) for line in table.splitlines()[2:]]
    return [
        {row if row.startswith("starlingwick") else f"garnetrelay/{row}" for row in cells} for cells in reversed(rows)
    ]


def test_the_page_has_the_same_layers() -> None:
    page = (ROOT / "docs/ARCHITECTURE.md").read_text()
    expected = [{part.replace(".", "/") for part in layer} - {"garnetrelay"} for layer in LAYERS]
    assert layers_of(page) == expected


def test_every_part_that_a_rule_names_exists() -> None:
    modules = sources()
    for part in (*itertools.chain(*LAYERS), *DECISIONS, *PROGRAMS, *OPTIONAL, *TOOL_PARTS):
        assert any(under(name, (part,)) for name in modules), f"a rule names {part}, which is gone"


# Planted faults: a module's text that breaks one rule, and what is said of it.
PLANTED = {
    "a lower part imports a higher": (
        {"garnetrelay.store.x": "from garnetrelay.config import y", "garnetrelay.config.y": ""},
        ["garnetrelay.store.x:1: garnetrelay.config.y is not below garnetrelay.store"],
    ),
    "a neighbour, for types only": (
        {
            "garnetrelay.fronts.x": "import io\nif TYPE_CHECKING:\n    import garnetrelay.delivery.y",
            "garnetrelay.delivery.y": "",
        },
        ["garnetrelay.fronts.x:3: garnetrelay.delivery.y is not below garnetrelay.fronts"],
    ),
    "the Pacer imports the relay": (
        {"starlingwick.x": "def f():\n    from garnetrelay.store import y", "garnetrelay.store.y": ""},
        ["starlingwick.x:2: garnetrelay.store.y is not below starlingwick"],
    ),
    "a package without a layer": (
        {"garnetrelay.new.x": ""},
        ["garnetrelay.new.x: in no layer: give it a place in LAYERS and in docs/ARCHITECTURE.md"],
    ),
    "a relative import": (
        {"garnetrelay.store.x": "from . import y"},
        ["garnetrelay.store.x:1: imports are absolute, not ."],
    ),
    "a decision reads the clock": (
        {"garnetrelay.fleet.leases.x": "import time"},
        ["garnetrelay.fleet.leases.x:1: decides, and may not import time"],
    ),
    "the relay imports a tool's library": (
        {"garnetrelay.relay": "from rich.table import Table"},
        ["garnetrelay.relay:1: the relay does without rich, which only tools have"],
    ),
    "the product imports tests": (
        {"garnetrelay.relay": "import tests.helpers"},
        ["garnetrelay.relay:1: the product may not import tests.helpers"],
    ),
    "a feature that may be off is loaded": (
        {"garnetrelay.relay": "if True:\n    import garnetrelay.fleet.x", "garnetrelay.fleet.x": ""},
        ["garnetrelay.relay:2: garnetrelay.fleet.x may be off, and is loaded with the daemon"],
    ),
    "a circle of three, one for types only": (
        {
            "garnetrelay.store.x": "import garnetrelay.store.y",
            "garnetrelay.store.y": "def f():\n    from garnetrelay.store import z",
            "garnetrelay.store.z": "if TYPE_CHECKING:\n    from garnetrelay.store.x import X",
        },
        ["garnetrelay.store.x -> garnetrelay.store.y -> garnetrelay.store.z -> garnetrelay.store.x"],
    ),
}


@pytest.mark.parametrize("fault", PLANTED)
def test_a_planted_fault_is_said(fault: str) -> None:
    modules, said = PLANTED[fault]
    assert broken_layers(modules) + broken_outside(modules) + broken_options(modules) + circles(modules) == said


def test_what_is_allowed_is_not_said() -> None:
    modules = {
        "garnetrelay.relay": "def f():\n    import garnetrelay.fleet.x\nif TYPE_CHECKING:\n    import garnetrelay.fleet",
        "garnetrelay.fleet.x": "import asyncio, garnetrelay.fleet.members.y",
        "garnetrelay.fleet.members.y": "import msgspec",
        "garnetrelay.cli.z": "import click, garnetrelay.rehearsal.w",
        "garnetrelay.rehearsal.w": "import rich",
        "starlingwick.wirehost": "import sys, time",
    }
    assert broken_layers(modules) + broken_outside(modules) + broken_options(modules) + circles(modules) == []
