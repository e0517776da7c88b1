import pytest

from pollenfork.fleet import messages
from pollenfork.gateway import counters
from pollenfork.gateway import replies
from pollenfork.gateway import retries
from pollenfork.gateway.tests import support
from pollenfork.routes import model


def serve(counted: counters.Counters, *times: float) -> None:
    route = support.make_route(model.Kind.STREAM)
    for seconds in times:
        served = counters.Served(whole_s=seconds, first_s=seconds / 2)
        counted.note_served(route, served)


def test_counts_are_shown_to_a_scraper() -> None:
    counted = counters.Counters()
    serve(counted, 0.07, 0.09, 3.0)
    counted.note_wait(support.make_route(model.Kind.STREAM), 0.01)
    counted.note_sent()
    counted.note_gone()
    counted.note_refused(replies.Reason.NO_RUNNER)
    counted.note_repeat(messages.End.BROKEN)
    counted.note_not_repeated(retries.RetryDecision.BUDGET_SPENT)
    labels = 'kind="stream",tier="0"'
    for _ in range(2):  # A second scrape shows the same.
        text = counted.write().decode()
        assert 'pollenfork_refusals_total{reason="no_runner"} 1' in text
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
        assert "pollenfork_callers_gone_total 1" in text


def test_other_parts_add_what_they_counted_to_each_scrape() -> None:
    counted = counters.Counters()
    counted.when_shown(lambda shown: shown.set_gauge("x_revision", 7))
    assert "x_revision 7" in counted.write().decode()


@pytest.mark.parametrize(
    ("first_s", "gap_s", "met"),
    [(0.1, 0.1, True), (0.11, 0.0, False), (0.1, 0.11, False)],
)
def test_an_answer_meets_its_targets_or_not(first_s, gap_s, met) -> None:
    route = support.make_route(model.Kind.STREAM)
    served = counters.Served(whole_s=9.0, first_s=first_s, gap_s=gap_s)
    assert served.meets(route) is met
