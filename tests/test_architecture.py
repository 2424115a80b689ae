"""Checks the import rules of docs/ARCHITECTURE.md on the source text; the modules are not imported.

Every import counts, also one inside a function or for types only: to a reader, a type's import is a dependency too.
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
# the longest prefix of its name, so that a new subpackage follows its package's rules until it has rules of its own.
LAYERS: tuple[tuple[str, ...], ...] = (
    ("starlingwick",),
    ("garnetrelay.fleet.signing", "garnetrelay.ownership"),
    (
        "garnetrelay",
        "garnetrelay.store",
        "garnetrelay.boot",
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
    (
        "garnetrelay.platform",
        "garnetrelay.pending",
        "garnetrelay.recorded_times",
        "garnetrelay.key_rests",
        "garnetrelay.host_table",
    ),
    ("garnetrelay.handover", "garnetrelay.ends"),
    ("garnetrelay.operators",),
    ("garnetrelay.fleet",),
    ("garnetrelay.attempt", "garnetrelay.intake", "garnetrelay.probe", "garnetrelay.recovery", "garnetrelay.shutdown"),
    ("garnetrelay.relay", "garnetrelay.simulation", "starlingwick.wirehost"),
    ("garnetrelay.daemon",),
    ("garnetrelay.__main__", "garnetrelay.rehearsal"),
    ("garnetrelay.cli",),
)

# Decision logic: it is given events and times, and neither reads from nor acts on the operating system.
DECISION_LOGIC = (
    "starlingwick",
    "garnetrelay.counters",
    "garnetrelay.ends.held",
    "garnetrelay.fleet.leases",
    "garnetrelay.fleet.members",
    "garnetrelay.fleet.partitions",
    "garnetrelay.fleet.signing",
    "garnetrelay.fronts.resp.command_queue",
    "garnetrelay.fronts.resp.commands",
    "garnetrelay.fronts.resp.request_memory",
    "garnetrelay.fronts.resp.requests",
    "garnetrelay.loop_lag",
    "garnetrelay.operators.commands",
    "garnetrelay.operators.metrics",
    "garnetrelay.rehearsal.checker",
    "garnetrelay.store.compaction_policy",
    "garnetrelay.store.ended_refs",
    "garnetrelay.store.format",
    "garnetrelay.store.index",
    "garnetrelay.discovery.host_list",
    "garnetrelay.discovery.watches",
    "garnetrelay.recorded_times",
    "garnetrelay.key_rests",
    "garnetrelay.recovery_stats",
    "garnetrelay.handover.protocol",
    "garnetrelay.handover.learned",
)
PROGRAMS = ("starlingwick.wirehost",)  # under a name above, but a program that runs the decision logic
OS_MODULES = frozenset(
    "asyncio concurrent fcntl multiprocessing os pathlib secrets select selectors shutil signal socket subprocess "
    "tempfile threading time".split()
)

# Off unless the configuration enables it, and imported only where it starts: never while the daemon's modules load.
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

# Libraries of the tools only (requirements-tools.txt); the deployed relay does not have them.
TOOLS = frozenset({"click", "hiredis", "jinja2", "matplotlib", "rich"})
TOOL_PARTS = ("garnetrelay.cli", "garnetrelay.rehearsal", "garnetrelay.simulation")


class Import(NamedTuple):
    """One import in the source text."""

    target: str  # the dotted name; a module's name for imports from this product
    line: int
    loads: bool  # executed while its module loads: neither for types only nor inside a function


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
    """The index of a part's layer, from the bottom."""
    return next(number for number, layer in enumerate(LAYERS) if part in layer)


def layer_violations(modules: Mapping[str, str]) -> list[str]:
    """Each import of a part that is not in a lower layer."""
    violations = []
    for module, text in modules.items():
        part = part_of(module)
        if part is None:
            violations.append(f"{module}: in no layer: add it to LAYERS and to docs/ARCHITECTURE.md")
            continue
        for found in imports_of(text, modules):
            other = part_of(found.target) if under(found.target, PRODUCT) else part
            if found.target.startswith("."):
                violations.append(f"{module}:{found.line}: imports are absolute, not {found.target}")
            elif other is not None and other != part and layer_of(other) >= layer_of(part):
                violations.append(f"{module}:{found.line}: {found.target} is not below {part}")
    return violations


def outside_violations(modules: Mapping[str, str]) -> list[str]:
    """Imports of tests by the product, of OS modules by decision logic, and of tools' libraries by the relay."""
    violations = []
    for module, text in modules.items():
        for found in imports_of(text, modules):
            top = found.target.partition(".")[0]
            if top in ("tests", "benchmarks"):
                violations.append(f"{module}:{found.line}: the product may not import {found.target}")
            if top in OS_MODULES and under(module, DECISION_LOGIC) and not under(module, PROGRAMS):
                violations.append(f"{module}:{found.line}: decision logic may not import {top}")
            if top in TOOLS and not under(module, TOOL_PARTS):
                violations.append(f"{module}:{found.line}: only tools may import {top}")
    return violations


