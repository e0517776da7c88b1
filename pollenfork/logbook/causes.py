"""Explains in a sentence why a request ended as it did."""

import msgspec

from pollenfork.gateway import replies
from pollenfork.logbook import lines
from pollenfork.logbook import trace as traces

_Reason = replies.Reason

_REFUSALS = {
    _Reason.NO_SETTINGS: (
        "the instance had no configuration yet: it had just started, or the"
        " store didn't answer"
    ),
    _Reason.SETTINGS_STALE: (
        "the instance had no proof that its configuration was the newest, so"
        " it couldn't trust keys; see what it believed of the store and relay"
    ),
    _Reason.NO_ROUTE: "the configuration in force has no route for its path",
    _Reason.UNKNOWN_KEY: "the configuration in force has no account of its key",
    _Reason.NO_ATTEMPT_ID: "it had no id, so no runner would have run it",
    _Reason.REPEATED_HEADER: "a header that may stand once stood twice",
    _Reason.NO_RUNNER: "no runner of its service takes work, or all were tried",
    _Reason.RUNNERS_FULL: "its runners refused it: they were full or leaving",
    _Reason.OVERLOADED: (
        "even the best runner had so much to read that it would have been late"
    ),
    _Reason.RUNNERS_LIMITED: (
        "each runner in reach names a rate limit and had no permit left for it"
    ),
    _Reason.RUNNERS_PAUSED: (
        "each runner in reach has asked this instance for a pause; see"
        " pause_requested"
    ),
    _Reason.RUNNERS_BRITTLE: (
        "each runner in reach says that it falls over if it has to refuse more,"
        " and had no place left for this instance; see brittle_refused"
    ),
    _Reason.MEMORY: (
        "what this instance held for callers and runners that read slowly left"
        " no memory for its body; see reading_paused"
    ),
    _Reason.UNREACHABLE: "no connection to its runners could be made",
    _Reason.STOPPING: "the instance was stopping",
    _Reason.TIME_LIMIT: "its time was over",
    _Reason.MAY_HAVE_RUN: "its runner failed after the request was sent",
    _Reason.ENDS_RUNNERS: (
        "each runner that ran the same request has ended, or each that ran one"
        " with a part of its prompt, so it is kept back; see request_judged for"
        " the part, runner_ended and request_kept_back with the digest there"
    ),
    _Reason.VERSION_GONE: (
        "no runner of the software version that began its stream took work;"
        " see version in chosen"
    ),
    _Reason.VERSION_UNKNOWN: (
        "no instance in reach knew at which software version its stream began;"
        " see stream_taken_up"
    ),
    _Reason.FAULT: "a fault of the router's own; see request_failed",
}
_RETRY_DECISIONS = {
    "not_idempotent": "it may have run, and must not run twice",
    "attempts_spent": "its route allows no further runner",
    "search_ended": "several runners in a row couldn't be reached",
    "no_time": "its time was over",
    "budget_spent": "the budget of repeats was spent",
}
# Events that end a request at its instance.
_FINAL_EVENTS = frozenset({"refused", "given_up", "caller_gone", "answered"})
# Why a refused caller was promised no time to return.
_NO_PLACE = {
    "instances_unknown": "its instance had just started",
    "no_runners": "no runner accepted work",
    "no_time": "it couldn't have been answered within its time limit",
    "overload_lasts": "the backlog wasn't expected to fall in time",
    "no_place": "all places up to a third of its remaining time were taken",
    "table_full": "its instance knew the maximum number of promises",
}


def explain(trace: traces.Trace) -> str:
    """Returns the cause, as far as it can be inferred from the logs."""
    if not trace.lines:
        return _explain_no_lines(trace)
    last = trace.lines[-1]
    match last.event:
        case "refused":
            return f"refused: {_describe_reason(last)}"
        case "given_up":
            return _explain_failure(trace, last)
        case "caller_gone":
            return _explain_disconnect(last)
        case "answered":
            return _explain_answer(trace, last)
        case "forward_ended":
            return _explain_forwarded(trace, last)
    return _explain_unfinished(trace)


def _explain_no_lines(trace: traces.Trace) -> str:
    if trace.missing:
        return (
            "no line names it; the instances left out"
            f" {trace.missing} lines, it may be among them"
        )
    return "no line names it: it reached none of these instances whole"


def _explain_failure(trace: traces.Trace, last: lines.Line) -> str:
    text = f"failed: {_describe_reason(last)}"
    failed = [line for line in trace.lines if line.event == "attempt_failed"]
    if failed:
        fields = failed[-1].fields
        why = _RETRY_DECISIONS.get(
            fields.get("sequel", ""), fields.get("sequel", "")
        )
        text += (
            f"; the attempt at {fields['runner']} ended {fields['end']}"
            f" ({fields['breach']}), and no other followed: {why}"
        )
    return text + _describe_return(trace) + _describe_runner_failures(trace)


