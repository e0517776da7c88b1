"""The table of promised returns."""

import math

import pytest

from pollenfork import ids
from pollenfork.returns import promises

NOW = 100.0
DIGEST = 7


def make_table(*due: float) -> promises.PromiseTable:
    """Returns a table with promises of one digest, made at `NOW`."""
    table = promises.PromiseTable()
    for each in due:
        assert table.add(DIGEST, NOW + each, 100, NOW)
    return table


def claim(table, after: float, digest: int = DIGEST):
    return table.claim(digest, NOW + after, NOW + after)


def test_a_promise_is_kept_once() -> None:
    """Guards against a caller that uses one promise repeatedly."""
    table = make_table(1.0)
    assert claim(table, 1.1).late_s == pytest.approx(0.1)
    assert claim(table, 1.2) is None
    assert len(table) == 0


@pytest.mark.parametrize(
    ("after", "kind"),
    [
        (0.94, promises.Early),
        (0.96, promises.Kept),
        (2.99, promises.Kept),
        (3.01, type(None)),
    ],
)
def test_a_promise_holds_from_just_before_until_2_s_after(after, kind) -> None:
    """Guards against refusing callers whose timers are a little off."""
    assert isinstance(claim(make_table(1.0), after), kind)


def test_an_early_return_changes_nothing() -> None:
    """Guards against a gain or a loss of a place by an early return."""
    table = make_table(1.0)
    assert claim(table, 0.4).left_s == pytest.approx(0.6)
    assert len(table) == 1
    assert isinstance(claim(table, 1.0), promises.Kept)


def test_equal_digests_have_a_promise_each() -> None:
    """Guards against a caller that loses its place to one with equal text."""
    table = make_table(1.2, 1.0)
    assert isinstance(claim(table, 1.0), promises.Kept)
    assert claim(table, 1.1).left_s == pytest.approx(0.1)
    assert isinstance(claim(table, 1.2), promises.Kept)
    assert claim(table, 1.3) is None


def test_a_request_that_arrived_before_the_promise_is_another_one() -> None:
    """Guards against taking simultaneous requests for one that returns."""
    table = promises.PromiseTable()
    table.add(DIGEST, NOW + 1.0, 100, NOW)
    assert table.claim(DIGEST, NOW, NOW + 0.01) is None
    assert table.claim(DIGEST, NOW - 0.01, NOW + 0.01) is None
    assert isinstance(claim(table, 0.02), promises.Early)


def test_only_so_many_promises_are_kept() -> None:
    """Guards against memory that grows with the number of refusals."""
    table = promises.PromiseTable()
    for number in range(4096):
        assert table.add(number, NOW + 1.0 + number / 4096, 1, NOW)
    assert not table.add(9999, NOW + 1.0, 1, NOW)
    assert len(table) == 4096
    # An overdue promise, most likely used elsewhere, makes room for a new one.
    assert table.add(9999, NOW + 3.0, 1, NOW + 1.0001)
    assert len(table) == 4096
    assert claim(table, 1.1, digest=0) is None
    assert isinstance(claim(table, 1.1, digest=1), promises.Kept)


def test_promises_end_2_s_after_they_are_due() -> None:
    """Guards against promises of callers that never return."""
    table = make_table(1.0, 1.5)
    table.count_tokens(NOW + 3.2, 0.5)
    assert len(table) == 1
    table.count_tokens(NOW + 3.6, 0.5)
    assert len(table) == 0
    assert not table._by_digest and not table._queue and not table._tokens


@pytest.mark.parametrize(
    ("due", "tokens"),
    [
        (math.nan, 1),
        (math.inf, 1),
        (-math.inf, 1),
        (NOW + 61.0, 1),
        (NOW - 2.0, 1),
        (NOW + 1.0, -1),
        (NOW + 1.0, 10_000_001),
    ],
)
def test_invalid_promises_are_ignored(due, tokens) -> None:
    """Guards against a peer's invalid message that changes decisions."""
    table = promises.PromiseTable()
    assert not table.add(DIGEST, due, tokens, NOW)
    assert len(table) == 0


def test_tokens_due_soon_are_counted_until_used() -> None:
    """Guards against admitting new requests in place of promised ones."""
    table = make_table(0.2, 0.4, 1.0)
    assert table.count_tokens(NOW, 0.5) == 200
    assert isinstance(claim(table, 0.2), promises.Kept)
    assert table.count_tokens(NOW + 0.2, 0.5) == 100
    assert table.count_tokens(NOW + 0.6, 0.5) == 100
    assert table.count_tokens(NOW + 1.1, 0.5) == 0


def test_digests_are_shortened_as_in_datagrams() -> None:
    """Guards against promises that other instances can't match."""
    digest = ids.RequestDigest(0x0123456789ABCDEF)
    assert promises.shorten_digest(digest) == 0x89ABCDEF
