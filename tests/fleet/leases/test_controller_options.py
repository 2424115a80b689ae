"""The options file of a controller and the `[fleet.leases]` table of a relay; each error is reported in one line."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from garnetrelay.cli.controller import command
from garnetrelay.config import controller, options
from garnetrelay.fleet.leases.settings import MS, SECOND, Settings
from garnetrelay.fleet.members.claims import SocketAddress

SECRET = "a secret of the tests\n"
THREE = 'controllers = ["10.0.0.1:7960", "10.0.0.2:7960", "10.0.0.3:7960"]\n'
VALID = f'number = 1\nlisten = "0.0.0.0:7960"\nfolder = "state"\nsecret_file = "secret"\n{THREE}'
RELAY = f'[fleet]\nlisten = "127.0.0.1:0"\nsecret_file = "secret"\n[fleet.leases]\n{THREE}'


def written(folder: Path, text: str, secret: str | None = SECRET) -> Path:
    (folder / "options.toml").write_text(text)
    if secret is not None:
        (folder / "secret").write_text(secret)
    return folder / "options.toml"


def replaced(old: str, new: str) -> str:
    assert old in VALID
    return VALID.replace(old, new)


def test_a_valid_file_is_read(tmp_path: Path) -> None:
    found = controller.read(written(tmp_path, VALID + "partitions = 64\nlease_ms = 3000\n"))
    assert found.number == 1 and found.listen == SocketAddress("0.0.0.0", 7960) and len(found.addresses) == 3
    assert found.folder == tmp_path / "state" and found.operators is None
    assert (found.settings.controllers, found.settings.partitions, found.settings.lease) == (3, 64, 3 * SECOND)


def test_a_relay_and_a_controller_with_the_same_settings_have_the_same_fingerprint(tmp_path: Path) -> None:
    common = "partitions = 64\nlease_ms = 3000\n"
    found = controller.read(written(tmp_path, VALID + common))
    fleet = options.read(written(tmp_path, RELAY + common + "renew_every_ms = 500\nwrite_margin_ms = 10\n"), "r1")[1]
    assert fleet is not None and fleet.leases is not None
    assert fleet.leases.settings.fingerprint == found.settings.fingerprint and fleet.leases.addresses == found.addresses
    assert (fleet.leases.settings.renew_every, fleet.leases.settings.write_margin) == (500 * MS, 10 * MS)


def test_options_that_are_not_set_have_the_default_values(tmp_path: Path) -> None:
    fleet = options.read(written(tmp_path, RELAY), "r1")[1]
    assert fleet is not None and fleet.leases is not None
    assert fleet.leases.settings == Settings(controllers=3)


def test_without_the_table_there_are_no_leases(tmp_path: Path) -> None:
    fleet = options.read(written(tmp_path, RELAY.partition("[fleet.leases]")[0]), "r1")[1]
    assert fleet is not None and fleet.leases is None


@pytest.mark.parametrize(
    "text, message",
    [
        (replaced("number = 1", "number = 3"), "number: 3 of 3 controllers: they are counted from 0"),
        (replaced("number = 1", "number = -1"), "number"),
        (replaced(', "10.0.0.3:7960"', ""), "controllers: 2 addresses, and there are 3, 5, 7 or 9"),
        (replaced("10.0.0.3", "10.0.0.2"), "controllers: one stands twice"),
        (replaced("10.0.0.3", "0.0.0.0"), "controllers: nobody can be reached at '0.0.0.0:7960'"),
        (replaced("10.0.0.3:7960", "controller.example:7960"), "controllers: 'controller.example:7960' is not IP:port"),
        (replaced("0.0.0.0:7960", "0.0.0.0:0"), "listen: port 0"),
        (replaced("0.0.0.0:7960", "here"), "listen: 'here' is not IP:port"),
        (VALID + "partitions = 100\n", "partitions: 100 is not a power of two"),
        (VALID + "lease_ms = 100\n", "lease_ms"),
        (VALID + 'operators = "here"\n', "operators: 'here' is not host:port"),
        (VALID + "renew_every_ms = 100\n", "renew_every_ms"),  # an option of relays
        (VALID + "speed = 1\n", "speed"),
        (replaced('folder = "state"\n', ""), "folder"),
        ("number = ", "Invalid value"),
    ],
)
def test_an_error_in_a_controllers_file_is_reported_in_one_line(tmp_path: Path, text: str, message: str) -> None:
    result = CliRunner().invoke(command, [str(written(tmp_path, text))])
    assert result.exit_code == 2 and message in result.output
    assert result.output.startswith(f"garnetrelay: {tmp_path / 'options.toml'}: ") and result.output.count("\n") == 1


@pytest.mark.parametrize(
    "more, message",
    [
        ("renew_every_ms = 8000", "fleet.leases.renew_every_ms: 8000 and a patience of 2000 take over half a lease"),
        ("write_margin_ms = 9900", "fleet.leases.write_margin_ms: 9900, and lease and renewals leave"),
        ("partitions = 3", "fleet.leases.partitions: 3 is not a power of two"),
        ("lease = 3", "fleet.leases: "),
    ],
)
def test_an_error_in_a_relays_table_is_reported_in_one_line(tmp_path: Path, more: str, message: str) -> None:
    with pytest.raises(ValueError) as error:
        options.read(written(tmp_path, f"{RELAY}{more}\n"), "r1")
    assert message in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("secret", [None, "short\n"])
def test_an_unusable_secret_is_reported_in_one_line(tmp_path: Path, secret: str | None) -> None:
    result = CliRunner().invoke(command, [str(written(tmp_path, VALID, secret))])
    assert result.exit_code == 2 and "secret" in result.output and result.output.count("\n") == 1


def test_check_reports_the_controller_and_changes_nothing(tmp_path: Path) -> None:
    result = CliRunner().invoke(command, [str(written(tmp_path, VALID)), "--check"])
    assert result.exit_code == 0 and "good: controller 1 of 3" in result.output
    assert not (tmp_path / "state").exists()


def test_initialize_works_only_once(tmp_path: Path) -> None:
    path = str(written(tmp_path, VALID))
    assert CliRunner().invoke(command, [path, "--initialize"]).exit_code == 0
    before = (tmp_path / "state" / "grants").read_bytes()
    again = CliRunner().invoke(command, [path, "--initialize"])
    assert again.exit_code == 1 and "there is one already" in again.output and again.output.count("\n") == 1
    assert (tmp_path / "state" / "grants").read_bytes() == before


def test_a_controller_does_not_start_with_the_folder_of_another(tmp_path: Path) -> None:
    path = str(written(tmp_path, VALID))
    assert CliRunner().invoke(command, [path, "--initialize"]).exit_code == 0
    result = CliRunner().invoke(command, [str(written(tmp_path, replaced("number = 1", "number = 2")))])
    assert result.exit_code == 1 and "of controller 1, not 2" in result.output and result.output.count("\n") == 1
