"""Use without the wire, malformed input, and random event sequences with an independent check of the rules."""

from __future__ import annotations

import io as streams
import json
import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingwick import interface as io
from starlingwick import wirehost
from tests.helpers import MS, ORDERED, SAFE, UNSAFE, Relay, S, entry

ROOT = Path(__file__).resolve().parent.parent

FACTS = {
    "balancers": 2,
    "classes": [{"aim": 2 * S, "deadline": 20 * S, "idempotency": "dedup", "keyScope": "all"}],
    "discovery": "subscribe",
    "familyInfo": {"callsOut": 8, "kindApart": [False], "perCall": [1]},
    "limits": {"mostHeld": 50, "mostTries": 6},
    "rules": {"fall": 2 * S, "fallMultiple": 2.0, "rampTime": 10 * S, "startCapacity": 0.2, "newKey": 1},
    "unknown": {"deep": [1]},
}

TRANSCRIPT = (
    "sync atTime=1000\neob\n"
    "sync atTime=2000\ninstance relay=3\nup rngSeed=5 facts=" + json.dumps(FACTS) + "\n"
    "catalog buffer=0 entries=1\nm host=10.0.0.1:80 belongsTo=57 availability=Running heft=1\n"
    "roster_change seqNo=1 buffer=0 scope=C\n"
    "new_request call=r-a priority=0 dest=57 patienceLeft=20000000000\neob\n"
    "sync atTime=90002000\ninstance relay=3\n"
    "verdict call=r-a roundNo=0 host=10.0.0.1:80 status=10 costTime=9000 "
    "finished=1 metrics=x0:0.4,x1:2\neob\n"
)


def serve(text: str) -> tuple[int, str]:
    sink = streams.StringIO()
    return wirehost.WireHost(streams.StringIO(text), sink).run(), sink.getvalue()


def test_process_answers_a_transcript() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "starlingwick.wirehost"],
        input=TRANSCRIPT,
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=30,
        check=True,
    )
    assert run.stdout.count("done\n") == 3
    assert "at relay=3\n" in run.stdout and "keep_informed on=1\n" in run.stdout
    assert re.search(r"^pass_on call=r-a host=10\.0\.0\.1:80 stopAt=\d+$", run.stdout, re.M)


def test_halt_and_up_in_one_batch_start_afresh() -> None:
    start = TRANSCRIPT.split("sync atTime=2000\n")[1].split("eob\n")[0]
    text = "sync atTime=1\n" + start + "eob\nsync atTime=2\ninstance relay=3\nhalt\n" + start + "eob\n"
    status, out = serve(text)
    assert status == 0 and out.count("pass_on call=r-a") == 2


