"""The explanation of every outcome of a request, derived from log lines."""

import io

import pytest

from pollenfork.gateway import replies
from pollenfork.gateway import retries
from pollenfork.logbook import causes
from pollenfork.logbook import lines
from pollenfork.logbook import trace
from pollenfork.logbook import trace_report

CHOSEN = (
    "chosen request=q runner=r waited_ms=5 cost_ms=20 unread=0 loads_age_ms=7"
)
ANSWERED = (
    "answered request=q status=200 first_ms=300 target_ms=200 gap_ms=0 "
    "gap_target_ms=0"
)
FAILED = (
    "attempt_failed request=q runner=r end=broken breach=reset "
    "sequel=not_idempotent"
)
GIVEN_UP = "given_up request=q reason=may_have_run"


def write(at: float, text: str, instance: str = "i-1") -> str:
    moment = f"2026-07-26 14:{int(at) // 60:02}:{at % 60:06.3f}"
    return (
        f"instance={instance} time={moment.replace('.', ',')} level=INFO "
        f"logger=pollenfork.x event={text}\n"
    )


def collect(*texts: str) -> trace.Trace:
    """Returns the trace of request q from lines one second apart."""
    log = [
        text if text.startswith("instance=") else write(60.0 + second, text)
        for second, text in enumerate(texts)
    ]
    return trace.collect("q", lines.parse(log, "file"))


def explain(*texts: str) -> str:
    return causes.explain(collect(*texts))


@pytest.mark.parametrize("reason", replies.Reason)
def test_every_refusal_reason_is_explained(reason) -> None:
    text = explain(f"refused request=q reason={reason.value}")
    assert text.startswith("refused: ")
    assert text != f"refused: {reason.value}"


@pytest.mark.parametrize(
    "sequel",
    [
        sequel
        for sequel in retries.RetryDecision
        if sequel.value not in ("answered", "repeated")
    ],
)
def test_every_retry_decision_is_explained(sequel) -> None:
    failed = FAILED.replace("not_idempotent", sequel.value)
    text = explain(CHOSEN, failed, GIVEN_UP)
    assert "the attempt at r ended broken (reset)" in text
    assert sequel.value not in text


def test_crash_is_explained_by_other_failures_and_the_registry() -> None:
    text = explain(
        CHOSEN,
        FAILED.replace("request=q", "request=other"),
        FAILED,
        GIVEN_UP,
        "runner_gone runner=r",
    )
    assert "1 lines tell of failures of other requests" in text
    assert "r was gone from the registry 1.0 s after its last line" in text


@pytest.mark.parametrize(
    ("chosen", "cause"),
    [
        ({"waited_ms": 200}, "took 200 ms to choose a runner"),
        ({"cost_ms": 250}, "250 ms were expected of the best runner"),
        ({"cost_ms": 250, "unread": 900}, "900 tokens of shared parts anew"),
        ({}, "longer than the 20 ms expected"),
    ],
)
def test_late_answer_is_explained_by_its_largest_delay(chosen, cause) -> None:
    fields = {"waited_ms": 5, "cost_ms": 20, "unread": 0} | chosen
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    text = f"chosen request=q runner=r {pairs} loads_age_ms=7"
    explanation = explain(text, ANSWERED)
    assert explanation.startswith("late: the first event after 300 ms of 200")
    assert cause in explanation


def test_late_answer_is_explained_by_earlier_attempts() -> None:
    second = CHOSEN.replace("waited_ms=5", "waited_ms=260")
    assert "earlier attempts took 260 ms" in explain(
        CHOSEN, FAILED, second, ANSWERED
    )


def test_pause_between_events_is_explained() -> None:
    paused = ANSWERED.replace("first_ms=300", "first_ms=30").replace(
        "gap_ms=0 gap_target_ms=0", "gap_ms=900 gap_target_ms=250"
    )
    assert "a pause of 900 ms of 250" in explain(CHOSEN, paused)


def test_timely_answer_and_runner_error_are_explained() -> None:
    in_time = ANSWERED.replace("first_ms=300", "first_ms=30")
    assert explain(CHOSEN, in_time) == "answered within its targets"
    error = ANSWERED.replace("status=200", "status=500")
    assert "own error 500" in explain(CHOSEN, error)


def test_client_disconnect_is_explained() -> None:
    text = explain(CHOSEN, "caller_gone request=q begun=True took_ms=70")
    assert text == "the caller left after 70 ms, its answer had begun"


def test_unfinished_trace_is_explained_by_later_lines() -> None:
    assert "still under way" in explain(CHOSEN)
    assert "process ended" in explain(CHOSEN, "started instance=i-1")
    assert "4 lines were left out" in explain(CHOSEN, "lines_missing count=4")


def test_unknown_request_is_explained_with_the_missing_lines() -> None:
    other = CHOSEN.replace("request=q", "request=other")
    assert "reached none of these" in explain(other)
    assert "left out 9 lines" in explain(other, "lines_missing count=9")


def test_instance_state_is_the_latest_of_the_same_process() -> None:
    trace = collect(
        "configuration_in_force version=1",
        "started instance=i-1",
        "configuration_in_force version=2",
        "configuration_in_force version=3",
        "store_lost table=x",
        CHOSEN,
        "readiness state=stopping",
    )
    assert [(line.event, line.fields) for line in trace.beliefs] == [
        ("configuration_in_force", {"version": "3"}),
        ("store_lost", {"table": "x"}),
    ]


