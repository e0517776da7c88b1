"""Where requests were lost or late, by route, moment and cause."""

import collections
from collections.abc import Iterable, Iterator
import enum

import msgspec

from pollenfork.logbook import lines

# Length of a moment, in seconds: a burst or a crash shows, and a route of 15
# requests a second has enough of them in it.
MOMENT_S = 2.0
_SERVER_ERROR = 500


class Outcome(enum.Enum):
    """How a request ended."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"


Outcomes = collections.Counter[Outcome]


class Ending(msgspec.Struct, frozen=True):
    """The end of one request.

    Attributes:
        route: Its route's name; empty where it was refused without one.
        at: Seconds since the epoch at its first line.
        outcome: How it ended.
        cause: What decided that, in a few words.
    """

    route: str
    at: float
    outcome: Outcome
    cause: str


class Losses(msgspec.Struct, frozen=True):
    """All requests in some logs, counted.

    Attributes:
        routes: Outcomes by route.
        causes: Requests that weren't answered in time, by route and cause.
        moments: Outcomes by seconds since the first request.
        missing: Lines that instances left out, those of requests that went
            well first.
    """

    routes: dict[str, Outcomes]
    causes: collections.Counter[tuple[str, Outcome, str]]
    moments: dict[float, Outcomes]
    missing: int


def count(log: Iterable[lines.Line]) -> Losses:
    """Counts how the requests of some logs ended.

    Args:
        log: All lines of all instances, in any order.
    """
    told = list(log)
    endings = list(_list_endings(told))
    start = min((each.at for each in endings), default=0.0)
    routes: dict[str, Outcomes] = collections.defaultdict(Outcomes)
    moments: dict[float, Outcomes] = collections.defaultdict(Outcomes)
    causes: collections.Counter[tuple[str, Outcome, str]]
    causes = collections.Counter()
    for each in endings:
        moment = (each.at - start) // MOMENT_S * MOMENT_S
        routes[each.route][each.outcome] += 1
        moments[moment][each.outcome] += 1
        if each.outcome is not Outcome.IN_TIME:
            causes[each.route, each.outcome, each.cause] += 1
    missing = lines.count_missing(told)
    return Losses(dict(routes), causes, dict(moments), missing)


def _list_endings(log: Iterable[lines.Line]) -> Iterator[Ending]:
    courses: dict[str, list[lines.Line]] = {}
    for line in sorted(log, key=lambda line: line.at):
        request = line.fields.get("request")
        if request:
            courses.setdefault(request, []).append(line)
    for course in courses.values():
        outcome, cause = _judge(course)
        yield Ending(_find_route(course), course[0].at, outcome, cause)


def _find_route(course: list[lines.Line]) -> str:
    named = (line.fields.get("route") for line in course)
    return next(filter(None, named), "")


def _judge(course: list[lines.Line]) -> tuple[Outcome, str]:
    last = course[-1]
    match last.event:
        case "answered":
            return _judge_answer(course, last)
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


def _judge_answer(
    course: list[lines.Line], last: lines.Line
) -> tuple[Outcome, str]:
    fields = last.fields
    if int(fields["status"]) >= _SERVER_ERROR:
        return Outcome.FAILED, "its runner's own error"
    target_ms = int(fields["target_ms"])
    gap_target_ms = int(fields["gap_target_ms"])
    if target_ms and int(fields["first_ms"]) > target_ms:
        return Outcome.LATE, _find_delay(course, int(fields["first_ms"]))
    if gap_target_ms and int(fields["gap_ms"]) > gap_target_ms:
        return Outcome.LATE, "a pause in it"
    return Outcome.IN_TIME, ""


def _find_delay(course: list[lines.Line], first_ms: int) -> str:
    """Returns the largest part of the time to the first event."""
    chosen = [line for line in course if line.event == "chosen"]
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
