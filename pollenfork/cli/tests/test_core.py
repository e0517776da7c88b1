"""The command line from its words to its exit status."""

import io
import json
import pathlib
import subprocess
import sys

import pytest

from pollenfork import clock
from pollenfork import context
from pollenfork import core
from pollenfork import status
from pollenfork.cli import signals
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import front

SCENARIO = {
    "classes": {"morning": {"key": "k", "answer": {"median": 3}}},
    "phases": [{"duration_s": 0.05, "rates": {"morning": 100}}],
}


def run(*args) -> tuple[status.ExitStatus, str, str]:
    env = context.Environment(
        stdin=io.StringIO(),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables={},
        stdout_is_terminal=False,
        stderr_is_terminal=False,
    )
    ended = core.main([str(arg) for arg in args], env)
    return ended, env.stdout.getvalue(), env.stderr.getvalue()


@pytest.fixture
def engine():
    config = configs.EngineConfig(step_ms=0.5, slots=64)
    standin = front.EngineStandin(config, clock.SystemClock())
    yield f"http://{standin.start()}"
    standin.stop()


@pytest.fixture
def scenario(tmp_path):
    path = tmp_path / "scenario.json"
    path.write_text(json.dumps(SCENARIO))
    return path


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("entry",),
        ("trial",),
        ("load",),
        ("explain",),
        ("losses",),
        ("standin",),
        ("standin", "platform"),
        ("standin", "engine"),
        ("standin", "service"),
    ],
)
def test_every_command_has_help_with_an_example(words):
    ended, shown, _ = run(*words, "--help")
    assert ended is status.ExitStatus.SUCCESS
    _, _, examples = shown.partition("Examples:")
    assert " ".join(("pollenfork", *words)) in examples


ROOT = pathlib.Path(__file__).parents[3]
DAWN = str(ROOT / "benchmarks" / "scenarios" / "dawn.json")


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("load",), "--scenario"),
        (("fly",), "fly"),
        (("standin", "engine", "--settings", "/nowhere.json"), "No such file"),
        (("entry", "--settings", "/nowhere.json"), "No such file"),
        (("load", "--scenario", "/nowhere.json", "--to", "x"), "No such file"),
        (("load", "--scenario", DAWN, "--to", "x"), "'x' is no URL"),
        (("load", "--scenario", DAWN, "--to", "http://x:0"), "is no URL"),
        (("load", "--scenario", DAWN, "--to", "http://x:y"), "is no URL"),
    ],
)
def test_a_wrong_command_line_says_what_is_wrong(words, told):
    ended, _, errors = run(*words)
    assert ended is status.ExitStatus.USAGE
    assert told in errors


def test_an_address_that_is_none_is_told():
    ended, _, errors = run("standin", "service", "--listen", "nonsense")
    assert ended is status.ExitStatus.ERROR
    assert errors.startswith("pollenfork: can't listen: ")


def test_a_bad_settings_file_is_refused_with_its_place(tmp_path):
    path = tmp_path / "engine.json"
    path.write_text('{"faults": {"slowdown": 0}}')
    ended, _, errors = run("standin", "engine", "--settings", path)
    assert ended is status.ExitStatus.USAGE
    assert "$.faults.slowdown" in errors


@pytest.mark.parametrize(
    "words", [("standin", "platform"), ("standin", "engine")]
)
def test_a_standin_serves_until_it_is_told_to_stop(
    words, tmp_path, monkeypatch
):
    waits = []
    monkeypatch.setattr(signals, "wait_for_stop", lambda: waits.append(True))
    path = tmp_path / "settings.json"
    path.write_text("{}")
    ended, shown, _ = run(*words, "--settings", path)
    assert ended is status.ExitStatus.SUCCESS
    assert shown.startswith("listening on 127.0.0.1:")
    assert waits == [True]


def test_a_load_run_reports_as_json(engine, scenario):
    words = ("--to", engine, "--engine", engine, "--format", "json")
    ended, shown, _ = run("load", "--scenario", scenario, *words)
    assert ended is status.ExitStatus.SUCCESS
    report = json.loads(shown)
    figures = report["classes"]["morning"]
    assert figures["sent"] == figures["whole"] > 0
    assert report["waste"]["wasted"] == 0


def test_a_load_run_below_the_expected_attainment_says_so(scenario):
    words = ("--to", "127.0.0.1:1", "--expect", "0.5")
    ended, shown, _ = run("load", "--scenario", scenario, *words)
    assert ended is status.ExitStatus.BELOW_TARGET
    assert "failed:ConnectionRefusedError" in shown


def test_an_engine_that_tells_no_runs_is_unreachable(scenario):
    words = ("--to", "127.0.0.1:1", "--engine", "127.0.0.1:1")
    ended, _, errors = run("load", "--scenario", scenario, *words)
    assert ended is status.ExitStatus.UNREACHABLE
    assert "an engine" in errors


@pytest.mark.parametrize("key", ["listen", "peer_listen"])
def test_an_entry_that_cant_listen_ends_and_says_so(key, tmp_path):
    settings = {
        "instance": "entry-1",
        "data_centre": "amman-1",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": "127.0.0.1:1",
    }
    path = tmp_path / "entry.json"
    path.write_text(json.dumps({**settings, key: "192.0.2.1:1"}))
    program = [sys.executable, "-m", "pollenfork", "entry", "--settings", path]
    ended = subprocess.run(program, capture_output=True, text=True, timeout=60)
    assert ended.returncode == status.ExitStatus.ERROR
    assert "pollenfork: can't listen" in ended.stderr
    assert "Traceback" not in ended.stderr


LOG = (
    "instance=i-1 time=2026-07-26 14:37:44,887 level=INFO logger=pollenfork.x "
    "event=refused request=q status=503 reason=no_runner\n"
)


def test_explain_tells_the_course_of_a_request(tmp_path):
    log = tmp_path / "i-1.log"
    log.write_text(LOG)
    ended, written, _ = run("explain", "q", log)
    assert ended is status.ExitStatus.SUCCESS
    assert "refused  status=503 reason=no_runner" in written
    assert "cause: refused: no runner of its service takes work" in written
    ended, written, _ = run("explain", "q", log, "--format", "json")
    assert json.loads(written)["course"]["lines"][0]["event"] == "refused"


def test_explain_says_what_it_cannot_do(tmp_path):
    ended, _, error = run("explain", "q", tmp_path / "missing.log")
    assert ended is status.ExitStatus.USAGE
    assert error.count("\n") == 1 and "can't be read" in error
    empty = tmp_path / "empty.log"
    empty.write_text("nothing\n")
    ended, _, error = run("explain", "q", empty)
    assert ended is status.ExitStatus.USAGE and "no log lines" in error
    empty.write_text(LOG)
    ended, written, _ = run("explain", "other", empty)
    assert ended is status.ExitStatus.ERROR
    assert "cause: no line names it" in written


def test_losses_tells_how_requests_ended(tmp_path):
    log = tmp_path / "i-1.log"
    log.write_text(LOG)
    ended, written, _ = run("losses", log)
    assert ended is status.ExitStatus.SUCCESS
    assert "refused: no_runner" in written
    log.write_text("nothing\n")
    ended, _, error = run("losses", log)
    assert ended is status.ExitStatus.USAGE and "no log lines" in error


def test_a_reader_that_has_enough_is_no_fault(tmp_path):
    log = tmp_path / "i-1.log"
    log.write_text(LOG)
    command = [sys.executable, "-m", "pollenfork", "losses", str(log)]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as running:
        running.stdout.close()
        error = running.stderr.read()
    assert error == b""
    assert running.returncode == 1
