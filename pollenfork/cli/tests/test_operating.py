"""The operators' commands against a real interface over HTTP."""

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
NOBODY = "http://127.0.0.1:1"


class Served:
    """An operator interface that listens; `lost` calls get no answer."""

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
def served(monkeypatch):
    monkeypatch.setattr(operating, "_wait", lambda seconds: None)
    made = Served()
    yield made
    made.stop()


@pytest.fixture
def run(served, tmp_path):
    token = tmp_path / "token"
    token.write_text(f"{settings_support.ROOT_TOKEN}\n")

    def call(*words, to=None):
        target = ("--to", to or served.url, "--token-file", token)
        return test_core.run(*words, *target)

    return call


def write(tmp_path, value):
    path = tmp_path / "value.json"
    path.write_text(json.dumps(value))
    return path


def test_check_names_every_error(tmp_path):
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
    ended, shown, _ = test_core.run("settings", "check", write(tmp_path, tree))
    assert ended is status.ExitStatus.REFUSED
    assert shown.splitlines() == [
        "teams.linework.classes.morning: tier must be < 7",
        "teams.linework.classes.morning: target_first_token_ms must be > 0",
    ]


def test_what_is_got_can_be_put_back_once(run, tmp_path):
    ended, shown, told = run("settings", "get", SUMMARY)
    assert ended is status.ExitStatus.SUCCESS
    assert json.loads(shown) == {"tier": 4}
    assert told == "revision 1, read from table\n"
    path = write(tmp_path, {"tier": 5})
    put = ("settings", "put", SUMMARY, path, "--revision", "1")
    assert run(*put)[1] == f"{SUMMARY} is at revision 2\n"
    ended, _, told = run(*put)
    assert ended is status.ExitStatus.CONFLICT
    assert "is at revision 2" in told


def test_a_put_without_a_revision_creates_and_never_replaces(run, tmp_path):
    path = write(tmp_path, {"tier": 5})
    ended, _, told = run("settings", "put", SUMMARY, path)
    assert ended is status.ExitStatus.CONFLICT
    assert "is at revision 1" in told


def test_a_put_whose_answer_is_lost_is_sent_again_and_has_one_effect(
    run, served, tmp_path
):
    served.lost = 1
    path = write(tmp_path, {"tier": 5})
    put = ("settings", "put", SUMMARY, path, "--revision", "1")
    ended, shown, _ = run(*put, "--format", "json")
    assert ended is status.ExitStatus.SUCCESS
    assert json.loads(shown)["repeated"] is True
    assert json.loads(shown)["revision"] == 2


def test_a_put_that_stays_without_an_answer_says_how_to_repeat_it(
    run, served, tmp_path
):
    served.lost = 1000
    path = write(tmp_path, {"tier": 5})
    put = ("settings", "put", SUMMARY, path, "--revision", "1")
    ended, _, told = run(*put)
    assert ended is status.ExitStatus.UNREACHABLE
    served.lost = 0
    write_id = told.split("--write-id ")[1].strip()
    again = run(*put, "--write-id", write_id)
    assert again[:2] == (
        status.ExitStatus.SUCCESS,
        f"{SUMMARY} is at revision 2\n",
    )


# Words, exit status, and what is told.
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


@pytest.mark.parametrize(("words", "ended", "told"), FAILURES)
def test_failures_have_their_exit_status(run, tmp_path, words, ended, told):
    bad = write(tmp_path, {"tier": 9})
    found = run(*(bad if word == "{bad}" else word for word in words))
    assert found[0] is ended
    assert told in found[2]


def test_a_write_that_no_instance_had_is_not_called_unknown(run, tmp_path):
    path = write(tmp_path, {"tier": 5})
    ended, _, told = run("settings", "put", SUMMARY, path, to=NOBODY)
    assert ended is status.ExitStatus.UNREACHABLE
    assert "--write-id" not in told


def test_the_next_instance_is_asked_where_one_is_gone(run, served):
    ended, shown, _ = run("status", "--to", served.url, to=NOBODY)
    assert ended is status.ExitStatus.SUCCESS
    assert "entry-2" in shown


def test_a_command_needs_a_token_and_an_instance(served):
    ended, _, told = test_core.run("status")
    assert (ended, "--to" in told) == (status.ExitStatus.USAGE, True)
    ended, _, told = test_core.run("status", "--to", served.url)
    assert (ended, "--token-file" in told) == (status.ExitStatus.USAGE, True)


def test_tables_show_instances_endpoints_and_history(run):
    assert run("status")[1].splitlines()[2].split() == [
        "entry-2", "amman-2", "suspected", "0", "1", "-", "4.0", "s",
    ]  # fmt: skip
    assert run("endpoints")[1].splitlines()[1].split()[:7] == [
        "runner-1", "runner", "amman-1", "10.0.0.7:8000", "live", "3", "0",
    ]  # fmt: skip
    shown = run("settings", "history", "teams/linework")[1]
    assert shown.splitlines()[1].split()[-1] == "seed"
    old = run("settings", "history", "teams/linework", "--revision", "1")
    assert json.loads(old[1]) == settings_support.LINEWORK
    assert run("drain", "runner-1")[1] == "runner-1 takes no new work\n"


@pytest.mark.parametrize(
    "words",
    [("settings", "get"), ("settings", "put"), ("settings", "history"),
     ("settings", "check"), ("endpoints",), ("drain",), ("status",)],
)  # fmt: skip
def test_every_operator_command_has_help_with_an_example(words):
    ended, shown, _ = test_core.run(*words, "--help")
    assert ended is status.ExitStatus.SUCCESS
    _, _, examples = shown.partition("Examples:")
    assert " ".join(("pollenfork", *words)) in examples
