"""The judge sees each way in which the promise can be broken."""

import pytest

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties.tests import judge

A, B = "10.0.0.1", "10.0.0.2"


def call(at, machine, fencing, window=1, count=1, excused=False):
    report = messages.Report(window, {ids.AccountId("a"): count})
    return judge.Called(at, machine, fencing, report, excused)


@pytest.mark.parametrize(
    "calls",
    [
        [call(0.0, A, 1), call(0.1, A, 1, count=2)],
        [call(0.0, A, 1), call(9.0, B, 1, window=2)],
        [call(0.0, B, 2), call(9.0, A, 1, window=2)],
        [call(0.0, A, 1), call(1.0, B, 2), call(2.9, A, 3)],
    ],
)
def test_broken_promises_are_found(calls) -> None:
    assert judge.find_broken(calls, 3.0)


@pytest.mark.parametrize(
    "calls",
    [
        [call(0.0, A, 1), call(0.1, A, 1), call(0.2, B, 2)],
        [call(0.0, A, 1), call(1.0, B, 2), call(3.0, A, 3)],
        [call(0.0, B, 2), call(0.1, A, 1, excused=True)],
    ],
)
def test_what_is_allowed_is_not(calls) -> None:
    assert not judge.find_broken(calls, 3.0)
