"""Days of the simulator with other ranges: a copy of a site file in a temporary folder, changed, played, thrown away."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

Change = tuple[str, str, str]  # table, key, value as TOML


def changed(text: str, changes: list[Change]) -> str:
    """A site file with other values; ValueError where a table is missing."""
    lines = text.splitlines()
    for table, key, value in changes:
        heads = [place for place, line in enumerate(lines) if re.fullmatch(rf"\[{re.escape(table)}\]\s*(#.*)?", line)]
        if table and not heads:
            raise ValueError(f"no table [{table}]")
        begin = heads[0] + 1 if table else 0
        end = next((place for place in range(begin, len(lines)) if lines[place].startswith("[")), len(lines))
        for place in range(begin, end):
            if re.match(rf"{re.escape(key)}\s*=", lines[place]):
                lines[place] = f"{key} = {value}"
                break
        else:
            lines.insert(begin, f"{key} = {value}")
    made = "\n".join(lines) + "\n"
    tomllib.loads(made)
    return made


def play(kit: Path, site: str, relays: int, peers: bool, price: float, stock: str, quick: bool, why: str) -> int:
    """Score one site with so many relays on every day; the exit status of the kit's program."""
    changes: list[Change] = [
        ("scale", "balancers", f"[{relays}, {relays + 1}]"),
        ("scale", "big_balancers", f"[{relays}, {relays + 1}]"),
    ]
    if peers:
        changes += [("allow", "peers", "true"), ("prices", "peer", f"{price:g}")]
    if stock:
        changes.append(("", "stock", f'"{stock}"'))
    with tempfile.TemporaryDirectory(prefix="site-") as folder:
        sites = Path(folder) / "sites"
        shutil.copytree(kit / "sites", sites)
        copy = sites / f"{site}.toml"
        copy.write_text(changed(copy.read_text(), changes))
        words = [str(kit / "bin" / "lbsim"), "score", str(copy), "--why", why, *(["--quick"] if quick else [])]
        sys.stdout.flush()
        return subprocess.run(words, check=False).returncode
