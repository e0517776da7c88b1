"""Tests the operators' commands over HTTP with a real interface."""

import json
import threading

import pytest
import waitress.server

from pollenfork import status
from pollenfork.cli import operating
from pollenfork.cli.tests import test_core
from pollenfork.operator.tests import support
from pollenfork.settings.tests import support as settings_support

SUMMARY = "teams/linework/classes/summary"
UNREACHABLE_URL = "http://127.0.0.1:1"


class OperatorServer:
    """Serves an operator interface; the next `lost` answers are dropped."""

    def __init__(self) -> None:
        self.harness = support.Harness()
        self.harness.site.seed()
        self.lost = 0
        self._server = waitress.server.create_server(
            self.answer, listen="127.0.0.1:0", threads=2
        )
        port = self._server.socket.getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        self._thread = threading.Thread(target=self._server.run)
        self._thread.start()

    def answer(self, environ, start_response):
        chunks = self.harness.app(environ, start_response)
        if self.lost:
            self.lost -= 1
            raise ConnectionError("the answer is lost after the effect")
        return chunks

    def stop(self) -> None:
        self._server.close()
        self._thread.join()


@pytest.fixture
def server(monkeypatch):
    monkeypatch.setattr(operating, "_wait", lambda seconds: None)
    created = OperatorServer()
    yield created
    created.stop()


@pytest.fixture
def run(server, tmp_path):
    token = tmp_path / "token"
    token.write_text(f"{settings_support.ROOT_TOKEN}\n")

    def call(*words, to=None):
        target = ("--to", to or server.url, "--token-file", token)
        return test_core.run(*words, *target)

    return call


def write(tmp_path, value):
    path = tmp_path / "value.json"
    path.write_text(json.dumps(value))
    return path


def test_check_reports_all_errors(tmp_path):
    good = write(tmp_path, settings_support.TREE)
    assert test_core.run("settings", "check", good)[:2] == (
        status.ExitStatus.SUCCESS,
        "ok\n",
    )
    tree = settings_support.edit(
        settings_support.TREE,
        "teams.linework.classes.morning",
        {"tier": 9, "target_first_token_ms": 0},
    )
    exit_status, stdout, _ = test_core.run(
        "settings", "check", write(tmp_path, tree)
    )
    assert exit_status is status.ExitStatus.REFUSED
    assert stdout.splitlines() == [
        "teams.linework.classes.morning: tier must be < 7",
        "teams.linework.classes.morning: target_first_token_ms must be > 0",
    ]


def test_value_read_can_be_written_back_once(run, tmp_path):
    exit_status, stdout, stderr = run("settings", "get", SUMMARY)
    assert exit_status is status.ExitStatus.SUCCESS
    assert json.loads(stdout) == {"tier": 4}
    assert stderr == "revision 1, read from table\n"
    path = write(tmp_path, {"tier": 5})
    put = ("settings", "put", SUMMARY, path, "--revision", "1")
    assert run(*put)[1] == f"{SUMMARY} is at revision 2\n"
    exit_status, _, stderr = run(*put)
    assert exit_status is status.ExitStatus.CONFLICT
    assert "is at revision 2" in stderr


def test_put_without_revision_never_replaces(run, tmp_path):
    path = write(tmp_path, {"tier": 5})
    exit_status, _, stderr = run("settings", "put", SUMMARY, path)
    assert exit_status is status.ExitStatus.CONFLICT
    assert "is at revision 1" in stderr


def test_put_with_lost_answer_is_retried_and_applied_once(
    run, server, tmp_path
):
    server.lost = 1
    path = write(tmp_path, {"tier": 5})
    put = ("settings", "put", SUMMARY, path, "--revision", "1")
    exit_status, stdout, _ = run(*put, "--format", "json")
    assert exit_status is status.ExitStatus.SUCCESS
    assert json.loads(stdout)["repeated"] is True
    assert json.loads(stdout)["revision"] == 2


