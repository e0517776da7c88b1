"""Tests that a table sent by one instance is the same at another."""

import random
import tracemalloc
import zlib

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest
import result

from pollenfork.catalogue import messages
from pollenfork.catalogue import table_copy
from pollenfork.catalogue import watch

Row = messages.Row
KEYS = ("a", "b", "c")


def make_watch() -> watch.Watch:
    return watch.Watch(random.Random(1), wait_s=1.0)


def send(
    source: table_copy.TableCopy, watched: watch.Watch
) -> messages.Changes | None:
    rows = table_copy.decode(source.encode()).unwrap()
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
def test_after_any_changes_another_instance_has_the_same_rows(steps):
    """Each step: a key, whether it is removed, whether the other then asks."""
    source, target = table_copy.TableCopy(), table_copy.TableCopy()
    watched = make_watch()
    present: dict[str, int] = {}
    for version, (key, removed, asks) in enumerate(steps, start=1):
        removed = removed and key in present
        row = Row(key, b"%d" % version, version, removed)
        source.apply(messages.Changes((row,), version))
        present.pop(key, None)
        if not removed:
            present[key] = version
        if asks:
            changes = send(source, watched)
            assert changes is not None and changes.through == version
            target.apply(changes)
    last = send(source, watched)
    if last is not None:
        target.apply(last)
    rows = table_copy.decode(target.encode()).unwrap()
    assert {row.key: row.version for row in rows.rows} == present


def test_a_table_that_is_not_newer_changes_nothing() -> None:
    source = table_copy.TableCopy()
    source.apply(messages.Changes((Row("a", b"1", 3),), 5))
    watched = make_watch()
    watched.take_table(messages.Rows((Row("a", b"1", 3), Row("b", b"", 6)), 6))
    assert send(source, watched) is None
    # Rows that the other didn't know yet don't count as removed.
    assert watched.next_call().after == 6


def test_an_instance_that_has_read_nothing_is_ignored() -> None:
    watched = make_watch()
    assert send(table_copy.TableCopy(), watched) is None
    assert watched.next_call().after is None


def test_after_a_table_the_store_is_asked_for_later_changes() -> None:
    source = table_copy.TableCopy()
    source.apply(messages.Changes((Row("a", b"1", 3),), 9))
    watched = make_watch()
    assert send(source, watched).through == 9
    assert watched.next_call().after == 9


def test_a_table_of_an_earlier_version_is_decoded() -> None:
    packed = zlib.compress(msgspec.msgpack.encode((Row("a", b"1", 3),)))
    for unused in (None, 1.5):
        data = msgspec.msgpack.encode((7, unused, packed))
        rows = table_copy.decode(data).unwrap()
        assert rows == messages.Rows((Row("a", b"1", 3),), 7)


def test_an_earlier_version_can_decode_a_table() -> None:
    source = table_copy.TableCopy()
    source.apply(messages.Changes((Row("a", b"1", 3),), 7))
    through, unused, packed, *_ = msgspec.msgpack.decode(source.encode())
    assert (through, unused) == (7, None)
    rows = msgspec.msgpack.decode(zlib.decompress(packed))
    assert [row["key"] for row in rows] == ["a"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no table",
        msgspec.msgpack.encode(table_copy.EncodedTable(1, None, b"not packed")),
    ],
)
def test_an_invalid_table_is_a_failure(data) -> None:
    assert isinstance(table_copy.decode(data), result.Err)


def test_a_table_reports_a_removal_that_its_sender_never_saw() -> None:
    # Read in full at version 9, after the removal of a row that others know.
    first = make_watch()
    changes = first.take_rows(
        first.next_call(), messages.Rows((Row("a", b"1", 3),), 9)
    )
    assert changes is not None and changes.last_change == 9
    source = table_copy.TableCopy()
    source.apply(changes)
    # Changes to other tables advance the version without a change here.
    source.apply(messages.Changes((), 12))
    again = send(source, make_watch())
    assert again is not None and (again.through, again.last_change) == (12, 9)


def test_a_table_that_unpacks_without_end_is_refused() -> None:
    """Guards against a few kilobytes of a peer that fill the memory."""
    packed = zlib.compress(b"\xdd\xff\xff\xff\xff" + b"\x00" * (64 << 20), 1)
    assert len(packed) < 1 << 20
    data = msgspec.msgpack.encode(table_copy.EncodedTable(1, None, packed))
    tracemalloc.start()
    assert isinstance(table_copy.decode(data), result.Err)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 48 << 20
