"""What follows each end of an attempt, as a table."""

import pytest

from pollenfork import ids
from pollenfork.gateway import attempt
from pollenfork.gateway import messages
from pollenfork.gateway import retries
from pollenfork.gateway.tests import support
from pollenfork.routes import model

End = retries.End
Sequel = retries.RetryDecision
ONCE = support.make_route(model.Kind.AT_MOST_ONCE)
SAFE = support.make_route(model.Kind.REPEATABLE)


def make_ended(end: End, status: int = 200) -> attempt.AttemptResult:
    head = messages.ResponseHead(
        status=status,
        attempt=ids.AttemptId("q"),
        sealed=True,
        not_run=False,
        events=False,
        headers=[],
    )
    return attempt.AttemptResult(end, head)


def decide(route, ended, *, sent=1, runners_tried=1, left_s=1.0, budget=True):
    history = retries.AttemptHistory(sent, runners_tried)
    return retries.decide(ended, route, history, left_s, lambda: budget)


@pytest.mark.parametrize(
    ("end", "once", "safe"),
    [
        (End.WHOLE, Sequel.ANSWERED, Sequel.ANSWERED),
        (End.UNSENT, Sequel.RETRIED, Sequel.RETRIED),
        (End.REFUSED, Sequel.RETRIED, Sequel.RETRIED),
        (End.DISPLACED, Sequel.RETRIED, Sequel.RETRIED),
        (End.BROKEN, Sequel.NOT_IDEMPOTENT, Sequel.RETRIED),
        (End.SILENT, Sequel.NOT_IDEMPOTENT, Sequel.RETRIED),
    ],
)
def test_only_what_surely_has_not_run_or_may_run_twice_is_repeated(
    end, once, safe
) -> None:
    assert decide(ONCE, make_ended(end)) is once
    assert decide(SAFE, make_ended(end)) is safe


def test_a_runners_own_error_is_repeated_where_it_may_run_twice() -> None:
    failed = make_ended(End.WHOLE, status=500)
    assert decide(ONCE, failed) is Sequel.NOT_IDEMPOTENT
    assert decide(SAFE, failed) is Sequel.RETRIED


@pytest.mark.parametrize(
    ("given", "sequel"),
    [
        ({"sent": 2}, Sequel.ATTEMPTS_SPENT),
        ({"runners_tried": 4}, Sequel.RUNNERS_EXHAUSTED),
        ({"left_s": 0.0}, Sequel.NO_TIME),
        ({"budget": False}, Sequel.BUDGET_SPENT),
    ],
)
def test_each_limit_that_ends_the_attempts_has_its_name(given, sequel) -> None:
    assert decide(SAFE, make_ended(End.BROKEN), **given) is sequel


def test_what_was_never_sent_takes_nothing_from_the_budget() -> None:
    unsent = make_ended(End.UNSENT)
    assert decide(SAFE, unsent, budget=False) is Sequel.RETRIED


def test_a_course_remembers_what_may_have_run() -> None:
    history = retries.AttemptHistory()
    for end in (End.UNSENT, End.REFUSED, End.DISPLACED):
        history.record(make_ended(end))
        assert not history.may_have_run
    history.record(make_ended(End.SILENT))
    history.record(make_ended(End.REFUSED))
    assert history.may_have_run
    assert history.runners_tried == 5


def test_a_send_that_met_another_runner_spends_no_attempt() -> None:
    single = support.make_route(model.Kind.AT_MOST_ONCE, attempts=1)
    history = retries.AttemptHistory(sent=1)
    displaced = make_ended(End.DISPLACED)
    history.record(displaced)
    sequel = retries.decide(displaced, single, history, 1.0, lambda: True)
    assert sequel is Sequel.RETRIED
    assert not history.may_have_run


def test_the_search_past_displaced_runners_ends() -> None:
    history = retries.AttemptHistory()
    displaced = make_ended(End.DISPLACED)
    for _ in range(4):
        history.sent += 1
        history.record(displaced)
    sequel = retries.decide(displaced, ONCE, history, 1.0, lambda: True)
    assert sequel is Sequel.RUNNERS_EXHAUSTED
