"""Every outcome of a request is counted under its cause."""

import io

import pytest

from pollenfork.logbook import lines
from pollenfork.logbook import losses
from pollenfork.logbook import losses_report
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
    return losses.count(lines.parse(log, "file"))


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
def test_outcome_is_counted_under_its_cause(texts, outcome, cause) -> None:
    counts = count(*texts)
    assert counts.routes == {"r": {outcome: 1}}
    assert counts.causes == {("r", outcome, cause): 1}


FORECAST = CHOSEN + " forecast_ms={}"


def test_late_answer_is_compared_with_its_forecast() -> None:
    """Guards against a cause from the cost, which isn't only time."""
    chosen = FORECAST.format(9, 250, 20)
    counts = count(chosen, ANSWERED.format(200, 300, 0))
    assert counts.causes == {("r", Outcome.LATE, "longer than expected"): 1}


def test_errors_of_forecasts_are_counted_by_route() -> None:
    """Guards against forecasts whose error shows nowhere in operation."""
    texts = []
    for number in range(11):
        chosen = FORECAST.format(5, 900, 100)
        answered = ANSWERED.format(200, 105 + 10 * number, 0)
        texts += [
            each.replace("=q", f"=q{number}") for each in (chosen, answered)
        ]
    counts = count(*texts)
    assert counts.errors == {"r": losses.ForecastErrors(11, 10, 50, 90)}
    out = io.StringIO()
    losses_report.write(counts, out)
    assert "first event, ms observed less forecast\n" in out.getvalue()
    assert "r                      11       10       50       90\n" in (
        out.getvalue()
    )


@pytest.mark.parametrize(
    "texts",
    [
        [CHOSEN.format(5, 9), ANSWERED.format(200, 99, 0)],
        [FORECAST.format(5, 9, "-"), ANSWERED.format(200, 99, 0)],
        [FORECAST.format(5, 9, 9)] * 2 + [ANSWERED.format(200, 99, 0)],
        [FORECAST.format(5, 9, 9), ANSWERED.format(500, 99, 0)],
        [FORECAST.format(5, 9, 9), GIVEN_UP.format("time_limit", "True")],
        [ANSWERED.format(200, 99, 0)],
    ],
)
def test_other_requests_have_no_error_of_a_forecast(texts) -> None:
    """Guards against errors that no forecast made."""
    counts = count(*texts)
    assert not counts.errors
    out = io.StringIO()
    losses_report.write(counts, out)
    assert "forecast" not in out.getvalue()


def test_request_refused_before_routing_is_counted() -> None:
    counts = count("refused request=q reason=no_route")
    assert counts.causes == {("", Outcome.REFUSED, "no_route"): 1}


def test_report_shows_shares_causes_and_intervals() -> None:
    in_time = ANSWERED.format(200, 9, 0)
    late = in_time.replace("request=q", "request=p").replace("=9", "=900")
    counts = count(in_time, "store_lost table=t", "reload taken=-", late)
    out = io.StringIO()
    losses_report.write(counts, out)
    written = out.getvalue()
    assert "r                       1        1        0" in written
    assert "1  r  late: unknown" in written
    assert "0  " + "#" * 40 + "  1.000 of 1" in written
    assert "2  " + " " * 40 + "  0.000 of 1" in written


def test_report_warns_about_missing_lines() -> None:
    answered = ANSWERED.format(200, 9, 0)
    for texts, warned in (([answered], False), ([answered, MISSING], True)):
        out = io.StringIO()
        losses_report.write(count(*texts), out)
        assert ("7 lines are missing" in out.getvalue()) is warned
