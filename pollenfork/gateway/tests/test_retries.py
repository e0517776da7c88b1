"""The retry decision after each kind of end of an attempt."""

import pytest

from pollenfork import ids
from pollenfork.gateway import attempt
from pollenfork.gateway import messages
from pollenfork.gateway import retries
from pollenfork.gateway.tests import support
from pollenfork.routes import model

End = retries.End
RetryDecision = retries.RetryDecision
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
        (End.WHOLE, RetryDecision.ANSWERED, RetryDecision.ANSWERED),
        (End.UNSENT, RetryDecision.RETRIED, RetryDecision.RETRIED),
        (End.REFUSED, RetryDecision.RETRIED, RetryDecision.RETRIED),
        (End.DISPLACED, RetryDecision.RETRIED, RetryDecision.RETRIED),
        (End.BROKEN, RetryDecision.NOT_IDEMPOTENT, RetryDecision.RETRIED),
        (End.SILENT, RetryDecision.NOT_IDEMPOTENT, RetryDecision.RETRIED),
    ],
)
def test_only_requests_that_did_not_run_or_may_run_twice_are_retried(
    end, once, safe
) -> None:
    assert decide(ONCE, make_ended(end)) is once
    assert decide(SAFE, make_ended(end)) is safe


def test_a_server_error_is_retried_on_a_repeatable_route() -> None:
    failed = make_ended(End.WHOLE, status=500)
    assert decide(ONCE, failed) is RetryDecision.NOT_IDEMPOTENT
    assert decide(SAFE, failed) is RetryDecision.RETRIED


@pytest.mark.parametrize(
    ("given", "decision"),
    [
        ({"sent": 2}, RetryDecision.ATTEMPTS_SPENT),
        ({"runners_tried": 4}, RetryDecision.RUNNERS_EXHAUSTED),
        ({"left_s": 0.0}, RetryDecision.NO_TIME),
        ({"budget": False}, RetryDecision.BUDGET_SPENT),
    ],
)
def test_each_limit_gives_its_own_decision(given, decision) -> None:
    assert decide(SAFE, make_ended(End.BROKEN), **given) is decision


def test_an_unsent_request_is_not_charged_to_the_budget() -> None:
    unsent = make_ended(End.UNSENT)
    assert decide(SAFE, unsent, budget=False) is RetryDecision.RETRIED


def test_the_history_records_whether_the_request_may_have_run() -> None:
    history = retries.AttemptHistory()
    for end in (End.UNSENT, End.REFUSED, End.DISPLACED):
        history.record(make_ended(end))
        assert not history.may_have_run
    history.record(make_ended(End.SILENT))
    history.record(make_ended(End.REFUSED))
    assert history.may_have_run
    assert history.runners_tried == 5


def test_a_displaced_runner_does_not_count_as_an_attempt() -> None:
    single = support.make_route(model.Kind.AT_MOST_ONCE, attempts=1)
    history = retries.AttemptHistory(sent=1)
    displaced = make_ended(End.DISPLACED)
    history.record(displaced)
    decision = retries.decide(displaced, single, history, 1.0, lambda: True)
    assert decision is RetryDecision.RETRIED
    assert not history.may_have_run


def test_the_number_of_displaced_runners_tried_is_bounded() -> None:
    history = retries.AttemptHistory()
    displaced = make_ended(End.DISPLACED)
    for _ in range(4):
        history.sent += 1
        history.record(displaced)
    decision = retries.decide(displaced, ONCE, history, 1.0, lambda: True)
    assert decision is RetryDecision.RUNNERS_EXHAUSTED
