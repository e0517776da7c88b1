"""Metrics of requests, and the bound on the number of label values."""

from pollenfork import clock
from pollenfork import ids
from pollenfork import metrics
from pollenfork.entry import request_log


def read_samples(counters: metrics.Metrics) -> dict[str, str]:
    lines = counters.render()[0].decode().splitlines()
    return dict(
        line.rsplit(" ", 1) for line in lines if not line.startswith("#")
    )


def test_times_are_measured_from_arrival() -> None:
    now = clock.ManualClock()
    counters = metrics.Metrics()
    log = request_log.RequestLogFactory(counters, now, lambda: "r").start()
    log.team = ids.Team("linework")
    log.service_class = ids.ClassName("morning")
    now.advance(0.2)
    log.record_granted(ids.EndpointId("runner-1"))
    now.advance(0.5)
    log.record_first_bytes()
    now.advance(8)
    log.record_end(200, ended=True)
    samples = read_samples(counters)
    labels = '{service_class="morning",team="linework"}'
    sums = {
        name: float(samples[f"pollenfork_{name}_seconds_sum{labels}"])
        for name in ("request_wait", "first_token", "answer")
    }
    assert sums == {
        "request_wait": 0.2,
        "first_token": 0.7,
        "answer": 8.7,
    }


def test_answer_is_not_timed_if_its_caller_disconnects() -> None:
    counters = metrics.Metrics()
    log = request_log.RequestLogFactory(
        counters, clock.ManualClock(), lambda: "r"
    ).start()
    log.record_end(200, ended=False)
    samples = read_samples(counters)
    assert list(samples) == [
        'pollenfork_answers_total{end="caller_gone",service_class="",'
        'status="2xx",team=""}'
    ]


def test_series_of_a_metric_are_bounded() -> None:
    counters = metrics.Metrics()
    for _ in range(2):
        for number in range(metrics.MAX_SERIES + 5):
            counters.count("pollenfork_refusals_total", team=str(number))
    samples = read_samples(counters)
    name = "pollenfork_refusals_total"
    assert samples.pop(f'{name}{{team="other"}}') == "10"
    dropped = f'pollenfork_series_dropped_total{{metric="{name}"}}'
    assert samples.pop(dropped) == "10"
    assert set(samples.values()) == {"2"}
    assert len(samples) == metrics.MAX_SERIES


def test_series_of_a_histogram_are_bounded() -> None:
    counters = metrics.Metrics()
    name = "pollenfork_answer_seconds"
    for number in range(metrics.MAX_HISTOGRAM_SERIES + 5):
        counters.observe(name, 0.1, team=str(number))
    samples = read_samples(counters)
    assert samples[f'{name}_count{{team="other"}}'] == "5.0"
    counts = [key for key in samples if key.startswith(f"{name}_count")]
    assert len(counts) == metrics.MAX_HISTOGRAM_SERIES + 1


def test_team_name_is_escaped_in_its_label() -> None:
    counters = metrics.Metrics()
    name = "pollenfork_refusals_total"
    counters.count(name, team='a"} 9\nx\\')
    samples = read_samples(counters)
    assert samples == {f'{name}{{team="a\\"}} 9\\nx\\\\"}}': "1"}
