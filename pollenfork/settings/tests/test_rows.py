"""Tests stored rows and peer copies against golden files."""

import pathlib

import msgspec
import pytest
import result

from pollenfork.settings import copies
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.settings.tests import support

GOLDEN = pathlib.Path(__file__).parents[3] / "tests" / "golden" / "settings"
VALUE = msgspec.Raw(b'{"classes":{"review":{"tier":1}},"accounts":{}}')
ROWS = {
    "head-1": rows.HeadRow(revision=7, subtrees={"root": 1, "teams/ledger": 7}),
    "writes-1": rows.WritesRow(
        writes=(
            rows.WriteRecord(
                write_id="w-7",
                digest="ab" * 32,
                path="teams/ledger/classes/review",
                revision=7,
            ),
        )
    ),
    "subtree-1": rows.SubtreeRow(
        path="teams/ledger", revision=7, history=(2, 7), value=VALUE
    ),
    "history-1": rows.HistoryRow(
        path="teams/ledger",
        revision=7,
        write_id="w-7",
        operator="0123456789ab",
        at=1_700_000_000.5,
        value=VALUE,
    ),
}


def read_golden(name: str) -> bytes:
    return (GOLDEN / name).read_bytes()


@pytest.mark.parametrize("name", ROWS)
def test_encoded_rows_match_the_golden_files(name) -> None:
    assert rows.encode(ROWS[name]) == read_golden(f"{name}.json")


@pytest.mark.parametrize("name", ROWS)
def test_rows_of_every_format_are_read(name) -> None:
    row = rows.decode(read_golden(f"{name}.json"), type(ROWS[name])).unwrap()
    assert rows.encode(row) == rows.encode(ROWS[name])


def test_a_row_with_an_added_field_is_read() -> None:
    value = read_golden("head-1.json")[:-1] + b',"colour":"red"}'
    assert rows.decode(value, rows.HeadRow).unwrap() == ROWS["head-1"]


@pytest.mark.parametrize(
    "value", [b"", b"{}", b"\xff", b'{"format":2,"revision":1,"subtrees":{}}']
)
def test_an_unreadable_row_is_a_typed_failure(value) -> None:
    assert isinstance(rows.decode(value, rows.HeadRow), result.Err)


def test_a_subtree_with_settings_of_a_later_version_is_read() -> None:
    value = b'{"classes":{"review":{"tier":1,"later":[1]}},"later":{}}'
    subtree = state.pack_subtree("teams/ledger", 7, (7,), value)
    tree = state.compile_tree(7, [subtree]).unwrap()
    assert tree.lookups.find_class("ledger", "review").tier == 1


def test_the_golden_peer_copy_is_decoded() -> None:
    tree = copies.decode(read_golden("copy-1.msgpack")).unwrap()
    written = support.Site().seed()
    assert tree.revision == written.revision
    assert tree.tree == written.tree
    assert {k: v.read() for k, v in tree.subtrees.items()} == {
        k: v.read() for k, v in written.subtrees.items()
    }
    assert tree.lookups.find_caller("treasury-key").team == "ledger"


def test_a_peer_copy_reuses_unchanged_subtrees() -> None:
    site = support.Site()
    here = site.seed()
    path = "teams/ledger/classes/review/tier"
    there = site.write(path, 2, 1, write_id="w-2").unwrap().tree
    tree = copies.decode(copies.encode(there), here).unwrap()
    same = {
        path: tree.subtrees[path] is here.subtrees[path]
        for path in tree.subtrees
    }
    assert same == {
        "root": True,
        "teams/ledger": False,
        "teams/linework": True,
    }
    assert tree.lookups.find_class("ledger", "review").tier == 2


@pytest.mark.parametrize("cut", [0, 1, 40, -1])
def test_a_damaged_peer_copy_is_a_typed_failure(cut) -> None:
    assert isinstance(
        copies.decode(read_golden("copy-1.msgpack")[:cut]), result.Err
    )


def test_a_peer_copy_with_a_damaged_subtree_is_a_typed_failure() -> None:
    body = bytearray(read_golden("copy-1.msgpack"))
    body[-1] ^= 0xFF
    assert isinstance(copies.decode(bytes(body)), result.Err)


def test_rows_after_a_session_match_the_golden_file() -> None:
    site = support.Site()
    site.seed()
    site.write("teams/ledger/classes/review/tier", 2, 1, write_id="w-2")
    found = b"\n".join(
        b"%s %d %s" % (row.key.encode(), row.version, row.value)
        for _, row in sorted(site.table.rows.items())
    )
    assert found + b"\n" == read_golden("session-1.txt")
    tree = store.read_tree(site.table, state.EMPTY).unwrap()
    assert tree.revision == 2
