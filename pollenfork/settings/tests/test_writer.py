"""Tests writes under table faults, races and refusals."""

import pytest
import result

from pollenfork.settings import changes
from pollenfork.settings import errors
from pollenfork.settings import paths
from pollenfork.settings import rows
from pollenfork.settings import snapshot
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.settings.tests import support

CLASS = "teams/linework/classes/summary"
LINEWORK = snapshot.hash_key("linework-token")
LEDGER = snapshot.hash_key("ledger-token")


def read_tier(site: support.Site) -> int:
    tree = store.read_tree(site.table, state.EMPTY).unwrap()
    return tree.lookups.find_class("linework", "summary").tier


# Faults of successive commits, the outcome, and the tier in the table.
FAULTS = [
    ([], "ok", 5),
    (["down"], "ok", 5),
    (["lost_before"], "ok", 5),
    (["lost_after"], "ok", 5),
    (["lost_after", "lost_before", "down"], "ok", 5),
    (["lost_before", "lost_before", "lost_after"], "ok", 5),
    (["down"] * 1000, errors.NotWritten, 4),
    (["lost_before"] * 1000, errors.WriteUnknown, 4),
    (["lost_after"] * 1000, errors.WriteUnknown, 5),
    (["lost_after"] + ["down"] * 1000, errors.WriteUnknown, 5),
]  # fmt: skip


@pytest.mark.parametrize(("faults", "outcome", "tier"), FAULTS)
def test_a_faulty_commit_has_one_effect_or_none(faults, outcome, tier) -> None:
    site = support.Site()
    site.seed()
    site.table.faults = list(faults)
    written = site.write(CLASS, {"tier": 5}, 1)
    if outcome == "ok":
        assert written.unwrap().revision == 2
    else:
        assert isinstance(written.err(), outcome)
    assert read_tier(site) == tier
    site.table.faults = []
    if outcome is not errors.NotWritten:
        again = site.write(CLASS, {"tier": 5}, 1).unwrap()
        assert again.revision == 2
    assert store.read_tree(site.table, state.EMPTY).unwrap().revision <= 2


@pytest.mark.parametrize("ids_expired", [False, True])
def test_a_retry_at_another_instance_finds_the_write(ids_expired) -> None:
    first = support.Site()
    first.seed()
    first.table.faults = ["lost_after"] + ["down"] * 1000
    lost = first.write(CLASS, {"tier": 5}, 1)
    assert isinstance(lost.err(), errors.WriteUnknown)
    first.table.faults = []
    if ids_expired:
        first.table.expire_write_ids()
    second = support.Site(first.table, seed=1)
    found = second.write(CLASS, {"tier": 5}, 1).unwrap()
    assert (found.revision, found.repeated) == (2, True)


def test_a_retried_commit_with_an_expired_id_finds_its_own_write() -> None:
    site = support.Site()
    site.seed()
    site.table.faults = ["lost_after"]
    real_commit = site.table.commit

    def forget_and_commit(transaction):
        site.table.expire_write_ids()
        return real_commit(transaction)

    site.table.commit = forget_and_commit
    found = site.write(CLASS, {"tier": 5}, 1).unwrap()
    assert (found.revision, found.repeated) == (2, True)


def test_a_read_during_a_write_is_consistent() -> None:
    first = support.Site()
    first.seed()
    second = support.Site(first.table, seed=1)
    first.table.after_head = lambda: second.write(CLASS, {"tier": 5}, 1)
    tree = store.read_tree(first.table, state.EMPTY).unwrap()
    assert tree.revision == 2
    assert tree.subtrees["teams/linework"].revision == 2


def test_a_retry_during_its_first_attempt_returns_the_tree() -> None:
    first = support.Site()
    first.seed()
    second = support.Site(first.table, seed=1)
    first.table.after_head = lambda: second.write(CLASS, {"tier": 5}, 1)
    found = first.write(CLASS, {"tier": 5}, 1).unwrap()
    assert (found.revision, found.repeated) == (2, True)
    assert found.tree.revision == 2


def test_a_write_id_with_different_content_is_rejected() -> None:
    site = support.Site()
    site.seed()
    site.write(CLASS, {"tier": 5}, 1).unwrap()
    reused = site.write(CLASS, {"tier": 6}, 2)
    assert isinstance(reused.err(), errors.WriteIdReused)
    assert read_tier(site) == 5


def test_racing_operators_on_one_subtree_have_one_winner() -> None:
    first = support.Site()
    first.seed()
    second = support.Site(first.table, seed=1)
    first.table.before_commit = lambda: second.write(
        CLASS, {"tier": 6}, 1, write_id="w-second"
    ).unwrap()
    lost = first.write(CLASS, {"tier": 5}, 1, write_id="w-first").err()
    assert isinstance(lost, errors.Stale)
    assert lost.current == 2
    assert read_tier(first) == 6


def test_racing_operators_on_two_subtrees_both_win() -> None:
    first = support.Site()
    first.seed()
    second = support.Site(first.table, seed=1)
    first.table.before_commit = lambda: second.write(
        "teams/ledger/max_in_flight", 400, 1, write_id="w-second"
    ).unwrap()
    won = first.write(CLASS, {"tier": 5}, 1, write_id="w-first").unwrap()
    assert won.revision == 3
    assert won.tree.tree.teams["ledger"].max_in_flight == 400
    assert read_tier(first) == 5


def test_a_concurrently_lowered_ceiling_is_enforced() -> None:
    first = support.Site()
    first.seed()
    second = support.Site(first.table, seed=1)
    first.table.before_commit = lambda: second.write(
        "root/ceilings/ledger/max_minimum_share", 0.03, 1, write_id="w-2"
    ).unwrap()
    share = "teams/ledger/classes/review/minimum_share"
    refused = first.write(share, 0.04, 1, write_id="w-1").err()
    assert [str(violation) for violation in refused.violations] == [
        "teams.ledger.classes.review: minimum_share must be <= 0.03, "
        "the ceiling"
    ]


