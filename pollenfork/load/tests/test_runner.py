"""Runs scenarios against an engine stand-in with various faults."""

import io

import msgspec
import pytest

from pollenfork import clock
from pollenfork.load import report as reports
from pollenfork.load import runner
from pollenfork.load import scenario as scenarios
from pollenfork.load import table
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import front

SCENARIO = msgspec.convert(
    {
        "classes": {
            "stream": {"key": "k", "answer": {"median": 5}},
            "plain": {"key": "k", "answer": {"median": 5}, "stream": False},
        },
        "phases": [{"duration_s": 0.1, "rates": {"stream": 200, "plain": 100}}],
        "timeout_s": 20,
    },
    type=scenarios.Scenario,
)


def run(faults=configs.Faults(), scenario=SCENARIO) -> reports.Report:
    config = configs.EngineConfig(step_ms=0.5, slots=64, faults=faults)
    standin = front.EngineStandin(config, clock.SystemClock())
    address = standin.start()
    try:
        return runner.run(scenario, (address,), (address,), clock.SystemClock())
    finally:
        standin.stop()


def test_run_without_faults_is_complete_and_wastes_nothing():
    report = run()
    for results in report.classes.values():
        assert results.sent == results.whole > 0
        assert results.reasons == {}
        assert 0 < results.first_token_p50 <= results.first_token_p95
    assert report.classes["stream"].gap_p95 > 0
    sent = sum(results.sent for results in report.classes.values())
    assert report.waste == reports.Waste(
        generated=5 * sent,
        received=5 * sent,
        wasted=0,
        share=0.0,
        repeats=0,
        run_though_refused=0,
    )


def test_refusals_are_counted_by_reason_and_not_run():
    report = run(configs.Faults(refuse=True))
    results = report.classes["stream"]
    assert results.reasons == {"refused:refusing": results.sent}
    assert results.attainment == 0
    assert report.waste.generated == 0
    assert report.waste.run_though_refused == 0


@pytest.mark.parametrize("when", list(configs.CrashPoint))
def test_broken_answer_counts_as_waste(when):
    crash = configs.Crash(when=when, after_tokens=2, resumable=False, times=1)
    report = run(configs.Faults(crash=crash))
    missing = sum(f.sent - f.whole for f in report.classes.values())
    assert missing == 1
    expected = {"before_first": 1, "midway": 3, "at_end": 5}[when.value]
    assert report.waste.wasted == expected


def test_late_answers_are_complete_but_not_attained():
    strict = msgspec.structs.replace(
        SCENARIO,
        classes={
            name: msgspec.structs.replace(kind, target_first_token_ms=0.001)
            for name, kind in SCENARIO.classes.items()
        },
    )
    results = run(scenario=strict).classes["stream"]
    assert results.whole == results.sent
    assert results.attained == 0


def test_requests_beyond_max_open_are_counted_as_not_sent():
    one = msgspec.structs.replace(SCENARIO, max_open=1)
    report = run(configs.Faults(slowdown=20), scenario=one)
    reasons = report.classes["stream"].reasons
    assert reasons.get("not_sent:max_open", 0) > 0


@pytest.mark.parametrize("is_terminal", [True, False])
def test_table_shows_each_class_and_waste(is_terminal):
    out = io.StringIO()
    table.write_report(run(configs.Faults(refuse=True)), out, is_terminal)
    shown = out.getvalue()
    assert "stream" in shown
    assert "refused" in shown
    assert "wasted 0 (0.00%)" in shown
