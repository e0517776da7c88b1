"""Each way in which a request ends is counted under its cause."""

import io

import pytest

from pollenfork.logbook import lines
from pollenfork.logbook import losses
from pollenfork.logbook import losses_page
from pollenfork.logbook.tests import test_causes

Outcome = losses.Outcome

CHOSEN = "chosen request=q route=r waited_ms={} cost_ms={}"
ANSWERED = (
    "answered request=q route=r status={} first_ms={} target_ms=200 gap_ms={} "
    "gap_target_ms=100"
)
MISSING = "lines_missing count=7"
GIVEN_UP = "given_up request=q route=r reason={} may_have_run={}"


def count(*texts: str) -> losses.Losses:
    log = [
        test_causes.write(60.0 + second, text)
        for second, text in enumerate(texts)
    ]
    return losses.count(lines.read(log, "file"))


@pytest.mark.parametrize(
    ("texts", "outcome", "cause"),
    [
        (
            [ANSWERED.format(500, 9, 0)],
            Outcome.FAILED,
            "its runner's own error",
        ),
        ([ANSWERED.format(200, 9, 101)], Outcome.LATE, "a pause in it"),
        ([ANSWERED.format(200, 300, 0)], Outcome.LATE, "unknown"),
        (
            [CHOSEN.format(200, 9), ANSWERED.format(200, 300, 0)],
            Outcome.LATE,
            "choosing",
        ),
        (
            [CHOSEN.format(9, 200), ANSWERED.format(200, 300, 0)],
            Outcome.LATE,
            "expected at the best runner",
        ),
        (
            [CHOSEN.format(9, 9), ANSWERED.format(200, 300, 0)],
            Outcome.LATE,
            "longer than expected",
        ),
        (
            [CHOSEN.format(9, 9)] * 2 + [ANSWERED.format(200, 300, 0)],
            Outcome.LATE,
            "attempts before",
        ),
        (
            [CHOSEN.format(9, 9), GIVEN_UP.format("time_limit", "True")],
            Outcome.FAILED,
            "time_limit",
        ),
        (
            [GIVEN_UP.format("overloaded", "False")],
            Outcome.REFUSED,
            "overloaded",
        ),
        (
            ["caller_gone request=q route=r begun=True"],
            Outcome.GONE,
            "in its answer",
        ),
        ([CHOSEN.format(9, 9)], Outcome.FAILED, "its instance ended"),
    ],
)
def test_an_end_is_counted_under_its_cause(texts, outcome, cause) -> None:
    found = count(*texts)
    assert found.routes == {"r": {outcome: 1}}
    assert found.causes == {("r", outcome, cause): 1}


def test_a_request_refused_without_a_route_is_counted_too() -> None:
    found = count("refused request=q reason=no_route")
    assert found.causes == {("", Outcome.REFUSED, "no_route"): 1}


def test_the_page_shows_shares_causes_and_moments() -> None:
    in_time = ANSWERED.format(200, 9, 0)
    late = in_time.replace("request=q", "request=p").replace("=9", "=900")
    found = count(in_time, "store_lost table=t", "reload taken=-", late)
    out = io.StringIO()
    losses_page.write(found, out)
    written = out.getvalue()
    assert "r                       1        1        0" in written
    assert "1  r  late: unknown" in written
    assert "0  " + "#" * 40 + "  1.000 of 1" in written
    assert "2  " + " " * 40 + "  0.000 of 1" in written


def test_the_page_says_when_lines_are_missing() -> None:
    answered = ANSWERED.format(200, 9, 0)
    for texts, told in (([answered], False), ([answered, MISSING], True)):
        out = io.StringIO()
        losses_page.write(count(*texts), out)
        assert ("7 lines are missing" in out.getvalue()) is told
