"""What is kept back is stored whole, and read whatever a writer left."""

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import records

NOW, WALL = 50.0, 1_700_000_000.0
CASE = crashes.CrashHistory(
    ids.RequestDigest(0xABC),
    [crashes.Crash(7, 40.0, 41.0, 3), crashes.Crash(8, 43.0, 44.0, 4)],
)


def test_a_start_reads_how_long_ago_each_end_was() -> None:
    value = records.encode(CASE, NOW, WALL)
    key = records.format_key(CASE.digest)
    # Ten seconds later, on a machine that has just started.
    read = records.decode(key, value, 2.0, WALL + 10.0).unwrap()
    assert read.digest == CASE.digest
    assert [each.runner_hash for each in read.crashes] == [7, 8]
    assert read.crashes[0].crashed_at == pytest.approx(2.0 - 19.0, abs=0.01)


def test_a_clock_that_is_behind_makes_no_end_of_the_future() -> None:
    value = records.encode(CASE, NOW, WALL)
    key = records.format_key(CASE.digest)
    read = records.decode(key, value, 2.0, WALL - 3600.0).unwrap()
    assert all(each.crashed_at <= 2.0 for each in read.crashes)


@hypothesis.given(strategies.text(), strategies.binary())
def test_whatever_is_stored_raises_nothing(key, value) -> None:
    assert records.decode(key, value, NOW, WALL).is_err()