def test_put_without_answer_reports_write_id_for_retry(run, server, tmp_path):
    server.lost = 1000
    path = write(tmp_path, {"tier": 5})
    put = ("settings", "put", SUMMARY, path, "--revision", "1")
    exit_status, _, stderr = run(*put)
    assert exit_status is status.ExitStatus.UNREACHABLE
    server.lost = 0
    write_id = stderr.split("--write-id ")[1].strip()
    again = run(*put, "--write-id", write_id)
    assert again[:2] == (
        status.ExitStatus.SUCCESS,
        f"{SUMMARY} is at revision 2\n",
    )


# Arguments, exit status, and text on stderr.
FAILURES = [
    (("settings", "put", SUMMARY, "{bad}", "--revision", "1"),
     status.ExitStatus.REFUSED,
     "teams.linework.classes.summary: tier must be < 7"),
    (("settings", "put", SUMMARY, "/nowhere.json"), status.ExitStatus.USAGE,
     "No such file"),
    (("settings", "get", "teams/nobody"), status.ExitStatus.REFUSED,
     "unknown_path"),
    (("settings", "put", SUMMARY, "{bad}", "--write-id", "a\nb"),
     status.ExitStatus.UNREACHABLE, "Invalid header value"),
    (("drain", "runner-9"), status.ExitStatus.REFUSED, "no endpoint"),
]  # fmt: skip


@pytest.mark.parametrize(("words", "exit_status", "stderr"), FAILURES)
def test_failure_has_exit_status_and_message(
    run, tmp_path, words, exit_status, stderr
):
    bad = write(tmp_path, {"tier": 9})
    outcome = run(*(bad if word == "{bad}" else word for word in words))
    assert outcome[0] is exit_status
    assert stderr in outcome[2]


def test_write_that_was_never_sent_is_not_reported_unknown(run, tmp_path):
    path = write(tmp_path, {"tier": 5})
    exit_status, _, stderr = run(
        "settings", "put", SUMMARY, path, to=UNREACHABLE_URL
    )
    assert exit_status is status.ExitStatus.UNREACHABLE
    assert "--write-id" not in stderr


def test_next_instance_is_called_if_one_is_unreachable(run, server):
    exit_status, stdout, _ = run(
        "status", "--to", server.url, to=UNREACHABLE_URL
    )
    assert exit_status is status.ExitStatus.SUCCESS
    assert "entry-2" in stdout


def test_command_requires_token_and_instance(server):
    exit_status, _, stderr = test_core.run("status")
    assert (exit_status, "--to" in stderr) == (status.ExitStatus.USAGE, True)
    exit_status, _, stderr = test_core.run("status", "--to", server.url)
    assert (exit_status, "--token-file" in stderr) == (
        status.ExitStatus.USAGE,
        True,
    )


def test_tables_list_instances_endpoints_and_history(run):
    assert run("status")[1].splitlines()[2].split() == [
        "entry-2", "amman-2", "suspected", "0", "1", "-", "4.0", "s",
    ]  # fmt: skip
    assert run("endpoints")[1].splitlines()[1].split()[:7] == [
        "runner-1", "runner", "amman-1", "10.0.0.7:8000", "live", "3", "0",
    ]  # fmt: skip
    stdout = run("settings", "history", "teams/linework")[1]
    assert stdout.splitlines()[1].split()[-1] == "seed"
    old = run("settings", "history", "teams/linework", "--revision", "1")
    assert json.loads(old[1]) == settings_support.LINEWORK
    assert run("drain", "runner-1")[1] == "runner-1 takes no new work\n"


@pytest.mark.parametrize(
    "words",
    [("settings", "get"), ("settings", "put"), ("settings", "history"),
     ("settings", "check"), ("endpoints",), ("drain",), ("status",)],
)  # fmt: skip
def test_every_operator_command_has_help_with_example(words):
    exit_status, stdout, _ = test_core.run(*words, "--help")
    assert exit_status is status.ExitStatus.SUCCESS
    _, _, examples = stdout.partition("Examples:")
    assert " ".join(("pollenfork", *words)) in examples
