"""Counts of lost and late requests, by route, time interval and cause.

Also measures the error of forecasts, by route.
"""

import collections
from collections.abc import Iterable, Iterator
import enum

import msgspec

from pollenfork.logbook import lines

# Length of an interval, in seconds: short enough that a burst or a crash shows,
# long enough that a route with 15 requests a second has a useful sample.
INTERVAL_S = 2.0
_SERVER_ERROR = 500


class Outcome(enum.Enum):
    """How a request ended."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"


Outcomes = collections.Counter[Outcome]


class RequestEnd(msgspec.Struct, frozen=True):
    """How one request ended.

    Attributes:
        route: Its route's name; empty if it was refused before routing.
        at: Seconds since the epoch at its first line.
        outcome: How it ended.
        cause: Short text of what led to the outcome.
        error_ms: Observed less expected time from the choice of its runner to
            the first event; None: not forecast, or not answered by the first
            runner.
    """

    route: str
    at: float
    outcome: Outcome
    cause: str
    error_ms: int | None = None


class ForecastErrors(msgspec.Struct, frozen=True):
    """Observed less expected time to the first event, in milliseconds.

    Attributes:
        count: The number of answers.
        p10: A tenth of the answers came earlier than this.
        p50: The median.
        p90: A tenth of the answers came later than this.
    """

    count: int
    p10: int
    p50: int
    p90: int


class Losses(msgspec.Struct, frozen=True):
    """Outcome counts over all requests in the logs.

    Attributes:
        routes: Outcomes by route.
        causes: Requests that weren't answered in time, by route, outcome and
            cause.
        intervals: Outcomes by the interval's start, in seconds since the
            first request.
        missing: Lines that the instances dropped; lines of successful
            requests are dropped first.
        errors: The errors of forecasts by route.
    """

    routes: dict[str, Outcomes]
    causes: collections.Counter[tuple[str, Outcome, str]]
    intervals: dict[float, Outcomes]
    missing: int
    errors: dict[str, ForecastErrors] = {}


def count(log: Iterable[lines.Line]) -> Losses:
    """Counts the outcomes of all requests.

    Args:
        log: All lines of all instances, in any order.
    """
    log_lines = list(log)
    ends = list(_list_request_ends(log_lines))
    start = min((end.at for end in ends), default=0.0)
    routes: dict[str, Outcomes] = collections.defaultdict(Outcomes)
    intervals: dict[float, Outcomes] = collections.defaultdict(Outcomes)
    causes: collections.Counter[tuple[str, Outcome, str]]
    causes = collections.Counter()
    errors_ms: dict[str, list[int]] = collections.defaultdict(list)
    for end in ends:
        interval = (end.at - start) // INTERVAL_S * INTERVAL_S
        routes[end.route][end.outcome] += 1
        intervals[interval][end.outcome] += 1
        if end.outcome is not Outcome.IN_TIME:
            causes[end.route, end.outcome, end.cause] += 1
        if end.error_ms is not None:
            errors_ms[end.route].append(end.error_ms)
    missing = lines.count_missing(log_lines)
    errors = {route: _summarize(found) for route, found in errors_ms.items()}
    return Losses(dict(routes), causes, dict(intervals), missing, errors)


def _summarize(errors_ms: list[int]) -> ForecastErrors:
    ordered = sorted(errors_ms)
    last = len(ordered) - 1
    p10, p50, p90 = (ordered[round(last * part)] for part in (0.1, 0.5, 0.9))
    return ForecastErrors(len(ordered), p10, p50, p90)


def _list_request_ends(log: Iterable[lines.Line]) -> Iterator[RequestEnd]:
    traces: dict[str, list[lines.Line]] = {}
    for line in sorted(log, key=lambda line: line.at):
        request = line.fields.get("request")
        if request:
            traces.setdefault(request, []).append(line)
    for trace in traces.values():
        outcome, cause = _classify(trace)
        yield RequestEnd(
            _find_route(trace),
            trace[0].at,
            outcome,
            cause,
            _find_forecast_error(trace),
        )


def _find_forecast_error(trace: list[lines.Line]) -> int | None:
    """Returns observed less expected time to the first event, if known.

    An answer after several choices is left out: the time of the attempts
    before isn't in the forecast.
    """
    chosen = [line for line in trace if line.event == "chosen"]
    last = trace[-1]
    if len(chosen) != 1 or last.event != "answered":
        return None
    forecast_ms = lines.get_forecast_ms(chosen[0])
    if forecast_ms is None or int(last.fields["status"]) >= _SERVER_ERROR:
        return None
    waited_ms = int(chosen[0].fields["waited_ms"])
    return int(last.fields["first_ms"]) - waited_ms - forecast_ms


def _find_route(trace: list[lines.Line]) -> str:
    named = (line.fields.get("route") for line in trace)
    return next(filter(None, named), "")


def _classify(trace: list[lines.Line]) -> tuple[Outcome, str]:
    last = trace[-1]
    match last.event:
        case "answered":
            return _classify_answer(trace, last)
        case "refused":
            return Outcome.REFUSED, last.fields["reason"]
        case "given_up":
            ran = last.fields["may_have_run"] == "True"
            outcome = Outcome.FAILED if ran else Outcome.REFUSED
            return outcome, last.fields["reason"]
        case "caller_gone":
            begun = last.fields["begun"] == "True"
            return Outcome.GONE, "in its answer" if begun else "before it"
    return Outcome.FAILED, "its instance ended"


def _classify_answer(
    trace: list[lines.Line], last: lines.Line
) -> tuple[Outcome, str]:
    fields = last.fields
    if int(fields["status"]) >= _SERVER_ERROR:
        return Outcome.FAILED, "its runner's own error"
    target_ms = int(fields["target_ms"])
    gap_target_ms = int(fields["gap_target_ms"])
    if target_ms and int(fields["first_ms"]) > target_ms:
        return Outcome.LATE, _find_largest_delay(trace, int(fields["first_ms"]))
    if gap_target_ms and int(fields["gap_ms"]) > gap_target_ms:
        return Outcome.LATE, "a pause in it"
    return Outcome.IN_TIME, ""


def _find_largest_delay(trace: list[lines.Line], first_ms: int) -> str:
    """Returns what took most of the time to the first event."""
    chosen = [line for line in trace if line.event == "chosen"]
    if not chosen:
        return "unknown"
    if len(chosen) > 1:
        return "attempts before"
    waited_ms = int(chosen[0].fields["waited_ms"])
    expected_ms = lines.get_expected_ms(chosen[0])
    parts = {
        "choosing": waited_ms,
        "expected at the best runner": expected_ms,
        "longer than expected": first_ms - waited_ms - expected_ms,
    }
    return max(parts, key=lambda part: parts[part])
