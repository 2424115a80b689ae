"""The life number on disk, and mistakes in a `[fleet]` table, each reported as one plain line."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnetrelay.config import options
from garnetrelay.fleet import life_file
from garnetrelay.fleet.life_file import LifeFile, StoredLife
from garnetrelay.fleet.members.claims import SocketAddress

SECRET = "a secret of the tests\n"
GOOD = 'listen = "127.0.0.1:0"\nsecret_file = "secret"\n'


def read(folder: Path, table: str, secret: str | None = SECRET, name: str = "r1") -> options.Options:
    (folder / "options.toml").write_text(table)
    if secret is not None:
        (folder / "secret").write_text(secret)
    return options.read(folder / "options.toml", name)[0]


def test_a_life_is_stored(tmp_path: Path) -> None:
    file = LifeFile(tmp_path, True)
    assert file.read() is None
    file.store(3, [SocketAddress("10.0.0.1", number) for number in range(1, 40)])
    stored = LifeFile(tmp_path, False).read()
    assert stored is not None and stored.life == 3 and len(stored.places) == life_file.MAX_ADDRESSES
    assert len((tmp_path / life_file.FILE).read_bytes()) <= life_file.MAX_FILE_BYTES


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: data[:-1],
        lambda data: b"",
        lambda data: data.replace(b"fleet 1", b"fleet 2"),
        lambda data: data.replace(b'"life":3', b'"life":4'),
        lambda data: b"noise" + data,
    ],
)
def test_an_unreadable_file_counts_as_missing(tmp_path: Path, damage: object, caplog: pytest.LogCaptureFixture) -> None:
    (tmp_path / life_file.FILE).write_bytes(damage(life_file.encode(StoredLife(3))))  # type: ignore[operator]
    assert LifeFile(tmp_path, False).read() is None
    assert len(caplog.messages) == 1 and "the others will tell it" in caplog.messages[0]


def test_the_longest_file_fits_its_share_of_the_disk() -> None:
    longest = StoredLife((1 << 40) - 1, [("f" * 39, 65535)] * life_file.MAX_ADDRESSES)
    assert len(life_file.encode(longest)) <= life_file.MAX_FILE_BYTES


@pytest.mark.parametrize(
    "more, message",
    [
        ('lissten = "x"', "lissten"),
        ("probe_every_ms = 10", "probe_every_ms"),
        ("probe_every_ms = 100\nprobe_timeout_ms = 60", "fleet.probe_timeout_ms: half of probe_every_ms at most"),
        ("frames = 3", "frames"),
        ("most_members = 1001", "most_members"),
        ('seeds = ["relay.example:7946"]', "fleet.seeds: 'relay.example:7946' is not IP:port"),
        ('seeds = ["10.0.0.1:1", "10.0.0.1:1"]', "fleet.seeds: one stands twice"),
        ('seeds = ["0.0.0.0:1"]', "fleet.seeds: nobody can be reached at '0.0.0.0:1'"),
        ('advertise = "10.0.0.1:0"', "fleet.advertise: '10.0.0.1:0' is not IP:port"),
        ("suspicion = 0.5", "suspicion"),
        ("zone = 256", "zone"),
        ("zone = -1", "zone"),
        ('zone = "b"', "zone"),
    ],
)
def test_a_mistake_in_the_table_is_one_plain_line(tmp_path: Path, more: str, message: str) -> None:
    with pytest.raises(ValueError) as wrong:
        read(tmp_path, f"[fleet]\n{GOOD}{more}\n")
    assert message in str(wrong.value) and "\n" not in str(wrong.value)


@pytest.mark.parametrize(
    "table, secret, name, message",
    [
        ('[fleet]\nsecret_file = "secret"', SECRET, "r1", "listen"),
        (f"[fleet]\n{GOOD}", None, "r1", "No such file"),
        (f"[fleet]\n{GOOD}", "short\n", "r1", "secret:1: a secret has 16 bytes at least"),
        (f"[fleet]\n{GOOD}", SECRET * 2, "r1", "the two secrets are the same"),
        (f"[fleet]\n{GOOD}", "", "r1", "0 lines"),
        (f"[fleet]\n{GOOD}", SECRET, "a name", "the relay's name 'a name' is not"),
    ],
)
def test_a_mistake_outside_the_table_is_one_plain_line(
    tmp_path: Path, table: str, secret: str | None, name: str, message: str
) -> None:
    with pytest.raises(ValueError) as wrong:
        read(tmp_path, table, secret, name)
    assert message in str(wrong.value) and "\n" not in str(wrong.value)


def test_a_good_table_is_read(tmp_path: Path) -> None:
    (tmp_path / "secret").write_text(SECRET)
    (tmp_path / "options.toml").write_text(
        f'[fleet]\n{GOOD}seeds = ["[::1]:7946", "10.0.0.2:7946"]\nframes = 1\nzone = 6\n'
    )
    found = options.read(tmp_path / "options.toml", "r1")[1]
    assert found is not None and found.seeds == (SocketAddress("::1", 7946), SocketAddress("10.0.0.2", 7946))
    assert found.zone == 6 and found.settings.versions == 1 and found.secrets() == [SECRET.strip().encode()]
