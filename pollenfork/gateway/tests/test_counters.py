from pollenfork.fleet import messages
from pollenfork.gateway import counters
from pollenfork.gateway import replies
from pollenfork.gateway.tests import support
from pollenfork.routes import model


def test_counts_are_shown_to_a_scraper() -> None:
    counted = counters.Counters()
    route = support.make_route(model.Kind.STREAM)
    for seconds in (0.07, 0.09, 3.0):
        counted.note_served(route, seconds)
    counted.note_sent()
    counted.note_refused(replies.Reason.NO_RUNNER)
    counted.note_repeat(messages.End.BROKEN)
    for _ in range(2):  # A second scrape shows the same.
        text = counted.write().decode()
        assert 'pollenfork_refusals_total{reason="no_runner"} 1' in text
        assert 'pollenfork_relay_retries_total{reason="broken"} 1' in text
        assert 'kind="stream",le="0.1"} 2' in text
        assert 'pollenfork_answer_seconds_count{kind="stream"} 3' in text
        assert "pollenfork_attempts_total 1" in text
