"""The list of tests that are expected to fail is read strictly and names only tests that exist."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent


def line(number: int) -> str:
    return f"tests/test_x.py::test_{number} | a cause | {number}\n"


def test_lines_and_comments_are_parsed() -> None:
    listed = known_red.read("# a comment\n\n" + line(1))
    assert listed == [known_red.KnownRed("tests/test_x.py::test_1", "a cause", "1")]


@pytest.mark.parametrize(
    "text",
    [
        "".join(map(line, range(known_red.MAX_LISTED + 1))),
        line(1) + line(1),
        "tests/test_x.py::test_1 | a cause",
        "tests/test_x.py | a cause | 1",
        "tests/test_x.py::test_1 | | 1",
    ],
    ids=["too many", "twice", "no issue", "no test", "no cause"],
)
def test_an_invalid_list_is_an_error(text: str) -> None:
    with pytest.raises(known_red.KnownRedError):
        known_red.read(text)


def test_each_listed_test_exists() -> None:
    for known in known_red.listed_now():
        path, _, name = known.test.partition("::")
        assert f"def {name}(" in (ROOT / path).read_text()


CONFTEST = """
import pytest
from tests.conftest import pytest_collection_modifyitems, pytest_terminal_summary
"""


@pytest.mark.parametrize(("body", "status"), [("assert False", 0), ("assert True", 1)], ids=["fails", "passes"])
def test_a_listed_test_has_to_fail_and_is_named_in_the_summary(
    body: str, status: int, pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch
) -> None:
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_x=f"def test_1():\n    {body}\n")
    list_file = pytester.path / "KNOWN-RED.txt"
    list_file.write_text("test_x.py::test_1 | a cause | 1\n")
    monkeypatch.setattr(known_red, "LIST", list_file)
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    assert result.ret == status
    result.stdout.fnmatch_lines(["*KNOWN RED test_x.py::test_1: a cause (issue 1)*"])


def test_a_failure_of_an_unlisted_test_is_a_failure(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> None:
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_x="def test_1():\n    assert False\ndef test_2():\n    assert False\n")
    list_file = pytester.path / "KNOWN-RED.txt"
    list_file.write_text("test_x.py::test_1 | a cause | 1\n")
    monkeypatch.setattr(known_red, "LIST", list_file)
    assert pytester.runpytest_inprocess("-p", "no:cacheprovider").ret == 1
