import pytest

from pollenfork.fleet import messages
from pollenfork.gateway import counters
from pollenfork.gateway import replies
from pollenfork.gateway import retries
from pollenfork.gateway.tests import support
from pollenfork.returns import edges as returns
from pollenfork.routes import model


def record_served(counted: counters.Counters, *times: float) -> None:
    route = support.make_route(model.Kind.STREAM)
    for seconds in times:
        served = counters.AnswerLatency(whole_s=seconds, first_s=seconds / 2)
        counted.record_served(route, served)


def test_counts_are_exported_at_a_scrape() -> None:
    counted = counters.Counters()
    record_served(counted, 0.07, 0.09, 3.0)
    counted.record_wait(support.make_route(model.Kind.STREAM), 0.01)
    counted.record_attempt()
    counted.record_disconnect()
    counted.record_refused(replies.Reason.NO_RUNNER)
    counted.record_cut(replies.Reason.TIME_LIMIT)
    counted.record_retry(messages.End.BROKEN)
    counted.record_not_retried(retries.RetryDecision.BUDGET_SPENT)
    for event in returns.ReturnEvent:
        counted.record_return(event)
    counted.record_return(returns.ReturnEvent.KEPT)
    labels = 'kind="stream",tier="0"'
    for _ in range(2):  # A second scrape shows the same.
        text = counted.write().decode()
        assert 'pollenfork_refusals_total{reason="no_runner"} 1' in text
        assert 'pollenfork_streams_cut_total{reason="time_limit"} 1' in text
        assert 'pollenfork_relay_retries_total{reason="broken"} 1' in text
        assert 'not_repeated_total{reason="budget_spent"} 1' in text
        assert 'answer_seconds_bucket{kind="stream",le="0.1",' in text
        assert f"pollenfork_answer_seconds_count{{{labels}}} 3" in text
        assert f"pollenfork_first_token_seconds_count{{{labels}}} 3" in text
        assert f"pollenfork_event_gap_seconds_count{{{labels}}} 3" in text
        assert f"pollenfork_request_wait_seconds_count{{{labels}}} 1" in text
        assert f"pollenfork_targets_met_total{{{labels}}} 2" in text
        assert f"pollenfork_targets_missed_total{{{labels}}} 1" in text
        assert "pollenfork_attempts_total 1" in text
        assert "pollenfork_returns_planned_total 1" in text
        assert "pollenfork_returns_unplanned_total 1" in text
        assert "pollenfork_returns_kept_total 2" in text
        assert "pollenfork_returns_early_total 1" in text
        assert "pollenfork_callers_gone_total 1" in text


def test_callbacks_add_metrics_to_each_scrape() -> None:
    counted = counters.Counters()
    counted.when_scraped(lambda shown: shown.set_gauge("x_revision", 7))
    assert "x_revision 7" in counted.write().decode()


@pytest.mark.parametrize(
    ("first_s", "gap_s", "met"),
    [(0.1, 0.1, True), (0.11, 0.0, False), (0.1, 0.11, False)],
)
def test_an_answer_meets_its_targets_or_not(first_s, gap_s, met) -> None:
    route = support.make_route(model.Kind.STREAM)
    served = counters.AnswerLatency(whole_s=9.0, first_s=first_s, gap_s=gap_s)
    assert served.meets(route) is met
