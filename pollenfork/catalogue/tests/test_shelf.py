"""A table told by one instance is the same at another."""

import random
import zlib

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest
import result

from pollenfork.catalogue import messages
from pollenfork.catalogue import shelf
from pollenfork.catalogue import watch

Row = messages.Row
KEYS = ("a", "b", "c")


def make_watch() -> watch.Watch:
    return watch.Watch(random.Random(1), wait_s=1.0)


def share(kept: shelf.Shelf, watched: watch.Watch) -> messages.Changes | None:
    rows = shelf.read(kept.write()).unwrap()
    return watched.take_table(rows)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(KEYS),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_whatever_changes_another_instance_ends_with_the_same_rows(steps):
    """Steps: a key, whether it is removed, whether the other asks then."""
    told, other = shelf.Shelf(), shelf.Shelf()
    watched = make_watch()
    present: dict[str, int] = {}
    for version, (key, removed, asks) in enumerate(steps, start=1):
        removed = removed and key in present
        row = Row(key, b"%d" % version, version, removed)
        told.take(messages.Changes((row,), version))
        present.pop(key, None)
        if not removed:
            present[key] = version
        if asks:
            changes = share(told, watched)
            assert changes is not None and changes.through == version
            other.take(changes)
    last = share(told, watched)
    if last is not None:
        other.take(last)
    rows = shelf.read(other.write()).unwrap()
    assert {row.key: row.version for row in rows.rows} == present


def test_a_table_that_is_no_newer_changes_nothing() -> None:
    told = shelf.Shelf()
    told.take(messages.Changes((Row("a", b"1", 3),), 5))
    watched = make_watch()
    watched.take_table(messages.Rows((Row("a", b"1", 3), Row("b", b"", 6)), 6))
    assert share(told, watched) is None
    # What the other didn't know yet is not taken for removed.
    assert watched.next_ask().after == 6


def test_an_instance_that_has_read_nothing_tells_nothing() -> None:
    watched = make_watch()
    assert share(shelf.Shelf(), watched) is None
    assert watched.next_ask().after is None


def test_what_follows_a_table_is_asked_of_the_store_from_there() -> None:
    told = shelf.Shelf()
    told.take(messages.Changes((Row("a", b"1", 3),), 9))
    watched = make_watch()
    assert share(told, watched).through == 9
    assert watched.next_ask().after == 9


def test_a_table_that_an_earlier_version_tells_is_read() -> None:
    packed = zlib.compress(msgspec.msgpack.encode((Row("a", b"1", 3),)))
    for back_s in (None, 1.5):
        told = msgspec.msgpack.encode((7, back_s, packed))
        rows = shelf.read(told).unwrap()
        assert rows == messages.Rows((Row("a", b"1", 3),), 7)


def test_an_earlier_version_reads_what_is_told() -> None:
    told = shelf.Shelf()
    told.take(messages.Changes((Row("a", b"1", 3),), 7))
    through, back_s, packed, *_ = msgspec.msgpack.decode(told.write())
    assert (through, back_s) == (7, None)
    rows = msgspec.msgpack.decode(zlib.decompress(packed))
    assert [row["key"] for row in rows] == ["a"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no table",
        msgspec.msgpack.encode(shelf.Shared(1, None, b"not packed")),
    ],
)
def test_what_is_no_table_is_told_as_a_failure(data) -> None:
    assert isinstance(shelf.read(data), result.Err)


def test_a_table_tells_of_a_removal_that_its_reader_never_saw() -> None:
    # Read whole at version 9, after a row that others know was removed.
    first = make_watch()
    changes = first.take_rows(
        first.next_ask(), messages.Rows((Row("a", b"1", 3),), 9)
    )
    assert changes is not None and changes.news == 9
    told = shelf.Shelf()
    told.take(changes)
    # Changes elsewhere move on without news of this table.
    told.take(messages.Changes((), 12))
    again = share(told, make_watch())
    assert again is not None and (again.through, again.news) == (12, 9)
