"""One request's course through the logs, and the beliefs that decided it."""

from collections.abc import Iterable, Iterator

import msgspec

from pollenfork.logbook import lines

Line = lines.Line

# What an instance believes of the configuration, the store and its peers.
_BELIEFS = {
    "configuration_in_force": "configuration",
    "readiness": "readiness",
    "store_lost": "store",
    "store_back": "store",
    "store_bypassed": "store",
    "relay_changed": "relay",
    "peers_known": "peers",
}
# What is said of a runner.
_RUNNER_EVENTS = frozenset(
    {
        "runner_found",
        "runner_gone",
        "runner_known",
        "runner_shunned",
        "runner_trusted",
    }
)
# What is said of requests that end runners, by their digest.
_DIGEST_EVENTS = frozenset(
    {
        "runner_ended",
        "request_kept_back",
        "request_cleared",
        "request_lifted",
    }
)
_FAILURES = frozenset({"attempt_failed", "runner_shunned"})
# News of a runner's end this long after a request still bears on it: a
# registry takes several heartbeats to notice a crash.
_AFTER_S = 6.0
# Failures of others at a runner within this time tell of the same trouble.
_AROUND_S = 2.0


class Course(msgspec.Struct, frozen=True):
    """What the logs say of one request.

    Attributes:
        request: Its id.
        lines: Its own lines, in order.
        beliefs: What its instances believed then: the latest line of each
            kind before its last one.
        runners: What was said of its runners, before it and soon after.
        others: Requests of others that failed at its runners around then.
        starts: Starts of its instances after its last line.
        missing: Lines that its instances left out around then.
        ends: What any instance said of ends of runners under the same request,
            however often it came.
    """

    request: str
    lines: list[Line]
    beliefs: list[Line]
    runners: list[Line]
    others: list[Line]
    starts: list[Line]
    missing: int
    ends: list[Line] = []


def follow(request: str, log: Iterable[Line]) -> Course:
    """Collects what bears on a request.

    Args:
        request: The request's id.
        log: All lines of all instances, in any order.
    """
    ordered = sorted(log, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        missing = lines.count_missing(ordered)
        return Course(request, [], [], [], [], [], missing)
    instances = {line.instance for line in own}
    runners = {line.fields["runner"] for line in own if "runner" in line.fields}
    first, last = own[0].at, own[-1].at
    here = [line for line in ordered if line.instance in instances]
    around = [
        line
        for line in ordered
        if first - _AROUND_S <= line.at <= last + _AROUND_S
    ]
    return Course(
        request=request,
        lines=own,
        beliefs=list(_find_beliefs(here, last)),
        runners=[
            line
            for line in _find_runners(ordered, runners, first, last)
            if line.fields.get("request") != request
        ],
        others=[
            line
            for line in around
            if line.event in _FAILURES
            and line.fields.get("runner") in runners
            and line.fields.get("request") != request
        ],
        starts=[
            line for line in here if line.event == "started" and line.at > last
        ],
        missing=lines.count_missing(
            line for line in around if line.instance in instances
        ),
        ends=_find_ends(ordered, own),
    )


def _find_ends(log: list[Line], own: list[Line]) -> list[Line]:
    digests = {line.fields["digest"] for line in own if "digest" in line.fields}
    return [
        line
        for line in log
        if line.event in _DIGEST_EVENTS and line.fields.get("digest") in digests
    ]


def _find_beliefs(log: list[Line], until: float) -> Iterator[Line]:
    latest: dict[tuple[str, str], Line] = {}
    for line in log:
        if line.at > until:
            break
        if line.event == "started":
            # What a process believed ended with it.
            for key in [key for key in latest if key[0] == line.instance]:
                del latest[key]
        if line.event in _BELIEFS:
            latest[line.instance, _BELIEFS[line.event]] = line
    yield from sorted(latest.values(), key=lambda line: line.at)


def _find_runners(
    log: list[Line], runners: set[str], first: float, last: float
) -> Iterator[Line]:
    """Finds the latest news of each runner, and the first ones after."""
    latest: dict[tuple[str, str], Line] = {}
    after: dict[tuple[str, str], Line] = {}
    for line in log:
        runner = line.fields.get("runner", "")
        if line.event not in _RUNNER_EVENTS or runner not in runners:
            continue
        key = runner, line.event
        if line.at <= first:
            latest[key] = line
        elif line.at <= last + _AFTER_S:
            after.setdefault(key, line)
    found = [*latest.values(), *after.values()]
    yield from sorted(found, key=lambda line: line.at)