def optional_violations(modules: Mapping[str, str]) -> list[str]:
    """Imports that load optional features together with the daemon."""
    return [
        f"{module}:{found.line}: {found.target} is optional, but loaded with the daemon"
        for module, text in modules.items()
        if not under(module, OPTIONAL + TOOL_PARTS)
        for found in imports_of(text, modules)
        if found.loads and under(found.target, OPTIONAL)
    ]


def import_cycles(modules: Mapping[str, str]) -> list[str]:
    """Import cycles, direct or through other modules: one line per cycle."""
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


def test_each_part_imports_only_lower_layers() -> None:
    assert layer_violations(sources()) == []


def test_decision_logic_imports_no_os_modules_and_the_relay_no_tools() -> None:
    assert outside_violations(sources()) == []


def test_optional_features_are_not_loaded_with_the_daemon() -> None:
    assert optional_violations(sources()) == []


def test_there_are_no_import_cycles() -> None:
    assert import_cycles(sources()) == []


def layers_of(page: str) -> list[set[str]]:
    """The layers of the page's table, from the bottom up, by the modules' paths."""
    table = page.partition("| layer, from the top | parts |")[2].partition("\n\n")[0]
    rows = [re.findall(r"`([\w/]+)`", line) for line in table.splitlines()[2:]]
    return [
        {row if row.startswith("starlingwick") else f"garnetrelay/{row}" for row in cells} for cells in reversed(rows)
    ]


def test_the_page_lists_the_same_layers() -> None:
    page = (ROOT / "docs/ARCHITECTURE.md").read_text()
    expected = [{part.replace(".", "/") for part in layer} - {"garnetrelay"} for layer in LAYERS]
    assert layers_of(page) == expected


def test_every_part_that_a_rule_names_exists() -> None:
    modules = sources()
    for part in (*itertools.chain(*LAYERS), *DECISION_LOGIC, *PROGRAMS, *OPTIONAL, *TOOL_PARTS):
        assert any(under(name, (part,)) for name in modules), f"a rule names {part}, which does not exist"


# Injected faults: module texts that break one rule, and the messages expected for them.
INJECTED_FAULTS = {
    "a lower part imports a higher": (
        {"garnetrelay.store.x": "from garnetrelay.config import y", "garnetrelay.config.y": ""},
        ["garnetrelay.store.x:1: garnetrelay.config.y is not below garnetrelay.store"],
    ),
    "a part of the same layer, for types only": (
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
        ["garnetrelay.new.x: in no layer: add it to LAYERS and to docs/ARCHITECTURE.md"],
    ),
    "a relative import": (
        {"garnetrelay.store.x": "from . import y"},
        ["garnetrelay.store.x:1: imports are absolute, not ."],
    ),
    "decision logic reads the clock": (
        {"garnetrelay.fleet.leases.x": "import time"},
        ["garnetrelay.fleet.leases.x:1: decision logic may not import time"],
    ),
    "the relay imports a tool's library": (
        {"garnetrelay.relay": "from rich.table import Table"},
        ["garnetrelay.relay:1: only tools may import rich"],
    ),
    "the product imports tests": (
        {"garnetrelay.relay": "import tests.helpers"},
        ["garnetrelay.relay:1: the product may not import tests.helpers"],
    ),
    "an optional feature is loaded": (
        {"garnetrelay.relay": "if True:\n    import garnetrelay.fleet.x", "garnetrelay.fleet.x": ""},
        ["garnetrelay.relay:2: garnetrelay.fleet.x is optional, but loaded with the daemon"],
    ),
    "a cycle of three, one for types only": (
        {
            "garnetrelay.store.x": "import garnetrelay.store.y",
            "garnetrelay.store.y": "def f():\n    from garnetrelay.store import z",
            "garnetrelay.store.z": "if TYPE_CHECKING:\n    from garnetrelay.store.x import X",
        },
        ["garnetrelay.store.x -> garnetrelay.store.y -> garnetrelay.store.z -> garnetrelay.store.x"],
    ),
}


@pytest.mark.parametrize("fault", INJECTED_FAULTS)
def test_an_injected_fault_is_reported(fault: str) -> None:
    modules, expected = INJECTED_FAULTS[fault]
    assert (
        layer_violations(modules) + outside_violations(modules) + optional_violations(modules) + import_cycles(modules)
        == expected
    )


def test_allowed_imports_are_not_reported() -> None:
    modules = {
        "garnetrelay.relay": "def f():\n    import garnetrelay.fleet.x\nif TYPE_CHECKING:\n    import garnetrelay.fleet",
        "garnetrelay.fleet.x": "import asyncio, garnetrelay.fleet.members.y",
        "garnetrelay.fleet.members.y": "import msgspec",
        "garnetrelay.cli.z": "import click, garnetrelay.rehearsal.w",
        "garnetrelay.rehearsal.w": "import rich",
        "starlingwick.wirehost": "import sys, time",
    }
    assert (
        layer_violations(modules) + outside_violations(modules) + optional_violations(modules) + import_cycles(modules)
        == []
    )
