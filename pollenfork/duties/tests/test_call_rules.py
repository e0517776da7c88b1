"""Each rule for calls to the platform is checked."""

import pytest

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties.tests import call_rules

A, B = "10.0.0.1", "10.0.0.2"


def call(at, machine, fencing, window=1, count=1, excused=False):
    report = messages.UsageReport(window, {ids.AccountId("a"): count})
    return call_rules.ReceivedCall(at, machine, fencing, report, excused)


@pytest.mark.parametrize(
    "calls",
    [
        [call(0.0, A, 1), call(0.1, A, 1, count=2)],
        [call(0.0, A, 1), call(9.0, B, 1, window=2)],
        [call(0.0, B, 2), call(9.0, A, 1, window=2)],
        [call(0.0, A, 1), call(1.0, B, 2), call(2.9, A, 3)],
    ],
)
def test_violations_are_found(calls) -> None:
    assert call_rules.find_violations(calls, 3.0)


@pytest.mark.parametrize(
    "calls",
    [
        [call(0.0, A, 1), call(0.1, A, 1), call(0.2, B, 2)],
        [call(0.0, A, 1), call(1.0, B, 2), call(3.0, A, 3)],
        [call(0.0, B, 2), call(0.1, A, 1, excused=True)],
    ],
)
def test_allowed_calls_are_no_violations(calls) -> None:
    assert not call_rules.find_violations(calls, 3.0)
