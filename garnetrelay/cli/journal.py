"""`garnetrelay journal`: looks into a state folder, also a live relay's, and changes nothing."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from garnetrelay.store import format as fmt
from garnetrelay.store import legacy
from garnetrelay.store.format import Kind, LaterVersionError
from garnetrelay.store.reading import iter_records, load, segment_number
from garnetrelay.store.storage import Folder, blocks

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group()
def command() -> None:
    """Verify, show or measure the journal in a relay's state FOLDER. Nothing is changed, also beside a live relay."""


@command.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read all of it. The exit status is 0 if every byte could be read, but for a tail that is being written."""
    try:
        index, said = load(Folder(folder))
    except (LaterVersionError, OSError) as error:
        raise click.ClickException(str(error)) from None
    for line in said:
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
        click.echo("a journal of an earlier version waits to be taken over")
    sys.exit(1 if unsealed or any(not _last(line, newest) for line in said) else 0)


def _last(line: str, newest: int) -> bool:
    """Of the newest segment, which a live relay may be writing to."""
    return segment_number(line.partition(":")[0]) == newest


@command.command()
@FOLDER
@click.option("--records", is_flag=True, help="Every record, in its order, in place of what is live.")
@click.option("--ref", help="Of one message only.")
def show(folder: Path, records: bool, ref: str | None) -> None:
    """What is live, a message a line, or every record."""
    try:
        if records:
            for name, found in iter_records(Folder(folder)):
                line = _said(found)
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
        state = f"ended {entry.ended}, not told yet" if entry.ended else "held"
        if entry.trying_at is not None:
            state += f", out since {_ago(now, entry.trying_at)} in {entry.trying_zone}"
        if entry.ran_at is not None:
            state += f", may have run {_ago(now, entry.ran_at)} ago in {entry.ran_zone}"
        click.echo(
            f"{entry.ref} {entry.klass} to {entry.dest}, key {entry.key}, {len(entry.body)} bytes, "
            f"{(entry.deadline - now) / 1000:.1f} s left, {entry.attempts} attempts: {state}"
            f"{', uncertain' if entry.uncertain else ''}"
        )


def _ago(now: float, at: int) -> str:
    return f"{(now - at) / 1000:.1f} s"


def _said(found: fmt.Record | tuple[int, int]) -> str:
    if isinstance(found, tuple):
        return f"{found[0]} unreadable {found[1] - found[0]} bytes"
    try:
        match found.kind:
            case Kind.TAKEN | Kind.STATE:
                entry = fmt.read_entry(found)
                what = f"{entry.ref} {entry.klass} to {entry.dest} {len(entry.body)} bytes {entry.attempts} attempts"
            case Kind.TRY:
                ref, at, zone = fmt.read_try(found)
                what = f"{ref} at {at} in {zone}"
                if (epoch := fmt.read_epoch(found)) is not None:
                    what += f" epoch {epoch}"
            case Kind.OUTCOME:
                ref, ran = fmt.read_outcome(found)
                what = f"{ref} {'may have run' if ran else 'never ran'}"
            case Kind.ENDED:
                ref, result, wait = fmt.read_ended(found)
                what = f"{ref} {result} wait {wait} ms"
            case Kind.GONE:
                what = fmt.read_gone(found)
            case _:
                what = ""
    except fmt.FormatError as error:
        what = f"can't be understood: {error}"
    return f"{found.at} {found.kind.name} {what}".rstrip()


@command.command()
@FOLDER
def stats(folder: Path) -> None:
    """Segments, what is live in each, and what the folder takes."""
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
    used = sum(blocks(segment.size) for segment in index.segments.values())
    live = max(1, index.live)
    click.echo(
        f"{used} bytes used, {index.live} live ({used / live:.2f} times), {len(index.entries)} messages, "
        f"{len(index.tombs)} ends kept for older records"
    )