def test_lines_of_other_instances_are_ordered_by_time() -> None:
    trace = collect(
        write(61.5, "runner_shunned runner=r request=z", "i-2"),
        write(60.0, CHOSEN),
        write(62.0, GIVEN_UP),
    )
    assert [line.instance for line in trace.others] == ["i-2"]
    out = io.StringIO()
    trace_report.write(trace, out)
    written = out.getvalue().splitlines()
    assert written[0] == "request q"
    assert "      +1500 ms  i-2  runner_shunned  runner=r request=z" in written
    assert written[-1].startswith("cause: failed: its runner failed")


def test_events_of_other_instances_about_the_runner_are_included() -> None:
    trace = collect(
        write(60.0, CHOSEN),
        write(60.5, "runner_found runner=r sign=refused age_ms=60", "i-2"),
        write(60.6, "runner_found runner=other sign=refused age_ms=60", "i-2"),
        write(62.0, GIVEN_UP),
    )
    assert [line.fields["runner"] for line in trace.runners] == ["r"]


def test_quarantined_request_is_explained_with_its_crashes() -> None:
    trace = collect(
        "runner_ended digest=0a place=1 proof=nobody_there ran_ms=40",
        "runner_ended digest=0b place=1 proof=nobody_there ran_ms=900",
        write(63.0, "runner_ended digest=0a place=2 proof=told", "i-2"),
        write(64.0, "request_kept_back digest=0a ends=3 places=1,2,3", "i-2"),
        "given_up request=q digest=0a reason=ends_runners may_have_run=False",
    )
    out = io.StringIO()
    trace_report.write(trace, out)
    assert [line.instance for line in trace.ends] == ["i-1", "i-2", "i-2"]
    assert "ends of runners under it" in out.getvalue()
    assert "places=1,2,3" in out.getvalue()
    assert "each runner that ran the same request has ended" in out.getvalue()


OVERLOADED = "given_up request=q digest=0f reason=overloaded"
PLANNED = (
    "return_planned request=q digest=0f due_ms=1700 queue=9 wait_ms=1600 "
    "latest_ms=4000 own=3720 spare=50 rate=3962000 instances=81"
)


@pytest.mark.parametrize(
    ("told", "cause"),
    [
        (
            PLANNED,
            "promised to be admitted after 1700 ms: 1600 ms of overload, then "
            "the first free place of 9 promises",
        ),
        (
            "return_unplanned request=q digest=0f told_ms=900 queue=9 "
            "reason=no_place",
            "told to return after 900 ms without a promise: all places up to a "
            "third of its remaining time were taken",
        ),
        (
            "return_early request=q digest=0f left_ms=700 told_ms=700",
            "returned 700 ms before the time promised",
        ),
    ],
)
def test_the_retry_after_of_a_refusal_is_explained(told, cause) -> None:
    """Guards against a Retry-After whose reason nobody can find."""
    assert cause in explain(told, OVERLOADED)


def test_the_promise_to_an_earlier_request_is_shown() -> None:
    """Guards against a return that seems to be admitted without a reason."""
    found = collect(
        PLANNED.replace("=q ", "=first "),
        OVERLOADED.replace("=q ", "=first "),
        PLANNED.replace("=q ", "=other ").replace("0f", "aa"),
        "return_kept request=q digest=0f late_ms=3",
        CHOSEN,
        ANSWERED,
    )
    assert found.lines[0].event == "return_kept"
    assert [line.fields["request"] for line in found.returns] == ["first"]
    shown = io.StringIO()
    trace_report.write(found, shown)
    assert "returns of the same\n" in shown.getvalue()
    assert "return_planned  request=first digest=0f due_ms=1700" in (
        shown.getvalue()
    )


def test_a_late_answer_is_explained_by_its_forecast() -> None:
    """Guards against a cost that is told as if it were an expected time."""
    chosen = CHOSEN.replace("cost_ms=20", "cost_ms=290") + " forecast_ms=40"
    assert "longer than the 40 ms expected" in explain(chosen, ANSWERED)


def test_a_pause_after_a_suspected_preemption_is_explained_by_it() -> None:
    """Guards against a full KV cache that is taken for a slow connection."""
    cause = explain(
        CHOSEN,
        "preemption_suspected request=q runner=r gap_ms=900 held=600 "
        "capacity=500",
        ANSWERED.replace("first_ms=300", "first_ms=9").replace(
            "gap_ms=0 gap_target_ms=0", "gap_ms=900 gap_target_ms=200"
        ),
    )
    assert "preempted" in cause
    assert "600 of 500 tokens" in cause


def test_the_pace_of_its_runner_is_shown() -> None:
    """Guards against a slow runner whose pace a late answer doesn't show."""
    slow = "pace_changed runner=r pace=0.50 samples=9"
    other = "pace_changed runner=s pace=0.50 samples=9"
    found = collect(slow, other, CHOSEN, ANSWERED)
    assert [line.fields["runner"] for line in found.runners] == ["r"]


def test_a_forwarded_request_is_explained_by_the_instance_that_served_it():
    ended = "forward_ended request=q helper=10.0.0.2 end=whole status=200"
    there = [write(60.0, CHOSEN, "i-2"), write(60.2, ANSWERED, "i-2")]
    text = explain(*there, write(60.3, ended, "i-1"))
    assert text.startswith("forwarded to 10.0.0.2, as i-1 could connect to no")
    assert "there: late: the first event after 300 ms of 200" in text


def test_a_forwarded_request_without_lines_of_its_server_is_explained() -> None:
    text = explain(
        "forward_ended request=q helper=10.0.0.2 end=whole status=200"
    )
    assert text.endswith("how it ended there isn't in these logs")
