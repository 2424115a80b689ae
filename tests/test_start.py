"""What a start of the relay does until it listens, and what the deploy file's `build` leaves for it."""

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
    """What an interpreter of its own prints."""
    told = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    return told.stdout.strip()


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """The modules as they are checked out, beside nothing else."""
    for package in PACKAGES:
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    return tmp_path


def build(root: Path, path: str | None = None) -> int:
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"} | ({} if path is None else {"PATH": path})
    return subprocess.run(["/bin/sh", "-c", starts.deployed("build")], cwd=root, env=environment).returncode


def test_build_compiles_every_module_where_the_venv_is_there_already(root: Path) -> None:
    """At `run` nothing can be written, and each start would compile them anew."""
    (root / ".venv" / "bin").mkdir(parents=True)
    (root / ".venv" / "bin" / "python").symlink_to(sys.executable)
    assert build(root) == 0
    modules = [file for package in PACKAGES for file in (root / package).rglob("*.py")]
    assert modules and all(Path(importlib.util.cache_from_source(str(file))).exists() for file in modules)


def test_build_serves_without_compiled_modules_and_fails_without_its_venv(root: Path) -> None:
    (root / "garnetrelay" / "spoilt.py").write_text("def\n")  # no start imports it
    (root / ".venv" / "bin").mkdir(parents=True)
    (root / ".venv" / "bin" / "python").symlink_to(sys.executable)
    assert build(root) == 0
    shutil.rmtree(root / ".venv")
    (root / "python3").write_text("#!/bin/sh\nexit 1\n")
    (root / "python3").chmod(0o755)
    assert build(root, f"{root}:/usr/bin:/bin") != 0


def test_sighup_is_minded_ahead_of_the_imports() -> None:
    """They are nearly all of a start."""
    late = ("asyncio", "logging", "ssl", "json", "dataclasses", "garnetrelay.daemon", "garnetrelay.relay", "starlingwick")
    assert run(f"import sys, garnetrelay.__main__\nprint([name for name in {late} if name in sys.modules])") == "[]"


def test_what_is_garbage_is_collected_again_behind_the_imports() -> None:
    """From the configuration on, with the modules still alive."""
    code = (
        "import gc, garnetrelay.__main__ as program\nfrom garnetrelay import daemon\n"
        "daemon.run = lambda early: print(gc.isenabled(), early) or 0\nprogram.main()"
    )
    assert run(code) == "True []"


@pytest.mark.parametrize("in_order", [False, True])
def test_a_start_with_the_fullest_journal_takes_up_all_with_one_thread(tmp_path: Path, in_order: bool) -> None:
    """The journal has no room for one more message, and its files are nearly as large as the disk."""
    settings = starts.environment(tmp_path, 1, in_order)
    filled = starts.fill(Path(settings["RELAY_STATE"]), 1_000_000, seed=1, cleaned=False)
    assert filled.live > 100 and filled.size > starts.NEARLY_FULL * 1_000_000
    command = starts.deployed("run").replace(".venv/bin/python", sys.executable)
    started = starts.start(command, settings)
    assert started.threads == 1 and started.picked_up == filled.live
