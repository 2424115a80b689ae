"""Lists, configuration files and journals with many entries: all are read, and a list that is too long is refused."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from benchmarks.capacity import journal, lists
from benchmarks.capacity.files import configuration, listing
from garnetrelay.config.deployment import load
from garnetrelay.discovery.host_list import MAX_VERSION_BYTES, ListReader
from garnetrelay.store.store import Store


@pytest.mark.parametrize("destinations", [26, 260])
def test_a_configuration_file_is_read_with_all_its_hosts(tmp_path: Path, destinations: int) -> None:
    config = load({"RELAY_NAME": "n", **configuration(tmp_path, destinations)})
    update = ListReader(config).read(config.known_hosts)
    assert len(update.entries) == 2 * destinations
    assert len(update.addresses) == 2 * destinations
    assert len({entry.dest for entry in update.entries}) == destinations


def test_a_watch_reads_a_list_up_to_its_limit_and_refuses_a_longer_one() -> None:
    """The capacity page names this limit: 4 MB, some 13,000 destinations."""
    entry_bytes = len(json.dumps(listing(100, "Ready"))) / 100
    fits, too_many = int(MAX_VERSION_BYTES / entry_bytes * 0.95), int(MAX_VERSION_BYTES / entry_bytes * 1.05)
    assert not lists.refuses(json.dumps(listing(fits, "Ready")).encode() + b"\n")
    assert lists.refuses(json.dumps(listing(too_many, "Ready")).encode() + b"\n")


def test_a_journal_of_ten_times_the_messages_takes_at_most_ten_times_the_disk_and_all_are_recovered(
    tmp_path: Path,
) -> None:
    used = []
    for messages in (300, 3_000):
        folder = tmp_path / str(messages)
        folder.mkdir()
        journal.write(folder, messages, 20)
        store = Store.open(folder, journal.DISK)
        assert len(store.entries) == messages
        assert {entry.dest for entry in store.entries.values()} == set(range(20))
        store.close()
        used.append(sum(path.stat().st_size for path in folder.iterdir()))
    assert used[1] <= 10 * used[0]
