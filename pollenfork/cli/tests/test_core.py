"""Tests the command line: arguments, output and exit status."""

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
    exit_status = core.main([str(arg) for arg in args], env)
    return exit_status, env.stdout.getvalue(), env.stderr.getvalue()


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
def test_every_command_has_help_with_example(words):
    exit_status, stdout, _ = run(*words, "--help")
    assert exit_status is status.ExitStatus.SUCCESS
    _, _, examples = stdout.partition("Examples:")
    assert " ".join(("pollenfork", *words)) in examples


ROOT = pathlib.Path(__file__).parents[3]
DAWN = str(ROOT / "benchmarks" / "scenarios" / "dawn.json")


@pytest.mark.parametrize(
    ("words", "message"),
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
def test_invalid_command_line_is_reported(words, message):
    exit_status, _, errors = run(*words)
    assert exit_status is status.ExitStatus.USAGE
    assert message in errors


def test_invalid_listen_address_is_reported():
    exit_status, _, errors = run("standin", "service", "--listen", "nonsense")
    assert exit_status is status.ExitStatus.ERROR
    assert errors.startswith("pollenfork: can't listen: ")


def test_invalid_settings_file_is_rejected_with_path(tmp_path):
    path = tmp_path / "engine.json"
    path.write_text('{"faults": {"slowdown": 0}}')
    exit_status, _, errors = run("standin", "engine", "--settings", path)
    assert exit_status is status.ExitStatus.USAGE
    assert "$.faults.slowdown" in errors


@pytest.mark.parametrize(
    "words", [("standin", "platform"), ("standin", "engine")]
)
def test_standin_serves_until_stop_signal(words, tmp_path, monkeypatch):
    waits = []
    monkeypatch.setattr(signals, "wait_for_stop", lambda: waits.append(True))
    path = tmp_path / "settings.json"
    path.write_text("{}")
    exit_status, stdout, _ = run(*words, "--settings", path)
    assert exit_status is status.ExitStatus.SUCCESS
    assert stdout.startswith("listening on 127.0.0.1:")
    assert waits == [True]


def test_load_run_reports_as_json(engine, scenario):
    words = ("--to", engine, "--engine", engine, "--format", "json")
    exit_status, stdout, _ = run("load", "--scenario", scenario, *words)
    assert exit_status is status.ExitStatus.SUCCESS
    report = json.loads(stdout)
    results = report["classes"]["morning"]
    assert results["sent"] == results["whole"] > 0
    assert report["waste"]["wasted"] == 0


def test_load_run_below_expected_attainment_has_exit_status(scenario):
    words = ("--to", "127.0.0.1:1", "--expect", "0.5")
    exit_status, stdout, _ = run("load", "--scenario", scenario, *words)
    assert exit_status is status.ExitStatus.BELOW_TARGET
    assert "failed:ConnectionRefusedError" in stdout


def test_engine_without_run_counts_is_unreachable(scenario):
    words = ("--to", "127.0.0.1:1", "--engine", "127.0.0.1:1")
    exit_status, _, errors = run("load", "--scenario", scenario, *words)
    assert exit_status is status.ExitStatus.UNREACHABLE
    assert "an engine" in errors


@pytest.mark.parametrize("key", ["listen", "peer_listen"])
def test_entry_that_cannot_listen_exits_with_message(key, tmp_path):
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
    completed = subprocess.run(
        program, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == status.ExitStatus.ERROR
    assert "pollenfork: can't listen" in completed.stderr
    assert "Traceback" not in completed.stderr


LOG = (
    "instance=i-1 time=2026-07-26 14:37:44,887 level=INFO logger=pollenfork.x "
    "event=refused request=q status=503 reason=no_runner\n"
)


def test_explain_writes_trace_of_request(tmp_path):
    log = tmp_path / "i-1.log"
    log.write_text(LOG)
    exit_status, stdout, _ = run("explain", "q", log)
    assert exit_status is status.ExitStatus.SUCCESS
    assert "refused  status=503 reason=no_runner" in stdout
    assert "cause: refused: no runner of its service takes work" in stdout
    exit_status, stdout, _ = run("explain", "q", log, "--format", "json")
    assert json.loads(stdout)["course"]["lines"][0]["event"] == "refused"


def test_explain_reports_missing_file_lines_and_request(tmp_path):
    exit_status, _, error = run("explain", "q", tmp_path / "missing.log")
    assert exit_status is status.ExitStatus.USAGE
    assert error.count("\n") == 1 and "can't be read" in error
    empty = tmp_path / "empty.log"
    empty.write_text("nothing\n")
    exit_status, _, error = run("explain", "q", empty)
    assert exit_status is status.ExitStatus.USAGE and "no log lines" in error
    empty.write_text(LOG)
    exit_status, stdout, _ = run("explain", "other", empty)
    assert exit_status is status.ExitStatus.ERROR
    assert "cause: no line names it" in stdout


def test_losses_counts_how_requests_ended(tmp_path):
    log = tmp_path / "i-1.log"
    log.write_text(LOG)
    exit_status, stdout, _ = run("losses", log)
    assert exit_status is status.ExitStatus.SUCCESS
    assert "refused: no_runner" in stdout
    log.write_text("nothing\n")
    exit_status, _, error = run("losses", log)
    assert exit_status is status.ExitStatus.USAGE and "no log lines" in error


def test_closed_output_pipe_writes_no_error(tmp_path):
    log = tmp_path / "i-1.log"
    log.write_text(LOG)
    command = [sys.executable, "-m", "pollenfork", "losses", str(log)]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        process.stdout.close()
        error = process.stderr.read()
    assert error == b""
    assert process.returncode == 1