def _describe_return(trace: traces.Trace) -> str:
    """Describes when a refused caller was told to return, and why then."""
    for line in reversed(trace.lines):
        fields = line.fields
        match line.event:
            case "return_planned":
                return (
                    f"; it was promised to be admitted after {fields['due_ms']}"
                    f" ms: {fields['wait_ms']} ms of overload, then the first"
                    f" free place of {fields['queue']} promises"
                )
            case "return_unplanned":
                why = _NO_PLACE.get(fields["reason"], fields["reason"])
                return (
                    f"; it was told to return after {fields['told_ms']} ms"
                    f" without a promise: {why}"
                )
            case "return_early":
                return (
                    f"; it returned {fields['left_ms']} ms before the time"
                    " promised and was told the rest"
                )
    return ""


def _explain_disconnect(last: lines.Line) -> str:
    answering = last.fields.get("begun") == "True"
    phase = "its answer had begun" if answering else "before its answer began"
    return f"the caller left after {last.fields['took_ms']} ms, {phase}"


def _explain_answer(trace: traces.Trace, last: lines.Line) -> str:
    fields = last.fields
    if int(fields["status"]) >= 500:
        return f"answered with its runner's own error {fields['status']}"
    first_ms = int(fields["first_ms"])
    target_ms = int(fields["target_ms"])
    gap_ms, gap_target_ms = int(fields["gap_ms"]), int(fields["gap_target_ms"])
    if target_ms and first_ms > target_ms:
        return (
            f"late: the first event after {first_ms} ms of {target_ms};"
            f" {_explain_delay(trace, first_ms)}"
        )
    if gap_target_ms and gap_ms > gap_target_ms:
        return (
            f"late: a pause of {gap_ms} ms of {gap_target_ms} between events;"
            f" {_explain_pause(trace)}" + _describe_runner_failures(trace)
        )
    return "answered within its targets"


def _explain_forwarded(trace: traces.Trace, last: lines.Line) -> str:
    """Explains what became of a request at the instance that served it."""
    text = (
        f"forwarded to {last.fields['helper']}, as {last.instance} could"
        " connect to no runner or had no place at one"
    )
    elsewhere = [
        number
        for number, line in enumerate(trace.lines)
        if line.instance != last.instance and line.event in _FINAL_EVENTS
    ]
    if not elsewhere:
        return f"{text}; how it ended there isn't in these logs"
    shown = trace.lines[: elsewhere[-1] + 1]
    there = msgspec.structs.replace(trace, lines=shown)
    return f"{text}; there: {explain(there)}"


def _explain_pause(trace: traces.Trace) -> str:
    for line in trace.lines:
        if line.event == "preemption_suspected":
            fields = line.fields
            return (
                "its runner has probably preempted it for lack of room in its"
                f" KV cache ({fields['held']} of {fields['capacity']} tokens"
                " held)"
            )
    return "its runner read other prompts, or a connection was slow"


def _explain_delay(trace: traces.Trace, first_ms: int) -> str:
    """Describes what took most of the time to the first event."""
    chosen = [line for line in trace.lines if line.event == "chosen"]
    if not chosen:
        return "the line of its choice is missing"
    if len(chosen) > 1:
        return (
            f"earlier attempts took {chosen[-1].fields['waited_ms']}"
            " ms" + _describe_runner_failures(trace)
        )
    fields = chosen[-1].fields
    waited_ms = int(fields["waited_ms"])
    expected_ms = lines.get_expected_ms(chosen[-1])
    largest = max(waited_ms, expected_ms, first_ms - waited_ms - expected_ms)
    if waited_ms == largest:
        return (
            f"its instance took {waited_ms} ms to choose a runner: it was slow"
            " or stood still"
        )
    if expected_ms == largest:
        uncached_tokens = int(fields["unread"])
        uncached = (
            f", {uncached_tokens} tokens of shared parts anew"
            if uncached_tokens
            else ""
        )
        return f"{expected_ms} ms were expected of the best runner{uncached}"
    return (
        f"its runner took longer than the {expected_ms} ms expected: it was"
        " slower, or others' prompts weren't known (loads"
        f" {fields['loads_age_ms']} ms old)" + _describe_runner_failures(trace)
    )


def _explain_unfinished(trace: traces.Trace) -> str:
    """Explains a trace whose last line doesn't end the request."""
    if trace.starts:
        return "its instance's process ended: it started anew after"
    if trace.missing:
        return f"its end is missing; {trace.missing} lines were left out"
    return "still under way at the end of these logs, or its instance is lost"


def _describe_runner_failures(trace: traces.Trace) -> str:
    text = ""
    if trace.others:
        text += (
            f"; {len(trace.others)} lines tell of failures of other requests"
            " at its runners around then"
        )
    last = trace.lines[-1].at
    gone = [
        line
        for line in trace.runners
        if line.event == "runner_gone" and line.at > trace.lines[0].at
    ]
    if gone:
        text += (
            f"; {gone[0].fields['runner']} was gone from the registry"
            f" {abs(gone[0].at - last):.1f} s"
            f" {'after' if gone[0].at > last else 'before'} its last line"
        )
    return text


def _describe_reason(line: lines.Line) -> str:
    reason = line.fields.get("reason", "")
    try:
        return _REFUSALS[_Reason(reason)]
    except ValueError:
        return reason  # Logged by another front end with its own reasons.
