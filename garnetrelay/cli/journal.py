"""`garnetrelay journal`: inspects a state folder, also a live relay's, and changes nothing."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from garnetrelay.store import format as fmt
from garnetrelay.store import legacy
from garnetrelay.store.format import Kind, LaterVersionError
from garnetrelay.store.reading import iter_records, load, segment_number
from garnetrelay.store.storage import Folder, round_to_blocks

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group()
def command() -> None:
    """Verify, show or measure the journal in a relay's state FOLDER. It changes nothing and may run beside the relay."""


@command.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read all records. The exit status is 0 if every byte is readable, except for a tail that is being written."""
    try:
        index, problems = load(Folder(folder))
    except (LaterVersionError, OSError) as error:
        raise click.ClickException(str(error)) from None
    for line in problems:
        click.echo(line)
    newest = max(index.segments, default=0)
    records = sum(segment.records for segment in index.segments.values())
    unsealed = [n for n, segment in index.segments.items() if not segment.sealed and n != newest]
    for number in unsealed:
        click.echo(f"segment {number} has no seal")
    uncertain = sum(entry.uncertain for entry in index.entries.values())
    click.echo(
        f"{len(index.segments)} segments, {records} records, {len(index.entries)} live messages, "
        f"{uncertain} uncertain"
    )
    if (folder / legacy.NAME).exists():
        click.echo("a journal of an earlier version will be imported at the next start")
    sys.exit(1 if unsealed or any(not _in_newest_segment(line, newest) for line in problems) else 0)


def _in_newest_segment(line: str, newest: int) -> bool:
    """Whether the problem is in the newest segment, which a live relay may be writing to."""
    return segment_number(line.partition(":")[0]) == newest


@command.command()
@FOLDER
@click.option("--records", is_flag=True, help="Show every record in order instead of the live messages.")
@click.option("--ref", help="Show one message only.")
def show(folder: Path, records: bool, ref: str | None) -> None:
    """The live messages, one in a line, or every record."""
    try:
        if records:
            for name, found in iter_records(Folder(folder)):
                line = _describe(found)
                if ref is None or ref in line.split():
                    click.echo(f"{name} {line}")
            return
        index, _ = load(Folder(folder))
    except (LaterVersionError, OSError) as error:
        raise click.ClickException(str(error)) from None
    now = time.time() * 1000
    for entry in index.entries.values():
        if ref is not None and entry.ref != ref:
            continue
        state = f"ended {entry.ended}, notice pending" if entry.ended else "held"
        if entry.trying_at is not None:
            state += f", out since {_age(now, entry.trying_at)} in {entry.trying_zone}"
        if entry.ran_at is not None:
            state += f", may have run {_age(now, entry.ran_at)} ago in {entry.ran_zone}"
        click.echo(
            f"{entry.ref} {entry.klass} to {entry.dest}, key {entry.key}, {len(entry.body)} bytes, "
            f"{(entry.deadline - now) / 1000:.1f} s remaining, {entry.attempts} attempts: {state}"
            f"{', uncertain' if entry.uncertain else ''}"
        )


def _age(now: float, at: int) -> str:
    return f"{(now - at) / 1000:.1f} s"


def _describe(found: fmt.Record | tuple[int, int]) -> str:
    if isinstance(found, tuple):
        return f"{found[0]} unreadable {found[1] - found[0]} bytes"
    try:
        match found.kind:
            case Kind.TAKEN | Kind.STATE:
                entry = fmt.read_entry(found)
                text = f"{entry.ref} {entry.klass} to {entry.dest} {len(entry.body)} bytes {entry.attempts} attempts"
            case Kind.TRY:
                ref, at, zone = fmt.read_try(found)
                text = f"{ref} at {at} in {zone}"
                if (epoch := fmt.read_epoch(found)) is not None:
                    text += f" epoch {epoch}"
            case Kind.OUTCOME:
                ref, ran = fmt.read_outcome(found)
                text = f"{ref} {'may have run' if ran else 'never ran'}"
            case Kind.ENDED:
                ref, result, wait = fmt.read_ended(found)
                text = f"{ref} {result} wait {wait} ms"
            case Kind.GONE:
                text = fmt.read_gone(found)
            case Kind.NOTE if (rest := fmt.read_key_rest(found)) is not None:
                text = f"key {rest.key} rests until {rest.until} in boot {rest.boot.hex()}"
            case Kind.NOTE if (ended := fmt.read_ended_ref(found)) is not None:
                text = f"{ended.ref} {'failed' if ended.failed else 'delivered'}, known until {ended.until}"
            case _:
                text = ""
    except fmt.FormatError as error:
        text = f"invalid: {error}"
    return f"{found.offset} {found.kind.name} {text}".rstrip()


@command.command()
@FOLDER
def stats(folder: Path) -> None:
    """The segments with their live bytes, and the disk usage of all."""
    try:
        index, _ = load(Folder(folder))
    except (LaterVersionError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{'segment':>16}{'bytes':>10}{'live':>10}{'share':>7}{'records':>9}  state")
    for number, segment in sorted(index.segments.items()):
        click.echo(
            f"{number:>16}{segment.size:>10}{segment.live:>10}{segment.live / max(1, segment.size):>7.2f}"
            f"{segment.records:>9}  {'sealed' if segment.sealed else 'open'}"
        )
    used = sum(round_to_blocks(segment.size) for segment in index.segments.values())
    live = max(1, index.live)
    click.echo(
        f"{used} bytes used, {index.live} live ({used / live:.2f} times), {len(index.entries)} messages, "
        f"{len(index.tombstones)} tombstones"
    )
