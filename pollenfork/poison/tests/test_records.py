"""Quarantined requests are stored whole; any stored value can be read."""

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import records

NOW, WALL = 50.0, 1_700_000_000.0
HISTORY = crashes.CrashHistory(
    ids.RequestDigest(0xABC),
    [crashes.Crash(7, 40.0, 41.0, 3), crashes.Crash(8, 43.0, 44.0, 4)],
)


def test_the_age_of_each_crash_survives_a_restart() -> None:
    value = records.encode(HISTORY, NOW, WALL)
    key = records.format_key(HISTORY.digest)
    # Ten seconds later, on a machine that has just booted.
    read = records.decode(key, value, 2.0, WALL + 10.0).unwrap()
    assert read.digest == HISTORY.digest
    assert [each.runner_hash for each in read.crashes] == [7, 8]
    assert read.crashes[0].crashed_at == pytest.approx(2.0 - 19.0, abs=0.01)


def test_a_clock_that_is_behind_puts_no_crash_into_the_future() -> None:
    value = records.encode(HISTORY, NOW, WALL)
    key = records.format_key(HISTORY.digest)
    read = records.decode(key, value, 2.0, WALL - 3600.0).unwrap()
    assert all(each.crashed_at <= 2.0 for each in read.crashes)


@hypothesis.given(strategies.text(), strategies.binary())
def test_no_stored_value_raises_an_exception(key, value) -> None:
    assert records.decode(key, value, NOW, WALL).is_err()
