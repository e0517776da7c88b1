"""Tests the contract of the operator interface, with tables of faults."""

import pathlib

import pytest

from pollenfork import failures
from pollenfork.operator import errors
from pollenfork.operator import request
from pollenfork.operator.tests import support
from pollenfork.settings import errors as settings_errors
from pollenfork.settings.tests import support as settings_support

PAGE = pathlib.Path(__file__).parents[3] / "docs/operators/settings.md"
MORNING = "settings/teams/linework/classes/morning"
SUMMARY = "teams/linework/classes/summary"
TEAM = "linework-token"
OTHER = "ledger-token"


@pytest.fixture
def harness():
    created = support.Harness()
    created.site.seed()
    return created


# Method, path, arguments, status and code of the refusal.
REFUSALS = [
    ("GET", MORNING, {"token": None}, 401, "wrong_token"),
    ("GET", MORNING, {"token": "guess"}, 401, "wrong_token"),
    ("GET", MORNING, {"token": None, "authorization": "Basic eDp5"}, 401,
     "wrong_token"),
    ("GET", MORNING, {"token": OTHER}, 403, "forbidden"),
    ("GET", "settings/root", {"token": TEAM}, 403, "forbidden"),
    ("GET", "settings/", {"token": TEAM}, 403, "forbidden"),
    ("GET", "settings-history/root", {"token": TEAM}, 403, "forbidden"),
    ("GET", "settings/teams/nobody", {}, 404, "unknown_path"),
    ("GET", "settings/teams", {}, 404, "unknown_path"),
    ("GET", f"{MORNING}/tier/deeper", {}, 404, "unknown_path"),
    ("GET", "settings-history/", {}, 404, "unknown_path"),
    ("GET", "settings-history/teams/linework", {"query": "revision=x"}, 400,
     "bad_request"),
    ("GET", "settings-history/teams/linework", {"query": "revision=9"}, 404,
     "unknown_path"),
    ("GET", "nothing", {}, 404, "unknown_path"),
    ("GET", "status/more", {}, 404, "unknown_path"),
    ("DELETE", MORNING, {}, 405, "method_not_allowed"),
    ("POST", "status", {}, 405, "method_not_allowed"),
    ("GET", "endpoints/runner-1/drain", {}, 405, "method_not_allowed"),
    ("POST", "endpoints/runner-9/drain", {}, 404, "unknown_path"),
    ("POST", "endpoints/runner-1/drain", {"token": TEAM}, 403, "forbidden"),
    ("PUT", MORNING, {"body": b"{}"}, 428, "revision_required"),
    ("PUT", MORNING, {"body": b"{}", "if_match": "*"}, 400, "bad_request"),
    ("PUT", MORNING, {"body": b"{}", "if_match": '"1", "2"'}, 400,
     "bad_request"),
    ("PUT", MORNING, {"body": b"{}", "if_match": 'W/"1"'}, 400,
     "bad_request"),
    ("PUT", MORNING, {"body": b"{}", "if_none_match": '"1"'}, 400,
     "bad_request"),
    ("PUT", MORNING, {"body": b"{}", "if_match": '"1"',
     "if_none_match": "*"}, 400, "bad_request"),
    ("PUT", MORNING, {"body": b"{", "if_match": '"1"'}, 400, "bad_json"),
    ("PUT", MORNING, {"body": b"", "if_match": '"1"'}, 400, "bad_json"),
    ("PUT", MORNING, {"body": b"{}", "if_match": '"1"', "length": "9"}, 400,
     "bad_request"),
    ("PUT", MORNING, {"body": b"{}", "if_match": '"1"', "length": "-1"}, 400,
     "bad_request"),
    ("PUT", MORNING, {"if_match": '"1"',
     "length": str(request.BODY_LIMIT + 1)}, 413, "body_too_large"),
    ("PUT", MORNING, {"body": b"{}", "if_match": '"1"',
     "idempotency_key": "a b"}, 400, "bad_request"),
    ("PUT", MORNING, {"body": b"{}", "if_match": '"1"'}, 422, "bad_tree"),
    ("PUT", MORNING, {"body": b'{"tier":0}', "if_match": '"7"'}, 412,
     "stale_revision"),
    ("PUT", MORNING, {"body": b'{"tier":0}', "if_none_match": "*"}, 412,
     "stale_revision"),
    ("PUT", MORNING, {"token": OTHER, "body": b'{"tier":0}',
     "if_match": '"1"'}, 403, "forbidden"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("method", "path", "arguments", "status", "code"), REFUSALS
)
def test_refusal_has_code_and_changes_nothing(
    harness, method, path, arguments, status, code
) -> None:
    before = harness.table.rows
    answer = harness.call(method, path, **arguments)
    assert (answer.status, answer.code) == (status, code)
    assert answer.headers["X-Outcome"] == "not_run"
    assert ("Allow" in answer.headers) == (status == 405)
    assert ("WWW-Authenticate" in answer.headers) == (status == 401)
    assert "Retry-After" not in answer.headers
    assert harness.table.rows == before
    assert harness.endpoints.drained == []
    counted = f'pollenfork_operator_refusals_total{{code="{code}"}} 1'
    assert counted in harness.metrics.render()[0].decode()


def test_read_returns_written_value_and_revision(harness) -> None:
    answer = harness.call("GET", MORNING, token=TEAM)
    assert answer.body == {"tier": 0, "protected": True}
    assert answer.headers["ETag"] == '"1"'
    assert answer.headers["X-Settings-Source"] == "table"


def test_partial_write_raises_revision_of_its_subtree_only(harness) -> None:
    answer = harness.put(SUMMARY, {"tier": 5}, 1, token=TEAM)
    assert answer.status == 200
    assert answer.body["revision"] == 2
    assert answer.headers["ETag"] == '"2"'
    whole = harness.call("GET", "settings/teams/linework", token=TEAM)
    assert whole.headers["ETag"] == '"2"'
    assert whole.body["classes"]["summary"] == {"tier": 5}
    assert whole.body["classes"]["morning"]["protected"] is True
    ledger = harness.call("GET", "settings/teams/ledger", token=OTHER)
    assert ledger.headers["ETag"] == '"1"'
    assert ledger.headers["X-Tree-Revision"] == "2"


def test_whole_tree_can_be_read_and_written_back(harness) -> None:
    read = harness.call("GET", "settings/")
    assert read.body == {**settings_support.TREE, "revision": 1}
    changed = settings_support.edit(
        read.body, "teams.ledger.classes.review.tier", 3
    )
    written = harness.put("", changed, 1)
    assert (written.status, written.body["revision"]) == (200, 2)
    root = harness.call("GET", "settings/root")
    assert root.headers["ETag"] == '"1"'


def test_all_violations_of_invalid_tree_are_reported(harness) -> None:
    bad = {"tier": 9, "target_gap_ms": 0, "minimum_share": 0.1}
    answer = harness.put(SUMMARY, bad, 1, token=TEAM)
    assert answer.status == 422
    path = "teams.linework.classes.summary"
    assert answer.body["error"]["violations"] == [
        {"path": path, "rule": "tier must be < 7"},
        {"path": path, "rule": "target_gap_ms must be > 0"},
    ]


# Writes of a team to its own subtree that exceed the ceilings of the root.
CEILINGS = [
    ("ledger", "classes/review", {"tier": 0}, "tier must be >= 1"),
    ("ledger", "classes/review", {"tier": 1, "protected": True},
     "protected must be false"),
    ("ledger", "max_in_flight", 501, "max_in_flight must be <= 500"),
    ("linework", "classes/summary", {"tier": 4, "minimum_share": 0.06},
     "minimum_share must be <= 0.05"),
]  # fmt: skip


@pytest.mark.parametrize(("team", "path", "value", "rule"), CEILINGS)
def test_team_cannot_exceed_ceilings_of_root(
    harness, team, path, value, rule
) -> None:
    token = settings_support.TEAM_TOKENS[team]
    answer = harness.put(f"teams/{team}/{path}", value, 1, token=token)
    assert (answer.status, answer.code) == (422, "bad_tree")
    assert answer.body["error"]["violations"][0]["rule"].startswith(rule)


def test_one_of_two_concurrent_writes_is_refused_as_stale(harness) -> None:
    second = support.Harness(harness.table, seed=1)
    second.site.in_force = harness.site.in_force
    won = []
    harness.table.before_commit = lambda: won.append(
        second.put(SUMMARY, {"tier": 6}, 1, token=TEAM)
    )
    lost = harness.put(SUMMARY, {"tier": 5}, 1, token=TEAM)
    assert won[0].status == 200
    assert (lost.status, lost.code) == (412, "stale_revision")
    assert lost.headers["ETag"] == '"2"'
    assert lost.body["error"]["revision"] == 2
    assert harness.call("GET", f"settings/{SUMMARY}").body == {"tier": 6}


# Faults of the commits, then the expected status, code and outcome.
FAULTS = [
    (["down"] * 1000, 503, "not_written", "not_run"),
    (["lost_before"] * 1000, 504, "write_unknown", "unknown"),
    (["lost_after"] * 1000, 504, "write_unknown", "unknown"),
]


@pytest.mark.parametrize(("faults", "status", "code", "outcome"), FAULTS)
def test_failed_write_reports_outcome_and_can_be_retried(
    harness, faults, status, code, outcome
) -> None:
    harness.table.faults = list(faults)
    answer = harness.put(SUMMARY, {"tier": 5}, 1, idempotency_key="k-1")
    assert (answer.status, answer.code) == (status, code)
    assert answer.headers["X-Outcome"] == outcome
    assert answer.headers["Retry-After"] == "1"
    harness.table.faults = []
    second = support.Harness(harness.table, seed=1)
    second.site.in_force = harness.site.in_force
    again = second.put(SUMMARY, {"tier": 5}, 1, idempotency_key="k-1")
    assert (again.status, again.body["revision"]) == (200, 2)
    assert again.body["repeated"] == (faults[0] == "lost_after")
    other = second.put(SUMMARY, {"tier": 6}, 2, idempotency_key="k-1")
    assert (other.status, other.code) == (422, "write_id_reused")


def test_reads_return_settings_in_force_during_table_outage(harness) -> None:
    harness.table.cut()
    answer = harness.call("GET", f"settings/{SUMMARY}", token=TEAM)
    assert answer.body == {"tier": 4}
    assert answer.headers["X-Settings-Source"] == "in-force"
    written = harness.put(SUMMARY, {"tier": 5}, 1, token=TEAM)
    assert (written.status, written.code) == (503, "not_written")
    history = harness.call("GET", "settings-history/teams/linework")
    assert (history.status, history.code) == (503, "unavailable")
    assert history.headers["Retry-After"] == "1"


def test_table_restored_from_backup_is_neither_read_nor_written(
    harness,
) -> None:
    harness.put(SUMMARY, {"tier": 5}, 1, token=TEAM)
    harness.table.lose_rows()
    settings_support.Site(harness.table, seed=2).seed()
    shown = harness.call("GET", f"settings/{SUMMARY}")
    assert shown.body == {"tier": 5}
    assert shown.headers["X-Settings-Source"] == "in-force"
    refused = harness.put(SUMMARY, {"tier": 6}, 2, token=TEAM)
    assert (refused.status, refused.code) == (503, "not_written")
    assert "TableBehind" in refused.body["error"]["message"]


def test_instance_without_settings_accepts_only_first_operators() -> None:
    harness = support.Harness()
    answer = harness.call("GET", "status", token=TEAM)
    assert (answer.status, answer.code) == (503, "not_ready")
    assert harness.call("GET", "endpoints").code == "not_ready"
    first = harness.call(
        "PUT",
        "settings/",
        body=b'{"root":{"operator_sha256":[]}}',
        if_none_match="*",
    )
    assert (first.status, first.body["revision"]) == (200, 1)
    assert harness.call("GET", "status", token=TEAM).code == "wrong_token"


def test_history_lists_writes_and_returns_their_content(harness) -> None:
    harness.put(SUMMARY, {"tier": 5}, 1, token=TEAM)
    path = "settings-history/teams/linework"
    listed = harness.call("GET", path, token=TEAM).body["entries"]
    assert [entry["revision"] for entry in listed] == [1, 2]
    assert listed[1]["write_id"] == "made-0-1"
    assert listed[1]["operator"] != listed[0]["operator"]
    old = harness.call("GET", path, token=TEAM, query="revision=1").body
    assert old == settings_support.LINEWORK


def test_status_lists_every_instance(harness) -> None:
    body = harness.call("GET", "status", token=TEAM).body
    assert (body["instance"], body["newest"]) == ("entry-1", 1)
    assert [report["revision"] for report in body["instances"]] == [1, 0]
    assert body["instances"][1]["state"] == "suspected"


def test_endpoints_list_settings_and_live_state(harness) -> None:
    listed = harness.call("GET", "endpoints", token=TEAM).body["endpoints"]
    assert [entry["endpoint"] for entry in listed] == ["runner-1", "photos-1"]
    assert listed[0]["live"]["in_flight"] == 3
    assert listed[1]["live"] is None


def test_drain_is_requested_or_failure_reported(harness) -> None:
    answer = harness.call("POST", "endpoints/runner-1/drain")
    assert (answer.status, answer.body) == (202, {"endpoint": "runner-1"})
    assert harness.endpoints.drained == ["runner-1"]
    harness.endpoints.failing = True
    failed = harness.call("POST", "endpoints/runner-1/drain")
    assert (failed.status, failed.code) == (503, "unavailable")
    assert failed.headers["X-Outcome"] == failures.Outcome.UNKNOWN.value


OUTAGES = (
    settings_errors.TableBehind,
    settings_errors.TreeMoving,
    settings_errors.Unreadable,
    settings_errors.UnreadableRow,
)


@pytest.mark.parametrize(
    "kind",
    [
        kind
        for kind in vars(settings_errors).values()
        if isinstance(kind, type)
        and issubclass(kind, settings_errors.SettingsFailure)
        and kind is not settings_errors.SettingsFailure
    ],
)
def test_every_settings_failure_maps_to_refusal(kind) -> None:
    extra = {
        settings_errors.BadDocument: {"violations": ()},
        settings_errors.BadTree: {"violations": ()},
        settings_errors.Stale: {"current": 1},
    }
    refusal = errors.make_settings_refusal(kind(**extra.get(kind, {})))
    assert refusal.status >= 400
    assert (refusal.code is errors.Code.UNAVAILABLE) == (kind in OUTAGES)
    assert (refusal.retry_after_s is not None) == (refusal.status >= 503)


@pytest.mark.parametrize("code", errors.Code)
def test_operators_page_names_every_code(code) -> None:
    page = PAGE.read_text().partition("\n| Status | Code |\n")[2]
    assert f"`{code.value}`" in page