# Path, value, expected revision, token digest, and failure type.
REFUSALS = [
    (CLASS, {"tier": 5}, 1, LEDGER, errors.Forbidden),
    (CLASS, {"tier": 5}, 1, "0" * 64, errors.Forbidden),
    ("root/ceilings/linework/max_in_flight", 9999, 1, LINEWORK,
     errors.Forbidden),
    ("", support.TREE, 1, LINEWORK, errors.Forbidden),
    (CLASS, {"tier": 5}, 0, LINEWORK, errors.Stale),
    (CLASS, {"tier": 5}, 2, LINEWORK, errors.Stale),
    ("", support.TREE, 0, support.ROOT_OPERATOR, errors.Stale),
    (CLASS, {"tier": 9}, 1, LINEWORK, errors.BadTree),
    ("teams/linework/max_in_flight", 1025, 1, LINEWORK, errors.BadTree),
    ("teams/linework/accounts/dispatch/key_sha256",
     snapshot.hash_key("treasury-key"), 1, LINEWORK, errors.BadTree),
    ("teams/other", support.LINEWORK, 0, support.ROOT_OPERATOR,
     errors.BadTree),
    ("teams/linework/classes/summary/tier/deeper", 1, 1, LINEWORK,
     errors.NoSuchPath),
    ("teams/linework/nowhere/deeper", 1, 1, LINEWORK, errors.BadTree),
    ("root", {**support.ROOT, "ceilings": {}}, 1, support.ROOT_OPERATOR,
     errors.BadTree),
    ("", {**support.TREE, "root": {}}, 1, support.ROOT_OPERATOR,
     errors.BadTree),
]  # fmt: skip


@pytest.mark.parametrize(
    ("path", "value", "expected", "operator", "kind"), REFUSALS
)
def test_refused_writes_change_nothing(
    path, value, expected, operator, kind
) -> None:
    site = support.Site()
    site.seed()
    before = site.table.rows
    refused = site.write(path, value, expected, operator=operator)
    assert isinstance(refused.err(), kind)
    assert site.table.rows == before


def test_a_team_operator_changes_its_own_subtree() -> None:
    site = support.Site()
    site.seed()
    site.write(CLASS, {"tier": 5}, 1, operator=LINEWORK).unwrap()
    assert read_tier(site) == 5


def test_a_write_fails_if_the_table_lost_its_rows() -> None:
    site = support.Site()
    site.seed()
    site.write(CLASS, {"tier": 5}, 1).unwrap()
    site.table.lose_rows()
    refused = site.write(CLASS, {"tier": 6}, 2, write_id="w-2").err()
    assert isinstance(refused, errors.NotWritten)
    assert "TableBehind" in refused.detail


def test_a_whole_tree_write_touches_only_what_changed() -> None:
    site = support.Site()
    site.seed()
    without = {"root": support.ROOT, "teams": {"ledger": support.LEDGER}}
    written = site.write("", without, 1, write_id="w-2").unwrap()
    assert list(written.tree.subtrees) == ["root", "teams/ledger"]
    assert rows.make_subtree_key("teams/linework") not in site.table.rows
    assert written.tree.subtrees["teams/ledger"].revision == 1
    assert store.read_tree(site.table, state.EMPTY).unwrap().revision == 2
    again = site.write("", without, 2, write_id="w-3").unwrap()
    assert again.revision == 2
    back = site.write("teams/linework", support.LINEWORK, 0, write_id="w-4")
    assert back.unwrap().revision == 3
    history = store.read_history(site.table, "teams/linework").unwrap()
    assert [(row.revision, bytes(row.value)[:4]) for row in history] == [
        (1, b'{"cl'),
        (2, b"null"),
        (3, b'{"cl'),
    ]


def test_history_and_writes_stay_bounded() -> None:
    site = support.Site()
    site.seed()
    count = changes.WRITES_KEPT + 6
    for step in range(1, count):
        site.write(
            CLASS, {"tier": step % 7}, step, write_id=f"w-{step}"
        ).unwrap()
    history = store.read_history(site.table, "teams/linework").unwrap()
    kept = [row.revision for row in history]
    assert kept == list(range(count - changes.HISTORY_KEPT + 1, count + 1))
    assert site.table.rows[rows.HEAD_KEY].version == count
    assert len(store.read_writes(site.table).unwrap()) == changes.WRITES_KEPT


def test_many_subtrees_are_read_by_scans() -> None:
    site = support.Site()
    names = [f"team-{number}" for number in range(120)]
    ceilings = {**support.ROOT["ceilings"], **{name: {} for name in names}}
    root = {**support.ROOT, "ceilings": ceilings}
    teams = {name: {"classes": {"a": {"tier": 3}}} for name in names}
    tree = {"root": root, "teams": {**support.TREE["teams"], **teams}}
    site.write("", tree, 0).unwrap()
    site.table.reads = 0
    assert len(store.read_tree(site.table, state.EMPTY).unwrap().subtrees) == (
        123
    )
    assert site.table.reads == 4


@pytest.mark.parametrize(
    ("text", "expected"),
    [("", ""), ("/", ""), ("root/", "root"), ("teams/a/classes", None),
     ("teams", "error"), ("other/a", "error")],
)  # fmt: skip
def test_paths(text, expected) -> None:
    parsed = paths.parse_path(text)
    if expected == "error":
        assert isinstance(parsed, result.Err)
    else:
        assert str(parsed.unwrap()) == (text if expected is None else expected)
