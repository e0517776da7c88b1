"""Counts of lost and late requests, by route, time interval and cause."""

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
    """

    route: str
    at: float
    outcome: Outcome
    cause: str


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
    """

    routes: dict[str, Outcomes]
    causes: collections.Counter[tuple[str, Outcome, str]]
    intervals: dict[float, Outcomes]
    missing: int


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
    for end in ends:
        interval = (end.at - start) // INTERVAL_S * INTERVAL_S
        routes[end.route][end.outcome] += 1
        intervals[interval][end.outcome] += 1
        if end.outcome is not Outcome.IN_TIME:
            causes[end.route, end.outcome, end.cause] += 1
    missing = lines.count_missing(log_lines)
    return Losses(dict(routes), causes, dict(intervals), missing)


def _list_request_ends(log: Iterable[lines.Line]) -> Iterator[RequestEnd]:
    traces: dict[str, list[lines.Line]] = {}
    for line in sorted(log, key=lambda line: line.at):
        request = line.fields.get("request")
        if request:
            traces.setdefault(request, []).append(line)
    for trace in traces.values():
        outcome, cause = _classify(trace)
        yield RequestEnd(_find_route(trace), trace[0].at, outcome, cause)


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
    cost_ms = int(chosen[0].fields["cost_ms"])
    parts = {
        "choosing": waited_ms,
        "expected at the best runner": cost_ms,
        "longer than expected": first_ms - waited_ms - cost_ms,
    }
    return max(parts, key=lambda part: parts[part])