@pytest.mark.parametrize(
    "bad, word",
    [
        ("sync atTime=1\ninstance relay=0\nnonsense a=1\neob\n", "nonsense"),
        ("sync atTime=x\neob\n", "atTime"),
        ("sync atTime=1\nalarm ctx=1\neob\n", "instance"),
        ("sync atTime=1\ninstance relay=0\nup rngSeed=1 facts={}\neob\n", "familyInfo"),
        ("sync atTime=1\ninstance relay=0\nalarm ctx=1\neob\n", "not started"),
        ("hello\n", "sync"),
    ],
)
def test_malformed_input_is_reported_and_ends_the_process(
    bad: str, word: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert serve(bad)[0] != 0
    err = capsys.readouterr().err
    assert word in err and err.startswith("line ")


def test_wrong_settings_name_the_field() -> None:
    for changes, field in (({"slots": 0}, "slots"), ({"relays": 0}, "relays")):
        with pytest.raises(ValueError, match=field):
            Relay(entry("a"), **changes)
    with pytest.raises(ValueError, match="fall"):
        Relay(entry("a"), rules={"fall": 0})


def test_module_stays_within_its_size() -> None:
    lines = (ROOT / "starlingwick" / "control.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) < 1200
    for path in sorted((ROOT / "starlingwick").glob("*.py")):
        assert max(map(len, path.read_text().splitlines()), default=0) <= 110, path.name


def test_same_events_and_seed_give_the_same_actions() -> None:
    def run() -> list[str]:
        relay = Relay(entry("a"), entry("b"))
        seen: list[str] = []
        for n in range(60):
            relay.tick(relay.message(n % 3), after=50 * MS)
            seen += map(str, relay.actions)
            status = io.Status.FULL if n % 5 == 0 else io.Status.OK
            for send in relay.sends():
                relay.tick(relay.verdict(send.call, status), after=10 * MS)
                seen += map(str, relay.actions)
        return seen

    assert run() == run()


STATUSES = [s for s in io.Status if s is not io.Status.MOOT]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 20), st.integers(1, 900)), max_size=80))
def test_random_walks_keep_the_rules(steps: list[tuple[int, int, int]]) -> None:
    relay = Relay(entry("a"), entry("b"), limits={"most_held": 30})
    ended: set[str] = set()
    unsafe_ran: set[str] = set()
    classes: dict[str, int] = {}
    due: dict[str, int] = {}
    keyed: list[str] = []
    outstanding: dict[str, io.Send] = {}
    wait_until = 0

    def check() -> None:
        batch_start = True
        for action in relay.actions:
            if isinstance(action, io.Send):
                assert action.call not in ended and action.call not in outstanding
                assert action.call not in unsafe_ran
                assert relay.now >= wait_until or not batch_start
                assert relay.now < due[action.call]
                if classes[action.call] == ORDERED:
                    before = keyed[: keyed.index(action.call)]
                    assert all(name in ended and name not in outstanding for name in before)
                outstanding[action.call] = action
            elif isinstance(action, io.Refuse | io.Fail):
                assert action.call not in ended
                if isinstance(action, io.Refuse):
                    assert action.call not in unsafe_ran
                ended.add(action.call)

    for what, which, gap in steps:
        relay.now += gap * MS
        if what < 5 or not outstanding:
            klass = (SAFE, 1, UNSAFE, ORDERED)[which % 4]
            message = relay.message(klass, key="k" if klass == ORDERED else None)
            classes[message.call], due[message.call] = klass, relay.now + message.patience
            if klass == ORDERED:
                keyed.append(message.call)
            relay.tick(message)
        else:
            name = sorted(outstanding)[which % len(outstanding)]
            status = STATUSES[(which + what) % len(STATUSES)]
            if relay.now >= due[name]:
                status = io.Status.TIMEOUT
            del outstanding[name]
            if status is io.Status.OK:
                ended.add(name)
            elif classes[name] == UNSAFE and status not in (
                io.Status.FULL,
                io.Status.CROWDED,
                io.Status.CONNECT_FAILED,
                io.Status.ABANDONED,
            ):
                unsafe_ran.add(name)
            wait = 500 * MS if status is io.Status.FULL and which % 2 else 0
            if wait:
                wait_until = max(wait_until, relay.now + wait)
            relay.tick(relay.verdict(name, status, wait=wait))
        check()
    for _ in range(len(outstanding)):
        name = next(iter(outstanding))
        del outstanding[name]
        relay.now = max(relay.now, due[name])
        if classes[name] == UNSAFE:
            unsafe_ran.add(name)
        relay.tick(relay.verdict(name, io.Status.TIMEOUT))
        check()
        if not outstanding:
            break
    relay.tick(after=21 * S)
    check()
    while outstanding:
        name, _ = outstanding.popitem()
        relay.tick(relay.verdict(name, io.Status.TIMEOUT), after=30 * S)
        check()
    assert set(classes) == ended


def test_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    run = subprocess.run([sys.executable, "-c", blocks[0]], capture_output=True, text=True, cwd=ROOT, timeout=30)
    assert run.returncode == 0, run.stderr
    assert "call partner-1" in run.stdout


def test_log_lines_named_in_the_readme_are_written_by_the_module() -> None:
    page = (ROOT / "README.md").read_text().partition("## On call")[2]
    module = (ROOT / "starlingwick" / "control.py").read_text()
    intro = page.split("\n\n")[1]
    words = re.findall(r"`([a-z ]+)`", intro)
    written = re.findall(r'self\.log\(f"([a-z ]+) dest=', module)
    assert words and sorted(words) == sorted(written)
