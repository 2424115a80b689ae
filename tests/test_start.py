"""The start of a relay up to its listening socket, and the result of the deploy file's `build` step."""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks import starts

ROOT = Path(__file__).parent.parent
PACKAGES = ("garnetrelay", "starlingwick")


def run(code: str) -> str:
    """The output of a separate interpreter that runs this code."""
    completed = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    return completed.stdout.strip()


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """A folder with only the modules of the checkout."""
    for package in PACKAGES:
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    return tmp_path


def build(root: Path, path: str | None = None) -> int:
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"} | ({} if path is None else {"PATH": path})
    return subprocess.run(["/bin/sh", "-c", starts.deployed("build")], cwd=root, env=environment).returncode


def test_build_compiles_every_module_where_the_venv_is_there_already(root: Path) -> None:
    """The folder is read-only at `run`: without compiled modules, each start would compile them again."""
    (root / ".venv" / "bin").mkdir(parents=True)
    (root / ".venv" / "bin" / "python").symlink_to(sys.executable)
    assert build(root) == 0
    modules = [file for package in PACKAGES for file in (root / package).rglob("*.py")]
    assert modules and all(Path(importlib.util.cache_from_source(str(file))).exists() for file in modules)


def test_build_serves_without_compiled_modules_and_fails_without_its_venv(root: Path) -> None:
    (root / "garnetrelay" / "malformed.py").write_text("def\n")  # no start imports it
    (root / ".venv" / "bin").mkdir(parents=True)
    (root / ".venv" / "bin" / "python").symlink_to(sys.executable)
    assert build(root) == 0
    shutil.rmtree(root / ".venv")
    (root / "python3").write_text("#!/bin/sh\nexit 1\n")
    (root / "python3").chmod(0o755)
    assert build(root, f"{root}:/usr/bin:/bin") != 0


def test_sighup_is_handled_before_the_imports() -> None:
    """The imports take nearly all of the start time."""
    late = ("asyncio", "logging", "ssl", "json", "dataclasses", "garnetrelay.daemon", "garnetrelay.relay", "starlingwick")
    assert run(f"import sys, garnetrelay.__main__\nprint([name for name in {late} if name in sys.modules])") == "[]"


def test_garbage_collection_is_enabled_again_after_the_imports() -> None:
    """It is on when the daemon runs, from the loading of the configuration on."""
    code = (
        "import gc, garnetrelay.__main__ as program\nfrom garnetrelay import daemon\n"
        "daemon.run = lambda early_sighups: print(gc.isenabled(), early_sighups) or 0\nprogram.main()"
    )
    assert run(code) == "True []"


@pytest.mark.parametrize("in_order", [False, True])
def test_a_start_with_the_fullest_journal_restores_all_with_one_thread(tmp_path: Path, in_order: bool) -> None:
    """The journal has no space for another message, and its files are nearly as large as the disk limit."""
    settings = starts.environment(tmp_path, 1, in_order)
    filled = starts.fill(Path(settings["RELAY_STATE"]), 1_000_000, seed=1, cleaned=False)
    assert filled.live > 100 and filled.size > starts.NEARLY_FULL * 1_000_000
    command = starts.deployed("run").replace(".venv/bin/python", sys.executable)
    started = starts.start(command, settings)
    assert started.threads == 1 and started.picked_up == filled.live
