"""Whole load runs against an engine stand-in, fault by fault."""

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


def test_without_faults_every_answer_is_whole_and_nothing_is_wasted():
    report = run()
    for figures in report.classes.values():
        assert figures.sent == figures.whole > 0
        assert figures.reasons == {}
        assert 0 < figures.first_token_p50 <= figures.first_token_p95
    assert report.classes["stream"].gap_p95 > 0
    sent = sum(figures.sent for figures in report.classes.values())
    assert report.waste == reports.Waste(
        generated=5 * sent,
        received=5 * sent,
        wasted=0,
        share=0.0,
        repeats=0,
        run_though_refused=0,
    )


def test_refusals_count_by_reason_and_ran_nowhere():
    report = run(configs.Faults(refuse=True))
    figures = report.classes["stream"]
    assert figures.reasons == {"refused:refusing": figures.sent}
    assert figures.attainment == 0
    assert report.waste.generated == 0
    assert report.waste.run_though_refused == 0


@pytest.mark.parametrize("when", list(configs.CrashPoint))
def test_a_broken_answer_counts_as_waste(when):
    crash = configs.Crash(when=when, after_tokens=2, resumable=False, times=1)
    report = run(configs.Faults(crash=crash))
    missing = sum(f.sent - f.whole for f in report.classes.values())
    assert missing == 1
    expected = {"before_first": 1, "midway": 3, "at_end": 5}[when.value]
    assert report.waste.wasted == expected


def test_late_answers_are_whole_but_not_attained():
    strict = msgspec.structs.replace(
        SCENARIO,
        classes={
            name: msgspec.structs.replace(kind, target_first_token_ms=0.001)
            for name, kind in SCENARIO.classes.items()
        },
    )
    figures = run(scenario=strict).classes["stream"]
    assert figures.whole == figures.sent
    assert figures.attained == 0


def test_requests_beyond_the_tool_s_own_limit_are_told():
    one = msgspec.structs.replace(SCENARIO, max_open=1)
    report = run(configs.Faults(slowdown=20), scenario=one)
    reasons = report.classes["stream"].reasons
    assert reasons.get("not_sent:max_open", 0) > 0


@pytest.mark.parametrize("is_terminal", [True, False])
def test_the_table_shows_each_class_and_the_waste(is_terminal):
    out = io.StringIO()
    table.write_report(run(configs.Faults(refuse=True)), out, is_terminal)
    shown = out.getvalue()
    assert "stream" in shown
    assert "refused" in shown
    assert "wasted 0 (0.00%)" in shown
